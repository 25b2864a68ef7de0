#include "net/PeerPayloadCodec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminestack {

namespace {

    using Packer = msgpack::packer<MsgpackBuffer>;

    /// Front coding: each text is packed as the length of the prefix shared with the one before and the rest.
    class TextPacker {
    public:
        explicit TextPacker(Packer& packer)
            : m_packer(packer)
        {
        }
        void pack(std::string_view text)
        {
            auto differ = std::mismatch(text.begin(), text.end(), m_previous.begin(), m_previous.end());
            auto shared = static_cast<std::size_t>(differ.first - text.begin());
            m_packer.pack(shared);
            m_packer.pack(text.substr(shared));
            m_previous = text;
        }

    private:
        Packer& m_packer;
        std::string m_previous;
    };

    class TextReader {
    public:
        std::string read(MsgpackArrayReader& reader)
        {
            std::size_t shared = reader.readUnsigned();
            // Without the bound, front coding would let a small message expand to a very large one.
            std::string_view rest = reader.readText();
            if (shared > m_previous.size() || shared + rest.size() > maxText)
                throw msgpack::type_error();
            m_previous = m_previous.substr(0, shared).append(rest);
            return m_previous;
        }

    private:
        static constexpr std::size_t maxText = 256;
        std::string m_previous;
    };

    /// Whole numbers take the short integer form.
    void packNumber(Packer& packer, double value)
    {
        if (value >= 0 && value < 9.0e15 && value == std::floor(value))
            packer.pack(static_cast<std::uint64_t>(value));
        else
            packer.pack(value);
    }

    void packCell(Packer& packer, const CellId& cell)
    {
        packer.pack(cell.pool.value);
        packer.pack(cell.index);
    }

    CellId readCell(MsgpackArrayReader& reader)
    {
        CellId cell { .pool = PoolId(reader.readText()) };
        cell.index = reader.readUnsigned32();
        return cell;
    }

    void packDigest(Packer& packer, const ConfigurationDigest& digest)
    {
        packer.pack(digest.version);
        packer.pack(digest.throughOffset);
    }

    ConfigurationDigest readDigest(MsgpackArrayReader& reader)
    {
        ConfigurationDigest digest { .version = reader.readUnsigned() };
        digest.throughOffset = reader.readSigned();
        return digest;
    }

    constexpr std::uint32_t updateFields = 10;

    void packUpdates(Packer& packer, const std::vector<MemberUpdate>& updates)
    {
        TextPacker ids(packer);
        TextPacker addresses(packer);
        TextPacker zones(packer);
        TextPacker regions(packer);
        packer.pack_array(static_cast<std::uint32_t>(updates.size()) * updateFields);
        for (const MemberUpdate& update : updates) {
            ids.pack(update.id.value);
            addresses.pack(update.address);
            zones.pack(update.availabilityZone);
            regions.pack(update.region);
            packer.pack(update.incarnation);
            packer.pack(static_cast<unsigned>(update.state));
        }
    }

    std::vector<MemberUpdate> readUpdates(MsgpackArrayReader reader)
    {
        TextReader ids;
        TextReader addresses;
        TextReader zones;
        TextReader regions;
        std::vector<MemberUpdate> updates;
        while (!reader.atEnd()) {
            MemberUpdate& update = updates.emplace_back();
            update.id = DaemonId(ids.read(reader));
            update.address = addresses.read(reader);
            update.availabilityZone = zones.read(reader);
            update.region = regions.read(reader);
            update.incarnation = reader.readUnsigned();
            std::uint64_t state = reader.readUnsigned();
            if (state > static_cast<std::uint64_t>(MemberState::Left))
                throw msgpack::type_error();
            update.state = static_cast<MemberState>(state);
        }
        return updates;
    }

    void packOne(Packer& packer, const Probe& probe)
    {
        packer.pack_array(7);
        packer.pack(probe.nonce);
        packDigest(packer, probe.configurationDigest);
        packUpdates(packer, probe.updates);
        packer.pack(probe.tableHash);
        packer.pack(probe.unansweredProbes);
        packer.pack(static_cast<unsigned>(probe.tableRequested));
    }

    Probe readProbe(MsgpackArrayReader& reader)
    {
        Probe probe { .nonce = reader.readUnsigned() };
        probe.configurationDigest = readDigest(reader);
        probe.updates = readUpdates(reader.readArray());
        probe.tableHash = reader.readUnsigned32();
        probe.unansweredProbes = reader.readUnsigned32();
        probe.tableRequested = reader.readUnsigned() != 0;
        return probe;
    }

    void packOne(Packer& packer, const ProbeAck& ack)
    {
        packer.pack_array(6);
        packer.pack(ack.nonce);
        packDigest(packer, ack.configurationDigest);
        packUpdates(packer, ack.updates);
        packer.pack(ack.tableHash);
        packer.pack(static_cast<unsigned>(ack.isFullTable));
    }

    ProbeAck readProbeAck(MsgpackArrayReader& reader)
    {
        ProbeAck ack { .nonce = reader.readUnsigned() };
        ack.configurationDigest = readDigest(reader);
        ack.updates = readUpdates(reader.readArray());
        ack.tableHash = reader.readUnsigned32();
        ack.isFullTable = reader.readUnsigned() != 0;
        return ack;
    }

    void packOne(Packer& packer, const DemandReport& report)
    {
        packer.pack_array(7);
        packCell(packer, report.cell);
        packer.pack(report.sequence);
        packer.pack(report.allocationSequence);
        packer.pack_array(static_cast<std::uint32_t>(report.demand.size()) * 6);
        TextPacker workspaces(packer);
        for (const WorkspaceDemand& demand : report.demand) {
            workspaces.pack(demand.workspace.value);
            packer.pack(demand.queued);
            packer.pack(demand.running);
            packer.pack(demand.oldestQueuedAge.count);
            packer.pack(demand.servedCost);
        }
        packer.pack_array(static_cast<std::uint32_t>(report.inFlightByEndpoint.size()) * 3);
        TextPacker endpoints(packer);
        for (const EndpointInFlight& use : report.inFlightByEndpoint) {
            endpoints.pack(use.endpoint.value);
            packer.pack(use.inFlight);
        }
        // Only reports to a new scheduler carry normalised service.
        bool known = std::any_of(report.demand.begin(), report.demand.end(),
            [](const WorkspaceDemand& demand) { return demand.normalisedService != 0; });
        packer.pack_array(known ? static_cast<std::uint32_t>(report.demand.size()) : 0);
        for (const WorkspaceDemand& demand : report.demand) {
            if (known)
                packNumber(packer, demand.normalisedService);
        }
    }

    DemandReport readDemandReport(MsgpackArrayReader& reader)
    {
        DemandReport report { .cell = readCell(reader) };
        report.sequence = reader.readUnsigned();
        report.allocationSequence = reader.readUnsigned();
        TextReader workspaces;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            WorkspaceDemand& demand = report.demand.emplace_back();
            demand.workspace = WorkspaceId(workspaces.read(list));
            demand.queued = list.readUnsigned32();
            demand.running = list.readUnsigned32();
            demand.oldestQueuedAge = { list.readSigned() };
            demand.servedCost = list.readUnsigned();
        }
        TextReader endpoints;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            EndpointInFlight& use = report.inFlightByEndpoint.emplace_back();
            use.endpoint = EndpointId(endpoints.read(list));
            use.inFlight = list.readUnsigned32();
        }
        MsgpackArrayReader normalised = reader.readArray();
        for (auto demand = report.demand.begin(); demand != report.demand.end() && !normalised.atEnd(); ++demand)
            demand->normalisedService = normalised.readDouble();
        return report;
    }

    // Normalised service is packed as the least value and 32-bit distances from it: the distances are what a daemon
    // compares, and they stay small while the values grow without bound.
    void packOne(Packer& packer, const Allocation& allocation)
    {
        packer.pack_array(9);
        packCell(packer, allocation.cell);
        packer.pack(allocation.schedulerIncarnation);
        packer.pack(allocation.sequence);
        packer.pack(allocation.reportSequence);
        packer.pack(allocation.leaseDuration.count);
        packer.pack_array(static_cast<std::uint32_t>(allocation.slots.size()) * 3);
        TextPacker endpoints(packer);
        for (const EndpointSlots& slots : allocation.slots) {
            endpoints.pack(slots.endpoint.value);
            packer.pack(slots.slots);
        }
        double least = allocation.quotas.empty() ? 0 : std::numeric_limits<double>::max();
        for (const WorkspaceQuota& quota : allocation.quotas)
            least = std::min(least, quota.normalisedService);
        packNumber(packer, least);
        packer.pack_array(static_cast<std::uint32_t>(allocation.quotas.size()) * 4);
        TextPacker workspaces(packer);
        for (const WorkspaceQuota& quota : allocation.quotas) {
            workspaces.pack(quota.workspace.value);
            packer.pack(quota.maxRunning);
            packer.pack(static_cast<float>(quota.normalisedService - least));
        }
    }

    Allocation readAllocation(MsgpackArrayReader& reader)
    {
        Allocation allocation { .cell = readCell(reader) };
        allocation.schedulerIncarnation = reader.readUnsigned();
        allocation.sequence = reader.readUnsigned();
        allocation.reportSequence = reader.readUnsigned();
        allocation.leaseDuration = { reader.readSigned() };
        TextReader endpoints;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            EndpointSlots& slots = allocation.slots.emplace_back();
            slots.endpoint = EndpointId(endpoints.read(list));
            slots.slots = list.readUnsigned32();
        }
        double least = reader.readDouble();
        TextReader workspaces;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            WorkspaceQuota& quota = allocation.quotas.emplace_back();
            quota.workspace = WorkspaceId(workspaces.read(list));
            quota.maxRunning = list.readUnsigned32();
            quota.normalisedService = least + list.readDouble();
        }
        return allocation;
    }

    void packOne(Packer& packer, const CellReport& exchange)
    {
        packer.pack_array(5);
        packCell(packer, exchange.cell);
        packer.pack(exchange.sequence);
        packer.pack(exchange.spareSlots);
        packer.pack_array(static_cast<std::uint32_t>(exchange.workspaceService.size()) * 4);
        TextPacker workspaces(packer);
        for (const WorkspaceQuota& service : exchange.workspaceService) {
            workspaces.pack(service.workspace.value);
            packer.pack(service.maxRunning);
            packNumber(packer, service.normalisedService);
        }
    }

    CellReport readCellExchange(MsgpackArrayReader& reader)
    {
        CellReport exchange { .cell = readCell(reader) };
        exchange.sequence = reader.readUnsigned();
        exchange.spareSlots = reader.readUnsigned32();
        TextReader workspaces;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            WorkspaceQuota& service = exchange.workspaceService.emplace_back();
            service.workspace = WorkspaceId(workspaces.read(list));
            service.maxRunning = list.readUnsigned32();
            service.normalisedService = list.readDouble();
        }
        return exchange;
    }

    void packOne(Packer& packer, const ConfigurationRequest& request)
    {
        packer.pack_array(2);
        packDigest(packer, request.currentDigest);
    }

    void packOne(Packer& packer, const ConfigurationState& state)
    {
        packer.pack_array(5);
        packDigest(packer, state.digest);
        packer.pack(state.document);
        packer.pack(state.changesFrom);
        packer.pack_array(static_cast<std::uint32_t>(state.changes.size()) * 3);
        for (const ConfigurationChange& change : state.changes) {
            packer.pack(change.offset);
            packer.pack(change.timestampMs);
            packer.pack(change.payload);
        }
    }

    void packOne(Packer& packer, const CrashMark& mark)
    {
        packer.pack_array(3);
        packer.pack(mark.contentHash);
        packer.pack(mark.lossCount);
        packer.pack(mark.lossEventId);
    }

    void packOne(Packer& packer, const EndpointLeavingUpdate& news)
    {
        packer.pack_array(2);
        packer.pack(news.endpoint.value);
        packer.pack(static_cast<unsigned>(news.leaving));
    }

    PeerPayload readOne(std::uint64_t type, MsgpackArrayReader& reader)
    {
        switch (type) {
        case 0:
            return readProbe(reader);
        case 1:
            return readProbeAck(reader);
        case 2:
            return readDemandReport(reader);
        case 3:
            return readAllocation(reader);
        case 4:
            return readCellExchange(reader);
        case 5:
            return ConfigurationRequest { .currentDigest = readDigest(reader) };
        case 6: {
            ConfigurationState state { .digest = readDigest(reader) };
            state.document = reader.readText();
            state.changesFrom = reader.readSigned();
            for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
                ConfigurationChange& change = state.changes.emplace_back();
                change.offset = list.readSigned();
                change.timestampMs = list.readSigned();
                change.payload = list.readText();
            }
            return state;
        }
        case 7: {
            CrashMark mark { .contentHash = reader.readUnsigned() };
            mark.lossCount = reader.readUnsigned32();
            mark.lossEventId = reader.readUnsigned();
            return mark;
        }
        case 8: {
            EndpointLeavingUpdate news { .endpoint = EndpointId(reader.readText()) };
            news.leaving = reader.readUnsigned() != 0;
            return news;
        }
        default:
            throw msgpack::type_error();
        }
    }

}

void packPayload(Packer& packer, const PeerPayload& payload)
{
    std::visit([&](const auto& one) { packOne(packer, one); }, payload);
}

PeerPayload unpackPayload(std::uint64_t type, MsgpackArrayReader reader)
{
    PeerPayload payload = readOne(type, reader);
    reader.requireEnd();
    return payload;
}

}
