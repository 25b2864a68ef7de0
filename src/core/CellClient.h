#pragma once

#include "core/CellMap.h"
#include "core/Dispatch.h"
#include "core/Scheduling.h"

#include <array>
#include <map>
#include <optional>

/// \file
/// \brief A daemon's side of a cell: when it reports, whom it follows and what it was allocated.

namespace jasminestack {

/// \brief When a report was sent, so that the lease of the allocation that answers it starts there.
struct SentReport {
    std::uint64_t sequence { 0 };
    Millis sentAt {};
};

/// \brief State of one cell at a daemon that uses it.
struct CellClient {
    CellId cell;
    std::uint64_t sequence { 0 };
    std::array<SentReport, 32> reports {}; ///< Ring of the last reports.
    Millis lastReport { -1'000'000 };
    bool urgent { false }; ///< Report before the interval has passed.
    double tokens { 4 }; ///< Reports that the byte budget allows now.
    Millis tokensAt {};
    std::size_t lastReportBytes { 200 };
    std::size_t lastAllocationBytes { 200 };
    Millis firstUnansweredAt { -1 }; ///< Sending time of the first unanswered report; negative: none.
    std::map<DaemonId, Millis> silentUntil; ///< Schedulers that did not answer.
    DaemonId following; ///< The scheduler of the last report.

    DaemonId grantedBy;
    std::uint64_t epoch { 0 };
    std::uint64_t allocationSequence { 0 };
    Millis allocationExpiresAt { -1 };
    std::map<EndpointId, std::uint32_t> slots;
    Millis fallbackStartedAt {}; ///< When the allocation expired or the cell was attached.

    bool extra { false }; ///< Used only because it reported spare slots.
    Millis spareUntil {};
    std::map<EndpointId, std::pair<std::uint32_t, std::uint32_t>> fallbackParts; ///< Limit and own part of it.
};

/// \returns The daemon that schedules the cell in this daemon's view: the first one that is not silent.
[[nodiscard]] DaemonId followedScheduler(const CellClient&, const CellInfo&, Millis now);

/// \brief Gives up on a scheduler that leaves reports unanswered.
void checkSilence(CellClient&, const CellInfo&, const DaemonId& self, Millis now);

/// \param backlogged Whether this daemon has queued requests for the pool.
/// \returns Whether a report is due now.
[[nodiscard]] bool reportDue(
    CellClient&, const CellInfo&, const SchedulingOptions&, const DaemonId& self, bool backlogged, Millis now);

/// \brief Builds a report and notes that it is sent now.
[[nodiscard]] DemandReport makeReport(CellClient&, FairQueue&, const DispatchState&, std::size_t attachedCells,
    const DaemonId& scheduler, const DaemonId& self, Millis now);

/// \brief Takes over an allocation.
/// \returns False if it is older than the present one or not from the scheduler that this daemon follows.
bool applyAllocation(CellClient&, FairQueue&, const CellInfo&, const DaemonId& sender, const Allocation&, Millis now);

/// \brief Ends an allocation whose lease has passed.
void expireAllocation(CellClient&, FairQueue&, Millis now);

/// \returns Approximate encoded sizes in bytes, with envelope, for the byte budget.
[[nodiscard]] std::size_t messageBytes(const DemandReport&) noexcept;
[[nodiscard]] std::size_t messageBytes(const Allocation&) noexcept;
[[nodiscard]] std::size_t messageBytes(const CellReport&) noexcept;

}
