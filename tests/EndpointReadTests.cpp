#include "LoopbackHarness.h"
#include "net/EndpointClient.h"
#include "net/EventPriority.h"
#include "net/Socket.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <functional>
#include <optional>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

struct BodyListener final : EndpointListener {
    std::function<void()> handleBody { [] {} };
    std::optional<EndpointExchangeResult> result;

    void onConnected() override { }
    void onHead(const HttpResponseHead&) override { }
    void onBody(std::string_view) override { handleBody(); }
    void onEnd(const EndpointExchangeResult& end) override { result = end; }
};

struct ReadFixture {
    EventBasePointer base { makePrioritizedEventBase() };
    SystemClock clock;
    EndpointClient client { *base, clock, {} };
    ListeningSocket endpointListener;
    BodyListener listener;

    /// \returns The endpoint's side of the connection, with the request read.
    BlockingSocket start()
    {
        static_cast<void>(
            client.start({ .address = endpointListener.address(), .method = "GET", .target = "/" }, listener));
        runUntil([this] { return endpointListener.hasPendingConnection(0); });
        BlockingSocket endpoint = endpointListener.accept();
        runUntil([&] {
            pollfd state { .fd = endpoint.descriptor(), .events = POLLIN };
            return poll(&state, 1, 0) > 0;
        });
        static_cast<void>(endpoint.readUntil("\r\n\r\n"));
        return endpoint;
    }

    void runUntil(const std::function<bool()>& isReached)
    {
        auto end = clock.now() + Millis { 5'000 };
        while (!isReached()) {
            if (clock.now() >= end)
                FAIL("not reached in time");
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        }
    }
};

}

// Guards against a daemon that reads no callers while the bytes of one answer arrive as fast as it handles them.
TEST_CASE("an answer that is always readable leaves turns to callers", "[endpoint][starvation]")
{
    ReadFixture fixture;
    BlockingSocket endpoint = fixture.start();
    endpoint.write("HTTP/1.1 200 OK\r\n\r\n");
    const std::string bytes(1U << 20U, 'x');
    constexpr int maxReads = 200;
    int reads = 0;
    std::optional<int> readsBeforeCaller;
    std::function<void()> handleCaller = [&] { readsBeforeCaller = readsBeforeCaller.value_or(reads); };
    EventPointer callerEvent(event_new(
        fixture.base.get(), -1, 0,
        [](evutil_socket_t, short, void* handle) { (*static_cast<std::function<void()>*>(handle))(); }, &handleCaller));
    setEventPriority(*callerEvent, EventPriority::IncomingRequests);
    fixture.listener.handleBody = [&] {
        if (++reads < maxReads)
            endpoint.writeSome(bytes, 0); // The connection is readable again before the loop asks.
        if (reads == 1)
            event_active(callerEvent.get(), EV_TIMEOUT, 0);
    };
    endpoint.writeSome(bytes, 0);
    fixture.runUntil([&] { return readsBeforeCaller && reads >= maxReads; });
    CHECK(*readsBeforeCaller <= 8);
}

// Guards against the overflow of an announced idle time, after which the connection would not be used again.
TEST_CASE("an endpoint may announce an idle time of any size", "[endpoint][odd]")
{
    auto idleConnectionsAfter = [](const std::string& seconds) {
        ReadFixture fixture;
        BlockingSocket endpoint = fixture.start();
        endpoint.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=" + seconds + "\r\n\r\nok");
        fixture.runUntil([&] { return fixture.listener.result.has_value(); });
        REQUIRE(fixture.listener.result->isComplete);
        // Long enough for the timer that closes connections whose idle time is over.
        auto end = fixture.clock.now() + Millis { 600 };
        fixture.runUntil([&] { return fixture.clock.now() >= end; });
        return fixture.client.idleConnectionCount();
    };
    CHECK(idleConnectionsAfter("9223372036854775807") == 1);
    CHECK(idleConnectionsAfter("10000000000000000") == 1);
    CHECK(idleConnectionsAfter("60") == 1);
    CHECK(idleConnectionsAfter("0") == 0);
    CHECK(idleConnectionsAfter("-9223372036854775808") == 0);
    CHECK(idleConnectionsAfter("-1") == 0);
}
