#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Messages between daemons. They carry absolute values, so that lost, doubled or reordered ones do no harm.

namespace jasminestack {

/// \brief State of a daemon as its peers see it.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

/// \brief News about one member, spread by piggyback on probes.
struct MemberUpdate {
    DaemonId id;
    std::string address; ///< Peer address "IP:PORT".
    std::string availabilityZone;
    std::string region;
    std::uint64_t incarnation { 0 }; ///< Start time in ms, raised by the member itself to refute a suspicion.
    MemberState state { MemberState::Alive };
};

/// \brief Position of a daemon's fold of the configuration stream.
struct ConfigurationDigest {
    std::uint64_t version { 0 };
    std::int64_t throughOffset { -1 };
};

/// \brief Asks whether a peer is alive; also carries news.
struct Probe {
    std::uint64_t nonce { 0 }; ///< Not 0.
    ConfigurationDigest configurationDigest;
    std::vector<MemberUpdate> updates;
    std::uint32_t tableHash { 0 }; ///< Over the members that the sender takes for running.
    std::uint32_t unansweredProbes { 0 }; ///< Consecutive probes to this peer before this one that got no answer.
    bool tableRequested { false }; ///< Asks for the whole member table in the answer.
};

/// \brief Answer to a Probe, or, with nonce 0, news without a question.
struct ProbeAck {
    std::uint64_t nonce { 0 };
    ConfigurationDigest configurationDigest;
    std::vector<MemberUpdate> updates;
    std::uint32_t tableHash { 0 };
    bool isFullTable { false }; ///< updates lists all members that the sender takes for running.
};

/// \brief One workspace's demand at one daemon.
struct WorkspaceDemand {
    WorkspaceId workspace;
    std::uint32_t queued { 0 };
    std::uint32_t running { 0 };
    Millis oldestQueuedAge {}; ///< Age of the oldest queued request.
    std::uint64_t servedCost { 0 }; ///< Cost units served in this cell by this daemon since it started; cumulative.
    double normalisedService {
        0
    }; ///< As last heard from a scheduler, plus own additions; a new scheduler starts here.
};

/// \brief Requests of one daemon in flight at one endpoint.
struct EndpointInFlight {
    EndpointId endpoint;
    std::uint32_t inFlight { 0 };
};

/// \brief A daemon's demand for a cell, sent to the cell's scheduling daemon.
struct DemandReport {
    CellId cell;
    std::uint64_t sequence { 0 };
    std::uint64_t allocationSequence { 0 }; ///< Last allocation applied from the addressed scheduler; 0: none.
    std::vector<WorkspaceDemand> demand;
    std::vector<EndpointInFlight> inFlightByEndpoint;
};

/// \brief One endpoint's slots that a daemon may fill.
struct EndpointSlots {
    EndpointId endpoint;
    std::uint32_t slots { 0 };
};

/// \brief One workspace's quota at a daemon and its fleet-wide normalised service.
struct WorkspaceQuota {
    WorkspaceId workspace;
    std::uint32_t maxRunning { 0 }; ///< Concurrent requests at this daemon.
    double normalisedService { 0 }; ///< Service divided by share, in cost units.
};

/// \brief What a daemon may use of a cell until the allocation expires.
struct Allocation {
    CellId cell;
    std::uint64_t schedulerIncarnation { 0 }; ///< Incarnation of the scheduling daemon.
    std::uint64_t sequence { 0 };
    std::uint64_t reportSequence { 0 }; ///< Last report that the scheduler had from the receiver.
    Millis leaseDuration {
        3'000
    }; ///< Counted from the sending of that report, so that a late allocation is not a new lease.
    std::vector<EndpointSlots> slots;
    std::vector<WorkspaceQuota> quotas;
};

/// \brief Service counters and spare capacity of a cell, exchanged between the schedulers of a pool.
struct CellReport {
    CellId cell;
    std::uint64_t sequence { 0 };
    std::uint32_t spareSlots { 0 };
    std::vector<WorkspaceQuota> workspaceService; ///< running holds the number of running requests.
};

/// \brief Asks a peer for a newer configuration than \p have.
struct ConfigurationRequest {
    ConfigurationDigest currentDigest;
};

/// \brief A change record of the configuration stream, as one peer passes it to another.
struct ConfigurationChange {
    std::int64_t offset { 0 };
    std::int64_t timestampMs { 0 }; ///< Set by the log.
    std::string payload;
};

/// \brief A peer's fold of the configuration stream, or the changes that lead to it where those are smaller.
struct ConfigurationState {
    ConfigurationDigest digest;
    std::string document; ///< JSON text of the document at digest.version; empty if changes are sent instead.
    std::int64_t changesFrom { 0 }; ///< changes holds every change record from here through digest.throughOffset.
    std::vector<ConfigurationChange> changes;
};

/// \brief An endpoint was lost while requests of this content ran on it, or the content has completed.
struct CrashMark {
    std::uint64_t contentHash { 0 };
    std::uint32_t lossCount { 0 }; ///< Losses attributed so far; 0 clears the mark.
    std::uint64_t lossEventId { 0 }; ///< The same for all reports of one loss, so that it counts once.
};

/// \brief One daemon saw the first sign that an endpoint is leaving.
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

/// \brief A message that a controller wants sent.
struct OutboundMessage {
    DaemonId to;
    PeerPayload payload;
};

}
