#include "net/EventPriority.h"
#include "platform/PlatformProtocol.h"
#include "router/PlacementClient.h"
#include "router/PlacementCodec.h"
#include "router/PlacementQueue.h"
#include "router/RequestRouter.h"
#include "routing/Shards.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>

using namespace jasminestack;

namespace {

const PoolId llm { "llm" };
const PoolId desk { "desk" };

struct Caller final : CallerExchange {
    std::optional<CallerResponseHead> head;
    std::string body;

    void setListener(CallerListener&) override { }
    void sendResponse(const CallerResponseHead& answer, std::string_view text) override
    {
        head = answer;
        body = text;
    }
    void startStream(const CallerResponseHead& answer) override { head = answer; }
    void sendChunk(std::string_view bytes) override { body += bytes; }
    void endStream() override { }
    void abort() override { }
    [[nodiscard]] std::size_t bufferedBytes() const override { return 0; }
};

struct Endpoints final : EndpointTransport {
    std::vector<std::string> sentTo; ///< Addresses.

    [[nodiscard]] ExchangeId start(const EndpointRequest& request, EndpointListener&) override
    {
        sentTo.push_back(request.address);
        return sentTo.size();
    }
    void cancel(ExchangeId) override { }
    void setPaused(ExchangeId, bool) override { }
};

struct Peers final : PeerTransport {
    std::vector<std::string> sent;

    void send(std::string_view, std::string_view bytes) override { sent.emplace_back(bytes); }
    void setReceiveHandler(Handler) override { }
};

/// \brief The request path with two engines and a desk, without sockets.
struct Fixture {
    EventBasePointer base = makePrioritizedEventBase();
    FakeClock clock;
    Random random { 1 };
    Metrics metrics;
    RouterBlackboard board;
    Endpoints endpoints;
    Peers peers;
    platform::PlatformProtocol protocol;
    PlacementQueue queue { *base };
    std::string coordinator; ///< Address of all shards' coordinator; empty: this daemon.
    PlacementClient client { { .base = *base,
        .clock = clock,
        .transport = peers,
        .metrics = metrics,
        .coordinatorOf = [this](ShardId) { return coordinator; },
        .suspect = [](const std::string&) {},
        .instanceId = 7 } };
    RequestRouter flow { { .base = *base,
                             .clock = clock,
                             .random = random,
                             .board = board,
                             .transport = endpoints,
                             .protocol = protocol,
                             .metrics = metrics,
                             .queue = queue,
                             .coordinators = &client,
                             .boardChanged = [] {} },
        { .availabilityZone = "a" } };
    std::vector<std::unique_ptr<Caller>> callers;

    Fixture()
    {
        RoutingTable table;
        table.version = 1;
        table.pools[llm] = { .id = llm, .isModel = true, .slots = 4, .memoryTokens = 600'000 };
        table.pools[desk] = { .id = desk, .slots = 4 };
        table.routes["shop"].push_back({ .name = "quote",
            .host = "shop",
            .pathPrefix = "/quote/",
            .kind = RequestKind::Stream,
            .pools = { { llm } },
            .maxEndpoints = 2 });
        table.routes["shop"].push_back({ .name = "book",
            .host = "shop",
            .pathPrefix = "/book/",
            .kind = RequestKind::NonIdempotent,
            .pools = { { desk } } });
        sortRoutes(table);
        board.table = std::make_shared<RoutingTable>(table);
        board.configurationCurrent = true;
        setRegistrations(board.fleetView, registrations());
    }

    static std::vector<Registration> registrations()
    {
        auto make = [](const char* id, const PoolId& pool, const char* address) {
            return Registration {
                .id = EndpointId { id }, .pool = pool, .address = address, .availabilityZone = "a", .slots = 4
            };
        };
        return { make("e1", llm, "127.0.0.1:9001"), make("e2", llm, "127.0.0.1:9002"),
            make("d1", desk, "127.0.0.1:9003") };
    }

    Caller& request(const std::string& target, const std::string& id)
    {
        callers.push_back(std::make_unique<Caller>());
        CallerRequest request { .method = "POST",
            .target = target,
            .headers = { { "Host", "shop" }, { "X-Jasminestack-Attempt-Id", id },
                { "X-Jasminestack-Deadline-Ms", "5000" }, { "X-Jasminestack-Model-Id", "m" },
                { "X-Jasminestack-Token-Usage", "1000,50" }, { "X-Jasminestack-Prefix-Hash", "aa:800,bb:200" } },
            .body = "text",
            .arrivedAt = clock.now() };
        flow.onRequest(std::move(request), *callers.back());
        return *callers.back();
    }

    void answer(PlacementReply reply)
    {
        auto ask = decodePlacementRequest(peers.sent.back(), clock.now());
        REQUIRE(ask);
        reply.id = ask.value().id;
        client.onReply(reply);
    }
};

std::string retryAfter(const Caller& caller)
{
    for (const auto& [name, value] : caller.head->headers) {
        if (name == "Retry-After")
            return value;
    }
    return {};
}

}

// Guards against requests that are taken so late in a shutdown that they are cut.
TEST_CASE("a daemon that is about to end refuses requests as not run", "[router][flow]")
{
    Fixture fixture;
    fixture.board.refusing = true;
    Caller& caller = fixture.request("/book/x", "id-1");
    REQUIRE(caller.head);
    CHECK(caller.head->status == 503);
    CHECK(!retryAfter(caller).empty());
    CHECK(caller.body.find("\"not_run\"") != std::string::npos);
    CHECK(fixture.endpoints.sentTo.empty());
}

// Pattern: callers of one hot workspace who all reach the same daemon. Guards against a daemon that takes more streams
// than it can relay, so that none of them is in time.
TEST_CASE("a daemon without processor time refuses streams before plain requests", "[router][flow][policy][burst]")
{
    Fixture fixture;
    fixture.board.lag = Millis { 150 };
    Caller& stream = fixture.request("/quote/x", "id-1");
    REQUIRE(stream.head);
    CHECK(stream.head->status == 503);
    CHECK(stream.body.find("router_overloaded") != std::string::npos);
    CHECK(!retryAfter(stream).empty());
    fixture.request("/book/x", "id-2");
    CHECK(fixture.endpoints.sentTo == std::vector<std::string> { "127.0.0.1:9003" });
    fixture.board.lag = Millis { 900 };
    CHECK(fixture.request("/book/x", "id-3").head->status == 503);
    fixture.board.lag = {};
    fixture.request("/quote/x", "id-4");
    CHECK(fixture.endpoints.sentTo.size() == 2);
}

TEST_CASE("a request goes where its coordinator says", "[router][flow][placement]")
{
    Fixture fixture;
    fixture.flow.setFleet(70, true);
    fixture.coordinator = "c1";
    Caller& caller = fixture.request("/quote/x", "id-1");
    CHECK(fixture.endpoints.sentTo.empty());
    EndpointInstanceId second = endpointInstanceId(Fixture::registrations()[1]);
    fixture.answer(
        { .status = PlacementStatus::Granted, .grantNumber = 1, .endpoint = second, .prefillTokens = 1'000 });
    CHECK(fixture.endpoints.sentTo == std::vector<std::string> { "127.0.0.1:9002" });
    CHECK(fixture.board.fleetView.endpointsByInstance.at(second)->ownLoad.pendingPrefillTokens == 1'000);
    // The coordinator knows what it has granted.
    CHECK(fixture.board.sentPrompts.empty());
    CHECK(!caller.head);

    Caller& refused = fixture.request("/quote/x", "id-2");
    fixture.answer({ .status = PlacementStatus::Refused, .retryAfter = Millis { 700 } });
    REQUIRE(refused.head);
    CHECK(refused.head->status == 503);
    CHECK(retryAfter(refused) == "0.700");
}

// Guards against a request to an endpoint that this daemon knows to be leaving, on the word of a coordinator that has
// not heard of it yet.
TEST_CASE("a grant at a draining endpoint is not used", "[router][flow][placement]")
{
    Fixture fixture;
    fixture.flow.setFleet(70, true);
    fixture.coordinator = "c1";
    auto list = Fixture::registrations();
    list[0].draining = true;
    setRegistrations(fixture.board.fleetView, list);
    fixture.request("/quote/x", "id-1");
    fixture.answer({ .status = PlacementStatus::Granted, .grantNumber = 1, .endpoint = endpointInstanceId(list[0]) });
    CHECK(fixture.endpoints.sentTo == std::vector<std::string> { "127.0.0.1:9002" });
}
