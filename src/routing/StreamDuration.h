#pragma once

#include "base/Clock.h"

#include <cstdint>

/// \file
/// \brief Predicts the time from a stream's first event to its end: the number of its events times the interval between
/// events at the endpoint.
///
/// The interval is measured, not derived from the requests in flight: an engine processes prompts in between, and they
/// delay its tokens more than the size of its batch does.

namespace jasminestack {

/// \brief Recent average of the interval between events of an endpoint's or a pool's streams.
struct EventInterval {
    double averageMs { 0 }; ///< 0 before the first sample.
    Millis updatedAt {};
};

/// \brief Number of events of a pool's complete streams per output token that their callers expected.
struct StreamLengthModel {
    // Sums over complete streams, with exponentially decaying weights.
    double weight { 0 };
    double sumEvents { 0 };
    double sumExpectedTokens { 0 };
};

/// \brief Adds the interval before an event.
/// \param sampleWeight Weight of the sample in the moving average.
void addEventInterval(EventInterval&, double milliseconds, double sampleWeight, Millis now) noexcept;

/// \returns The expected interval between events at an endpoint; without recent samples the pool's average. 0 if
/// neither has samples.
[[nodiscard]] double expectedEventIntervalMs(
    const EventInterval& endpoint, const EventInterval& pool, Millis now) noexcept;

/// \brief Adds a complete stream.
/// \param expectedOutputTokens The caller's estimate. The upper bound is the same for all requests of a kind.
void addCompleteStream(StreamLengthModel&, std::uint64_t events, std::uint64_t expectedOutputTokens) noexcept;

/// \returns The expected number of events of a stream; 0 without an estimate or before there are enough samples.
[[nodiscard]] double expectedEvents(const StreamLengthModel&, std::uint64_t expectedOutputTokens) noexcept;

/// \brief Predicted end of a stream compared with its deadline.
struct StreamEndPrediction {
    double streamMs { 0 }; ///< From the first event to the end; 0 if unknown.
    double timeToDeadlineMs { 0 }; ///< 0 if the stream has no deadline.

    /// \returns Whether the deadline is known to be missed with a first byte after \p firstByteMs, or only just met.
    [[nodiscard]] bool isLate(double firstByteMs) const noexcept { return excessMs(firstByteMs) > 0; }

    /// \returns The time by which the predicted end, with a margin, is after the deadline.
    [[nodiscard]] double excessMs(double firstByteMs) const noexcept;
};

/// \returns The cost in the placement score for a stream that is predicted to end too late. It is lower for long
/// prompts.
[[nodiscard]] double lateEndCostMs(const StreamEndPrediction&, double firstByteMs, std::uint64_t promptTokens) noexcept;

}
