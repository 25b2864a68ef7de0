#include "router/PlacementCodec.h"
#include "routing/PlacementDecision.h"
#include "routing/Shards.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace jasminestack;

namespace {

const PoolId llm { "llm" };

RoutingTable tableWithModelPool()
{
    RoutingTable table;
    table.version = 1;
    table.pools[llm] = { .id = llm, .isModel = true, .slots = 16, .memoryTokens = 600'000 };
    return table;
}

std::vector<Registration> engines(unsigned count)
{
    std::vector<Registration> list;
    for (unsigned i = 0; i < count; ++i)
        list.push_back({ .id = EndpointId { "engine-" + std::to_string(i) },
            .pool = llm,
            .address = "127.0.0.1:" + std::to_string(9'000 + i),
            .availabilityZone = "a",
            .slots = 16 });
    return list;
}

std::vector<CoordinatorCandidate> daemons(unsigned count)
{
    std::vector<CoordinatorCandidate> list;
    for (unsigned i = 0; i < count; ++i)
        list.push_back({ .address = "10.0.0." + std::to_string(i) + ":7400", .cpuCores = i < 6 ? 0.5 : 0.12 });
    return list;
}

PlacementQuery quote(std::uint64_t shared, std::uint64_t own)
{
    return { .pool = llm,
        .workspace = 5,
        .availabilityZone = "a",
        .prompt = { { .key = shared, .tokens = 13'000 }, { .key = own, .tokens = 1'000 } },
        .promptTokens = 14'000,
        .maxOutputTokens = 100,
        .isStream = true,
        .objective = Millis { 800 },
        .arrivedAt = Millis { 1'000 },
        .firstArrival = Millis { 1'000 },
        .deadline = Millis { 16'000 } };
}

}

TEST_CASE("the number of shards changes only when a pool grows or shrinks by half", "[shards]")
{
    CHECK(shardCount(0) == 1);
    CHECK(shardCount(18) == 1);
    CHECK(shardCount(60) == 4);
    CHECK(shardCount(140) == 8);
    CHECK(shardCount(600) == 32);
    CHECK(shardCount(50) == shardCount(80));
}

// Pattern: many sessions. Guards against requests with the same shared part that meet different coordinators, and
// against shards whose load does not fit their endpoints.
TEST_CASE("shards get requests in proportion to their endpoints", "[shards][policy]")
{
    FleetView picture;
    setRegistrations(picture, engines(140));
    REQUIRE(picture.endpointsByShard.size() == 8);
    std::map<ShardId, unsigned> requests;
    constexpr unsigned parts = 14'000;
    for (std::uint64_t part = 0; part < parts; ++part)
        ++requests[shardForRequest(picture, llm, part * 7'919)];
    for (const auto& [shard, members] : picture.endpointsByShard) {
        double share = static_cast<double>(requests[shard]) / parts;
        double fair = static_cast<double>(members.size()) / 140.0;
        CHECK(share == Approx(fair).epsilon(0.25));
    }
    auto first = quote(7, 1);
    auto second = quote(7, 2);
    CHECK(localityKey(first.prompt, 1) == localityKey(second.prompt, 2));
}

// Pattern: an engine that leaves. Guards against a new home for parts whose engine is still there.
TEST_CASE("a lost endpoint moves only the requests of its own parts", "[shards]")
{
    FleetView before;
    setRegistrations(before, engines(60));
    FleetView after;
    setRegistrations(after, engines(59));
    unsigned moved = 0;
    for (std::uint64_t part = 0; part < 1'000; ++part)
        moved += shardForRequest(before, llm, part) != shardForRequest(after, llm, part) ? 1U : 0U;
    CHECK(moved < 50);
}

TEST_CASE("coordinators are daemons with much processor time, and a lost one moves few shards", "[shards]")
{
    std::vector<ShardId> shards { 11, 12, 13, 14, 15, 16, 17, 18, 19 };
    auto all = daemons(70);
    auto assignment = assignCoordinators(shards, all);
    std::map<std::string, unsigned> perDaemon;
    for (const auto& [shard, address] : assignment)
        ++perDaemon[address];
    CHECK(perDaemon.size() == 6);
    for (const auto& [address, count] : perDaemon)
        CHECK(count <= 2);
    // The order in which a daemon knows the others makes no difference.
    auto reversed = all;
    std::reverse(reversed.begin(), reversed.end());
    CHECK(assignCoordinators(shards, reversed) == assignment);
    CHECK(assignCoordinators(shards, {}).empty());
}

// Guards against a coordinator that grants the same room twice before the first grant is reported as load.
TEST_CASE("a grant counts as load until the daemon reports it", "[shards][policy]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    setRegistrations(picture, engines(1));
    EndpointView& view = picture.endpoints.begin()->second;
    Millis now { 1'000 };
    PlacementQuery query = quote(7, 1);
    WorkspaceShares shares;
    PlacementOptions options;
    PlacementInputs bound { .fleetView = picture, .table = table, .shares = shares, .options = options };
    EndpointChoice choice = bestEndpoint(bound, query, now);
    recordGrant(picture, choice, query.workload(), 42, 1, now);
    recordGrant(picture, choice, query.workload(), 42, 2, now);
    CHECK(view.load().inFlight == 2);
    // The report includes the first grant only.
    setPeerLoad(
        picture, 42, view.instanceId, { .inFlight = 1, .pendingPrefillTokens = 14'000, .reservedTokens = 14'100 });
    confirmGrants(picture, 42, 1);
    CHECK(view.load().inFlight == 2);
    CHECK(view.load().pendingPrefillTokens == 28'000);
    // The second one was lost on its way.
    expireGrants(picture, now + Millis { 600 });
    CHECK(view.load().inFlight == 1);
    clearPeerLoad(picture, 42);
    CHECK(view.load() == EndpointLoad {});
}

// Guards against coordinators that never learn how fast their endpoints are, because others send the requests.
TEST_CASE("a coordinator learns from the answers that daemons report", "[shards][policy]")
{
    FleetView picture;
    setRegistrations(picture, engines(2));
    EndpointView& slow = picture.endpoints.begin()->second;
    Millis now { 1'000 };
    for (int i = 0; i < 60; ++i)
        applyAttemptReport(picture, { .endpoint = slow.instanceId, .backlogTokens = 1'000, .elapsedMs = 900 }, now);
    CHECK(slow.slowness > 1.5);
    applyAttemptReport(
        picture, { .endpoint = slow.instanceId, .ended = true, .outcome = AttemptOutcome::ConnectionFailed }, now);
    CHECK(slow.losses == 1);
    CHECK(slow.avoidUntil > now);
}

TEST_CASE("questions and answers about placements survive encoding", "[shards][codec]")
{
    Millis now { 5'000 };
    PlacementRequest ask { .requester = 9, .id = 3, .shard = 77, .query = quote(7, 1) };
    ask.query.triedEndpoints = { 4, 5 };
    ask.query.firstArrival = Millis { 400 };
    std::string bytes = encodePlacementRequest(ask, now);
    CHECK(isPlacementRequest(bytes));
    CHECK_FALSE(isPlacementReply(bytes));
    // The receiver's clock shows another time.
    auto decoded = decodePlacementRequest(bytes, now + Millis { 100'000 });
    REQUIRE(decoded);
    const PlacementQuery& query = decoded.value().query;
    CHECK(decoded.value().shard == 77);
    CHECK(query.prompt == ask.query.prompt);
    CHECK(query.triedEndpoints == ask.query.triedEndpoints);
    CHECK(query.arrivedAt == Millis { 101'000 });
    CHECK(query.firstArrival == Millis { 100'400 });
    CHECK(query.deadline == Millis { 116'000 });

    ask.isCancellation = true;
    CHECK(decodePlacementRequest(encodePlacementRequest(ask, now), now).value().isCancellation);

    PlacementReply reply { .coordinator = 8,
        .id = 3,
        .status = PlacementStatus::Refused,
        .predictedFirstByte = Millis { 1'200 },
        .retryAfter = Millis { 700 },
        .isLate = true };
    auto answer = decodePlacementReply(encodePlacementReply(reply));
    REQUIRE(answer);
    CHECK(answer.value().status == PlacementStatus::Refused);
    CHECK(answer.value().retryAfter == Millis { 700 });
    CHECK(answer.value().isLate);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePlacementRequest(std::string_view(bytes).substr(0, length), now));
}
