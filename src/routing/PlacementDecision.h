#pragma once

#include "base/Random.h"
#include "routing/FleetView.h"
#include "routing/LatencyAdmission.h"
#include "routing/WorkspaceShares.h"

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/// \file
/// \brief Decides whether one request is sent now, waits for capacity or is refused. Used for a daemon's own requests
/// and for placement requests from peers.

namespace jasminestack {

/// \brief A request to place on an endpoint.
struct PlacementQuery {
    PoolId pool;
    WorkspaceHash workspace { 0 };
    std::uint64_t contentHash { 0 }; ///< Hash of the request's content; equal for a caller's retries.
    std::string availabilityZone; ///< Of the daemon that received the request from its caller.
    std::vector<PromptPart> prompt;
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 }; ///< Upper bound.
    std::uint64_t expectedOutputTokens { 0 }; ///< The caller's estimate; 0 if unknown.
    std::vector<EndpointInstanceId> triedEndpoints; ///< Endpoints that the request was sent to before.
    bool isStream { false };
    bool isRepeatable { false };
    Millis latencyObjective {}; ///< The route's latency objective for streams; half of the route's timeout for plain
                                ///< requests.
    Millis arrivedAt {}; ///< Time of arrival at its daemon.
    /// Time of arrival of the original request, before the caller's retries; \c arrivedAt if the request is not a retry
    /// or its original is unknown.
    Millis firstArrival {};
    Millis deadline {}; ///< Time by which the complete response is due.

    [[nodiscard]] RequestWorkload workload() const noexcept
    {
        return { .prompt = prompt,
            .promptTokens = promptTokens,
            .maxOutputTokens = maxOutputTokens,
            .expectedOutputTokens = expectedOutputTokens };
    }
};

enum class PlacementVerdict : std::uint8_t {
    Send,
    Wait, ///< Keep the request queued: no endpoint is within its admission limits now.
    Refuse,
};

struct PlacementDecision {
    PlacementVerdict verdict { PlacementVerdict::Refuse };
    EndpointChoice choice; ///< The best endpoint, even if its prediction exceeds the admission limits.
    bool isLate { false }; ///< The request would miss its objective even on the best endpoint without other load.
    Millis retryAfter {}; ///< Valid for a refusal: how long the caller should wait before retrying.
};

/// \brief State that a placement decision reads.
struct PlacementInputs {
    FleetView& fleetView;
    const RoutingTable& table;
    const WorkspaceShares& shares;
    const PlacementOptions& options;
    bool admitsAll { false }; ///< Baseline for comparison: send to any usable endpoint, ignoring the admission limits.
    ShardId shard { 0 }; ///< Restricts the choice to its endpoints; 0 or an unknown shard allows all of the pool.
};

[[nodiscard]] PlacementDecision decidePlacement(const PlacementInputs&, const PlacementQuery&, Random&, Millis now);

/// \returns The best endpoint, whether or not its prediction is within the admission limits.
[[nodiscard]] EndpointChoice bestEndpoint(const PlacementInputs&, const PlacementQuery&, Millis now);

/// \brief Sort key of waiting requests: requests that can still meet their objective before others, then callers'
/// retries before others, then by increasing fair-share ratio of the workspace, then by \c firstArrival.
using WaitingOrder = std::tuple<bool, bool, double, std::int64_t>;

[[nodiscard]] WaitingOrder waitingOrder(const PlacementQuery&, const WorkspaceShares&, bool isLateRequest) noexcept;

/// \returns Tokens that a request adds to its workspace's demand or service: prompt tokens plus twice the maximum of
/// output tokens, since an engine takes about as long for an output token as for two prompt tokens.
[[nodiscard]] double chargedTokens(const PlacementQuery&) noexcept;

}
