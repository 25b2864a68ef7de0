#include "core/Membership.h"

#include "base/Hash.h"
#include "core/MemberUpdates.h"

#include <algorithm>
#include <optional>

namespace jasminestack {

namespace {

    // Updates in one gossip message: enough for updates about a whole availability zone to spread in a few intervals.
    constexpr std::size_t maxGossipUpdates = 96;
    constexpr std::size_t maxPiggybackUpdates = 8;
    // A nonce only has to be unique among the probes of the last seconds; small numbers take fewer bytes.
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
        record.lastProbeAt = now;
        Probe probe { .nonce = nextNonce(state),
            .configurationDigest = view.configurationDigest,
            .updates = takePendingUpdates(state, maxPiggybackUpdates),
            .tableHash = tableHash(state, view),
            .unacknowledgedProbes = record.consecutiveMisses,
            .tableRequested = state.tablesToRequest.erase(id) > 0 };
        if (!record.hasAcknowledged || record.consecutiveMisses > 0 || !isLive(member))
            addOwnUpdate(probe.updates, state, view.self);
        addReceiverUpdate(probe.updates, member);
        state.outstandingProbes[probe.nonce] = { .target = id, .sentAt = now };
        return { .address = member.lastUpdate.address, .payload = std::move(probe) };
    }

    std::vector<std::pair<std::uint64_t, DaemonId>> ringSuccessors(const MembershipView& view)
    {
        std::uint64_t ownHash = hash64(view.self.id.value);
        std::vector<std::pair<std::uint64_t, DaemonId>> successors;
        for (const auto& [id, member] : view.memberTable.members) {
            if (isLive(member))
                successors.emplace_back(hash64(id.value) - ownHash, id);
        }
        return successors;
    }

    // Probes successors on the ring until the configured number of them is alive. If suspect members counted too, a run
    // of failed neighbours would be detected only three at a time.
    void probeNeighbours(
        MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& outgoing)
    {
        auto successors = ringSuccessors(view);
        std::size_t count = std::min<std::size_t>(4 * std::size_t { state.options.neighbourCount }, successors.size());
        std::partial_sort(
            successors.begin(), successors.begin() + static_cast<std::ptrdiff_t>(count), successors.end());
        unsigned aliveCount = 0;
        for (std::size_t i = 0; i < count && aliveCount < state.options.neighbourCount; ++i) {
            const Member& member = view.memberTable.members.at(successors[i].second);
            aliveCount += member.lastUpdate.state == MemberState::Alive ? 1 : 0;
            outgoing.push_back(makeProbe(state, view, successors[i].second, member, now));
        }
    }

    // A dead member is probed by the live member that precedes it on the ring.
    void probeDeadMembers(
        MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& outgoing)
    {
        auto successors = ringSuccessors(view);
        std::uint64_t ownHash = hash64(view.self.id.value);
        std::optional<std::uint64_t> nearestDistance;
        for (const auto& [distance, id] : successors)
            nearestDistance = std::min(nearestDistance.value_or(distance), distance);
        std::vector<std::pair<Millis, DaemonId>> dueMembers;
        for (const auto& [id, member] : view.memberTable.members) {
            if (member.lastUpdate.state != MemberState::Dead
                || (nearestDistance && hash64(id.value) - ownHash > *nearestDistance))
                continue;
            Millis previousProbeAt = state.probes[id].lastProbeAt;
            if (now - previousProbeAt >= state.options.deadProbeInterval)
                dueMembers.emplace_back(previousProbeAt, id);
        }
        std::sort(dueMembers.begin(), dueMembers.end());
        if (dueMembers.size() > state.options.deadProbesPerSecond)
            dueMembers.resize(state.options.deadProbesPerSecond);
        for (const auto& [previousProbeAt, id] : dueMembers) {
            AddressedMessage message = makeProbe(state, view, id, view.memberTable.members.at(id), now);
            state.outstandingProbes.erase(std::get<Probe>(message.payload).nonce);
            outgoing.push_back(std::move(message));
        }
    }

    // Probes contact addresses, i.e. those of seeds and listed hosts that are not live members: several at once while
    // this daemon has no live peer, else one at a time.
    void probeContactAddresses(
        MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& outgoing)
    {
        std::set<std::string_view> excludedAddresses { view.self.peerAddress };
        bool isAlone = true;
        for (const auto& [id, member] : view.memberTable.members) {
            if (!isLive(member))
                continue;
            excludedAddresses.insert(member.lastUpdate.address);
            isAlone = false;
        }
        std::vector<std::string_view> candidates;
        for (const auto* addresses : { &state.seeds, &state.hostListAddresses }) {
            for (const std::string& address : *addresses) {
                if (excludedAddresses.insert(address).second)
                    candidates.emplace_back(address);
            }
        }
        state.nextContactAt = now + (isAlone ? state.options.probeInterval : state.options.contactInterval);
        std::size_t count = std::min<std::size_t>(candidates.size(), isAlone ? state.options.fanout : 1);
        for (std::size_t i = 0; i < count; ++i) {
            std::string_view address = candidates[state.nextContactIndex++ % candidates.size()];
            Probe probe { .nonce = nextNonce(state),
                .configurationDigest = view.configurationDigest,
                .updates = {},
                .tableHash = tableHash(state, view),
                .tableRequested = isAlone };
            addOwnUpdate(probe.updates, state, view.self);
            outgoing.push_back({ .address = std::string(address), .payload = std::move(probe) });
        }
    }

    void expireOutstandingProbes(
        MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& outgoing)
    {
        std::vector<DaemonId> unresponsiveMembers;
        std::erase_if(state.outstandingProbes, [&](const auto& entry) {
            if (now - entry.second.sentAt < state.options.ackTimeout)
                return false;
            auto it = view.memberTable.members.find(entry.second.target);
            // Any message after the probe proves that the member runs; only an acknowledgement proves that it receives
            // this daemon's messages.
            if (it != view.memberTable.members.end() && isLive(it->second)) {
                ++state.probes[entry.second.target].consecutiveMisses;
                if (it->second.lastMessageAt < entry.second.sentAt)
                    unresponsiveMembers.push_back(entry.second.target);
            }
            return true;
        });
        for (const DaemonId& id : unresponsiveMembers) {
            Member& member = view.memberTable.members.at(id);
            unsigned missedCount = state.probes[id].consecutiveMisses;
            if (missedCount < state.options.suspicionThreshold)
                outgoing.push_back(makeProbe(state, view, id, member, now));
            else if (member.lastUpdate.state == MemberState::Alive)
                setMemberState(state, view, member, MemberState::Suspect, now);
        }
    }

    void suspectAllIfIsolated(MembershipState& state, const MembershipView& view, Millis now)
    {
        if (now - state.lastMessageAt < state.options.isolationTimeout)
            return;
        for (auto& [id, member] : view.memberTable.members) {
            if (member.lastUpdate.state == MemberState::Alive)
                setMemberState(state, view, member, MemberState::Suspect, now);
        }
    }

    void declareSuspectsDead(MembershipState& state, const MembershipView& view, Millis now)
    {
        for (auto it = state.possibleSuspects.begin(); it != state.possibleSuspects.end();) {
            auto member = view.memberTable.members.find(*it);
            bool isSuspect
                = member != view.memberTable.members.end() && member->second.lastUpdate.state == MemberState::Suspect;
            if (isSuspect && now - member->second.stateChangedAt < state.options.suspicionTimeout) {
                ++it;
                continue;
            }
            it = state.possibleSuspects.erase(it);
            if (isSuspect)
                setMemberState(state, view, member->second, MemberState::Dead, now);
        }
    }

    void removeStoppedMembers(MembershipState& state, const MembershipView& view, Millis now)
    {
        std::erase_if(view.memberTable.members, [&](const auto& entry) {
            bool isExpired
                = !isLive(entry.second) && now - entry.second.stateChangedAt >= state.options.stoppedMemberRetention;
            if (isExpired) {
                state.probes.erase(entry.first);
                state.unverifiedDead.erase(entry.first);
            }
            return isExpired;
        });
    }

    std::vector<AddressedMessage> makeGossipMessages(MembershipState& state, const MembershipView& view)
    {
        std::vector<const Member*> liveMembers;
        for (const auto& [id, member] : view.memberTable.members) {
            if (isLive(member))
                liveMembers.push_back(&member);
        }
        std::vector<AddressedMessage> outgoing;
        std::uint32_t ownTableHash = tableHash(state, view);
        for (unsigned i = 0; i < state.options.fanout && !liveMembers.empty(); ++i) {
            std::size_t receiverIndex = state.random.uniformInteger(liveMembers.size());
            ProbeAck gossip { .nonce = 0,
                .configurationDigest = view.configurationDigest,
                .updates = takePendingUpdates(state, maxGossipUpdates),
                .tableHash = ownTableHash };
            addReceiverUpdate(gossip.updates, *liveMembers[receiverIndex]);
            outgoing.push_back(
                { .address = liveMembers[receiverIndex]->lastUpdate.address, .payload = std::move(gossip) });
            liveMembers.erase(liveMembers.begin() + static_cast<std::ptrdiff_t>(receiverIndex));
        }
        return outgoing;
    }

    // Messages that are missing during this process's pause are no evidence against other members, so the suspicion
    // timeouts start again.
    void restartTimeoutsAfterPause(MembershipState& state, const MembershipView& view, Millis now)
    {
        state.outstandingProbes.clear();
        for (auto& [id, record] : state.probes)
            record.consecutiveMisses = 0;
        for (auto& [id, member] : view.memberTable.members) {
            if (member.lastUpdate.state == MemberState::Suspect)
                member.stateChangedAt = now;
        }
        state.nextProbeAt = now;
        state.lastMessageAt = now;
    }

    void compareTableHashes(MembershipState& state, const MembershipView& view, const DaemonId& peer,
        std::uint32_t peerTableHash, Millis now)
    {
        ProbeRecord& record = state.probes[peer];
        if (peerTableHash == tableHash(state, view)) {
            record.hashMismatchStartedAt = {};
            return;
        }
        if (record.hashMismatchStartedAt == Millis {})
            record.hashMismatchStartedAt = now;
        Millis mismatchSince = std::max(record.hashMismatchStartedAt, state.lastTableChangeAt);
        if (now - mismatchSince >= state.options.tableMismatchTimeout) {
            state.tablesToRequest.insert(peer);
            state.tablesToCompare.insert(peer);
            record.hashMismatchStartedAt = now;
        }
    }

    // Schedules probes to members that are live in this daemon's table but not in the peer's, or the other way round,
    // since a difference at equal incarnations would stay. A dead member misses the probes, a running one refutes the
    // wrong state.
    void scheduleVerificationProbes(MembershipState& state, const MembershipView& view, const ProbeAck& ack)
    {
        std::set<DaemonId> liveAtPeer;
        for (const MemberUpdate& update : ack.updates)
            liveAtPeer.insert(update.id);
        for (const auto& [id, member] : view.memberTable.members) {
            if (isLive(member) != liveAtPeer.contains(id))
                state.membersToProbe.insert(id);
        }
    }

    void recordDigest(const MembershipView& view, const DaemonId& sender, const ConfigurationDigest& digest)
    {
        if (auto it = view.memberTable.members.find(sender); it != view.memberTable.members.end())
            it->second.configurationDigest = digest;
    }

    // Excludes dead members: while a partition heals, updates by which each side declares the other dead must not
    // spread.
    std::vector<MemberUpdate> liveMemberUpdates(const MembershipView& view)
    {
        std::vector<MemberUpdate> updates;
        for (const auto& [id, member] : view.memberTable.members) {
            if (isLive(member))
                updates.push_back(member.lastUpdate);
        }
        return updates;
    }

    void probeRequestedMembers(
        MembershipState& state, const MembershipView& view, Millis now, std::vector<AddressedMessage>& outgoing)
    {
        // A member whose table is requested need not be a neighbour.
        for (const DaemonId& id : std::set<DaemonId>(state.tablesToRequest)) {
            if (auto it = view.memberTable.members.find(id); it != view.memberTable.members.end() && isLive(it->second))
                outgoing.push_back(makeProbe(state, view, id, it->second, now));
        }
        state.tablesToRequest.clear();
        // Two probes per tick are 40 per second with ticks of 50 ms, as many as deadProbesPerSecond allows by default.
        for (int i = 0; i < 2 && !state.membersToProbe.empty(); ++i) {
            DaemonId id = *state.membersToProbe.begin();
            state.membersToProbe.erase(state.membersToProbe.begin());
            if (auto it = view.memberTable.members.find(id); it != view.memberTable.members.end())
                outgoing.push_back(makeProbe(state, view, id, it->second, now));
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
    std::vector<AddressedMessage> outgoing;
    if (state.hasLeft)
        return outgoing;
    if (state.lastTickAt != Millis {} && now - state.lastTickAt > state.options.pauseThreshold)
        restartTimeoutsAfterPause(state, view, now);
    state.lastTickAt = now;
    expireOutstandingProbes(state, view, now, outgoing);
    suspectAllIfIsolated(state, view, now);
    declareSuspectsDead(state, view, now);
    if (now >= state.nextProbeAt) {
        state.nextProbeAt = now + state.options.probeInterval;
        removeStoppedMembers(state, view, now);
        probeNeighbours(state, view, now, outgoing);
        probeDeadMembers(state, view, now, outgoing);
    }
    probeRequestedMembers(state, view, now, outgoing);
    if (now >= state.nextContactAt)
        probeContactAddresses(state, view, now, outgoing);
    if (now >= state.nextGossipAt && !state.pendingUpdates.empty()) {
        state.nextGossipAt = now + state.options.gossipInterval;
        auto gossip = makeGossipMessages(state, view);
        outgoing.insert(outgoing.end(), std::make_move_iterator(gossip.begin()), std::make_move_iterator(gossip.end()));
    }
    return outgoing;
}

std::vector<AddressedMessage> onProbe(
    MembershipState& state, const MembershipView& view, const PeerMessage& message, const Probe& probe, Millis now)
{
    bool containsSenderUpdate = std::any_of(probe.updates.begin(), probe.updates.end(),
        [&](const MemberUpdate& update) { return update.id == message.sender; });
    std::uint64_t previousIncarnation = state.incarnation;
    applyUpdates(state, view, probe.updates, now);
    auto sender = view.memberTable.members.find(message.sender);
    if (sender == view.memberTable.members.end() || state.hasLeft)
        return {};
    recordDigest(view, message.sender, probe.configurationDigest);
    compareTableHashes(state, view, message.sender, probe.tableHash, now);
    if (state.incarnation != previousIncarnation)
        state.tablesToRequest.insert(message.sender);
    ProbeAck ack { .nonce = probe.nonce,
        .configurationDigest = view.configurationDigest,
        .updates = takePendingUpdates(state, maxPiggybackUpdates),
        .tableHash = tableHash(state, view) };
    if (probe.tableRequested) {
        ack.updates = liveMemberUpdates(view);
        ack.isFullTable = true;
    }
    if (containsSenderUpdate || probe.tableRequested || state.incarnation != previousIncarnation)
        addOwnUpdate(ack.updates, state, view.self);
    addReceiverUpdate(ack.updates, sender->second);
    std::vector<AddressedMessage> outgoing;
    outgoing.push_back({ .address = sender->second.lastUpdate.address, .payload = std::move(ack) });
    return outgoing;
}

void onProbeAck(
    MembershipState& state, const MembershipView& view, const PeerMessage& message, const ProbeAck& ack, Millis now)
{
    std::uint64_t previousIncarnation = state.incarnation;
    applyUpdates(state, view, ack.updates, now);
    if (!view.memberTable.members.contains(message.sender))
        return;
    recordDigest(view, message.sender, ack.configurationDigest);
    if (state.incarnation != previousIncarnation)
        state.tablesToRequest.insert(message.sender);
    if (ack.nonce == 0)
        return;
    if (ack.isFullTable && state.tablesToCompare.erase(message.sender) > 0)
        scheduleVerificationProbes(state, view, ack);
    compareTableHashes(state, view, message.sender, ack.tableHash, now);
    ProbeRecord& record = state.probes[message.sender];
    record.consecutiveMisses = 0;
    record.hasAcknowledged = true;
    std::erase_if(state.outstandingProbes, [&](const auto& entry) { return entry.second.target == message.sender; });
}

void onMemberMessage(MembershipState& state, MemberTable& table, const DaemonId& sender, Millis now)
{
    state.lastMessageAt = now;
    if (auto it = table.members.find(sender); it != table.members.end())
        it->second.lastMessageAt = now;
}

void onHostAddresses(MembershipState& state, std::vector<std::string> addresses)
{
    state.hostListAddresses = std::move(addresses);
}

std::vector<AddressedMessage> leaveMembership(MembershipState& state, const MembershipView& view)
{
    state.hasLeft = true;
    state.tableHash.reset();
    state.pendingUpdates.clear();
    enqueueUpdate(state, view.memberTable, ownUpdate(state, view.self));
    std::vector<AddressedMessage> outgoing;
    for (int round = 0; round < 2; ++round) {
        auto gossip = makeGossipMessages(state, view);
        outgoing.insert(outgoing.end(), std::make_move_iterator(gossip.begin()), std::make_move_iterator(gossip.end()));
    }
    return outgoing;
}

std::vector<AddressedMessage> pushDigest(MembershipState& state, const MembershipView& view)
{
    return makeGossipMessages(state, view);
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
