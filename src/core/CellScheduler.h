#pragma once

#include "core/CellMap.h"
#include "core/Messages.h"
#include "core/Scheduling.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

/// \file
/// \brief Divides a cell's slots over daemons and workspaces from the daemons' reports.

namespace jasminestack {

/// \brief An allocation that was sent and that may still have requests in flight at its receiver.
struct SentAllocation {
    std::uint64_t sequence { 0 };
    Millis expiresAt {};
    std::map<EndpointId, std::uint32_t> slots;
};

/// \brief State of a daemon at the cell scheduler, from its demand reports.
struct ReportingDaemon {
    std::uint64_t incarnation { 0 };
    std::uint64_t reportSequence { 0 };
    Millis lastReportAt {};
    /// Latest demand with cumulative counters; includes idle workspaces.
    std::map<WorkspaceId, WorkspaceDemand> demand;
    std::map<EndpointId, std::uint32_t> inFlight;
    /// Result of the last recomputation; sent with the next allocation.
    std::map<EndpointId, std::uint32_t> allocatedSlots;
    std::map<WorkspaceId, std::uint32_t> quotas;
    std::deque<SentAllocation> sentAllocations; ///< The last acknowledged allocation and all later ones.
    Millis lastAllocationSentAt {};
    std::uint32_t lastAllocationSlots { 0 };
};

/// \brief State of a workspace at the cell scheduler.
struct ScheduledWorkspace {
    /// Service in the cell, divided by the share that was in force when it was given. Includes raises, see
    /// SchedulingMechanisms::raisesReturningWorkspaces.
    double normalisedService { 0 };
    double measuredService { 0 }; ///< The same without raises; sent to other cells.
    bool active { false };
    double slotDeficit { 0 }; ///< Accumulated difference between target and quota in slots, from -1.5 to 1.5; negative:
                              ///< the quotas were above the targets.
    std::uint32_t quota { 0 };
};

/// \brief State of another cell of the pool, from its cell reports.
struct RemoteCell {
    std::uint64_t sequence { 0 };
    DaemonId scheduler;
    Millis lastReportAt {};
    std::uint32_t spareSlots { 0 };
    /// Share-weighted mean of the normalised service that its workspaces have received since its first report.
    double meanService { 0 };
    std::map<WorkspaceId, double> measuredService; ///< Normalised service in that cell, without raises.
    /// meanService and measuredService of that cell when the workspace became active in this cell.
    std::map<WorkspaceId, std::pair<double, double>> baselines;
};

/// \brief Slots of an endpoint that are in use according to its load reports but that no daemon reports.
struct UnattributedLoad {
    Millis lastLoadReportAt {};
    double slots { 0 };
};

/// \brief State of one cell at the daemon that schedules it.
struct CellSchedulerState {
    CellId id;
    Millis startedAt {};
    Millis lastRecomputedAt {};
    std::uint64_t allocationSequence { 0 };
    std::map<DaemonId, ReportingDaemon> daemons;
    std::map<WorkspaceId, ScheduledWorkspace> workspaces;
    std::map<CellId, RemoteCell> remoteCells;
    double virtualTime { 0 }; ///< Highest value so far of the backlogged workspaces' minimum normalised service.
    double recentService { 0 }; ///< Service in cost units, exponentially decayed.
    double recentSeconds { 0 }; ///< Time of recentService in seconds, decayed in the same way.
    double serviceSinceRecomputation { 0 };
    std::uint32_t spareSlots { 0 };
    std::map<EndpointId, UnattributedLoad> unattributedLoad;
    /// Time since which the unattributed load of the cell has been above the limit of hasUnattributedLoad() in
    /// SlotPlacement.cpp; negative if it is not.
    Millis excessLoadStartedAt { -1 };
    double byteBudget { 0 }; ///< Bytes that may be spent on allocations that do not reply to a report.
    Millis byteBudgetUpdatedAt {};
    std::uint64_t cellReportSequence { 0 };
    Millis lastCellReportAt {};
};

/// \brief Inputs of the cell scheduler.
struct CellSchedulerContext {
    const CellInfo& info;
    const Configuration& configuration;
    const EndpointTable& endpoints;
    const SchedulingOptions& options;
};

/// \brief Updates the state from a demand report.
/// \returns False if the report is not newer than the last one from its sender; it is then ignored.
bool acceptReport(CellSchedulerState&, const CellSchedulerContext&, const DaemonId& sender, std::uint64_t incarnation,
    const DemandReport&, Millis now);

/// \brief Recomputes quotas and slots of all daemons.
void recomputeAllocations(CellSchedulerState&, const CellSchedulerContext&, Millis now);

/// \returns The allocation for \p daemon, recorded as sent at \p now.
/// \param schedulerIncarnation Incarnation of the daemon that schedules the cell.
[[nodiscard]] Allocation issueAllocation(CellSchedulerState&, const CellSchedulerContext&, const DaemonId& daemon,
    std::uint64_t schedulerIncarnation, Millis now);

/// \returns Daemons to which a new allocation is to be sent without waiting for their next report: they have a backlog,
/// and the last recomputation gave them more slots than their last allocation. Limited by the byte budget.
[[nodiscard]] std::vector<DaemonId> daemonsToNotify(CellSchedulerState&, const CellSchedulerContext&, Millis now);

/// \brief Subtracts bytes that the scheduler received or sent from the cell's byte budget.
void spendBudget(CellSchedulerState&, const CellSchedulerContext&, std::size_t bytes, Millis now);

/// \returns The report to the schedulers of the pool's other cells.
[[nodiscard]] CellReport makeCellReport(CellSchedulerState&);

/// \brief Updates the state from another cell's report; ignores a report that is not newer than the last one of its
/// sender.
void acceptCellReport(CellSchedulerState&, const Configuration&, const CellReport&, const DaemonId& sender, Millis now);

/// \returns Reports about the remote cell with the most spare slots, each with its receiver: the daemons that have a
/// backlog in this cell and are not attached to the remote cell. Empty if this cell has spare slots.
[[nodiscard]] std::vector<std::pair<DaemonId, CellReport>> spareSlotReports(
    const CellSchedulerState&, const CellMap&, Millis now);

/// \brief One claimant in max-min fair division.
struct WeightedDemand {
    double weight { 0 };
    double demand { 0 }; ///< Upper limit of its part.
};

/// \returns For each claimant, its max-min fair part of \p capacity: proportional to its weight, at most its demand.
[[nodiscard]] std::vector<double> waterFill(const std::vector<WeightedDemand>&, double capacity);

/// \returns Upper bound of the slots of \p endpoint that the daemon uses: the maximum of its requests in flight and its
/// slots by any allocation from the last acknowledged one on.
[[nodiscard]] std::uint32_t maxSlotsInUse(const ReportingDaemon&, const EndpointId& endpoint);
}
