#include "net/EventPriority.h"
#include "router/PlacementClient.h"
#include "router/PlacementCodec.h"
#include "router/PlacementCoordinator.h"
#include "router/PlacementQueue.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <event2/event.h>
#include <map>
#include <set>
#include <thread>

using namespace jasminestack;

namespace {

const PoolId llmPool { "llm" };
constexpr DaemonInstanceId requesterId = 7;
constexpr DaemonInstanceId coordinatorId = 8;
constexpr Millis waitTimeout { 20'000 };

/// \brief Holds messages until the test delivers them; drops messages to unreachable addresses.
struct TestTransport final : PeerTransport {
    std::vector<std::pair<std::string, std::string>> sent; ///< Address and bytes; not delivered yet.
    std::set<std::string> unreachable; ///< Messages to these addresses are dropped.
    std::function<void(const std::string& address, std::string_view bytes)> deliver;

    void send(std::string_view address, std::string_view bytes) override { sent.emplace_back(address, bytes); }
    void setReceiveHandler(Handler) override { }

    void deliverAll()
    {
        while (!sent.empty()) {
            for (const auto& [address, bytes] : std::exchange(sent, {})) {
                if (!unreachable.contains(address))
                    deliver(address, bytes);
            }
        }
    }
};

struct RecordingListener final : PlacementListener {
    std::vector<PlacementReply> replies;
    int unansweredCount { 0 };

    void onPlacementReply(const PlacementReply& reply, std::string_view) override { replies.push_back(reply); }
    void onCoordinatorsUnresponsive() override { ++unansweredCount; }
};

/// \brief A requesting daemon with real timers and a coordinator, in one event loop.
struct Fixture {
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock; ///< Of the requesting daemon, whose timers are real.
    FakeClock coordinatorClock;
    Random random { 1 };
    Metrics metrics;
    TestTransport testTransport;
    RouterBlackboard board; ///< The coordinator's.
    PlacementQueue queue { *base };
    std::vector<std::string> suspects;
    std::string coordinatorAddress { "c1" };
    PlacementCoordinator coordinator { { .clock = coordinatorClock,
        .random = random,
        .board = board,
        .queue = queue,
        .transport = testTransport,
        .metrics = metrics,
        .addressOf
        = [](DaemonInstanceId daemon) { return daemon == requesterId ? std::string("asker") : std::string(); },
        .options = [] { return PlacementOptions {}; },
        .instanceId = coordinatorId } };
    PlacementClient client { { .base = *base,
        .clock = clock,
        .transport = testTransport,
        .metrics = metrics,
        .coordinatorOf = [this](ShardId) { return coordinatorAddress; },
        .onCoordinatorUnresponsive =
            [this](const std::string& address) {
                suspects.push_back(address);
                if (coordinatorAddress == address)
                    coordinatorAddress = "c2";
            },
        .instanceId = requesterId } };
    RecordingListener listener;

    Fixture()
    {
        RoutingTable table;
        table.version = 1;
        table.pools[llmPool] = { .id = llmPool, .isModel = true, .slots = 4, .memoryTokens = 600'000 };
        table.routes["shop"].push_back({ .name = "quote",
            .host = "shop",
            .pathPrefix = "/",
            .kind = RequestKind::Stream,
            .pools = { { llmPool } },
            .latencyObjective = Millis { 1'000 } });
        board.table = std::make_shared<RoutingTable>(table);
        std::vector<Registration> registrations;
        for (int i = 0; i < 2; ++i)
            registrations.push_back({ .id = EndpointId { "e" + std::to_string(i) },
                .pool = llmPool,
                .address = "127.0.0.1:9" + std::to_string(i),
                .availabilityZone = "a",
                .slots = 4 });
        setRegistrations(board.fleetView, registrations);
        testTransport.deliver = [this](const std::string& address, std::string_view bytes) {
            if (address == "asker")
                client.onReply(decodePlacementReply(bytes).value());
            else
                coordinator.onPlacementRequest(decodePlacementRequest(bytes, coordinatorClock.now()).value());
        };
    }

    [[nodiscard]] ShardId shard() const { return board.fleetView.endpointsByShard.begin()->first; }

    [[nodiscard]] PlacementQuery query(std::uint64_t partKey = 1) const
    {
        Millis now = clock.now();
        return { .pool = llmPool,
            .workspace = 5,
            .contentHash = partKey,
            .availabilityZone = "a",
            .prompt = { { .key = partKey, .tokens = 3'000 }, { .key = partKey + 1'000, .tokens = 100 } },
            .promptTokens = 3'100,
            .maxOutputTokens = 100,
            .isStream = true,
            .latencyObjective = Millis { 1'000 },
            .arrivedAt = now,
            .firstArrival = now,
            .deadline = now + Millis { 8'000 } };
    }

    /// \brief Sends a placement request, and delivers the request and its reply.
    std::optional<PlacementRequestId> sendRequest(const PlacementQuery& query)
    {
        std::optional<PlacementRequestId> id = client.requestPlacement(shard(), query, listener);
        testTransport.deliverAll();
        return id;
    }

    /// \brief Runs the event loop until the condition holds, or until a timeout so that a hang fails the test.
    void runUntil(const std::function<bool()>& condition)
    {
        for (Millis waitDeadline = clock.now() + waitTimeout; !condition() && clock.now() < waitDeadline;) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            testTransport.deliverAll();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    /// \brief Reports a load of another daemon at each endpoint.
    void fillEndpoints(std::uint64_t pendingTokens)
    {
        for (auto& [id, view] : board.fleetView.endpoints)
            setPeerLoad(board.fleetView, 99, view.instanceId, { .inFlight = 1, .pendingPrefillTokens = pendingTokens });
    }
};

}

TEST_CASE("a placement request is granted, and the grant counts as load at once", "[placement][loopback]")
{
    Fixture fixture;
    REQUIRE(fixture.sendRequest(fixture.query()));
    REQUIRE(fixture.listener.replies.size() == 1);
    PlacementReply reply = fixture.listener.replies.front();
    CHECK(reply.status == PlacementStatus::Granted);
    CHECK(fixture.board.fleetView.endpointsByInstance.at(reply.endpoint)->load().inFlight == 1);
    CHECK(fixture.client.lastGrantNumber(coordinatorId) == 1);
    CHECK(fixture.client.pendingCount() == 0);
    // The next request with the same prompt parts goes to the endpoint that caches them.
    REQUIRE(fixture.sendRequest(fixture.query()));
    CHECK(fixture.listener.replies.back().endpoint == reply.endpoint);
    CHECK(fixture.listener.replies.back().prefillTokens == 0);
}

// A daemon is paused while a grant waits in its socket. Guards against sending the request in a second for which the
// coordinator has granted others to the same cold endpoint.
TEST_CASE("a reply that is read late says so", "[placement][pace]")
{
    Fixture fixture;
    REQUIRE(fixture.client.requestPlacement(fixture.shard(), fixture.query(), fixture.listener));
    constexpr Millis pause { 500 };
    std::this_thread::sleep_for(std::chrono::milliseconds(pause.count));
    fixture.testTransport.deliverAll();
    REQUIRE(fixture.listener.replies.size() == 1);
    CHECK(fixture.listener.replies.back().receivedLate >= pause - Millis { 100 });
}

TEST_CASE("a daemon that coordinates the shard itself sends no placement request", "[placement]")
{
    Fixture fixture;
    fixture.coordinatorAddress.clear();
    CHECK_FALSE(fixture.sendRequest(fixture.query()));
    CHECK(fixture.testTransport.sent.empty());
}

// Guards against a second grant, and so a second occupied slot, for a placement request that was sent again because its
// reply was lost.
TEST_CASE("a lost placement reply is sent again without a second grant", "[placement]")
{
    Fixture fixture;
    fixture.testTransport.unreachable = { "asker" };
    REQUIRE(fixture.sendRequest(fixture.query()));
    CHECK(fixture.listener.replies.empty());
    fixture.testTransport.unreachable.clear();
    fixture.runUntil([&] { return !fixture.listener.replies.empty(); });
    REQUIRE(fixture.listener.replies.size() == 1);
    PlacementReply reply = fixture.listener.replies.front();
    CHECK(reply.status == PlacementStatus::Granted);
    CHECK(reply.grantNumber == 1);
    CHECK(fixture.board.fleetView.endpointsByInstance.at(reply.endpoint)->load().inFlight == 1);
}

// Guards against requests that wait forever for a coordinator that has crashed, is frozen or is unreachable.
TEST_CASE(
    "coordinators without a reply are suspected in turn, then the daemon places the request itself", "[placement]")
{
    Fixture fixture;
    fixture.testTransport.unreachable = { "c1", "c2" };
    REQUIRE(fixture.sendRequest(fixture.query()));
    fixture.runUntil([&] { return fixture.listener.unansweredCount != 0; });
    CHECK(fixture.suspects == std::vector<std::string> { "c1", "c2" });
    CHECK(fixture.listener.unansweredCount == 1);
    CHECK(fixture.client.pendingCount() == 0);

    Fixture failoverFixture;
    failoverFixture.testTransport.unreachable = { "c1" };
    REQUIRE(failoverFixture.sendRequest(failoverFixture.query()));
    failoverFixture.runUntil([&] { return !failoverFixture.listener.replies.empty(); });
    CHECK(failoverFixture.listener.unansweredCount == 0);
    CHECK(failoverFixture.listener.replies.size() == 1);
}

// Guards against two faults while all endpoints are full: refusing a request that can still meet its objective, and
// keeping a request queued after its daemon has cancelled it.
TEST_CASE("a request waits at the coordinator until an endpoint has capacity or it is cancelled", "[placement][burst]")
{
    Fixture fixture;
    fixture.fillEndpoints(60'000);
    auto queuedId = fixture.sendRequest(fixture.query(1));
    auto cancelledId = fixture.sendRequest(fixture.query(2));
    REQUIRE(queuedId);
    REQUIRE(cancelledId);
    CHECK(fixture.queue.size() == 2);
    fixture.client.cancel(*cancelledId);
    fixture.testTransport.deliverAll();
    CHECK(fixture.queue.size() == 1);
    clearPeerLoad(fixture.board.fleetView, 99);
    fixture.queue.onCapacityChanged();
    fixture.runUntil([&] { return !fixture.listener.replies.empty(); });
    CHECK(fixture.queue.size() == 0);
    REQUIRE(fixture.listener.replies.size() == 1);
    CHECK(fixture.listener.replies.front().status == PlacementStatus::Granted);
}

TEST_CASE("a request that cannot meet its objective is refused with a time to retry after", "[placement][burst]")
{
    Fixture fixture;
    fixture.fillEndpoints(200'000);
    PlacementQuery late = fixture.query();
    late.arrivedAt = late.firstArrival = fixture.clock.now() - Millis { 3'000 };
    REQUIRE(fixture.sendRequest(late));
    REQUIRE(fixture.listener.replies.size() == 1);
    CHECK(fixture.listener.replies.front().status == PlacementStatus::Refused);
    CHECK(fixture.listener.replies.front().retryAfter > Millis {});
    // The caller retries, possibly through another daemon.
    REQUIRE(fixture.sendRequest(fixture.query()));
    CHECK(fixture.queue.size() == 1);
}

// Guards against requests that stay queued after their daemon has stopped sending them, for example after a crash.
TEST_CASE("a queued request that is no longer sent is dropped", "[placement]")
{
    Fixture fixture;
    fixture.fillEndpoints(60'000);
    PlacementRequest request { .requester = requesterId, .id = 1, .shard = fixture.shard(), .query = fixture.query() };
    fixture.coordinator.onPlacementRequest(
        decodePlacementRequest(encodePlacementRequest(request, fixture.clock.now()), Millis { 1'000 }).value());
    CHECK(fixture.queue.size() == 1);
    fixture.coordinatorClock.advance(Millis { 900 });
    fixture.coordinator.tick();
    CHECK(fixture.queue.size() == 0);
}

TEST_CASE("the coordinator quarantines requests whose content crashes endpoints", "[placement][crash]")
{
    Fixture fixture;
    for (EndpointInstanceId endpoint = 1; endpoint <= crashAttributionOptions.quarantineThreshold; ++endpoint) {
        recordLoss(fixture.board.crashes, crashAttributionOptions, endpoint,
            { .workspace = fixture.query(1).workspace, .hasBegun = true, .traits = { 1 } },
            fixture.coordinatorClock.now());
        fixture.coordinatorClock.advance(Millis { 1'000 });
    }
    REQUIRE(
        updateQuarantines(fixture.board.crashes, crashAttributionOptions, fixture.coordinatorClock.now()).size() == 1);
    REQUIRE(fixture.sendRequest(fixture.query(1)));
    REQUIRE(fixture.listener.replies.size() == 1);
    CHECK(fixture.listener.replies.front().status == PlacementStatus::Quarantined);
}
