#include "LoopbackHarness.h"
#include "RouterHarness.h"
#include "net/ConnectionBudget.h"
#include "net/EndpointClient.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "net/SimpleHttpServer.h"
#include "net/Socket.h"

#include <catch2/catch.hpp>

#include <event2/event.h>
#include <fcntl.h>
#include <optional>
#include <sys/resource.h>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

/// \brief Lets the process open no further descriptor until it is destroyed.
class NoDescriptors {
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_previous);
        int lowestFree = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        ::close(lowestFree);
        rlimit limit { .rlim_cur = static_cast<rlim_t>(lowestFree), .rlim_max = m_previous.rlim_max };
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &m_previous); }
    NoDescriptors(const NoDescriptors&) = delete;
    NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
    rlimit m_previous {};
};

struct EndListener final : EndpointListener {
    std::optional<EndpointExchangeResult> result;

    void onConnected() override { }
    void onHead(const HttpResponseHead&) override { }
    void onBody(std::string_view) override { }
    void onEnd(const EndpointExchangeResult& end) override { result = end; }
};

// Returns how an exchange ends with a port that nothing listens at, which is tried if a descriptor may be used.
EndpointExchangeResult runExchange(event_base& base, EndpointClient& client)
{
    EndListener listener;
    static_cast<void>(client.start({ .address = "127.0.0.1:1", .method = "GET", .target = "/" }, listener));
    for (int i = 0; i < 200 && !listener.result; ++i) {
        event_base_loop(&base, EVLOOP_NONBLOCK);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    REQUIRE(listener.result);
    return *listener.result;
}

}

// Guards against a router without descriptors that only tries to accept, over 100,000 times a second, and so neither
// serves the connections that it has nor hands back the processor.
TEST_CASE("a server without descriptors waits before it accepts again", "[descriptors]")
{
    EventBasePointer base = makePrioritizedEventBase();
    SimpleHttpServer server { *base, [](std::string_view) { return SimpleHttpResponse { .body = "ready" }; } };
    std::string address = freeAddress();
    REQUIRE(server.listen(address));
    BlockingSocket check = BlockingSocket::connectTo(splitAddress(address).value().second);
    check.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
    bool isOver = false;
    EventPointer end(evtimer_new(
        base.get(), [](evutil_socket_t, short, void* flag) { *static_cast<bool*>(flag) = true; }, &isOver));
    int turns = 0;
    auto runFor = [&](Millis duration) {
        isOver = false;
        timeval interval = toTimeval(duration);
        evtimer_add(end.get(), &interval);
        for (turns = 0; !isOver; ++turns)
            event_base_loop(base.get(), EVLOOP_ONCE);
    };
    {
        NoDescriptors limit;
        runFor(Millis { 500 });
        CHECK(turns <= 50);
    }
    runFor(Millis { 300 });
    CHECK(check.readUntil("ready").starts_with("HTTP/1.1 200"));
}

// Guards against connections to endpoints that take the descriptors for the store and the status addresses.
TEST_CASE("an exchange without a descriptor ends unsent with a kind of its own", "[descriptors]")
{
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock;
    ConnectionBudget budget { .limit = 10, .callerMargin = 2, .callers = 7 };
    EndpointClient client(*base, clock, { .budget = &budget });
    CHECK(runExchange(*base, client).error == ErrorKind::EndpointUnavailable); // Nothing listens there.
    CHECK(budget.endpoints == 0);
    budget.callers = 8;
    EndpointExchangeResult refused = runExchange(*base, client);
    CHECK(refused.error == ErrorKind::RouterOverloaded);
    CHECK_FALSE(refused.requestMayHaveBeenSent);
    budget.callers = 0;
    NoDescriptors limit;
    CHECK(runExchange(*base, client).error == ErrorKind::RouterOverloaded);
}

// Guards against callers that are turned away unanswered while connections to endpoints are at their limit.
TEST_CASE("callers have a margin over connections to endpoints", "[descriptors]")
{
    ConnectionBudget budget { .limit = 10, .callerMargin = 2, .callers = 4, .endpoints = 4 };
    CHECK_FALSE(hasRoomForEndpoint(budget));
    CHECK(hasRoomForCaller(budget));
    budget.callers = 6;
    CHECK_FALSE(hasRoomForCaller(budget));
}
