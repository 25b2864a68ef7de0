#include "routing/LatencyAdmission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminestack {

namespace {

    // Part of the tightest objective that the work ahead of a request may take. The rest is for the request's own
    // prompt, the engine's first step and the network.
    constexpr double queueShare = 0.5;

    // The same part for a request that is late in any case: it earns less, and delays all that follow as long.
    constexpr double lateQueueShare = 0.15;

    // A workspace at its fair share may use the whole limit. One above it leaves room for the others, steeply so that a
    // flood cannot fill the engines; one below it may go where the work ahead is twice as long.
    constexpr double lowestMargin = 0.02;
    constexpr double highestMargin = 2.0;
    constexpr double marginExponent = 3.0;

    // A request that has missed its objective already, or cannot meet it, waits for this part of its remaining time,
    // but not so long that its caller could not come back once more.
    constexpr std::int64_t latePatienceDivisor = 6;
    constexpr Millis latePatience { 2'000 };

    constexpr double shortestRetry = 200.0;
    constexpr double longestRetry = 4'000.0;
    constexpr double retryWithoutEndpoint = 1'000.0;

    double workspaceMargin(double pressure) noexcept
    {
        if (pressure <= 1.0)
            return std::min(2.0 - pressure, highestMargin);
        return std::max(std::pow(pressure, -marginExponent), lowestMargin);
    }

}

AdmissionLimits admissionLimits(const AdmissionInput& facts) noexcept
{
    auto objective = static_cast<double>(facts.objective.count);
    if (facts.tightest == Millis {})
        return { .ahead = objective, .total = objective, .aheadWhenLate = objective };
    double tightest = static_cast<double>(std::min(facts.tightest, facts.objective).count);
    double margin = workspaceMargin(facts.fairShareRatio);
    return { .ahead = tightest * queueShare * margin,
        .total = (objective - static_cast<double>(facts.age.count)) / facts.overrun,
        .aheadWhenLate = tightest * lateQueueShare * margin,
        .rereadWeight = std::min(facts.fairShareRatio, 1.0) };
}

bool isLate(const AdmissionLimits& limits, const LatencyPrediction& prediction) noexcept
{
    return prediction.idleEndpointMs > limits.total;
}

bool isPredictionWithinLimits(const AdmissionLimits& limits, const LatencyPrediction& prediction) noexcept
{
    double charged = prediction.queueMs + prediction.recomputeCostMs * limits.rereadWeight;
    if (isLate(limits, prediction))
        return charged <= limits.aheadWhenLate;
    return charged <= limits.ahead && prediction.firstByteMs() <= limits.total;
}

bool mayWait(const AdmissionInput& facts, const AdmissionLimits& limits, const LatencyPrediction& prediction) noexcept
{
    // Until it is late it may still be sent in time.
    if (!isLate(limits, prediction))
        return true;
    return facts.waited < std::min(latePatience, Millis { facts.timeLeft.count / latePatienceDivisor });
}

Millis retryDelay(
    const AdmissionInput& facts, const AdmissionLimits& limits, const LatencyPrediction& prediction, Random& random)
{
    double excess = std::isfinite(prediction.queueMs) ? prediction.queueMs - limits.ahead : retryWithoutEndpoint;
    double base = std::clamp(excess * std::max(facts.fairShareRatio, 1.0), shortestRetry, longestRetry);
    return { static_cast<std::int64_t>(base * (0.75 + 0.75 * random.uniformReal())) };
}

}
