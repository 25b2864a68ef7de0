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

FleetExchange::FleetExchange(Context context, FleetExchangeOptions options)
    : m_context(std::move(context))
    , m_options(std::move(options))
    , m_flushTimer(evtimer_new(
          &m_context.base,
          [](int, short, void* self) {
              auto& exchange = *static_cast<FleetExchange*>(self);
              exchange.m_flushArmed = false;
              exchange.send(false);
          },
          this))
{
    setPriority(*m_flushTimer, EventPriority::Control);
}

FleetExchange::~FleetExchange() = default;

void FleetExchange::start()
{
    m_context.transport.onReceive([this](std::string_view bytes) { onMessage(bytes); });
    for (const std::string& seed : m_options.seeds)
        addPeer(seed);
    send(true);
}

void FleetExchange::addPeer(const std::string& address)
{
    if (address == m_options.address || address.empty())
        return;
    auto [position, added] = m_peers.try_emplace(address);
    if (!added)
        return;
    position->second.firstKnown = m_context.clock.now();
    m_helloSoon = true;
}

void FleetExchange::setAnnounced(const std::vector<std::string>& addresses)
{
    for (auto& [address, peer] : m_peers)
        peer.announced = false;
    for (const std::string& address : addresses) {
        addPeer(address);
        if (auto found = m_peers.find(address); found != m_peers.end())
            found->second.announced = true;
    }
}

std::size_t FleetExchange::possibleDaemons() const { return m_peers.size() + 1; }

bool FleetExchange::isLive(const Peer& peer) const
{
    if (peer.lastHeard == Millis {})
        return false;
    Millis limit = std::max(silenceLimit, Millis { peer.promised.count * promisesMissed });
    return m_context.clock.now() - peer.lastHeard < limit;
}

std::size_t FleetExchange::livePeers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return isLive(entry.second); }));
}

Millis FleetExchange::flushInterval() const
{
    if (coordinated())
        return coordinatedFlush;
    Millis interval { static_cast<std::int64_t>(livePeers()) * 1'000 / messagesPerSecond };
    return std::clamp(interval, shortestInterval, longestInterval);
}

bool FleetExchange::isCandidate(const Peer& peer) const
{
    if (!isLive(peer) || !peer.mayCoordinate)
        return false;
    bool suspected = peer.suspectedAt != Millis {}
        && (m_context.clock.now() - peer.suspectedAt < suspicion || peer.lastHeard <= peer.suspectedAt);
    return !suspected;
}

void FleetExchange::refreshCoordinators()
{
    std::map<ShardKey, std::string> assignment;
    if (coordinated()) {
        std::vector<CoordinatorCandidate> candidates;
        if (m_mayCoordinate)
            candidates.push_back({ .address = m_options.address, .processorShare = m_options.processorShare });
        for (const auto& [address, peer] : m_peers) {
            if (isCandidate(peer))
                candidates.push_back({ .address = address, .processorShare = peer.processorShare });
        }
        std::vector<ShardKey> shards;
        for (const auto& [shard, members] : m_context.board.picture.byShard)
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
    m_helloSoon = true;
    m_lastRepeat = {}; // New coordinators need this daemon's loads at once.
}

void FleetExchange::handOver(ShardKey shard, const std::string& successor)
{
    for (const EndpointView* view : m_context.board.picture.byShard[shard]) {
        std::vector<PromptPart> parts(view->cache.parts().begin(), view->cache.parts().end());
        // The least recently used ones first, so that the successor has them in the same order.
        for (std::size_t end = parts.size(); end > 0;) {
            std::size_t begin = end - std::min(end, partsPerMessage);
            FleetNews news = freshNews(coordinatesSomething() ? repeatInterval : helloInterval);
            news.prompts.push_back({ .endpoint = view->key,
                .prompt = { parts.begin() + static_cast<std::ptrdiff_t>(begin),
                    parts.begin() + static_cast<std::ptrdiff_t>(end) } });
            transmit(successor, news);
            end = begin;
        }
    }
    logEvent(LogLevel::Info, "shard_handed_over", { { "shard", shard }, { "successor", successor } });
}

std::string FleetExchange::coordinatorOf(ShardKey shard) const
{
    auto found = m_assignment.find(shard);
    return found == m_assignment.end() || found->second == m_options.address ? std::string() : found->second;
}

void FleetExchange::suspect(const std::string& address)
{
    auto found = m_peers.find(address);
    if (found == m_peers.end())
        return;
    found->second.suspectedAt = m_context.clock.now();
    refreshCoordinators();
}

std::string FleetExchange::addressOf(DaemonKey daemon) const
{
    auto found
        = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return entry.second.key == daemon; });
    return found == m_peers.end() ? std::string() : found->first;
}

void FleetExchange::setMayCoordinate(bool may)
{
    if (std::exchange(m_mayCoordinate, may) == may)
        return;
    refreshCoordinators();
    m_helloSoon = true;
}

void FleetExchange::flushSoon()
{
    if (m_flushArmed)
        return;
    m_flushArmed = true;
    Millis due = m_lastSent + flushInterval();
    timeval span = toTimeval(std::max(due - m_context.clock.now(), Millis {}));
    evtimer_add(m_flushTimer.get(), &span);
}

FleetNews FleetExchange::freshNews(Millis nextWithin)
{
    DeploymentVersions versions = m_context.source.versions();
    FleetNews news { .daemon = m_options.key,
        .daemonId = m_options.daemonId,
        .address = m_options.address,
        .sequence = ++m_sequence,
        .configurationVersion = versions.configuration,
        .registrationsPosition = versions.registrations,
        .leaving = m_leaving,
        .mayCoordinate = m_mayCoordinate,
        .processorShare = m_options.processorShare,
        .nextWithin = nextWithin,
        .knownDaemons = static_cast<std::uint32_t>(possibleDaemons()) };
    for (const auto& [time, mark] : m_recentCrashes)
        news.crashes.push_back(mark);
    return news;
}

void FleetExchange::transmit(const std::string& address, const FleetNews& news)
{
    std::string bytes = encodeFleetNews(news);
    m_context.transport.send(address, bytes);
    m_context.metrics.add(Counter::ControlBytes, { "sent", "fleet_news" }, static_cast<double>(bytes.size()));
    m_context.metrics.add(Counter::ControlMessages, { "sent", "fleet_news" }, 1.0);
}

void FleetExchange::send(bool all)
{
    RouterBoard& board = m_context.board;
    Millis now = m_context.clock.now();
    m_lastSent = now;
    m_helloSoon = m_helloSoon || !board.crashMarks.empty();
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
    board.answers.clear();
}

void FleetExchange::sendToAll(bool all)
{
    RouterBoard& board = m_context.board;
    Millis now = m_context.clock.now();
    FleetNews news = freshNews(repeatInterval);
    news.complete = all;
    news.prompts = std::move(board.sentPrompts);
    for (const auto& [contentHash, firstArrival] : board.newRefusals)
        news.refusals.push_back(
            { .contentHash = contentHash, .age = static_cast<std::uint32_t>((now - firstArrival).count) });
    for (auto& [id, view] : board.picture.endpoints) {
        bool changed = std::exchange(view.changed, false);
        if (all ? view.own == EndpointLoad {} : !changed)
            continue;
        news.loads.push_back({ .endpoint = view.key, .load = view.own });
    }
    if (all) {
        news.rates = ownRates(board.shares, now);
        news.peers = liveAddresses();
    }
    std::string bytes = encodeFleetNews(news);
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

void FleetExchange::sendToCoordinators(bool all)
{
    RouterBoard& board = m_context.board;
    std::map<std::string, FleetNews> messages;
    auto messageFor = [&](const EndpointView& view) -> FleetNews* {
        std::string address = coordinatorOf(view.shard);
        return address.empty() ? nullptr : &messages[address];
    };
    for (auto& [id, view] : board.picture.endpoints) {
        bool changed = std::exchange(view.changed, false);
        if (all ? view.own == EndpointLoad {} : !changed)
            continue;
        if (FleetNews* news = messageFor(view))
            news->loads.push_back({ .endpoint = view.key, .load = view.own });
    }
    auto forEndpoint = [&](EndpointKey endpoint) -> FleetNews* {
        auto found = board.picture.byKey.find(endpoint);
        return found == board.picture.byKey.end() ? nullptr : messageFor(*found->second);
    };
    for (const AnswerReport& answer : board.answers) {
        if (FleetNews* news = forEndpoint(answer.endpoint))
            news->answers.push_back(answer);
    }
    for (PromptNews& prompt : board.sentPrompts) {
        if (FleetNews* news = forEndpoint(prompt.endpoint))
            news->prompts.push_back(std::move(prompt));
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
        FleetNews news = freshNews(repeatInterval);
        news.complete = all;
        news.loads = std::move(message.loads);
        news.answers = std::move(message.answers);
        news.prompts = std::move(message.prompts);
        news.rates = rates;
        if (auto peer = m_peers.find(address); peer != m_peers.end())
            news.grantsSeen = m_context.grantsSeen(peer->second.key);
        transmit(address, news);
    }
}

std::vector<std::string> FleetExchange::liveAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : m_peers) {
        if (isLive(peer))
            addresses.push_back(address);
    }
    return addresses;
}

void FleetExchange::sayHello()
{
    FleetNews news = freshNews(coordinatesSomething() ? repeatInterval : helloInterval);
    for (const auto& [address, peer] : m_peers) {
        if (!m_coordinators.contains(address) || !isLive(peer))
            transmit(address, news);
    }
}

void FleetExchange::tellPeers(const std::string& address)
{
    FleetNews news = freshNews(coordinatesSomething() ? repeatInterval : helloInterval);
    news.peers = liveAddresses();
    transmit(address, news);
}

void FleetExchange::reject(const Error& error)
{
    m_context.metrics.add(Counter::PeerRejected, { "malformed" });
    logEvent(LogLevel::Warning, "peer_message_rejected", { { "reason", error.message } });
}

void FleetExchange::onMessage(std::string_view bytes)
{
    m_context.metrics.add(Counter::ControlBytes, { "received", "peer" }, static_cast<double>(bytes.size()));
    if (isPlacementAsk(bytes)) {
        auto ask = decodePlacementAsk(bytes, m_context.clock.now());
        if (ask)
            m_context.onAsk(ask.value());
        else
            reject(ask.error());
        return;
    }
    if (isPlacementReply(bytes)) {
        auto reply = decodePlacementReply(bytes);
        if (reply)
            m_context.onReply(reply.value());
        else
            reject(reply.error());
        return;
    }
    auto news = decodeFleetNews(bytes);
    if (news)
        onNews(news.value());
    else
        reject(news.error());
}

void FleetExchange::onNews(const FleetNews& news)
{
    if (news.daemon == m_options.key)
        return;
    addPeer(news.address);
    auto found = m_peers.find(news.address);
    if (found == m_peers.end())
        return; // An earlier process of this daemon.
    apply(news, found->second);
}

void FleetExchange::forgetProcess(Peer& peer)
{
    dropPeer(m_context.board.picture, peer.key);
    m_context.board.shares.peers.erase(peer.key);
    peer.silent = true;
}

void FleetExchange::apply(const FleetNews& news, Peer& peer)
{
    RouterBoard& board = m_context.board;
    Millis now = m_context.clock.now();
    if (peer.key != news.daemon) {
        // Another process: what the earlier one had at the endpoints has ended with it.
        forgetProcess(peer);
        peer.key = news.daemon;
        peer.sequence = 0;
        peer.suspectedAt = {};
        logEvent(LogLevel::Info, "peer_started", { { "peer", news.daemonId }, { "address", news.address } });
        if (coordinated())
            transmit(news.address, freshNews(coordinatesSomething() ? repeatInterval : helloInterval));
    } else if (peer.silent && peer.lastHeard != Millis {}) {
        logEvent(LogLevel::Info, "peer_regained",
            { { "peer", news.daemonId }, { "silent_ms", (now - peer.lastHeard).count } });
    }
    peer.silent = false;
    peer.lastHeard = now;
    for (const PromptNews& prompt : news.prompts)
        notePeerPrompt(board.picture, prompt.endpoint, prompt.prompt, now);
    for (const CrashMark& mark : news.crashes)
        onCrashMark(board.crashes, crashGuardOptions, mark, now);
    for (const RefusalNews& refusal : news.refusals)
        board.refusals.record(refusal.contentHash, now - Millis { refusal.age }, now);
    for (const AnswerReport& answer : news.answers)
        learn(board.picture, answer, now);
    if (news.sequence >= peer.sequence) // Otherwise it was overtaken by a newer message.
        applyState(news, peer);
}

void FleetExchange::applyState(const FleetNews& news, Peer& peer)
{
    RouterBoard& board = m_context.board;
    Millis now = m_context.clock.now();
    peer.sequence = news.sequence;
    peer.promised = news.nextWithin;
    peer.processorShare = news.processorShare;
    peer.mayCoordinate = news.mayCoordinate && !news.leaving;
    if (news.complete)
        dropPeer(board.picture, news.daemon);
    for (const LoadNews& item : news.loads)
        setPeerLoad(board.picture, news.daemon, item.endpoint, item.load);
    if (news.grantsSeen != 0)
        confirmGrants(board.picture, news.daemon, news.grantsSeen);
    if (!news.rates.empty())
        board.shares.peers[news.daemon] = news.rates;
    for (const std::string& address : news.peers)
        addPeer(address);
    peer.versions = { .configuration = news.configurationVersion, .registrations = news.registrationsPosition };
    if (!isAhead(peer))
        peer.aheadSince = {};
    else if (peer.aheadSince == Millis {})
        peer.aheadSince = now;
    // A cold daemon may know its seeds only.
    if (news.knownDaemons < livePeers() + 1 && now - peer.listTold >= listInterval) {
        peer.listTold = now;
        tellPeers(news.address);
    }
    if (news.leaving) {
        forgetProcess(peer);
        peer.lastHeard = {};
        logEvent(LogLevel::Info, "peer_left", { { "peer", news.daemonId } });
    }
    if (!news.loads.empty())
        m_context.pictureChanged();
}

bool FleetExchange::isAhead(const Peer& peer) const
{
    DeploymentVersions own = m_context.source.versions();
    if (peer.versions.configuration > own.configuration)
        return true;
    bool lagging = m_context.clock.now() - m_context.source.registrationsReadAt() > registrationLag;
    return lagging && peer.versions.registrations > own.registrations;
}

void FleetExchange::fetchFromPeer()
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

void FleetExchange::tick()
{
    Millis now = m_context.clock.now();
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        Peer& peer = entry->second;
        bool heard = peer.lastHeard != Millis {};
        if (!peer.silent && !isLive(peer)) {
            logEvent(LogLevel::Warning, "peer_silent",
                { { "address", entry->first }, { "silent_ms", (now - peer.lastHeard).count } });
            forgetProcess(peer);
        }
        if (isAhead(peer)) {
            if (peer.aheadSince == Millis {})
                peer.aheadSince = now;
        } else {
            peer.aheadSince = {};
        }
        Millis since = heard ? peer.lastHeard : peer.firstKnown;
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
    expireGrants(m_context.board.picture, now);
    bool due = now - m_lastHello >= (coordinatesSomething() ? repeatInterval : helloInterval);
    if (due || std::exchange(m_helloSoon, false)) {
        m_lastHello = now;
        sayHello();
    }
    // Addresses spread by gossip: a list to one peer at a time reaches all within seconds.
    if (now - m_lastPeerList >= helloInterval) {
        m_lastPeerList = now;
        if (std::vector<std::string> live = liveAddresses(); !live.empty())
            tellPeers(live[m_sequence % live.size()]);
    }
}

void FleetExchange::leave()
{
    m_leaving = true;
    send(true);
    if (coordinated())
        sayHello();
}

}
