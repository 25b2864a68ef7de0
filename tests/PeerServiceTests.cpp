#include "FakeLogClient.h"
#include "daemon/PeerService.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace jasminestack;

namespace {

const std::string fleetKey = "0123456789abcdef0123456789abcdef";

/// A network in memory: messages take 10 ms and may be lost, doubled or reordered.
struct Hub {
    struct Port final : PeerTransport {
        Hub& hub;
        std::string address;
        Handler handler;
        std::vector<std::string> reconnected;

        Port(Hub& theHub, std::string theAddress)
            : hub(theHub)
            , address(std::move(theAddress))
        {
        }
        void send(std::string_view to, std::string_view bytes) override
        {
            ++hub.sent;
            if (hub.random.uniformReal() < hub.loss)
                return;
            hub.inTransit.emplace_back(to, bytes);
            if (hub.random.uniformReal() < hub.doubling)
                hub.later.emplace_back(to, bytes);
        }
        void setReceiveHandler(Handler theHandler) override { handler = std::move(theHandler); }
        void reconnect(std::string_view to) override { reconnected.emplace_back(to); }
    };

    Random random { 11 };
    double loss { 0 };
    double doubling { 0 };
    std::uint64_t sent { 0 };
    std::map<std::string, Port*> ports;
    std::vector<std::pair<std::string, std::string>> inTransit;
    std::vector<std::pair<std::string, std::string>> later;

    void deliver()
    {
        auto messages = std::exchange(inTransit, std::exchange(later, {}));
        if (doubling > 0 && messages.size() > 1)
            std::swap(messages.front(), messages.back());
        for (auto& [to, bytes] : messages) {
            if (auto port = ports.find(to); port != ports.end() && port->second->handler)
                port->second->handler(bytes);
        }
    }
};

struct TestDaemon {
    FakeLogClient log;
    ConfigurationService configuration;
    SelfState self;
    MemberTable members;
    Metrics metrics;
    Hub::Port transport;
    std::vector<EndpointLeavingUpdate> news;
    std::vector<CrashMark> marks;
    std::vector<Allocation> allocations;
    PeerService peers;

    TestDaemon(Hub& hub, const Clock& clock, unsigned index)
        : log(clock)
        , configuration(log, clock)
        , self { .id = DaemonId("d" + std::to_string(index)),
            .incarnation = static_cast<std::uint64_t>(clock.wallTime().count),
            .peerAddress = "p" + std::to_string(index) }
        , transport(hub, self.peerAddress)
        , peers({ .clock = clock,
                    .transport = transport,
                    .self = self,
                    .members = members,
                    .configuration = configuration,
                    .metrics = metrics },
              { .fleetKey = fleetKey, .seeds = { "p0", "p1" }, .randomSeed = index + 1 },
              { .demandReport =
                      [](const PeerMessage& message, const DemandReport& report) {
                          return std::vector<OutboundMessage> { { .to = message.sender,
                              .payload = Allocation { .cell = report.cell } } };
                      },
                  .allocation = [this](const PeerMessage&, const Allocation& a) { allocations.push_back(a); },
                  .crashMark = [this](const CrashMark& mark) { marks.push_back(mark); },
                  .endpointLeavingUpdate = [this](const EndpointLeavingUpdate& one) { news.push_back(one); } })
    {
        hub.ports[self.peerAddress] = &transport;
        configuration.start();
    }
};

struct Fleet {
    Hub hub;
    FakeClock clock;
    std::vector<std::unique_ptr<TestDaemon>> daemons;

    explicit Fleet(unsigned size)
    {
        for (unsigned i = 0; i < size; ++i)
            daemons.push_back(std::make_unique<TestDaemon>(hub, clock, i));
    }

    void step()
    {
        clock.advance({ 10 });
        hub.deliver();
        for (auto& daemon : daemons) {
            daemon->log.pump();
            if (clock.now().count % 50 == 0) {
                daemon->configuration.tick();
                daemon->peers.tick();
            }
        }
    }

    std::int64_t until(std::int64_t limit, const std::function<bool()>& done)
    {
        for (std::int64_t at = 0; at <= limit; at += 10) {
            if (done())
                return at;
            step();
        }
        return limit + 1;
    }

    void pass(std::int64_t ms)
    {
        until(ms, [] { return false; });
    }

    bool together() const
    {
        return std::all_of(daemons.begin(), daemons.end(),
            [&](const auto& daemon) { return daemon->members.members.size() + 1 == daemons.size(); });
    }

    bool allAt(std::uint64_t version) const
    {
        return std::all_of(daemons.begin(), daemons.end(),
            [&](const auto& daemon) { return daemon->configuration.current().version == version; });
    }
};

std::string change(std::uint64_t base, int share)
{
    return makeChangeRecord(
        "id-" + std::to_string(base), "ada", base, R"({"workspaces":{"w":{"share":)" + std::to_string(share) + "}}}")
        .value();
}

}

// Guards against a configuration that reaches daemons without the log late or not at all. Bound 7 s from acceptance.
TEST_CASE("daemons without the log get the configuration from peers", "[peerservice]")
{
    Fleet fleet(8);
    REQUIRE(fleet.until(5'000, [&] { return fleet.together(); }) <= 5'000);
    for (std::size_t i = 1; i < 8; ++i)
        fleet.daemons[i]->log.isUnavailable = true;
    fleet.pass(6'000);
    auto loss = GENERATE(0.0, 0.2);
    fleet.hub.loss = loss;
    fleet.hub.doubling = loss;
    for (std::uint64_t base = 0; base < 5; ++base) {
        fleet.daemons[0]->log.put("config", change(base, 3));
        std::int64_t took = fleet.until(7'000, [&] { return fleet.allAt(base + 1); });
        INFO("version " << base + 1 << " everywhere after " << took << " ms, loss " << loss);
        CHECK(took <= 7'000);
        UNSCOPED_INFO("version " << base + 1 << " everywhere after " << took << " ms, loss " << loss);
    }
    CHECK(fleet.daemons[3]->configuration.document() == fleet.daemons[0]->configuration.document());
}

// Guards against a cold daemon that runs requests without a configuration, or stays without one beside its peers.
TEST_CASE("a cold daemon without the log starts from its peers", "[peerservice]")
{
    Fleet fleet(3);
    for (auto& daemon : fleet.daemons)
        daemon->log.put("config", change(0, 3));
    REQUIRE(fleet.until(5'000, [&] { return fleet.together() && fleet.allAt(1); }) <= 5'000);
    fleet.daemons.push_back(std::make_unique<TestDaemon>(fleet.hub, fleet.clock, 3));
    fleet.daemons[3]->log.isUnavailable = true;
    REQUIRE(fleet.daemons[3]->configuration.current().version == 0);
    std::int64_t took = fleet.until(3'000, [&] { return fleet.allAt(1); });
    INFO("took " << took << " ms");
    CHECK(took <= 3'000);
}

// Guards against a daemon that takes an invented configuration into force when it has neither log nor peers, and
// against one that does not recover when the log returns.
TEST_CASE("a cold daemon without log and peers waits for either", "[peerservice]")
{
    Fleet fleet(1);
    TestDaemon& daemon = *fleet.daemons[0];
    daemon.log.put("config", change(0, 3));
    daemon.log.isUnavailable = true;
    fleet.pass(30'000);
    CHECK(daemon.configuration.current().version == 0);
    CHECK(daemon.configuration.digest().throughOffset == -1);
    CHECK_FALSE(daemon.configuration.logReachable());
    daemon.log.isUnavailable = false;
    CHECK(fleet.until(1'500, [&] { return fleet.allAt(1); }) <= 1'500);
}

// Guards against a daemon with an old copy that sets others back, or stays behind because its log's answers hang.
TEST_CASE("a peer with an old copy catches up and sets nobody back", "[peerservice]")
{
    Fleet fleet(4);
    for (auto& daemon : fleet.daemons)
        daemon->log.put("config", change(0, 1));
    REQUIRE(fleet.until(5'000, [&] { return fleet.together() && fleet.allAt(1); }) <= 5'000);
    fleet.daemons[2]->log.hangReads = true;
    fleet.pass(4'500);
    for (std::size_t i : { 0U, 1U, 3U }) {
        fleet.daemons[i]->log.put("config", change(1, 2));
        fleet.daemons[i]->log.put("config", change(2, 3));
    }
    for (int i = 0; i < 300; ++i) {
        std::vector<std::uint64_t> before;
        for (auto& daemon : fleet.daemons)
            before.push_back(daemon->configuration.current().version);
        fleet.step();
        for (std::size_t d = 0; d < 4; ++d)
            REQUIRE(fleet.daemons[d]->configuration.current().version >= before[d]);
    }
    CHECK(fleet.allAt(3));
}

// Guards against lost dispatch: each payload must reach its handler, also when the receiver is the daemon itself.
TEST_CASE("messages reach their handlers", "[peerservice]")
{
    Fleet fleet(3);
    REQUIRE(fleet.until(5'000, [&] { return fleet.together(); }) <= 5'000);
    fleet.hub.doubling = 0.5;
    TestDaemon& sender = *fleet.daemons[0];
    sender.peers.broadcast(EndpointLeavingUpdate { .endpoint = EndpointId("e1"), .leaving = true });
    sender.peers.broadcast(CrashMark { .contentHash = 5, .lossCount = 1, .lossEventId = 9 });
    CellId cell { .pool = PoolId("p") };
    sender.peers.send({ { .to = DaemonId("d1"), .payload = DemandReport { .cell = cell } },
        { .to = DaemonId("d0"), .payload = DemandReport { .cell = cell } },
        { .to = DaemonId("unknown"), .payload = DemandReport { .cell = cell } } });
    CHECK(sender.allocations.size() == 1);
    fleet.pass(200);
    for (std::size_t i : { 1U, 2U }) {
        CHECK(fleet.daemons[i]->news.size() == 1);
        CHECK(fleet.daemons[i]->marks.size() == 1);
    }
    CHECK(sender.allocations.size() == 2);
    unsigned owners = 0;
    for (auto& daemon : fleet.daemons)
        owners += daemon->peers.owns("config-checkpoint") ? 1 : 0;
    CHECK(owners == 1);
    CHECK(sender.metrics.text().find("probe") != std::string::npos);
}

// Guards against a connection that went silent in one direction while the other keeps both members alive.
TEST_CASE("unanswered probes replace the connections of both sides", "[peerservice]")
{
    Fleet fleet(2);
    REQUIRE(fleet.until(5'000, [&] { return fleet.together(); }) <= 5'000);
    fleet.pass(2'000);
    REQUIRE(fleet.daemons[0]->transport.reconnected.empty());
    auto cutHandler = std::exchange(fleet.daemons[1]->transport.handler, nullptr);
    fleet.pass(2'500);
    CHECK_FALSE(fleet.daemons[0]->transport.reconnected.empty());
    fleet.daemons[1]->transport.handler = cutHandler;
    fleet.pass(1'500);
    CHECK_FALSE(fleet.daemons[1]->transport.reconnected.empty());
}
