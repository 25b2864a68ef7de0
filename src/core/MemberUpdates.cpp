#include "core/MemberUpdates.h"

#include "base/Hash.h"

#include <algorithm>
#include <bit>

namespace jasminestack {

namespace {

    void recordTableChange(MembershipState& state, Millis now)
    {
        state.lastTableChangeAt = now;
        state.tableHash.reset();
    }

    // If each member sends an update n times, a fraction of about exp(-n) of the members misses it. A missed
    // refutation leaves a running member dead in one table for a while, so n is well above the logarithm of the fleet's
    // size.
    unsigned sendsPerUpdate(const MemberTable& table)
    {
        return 10 + static_cast<unsigned>(std::bit_width(table.members.size()));
    }

    // At equal incarnations the state that is later in MemberState supersedes the other, since only the member itself
    // may revoke it, by raising its incarnation.
    bool supersedes(const MemberUpdate& update, const MemberUpdate& current)
    {
        if (update.incarnation != current.incarnation)
            return update.incarnation > current.incarnation;
        return update.state > current.state;
    }

}

MemberUpdate ownUpdate(const MembershipState& state, const SelfState& self)
{
    return { .id = self.id,
        .address = self.peerAddress,
        .availabilityZone = self.availabilityZone,
        .region = self.region,
        .incarnation = state.incarnation,
        .state = state.hasLeft ? MemberState::Left : MemberState::Alive };
}

std::uint32_t tableHash(MembershipState& state, const MembershipView& view)
{
    if (state.tableHash)
        return *state.tableHash;
    std::uint64_t hash = state.hasLeft ? 0 : hash64(view.self.id.value, state.incarnation);
    for (const auto& [id, member] : view.memberTable.members) {
        if (isLive(member))
            hash ^= hash64(id.value, member.lastUpdate.incarnation);
    }
    state.tableHash = static_cast<std::uint32_t>(hash);
    return *state.tableHash;
}

void enqueueUpdate(MembershipState& state, const MemberTable& table, const MemberUpdate& update)
{
    state.pendingUpdates[update.id] = { .update = update, .remainingSends = sendsPerUpdate(table) };
}

namespace {

    void refuteUpdate(MembershipState& state, const MembershipView& view, const MemberUpdate& update)
    {
        if (update.state == MemberState::Alive && update.incarnation <= state.incarnation)
            return;
        if (update.incarnation < state.incarnation || state.hasLeft)
            return;
        // An incarnation that this process has not reached was used by an earlier process of this daemon whose clock
        // was ahead. Peers drop messages of a lower incarnation as replays, so the incarnation in this daemon's
        // messages has to exceed it as well.
        if (update.incarnation > state.incarnation)
            view.self.incarnation = std::max(view.self.incarnation, update.incarnation + 1);
        state.incarnation = update.incarnation + 1;
        state.tableHash.reset();
        enqueueUpdate(state, view.memberTable, ownUpdate(state, view.self));
        // Other members declared this daemon dead, so it was isolated, and the members that it declared dead in that
        // time may be running.
        if (update.state == MemberState::Dead) {
            for (const auto& [id, member] : view.memberTable.members) {
                if (member.lastUpdate.state == MemberState::Dead)
                    state.unverifiedDead.insert(id);
            }
        }
    }

    // Applies an update about another member. If the member was dead in this view when others declared this daemon
    // dead, this daemon may have declared it dead because it was isolated itself, so an alive update from a peer
    // supersedes that state even at the same incarnation.
    void applyMemberUpdate(MembershipState& state, const MembershipView& view, const MemberUpdate& update, Millis now)
    {
        auto it = view.memberTable.members.find(update.id);
        if (it == view.memberTable.members.end()) {
            it = view.memberTable.members.emplace(update.id, Member { .lastUpdate = update, .lastMessageAt = now })
                     .first;
        } else {
            bool correctsFalseDeath = update.state == MemberState::Alive
                && update.incarnation == it->second.lastUpdate.incarnation
                && it->second.lastUpdate.state == MemberState::Dead && state.unverifiedDead.contains(update.id);
            if (!correctsFalseDeath && !supersedes(update, it->second.lastUpdate))
                return;
            if (update.address != it->second.lastUpdate.address)
                state.probes.erase(update.id);
            it->second.lastUpdate = update;
        }
        state.unverifiedDead.erase(update.id);
        it->second.stateChangedAt = update.state == MemberState::Alive ? Millis {} : now;
        if (update.state == MemberState::Alive)
            state.probes[update.id].consecutiveMisses = 0;
        if (update.state == MemberState::Suspect)
            state.possibleSuspects.insert(update.id);
        recordTableChange(state, now);
        enqueueUpdate(state, view.memberTable, update);
    }

}

void applyUpdates(MembershipState& state, const MembershipView& view, std::span<const MemberUpdate> updates, Millis now)
{
    // Updates about this daemon come first: a refutation marks dead members as unverified, which affects the others.
    for (const MemberUpdate& update : updates) {
        if (update.id == view.self.id)
            refuteUpdate(state, view, update);
    }
    for (const MemberUpdate& update : updates) {
        if (update.id != view.self.id && !update.id.empty() && !update.address.empty())
            applyMemberUpdate(state, view, update, now);
    }
}

void setMemberState(
    MembershipState& state, const MembershipView& view, Member& member, MemberState memberState, Millis now)
{
    member.lastUpdate.state = memberState;
    member.stateChangedAt = now;
    recordTableChange(state, now);
    if (memberState == MemberState::Suspect)
        state.possibleSuspects.insert(member.lastUpdate.id);
    // A daemon that receives no messages is isolated itself, so the states that it then sets are not sent to others.
    if (now - state.lastMessageAt < state.options.isolationTimeout)
        enqueueUpdate(state, view.memberTable, member.lastUpdate);
}

std::vector<MemberUpdate> takePendingUpdates(MembershipState& state, std::size_t limit)
{
    std::vector<PendingUpdate*> pending;
    pending.reserve(state.pendingUpdates.size());
    for (auto& [id, pendingUpdate] : state.pendingUpdates)
        pending.push_back(&pendingUpdate);
    std::size_t count = std::min(limit, pending.size());
    std::partial_sort(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count), pending.end(),
        [](const PendingUpdate* lhs, const PendingUpdate* rhs) { return lhs->remainingSends > rhs->remainingSends; });
    std::vector<MemberUpdate> updates;
    for (std::size_t i = 0; i < count; ++i) {
        updates.push_back(pending[i]->update);
        --pending[i]->remainingSends;
    }
    std::erase_if(state.pendingUpdates, [](const auto& entry) { return entry.second.remainingSends == 0; });
    return updates;
}

void addOwnUpdate(std::vector<MemberUpdate>& updates, const MembershipState& state, const SelfState& self)
{
    std::erase_if(updates, [&](const MemberUpdate& update) { return update.id == self.id; });
    updates.push_back(ownUpdate(state, self));
}

void addReceiverUpdate(std::vector<MemberUpdate>& updates, const Member& member)
{
    if (member.lastUpdate.state == MemberState::Alive)
        return;
    std::erase_if(updates, [&](const MemberUpdate& update) { return update.id == member.lastUpdate.id; });
    updates.push_back(member.lastUpdate);
}

}
