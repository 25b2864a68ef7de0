#include "router/FleetUpdateCodec.h"

#include "net/MessagePack.h"

#include <algorithm>

namespace jasminestack {

namespace {

    constexpr std::uint64_t formatVersion = 2;

    // A message in this array length is fleet news; see PlacementCodec.cpp for the others.
    constexpr std::uint32_t fieldCount = 21;

    // A peer that promises its next message later than this is not believed.
    constexpr std::uint64_t longestPromise = 60'000;

    // Items in any list of a message at most, against memory use by a broken message.
    constexpr std::size_t maxItems = 10'000;

    std::size_t checkedCount(const MsgpackArrayReader& list)
    {
        if (list.remaining() > maxItems)
            throw msgpack::type_error();
        return list.remaining();
    }

    template <typename Item, typename Pack>
    void packList(msgpack::packer<MsgpackBuffer>& packer, const std::vector<Item>& items, Pack pack)
    {
        packer.pack_array(static_cast<std::uint32_t>(items.size()));
        for (const Item& item : items)
            pack(item);
    }

    template <typename Read> auto readList(MsgpackArrayReader list, Read read)
    {
        std::vector<decltype(read(list))> items;
        items.reserve(checkedCount(list));
        while (!list.atEnd())
            items.push_back(read(list));
        return items;
    }

    EndpointLoadUpdate readLoad(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        EndpointLoadUpdate news { .endpoint = row.readUnsigned() };
        news.load.inFlight = row.readUnsigned32();
        news.load.pendingPrefillTokens = row.readUnsigned();
        news.load.reservedTokens = row.readUnsigned();
        row.requireEnd();
        return news;
    }

    SentPrompt readPrompt(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        SentPrompt news { .endpoint = row.readUnsigned() };
        while (!row.atEnd()) {
            std::uint64_t key = row.readUnsigned();
            news.prompt.push_back({ .key = key, .tokens = row.readUnsigned32() });
        }
        return news;
    }

    AttemptReport readAnswer(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        AttemptReport report { .endpoint = row.readUnsigned() };
        report.ended = row.readBoolean();
        std::uint32_t outcome = row.readUnsigned32();
        if (outcome > static_cast<std::uint32_t>(AttemptOutcome::Cancelled))
            throw msgpack::type_error();
        report.outcome = static_cast<AttemptOutcome>(outcome);
        report.backlogTokens = row.readUnsigned();
        report.elapsedMs = row.readUnsigned32();
        row.requireEnd();
        return report;
    }

    WorkspaceRate readRate(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        WorkspaceRate rate { .workspace = row.readUnsigned() };
        rate.demandTokensPerSecond = row.readDouble();
        rate.servedTokensPerSecond = row.readDouble();
        row.requireEnd();
        return rate;
    }

    RefusalReport readRefusal(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        RefusalReport refusal { .contentHash = row.readUnsigned() };
        refusal.age = row.readUnsigned32();
        row.requireEnd();
        return refusal;
    }

    CrashMark readCrash(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        CrashMark mark {
            .contentHash = row.readUnsigned(), .lossCount = row.readUnsigned32(), .lossEventId = row.readUnsigned()
        };
        row.requireEnd();
        return mark;
    }

}

std::string encodeFleetUpdate(const FleetUpdate& news)
{
    MsgpackBuffer buffer;
    msgpack::packer<MsgpackBuffer> packer(buffer);
    packer.pack_array(fieldCount);
    packer.pack(formatVersion);
    packer.pack(news.instanceId);
    packer.pack(news.daemonId);
    packer.pack(news.address);
    packer.pack(news.sequence);
    packer.pack(news.configurationVersion);
    packer.pack(news.registrationsPosition);
    packer.pack(news.leaving);
    packer.pack(news.mayCoordinate);
    packer.pack(static_cast<float>(news.cpuCores));
    packer.pack(static_cast<std::uint64_t>(news.maxUpdateInterval.count));
    packer.pack(news.knownDaemonCount);
    packer.pack(news.lastGrantNumber);
    packer.pack(news.isSnapshot);
    packList(packer, news.loads, [&](const EndpointLoadUpdate& item) {
        packer.pack_array(4);
        packer.pack(item.endpoint);
        packer.pack(item.load.inFlight);
        packer.pack(item.load.pendingPrefillTokens);
        packer.pack(item.load.reservedTokens);
    });
    packList(packer, news.attemptReports, [&](const AttemptReport& item) {
        packer.pack_array(5);
        packer.pack(item.endpoint);
        packer.pack(item.ended);
        packer.pack(static_cast<unsigned>(item.outcome));
        packer.pack(item.backlogTokens);
        packer.pack(item.elapsedMs);
    });
    packList(packer, news.sentPrompts, [&](const SentPrompt& item) {
        packer.pack_array(static_cast<std::uint32_t>(1 + 2 * item.prompt.size()));
        packer.pack(item.endpoint);
        for (const PromptPart& part : item.prompt) {
            packer.pack(part.key);
            packer.pack(part.tokens);
        }
    });
    packList(packer, news.rates, [&](const WorkspaceRate& item) {
        packer.pack_array(3);
        packer.pack(item.workspace);
        packer.pack(static_cast<float>(item.demandTokensPerSecond));
        packer.pack(static_cast<float>(item.servedTokensPerSecond));
    });
    packList(packer, news.crashes, [&](const CrashMark& item) {
        packer.pack_array(3);
        packer.pack(item.contentHash);
        packer.pack(item.lossCount);
        packer.pack(item.lossEventId);
    });
    packList(packer, news.refusals, [&](const RefusalReport& item) {
        packer.pack_array(2);
        packer.pack(item.contentHash);
        packer.pack(item.age);
    });
    packList(packer, news.livePeerAddresses, [&](const std::string& item) { packer.pack(item); });
    return std::move(buffer.bytes);
}

Result<FleetUpdate> decodeFleetUpdate(std::string_view bytes)
{
    try {
        msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != formatVersion)
            return Error { .kind = ErrorKind::PeerMessageRejected, .message = "another version of the format" };
        FleetUpdate news;
        news.instanceId = reader.readUnsigned();
        news.daemonId = reader.readText();
        news.address = reader.readText();
        news.sequence = reader.readUnsigned();
        news.configurationVersion = reader.readUnsigned();
        news.registrationsPosition = reader.readSigned();
        news.leaving = reader.readBoolean();
        news.mayCoordinate = reader.readBoolean();
        news.cpuCores = reader.readDouble();
        news.maxUpdateInterval = Millis { static_cast<std::int64_t>(std::min(reader.readUnsigned(), longestPromise)) };
        news.knownDaemonCount = reader.readUnsigned32();
        news.lastGrantNumber = reader.readUnsigned();
        news.isSnapshot = reader.readBoolean();
        news.loads = readList(reader.readArray(), readLoad);
        news.attemptReports = readList(reader.readArray(), readAnswer);
        news.sentPrompts = readList(reader.readArray(), readPrompt);
        news.rates = readList(reader.readArray(), readRate);
        news.crashes = readList(reader.readArray(), readCrash);
        news.refusals = readList(reader.readArray(), readRefusal);
        news.livePeerAddresses
            = readList(reader.readArray(), [](MsgpackArrayReader& list) { return std::string(list.readText()); });
        reader.requireEnd();
        return news;
    } catch (const std::exception& fault) {
        return Error { .kind = ErrorKind::PeerMessageRejected, .message = fault.what() };
    }
}

}
