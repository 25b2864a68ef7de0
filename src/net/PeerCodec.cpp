#include "net/PeerCodec.h"

#include "base/Hash.h"
#include "net/PeerPayloadCodec.h"

#include <msgpack.hpp>

namespace jasminestack {

namespace {

    constexpr unsigned protocolVersion = 1;

}

bool ReplayWindow::accept(std::uint64_t incarnation, std::uint64_t sequence) noexcept
{
    if (!m_hasReceived || incarnation > m_incarnation) {
        m_hasReceived = true;
        m_incarnation = incarnation;
        m_highestSequence = sequence;
        m_receivedBits = 1;
        return true;
    }
    if (incarnation < m_incarnation)
        return false;
    if (sequence > m_highestSequence) {
        std::uint64_t shift = sequence - m_highestSequence;
        m_receivedBits = shift < 64 ? (m_receivedBits << shift) | 1U : 1U;
        m_highestSequence = sequence;
        return true;
    }
    std::uint64_t distance = m_highestSequence - sequence;
    if (distance >= 64 || ((m_receivedBits >> distance) & 1U) != 0)
        return false;
    m_receivedBits |= std::uint64_t { 1 } << distance;
    return true;
}

std::string_view toString(PeerRejection reason) noexcept
{
    switch (reason) {
    case PeerRejection::Oversized:
        return "oversized";
    case PeerRejection::WrongTag:
        return "wrong_tag";
    case PeerRejection::UnknownVersion:
        return "unknown_version";
    case PeerRejection::Malformed:
        return "malformed";
    case PeerRejection::Replayed:
        return "replayed";
    }
    return "unknown";
}

std::string_view payloadName(const PeerPayload& payload) noexcept
{
    static constexpr std::array<std::string_view, std::variant_size_v<PeerPayload>> names { "probe", "probe_ack",
        "demand_report", "allocation", "cell_exchange", "configuration_request", "configuration_state", "crash_mark",
        "endpoint_news" };
    return names.at(payload.index());
}

PeerCodec::PeerCodec(std::string fleetKey)
    : m_fleetKey(std::move(fleetKey))
{
}

std::string PeerCodec::encode(const PeerMessage& message) const
{
    MsgpackBuffer buffer;
    msgpack::packer<MsgpackBuffer> packer(buffer);
    packer.pack_array(6);
    packer.pack(protocolVersion);
    packer.pack(static_cast<unsigned>(message.payload.index()));
    packer.pack(message.sender.value);
    packer.pack(message.incarnation);
    packer.pack(message.sequence);
    packPayload(packer, message.payload);
    buffer.bytes += hmacSha256(m_fleetKey, buffer.bytes).substr(0, tagBytes);
    return std::move(buffer.bytes);
}

Result<PeerMessage> PeerCodec::decode(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return reject(PeerRejection::Oversized);
    if (bytes.size() <= tagBytes)
        return reject(PeerRejection::WrongTag);
    std::string_view body = bytes.substr(0, bytes.size() - tagBytes);
    std::string tag = hmacSha256(m_fleetKey, body).substr(0, tagBytes);
    if (!equalConstantTime(tag, bytes.substr(body.size())))
        return reject(PeerRejection::WrongTag);
    PeerMessage message;
    try {
        msgpack::object_handle handle = unpackMessage(body);
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != protocolVersion)
            return reject(PeerRejection::UnknownVersion);
        std::uint64_t type = reader.readUnsigned();
        message.sender = DaemonId(reader.readText());
        message.incarnation = reader.readUnsigned();
        message.sequence = reader.readUnsigned();
        message.payload = unpackPayload(type, reader.readArray());
        reader.requireEnd();
        if (message.sender.empty())
            return reject(PeerRejection::Malformed);
    } catch (const std::exception&) {
        return reject(PeerRejection::Malformed);
    }
    if (!m_windows[message.sender].accept(message.incarnation, message.sequence))
        return reject(PeerRejection::Replayed);
    return message;
}

Error PeerCodec::reject(PeerRejection reason)
{
    ++m_rejections.at(static_cast<std::size_t>(reason));
    return { .kind = ErrorKind::PeerMessageRejected, .message = "peer message: " + std::string(toString(reason)) };
}

}
