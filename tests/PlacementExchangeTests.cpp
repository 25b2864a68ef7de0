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

const PoolId llm { "llm" };
constexpr DaemonInstanceId asker = 7;
constexpr DaemonInstanceId coordinatorKey = 8;
constexpr Millis patience { 20'000 };

/// \brief Keeps messages until the test delivers them; loses those to addresses that the test names.
struct Wire final : PeerTransport {
    std::vector<std::pair<std::string, std::string>> sent; ///< Address and bytes; not delivered yet.
    std::set<std::string> silent; ///< Addresses that get nothing.
    std::function<void(const std::string& address, std::string_view bytes)> deliver;

    void send(std::string_view address, std::string_view bytes) override { sent.emplace_back(address, bytes); }
    void setReceiveHandler(Handler) override { }

    void deliverAll()
    {
        while (!sent.empty()) {
            for (const auto& [address, bytes] : std::exchange(sent, {})) {
                if (!silent.contains(address))
                    deliver(address, bytes);
            }
        }
    }
};

struct Outcome final : PlacementListener {
    std::vector<PlacementReply> replies;
    int unanswered { 0 };

    void onPlacement(const PlacementReply& reply, std::string_view) override { replies.push_back(reply); }
    void onPlacementUnanswered() override { ++unanswered; }
};

/// \brief One asking daemon and one coordinator with real timers, in one event loop.
struct Fixture {
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock; ///< Of the asking daemon, whose timers are real.
    FakeClock coordinatorClock;
    Random random { 1 };
    Metrics metrics;
    Wire wire;
    RouterBlackboard board; ///< The coordinator's.
    PlacementQueue queue { *base };
    std::vector<std::string> suspects;
    std::string coordinatorAddress { "c1" };
    PlacementCoordinator coordinator { { .clock = coordinatorClock,
        .random = random,
        .board = board,
        .queue = queue,
        .transport = wire,
        .metrics = metrics,
        .addressOf = [](DaemonInstanceId daemon) { return daemon == asker ? std::string("asker") : std::string(); },
        .options = [] { return PlacementOptions {}; },
        .instanceId = coordinatorKey } };
    PlacementClient client { { .base = *base,
        .clock = clock,
        .transport = wire,
        .metrics = metrics,
        .coordinatorOf = [this](ShardId) { return coordinatorAddress; },
        .suspect =
            [this](const std::string& address) {
                suspects.push_back(address);
                if (coordinatorAddress == address)
                    coordinatorAddress = "c2";
            },
        .instanceId = asker } };
    Outcome outcome;

    Fixture()
    {
        RoutingTable table;
        table.version = 1;
        table.pools[llm] = { .id = llm, .isModel = true, .slots = 4, .memoryTokens = 600'000 };
        table.routes["shop"].push_back({ .name = "quote",
            .host = "shop",
            .pathPrefix = "/",
            .kind = RequestKind::Stream,
            .pools = { { llm } },
            .latencyObjective = Millis { 1'000 } });
        board.table = std::make_shared<RoutingTable>(table);
        std::vector<Registration> list;
        for (int i = 0; i < 2; ++i)
            list.push_back({ .id = EndpointId { "e" + std::to_string(i) },
                .pool = llm,
                .address = "127.0.0.1:9" + std::to_string(i),
                .availabilityZone = "a",
                .slots = 4 });
        setRegistrations(board.fleetView, list);
        wire.deliver = [this](const std::string& address, std::string_view bytes) {
            if (address == "asker")
                client.onReply(decodePlacementReply(bytes).value());
            else
                coordinator.onPlacementRequest(decodePlacementRequest(bytes, coordinatorClock.now()).value());
        };
    }

    [[nodiscard]] ShardId shard() const { return board.fleetView.endpointsByShard.begin()->first; }

    [[nodiscard]] PlacementQuery query(std::uint64_t part = 1) const
    {
        Millis now = clock.now();
        return { .pool = llm,
            .workspace = 5,
            .contentHash = part,
            .availabilityZone = "a",
            .prompt = { { .key = part, .tokens = 3'000 }, { .key = part + 1'000, .tokens = 100 } },
            .promptTokens = 3'100,
            .maxOutputTokens = 100,
            .isStream = true,
            .objective = Millis { 1'000 },
            .arrivedAt = now,
            .firstArrival = now,
            .deadline = now + Millis { 8'000 } };
    }

    /// \brief Asks, and delivers the question and its answer.
    std::optional<PlacementRequestId> ask(const PlacementQuery& query)
    {
        std::optional<PlacementRequestId> id = client.requestPlacement(shard(), query, outcome);
        wire.deliverAll();
        return id;
    }

    /// \brief Runs the event loop until the condition holds; a hang ends as a failure.
    void runUntil(const std::function<bool()>& condition)
    {
        for (Millis end = clock.now() + patience; !condition() && clock.now() < end;) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            wire.deliverAll();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    /// \brief Another daemon has filled all endpoints.
    void fillEndpoints(std::uint64_t unreadTokens)
    {
        for (auto& [id, view] : board.fleetView.endpoints)
            setPeerLoad(board.fleetView, 99, view.instanceId, { .inFlight = 1, .pendingPrefillTokens = unreadTokens });
    }
};

}

TEST_CASE("a question is granted, and the grant counts as load at once", "[placement][loopback]")
{
    Fixture fixture;
    REQUIRE(fixture.ask(fixture.query()));
    REQUIRE(fixture.outcome.replies.size() == 1);
    PlacementReply reply = fixture.outcome.replies.front();
    CHECK(reply.status == PlacementStatus::Granted);
    CHECK(fixture.board.fleetView.endpointsByInstance.at(reply.endpoint)->load().inFlight == 1);
    CHECK(fixture.client.lastGrantNumber(coordinatorKey) == 1);
    CHECK(fixture.client.pendingCount() == 0);
    // The next request with the same shared part goes where it lies.
    REQUIRE(fixture.ask(fixture.query()));
    CHECK(fixture.outcome.replies.back().endpoint == reply.endpoint);
    CHECK(fixture.outcome.replies.back().prefillTokens == 0);
}

TEST_CASE("a daemon that coordinates the shard itself asks nobody", "[placement]")
{
    Fixture fixture;
    fixture.coordinatorAddress.clear();
    CHECK_FALSE(fixture.ask(fixture.query()));
    CHECK(fixture.wire.sent.empty());
}

// Guards against a second grant, and so a second place, for a question that was repeated because its answer was lost.
TEST_CASE("a lost answer is given again", "[placement]")
{
    Fixture fixture;
    fixture.wire.silent = { "asker" };
    REQUIRE(fixture.ask(fixture.query()));
    CHECK(fixture.outcome.replies.empty());
    fixture.wire.silent.clear();
    fixture.runUntil([&] { return !fixture.outcome.replies.empty(); });
    REQUIRE(fixture.outcome.replies.size() == 1);
    PlacementReply reply = fixture.outcome.replies.front();
    CHECK(reply.status == PlacementStatus::Granted);
    CHECK(reply.grantNumber == 1);
    CHECK(fixture.board.fleetView.endpointsByInstance.at(reply.endpoint)->load().inFlight == 1);
}

// Guards against requests that wait for a coordinator that is dead, frozen or cut off.
TEST_CASE("a silent coordinator is suspected, and then the daemon decides by itself", "[placement]")
{
    Fixture fixture;
    fixture.wire.silent = { "c1", "c2" };
    REQUIRE(fixture.ask(fixture.query()));
    fixture.runUntil([&] { return fixture.outcome.unanswered != 0; });
    CHECK(fixture.suspects == std::vector<std::string> { "c1", "c2" });
    CHECK(fixture.outcome.unanswered == 1);
    CHECK(fixture.client.pendingCount() == 0);

    Fixture second;
    second.wire.silent = { "c1" };
    REQUIRE(second.ask(second.query()));
    second.runUntil([&] { return !second.outcome.replies.empty(); });
    CHECK(second.outcome.unanswered == 0);
    CHECK(second.outcome.replies.size() == 1);
}

// Pattern: full engines. Guards against refusals while a request can still be in time, and against one that waits on
// after its daemon has given it up.
TEST_CASE("a request waits at the coordinator until there is room, or until it is withdrawn", "[placement][burst]")
{
    Fixture fixture;
    fixture.fillEndpoints(60'000);
    auto kept = fixture.ask(fixture.query(1));
    auto withdrawn = fixture.ask(fixture.query(2));
    REQUIRE(kept);
    REQUIRE(withdrawn);
    CHECK(fixture.queue.size() == 2);
    fixture.client.cancel(*withdrawn);
    fixture.wire.deliverAll();
    CHECK(fixture.queue.size() == 1);
    clearPeerLoad(fixture.board.fleetView, 99);
    fixture.queue.roomChanged();
    fixture.runUntil([&] { return !fixture.outcome.replies.empty(); });
    CHECK(fixture.queue.size() == 0);
    REQUIRE(fixture.outcome.replies.size() == 1);
    CHECK(fixture.outcome.replies.front().status == PlacementStatus::Granted);
}

TEST_CASE("a request that cannot be in time is refused with the time to come back", "[placement][burst]")
{
    Fixture fixture;
    fixture.fillEndpoints(200'000);
    PlacementQuery late = fixture.query();
    late.arrivedAt = late.firstArrival = fixture.clock.now() - Millis { 3'000 };
    REQUIRE(fixture.ask(late));
    REQUIRE(fixture.outcome.replies.size() == 1);
    CHECK(fixture.outcome.replies.front().status == PlacementStatus::Refused);
    CHECK(fixture.outcome.replies.front().retryAfter > Millis {});
    // Its caller comes back, perhaps through another daemon.
    REQUIRE(fixture.ask(fixture.query()));
    CHECK(fixture.queue.size() == 1);
}

// Guards against places that stay taken for a daemon that no longer asks.
TEST_CASE("a question that is not repeated any more is dropped", "[placement]")
{
    Fixture fixture;
    fixture.fillEndpoints(60'000);
    PlacementRequest ask { .requester = asker, .id = 1, .shard = fixture.shard(), .query = fixture.query() };
    fixture.coordinator.onPlacementRequest(
        decodePlacementRequest(encodePlacementRequest(ask, fixture.clock.now()), Millis { 1'000 }).value());
    CHECK(fixture.queue.size() == 1);
    fixture.coordinatorClock.advance(Millis { 900 });
    fixture.coordinator.tick();
    CHECK(fixture.queue.size() == 0);
}

TEST_CASE("a content that crashes endpoints is refused by the coordinator", "[placement][crash]")
{
    Fixture fixture;
    for (std::uint64_t event = 1; event <= crashGuardOptions.quarantineThreshold; ++event)
        (void)recordEndpointLoss(fixture.board.crashes, crashGuardOptions, 1, event, fixture.coordinatorClock.now());
    REQUIRE(fixture.ask(fixture.query(1)));
    REQUIRE(fixture.outcome.replies.size() == 1);
    CHECK(fixture.outcome.replies.front().status == PlacementStatus::Quarantined);
}
