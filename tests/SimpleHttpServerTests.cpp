#include "LoopbackHarness.h"
#include "RouterHarness.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "net/SimpleHttpServer.h"
#include "net/Socket.h"

#include <catch2/catch.hpp>

#include <event2/event.h>
#include <list>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

constexpr std::size_t maxConnections = 4;

/// \brief A server whose loop runs only inside run().
struct Fixture {
    EventBasePointer base = makePrioritizedEventBase();
    SimpleHttpServer server { *base,
        [](std::string_view target) { return SimpleHttpResponse { .body = std::string(target) }; },
        { .maxConnections = maxConnections } };
    std::string address = freeAddress();

    Fixture() { REQUIRE(server.listen(address)); }

    [[nodiscard]] BlockingSocket connect() const
    {
        return BlockingSocket::connectTo(splitAddress(address).value().second);
    }

    void run() const
    {
        for (int i = 0; i < 20; ++i) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
};

}

// Guards against a crowd of connections that never end their requests and keep out the load balancer's health check.
TEST_CASE("a health check is answered while clients hold all connections", "[simple-http]")
{
    Fixture fixture;
    std::list<BlockingSocket> crowd;
    for (std::size_t i = 0; i < 3 * maxConnections; ++i) {
        crowd.push_back(fixture.connect());
        crowd.back().write("GET /half HTTP/1.1\r\nHos");
        fixture.run();
    }
    BlockingSocket check = fixture.connect();
    check.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.run();
    CHECK(check.readUntil("/ready").starts_with("HTTP/1.1 200"));
}

// Guards against health checks that are refused for what they leave out.
TEST_CASE("a health check needs no Host header", "[simple-http]")
{
    Fixture fixture;
    BlockingSocket check = fixture.connect();
    check.write("GET /ready HTTP/1.1\r\n\r\n");
    fixture.run();
    CHECK(check.readUntil("/ready").starts_with("HTTP/1.1 200"));
}

// Guards against a head without an end that fills the memory, and against other methods that are handled as GET.
TEST_CASE("requests outside the limits of a health check are refused", "[simple-http]")
{
    Fixture fixture;
    auto [request, status] = GENERATE(table<std::string, std::string>({
        { "GET /ready HTTP/1.1\r\nHost: a\r\nb: " + std::string(9'000, 'x'), "HTTP/1.1 431" },
        { "GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", "HTTP/1.1 413" },
        { "POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405" },
    }));
    BlockingSocket client = fixture.connect();
    client.write(request);
    fixture.run();
    CHECK(client.readUntil("\r\n").starts_with(status));
}

// Guards against a client of this server that keeps callers' requests from being read, because the next of its requests
// is always handled before them.
TEST_CASE("callers are served while a client of the status server pipelines requests", "[simple-http]")
{
    constexpr int requestCount = 600;
    constexpr int maxHandledBefore = 100;
    struct Counts {
        int handled { 0 };
        int handledBeforeCaller { -1 };
    } counts;
    EventBasePointer base = makePrioritizedEventBase();
    SimpleHttpServer server { *base, [&](std::string_view) {
                                 ++counts.handled;
                                 return SimpleHttpResponse {};
                             } };
    std::string address = freeAddress();
    REQUIRE(server.listen(address));
    auto serveCaller = [](evutil_socket_t, short, void* argument) {
        auto& calls = *static_cast<Counts*>(argument);
        calls.handledBeforeCaller = calls.handled;
    };
    EventPointer callerEvent(event_new(base.get(), -1, 0, serveCaller, &counts));
    setEventPriority(*callerEvent, EventPriority::IncomingRequests);
    BlockingSocket client = BlockingSocket::connectTo(splitAddress(address).value().second);
    std::string requests;
    for (int i = 0; i < requestCount; ++i)
        requests += "GET /r HTTP/1.1\r\n\r\n";
    client.write(requests);
    event_active(callerEvent.get(), EV_TIMEOUT, 0);
    constexpr int maxTurns = 1'000;
    for (int i = 0; i < maxTurns && counts.handled < requestCount; ++i)
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(counts.handled == requestCount);
    CHECK(counts.handledBeforeCaller >= 0);
    CHECK(counts.handledBeforeCaller <= maxHandledBefore);
}

// Guards against API keys that clients of the health check can read.
TEST_CASE("documents and metrics are served at their own addresses only", "[simple-http][router]")
{
    LoopbackRouter router;
    auto status = [](const std::string& address, const std::string& target) {
        BlockingSocket client = BlockingSocket::connectTo(splitAddress(address).value().second);
        client.write("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
        return client.readUntil("\r\n").substr(0, std::string_view("HTTP/1.1 200").size());
    };
    const std::string documents = "/documents?configuration=0&registrations=0";
    CHECK(status(router.peersAddress, documents) == "HTTP/1.1 200");
    CHECK(status(router.healthAddress, documents) == "HTTP/1.1 404");
    CHECK(status(router.metricsAddress, documents) == "HTTP/1.1 404");
    CHECK(status(router.metricsAddress, "/metrics") == "HTTP/1.1 200");
    CHECK(status(router.healthAddress, "/metrics") == "HTTP/1.1 404");
    CHECK(status(router.peersAddress, "/metrics") == "HTTP/1.1 404");
    for (const std::string& address : { router.healthAddress, router.metricsAddress, router.peersAddress })
        CHECK(status(address, "/readyz") != "HTTP/1.1 404");
}
