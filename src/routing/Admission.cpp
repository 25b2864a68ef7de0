#include "routing/Admission.h"

#include <algorithm>
#include <cmath>

namespace jasminestack {

namespace {

    // A workspace at its fair share may use the whole limit; one above it leaves room for the others, in proportion.
    constexpr double lowestMargin = 0.3;
    constexpr double highestMargin = 1.2;

    // Part of its objective that a request may wait in the daemon for room before it is refused.
    constexpr std::int64_t patienceDivisor = 8;

    // A request that has missed its objective already, or cannot meet it, waits for a part of its remaining time.
    constexpr Millis latePatience { 1'000 };

    constexpr double shortestRetry = 200.0;
    constexpr double longestRetry = 4'000.0;
    constexpr double retryWithoutEndpoint = 1'000.0;

    double workspaceMargin(double pressure) noexcept
    {
        return std::clamp(2.0 - pressure, lowestMargin, highestMargin);
    }

    double baseLimit(const AdmissionInput& input) noexcept
    {
        Millis objective = input.tightest > Millis {} ? std::min(input.objective, input.tightest) : input.objective;
        return static_cast<double>(objective.count) * workspaceMargin(input.pressure) / input.overrun;
    }

    // Part of the limit that a request which is late in any case may find ahead of it.
    constexpr double lateWorkAhead = 0.5;

    bool lateInAnyCase(const AdmissionInput& input) noexcept
    {
        return input.alone > baseLimit(input) * (1.0 - lateWorkAhead);
    }

    Millis patience(const AdmissionInput& input) noexcept
    {
        if (input.returning || lateInAnyCase(input))
            return { std::min(latePatience.count, input.timeLeft.count / patienceDivisor) };
        return { input.objective.count / patienceDivisor };
    }

}

double admissionLimit(const AdmissionInput& input) noexcept
{
    double limit = baseLimit(input);
    return lateInAnyCase(input) ? input.alone + limit * lateWorkAhead : limit;
}

AdmissionVerdict admit(const AdmissionInput& input) noexcept
{
    if (input.predicted + input.reread <= admissionLimit(input) && input.predicted < static_cast<double>(input.timeLeft.count))
        return AdmissionVerdict::Send;
    return input.waited < patience(input) ? AdmissionVerdict::Wait : AdmissionVerdict::Refuse;
}

Millis retryDelay(const AdmissionInput& input, Random& random)
{
    double excess = std::isfinite(input.predicted) ? input.predicted - admissionLimit(input) : retryWithoutEndpoint;
    double base = std::clamp(excess * std::max(input.pressure, 1.0), shortestRetry, longestRetry);
    return { static_cast<std::int64_t>(base * (0.75 + 0.75 * random.unit())) };
}

}
