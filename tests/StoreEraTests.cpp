#include "StoreSourceHarness.h"
#include "platform/StoreDocuments.h"
#include "platform/StorePosition.h"

// A store that returns from a copy some seconds old: what was written since is lost, and its offsets are given out
// again. The era in its responses rises.

using namespace jasminestack;
using namespace jasminestack::platform;
using namespace jasminestack::test;

namespace {

/// \brief A daemon whose store has copied the state of the fixture.
struct CopiedStoreFixture : StoreFixture {
    CopiedStoreFixture()
    {
        REQUIRE(runUntil([&] { return store.value("keyed.routers", "router-1").has_value(); }));
        store.takeCopy();
    }

    /// \brief Lets the store return from the copy and waits until the daemon has listed the registrations again.
    void returnFromCopy()
    {
        store.returnFromCopy();
        REQUIRE(runUntil([&] { return eraOf(source.versions().registrationsPosition) == 2; }));
        REQUIRE(runUntil([&] { return eraOf(source.versions().operatorPosition) == 2; }));
    }
};

}

// Guards against changes that are missed because the offsets of a store that has returned are below those read before.
TEST_CASE("changes are read from a store that has returned from a copy", "[platform][store][era]")
{
    CopiedStoreFixture fixture;
    for (int i = 0; i < 5; ++i)
        fixture.store.put("keyed.servers", "i-1", registrationJson("ready", 5 + i));
    fixture.store.put("keyed.op", "config", configurationJson(8));
    REQUIRE(fixture.runUntil([&] { return fixture.versions.back() == 8; }));
    fixture.returnFromCopy();
    fixture.store.put("keyed.op", "config", configurationJson(9));
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    CHECK(fixture.runUntil([&] { return fixture.versions.back() == 9 && fixture.hasReadyEndpoint("i-3"); }));
    CHECK(fixture.versions == std::vector<std::uint64_t> { 3, 8, 9 });
}

// Guards against records that are taken for the ones that had their offsets before.
TEST_CASE("offsets that are given out again belong to other records", "[platform][store][era]")
{
    CopiedStoreFixture fixture;
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    fixture.store.returnFromCopy();
    fixture.store.put("keyed.servers", "i-4", registrationJson());
    CHECK(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-4"); }));
    fixture.store.put("keyed.servers", "i-3", registrationJson("ready", 5));
    fixture.runFor(contactTime);
    CHECK(fixture.hasReadyEndpoint("i-3"));
}

// Guards against a newer configuration in force that is forgotten, and an older one that is adopted.
TEST_CASE("the configuration in force outlives the copy", "[platform][store][era]")
{
    CopiedStoreFixture fixture;
    fixture.store.put("keyed.op", "config", configurationJson(8));
    REQUIRE(fixture.runUntil([&] { return fixture.versions.back() == 8; }));
    fixture.returnFromCopy();
    CHECK(fixture.versions.back() == 8);
    fixture.store.put("keyed.op", "config", configurationJson(8));
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    CHECK(fixture.versions == std::vector<std::uint64_t> { 3, 8 });
}

// Guards against requests to engines that had begun to leave, or had left, before the store returned.
TEST_CASE("an engine that left does not return with the copy", "[platform][store][era]")
{
    CopiedStoreFixture fixture;
    fixture.store.put("keyed.servers", "i-1", registrationJson("draining", 5));
    fixture.store.put("keyed.servers", "i-2", std::nullopt);
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-1") && fixture.registrations.size() == 1; }));
    fixture.returnFromCopy();
    CHECK_FALSE(fixture.hasReadyEndpoint("i-1"));
    CHECK_FALSE(fixture.hasReadyEndpoint("i-2"));
    // A new process with the same id.
    fixture.store.put("keyed.servers", "i-2", registrationJson("ready", 1));
    CHECK(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-2"); }));
}

// Guards against capacity that is lost because the copy is older than an engine's registration.
TEST_CASE("engines that the copy lacks are kept while they register again", "[platform][store][era]")
{
    CopiedStoreFixture fixture;
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    fixture.store.put("keyed.servers", "i-4", registrationJson());
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3") && fixture.hasReadyEndpoint("i-4"); }));
    fixture.returnFromCopy();
    CHECK(fixture.hasReadyEndpoint("i-3"));
    fixture.store.put("keyed.servers", "i-3", registrationJson("ready", 5));
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-4"); }));
    CHECK(fixture.hasReadyEndpoint("i-3"));
}

// Guards against requests to an evacuated zone because the store has forgotten the evacuation, and against a zone that
// stays empty because the operator does not ask for it any more.
TEST_CASE("an evacuation that the copy lacks holds until the operator has written again", "[platform][store][era]")
{
    using Zones = std::set<std::string>;
    CopiedStoreFixture fixture;
    fixture.store.put("keyed.op", "evacuate/b", "{}");
    fixture.store.put("keyed.op", "evacuate/c", "{}");
    REQUIRE(fixture.runUntil([&] { return fixture.evacuatedZones == Zones { "b", "c" }; }));
    fixture.returnFromCopy();
    CHECK(fixture.evacuatedZones == Zones { "b", "c" });
    fixture.store.put("keyed.op", "evacuate/b", "{}");
    REQUIRE(fixture.runUntil([&] { return fixture.evacuatedZones == Zones { "b" }; }));
    fixture.runFor(contactTime);
    CHECK(fixture.evacuatedZones == Zones { "b" });
}

// Guards against a zone that stays empty at the daemons that take the documents from others: these do not import again
// when the zone is dropped.
TEST_CASE("an imported evacuation that the copy lacks ends with the grace period", "[platform][store][era]")
{
    using Zones = std::set<std::string>;
    CopiedStoreFixture reader;
    StoreFixture follower;
    reader.store.put("keyed.op", "evacuate/c", "{}");
    REQUIRE(reader.runUntil([&] { return reader.evacuatedZones == Zones { "c" }; }));
    reader.returnFromCopy();
    follower.source.importDocuments(reader.source.exportDocuments(follower.source.versions()));
    CHECK(follower.evacuatedZones == Zones { "c" });
    CHECK(follower.runUntil([&] { return follower.evacuatedZones.empty(); }));
}

// Guards against requests to a zone that a follower knows to be evacuated, and a reader that has just started does not.
TEST_CASE("an evacuation holds at a follower whose reader has only the copy", "[platform][store][era]")
{
    using Zones = std::set<std::string>;
    CopiedStoreFixture follower;
    CopiedStoreFixture reader;
    follower.store.put("keyed.op", "evacuate/c", "{}");
    REQUIRE(follower.runUntil([&] { return follower.evacuatedZones == Zones { "c" }; }));
    reader.returnFromCopy();
    follower.source.importDocuments(reader.source.exportDocuments(follower.source.versions()));
    CHECK(follower.evacuatedZones == Zones { "c" });
}

// Guards against requests to engines that have left: the store forgets its history after it has returned.
TEST_CASE("a second list in the new era does not bring back engines that left", "[platform][store][era]")
{
    CopiedStoreFixture fixture;
    fixture.store.put("keyed.servers", "i-1", registrationJson("draining", 5));
    fixture.store.put("keyed.servers", "i-2", std::nullopt);
    REQUIRE(fixture.runUntil([&] { return !fixture.hasReadyEndpoint("i-1") && fixture.registrations.size() == 1; }));
    fixture.returnFromCopy();
    fixture.store.put("keyed.servers", "i-3", registrationJson());
    fixture.store.compact("keyed.servers");
    REQUIRE(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    CHECK_FALSE(fixture.hasReadyEndpoint("i-1"));
    CHECK_FALSE(fixture.hasReadyEndpoint("i-2"));
}

// Guards against a daemon that the others no longer find in the store.
TEST_CASE("the announcement is written again", "[platform][store][era]")
{
    StoreFixture fixture;
    fixture.store.takeCopy();
    REQUIRE(fixture.runUntil([&] { return fixture.store.value("keyed.routers", "router-1").has_value(); }));
    fixture.store.returnFromCopy();
    CHECK(fixture.runUntil([&] { return fixture.store.value("keyed.routers", "router-1").has_value(); }));
}

// Guards against documents of a daemon that has not noticed the new era: its positions look newer by their offsets.
TEST_CASE("documents of an earlier era are ignored, those of a later one are imported", "[platform][store][era]")
{
    CopiedStoreFixture reader;
    CopiedStoreFixture follower;
    for (int i = 0; i < 5; ++i)
        reader.store.put("keyed.servers", "i-5", registrationJson("ready", 5 + i));
    REQUIRE(reader.runUntil([&] { return reader.hasReadyEndpoint("i-5"); }));
    std::string earlier = reader.source.exportDocuments({});
    reader.returnFromCopy();
    reader.store.put("keyed.servers", "i-6", registrationJson());
    REQUIRE(reader.runUntil([&] { return reader.hasReadyEndpoint("i-6"); }));
    follower.source.importDocuments(reader.source.exportDocuments(follower.source.versions()));
    CHECK(follower.hasReadyEndpoint("i-6"));
    std::int64_t position = follower.source.versions().registrationsPosition;
    follower.source.importDocuments(earlier);
    CHECK(follower.source.versions().registrationsPosition == position);
    CHECK(follower.hasReadyEndpoint("i-6"));
}

TEST_CASE("registrations of one process are ordered by their sequence numbers", "[platform][era]")
{
    CHECK(isOlderRegistration(registrationJson("ready", 4), registrationJson("draining", 5)));
    CHECK_FALSE(isOlderRegistration(registrationJson("ready", 5), registrationJson("draining", 5)));
    CHECK_FALSE(isOlderRegistration(R"({"born":2,"sequence":1})", R"({"born":1,"sequence":5})"));
    CHECK_FALSE(isOlderRegistration("[]", registrationJson()));
    CHECK_FALSE(isOlderRegistration(registrationJson(), "not JSON"));
}

TEST_CASE("positions of a later era are higher", "[platform][era]")
{
    CHECK(makePosition(0, 7) == 7);
    CHECK(makePosition(2, 0) > makePosition(1, 1'000'000'000'000));
    CHECK(eraOf(makePosition(maxEra, 5)) == maxEra);
    CHECK(offsetOf(makePosition(maxEra, 5)) == 5);
    CHECK(eraOf(-1) == 0);
}
