#include "router/PlacementCodec.h"

#include "net/MessagePack.h"

namespace jasminestack {

namespace {

    // First bytes of the messages: msgpack arrays of a length that fleet news never have.
    constexpr unsigned char arrayOfFour = 0x94;
    constexpr unsigned char arrayOfThree = 0x93;

    constexpr std::uint64_t formatVersion = 1;

    // Items in any list of a message at most, against memory use by a broken message.
    constexpr std::size_t maxItems = 1'000;

    bool startsWith(std::string_view bytes, unsigned char first) noexcept
    {
        return !bytes.empty() && static_cast<unsigned char>(bytes.front()) == first;
    }

    Error rejected(const char* message) { return { .kind = ErrorKind::PeerMessageRejected, .message = message }; }

    void packQuery(msgpack::packer<MsgpackBuffer>& packer, const PlacementQuery& query, Millis now)
    {
        packer.pack_array(14);
        packer.pack(query.pool.value);
        packer.pack(query.workspace);
        packer.pack(query.contentHash);
        packer.pack(query.availabilityZone);
        packer.pack_array(static_cast<std::uint32_t>(2 * query.prompt.size()));
        for (const PromptPart& part : query.prompt) {
            packer.pack(part.key);
            packer.pack(part.tokens);
        }
        packer.pack(query.promptTokens);
        packer.pack(query.maxOutputTokens);
        packer.pack(query.triedEndpoints);
        packer.pack(query.isStream);
        packer.pack(query.isRepeatable);
        packer.pack(query.objective.count);
        packer.pack((now - query.arrivedAt).count);
        packer.pack((now - query.firstArrival).count);
        packer.pack((query.deadline - now).count);
    }

    // No time of a request is further away than this; excludes overflow by a broken message.
    constexpr std::int64_t longestSpan = 1'000'000'000;

    Millis readSpan(MsgpackArrayReader& row)
    {
        std::int64_t count = row.readSigned();
        if (count < -longestSpan || count > longestSpan)
            throw msgpack::type_error();
        return { count };
    }

    void checkCount(const MsgpackArrayReader& list)
    {
        if (list.remaining() > maxItems)
            throw msgpack::type_error();
    }

    PlacementQuery readQuery(MsgpackArrayReader row, Millis now)
    {
        PlacementQuery query { .pool = PoolId { std::string(row.readText()) } };
        query.workspace = row.readUnsigned();
        query.contentHash = row.readUnsigned();
        query.availabilityZone = row.readText();
        MsgpackArrayReader prompt = row.readArray();
        checkCount(prompt);
        while (!prompt.atEnd()) {
            std::uint64_t key = prompt.readUnsigned();
            query.prompt.push_back({ .key = key, .tokens = prompt.readUnsigned32() });
        }
        query.promptTokens = row.readUnsigned();
        query.maxOutputTokens = row.readUnsigned();
        MsgpackArrayReader avoid = row.readArray();
        checkCount(avoid);
        while (!avoid.atEnd())
            query.triedEndpoints.push_back(avoid.readUnsigned());
        query.isStream = row.readBoolean();
        query.isRepeatable = row.readBoolean();
        query.objective = readSpan(row);
        query.arrivedAt = now - readSpan(row);
        query.firstArrival = now - readSpan(row);
        query.deadline = now + readSpan(row);
        row.requireEnd();
        return query;
    }

}

bool isPlacementRequest(std::string_view bytes) noexcept { return startsWith(bytes, arrayOfFour); }

bool isPlacementReply(std::string_view bytes) noexcept { return startsWith(bytes, arrayOfThree); }

std::string encodePlacementRequest(const PlacementRequest& ask, Millis now)
{
    MsgpackBuffer buffer;
    msgpack::packer<MsgpackBuffer> packer(buffer);
    packer.pack_array(4);
    packer.pack(formatVersion);
    packer.pack(ask.requester);
    packer.pack(ask.id);
    packer.pack_array(ask.isCancellation ? 1 : 2);
    packer.pack(ask.shard);
    if (!ask.isCancellation)
        packQuery(packer, ask.query, now);
    return std::move(buffer.bytes);
}

Result<PlacementRequest> decodePlacementRequest(std::string_view bytes, Millis now)
{
    try {
        msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != formatVersion)
            return rejected("another version of the format");
        PlacementRequest ask;
        ask.requester = reader.readUnsigned();
        ask.id = reader.readUnsigned();
        MsgpackArrayReader body = reader.readArray();
        ask.shard = body.readUnsigned();
        ask.isCancellation = body.atEnd();
        if (!ask.isCancellation)
            ask.query = readQuery(body.readArray(), now);
        body.requireEnd();
        reader.requireEnd();
        return ask;
    } catch (const std::exception& fault) {
        return rejected(fault.what());
    }
}

std::string encodePlacementReply(const PlacementReply& reply)
{
    MsgpackBuffer buffer;
    msgpack::packer<MsgpackBuffer> packer(buffer);
    packer.pack_array(3);
    packer.pack(formatVersion);
    packer.pack(reply.coordinator);
    packer.pack_array(10);
    packer.pack(reply.id);
    packer.pack(static_cast<unsigned>(reply.status));
    packer.pack(reply.grantNumber);
    packer.pack(reply.endpoint);
    packer.pack(reply.prefillTokens);
    packer.pack(reply.backlogTokens);
    packer.pack(reply.predictedFirstByte.count);
    packer.pack(reply.retryAfter.count);
    packer.pack(reply.isLate);
    packer.pack(reply.wasRefusedBefore);
    return std::move(buffer.bytes);
}

Result<PlacementReply> decodePlacementReply(std::string_view bytes)
{
    try {
        msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != formatVersion)
            return rejected("another version of the format");
        PlacementReply reply;
        reply.coordinator = reader.readUnsigned();
        MsgpackArrayReader row = reader.readArray();
        reply.id = row.readUnsigned();
        std::uint64_t answer = row.readUnsigned();
        if (answer > static_cast<std::uint64_t>(PlacementStatus::Quarantined))
            return rejected("an unknown answer");
        reply.status = static_cast<PlacementStatus>(answer);
        reply.grantNumber = row.readUnsigned();
        reply.endpoint = row.readUnsigned();
        reply.prefillTokens = row.readUnsigned();
        reply.backlogTokens = row.readUnsigned();
        reply.predictedFirstByte = readSpan(row);
        reply.retryAfter = readSpan(row);
        reply.isLate = row.readBoolean();
        reply.wasRefusedBefore = row.readBoolean();
        row.requireEnd();
        reader.requireEnd();
        return reply;
    } catch (const std::exception& fault) {
        return rejected(fault.what());
    }
}

}
