#include "router/ShutdownTimes.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // The load balancer probes once a second and removes a daemon after two failed probes, so new connections arrive
    // until then. Requests that arrive later are refused, since they could not end within the grace time.
    constexpr Millis balancerRemovalTime { 2'500 };

    // The process ends this long before the end of the grace time, when the platform kills it.
    constexpr Millis exitMargin { 300 };

    // A grace time that is hardly longer than the margin still leaves this part of it.
    constexpr std::int64_t shortGraceDivisor = 4;

    // Requests that are still in progress get their final answers this long before the process ends, so that the
    // answers are written.
    constexpr Millis finalAnswerMargin { 200 };

    // Requests are taken for at most this part of the grace time.
    constexpr std::int64_t acceptanceDivisor = 2;

}

ShutdownTimes shutdownTimes(Millis grace) noexcept
{
    Millis exit = std::max(grace - exitMargin, Millis { grace.count / shortGraceDivisor });
    return { .refusal = std::min(balancerRemovalTime, Millis { exit.count / acceptanceDivisor }),
        .finalAnswers = std::max(exit - finalAnswerMargin, Millis {}),
        .exit = exit };
}

}
