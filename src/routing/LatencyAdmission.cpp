#include "routing/LatencyAdmission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminestack {

namespace {

    // Fraction of the tightest objective that the queue ahead of a request may take. The rest is for the request's own
    // prompt, the engine's first step and the network.
    constexpr double queueFraction = 0.5;

    // The same fraction for a request that misses its objective on any endpoint: sending it gains less but delays later
    // requests just as much.
    constexpr double lateQueueFraction = 0.15;

    // Factor on the queue limits by fair-share ratio. It is 1 at the fair share. Above it the factor falls steeply, so
    // that a flood from one workspace cannot fill the engines; below it the factor rises up to 2.
    constexpr double minimumLimitFactor = 0.02;
    constexpr double maximumLimitFactor = 2.0;
    constexpr double limitFactorExponent = 3.0;

    // The same for a stream of a workspace below its fair share that ends in time at few endpoints only.
    constexpr double urgentStreamQueueFactor = 3.0;

    // A request that cannot meet its objective is refused once it has waited for 1/6 of the time left to its deadline,
    // at most for maximumLateWait, so that its caller still has time to retry.
    constexpr std::int64_t lateWaitDivisor = 6;
    constexpr Millis maximumLateWait { 2'000 };

    constexpr double minimumRetryDelayMs = 200.0;
    constexpr double maximumRetryDelayMs = 4'000.0;
    // Replaces the excess of the queue over its limit if no endpoint can be used.
    constexpr double excessWithoutEndpointMs = 1'000.0;

    double queueLimitFactor(double fairShareRatio) noexcept
    {
        if (fairShareRatio <= 1.0)
            return std::min(2.0 - fairShareRatio, maximumLimitFactor);
        return std::max(std::pow(fairShareRatio, -limitFactorExponent), minimumLimitFactor);
    }

}

AdmissionLimits admissionLimits(const AdmissionInput& input) noexcept
{
    auto objectiveMs = static_cast<double>(input.objective.count);
    if (input.tightestPoolObjective == Millis {})
        return { .maxQueueMs = objectiveMs, .maxFirstByteMs = objectiveMs, .maxQueueWhenLateMs = objectiveMs };
    double tightestMs = static_cast<double>(std::min(input.tightestPoolObjective, input.objective).count);
    double limitFactor = queueLimitFactor(input.fairShareRatio);
    return { .maxQueueMs = tightestMs * queueFraction * limitFactor,
        .maxFirstByteMs = (objectiveMs - static_cast<double>(input.timeSinceFirstArrival.count)) / input.overrunFactor,
        .maxQueueWhenLateMs = tightestMs * lateQueueFraction * limitFactor,
        .recomputeCostWeight = std::min(input.fairShareRatio, 1.0),
        .urgentQueueFactor = input.fairShareRatio <= 1.0 ? urgentStreamQueueFactor : 1.0 };
}

bool isLate(const AdmissionLimits& limits, const LatencyPrediction& prediction) noexcept
{
    return prediction.idleEndpointMs > limits.maxFirstByteMs;
}

bool isPredictionWithinLimits(const AdmissionLimits& limits, const LatencyPrediction& prediction) noexcept
{
    double chargedMs = prediction.queueMs + prediction.recomputeCostMs * limits.recomputeCostWeight;
    if (isLate(limits, prediction))
        return chargedMs <= limits.maxQueueWhenLateMs;
    return chargedMs <= limits.maxQueueMs && prediction.firstByteMs() <= limits.maxFirstByteMs;
}

bool mayWait(const AdmissionInput& input, const AdmissionLimits& limits, const LatencyPrediction& prediction) noexcept
{
    // The objective can still be met once capacity is free.
    if (!isLate(limits, prediction))
        return true;
    return input.timeSinceArrival < std::min(maximumLateWait, Millis { input.timeToDeadline.count / lateWaitDivisor });
}

Millis retryDelay(
    const AdmissionInput& input, const AdmissionLimits& limits, const LatencyPrediction& prediction, Random& random)
{
    double excessMs
        = std::isfinite(prediction.queueMs) ? prediction.queueMs - limits.maxQueueMs : excessWithoutEndpointMs;
    double baseDelayMs
        = std::clamp(excessMs * std::max(input.fairShareRatio, 1.0), minimumRetryDelayMs, maximumRetryDelayMs);
    // Jitter: 0.75 to 1.5 times the delay.
    return { static_cast<std::int64_t>(baseDelayMs * (0.75 + 0.75 * random.uniformReal())) };
}

}
