#include "daemon/FleetServices.h"

#include "base/Random.h"
#include "core/EndpointHealth.h"
#include "core/SchedulingState.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // The daemon with the highest rendezvous score for this key writes the configuration checkpoints.
    constexpr std::string_view checkpointWriterKey = "configuration-checkpoint";

    EndpointMonitor::FetchFunction makeFetchFunction(HttpClient& http)
    {
        return [&http](const std::string& address, const std::string& path, Millis timeout, HttpCallback callback) {
            http.send({ .address = address, .target = path, .timeout = timeout }, std::move(callback));
        };
    }

    // An endpoint that belongs to no cell is polled by every daemon. For the endpoints of a cell, EndpointMonitor
    // states which daemons poll them and why.
    bool shouldPollEndpoint(const SchedulingState& state, const EndpointId& id, Millis now)
    {
        auto cell = state.cellMap.cellByEndpoint.find(id);
        if (cell == state.cellMap.cellByEndpoint.end())
            return true;
        auto scheduledCell = state.scheduledCells.find(cell->second);
        if (scheduledCell != state.scheduledCells.end() && isScheduled(scheduledCell->second, now))
            return true;
        auto cellClient = state.cellClients.find(cell->second);
        return cellClient != state.cellClients.end() && cellClient->second.allocationExpiresAt <= now;
    }

    bool hasEphemeralPort(std::string_view address) { return address.ends_with(":0"); }

}

FleetServices::FleetServices(FleetServicesContext context)
    : m_context(std::move(context))
    , m_hostList(m_context.http, m_context.settings.hostList.address)
    , m_monitor({ .clock = m_context.clock,
                    .self = m_context.self,
                    .endpoints = m_context.endpoints,
                    .hostList = m_hostList,
                    .fetch = makeFetchFunction(m_context.http),
                    .shouldPoll =
                        [this](const EndpointId& id) {
                            return shouldPollEndpoint(m_context.scheduling, id, m_context.clock.now());
                        },
                    .broadcast = [this](const EndpointLeavingUpdate& update) { m_peers->broadcast(update); },
                    .onPeerAddresses
                    = [this](std::vector<std::string> addresses) { m_peers->setHostAddresses(std::move(addresses)); } },
          { .loadPollInterval = m_context.settings.endpoints.loadInterval })
{
}

SchedulingContext FleetServices::view()
{
    return { .self = m_context.self,
        .configuration = m_context.configuration(),
        .members = m_context.members,
        .endpoints = m_context.endpoints };
}

PeerHandlers FleetServices::makePeerHandlers()
{
    return { .demandReport =
                 [this](const PeerMessage& message, const DemandReport& report) {
                     return onDemandReport(m_context.scheduling, view(), message, report, m_context.clock.now());
                 },
        .allocation =
            [this](const PeerMessage& message, const Allocation& allocation) {
                onAllocation(m_context.scheduling, view(), message, allocation, m_context.clock.now());
                m_context.onSlotsChanged();
            },
        .cellReport =
            [this](const PeerMessage& message, const CellReport& report) {
                onCellReport(m_context.scheduling, view(), message, report, m_context.clock.now());
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
            [this](const EndpointLeavingUpdate& update) {
                onEndpointLeavingUpdate(m_context.endpoints, update.endpoint, update.leaving, m_context.clock.now());
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
        auto openedTransport = NngTransport::open(m_context.base, m_context.clock, peers.address);
        if (!openedTransport)
            return openedTransport.error();
        m_transport = std::move(openedTransport).value();
        if (hasEphemeralPort(peers.address))
            m_context.self.peerAddress
                = peers.address.substr(0, peers.address.size() - 1) + std::to_string(m_transport->port());
    }
    PeerTransport& transport = m_transport ? static_cast<PeerTransport&>(*m_transport) : m_nullTransport;
    m_peers = std::make_unique<PeerService>(PeerServiceContext { .clock = m_context.clock,
                                                .transport = transport,
                                                .self = m_context.self,
                                                .members = m_context.members,
                                                .configuration = m_context.configurationService,
                                                .metrics = m_context.metrics },
        std::move(options), makePeerHandlers());
    m_context.configurationService.setCheckpointWriter([this] { return m_peers->ownsKey(checkpointWriterKey); });
    return ok();
}

void FleetServices::tick()
{
    m_peers->tick();
    if (!m_context.settings.hostList.address.empty() || !m_context.endpoints.endpoints.empty())
        m_monitor.tick();
    m_peers->send(tickScheduling(m_context.scheduling, view(), m_context.clock.now()));
    auto liveMembers = std::count_if(m_context.members.members.begin(), m_context.members.members.end(),
        [](const auto& entry) { return isLive(entry.second); });
    m_context.metrics.set(Gauge::MembersAlive, {}, static_cast<double>(liveMembers + 1));
}

void FleetServices::sendCrashMark(const CrashMark& mark)
{
    if (m_peers)
        m_peers->broadcast(mark);
}

void FleetServices::announceLeave()
{
    if (m_peers)
        m_peers->leave();
}

}
