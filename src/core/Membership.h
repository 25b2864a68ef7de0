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
/// \brief Membership of the fleet: the SWIM protocol with probes to ring neighbours instead of random members.
///
/// Each daemon probes the next members on the ring of id hashes every second: 3 alive ones and the suspects between
/// them, at most 12. After two missed probes a member is suspect, and 3 s later dead; the member refutes this by
/// raising its incarnation. A new update is gossiped to random members a limited number of times, so the steady traffic
/// does not depend on the size of the fleet. Neighbours compare hashes of their member tables and exchange the tables
/// if the hashes differ for a few seconds.

namespace jasminestack {

struct MembershipOptions {
    unsigned neighbourCount { 3 };
    Millis probeInterval { 1'000 };
    Millis ackTimeout { 500 };
    unsigned suspicionThreshold { 2 }; ///< Consecutive missed probes after which a member is suspect.
    Millis suspicionTimeout { 3'000 }; ///< Time after which a suspect member is dead.
    Millis gossipInterval { 100 };
    unsigned fanout { 3 }; ///< Receivers of updates in each gossip interval.
    Millis deadProbeInterval { 3'000 }; ///< The live member that precedes a dead one on the ring probes it, so that
                                        ///< both sides of a healed partition become members again.
    unsigned deadProbesPerSecond { 40 };
    Millis contactInterval { 2'000 }; ///< Interval of probes to seeds and to hosts in the host list that are not live
                                      ///< members.
    Millis tableMismatchTimeout { 3'000 }; ///< Neighbours whose tables differ for this time exchange them.
    Millis isolationTimeout { 2'500 }; ///< After this time without any received message, all members are suspect.
    Millis pauseThreshold { 1'500 }; ///< A longer time between two ticks means that this process was paused.
    Millis stoppedMemberRetention { 1'800'000 }; ///< Time after which dead members and members that left are removed.
};

/// \brief A message to an address, which need not belong to a known member.
struct AddressedMessage {
    std::string address;
    PeerPayload payload;
};

/// \brief Probe state of one member.
struct ProbeRecord {
    unsigned consecutiveMisses { 0 }; ///< Consecutive probes without an acknowledgement.
    bool hasAcknowledged { false }; ///< The member has acknowledged a probe, so it has this daemon's address.
    Millis lastProbeAt {};
    Millis hashMismatchStartedAt {}; ///< 0 while the table hashes agree.
};

/// \brief A probe whose acknowledgement has not arrived.
struct OutstandingProbe {
    DaemonId target;
    Millis sentAt {};
};

/// \brief An update that is still gossiped.
struct PendingUpdate {
    MemberUpdate update;
    unsigned remainingSends { 0 }; ///< Number of messages that will still contain it.
};

struct MembershipState {
    MembershipOptions options;
    Random random { 0 };
    std::uint64_t incarnation { 0 }; ///< Sent in updates about this daemon. Starts as SelfState::incarnation; a
                                     ///< refutation raises it.
    std::vector<std::string> seeds;
    std::vector<std::string> hostListAddresses; ///< Peer addresses in the last received host list.
    std::map<DaemonId, ProbeRecord> probes;
    std::map<std::uint64_t, OutstandingProbe> outstandingProbes; ///< By nonce.
    std::map<DaemonId, PendingUpdate> pendingUpdates;
    std::set<DaemonId> unverifiedDead; ///< Members that were dead in this view when others declared this daemon dead.
                                       ///< It may have declared them dead because it was isolated; see
                                       ///< applyMemberUpdate() in MemberUpdates.cpp.
    std::set<DaemonId> possibleSuspects; ///< Contains all suspect members; others are removed at the next tick.
    std::set<DaemonId> tablesToRequest; ///< Members whose table the next probe requests.
    std::set<DaemonId> tablesToCompare; ///< Members whose tables have differed for tableMismatchTimeout; see
                                        ///< scheduleVerificationProbes() in Membership.cpp.
    std::set<DaemonId> membersToProbe; ///< Members to probe because their state differs in a peer's view.
    std::uint64_t lastNonce { 0 };
    Millis lastTickAt {};
    Millis nextProbeAt {};
    Millis nextGossipAt {};
    Millis nextContactAt {};
    Millis lastTableChangeAt {};
    Millis lastMessageAt {}; ///< Time of the last authentic message from any sender.
    std::optional<std::uint32_t> tableHash; ///< Cached; empty after a change of the table.
    std::size_t nextContactIndex { 0 };
    bool hasLeft { false };
};

/// \param seeds Peer addresses from the settings; this daemon's own address is ignored.
[[nodiscard]] MembershipState makeMembershipState(
    const MembershipOptions&, const SelfState&, std::vector<std::string> seeds, std::uint64_t randomSeed);

/// \brief State that membership reads and writes in addition to MembershipState.
struct MembershipView {
    SelfState& self;
    MemberTable& memberTable;
    ConfigurationDigest configurationDigest; ///< Of this daemon; sent in each probe and acknowledgement.
};

/// \brief Runs the periodic work; to be called every 50 ms.
/// \returns The messages to send.
[[nodiscard]] std::vector<AddressedMessage> tickMembership(MembershipState&, const MembershipView&, Millis now);

/// \brief Handles an authentic probe.
/// \returns The messages to send at once.
[[nodiscard]] std::vector<AddressedMessage> onProbe(
    MembershipState&, const MembershipView&, const PeerMessage&, const Probe&, Millis now);
/// \brief Handles an authentic acknowledgement or gossip message.
void onProbeAck(MembershipState&, const MembershipView&, const PeerMessage&, const ProbeAck&, Millis now);

/// \brief Records that an authentic message was received; its sender is therefore running.
void onMemberMessage(MembershipState&, MemberTable&, const DaemonId& sender, Millis now);

/// \brief Sets the peer addresses of the host list. The list is updated late, so it only provides addresses to
/// probe.
void onHostAddresses(MembershipState&, std::vector<std::string> addresses);

/// \brief Ends the membership of this daemon (graceful shutdown).
/// \returns The messages that announce it to other members.
[[nodiscard]] std::vector<AddressedMessage> leaveMembership(MembershipState&, const MembershipView&);

/// \returns Gossip messages to random members with the current configuration digest, for example for a new version.
[[nodiscard]] std::vector<AddressedMessage> pushDigest(MembershipState&, const MembershipView&);

/// \returns Whether the member is alive or suspect.
[[nodiscard]] bool isLive(const Member&) noexcept;

/// \returns The peer address of a member, or an empty view if it is unknown.
[[nodiscard]] std::string_view addressOf(const MemberTable&, const DaemonId&) noexcept;

}
