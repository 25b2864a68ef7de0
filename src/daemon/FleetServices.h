#pragma once

#include "config/DaemonSettings.h"
#include "core/CrashGuard.h"
#include "core/Scheduling.h"
#include "daemon/ConfigurationService.h"
#include "daemon/EndpointMonitor.h"
#include "daemon/PeerService.h"
#include "net/HttpHostListClient.h"
#include "net/NngTransport.h"

#include <functional>
#include <memory>
#include <vector>

namespace jasminestack {

/// \brief What the links read, write and call in the daemon.
struct FleetServicesContext {
    event_base& base;
    const DaemonSettings& settings;
    const Clock& clock;
    HttpClient& http;
    SelfState& self;
    MemberTable& members;
    EndpointTable& endpoints;
    ConfigurationService& configurationService;
    SchedulingState& scheduling;
    CrashGuardState& crashGuard;
    Metrics& metrics;
    std::function<const Configuration&()> configuration;
    std::function<void()> slotsChanged; ///< An allocation arrived, so that requests may get a slot.
};

/// \brief Wires the daemon to its peers, the endpoints' load reports and the host list.
class FleetServices {
public:
    explicit FleetServices(FleetServicesContext);
    FleetServices(const FleetServices&) = delete;
    FleetServices& operator=(const FleetServices&) = delete;

    /// \brief Listens for peers; without a peer address in the settings the daemon runs alone.
    /// \returns SettingsInvalid if the address or the fleet key cannot be used.
    [[nodiscard]] Result<void> start();

    /// \brief Runs the periodic work and sends what scheduling has to say; call it every 50 ms.
    void tick();

    /// \brief Tells all peers about a crash mark.
    void sendCrashMark(const CrashMark&);

    /// \brief Tells the peers that this daemon stops.
    void leave();

private:
    [[nodiscard]] SchedulingView view();
    [[nodiscard]] PeerHandlers handlers();

    FleetServicesContext m_context;
    NullPeerTransport m_noPeers;
    std::unique_ptr<NngTransport> m_link;
    std::unique_ptr<PeerService> m_peers;
    HttpHostListClient m_hostList;
    EndpointMonitor m_monitor;
};

}
