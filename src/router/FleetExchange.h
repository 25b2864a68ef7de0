#pragma once

#include "base/Clock.h"
#include "net/HttpClient.h"
#include "net/Interfaces.h"
#include "net/Socket.h"
#include "router/DeploymentSource.h"
#include "router/RouterFlow.h"
#include "routing/FleetNews.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jasminestack {

/// \brief Who this daemon is towards its peers.
struct FleetExchangeOptions {
    std::string daemonId;
    std::string address; ///< "IP:PORT" for messages and documents.
    std::vector<std::string> seeds;
    DaemonKey key { 0 }; ///< Of this process.
};

/// \brief Tells the other daemons what this one has sent to the endpoints, and takes over what they tell. Changes leave
/// within milliseconds, and all state is repeated a few times a second, so that lost messages do no lasting harm.
class FleetExchange {
public:
    struct Context {
        event_base& base;
        const Clock& clock;
        RouterBoard& board;
        PeerTransport& transport;
        HttpClient& http;
        DeploymentSource& source;
        Metrics& metrics;
        std::function<void()> pictureChanged; ///< Loads have gone down somewhere.
    };

    FleetExchange(Context, FleetExchangeOptions);
    ~FleetExchange();
    FleetExchange(const FleetExchange&) = delete;
    FleetExchange& operator=(const FleetExchange&) = delete;

    void start();

    /// \brief The board has changed: sends a message as soon as the last one is old enough.
    void flushSoon();

    /// \brief Daemons that have announced themselves at the store.
    void setAnnounced(const std::vector<std::string>& addresses);

    /// \brief Tells all peers that this daemon is leaving.
    void leave();

    /// \returns Daemons that may be alive, with this one.
    [[nodiscard]] std::size_t possibleDaemons() const;

    /// \returns Daemons that were heard lately, without this one.
    [[nodiscard]] std::size_t livePeers() const;

    /// \brief Periodic work: repeats the state, drops silent peers, asks peers for newer documents.
    void tick();

private:
    struct Peer {
        DaemonKey key { 0 };
        std::uint64_t sequence { 0 };
        Millis lastHeard {}; ///< 0 if never.
        Millis firstKnown {};
        DeploymentVersions versions;
        Millis aheadSince {}; ///< Since when its documents are newer than this daemon's; 0 if they are not.
        bool announced { false };
    };

    void send(bool all);
    void onMessage(std::string_view bytes);
    void apply(const FleetNews&, Peer&);
    void addPeer(const std::string& address);
    void fetchFromPeer();
    [[nodiscard]] bool isAhead(const Peer&) const;
    [[nodiscard]] Millis flushInterval() const;

    Context m_context;
    FleetExchangeOptions m_options;
    std::map<std::string, Peer> m_peers; ///< By address.
    EventPointer m_flushTimer;
    std::uint64_t m_sequence { 0 };
    Millis m_lastSent {};
    Millis m_lastRepeat {};
    bool m_flushArmed { false };
    bool m_fetching { false };
    bool m_leaving { false };
    std::vector<std::pair<Millis, CrashMark>> m_recentCrashes; ///< Repeated for a while.
};

}
