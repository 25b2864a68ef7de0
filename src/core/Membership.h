#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "core/Blackboard.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Who runs in the fleet, as this daemon sees it (SWIM with a ring of neighbours).
///
/// Each daemon probes the next 3 running members on the ring of hashes every second. Two missed probes make a member
/// suspect and 3 s more make it dead; the member refutes by raising its incarnation. Changes are pushed to random
/// members as long as they are new, so that the steady traffic does not depend on the size of the fleet. Neighbours
/// compare a hash of their tables and exchange the tables when they differ for long.

namespace jasminestack {

struct MembershipOptions {
    unsigned neighbours { 3 };
    Millis probeInterval { 1'000 };
    Millis ackTimeout { 500 };
    unsigned missedProbes { 2 }; ///< In a row, until a member is suspect.
    Millis suspicion { 3'000 }; ///< Until a suspect member is dead.
    Millis gossipInterval { 100 };
    unsigned fanout { 3 }; ///< Receivers of news in each gossip interval.
    Millis deadProbeInterval { 3'000 }; ///< Dead members are probed by their predecessor on the ring, so that both
                                        ///< sides of a healed partition find each other.
    unsigned deadProbesPerSecond { 40 };
    Millis contactInterval { 2'000 }; ///< Between tries of seeds and listed hosts that are not running members.
    Millis tableDifference { 3'000 }; ///< Tables that differ for this time are exchanged.
    Millis isolation { 2'500 }; ///< Without any message for this time, all members are suspect at once.
    Millis pause { 1'500 }; ///< A longer time between ticks means that this process was paused.
    Millis forgetAfter { 1'800'000 }; ///< For dead members and those that left.
};

/// \brief A message to an address; the member behind it may not be known yet.
struct AddressedMessage {
    std::string address;
    PeerPayload payload;
};

/// \brief What probing knows of one member.
struct ProbeRecord {
    unsigned missed { 0 }; ///< Consecutive probes without an answer.
    bool answered { false }; ///< The member has answered and thus knows this daemon's address.
    Millis lastProbe {};
    Millis hashMismatchStartedAt {}; ///< 0: the tables agree.
};

struct OutstandingProbe {
    DaemonId target;
    Millis sentAt {};
};

/// \brief An update that is still passed on.
struct PendingUpdate {
    MemberUpdate update;
    unsigned remaining { 0 }; ///< Sends left.
};

struct MembershipState {
    MembershipOptions options;
    Random random { 0 };
    std::uint64_t incarnation {
        0
    }; ///< Own, in member updates. It starts as SelfState::incarnation; refuting raises it.
    std::vector<std::string> seeds;
    std::vector<std::string> listed; ///< Peer addresses in the host list.
    std::map<DaemonId, ProbeRecord> probes;
    std::map<std::uint64_t, OutstandingProbe> outstanding; ///< By nonce.
    std::map<DaemonId, PendingUpdate> pendingUpdates;
    std::set<DaemonId>
        unverified; ///< Declared dead while this daemon was itself cut off; see learn() in MemberUpdates.cpp.
    std::set<DaemonId> suspects; ///< Members that may be suspect; holds all that are.
    std::set<DaemonId> askTable; ///< Members whose table is asked for with the next probe.
    std::set<DaemonId> comparing; ///< Members whose tables have differed for long; see verifyTable() in Membership.cpp.
    std::set<DaemonId> membersToProbe; ///< Members to be probed because a peer takes another view of them.
    std::uint64_t lastNonce { 0 };
    Millis lastTick {};
    Millis nextProbe {};
    Millis nextGossip {};
    Millis nextContact {};
    Millis lastChange {};
    Millis lastMessageAt {}; ///< Any authentic message.
    std::optional<std::uint32_t> tableHash; ///< Empty after a change of the table.
    std::size_t contactCursor { 0 };
    bool left { false };
};

/// \param seeds Peer addresses from the settings; the daemon's own is ignored.
[[nodiscard]] MembershipState makeMembershipState(
    const MembershipOptions&, const SelfState&, std::vector<std::string> seeds, std::uint64_t randomSeed);

/// \brief What membership reads and writes besides its own state.
struct MembershipView {
    SelfState& self;
    MemberTable& memberTable;
    ConfigurationDigest configurationDigest; ///< This daemon's; it travels with each probe and answer.
};

/// \brief Runs the periodic work; call it every 50 ms.
[[nodiscard]] std::vector<AddressedMessage> tickMembership(MembershipState&, const MembershipView&, Millis now);

/// \brief Handlers of authentic messages. Each returns the messages to send at once.
[[nodiscard]] std::vector<AddressedMessage> onProbe(
    MembershipState&, const MembershipView&, const PeerMessage&, const Probe&, Millis now);
void onProbeAck(MembershipState&, const MembershipView&, const PeerMessage&, const ProbeAck&, Millis now);

/// \brief Any authentic message shows that its sender runs.
void onMemberMessage(MembershipState&, MemberTable&, const DaemonId& sender, Millis now);

/// \brief Takes over the peer addresses of the host list. The list lags, so it only tells where to look.
void onHostAddresses(MembershipState&, std::vector<std::string> addresses);

/// \brief Ends the membership of this daemon (graceful shutdown).
/// \returns The messages that tell the others.
[[nodiscard]] std::vector<AddressedMessage> leaveMembership(MembershipState&, const MembershipView&);

/// \returns News for random members that carry the current configuration digest, for example after a new version.
[[nodiscard]] std::vector<AddressedMessage> pushDigest(MembershipState&, const MembershipView&);

/// \returns Whether the member is alive or only suspect.
[[nodiscard]] bool isLive(const Member&) noexcept;

/// \returns The peer address of a member, or an empty view if it is unknown.
[[nodiscard]] std::string_view addressOf(const MemberTable&, const DaemonId&) noexcept;

}
