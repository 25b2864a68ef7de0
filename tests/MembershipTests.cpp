#include "core/Membership.h"
#include "net/NngTransport.h"
#include "net/PeerCodec.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>

using namespace jasminestack;

namespace {

struct Node {
    SelfState self;
    MemberTable table;
    MembershipState state;
    bool isRunning { true };
    bool isPaused { false };
    std::uint64_t sequence { 0 };
    std::uint64_t bytes { 0 }; ///< Sent and received, including tag and framing.
    std::uint64_t messages { 0 };
    std::vector<PeerMessage> receivedWhilePaused;

    MembershipView view()
    {
        return { .self = self, .memberTable = table, .configurationDigest = { .version = 40, .throughOffset = 50 } };
    }
};

/// Daemons in memory. Messages take 10 ms, are lost with a set probability and do not cross partitions.
struct Fleet {
    FakeClock clock;
    Random random;
    double lossProbability { 0 };
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::string, std::size_t> nodeIndexByAddress;
    std::function<bool(std::size_t, std::size_t)> isConnected { [](std::size_t, std::size_t) { return true; } };
    std::deque<std::pair<std::size_t, PeerMessage>> inTransit;
    PeerCodec codec { "0123456789abcdef0123456789abcdef" };
    bool countsBytes { false };

    explicit Fleet(std::size_t size, std::uint64_t seed = 7)
        : random(seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            nodes.push_back(std::make_unique<Node>());
            Node& node = *nodes.back();
            node.self = { .id = DaemonId("router-" + std::to_string(i)),
                .peerAddress = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7400",
                .availabilityZone = i % 3 == 0 ? "gebze" : (i % 3 == 1 ? "dudullu" : "bursa"),
                .region = "marmara" };
            nodeIndexByAddress[node.self.peerAddress] = i;
            start(i);
        }
    }

    void start(std::size_t i)
    {
        Node& node = *nodes[i];
        node.self.incarnation = static_cast<std::uint64_t>(clock.wallTime().count);
        node.table = {};
        node.isRunning = true;
        std::vector<std::string> seeds;
        for (std::size_t seed = 0; seed < std::min<std::size_t>(3, nodes.size()); ++seed)
            seeds.push_back(nodes[seed]->self.peerAddress);
        node.state = makeMembershipState({}, node.self, seeds, random.uniformInteger(1U << 30U));
        // Daemons do not start at the same time.
        node.state.nextProbeAt = clock.now() + Millis { static_cast<std::int64_t>(random.uniformInteger(1'000)) };
    }

    void send(std::size_t from, std::vector<AddressedMessage> messages)
    {
        Node& node = *nodes[from];
        for (AddressedMessage& message : messages) {
            PeerMessage peerMessage { .sender = node.self.id,
                .incarnation = node.self.incarnation,
                .sequence = ++node.sequence + 100'000,
                .payload = std::move(message.payload) };
            auto target = nodeIndexByAddress.find(message.address);
            if (target == nodeIndexByAddress.end())
                continue;
            if (countsBytes) {
                std::size_t size = codec.encode(peerMessage).size() + NngTransport::framingBytes;
                node.bytes += size;
                ++node.messages;
                nodes[target->second]->bytes += size;
            }
            if (random.uniformReal() >= lossProbability && isConnected(from, target->second))
                inTransit.emplace_back(target->second, std::move(peerMessage));
        }
    }

    void deliver(std::size_t to, const PeerMessage& message)
    {
        Node& node = *nodes[to];
        if (!node.isRunning)
            return;
        if (node.isPaused) {
            node.receivedWhilePaused.push_back(message);
            return;
        }
        onMemberMessage(node.state, node.table, message.sender, clock.now());
        if (const auto* probe = std::get_if<Probe>(&message.payload))
            send(to, onProbe(node.state, node.view(), message, *probe, clock.now()));
        else if (const auto* ack = std::get_if<ProbeAck>(&message.payload))
            onProbeAck(node.state, node.view(), message, *ack, clock.now());
    }

    void resume(std::size_t i)
    {
        nodes[i]->isPaused = false;
        for (const PeerMessage& message : std::exchange(nodes[i]->receivedWhilePaused, {}))
            deliver(i, message);
    }

    void step()
    {
        clock.advance({ 10 });
        for (auto& [to, message] : std::exchange(inTransit, {}))
            deliver(to, message);
        if (clock.now().count % 50 != 0)
            return;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i]->isRunning && !nodes[i]->isPaused)
                send(i, tickMembership(nodes[i]->state, nodes[i]->view(), clock.now()));
        }
    }

    void pass(std::int64_t ms)
    {
        for (std::int64_t at = 0; at < ms; at += 10)
            step();
    }

    /// \returns Milliseconds until \p condition holds, or \p limitMs + 1.
    std::int64_t runUntil(std::int64_t limitMs, const std::function<bool()>& condition)
    {
        Millis startedAt = clock.now();
        while (!condition()) {
            if (clock.now() - startedAt > Millis { limitMs })
                return limitMs + 1;
            // In a large fleet one check takes longer than many steps.
            for (int i = 0; i < (nodes.size() > 100 ? 25 : 5); ++i)
                step();
        }
        return (clock.now() - startedAt).count;
    }

    bool considersLive(std::size_t observer, std::size_t subject) const
    {
        auto it = nodes[observer]->table.members.find(nodes[subject]->self.id);
        return it != nodes[observer]->table.members.end() && isLive(it->second);
    }

    /// \param withoutSuspects Whether there must also be no suspect members.
    /// \returns Whether each running daemon's table has exactly the running daemons of its partition as live members.
    bool hasConverged(bool withoutSuspects = false) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i]->isRunning)
                continue;
            for (std::size_t j = 0; j < nodes.size(); ++j) {
                if (i != j && considersLive(i, j) != (nodes[j]->isRunning && isConnected(i, j)))
                    return false;
            }
            if (!withoutSuspects)
                continue;
            for (const auto& [id, member] : nodes[i]->table.members) {
                if (member.lastUpdate.state == MemberState::Suspect)
                    return false;
            }
        }
        return true;
    }

    bool isDeadEverywhere(std::size_t subject) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i]->isRunning && i != subject && considersLive(i, subject))
                return false;
        }
        return true;
    }
};

}

// Guards against late failure detection: the slots of a dead daemon stay idle until it is dead in all member tables.
// Bound 6 s.
TEST_CASE("a killed daemon is dead everywhere within 6 s", "[membership]")
{
    auto size = GENERATE(8, 100);
    auto lossProbability = GENERATE(0.0, 0.1);
    for (std::uint64_t seed : { 7U, 8U, 9U }) {
        Fleet fleet(static_cast<std::size_t>(size), seed);
        std::int64_t joinMs = fleet.runUntil(20'000, [&] { return fleet.hasConverged(); });
        REQUIRE(joinMs <= 20'000);
        fleet.lossProbability = lossProbability;
        fleet.pass(3'000 + 370 * static_cast<std::int64_t>(seed));
        fleet.nodes[5]->isRunning = false;
        std::int64_t detectionMs = fleet.runUntil(6'000, [&] { return fleet.isDeadEverywhere(5); });
        INFO("members " << size << " loss " << lossProbability << " seed " << seed << ": joined in " << joinMs
                        << " ms, dead in " << detectionMs << " ms");
        CHECK(detectionMs <= 6'000);
    }
}

// Guards against declaring a running daemon dead only because messages are lost.
TEST_CASE("lost messages do not make a running daemon dead", "[membership]")
{
    Fleet fleet(50);
    REQUIRE(fleet.runUntil(20'000, [&] { return fleet.hasConverged(); }) <= 20'000);
    fleet.lossProbability = 0.1;
    for (int second = 0; second < 120; ++second) {
        fleet.pass(1'000);
        REQUIRE(fleet.hasConverged());
    }
    fleet.lossProbability = 0;
    REQUIRE(fleet.runUntil(5'000, [&] { return fleet.hasConverged(true); }) <= 5'000);
}

// Guards against two parts of the fleet that stay separate after a partition has healed. Bound 10 s.
TEST_CASE("a healed partition converges within 10 s", "[membership]")
{
    auto size = GENERATE(8, 100);
    auto isolatesOneDaemon = GENERATE(0, 1); // Half of the fleet, or one daemon.
    Fleet fleet(static_cast<std::size_t>(size));
    REQUIRE(fleet.runUntil(20'000, [&] { return fleet.hasConverged(); }) <= 20'000);
    std::size_t boundary = isolatesOneDaemon ? 1 : static_cast<std::size_t>(size) / 2;
    fleet.isConnected
        = [boundary](std::size_t sender, std::size_t receiver) { return (sender < boundary) == (receiver < boundary); };
    std::int64_t splitMs = fleet.runUntil(20'000, [&] { return fleet.hasConverged(); });
    CHECK(splitMs <= 20'000);
    fleet.pass(10'000);
    REQUIRE(fleet.hasConverged());
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    std::int64_t healingMs = fleet.runUntil(10'000, [&] { return fleet.hasConverged(); });
    INFO("members " << size << " cut off " << boundary << ": split in " << splitMs << " ms, healed in " << healingMs
                    << " ms");
    CHECK(healingMs <= 10'000);
    fleet.pass(5'000);
    CHECK(fleet.hasConverged(true));
}

// Guards against a paused daemon that stays dead in the tables of others, or declares them dead when it resumes.
TEST_CASE("a paused daemon is alive again after it resumes", "[membership]")
{
    Fleet fleet(8);
    REQUIRE(fleet.runUntil(10'000, [&] { return fleet.hasConverged(); }) <= 10'000);
    fleet.nodes[2]->isPaused = true;
    std::int64_t detectionMs = fleet.runUntil(6'000, [&] { return fleet.isDeadEverywhere(2); });
    REQUIRE(detectionMs <= 6'000);
    fleet.pass(10'000);
    std::uint64_t incarnation = fleet.nodes[2]->state.incarnation;
    std::uint64_t messageIncarnation = fleet.nodes[2]->self.incarnation;
    fleet.resume(2);
    for (int i = 0; i < 500; ++i) {
        fleet.step();
        for (std::size_t other = 0; other < 8; ++other)
            REQUIRE((other == 2 || fleet.considersLive(2, other)));
    }
    REQUIRE(fleet.hasConverged(true));
    REQUIRE(fleet.nodes[2]->state.incarnation > incarnation);
    // Counters of one process are summed by the incarnation in its messages, so a refutation must not change that.
    REQUIRE(fleet.nodes[2]->self.incarnation == messageIncarnation);
}

// Guards against a restarted daemon that does not rejoin, also when its clock was set back.
TEST_CASE("a daemon rejoins after a cold restart", "[membership]")
{
    Fleet fleet(8);
    REQUIRE(fleet.runUntil(10'000, [&] { return fleet.hasConverged(); }) <= 10'000);
    for (std::size_t i : { std::size_t { 0 }, std::size_t { 5 } }) {
        fleet.nodes[i]->isRunning = false;
        fleet.pass(1'000);
        fleet.start(i);
        REQUIRE(fleet.runUntil(5'000, [&] { return fleet.hasConverged(true); }) <= 5'000);
    }
    fleet.nodes[6]->isRunning = false;
    std::uint64_t previousIncarnation = fleet.nodes[6]->self.incarnation;
    fleet.pass(10'000);
    fleet.start(6);
    fleet.nodes[6]->self.incarnation = previousIncarnation - 60'000;
    fleet.nodes[6]->state.incarnation = previousIncarnation - 60'000;
    REQUIRE(fleet.runUntil(10'000, [&] { return fleet.hasConverged(true); }) <= 10'000);
    REQUIRE(fleet.nodes[6]->self.incarnation > previousIncarnation);

    for (auto& node : fleet.nodes)
        node->isRunning = false;
    fleet.pass(1'000);
    for (std::size_t i = 0; i < 8; ++i)
        fleet.start(i);
    REQUIRE(fleet.runUntil(10'000, [&] { return fleet.hasConverged(true); }) <= 10'000);
}

// Guards against a graceful shutdown that other members detect only as a failure 5 s later.
TEST_CASE("a daemon that leaves has left in all member tables within 1 s", "[membership]")
{
    Fleet fleet(8);
    REQUIRE(fleet.runUntil(10'000, [&] { return fleet.hasConverged(); }) <= 10'000);
    fleet.pass(3'000);
    fleet.send(3, leaveMembership(fleet.nodes[3]->state, fleet.nodes[3]->view()));
    fleet.nodes[3]->isRunning = false;
    REQUIRE(fleet.runUntil(1'000, [&] { return fleet.isDeadEverywhere(3); }) <= 1'000);
    for (std::size_t i = 0; i < 8; ++i) {
        if (i != 3)
            REQUIRE(fleet.nodes[i]->table.members.at(DaemonId("router-3")).lastUpdate.state == MemberState::Left);
    }
}

namespace {

/// \returns Bytes per second sent and received by the busiest daemon, averaged over 10 s.
std::uint64_t busiestBytesPerSecond(Fleet& fleet)
{
    fleet.countsBytes = true;
    for (auto& node : fleet.nodes)
        node->bytes = 0;
    fleet.pass(10'000);
    fleet.countsBytes = false;
    std::uint64_t maxBytes = 0;
    std::uint64_t totalBytes = 0;
    for (auto& node : fleet.nodes) {
        maxBytes = std::max(maxBytes, node->bytes);
        totalBytes += node->bytes;
    }
    std::size_t size = fleet.nodes.size();
    UNSCOPED_INFO("members " << size << ": " << totalBytes / size / 10
                             << " bytes/s sent and received per daemon, busiest " << maxBytes / 10);
    return maxBytes / 10;
}

}

// Guards against traffic that grows with the fleet. The budget for all control traffic is 4 KB/s per daemon; membership
// may use a quarter of it.
TEST_CASE("membership traffic per daemon does not depend on the size of the fleet", "[membership]")
{
    for (std::size_t size : { 8U, 50U, 100U, 200U }) {
        Fleet fleet(size);
        REQUIRE(fleet.runUntil(20'000, [&] { return fleet.hasConverged(); }) <= 20'000);
        fleet.pass(5'000);
        CHECK(busiestBytesPerSecond(fleet) <= 1'024);
    }
}

// Guards against bounds that hold only in small fleets. All checks use one fleet, since joining 400 daemons takes long
// in this simulation.
TEST_CASE("the bounds hold for 400 members", "[.large][membership-large]")
{
    Fleet fleet(400);
    REQUIRE(fleet.runUntil(20'000, [&] { return fleet.hasConverged(); }) <= 20'000);
    fleet.pass(5'000);
    CHECK(busiestBytesPerSecond(fleet) <= 1'024);

    for (double lossProbability : { 0.0, 0.1 }) {
        fleet.lossProbability = lossProbability;
        std::size_t killed = lossProbability > 0 ? 6 : 5;
        fleet.nodes[killed]->isRunning = false;
        std::int64_t durationMs = fleet.runUntil(6'000, [&] { return fleet.isDeadEverywhere(killed); });
        INFO("loss " << lossProbability << ": dead everywhere in " << durationMs << " ms");
        CHECK(durationMs <= 6'000);
    }
    fleet.lossProbability = 0;
    for (std::size_t boundary : { 200U, 1U }) {
        fleet.isConnected = [boundary](std::size_t sender, std::size_t receiver) {
            return (sender < boundary) == (receiver < boundary);
        };
        CHECK(fleet.runUntil(20'000, [&] { return fleet.hasConverged(); }) <= 20'000);
        fleet.pass(5'000);
        fleet.isConnected = [](std::size_t, std::size_t) { return true; };
        std::int64_t durationMs = fleet.runUntil(10'000, [&] { return fleet.hasConverged(); });
        INFO("cut off " << boundary << ": healed in " << durationMs << " ms");
        CHECK(durationMs <= 10'000);
    }
}
