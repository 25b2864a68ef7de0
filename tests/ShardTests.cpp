#include "router/PlacementCodec.h"
#include "routing/PlacementDecision.h"
#include "routing/Shards.h"
#include "routing/StoreReaders.h"

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

std::vector<Registration> makeRegistrations(unsigned count)
{
    std::vector<Registration> items;
    for (unsigned i = 0; i < count; ++i)
        items.push_back({ .id = EndpointId { "engine-" + std::to_string(i) },
            .pool = llm,
            .address = "127.0.0.1:" + std::to_string(9'000 + i),
            .availabilityZone = "a",
            .slots = 16 });
    return items;
}

std::vector<CoordinatorCandidate> makeCandidates(unsigned count)
{
    std::vector<CoordinatorCandidate> items;
    for (unsigned i = 0; i < count; ++i)
        items.push_back({ .address = "10.0.0." + std::to_string(i) + ":7400", .cpuCores = i < 6 ? 0.5F : 0.12F });
    return items;
}

PlacementQuery makeQuery(std::uint64_t sharedKey, std::uint64_t ownKey)
{
    return { .pool = llm,
        .workspace = 5,
        .availabilityZone = "a",
        .prompt = { { .key = sharedKey, .tokens = 13'000 }, { .key = ownKey, .tokens = 1'000 } },
        .promptTokens = 14'000,
        .maxOutputTokens = 100,
        .isStream = true,
        .latencyObjective = Millis { 800 },
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

// Many sessions with different shared parts. Guards against sending requests with the same shared part to different
// coordinators, and against shards whose requests are out of proportion to their endpoints.
TEST_CASE("shards get requests in proportion to their endpoints", "[shards][policy]")
{
    FleetView fleetView;
    setRegistrations(fleetView, makeRegistrations(140));
    REQUIRE(fleetView.endpointsByShard.size() == 8);
    std::map<ShardId, unsigned> requests;
    constexpr unsigned parts = 14'000;
    for (std::uint64_t part = 0; part < parts; ++part)
        ++requests[shardForRequest(fleetView, llm, part * 7'919)];
    for (const auto& [shard, shardEndpoints] : fleetView.endpointsByShard) {
        double requestFraction = static_cast<double>(requests[shard]) / parts;
        double endpointFraction = static_cast<double>(shardEndpoints.size()) / 140.0;
        CHECK(requestFraction == Approx(endpointFraction).epsilon(0.25));
    }
    auto first = makeQuery(7, 1);
    auto second = makeQuery(7, 2);
    CHECK(localityKey(first.prompt, 1) == localityKey(second.prompt, 2));
}

// An endpoint leaves the pool. Guards against moving requests of other endpoints to another shard, away from the cached
// parts.
TEST_CASE("a lost endpoint moves only the requests that hash to it", "[shards]")
{
    FleetView before;
    setRegistrations(before, makeRegistrations(60));
    FleetView after;
    setRegistrations(after, makeRegistrations(59));
    unsigned movedRequests = 0;
    for (std::uint64_t part = 0; part < 1'000; ++part)
        movedRequests += shardForRequest(before, llm, part) != shardForRequest(after, llm, part) ? 1U : 0U;
    CHECK(movedRequests < 50);
}

TEST_CASE("coordinators are the daemons with the most cores, in any order of the candidates", "[shards]")
{
    std::vector<ShardId> shards { 11, 12, 13, 14, 15, 16, 17, 18, 19 };
    auto candidates = makeCandidates(70);
    auto assignment = assignCoordinators(shards, candidates);
    std::map<std::string, unsigned> perDaemon;
    for (const auto& [shard, address] : assignment)
        ++perDaemon[address];
    CHECK(perDaemon.size() == 6);
    for (const auto& [address, count] : perDaemon)
        CHECK(count <= 2);
    // The order of the candidates makes no difference.
    auto reversed = candidates;
    std::reverse(reversed.begin(), reversed.end());
    CHECK(assignCoordinators(shards, reversed) == assignment);
    CHECK(assignCoordinators(shards, {}).empty());
}

// A granted request appears in the daemon's reported load only later. Guards against granting the same capacity twice
// in the meantime.
TEST_CASE("a grant counts as load until the daemon reports it", "[shards][policy]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    setRegistrations(fleetView, makeRegistrations(1));
    EndpointView& view = fleetView.endpoints.begin()->second;
    Millis now { 1'000 };
    PlacementQuery query = makeQuery(7, 1);
    WorkspaceShares shares;
    PlacementOptions options;
    PlacementInputs inputs { .fleetView = fleetView, .table = table, .shares = shares, .options = options };
    EndpointChoice choice = bestEndpoint(inputs, query, now);
    recordGrant(fleetView, choice, query.workload(), 42, 1, now);
    recordGrant(fleetView, choice, query.workload(), 42, 2, now);
    CHECK(view.load().inFlight == 2);
    // The reported load includes the first grant only.
    setPeerLoad(
        fleetView, 42, view.instanceId, { .inFlight = 1, .pendingPrefillTokens = 14'000, .reservedTokens = 14'100 });
    confirmGrants(fleetView, 42, 1);
    CHECK(view.load().inFlight == 2);
    CHECK(view.load().pendingPrefillTokens == 28'000);
    // The second grant's message was lost, so its load is never reported.
    expireGrants(fleetView, now + Millis { 600 });
    CHECK(view.load().inFlight == 1);
    clearPeerLoad(fleetView, 42);
    CHECK(view.load() == EndpointLoad {});
}

// Other daemons send the requests to a coordinator's endpoints. Guards against coordinators without latency and failure
// statistics of their endpoints.
TEST_CASE("a coordinator updates its statistics from the attempts that daemons report", "[shards][policy]")
{
    FleetView fleetView;
    setRegistrations(fleetView, makeRegistrations(2));
    EndpointView& slowEndpoint = fleetView.endpoints.begin()->second;
    Millis now { 1'000 };
    for (int i = 0; i < 60; ++i)
        applyAttemptReport(
            fleetView, { .endpoint = slowEndpoint.instanceId, .backlogTokens = 1'000, .elapsedMs = 900 }, now);
    CHECK(slowEndpoint.latencyRatio > 1.5);
    applyAttemptReport(fleetView,
        { .endpoint = slowEndpoint.instanceId, .hasEnded = true, .outcome = AttemptOutcome::ConnectionFailed }, now);
    CHECK(slowEndpoint.consecutiveConnectionFailures == 1);
    CHECK(slowEndpoint.excludedUntil > now);
}

TEST_CASE("placement requests and replies are unchanged by encoding and decoding", "[shards][codec]")
{
    Millis now { 5'000 };
    PlacementRequest request { .requester = 9, .id = 3, .shard = 77, .query = makeQuery(7, 1) };
    request.query.triedEndpoints = { 4, 5 };
    request.query.firstArrival = Millis { 400 };
    std::string bytes = encodePlacementRequest(request, now);
    CHECK(isPlacementRequest(bytes));
    CHECK_FALSE(isPlacementReply(bytes));
    // The receiver's clock differs by 100 s; times are converted to it.
    auto decoded = decodePlacementRequest(bytes, now + Millis { 100'000 });
    REQUIRE(decoded);
    const PlacementQuery& query = decoded.value().query;
    CHECK(decoded.value().shard == 77);
    CHECK(query.prompt == request.query.prompt);
    CHECK(query.triedEndpoints == request.query.triedEndpoints);
    CHECK(query.arrivedAt == Millis { 101'000 });
    CHECK(query.firstArrival == Millis { 100'400 });
    CHECK(query.deadline == Millis { 116'000 });

    request.isCancellation = true;
    CHECK(decodePlacementRequest(encodePlacementRequest(request, now), now).value().isCancellation);

    PlacementReply reply { .coordinator = 8,
        .id = 3,
        .status = PlacementStatus::Refused,
        .predictedFirstByte = Millis { 1'200 },
        .retryAfter = Millis { 700 },
        .isLate = true };
    auto decodedReply = decodePlacementReply(encodePlacementReply(reply));
    REQUIRE(decodedReply);
    CHECK(decodedReply.value().status == PlacementStatus::Refused);
    CHECK(decodedReply.value().retryAfter == Millis { 700 });
    CHECK(decodedReply.value().isLate);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePlacementRequest(std::string_view(bytes).substr(0, length), now));
}

// Guards against readers that are kept busy by the imports of their followers, and against changes that reach a
// follower too late: they have to be in force within two seconds in the smallest fleet that has followers.
TEST_CASE("the imports from a store reader stay below 60 a second in fleets of any size", "[store][exchange]")
{
    for (std::size_t daemons = 17; daemons <= 1'000; ++daemons) {
        auto readers = static_cast<double>(storeReaderCount(daemons));
        double importsPerSecond = static_cast<double>(daemons) / readers / importInterval(daemons).seconds();
        CHECK(importsPerSecond <= 63.0);
        CHECK(importInterval(daemons) <= Millis { 1'000 });
    }
    CHECK(importInterval(17) == Millis { 250 });
}

TEST_CASE("store readers are the strongest daemons and share the followers", "[store][exchange]")
{
    std::vector<CoordinatorCandidate> candidates = makeCandidates(300);
    std::vector<std::string> readers = selectStoreReaders(candidates, storeReaderCount(300));
    REQUIRE(readers.size() == 9);
    for (unsigned i = 0; i < 6; ++i) // The six candidates with 0.5 cores.
        CHECK(std::find(readers.begin(), readers.end(), candidates[i].address) != readers.end());
    std::map<std::string_view, int> followers;
    for (const CoordinatorCandidate& candidate : candidates) {
        auto own = readersOfFollower(readers, candidate.address);
        REQUIRE(own.size() == readersPerFollower);
        CHECK(std::set(own.begin(), own.end()).size() == readersPerFollower);
        for (std::string_view reader : own)
            ++followers[reader];
    }
    for (const auto& [reader, count] : followers)
        CHECK(count <= 150); // On average 100.
    // The loss of one reader replaces only this one.
    std::erase_if(candidates, [&](const auto& candidate) { return candidate.address == readers[8]; });
    std::vector<std::string> others = selectStoreReaders(candidates, storeReaderCount(300));
    for (std::size_t i = 0; i < 8; ++i)
        CHECK(std::find(others.begin(), others.end(), readers[i]) != others.end());
}
