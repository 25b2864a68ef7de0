#include "LoopbackHarness.h"
#include "net/CallerServer.h"
#include "net/Socket.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <functional>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

/// \brief Handles the first request by \c respond and answers later ones.
struct Handler final : CallerHandler {
    std::function<void(CallerExchange&)> respond;
    unsigned requests { 0 };

    void onRequest(CallerRequest, CallerExchange& exchange) override
    {
        if (++requests == 1)
            respond(exchange);
        else
            exchange.sendResponse({ .status = 200 }, "next");
    }
};

void runUntil(event_base& base, const std::function<bool()>& isReached)
{
    SystemClock clock;
    auto end = clock.now() + Millis { 5'000 };
    while (!isReached()) {
        if (clock.now() >= end)
            FAIL("not reached in time");
        event_base_loop(&base, EVLOOP_NONBLOCK);
    }
}

/// \returns What a caller that sends two requests receives until its connection ends, if the first one is handled by
/// \p respond.
std::string receivedBytes(const std::function<void(CallerExchange&)>& respond)
{
    EventBasePointer base = makePrioritizedEventBase();
    Handler handler;
    CallerServer server(*base, handler, { .address = "127.0.0.1:0" });
    REQUIRE(server.listen());
    handler.respond = respond;
    BlockingSocket caller = BlockingSocket::connectTo(server.port());
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    caller.write(request + request);
    runUntil(*base, [&] { return handler.requests == 2 || (handler.requests == 1 && server.connectionCount() == 0); });
    shutdown(caller.descriptor(), SHUT_WR);
    runUntil(*base, [&] { return server.connectionCount() == 0; });
    return caller.readToEnd();
}

}

// Guards against a response that is none in HTTP, whatever the reason for it in the layers above.
TEST_CASE("a response whose status is none closes the connection", "[caller][response]")
{
    int status = GENERATE(0, -1, 99, 100, 199, 600, 1000);
    bool isStream = GENERATE(false, true);
    CAPTURE(status, isStream);
    CHECK(receivedBytes([&](CallerExchange& exchange) {
        if (!isStream) {
            exchange.sendResponse({ .status = status }, "body");
            return;
        }
        exchange.startStream({ .status = status });
        exchange.sendChunk("body");
        exchange.endStream();
    }).empty());
}

// Guards against a head in the middle of a body that has begun, and against bodies without a head.
TEST_CASE("a response that begins twice or not at all is not completed", "[caller][response]")
{
    const CallerResponseHead head { .status = 200 };
    SECTION("a response within a stream")
    {
        std::string received = receivedBytes([&](CallerExchange& exchange) {
            exchange.startStream(head);
            exchange.sendChunk("part");
            exchange.sendResponse(head, "whole");
        });
        CHECK(received.starts_with("HTTP/1.1 200 OK\r\n"));
        CHECK(received.ends_with("\r\n4\r\npart\r\n"));
    }
    SECTION("a stream within a stream")
    {
        std::string received = receivedBytes([&](CallerExchange& exchange) {
            exchange.startStream(head);
            exchange.sendChunk("part");
            exchange.startStream(head);
            exchange.sendChunk("other");
            exchange.endStream();
        });
        CHECK(received.ends_with("\r\n4\r\npart\r\n"));
    }
    SECTION("a chunk without a head")
    {
        CHECK(receivedBytes([&](CallerExchange& exchange) {
            exchange.sendChunk("part");
            exchange.endStream();
        }).empty());
    }
    SECTION("an end without a head")
    {
        CHECK(receivedBytes([&](CallerExchange& exchange) { exchange.endStream(); }).empty());
    }
}
