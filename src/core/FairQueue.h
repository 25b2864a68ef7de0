#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "core/Blackboard.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

/// \file
/// \brief Queues per pool and workspace with the counters by which the next workspace is chosen.

namespace jasminestack {

/// \brief One workspace's part of one cell at this daemon.
struct WorkspaceCellUsage {
    std::uint32_t running { 0 };
    double charged { 0 }; ///< Cost units charged in this cell since the daemon started.
    std::uint32_t quota { 0 }; ///< From the cell's valid allocation; 0 if there is none.
    double normalised { 0 }; ///< Service in the cell divided by share: the fleet's as last heard plus own additions.
    double chargedAtReport { 0 }; ///< Value of charged in the last report to the cell's scheduler.
};

/// \brief One workspace's requests in one pool at this daemon.
struct WorkspaceQueue {
    WorkspaceId id;
    double share { 1 };
    std::list<QueuedRequest> plain; ///< In order of arrival.
    std::list<QueuedRequest> constrained; ///< Suspects and requests that avoid endpoints, in order of arrival.
    std::size_t bytes { 0 };
    std::uint32_t running { 0 };
    std::uint32_t quota { 0 }; ///< Sum over the cells.
    std::uint64_t blockedRound { 0 }; ///< Last dispatch round in which none of its requests could be placed.
    bool reported { false }; ///< The last reports named it as backlogged.
    double charged { 0 }; ///< Cost units charged by this daemon since it started.
    double normalised { 0 }; ///< Service divided by share: the fleet's as last heard plus own additions.
    double hintCorrection { 1 }; ///< Learned ratio of final cost to hint.
    double averageCost { 0 }; ///< Of completed requests; 0: none yet.
    double averageRun { 0 }; ///< Milliseconds that a request holds a slot; 0: none yet.
    std::map<CellId, WorkspaceCellUsage> cells;

    [[nodiscard]] std::size_t queued() const noexcept { return plain.size() + constrained.size(); }
    [[nodiscard]] bool active() const noexcept { return queued() > 0 || running > 0; }
    /// \returns The oldest queued request, or nullptr.
    [[nodiscard]] const QueuedRequest* oldest() const noexcept;
};

/// \brief Where a queued request is.
struct QueuePosition {
    WorkspaceQueue* queue { nullptr };
    PoolId pool;
    bool constrained { false };
    std::list<QueuedRequest>::iterator request;
};

/// \brief Queues of one pool.
struct PoolQueues {
    std::map<WorkspaceId, WorkspaceQueue> workspaces;
    std::vector<WorkspaceQueue*> backlogged; ///< Workspaces with queued requests, in no order.
    std::size_t suspects { 0 }; ///< Queued crash suspects.
    double virtualTime { 0 }; ///< Highest normalised service at which a request was started.
};

/// \brief All queues of this daemon.
struct FairQueue {
    std::map<PoolId, PoolQueues> pools;
    std::unordered_map<RequestId, QueuePosition> places;
    std::set<std::pair<std::int64_t, RequestId>> deadlines;
    bool raisesReturningWorkspaces { true }; ///< SchedulingMechanisms::lift.
};

/// \brief Appends a request. A workspace that returns from idleness is raised to the minimum over the backlogged ones,
/// so that it neither brings stored credit nor pays for the time when it had the pool to itself.
void push(FairQueue&, QueuedRequest);

/// \brief Removes a queued request.
/// \returns The request, or nothing if it is not queued.
[[nodiscard]] std::optional<QueuedRequest> take(FairQueue&, const RequestId&);

/// \brief Orders workspaces for the next free slot.
enum class QueueOrder : std::uint8_t {
    Quota, ///< Lowest running/quota, then lowest normalised service.
    Service, ///< Lowest normalised service.
    Arrival, ///< Oldest request.
};

/// \returns Whether \p a is served before \p b.
[[nodiscard]] bool servedBefore(const WorkspaceQueue& a, const WorkspaceQueue& b, QueueOrder) noexcept;

/// \returns The cost to charge when \p request starts: its hint corrected by what the workspace's hints were worth, or
/// the average cost where there is no hint.
[[nodiscard]] double estimateCost(const WorkspaceQueue&, const QueuedRequest& request) noexcept;

/// \brief Learns from a completed request.
void updateCostEstimate(WorkspaceQueue&, double hint, double cost) noexcept;

/// \brief Adds \p cost (may be negative) to a workspace's counters.
void charge(WorkspaceQueue&, const CellId&, double cost);

}
