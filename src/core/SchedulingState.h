#pragma once

#include "core/CellClient.h"
#include "core/CellMap.h"
#include "core/CellScheduler.h"
#include "core/Dispatch.h"
#include "core/FairQueue.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

/// \file
/// \brief Definition of the state of core/Scheduling.h, shared by its implementation files.

namespace jasminestack {

struct SchedulingState {
    SchedulingOptions options;
    FairQueue queues;
    DispatchState dispatch;
    CellMap cellMap;
    std::vector<CellMember> members; ///< Live members for which cellMap was built.
    /// Version, log offset and preset of the configuration for which cellMap was built.
    std::tuple<std::uint64_t, std::int64_t, std::string> configurationKey { ~0ULL, 0, "" };
    std::size_t endpointCount { 0 }; ///< Size of the endpoint table at the last refresh.
    Millis endpointsRefreshedAt { -1'000'000 };
    bool isEndpointRefreshNeeded { true };
    std::map<CellId, CellClient> cellClients;
    std::map<CellId, CellSchedulerState> scheduledCells;
};

/// \returns Whether this daemon schedules the cell: it has received a demand report for it recently.
[[nodiscard]] bool isScheduled(const CellSchedulerState&, Millis now) noexcept;

/// \brief Updates the cell from a demand report and recomputes its allocations if the last recomputation was at least
/// SchedulingOptions::minimumReportInterval ago.
/// \returns The messages with allocations for the sender and for the daemons to notify.
[[nodiscard]] std::vector<OutboundMessage> processDemandReport(SchedulingState&, const SchedulingContext&,
    const DaemonId& sender, std::uint64_t incarnation, const DemandReport&, Millis now);

/// \brief Updates the state from another cell's service counters or its report of spare slots.
void handleCellReport(
    SchedulingState&, const SchedulingContext&, const CellReport&, const DaemonId& sender, Millis now);

/// \brief Appends due demand reports and cell reports to the messages.
void tickCells(SchedulingState&, const SchedulingContext&, std::vector<OutboundMessage>&, Millis now);

}
