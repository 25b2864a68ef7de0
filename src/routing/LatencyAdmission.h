#pragma once

#include "base/Clock.h"
#include "base/Random.h"

/// \file
/// \brief Admission control: decides whether a request is sent now, waits in its daemon or is refused.
///
/// An engine processes requests in order of arrival, so each request delays all later ones. A short queue keeps an
/// engine busy; a longer one only increases latency. A stream is therefore sent only if the queue ahead of it at the
/// endpoint takes at most a fraction of the tightest objective in its pool and its first byte is predicted within its
/// own objective. The first limit falls for workspaces above their fair share, so that they leave capacity for the
/// others, and rises below it. A stream that would miss its objective even at an idle endpoint is limited only by a
/// queue limit for late requests. For plain requests (not streams) and in pools without streams, the limits are the
/// request's own objective.

namespace jasminestack {

/// \brief Properties of a request and its pool that determine the limits and the decision to wait.
struct AdmissionInput {
    Millis objective {}; ///< The route's latency objective.
    Millis tightestPoolObjective {}; ///< Tightest objective of the streams in the same pool; 0 for plain requests and
                                     ///< for pools without streams.
    /// Most measured times are below the prediction multiplied by this; see LatencyModel.
    double overrunFactor { 1.0 };
    double fairShareRatio { 1.0 }; ///< The workspace's service divided by its max-min fair share.
    Millis timeSinceArrival {}; ///< Since the request's arrival at its daemon.
    /// Since the arrival of the original request, before the caller's retries. The objective of streams applies from
    /// then; admissionLimits() ignores it if \c tightestPoolObjective is 0.
    Millis timeSinceFirstArrival {};
    Millis timeToDeadline {};
};

/// \brief Bounds on an endpoint's LatencyPrediction for a request.
struct AdmissionLimits {
    double maxQueueMs { 0 }; ///< Bound on the queue ahead of the request, including the weighted recompute cost.
    double maxFirstByteMs { 0 }; ///< Bound on the time to its first byte.
    /// Replaces \c maxQueueMs and \c maxFirstByteMs if isLate(): without a queue the request would still miss its
    /// objective.
    double maxQueueWhenLateMs { 0 };
    /// Weight of LatencyPrediction::recomputeCostMs; less than 1 below the fair share.
    double recomputeCostWeight { 1.0 };
    /// Factor on the queue limits of a stream that ends in time at few endpoints only; 1 above the fair share, so that
    /// a workspace gains nothing from overstating the length of its streams.
    double urgentQueueFactor { 1.0 };
};

/// \brief Predicted times of a request at an endpoint.
struct LatencyPrediction {
    double queueMs { 0 }; ///< Time for the load ahead of the request.
    double idleEndpointMs { 0 }; ///< Time to its first byte without other load.
    /// Charge for processing again prompt tokens that another endpoint has cached; not part of the latency.
    double recomputeCostMs { 0 };

    /// \returns Time to the first byte.
    [[nodiscard]] double firstByteMs() const noexcept { return queueMs + idleEndpointMs; }
};

/// \returns The limits for a request. The queue limits depend on its workspace's fair-share ratio, unless
/// AdmissionInput::tightestPoolObjective is 0: then all limits are the objective.
[[nodiscard]] AdmissionLimits admissionLimits(const AdmissionInput&) noexcept;

/// \returns Whether the request misses its objective even if it is sent now to an idle endpoint.
[[nodiscard]] bool isLate(const AdmissionLimits&, const LatencyPrediction&) noexcept;

/// \returns Whether the request may be sent to an endpoint with this prediction.
[[nodiscard]] bool isPredictionWithinLimits(const AdmissionLimits&, const LatencyPrediction&) noexcept;

/// \returns Whether a request that no endpoint can take within the limits may stay queued.
/// \param prediction Prediction for the best endpoint.
[[nodiscard]] bool mayWait(const AdmissionInput&, const AdmissionLimits&, const LatencyPrediction& prediction) noexcept;

/// \returns The delay after which a refused caller should retry: the predicted excess of the queue over its limit,
/// multiplied by the fair-share ratio if that exceeds 1, and clamped. It is then multiplied by random jitter, so that
/// callers do not retry at the same time; the result may lie outside the bounds of the clamp.
[[nodiscard]] Millis retryDelay(
    const AdmissionInput&, const AdmissionLimits&, const LatencyPrediction& prediction, Random&);

}
