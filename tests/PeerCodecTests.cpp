#include "base/Hash.h"
#include "base/Random.h"
#include "net/PeerCodec.h"

#include <catch2/catch.hpp>

using namespace jasminestack;

namespace {

const std::string fleetKey = "0123456789abcdef0123456789abcdef";

std::string numberedId(const char* prefix, unsigned i)
{
    return std::string(prefix) + (i < 10 ? "0" : "") + std::to_string(i);
}

DemandReport largeDemandReport()
{
    DemandReport demandReport {
        .cell = { .pool = PoolId("workshop"), .index = 0 }, .sequence = 70'000, .allocationSequence = 90'000
    };
    for (unsigned i = 0; i < 16; ++i) {
        demandReport.demand.push_back({ .workspace = WorkspaceId(numberedId("kilic-small-", i)),
            .queued = 40 + i,
            .running = 5,
            .oldestQueuedAge = { 12'000 + i },
            .servedCost = 40'000'000 + i });
    }
    for (unsigned i = 0; i < 20; ++i)
        demandReport.inFlightByEndpoint.push_back(
            { .endpoint = EndpointId(numberedId("gebze-engine-", i)), .inFlight = 1 });
    return demandReport;
}

PeerMessage makeMessage(PeerPayload payload, std::uint64_t sequence = 1, std::uint64_t incarnation = 1'700'000'000'000)
{
    return {
        .sender = DaemonId("router-3"), .incarnation = incarnation, .sequence = sequence, .payload = std::move(payload)
    };
}

template <typename T> T roundTrip(T payload)
{
    PeerCodec codec(fleetKey);
    auto decoded = codec.decode(codec.encode(makeMessage(payload)));
    REQUIRE(decoded);
    REQUIRE(decoded.value().sender == DaemonId("router-3"));
    REQUIRE(decoded.value().incarnation == 1'700'000'000'000);
    REQUIRE(std::holds_alternative<T>(decoded.value().payload));
    return std::get<T>(decoded.value().payload);
}

/// Returns \p body with a valid authentication tag appended.
std::string appendTag(const std::string& body)
{
    return body + hmacSha256(fleetKey, body).substr(0, PeerCodec::tagBytes);
}

}

// Guards against fields that are lost or swapped because a type is packed and read in different order.
TEST_CASE("peer messages are unchanged after encoding and decoding", "[peers]")
{
    auto probe = roundTrip(Probe { .nonce = 7,
        .configurationDigest = { .version = 12, .throughOffset = 99 },
        .updates = { { .id = DaemonId("a-1"),
                         .address = "127.0.0.1:25001",
                         .availabilityZone = "gebze",
                         .region = "marmara",
                         .incarnation = 5,
                         .state = MemberState::Suspect },
            { .id = DaemonId("a-2"), .address = "127.0.0.1:25002", .incarnation = 6, .state = MemberState::Left } },
        .tableHash = 0xfedcba98,
        .unacknowledgedProbes = 2,
        .tableRequested = true });
    REQUIRE(probe.nonce == 7);
    REQUIRE(probe.configurationDigest.version == 12);
    REQUIRE(probe.configurationDigest.throughOffset == 99);
    REQUIRE(probe.tableHash == 0xfedcba98);
    REQUIRE(probe.unacknowledgedProbes == 2);
    REQUIRE(probe.tableRequested);
    REQUIRE(probe.updates.size() == 2);
    REQUIRE(probe.updates[0].availabilityZone == "gebze");
    REQUIRE(probe.updates[0].region == "marmara");
    REQUIRE(probe.updates[0].state == MemberState::Suspect);
    REQUIRE(probe.updates[1].id == DaemonId("a-2"));
    REQUIRE(probe.updates[1].address == "127.0.0.1:25002");
    REQUIRE(probe.updates[1].region.empty());
    REQUIRE(probe.updates[1].incarnation == 6);

    auto ack = roundTrip(ProbeAck { .nonce = 1, .configurationDigest = {}, .tableHash = 77, .isFullTable = true });
    REQUIRE(ack.nonce == 1);
    REQUIRE(ack.configurationDigest.throughOffset == -1);
    REQUIRE(ack.tableHash == 77);
    REQUIRE(ack.isFullTable);

    auto demandReport = roundTrip(largeDemandReport());
    REQUIRE(demandReport.cell == CellId { .pool = PoolId("workshop"), .index = 0 });
    REQUIRE(demandReport.demand.size() == 16);
    REQUIRE(demandReport.demand[15].workspace == WorkspaceId("kilic-small-15"));
    REQUIRE(demandReport.demand[15].servedCost == 40'000'015);
    REQUIRE(demandReport.allocationSequence == 90'000);
    REQUIRE(demandReport.demand[3].normalisedService == 0);
    DemandReport reportToNewScheduler = largeDemandReport();
    reportToNewScheduler.demand[3].normalisedService = 3.5;
    REQUIRE(roundTrip(reportToNewScheduler).demand[3].normalisedService == 3.5);
    REQUIRE(roundTrip(reportToNewScheduler).demand[4].normalisedService == 0);
    REQUIRE(demandReport.demand[3].oldestQueuedAge == Millis { 12'003 });
    REQUIRE(demandReport.inFlightByEndpoint[19].endpoint == EndpointId("gebze-engine-19"));

    auto allocation = roundTrip(Allocation { .cell = { .pool = PoolId("p"), .index = 3 },
        .schedulerIncarnation = 9,
        .sequence = 4,
        .reportSequence = 70'000,
        .leaseDuration = { 2'500 },
        .slots = { { .endpoint = EndpointId("e1"), .slots = 4 } },
        .quotas = { { .workspace = WorkspaceId("w1"), .maxRunning = 2, .normalisedService = 1.0e12 },
            { .workspace = WorkspaceId("w2"), .maxRunning = 3, .normalisedService = 1.0e12 + 12.5 } } });
    REQUIRE(allocation.cell.index == 3);
    REQUIRE(allocation.leaseDuration == Millis { 2'500 });
    REQUIRE(allocation.reportSequence == 70'000);
    REQUIRE(allocation.slots[0].slots == 4);
    REQUIRE(allocation.quotas[1].normalisedService == Approx(1.0e12 + 12.5).epsilon(1e-15));
    REQUIRE(allocation.quotas[1].maxRunning == 3);

    auto cellReport = roundTrip(CellReport { .cell = { .pool = PoolId("p") },
        .sequence = 1,
        .spareSlots = 6,
        .workspaceService = { { .workspace = WorkspaceId("w"), .maxRunning = 1, .normalisedService = 0.25 } } });
    REQUIRE(cellReport.spareSlots == 6);
    REQUIRE(cellReport.workspaceService[0].normalisedService == 0.25);

    REQUIRE(roundTrip(ConfigurationRequest { .currentDigest = { .version = 2, .throughOffset = 3 } })
                .currentDigest.throughOffset
        == 3);
    auto state = roundTrip(ConfigurationState { .digest = { .version = 1 }, .document = std::string(300'000, 'x') });
    REQUIRE(state.document.size() == 300'000);
    auto changes = roundTrip(ConfigurationState { .digest = { .version = 4, .throughOffset = 9 },
        .changesFrom = 7,
        .changes = { { .offset = 8, .timestampMs = 1'700'000'000'000, .payload = "{}" } } });
    REQUIRE(changes.changesFrom == 7);
    REQUIRE(changes.changes.size() == 1);
    REQUIRE(changes.changes[0].offset == 8);
    REQUIRE(changes.changes[0].timestampMs == 1'700'000'000'000);
    REQUIRE(changes.changes[0].payload == "{}");
    auto crashMark = roundTrip(CrashMark { .contentHash = ~0ULL, .lossCount = 2, .lossEventId = 8 });
    REQUIRE(crashMark.contentHash == ~0ULL);
    REQUIRE(crashMark.lossCount == 2);
    REQUIRE(crashMark.lossEventId == 8);
    REQUIRE_FALSE(roundTrip(EndpointLeavingUpdate { .endpoint = EndpointId("e"), .leaving = false }).leaving);
}

// Guards against growth of the most frequent message; the bound is part of the control traffic budget.
TEST_CASE("a demand report of 16 workspaces and 20 endpoints takes at most 400 bytes", "[peers]")
{
    PeerCodec codec(fleetKey);
    std::size_t size = codec.encode(makeMessage(largeDemandReport(), 100'000)).size();
    INFO("size " << size);
    REQUIRE(size <= 400);
}

// Guards against accepting forged and replayed messages, and messages of another fleet or protocol version.
TEST_CASE("forged and replayed messages and those of another fleet or version are rejected and counted", "[peers]")
{
    PeerCodec sender(fleetKey);
    PeerCodec receiver(fleetKey);
    auto isAccepted = [&](std::uint64_t sequence, std::uint64_t incarnation) {
        return static_cast<bool>(
            receiver.decode(sender.encode(makeMessage(ConfigurationRequest {}, sequence, incarnation))));
    };
    REQUIRE(isAccepted(100, 5));
    REQUIRE_FALSE(isAccepted(100, 5));
    REQUIRE(isAccepted(99, 5));
    REQUIRE_FALSE(isAccepted(99, 5));
    REQUIRE(isAccepted(37, 5));
    REQUIRE_FALSE(isAccepted(36, 5));
    REQUIRE(isAccepted(200, 5));
    REQUIRE_FALSE(isAccepted(101, 5));
    REQUIRE(isAccepted(137, 5));
    REQUIRE(isAccepted(1, 6));
    REQUIRE_FALSE(isAccepted(201, 5));
    REQUIRE(receiver.rejections()[static_cast<std::size_t>(PeerRejection::Replayed)] == 5);

    std::string validMessage = sender.encode(makeMessage(ConfigurationRequest {}, 50, 6));
    std::string alteredMessage = validMessage;
    alteredMessage[2] = static_cast<char>(alteredMessage[2] ^ 1);
    REQUIRE(receiver.decode(alteredMessage).error().kind == ErrorKind::PeerMessageRejected);
    REQUIRE_FALSE(PeerCodec("another key").decode(validMessage));
    REQUIRE(receiver.rejections()[static_cast<std::size_t>(PeerRejection::WrongTag)] == 1);

    std::string body = validMessage.substr(0, validMessage.size() - PeerCodec::tagBytes);
    body[1] = 2;
    REQUIRE_FALSE(receiver.decode(appendTag(body)));
    REQUIRE(receiver.rejections()[static_cast<std::size_t>(PeerRejection::UnknownVersion)] == 1);
    REQUIRE_FALSE(receiver.decode(std::string(PeerCodec::maxMessageBytes + 1, 'x')));
    REQUIRE(receiver.rejections()[static_cast<std::size_t>(PeerRejection::Oversized)] == 1);
    REQUIRE(receiver.decode(validMessage));
}

// Guards against exceptions, crashes and large allocations on malformed bodies whose tag is valid.
TEST_CASE("decoding a malformed body does not throw", "[peers]")
{
    PeerCodec codec(fleetKey);
    Random random(41);
    std::vector<std::string> bodies;
    for (const PeerPayload& payload : { PeerPayload(largeDemandReport()), PeerPayload(Probe { .updates = { {}, {} } }),
             PeerPayload(Allocation { .slots = { {} }, .quotas = { {}, {} } }), PeerPayload(ConfigurationState {}) }) {
        std::string bytes = codec.encode(makeMessage(payload));
        bodies.push_back(bytes.substr(0, bytes.size() - PeerCodec::tagBytes));
    }
    std::string arrayBomb = "\x96\x01\x02";
    for (int i = 0; i < 3'000; ++i)
        arrayBomb += "\xdd\xff\xff\xff\xff";
    bodies.push_back(arrayBomb);
    for (int round = 0; round < 20'000; ++round) {
        std::string body = bodies[random.uniformInteger(bodies.size())];
        for (std::uint64_t changes = 1 + random.uniformInteger(3); changes > 0; --changes)
            body[random.uniformInteger(body.size())] = static_cast<char>(random.uniformInteger(256));
        if (random.uniformInteger(3) == 0)
            body.resize(random.uniformInteger(body.size()) + 1);
        REQUIRE_NOTHROW(codec.decode(appendTag(body)));
    }
    REQUIRE_NOTHROW(codec.decode(""));
    REQUIRE_NOTHROW(codec.decode(appendTag("")));
}
