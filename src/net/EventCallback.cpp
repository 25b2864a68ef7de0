#include "net/EventCallback.h"

#include "base/Clock.h"
#include "observe/LogLimit.h"
#include "observe/Logging.h"

#include <exception>
#include <utility>

namespace jasminestack {

namespace {

    constexpr LogLimitOptions failureLogLimit;

    // Of the event loop that runs on this thread.
    struct CallbackFailures {
        std::uint64_t count { 0 };
        LogLimit log;
    };

    CallbackFailures& failures() noexcept
    {
        thread_local CallbackFailures instance;
        return instance;
    }

    void logFailure(std::string_view callback, std::string_view reason)
    {
        LogLimitDecision decision = recordEvent(failures().log, failureLogLimit, SystemClock().now());
        if (decision.unloggedEvents != 0)
            logEvent(LogLevel::Error, "callbacks_failed",
                { { "unlogged", decision.unloggedEvents }, { "since_ms", decision.unloggedSince.count } });
        if (decision.mayLog)
            logEvent(LogLevel::Error, "callback_failed", { { "callback", callback }, { "reason", reason } });
    }

}

void reportCallbackFailure(std::string_view callback) noexcept
{
    ++failures().count;
    try {
        try {
            throw;
        } catch (const std::exception& error) {
            logFailure(callback, error.what());
        } catch (...) {
            logFailure(callback, "an exception of another type");
        }
    } catch (...) { // NOLINT(bugprone-empty-catch): there is no memory for the line either; the metric has the failure.
    }
}

std::uint64_t takeCallbackFailures() noexcept { return std::exchange(failures().count, 0); }

}
