#pragma once

#include "core/Membership.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief Updates about members: their order, their effect on the member table, and the queue of updates to gossip.
/// Used by Membership only.

namespace jasminestack {

/// \returns The update about this daemon itself.
[[nodiscard]] MemberUpdate ownUpdate(const MembershipState&, const SelfState&);

/// \returns A hash over the live members and their incarnations; equal tables have equal hashes.
[[nodiscard]] std::uint32_t tableHash(MembershipState&, const MembershipView&);

/// \brief Queues \p update for gossip, replacing an older update about the same member.
void enqueueUpdate(MembershipState&, const MemberTable&, const MemberUpdate& update);

/// \brief Applies updates received from a peer and refutes suspicions about this daemon.
void applyUpdates(MembershipState&, const MembershipView&, std::span<const MemberUpdate>, Millis now);

/// \brief Sets the state of a member that this daemon itself found suspect or dead.
void setMemberState(MembershipState&, const MembershipView&, Member&, MemberState, Millis now);

/// \returns At most \p limit pending updates to send, those with the most remaining sends first. Each one's number of
/// remaining sends is reduced by one.
[[nodiscard]] std::vector<MemberUpdate> takePendingUpdates(MembershipState&, std::size_t limit);

/// \brief Adds the update about this daemon, replacing an older one.
void addOwnUpdate(std::vector<MemberUpdate>&, const MembershipState&, const SelfState&);

/// \brief Adds the last update about the receiver unless its state is alive, since only the receiver itself can refute
/// it.
void addReceiverUpdate(std::vector<MemberUpdate>&, const Member& receiver);

}
