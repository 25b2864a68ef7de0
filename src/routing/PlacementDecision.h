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
/// \brief The decision on one request: send it now, let it wait for room, or refuse it. The same for a daemon's own
/// requests and for those that its peers ask about.

namespace jasminestack {

/// \brief A request for which an endpoint is sought.
struct PlacementQuery {
    PoolId pool;
    WorkspaceHash workspace { 0 };
    std::uint64_t contentHash { 0 }; ///< Equal for a caller's repeated attempts.
    std::string availabilityZone; ///< Of the daemon that holds the request.
    std::vector<PromptPart> prompt;
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 }; ///< At most.
    std::vector<EndpointInstanceId> triedEndpoints; ///< Endpoints that it was sent to before.
    bool isStream { false };
    bool isRepeatable { false };
    Millis objective {}; ///< The route's latency objective; half of the time limit for plain requests.
    Millis arrivedAt {}; ///< At its daemon.
    Millis firstArrival {}; ///< Of the caller's first attempt, as far as it is known.
    Millis deadline {}; ///< Of its final answer.

    [[nodiscard]] RequestWorkload workload() const noexcept
    {
        return { .prompt = prompt, .promptTokens = promptTokens, .maxOutputTokens = maxOutputTokens };
    }
};

enum class PlacementVerdict : std::uint8_t {
    Send,
    Wait, ///< It may be in time when there is room.
    Refuse,
};

struct PlacementDecision {
    PlacementVerdict verdict { PlacementVerdict::Refuse };
    EndpointChoice choice; ///< The best endpoint, also if the request does not fit there now.
    bool isLate { false }; ///< It misses its objective, wherever it is sent.
    Millis retryAfter {}; ///< For a refused caller.
};

/// \brief What a decision is taken with.
struct PlacementInputs {
    FleetView& fleetView;
    const RoutingTable& table;
    const WorkspaceShares& shares;
    const PlacementOptions& options;
    bool admitAll { false }; ///< Baseline: no request waits or is refused for load.
    ShardId shard { 0 }; ///< Only its endpoints; 0: all endpoints of the pool.
};

[[nodiscard]] PlacementDecision decidePlacement(const PlacementInputs&, const PlacementQuery&, Random&, Millis now);

/// \returns The best endpoint, whether or not the request fits there.
[[nodiscard]] EndpointChoice bestEndpoint(const PlacementInputs&, const PlacementQuery&, Millis now);

/// \brief Order in which waiting requests are tried: those that can still meet their objective first, then returning
/// callers, then workspaces that are furthest below their fair share, then by arrival.
using WaitingOrder = std::tuple<bool, bool, double, std::int64_t>;

[[nodiscard]] WaitingOrder waitingOrder(const PlacementQuery&, const WorkspaceShares&, bool late) noexcept;

/// \returns Tokens by which a request counts against its workspace's share: an output token takes an engine about as
/// long as two prompt tokens.
[[nodiscard]] double chargedTokens(const PlacementQuery&) noexcept;

}
