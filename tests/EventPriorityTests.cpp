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
    std::function<void()> callback;
    EventPointer event;

    Task(event_base& base, EventPriority priority, std::function<void()> function)
        : callback(std::move(function))
        , event(event_new(
              &base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Task*>(self)->callback(); }, this))
    {
        setEventPriority(*event, priority);
    }

    void activate() { event_active(event.get(), EV_TIMEOUT, 0); }
};

}

// Guards against a daemon that, during a burst of new requests, reads them before it handles peer messages and requests
// in progress.
TEST_CASE("control events and requests in progress are handled before new requests", "[policy][burst]")
{
    EventBasePointer base = makePrioritizedEventBase();
    std::string order;
    Task incomingRequest(*base, EventPriority::IncomingRequests, [&] { order += 'n'; });
    Task activeRequest(*base, EventPriority::ActiveRequests, [&] { order += 'w'; });
    Task controlEvent(*base, EventPriority::Control, [&] { order += 'c'; });
    incomingRequest.activate();
    activeRequest.activate();
    controlEvent.activate();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(order == "cwn");
}

// Guards against a daemon with many response streams that handles peer messages only after events of all streams.
TEST_CASE("a control event is handled before all pending request events are", "[policy][burst]")
{
    EventBasePointer base = makePrioritizedEventBase();
    int handledBeforeControl = 0;
    int handledRequests = 0;
    Task controlEvent(*base, EventPriority::Control, [&] { handledBeforeControl = handledRequests; });
    std::vector<std::unique_ptr<Task>> streams;
    for (int i = 0; i < 500; ++i) {
        streams.push_back(std::make_unique<Task>(*base, EventPriority::ActiveRequests, [&] {
            if (++handledRequests == 10)
                controlEvent.activate();
        }));
        streams.back()->activate();
    }
    for (int i = 0; i < 100; ++i)
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(handledRequests == 500);
    CHECK(handledBeforeControl <= 64);
}

TEST_CASE("a loop without priorities runs events of every priority", "[policy]")
{
    EventBasePointer base(event_base_new());
    int runCount = 0;
    Task controlEvent(*base, EventPriority::Control, [&] { ++runCount; });
    Task incomingRequest(*base, EventPriority::IncomingRequests, [&] { ++runCount; });
    controlEvent.activate();
    incomingRequest.activate();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(runCount == 2);
}

// Guards against a daemon that, during a burst of requests, does not detect that new requests wait to be read.
TEST_CASE("a daemon detects when new requests start and stop waiting to be read", "[policy][burst]")
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
    CHECK(monitor.isSaturated());
    CHECK(monitor.lag() == Millis { 100 });
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK_FALSE(monitor.tick()); // Saturation is reported only once.
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK_FALSE(monitor.tick());
    CHECK(monitor.lag() == Millis { 0 });
    clock.advance(Millis { 2'000 });
    CHECK_FALSE(monitor.isSaturated());
}

TEST_CASE("a paced turn handles pending events and stops when the daemon ends", "[policy]")
{
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock;
    LoopMonitor monitor(*base, clock);
    int runCount = 0;
    Task activeRequest(*base, EventPriority::ActiveRequests, [&] { ++runCount; });
    Task incomingRequest(*base, EventPriority::IncomingRequests, [&] { ++runCount; });
    activeRequest.activate();
    incomingRequest.activate();
    monitor.runPacedTurn([] { return false; });
    CHECK(runCount == 2);
    monitor.runPacedTurn([] { return true; });
    CHECK(runCount == 2);
}
