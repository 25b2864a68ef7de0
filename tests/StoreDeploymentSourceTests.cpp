#include "StoreSourceHarness.h"
#include "router/DocumentsRequest.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>

using namespace jasminestack;
using namespace jasminestack::platform;
using jasminestack::standins::KeyedStore;
using namespace jasminestack::test;
using Fixture = test::StoreFixture;

TEST_CASE("changes in the store are reported to the listener", "[platform][store]")
{
    Fixture fixture;
    CHECK(fixture.versions.back() == 3);
    fixture.store.put("keyed.op", "config", configurationJson(9));
    CHECK(fixture.runUntil([&] { return fixture.versions.back() == 9; }));
    fixture.store.put("keyed.servers", "i-1", registrationJson("draining"));
    CHECK(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-1"); }));
    fixture.store.put("keyed.servers", "i-2", std::nullopt);
    CHECK(fixture.runUntil([&] { return fixture.registrations.size() == 1; }));
    fixture.store.put("keyed.routers", "router-2", "10.0.0.2:7400");
    CHECK(fixture.runUntil([&] { return fixture.peers == std::vector<std::string> { "10.0.0.2:7400" }; }));
    CHECK(fixture.store.value("keyed.routers", "router-1") == "10.0.0.1:7400");
}

// Guards against requests to the engines of a zone that the operator empties, at daemons that read the store, have just
// started or receive the documents from a peer.
TEST_CASE("evacuated zones are reported to the listener and to peers", "[platform][store][evacuation]")
{
    using Zones = std::set<std::string>;
    Fixture fixture;
    Fixture follower;
    CHECK(fixture.evacuatedZones.empty());
    fixture.store.put("keyed.op", "evacuate/b", "{}");
    REQUIRE(fixture.runUntil([&] { return fixture.evacuatedZones == Zones { "b" }; }));
    std::int64_t position = fixture.source.versions().operatorPosition;
    follower.source.importDocuments(fixture.source.exportDocuments(follower.source.versions()));
    CHECK(follower.evacuatedZones == Zones { "b" });
    CHECK(follower.source.versions().operatorPosition == position);
    std::string olderDocuments = fixture.source.exportDocuments({});

    fixture.store.compact("keyed.op"); // The next read is answered with the list.
    fixture.store.put("keyed.op", "evacuate/c", "{}");
    REQUIRE(fixture.runUntil([&] { return fixture.evacuatedZones == Zones { "b", "c" }; }));
    fixture.store.put("keyed.op", "evacuate/b", std::nullopt);
    REQUIRE(fixture.runUntil([&] { return fixture.evacuatedZones == Zones { "c" }; }));
    follower.source.importDocuments(fixture.source.exportDocuments(follower.source.versions()));
    CHECK(follower.evacuatedZones == Zones { "c" });
    follower.source.importDocuments(olderDocuments);
    CHECK(follower.evacuatedZones == Zones { "c" });
    fixture.source.importDocuments(olderDocuments);
    CHECK(fixture.evacuatedZones == Zones { "c" });
}

// Guards against requests to an engine that has left: an earlier failed read must not delay its removal by the grace
// period.
TEST_CASE("an engine that leaves after the store has recovered is removed at once", "[platform][store]")
{
    Fixture fixture;
    fixture.injectFault(KeyedStore::Fault::Unavailable);
    fixture.store.setFault(KeyedStore::Fault::None);
    // The first read after the failures returns this change, the next one the deletion.
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    Millis deletedAt = fixture.clock.now();
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-1"); }));
    constexpr Millis grace { 2'000 }; // For registrations that expired during a store outage.
    CHECK(fixture.registrationsChangedAt - deletedAt < grace);
}

// Guards against requests to an engine that has left while the first long poll after a failure was pending. At that
// time the store has been available for longer than the grace period, so the registration cannot have expired in the
// outage.
TEST_CASE("a deletion at the end of a long poll is not treated as expired during the outage", "[platform][store]")
{
    Fixture fixture;
    fixture.injectFault(KeyedStore::Fault::Unavailable);
    unsigned callsBefore = fixture.store.calls().at("/v1/log-read");
    fixture.store.setFault(KeyedStore::Fault::None);
    REQUIRE(fixture.runUntil([&] { return fixture.store.calls().at("/v1/log-read") >= callsBefore + 3; }));
    constexpr Millis grace { 2'000 };
    Millis pollStartedAt = fixture.clock.now();
    REQUIRE(fixture.runUntil([&] { return fixture.clock.now() - pollStartedAt > grace; }));
    Millis deletedAt = fixture.clock.now();
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-1"); }));
    CHECK(fixture.registrationsChangedAt - deletedAt < grace);
}

// Guards against requests that are handled by an older configuration long after a silent outage of the store: a read
// that was lost in the outage must not delay the changes that follow it.
TEST_CASE("a change after a silent outage is in force within the contact time", "[platform][store]")
{
    Fixture fixture;
    fixture.loseReadsInSilence();
    fixture.store.setFault(KeyedStore::Fault::None);
    Millis recoveredAt = fixture.clock.now();
    fixture.store.put("keyed.op", "config", configurationJson(9));
    fixture.store.put("keyed.servers", "i-1", registrationJson("draining"));
    REQUIRE(fixture.runUntil([&] { return fixture.versions.back() == 9 && !fixture.hasReadyEndpoint("i-1"); }));
    CHECK(fixture.clock.now() - recoveredAt < contactTime);
}

// Guards against requests with revoked keys, and to engines that have left, after a silence of the store so short that
// only one long poll of each topic was lost in it: its loss must not hide the following changes.
TEST_CASE("changes after a short silence are in force in time although polls were lost in it", "[platform][store]")
{
    Fixture fixture;
    // The next polls are sent after this change.
    fixture.store.put("keyed.op", "config", configurationJson(4));
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    REQUIRE(fixture.runUntil([&] { return fixture.versions.back() == 4 && fixture.hasReadyEndpoint("i-3"); }));
    fixture.loseReadsInSilence();
    fixture.store.setFault(KeyedStore::Fault::None);
    fixture.runFor(contactTime);
    Millis changedAt = fixture.clock.now();
    fixture.store.put("keyed.op", "config", configurationJson(9));
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    fixture.store.put("keyed.servers", "i-2", registrationJson("draining"));
    REQUIRE(fixture.runUntil([&] {
        return fixture.versions.back() == 9 && !fixture.hasReadyEndpoint("i-1") && !fixture.hasReadyEndpoint("i-2");
    }));
    CHECK(fixture.clock.now() - changedAt < drainTime);
}

// Guards against an engine that left just after a short silence and is kept as if its registration had expired in it.
TEST_CASE("an engine that leaves after a short silence is not kept beyond the contact time", "[platform][store]")
{
    Fixture fixture;
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    Millis silentAt = fixture.clock.now();
    fixture.loseReadsInSilence();
    fixture.store.setFault(KeyedStore::Fault::None);
    Millis recoveredAt = fixture.clock.now();
    REQUIRE(recoveredAt - silentAt < contactTime); // The store was silent for the first lost poll only.
    fixture.runFor(Millis { 300 });
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-1"); }));
    CHECK(fixture.registrationsChangedAt - recoveredAt < contactTime);
}

// Guards against a daemon that never reads a slow store again because each read is given up before its response.
TEST_CASE("a store that responds slowly after a silent outage is read again", "[platform][store]")
{
    Fixture fixture;
    fixture.loseReadsInSilence();
    constexpr Millis slowResponse { 1'200 };
    fixture.store.setReadDelay(static_cast<double>(slowResponse.count));
    fixture.store.setFault(KeyedStore::Fault::None);
    Millis recoveredAt = fixture.clock.now();
    fixture.store.put("keyed.op", "config", configurationJson(9));
    REQUIRE(fixture.runUntil([&] { return fixture.versions.back() == 9; }));
    CHECK(fixture.clock.now() - recoveredAt < contactTime);
    CHECK(fixture.versions == std::vector<std::uint64_t> { 3, 9 });
}

// Guards against a daemon that waits for the end of a long poll whose connection no longer carries data: the kernel has
// to detect this, and the daemon to read again, within the contact time.
TEST_CASE("connections to the store are closed when the other end no longer responds", "[platform][store]")
{
    Fixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.store.waitingReads() >= 2; }));
    std::uint16_t storePort = splitAddress(fixture.store.address()).value().second;
    auto option = [](int descriptor, int level, int name) {
        int value = 0;
        socklen_t length = sizeof(value);
        REQUIRE(getsockopt(descriptor, level, name, &value, &length) == 0);
        return value;
    };
    constexpr int maxDescriptor = 256;
    constexpr int msPerSecond = 1'000;
    int connections = 0;
    for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
        sockaddr_in peer {};
        socklen_t length = sizeof(peer);
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) != 0
            || ntohs(peer.sin_port) != storePort)
            continue;
        ++connections;
        CHECK(option(descriptor, SOL_SOCKET, SO_KEEPALIVE) == 1);
        int probeAfterMs = msPerSecond * option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE);
        int closeAfterMs = option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT);
        CHECK(probeAfterMs < closeAfterMs);
        CHECK(closeAfterMs > 0);
        CHECK(Millis { closeAfterMs } < contactTime);
    }
    CHECK(connections >= 2); // One read of each topic is pending.
}

// Guards against calls without end during an outage: silence must not cost more than refusals do.
TEST_CASE("a silent store receives at most one read of each topic in the longest retry delay", "[platform][store]")
{
    Fixture fixture;
    fixture.loseReadsInSilence();
    unsigned callsBefore = fixture.store.calls().at("/v1/log-read");
    constexpr Millis observed { 6'000 };
    fixture.runFor(observed);
    constexpr unsigned topics = 2;
    constexpr Millis longestRetryDelay { 600 };
    CHECK(fixture.store.calls().at("/v1/log-read") - callsBefore <= topics * observed.count / longestRetryDelay.count);
}

// Guards against requests to an engine that left when the store had been back for some time: its entry cannot have
// expired in the outage, even if the first read that succeeds afterwards reports its deletion.
TEST_CASE("an engine that leaves after a silent outage is removed within the drain time", "[platform][store]")
{
    Fixture fixture;
    fixture.loseReadsInSilence();
    fixture.store.setFault(KeyedStore::Fault::None);
    fixture.runFor(contactTime);
    Millis deletedAt = fixture.clock.now();
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-1"); }));
    CHECK(fixture.registrationsChangedAt - deletedAt < drainTime);
}

// Guards against requests to an engine that left while only this daemon could not reach the store: its entry may be
// kept as possibly expired, but not for longer than the contact time.
TEST_CASE("an engine that left during a silent outage is removed within the contact time", "[platform][store]")
{
    Fixture fixture;
    fixture.loseReadsInSilence();
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    fixture.store.setFault(KeyedStore::Fault::None);
    Millis recoveredAt = fixture.clock.now();
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-1"); }));
    CHECK(fixture.registrationsChangedAt - recoveredAt < contactTime);
}

// Guards against a fleet without engines during the two seconds after a store outage in which they register again.
TEST_CASE("registrations that expired during a store outage are kept for the grace period", "[platform][store]")
{
    Fixture fixture;
    fixture.injectFault(KeyedStore::Fault::Reset);
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    fixture.store.put("keyed.servers", "i-2", std::nullopt);
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    fixture.store.setFault(KeyedStore::Fault::None);
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    CHECK(fixture.hasReadyEndpoint("i-1"));
    CHECK(fixture.hasReadyEndpoint("i-2"));
    // The first engine registers again, the second one does not.
    fixture.store.put("keyed.servers", "i-1", registrationJson());
    CHECK(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-2"); }));
    CHECK(fixture.hasReadyEndpoint("i-1"));
}

// Guards against a fleet without engines after a silent outage in which the registrations have expired. In the shorter
// one the long poll is pending all the time, so that no call of this daemon has failed.
TEST_CASE("registrations that expired while a long poll was pending are kept for a grace period", "[platform][store]")
{
    Fixture fixture;
    Fixture follower;
    follower.source.setStoreRole(StoreRole::Follower);
    REQUIRE(fixture.runUntil([&] { return fixture.store.waitingReads() >= 2; }));
    fixture.store.setFault(KeyedStore::Fault::Silent);
    Millis outage = GENERATE(Millis { 1'500 }, Millis { 3'700 });
    // If the outage was noticed, the registrations may be kept for the contact time after it.
    Millis longestGrace = outage < Millis { 2'000 } ? drainTime : contactTime;
    fixture.runFor(outage);
    Millis deletedAt = fixture.clock.now();
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    fixture.store.put("keyed.servers", "i-2", std::nullopt);
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    fixture.store.setFault(KeyedStore::Fault::None);
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    CHECK(fixture.hasReadyEndpoint("i-1"));
    CHECK(fixture.hasReadyEndpoint("i-2"));
    bool importsChanges = GENERATE(false, true);
    follower.source.importDocuments(
        fixture.source.exportDocuments(importsChanges ? follower.source.versions() : DeploymentVersions {}));
    CHECK(follower.hasReadyEndpoint("i-1"));
    CHECK(follower.hasReadyEndpoint("i-2"));
    // The first engine registers again, the second one has left.
    fixture.store.put("keyed.servers", "i-1", registrationJson());
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-2"); }));
    CHECK(fixture.registrationsChangedAt - deletedAt < longestGrace);
    CHECK(fixture.hasReadyEndpoint("i-1"));
    REQUIRE(follower.runUntil([&] { return !follower.hasReadyEndpoint("i-2"); }));
    CHECK(follower.registrationsChangedAt - deletedAt < longestGrace);
}

// Guards against requests to engines that left one after the other: only if one read removes most engines may they have
// expired.
TEST_CASE("a few deletions in one read are applied at once", "[platform][store]")
{
    Fixture fixture;
    constexpr int engines = 6;
    for (int i = 1; i <= engines; ++i)
        fixture.store.put("keyed.servers", "i-" + std::to_string(i), registrationJson());
    REQUIRE(fixture.runUntil([&] { return fixture.registrations.size() == engines; }));
    Millis deletedAt = fixture.clock.now();
    for (int i = 1; i <= engines / 2; ++i)
        fixture.store.put("keyed.servers", "i-" + std::to_string(i), std::nullopt);
    REQUIRE(fixture.runUntil([&] { return fixture.registrations.size() == engines / 2; }));
    constexpr Millis readPause { 500 };
    CHECK(fixture.registrationsChangedAt - deletedAt < readPause);
}

// Guards against missing engines or configurations whose records the store has deleted from its history.
TEST_CASE("the newest records are listed again after the store deleted its history", "[platform][store]")
{
    Fixture fixture;
    fixture.injectFault(KeyedStore::Fault::Unavailable);
    fixture.store.put("keyed.servers", "i-4", registrationJson());
    fixture.store.put("keyed.op", "config", configurationJson(12));
    fixture.store.compact("keyed.servers");
    fixture.store.compact("keyed.op");
    fixture.store.setFault(KeyedStore::Fault::None);
    CHECK(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-4") && fixture.versions.back() == 12; }));
}

TEST_CASE("an older configuration is never adopted after a newer one", "[platform][store]")
{
    Fixture fixture;
    fixture.store.put("keyed.op", "config", configurationJson(8));
    REQUIRE(fixture.runUntil([&] { return fixture.versions.back() == 8; }));
    fixture.store.put("keyed.op", "config", configurationJson(5));
    fixture.store.put("keyed.servers", "i-9", registrationJson());
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-9"); }));
    fixture.store.put("keyed.op", "config", configurationJson(11));
    REQUIRE(fixture.runUntil([&] { return fixture.versions.back() == 11; }));
    CHECK(fixture.versions == std::vector<std::uint64_t> { 3, 8, 11 });
    fixture.source.importDocuments(
        R"({"configuration":")" + std::string("{}") + R"(","registrations":{},"position":1})");
    CHECK(fixture.versions.back() == 11);
}

TEST_CASE("an announcement whose response is lost is sent again", "[platform][store]")
{
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock;
    HttpClient http(*base);
    KeyedStore store(*base, test::freeAddress());
    store.put("keyed.op", "config", configurationJson(3));
    store.put("keyed.servers", "i-1", registrationJson());
    store.setFault(KeyedStore::Fault::LostAnswers);
    StoreDeploymentSource source(*base, http, clock,
        { .storeAddress = store.address(), .daemonId = "router-1", .peerAddress = "10.0.0.1:7400" });
    struct Ignored final : DeploymentListener {
        void onRoutingTable(std::shared_ptr<const RoutingTable>) override { }
        void onRegistrations(const std::vector<Registration>&) override { }
        void onEvacuatedZones(const std::set<std::string>&) override { }
        void onPeerAddresses(const std::vector<std::string>&) override { }
    } listener;
    source.start(listener);
    Millis deadline = clock.now() + testTimeout;
    while (clock.now() < deadline
        && (!store.calls().contains("/v1/log-append") || store.calls().at("/v1/log-append") < 2)) {
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(store.calls().at("/v1/log-append") >= 2);
    CHECK(store.value("keyed.routers", "router-1") == "10.0.0.1:7400");
}

// Guards against calls to the store that grow with the number of daemons: in a large fleet only a few read it.
TEST_CASE("a follower sends no calls to the store", "[platform][store]")
{
    Fixture fixture;
    fixture.source.setStoreRole(StoreRole::Follower);
    // The pending long polls end with this change.
    fixture.store.put("keyed.op", "config", configurationJson(4));
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    fixture.store.put("keyed.routers", "router-2", "10.0.0.2:7400");
    REQUIRE(fixture.runUntil([&] { return fixture.versions.back() == 4 && fixture.registrations.size() == 3; }));
    auto callsBefore = fixture.store.calls();
    for (int version = 5; version < 15; ++version) {
        fixture.store.put("keyed.op", "config", configurationJson(version));
        fixture.runFor(Millis { 50 });
    }
    CHECK(fixture.store.calls() == callsBefore);
    CHECK(fixture.versions.back() == 4);
    // It continues where it stopped when it has to read the store again.
    fixture.source.setStoreRole(StoreRole::Fallback);
    CHECK(fixture.runUntil([&] { return fixture.versions.back() == 14; }));
    CHECK(fixture.store.calls().at("/v1/log-newest") == callsBefore.at("/v1/log-newest"));
}

// Guards against a call for each registration when the engines of a whole fleet start: every daemon reads the store
// until it receives confirmations.
TEST_CASE("a daemon reads registrations that are written in quick succession with few calls", "[platform][store]")
{
    Fixture fixture;
    fixture.source.setStoreRole(GENERATE(StoreRole::Fallback, StoreRole::OutageFallback));
    fixture.endPendingReads();
    unsigned callsBefore = fixture.store.calls().at("/v1/log-read");
    constexpr int engines = 40;
    for (int i = 0; i < engines; ++i) { // 1.2 s in all.
        fixture.store.put("keyed.servers", "i-new" + std::to_string(i), registrationJson());
        fixture.runFor(Millis { 30 });
    }
    CHECK(fixture.store.calls().at("/v1/log-read") - callsBefore <= 8);
    CHECK(fixture.runUntil([&] { return fixture.registrations.size() == engines + 2; }));
}

// Guards against a new reader whose confirmations are old because its last long poll was sent before it became a
// reader, so that its followers read the store themselves.
TEST_CASE("a daemon that becomes a store reader soon has recent confirmations", "[platform][store]")
{
    Fixture fixture;
    fixture.source.setStoreRole(StoreRole::Fallback);
    fixture.endPendingReads();
    fixture.runFor(Millis { 700 });
    fixture.source.setStoreRole(StoreRole::Reader);
    for (int i = 0; i < 20; ++i) {
        fixture.runFor(Millis { 100 });
        CHECK(fixture.clock.now() - fixture.source.storeConfirmedAt() <= Millis { 1'800 });
    }
}

TEST_CASE("a follower imports the changes of a reader and then continues after them", "[platform][store]")
{
    Fixture reader;
    Fixture follower;
    follower.source.setStoreRole(StoreRole::Follower);
    follower.endPendingReads();
    // Both stores have the same history, so that positions agree.
    reader.endPendingReads();
    reader.store.put("keyed.servers", "i-1", registrationJson("draining"));
    reader.store.put("keyed.servers", "i-2", std::nullopt);
    reader.store.put("keyed.op", "config", configurationJson(20));
    REQUIRE(reader.runUntil([&] { return reader.registrations.size() == 1 && reader.versions.back() == 20; }));
    std::string documents = reader.source.exportDocuments(follower.source.versions());
    CHECK(documents.find("endPendingReads") == std::string::npos); // Only what the follower does not have.
    follower.source.importDocuments(documents);
    CHECK(follower.versions.back() == 20);
    CHECK(follower.registrations == reader.registrations);
    CHECK(follower.source.versions() == reader.source.versions());
    // A daemon without documents receives all of them.
    CHECK(reader.source.exportDocuments({}).find("\"registrations\"") != std::string::npos);
    // The documents are the newest: importing them again changes nothing.
    auto versions = follower.versions;
    follower.source.importDocuments(documents);
    follower.source.importDocuments(reader.source.exportDocuments({}));
    CHECK(follower.versions == versions);
    CHECK(follower.registrations == reader.registrations);
}

namespace {

/// \brief Lets the registration of i-1 expire in an outage of the store, and that of i-3 be written.
/// \returns When the store was available again.
Millis loseRegistration(Fixture& fixture)
{
    fixture.injectFault(KeyedStore::Fault::Reset);
    fixture.store.put("keyed.servers", "i-1", std::nullopt);
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    fixture.store.setFault(KeyedStore::Fault::None);
    Millis recoveredAt = fixture.clock.now();
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    REQUIRE(fixture.hasReadyEndpoint("i-1"));
    return recoveredAt;
}

}

// Guards against engines that stay in use for ever at a daemon that imported their registrations while these were kept
// for the grace period after an outage, and against a follower that removes them before their engines can register
// again.
TEST_CASE("imported registrations that expired in an outage are removed after the grace period", "[platform][store]")
{
    Fixture reader;
    Fixture follower;
    follower.source.setStoreRole(StoreRole::Follower);
    bool importsChanges = GENERATE(false, true);
    Millis recoveredAt = loseRegistration(reader);
    Millis readAt = reader.clock.now();
    follower.source.importDocuments(
        reader.source.exportDocuments(importsChanges ? follower.source.versions() : DeploymentVersions {}));
    CHECK(follower.hasReadyEndpoint("i-3"));
    CHECK(follower.hasReadyEndpoint("i-1"));
    REQUIRE(follower.runUntil([&] { return !follower.hasReadyEndpoint("i-1"); }));
    CHECK(follower.registrationsChangedAt - recoveredAt >= Millis { 2'000 });
    constexpr Millis readDuration { 50 }; // The grace period begins when the read is sent.
    CHECK(follower.registrationsChangedAt - readAt >= Millis { 2'000 } - readDuration);
    CHECK(follower.registrationsChangedAt - readAt < Millis { 2'500 });
}

// Guards against requests to an engine that left in an outage for as long as daemons import its entry from each other:
// each import must continue the grace period, not begin it anew.
TEST_CASE("the grace period of a registration ends at the same time at all daemons", "[platform][store]")
{
    Fixture reader;
    Fixture follower;
    Fixture nextFollower;
    follower.source.setStoreRole(StoreRole::Follower);
    nextFollower.source.setStoreRole(StoreRole::Follower);
    bool importsChanges = GENERATE(false, true);
    auto import = [&](Fixture& from, Fixture& to) {
        to.source.importDocuments(
            from.source.exportDocuments(importsChanges ? to.source.versions() : DeploymentVersions {}));
    };
    loseRegistration(reader);
    Millis readAt = reader.clock.now();
    constexpr Millis betweenImports { 900 };
    reader.runFor(betweenImports);
    import(reader, follower);
    reader.runFor(betweenImports);
    import(follower, nextFollower);
    REQUIRE(nextFollower.hasReadyEndpoint("i-1"));
    REQUIRE(nextFollower.runUntil([&] { return !nextFollower.hasReadyEndpoint("i-1"); }));
    CHECK(nextFollower.registrationsChangedAt - readAt < Millis { 2'500 });
}

TEST_CASE("documents of a peer with missing or wrong members change nothing", "[platform][store]")
{
    Fixture fixture;
    DeploymentVersions versions = fixture.source.versions();
    for (std::string_view documents :
        { "", "null", "[]", "{", "{}", R"({"configuration":7})",
            R"({"configuration":"","configurationVersion":-1,"configurationOffset":"x","position":9})",
            R"({"configuration":"","configurationVersion":0,"configurationOffset":0,"position":99,"since":-5,"changes":[]})",
            R"({"configuration":"","configurationVersion":0,"configurationOffset":0,"position":99,"since":50,"changes":[]})",
            R"({"configuration":"","configurationVersion":0,"configurationOffset":0,"position":99,"since":0,
                 "changes":[{"id":1}]})",
            R"({"configuration":"","configurationVersion":0,"configurationOffset":0,"position":99,"registrations":[1],
                 "expiredAgesMs":{}})",
            R"({"configuration":"","configurationVersion":0,"configurationOffset":0,"position":99,"registrations":{},
                 "expiredAgesMs":{"i-1":"x"}})",
            R"({"configuration":"","configurationVersion":0,"configurationOffset":0,"position":99,"registrations":{},
                 "expiredAgesMs":[]})",
            R"({"configuration":"","configurationVersion":0,"configurationOffset":0,"position":99,"registrations":{}})" }) {
        INFO(documents);
        fixture.source.importDocuments(documents);
        CHECK(fixture.source.versions() == versions);
        CHECK(fixture.registrations.size() == 2);
    }
}

TEST_CASE("the documents request carries the versions that the daemon has", "[router]")
{
    DeploymentVersions known { .configurationVersion = 17, .registrationsPosition = 4'000'000'000'000 };
    CHECK(parseDocumentsTarget(formatDocumentsTarget(known)) == known);
    CHECK(parseDocumentsTarget(formatDocumentsTarget({})) == DeploymentVersions {});
    for (std::string_view target : { "/documents", "/documents?", "/documents?configuration=7",
             "/documents?configuration=-1&registrations=2", "/documents?registrations=x&configuration=7", "?&&==" })
        CHECK(parseDocumentsTarget(target) == DeploymentVersions {});
}
