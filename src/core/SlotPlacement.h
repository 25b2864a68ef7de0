#pragma once

#include "core/CellScheduler.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

/// \file
/// \brief Allocates a cell's slots to daemons. Part of CellScheduler.

namespace jasminestack {

// Time in which a new scheduler collects the daemons' reports. Until it ends, daemons without a report are assumed to
// use their fallback slots.
constexpr Millis reportCollectionTime { 500 };

/// \brief Working copy of one recomputation: a matrix of the daemons with a recent report by the cell's endpoints.
struct SlotMatrix {
    std::vector<std::pair<const DaemonId*, ReportingDaemon*>> daemons;
    std::vector<std::uint32_t> limit; ///< By endpoint: its concurrency limit; 0 if it may not get new requests.
    /// By endpoint: slots that may be in use by daemons without a recent report or a lease.
    std::vector<std::uint32_t> unreportedUse;
    /// By endpoint: slots of daemons without a recent report whose lease is valid.
    std::vector<std::uint32_t> leasedToUnreportingDaemons;
    std::vector<std::uint32_t> allocated; ///< By daemon, then endpoint: slots that the daemon gets.
    std::vector<std::uint32_t> inFlight; ///< By daemon, then endpoint.
    /// By daemon, then endpoint: maximum of the requests in flight and the slots by any allocation from the last
    /// acknowledged one on.
    std::vector<std::uint32_t> committed;
    std::vector<std::uint32_t> target; ///< By daemon: desired number of slots.
    std::uint32_t capacity { 0 }; ///< Slots that can be allocated, over all endpoints.

    [[nodiscard]] std::size_t offset(std::size_t daemon, std::size_t endpoint) const
    {
        return daemon * limit.size() + endpoint;
    }
};

/// \returns Whether the daemon's last report is recent enough to be used.
[[nodiscard]] bool hasRecentReport(const ReportingDaemon&, Millis now) noexcept;

/// \returns The value of \p key, or 0.
template <typename Map, typename Key> std::uint32_t valueOrZero(const Map& map, const Key& key)
{
    auto it = map.find(key);
    return it == map.end() ? 0 : it->second;
}

/// \brief Builds the matrix from the daemons with a recent report and the slots that other daemons may still use.
[[nodiscard]] SlotMatrix makeSlotMatrix(CellSchedulerState&, const CellSchedulerContext&, Millis now);

/// \brief Divides slots beyond the demand evenly over the daemons, so that new requests start without
/// waiting for a new allocation.
void distributeSpareSlots(SlotMatrix&, std::uint32_t spare);

/// \brief Moves allocated slots towards SlotMatrix::target, as far as slots are free, and stores the result in the
/// daemons.
void placeSlots(SlotMatrix&, const CellSchedulerContext&);

}
