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
    bool running { true };
    bool paused { false };
    std::uint64_t sequence { 0 };
    std::uint64_t bytes { 0 }; ///< Sent and received, with tag and framing.
    std::uint64_t messages { 0 };
    std::vector<PeerMessage> backlog; ///< Arrived while paused.

    MembershipView view()
    {
        return { .self = self, .memberTable = table, .configurationDigest = { .version = 40, .throughOffset = 50 } };
    }
};

/// Daemons in memory; messages take 10 ms, may be lost, and are cut by partitions.
struct Fleet {
    FakeClock clock;
    Random random;
    double loss { 0 };
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::string, std::size_t> byAddress;
    std::function<bool(std::size_t, std::size_t)> connected { [](std::size_t, std::size_t) { return true; } };
    std::deque<std::pair<std::size_t, PeerMessage>> inTransit;
    PeerCodec codec { "0123456789abcdef0123456789abcdef" };
    bool countBytes { false };

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
            byAddress[node.self.peerAddress] = i;
            start(i);
        }
    }

    void start(std::size_t i)
    {
        Node& node = *nodes[i];
        node.self.incarnation = static_cast<std::uint64_t>(clock.wallTime().count);
        node.table = {};
        node.running = true;
        std::vector<std::string> seeds;
        for (std::size_t seed = 0; seed < std::min<std::size_t>(3, nodes.size()); ++seed)
            seeds.push_back(nodes[seed]->self.peerAddress);
        node.state = makeMembershipState({}, node.self, seeds, random.uniformInteger(1U << 30U));
        // Daemons do not start in step.
        node.state.nextProbe = clock.now() + Millis { static_cast<std::int64_t>(random.uniformInteger(1'000)) };
    }

    void send(std::size_t from, std::vector<AddressedMessage> messages)
    {
        Node& node = *nodes[from];
        for (AddressedMessage& message : messages) {
            PeerMessage envelope { .sender = node.self.id,
                .incarnation = node.self.incarnation,
                .sequence = ++node.sequence + 100'000,
                .payload = std::move(message.payload) };
            auto target = byAddress.find(message.address);
            if (target == byAddress.end())
                continue;
            if (countBytes) {
                std::size_t size = codec.encode(envelope).size() + NngTransport::framingBytes;
                node.bytes += size;
                ++node.messages;
                nodes[target->second]->bytes += size;
            }
            if (random.uniformReal() >= loss && connected(from, target->second))
                inTransit.emplace_back(target->second, std::move(envelope));
        }
    }

    void deliver(std::size_t to, const PeerMessage& message)
    {
        Node& node = *nodes[to];
        if (!node.running)
            return;
        if (node.paused) {
            node.backlog.push_back(message);
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
        nodes[i]->paused = false;
        for (const PeerMessage& message : std::exchange(nodes[i]->backlog, {}))
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
            if (nodes[i]->running && !nodes[i]->paused)
                send(i, tickMembership(nodes[i]->state, nodes[i]->view(), clock.now()));
        }
    }

    void pass(std::int64_t ms)
    {
        for (std::int64_t at = 0; at < ms; at += 10)
            step();
    }

    /// \returns Milliseconds until \p done, or limit + 1.
    std::int64_t until(std::int64_t limit, const std::function<bool()>& done)
    {
        Millis start = clock.now();
        while (!done()) {
            if (clock.now() - start > Millis { limit })
                return limit + 1;
            // In a large fleet the check costs more than many steps.
            for (int i = 0; i < (nodes.size() > 100 ? 25 : 5); ++i)
                step();
        }
        return (clock.now() - start).count;
    }

    bool sees(std::size_t observer, std::size_t subject) const
    {
        auto it = nodes[observer]->table.members.find(nodes[subject]->self.id);
        return it != nodes[observer]->table.members.end() && isLive(it->second);
    }

    /// Whether every running daemon takes exactly the running ones in its part for running.
    bool converged(bool exceptSuspect = false) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i]->running)
                continue;
            for (std::size_t j = 0; j < nodes.size(); ++j) {
                if (i != j && sees(i, j) != (nodes[j]->running && connected(i, j)))
                    return false;
            }
            if (!exceptSuspect)
                continue;
            for (const auto& [id, member] : nodes[i]->table.members) {
                if (member.lastUpdate.state == MemberState::Suspect)
                    return false;
            }
        }
        return true;
    }

    bool deadEverywhere(std::size_t subject) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i]->running && i != subject && sees(i, subject))
                return false;
        }
        return true;
    }
};

}

// Guards against late detection: slots of a dead daemon stay idle until all take it for dead. Bound 6 s.
TEST_CASE("a killed daemon is dead everywhere within 6 s", "[membership]")
{
    auto size = GENERATE(8, 100);
    auto loss = GENERATE(0.0, 0.1);
    for (std::uint64_t seed : { 7U, 8U, 9U }) {
        Fleet fleet(static_cast<std::size_t>(size), seed);
        std::int64_t joined = fleet.until(20'000, [&] { return fleet.converged(); });
        REQUIRE(joined <= 20'000);
        fleet.loss = loss;
        fleet.pass(3'000 + 370 * static_cast<std::int64_t>(seed));
        fleet.nodes[5]->running = false;
        std::int64_t took = fleet.until(6'000, [&] { return fleet.deadEverywhere(5); });
        INFO("members " << size << " loss " << loss << " seed " << seed << ": joined in " << joined << " ms, dead in "
                        << took << " ms");
        CHECK(took <= 6'000);
    }
}

// Guards against false verdicts: lost messages alone must not make a running daemon dead.
TEST_CASE("lost messages make no running daemon dead", "[membership]")
{
    Fleet fleet(50);
    REQUIRE(fleet.until(20'000, [&] { return fleet.converged(); }) <= 20'000);
    fleet.loss = 0.1;
    for (int second = 0; second < 120; ++second) {
        fleet.pass(1'000);
        REQUIRE(fleet.converged());
    }
    fleet.loss = 0;
    REQUIRE(fleet.until(5'000, [&] { return fleet.converged(true); }) <= 5'000);
}

// Guards against two fleets that stay apart after the network has healed. Bound 10 s.
TEST_CASE("a healed partition converges within 10 s", "[membership]")
{
    auto size = GENERATE(8, 100);
    auto minority = GENERATE(0, 1); // Half of the fleet, or one daemon.
    Fleet fleet(static_cast<std::size_t>(size));
    REQUIRE(fleet.until(20'000, [&] { return fleet.converged(); }) <= 20'000);
    std::size_t boundary = minority ? 1 : static_cast<std::size_t>(size) / 2;
    fleet.connected = [boundary](std::size_t a, std::size_t b) { return (a < boundary) == (b < boundary); };
    std::int64_t split = fleet.until(20'000, [&] { return fleet.converged(); });
    CHECK(split <= 20'000);
    fleet.pass(10'000);
    REQUIRE(fleet.converged());
    fleet.connected = [](std::size_t, std::size_t) { return true; };
    std::int64_t took = fleet.until(10'000, [&] { return fleet.converged(); });
    INFO("members " << size << " cut off " << boundary << ": split in " << split << " ms, healed in " << took << " ms");
    CHECK(took <= 10'000);
    fleet.pass(5'000);
    CHECK(fleet.converged(true));
}

// Guards against a paused daemon that stays dead for others, or takes the others for dead when it wakes up.
TEST_CASE("a paused daemon returns", "[membership]")
{
    Fleet fleet(8);
    REQUIRE(fleet.until(10'000, [&] { return fleet.converged(); }) <= 10'000);
    fleet.nodes[2]->paused = true;
    std::int64_t dead = fleet.until(6'000, [&] { return fleet.deadEverywhere(2); });
    REQUIRE(dead <= 6'000);
    fleet.pass(10'000);
    std::uint64_t incarnation = fleet.nodes[2]->state.incarnation;
    std::uint64_t messageIncarnation = fleet.nodes[2]->self.incarnation;
    fleet.resume(2);
    for (int i = 0; i < 500; ++i) {
        fleet.step();
        for (std::size_t other = 0; other < 8; ++other)
            REQUIRE((other == 2 || fleet.sees(2, other)));
    }
    REQUIRE(fleet.converged(true));
    REQUIRE(fleet.nodes[2]->state.incarnation > incarnation);
    // Counters of one process are summed by the messages' incarnation, so a refutation must not change it.
    REQUIRE(fleet.nodes[2]->self.incarnation == messageIncarnation);
}

// Guards against a restarted daemon that stays unknown, also when its clock was set back.
TEST_CASE("a cold restart joins again", "[membership]")
{
    Fleet fleet(8);
    REQUIRE(fleet.until(10'000, [&] { return fleet.converged(); }) <= 10'000);
    for (std::size_t i : { std::size_t { 0 }, std::size_t { 5 } }) {
        fleet.nodes[i]->running = false;
        fleet.pass(1'000);
        fleet.start(i);
        REQUIRE(fleet.until(5'000, [&] { return fleet.converged(true); }) <= 5'000);
    }
    fleet.nodes[6]->running = false;
    std::uint64_t before = fleet.nodes[6]->self.incarnation;
    fleet.pass(10'000);
    fleet.start(6);
    fleet.nodes[6]->self.incarnation = before - 60'000;
    fleet.nodes[6]->state.incarnation = before - 60'000;
    REQUIRE(fleet.until(10'000, [&] { return fleet.converged(true); }) <= 10'000);
    REQUIRE(fleet.nodes[6]->self.incarnation > before);

    for (auto& node : fleet.nodes)
        node->running = false;
    fleet.pass(1'000);
    for (std::size_t i = 0; i < 8; ++i)
        fleet.start(i);
    REQUIRE(fleet.until(10'000, [&] { return fleet.converged(true); }) <= 10'000);
}

// Guards against a graceful stop that others see only as a failure 5 s later.
TEST_CASE("a leaving daemon is left at once", "[membership]")
{
    Fleet fleet(8);
    REQUIRE(fleet.until(10'000, [&] { return fleet.converged(); }) <= 10'000);
    fleet.pass(3'000);
    fleet.send(3, leaveMembership(fleet.nodes[3]->state, fleet.nodes[3]->view()));
    fleet.nodes[3]->running = false;
    REQUIRE(fleet.until(1'000, [&] { return fleet.deadEverywhere(3); }) <= 1'000);
    for (std::size_t i = 0; i < 8; ++i) {
        if (i != 3)
            REQUIRE(fleet.nodes[i]->table.members.at(DaemonId("router-3")).lastUpdate.state == MemberState::Left);
    }
}

namespace {

/// \returns Bytes per second, sent and received, of the busiest daemon over 10 s.
std::uint64_t busiest(Fleet& fleet)
{
    fleet.countBytes = true;
    for (auto& node : fleet.nodes)
        node->bytes = 0;
    fleet.pass(10'000);
    fleet.countBytes = false;
    std::uint64_t most = 0;
    std::uint64_t total = 0;
    for (auto& node : fleet.nodes) {
        most = std::max(most, node->bytes);
        total += node->bytes;
    }
    std::size_t size = fleet.nodes.size();
    UNSCOPED_INFO("members " << size << ": " << total / size / 10 << " bytes/s sent and received a daemon, busiest "
                             << most / 10);
    return most / 10;
}

}

// Guards against traffic that grows with the fleet. The budget for all control traffic is 4 KB/s a daemon; membership
// may take a quarter of it.
TEST_CASE("membership traffic per daemon does not depend on the size of the fleet", "[membership]")
{
    for (std::size_t size : { 8U, 50U, 100U, 200U }) {
        Fleet fleet(size);
        REQUIRE(fleet.until(20'000, [&] { return fleet.converged(); }) <= 20'000);
        fleet.pass(5'000);
        CHECK(busiest(fleet) <= 1'024);
    }
}

// Guards against bounds that hold only in small fleets. One fleet serves all checks, since 400 daemons join slowly
// here.
TEST_CASE("the bounds hold for 400 members", "[.large][membership-large]")
{
    Fleet fleet(400);
    REQUIRE(fleet.until(20'000, [&] { return fleet.converged(); }) <= 20'000);
    fleet.pass(5'000);
    CHECK(busiest(fleet) <= 1'024);

    for (double loss : { 0.0, 0.1 }) {
        fleet.loss = loss;
        std::size_t killed = loss > 0 ? 6 : 5;
        fleet.nodes[killed]->running = false;
        std::int64_t took = fleet.until(6'000, [&] { return fleet.deadEverywhere(killed); });
        INFO("loss " << loss << ": dead everywhere in " << took << " ms");
        CHECK(took <= 6'000);
    }
    fleet.loss = 0;
    for (std::size_t boundary : { 200U, 1U }) {
        fleet.connected = [boundary](std::size_t a, std::size_t b) { return (a < boundary) == (b < boundary); };
        CHECK(fleet.until(20'000, [&] { return fleet.converged(); }) <= 20'000);
        fleet.pass(5'000);
        fleet.connected = [](std::size_t, std::size_t) { return true; };
        std::int64_t took = fleet.until(10'000, [&] { return fleet.converged(); });
        INFO("cut off " << boundary << ": healed in " << took << " ms");
        CHECK(took <= 10'000);
    }
}
