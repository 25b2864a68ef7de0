#pragma once

#include "base/Clock.h"
#include "net/HttpClient.h"
#include "net/Interfaces.h"
#include "net/Socket.h"
#include "router/DeploymentSource.h"
#include "router/RequestRouter.h"
#include "routing/FleetUpdate.h"
#include "routing/PlacementMessages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jasminestack {

/// \brief Who this daemon is towards its peers.
struct FleetSyncOptions {
    std::string daemonId;
    std::string address; ///< "IP:PORT" for messages and documents.
    std::vector<std::string> seeds;
    DaemonInstanceId instanceId { 0 }; ///< Of this process.
    double cpuCores { 1.0 }; ///< Cores that this process may use.
    unsigned coordinateFrom { 17 }; ///< Fleets of at least this many daemons place requests through coordinators.
};

/// \brief Tells the other daemons what this one has sent to the endpoints, and takes over what they tell. Changes leave
/// within milliseconds, and all state is repeated a few times a second, so that lost messages do no lasting harm.
///
/// In a small fleet each daemon tells all others. In a large one it tells the coordinator of each shard what concerns
/// that shard's endpoints (see Shards.h), and the others only that it lives.
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
        std::function<void()> onPeerLoadChanged; ///< Loads have gone down somewhere.
        std::function<void(const PlacementRequest&)> onPlacementRequest;
        std::function<void(const PlacementReply&)> onPlacementReply;
        std::function<std::uint64_t(DaemonInstanceId)> lastGrantNumber; ///< See PlacementClient.
    };

    FleetSync(Context, FleetSyncOptions);
    ~FleetSync();
    FleetSync(const FleetSync&) = delete;
    FleetSync& operator=(const FleetSync&) = delete;

    void start();

    /// \brief The board has changed: sends a message as soon as the last one is old enough.
    void flushSoon();

    /// \brief Daemons that have announced themselves at the store.
    void setAnnounced(const std::vector<std::string>& addresses);

    /// \brief Tells all peers that this daemon is leaving.
    void leave();

    /// \brief Tells all peers whether this daemon can place the requests of others.
    void setMayCoordinate(bool);

    /// \returns Whether requests are placed by coordinators.
    [[nodiscard]] bool coordinated() const { return possibleDaemons() >= m_options.coordinateFrom; }

    /// \returns Whether this daemon places requests of others.
    [[nodiscard]] bool coordinatesSomething() const { return m_coordinators.contains(m_options.address); }

    /// \returns The address of the daemon that places the shard's requests; empty if it is this one.
    [[nodiscard]] std::string coordinatorOf(ShardId) const;

    /// \brief The daemon at \p address does not answer: another one takes its shards until it is heard again.
    void suspect(const std::string& address);

    /// \returns The address of a daemon's process, or an empty string.
    [[nodiscard]] std::string addressOf(DaemonInstanceId) const;

    /// \brief The endpoints' shards have changed.
    void refreshCoordinators();

    /// \returns Daemons that may be alive, with this one.
    [[nodiscard]] std::size_t possibleDaemons() const;

    /// \returns Daemons that were heard lately, without this one.
    [[nodiscard]] std::size_t livePeers() const;

    /// \brief Periodic work: repeats the state, drops silent peers, asks peers for newer documents.
    void tick();

private:
    struct Peer {
        DaemonInstanceId instanceId { 0 };
        std::uint64_t sequence { 0 };
        Millis lastReceived {}; ///< 0 if never.
        Millis firstKnown {};
        Millis maxUpdateInterval {}; ///< Longest time between its messages.
        DeploymentVersions versions;
        Millis aheadSince {}; ///< Since when its documents are newer than this daemon's; 0 if they are not.
        Millis peerListSentAt {}; ///< When it was last told all live peers.
        Millis suspectedAt {}; ///< When it last did not answer; 0 if never.
        double cpuCores { 1.0 };
        bool mayCoordinate { false };
        bool announced { false };
        bool silent { true }; ///< Nothing of what it told counts.
    };

    void send(bool all);
    void sendToAll(bool all);
    void sendToCoordinators(bool all);
    void sendHeartbeats();
    void handOver(ShardId, const std::string& successor);
    void sendPeerList(const std::string& address);
    [[nodiscard]] std::vector<std::string> liveAddresses() const;
    void transmit(const std::string& address, const FleetUpdate&);
    [[nodiscard]] FleetUpdate makeUpdate(Millis nextWithin);
    void onMessage(std::string_view bytes);
    void onUpdate(const FleetUpdate&);
    void apply(const FleetUpdate&, Peer&);
    void applyState(const FleetUpdate&, Peer&);
    void reject(const Error&);
    void addPeer(const std::string& address);
    void forgetProcess(Peer&);
    void fetchFromPeer();
    [[nodiscard]] bool isAhead(const Peer&) const;
    [[nodiscard]] bool isLive(const Peer&) const;
    [[nodiscard]] bool isCandidate(const Peer&) const;
    [[nodiscard]] Millis flushInterval() const;

    Context m_context;
    FleetSyncOptions m_options;
    std::map<std::string, Peer> m_peers; ///< By address.
    EventPointer m_flushTimer;
    std::uint64_t m_sequence { 0 };
    Millis m_lastSent {};
    Millis m_lastRepeat {};
    bool m_flushArmed { false };
    bool m_fetching { false };
    bool m_leaving { false };
    bool m_mayCoordinate { false };
    bool m_heartbeatDue { false }; ///< All peers should hear something at once.
    Millis m_lastHeartbeat {};
    Millis m_lastPeerList {};
    std::vector<std::pair<Millis, CrashMark>> m_recentCrashes; ///< Repeated for a while.
    std::map<ShardId, std::string> m_assignment; ///< Address of each shard's coordinator.
    std::set<std::string> m_coordinators; ///< Addresses in \c m_assignment.
};

}
