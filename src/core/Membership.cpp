#include "core/Membership.h"

#include "base/Hash.h"
#include "core/MemberUpdates.h"

#include <algorithm>
#include <optional>

namespace jasminestack {

namespace {

    // Updates in one message; news of a whole availability zone still spreads within a few intervals.
    constexpr std::size_t maxGossipUpdates = 96;
    constexpr std::size_t maxPiggyback = 8;
    // A nonce only has to differ among the probes of the last seconds; small ones take fewer bytes.
    constexpr std::uint64_t nonceModulus = 65'536;

    std::uint64_t nextNonce(MembershipState& state)
    {
        state.lastNonce = state.lastNonce % (nonceModulus - 1) + 1;
        return state.lastNonce;
    }

    AddressedMessage makeProbe(
        MembershipState& state, const MembershipView& view, const DaemonId& id, const Member& member, Millis now)
    {
        ProbeRecord& record = state.probes[id];
        record.lastProbe = now;
        Probe probe { .nonce = nextNonce(state),
            .configurationDigest = view.configurationDigest,
            .updates = takePendingUpdates(state, maxPiggyback),
            .tableHash = tableHash(state, view),
            .unansweredProbes = record.missed,
            .tableRequested = state.askTable.erase(id) > 0 };
        if (!record.answered || record.missed > 0 || !isLive(member))
            addOwnUpdate(probe.updates, state, view.self);
        addReceiverUpdate(probe.updates, member);
        state.outstanding[probe.nonce] = { .target = id, .sentAt = now };
        return { .address = member.lastUpdate.address, .payload = std::move(probe) };
    }

    std::vector<std::pair<std::uint64_t, DaemonId>> ring(const MembershipView& view)
    {
        std::uint64_t own = hash64(view.self.id.value);
        std::vector<std::pair<std::uint64_t, DaemonId>> successors;
        for (const auto& [id, member] : view.memberTable.members) {
            if (isLive(member))
                successors.emplace_back(hash64(id.value) - own, id);
        }
        return successors;
    }

    // The next members on the ring, so many that as many as configured are not suspect: a run of failed neighbours
    // would otherwise be found only three at a time.
    void probeNeighbours(
        MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& out)
    {
        auto successors = ring(view);
        std::size_t count = std::min<std::size_t>(4 * std::size_t { state.options.neighbours }, successors.size());
        std::partial_sort(
            successors.begin(), successors.begin() + static_cast<std::ptrdiff_t>(count), successors.end());
        unsigned alive = 0;
        for (std::size_t i = 0; i < count && alive < state.options.neighbours; ++i) {
            const Member& member = view.memberTable.members.at(successors[i].second);
            alive += member.lastUpdate.state == MemberState::Alive ? 1 : 0;
            out.push_back(makeProbe(state, view, successors[i].second, member, now));
        }
    }

    // Each dead member is tried by the running member before it on the ring.
    void probeDead(MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& out)
    {
        auto successors = ring(view);
        std::uint64_t own = hash64(view.self.id.value);
        std::optional<std::uint64_t> reach;
        for (const auto& [distance, id] : successors)
            reach = std::min(reach.value_or(distance), distance);
        std::vector<std::pair<Millis, DaemonId>> due;
        for (const auto& [id, member] : view.memberTable.members) {
            if (member.lastUpdate.state != MemberState::Dead || (reach && hash64(id.value) - own > *reach))
                continue;
            Millis last = state.probes[id].lastProbe;
            if (now - last >= state.options.deadProbeInterval)
                due.emplace_back(last, id);
        }
        std::sort(due.begin(), due.end());
        if (due.size() > state.options.deadProbesPerSecond)
            due.resize(state.options.deadProbesPerSecond);
        for (const auto& [last, id] : due) {
            AddressedMessage message = makeProbe(state, view, id, view.memberTable.members.at(id), now);
            state.outstanding.erase(std::get<Probe>(message.payload).nonce);
            out.push_back(std::move(message));
        }
    }

    // Seeds and listed hosts that are not running members: all at once while alone, else one at a time.
    void contactAddresses(
        MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& out)
    {
        std::set<std::string_view> known { view.self.peerAddress };
        bool alone = true;
        for (const auto& [id, member] : view.memberTable.members) {
            if (!isLive(member))
                continue;
            known.insert(member.lastUpdate.address);
            alone = false;
        }
        std::vector<std::string_view> candidates;
        for (const auto* list : { &state.seeds, &state.listed }) {
            for (const std::string& address : *list) {
                if (known.insert(address).second)
                    candidates.emplace_back(address);
            }
        }
        state.nextContact = now + (alone ? state.options.probeInterval : state.options.contactInterval);
        std::size_t count = std::min<std::size_t>(candidates.size(), alone ? state.options.fanout : 1);
        for (std::size_t i = 0; i < count; ++i) {
            std::string_view address = candidates[state.contactCursor++ % candidates.size()];
            Probe probe { .nonce = nextNonce(state),
                .configurationDigest = view.configurationDigest,
                .updates = {},
                .tableHash = tableHash(state, view),
                .tableRequested = alone };
            addOwnUpdate(probe.updates, state, view.self);
            out.push_back({ .address = std::string(address), .payload = std::move(probe) });
        }
    }

    void checkOutstanding(
        MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& out)
    {
        std::vector<DaemonId> missed;
        std::erase_if(state.outstanding, [&](const auto& entry) {
            if (now - entry.second.sentAt < state.options.ackTimeout)
                return false;
            auto it = view.memberTable.members.find(entry.second.target);
            // Any message since the probe shows that the member runs; only the answer shows that it hears.
            if (it != view.memberTable.members.end() && isLive(it->second)) {
                ++state.probes[entry.second.target].missed;
                if (it->second.lastMessageAt < entry.second.sentAt)
                    missed.push_back(entry.second.target);
            }
            return true;
        });
        for (const DaemonId& id : missed) {
            Member& member = view.memberTable.members.at(id);
            unsigned count = state.probes[id].missed;
            if (count < state.options.missedProbes)
                out.push_back(makeProbe(state, view, id, member, now));
            else if (member.lastUpdate.state == MemberState::Alive)
                setMemberState(state, view, member, MemberState::Suspect, now);
        }
    }

    void checkIsolation(MembershipState& state, const MembershipView& view, Millis now)
    {
        if (now - state.lastMessageAt < state.options.isolation)
            return;
        for (auto& [id, member] : view.memberTable.members) {
            if (member.lastUpdate.state == MemberState::Alive)
                setMemberState(state, view, member, MemberState::Suspect, now);
        }
    }

    void expireSuspects(MembershipState& state, const MembershipView& view, Millis now)
    {
        for (auto it = state.suspects.begin(); it != state.suspects.end();) {
            auto member = view.memberTable.members.find(*it);
            bool suspect
                = member != view.memberTable.members.end() && member->second.lastUpdate.state == MemberState::Suspect;
            if (suspect && now - member->second.suspectedAt < state.options.suspicion) {
                ++it;
                continue;
            }
            it = state.suspects.erase(it);
            if (suspect)
                setMemberState(state, view, member->second, MemberState::Dead, now);
        }
    }

    void forgetStopped(MembershipState& state, const MembershipView& view, Millis now)
    {
        std::erase_if(view.memberTable.members, [&](const auto& entry) {
            bool forget = !isLive(entry.second) && now - entry.second.suspectedAt >= state.options.forgetAfter;
            if (forget) {
                state.probes.erase(entry.first);
                state.unverified.erase(entry.first);
            }
            return forget;
        });
    }

    std::vector<AddressedMessage> sendNews(MembershipState& state, const MembershipView& view)
    {
        std::vector<const Member*> running;
        for (const auto& [id, member] : view.memberTable.members) {
            if (isLive(member))
                running.push_back(&member);
        }
        std::vector<AddressedMessage> out;
        std::uint32_t hash = tableHash(state, view);
        for (unsigned i = 0; i < state.options.fanout && !running.empty(); ++i) {
            std::size_t at = state.random.uniformInteger(running.size());
            ProbeAck news { .nonce = 0,
                .configurationDigest = view.configurationDigest,
                .updates = takePendingUpdates(state, maxGossipUpdates),
                .tableHash = hash };
            addReceiverUpdate(news.updates, *running[at]);
            out.push_back({ .address = running[at]->lastUpdate.address, .payload = std::move(news) });
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
        }
        return out;
    }

    // After a pause, silence says nothing about the others, so their suspicion times start again.
    void afterPause(MembershipState& state, const MembershipView& view, Millis now)
    {
        state.outstanding.clear();
        for (auto& [id, record] : state.probes)
            record.missed = 0;
        for (auto& [id, member] : view.memberTable.members) {
            if (member.lastUpdate.state == MemberState::Suspect)
                member.suspectedAt = now;
        }
        state.nextProbe = now;
        state.lastMessageAt = now;
    }

    void compareTables(
        MembershipState& state, const MembershipView& view, const DaemonId& peer, std::uint32_t hash, Millis now)
    {
        ProbeRecord& record = state.probes[peer];
        if (hash == tableHash(state, view)) {
            record.hashMismatchStartedAt = {};
            return;
        }
        if (record.hashMismatchStartedAt == Millis {})
            record.hashMismatchStartedAt = now;
        Millis since = std::max(record.hashMismatchStartedAt, state.lastChange);
        if (now - since >= state.options.tableDifference) {
            state.askTable.insert(peer);
            state.comparing.insert(peer);
            record.hashMismatchStartedAt = now;
        }
    }

    // Members on which this daemon and a peer disagree, and which no newer incarnation settles, are probed: a dead one
    // then misses the probes, a running one refutes.
    void verifyTable(MembershipState& state, const MembershipView& view, const ProbeAck& ack)
    {
        std::set<DaemonId> running;
        for (const MemberUpdate& update : ack.updates)
            running.insert(update.id);
        for (const auto& [id, member] : view.memberTable.members) {
            if (isLive(member) != running.contains(id))
                state.membersToProbe.insert(id);
        }
    }

    void noteDigest(const MembershipView& view, const DaemonId& sender, const ConfigurationDigest& digest)
    {
        if (auto it = view.memberTable.members.find(sender); it != view.memberTable.members.end())
            it->second.configurationDigest = digest;
    }

    // Without the dead: while a partition heals, the two sides' verdicts about each other must not spread.
    std::vector<MemberUpdate> runningMembers(const MembershipView& view)
    {
        std::vector<MemberUpdate> updates;
        for (const auto& [id, member] : view.memberTable.members) {
            if (isLive(member))
                updates.push_back(member.lastUpdate);
        }
        return updates;
    }

    void probeListed(MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& out)
    {
        // A member that was asked for its table need not be a neighbour.
        for (const DaemonId& id : std::set<DaemonId>(state.askTable)) {
            if (auto it = view.memberTable.members.find(id); it != view.memberTable.members.end() && isLive(it->second))
                out.push_back(makeProbe(state, view, id, it->second, now));
        }
        state.askTable.clear();
        // Two each tick stay within the rate for dead members.
        for (int i = 0; i < 2 && !state.membersToProbe.empty(); ++i) {
            DaemonId id = *state.membersToProbe.begin();
            state.membersToProbe.erase(state.membersToProbe.begin());
            if (auto it = view.memberTable.members.find(id); it != view.memberTable.members.end())
                out.push_back(makeProbe(state, view, id, it->second, now));
        }
    }

}

MembershipState makeMembershipState(
    const MembershipOptions& options, const SelfState& self, std::vector<std::string> seeds, std::uint64_t randomSeed)
{
    return {
        .options = options, .random = Random(randomSeed), .incarnation = self.incarnation, .seeds = std::move(seeds)
    };
}

std::vector<AddressedMessage> tickMembership(MembershipState& state, const MembershipView& view, Millis now)
{
    std::vector<AddressedMessage> out;
    if (state.left)
        return out;
    if (state.lastTick != Millis {} && now - state.lastTick > state.options.pause)
        afterPause(state, view, now);
    state.lastTick = now;
    checkOutstanding(state, view, now, out);
    checkIsolation(state, view, now);
    expireSuspects(state, view, now);
    if (now >= state.nextProbe) {
        state.nextProbe = now + state.options.probeInterval;
        forgetStopped(state, view, now);
        probeNeighbours(state, view, now, out);
        probeDead(state, view, now, out);
    }
    probeListed(state, view, now, out);
    if (now >= state.nextContact)
        contactAddresses(state, view, now, out);
    if (now >= state.nextGossip && !state.pendingUpdates.empty()) {
        state.nextGossip = now + state.options.gossipInterval;
        auto news = sendNews(state, view);
        out.insert(out.end(), std::make_move_iterator(news.begin()), std::make_move_iterator(news.end()));
    }
    return out;
}

std::vector<AddressedMessage> onProbe(
    MembershipState& state, const MembershipView& view, const PeerMessage& message, const Probe& probe, Millis now)
{
    bool introduced = std::any_of(probe.updates.begin(), probe.updates.end(),
        [&](const MemberUpdate& update) { return update.id == message.sender; });
    std::uint64_t before = state.incarnation;
    applyUpdates(state, view, probe.updates, now);
    auto sender = view.memberTable.members.find(message.sender);
    if (sender == view.memberTable.members.end() || state.left)
        return {};
    noteDigest(view, message.sender, probe.configurationDigest);
    compareTables(state, view, message.sender, probe.tableHash, now);
    if (state.incarnation != before)
        state.askTable.insert(message.sender);
    ProbeAck ack { .nonce = probe.nonce,
        .configurationDigest = view.configurationDigest,
        .updates = takePendingUpdates(state, maxPiggyback),
        .tableHash = tableHash(state, view) };
    if (probe.tableRequested) {
        ack.updates = runningMembers(view);
        ack.isFullTable = true;
    }
    if (introduced || probe.tableRequested || state.incarnation != before)
        addOwnUpdate(ack.updates, state, view.self);
    addReceiverUpdate(ack.updates, sender->second);
    std::vector<AddressedMessage> out;
    out.push_back({ .address = sender->second.lastUpdate.address, .payload = std::move(ack) });
    return out;
}

void onProbeAck(
    MembershipState& state, const MembershipView& view, const PeerMessage& message, const ProbeAck& ack, Millis now)
{
    std::uint64_t before = state.incarnation;
    applyUpdates(state, view, ack.updates, now);
    if (!view.memberTable.members.contains(message.sender))
        return;
    noteDigest(view, message.sender, ack.configurationDigest);
    if (state.incarnation != before)
        state.askTable.insert(message.sender);
    if (ack.nonce == 0)
        return;
    if (ack.isFullTable && state.comparing.erase(message.sender) > 0)
        verifyTable(state, view, ack);
    compareTables(state, view, message.sender, ack.tableHash, now);
    ProbeRecord& record = state.probes[message.sender];
    record.missed = 0;
    record.answered = true;
    std::erase_if(state.outstanding, [&](const auto& entry) { return entry.second.target == message.sender; });
}

void onMemberMessage(MembershipState& state, MemberTable& table, const DaemonId& sender, Millis now)
{
    state.lastMessageAt = now;
    if (auto it = table.members.find(sender); it != table.members.end())
        it->second.lastMessageAt = now;
}

void onHostAddresses(MembershipState& state, std::vector<std::string> addresses)
{
    state.listed = std::move(addresses);
}

std::vector<AddressedMessage> leaveMembership(MembershipState& state, const MembershipView& view)
{
    state.left = true;
    state.tableHash.reset();
    state.pendingUpdates.clear();
    enqueueUpdate(state, view.memberTable, ownUpdate(state, view.self));
    std::vector<AddressedMessage> out;
    for (int round = 0; round < 2; ++round) {
        auto news = sendNews(state, view);
        out.insert(out.end(), std::make_move_iterator(news.begin()), std::make_move_iterator(news.end()));
    }
    return out;
}

std::vector<AddressedMessage> pushDigest(MembershipState& state, const MembershipView& view)
{
    return sendNews(state, view);
}

bool isLive(const Member& member) noexcept
{
    return member.lastUpdate.state == MemberState::Alive || member.lastUpdate.state == MemberState::Suspect;
}

std::string_view addressOf(const MemberTable& table, const DaemonId& id) noexcept
{
    auto it = table.members.find(id);
    return it == table.members.end() ? std::string_view() : std::string_view(it->second.lastUpdate.address);
}

}
