#pragma once

#include "core/Membership.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief Updates about members: which one is newer, what they change, and which are still passed on. Used by
/// Membership only.

namespace jasminestack {

/// \returns The update by which this daemon introduces itself.
[[nodiscard]] MemberUpdate ownUpdate(const MembershipState&, const SelfState&);

/// \returns A hash over the running members and their incarnations; equal tables have equal hashes.
[[nodiscard]] std::uint32_t tableHash(MembershipState&, const MembershipView&);

/// \brief Passes \p update on with the next messages.
void enqueueUpdate(MembershipState&, const MemberTable&, const MemberUpdate& update);

/// \brief Applies updates of a peer. Suspicions about this daemon are refuted.
void applyUpdates(MembershipState&, const MembershipView&, std::span<const MemberUpdate>, Millis now);

/// \brief Records this daemon's own verdict about a member.
void setMemberState(MembershipState&, const MembershipView&, Member&, MemberState, Millis now);

/// \returns At most \p limit updates to send, those that were sent least first; counts them as sent once more.
[[nodiscard]] std::vector<MemberUpdate> takePendingUpdates(MembershipState&, std::size_t limit);

/// \brief Adds this daemon's own update, in place of an older one.
void addOwnUpdate(std::vector<MemberUpdate>&, const MembershipState&, const SelfState&);

/// \brief Adds the receiver's own state unless it is alive here, since only the receiver can refute that.
void addReceiverUpdate(std::vector<MemberUpdate>&, const Member& receiver);

}
