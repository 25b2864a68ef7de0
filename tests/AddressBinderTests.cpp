#include "net/AddressBinder.h"

#include "net/EventPriority.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <event2/event.h>
#include <optional>

using namespace jasminestack;

namespace {

/// \brief A binder whose addresses fail as often as the test says.
struct BinderLoop {
    EventBasePointer base { makePrioritizedEventBase() };
    SystemClock clock;
    AddressBinder binder;
    std::optional<Result<void>> completion;

    explicit BinderLoop(Millis timeLimit = Millis { 60'000 })
        : binder(*base, clock, { .retryInterval = Millis { 1 }, .timeLimit = timeLimit })
    {
    }

    Result<void> start(std::vector<AddressBinding> bindings)
    {
        return binder.start(std::move(bindings), [this](Result<void> result) {
            REQUIRE_FALSE(completion.has_value());
            completion = std::move(result);
        });
    }

    void runUntilCompletion()
    {
        for (int i = 0; i < 10'000 && !completion; ++i)
            event_base_loop(base.get(), EVLOOP_ONCE);
        REQUIRE(completion.has_value());
    }
};

AddressBinding failing(int& remainingFailures, int errorNumber, bool isRequired = true)
{
    return { .protocol = "tcp",
        .address = "127.0.0.1:8080",
        .bind = [&remainingFailures, errorNumber]() -> Result<void> {
            if (remainingFailures == 0)
                return ok();
            --remainingFailures;
            return bindError("tcp", "127.0.0.1:8080", errorNumber);
        },
        .isRequired = isRequired };
}

}

// Guards against a start that ends because an address is taken, or not configured yet, for a moment.
TEST_CASE("an address that is unavailable for a moment is bound later", "[address-binder]")
{
    for (int errorNumber : { EADDRINUSE, EADDRNOTAVAIL }) {
        BinderLoop loop;
        int failures = 3;
        int others = 0;
        REQUIRE(loop.start({ failing(failures, errorNumber), failing(others, 0) }));
        REQUIRE_FALSE(loop.completion.has_value());
        loop.runUntilCompletion();
        REQUIRE(*loop.completion);
        REQUIRE(failures == 0);
    }
}

// Guards against a normal start that waits for a turn of the event loop, in which the caller has no port yet.
TEST_CASE("addresses that are free are bound before start returns", "[address-binder]")
{
    BinderLoop loop;
    int failures = 0;
    REQUIRE(loop.start({ failing(failures, 0) }));
    REQUIRE(loop.completion.has_value());
    REQUIRE(*loop.completion);
}

// Guards against a start that retries for half a minute what can't pass, for example a port without permission.
TEST_CASE("an error that does not pass ends the start at once with its text", "[address-binder]")
{
    BinderLoop loop;
    int failures = 1;
    auto result = loop.start({ failing(failures, EACCES) });
    REQUIRE_FALSE(result);
    REQUIRE(result.error().message == "cannot bind tcp 127.0.0.1:8080: Permission denied (errno 13)");
    REQUIRE_FALSE(loop.completion.has_value());
}

// Guards against a process that waits for ever for an address that another service keeps.
TEST_CASE("an address that stays taken fails after the time limit", "[address-binder]")
{
    BinderLoop loop(Millis { 20 });
    int failures = 1'000'000;
    REQUIRE(loop.start({ failing(failures, EADDRINUSE) }));
    loop.runUntilCompletion();
    REQUIRE_FALSE(*loop.completion);
    REQUIRE(loop.completion->error().systemError == EADDRINUSE);
    REQUIRE(event_base_loop(loop.base.get(), EVLOOP_NONBLOCK) == 1); // No timer is left.
}

// Guards against a router that doesn't serve because the address of its metrics is taken, and against metrics that stay
// unreachable after it is free.
TEST_CASE("an optional address neither holds up the start nor is given up", "[address-binder]")
{
    BinderLoop loop(Millis { 0 });
    int failures = 5;
    int others = 0;
    REQUIRE(loop.start({ failing(failures, EACCES, false), failing(others, 0) }));
    REQUIRE(loop.completion.has_value());
    REQUIRE(*loop.completion);
    event_base_dispatch(loop.base.get()); // Ends when no timer is left.
    REQUIRE(failures == 0);
}
