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
/// \brief The state behind core/Scheduling.h, shared by its implementation files.

namespace jasminestack {

struct SchedulingState {
    SchedulingOptions options;
    FairQueue queues;
    DispatchState dispatch;
    CellMap cellMap;
    std::vector<CellMember> members;
    std::tuple<std::uint64_t, std::int64_t, std::string> configurationKey { ~0ULL, 0, "" };
    std::size_t endpointCount { 0 };
    Millis refreshedAt { -1'000'000 };
    bool refreshNeeded { true };
    std::map<CellId, CellClient> cellClients;
    std::map<CellId, CellSchedulerState> scheduledCells;
};

/// \returns Whether this daemon has recently scheduled the cell.
[[nodiscard]] bool isScheduled(const CellSchedulerState&, Millis now) noexcept;

/// \brief Takes a report into account, recomputes the cell and answers it.
[[nodiscard]] std::vector<OutboundMessage> answerReport(SchedulingState&, const SchedulingView&, const DaemonId& sender,
    std::uint64_t incarnation, const DemandReport&, Millis now);

/// \brief Takes another cell's counters or its offer of spare slots into account.
void handleCellReport(SchedulingState&, const SchedulingView&, const CellReport&, const DaemonId& sender, Millis now);

/// \brief Sends due reports and exchanges.
void tickCells(SchedulingState&, const SchedulingView&, std::vector<OutboundMessage>&, Millis now);

}
