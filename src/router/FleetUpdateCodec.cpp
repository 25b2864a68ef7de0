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

    LoadNews readLoad(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        LoadNews news { .endpoint = row.unsignedValue() };
        news.load.running = row.smallValue();
        news.load.unreadTokens = row.unsignedValue();
        news.load.heldTokens = row.unsignedValue();
        row.finish();
        return news;
    }

    PromptNews readPrompt(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        PromptNews news { .endpoint = row.unsignedValue() };
        while (!row.atEnd()) {
            std::uint64_t key = row.unsignedValue();
            news.prompt.push_back({ .key = key, .tokens = row.smallValue() });
        }
        return news;
    }

    AnswerReport readAnswer(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        AnswerReport report { .endpoint = row.unsignedValue() };
        report.ended = row.boolean();
        std::uint32_t outcome = row.smallValue();
        if (outcome > static_cast<std::uint32_t>(EndpointOutcome::Cancelled))
            throw msgpack::type_error();
        report.outcome = static_cast<EndpointOutcome>(outcome);
        report.workAhead = row.unsignedValue();
        report.milliseconds = row.smallValue();
        row.finish();
        return report;
    }

    WorkspaceRate readRate(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        WorkspaceRate rate { .workspace = row.unsignedValue() };
        rate.asked = row.number();
        rate.served = row.number();
        row.finish();
        return rate;
    }

    RefusalNews readRefusal(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        RefusalNews refusal { .contentHash = row.unsignedValue() };
        refusal.age = row.smallValue();
        row.finish();
        return refusal;
    }

    CrashMark readCrash(ArrayReader& list)
    {
        ArrayReader row = list.nested();
        CrashMark mark {
            .contentHash = row.unsignedValue(), .losses = row.smallValue(), .eventId = row.unsignedValue()
        };
        row.finish();
        return mark;
    }

}

std::string encodeFleetNews(const FleetNews& news)
{
    StringBuffer buffer;
    msgpack::packer<StringBuffer> packer(buffer);
    packer.pack_array(fieldCount);
    packer.pack(formatVersion);
    packer.pack(news.daemon);
    packer.pack(news.daemonId);
    packer.pack(news.address);
    packer.pack(news.sequence);
    packer.pack(news.configurationVersion);
    packer.pack(news.registrationsPosition);
    packer.pack(news.leaving);
    packer.pack(news.mayCoordinate);
    packer.pack(static_cast<float>(news.processorShare));
    packer.pack(static_cast<std::uint64_t>(news.nextWithin.count));
    packer.pack(news.knownDaemons);
    packer.pack(news.grantsSeen);
    packer.pack(news.complete);
    packList(packer, news.loads, [&](const LoadNews& item) {
        packer.pack_array(4);
        packer.pack(item.endpoint);
        packer.pack(item.load.running);
        packer.pack(item.load.unreadTokens);
        packer.pack(item.load.heldTokens);
    });
    packList(packer, news.answers, [&](const AnswerReport& item) {
        packer.pack_array(5);
        packer.pack(item.endpoint);
        packer.pack(item.ended);
        packer.pack(static_cast<unsigned>(item.outcome));
        packer.pack(item.workAhead);
        packer.pack(item.milliseconds);
    });
    packList(packer, news.prompts, [&](const PromptNews& item) {
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
        packer.pack(static_cast<float>(item.asked));
        packer.pack(static_cast<float>(item.served));
    });
    packList(packer, news.crashes, [&](const CrashMark& item) {
        packer.pack_array(3);
        packer.pack(item.contentHash);
        packer.pack(item.losses);
        packer.pack(item.eventId);
    });
    packList(packer, news.refusals, [&](const RefusalNews& item) {
        packer.pack_array(2);
        packer.pack(item.contentHash);
        packer.pack(item.age);
    });
    packList(packer, news.peers, [&](const std::string& item) { packer.pack(item); });
    return std::move(buffer.bytes);
}

Result<FleetNews> decodeFleetNews(std::string_view bytes)
{
    try {
        msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        ArrayReader reader(handle.get());
        if (reader.unsignedValue() != formatVersion)
            return Error { .kind = ErrorKind::PeerMessageRejected, .message = "another version of the format" };
        FleetNews news;
        news.daemon = reader.unsignedValue();
        news.daemonId = reader.text();
        news.address = reader.text();
        news.sequence = reader.unsignedValue();
        news.configurationVersion = reader.unsignedValue();
        news.registrationsPosition = reader.signedValue();
        news.leaving = reader.boolean();
        news.mayCoordinate = reader.boolean();
        news.processorShare = reader.number();
        news.nextWithin = Millis { static_cast<std::int64_t>(std::min(reader.unsignedValue(), longestPromise)) };
        news.knownDaemons = reader.smallValue();
        news.grantsSeen = reader.unsignedValue();
        news.complete = reader.boolean();
        news.loads = readList(reader.nested(), readLoad);
        news.answers = readList(reader.nested(), readAnswer);
        news.prompts = readList(reader.nested(), readPrompt);
        news.rates = readList(reader.nested(), readRate);
        news.crashes = readList(reader.nested(), readCrash);
        news.refusals = readList(reader.nested(), readRefusal);
        news.peers = readList(reader.nested(), [](ArrayReader& list) { return std::string(list.text()); });
        reader.finish();
        return news;
    } catch (const std::exception& fault) {
        return Error { .kind = ErrorKind::PeerMessageRejected, .message = fault.what() };
    }
}

}
