#pragma once

#include "core/CellMap.h"
#include "core/Dispatch.h"
#include "core/Scheduling.h"

#include <array>
#include <map>
#include <optional>

/// \file
/// \brief A daemon's state for a cell whose slots it uses: when to send demand reports, to which scheduler, and the
/// allocation received.

namespace jasminestack {

/// \brief A demand report that was sent. The lease of the allocation sent in reply starts at sentAt.
struct SentReport {
    std::uint64_t sequence { 0 };
    Millis sentAt {};
};

/// \brief State of one cell at a daemon that uses it.
struct CellClient {
    CellId cell;
    std::uint64_t reportSequence { 0 };
    std::array<SentReport, 32> sentReports {}; ///< Ring buffer of the last demand reports, by sequence.
    Millis lastReportSentAt { -1'000'000 };
    bool isReportUrgent { false }; ///< The next report does not wait for the end of the interval.
    double reportTokens { 4 }; ///< Token bucket: number of reports that the byte budget allows now.
    Millis reportTokensUpdatedAt {};
    std::size_t lastReportBytes { 200 };
    std::size_t lastAllocationBytes { 200 };
    /// Sending time of the first report since the last allocation; negative: none.
    Millis firstReportWithoutReplyAt { -1 };
    /// Schedulers that did not reply, with the time until which they get no reports.
    std::map<DaemonId, Millis> unresponsiveUntil;
    DaemonId currentScheduler; ///< The scheduler that this daemon sends its reports to.

    DaemonId allocationSender;
    std::uint64_t schedulerIncarnation { 0 };
    std::uint64_t allocationSequence { 0 };
    Millis allocationExpiresAt { -1 };
    std::map<EndpointId, std::uint32_t> allocatedSlots;
    /// When this daemon began to use its fallback slots: the allocation expired or the cell was attached.
    Millis fallbackStartedAt {};

    /// This daemon is not attached to the cell and uses only spare slots that the cell reported.
    bool usesSpareSlotsOnly { false };
    Millis spareSlotsExpireAt {};
    /// By endpoint: its concurrency limit, and this daemon's fallback slots at that limit.
    std::map<EndpointId, std::pair<std::uint32_t, std::uint32_t>> fallbackParts;
};

/// \returns The daemon that schedules the cell in this daemon's view: the first scheduler that is not marked as
/// unresponsive, or the first one if all are.
[[nodiscard]] DaemonId responsiveScheduler(const CellClient&, const CellInfo&, Millis now);

/// \brief Marks the current scheduler as unresponsive if it has not replied to reports within the timeout, and selects
/// the next one.
void detectUnresponsiveScheduler(CellClient&, const CellInfo&, const DaemonId& self, Millis now);

/// \param backlogged Whether this daemon has queued requests for the pool.
/// \returns Whether a report is due now.
[[nodiscard]] bool isReportDue(
    CellClient&, const CellInfo&, const SchedulingOptions&, const DaemonId& self, bool backlogged, Millis now);

/// \brief Builds a demand report and records \p now as its sending time.
/// \param usedCellCount Number of cells of the pool that this daemon uses, by attachment or for their spare slots.
[[nodiscard]] DemandReport makeDemandReport(CellClient&, FairQueue&, const DispatchState&, std::size_t usedCellCount,
    const DaemonId& scheduler, const DaemonId& self, Millis now);

/// \brief Replaces the current allocation by \p allocation.
/// \returns False if \p allocation is older than the current one, its lease has expired, the report that it replies to
/// is no longer recorded, or \p sender is not the scheduler to which this daemon sends its reports.
bool applyAllocation(CellClient&, FairQueue&, const CellInfo&, const DaemonId& sender, const Allocation&, Millis now);

/// \brief Removes an allocation whose lease has expired.
void expireAllocation(CellClient&, FairQueue&, Millis now);

/// \returns Approximate encoded sizes in bytes, with envelope, for the byte budget.
[[nodiscard]] std::size_t messageBytes(const DemandReport&) noexcept;
[[nodiscard]] std::size_t messageBytes(const Allocation&) noexcept;
[[nodiscard]] std::size_t messageBytes(const CellReport&) noexcept;

}
