#pragma once

#include "base/Result.h"
#include "core/Blackboard.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

/// \file
/// \brief Entry points of the scheduling controllers (Admission, FairQueue, Dispatch, CellScheduler) for the daemon.
/// None performs I/O or reads a clock; those that depend on the time take it as an argument.

namespace jasminestack {

/// \brief How slots are divided. All but Fair are baselines for benchmarks.
enum class SchedulingPolicy : std::uint8_t {
    Fair, ///< Cell schedulers divide the slots by share and measured service.
    Static, ///< Each daemon divides a fixed part of the slots by itself.
    Fifo, ///< Each daemon serves a fixed part of the slots first come, first served.
};

/// \returns The policy with the settings' name ("fair", "static" or "fifo"), or nothing.
[[nodiscard]] std::optional<SchedulingPolicy> parseSchedulingPolicy(std::string_view name) noexcept;

/// \brief Mechanisms that benchmarks may turn off one by one.
struct SchedulingMechanisms {
    bool correctsServiceLag { true }; ///< Weights depend on the workspace's service lag behind the mean.
    bool keepsSlotDeficits { true }; ///< Fractions of slots are carried over between recomputations of the allocations.
    bool sendsImmediateReports {
        true
    }; ///< Urgent reports are sent before the interval ends, and larger allocations before the daemon's next report.
    bool usesHysteresis { true }; ///< Quotas and slots change only if the target moves by more than a threshold.
    bool raisesReturningWorkspaces {
        true
    }; ///< A workspace that returns from idleness is raised to the minimum of the others' normalised service.
};

/// \brief Scheduling parameters from the settings.
struct SchedulingOptions {
    Millis reportInterval { 500 };
    Millis minimumReportInterval { 50 }; ///< Minimum time between a report and the next urgent one.
    Millis cellReportInterval { 2'000 };
    Millis allocationLease { 3'000 };
    double crossCellGain { 0.1 }; ///< With several cells, a service lag is multiplied by min(1, crossCellGain / 0.1 /
                                  ///< cells). 0: other cells' service is not used.
    SchedulingPolicy policy { SchedulingPolicy::Fair };
    SchedulingMechanisms mechanisms;
    double cellBytesPerSecond { 2'800 }; ///< Budget for one cell's demand reports and allocations, received and sent
                                         ///< by its scheduler.
};

/// \brief Tables that scheduling uses besides SchedulingState. It writes the members of the endpoint table that
/// Dispatch owns and reads the rest.
struct SchedulingContext {
    const SelfState& self;
    const Configuration& configuration;
    const MemberTable& members;
    EndpointTable& endpoints;
};

/// \brief Queues, running requests, counters, allocations received and, for the cells that this daemon schedules, the
/// state of the cell scheduler.
struct SchedulingState;

struct SchedulingStateDeleter {
    void operator()(SchedulingState*) const noexcept;
};
using SchedulingStatePointer = std::unique_ptr<SchedulingState, SchedulingStateDeleter>;

[[nodiscard]] SchedulingStatePointer makeSchedulingState(const SchedulingOptions&);

/// \brief Puts a request into its workspace's queue.
/// \returns QueueFull, DeadlineUnreachable or PresetRefuses if it is refused; the request was then not queued.
[[nodiscard]] Result<void> enqueue(SchedulingState&, const SchedulingContext&, QueuedRequest, Millis now);

/// \brief Chooses requests for all slots that are free now and moves them from queued to running.
/// Call it after each event that may free a slot or add work.
[[nodiscard]] std::vector<RequestAssignment> dispatch(SchedulingState&, const SchedulingContext&, Millis now);

/// \brief Charges a running request with the cost that is known so far (cost units, cumulative).
void recordProgress(SchedulingState&, const RequestId&, double costSoFar);

/// \brief Ends a running request and frees its slot.
/// \param cost Final cost in cost units, or the cost so far if the request did not complete.
/// \param completed Whether it ran to its end, so that its cost updates the average cost and the hint correction.
void recordFinish(
    SchedulingState&, const SchedulingContext&, const RequestId&, double cost, bool completed, Millis now);

/// \brief Removes a queued request whose caller disconnected. Does nothing if it is not queued.
void cancelQueued(SchedulingState&, const RequestId&);

/// \returns Requests whose deadline has passed while they were queued; they are removed.
[[nodiscard]] std::vector<RequestId> expireQueued(SchedulingState&, Millis now);

/// \brief Removes and returns all queued requests, for a daemon whose drain ends before they get a slot.
[[nodiscard]] std::vector<RequestId> drainQueued(SchedulingState&);

/// \brief Runs the periodic work; call it every 50 ms and after dispatch().
/// \returns Messages to peers.
[[nodiscard]] std::vector<OutboundMessage> tickScheduling(SchedulingState&, const SchedulingContext&, Millis now);

/// \brief Handlers of peer messages. onDemandReport() returns messages to send at once.
[[nodiscard]] std::vector<OutboundMessage> onDemandReport(
    SchedulingState&, const SchedulingContext&, const PeerMessage&, const DemandReport&, Millis now);
void onAllocation(SchedulingState&, const SchedulingContext&, const PeerMessage&, const Allocation&, Millis now);
void onCellReport(SchedulingState&, const SchedulingContext&, const PeerMessage&, const CellReport&, Millis now);

/// \brief Backlog and service of one workspace in one pool, for status and metrics.
struct WorkspaceStatus {
    WorkspaceId workspace;
    PoolId pool;
    std::uint32_t queued { 0 };
    std::uint32_t running { 0 };
    /// Cost units charged by this daemon since it started, estimates of running requests included.
    double servedCost { 0 };
    double normalisedService { 0 }; ///< Service in the pool divided by share: the value for all daemons last received
                                    ///< plus this daemon's later charges.
};
[[nodiscard]] std::vector<WorkspaceStatus> workspaceStatus(const SchedulingState&, const SchedulingContext&);

/// \brief One cell in this daemon's view, for status.
struct CellStatus {
    CellId cell;
    DaemonId scheduler; ///< The first scheduler in this daemon's membership view that replies to its reports.
    bool allocationValid { false };
    std::uint32_t slots { 0 }; ///< Slots that this daemon may use now.
    std::uint32_t inFlight { 0 };
    bool needsLoadReports { false }; ///< This daemon schedules the cell or has no allocation: poll its endpoints.
};
[[nodiscard]] std::vector<CellStatus> cellStatus(const SchedulingState&, const SchedulingContext&, Millis now);

}
