#include "core/MemberUpdates.h"

#include "base/Hash.h"

#include <algorithm>
#include <bit>

namespace jasminestack {

namespace {

    void noteChange(MembershipState& state, Millis now)
    {
        state.lastChange = now;
        state.tableHash.reset();
    }

    // With n sends by each member, a share of about exp(-n) of the members misses the news. A missed refutation makes a
    // running member dead for a while, so the number is well above the logarithm of the fleet's size.
    unsigned newsSends(const MemberTable& table)
    {
        return 10 + static_cast<unsigned>(std::bit_width(table.members.size()));
    }

    // Which of two updates about one member is newer. At the same incarnation the worse state wins, since only the
    // member itself may take it back, by raising its incarnation.
    bool overrides(const MemberUpdate& update, const MemberUpdate& known)
    {
        if (update.incarnation != known.incarnation)
            return update.incarnation > known.incarnation;
        return update.state > known.state;
    }

}

MemberUpdate ownUpdate(const MembershipState& state, const SelfState& self)
{
    return { .id = self.id,
        .address = self.peerAddress,
        .availabilityZone = self.availabilityZone,
        .region = self.region,
        .incarnation = state.incarnation,
        .state = state.left ? MemberState::Left : MemberState::Alive };
}

std::uint32_t tableHash(MembershipState& state, const MembershipView& view)
{
    if (state.tableHash)
        return *state.tableHash;
    std::uint64_t hash = state.left ? 0 : hash64(view.self.id.value, state.incarnation);
    for (const auto& [id, member] : view.memberTable.members) {
        if (isLive(member))
            hash ^= hash64(id.value, member.lastUpdate.incarnation);
    }
    state.tableHash = static_cast<std::uint32_t>(hash);
    return *state.tableHash;
}

void enqueueUpdate(MembershipState& state, const MemberTable& table, const MemberUpdate& update)
{
    state.pendingUpdates[update.id] = { .update = update, .remaining = newsSends(table) };
}

namespace {

    void refute(MembershipState& state, const MembershipView& view, const MemberUpdate& update)
    {
        if (update.state == MemberState::Alive && update.incarnation <= state.incarnation)
            return;
        if (update.incarnation < state.incarnation || state.left)
            return;
        // A number above any that this process has used comes from an earlier life with a faster clock. Peers drop
        // messages of a lower incarnation as replays, so the messages' own number has to pass it too.
        if (update.incarnation > state.incarnation)
            view.self.incarnation = std::max(view.self.incarnation, update.incarnation + 1);
        state.incarnation = update.incarnation + 1;
        state.tableHash.reset();
        enqueueUpdate(state, view.memberTable, ownUpdate(state, view.self));
        // Others gave this daemon up, so it was cut off, and the members that it gave up itself may well be running.
        if (update.state == MemberState::Dead) {
            for (const auto& [id, member] : view.memberTable.members) {
                if (member.lastUpdate.state == MemberState::Dead)
                    state.unverified.insert(id);
            }
        }
    }

    // Applies an update about another member. After this daemon was cut off itself, its own verdicts of death count
    // less than a peer's word that the member runs, even at the same incarnation.
    void learn(MembershipState& state, const MembershipView& view, const MemberUpdate& update, Millis now)
    {
        auto it = view.memberTable.members.find(update.id);
        if (it == view.memberTable.members.end()) {
            it = view.memberTable.members.emplace(update.id, Member { .lastUpdate = update, .lastMessageAt = now })
                     .first;
        } else {
            bool revived = update.state == MemberState::Alive && update.incarnation == it->second.lastUpdate.incarnation
                && it->second.lastUpdate.state == MemberState::Dead && state.unverified.contains(update.id);
            if (!revived && !overrides(update, it->second.lastUpdate))
                return;
            if (update.address != it->second.lastUpdate.address)
                state.probes.erase(update.id);
            it->second.lastUpdate = update;
        }
        state.unverified.erase(update.id);
        it->second.suspectedAt = update.state == MemberState::Alive ? Millis {} : now;
        if (update.state == MemberState::Alive)
            state.probes[update.id].missed = 0;
        if (update.state == MemberState::Suspect)
            state.suspects.insert(update.id);
        noteChange(state, now);
        enqueueUpdate(state, view.memberTable, update);
    }

}

void applyUpdates(MembershipState& state, const MembershipView& view, std::span<const MemberUpdate> updates, Millis now)
{
    // Updates about this daemon first: they decide how the others are read.
    for (const MemberUpdate& update : updates) {
        if (update.id == view.self.id)
            refute(state, view, update);
    }
    for (const MemberUpdate& update : updates) {
        if (update.id != view.self.id && !update.id.empty() && !update.address.empty())
            learn(state, view, update, now);
    }
}

void setMemberState(
    MembershipState& state, const MembershipView& view, Member& member, MemberState memberState, Millis now)
{
    member.lastUpdate.state = memberState;
    member.suspectedAt = now;
    noteChange(state, now);
    if (memberState == MemberState::Suspect)
        state.suspects.insert(member.lastUpdate.id);
    // A daemon that hears from nobody is cut off itself; its verdicts then are of no use to the others.
    if (now - state.lastMessageAt < state.options.isolation)
        enqueueUpdate(state, view.memberTable, member.lastUpdate);
}

std::vector<MemberUpdate> takePendingUpdates(MembershipState& state, std::size_t limit)
{
    std::vector<PendingUpdate*> pending;
    pending.reserve(state.pendingUpdates.size());
    for (auto& [id, news] : state.pendingUpdates)
        pending.push_back(&news);
    std::size_t count = std::min(limit, pending.size());
    std::partial_sort(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count), pending.end(),
        [](const PendingUpdate* a, const PendingUpdate* b) { return a->remaining > b->remaining; });
    std::vector<MemberUpdate> updates;
    for (std::size_t i = 0; i < count; ++i) {
        updates.push_back(pending[i]->update);
        --pending[i]->remaining;
    }
    std::erase_if(state.pendingUpdates, [](const auto& entry) { return entry.second.remaining == 0; });
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
