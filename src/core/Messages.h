#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Messages between daemons. They contain absolute values instead of differences, so that the receivers tolerate
/// lost, duplicated and reordered messages.

namespace jasminestack {

/// \brief State of a member in the member table of another daemon.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

/// \brief Update about one member, sent with probes and their acknowledgements.
struct MemberUpdate {
    DaemonId id;
    std::string address; ///< Peer address "IP:PORT".
    std::string availabilityZone;
    std::string region;
    std::uint64_t incarnation { 0 }; ///< Start time in ms, raised by the member itself to refute a suspicion.
    MemberState state { MemberState::Alive };
};

/// \brief Position of a daemon's configuration replica in the configuration stream.
struct ConfigurationDigest {
    std::uint64_t version { 0 };
    std::int64_t throughOffset { -1 };
};

/// \brief Failure detection probe to a peer; also contains member updates.
struct Probe {
    std::uint64_t nonce { 0 }; ///< Not 0.
    ConfigurationDigest configurationDigest;
    std::vector<MemberUpdate> updates;
    std::uint32_t tableHash { 0 }; ///< Hash over the members that are live in the sender's table.
    std::uint32_t unacknowledgedProbes { 0 }; ///< Consecutive earlier probes to this peer without an acknowledgement.
    bool tableRequested { false }; ///< The acknowledgement shall contain the whole member table.
};

/// \brief Acknowledgement of a Probe, or, with nonce 0, gossip that is sent without a probe.
struct ProbeAck {
    std::uint64_t nonce { 0 };
    ConfigurationDigest configurationDigest;
    std::vector<MemberUpdate> updates;
    std::uint32_t tableHash { 0 };
    bool isFullTable { false }; ///< \c updates lists all members that are live in the sender's table.
};

/// \brief Demand and service of one workspace at one daemon.
struct WorkspaceDemand {
    WorkspaceId workspace;
    std::uint32_t queued { 0 };
    std::uint32_t running { 0 };
    Millis oldestQueuedAge {}; ///< Age of the oldest queued request.
    std::uint64_t servedCost { 0 }; ///< Cost units charged in this cell by this daemon since it started; cumulative.
    double normalisedService { 0 }; ///< 0 while an allocation of the scheduler is valid. Else the last value received
                                    ///< from a scheduler plus the charges since then; a new scheduler starts with it.
};

/// \brief Requests of one daemon in flight at one endpoint.
struct EndpointInFlight {
    EndpointId endpoint;
    std::uint32_t inFlight { 0 };
};

/// \brief A daemon's demand for a cell, sent to the daemon that runs the cell's scheduler.
struct DemandReport {
    CellId cell;
    std::uint64_t sequence { 0 };
    std::uint64_t allocationSequence { 0 }; ///< Sequence of the last allocation that the daemon applied from the
                                            ///< scheduler to which it sends this report; 0: none.
    std::vector<WorkspaceDemand> demand;
    std::vector<EndpointInFlight> inFlightByEndpoint;
};

/// \brief Number of slots of one endpoint that a daemon may use.
struct EndpointSlots {
    EndpointId endpoint;
    std::uint32_t slots { 0 };
};

/// \brief One workspace's quota at a daemon and its normalised service in the cell, over all daemons.
struct WorkspaceQuota {
    WorkspaceId workspace;
    std::uint32_t maxRunning { 0 }; ///< Concurrent requests at this daemon.
    double normalisedService { 0 }; ///< Service divided by share, in cost units.
};

/// \brief Slots and quotas of a cell that its scheduler leases to a daemon.
struct Allocation {
    CellId cell;
    std::uint64_t schedulerIncarnation { 0 }; ///< Incarnation of the daemon that runs the scheduler.
    std::uint64_t sequence { 0 };
    std::uint64_t reportSequence { 0 }; ///< Sequence of the last demand report that the scheduler received from the
                                        ///< daemon to which it sends this allocation.
    Millis leaseDuration { 3'000 }; ///< The lease starts at the time when the daemon sent that report, so that a
                                    ///< delayed allocation does not extend it.
    std::vector<EndpointSlots> slots;
    std::vector<WorkspaceQuota> quotas;
};

/// \brief Service counters and spare capacity of a cell, sent between the cell schedulers of a pool. Without counters
/// it is also sent to daemons with a backlog, so that they use the cell's spare slots.
struct CellReport {
    CellId cell;
    std::uint64_t sequence { 0 };
    std::uint32_t spareSlots { 0 };
    std::vector<WorkspaceQuota> workspaceService; ///< Here \c maxRunning is the quota in the whole cell.
};

/// \brief Requests a newer configuration than \c currentDigest from a peer.
struct ConfigurationRequest {
    ConfigurationDigest currentDigest;
};

/// \brief A change record of the configuration stream, forwarded from one peer to another.
struct ConfigurationChange {
    std::int64_t offset { 0 };
    std::int64_t timestampMs { 0 }; ///< Set by the log.
    std::string payload;
};

/// \brief A peer's configuration: the whole document or, if they are smaller, the change records from the receiver's
/// position up to it.
struct ConfigurationState {
    ConfigurationDigest digest;
    std::string document; ///< JSON text of the document at digest.version; empty if changes are sent instead.
    std::int64_t changesFrom { 0 }; ///< \c changes holds all records from this offset through digest.throughOffset.
    std::vector<ConfigurationChange> changes;
};

/// \brief Reports that an endpoint was lost while it ran a request with this content, or that such a request has
/// completed.
struct CrashMark {
    std::uint64_t contentHash { 0 };
    std::uint32_t lossCount { 0 }; ///< Losses attributed so far; 0 clears the mark.
    std::uint64_t lossEventId { 0 }; ///< Equal in all reports of one loss, so that the loss counts once.
};

/// \brief Announces that an endpoint is leaving or, if \c leaving is false, no longer leaving. Sent by the daemon that
/// first detects it, from a load report or the host list.
struct EndpointLeavingUpdate {
    EndpointId endpoint;
    bool leaving { true };
};

using PeerPayload = std::variant<Probe, ProbeAck, DemandReport, Allocation, CellReport, ConfigurationRequest,
    ConfigurationState, CrashMark, EndpointLeavingUpdate>;

/// \brief A message together with its sender.
struct PeerMessage {
    DaemonId sender;
    std::uint64_t incarnation { 0 };
    std::uint64_t sequence { 0 };
    PeerPayload payload;
};

/// \brief A message to a member that a controller returns for sending. Membership returns AddressedMessage instead.
struct OutboundMessage {
    DaemonId to;
    PeerPayload payload;
};

}
