#include "RequestProxyHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

// Guards against callers that see a failure which another endpoint could have hidden.
TEST_CASE("a model request is repeated elsewhere before its first byte went to the caller", "[retry]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.chat();
    std::string first = harness.exchange(0).id();
    harness.exchange(0).events();
    harness.exchange(0).body("id: 0\nda");
    harness.exchange(0).end(false);
    CHECK(harness.exchange(1).request.method == "DELETE");
    auto& second = harness.exchange(2);
    CHECK(second.request.address != harness.exchange(0).request.address);
    CHECK(second.id() != first);
    second.events();
    second.body(event(0) + doneEvent);
    second.end();
    CHECK(caller.body == event(0) + doneEvent);
    CHECK(caller.ended);
    CHECK(findHeader(caller.head.headers, "X-Request-Id") == first);
}

// Guards against a booking that runs twice (G5) or is reported as not run although it may have run (G4).
TEST_CASE("a non-idempotent call is not repeated once a byte may have left", "[retry]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.book();
    CHECK(harness.last().request.requiresFreshConnection);
    harness.last().listener->onConnected();
    harness.last().end(false);
    REQUIRE(caller.ended);
    CHECK(caller.kind() == "endpoint_lost");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against a booking that fails although no endpoint can have seen it.
TEST_CASE("a non-idempotent call whose bytes have not left is tried again", "[retry]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.book();
    harness.last().unreachable();
    harness.advance(Millis { 1'000 });
    REQUIRE(harness.transport.exchanges.size() == 2);
    harness.last().answer(201, "booked");
    CHECK(caller.head.status == 201);
}

// Guards against endless attempts, and against an "unknown" status where nothing was sent.
TEST_CASE("a request gives up after two further attempts", "[retry]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.book("GET");
    for (int attempt = 0; attempt < 3; ++attempt) {
        REQUIRE(harness.transport.exchanges.size() == static_cast<std::size_t>(attempt) + 1);
        harness.last().unreachable();
        harness.advance(Millis { 11'000 });
    }
    REQUIRE(caller.ended);
    CHECK(caller.kind() == "endpoint_unavailable");
    CHECK(caller.runStatus() == "not_run");
    CHECK(harness.transport.exchanges.size() == 3);
}

// Guards against treating a refusal as an answer, and an answer with status 503 as a refusal.
TEST_CASE("only a refusal with X-Not-Run counts as not run", "[retry]")
{
    FlowHarness harness;
    SECTION("refused before running")
    {
        FakeCaller& caller = harness.chat(false);
        harness.exchange(0).answer(503, "full", { { "X-Not-Run", "1" } });
        CHECK(caller.silent());
        REQUIRE(harness.transport.exchanges.size() == 2);
        CHECK(harness.exchange(1).request.method == "POST");
        harness.exchange(1).answer(200, "{}");
        CHECK(caller.body == "{}");
    }
    SECTION("an answer of the application")
    {
        FakeCaller& caller = harness.book();
        harness.last().answer(503, "closed on Sundays");
        CHECK(caller.head.status == 503);
        CHECK(caller.body == "closed on Sundays");
    }
}

// Guards against a caller receiving another request's answer (G3).
TEST_CASE("an answer with another request's id never reaches the caller", "[retry]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.book();
    auto& exchange = harness.exchange(0);
    exchange.listener->onConnected();
    exchange.listener->onHead({ .status = 200, .headers = { { "X-Request-Id", "another" } } });
    CHECK(exchange.cancelled);
    REQUIRE(caller.ended);
    CHECK(caller.kind() == "answer_mismatch");
    CHECK(caller.runStatus() == "unknown");
}

// Guards against a truncated answer that looks whole (G3).
TEST_CASE("a truncated whole answer is replaced by an error", "[retry]")
{
    FlowHarness harness({ .wholeBytes = 64 });
    FakeCaller& caller = harness.book();
    harness.last().head(200);
    SECTION("short enough to be collected")
    {
        harness.last().body("half of it");
        harness.last().end(false, ErrorKind::AnswerTruncated);
        REQUIRE(caller.ended);
        CHECK(caller.kind() == "answer_truncated");
        CHECK(caller.body.find("half of it") == std::string::npos);
    }
    SECTION("too long to be collected")
    {
        harness.last().body(std::string(65, 'x'));
        harness.last().end(false, ErrorKind::AnswerTruncated);
        CHECK(caller.aborted);
        CHECK_FALSE(caller.ended);
    }
}

// Guards against lost or repeated tokens when a stream's connection breaks.
TEST_CASE("a broken stream is resumed at the next token over a new connection", "[resume]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.chat();
    auto breakStream = GENERATE(0, 1, 2);
    harness.exchange(0).events();
    harness.exchange(0).body(event(0) + event(1) + event(2).substr(0, 11));
    if (breakStream == 0)
        harness.exchange(0).end(false);
    else if (breakStream == 1)
        harness.exchange(0).end(true); // Ends by its framing but without the end marker.
    else
        harness.exchange(0).body(event(2).substr(11) + event(4)); // Token 3 is missing.
    std::string from = breakStream == 2 ? "3" : "2";

    REQUIRE(harness.transport.exchanges.size() == 2);
    auto& resumed = harness.exchange(1);
    CHECK(resumed.request.method == "GET");
    CHECK(resumed.request.target == "/v1/streams/" + harness.exchange(0).id() + "?from=" + from);
    CHECK(resumed.request.address == harness.exchange(0).request.address);
    CHECK(resumed.request.requiresFreshConnection);
    CHECK(harness.inFlight() == 1);
    resumed.events();
    resumed.body(event(1) + event(2) + event(3) + doneEvent);
    resumed.end();
    CHECK(caller.body == event(0) + event(1) + event(2) + event(3) + doneEvent);
    CHECK(caller.ended);
    CHECK(harness.served() == 4.0);
}

// Guards against a stream that ends without a word, which its caller would take for whole.
TEST_CASE("a stream that cannot be resumed ends with an error event", "[resume]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.chat();
    harness.exchange(0).events();
    harness.exchange(0).body(event(0));
    harness.exchange(0).end(false);
    harness.exchange(1).head(404);
    CHECK(caller.body.find("event: error\n") == event(0).size());
    CHECK(caller.ended);
    CHECK(caller.kind() == "answer_truncated");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.inFlight() == 0);
}

// Guards against a request that crashes every endpoint it is sent to, across resends by its caller.
TEST_CASE("content that was running at three losses is quarantined", "[crash]")
{
    FlowHarness harness;
    std::size_t next = 0;
    for (int loss = 0; loss < 3; ++loss) {
        FakeCaller& caller = harness.book();
        REQUIRE(harness.transport.exchanges.size() == next + 1);
        harness.exchange(next).listener->onConnected();
        harness.exchange(next++).end(false);
        CHECK(caller.kind() == "endpoint_lost");
        harness.advance(Millis { 20'000 });
    }
    CHECK(harness.marks.size() == 3);
    FakeCaller& resent = harness.book();
    CHECK(resent.kind() == "request_quarantined");
    CHECK(resent.runStatus() == "not_run");
    CHECK(harness.transport.exchanges.size() == 3);
}
