#include "router/FleetExchange.h"

#include "observe/Logging.h"
#include "router/FleetNewsCodec.h"

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
    if (added)
        position->second.firstKnown = m_context.clock.now();
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

std::size_t FleetExchange::livePeers() const
{
    Millis now = m_context.clock.now();
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return entry.second.lastHeard != Millis {} && now - entry.second.lastHeard < silenceLimit;
    }));
}

Millis FleetExchange::flushInterval() const
{
    Millis interval { static_cast<std::int64_t>(livePeers()) * 1'000 / messagesPerSecond };
    return std::clamp(interval, shortestInterval, longestInterval);
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

void FleetExchange::send(bool all)
{
    RouterBoard& board = m_context.board;
    Millis now = m_context.clock.now();
    m_lastSent = now;
    for (const CrashMark& mark : board.crashMarks)
        m_recentCrashes.emplace_back(now, mark);
    board.crashMarks.clear();
    std::erase_if(m_recentCrashes, [&](const auto& item) { return now - item.first > crashRepeat; });

    DeploymentVersions versions = m_context.source.versions();
    FleetNews news { .daemon = m_options.key,
        .daemonId = m_options.daemonId,
        .address = m_options.address,
        .sequence = ++m_sequence,
        .configurationVersion = versions.configuration,
        .registrationsPosition = versions.registrations,
        .leaving = m_leaving,
        .complete = all,
        .prompts = std::move(board.sentPrompts) };
    board.sentPrompts.clear();
    for (const auto& [contentHash, firstArrival] : board.newRefusals)
        news.refusals.push_back(
            { .contentHash = contentHash, .age = static_cast<std::uint32_t>((now - firstArrival).count) });
    board.newRefusals.clear();
    for (auto& [id, view] : board.picture.endpoints) {
        bool changed = std::exchange(view.changed, false);
        if (all ? view.own == EndpointLoad {} : !changed)
            continue;
        news.loads.push_back({ .endpoint = view.key, .load = view.own });
    }
    for (const auto& [time, mark] : m_recentCrashes)
        news.crashes.push_back(mark);
    if (all) {
        news.rates = ownRates(board.shares, now);
        for (const auto& [address, peer] : m_peers) {
            if (peer.lastHeard != Millis {} && now - peer.lastHeard < silenceLimit)
                news.peers.push_back(address);
        }
    }
    std::string bytes = encodeFleetNews(news);
    std::size_t receivers = 0;
    for (const auto& [address, peer] : m_peers) {
        // Daemons that are not heard get the repeated state only.
        bool live = peer.lastHeard != Millis {} && now - peer.lastHeard < silenceLimit;
        if (!live && !all)
            continue;
        m_context.transport.send(address, bytes);
        ++receivers;
    }
    m_context.metrics.add(
        Counter::ControlBytes, { "sent", "fleet_news" }, static_cast<double>(bytes.size() * receivers));
    m_context.metrics.add(Counter::ControlMessages, { "sent", "fleet_news" }, static_cast<double>(receivers));
}

void FleetExchange::onMessage(std::string_view bytes)
{
    m_context.metrics.add(Counter::ControlBytes, { "received", "fleet_news" }, static_cast<double>(bytes.size()));
    auto decoded = decodeFleetNews(bytes);
    if (!decoded) {
        m_context.metrics.add(Counter::PeerRejected, { "malformed" });
        logEvent(LogLevel::Warning, "peer_message_rejected", { { "reason", decoded.error().message } });
        return;
    }
    const FleetNews& news = decoded.value();
    if (news.daemon == m_options.key)
        return;
    addPeer(news.address);
    auto found = m_peers.find(news.address);
    if (found == m_peers.end())
        return; // An earlier process of this daemon.
    apply(news, found->second);
}

void FleetExchange::apply(const FleetNews& news, Peer& peer)
{
    RouterBoard& board = m_context.board;
    Millis now = m_context.clock.now();
    if (peer.key != news.daemon) {
        // Another process: what the earlier one had at the endpoints has ended with it.
        dropPeer(board.picture, peer.key);
        board.shares.peers.erase(peer.key);
        peer.key = news.daemon;
        peer.sequence = 0;
        logEvent(LogLevel::Info, "peer_started", { { "peer", news.daemonId }, { "address", news.address } });
    } else if (now - peer.lastHeard >= silenceLimit && peer.lastHeard != Millis {}) {
        logEvent(LogLevel::Info, "peer_regained",
            { { "peer", news.daemonId }, { "silent_ms", (now - peer.lastHeard).count } });
    }
    peer.lastHeard = now;
    for (const PromptNews& prompt : news.prompts)
        notePeerPrompt(board.picture, prompt.endpoint, prompt.prompt, now);
    for (const CrashMark& mark : news.crashes)
        onCrashMark(board.crashes, crashGuardOptions, mark, now);
    for (const RefusalNews& refusal : news.refusals)
        board.refusals.record(refusal.contentHash, now - Millis { refusal.age }, now);
    if (news.sequence < peer.sequence)
        return; // Overtaken by a newer message.
    peer.sequence = news.sequence;
    if (news.complete)
        dropPeer(board.picture, news.daemon);
    for (const LoadNews& item : news.loads)
        setPeerLoad(board.picture, news.daemon, item.endpoint, item.load);
    if (!news.rates.empty())
        board.shares.peers[news.daemon] = news.rates;
    for (const std::string& address : news.peers)
        addPeer(address);
    peer.versions = { .configuration = news.configurationVersion, .registrations = news.registrationsPosition };
    if (!isAhead(peer))
        peer.aheadSince = {};
    else if (peer.aheadSince == Millis {})
        peer.aheadSince = now;
    if (news.leaving) {
        dropPeer(board.picture, news.daemon);
        board.shares.peers.erase(news.daemon);
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
        return peer.aheadSince != Millis {} && now - peer.aheadSince >= aheadTolerance
            && now - peer.lastHeard < silenceLimit && isAhead(peer);
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
        if (heard && peer.key != 0 && now - peer.lastHeard >= silenceLimit
            && m_context.board.shares.peers.contains(peer.key)) {
            logEvent(LogLevel::Warning, "peer_silent",
                { { "address", entry->first }, { "silent_ms", (now - peer.lastHeard).count } });
            dropPeer(m_context.board.picture, peer.key);
            m_context.board.shares.peers.erase(peer.key);
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
    if (now - m_lastRepeat >= repeatInterval) {
        m_lastRepeat = now;
        send(true);
    }
}

void FleetExchange::leave()
{
    m_leaving = true;
    send(true);
}

}
