#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "routing/FleetView.h"

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Max-min fair shares over the workspaces of the whole fleet, from rates that daemons tell each other.

namespace jasminestack {

/// \brief Identifies a workspace in messages.
using WorkspaceHash = std::uint64_t;

/// \brief Tokens a second that a workspace has asked for and been served, averaged over the last seconds.
struct WorkspaceRate {
    WorkspaceHash workspace { 0 };
    double demandTokensPerSecond { 0 };
    double servedTokensPerSecond { 0 };
};

struct WorkspaceShares {
    struct Counter {
        double demandTokensPerSecond { 0 };
        double servedTokensPerSecond { 0 };
        Millis updated {};
    };

    std::unordered_map<WorkspaceHash, Counter> own;
    std::unordered_map<DaemonInstanceId, std::vector<WorkspaceRate>> peerRates;
    /// Served over max-min share; see refreshFairShareRatios().
    std::unordered_map<WorkspaceHash, double> fairShareRatios;
    bool contended { false }; ///< More is asked for than served.
};

[[nodiscard]] WorkspaceHash workspaceHash(const WorkspaceId&) noexcept;

/// \brief Adds a request's tokens to what its workspace asked for.
void recordDemand(WorkspaceShares&, WorkspaceHash, double tokens, Millis now);

/// \brief Adds a request's tokens to what its workspace was served.
void recordServed(WorkspaceShares&, WorkspaceHash, double tokens, Millis now);

/// \returns This daemon's rates, for its peers.
[[nodiscard]] std::vector<WorkspaceRate> ownRates(WorkspaceShares&, Millis now);

/// \brief Compares each workspace's service with its max-min fair share of what the fleet serves; call it a few times a
/// second.
void refreshFairShareRatios(WorkspaceShares&, Millis now);

/// \returns What the workspace is served over its fair share; 1 while nothing is contended.
[[nodiscard]] double fairShareRatio(const WorkspaceShares&, WorkspaceHash) noexcept;

/// \brief Max-min fair division of \p capacity: nobody gets more than it demands, and nobody who gets less than its
/// demand gets less than another.
[[nodiscard]] std::vector<double> maxMinShares(std::span<const double> demands, double capacity);

}
