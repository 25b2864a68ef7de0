#include "daemon/FleetServices.h"

#include "base/Random.h"
#include "core/EndpointHealth.h"
#include "core/SchedulingState.h"

#include <algorithm>

namespace jasminestack {

namespace {

    constexpr std::string_view checkpointKey = "configuration-checkpoint";

    EndpointMonitor::FetchFunction fetchOver(HttpClient& http)
    {
        return [&http](const std::string& address, const std::string& path, Millis timeout, HttpCallback callback) {
            http.send({ .address = address, .target = path, .timeout = timeout }, std::move(callback));
        };
    }

    bool pollsEndpoint(const SchedulingState& state, const EndpointId& id, Millis now)
    {
        auto cell = state.cellMap.cellByEndpoint.find(id);
        if (cell == state.cellMap.cellByEndpoint.end())
            return true;
        auto scheduled = state.scheduledCells.find(cell->second);
        if (scheduled != state.scheduledCells.end() && isScheduled(scheduled->second, now))
            return true;
        auto client = state.cellClients.find(cell->second);
        return client != state.cellClients.end() && client->second.allocationExpiresAt <= now;
    }

    bool isAnyPort(std::string_view address) { return address.ends_with(":0"); }

}

FleetServices::FleetServices(FleetServicesContext context)
    : m_context(std::move(context))
    , m_hostList(m_context.http, m_context.settings.hostList.address)
    , m_monitor(
          { .clock = m_context.clock,
              .self = m_context.self,
              .endpoints = m_context.endpoints,
              .hostList = m_hostList,
              .fetch = fetchOver(m_context.http),
              .isPolled
              = [this](const EndpointId& id) { return pollsEndpoint(m_context.scheduling, id, m_context.clock.now()); },
              .announce = [this](const EndpointLeavingUpdate& news) { m_peers->broadcast(news); },
              .peerAddresses
              = [this](std::vector<std::string> addresses) { m_peers->setHostAddresses(std::move(addresses)); } },
          { .loadInterval = m_context.settings.endpoints.loadInterval })
{
}

SchedulingView FleetServices::view()
{
    return { .self = m_context.self,
        .configuration = m_context.configuration(),
        .members = m_context.members,
        .endpoints = m_context.endpoints };
}

PeerHandlers FleetServices::handlers()
{
    return { .demandReport =
                 [this](const PeerMessage& message, const DemandReport& report) {
                     return onDemandReport(m_context.scheduling, view(), message, report, m_context.clock.now());
                 },
        .allocation =
            [this](const PeerMessage& message, const Allocation& allocation) {
                onAllocation(m_context.scheduling, view(), message, allocation, m_context.clock.now());
                m_context.slotsChanged();
            },
        .cellReport =
            [this](const PeerMessage& message, const CellReport& exchange) {
                onCellReport(m_context.scheduling, view(), message, exchange, m_context.clock.now());
            },
        .crashMark =
            [this](const CrashMark& mark) {
                const FleetLimits& limits = m_context.configuration().limits;
                onCrashMark(m_context.crashGuard,
                    { .quarantineThreshold = limits.crashLosses,
                        .quarantineDuration = limits.quarantine,
                        .suspectExpiry = limits.quarantine },
                    mark, m_context.clock.now());
            },
        .endpointLeavingUpdate =
            [this](const EndpointLeavingUpdate& news) {
                onEndpointLeavingUpdate(m_context.endpoints, news.endpoint, news.leaving, m_context.clock.now());
            } };
}

Result<void> FleetServices::start()
{
    const DaemonSettings::Peers& peers = m_context.settings.peers;
    PeerServiceOptions options { .seeds = peers.seeds, .randomSeed = systemSeed() };
    if (!peers.address.empty()) {
        auto key = readFleetKey(peers.fleetKeyFile, peers.fleetKeyEnvironment);
        if (!key)
            return key.error();
        options.fleetKey = std::move(key).value();
        auto link = NngTransport::open(m_context.base, m_context.clock, peers.address);
        if (!link)
            return link.error();
        m_link = std::move(link).value();
        if (isAnyPort(peers.address))
            m_context.self.peerAddress
                = peers.address.substr(0, peers.address.size() - 1) + std::to_string(m_link->port());
    }
    PeerTransport& transport = m_link ? static_cast<PeerTransport&>(*m_link) : m_noPeers;
    m_peers = std::make_unique<PeerService>(PeerServiceContext { .clock = m_context.clock,
                                                .transport = transport,
                                                .self = m_context.self,
                                                .members = m_context.members,
                                                .configuration = m_context.configurationService,
                                                .metrics = m_context.metrics },
        std::move(options), handlers());
    m_context.configurationService.setCheckpointWriter([this] { return m_peers->owns(checkpointKey); });
    return ok();
}

void FleetServices::tick()
{
    m_peers->tick();
    if (!m_context.settings.hostList.address.empty() || !m_context.endpoints.endpoints.empty())
        m_monitor.tick();
    m_peers->send(tickScheduling(m_context.scheduling, view(), m_context.clock.now()));
    auto alive = std::count_if(m_context.members.members.begin(), m_context.members.members.end(),
        [](const auto& entry) { return isLive(entry.second); });
    m_context.metrics.set(Gauge::MembersAlive, {}, static_cast<double>(alive + 1));
}

void FleetServices::sendCrashMark(const CrashMark& mark)
{
    if (m_peers)
        m_peers->broadcast(mark);
}

void FleetServices::leave()
{
    if (m_peers)
        m_peers->leave();
}

}
