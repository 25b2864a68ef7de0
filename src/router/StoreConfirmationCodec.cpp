#include "router/StoreConfirmationCodec.h"

#include "net/MessagePack.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // First byte of the message: a MessagePack array of seven elements. Other messages never have this length.
    constexpr unsigned char firstByte = 0x97;
    constexpr std::uint32_t fieldCount = 7;
    constexpr std::uint64_t formatVersion = 2;

    // Limit of durations in milliseconds; a longer one in a message is reduced to this.
    constexpr std::uint64_t maxDurationMs = 1'000'000'000;

    Millis readDuration(MsgpackArrayReader& reader)
    {
        return { static_cast<std::int64_t>(std::min(reader.readUnsigned(), maxDurationMs)) };
    }

    std::uint64_t durationMs(Millis duration)
    {
        return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(duration.count, 0)), maxDurationMs);
    }

}

bool isStoreConfirmation(std::string_view bytes) noexcept
{
    return !bytes.empty() && static_cast<unsigned char>(bytes.front()) == firstByte;
}

std::string encodeStoreConfirmation(const StoreConfirmation& confirmation)
{
    MsgpackBuffer buffer;
    msgpack::packer<MsgpackBuffer> packer(buffer);
    packer.pack_array(fieldCount);
    packer.pack(formatVersion);
    packer.pack(confirmation.reader);
    packer.pack(confirmation.configurationVersion);
    packer.pack(confirmation.registrationsPosition);
    packer.pack(confirmation.operatorPosition);
    packer.pack(durationMs(confirmation.age));
    packer.pack(durationMs(confirmation.interval));
    return std::move(buffer.bytes);
}

Result<StoreConfirmation> decodeStoreConfirmation(std::string_view bytes)
{
    try {
        msgpack::object_handle handle = unpackMessage(bytes);
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != formatVersion)
            return Error { .kind = ErrorKind::PeerMessageRejected, .message = "unsupported format version" };
        StoreConfirmation confirmation { .reader = reader.readUnsigned() };
        confirmation.configurationVersion = reader.readUnsigned();
        confirmation.registrationsPosition = reader.readSigned();
        confirmation.operatorPosition = reader.readSigned();
        confirmation.age = readDuration(reader);
        confirmation.interval = readDuration(reader);
        reader.requireEnd();
        return confirmation;
    } catch (const std::exception& error) {
        return Error { .kind = ErrorKind::PeerMessageRejected, .message = error.what() };
    }
}

}
