#include "daemon/PeerService.h"

#include "base/Hash.h"
#include "net/NngTransport.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <fstream>
#include <iterator>
#include <type_traits>

namespace jasminestack {

namespace {

    /// Adds the CPU time that the thread spends in a scope to the metric Counter::ControlSeconds.
    class ControlTimer {
    public:
        explicit ControlTimer(Metrics& metrics)
            : m_metrics(metrics)
        {
        }
        ~ControlTimer() { m_metrics.add(Counter::ControlSeconds, { "peers" }, threadCpuSeconds() - m_startSeconds); }
        ControlTimer(const ControlTimer&) = delete;
        ControlTimer& operator=(const ControlTimer&) = delete;

    private:
        static double threadCpuSeconds()
        {
            timespec value {};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
            return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
        }

        Metrics& m_metrics;
        double m_startSeconds { threadCpuSeconds() };
    };

}

PeerService::PeerService(const PeerServiceContext& context, PeerServiceOptions options, PeerHandlers handlers)
    : m_context(context)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_codec(m_options.fleetKey)
    , m_membership(makeMembershipState(m_options.membership, context.self, m_options.seeds, m_options.randomSeed))
{
    m_context.transport.setReceiveHandler([this](std::string_view bytes) { receive(bytes); });
    m_context.configuration.addChangeListener(
        [this](const Configuration&) { sendAddressed(pushDigest(m_membership, view())); });
}

MembershipView PeerService::view()
{
    return { .self = m_context.self,
        .memberTable = m_context.members,
        .configurationDigest = m_context.configuration.digest() };
}

void PeerService::tick()
{
    ControlTimer timer(m_context.metrics);
    sendAddressed(tickMembership(m_membership, view(), m_context.clock.now()));
    requestConfiguration();
    probeRecentRecipients();
}

void PeerService::receive(std::string_view bytes)
{
    ControlTimer timer(m_context.metrics);
    auto rejectionsBefore = m_codec.rejections();
    auto message = m_codec.decode(bytes);
    if (!message) {
        // decode() counts each rejection by its reason; the count that has changed shows the reason of this one.
        for (std::size_t i = 0; i < rejectionsBefore.size(); ++i) {
            if (m_codec.rejections().at(i) != rejectionsBefore.at(i))
                m_context.metrics.add(Counter::PeerRejected, { toString(static_cast<PeerRejection>(i)) });
        }
        return;
    }
    if (message.value().sender == m_context.self.id)
        return;
    countMessage("received", message.value().payload, bytes.size());
    handleMessage(message.value());
}

void PeerService::handleMessage(const PeerMessage& message)
{
    Millis now = m_context.clock.now();
    onMemberMessage(m_membership, m_context.members, message.sender, now);
    m_context.transport.notifyPeerActive(addressOf(m_context.members, message.sender));
    if (const auto* probe = std::get_if<Probe>(&message.payload)) {
        // The sender received no acknowledgement of earlier probes, so messages to it may be lost on a stalled
        // connection.
        if (probe->unacknowledgedProbes > 0)
            m_context.transport.reconnect(addressOf(m_context.members, message.sender));
        sendAddressed(onProbe(m_membership, view(), message, *probe, now));
        recordPeerDigest(message.sender, probe->configurationDigest);
    } else if (const auto* ack = std::get_if<ProbeAck>(&message.payload)) {
        // With nonce 0 the message is gossip and acknowledges no probe.
        if (ack->nonce != 0)
            m_lastAckAt[message.sender] = now;
        onProbeAck(m_membership, view(), message, *ack, now);
        recordPeerDigest(message.sender, ack->configurationDigest);
    } else {
        dispatch(message);
    }
}

void PeerService::dispatch(const PeerMessage& message)
{
    std::visit(
        [&](const auto& payload) {
            using Payload = std::decay_t<decltype(payload)>;
            if constexpr (std::is_same_v<Payload, DemandReport>) {
                if (m_handlers.demandReport)
                    send(m_handlers.demandReport(message, payload));
            } else if constexpr (std::is_same_v<Payload, Allocation>) {
                if (m_handlers.allocation)
                    m_handlers.allocation(message, payload);
            } else if constexpr (std::is_same_v<Payload, CellReport>) {
                if (m_handlers.cellReport)
                    m_handlers.cellReport(message, payload);
            } else if constexpr (std::is_same_v<Payload, CrashMark>) {
                if (m_handlers.crashMark)
                    m_handlers.crashMark(payload);
            } else if constexpr (std::is_same_v<Payload, EndpointLeavingUpdate>) {
                if (m_handlers.endpointLeavingUpdate)
                    m_handlers.endpointLeavingUpdate(payload);
            } else if constexpr (std::is_same_v<Payload, ConfigurationRequest>) {
                ConfigurationDigest ownDigest = m_context.configuration.digest();
                if (ownDigest.throughOffset > payload.currentDigest.throughOffset)
                    sendTo(addressOf(m_context.members, message.sender),
                        m_context.configuration.stateSince(payload.currentDigest));
                else
                    recordPeerDigest(message.sender, payload.currentDigest);
            } else if constexpr (std::is_same_v<Payload, ConfigurationState>) {
                m_context.configuration.adopt(payload);
            }
        },
        message.payload);
}

void PeerService::send(std::vector<OutboundMessage> messages)
{
    std::deque<OutboundMessage> queue(
        std::make_move_iterator(messages.begin()), std::make_move_iterator(messages.end()));
    while (!queue.empty()) {
        OutboundMessage message = std::move(queue.front());
        queue.pop_front();
        if (message.to != m_context.self.id) {
            m_lastSentAt[message.to] = m_context.clock.now();
            sendTo(addressOf(m_context.members, message.to), std::move(message.payload));
            continue;
        }
        PeerMessage localMessage { .sender = m_context.self.id,
            .incarnation = m_context.self.incarnation,
            .sequence = ++m_sequence,
            .payload = std::move(message.payload) };
        dispatch(localMessage);
    }
}

void PeerService::broadcast(const PeerPayload& payload)
{
    for (const auto& [id, member] : m_context.members.members) {
        if (isLive(member))
            sendTo(member.lastUpdate.address, payload);
    }
}

void PeerService::sendTo(std::string_view address, PeerPayload payload)
{
    if (address.empty())
        return;
    PeerMessage message { .sender = m_context.self.id,
        .incarnation = m_context.self.incarnation,
        .sequence = ++m_sequence,
        .payload = std::move(payload) };
    std::string bytes = m_codec.encode(message);
    countMessage("sent", message.payload, bytes.size());
    m_context.transport.send(address, bytes);
}

void PeerService::sendAddressed(std::vector<AddressedMessage> messages)
{
    for (AddressedMessage& message : messages) {
        // Two probes over this connection were not acknowledged, so it may have stalled.
        const auto* probe = std::get_if<Probe>(&message.payload);
        if (probe && probe->unacknowledgedProbes >= 2)
            m_context.transport.reconnect(message.address);
        sendTo(message.address, std::move(message.payload));
    }
}

void PeerService::recordPeerDigest(const DaemonId& sender, const ConfigurationDigest& digest)
{
    if (digest.throughOffset <= m_newestDigest.throughOffset && m_newestDigestSender != sender)
        return;
    m_newestDigest = digest;
    m_newestDigestSender = sender;
    requestConfiguration();
}

void PeerService::requestConfiguration()
{
    Millis now = m_context.clock.now();
    ConfigurationDigest ownDigest = m_context.configuration.digest();
    if (m_newestDigest.throughOffset <= ownDigest.throughOffset) {
        m_lastUpToDateAt = now;
        return;
    }
    // While the log can be read, the missing records are expected from it shortly, so a peer's configuration is
    // requested only after a delay.
    bool shouldWait = m_context.configuration.isLogReachable() && ownDigest.version > 0
        && now - m_lastUpToDateAt < m_options.peerFallbackDelay;
    if (shouldWait || now - m_lastConfigurationRequestAt < m_options.configurationRequestInterval)
        return;
    m_lastConfigurationRequestAt = now;
    std::string_view address = addressOf(m_context.members, m_newestDigestSender);
    // This peer's digest is dropped, in case the peer does not reply: the next newer digest that is received selects
    // the peer for the next request.
    m_newestDigest = ownDigest;
    sendTo(address, ConfigurationRequest { .currentDigest = ownDigest });
}

void PeerService::probeRecentRecipients()
{
    Millis now = m_context.clock.now();
    if (now < m_nextProbeCheckAt)
        return;
    // The check runs once per second; a member is checked if a message was sent to it within the last 2 s.
    m_nextProbeCheckAt = now + Millis { 1'000 };
    for (auto it = m_lastSentAt.begin(); it != m_lastSentAt.end();) {
        auto member = m_context.members.members.find(it->first);
        if (member == m_context.members.members.end() || now - it->second > Millis { 2'000 }) {
            it = m_lastSentAt.erase(it);
            continue;
        }
        auto lastAck = m_lastAckAt.find(it->first);
        bool isAckOverdue = lastAck == m_lastAckAt.end() || now - lastAck->second >= m_options.maximumAckAge;
        if (isAckOverdue || now - member->second.lastMessageAt >= m_options.receiveTimeout)
            m_membership.membersToProbe.insert(it->first);
        ++it;
    }
    std::erase_if(m_lastAckAt, [&](const auto& entry) { return !m_context.members.members.contains(entry.first); });
}

void PeerService::setHostAddresses(std::vector<std::string> addresses)
{
    onHostAddresses(m_membership, std::move(addresses));
}

void PeerService::leave() { sendAddressed(leaveMembership(m_membership, view())); }

bool PeerService::ownsKey(std::string_view key) const
{
    std::uint64_t ownScore = rendezvousScore(key, m_context.self.id.value);
    return std::all_of(m_context.members.members.begin(), m_context.members.members.end(),
        [&](const auto& entry) { return !isLive(entry.second) || rendezvousScore(key, entry.first.value) < ownScore; });
}

void PeerService::countMessage(std::string_view direction, const PeerPayload& payload, std::size_t bytes)
{
    std::string_view type = payloadName(payload);
    m_context.metrics.add(
        Counter::ControlBytes, { direction, type }, static_cast<double>(bytes + NngTransport::framingBytes));
    m_context.metrics.add(Counter::ControlMessages, { direction, type });
}

Result<std::string> readFleetKey(const std::string& file, const std::string& environmentVariable)
{
    std::string key;
    if (!file.empty()) {
        std::ifstream stream(file);
        if (!stream)
            return Error { .kind = ErrorKind::SettingsInvalid, .message = "cannot read the fleet key file " + file };
        key.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    } else if (const char* value = environmentVariable.empty() ? nullptr : std::getenv(environmentVariable.c_str())) {
        key = value;
    }
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (key.empty())
        return Error { .kind = ErrorKind::SettingsInvalid,
            .message = "peers: no fleet key is configured, or it is empty" };
    return key;
}

}
