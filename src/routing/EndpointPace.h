#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

/// \file
/// \brief Pace of an endpoint that has just started or recovered: while it is cold, its owner sends at most a fixed
/// number of requests in each second; afterwards the number rises until it no longer limits. See
/// docs/design/endpoint-pace.md.

namespace jasminestack {

struct PoolSpec;

/// \brief Which pools' endpoints are paced.
enum class PaceScope : std::uint8_t {
    PoolsWithColdRate, ///< Only pools with PoolSpec::coldRequestsPerSecond.
    AllPools,
    None,
};

/// \brief Settings of pacing; equal at all daemons.
struct PaceOptions {
    PaceScope scope { PaceScope::PoolsWithColdRate };
    double coldOvershoot { 1.0 }; ///< Factor on the rate that a cold endpoint tolerates.
    double coldSlack { 0.0 }; ///< Requests beyond that in each second.
};

/// \brief Limits of a pool's endpoints.
struct PaceLimits {
    /// Requests that the owner sends to a cold endpoint in each second; 0: the pool's endpoints are not paced.
    unsigned coldRequestsPerSecond { 0 };
    Millis coldDuration {}; ///< Time for which an endpoint is presumed cold after it recovered.

    [[nodiscard]] friend bool operator==(const PaceLimits&, const PaceLimits&) = default;
};

/// \brief Why an endpoint is paced.
enum class PaceCause : std::uint8_t {
    Registration, ///< Its registration reports a remaining warm-up.
    Recovery, ///< It answers again after attempts that it did not answer.
    Evacuation, ///< The evacuation of its availability zone was taken back.
    NewEndpoint, ///< It joined the running fleet.
};

enum class PacePhase : std::uint8_t {
    Full, ///< The pace does not limit it.
    Cold, ///< Only its owner sends it requests.
    Ramp, ///< The allowance rises.
};

/// \brief Pace of one endpoint. Only the functions below modify it, except \c isOwner and \c unreportedDeferrals.
struct EndpointPace {
    PaceLimits limits;
    bool isOwner { true }; ///< This daemon decides which requests the endpoint gets while it is cold.
    PacePhase phase { PacePhase::Full };
    PaceCause cause { PaceCause::Registration };
    Millis pacedSince {}; ///< When the endpoint last ceased to be at full pace.
    Millis coldSince {};
    Millis warmupEndsAt {}; ///< End of the warm-up by its registration.
    Millis presumedColdUntil {};
    unsigned allowance { 0 }; ///< Requests in each second; valid unless \c phase is Full.
    std::deque<Millis> recentSends; ///< Requests sent or granted within the last second.
    unsigned unansweredAttempts { 0 }; ///< Since its last response.
    Millis lastResponseAt {}; ///< Of any request, from this daemon or a peer's report.
    Millis rampStartedAt {};
    Millis intervalStartedAt {}; ///< Of the ramp.
    unsigned timelyAnswers { 0 }; ///< Within the interval: answers that began within twice the predicted time.
    bool isStrained { false }; ///< Within the interval it refused, lost or delayed a request.
    bool isLimiting { false }; ///< Within the interval a request could not be sent because of the allowance.
    std::uint64_t pacedRequests { 0 }; ///< Sent or granted since \c pacedSince.
    std::uint64_t deferrals { 0 }; ///< Placement decisions since \c pacedSince that left it out because of its pace.
    std::uint64_t unreportedDeferrals { 0 }; ///< Deferrals that no metric counts yet; their reporter resets it.
};

/// \returns The limits for endpoints of the pool. The owner's limit is half of the bound for all daemons together, so
/// that two daemons that both believe to be the owner, or requests that arrive late, keep the bound.
[[nodiscard]] PaceLimits paceLimits(const PoolSpec&, const PaceOptions&) noexcept;

/// \brief Takes over the warm-up of a new or changed registration. 0 ends only what an earlier registration began.
void setRegisteredWarmup(EndpointPace&, Millis remaining, Millis now);

/// \brief Treats the endpoint as cold for its pool's cold duration.
void presumeCold(EndpointPace&, PaceCause, Millis now);

/// \brief Starts the ramp of an endpoint that joins a running fleet, unless it is cold.
void rampNewEndpoint(EndpointPace&, Millis now);

/// \brief Ends the phases and intervals that are over. The functions below do it as well.
void advancePace(EndpointPace&, Millis now);

/// \returns Whether the endpoint is cold and therefore gets requests from its owner only.
[[nodiscard]] bool isCold(const EndpointPace&, Millis now) noexcept;

/// \returns Whether this daemon may send or grant a request to the endpoint now. If not, it counts as a deferral.
[[nodiscard]] bool takesRequest(EndpointPace&, Millis now);

/// \brief Counts a request that was sent or granted.
void recordPacedRequest(EndpointPace&, Millis now);

/// \brief Records that the endpoint responds. After several attempts without an answer it is presumed cold.
/// \returns Whether it is presumed cold since this response.
bool recordResponse(EndpointPace&, Millis now);

/// \brief Records how long an answer took to begin.
void recordFirstByteTime(EndpointPace&, double elapsedMs, double predictedMs, Millis now);

/// \brief Records that an attempt got no response, since the connection failed.
void recordUnanswered(EndpointPace&, Millis now);

/// \brief Records that an attempt stalled \p elapsed after it was sent. It counts as unanswered only if the endpoint
/// responded to no other request in that time; otherwise the endpoint is slow.
void recordStall(EndpointPace&, Millis elapsed, Millis now);

/// \brief Records a refusal or failure: the endpoint answers, but not as it should.
void recordStrain(EndpointPace&, Millis now);

/// \brief A change of an endpoint's phase, for logs.
struct PaceChange {
    PacePhase previous { PacePhase::Full };
    PacePhase current { PacePhase::Full };
};

/// \returns The change since \p reportedPhase, which it updates.
[[nodiscard]] std::optional<PaceChange> takePaceChange(const EndpointPace&, PacePhase& reportedPhase) noexcept;

[[nodiscard]] std::string_view paceCauseName(PaceCause) noexcept;
[[nodiscard]] std::string_view pacePhaseName(PacePhase) noexcept;

}
