#pragma once

#include "base/Clock.h"
#include "base/Random.h"

/// \file
/// \brief Decides whether a request is sent now, waits in its daemon or is refused.
///
/// An engine works in order of arrival, so each request delays all that follow. A short queue keeps an engine busy; a
/// longer one only makes answers late. A request is therefore sent while the work ahead of it at the endpoint is a
/// small part of the tightest objective of its pool, and while its first byte is predicted within its own objective.
/// The workspace's service relative to its fair share moves the first limit, so that workspaces above their share leave
/// room.

namespace jasminestack {

/// \brief What the limits and the verdict depend on, apart from the endpoint.
struct AdmissionInput {
    Millis objective {}; ///< The route's latency objective.
    Millis tightest {}; ///< Tightest objective of the streams in the same pool; 0: the request waits behind no prompts.
    double overrun { 1.0 }; ///< Factor on predictions that most answers stay below; see LatencyModel.
    double fairShareRatio { 1.0 }; ///< The workspace's service over its fair share.
    Millis waited {}; ///< Since the request arrived.
    Millis age {}; ///< Since the caller's first attempt arrived; the objective counts from there.
    Millis timeLeft {}; ///< Until the request's deadline.
};

/// \brief Bounds in milliseconds on what an endpoint is predicted to do.
struct AdmissionLimits {
    double ahead { 0 }; ///< Time for the work ahead of the request.
    double total { 0 }; ///< Time to its first byte.
    double aheadWhenLate { 0 }; ///< Bound on the work ahead of a request that is late even without it.
    double rereadWeight { 1.0 }; ///< Weight of the charge for reading again; less below the fair share.
};

/// \brief What an endpoint is predicted to do with a request, in milliseconds.
struct LatencyPrediction {
    double queueMs { 0 }; ///< Time for the work ahead of it.
    double idleEndpointMs { 0 }; ///< Time to its first byte without other work.
    double recomputeCostMs { 0 }; ///< Charge for reading again what another endpoint holds.

    /// \returns Time to the first byte.
    [[nodiscard]] double firstByteMs() const noexcept { return queueMs + idleEndpointMs; }
};

[[nodiscard]] AdmissionLimits admissionLimits(const AdmissionInput&) noexcept;

/// \returns Whether the request misses its objective even at once and without other work.
[[nodiscard]] bool isLate(const AdmissionLimits&, const LatencyPrediction&) noexcept;

/// \returns Whether an endpoint with this prediction may get the request.
[[nodiscard]] bool isPredictionWithinLimits(const AdmissionLimits&, const LatencyPrediction&) noexcept;

/// \returns Whether a request that fits nowhere now may wait for room.
/// \param prediction For the best endpoint.
[[nodiscard]] bool mayWait(const AdmissionInput&, const AdmissionLimits&, const LatencyPrediction& prediction) noexcept;

/// \returns How long a refused caller should stay away: until there will be room, spread so that callers do not return
/// together.
[[nodiscard]] Millis retryDelay(
    const AdmissionInput&, const AdmissionLimits&, const LatencyPrediction& prediction, Random&);

}
