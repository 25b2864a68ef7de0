#include "RequestProxyHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

// Guards against tokens being lost, reordered or held back on the ordinary path, and against a wrong charge.
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
    std::string usage = "data: {\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":2}}\n\n";
    exchange.sendBody(tokenEvent(1).substr(9) + usage + doneEvent);
    exchange.endExchange();

    CHECK(caller.ended);
    CHECK(caller.head.status == 200);
    CHECK(caller.body == tokenEvent(0) + tokenEvent(1) + usage + doneEvent);
    CHECK(harness.servedCost() == 12.0);
    CHECK(harness.inFlight() == 0);
    CHECK(harness.flow.active() == 0);
}

// Guards against a caller being told less than the error body promises, for each refusal before the queue.
TEST_CASE("requests that cannot be accepted are refused as not run", "[flow]")
{
    RequestProxyHarness harness;
    auto refusal = [&](CallerRequest request) {
        FakeCaller& caller = harness.send(std::move(request));
        REQUIRE(caller.ended);
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
    harness.flow.refuseNew();
    CHECK(refusal({ .method = "GET", .target = "/booking/x" }) == "shutting_down");
}

// Guards against work running for callers who were told that it will not, and against a queue that never shrinks.
TEST_CASE("a queued request ends at its deadline as not run", "[flow]")
{
    RequestProxyHarness harness;
    harness.sendBooking();
    FakeCaller& late = harness.send(
        { .method = "POST", .target = "/booking/slots", .headers = { { "X-Deadline-Ms", "200" } }, .body = "slot" });
    harness.advance(Millis { 199 });
    CHECK(late.isAwaitingResponse());
    harness.advance(Millis { 1 });
    REQUIRE(late.ended);
    CHECK(late.errorKind() == "deadline_exceeded");
    CHECK(late.runStatus() == "not_run");
    harness.latestExchange().respond(200, "booked");
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against a caller who waits beyond its deadline, and against calling a sent request "not run".
TEST_CASE("a running request without an answer by its deadline ends as unknown", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendChat(false, { { "X-Deadline-Ms", "300" } });
    harness.latestExchange().listener->onConnected();
    harness.advance(Millis { 300 });
    REQUIRE(caller.ended);
    CHECK(caller.errorKind() == "deadline_exceeded");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.exchange(0).cancelled);
    CHECK(harness.exchange(1).request.method == "DELETE");
    CHECK(harness.inFlight() == 0);
}

// Guards against unbounded memory when a caller reads more slowly than the engine writes.
TEST_CASE("the endpoint is not read while the caller's buffer is above the high-water mark", "[flow]")
{
    RequestProxyHarness harness({ .highWater = 100 });
    FakeCaller& caller = harness.sendChat();
    harness.latestExchange().startEventStream();
    caller.buffered = 101;
    harness.latestExchange().sendBody(tokenEvent(0));
    CHECK(harness.latestExchange().paused);
    caller.buffered = 0;
    caller.listener->onSendBufferEmpty();
    CHECK_FALSE(harness.latestExchange().paused);
}

// Guards against slots that stay taken by work nobody waits for.
TEST_CASE("a caller that goes away frees its place and its slot at once", "[flow]")
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
    CHECK(harness.exchange(0).cancelled);
    REQUIRE(harness.transport.exchanges.size() == 4);
    CHECK(harness.exchange(2).request.method == "DELETE");
    CHECK(harness.exchange(2).request.target == "/v1/streams/" + harness.exchange(0).id());
    CHECK(harness.exchange(3).request.address == harness.exchange(0).request.address);
    harness.exchange(3).respond(200, "{}");
    CHECK(fourth.ended);
    CHECK(second.isAwaitingResponse());
    CHECK(harness.flow.active() == 1);
}

// Guards against a booking whose outcome is lost because its caller hung up while it ran.
TEST_CASE("a non-idempotent call runs to its end when its caller goes away", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.sendBooking();
    harness.latestExchange().listener->onConnected();
    caller.listener->onCallerDisconnected();
    CHECK_FALSE(harness.latestExchange().cancelled);
    harness.latestExchange().respond(200, "booked");
    CHECK(harness.flow.active() == 0);
    CHECK(harness.inFlight() == 0);
}

// Guards against queued callers that are left without an answer when the daemon stops.
TEST_CASE("at the drain limit queued requests are told not run while running ones go on", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& running = harness.sendBooking();
    FakeCaller& queued = harness.sendBooking();
    harness.flow.refuseNew();
    harness.flow.refuseQueued();
    REQUIRE(queued.ended);
    CHECK(queued.errorKind() == "shutting_down");
    CHECK(queued.runStatus() == "not_run");
    CHECK(running.isAwaitingResponse());
    harness.latestExchange().respond(200, "booked");
    CHECK(running.body == "booked");
    CHECK(harness.flow.active() == 0);
}

// Guards against plain services that are charged nothing, which would make them free of fairness.
TEST_CASE("a plain call costs one unit and its bytes", "[flow]")
{
    RequestProxyHarness harness;
    harness.sendBooking("GET");
    harness.latestExchange().respond(200, std::string(8192 - 4, 'x'));
    CHECK(harness.servedCost() == 3.0);
}

// Guards against a missing hop in traces and against a trace that does not continue the caller's.
TEST_CASE("each hop of a request has a span in the caller's trace", "[flow]")
{
    RequestProxyHarness harness;
    std::string trace = "0af7651916cd43dd8448eb211c80319c";
    harness.sendChat(true, { { "traceparent", "00-" + trace + "-b7ad6b7169203331-01" } });
    harness.latestExchange().startEventStream();
    harness.latestExchange().sendBody(tokenEvent(0) + doneEvent);
    harness.latestExchange().endExchange();
    for (const char* name : { "accept", "queue", "connect", "endpoint", "relay" })
        CHECK(harness.spans.find("\"name\":\"" + std::string(name) + "\"") != std::string::npos);
    CHECK(findHeader(harness.exchange(0).request.headers, "traceparent").find(trace) == 3);
}

// Guards against callers that cannot find out which models they can ask for.
TEST_CASE("GET /v1/models lists the models of all pools", "[flow]")
{
    RequestProxyHarness harness;
    FakeCaller& caller = harness.send({ .method = "GET", .target = "/v1/models" });
    REQUIRE(caller.ended);
    CHECK(nlohmann::json::parse(caller.body)["data"][0]["id"] == "care-9b");
}
