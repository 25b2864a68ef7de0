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

    std::size_t checkedCount(const ArrayReader& list)
    {
        if (list.remaining() > maxItems)
            throw msgpack::type_error();
        return list.remaining();
    }

    template <typename Item, typename Pack>
    void packList(msgpack::packer<StringBuffer>& packer, const std::vector<Item>& items, Pack pack)
    {
        packer.pack_array(static_cast<std::uint32_t>(items.size()));
        for (const Item& item : items)
            pack(item);
    }

    template <typename Read> auto readList(ArrayReader list, Read read)
    {
        std::vector<decltype(read(list))> items;
        items.reserve(checkedCount(list));
        while (!list.atEnd())
            items.push_back(read(list));
        return items;
    }

    EndpointLoadUpdate readLoad(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        EndpointLoadUpdate news { .endpoint = row.unsignedValue() };
        news.load.inFlight = row.smallValue();
        news.load.pendingPrefillTokens = row.unsignedValue();
        news.load.reservedTokens = row.unsignedValue();
        row.finish();
        return news;
    }

    SentPrompt readPrompt(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        SentPrompt news { .endpoint = row.unsignedValue() };
        while (!row.atEnd()) {
            std::uint64_t key = row.unsignedValue();
            news.prompt.push_back({ .key = key, .tokens = row.smallValue() });
        }
        return news;
    }

    AttemptReport readAnswer(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        AttemptReport report { .endpoint = row.unsignedValue() };
        report.ended = row.boolean();
        std::uint32_t outcome = row.smallValue();
        if (outcome > static_cast<std::uint32_t>(AttemptOutcome::Cancelled))
            throw msgpack::type_error();
        report.outcome = static_cast<AttemptOutcome>(outcome);
        report.backlogTokens = row.unsignedValue();
        report.elapsedMs = row.smallValue();
        row.finish();
        return report;
    }

    WorkspaceRate readRate(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        WorkspaceRate rate { .workspace = row.unsignedValue() };
        rate.demandTokensPerSecond = row.number();
        rate.servedTokensPerSecond = row.number();
        row.finish();
        return rate;
    }

    RefusalReport readRefusal(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        RefusalReport refusal { .contentHash = row.unsignedValue() };
        refusal.age = row.smallValue();
        row.finish();
        return refusal;
    }

    CrashMark readCrash(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        CrashMark mark {
            .contentHash = row.unsignedValue(), .lossCount = row.smallValue(), .lossEventId = row.unsignedValue()
        };
        row.finish();
        return mark;
    }

}

std::string encodeFleetUpdate(const FleetUpdate& news)
{
    StringBuffer buffer;
    msgpack::packer<StringBuffer> packer(buffer);
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
        ArrayReader reader(handle.get());
        if (reader.unsignedValue() != formatVersion)
            return Error { .kind = ErrorKind::PeerMessageRejected, .message = "another version of the format" };
        FleetUpdate news;
        news.instanceId = reader.unsignedValue();
        news.daemonId = reader.text();
        news.address = reader.text();
        news.sequence = reader.unsignedValue();
        news.configurationVersion = reader.unsignedValue();
        news.registrationsPosition = reader.signedValue();
        news.leaving = reader.boolean();
        news.mayCoordinate = reader.boolean();
        news.cpuCores = reader.number();
        news.maxUpdateInterval = Millis { static_cast<std::int64_t>(std::min(reader.unsignedValue(), longestPromise)) };
        news.knownDaemonCount = reader.smallValue();
        news.lastGrantNumber = reader.unsignedValue();
        news.isSnapshot = reader.boolean();
        news.loads = readList(reader.nested(), readLoad);
        news.attemptReports = readList(reader.nested(), readAnswer);
        news.sentPrompts = readList(reader.nested(), readPrompt);
        news.rates = readList(reader.nested(), readRate);
        news.crashes = readList(reader.nested(), readCrash);
        news.refusals = readList(reader.nested(), readRefusal);
        news.livePeerAddresses = readList(reader.nested(), [](ArrayReader& list) { return std::string(list.text()); });
        reader.finish();
        return news;
    } catch (const std::exception& fault) {
        return Error { .kind = ErrorKind::PeerMessageRejected, .message = fault.what() };
    }
}

}
