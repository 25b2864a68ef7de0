#include "RequestProxyHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

// Guards against tokens being lost, reordered or held back on the ordinary path, and against a wrong charge.
TEST_CASE("a stream is relayed event by event and charged by its usage", "[flow]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.chat();
    REQUIRE(harness.transport.exchanges.size() == 1);
    auto& exchange = harness.last();
    CHECK(exchange.request.target == "/v1/chat/completions");
    CHECK(findHeader(exchange.request.headers, "Authorization").empty());
    CHECK(parseTraceparent(findHeader(exchange.request.headers, "traceparent")));

    exchange.events();
    CHECK(caller.silent());
    exchange.body(event(0) + event(1).substr(0, 9));
    CHECK(caller.body == event(0));
    std::string usage = "data: {\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":2}}\n\n";
    exchange.body(event(1).substr(9) + usage + doneEvent);
    exchange.end();

    CHECK(caller.ended);
    CHECK(caller.head.status == 200);
    CHECK(caller.body == event(0) + event(1) + usage + doneEvent);
    CHECK(harness.served() == 12.0);
    CHECK(harness.inFlight() == 0);
    CHECK(harness.flow.active() == 0);
}

// Guards against a caller being told less than the error body promises, for each refusal before the queue.
TEST_CASE("requests that cannot be accepted are refused as not run", "[flow]")
{
    FlowHarness harness;
    auto refusal = [&](CallerRequest request) {
        FakeCaller& caller = harness.send(std::move(request));
        REQUIRE(caller.ended);
        CHECK(caller.runStatus() == "not_run");
        CHECK(harness.transport.exchanges.empty());
        return caller.kind();
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
    FlowHarness harness;
    harness.book();
    FakeCaller& late = harness.send(
        { .method = "POST", .target = "/booking/slots", .headers = { { "X-Deadline-Ms", "200" } }, .body = "slot" });
    harness.advance(Millis { 199 });
    CHECK(late.silent());
    harness.advance(Millis { 1 });
    REQUIRE(late.ended);
    CHECK(late.kind() == "deadline_exceeded");
    CHECK(late.runStatus() == "not_run");
    harness.last().answer(200, "booked");
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against a caller who waits beyond its deadline, and against calling a sent request "not run".
TEST_CASE("a running request without an answer by its deadline ends as unknown", "[flow]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.chat(false, { { "X-Deadline-Ms", "300" } });
    harness.last().listener->onConnected();
    harness.advance(Millis { 300 });
    REQUIRE(caller.ended);
    CHECK(caller.kind() == "deadline_exceeded");
    CHECK(caller.runStatus() == "unknown");
    CHECK(harness.exchange(0).cancelled);
    CHECK(harness.exchange(1).request.method == "DELETE");
    CHECK(harness.inFlight() == 0);
}

// Guards against unbounded memory when a caller reads more slowly than the engine writes.
TEST_CASE("the endpoint is not read while the caller's buffer is above the high-water mark", "[flow]")
{
    FlowHarness harness({ .highWater = 100 });
    FakeCaller& caller = harness.chat();
    harness.last().events();
    caller.buffered = 101;
    harness.last().body(event(0));
    CHECK(harness.last().paused);
    caller.buffered = 0;
    caller.listener->onSendBufferEmpty();
    CHECK_FALSE(harness.last().paused);
}

// Guards against slots that stay taken by work nobody waits for.
TEST_CASE("a caller that goes away frees its place and its slot at once", "[flow]")
{
    FlowHarness harness;
    FakeCaller& first = harness.chat();
    FakeCaller& second = harness.chat();
    FakeCaller& third = harness.chat();
    FakeCaller& fourth = harness.chat();
    REQUIRE(harness.transport.exchanges.size() == 2);
    third.listener->onCallerDisconnected();
    harness.exchange(0).events();
    first.listener->onCallerDisconnected();
    CHECK(harness.exchange(0).cancelled);
    REQUIRE(harness.transport.exchanges.size() == 4);
    CHECK(harness.exchange(2).request.method == "DELETE");
    CHECK(harness.exchange(2).request.target == "/v1/streams/" + harness.exchange(0).id());
    CHECK(harness.exchange(3).request.address == harness.exchange(0).request.address);
    harness.exchange(3).answer(200, "{}");
    CHECK(fourth.ended);
    CHECK(second.silent());
    CHECK(harness.flow.active() == 1);
}

// Guards against a booking whose outcome is lost because its caller hung up while it ran.
TEST_CASE("a non-idempotent call runs to its end when its caller goes away", "[flow]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.book();
    harness.last().listener->onConnected();
    caller.listener->onCallerDisconnected();
    CHECK_FALSE(harness.last().cancelled);
    harness.last().answer(200, "booked");
    CHECK(harness.flow.active() == 0);
    CHECK(harness.inFlight() == 0);
}

// Guards against queued callers that are left without an answer when the daemon stops.
TEST_CASE("at the drain limit queued requests are told not run while running ones go on", "[flow]")
{
    FlowHarness harness;
    FakeCaller& running = harness.book();
    FakeCaller& queued = harness.book();
    harness.flow.refuseNew();
    harness.flow.refuseQueued();
    REQUIRE(queued.ended);
    CHECK(queued.kind() == "shutting_down");
    CHECK(queued.runStatus() == "not_run");
    CHECK(running.silent());
    harness.last().answer(200, "booked");
    CHECK(running.body == "booked");
    CHECK(harness.flow.active() == 0);
}

// Guards against plain services that are charged nothing, which would make them free of fairness.
TEST_CASE("a plain call costs one unit and its bytes", "[flow]")
{
    FlowHarness harness;
    harness.book("GET");
    harness.last().answer(200, std::string(8192 - 4, 'x'));
    CHECK(harness.served() == 3.0);
}

// Guards against a missing hop in traces and against a trace that does not continue the caller's.
TEST_CASE("each hop of a request has a span in the caller's trace", "[flow]")
{
    FlowHarness harness;
    std::string trace = "0af7651916cd43dd8448eb211c80319c";
    harness.chat(true, { { "traceparent", "00-" + trace + "-b7ad6b7169203331-01" } });
    harness.last().events();
    harness.last().body(event(0) + doneEvent);
    harness.last().end();
    for (const char* name : { "accept", "queue", "connect", "endpoint", "relay" })
        CHECK(harness.spans.find("\"name\":\"" + std::string(name) + "\"") != std::string::npos);
    CHECK(findHeader(harness.exchange(0).request.headers, "traceparent").find(trace) == 3);
}

// Guards against callers that cannot find out which models they can ask for.
TEST_CASE("GET /v1/models lists the models of all pools", "[flow]")
{
    FlowHarness harness;
    FakeCaller& caller = harness.send({ .method = "GET", .target = "/v1/models" });
    REQUIRE(caller.ended);
    CHECK(nlohmann::json::parse(caller.body)["data"][0]["id"] == "care-9b");
}
