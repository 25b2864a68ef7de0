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
/// \brief Request queues per pool and workspace, with the counters that decide which workspace is served next.

namespace jasminestack {

/// \brief One workspace's requests and service in one cell at this daemon.
struct WorkspaceCellUsage {
    std::uint32_t running { 0 };
    double chargedCost { 0 }; ///< Cost units charged in this cell since the daemon started.
    std::uint32_t quota { 0 }; ///< From the cell's valid allocation; 0 if there is none.
    double normalisedService { 0 }; ///< Service in the cell divided by share: the value for all daemons last received
                                    ///< from the cell scheduler plus this daemon's charges since its last report.
    double chargedCostAtReport { 0 }; ///< Value of chargedCost in the last report to the cell's scheduler.
};

/// \brief One workspace's requests in one pool at this daemon.
struct WorkspaceQueue {
    WorkspaceId id;
    double share { 1 };
    std::list<QueuedRequest> unconstrained; ///< In order of arrival.
    std::list<QueuedRequest> constrained; ///< Crash suspects and requests with tried endpoints, in order of arrival.
    std::size_t queuedBytes { 0 };
    std::uint32_t running { 0 };
    std::uint32_t quota { 0 }; ///< Sum over the cells.
    std::uint64_t blockedRound { 0 }; ///< Last dispatch round in which none of its requests could be placed.
    bool reportedBacklogged { false }; ///< The last demand reports showed this queue as backlogged.
    double chargedCost { 0 }; ///< Cost units charged by this daemon since it started.
    double normalisedService { 0 }; ///< Service divided by share: the values for all daemons last received from the
                                    ///< cell schedulers plus this daemon's charges since its last reports.
    double hintCorrection { 1 }; ///< Moving average of the ratio of final cost to hint.
    double averageCost { 0 }; ///< Moving average of completed requests, in cost units; 0: none yet.
    /// Moving average of the time for which a request occupies a slot, in milliseconds; 0: none yet.
    double averageSlotTimeMs { 0 };
    std::map<CellId, WorkspaceCellUsage> cells;

    [[nodiscard]] std::size_t queued() const noexcept { return unconstrained.size() + constrained.size(); }
    [[nodiscard]] bool active() const noexcept { return queued() > 0 || running > 0; }
    /// \returns The oldest queued request, or nullptr.
    [[nodiscard]] const QueuedRequest* oldest() const noexcept;
};

/// \brief Position of a queued request.
struct QueuePosition {
    WorkspaceQueue* queue { nullptr };
    PoolId pool;
    bool constrained { false };
    std::list<QueuedRequest>::iterator request;
};

/// \brief Queues of one pool.
struct PoolQueues {
    std::map<WorkspaceId, WorkspaceQueue> workspaces;
    std::vector<WorkspaceQueue*> backlogged; ///< Workspaces with queued requests, in unspecified order.
    std::size_t crashSuspects { 0 }; ///< Queued crash suspects.
    double virtualTime { 0 }; ///< Highest normalised service at which a request was started.
};

/// \brief All queues of this daemon.
struct FairQueue {
    std::map<PoolId, PoolQueues> pools;
    std::unordered_map<RequestId, QueuePosition> positions;
    std::set<std::pair<std::int64_t, RequestId>> deadlines; ///< Deadlines (ms) of the queued requests.
    bool raisesReturningWorkspaces { true }; ///< From SchedulingMechanisms.
};

/// \brief Appends a request. If its workspace returns from idleness, its normalised service is raised to the minimum of
/// the backlogged workspaces, or to PoolQueues::virtualTime if none is backlogged, so that it gets no credit for its
/// idle time. A workspace that received service without competition is not penalised either, since the workspaces that
/// return later are raised.
void appendRequest(FairQueue&, QueuedRequest);

/// \brief Removes a queued request.
/// \returns The request, or nothing if it is not queued.
[[nodiscard]] std::optional<QueuedRequest> removeRequest(FairQueue&, const RequestId&);

/// \brief Determines which workspace gets the next free slot.
enum class QueueOrder : std::uint8_t {
    Quota, ///< Lowest running/quota, at most 1 and 1 without a quota; then workspaces with a quota before those
           ///< without; then lowest normalised service.
    Service, ///< Lowest normalised service.
    Arrival, ///< Oldest request.
};

/// \returns Whether workspace \p a gets the next free slot before \p b.
[[nodiscard]] bool servedBefore(const WorkspaceQueue& a, const WorkspaceQueue& b, QueueOrder) noexcept;

/// \returns The cost to charge when \p request starts: its hint multiplied by the workspace's hint correction, limited
/// to a multiple of the average cost, or the average cost if it has no hint.
[[nodiscard]] double estimateCost(const WorkspaceQueue&, const QueuedRequest& request) noexcept;

/// \brief Updates the workspace's average cost and hint correction from a completed request.
void updateCostEstimate(WorkspaceQueue&, double hint, double cost) noexcept;

/// \brief Adds \p cost (may be negative) to a workspace's charged cost and normalised service.
void chargeCost(WorkspaceQueue&, const CellId&, double cost);

}
