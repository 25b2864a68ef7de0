#pragma once

#include "core/CellScheduler.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

/// \file
/// \brief Places a cell's slots on daemons. Part of CellScheduler.

namespace jasminestack {

// A new scheduler waits this long for the daemons' reports before it trusts that silent daemons use nothing.
constexpr Millis collectionTime { 500 };

/// \brief One step's working copy: daemons with a fresh report by endpoints of the cell.
struct SlotMatrix {
    std::vector<std::pair<const DaemonId*, ReportingDaemon*>> daemons;
    std::vector<std::uint32_t> limit; ///< By endpoint; 0 if it may get no work.
    std::vector<std::uint32_t> unknown; ///< By endpoint: slots that daemons without report or lease may use.
    std::vector<std::uint32_t> heldOutside; ///< By endpoint: slots of silent daemons with a lease.
    std::vector<std::uint32_t> allocated; ///< By daemon, then endpoint.
    std::vector<std::uint32_t> inFlight; ///< Same.
    std::vector<std::uint32_t> committed; ///< Same: in flight or granted by allocations not known as replaced.
    std::vector<std::uint32_t> target; ///< By daemon: slots that it should have.
    std::uint32_t capacity { 0 };

    [[nodiscard]] std::size_t at(std::size_t daemon, std::size_t endpoint) const
    {
        return daemon * limit.size() + endpoint;
    }
};

/// \returns Whether the daemon's last report still counts.
[[nodiscard]] bool isFresh(const ReportingDaemon&, Millis now) noexcept;

/// \returns The value of \p key, or 0.
template <typename Map, typename Key> std::uint32_t valueOr0(const Map& map, const Key& key)
{
    auto it = map.find(key);
    return it == map.end() ? 0 : it->second;
}

/// \brief Collects the daemons with a fresh report and what the others may still use.
[[nodiscard]] SlotMatrix makeGrid(CellSchedulerState&, const CellView&, Millis now);

/// \brief Gives slots that nobody needs to the daemons evenly, so that new work starts without a message.
void spreadSpare(SlotMatrix&, std::uint32_t spare);

/// \brief Moves granted slots towards SlotMatrix::target, as far as they are free, and writes them to the daemons.
void placeSlots(SlotMatrix&, const CellView&);

}
