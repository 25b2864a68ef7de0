#pragma once

#include "base/Clock.h"
#include "net/HttpClient.h"
#include "net/Interfaces.h"
#include "net/Socket.h"
#include "router/DeploymentSource.h"
#include "router/RequestRouter.h"
#include "routing/FleetUpdate.h"
#include "routing/PlacementMessages.h"
#include "routing/StoreReaders.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace jasminestack {

/// \brief What a daemon reports about itself to its peers, and how it takes part in the fleet.
struct FleetSyncOptions {
    std::string daemonId;
    std::string address; ///< "IP:PORT" on which this daemon receives messages and serves its documents.
    std::vector<std::string> seeds; ///< Addresses of peers that are contacted at start.
    DaemonInstanceId instanceId { 0 }; ///< Of this daemon process.
    /// Processor cores that this process may use; as exact as in messages, so that all daemons compare equal numbers.
    float cpuCores { 1.0F };
    /// Fleets of at least this many daemons place requests through coordinators.
    unsigned minDaemonsForCoordinators { 17 };
};

/// \brief State synchronisation between router daemons: sends fleet updates about this daemon's load at the endpoints,
/// and applies the updates of its peers. Changes are sent within milliseconds. Snapshots with all loads are sent a few
/// times a second; they correct the state of peers that did not receive an earlier update.
///
/// In a small fleet each daemon sends its updates to all peers. In a large fleet it sends the loads at a shard's
/// endpoints to the coordinator of that shard only (see Shards.h), and heartbeats to the other peers.
class FleetSync {
public:
    struct Context {
        event_base& base;
        const Clock& clock;
        RouterBlackboard& board;
        PeerTransport& transport;
        HttpClient& http;
        DeploymentSource& source;
        Metrics& metrics;
        std::function<void()> onPeerLoadChanged; ///< A peer reported loads; endpoints may have free capacity.
        std::function<void(const PlacementRequest&)> onPlacementRequest;
        std::function<void(const PlacementReply&)> onPlacementReply;
        std::function<std::uint64_t(DaemonInstanceId)> lastGrantNumber; ///< See PlacementClient::lastGrantNumber().
    };

    FleetSync(Context, FleetSyncOptions);
    ~FleetSync();
    FleetSync(const FleetSync&) = delete;
    FleetSync& operator=(const FleetSync&) = delete;

    /// \brief Starts to receive messages and sends the first snapshot.
    void start();

    /// \brief Schedules a fleet update after a change of the blackboard: it is sent when flushInterval() has passed
    /// since the last one.
    void scheduleUpdate();

    /// \brief Replaces the set of peers that are announced at the store. They are not removed from the known peers,
    /// even if no update is received from them.
    /// \param addresses Addresses of the announced daemons.
    void setAnnouncedPeers(const std::vector<std::string>& addresses);

    /// \brief Notifies the peers that this daemon is leaving the fleet.
    void announceLeave();

    /// \brief Sets whether this daemon may place requests of other daemons. A change is reported to the peers.
    void setMayCoordinate(bool);

    /// \returns Whether the fleet is large enough for requests to be placed by coordinators.
    [[nodiscard]] bool usesCoordinators() const { return possibleDaemonCount() >= m_options.minDaemonsForCoordinators; }

    /// \returns Whether this daemon is the coordinator of at least one shard.
    [[nodiscard]] bool coordinatesAnyShard() const { return m_coordinators.contains(m_options.address); }

    /// \returns The address of the shard's coordinator; empty if this daemon places the shard's requests itself.
    [[nodiscard]] std::string coordinatorOf(ShardId) const;

    /// \brief Excludes a coordinator that sent no reply: this daemon assigns its shards to others for a short time, and
    /// until an update from the coordinator is received.
    /// \param address Of the daemon that sent no reply; unknown addresses are ignored.
    void suspectPeer(const std::string& address);

    /// \returns The address of the daemon with this instance id; empty if no peer has it.
    [[nodiscard]] std::string addressOf(DaemonInstanceId) const;

    /// \brief Whether this daemon is the one that may send a request with a quarantined trait as a trial now. All
    /// daemons with the same live peers agree on it.
    /// \param overdue Time since the trial became due.
    [[nodiscard]] bool mayTry(TraitHash, Millis overdue) const;

    /// \brief Assigns the shards to coordinators again, and determines which endpoints' pace this daemon decides; call
    /// it after each change of the endpoints' shards.
    void refreshCoordinators();

    /// \returns The number of known daemons, live or not, including this one.
    [[nodiscard]] std::size_t possibleDaemonCount() const;

    /// \returns The number of peers whose last update is not older than their timeout, without this daemon.
    [[nodiscard]] std::size_t livePeerCount() const;

    /// \brief Periodic work: sends snapshots and heartbeats, evicts silent peers, requests newer documents from peers.
    void tick();

private:
    struct Peer {
        DaemonInstanceId instanceId { 0 };
        std::uint64_t sequence { 0 }; ///< Of the newest update that was applied.
        Millis lastReceived {}; ///< When its last update was received; 0 if never, and after it left.
        Millis addedAt {};
        Millis maxUpdateInterval {}; ///< Maximum interval to its next update, from its latest update.
        DeploymentVersions versions;
        Millis newerDocumentsSince {}; ///< Time since which its documents are newer than this daemon's; 0: not newer.
        Millis documentsRequestedAt {}; ///< When its documents were last requested; 0 if never.
        StoreConfirmation storeConfirmation; ///< Its latest one.
        Millis confirmationReceivedAt {}; ///< 0 if it sent none.
        Millis peerListSentAt {}; ///< When it was last sent the live peers because it had fewer addresses.
        Millis suspectedAt {}; ///< When it last failed to reply to a placement request; 0 if never.
        float cpuCores { 1.0F };
        bool mayCoordinate { false };
        bool isAnnounced { false };
        bool isSilent { true }; ///< It sent nothing within its timeout, or it left; its loads and rates are discarded.
    };

    /// \brief Sends fleet updates with the changes since the last ones, or snapshots.
    void sendUpdates(bool asSnapshot);
    void sendToAllPeers(bool asSnapshot);
    void sendToCoordinators(bool asSnapshot);
    void sendHeartbeats(CrashEvidence);
    void assignShards();
    /// \brief Updates EndpointPace::isOwner of all endpoints.
    void refreshPaceOwners();
    [[nodiscard]] bool ownsPace(const EndpointView&, std::span<const CoordinatorCandidate>) const;
    void handOverShard(ShardId, const std::string& successor);
    void sendPeerList(const std::string& address);
    [[nodiscard]] std::vector<std::string> liveAddresses() const;
    /// \brief Encodes the update once and sends it to all \p addresses.
    void transmit(std::span<const std::string_view> addresses, const FleetUpdate&);
    void transmit(std::string_view address, const FleetUpdate&);
    /// \returns An update without loads: a heartbeat.
    [[nodiscard]] FleetUpdate makeUpdate(Millis maxInterval);
    void collectCrashEvidence();
    /// \returns This daemon's evidence of the last seconds and all quarantines.
    [[nodiscard]] CrashEvidence recentEvidence() const;
    void onMessage(std::string_view bytes);
    void onFleetUpdate(const FleetUpdate&);
    void applyUpdate(const FleetUpdate&, Peer&);
    void applyLatestState(const FleetUpdate&, Peer&);
    void rejectMessage(const Error&);
    void addPeer(const std::string& address);
    /// \brief Adds a peer whose address comes from a datagram, unless there are too many.
    void addUnannouncedPeer(const std::string& address);
    void discardInstanceState(Peer&);
    void fetchDocumentsFromPeer();
    void handleDocuments(const std::string& address, const Result<HttpResponse>&);
    [[nodiscard]] bool isDocumentSource(const Peer&) const;
    void refreshStoreReaders();
    /// \brief Selects how this daemon follows the store, by the latest updates of the readers.
    void updateStoreRole();
    [[nodiscard]] StoreRole suitableStoreRole() const;
    [[nodiscard]] bool isStoreReader(const Peer&) const;
    /// \brief Sends this reader's confirmations to its followers if the interval is over or its documents changed.
    void sendStoreConfirmations();
    void onStoreConfirmation(const StoreConfirmation&);
    void updateVersions(Peer&, const DeploymentVersions&);
    /// \brief Starts to measure anew for how long each peer has had newer documents.
    void restartDocumentLag();
    [[nodiscard]] std::vector<CoordinatorCandidate> coordinatorCandidates() const;
    /// \returns The interval of updates to peers that are sent no loads.
    [[nodiscard]] Millis updateInterval() const;
    /// \returns The interval of heartbeats of a daemon that coordinates no shard.
    [[nodiscard]] Millis heartbeatInterval() const;
    [[nodiscard]] bool hasNewerDocuments(const Peer&) const;
    [[nodiscard]] bool isLive(const Peer&) const;
    [[nodiscard]] bool isCoordinatorCandidate(const Peer&) const;
    [[nodiscard]] Millis flushInterval() const;

    Context m_context;
    FleetSyncOptions m_options;
    std::map<std::string, Peer> m_peers; ///< By address.
    EventPointer m_flushTimer;
    std::uint64_t m_sequence { 0 };
    Millis m_lastSent {};
    Millis m_lastSnapshotSent {};
    bool m_isFlushScheduled { false };
    bool m_isFetchingDocuments { false };
    Millis m_documentsRequestedAt {}; ///< When documents of any peer were last requested.
    bool m_isLeaving { false };
    bool m_mayCoordinate { false };
    bool m_isHeartbeatDue { false }; ///< The next tick sends a heartbeat before the interval is over.
    Millis m_lastHeartbeatSent {};
    Millis m_lastPeerListSent {};
    std::vector<std::pair<Millis, CrashEvidence>> m_recentEvidence; ///< Own, with the time at which it was first sent.
    CrashEvidence m_newEvidence; ///< Part of m_recentEvidence that no update has contained yet.
    CrashEvidence m_heartbeatEvidence; ///< Part of m_recentEvidence that no heartbeat has contained yet.
    Millis m_lastEvidenceSent {}; ///< When heartbeats were sent last.
    Millis m_evidenceRepeatAt {}; ///< 0 if no repetition is due.
    std::map<ShardId, std::string> m_coordinatorByShard; ///< Address of each shard's coordinator.
    StoreRole m_storeRole { StoreRole::Independent };
    std::vector<std::string> m_storeReaders; ///< Addresses of the daemons that are to read the store for the fleet.
    std::vector<std::string> m_followers; ///< Addresses of the daemons to which this reader sends confirmations.
    Millis m_storeReadersRefreshedAt {};
    Millis m_confirmationsSentAt {};
    DeploymentVersions m_confirmedVersions; ///< The versions in the latest confirmations.
    std::set<std::string> m_coordinators; ///< All addresses in \c m_coordinatorByShard.
};

}
