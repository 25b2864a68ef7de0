#pragma once

#include "base/Clock.h"

/// \file
/// \brief Limits the log lines about events that come in large numbers under overload.

namespace jasminestack {

/// \brief How many events are logged one by one.
struct LogLimitOptions {
    unsigned maxLines { 10 }; ///< In each interval; further events are counted.
    Millis interval { 1'000 };
};

/// \brief Events of the current interval.
struct LogLimit {
    Millis intervalStart {};
    unsigned events { 0 };
};

/// \brief What to log about an event.
struct LogLimitDecision {
    bool mayLog { true }; ///< The event gets a line of its own.
    unsigned unloggedEvents { 0 }; ///< Events without lines in the interval that has ended; 0: nothing to report.
    Millis unloggedSince {}; ///< Length of that interval up to now.
};

[[nodiscard]] constexpr LogLimitDecision recordEvent(LogLimit& limit, const LogLimitOptions& options, Millis now)
{
    LogLimitDecision decision;
    if (now - limit.intervalStart >= options.interval) {
        if (limit.events > options.maxLines)
            decision
                = { .unloggedEvents = limit.events - options.maxLines, .unloggedSince = now - limit.intervalStart };
        limit = { .intervalStart = now };
    }
    decision.mayLog = ++limit.events <= options.maxLines;
    return decision;
}

}
