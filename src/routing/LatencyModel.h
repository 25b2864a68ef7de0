#pragma once

#include <cstdint>

namespace jasminestack {

/// \brief Predicts an endpoint's time to first byte from its backlog: time = baseMs + backlogTokens * msPerToken, by a
/// least-squares fit with exponentially decaying sample weights.
struct LatencyModel {
    // Sums over the samples for the fit, with decaying weights; x is the backlog in tokens, y the time in milliseconds.
    double weight { initialWeight };
    double sumX { 0 };
    double sumY { 0 };
    double sumXX { 0 };
    double sumXY { 0 };
    // Until there are enough samples for the fit: 100 ms, and 30 tokens per millisecond.
    double baseMs { 100.0 }; ///< Time without backlog.
    double msPerToken { 1.0 / 30.0 }; ///< Time per pending prefill token.
    double shortestMs { 0 }; ///< Shortest recent sample; grows slowly, 0 before the first sample.
    double overrunFactor { 1.25 }; ///< About five in six samples stay below the prediction times this factor.

    static constexpr double initialWeight = 0.0;

    /// \returns The expected time in milliseconds.
    [[nodiscard]] double predictMs(double backlogTokens) const noexcept { return baseMs + backlogTokens * msPerToken; }
};

/// \brief Adds one sample and updates the fit.
/// \param backlogTokens Backlog of the endpoint when the request was sent, including the request's own prefill tokens.
/// \param milliseconds Measured time from sending to the first byte.
void addSample(LatencyModel&, double backlogTokens, double milliseconds) noexcept;

}
