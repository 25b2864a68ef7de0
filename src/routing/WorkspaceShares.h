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
/// \brief Max-min fair shares of the workspaces over the whole fleet, computed from the rates in fleet updates.

namespace jasminestack {

/// \brief Identifies a workspace in messages.
using WorkspaceHash = std::uint64_t;

/// \brief Demand and service of a workspace, as exponentially decaying averages.
struct WorkspaceRate {
    WorkspaceHash workspace { 0 };
    double demandTokensPerSecond { 0 };
    double servedTokensPerSecond { 0 };
};

struct WorkspaceShares {
    /// \brief Rates of one workspace at this daemon; see rateTimeConstant in WorkspaceShares.cpp.
    struct OwnRate {
        double demandTokensPerSecond { 0 };
        double servedTokensPerSecond { 0 };
        Millis updatedAt {};
    };

    std::unordered_map<WorkspaceHash, OwnRate> ownRateByWorkspace;
    std::unordered_map<DaemonInstanceId, std::vector<WorkspaceRate>> peerRates;
    std::unordered_map<WorkspaceHash, double> fairShareRatios; ///< Service over max-min fair share; empty unless \c
                                                               ///< isContended. See refreshFairShareRatios().
    bool isContended { false }; ///< The fleet's demand exceeds its service by more than a margin.
};

[[nodiscard]] WorkspaceHash workspaceHash(const WorkspaceId&) noexcept;

/// \brief Adds a request's tokens to its workspace's demand at this daemon.
void recordDemand(WorkspaceShares&, WorkspaceHash, double tokens, Millis now);

/// \brief Adds a request's tokens to its workspace's service by this daemon.
void recordServed(WorkspaceShares&, WorkspaceHash, double tokens, Millis now);

/// \brief Computes this daemon's rates and evicts workspaces without recent demand. refreshFairShareRatios() calls it
/// too, so an evicted workspace's last rate may not be sent to peers.
/// \returns The rates at \p now, including those of the workspaces that this call evicts.
[[nodiscard]] std::vector<WorkspaceRate> ownRates(WorkspaceShares&, Millis now);

/// \brief Recomputes each workspace's service over its max-min fair share of the fleet's total service. Call it a few
/// times a second.
void refreshFairShareRatios(WorkspaceShares&, Millis now);

/// \returns The workspace's service over its fair share; 1 without contention or for an unknown workspace.
[[nodiscard]] double fairShareRatio(const WorkspaceShares&, WorkspaceHash) noexcept;

/// \brief Max-min fair division of \p capacity: no share exceeds its demand, and a share below its demand is at least
/// as large as every other share.
[[nodiscard]] std::vector<double> maxMinShares(std::span<const double> demands, double capacity);

}
