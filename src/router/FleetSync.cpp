#include "router/FleetSync.h"

#include "net/EventPriority.h"
#include "observe/Logging.h"
#include "router/FleetUpdateCodec.h"
#include "router/PlacementCodec.h"
#include "routing/Shards.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace jasminestack {

namespace {

    // All state is repeated at this interval, which repairs what lost messages left wrong.
    constexpr Millis repeatInterval { 400 };

    // A peer that is silent for this long is taken for dead: its requests have ended with its connections.
    constexpr Millis silenceLimit { 1'500 };

    // An address that nobody answers and that is not announced at the store is forgotten after this time.
    constexpr Millis forgetAfter { 60'000 };

    // The store tells all daemons at about the same time; a peer is asked only if it stays ahead for this long.
    constexpr Millis aheadTolerance { 150 };

    // Registrations of the store are read at intervals, so a short lag behind a peer is ordinary.
    constexpr Millis registrationLag { 900 };

    // With coordinators: daemons that share no shard tell each other only that they live.
    constexpr Millis helloInterval { 3'000 };

    // Prompt parts in one message of a shard's handover; about 900 bytes, which fit into one packet.
    constexpr std::size_t partsPerMessage = 60;

    // A peer that knows fewer daemons is told all of them, at most once in this time.
    constexpr Millis listInterval { 400 };

    // A peer is silent after this many of the intervals that it promised.
    constexpr std::int64_t promisesMissed = 3;

    // A coordinator that did not answer gets no questions for this time, and until it is heard again.
    constexpr Millis suspicion { 1'000 };

    // A coordinator hears of each change at once: its decisions are as good as its picture.
    constexpr Millis coordinatedFlush { 3 };

    constexpr Millis documentTimeout { 1'000 };
    constexpr Millis crashRepeat { 1'500 };

    // Messages that one daemon receives from all others are bounded by this rate: the interval between two messages of
    // a daemon grows with the number of its peers.
    constexpr std::int64_t messagesPerSecond = 1'500;
    constexpr Millis shortestInterval { 3 };
    constexpr Millis longestInterval { 100 };

}

FleetSync::FleetSync(Context context, FleetSyncOptions options)
    : m_context(std::move(context))
    , m_options(std::move(options))
    , m_flushTimer(evtimer_new(
          &m_context.base,
          [](int, short, void* self) {
              auto& exchange = *static_cast<FleetSync*>(self);
              exchange.m_flushArmed = false;
              exchange.send(false);
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
    send(true);
}

void FleetSync::addPeer(const std::string& address)
{
    if (address == m_options.address || address.empty())
        return;
    auto [position, added] = m_peers.try_emplace(address);
    if (!added)
        return;
    position->second.firstKnown = m_context.clock.now();
    m_heartbeatDue = true;
}

void FleetSync::setAnnounced(const std::vector<std::string>& addresses)
{
    for (auto& [address, peer] : m_peers)
        peer.announced = false;
    for (const std::string& address : addresses) {
        addPeer(address);
        if (auto found = m_peers.find(address); found != m_peers.end())
            found->second.announced = true;
    }
}

std::size_t FleetSync::possibleDaemons() const { return m_peers.size() + 1; }

bool FleetSync::isLive(const Peer& peer) const
{
    if (peer.lastReceived == Millis {})
        return false;
    Millis limit = std::max(silenceLimit, Millis { peer.maxUpdateInterval.count * promisesMissed });
    return m_context.clock.now() - peer.lastReceived < limit;
}

std::size_t FleetSync::livePeers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return isLive(entry.second); }));
}

Millis FleetSync::flushInterval() const
{
    if (coordinated())
        return coordinatedFlush;
    Millis interval { static_cast<std::int64_t>(livePeers()) * 1'000 / messagesPerSecond };
    return std::clamp(interval, shortestInterval, longestInterval);
}

bool FleetSync::isCandidate(const Peer& peer) const
{
    if (!isLive(peer) || !peer.mayCoordinate)
        return false;
    bool suspected = peer.suspectedAt != Millis {}
        && (m_context.clock.now() - peer.suspectedAt < suspicion || peer.lastReceived <= peer.suspectedAt);
    return !suspected;
}

void FleetSync::refreshCoordinators()
{
    std::map<ShardId, std::string> assignment;
    if (coordinated()) {
        std::vector<CoordinatorCandidate> candidates;
        if (m_mayCoordinate)
            candidates.push_back({ .address = m_options.address, .cpuCores = m_options.cpuCores });
        for (const auto& [address, peer] : m_peers) {
            if (isCandidate(peer))
                candidates.push_back({ .address = address, .cpuCores = peer.cpuCores });
        }
        std::vector<ShardId> shards;
        for (const auto& [shard, members] : m_context.board.fleetView.endpointsByShard)
            shards.push_back(shard);
        assignment = assignCoordinators(shards, candidates);
    }
    if (assignment == m_assignment)
        return;
    for (const auto& [shard, address] : assignment) {
        auto before = m_assignment.find(shard);
        if (before != m_assignment.end() && before->second == m_options.address && address != m_options.address)
            handOver(shard, address);
    }
    std::size_t own = 0;
    for (const auto& [shard, address] : assignment)
        own += address == m_options.address ? 1U : 0U;
    m_assignment = std::move(assignment);
    m_coordinators.clear();
    for (const auto& [shard, address] : m_assignment)
        m_coordinators.insert(address);
    logEvent(LogLevel::Info, "coordinators_changed",
        { { "shards", m_assignment.size() }, { "coordinators", m_coordinators.size() }, { "own_shards", own } });
    m_heartbeatDue = true;
    m_lastRepeat = {}; // New coordinators need this daemon's loads at once.
}

void FleetSync::handOver(ShardId shard, const std::string& successor)
{
    for (const EndpointView* view : m_context.board.fleetView.endpointsByShard[shard]) {
        std::vector<PromptPart> parts(view->promptCache.parts().begin(), view->promptCache.parts().end());
        // The least recently used ones first, so that the successor has them in the same order.
        for (std::size_t end = parts.size(); end > 0;) {
            std::size_t begin = end - std::min(end, partsPerMessage);
            FleetUpdate news = makeUpdate(coordinatesSomething() ? repeatInterval : helloInterval);
            news.sentPrompts.push_back({ .endpoint = view->instanceId,
                .prompt = { parts.begin() + static_cast<std::ptrdiff_t>(begin),
                    parts.begin() + static_cast<std::ptrdiff_t>(end) } });
            transmit(successor, news);
            end = begin;
        }
    }
    logEvent(LogLevel::Info, "shard_handed_over", { { "shard", shard }, { "successor", successor } });
}

std::string FleetSync::coordinatorOf(ShardId shard) const
{
    auto found = m_assignment.find(shard);
    return found == m_assignment.end() || found->second == m_options.address ? std::string() : found->second;
}

void FleetSync::suspect(const std::string& address)
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

void FleetSync::setMayCoordinate(bool may)
{
    if (std::exchange(m_mayCoordinate, may) == may)
        return;
    refreshCoordinators();
    m_heartbeatDue = true;
}

void FleetSync::flushSoon()
{
    if (m_flushArmed)
        return;
    m_flushArmed = true;
    Millis due = m_lastSent + flushInterval();
    timeval span = toTimeval(std::max(due - m_context.clock.now(), Millis {}));
    evtimer_add(m_flushTimer.get(), &span);
}

FleetUpdate FleetSync::makeUpdate(Millis nextWithin)
{
    DeploymentVersions versions = m_context.source.versions();
    FleetUpdate news { .instanceId = m_options.instanceId,
        .daemonId = m_options.daemonId,
        .address = m_options.address,
        .sequence = ++m_sequence,
        .configurationVersion = versions.configurationVersion,
        .registrationsPosition = versions.registrationsPosition,
        .leaving = m_leaving,
        .mayCoordinate = m_mayCoordinate,
        .cpuCores = m_options.cpuCores,
        .maxUpdateInterval = nextWithin,
        .knownDaemonCount = static_cast<std::uint32_t>(possibleDaemons()) };
    for (const auto& [time, mark] : m_recentCrashes)
        news.crashes.push_back(mark);
    return news;
}

void FleetSync::transmit(const std::string& address, const FleetUpdate& news)
{
    std::string bytes = encodeFleetUpdate(news);
    m_context.transport.send(address, bytes);
    m_context.metrics.add(Counter::ControlBytes, { "sent", "fleet_news" }, static_cast<double>(bytes.size()));
    m_context.metrics.add(Counter::ControlMessages, { "sent", "fleet_news" }, 1.0);
}

void FleetSync::send(bool all)
{
    RouterBlackboard& board = m_context.board;
    Millis now = m_context.clock.now();
    m_lastSent = now;
    m_heartbeatDue = m_heartbeatDue || !board.crashMarks.empty();
    for (const CrashMark& mark : board.crashMarks)
        m_recentCrashes.emplace_back(now, mark);
    board.crashMarks.clear();
    std::erase_if(m_recentCrashes, [&](const auto& item) { return now - item.first > crashRepeat; });
    if (coordinated())
        sendToCoordinators(all);
    else
        sendToAll(all);
    board.sentPrompts.clear();
    board.newRefusals.clear();
    board.attemptReports.clear();
}

void FleetSync::sendToAll(bool all)
{
    RouterBlackboard& board = m_context.board;
    Millis now = m_context.clock.now();
    FleetUpdate news = makeUpdate(repeatInterval);
    news.isSnapshot = all;
    news.sentPrompts = std::move(board.sentPrompts);
    for (const auto& [contentHash, firstArrival] : board.newRefusals)
        news.refusals.push_back(
            { .contentHash = contentHash, .age = static_cast<std::uint32_t>((now - firstArrival).count) });
    for (auto& [id, view] : board.fleetView.endpoints) {
        bool changed = std::exchange(view.ownLoadChanged, false);
        if (all ? view.ownLoad == EndpointLoad {} : !changed)
            continue;
        news.loads.push_back({ .endpoint = view.instanceId, .load = view.ownLoad });
    }
    if (all) {
        news.rates = ownRates(board.shares, now);
        news.livePeerAddresses = liveAddresses();
    }
    std::string bytes = encodeFleetUpdate(news);
    std::size_t receivers = 0;
    for (const auto& [address, peer] : m_peers) {
        // Daemons that are not heard get the repeated state only.
        if (!all && !isLive(peer))
            continue;
        m_context.transport.send(address, bytes);
        ++receivers;
    }
    m_context.metrics.add(
        Counter::ControlBytes, { "sent", "fleet_news" }, static_cast<double>(bytes.size() * receivers));
    m_context.metrics.add(Counter::ControlMessages, { "sent", "fleet_news" }, static_cast<double>(receivers));
}

void FleetSync::sendToCoordinators(bool all)
{
    RouterBlackboard& board = m_context.board;
    std::map<std::string, FleetUpdate> messages;
    auto messageFor = [&](const EndpointView& view) -> FleetUpdate* {
        std::string address = coordinatorOf(view.shard);
        return address.empty() ? nullptr : &messages[address];
    };
    for (auto& [id, view] : board.fleetView.endpoints) {
        bool changed = std::exchange(view.ownLoadChanged, false);
        if (all ? view.ownLoad == EndpointLoad {} : !changed)
            continue;
        if (FleetUpdate* news = messageFor(view))
            news->loads.push_back({ .endpoint = view.instanceId, .load = view.ownLoad });
    }
    auto forEndpoint = [&](EndpointInstanceId endpoint) -> FleetUpdate* {
        auto found = board.fleetView.endpointsByInstance.find(endpoint);
        return found == board.fleetView.endpointsByInstance.end() ? nullptr : messageFor(*found->second);
    };
    for (const AttemptReport& answer : board.attemptReports) {
        if (FleetUpdate* news = forEndpoint(answer.endpoint))
            news->attemptReports.push_back(answer);
    }
    for (SentPrompt& prompt : board.sentPrompts) {
        if (FleetUpdate* news = forEndpoint(prompt.endpoint))
            news->sentPrompts.push_back(std::move(prompt));
    }
    std::vector<WorkspaceRate> rates;
    if (all) {
        for (const std::string& address : m_coordinators) {
            if (address != m_options.address)
                messages[address];
        }
        if (coordinatesSomething())
            rates = ownRates(board.shares, m_context.clock.now());
    }
    for (auto& [address, message] : messages) {
        FleetUpdate news = makeUpdate(repeatInterval);
        news.isSnapshot = all;
        news.loads = std::move(message.loads);
        news.attemptReports = std::move(message.attemptReports);
        news.sentPrompts = std::move(message.sentPrompts);
        news.rates = rates;
        if (auto peer = m_peers.find(address); peer != m_peers.end())
            news.lastGrantNumber = m_context.lastGrantNumber(peer->second.instanceId);
        transmit(address, news);
    }
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

void FleetSync::sendHeartbeats()
{
    FleetUpdate news = makeUpdate(coordinatesSomething() ? repeatInterval : helloInterval);
    for (const auto& [address, peer] : m_peers) {
        if (!m_coordinators.contains(address) || !isLive(peer))
            transmit(address, news);
    }
}

void FleetSync::sendPeerList(const std::string& address)
{
    FleetUpdate news = makeUpdate(coordinatesSomething() ? repeatInterval : helloInterval);
    news.livePeerAddresses = liveAddresses();
    transmit(address, news);
}

void FleetSync::reject(const Error& error)
{
    m_context.metrics.add(Counter::PeerRejected, { "malformed" });
    logEvent(LogLevel::Warning, "peer_message_rejected", { { "reason", error.message } });
}

void FleetSync::onMessage(std::string_view bytes)
{
    m_context.metrics.add(Counter::ControlBytes, { "received", "peer" }, static_cast<double>(bytes.size()));
    if (isPlacementRequest(bytes)) {
        auto ask = decodePlacementRequest(bytes, m_context.clock.now());
        if (ask)
            m_context.onPlacementRequest(ask.value());
        else
            reject(ask.error());
        return;
    }
    if (isPlacementReply(bytes)) {
        auto reply = decodePlacementReply(bytes);
        if (reply)
            m_context.onPlacementReply(reply.value());
        else
            reject(reply.error());
        return;
    }
    auto news = decodeFleetUpdate(bytes);
    if (news)
        onUpdate(news.value());
    else
        reject(news.error());
}

void FleetSync::onUpdate(const FleetUpdate& news)
{
    if (news.instanceId == m_options.instanceId)
        return;
    addPeer(news.address);
    auto found = m_peers.find(news.address);
    if (found == m_peers.end())
        return; // An earlier process of this daemon.
    apply(news, found->second);
}

void FleetSync::forgetProcess(Peer& peer)
{
    clearPeerLoad(m_context.board.fleetView, peer.instanceId);
    m_context.board.shares.peerRates.erase(peer.instanceId);
    peer.silent = true;
}

void FleetSync::apply(const FleetUpdate& news, Peer& peer)
{
    RouterBlackboard& board = m_context.board;
    Millis now = m_context.clock.now();
    if (peer.instanceId != news.instanceId) {
        // Another process: what the earlier one had at the endpoints has ended with it.
        forgetProcess(peer);
        peer.instanceId = news.instanceId;
        peer.sequence = 0;
        peer.suspectedAt = {};
        logEvent(LogLevel::Info, "peer_started", { { "peer", news.daemonId }, { "address", news.address } });
        if (coordinated())
            transmit(news.address, makeUpdate(coordinatesSomething() ? repeatInterval : helloInterval));
    } else if (peer.silent && peer.lastReceived != Millis {}) {
        logEvent(LogLevel::Info, "peer_regained",
            { { "peer", news.daemonId }, { "silent_ms", (now - peer.lastReceived).count } });
    }
    peer.silent = false;
    peer.lastReceived = now;
    for (const SentPrompt& prompt : news.sentPrompts)
        recordPeerPrompt(board.fleetView, prompt.endpoint, prompt.prompt, now);
    for (const CrashMark& mark : news.crashes)
        onCrashMark(board.crashes, crashGuardOptions, mark, now);
    for (const RefusalReport& refusal : news.refusals)
        board.refusals.record(refusal.contentHash, now - Millis { refusal.age }, now);
    for (const AttemptReport& answer : news.attemptReports)
        applyAttemptReport(board.fleetView, answer, now);
    if (news.sequence >= peer.sequence) // Otherwise it was overtaken by a newer message.
        applyState(news, peer);
}

void FleetSync::applyState(const FleetUpdate& news, Peer& peer)
{
    RouterBlackboard& board = m_context.board;
    Millis now = m_context.clock.now();
    peer.sequence = news.sequence;
    peer.maxUpdateInterval = news.maxUpdateInterval;
    peer.cpuCores = news.cpuCores;
    peer.mayCoordinate = news.mayCoordinate && !news.leaving;
    if (news.isSnapshot)
        clearPeerLoad(board.fleetView, news.instanceId);
    for (const EndpointLoadUpdate& item : news.loads)
        setPeerLoad(board.fleetView, news.instanceId, item.endpoint, item.load);
    if (news.lastGrantNumber != 0)
        confirmGrants(board.fleetView, news.instanceId, news.lastGrantNumber);
    if (!news.rates.empty())
        board.shares.peerRates[news.instanceId] = news.rates;
    for (const std::string& address : news.livePeerAddresses)
        addPeer(address);
    peer.versions
        = { .configurationVersion = news.configurationVersion, .registrationsPosition = news.registrationsPosition };
    if (!isAhead(peer))
        peer.aheadSince = {};
    else if (peer.aheadSince == Millis {})
        peer.aheadSince = now;
    // A cold daemon may know its seeds only.
    if (news.knownDaemonCount < livePeers() + 1 && now - peer.peerListSentAt >= listInterval) {
        peer.peerListSentAt = now;
        sendPeerList(news.address);
    }
    if (news.leaving) {
        forgetProcess(peer);
        peer.lastReceived = {};
        logEvent(LogLevel::Info, "peer_left", { { "peer", news.daemonId } });
    }
    if (!news.loads.empty())
        m_context.onPeerLoadChanged();
}

bool FleetSync::isAhead(const Peer& peer) const
{
    DeploymentVersions own = m_context.source.versions();
    if (peer.versions.configurationVersion > own.configurationVersion)
        return true;
    bool lagging = m_context.clock.now() - m_context.source.registrationsReadAt() > registrationLag;
    return lagging && peer.versions.registrationsPosition > own.registrationsPosition;
}

void FleetSync::fetchFromPeer()
{
    if (m_fetching)
        return;
    Millis now = m_context.clock.now();
    auto source = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return peer.aheadSince != Millis {} && now - peer.aheadSince >= aheadTolerance && isLive(peer) && isAhead(peer);
    });
    if (source == m_peers.end())
        return;
    m_fetching = true;
    std::string address = source->first;
    // If this peer does not answer, another one is asked next.
    source->second.aheadSince = now;
    HttpRequest request { .address = address, .target = "/documents", .timeout = documentTimeout };
    m_context.http.send(std::move(request), [this, address](Result<HttpResponse> response) {
        m_fetching = false;
        if (!response || response.value().status != 200) {
            logEvent(LogLevel::Warning, "peer_documents_failed",
                { { "peer", address },
                    { "reason", response ? std::to_string(response.value().status) : response.error().message } });
            return;
        }
        logEvent(
            LogLevel::Info, "peer_documents_read", { { "peer", address }, { "bytes", response.value().body.size() } });
        m_context.source.importDocuments(response.value().body);
    });
}

void FleetSync::tick()
{
    Millis now = m_context.clock.now();
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        Peer& peer = entry->second;
        bool heard = peer.lastReceived != Millis {};
        if (!peer.silent && !isLive(peer)) {
            logEvent(LogLevel::Warning, "peer_silent",
                { { "address", entry->first }, { "silent_ms", (now - peer.lastReceived).count } });
            forgetProcess(peer);
        }
        if (isAhead(peer)) {
            if (peer.aheadSince == Millis {})
                peer.aheadSince = now;
        } else {
            peer.aheadSince = {};
        }
        Millis since = heard ? peer.lastReceived : peer.firstKnown;
        if (!peer.announced && now - since > forgetAfter)
            entry = m_peers.erase(entry);
        else
            ++entry;
    }
    fetchFromPeer();
    refreshCoordinators();
    if (now - m_lastRepeat >= repeatInterval) {
        m_lastRepeat = now;
        send(true);
    }
    if (!coordinated())
        return;
    expireGrants(m_context.board.fleetView, now);
    bool due = now - m_lastHeartbeat >= (coordinatesSomething() ? repeatInterval : helloInterval);
    if (due || std::exchange(m_heartbeatDue, false)) {
        m_lastHeartbeat = now;
        sendHeartbeats();
    }
    // Addresses spread by gossip: a list to one peer at a time reaches all within seconds.
    if (now - m_lastPeerList >= helloInterval) {
        m_lastPeerList = now;
        if (std::vector<std::string> live = liveAddresses(); !live.empty())
            sendPeerList(live[m_sequence % live.size()]);
    }
}

void FleetSync::leave()
{
    m_leaving = true;
    send(true);
    if (coordinated())
        sendHeartbeats();
}

}
