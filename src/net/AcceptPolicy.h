#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

/// \file
/// \brief How many connections a server accepts, and in which order a server without enough processor time reads them.
///
/// Callers leave a connection that is not accepted and read within a second. A server that takes the oldest ones first
/// is left with those whose callers have gone as soon as more arrive than it can read: it spends its time on them and
/// the next ones become too old as well. So a saturated server reads the newest first. The others are closed when their
/// callers have gone, not before, since callers that are turned away at once come again at once. Connections beyond the
/// system's queue are not made at all, which costs the server nothing.

namespace jasminestack {

/// \brief Limits of a server for callers' connections.
struct AcceptPolicy {
    int queueLength { 32 }; ///< Connections that wait in the system's queue; further ones are not made.
    int acceptsPerTurn { 4 }; ///< In a turn of the event loop; the limit leaves time to read from open connections.
    /// In each tick of a saturated daemon, before events of higher priority, so that connections do not wait for long
    /// where their age is not known.
    int acceptsPerSaturatedTick { 8 };
    int readsPerTurn { 8 }; ///< New connections that a saturated server reads in a turn of the event loop.
    Millis patience { 1'000 }; ///< Callers leave connections that are not read for so long.
};

inline constexpr AcceptPolicy acceptPolicy;

/// \returns The longest time for which a connection waits in the queue of a saturated daemon.
[[nodiscard]] constexpr Millis longestQueueTime(const AcceptPolicy& policy, Millis tickInterval)
{
    std::int64_t ticks = (policy.queueLength + policy.acceptsPerSaturatedTick - 1) / policy.acceptsPerSaturatedTick;
    return { ticks * tickInterval.count };
}

/// \brief A connection that was accepted and not read yet.
struct UnreadConnection {
    std::uint64_t number { 0 };
    Millis acceptedAt {};
};

/// \brief Connections of a saturated server that were accepted and not read yet, the oldest first.
struct UnreadConnections {
    std::deque<UnreadConnection> items;
};

void addUnread(UnreadConnections&, std::uint64_t number, Millis now);

/// \brief Removes the connection that is to be read next: the newest.
[[nodiscard]] std::optional<std::uint64_t> takeNextUnread(UnreadConnections&);

/// \brief Removes the connections whose callers have left by now.
[[nodiscard]] std::vector<std::uint64_t> takeExpiredUnread(UnreadConnections&, const AcceptPolicy&, Millis now);

}
