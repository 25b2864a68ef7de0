#include "RequestProxyHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

// Guards against lost, reordered or delayed tokens of a stream without failures, and against a charge that differs from
// its usage.
TEST_CASE("a stream is relayed event by event and charged by its usage", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat();
    REQUIRE(harness.transport.exchanges.size() == 1);
    auto& exchange = harness.latestExchange();
    CHECK(exchange.request.target == "/v1/chat/completions");
    CHECK(findHeader(exchange.request.headers, "Authorization").empty());
    CHECK(parseTraceparent(findHeader(exchange.request.headers, "traceparent")));

    exchange.startEventStream();
    CHECK(caller.isAwaitingResponse());
    exchange.sendBody(tokenEvent(0) + tokenEvent(1).substr(0, 9));
    CHECK(caller.body == tokenEvent(0));
    std::string usage = "id: 2\ndata: {\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":2}}\n\n";
    exchange.sendBody(tokenEvent(1).substr(9) + usage + endMarkerEvent);
    exchange.endExchange();

    CHECK(caller.hasEnded);
    CHECK(caller.head.status == 200);
    CHECK(caller.body == tokenEvent(0) + tokenEvent(1) + usage + endMarkerEvent);
    CHECK(harness.servedCost() == 12.0);
    CHECK(harness.inFlightCount() == 0);
    CHECK(harness.proxy.activeRequestCount() == 0);
}

// Guards against refusals before the queue that lack the error kind or run status in the body, or reach an endpoint.
TEST_CASE("requests that cannot be accepted are refused as not run", "[flow]")
{
    RequestProxyHarness harness;
    auto refusal = [&](CallerRequest request) {
        FakeCaller& caller = harness.send(std::move(request));
        REQUIRE(caller.hasEnded);
        CHECK(caller.runStatus() == "not_run");
        CHECK(harness.transport.exchanges.empty());
        return caller.errorKind();
    };
    CHECK(refusal({ .method = "POST", .target = "/v1/completions", .body = "{" }) == "bad_request");
    CHECK(refusal({ .method = "POST", .target = "/v1/completions", .body = R"({"model":"x"})" }) == "unknown_model");
    CHECK(refusal({ .method = "GET", .target = "/v1/completions" }) == "method_not_allowed");
    CHECK(refusal({ .method = "GET", .target = "/elsewhere" }) == "not_found");
    CHECK(refusal({ .method = "GET", .target = "/booking/x", .headers = { { "X-Deadline-Ms", "soon" } } })
        == "bad_request");
    CHECK(refusal({ .method = "GET", .target = "/booking/x", .headers = { { "Authorization", "Bearer other" } } })
        == "unauthorized");
    harness.configuration.version = 0;
    CHECK(refusal({ .method = "GET", .target = "/booking/x" }) == "not_ready");
    harness.proxy.refuseNewRequests();
    CHECK(refusal({ .method = "GET", .target = "/booking/x" }) == "shutting_down");
}

// Guards against running a request after its caller received not_run, and against expired requests that stay queued.
TEST_CASE("a queued request ends at its deadline as not run", "[flow]")
{
    RequestProxyHarness harness;
    harness.sendBooking();
    FakeCaller& expiring = harness.send(
        { .method = "POST", .target = "/booking/slots", .headers = { { "X-Deadline-Ms", "200" } }, .body = "slot" });
    harness.advance(Millis { 199 });
    CHECK(expiring.isAwaitingResponse());
    harness.advance(Millis { 1 });
    REQUIRE(expiring.hasEnded);
    CHECK(expiring.errorKind() == "deadline_exceeded");
    CHECK(expiring.runStatus() == "not_run");
    harness.latestExchange().respond(200, "booked");
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against a caller that waits beyond its deadline, and against reporting a sent request as not run.
TEST_CASE("a running request without a response by its deadline ends as unknown", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat(false, { { "X-Deadline-Ms", "300" } });
    harness.latestExchange().listener->onConnected();
    harness.advance(Millis { 300 });
    REQUIRE(caller.hasEnded);
    CHECK(caller.errorKind() == "deadline_exceeded");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.exchange(0).isCancelled);
    CHECK(harness.exchange(1).request.method == "DELETE");
    CHECK(harness.inFlightCount() == 0);
}

// Guards against unbounded memory when a caller reads more slowly than the engine writes.
TEST_CASE("the endpoint is not read while the caller's buffer is above the high-water mark", "[flow]")
{
    RequestProxyHarness harness({ .maxSendBufferBytes = 100 });
    FakeCaller& caller = harness.sendChat();
    harness.latestExchange().startEventStream();
    caller.bufferedByteCount = 101;
    harness.latestExchange().sendBody(tokenEvent(0));
    CHECK(harness.latestExchange().isPaused);
    caller.bufferedByteCount = 0;
    caller.listener->onSendBufferEmpty();
    CHECK_FALSE(harness.latestExchange().isPaused);
}

// Guards against slots that stay occupied by requests whose callers have disconnected.
TEST_CASE("a disconnected caller frees its queue entry or slot at once", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& first = harness.sendChat();
    FakeCaller& second = harness.sendChat();
    FakeCaller& third = harness.sendChat();
    FakeCaller& fourth = harness.sendChat();
    REQUIRE(harness.transport.exchanges.size() == 2);
    third.listener->onCallerDisconnected();
    harness.exchange(0).startEventStream();
    first.listener->onCallerDisconnected();
    CHECK(harness.exchange(0).isCancelled);
    REQUIRE(harness.transport.exchanges.size() == 4);
    CHECK(harness.exchange(2).request.method == "DELETE");
    CHECK(harness.exchange(2).request.target == "/v1/streams/" + harness.exchange(0).attemptId());
    CHECK(harness.exchange(3).request.address == harness.exchange(0).request.address);
    harness.exchange(3).respond(200, endMarkerEvent, { { "Content-Type", "text/event-stream" } });
    CHECK(fourth.hasEnded);
    CHECK(second.isAwaitingResponse());
    CHECK(harness.proxy.activeRequestCount() == 1);
}

// Guards against cancelling a booking in progress, which would leave its outcome unknown, because its caller
// disconnected.
TEST_CASE("a non-idempotent call runs to its end when its caller disconnects", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    harness.latestExchange().listener->onConnected();
    caller.listener->onCallerDisconnected();
    CHECK_FALSE(harness.latestExchange().isCancelled);
    harness.latestExchange().respond(200, "booked");
    CHECK(harness.proxy.activeRequestCount() == 0);
    CHECK(harness.inFlightCount() == 0);
}

// Guards against queued callers that receive no response when the daemon stops.
TEST_CASE("refusing queued requests ends them as not run while running requests continue", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& running = harness.sendBooking();
    FakeCaller& queued = harness.sendBooking();
    harness.proxy.refuseNewRequests();
    harness.proxy.refuseQueuedRequests();
    REQUIRE(queued.hasEnded);
    CHECK(queued.errorKind() == "shutting_down");
    CHECK(queued.runStatus() == "not_run");
    CHECK(running.isAwaitingResponse());
    harness.latestExchange().respond(200, "booked");
    CHECK(running.body == "booked");
    CHECK(harness.proxy.activeRequestCount() == 0);
}

// Guards against plain service calls that cost nothing, which would exempt them from fair scheduling.
TEST_CASE("a plain service call costs one unit plus one per 4096 body bytes", "[flow]")
{
    RequestProxyHarness harness;
    harness.sendBooking("GET");
    harness.latestExchange().respond(200, std::string(8192 - 4, 'x'));
    CHECK(harness.servedCost() == 3.0);
}

// Guards against a hop without a span and against spans outside the caller's trace.
TEST_CASE("each hop of a request has a span in the caller's trace", "[flow]")
{
    RequestProxyHarness harness;
    std::string traceId = "0af7651916cd43dd8448eb211c80319c";
    harness.sendChat(true, { { "traceparent", "00-" + traceId + "-b7ad6b7169203331-01" } });
    harness.latestExchange().startEventStream();
    harness.latestExchange().sendBody(tokenEvent(0) + endMarkerEvent);
    harness.latestExchange().endExchange();
    for (const char* name : { "accept", "queue", "connect", "endpoint", "relay" })
        CHECK(harness.spans.find("\"name\":\"" + std::string(name) + "\"") != std::string::npos);
    CHECK(findHeader(harness.exchange(0).request.headers, "traceparent").find(traceId) == 3);
}

// Guards against callers that cannot discover the available models.
TEST_CASE("GET /v1/models lists the models of all pools", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.send({ .method = "GET", .target = "/v1/models" });
    REQUIRE(caller.hasEnded);
    CHECK(nlohmann::json::parse(caller.body)["data"][0]["id"] == "care-9b");
}

// Guards against a request that stays in the table after an exception at the end of its exchange: nobody would end it,
// its slot would be lost, and a planned stop would wait for it without limit.
TEST_CASE("an exception at the end of an exchange ends the request and frees its slot", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    harness.latestExchange().sendHead(200);
    harness.latestExchange().sendBody("booked");
    harness.failsTracing = true;
    SECTION("of a complete answer")
    {
        harness.latestExchange().endExchange();
        CHECK((caller.hasEnded || caller.isAborted));
    }
    SECTION("of a broken answer")
    {
        harness.latestExchange().endExchange(false);
        REQUIRE(caller.hasEnded);
        CHECK(caller.runStatus() == "unknown");
    }
    CHECK(harness.transport.exchanges.size() == 1); // A booking is not repeated.
    CHECK(harness.proxy.activeRequestCount() == 0);
    CHECK(harness.inFlightCount() == 0);
}

// The same for a deadline, which the tick checks for all requests.
TEST_CASE("an exception at a deadline ends this request and not the check of the others", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& first = harness.sendBooking();
    FakeCaller& second = harness.sendChat();
    harness.failsTracing = true;
    harness.advance(harness.configuration.limits.defaultDeadline + Millis { 1 });
    CHECK_FALSE(first.isAwaitingResponse());
    CHECK_FALSE(second.isAwaitingResponse());
    CHECK(harness.proxy.activeRequestCount() == 0);
}
