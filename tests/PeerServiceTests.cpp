#include "FakeLogClient.h"
#include "daemon/PeerService.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace jasminestack;

namespace {

const std::string fleetKey = "0123456789abcdef0123456789abcdef";

/// An in-memory network that delivers messages after 10 ms and may lose, duplicate or reorder them.
struct FakeNetwork {
    struct Port final : PeerTransport {
        FakeNetwork& network;
        std::string address;
        Handler handler;
        std::vector<std::string> reconnected;

        Port(FakeNetwork& theNetwork, std::string theAddress)
            : network(theNetwork)
            , address(std::move(theAddress))
        {
        }
        void send(std::string_view to, std::string_view bytes) override
        {
            ++network.sentCount;
            if (network.random.uniformReal() < network.lossProbability)
                return;
            network.inTransit.emplace_back(to, bytes);
            if (network.random.uniformReal() < network.duplicationProbability)
                network.duplicates.emplace_back(to, bytes);
        }
        void setReceiveHandler(Handler theHandler) override { handler = std::move(theHandler); }
        void reconnect(std::string_view to) override { reconnected.emplace_back(to); }
    };

    Random random { 11 };
    double lossProbability { 0 };
    double duplicationProbability { 0 };
    std::uint64_t sentCount { 0 };
    std::map<std::string, Port*> ports;
    std::vector<std::pair<std::string, std::string>> inTransit;
    std::vector<std::pair<std::string, std::string>> duplicates;

    void deliver()
    {
        auto messages = std::exchange(inTransit, std::exchange(duplicates, {}));
        if (duplicationProbability > 0 && messages.size() > 1)
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
    FakeNetwork::Port transport;
    std::vector<EndpointLeavingUpdate> leavingUpdates;
    std::vector<CrashMark> crashMarks;
    std::vector<Allocation> allocations;
    PeerService peers;

    TestDaemon(FakeNetwork& network, const Clock& clock, unsigned index)
        : log(clock)
        , configuration(log, clock)
        , self { .id = DaemonId("d" + std::to_string(index)),
            .incarnation = static_cast<std::uint64_t>(clock.wallTime().count),
            .peerAddress = "p" + std::to_string(index) }
        , transport(network, self.peerAddress)
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
                  .allocation
                  = [this](const PeerMessage&, const Allocation& allocation) { allocations.push_back(allocation); },
                  .crashMark = [this](const CrashMark& mark) { crashMarks.push_back(mark); },
                  .endpointLeavingUpdate
                  = [this](const EndpointLeavingUpdate& update) { leavingUpdates.push_back(update); } })
    {
        network.ports[self.peerAddress] = &transport;
        configuration.start();
    }
};

struct Fleet {
    FakeNetwork network;
    FakeClock clock;
    std::vector<std::unique_ptr<TestDaemon>> daemons;

    explicit Fleet(unsigned size)
    {
        for (unsigned i = 0; i < size; ++i)
            daemons.push_back(std::make_unique<TestDaemon>(network, clock, i));
    }

    void step()
    {
        clock.advance({ 10 });
        network.deliver();
        for (auto& daemon : daemons) {
            daemon->log.pump();
            if (clock.now().count % 50 == 0) {
                daemon->configuration.tick();
                daemon->peers.tick();
            }
        }
    }

    std::int64_t advanceUntil(std::int64_t timeoutMs, const std::function<bool()>& condition)
    {
        for (std::int64_t elapsedMs = 0; elapsedMs <= timeoutMs; elapsedMs += 10) {
            if (condition())
                return elapsedMs;
            step();
        }
        return timeoutMs + 1;
    }

    void pass(std::int64_t durationMs)
    {
        advanceUntil(durationMs, [] { return false; });
    }

    bool hasFullMembership() const
    {
        return std::all_of(daemons.begin(), daemons.end(),
            [&](const auto& daemon) { return daemon->members.members.size() + 1 == daemons.size(); });
    }

    bool allHaveVersion(std::uint64_t version) const
    {
        return std::all_of(daemons.begin(), daemons.end(),
            [&](const auto& daemon) { return daemon->configuration.current().version == version; });
    }
};

std::string changeRecord(std::uint64_t base, int share)
{
    return makeChangeRecord(
        "id-" + std::to_string(base), "ada", base, R"({"workspaces":{"w":{"share":)" + std::to_string(share) + "}}}")
        .value();
}

}

// Guards against a configuration that reaches daemons without log access late or not at all. It must arrive within 7 s
// of its acceptance.
TEST_CASE("daemons without log access receive the configuration from peers", "[peerservice]")
{
    Fleet fleet(8);
    REQUIRE(fleet.advanceUntil(5'000, [&] { return fleet.hasFullMembership(); }) <= 5'000);
    for (std::size_t i = 1; i < 8; ++i)
        fleet.daemons[i]->log.isUnavailable = true;
    fleet.pass(6'000);
    auto loss = GENERATE(0.0, 0.2);
    fleet.network.lossProbability = loss;
    fleet.network.duplicationProbability = loss;
    for (std::uint64_t base = 0; base < 5; ++base) {
        fleet.daemons[0]->log.put("config", changeRecord(base, 3));
        std::int64_t tookMs = fleet.advanceUntil(7'000, [&] { return fleet.allHaveVersion(base + 1); });
        INFO("version " << base + 1 << " everywhere after " << tookMs << " ms, loss " << loss);
        CHECK(tookMs <= 7'000);
        UNSCOPED_INFO("version " << base + 1 << " everywhere after " << tookMs << " ms, loss " << loss);
    }
    CHECK(fleet.daemons[3]->configuration.document() == fleet.daemons[0]->configuration.document());
}

// Guards against a newly started daemon that runs requests without a configuration, or that never receives the
// configuration that its peers have.
TEST_CASE("a new daemon without log access receives the configuration from its peers", "[peerservice]")
{
    Fleet fleet(3);
    for (auto& daemon : fleet.daemons)
        daemon->log.put("config", changeRecord(0, 3));
    REQUIRE(fleet.advanceUntil(5'000, [&] { return fleet.hasFullMembership() && fleet.allHaveVersion(1); }) <= 5'000);
    fleet.daemons.push_back(std::make_unique<TestDaemon>(fleet.network, fleet.clock, 3));
    fleet.daemons[3]->log.isUnavailable = true;
    REQUIRE(fleet.daemons[3]->configuration.current().version == 0);
    std::int64_t tookMs = fleet.advanceUntil(3'000, [&] { return fleet.allHaveVersion(1); });
    INFO("took " << tookMs << " ms");
    CHECK(tookMs <= 3'000);
}

// Guards against a daemon that puts a configuration in force although it has access to neither the log nor peers, and
// against one that does not recover when the log becomes available.
TEST_CASE("a new daemon without log access and peers has no configuration until the log is available", "[peerservice]")
{
    Fleet fleet(1);
    TestDaemon& daemon = *fleet.daemons[0];
    daemon.log.put("config", changeRecord(0, 3));
    daemon.log.isUnavailable = true;
    fleet.pass(30'000);
    CHECK(daemon.configuration.current().version == 0);
    CHECK(daemon.configuration.digest().throughOffset == -1);
    CHECK_FALSE(daemon.configuration.isLogReachable());
    daemon.log.isUnavailable = false;
    CHECK(fleet.advanceUntil(1'500, [&] { return fleet.allHaveVersion(1); }) <= 1'500);
}

// Guards against a daemon with an old configuration that makes others go back to it, or that stays behind because its
// log reads hang.
TEST_CASE("a daemon with an old configuration catches up and no daemon goes back to an older version", "[peerservice]")
{
    Fleet fleet(4);
    for (auto& daemon : fleet.daemons)
        daemon->log.put("config", changeRecord(0, 1));
    REQUIRE(fleet.advanceUntil(5'000, [&] { return fleet.hasFullMembership() && fleet.allHaveVersion(1); }) <= 5'000);
    fleet.daemons[2]->log.hangReads = true;
    fleet.pass(4'500);
    for (std::size_t i : { 0U, 1U, 3U }) {
        fleet.daemons[i]->log.put("config", changeRecord(1, 2));
        fleet.daemons[i]->log.put("config", changeRecord(2, 3));
    }
    for (int i = 0; i < 300; ++i) {
        std::vector<std::uint64_t> versionsBefore;
        for (auto& daemon : fleet.daemons)
            versionsBefore.push_back(daemon->configuration.current().version);
        fleet.step();
        for (std::size_t d = 0; d < 4; ++d)
            REQUIRE(fleet.daemons[d]->configuration.current().version >= versionsBefore[d]);
    }
    CHECK(fleet.allHaveVersion(3));
}

// Guards against messages that are not dispatched: each payload must reach its handler, also when a daemon sends it to
// itself.
TEST_CASE("messages reach their handlers", "[peerservice]")
{
    Fleet fleet(3);
    REQUIRE(fleet.advanceUntil(5'000, [&] { return fleet.hasFullMembership(); }) <= 5'000);
    fleet.network.duplicationProbability = 0.5;
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
        CHECK(fleet.daemons[i]->leavingUpdates.size() == 1);
        CHECK(fleet.daemons[i]->crashMarks.size() == 1);
    }
    CHECK(sender.allocations.size() == 2);
    unsigned owners = 0;
    for (auto& daemon : fleet.daemons)
        owners += daemon->peers.ownsKey("config-checkpoint") ? 1 : 0;
    CHECK(owners == 1);
    CHECK(sender.metrics.text().find("probe") != std::string::npos);
}

// Guards against keeping a connection that has stalled in one direction while messages in the other direction keep both
// members alive.
TEST_CASE("probes without acknowledgement make both sides replace their connections", "[peerservice]")
{
    Fleet fleet(2);
    REQUIRE(fleet.advanceUntil(5'000, [&] { return fleet.hasFullMembership(); }) <= 5'000);
    fleet.pass(2'000);
    REQUIRE(fleet.daemons[0]->transport.reconnected.empty());
    auto disconnectedHandler = std::exchange(fleet.daemons[1]->transport.handler, nullptr);
    fleet.pass(2'500);
    CHECK_FALSE(fleet.daemons[0]->transport.reconnected.empty());
    fleet.daemons[1]->transport.handler = disconnectedHandler;
    fleet.pass(1'500);
    CHECK_FALSE(fleet.daemons[1]->transport.reconnected.empty());
}
