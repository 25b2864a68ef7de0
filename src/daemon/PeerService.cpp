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

    /// Adds the processor time of a scope to the control time.
    class ControlTimer {
    public:
        explicit ControlTimer(Metrics& metrics)
            : m_metrics(metrics)
        {
        }
        ~ControlTimer() { m_metrics.add(Counter::ControlSeconds, { "peers" }, threadSeconds() - m_start); }
        ControlTimer(const ControlTimer&) = delete;
        ControlTimer& operator=(const ControlTimer&) = delete;

    private:
        static double threadSeconds()
        {
            timespec value {};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
            return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
        }

        Metrics& m_metrics;
        double m_start { threadSeconds() };
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
    m_context.configuration.onChange([this](const Configuration&) { sendAll(pushDigest(m_membership, view())); });
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
    sendAll(tickMembership(m_membership, view(), m_context.clock.now()));
    requestConfiguration();
    probeContacts();
}

void PeerService::receive(std::string_view bytes)
{
    ControlTimer timer(m_context.metrics);
    auto before = m_codec.rejections();
    auto message = m_codec.decode(bytes);
    if (!message) {
        for (std::size_t i = 0; i < before.size(); ++i) {
            if (m_codec.rejections().at(i) != before.at(i))
                m_context.metrics.add(Counter::PeerRejected, { toString(static_cast<PeerRejection>(i)) });
        }
        return;
    }
    if (message.value().sender == m_context.self.id)
        return;
    count("received", message.value().payload, bytes.size());
    handle(message.value());
}

void PeerService::handle(const PeerMessage& message)
{
    Millis now = m_context.clock.now();
    onMemberMessage(m_membership, m_context.members, message.sender, now);
    m_context.transport.notifyPeerActive(addressOf(m_context.members, message.sender));
    if (const auto* probe = std::get_if<Probe>(&message.payload)) {
        // The sender got no answer to earlier probes, so what is sent to it may be lost on a connection that went
        // silent.
        if (probe->unansweredProbes > 0)
            m_context.transport.reconnect(addressOf(m_context.members, message.sender));
        sendAll(onProbe(m_membership, view(), message, *probe, now));
        noteDigest(message.sender, probe->configurationDigest);
    } else if (const auto* ack = std::get_if<ProbeAck>(&message.payload)) {
        if (ack->nonce != 0)
            m_lastAnswer[message.sender] = now;
        onProbeAck(m_membership, view(), message, *ack, now);
        noteDigest(message.sender, ack->configurationDigest);
    } else {
        handleOther(message);
    }
}

void PeerService::handleOther(const PeerMessage& message)
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
                ConfigurationDigest own = m_context.configuration.digest();
                if (own.throughOffset > payload.currentDigest.throughOffset)
                    sendTo(addressOf(m_context.members, message.sender),
                        m_context.configuration.stateFor(payload.currentDigest));
                else
                    noteDigest(message.sender, payload.currentDigest);
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
            m_lastSent[message.to] = m_context.clock.now();
            sendTo(addressOf(m_context.members, message.to), std::move(message.payload));
            continue;
        }
        PeerMessage own { .sender = m_context.self.id,
            .incarnation = m_context.self.incarnation,
            .sequence = ++m_sequence,
            .payload = std::move(message.payload) };
        handleOther(own);
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
    count("sent", message.payload, bytes.size());
    m_context.transport.send(address, bytes);
}

void PeerService::sendAll(std::vector<AddressedMessage> messages)
{
    for (AddressedMessage& message : messages) {
        // Two probes over this connection got no answer, so it may be the one that went silent.
        const auto* probe = std::get_if<Probe>(&message.payload);
        if (probe && probe->unansweredProbes >= 2)
            m_context.transport.reconnect(message.address);
        sendTo(message.address, std::move(message.payload));
    }
}

void PeerService::noteDigest(const DaemonId& sender, const ConfigurationDigest& digest)
{
    if (digest.throughOffset <= m_newest.throughOffset && m_newestAt != sender)
        return;
    m_newest = digest;
    m_newestAt = sender;
    requestConfiguration();
}

void PeerService::requestConfiguration()
{
    Millis now = m_context.clock.now();
    ConfigurationDigest own = m_context.configuration.digest();
    if (m_newest.throughOffset <= own.throughOffset) {
        m_behindSince = now;
        return;
    }
    // With a working log the records arrive by themselves, a little later than at the peer.
    bool wait
        = m_context.configuration.logReachable() && own.version > 0 && now - m_behindSince < m_options.behindGrace;
    if (wait || now - m_lastRequest < m_options.requestInterval)
        return;
    m_lastRequest = now;
    std::string_view address = addressOf(m_context.members, m_newestAt);
    // If this peer does not answer, the next digest names another one.
    m_newest = own;
    sendTo(address, ConfigurationRequest { .currentDigest = own });
}

void PeerService::probeContacts()
{
    Millis now = m_context.clock.now();
    if (now < m_nextContactCheck)
        return;
    m_nextContactCheck = now + Millis { 1'000 };
    for (auto it = m_lastSent.begin(); it != m_lastSent.end();) {
        auto member = m_context.members.members.find(it->first);
        if (member == m_context.members.members.end() || now - it->second > Millis { 2'000 }) {
            it = m_lastSent.erase(it);
            continue;
        }
        auto answer = m_lastAnswer.find(it->first);
        bool unconfirmed = answer == m_lastAnswer.end() || now - answer->second >= m_options.confirmInterval;
        if (unconfirmed || now - member->second.lastMessageAt >= m_options.silence)
            m_membership.membersToProbe.insert(it->first);
        ++it;
    }
    std::erase_if(m_lastAnswer, [&](const auto& entry) { return !m_context.members.members.contains(entry.first); });
}

void PeerService::setHostAddresses(std::vector<std::string> addresses)
{
    onHostAddresses(m_membership, std::move(addresses));
}

void PeerService::leave() { sendAll(leaveMembership(m_membership, view())); }

bool PeerService::owns(std::string_view key) const
{
    std::uint64_t own = rendezvousScore(key, m_context.self.id.value);
    return std::all_of(m_context.members.members.begin(), m_context.members.members.end(),
        [&](const auto& entry) { return !isLive(entry.second) || rendezvousScore(key, entry.first.value) < own; });
}

void PeerService::count(std::string_view direction, const PeerPayload& payload, std::size_t bytes)
{
    std::string_view type = payloadName(payload);
    m_context.metrics.add(
        Counter::ControlBytes, { direction, type }, static_cast<double>(bytes + NngTransport::framingBytes));
    m_context.metrics.add(Counter::ControlMessages, { direction, type });
}

Result<std::string> readFleetKey(const std::string& file, const std::string& environment)
{
    std::string key;
    if (!file.empty()) {
        std::ifstream stream(file);
        if (!stream)
            return Error { .kind = ErrorKind::SettingsInvalid, .message = "cannot read the fleet key file " + file };
        key.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    } else if (const char* value = environment.empty() ? nullptr : std::getenv(environment.c_str())) {
        key = value;
    }
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (key.empty())
        return Error { .kind = ErrorKind::SettingsInvalid, .message = "peers: no fleet key is set" };
    return key;
}

}
