#include "net/PeerPayloadCodec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminestack {

namespace {

    using Packer = msgpack::packer<MsgpackBuffer>;

    /// Front coding: each text is packed as the length of the prefix shared with the previous text, and the suffix.
    class FrontCodingPacker {
    public:
        explicit FrontCodingPacker(Packer& packer)
            : m_packer(packer)
        {
        }
        void pack(std::string_view text)
        {
            auto firstDifference = std::mismatch(text.begin(), text.end(), m_previous.begin(), m_previous.end());
            auto sharedLength = static_cast<std::size_t>(firstDifference.first - text.begin());
            m_packer.pack(sharedLength);
            m_packer.pack(text.substr(sharedLength));
            m_previous = text;
        }

    private:
        Packer& m_packer;
        std::string m_previous;
    };

    class FrontCodingReader {
    public:
        std::string read(MsgpackArrayReader& reader)
        {
            std::size_t sharedLength = reader.readUnsigned();
            // maxTextBytes bounds the decoded text: front coding would otherwise let a small message expand to a very
            // large one.
            std::string_view suffix = reader.readText();
            if (sharedLength > m_previous.size() || sharedLength + suffix.size() > maxTextBytes)
                throw msgpack::type_error();
            m_previous = m_previous.substr(0, sharedLength).append(suffix);
            return m_previous;
        }

    private:
        static constexpr std::size_t maxTextBytes = 256;
        std::string m_previous;
    };

    /// Whole numbers are packed in the short integer form; those below 9.0e15 are exact in a double.
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

    // Each of the four front-coded texts takes two array elements, the incarnation and the state one each.
    constexpr std::uint32_t elementsPerUpdate = 10;

    void packUpdates(Packer& packer, const std::vector<MemberUpdate>& updates)
    {
        FrontCodingPacker ids(packer);
        FrontCodingPacker addresses(packer);
        FrontCodingPacker zones(packer);
        FrontCodingPacker regions(packer);
        packer.pack_array(static_cast<std::uint32_t>(updates.size()) * elementsPerUpdate);
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
        FrontCodingReader ids;
        FrontCodingReader addresses;
        FrontCodingReader zones;
        FrontCodingReader regions;
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

    void packFields(Packer& packer, const Probe& probe)
    {
        packer.pack_array(7);
        packer.pack(probe.nonce);
        packDigest(packer, probe.configurationDigest);
        packUpdates(packer, probe.updates);
        packer.pack(probe.tableHash);
        packer.pack(probe.unacknowledgedProbes);
        packer.pack(static_cast<unsigned>(probe.tableRequested));
    }

    Probe readProbe(MsgpackArrayReader& reader)
    {
        Probe probe { .nonce = reader.readUnsigned() };
        probe.configurationDigest = readDigest(reader);
        probe.updates = readUpdates(reader.readArray());
        probe.tableHash = reader.readUnsigned32();
        probe.unacknowledgedProbes = reader.readUnsigned32();
        probe.tableRequested = reader.readUnsigned() != 0;
        return probe;
    }

    void packFields(Packer& packer, const ProbeAck& ack)
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

    void packFields(Packer& packer, const DemandReport& report)
    {
        packer.pack_array(7);
        packCell(packer, report.cell);
        packer.pack(report.sequence);
        packer.pack(report.allocationSequence);
        packer.pack_array(static_cast<std::uint32_t>(report.demand.size()) * 6);
        FrontCodingPacker workspaces(packer);
        for (const WorkspaceDemand& demand : report.demand) {
            workspaces.pack(demand.workspace.value);
            packer.pack(demand.queued);
            packer.pack(demand.running);
            packer.pack(demand.oldestQueuedAge.count);
            packer.pack(demand.servedCost);
        }
        packer.pack_array(static_cast<std::uint32_t>(report.inFlightByEndpoint.size()) * 3);
        FrontCodingPacker endpoints(packer);
        for (const EndpointInFlight& endpointInFlight : report.inFlightByEndpoint) {
            endpoints.pack(endpointInFlight.endpoint.value);
            packer.pack(endpointInFlight.inFlight);
        }
        // Normalised service is packed only in reports to a new scheduler; it is 0 in all others.
        bool hasNormalisedService = std::any_of(report.demand.begin(), report.demand.end(),
            [](const WorkspaceDemand& demand) { return demand.normalisedService != 0; });
        packer.pack_array(hasNormalisedService ? static_cast<std::uint32_t>(report.demand.size()) : 0);
        for (const WorkspaceDemand& demand : report.demand) {
            if (hasNormalisedService)
                packNumber(packer, demand.normalisedService);
        }
    }

    DemandReport readDemandReport(MsgpackArrayReader& reader)
    {
        DemandReport report { .cell = readCell(reader) };
        report.sequence = reader.readUnsigned();
        report.allocationSequence = reader.readUnsigned();
        FrontCodingReader workspaces;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            WorkspaceDemand& demand = report.demand.emplace_back();
            demand.workspace = WorkspaceId(workspaces.read(list));
            demand.queued = list.readUnsigned32();
            demand.running = list.readUnsigned32();
            demand.oldestQueuedAge = { list.readSigned() };
            demand.servedCost = list.readUnsigned();
        }
        FrontCodingReader endpoints;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            EndpointInFlight& endpointInFlight = report.inFlightByEndpoint.emplace_back();
            endpointInFlight.endpoint = EndpointId(endpoints.read(list));
            endpointInFlight.inFlight = list.readUnsigned32();
        }
        MsgpackArrayReader normalisedServices = reader.readArray();
        for (auto demand = report.demand.begin(); demand != report.demand.end() && !normalisedServices.atEnd();
             ++demand)
            demand->normalisedService = normalisedServices.readDouble();
        return report;
    }

    // Normalised service is packed as the minimum and 32-bit differences from it: daemons compare only the differences,
    // which stay small while the values grow without bound.
    void packFields(Packer& packer, const Allocation& allocation)
    {
        packer.pack_array(9);
        packCell(packer, allocation.cell);
        packer.pack(allocation.schedulerIncarnation);
        packer.pack(allocation.sequence);
        packer.pack(allocation.reportSequence);
        packer.pack(allocation.leaseDuration.count);
        packer.pack_array(static_cast<std::uint32_t>(allocation.slots.size()) * 3);
        FrontCodingPacker endpoints(packer);
        for (const EndpointSlots& endpointSlots : allocation.slots) {
            endpoints.pack(endpointSlots.endpoint.value);
            packer.pack(endpointSlots.slots);
        }
        double minNormalisedService = allocation.quotas.empty() ? 0 : std::numeric_limits<double>::max();
        for (const WorkspaceQuota& quota : allocation.quotas)
            minNormalisedService = std::min(minNormalisedService, quota.normalisedService);
        packNumber(packer, minNormalisedService);
        packer.pack_array(static_cast<std::uint32_t>(allocation.quotas.size()) * 4);
        FrontCodingPacker workspaces(packer);
        for (const WorkspaceQuota& quota : allocation.quotas) {
            workspaces.pack(quota.workspace.value);
            packer.pack(quota.maxRunning);
            packer.pack(static_cast<float>(quota.normalisedService - minNormalisedService));
        }
    }

    Allocation readAllocation(MsgpackArrayReader& reader)
    {
        Allocation allocation { .cell = readCell(reader) };
        allocation.schedulerIncarnation = reader.readUnsigned();
        allocation.sequence = reader.readUnsigned();
        allocation.reportSequence = reader.readUnsigned();
        allocation.leaseDuration = { reader.readSigned() };
        FrontCodingReader endpoints;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            EndpointSlots& endpointSlots = allocation.slots.emplace_back();
            endpointSlots.endpoint = EndpointId(endpoints.read(list));
            endpointSlots.slots = list.readUnsigned32();
        }
        double minNormalisedService = reader.readDouble();
        FrontCodingReader workspaces;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            WorkspaceQuota& quota = allocation.quotas.emplace_back();
            quota.workspace = WorkspaceId(workspaces.read(list));
            quota.maxRunning = list.readUnsigned32();
            quota.normalisedService = minNormalisedService + list.readDouble();
        }
        return allocation;
    }

    void packFields(Packer& packer, const CellReport& report)
    {
        packer.pack_array(5);
        packCell(packer, report.cell);
        packer.pack(report.sequence);
        packer.pack(report.spareSlots);
        packer.pack_array(static_cast<std::uint32_t>(report.workspaceService.size()) * 4);
        FrontCodingPacker workspaces(packer);
        for (const WorkspaceQuota& service : report.workspaceService) {
            workspaces.pack(service.workspace.value);
            packer.pack(service.maxRunning);
            packNumber(packer, service.normalisedService);
        }
    }

    CellReport readCellReport(MsgpackArrayReader& reader)
    {
        CellReport report { .cell = readCell(reader) };
        report.sequence = reader.readUnsigned();
        report.spareSlots = reader.readUnsigned32();
        FrontCodingReader workspaces;
        for (MsgpackArrayReader list = reader.readArray(); !list.atEnd();) {
            WorkspaceQuota& service = report.workspaceService.emplace_back();
            service.workspace = WorkspaceId(workspaces.read(list));
            service.maxRunning = list.readUnsigned32();
            service.normalisedService = list.readDouble();
        }
        return report;
    }

    void packFields(Packer& packer, const ConfigurationRequest& request)
    {
        packer.pack_array(2);
        packDigest(packer, request.currentDigest);
    }

    void packFields(Packer& packer, const ConfigurationState& state)
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

    void packFields(Packer& packer, const CrashMark& mark)
    {
        packer.pack_array(3);
        packer.pack(mark.contentHash);
        packer.pack(mark.lossCount);
        packer.pack(mark.lossEventId);
    }

    void packFields(Packer& packer, const EndpointLeavingUpdate& update)
    {
        packer.pack_array(2);
        packer.pack(update.endpoint.value);
        packer.pack(static_cast<unsigned>(update.leaving));
    }

    PeerPayload readFields(std::uint64_t type, MsgpackArrayReader& reader)
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
            return readCellReport(reader);
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
            EndpointLeavingUpdate update { .endpoint = EndpointId(reader.readText()) };
            update.leaving = reader.readUnsigned() != 0;
            return update;
        }
        default:
            throw msgpack::type_error();
        }
    }

}

void packPayload(Packer& packer, const PeerPayload& payload)
{
    std::visit([&](const auto& alternative) { packFields(packer, alternative); }, payload);
}

PeerPayload unpackPayload(std::uint64_t type, MsgpackArrayReader reader)
{
    PeerPayload payload = readFields(type, reader);
    reader.requireEnd();
    return payload;
}

}
