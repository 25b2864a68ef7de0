#include "router/PlacementCodec.h"

#include "net/MessagePack.h"

namespace jasminestack {

namespace {

    // First bytes of the messages: MessagePack arrays of four and three elements. Fleet updates never have these
    // lengths.
    constexpr unsigned char requestFirstByte = 0x94;
    constexpr unsigned char replyFirstByte = 0x93;

    constexpr std::uint64_t formatVersion = 1;

    // Maximum number of items in each list of a message; bounds the memory that a malformed message takes.
    constexpr std::size_t maxItems = 1'000;

    bool startsWith(std::string_view bytes, unsigned char expectedByte) noexcept
    {
        return !bytes.empty() && static_cast<unsigned char>(bytes.front()) == expectedByte;
    }

    Error rejectionError(const char* message) { return { .kind = ErrorKind::PeerMessageRejected, .message = message }; }

    void packQuery(msgpack::packer<MsgpackBuffer>& packer, const PlacementQuery& query, Millis now)
    {
        packer.pack_array(query.expectedOutputTokens != 0 ? 15 : 14);
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
        packer.pack(query.latencyObjective.count);
        packer.pack((now - query.arrivedAt).count);
        packer.pack((now - query.firstArrival).count);
        packer.pack((query.deadline - now).count);
        if (query.expectedOutputTokens != 0)
            packer.pack(query.expectedOutputTokens);
    }

    // Limit of relative times in milliseconds, in both directions; prevents overflow by a malformed message.
    constexpr std::int64_t maxSpanMs = 1'000'000'000;

    Millis readSpan(MsgpackArrayReader& row)
    {
        std::int64_t milliseconds = row.readSigned();
        if (milliseconds < -maxSpanMs || milliseconds > maxSpanMs)
            throw msgpack::type_error();
        return { milliseconds };
    }

    void checkItemCount(const MsgpackArrayReader& list)
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
        checkItemCount(prompt);
        while (!prompt.atEnd()) {
            std::uint64_t key = prompt.readUnsigned();
            query.prompt.push_back({ .key = key, .tokens = prompt.readUnsigned32() });
        }
        query.promptTokens = row.readUnsigned();
        query.maxOutputTokens = row.readUnsigned();
        MsgpackArrayReader tried = row.readArray();
        checkItemCount(tried);
        while (!tried.atEnd())
            query.triedEndpoints.push_back(tried.readUnsigned());
        query.isStream = row.readBoolean();
        query.isRepeatable = row.readBoolean();
        query.latencyObjective = readSpan(row);
        query.arrivedAt = now - readSpan(row);
        query.firstArrival = now - readSpan(row);
        query.deadline = now + readSpan(row);
        if (!row.atEnd())
            query.expectedOutputTokens = row.readUnsigned();
        row.requireEnd();
        return query;
    }

}

bool isPlacementRequest(std::string_view bytes) noexcept { return startsWith(bytes, requestFirstByte); }

bool isPlacementReply(std::string_view bytes) noexcept { return startsWith(bytes, replyFirstByte); }

std::string encodePlacementRequest(const PlacementRequest& request, Millis now)
{
    MsgpackBuffer buffer;
    msgpack::packer<MsgpackBuffer> packer(buffer);
    packer.pack_array(4);
    packer.pack(formatVersion);
    packer.pack(request.requester);
    packer.pack(request.id);
    packer.pack_array(request.isCancellation ? 1 : 2);
    packer.pack(request.shard);
    if (!request.isCancellation)
        packQuery(packer, request.query, now);
    return std::move(buffer.bytes);
}

Result<PlacementRequest> decodePlacementRequest(std::string_view bytes, Millis now)
{
    try {
        msgpack::object_handle handle = unpackMessage(bytes);
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != formatVersion)
            return rejectionError("unsupported format version");
        PlacementRequest request;
        request.requester = reader.readUnsigned();
        request.id = reader.readUnsigned();
        MsgpackArrayReader body = reader.readArray();
        request.shard = body.readUnsigned();
        request.isCancellation = body.atEnd();
        if (!request.isCancellation)
            request.query = readQuery(body.readArray(), now);
        body.requireEnd();
        reader.requireEnd();
        return request;
    } catch (const std::exception& error) {
        return rejectionError(error.what());
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
        msgpack::object_handle handle = unpackMessage(bytes);
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != formatVersion)
            return rejectionError("unsupported format version");
        PlacementReply reply;
        reply.coordinator = reader.readUnsigned();
        MsgpackArrayReader row = reader.readArray();
        reply.id = row.readUnsigned();
        std::uint64_t statusNumber = row.readUnsigned();
        if (statusNumber > static_cast<std::uint64_t>(PlacementStatus::Quarantined))
            return rejectionError("unknown placement status");
        reply.status = static_cast<PlacementStatus>(statusNumber);
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
    } catch (const std::exception& error) {
        return rejectionError(error.what());
    }
}

}
