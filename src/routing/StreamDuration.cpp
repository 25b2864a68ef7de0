#include "routing/StreamDuration.h"

#include <algorithm>
#include <cmath>

namespace jasminestack {

namespace {

    // Time constant with which an endpoint's average is replaced by its pool's while there are no samples.
    constexpr Millis intervalTimeConstant { 3'000 };

    // A stream's weight falls to 1/e after this many further complete streams.
    constexpr double decayStreams = 400.0;

    // Sum of weights from which the length of streams is predicted.
    constexpr double minimumStreams = 20.0;

    // Bounds a caller's estimate, so that a made-up one does not spoil the average over all callers.
    constexpr std::uint64_t maxExpectedTokens = 100'000;

    // Margin on the time that a stream takes, since its number of events and the engine's later load are uncertain.
    constexpr double streamTimeMargin = 1.25;

    // Cost per millisecond of predicted lateness. A late stream is lost, but so are the prompt tokens that another
    // endpoint must process again for it if that one is too slow as well. The cost has no maximum, since it must differ
    // between endpoints that are all too slow: a stream may be shorter than expected.
    constexpr double lateEndWeight = 0.5;

    // Prompt tokens at which the weight is halved: long prompts are better processed where they are cached.
    constexpr double halfWeightPromptTokens = 1'000.0;

}

void addEventInterval(EventInterval& interval, double milliseconds, double sampleWeight, Millis now) noexcept
{
    if (interval.averageMs == 0)
        interval.averageMs = milliseconds;
    interval.averageMs += sampleWeight * (milliseconds - interval.averageMs);
    interval.updatedAt = now;
}

double expectedEventIntervalMs(const EventInterval& endpoint, const EventInterval& pool, Millis now) noexcept
{
    if (endpoint.averageMs == 0)
        return pool.averageMs;
    double endpointWeight = std::exp(-(now - endpoint.updatedAt).seconds() / intervalTimeConstant.seconds());
    return pool.averageMs + endpointWeight * (endpoint.averageMs - pool.averageMs);
}

void addCompleteStream(StreamLengthModel& model, std::uint64_t events, std::uint64_t expectedOutputTokens) noexcept
{
    constexpr double decay = 1.0 - 1.0 / decayStreams;
    model.weight = model.weight * decay + 1.0;
    model.sumEvents = model.sumEvents * decay + static_cast<double>(events);
    model.sumExpectedTokens
        = model.sumExpectedTokens * decay + static_cast<double>(std::min(expectedOutputTokens, maxExpectedTokens));
}

double expectedEvents(const StreamLengthModel& model, std::uint64_t expectedOutputTokens) noexcept
{
    if (model.weight < minimumStreams || model.sumExpectedTokens == 0)
        return 0;
    return model.sumEvents / model.sumExpectedTokens
        * static_cast<double>(std::min(expectedOutputTokens, maxExpectedTokens));
}

double StreamEndPrediction::excessMs(double firstByteMs) const noexcept
{
    if (streamMs == 0 || timeToDeadlineMs <= 0)
        return 0;
    return std::max(firstByteMs + streamMs * streamTimeMargin - timeToDeadlineMs, 0.0);
}

double lateEndCostMs(const StreamEndPrediction& prediction, double firstByteMs, std::uint64_t promptTokens) noexcept
{
    double promptFactor = halfWeightPromptTokens / (halfWeightPromptTokens + static_cast<double>(promptTokens));
    return prediction.excessMs(firstByteMs) * lateEndWeight * promptFactor;
}

}
