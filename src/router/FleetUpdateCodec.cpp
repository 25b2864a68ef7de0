#include "router/FleetUpdateCodec.h"

#include "net/MessagePack.h"

#include <algorithm>

namespace jasminestack {

namespace {

    constexpr std::uint64_t formatVersion = 5;

    // Length of the outer array. It tells fleet updates from placement messages, whose arrays are shorter; see
    // PlacementCodec.cpp.
    constexpr std::uint32_t fieldCount = 22;

    // Upper bound of a maximum update interval: a longer one in a message is reduced to this.
    constexpr std::uint64_t maxUpdateIntervalMs = 60'000;

    // Maximum number of items in each list of a message; bounds the memory that a malformed message takes.
    constexpr std::size_t maxItems = 10'000;

    // Upper bound of ages in messages; prevents overflow by a malformed message.
    constexpr std::uint64_t maxAgeMs = 1'000'000'000;

    std::size_t checkedItemCount(const MsgpackArrayReader& list)
    {
        if (list.remaining() > maxItems)
            throw msgpack::type_error();
        return list.remaining();
    }

    template <typename Item, typename PackItem>
    void packList(msgpack::packer<MsgpackBuffer>& packer, const std::vector<Item>& items, PackItem packItem)
    {
        packer.pack_array(static_cast<std::uint32_t>(items.size()));
        for (const Item& item : items)
            packItem(item);
    }

    template <typename ReadItem> auto readList(MsgpackArrayReader list, ReadItem readItem)
    {
        std::vector<decltype(readItem(list))> items;
        items.reserve(checkedItemCount(list));
        while (!list.atEnd())
            items.push_back(readItem(list));
        return items;
    }

    EndpointLoadUpdate readLoad(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        EndpointLoadUpdate update { .endpoint = row.readUnsigned() };
        update.load.inFlight = row.readUnsigned32();
        update.load.pendingPrefillTokens = row.readUnsigned();
        update.load.reservedTokens = row.readUnsigned();
        row.requireEnd();
        return update;
    }

    SentPrompt readSentPrompt(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        SentPrompt sentPrompt { .endpoint = row.readUnsigned() };
        while (!row.atEnd()) {
            std::uint64_t key = row.readUnsigned();
            sentPrompt.prompt.push_back({ .key = key, .tokens = row.readUnsigned32() });
        }
        return sentPrompt;
    }

    AttemptReport readAttemptReport(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        AttemptReport report { .endpoint = row.readUnsigned() };
        report.hasEnded = row.readBoolean();
        std::uint32_t outcome = row.readUnsigned32();
        if (outcome > static_cast<std::uint32_t>(AttemptOutcome::Cancelled))
            throw msgpack::type_error();
        report.outcome = static_cast<AttemptOutcome>(outcome);
        // Reports of a first byte and of an end use the same field.
        if (report.hasEnded)
            report.eventIntervalMs = row.readUnsigned32();
        else
            report.backlogTokens = row.readUnsigned();
        report.elapsedMs = row.readUnsigned32();
        row.requireEnd();
        return report;
    }

    WorkspaceRate readWorkspaceRate(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        WorkspaceRate rate { .workspace = row.readUnsigned() };
        rate.demandTokensPerSecond = row.readDouble();
        rate.servedTokensPerSecond = row.readDouble();
        row.requireEnd();
        return rate;
    }

    RefusalReport readRefusalReport(MsgpackArrayReader& list)
    {
        MsgpackArrayReader row = list.readArray();
        RefusalReport refusal { .contentHash = row.readUnsigned() };
        refusal.ageMs = row.readUnsigned32();
        row.requireEnd();
        return refusal;
    }

    std::uint64_t ageMs(Millis time, Millis now)
    {
        return static_cast<std::uint64_t>(std::max((now - time).count, std::int64_t { 0 }));
    }

    Millis readTime(MsgpackArrayReader& row, Millis now)
    {
        return now - Millis { static_cast<std::int64_t>(std::min(row.readUnsigned(), maxAgeMs)) };
    }

    void packCrashEvidence(msgpack::packer<MsgpackBuffer>& packer, const CrashEvidence& evidence, Millis now)
    {
        packer.pack_array(3);
        packList(packer, evidence.losses, [&](const EndpointLoss& loss) {
            packer.pack_array(3);
            packer.pack(loss.endpoint);
            packer.pack(ageMs(loss.at, now));
            packList(packer, loss.requests, [&](const SuspectRequest& request) {
                packer.pack_array(static_cast<std::uint32_t>(4 + request.traits.size()));
                packer.pack(request.workspace);
                packer.pack(request.hasBegun);
                packer.pack(ageMs(request.sentAt, now));
                packer.pack(request.content);
                for (TraitHash trait : request.traits)
                    packer.pack(trait);
            });
        });
        packList(packer, evidence.clearances, [&](const TraitClearance& clearance) {
            packer.pack_array(2);
            packer.pack(clearance.trait);
            packer.pack(ageMs(clearance.at, now));
        });
        packList(packer, evidence.quarantines, [&](const TraitQuarantine& quarantine) {
            packer.pack_array(4);
            packer.pack(quarantine.trait);
            packer.pack(quarantine.workspace);
            packer.pack(quarantine.trials);
            packer.pack(ageMs(quarantine.since, now));
        });
    }

    SuspectRequest readSuspectRequest(MsgpackArrayReader& list, Millis now)
    {
        MsgpackArrayReader row = list.readArray();
        SuspectRequest request { .workspace = row.readUnsigned() };
        request.hasBegun = row.readBoolean();
        request.sentAt = readTime(row, now);
        request.content = row.readUnsigned();
        while (!row.atEnd())
            request.traits.push_back(row.readUnsigned());
        return request;
    }

    CrashEvidence readCrashEvidence(MsgpackArrayReader lists, Millis now)
    {
        CrashEvidence evidence;
        evidence.losses = readList(lists.readArray(), [&](MsgpackArrayReader& list) {
            MsgpackArrayReader row = list.readArray();
            EndpointLoss loss { .endpoint = row.readUnsigned() };
            loss.at = readTime(row, now);
            loss.requests = readList(
                row.readArray(), [&](MsgpackArrayReader& requests) { return readSuspectRequest(requests, now); });
            row.requireEnd();
            return loss;
        });
        evidence.clearances = readList(lists.readArray(), [&](MsgpackArrayReader& list) {
            MsgpackArrayReader row = list.readArray();
            TraitClearance clearance { .trait = row.readUnsigned() };
            clearance.at = readTime(row, now);
            row.requireEnd();
            return clearance;
        });
        evidence.quarantines = readList(lists.readArray(), [&](MsgpackArrayReader& list) {
            MsgpackArrayReader row = list.readArray();
            TraitQuarantine quarantine { .trait = row.readUnsigned() };
            quarantine.workspace = row.readUnsigned();
            quarantine.trials = row.readUnsigned32();
            quarantine.since = readTime(row, now);
            row.requireEnd();
            return quarantine;
        });
        lists.requireEnd();
        return evidence;
    }

}

std::string encodeFleetUpdate(const FleetUpdate& update, Millis now)
{
    MsgpackBuffer buffer;
    msgpack::packer<MsgpackBuffer> packer(buffer);
    packer.pack_array(fieldCount);
    packer.pack(formatVersion);
    packer.pack(update.instanceId);
    packer.pack(update.daemonId);
    packer.pack(update.address);
    packer.pack(update.sequence);
    packer.pack(update.configurationVersion);
    packer.pack(update.registrationsPosition);
    packer.pack(update.operatorPosition);
    packer.pack(update.isLeaving);
    packer.pack(update.mayCoordinate);
    packer.pack(update.cpuCores);
    packer.pack(static_cast<std::uint64_t>(update.maxUpdateInterval.count));
    packer.pack(update.knownDaemonCount);
    packer.pack(update.lastGrantNumber);
    packer.pack(update.isSnapshot);
    packList(packer, update.endpointLoads, [&](const EndpointLoadUpdate& item) {
        packer.pack_array(4);
        packer.pack(item.endpoint);
        packer.pack(item.load.inFlight);
        packer.pack(item.load.pendingPrefillTokens);
        packer.pack(item.load.reservedTokens);
    });
    packList(packer, update.attemptReports, [&](const AttemptReport& item) {
        packer.pack_array(5);
        packer.pack(item.endpoint);
        packer.pack(item.hasEnded);
        packer.pack(static_cast<unsigned>(item.outcome));
        packer.pack(item.hasEnded ? item.eventIntervalMs : item.backlogTokens);
        packer.pack(item.elapsedMs);
    });
    packList(packer, update.sentPrompts, [&](const SentPrompt& item) {
        packer.pack_array(static_cast<std::uint32_t>(1 + 2 * item.prompt.size()));
        packer.pack(item.endpoint);
        for (const PromptPart& part : item.prompt) {
            packer.pack(part.key);
            packer.pack(part.tokens);
        }
    });
    packList(packer, update.workspaceRates, [&](const WorkspaceRate& item) {
        packer.pack_array(3);
        packer.pack(item.workspace);
        packer.pack(static_cast<float>(item.demandTokensPerSecond));
        packer.pack(static_cast<float>(item.servedTokensPerSecond));
    });
    packCrashEvidence(packer, update.crashEvidence, now);
    packList(packer, update.refusals, [&](const RefusalReport& item) {
        packer.pack_array(2);
        packer.pack(item.contentHash);
        packer.pack(item.ageMs);
    });
    packList(packer, update.livePeerAddresses, [&](const std::string& item) { packer.pack(item); });
    return std::move(buffer.bytes);
}

Result<FleetUpdate> decodeFleetUpdate(std::string_view bytes, Millis now)
{
    try {
        msgpack::object_handle handle = unpackMessage(bytes);
        MsgpackArrayReader reader(handle.get());
        if (reader.readUnsigned() != formatVersion)
            return Error { .kind = ErrorKind::PeerMessageRejected, .message = "unsupported format version" };
        FleetUpdate update;
        update.instanceId = reader.readUnsigned();
        update.daemonId = reader.readText();
        update.address = reader.readText();
        update.sequence = reader.readUnsigned();
        update.configurationVersion = reader.readUnsigned();
        update.registrationsPosition = reader.readSigned();
        update.operatorPosition = reader.readSigned();
        update.isLeaving = reader.readBoolean();
        update.mayCoordinate = reader.readBoolean();
        update.cpuCores = static_cast<float>(reader.readDouble());
        update.maxUpdateInterval
            = Millis { static_cast<std::int64_t>(std::min(reader.readUnsigned(), maxUpdateIntervalMs)) };
        update.knownDaemonCount = reader.readUnsigned32();
        update.lastGrantNumber = reader.readUnsigned();
        update.isSnapshot = reader.readBoolean();
        update.endpointLoads = readList(reader.readArray(), readLoad);
        update.attemptReports = readList(reader.readArray(), readAttemptReport);
        update.sentPrompts = readList(reader.readArray(), readSentPrompt);
        update.workspaceRates = readList(reader.readArray(), readWorkspaceRate);
        update.crashEvidence = readCrashEvidence(reader.readArray(), now);
        update.refusals = readList(reader.readArray(), readRefusalReport);
        update.livePeerAddresses
            = readList(reader.readArray(), [](MsgpackArrayReader& list) { return std::string(list.readText()); });
        reader.requireEnd();
        return update;
    } catch (const std::exception& error) {
        return Error { .kind = ErrorKind::PeerMessageRejected, .message = error.what() };
    }
}

}
