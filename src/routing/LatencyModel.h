#pragma once

#include <cstdint>

namespace jasminestack {

/// \brief Learns how long an endpoint takes to the first byte of its answer from the work ahead of it:
/// time = base + work * perUnit, by a least-squares fit in which older samples count exponentially less.
struct LatencyModel {
    // Starting point, replaced after a few samples: 100 ms, and 30 units of work a millisecond.
    double weight { priorWeight };
    double sumX { 0 };
    double sumY { 0 };
    double sumXX { 0 };
    double sumXY { 0 };
    double base { 100.0 }; ///< Milliseconds without work ahead.
    double perUnit { 1.0 / 30.0 }; ///< Milliseconds for a unit of work (an unread prompt token, or a request).
    double shortest { 0 }; ///< Milliseconds of the shortest of the latest samples; 0 before the first.
    double overrun { 1.25 }; ///< Factor on predictions that about five in six samples stay below.

    static constexpr double priorWeight = 0.0;

    /// \returns The expected time in milliseconds.
    [[nodiscard]] double predict(double work) const noexcept { return base + work * perUnit; }
};

/// \brief Adds one sample.
/// \param work Work ahead when the request was sent, with its own.
/// \param milliseconds Time that it took.
void addSample(LatencyModel&, double work, double milliseconds) noexcept;

}
