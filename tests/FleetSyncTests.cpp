#include "RouterHarness.h"
#include "net/EventPriority.h"
#include "router/FleetSync.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

const PoolId llm { "llm" };

/// \brief Datagrams between daemons in memory.
class Network {
public:
    struct Transport final : PeerTransport {
        Network* network { nullptr };
        std::string address;
        Handler handler;

        void send(std::string_view to, std::string_view bytes) override
        {
            network->sentBytes[address] += bytes.size();
            network->queue.emplace_back(address, std::string(to), std::string(bytes));
        }
        void setReceiveHandler(Handler theHandler) override { handler = std::move(theHandler); }
    };

    std::map<std::string, Transport*> transports;
    std::vector<std::tuple<std::string, std::string, std::string>> queue; ///< Sender, receiver, bytes.
    std::set<std::string> dead;
    std::map<std::string, std::size_t> sentBytes;

    void deliver()
    {
        while (!queue.empty()) {
            for (const auto& [from, to, bytes] : std::exchange(queue, {})) {
                auto target = transports.find(to);
                if (target != transports.end() && !dead.contains(to) && !dead.contains(from))
                    target->second->handler(bytes);
            }
        }
    }
};

/// \brief A fleet of daemons' exchanges that share a clock; their requests are played by the test.
struct Fleet {
    struct Member {
        std::string address;
        RouterBlackboard board;
        Network::Transport transport;
        FixedDeployment source;
        std::unique_ptr<FleetSync> exchange;
    };

    EventBasePointer base = makePrioritizedEventBase();
    HttpClient http { *base };
    FakeClock clock;
    Metrics metrics;
    Network network;
    std::vector<std::unique_ptr<Member>> members;

    /// \param seeds What each daemon knows at its start; empty: all others, from the store.
    Fleet(unsigned daemons, unsigned endpoints, const std::vector<std::string>& seeds = {})
    {
        for (unsigned i = 0; i < daemons; ++i)
            add(endpoints, seeds);
        std::vector<std::string> addresses;
        for (const auto& member : members)
            addresses.push_back(member->address);
        for (const auto& member : members) {
            if (seeds.empty())
                member->exchange->setAnnounced(addresses);
            member->exchange->start();
            member->exchange->setMayCoordinate(true);
        }
        run(seeds.empty() ? Millis { 4'000 } : Millis { 1'000 });
    }

    void add(unsigned endpoints, const std::vector<std::string>& seeds)
    {
        auto index = static_cast<unsigned>(members.size());
        members.push_back(std::make_unique<Member>());
        Member& member = *members.back();
        member.address = "10.0.0." + std::to_string(index) + ":7400";
        member.transport.network = &network;
        member.transport.address = member.address;
        network.transports[member.address] = &member.transport;
        member.source.clock = &clock;
        std::vector<Registration> list;
        for (unsigned i = 0; i < endpoints; ++i)
            list.push_back({ .id = EndpointId { "e" + std::to_string(i) },
                .pool = llm,
                .address = "127.0.0.1:" + std::to_string(9'000 + i),
                .availabilityZone = "a",
                .slots = 8 });
        setRegistrations(member.board.fleetView, list);
        member.exchange
            = std::make_unique<FleetSync>(FleetSync::Context { .base = *base,
                                              .clock = clock,
                                              .board = member.board,
                                              .transport = member.transport,
                                              .http = http,
                                              .source = member.source,
                                              .metrics = metrics,
                                              .onPeerLoadChanged = [] {},
                                              .onPlacementRequest = [](const PlacementRequest&) {},
                                              .onPlacementReply = [](const PlacementReply&) {},
                                              .lastGrantNumber = [](DaemonInstanceId) { return std::uint64_t { 0 }; } },
                FleetSyncOptions { .daemonId = "router-" + std::to_string(index),
                    .address = member.address,
                    .seeds = seeds,
                    .instanceId = index + 1,
                    .cpuCores = index < 3 ? 0.5 : 0.12 });
    }

    void run(Millis span)
    {
        constexpr Millis step { 50 };
        for (Millis passed {}; passed < span; passed += step) {
            clock.advance(step);
            for (const auto& member : members) {
                if (!network.dead.contains(member->address))
                    member->exchange->tick();
            }
            network.deliver();
        }
    }

    [[nodiscard]] std::vector<ShardId> shards() const
    {
        std::vector<ShardId> keys;
        for (const auto& [key, endpoints] : members.front()->board.fleetView.endpointsByShard)
            keys.push_back(key);
        return keys;
    }

    /// \returns The coordinator that all living members agree on, or an empty string.
    [[nodiscard]] std::string agreedCoordinator(ShardId shard) const
    {
        std::set<std::string> opinions;
        for (const auto& member : members) {
            if (network.dead.contains(member->address))
                continue;
            std::string address = member->exchange->coordinatorOf(shard);
            opinions.insert(address.empty() ? member->address : address);
        }
        return opinions.size() == 1 ? *opinions.begin() : std::string();
    }
};

}

TEST_CASE("a small fleet has no coordinators: everybody hears everything", "[placement][exchange]")
{
    Fleet fleet(8, 18);
    CHECK_FALSE(fleet.members[0]->exchange->coordinated());
    CHECK(fleet.members[0]->exchange->livePeers() == 7);
    auto& view = fleet.members[0]->board.fleetView.endpoints.begin()->second;
    view.ownLoad = { .inFlight = 3, .pendingPrefillTokens = 500 };
    fleet.run(Millis { 500 });
    for (std::size_t i = 1; i < fleet.members.size(); ++i)
        CHECK(fleet.members[i]->board.fleetView.endpoints.begin()->second.load().inFlight == 3);
}

TEST_CASE("a large fleet agrees on coordinators, and only they hear of loads", "[placement][exchange]")
{
    Fleet fleet(40, 64);
    REQUIRE(fleet.shards().size() == 4);
    std::set<std::string> coordinators;
    for (ShardId shard : fleet.shards()) {
        CHECK(!fleet.agreedCoordinator(shard).empty());
        coordinators.insert(fleet.agreedCoordinator(shard));
    }
    auto& sender = *fleet.members[39];
    auto& view = sender.board.fleetView.endpoints.begin()->second;
    std::string coordinator = fleet.agreedCoordinator(view.shard);
    view.ownLoad = { .inFlight = 3, .pendingPrefillTokens = 500 };
    fleet.run(Millis { 500 });
    for (const auto& member : fleet.members) {
        if (member->address == sender.address)
            continue;
        bool knows = member->board.fleetView.endpoints.begin()->second.load().inFlight == 3;
        CHECK(knows == (member->address == coordinator));
    }
    // The daemons with most processor time coordinate.
    for (const std::string& address : coordinators)
        CHECK((address == "10.0.0.0:7400" || address == "10.0.0.1:7400" || address == "10.0.0.2:7400"));
}

// Guards against shards that nobody places after their coordinator has died, stopped or frozen, and against loads that
// the next one never learns.
TEST_CASE("another daemon takes the shards of a lost coordinator, and learns the loads", "[placement][exchange]")
{
    Fleet fleet(30, 64);
    ShardId shard = fleet.shards().front();
    std::string first = fleet.agreedCoordinator(shard);
    auto& sender = *fleet.members[29];
    EndpointView& view = *sender.board.fleetView.endpointsByShard[shard].front();
    view.ownLoad = { .inFlight = 2, .pendingPrefillTokens = 900 };
    fleet.network.dead.insert(first);
    fleet.run(Millis { 2'500 });
    std::string second = fleet.agreedCoordinator(shard);
    REQUIRE(!second.empty());
    CHECK(second != first);
    for (const auto& member : fleet.members) {
        if (member->address == second)
            CHECK(member->board.fleetView.endpointsByInstance[view.instanceId]->load().inFlight == 2);
    }
    // It is back, and all turn to it again.
    fleet.network.dead.clear();
    fleet.run(Millis { 4'000 });
    CHECK(fleet.agreedCoordinator(shard) == first);
}

// Pattern: all daemons are killed while the store is away. Guards against a fleet whose daemons know their seeds only
// and each place requests by their own sends.
TEST_CASE("daemons that know three seeds find all others within a second", "[placement][exchange][restart]")
{
    Fleet fleet(60, 64, { "10.0.0.0:7400", "10.0.0.1:7400", "10.0.0.2:7400" });
    for (const auto& member : fleet.members) {
        CHECK(member->exchange->possibleDaemons() == 60);
        CHECK(member->exchange->coordinated());
    }
    CHECK(!fleet.agreedCoordinator(fleet.shards().front()).empty());
}

TEST_CASE("a daemon that stops hands its shards over at once", "[placement][exchange]")
{
    Fleet fleet(30, 64);
    ShardId shard = fleet.shards().front();
    std::string first = fleet.agreedCoordinator(shard);
    for (const auto& member : fleet.members) {
        if (member->address == first)
            member->exchange->setMayCoordinate(false);
    }
    fleet.run(Millis { 200 });
    CHECK(!fleet.agreedCoordinator(shard).empty());
    CHECK(fleet.agreedCoordinator(shard) != first);
}

// Pattern: all daemons are restarted in turn. Guards against shared parts that are read again because the shard's new
// coordinator does not know where they lie.
TEST_CASE("a stopping coordinator tells its successor what the endpoints hold", "[placement][exchange][restart]")
{
    Fleet fleet(30, 64);
    ShardId shard = fleet.shards().front();
    std::string first = fleet.agreedCoordinator(shard);
    auto memberAt = [&](const std::string& address) -> Fleet::Member& {
        for (const auto& member : fleet.members) {
            if (member->address == address)
                return *member;
        }
        throw std::runtime_error("no such daemon");
    };
    EndpointView& view = *memberAt(first).board.fleetView.endpointsByShard[shard].front();
    std::vector<PromptPart> parts;
    for (std::uint64_t key = 1; key <= 150; ++key)
        parts.push_back({ .key = key, .tokens = 1'000 });
    recordPeerPrompt(memberAt(first).board.fleetView, view.instanceId, parts, fleet.clock.now());
    memberAt(first).exchange->setMayCoordinate(false);
    fleet.run(Millis { 200 });
    const PromptCache& known
        = memberAt(fleet.agreedCoordinator(shard)).board.fleetView.endpointsByInstance.at(view.instanceId)->promptCache;
    CHECK(known.tokens() == 150'000);
    CHECK(known.cachedTokens(parts) == 150'000);
    CHECK(known.parts() == view.promptCache.parts());
}

TEST_CASE("a suspected coordinator is asked again only after it was heard", "[placement][exchange]")
{
    Fleet fleet(30, 64);
    ShardId shard = fleet.shards().front();
    std::string first = fleet.agreedCoordinator(shard);
    auto& asker = *fleet.members[29];
    asker.exchange->suspect(first);
    CHECK(asker.exchange->coordinatorOf(shard) != first);
    fleet.run(Millis { 500 });
    CHECK(asker.exchange->coordinatorOf(shard) != first);
    fleet.run(Millis { 1'000 });
    CHECK(asker.exchange->coordinatorOf(shard) == first);
}

// Pattern: an idle large fleet. Guards against control traffic that grows with the square of the fleet. The bound is
// the design size's budget for one daemon.
TEST_CASE("an idle daemon of a large fleet stays within its control traffic", "[placement][exchange]")
{
    Fleet fleet(70, 143);
    fleet.network.sentBytes.clear();
    constexpr Millis span { 12'000 };
    fleet.run(span);
    std::set<std::string> coordinators;
    for (ShardId shard : fleet.shards())
        coordinators.insert(fleet.agreedCoordinator(shard));
    for (const auto& [address, bytes] : fleet.network.sentBytes) {
        if (!coordinators.contains(address))
            CHECK(static_cast<double>(bytes) / span.seconds() <= 4'096.0);
    }
}
