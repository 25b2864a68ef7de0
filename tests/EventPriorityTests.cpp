#include "net/EventPriority.h"
#include "net/Socket.h"
#include "router/LoopMonitor.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <functional>
#include <string>
#include <vector>

using namespace jasminestack;

namespace {

/// \brief An event without a descriptor that calls a function.
struct Task {
    std::function<void()> run;
    EventPointer event;

    Task(event_base& base, EventPriority priority, std::function<void()> function)
        : run(std::move(function))
        , event(event_new(
              &base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Task*>(self)->run(); }, this))
    {
        setEventPriority(*event, priority);
    }

    void activate() { event_active(event.get(), EV_TIMEOUT, 0); }
};

}

// Pattern: a flood of new requests at one daemon. Guards against a daemon that reads them before it hears its peers and
// finishes what it has begun.
TEST_CASE("control events and requests in progress go before new requests", "[policy][burst]")
{
    EventBasePointer base = makePrioritizedEventBase();
    std::string order;
    Task newWork(*base, EventPriority::IncomingRequests, [&] { order += 'n'; });
    Task work(*base, EventPriority::ActiveRequests, [&] { order += 'w'; });
    Task control(*base, EventPriority::Control, [&] { order += 'c'; });
    newWork.activate();
    work.activate();
    control.activate();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(order == "cwn");
}

// Guards against a daemon with very many streams that hears its peers only after all of them.
TEST_CASE("a control event does not wait for all requests in progress", "[policy][burst]")
{
    EventBasePointer base = makePrioritizedEventBase();
    int before = 0;
    int handled = 0;
    Task control(*base, EventPriority::Control, [&] { before = handled; });
    std::vector<std::unique_ptr<Task>> streams;
    for (int i = 0; i < 500; ++i) {
        streams.push_back(std::make_unique<Task>(*base, EventPriority::ActiveRequests, [&] {
            if (++handled == 10)
                control.activate();
        }));
        streams.back()->activate();
    }
    for (int i = 0; i < 100; ++i)
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(handled == 500);
    CHECK(before <= 64);
}

TEST_CASE("a loop without priorities runs all events alike", "[policy]")
{
    EventBasePointer base(event_base_new());
    int runs = 0;
    Task control(*base, EventPriority::Control, [&] { ++runs; });
    Task newWork(*base, EventPriority::IncomingRequests, [&] { ++runs; });
    control.activate();
    newWork.activate();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(runs == 2);
}

// Pattern: a flood at one daemon. Guards against a daemon that does not notice that its callers wait.
TEST_CASE("a daemon notices that new requests wait, and that they no longer do", "[policy][burst]")
{
    EventBasePointer base = makePrioritizedEventBase();
    FakeClock clock;
    LoopMonitor monitor(*base, clock);
    CHECK_FALSE(monitor.tick());
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(monitor.lag() == Millis { 0 });
    CHECK_FALSE(monitor.tick());
    clock.advance(Millis { 100 }); // The loop is busy with other events.
    CHECK(monitor.tick());
    CHECK(monitor.saturated());
    CHECK(monitor.lag() == Millis { 100 });
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK_FALSE(monitor.tick()); // Told once.
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK_FALSE(monitor.tick());
    CHECK(monitor.lag() == Millis { 0 });
    clock.advance(Millis { 2'000 });
    CHECK_FALSE(monitor.saturated());
}

TEST_CASE("a paced turn handles what was ready and stops when the daemon ends", "[policy]")
{
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock;
    LoopMonitor monitor(*base, clock);
    int runs = 0;
    Task work(*base, EventPriority::ActiveRequests, [&] { ++runs; });
    Task newWork(*base, EventPriority::IncomingRequests, [&] { ++runs; });
    work.activate();
    newWork.activate();
    monitor.runPacedTurn([] { return false; });
    CHECK(runs == 2);
    monitor.runPacedTurn([] { return true; });
    CHECK(runs == 2);
}
