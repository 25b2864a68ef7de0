#include "RequestProxyHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

// Guards against callers that see a failure which another endpoint could have hidden.
TEST_CASE("a model request is repeated elsewhere before its first byte went to the caller", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    std::string first = harness.exchange(0).id();
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody("id: 0\nda");
    harness.exchange(0).endExchange(false);
    CHECK(harness.exchange(1).request.method == "DELETE");
    auto& second = harness.exchange(2);
    CHECK(second.request.address != harness.exchange(0).request.address);
    CHECK(second.id() != first);
    second.startEventStream();
    second.sendBody(tokenEvent(0) + doneEvent);
    second.endExchange();
    CHECK(caller.body == tokenEvent(0) + doneEvent);
    CHECK(caller.ended);
    CHECK(findHeader(caller.head.headers, "X-Request-Id") == first);
}

// Guards against a booking that runs twice (G5) or is reported as not run although it may have run (G4).
TEST_CASE("a non-idempotent call is not repeated once a byte may have left", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    CHECK(harness.latestExchange().request.requiresFreshConnection);
    harness.latestExchange().listener->onConnected();
    harness.latestExchange().endExchange(false);
    REQUIRE(caller.ended);
    CHECK(caller.errorKind() == "endpoint_lost");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against a booking that fails although no endpoint can have seen it.
TEST_CASE("a non-idempotent call whose bytes have not left is tried again", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    harness.latestExchange().unreachable();
    harness.advance(Millis { 1'000 });
    REQUIRE(harness.transport.exchanges.size() == 2);
    harness.latestExchange().respond(201, "booked");
    CHECK(caller.head.status == 201);
}

// Guards against endless attempts, and against an "unknown" status where nothing was sent.
TEST_CASE("a request gives up after two further attempts", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking("GET");
    for (int attempt = 0; attempt < 3; ++attempt) {
        REQUIRE(harness.transport.exchanges.size() == static_cast<std::size_t>(attempt) + 1);
        harness.latestExchange().unreachable();
        harness.advance(Millis { 11'000 });
    }
    REQUIRE(caller.ended);
    CHECK(caller.errorKind() == "endpoint_unavailable");
    CHECK(caller.runStatus() == "not_run");
    CHECK(harness.transport.exchanges.size() == 3);
}

// Guards against treating a refusal as an answer, and an answer with status 503 as a refusal.
TEST_CASE("only a refusal with X-Not-Run counts as not run", "[retry]")
{
    RequestProxyHarness harness;
    SECTION("refused before running")
    {
        FakeCaller& caller = harness.sendChat(false);
        harness.exchange(0).respond(503, "full", { { "X-Not-Run", "1" } });
        CHECK(caller.isAwaitingResponse());
        REQUIRE(harness.transport.exchanges.size() == 2);
        CHECK(harness.exchange(1).request.method == "POST");
        harness.exchange(1).respond(200, "{}");
        CHECK(caller.body == "{}");
    }
    SECTION("an answer of the application")
    {
        FakeCaller& caller = harness.sendBooking();
        harness.latestExchange().respond(503, "closed on Sundays");
        CHECK(caller.head.status == 503);
        CHECK(caller.body == "closed on Sundays");
    }
}

// Guards against a caller receiving another request's answer (G3).
TEST_CASE("an answer with another request's id never reaches the caller", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    auto& exchange = harness.exchange(0);
    exchange.listener->onConnected();
    exchange.listener->onHead({ .status = 200, .headers = { { "X-Request-Id", "another" } } });
    CHECK(exchange.cancelled);
    REQUIRE(caller.ended);
    CHECK(caller.errorKind() == "answer_mismatch");
    CHECK(caller.runStatus() == "unknown");
}

// Guards against a truncated answer that looks whole (G3).
TEST_CASE("a truncated whole answer is replaced by an error", "[retry]")
{
    RequestProxyHarness harness({ .wholeBytes = 64 });
    FakeCaller& caller = harness.sendBooking();
    harness.latestExchange().sendHead(200);
    SECTION("short enough to be collected")
    {
        harness.latestExchange().sendBody("half of it");
        harness.latestExchange().endExchange(false, ErrorKind::AnswerTruncated);
        REQUIRE(caller.ended);
        CHECK(caller.errorKind() == "answer_truncated");
        CHECK(caller.body.find("half of it") == std::string::npos);
    }
    SECTION("too long to be collected")
    {
        harness.latestExchange().sendBody(std::string(65, 'x'));
        harness.latestExchange().endExchange(false, ErrorKind::AnswerTruncated);
        CHECK(caller.aborted);
        CHECK_FALSE(caller.ended);
    }
}

// Guards against lost or repeated tokens when a stream's connection breaks.
TEST_CASE("a broken stream is resumed at the next token over a new connection", "[resume]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    auto breakStream = GENERATE(0, 1, 2);
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody(tokenEvent(0) + tokenEvent(1) + tokenEvent(2).substr(0, 11));
    if (breakStream == 0)
        harness.exchange(0).endExchange(false);
    else if (breakStream == 1)
        harness.exchange(0).endExchange(true); // Ends by its framing but without the end marker.
    else
        harness.exchange(0).sendBody(tokenEvent(2).substr(11) + tokenEvent(4)); // Token 3 is missing.
    std::string from = breakStream == 2 ? "3" : "2";

    REQUIRE(harness.transport.exchanges.size() == 2);
    auto& resumed = harness.exchange(1);
    CHECK(resumed.request.method == "GET");
    CHECK(resumed.request.target == "/v1/streams/" + harness.exchange(0).id() + "?from=" + from);
    CHECK(resumed.request.address == harness.exchange(0).request.address);
    CHECK(resumed.request.requiresFreshConnection);
    CHECK(harness.inFlight() == 1);
    resumed.startEventStream();
    resumed.sendBody(tokenEvent(1) + tokenEvent(2) + tokenEvent(3) + doneEvent);
    resumed.endExchange();
    CHECK(caller.body == tokenEvent(0) + tokenEvent(1) + tokenEvent(2) + tokenEvent(3) + doneEvent);
    CHECK(caller.ended);
    CHECK(harness.servedCost() == 4.0);
}

// Guards against a stream that ends without a word, which its caller would take for whole.
TEST_CASE("a stream that cannot be resumed ends with an error event", "[resume]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody(tokenEvent(0));
    harness.exchange(0).endExchange(false);
    harness.exchange(1).sendHead(404);
    CHECK(caller.body.find("event: error\n") == tokenEvent(0).size());
    CHECK(caller.ended);
    CHECK(caller.errorKind() == "answer_truncated");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.inFlight() == 0);
}

// Guards against a request that crashes every endpoint it is sent to, across resends by its caller.
TEST_CASE("content that was running at three losses is quarantined", "[crash]")
{
    RequestProxyHarness harness;
    std::size_t next = 0;
    for (int loss = 0; loss < 3; ++loss) {
        FakeCaller& caller = harness.sendBooking();
        REQUIRE(harness.transport.exchanges.size() == next + 1);
        harness.exchange(next).listener->onConnected();
        harness.exchange(next++).endExchange(false);
        CHECK(caller.errorKind() == "endpoint_lost");
        harness.advance(Millis { 20'000 });
    }
    CHECK(harness.marks.size() == 3);
    FakeCaller& resent = harness.sendBooking();
    CHECK(resent.errorKind() == "request_quarantined");
    CHECK(resent.runStatus() == "not_run");
    CHECK(harness.transport.exchanges.size() == 3);
}
