#include "net/PeerCodec.h"

#include "base/Hash.h"
#include "net/PeerPayloadCodec.h"

#include <msgpack.hpp>

namespace jasminestack {

namespace {

    constexpr unsigned protocolVersion = 1;
    constexpr std::size_t maxArrayElements = 65'536;
    constexpr std::size_t maxDepth = 4;

}

bool ReplayWindow::accept(std::uint64_t incarnation, std::uint64_t sequence) noexcept
{
    if (!m_any || incarnation > m_incarnation) {
        m_any = true;
        m_incarnation = incarnation;
        m_highest = sequence;
        m_seen = 1;
        return true;
    }
    if (incarnation < m_incarnation)
        return false;
    if (sequence > m_highest) {
        std::uint64_t step = sequence - m_highest;
        m_seen = step < 64 ? (m_seen << step) | 1U : 1U;
        m_highest = sequence;
        return true;
    }
    std::uint64_t age = m_highest - sequence;
    if (age >= 64 || ((m_seen >> age) & 1U) != 0)
        return false;
    m_seen |= std::uint64_t { 1 } << age;
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
        // The unpacker reserves an array's memory by its stated length, so the limit bounds it at 1.5 MB a level.
        msgpack::unpack_limit limits(maxArrayElements, 0, body.size(), 0, 0, maxDepth);
        std::size_t used = 0;
        msgpack::object_handle handle = msgpack::unpack(body.data(), body.size(), used, nullptr, nullptr, limits);
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != protocolVersion)
            return reject(PeerRejection::UnknownVersion);
        std::uint64_t type = reader.readUnsigned();
        message.sender = DaemonId(reader.readText());
        message.incarnation = reader.readUnsigned();
        message.sequence = reader.readUnsigned();
        message.payload = unpackPayload(type, reader.readArray());
        reader.requireEnd();
        if (used != body.size() || message.sender.empty())
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
