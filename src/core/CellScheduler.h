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

/// \brief An allocation that its receiver may still use.
struct SentAllocation {
    std::uint64_t sequence { 0 };
    Millis expires {};
    std::map<EndpointId, std::uint32_t> slots;
};

/// \brief A daemon as the scheduler knows it.
struct ReportingDaemon {
    std::uint64_t incarnation { 0 };
    std::uint64_t reportSequence { 0 };
    Millis lastReportAt {};
    std::map<WorkspaceId, WorkspaceDemand> demand; ///< With the latest cumulative counters, also of idle workspaces.
    std::map<EndpointId, std::uint32_t> inFlight;
    std::map<EndpointId, std::uint32_t> allocatedSlots; ///< By the last step; sent with the next allocation.
    std::map<WorkspaceId, std::uint32_t> quotas;
    std::deque<SentAllocation> sent; ///< From the last acknowledged one on.
    Millis lastSent {};
    std::uint32_t lastSentSlots { 0 };
};

/// \brief A workspace as the scheduler knows it.
struct ScheduledWorkspace {
    double normalisedService { 0 }; ///< Service in the cell divided by the share in force when it was given.
    double measuredService { 0 }; ///< The same without lifts, for other cells.
    bool active { false };
    double slotDeficit { 0 }; ///< Slots that it is owed from earlier steps.
    std::uint32_t quota { 0 };
};

/// \brief What another cell of the pool reported.
struct RemoteCell {
    std::uint64_t sequence { 0 };
    DaemonId scheduler;
    Millis lastReportAt {};
    std::uint32_t spareSlots { 0 };
    double meanService {
        0
    }; ///< Share-weighted mean service per share that its workspaces have gained since first heard.
    std::map<WorkspaceId, double> measuredService; ///< Service per share there, without lifts.
    std::map<WorkspaceId, std::pair<double, double>>
        baselines; ///< pace and gained when the workspace became active here.
};

/// \brief Slots of an endpoint that load reports show as used by nobody who reports.
struct UnattributedLoad {
    Millis lastReport {};
    double slots { 0 };
};

/// \brief State of one cell at a daemon that schedules it.
struct CellSchedulerState {
    CellId id;
    Millis startedAt {};
    Millis lastStep {};
    std::uint64_t sequence { 0 };
    std::map<DaemonId, ReportingDaemon> daemons;
    std::map<WorkspaceId, ScheduledWorkspace> workspaces;
    std::map<CellId, RemoteCell> remote;
    double virtualTime { 0 }; ///< Highest minimum of the backlogged workspaces' normalised service so far.
    double recentService { 0 }; ///< Cost units, older ones weighted less.
    double recentSeconds { 0 }; ///< Time in which they were served, with the same weights.
    double serviceSinceStep { 0 };
    std::uint32_t spareSlots { 0 };
    std::map<EndpointId, UnattributedLoad> unattributedLoad;
    Millis excessLoadStartedAt {
        -1
    }; ///< Since when load reports show much more work than the daemons do; negative: not.
    double byteBudget { 0 }; ///< Bytes that may be sent without having been asked for.
    Millis byteBudgetUpdatedAt {};
    std::uint64_t cellReportSequence { 0 };
    Millis lastCellReportAt {};
};

/// \brief What a step reads.
struct CellView {
    const CellInfo& info;
    const Configuration& configuration;
    const EndpointTable& endpoints;
    const SchedulingOptions& options;
};

/// \brief Takes a report into account.
/// \returns Whether it is newer than the last one from its sender.
bool acceptReport(CellSchedulerState&, const CellView&, const DaemonId& sender, std::uint64_t incarnation,
    const DemandReport&, Millis now);

/// \brief Recomputes quotas and slots of all daemons.
void recomputeAllocations(CellSchedulerState&, const CellView&, Millis now);

/// \returns The allocation for \p daemon, which counts as sent from now on.
[[nodiscard]] Allocation issueAllocation(
    CellSchedulerState&, const CellView&, const DaemonId& daemon, std::uint64_t epoch, Millis now);

/// \returns Daemons with a backlog that the last step gave more slots than they know of, and that may be told now
/// within the byte budget.
[[nodiscard]] std::vector<DaemonId> daemonsToNotify(CellSchedulerState&, const CellView&, Millis now);

/// \brief Counts bytes received or sent by the scheduler against the cell's budget.
void spendBudget(CellSchedulerState&, const CellView&, std::size_t bytes, Millis now);

/// \returns This cell's message to the schedulers of the pool's other cells.
[[nodiscard]] CellReport makeCellReport(CellSchedulerState&);

/// \brief Takes another cell's message into account.
void acceptCellReport(CellSchedulerState&, const Configuration&, const CellReport&, const DaemonId& sender, Millis now);

/// \returns Messages about spare slots of other cells for daemons that have a backlog here and do not use those cells.
[[nodiscard]] std::vector<std::pair<DaemonId, CellReport>> spareSlotReports(
    const CellSchedulerState&, const CellMap&, Millis now);

/// \brief Weights and caps of max-min fair division.
struct WeightedDemand {
    double weight { 0 };
    double demand { 0 };
};

/// \returns Max-min fair parts of \p capacity: proportional to the weights, none above its demand.
[[nodiscard]] std::vector<double> waterFill(const std::vector<WeightedDemand>&, double capacity);

/// \returns Upper bound of slots of \p endpoint in use by \p daemon: in flight or granted and not yet known as reduced.
[[nodiscard]] std::uint32_t heldSlots(const ReportingDaemon&, const EndpointId& endpoint);
}
