#include "router/FleetSync.h"

#include "base/Hash.h"
#include "net/EventCallback.h"
#include "net/EventPriority.h"
#include "observe/Logging.h"
#include "router/DocumentsRequest.h"
#include "router/FleetUpdateCodec.h"
#include "router/PlacementCodec.h"
#include "router/StoreConfirmationCodec.h"
#include "routing/Shards.h"
#include "routing/StoreReaders.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace jasminestack {

namespace {

    // Snapshots are sent at this interval; they correct the state of peers that did not receive an earlier update.
    constexpr Millis snapshotInterval { 400 };

    // A peer that sent nothing for at least this long is not live: its requests are assumed to have ended with its
    // connections.
    constexpr Millis minPeerTimeout { 1'500 };

    // An address that is not announced at the store is removed when no update came from it for this long.
    constexpr Millis unannouncedPeerRetention { 60'000 };

    // Addresses from datagrams are not checked, and the work of each message and tick grows with their number. Several
    // times the largest fleet; daemons beyond it are known once the store announces them.
    constexpr std::size_t maxUnannouncedPeers = 2'000;

    // The store notifies all daemons at about the same time; documents are requested from a peer only if they have been
    // newer for this long.
    constexpr Millis documentLagTolerance { 150 };

    // Registrations are read from the store at intervals, so those of a peer may be newer for a short time. A
    // peer's registrations count as newer only if this daemon's last read from the store is older than this.
    constexpr Millis registrationReadTolerance { 900 };

    // With coordinators, daemons send only heartbeats to peers that do not coordinate.
    constexpr Millis minHeartbeatInterval { 3'000 };

    // Bounds the heartbeats that a daemon sends and receives in a large fleet, and the bytes of its peer lists; their
    // interval grows with the fleet.
    constexpr std::int64_t maxHeartbeatsPerSecond = 20;

    // A peer whose documents were requested without effect is not asked again within this time.
    constexpr Millis documentRetryDelay { 500 };

    // A follower that could not import newer documents of a reader for this long after an import was due reads the
    // store itself.
    constexpr Millis documentLagLimit { 600 };

    constexpr Millis readerSelectionInterval { 400 };

    // Prompt parts in one message of a shard's handover: about 900 bytes, which fit into one packet.
    constexpr std::size_t partsPerHandoverMessage = 60;

    // Prompt parts in one update: with at most 14 bytes each, they and the loads fit into one datagram. Prompts beyond
    // it are not reported, which costs less than the loads that would be lost with a longer message.
    constexpr std::size_t maxPartsPerUpdate = 2'000;

    void limitParts(std::vector<SentPrompt>& prompts)
    {
        std::size_t parts = 0;
        auto isBeyondLimit = [&](const SentPrompt& sent) { return (parts += sent.prompt.size()) > maxPartsPerUpdate; };
        prompts.erase(std::find_if(prompts.begin(), prompts.end(), isBeyondLimit), prompts.end());
    }

    // A peer that has fewer daemon addresses is sent the list of live peers, at most once in this time.
    constexpr Millis peerListInterval { 400 };

    // A peer times out after this many of the maximum update intervals that it announced.
    constexpr std::int64_t missedIntervals = 3;

    // A coordinator that sent no reply is not assigned shards for at least this time, and until its next update.
    constexpr Millis suspicionDuration { 1'000 };

    // Changes are sent to coordinators almost at once, since they place requests by the loads in their fleet view.
    constexpr Millis coordinatedFlushInterval { 3 };

    constexpr Millis documentTimeout { 1'000 };

    // For this long one daemon may send the trial of a quarantine, then another one, since a daemon may have no request
    // for it.
    constexpr Millis trialTurn { 2'000 };

    // Snapshots and heartbeats repeat the crash evidence of this time, since messages are lost and daemons are cut off.
    constexpr Millis evidenceRepeatDuration { 6'000 };

    // In a large fleet new evidence is sent to all daemons, but not more often than this: all of them may have some.
    constexpr Millis evidenceInterval { 250 };

    // It is sent again after this time without new one.
    constexpr Millis evidenceRepeatDelay { 800 };

    // Without coordinators: upper bound on the messages that one daemon receives from all peers each second. The
    // interval between two updates of a daemon grows with the number of its peers.
    constexpr std::int64_t maxMessagesPerSecond = 1'500;
    constexpr Millis minFlushInterval { 3 };
    constexpr Millis maxFlushInterval { 100 };

    void append(CrashEvidence& evidence, const CrashEvidence& added)
    {
        evidence.losses.insert(evidence.losses.end(), added.losses.begin(), added.losses.end());
        evidence.clearances.insert(evidence.clearances.end(), added.clearances.begin(), added.clearances.end());
        evidence.quarantines.insert(evidence.quarantines.end(), added.quarantines.begin(), added.quarantines.end());
    }

    std::string_view storeRoleName(StoreRole role)
    {
        switch (role) {
        case StoreRole::Independent:
            return "independent";
        case StoreRole::Reader:
            return "reader";
        case StoreRole::Follower:
            return "follower";
        case StoreRole::Fallback:
            return "fallback";
        case StoreRole::OutageFallback:
            return "outage_fallback";
        }
        return "unknown";
    }

}

FleetSync::FleetSync(Context context, FleetSyncOptions options)
    : m_context(std::move(context))
    , m_options(std::move(options))
    , m_flushTimer(evtimer_new(
          &m_context.base,
          [](int, short, void* self) {
              auto& sync = *static_cast<FleetSync*>(self);
              sync.m_isFlushScheduled = false;
              runGuarded("fleet_update", [&] { sync.sendUpdates(false); });
          },
          this))
{
    setEventPriority(*m_flushTimer, EventPriority::Control);
}

FleetSync::~FleetSync() = default;

void FleetSync::start()
{
    m_context.transport.setReceiveHandler([this](std::string_view bytes) { onMessage(bytes); });
    for (const std::string& seed : m_options.seeds)
        addPeer(seed);
    sendUpdates(true);
}

void FleetSync::addPeer(const std::string& address)
{
    if (address == m_options.address || address.empty())
        return;
    auto [entry, isNew] = m_peers.try_emplace(address);
    if (!isNew)
        return;
    entry->second.addedAt = m_context.clock.now();
    m_isHeartbeatDue = true;
}

void FleetSync::addUnannouncedPeer(const std::string& address)
{
    if (m_peers.size() < maxUnannouncedPeers)
        addPeer(address);
    else if (!m_peers.contains(address))
        m_context.metrics.add(Counter::PeerRejected, { "too_many_peers" });
}

void FleetSync::setAnnouncedPeers(const std::vector<std::string>& addresses)
{
    for (auto& [address, peer] : m_peers)
        peer.isAnnounced = false;
    for (const std::string& address : addresses) {
        addPeer(address);
        if (auto found = m_peers.find(address); found != m_peers.end())
            found->second.isAnnounced = true;
    }
}

std::size_t FleetSync::possibleDaemonCount() const { return m_peers.size() + 1; }

bool FleetSync::isLive(const Peer& peer) const
{
    if (peer.lastReceived == Millis {})
        return false;
    Millis peerTimeout = std::max(minPeerTimeout, Millis { peer.maxUpdateInterval.count * missedIntervals });
    return m_context.clock.now() - peer.lastReceived < peerTimeout;
}

std::size_t FleetSync::livePeerCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return isLive(entry.second); }));
}

Millis FleetSync::flushInterval() const
{
    if (usesCoordinators())
        return coordinatedFlushInterval;
    Millis interval { static_cast<std::int64_t>(livePeerCount()) * 1'000 / maxMessagesPerSecond };
    return std::clamp(interval, minFlushInterval, maxFlushInterval);
}

bool FleetSync::isCoordinatorCandidate(const Peer& peer) const
{
    if (!isLive(peer) || !peer.mayCoordinate)
        return false;
    bool suspected = peer.suspectedAt != Millis {}
        && (m_context.clock.now() - peer.suspectedAt < suspicionDuration || peer.lastReceived <= peer.suspectedAt);
    return !suspected;
}

std::vector<CoordinatorCandidate> FleetSync::coordinatorCandidates() const
{
    std::vector<CoordinatorCandidate> candidates;
    if (m_mayCoordinate)
        candidates.push_back({ .address = m_options.address, .cpuCores = m_options.cpuCores });
    for (const auto& [address, peer] : m_peers) {
        if (isCoordinatorCandidate(peer))
            candidates.push_back({ .address = address, .cpuCores = peer.cpuCores });
    }
    return candidates;
}

void FleetSync::refreshStoreReaders()
{
    Millis now = m_context.clock.now();
    if (now - m_storeReadersRefreshedAt < readerSelectionInterval)
        return;
    m_storeReadersRefreshedAt = now;
    std::vector<std::string> readers;
    if (usesCoordinators())
        readers = selectStoreReaders(coordinatorCandidates(), storeReaderCount(possibleDaemonCount()));
    bool isReader = std::find(readers.begin(), readers.end(), m_options.address) != readers.end();
    m_followers.clear();
    for (const auto& [address, peer] : m_peers) {
        if (!isReader || !isLive(peer))
            continue;
        auto own = readersOfFollower(readers, address);
        if (std::find(own.begin(), own.end(), m_options.address) != own.end())
            m_followers.push_back(address);
    }
    if (readers == m_storeReaders)
        return;
    m_storeReaders = std::move(readers);
    logEvent(LogLevel::Info, "store_readers_changed",
        { { "readers", m_storeReaders.size() }, { "own", isReader ? 1 : 0 }, { "followers", m_followers.size() } });
}

bool FleetSync::isStoreReader(const Peer& peer) const
{
    return peer.confirmationReceivedAt != Millis {}
    && isReaderLive(peer.storeConfirmation, m_context.clock.now() - peer.confirmationReceivedAt);
}

StoreRole FleetSync::suitableStoreRole() const
{
    if (!usesCoordinators())
        return StoreRole::Independent;
    if (std::find(m_storeReaders.begin(), m_storeReaders.end(), m_options.address) != m_storeReaders.end())
        return StoreRole::Reader;
    Millis now = m_context.clock.now();
    std::size_t liveReaders = 0;
    std::size_t confirmations = 0;
    for (const auto& [address, peer] : m_peers) {
        if (!isStoreReader(peer))
            continue;
        ++liveReaders;
        Millis confirmedAt = peer.confirmationReceivedAt - peer.storeConfirmation.age;
        confirmations += isConfirmationRecent(peer.storeConfirmation, now - confirmedAt) ? 1U : 0U;
        if (peer.newerDocumentsSince != Millis {}
            && now - peer.newerDocumentsSince > importInterval(possibleDaemonCount()) + documentLagLimit)
            return StoreRole::Fallback;
    }
    if (confirmations >= requiredConfirmations)
        return StoreRole::Follower;
    return liveReaders >= requiredConfirmations ? StoreRole::OutageFallback : StoreRole::Fallback;
}

void FleetSync::updateStoreRole()
{
    refreshStoreReaders();
    StoreRole role = suitableStoreRole();
    if (role == m_storeRole)
        return;
    logEvent(LogLevel::Info, "store_role_changed",
        { { "role", storeRoleName(role) }, { "previous", storeRoleName(m_storeRole) },
            { "readers", m_storeReaders.size() } });
    m_storeRole = role;
    m_confirmationsSentAt = {};
    m_context.source.setStoreRole(role);
}

// Followers import a change once a reader has reported it.
void FleetSync::sendStoreConfirmations()
{
    Millis now = m_context.clock.now();
    DeploymentVersions versions = m_context.source.versions();
    Millis interval = confirmationInterval(m_followers.size());
    if (m_storeRole != StoreRole::Reader || (now - m_confirmationsSentAt < interval && versions == m_confirmedVersions))
        return;
    m_confirmationsSentAt = now;
    m_confirmedVersions = versions;
    std::string bytes = encodeStoreConfirmation({ .reader = m_options.instanceId,
        .configurationVersion = versions.configurationVersion,
        .registrationsPosition = versions.registrationsPosition,
        .operatorPosition = versions.operatorPosition,
        .age = now - m_context.source.storeConfirmedAt(),
        .interval = interval });
    for (const std::string& address : m_followers)
        m_context.transport.send(address, bytes);
    auto count = static_cast<double>(m_followers.size());
    m_context.metrics.add(
        Counter::ControlBytes, { "sent", "store_confirmation" }, static_cast<double>(bytes.size()) * count);
    m_context.metrics.add(Counter::ControlMessages, { "sent", "store_confirmation" }, count);
}

void FleetSync::onStoreConfirmation(const StoreConfirmation& confirmation)
{
    Millis now = m_context.clock.now();
    auto found = std::find_if(m_peers.begin(), m_peers.end(),
        [&](const auto& entry) { return entry.second.instanceId == confirmation.reader; });
    if (found == m_peers.end())
        return; // It has sent no fleet update yet.
    Peer& peer = found->second;
    peer.storeConfirmation = confirmation;
    peer.confirmationReceivedAt = now;
    if (confirmation.configurationVersion == m_context.source.versions().configurationVersion)
        m_context.source.onConfigurationConfirmedByPeer(now - confirmation.age);
    updateVersions(peer,
        { .configurationVersion = confirmation.configurationVersion,
            .registrationsPosition = confirmation.registrationsPosition,
            .operatorPosition = confirmation.operatorPosition });
    if (m_storeRole == StoreRole::Follower && peer.newerDocumentsSince != Millis {})
        fetchDocumentsFromPeer();
}

void FleetSync::updateVersions(Peer& peer, const DeploymentVersions& versions)
{
    peer.versions = versions;
    if (!hasNewerDocuments(peer))
        peer.newerDocumentsSince = {};
    else if (peer.newerDocumentsSince == Millis {})
        peer.newerDocumentsSince = m_context.clock.now();
}

void FleetSync::refreshCoordinators()
{
    assignShards();
    refreshPaceOwners();
}

// Without coordinators, rendezvous hashing selects one of the daemons that take requests.
bool FleetSync::ownsPace(const EndpointView& view, std::span<const CoordinatorCandidate> candidates) const
{
    auto coordinator = m_coordinatorByShard.find(view.shard);
    if (coordinator != m_coordinatorByShard.end())
        return coordinator->second == m_options.address;
    const std::string& endpoint = view.registration.id.value;
    std::uint64_t ownScore = rendezvousScore(endpoint, m_options.address);
    return m_mayCoordinate && std::none_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
        return rendezvousScore(endpoint, candidate.address) > ownScore;
    });
}

void FleetSync::refreshPaceOwners()
{
    std::vector<CoordinatorCandidate> candidates;
    if (!usesCoordinators())
        candidates = coordinatorCandidates();
    for (auto& [id, view] : m_context.board.fleetView.endpoints) {
        if (view.pace.limits.coldRequestsPerSecond != 0)
            view.pace.isOwner = ownsPace(view, candidates);
    }
}

void FleetSync::assignShards()
{
    std::map<ShardId, std::string> assignment;
    if (usesCoordinators()) {
        std::vector<ShardId> shards;
        for (const auto& [shard, members] : m_context.board.fleetView.endpointsByShard)
            shards.push_back(shard);
        assignment = assignCoordinators(shards, coordinatorCandidates());
    }
    if (assignment == m_coordinatorByShard)
        return;
    for (const auto& [shard, address] : assignment) {
        auto previous = m_coordinatorByShard.find(shard);
        if (previous != m_coordinatorByShard.end() && previous->second == m_options.address
            && address != m_options.address)
            handOverShard(shard, address);
    }
    std::size_t ownShardCount = 0;
    for (const auto& [shard, address] : assignment)
        ownShardCount += address == m_options.address ? 1U : 0U;
    m_coordinatorByShard = std::move(assignment);
    m_coordinators.clear();
    for (const auto& [shard, address] : m_coordinatorByShard)
        m_coordinators.insert(address);
    logEvent(LogLevel::Info, "coordinators_changed",
        { { "shards", m_coordinatorByShard.size() }, { "coordinators", m_coordinators.size() },
            { "own_shards", ownShardCount } });
    m_isHeartbeatDue = true;
    m_lastSnapshotSent = {}; // New coordinators need this daemon's loads at once.
}

void FleetSync::handOverShard(ShardId shard, const std::string& successor)
{
    for (const EndpointView* view : m_context.board.fleetView.endpointsByShard[shard]) {
        std::vector<PromptPart> parts(view->promptCache.parts().begin(), view->promptCache.parts().end());
        // Sends the least recently used parts first, so that the successor's cache has them in the same order.
        for (std::size_t end = parts.size(); end > 0;) {
            std::size_t begin = end - std::min(end, partsPerHandoverMessage);
            FleetUpdate update = makeUpdate(updateInterval());
            update.sentPrompts.push_back({ .endpoint = view->instanceId,
                .prompt = { parts.begin() + static_cast<std::ptrdiff_t>(begin),
                    parts.begin() + static_cast<std::ptrdiff_t>(end) } });
            transmit(successor, update);
            end = begin;
        }
    }
    logEvent(LogLevel::Info, "shard_handed_over", { { "shard", shard }, { "successor", successor } });
}

std::string FleetSync::coordinatorOf(ShardId shard) const
{
    auto found = m_coordinatorByShard.find(shard);
    return found == m_coordinatorByShard.end() || found->second == m_options.address ? std::string() : found->second;
}

void FleetSync::suspectPeer(const std::string& address)
{
    auto found = m_peers.find(address);
    if (found == m_peers.end())
        return;
    found->second.suspectedAt = m_context.clock.now();
    refreshCoordinators();
}

std::string FleetSync::addressOf(DaemonInstanceId daemon) const
{
    auto found = std::find_if(
        m_peers.begin(), m_peers.end(), [&](const auto& entry) { return entry.second.instanceId == daemon; });
    return found == m_peers.end() ? std::string() : found->first;
}

void FleetSync::setMayCoordinate(bool mayCoordinate)
{
    if (std::exchange(m_mayCoordinate, mayCoordinate) == mayCoordinate)
        return;
    refreshCoordinators();
    m_isHeartbeatDue = true;
}

void FleetSync::scheduleUpdate()
{
    if (m_isFlushScheduled)
        return;
    m_isFlushScheduled = true;
    Millis due = m_lastSent + flushInterval();
    timeval span = toTimeval(std::max(due - m_context.clock.now(), Millis {}));
    evtimer_add(m_flushTimer.get(), &span);
}

FleetUpdate FleetSync::makeUpdate(Millis maxInterval)
{
    DeploymentVersions versions = m_context.source.versions();
    FleetUpdate update { .instanceId = m_options.instanceId,
        .daemonId = m_options.daemonId,
        .address = m_options.address,
        .sequence = ++m_sequence,
        .configurationVersion = versions.configurationVersion,
        .registrationsPosition = versions.registrationsPosition,
        .operatorPosition = versions.operatorPosition,
        .isLeaving = m_isLeaving,
        .mayCoordinate = m_mayCoordinate,
        .cpuCores = m_options.cpuCores,
        .maxUpdateInterval = maxInterval,
        .knownDaemonCount = static_cast<std::uint32_t>(possibleDaemonCount()) };
    return update;
}

void FleetSync::collectCrashEvidence()
{
    CrashEvidence& unsent = m_context.board.crashes.unsent;
    Millis now = m_context.clock.now();
    std::erase_if(m_recentEvidence, [&](const auto& item) { return now - item.first > evidenceRepeatDuration; });
    if (unsent.empty())
        return;
    m_evidenceRepeatAt = now + evidenceRepeatDelay;
    m_newEvidence = std::exchange(unsent, {});
    m_recentEvidence.emplace_back(now, m_newEvidence);
    append(m_heartbeatEvidence, m_newEvidence);
}

CrashEvidence FleetSync::recentEvidence() const
{
    CrashEvidence evidence { .quarantines = currentQuarantines(m_context.board.crashes) };
    for (const auto& [time, item] : m_recentEvidence)
        append(evidence, { .losses = item.losses, .clearances = item.clearances });
    limitEvidence(evidence);
    return evidence;
}

void FleetSync::transmit(std::span<const std::string_view> addresses, const FleetUpdate& update)
{
    std::string bytes = encodeFleetUpdate(update, m_context.clock.now());
    for (std::string_view address : addresses)
        m_context.transport.send(address, bytes);
    m_context.metrics.add(
        Counter::ControlBytes, { "sent", "fleet_news" }, static_cast<double>(bytes.size() * addresses.size()));
    m_context.metrics.add(Counter::ControlMessages, { "sent", "fleet_news" }, static_cast<double>(addresses.size()));
}

void FleetSync::transmit(std::string_view address, const FleetUpdate& update)
{
    transmit(std::span(&address, 1), update);
}

void FleetSync::sendUpdates(bool asSnapshot)
{
    RouterBlackboard& board = m_context.board;
    Millis now = m_context.clock.now();
    m_lastSent = now;
    collectCrashEvidence();
    limitParts(board.sentPrompts);
    if (usesCoordinators())
        sendToCoordinators(asSnapshot);
    else
        sendToAllPeers(asSnapshot);
    board.sentPrompts.clear();
    board.unsentRefusals.clear();
    board.attemptReports.clear();
    m_newEvidence = {};
}

void FleetSync::sendToAllPeers(bool asSnapshot)
{
    RouterBlackboard& board = m_context.board;
    Millis now = m_context.clock.now();
    FleetUpdate update = makeUpdate(snapshotInterval);
    update.isSnapshot = asSnapshot;
    update.sentPrompts = std::move(board.sentPrompts);
    update.crashEvidence = asSnapshot ? recentEvidence() : m_newEvidence;
    for (const auto& [contentHash, firstArrival] : board.unsentRefusals)
        update.refusals.push_back(
            { .contentHash = contentHash, .ageMs = static_cast<std::uint32_t>((now - firstArrival).count) });
    for (auto& [id, view] : board.fleetView.endpoints) {
        bool changed = std::exchange(view.ownLoadChanged, false);
        if (asSnapshot ? view.ownLoad == EndpointLoad {} : !changed)
            continue;
        update.endpointLoads.push_back({ .endpoint = view.instanceId, .load = view.ownLoad });
    }
    if (asSnapshot) {
        update.workspaceRates = ownRates(board.shares, now);
        update.livePeerAddresses = liveAddresses();
    }
    std::string bytes = encodeFleetUpdate(update, now);
    std::size_t receivers = 0;
    for (const auto& [address, peer] : m_peers) {
        // Peers that are not live get snapshots only.
        if (!asSnapshot && !isLive(peer))
            continue;
        m_context.transport.send(address, bytes);
        ++receivers;
    }
    m_context.metrics.add(
        Counter::ControlBytes, { "sent", "fleet_news" }, static_cast<double>(bytes.size() * receivers));
    m_context.metrics.add(Counter::ControlMessages, { "sent", "fleet_news" }, static_cast<double>(receivers));
}

void FleetSync::sendToCoordinators(bool asSnapshot)
{
    RouterBlackboard& board = m_context.board;
    std::map<std::string, FleetUpdate> changesByAddress;
    auto changesForCoordinatorOf = [&](const EndpointView& view) -> FleetUpdate* {
        std::string address = coordinatorOf(view.shard);
        return address.empty() ? nullptr : &changesByAddress[address];
    };
    for (auto& [id, view] : board.fleetView.endpoints) {
        bool changed = std::exchange(view.ownLoadChanged, false);
        if (asSnapshot ? view.ownLoad == EndpointLoad {} : !changed)
            continue;
        if (FleetUpdate* update = changesForCoordinatorOf(view))
            update->endpointLoads.push_back({ .endpoint = view.instanceId, .load = view.ownLoad });
    }
    auto changesAtEndpoint = [&](EndpointInstanceId endpoint) -> FleetUpdate* {
        auto found = board.fleetView.endpointsByInstance.find(endpoint);
        return found == board.fleetView.endpointsByInstance.end() ? nullptr : changesForCoordinatorOf(*found->second);
    };
    for (const AttemptReport& report : board.attemptReports) {
        if (FleetUpdate* update = changesAtEndpoint(report.endpoint))
            update->attemptReports.push_back(report);
    }
    for (SentPrompt& prompt : board.sentPrompts) {
        if (FleetUpdate* update = changesAtEndpoint(prompt.endpoint))
            update->sentPrompts.push_back(std::move(prompt));
    }
    std::vector<WorkspaceRate> rates;
    if (asSnapshot) {
        for (const std::string& address : m_coordinators) {
            if (address != m_options.address)
                changesByAddress[address];
        }
        if (coordinatesAnyShard())
            rates = ownRates(board.shares, m_context.clock.now());
    }
    for (auto& [address, changes] : changesByAddress) {
        FleetUpdate update = makeUpdate(snapshotInterval);
        update.isSnapshot = asSnapshot;
        update.endpointLoads = std::move(changes.endpointLoads);
        update.attemptReports = std::move(changes.attemptReports);
        update.sentPrompts = std::move(changes.sentPrompts);
        update.workspaceRates = rates;
        if (asSnapshot)
            update.crashEvidence = recentEvidence();
        if (auto peer = m_peers.find(address); peer != m_peers.end())
            update.lastGrantNumber = m_context.lastGrantNumber(peer->second.instanceId);
        transmit(address, update);
    }
}

bool FleetSync::mayTry(TraitHash trait, Millis overdue) const
{
    std::string key = std::to_string(trait) + "/" + std::to_string(overdue.count / trialTurn.count);
    std::uint64_t ownScore = rendezvousScore(key, m_options.address);
    return std::none_of(m_peers.begin(), m_peers.end(),
        [&](const auto& entry) { return isLive(entry.second) && rendezvousScore(key, entry.first) > ownScore; });
}

std::vector<std::string> FleetSync::liveAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : m_peers) {
        if (isLive(peer))
            addresses.push_back(address);
    }
    return addresses;
}

Millis FleetSync::updateInterval() const { return coordinatesAnyShard() ? snapshotInterval : heartbeatInterval(); }

Millis FleetSync::heartbeatInterval() const
{
    Millis interval { static_cast<std::int64_t>(possibleDaemonCount()) * 1'000 / maxHeartbeatsPerSecond };
    return std::max(interval, minHeartbeatInterval);
}

void FleetSync::sendHeartbeats(CrashEvidence evidence)
{
    FleetUpdate update = makeUpdate(updateInterval());
    update.crashEvidence = std::move(evidence);
    m_heartbeatEvidence = {};
    m_lastEvidenceSent = m_context.clock.now();
    std::vector<std::string_view> addresses;
    for (const auto& [address, peer] : m_peers) {
        if (!m_coordinators.contains(address) || !isLive(peer))
            addresses.push_back(address);
    }
    transmit(addresses, update);
}

void FleetSync::sendPeerList(const std::string& address)
{
    FleetUpdate update = makeUpdate(updateInterval());
    update.livePeerAddresses = liveAddresses();
    transmit(address, update);
}

void FleetSync::rejectMessage(const Error& error)
{
    m_context.metrics.add(Counter::PeerRejected, { "malformed" });
    logEvent(LogLevel::Warning, "peer_message_rejected", { { "reason", error.message } });
}

void FleetSync::onMessage(std::string_view bytes)
{
    m_context.metrics.add(Counter::ControlBytes, { "received", "peer" }, static_cast<double>(bytes.size()));
    if (isPlacementRequest(bytes)) {
        auto placementRequest = decodePlacementRequest(bytes, m_context.clock.now());
        if (placementRequest)
            m_context.onPlacementRequest(placementRequest.value());
        else
            rejectMessage(placementRequest.error());
        return;
    }
    if (isPlacementReply(bytes)) {
        auto reply = decodePlacementReply(bytes);
        if (reply)
            m_context.onPlacementReply(reply.value());
        else
            rejectMessage(reply.error());
        return;
    }
    if (isStoreConfirmation(bytes)) {
        auto confirmation = decodeStoreConfirmation(bytes);
        if (confirmation)
            onStoreConfirmation(confirmation.value());
        else
            rejectMessage(confirmation.error());
        return;
    }
    auto update = decodeFleetUpdate(bytes, m_context.clock.now());
    if (update)
        onFleetUpdate(update.value());
    else
        rejectMessage(update.error());
}

void FleetSync::onFleetUpdate(const FleetUpdate& update)
{
    if (update.instanceId == m_options.instanceId)
        return;
    addUnannouncedPeer(update.address);
    auto found = m_peers.find(update.address);
    if (found == m_peers.end())
        return; // From an earlier instance of this daemon, whose address is never added, or there are too many peers.
    applyUpdate(update, found->second);
}

void FleetSync::discardInstanceState(Peer& peer)
{
    clearPeerLoad(m_context.board.fleetView, peer.instanceId);
    m_context.board.shares.peerRates.erase(peer.instanceId);
    peer.isSilent = true;
}

void FleetSync::applyUpdate(const FleetUpdate& update, Peer& peer)
{
    RouterBlackboard& board = m_context.board;
    Millis now = m_context.clock.now();
    if (peer.instanceId != update.instanceId) {
        // The daemon was restarted: requests of the earlier instance ended with it.
        discardInstanceState(peer);
        peer.instanceId = update.instanceId;
        peer.confirmationReceivedAt = {};
        peer.sequence = 0;
        peer.suspectedAt = {};
        logEvent(LogLevel::Info, "peer_started", { { "peer", update.daemonId }, { "address", update.address } });
        if (usesCoordinators() || !board.crashes.quarantines.empty()) {
            FleetUpdate reply = makeUpdate(updateInterval());
            reply.crashEvidence = recentEvidence();
            transmit(update.address, reply);
        }
    } else if (peer.isSilent && peer.lastReceived != Millis {}) {
        logEvent(LogLevel::Info, "peer_regained",
            { { "peer", update.daemonId }, { "silent_ms", (now - peer.lastReceived).count } });
    }
    peer.isSilent = false;
    peer.lastReceived = now;
    for (const SentPrompt& prompt : update.sentPrompts)
        recordPeerPrompt(board.fleetView, prompt.endpoint, prompt.prompt, now);
    mergeEvidence(board.crashes, crashAttributionOptions, update.crashEvidence, now);
    for (const RefusalReport& refusal : update.refusals)
        board.refusals.record(refusal.contentHash, now - Millis { refusal.ageMs }, now);
    for (const AttemptReport& report : update.attemptReports)
        applyAttemptReport(board.fleetView, report, now);
    if (update.sequence >= peer.sequence) // Otherwise a newer update was received first.
        applyLatestState(update, peer);
}

void FleetSync::applyLatestState(const FleetUpdate& update, Peer& peer)
{
    RouterBlackboard& board = m_context.board;
    Millis now = m_context.clock.now();
    peer.sequence = update.sequence;
    peer.maxUpdateInterval = update.maxUpdateInterval;
    peer.cpuCores = update.cpuCores;
    peer.mayCoordinate = update.mayCoordinate && !update.isLeaving;
    if (update.isSnapshot)
        clearPeerLoad(board.fleetView, update.instanceId);
    for (const EndpointLoadUpdate& item : update.endpointLoads)
        setPeerLoad(board.fleetView, update.instanceId, item.endpoint, item.load);
    if (update.lastGrantNumber != 0)
        confirmGrants(board.fleetView, update.instanceId, update.lastGrantNumber);
    if (!update.workspaceRates.empty())
        board.shares.peerRates[update.instanceId] = update.workspaceRates;
    for (const std::string& address : update.livePeerAddresses)
        addUnannouncedPeer(address);
    updateVersions(peer,
        { .configurationVersion = update.configurationVersion,
            .registrationsPosition = update.registrationsPosition,
            .operatorPosition = update.operatorPosition });
    // A daemon that has just started may have only the addresses of its seeds.
    if (update.knownDaemonCount < livePeerCount() + 1 && now - peer.peerListSentAt >= peerListInterval) {
        peer.peerListSentAt = now;
        sendPeerList(update.address);
    }
    if (update.isLeaving) {
        discardInstanceState(peer);
        peer.lastReceived = {};
        peer.confirmationReceivedAt = {};
        logEvent(LogLevel::Info, "peer_left", { { "peer", update.daemonId } });
    }
    if (!update.endpointLoads.empty())
        m_context.onPeerLoadChanged();
}

bool FleetSync::hasNewerDocuments(const Peer& peer) const
{
    DeploymentVersions ownVersions = m_context.source.versions();
    if (peer.versions.configurationVersion > ownVersions.configurationVersion)
        return true;
    bool isOwnReadOutdated = m_storeRole == StoreRole::Follower
        || m_context.clock.now() - m_context.source.registrationsReadAt() > registrationReadTolerance;
    return isOwnReadOutdated
        && (peer.versions.registrationsPosition > ownVersions.registrationsPosition
            || peer.versions.operatorPosition > ownVersions.operatorPosition);
}

bool FleetSync::isDocumentSource(const Peer& peer) const
{
    Millis now = m_context.clock.now();
    if (peer.newerDocumentsSince == Millis {} || !isLive(peer) || !hasNewerDocuments(peer))
        return false;
    if (peer.documentsRequestedAt != Millis {} && now - peer.documentsRequestedAt < documentRetryDelay)
        return false;
    bool isOwnReader = m_storeRole == StoreRole::Follower && isStoreReader(peer);
    return isOwnReader || now - peer.newerDocumentsSince >= documentLagTolerance;
}

void FleetSync::fetchDocumentsFromPeer()
{
    Millis now = m_context.clock.now();
    if (m_isFetchingDocuments || now - m_documentsRequestedAt < importInterval(possibleDaemonCount()))
        return;
    // The followers are spread over the readers by rendezvous hashing.
    const std::string* best = nullptr;
    auto score = [&](const std::string& address) {
        return std::pair(isStoreReader(m_peers.at(address)), rendezvousScore(m_options.address, address));
    };
    for (const auto& [address, peer] : m_peers) {
        if (isDocumentSource(peer) && (!best || score(address) > score(*best)))
            best = &address;
    }
    if (!best)
        return;
    std::string address = *best;
    m_documentsRequestedAt = now;
    m_peers.at(address).documentsRequestedAt = now;
    HttpRequest request {
        .address = address, .target = formatDocumentsTarget(m_context.source.versions()), .timeout = documentTimeout
    };
    m_context.http.send(std::move(request),
        [this, address](const Result<HttpResponse>& response) { handleDocuments(address, response); });
    m_isFetchingDocuments = true;
}

// While changes follow each other, peers always have newer documents; only a daemon that imports none lags.
void FleetSync::restartDocumentLag()
{
    for (auto& [address, peer] : m_peers) {
        peer.newerDocumentsSince = {};
        updateVersions(peer, peer.versions);
    }
}

void FleetSync::handleDocuments(const std::string& address, const Result<HttpResponse>& response)
{
    m_isFetchingDocuments = false;
    if (!response || response.value().status != 200) {
        logEvent(LogLevel::Warning, "peer_documents_failed",
            { { "peer", address },
                { "reason", response ? std::to_string(response.value().status) : response.error().message } });
        return;
    }
    DeploymentVersions before = m_context.source.versions();
    m_context.source.importDocuments(response.value().body);
    DeploymentVersions versions = m_context.source.versions();
    if (versions != before)
        restartDocumentLag();
    logEvent(LogLevel::Info, "peer_documents_read",
        { { "peer", address }, { "bytes", response.value().body.size() },
            { "configuration", versions.configurationVersion }, { "position", versions.registrationsPosition } });
    auto peer = m_peers.find(address);
    if (peer != m_peers.end() && !hasNewerDocuments(peer->second))
        peer->second.documentsRequestedAt = {};
}

void FleetSync::tick()
{
    Millis now = m_context.clock.now();
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        Peer& peer = entry->second;
        bool hasReceived = peer.lastReceived != Millis {};
        if (!peer.isSilent && !isLive(peer)) {
            logEvent(LogLevel::Warning, "peer_silent",
                { { "address", entry->first }, { "silent_ms", (now - peer.lastReceived).count } });
            discardInstanceState(peer);
        }
        if (hasNewerDocuments(peer)) {
            if (peer.newerDocumentsSince == Millis {})
                peer.newerDocumentsSince = now;
        } else {
            peer.newerDocumentsSince = {};
        }
        Millis lastActivity = hasReceived ? peer.lastReceived : peer.addedAt;
        if (!peer.isAnnounced && now - lastActivity > unannouncedPeerRetention)
            entry = m_peers.erase(entry);
        else
            ++entry;
    }
    fetchDocumentsFromPeer();
    updateStoreRole();
    sendStoreConfirmations();
    refreshCoordinators();
    if (now - m_lastSnapshotSent >= snapshotInterval) {
        m_lastSnapshotSent = now;
        sendUpdates(true);
    }
    if (!usesCoordinators())
        return;
    expireGrants(m_context.board.fleetView, now);
    if (m_evidenceRepeatAt != Millis {} && now >= m_evidenceRepeatAt) {
        m_evidenceRepeatAt = {};
        m_isHeartbeatDue = true;
    }
    if (!m_heartbeatEvidence.empty() && now - m_lastEvidenceSent >= evidenceInterval) {
        limitEvidence(m_heartbeatEvidence);
        sendHeartbeats(std::exchange(m_heartbeatEvidence, {}));
    }
    bool isIntervalOver = now - m_lastHeartbeatSent >= updateInterval();
    if (isIntervalOver || std::exchange(m_isHeartbeatDue, false)) {
        m_lastHeartbeatSent = now;
        sendHeartbeats(recentEvidence());
    }
    // Addresses spread by gossip: a list that is sent to one peer at a time reaches all daemons within seconds.
    if (now - m_lastPeerListSent >= heartbeatInterval()) {
        m_lastPeerListSent = now;
        if (std::vector<std::string> peerAddresses = liveAddresses(); !peerAddresses.empty())
            sendPeerList(peerAddresses[m_sequence % peerAddresses.size()]);
    }
}

void FleetSync::announceLeave()
{
    m_isLeaving = true;
    sendUpdates(true);
    if (usesCoordinators())
        sendHeartbeats(recentEvidence());
}

}
