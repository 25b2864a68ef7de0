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

/// \brief Dependencies of FleetServices; all referenced objects must outlive it.
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
    /// Called when an allocation was received, so that queued requests may get slots.
    std::function<void()> onSlotsChanged;
};

/// \brief Exchanges messages with the peers, polls the endpoints' load reports and reads the host list.
class FleetServices {
public:
    explicit FleetServices(FleetServicesContext);
    FleetServices(const FleetServices&) = delete;
    FleetServices& operator=(const FleetServices&) = delete;

    /// \brief Starts listening for peers; without a peer address in the settings the daemon runs without peers.
    /// \returns SettingsInvalid if the address or the fleet key cannot be used.
    [[nodiscard]] Result<void> start();

    /// \brief Runs the periodic work and sends the messages of the scheduler; call it every 50 ms.
    void tick();

    /// \brief Sends a crash mark to all live peers; does nothing before start().
    void sendCrashMark(const CrashMark&);

    /// \brief Announces to the peers that this daemon is leaving the fleet.
    void announceLeave();

private:
    [[nodiscard]] SchedulingContext view();
    [[nodiscard]] PeerHandlers makePeerHandlers();

    FleetServicesContext m_context;
    NullPeerTransport m_nullTransport;
    std::unique_ptr<NngTransport> m_transport;
    std::unique_ptr<PeerService> m_peers;
    HttpHostListClient m_hostList;
    EndpointMonitor m_monitor;
};

}
