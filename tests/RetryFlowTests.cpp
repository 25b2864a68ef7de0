#include "RequestProxyHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

// Guards against reporting an endpoint failure to a caller although a retry at another endpoint was possible.
TEST_CASE("a model request is retried at another endpoint if no byte was sent to the caller", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    std::string firstAttemptId = harness.exchange(0).attemptId();
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody("id: 0\nda");
    harness.exchange(0).endExchange(false);
    CHECK(harness.exchange(1).request.method == "DELETE");
    auto& second = harness.exchange(2);
    CHECK(second.request.address != harness.exchange(0).request.address);
    CHECK(second.attemptId() != firstAttemptId);
    second.startEventStream();
    second.sendBody(tokenEvent(0) + endMarkerEvent);
    second.endExchange();
    CHECK(caller.body == tokenEvent(0) + endMarkerEvent);
    CHECK(caller.hasEnded);
    CHECK(findHeader(caller.head.headers, "X-Request-Id") == firstAttemptId);
}

// Guards against a booking that runs twice (G5) or is reported as not run although it may have run (G4).
TEST_CASE("a non-idempotent call is not retried once a byte of it may have been sent", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    CHECK(harness.latestExchange().request.requiresFreshConnection);
    harness.latestExchange().listener->onConnected();
    harness.latestExchange().endExchange(false);
    REQUIRE(caller.hasEnded);
    CHECK(caller.errorKind() == "endpoint_lost");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against failing a booking without a retry although no byte of it reached an endpoint.
TEST_CASE("a non-idempotent call of which nothing was sent is retried", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    harness.latestExchange().failToConnect();
    harness.advance(Millis { 1'000 });
    REQUIRE(harness.transport.exchanges.size() == 2);
    harness.latestExchange().respond(201, "booked");
    CHECK(caller.head.status == 201);
}

// Guards against unlimited attempts, and against the status unknown if nothing was sent.
TEST_CASE("a request fails after two retries", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking("GET");
    for (int attempt = 0; attempt < 3; ++attempt) {
        REQUIRE(harness.transport.exchanges.size() == static_cast<std::size_t>(attempt) + 1);
        harness.latestExchange().failToConnect();
        harness.advance(Millis { 11'000 });
    }
    REQUIRE(caller.hasEnded);
    CHECK(caller.errorKind() == "endpoint_unavailable");
    CHECK(caller.runStatus() == "not_run");
    CHECK(harness.transport.exchanges.size() == 3);
}

// Guards against treating a refusal as a response, and an application's response with status 503 as a refusal.
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
    SECTION("response of the application")
    {
        FakeCaller& caller = harness.sendBooking();
        harness.latestExchange().respond(503, "closed on Sundays");
        CHECK(caller.head.status == 503);
        CHECK(caller.body == "closed on Sundays");
    }
}

// Guards against a caller that receives the response to another request (G3).
TEST_CASE("a response with another request's id never reaches the caller", "[retry]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    auto& exchange = harness.exchange(0);
    exchange.listener->onConnected();
    exchange.listener->onHead({ .status = 200, .headers = { { "X-Request-Id", "another" } } });
    CHECK(exchange.isCancelled);
    REQUIRE(caller.hasEnded);
    CHECK(caller.errorKind() == "answer_mismatch");
    CHECK(caller.runStatus() == "unknown");
}

// Guards against a truncated response that appears complete to the caller (G3).
TEST_CASE("a truncated response never appears complete to the caller", "[retry]")
{
    RequestProxyHarness harness({ .maxBufferedResponseBytes = 64 });
    FakeCaller& caller = harness.sendBooking();
    harness.latestExchange().sendHead(200);
    SECTION("short enough to be buffered")
    {
        harness.latestExchange().sendBody("half of it");
        harness.latestExchange().endExchange(false, ErrorKind::AnswerTruncated);
        REQUIRE(caller.hasEnded);
        CHECK(caller.errorKind() == "answer_truncated");
        CHECK(caller.body.find("half of it") == std::string::npos);
    }
    SECTION("too long to be buffered")
    {
        harness.latestExchange().sendBody(std::string(65, 'x'));
        harness.latestExchange().endExchange(false, ErrorKind::AnswerTruncated);
        CHECK(caller.isAborted);
        CHECK_FALSE(caller.hasEnded);
    }
}

// Guards against lost or duplicated tokens when the connection of a stream breaks.
TEST_CASE("a broken stream is resumed at the next token over a new connection", "[resume]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    auto failureMode = GENERATE(0, 1, 2);
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody(tokenEvent(0) + tokenEvent(1) + tokenEvent(2).substr(0, 11));
    if (failureMode == 0)
        harness.exchange(0).endExchange(false);
    else if (failureMode == 1)
        harness.exchange(0).endExchange(true); // Ends by its framing but without the end marker.
    else
        harness.exchange(0).sendBody(tokenEvent(2).substr(11) + tokenEvent(4)); // Token 3 is missing.
    std::string from = failureMode == 2 ? "3" : "2";

    REQUIRE(harness.transport.exchanges.size() == 2);
    auto& resumed = harness.exchange(1);
    CHECK(resumed.request.method == "GET");
    CHECK(resumed.request.target == "/v1/streams/" + harness.exchange(0).attemptId() + "?from=" + from);
    CHECK(resumed.request.address == harness.exchange(0).request.address);
    CHECK(resumed.request.requiresFreshConnection);
    CHECK(harness.inFlightCount() == 1);
    resumed.startEventStream();
    resumed.sendBody(tokenEvent(1) + tokenEvent(2) + tokenEvent(3) + endMarkerEvent);
    resumed.endExchange();
    CHECK(caller.body == tokenEvent(0) + tokenEvent(1) + tokenEvent(2) + tokenEvent(3) + endMarkerEvent);
    CHECK(caller.hasEnded);
    CHECK(harness.servedCost() == 4.0);
}

// Guards against a stream that ends early without an error, so that it appears complete to its caller.
TEST_CASE("a stream that cannot be resumed ends with an error event", "[resume]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody(tokenEvent(0));
    harness.exchange(0).endExchange(false);
    harness.exchange(1).sendHead(404);
    CHECK(caller.body.find("event: error\n") == tokenEvent(0).size());
    CHECK(caller.hasEnded);
    CHECK(caller.errorKind() == "answer_truncated");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.inFlightCount() == 0);
}

// Guards against pieces that no run made in a stream, against a stream that is lost although its engine can go on with
// it, and against a spoilt event that counts as the loss of its engine.
TEST_CASE("a stream is resumed after the last sound event before a spoilt one", "[resume][events]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    auto [spoilt, part] = GENERATE(table<std::string, std::string>({
        { "garbage\n\n", "event_unknown_field" },
        { "data: {\"t\":9}\n\n", "event_missing_id" },
        { "id: two\ndata: {\"t\":9}\n\n", "event_id_not_a_number" },
        { "garbage" + tokenEvent(2), "event_unknown_field" },
        { tokenEvent(3), "events_out_of_order" },
        { "id: 2\ndata: [DONE]\n\n", "event_misplaced_end_marker" },
    }));
    CAPTURE(spoilt);
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody(tokenEvent(0) + tokenEvent(1) + spoilt + tokenEvent(2) + endMarkerEvent);
    CHECK(caller.body == tokenEvent(0) + tokenEvent(1));
    CHECK(harness.exchange(0).isCancelled);
    REQUIRE(harness.transport.exchanges.size() == 2);
    CHECK(harness.exchange(1).request.target == "/v1/streams/" + harness.exchange(0).attemptId() + "?from=2");
    harness.exchange(1).startEventStream();
    harness.exchange(1).sendBody(tokenEvent(1) + tokenEvent(2) + endMarkerEvent + "garbage\n\n");
    harness.exchange(1).endExchange();
    CHECK(caller.body == tokenEvent(0) + tokenEvent(1) + tokenEvent(2) + endMarkerEvent);
    CHECK(caller.hasEnded);
    CHECK(harness.crashMarks.empty());
    std::string counter = "jasminestack_malformed_answers_total{part=\"" + part + "\",pool=\"assistants\"} 1";
    CHECK(harness.metrics.text().find(counter) != std::string::npos);
}

// Guards against a stream of spoilt answers only that looks complete, and against resuming it without end.
TEST_CASE("a stream whose answers are all spoilt ends with an error event", "[resume][events]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody(tokenEvent(0) + "garbage\n\n" + endMarkerEvent);
    for (std::size_t i = 1; i <= 2; ++i) {
        REQUIRE(harness.transport.exchanges.size() == i + 1);
        harness.exchange(i).startEventStream();
        harness.exchange(i).sendBody("data: {\"t\":1}\n\n" + endMarkerEvent);
    }
    CHECK(caller.body.find("event: error\n") == tokenEvent(0).size());
    CHECK(caller.body.find("[DONE]") == std::string::npos);
    CHECK(caller.hasEnded);
    CHECK(caller.errorKind() == "answer_malformed");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.crashMarks.empty());
    CHECK(harness.inFlightCount() == 0);
}

// Guards against a spoilt first event that reaches the caller or ends a request that another engine can run.
TEST_CASE("a stream whose first event is spoilt is retried at another endpoint", "[retry][events]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    std::string spoilt = GENERATE(as<std::string> {}, "garbage\n\n" + tokenEvent(0), tokenEvent(1), tokenEvent(7));
    harness.exchange(0).startEventStream();
    harness.exchange(0).sendBody(spoilt + endMarkerEvent);
    CHECK(caller.isAwaitingResponse());
    CHECK(harness.exchange(0).isCancelled);
    REQUIRE(harness.transport.exchanges.size() == 3); // The second one cancels the stream at the engine.
    CHECK(harness.exchange(2).request.address != harness.exchange(0).request.address);
    harness.exchange(2).startEventStream();
    harness.exchange(2).sendBody(tokenEvent(0) + endMarkerEvent);
    harness.exchange(2).endExchange();
    CHECK(caller.body == tokenEvent(0) + endMarkerEvent);
    CHECK(caller.hasEnded);
}

// Guards against an engine that cuts an event off and is taken for a lost one, which would make the content a suspect.
TEST_CASE("an event that is incomplete at the end of a framed answer is a spoilt one", "[resume][events]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    harness.exchange(0).sendHead(200, { { "Content-Type", "text/event-stream" }, { "Transfer-Encoding", "chunked" } });
    harness.exchange(0).sendBody(tokenEvent(0) + "id: 1\ndata: {\"t\"");
    harness.exchange(0).endExchange();
    CHECK(caller.body == tokenEvent(0));
    CHECK(harness.metrics.text().find("part=\"event_incomplete\"") != std::string::npos);
    REQUIRE(harness.transport.exchanges.size() == 2);
    CHECK(harness.exchange(1).request.target.ends_with("?from=1"));
}

// Guards against bytes that nothing checks, because a success of a streaming request does not call itself an event
// stream.
TEST_CASE("a success of a streaming request that is no event stream is not passed on", "[retry][events]")
{
    RequestProxyHarness harness({ .maxBufferedResponseBytes = 64 });
    FakeCaller& caller = harness.sendChat();
    std::string type
        = GENERATE(as<std::string> {}, "", "application/json", "text/event-streams", "text/event-stream/x");
    std::string body = GENERATE(tokenEvent(0) + endMarkerEvent, std::string(65, 'x'));
    CAPTURE(type, body.size());
    std::vector<std::pair<std::string, std::string>> headers;
    if (!type.empty())
        headers.emplace_back("Content-Type", type);
    harness.exchange(0).sendHead(200, headers);
    CHECK(harness.exchange(0).isCancelled);
    if (!harness.exchange(0).isCancelled)
        harness.exchange(0).sendBody(body);
    CHECK(caller.isAwaitingResponse());
    REQUIRE(harness.transport.exchanges.size() == 3); // The second one cancels the stream at the engine.
    harness.exchange(2).sendHead(200, { { "Content-Type", "Text/Event-Stream ; charset=utf-8" } });
    harness.exchange(2).sendBody(tokenEvent(0) + endMarkerEvent);
    harness.exchange(2).endExchange();
    CHECK(caller.body == tokenEvent(0) + endMarkerEvent);
}

// Guards against a request that crashes every endpoint and that its caller sends again after each failure.
TEST_CASE("content that was running when endpoints were lost three times is quarantined", "[crash]")
{
    RequestProxyHarness harness;
    std::size_t exchangeIndex = 0;
    for (int lossIndex = 0; lossIndex < 3; ++lossIndex) {
        FakeCaller& caller = harness.sendBooking();
        REQUIRE(harness.transport.exchanges.size() == exchangeIndex + 1);
        harness.exchange(exchangeIndex).listener->onConnected();
        harness.exchange(exchangeIndex++).endExchange(false);
        CHECK(caller.errorKind() == "endpoint_lost");
        harness.advance(Millis { 20'000 });
    }
    CHECK(harness.crashMarks.size() == 3);
    FakeCaller& resent = harness.sendBooking();
    CHECK(resent.errorKind() == "request_quarantined");
    CHECK(resent.runStatus() == "not_run");
    CHECK(harness.transport.exchanges.size() == 3);
}

// Guards against an answer that nobody has received, made of an exchange that ends as complete without a head.
TEST_CASE("an exchange that is complete without a head fails the attempt", "[retry][late]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    harness.exchange(0).listener->onConnected();
    harness.exchange(0).endExchange(true);
    CHECK(caller.hasEnded);
    CHECK(caller.head.status == 502);
    CHECK(caller.errorKind() == "answer_mismatch");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.inFlightCount() == 0);
}
