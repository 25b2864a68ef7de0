#include "FakeLogClient.h"
#include "daemon/ConfigurationService.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace jasminestack;

namespace {

using Outcome = std::optional<Result<std::uint64_t>>;

std::string sharePatch(const char* workspace, int share)
{
    return nlohmann::json { { "workspaces", { { workspace, { { "share", share } } } } } }.dump();
}

struct Fixture {
    FakeClock clock;
    FakeLogClient log { clock };
    ConfigurationService service { log, clock };

    Fixture() { service.start(); }

    /// Advances the clock in steps of 100 ms, the interval of the daemon's timer.
    void pass(std::int64_t durationMs)
    {
        for (std::int64_t elapsedMs = 0; elapsedMs <= durationMs; elapsedMs += 100) {
            log.pump();
            service.tick();
            log.pump();
            clock.advance({ 100 });
        }
    }

    void publish(std::uint64_t base, const std::string& patch, const char* id, Outcome& outcome)
    {
        service.publish(base, patch, id, "ada", [&outcome](Result<std::uint64_t> result) {
            REQUIRE_FALSE(outcome);
            outcome = std::move(result);
        });
        REQUIRE_FALSE(outcome);
    }

    std::int64_t putChange(std::uint64_t base, const std::string& patch, const char* id)
    {
        return log.put("config", makeChangeRecord(id, "bob", base, patch).value());
    }

    double share(const char* workspace) const
    {
        auto it = service.current().workspaces.find(WorkspaceId(workspace));
        return it == service.current().workspaces.end() ? 0 : it->second.share;
    }
};

}

// Guards against reporting a publication before its record has been applied, or with a wrong version.
TEST_CASE("a publication is reported when its record is applied", "[configuration]")
{
    Fixture fixture;
    std::vector<std::uint64_t> versions;
    fixture.service.addChangeListener(
        [&](const Configuration& configuration) { versions.push_back(configuration.version); });
    REQUIRE(fixture.service.current().version == 0);
    Outcome outcome;
    fixture.publish(0, sharePatch("a", 2), "id-1", outcome);
    fixture.pass(200);
    REQUIRE(outcome);
    REQUIRE(outcome->value() == 1);
    REQUIRE(fixture.share("a") == 2);
    REQUIRE(versions == std::vector<std::uint64_t> { 1 });

    Outcome conflict;
    fixture.publish(0, sharePatch("a", 3), "id-2", conflict);
    fixture.pass(200);
    REQUIRE(conflict->error().kind == ErrorKind::ConfigurationConflict);
    Outcome invalid;
    fixture.publish(1, R"({"workspaces":{"a":{"share":-1}}})", "id-3", invalid);
    fixture.pass(200);
    REQUIRE(invalid->error().kind == ErrorKind::ConfigurationInvalid);
    REQUIRE(fixture.log.appendCount == 1);

    Outcome repeat;
    fixture.publish(0, sharePatch("a", 2), "id-1", repeat);
    fixture.pass(200);
    REQUIRE(repeat->value() == 1);
    REQUIRE(fixture.log.appendCount == 1);
}

// Guards against reporting success to two operators whose changes have the same base version.
TEST_CASE(
    "of two concurrent publications one is accepted and the other reports the accepted version", "[configuration]")
{
    FakeClock clock;
    FakeLogClient log { clock };
    ConfigurationService firstService { log, clock };
    ConfigurationService secondService { log, clock };
    firstService.start();
    secondService.start();
    Outcome firstOutcome;
    Outcome secondOutcome;
    firstService.publish(
        0, sharePatch("a", 1), "x", "ada", [&](Result<std::uint64_t> result) { firstOutcome = std::move(result); });
    secondService.publish(
        0, sharePatch("a", 2), "y", "bob", [&](Result<std::uint64_t> result) { secondOutcome = std::move(result); });
    log.pump();
    REQUIRE(firstOutcome->value() == 1);
    REQUIRE(secondOutcome->error().kind == ErrorKind::ConfigurationConflict);
    REQUIRE(secondOutcome->error().message.find("version 1 was accepted before it") != std::string::npos);
    REQUIRE(firstService.document() == secondService.document());
}

// Guards against retrying an append whose response was lost, and against reporting a wrong outcome for it.
TEST_CASE("the outcome of an append whose response was lost is found by reading the log", "[configuration]")
{
    Fixture fixture;
    Outcome outcome;
    SECTION("the record was appended")
    {
        fixture.log.appendFault = FakeLogClient::AppendFault::LoseResponse;
        fixture.publish(0, sharePatch("a", 2), "id", outcome);
        fixture.pass(300);
        REQUIRE(outcome->value() == 1);
    }
    SECTION("the request was lost")
    {
        fixture.log.appendFault = FakeLogClient::AppendFault::LoseRequest;
        fixture.publish(0, sharePatch("a", 2), "id", outcome);
        fixture.pass(9'000);
        REQUIRE_FALSE(outcome);
        fixture.pass(1'500);
        REQUIRE(outcome->error().kind == ErrorKind::ConfigurationOutcomeUnknown);
    }
    SECTION("the record appears late")
    {
        fixture.log.appendFault = FakeLogClient::AppendFault::Delay;
        fixture.publish(0, sharePatch("a", 2), "id", outcome);
        fixture.pass(4'000);
        REQUIRE_FALSE(outcome);
        fixture.log.releaseDelayedAppends();
        fixture.pass(300);
        REQUIRE(outcome->value() == 1);
    }
    SECTION("another change with the same base was accepted, so the record can no longer be accepted")
    {
        fixture.log.appendFault = FakeLogClient::AppendFault::Delay;
        fixture.publish(0, sharePatch("a", 2), "id", outcome);
        fixture.pass(500);
        fixture.putChange(0, sharePatch("a", 9), "other");
        fixture.pass(300);
        REQUIRE(outcome->error().kind == ErrorKind::ConfigurationConflict);
        fixture.log.releaseDelayedAppends();
        fixture.pass(300);
        REQUIRE(fixture.share("a") == 9);
    }
    SECTION("the response arrives after the record was read")
    {
        fixture.log.appendFault = FakeLogClient::AppendFault::HoldResponse;
        fixture.publish(0, sharePatch("a", 2), "id", outcome);
        fixture.pass(300);
        REQUIRE(outcome->value() == 1);
        fixture.log.releaseResponses();
        fixture.pass(300);
    }
    REQUIRE(fixture.log.appendCount == 1);
}

// Guards against losing the configuration or the read offset during an outage of the log.
TEST_CASE("an outage keeps the configuration and refuses publications", "[configuration]")
{
    Fixture fixture;
    fixture.putChange(0, sharePatch("a", 2), "x");
    fixture.pass(200);
    fixture.log.isUnavailable = true;
    fixture.pass(60'000);
    REQUIRE_FALSE(fixture.service.isLogReachable());
    REQUIRE(fixture.share("a") == 2);
    Outcome outcome;
    fixture.publish(1, sharePatch("a", 3), "y", outcome);
    fixture.pass(200);
    REQUIRE(outcome->error().kind == ErrorKind::LogUnavailable);

    unsigned readCountBefore = fixture.log.readCount;
    fixture.pass(10'000);
    REQUIRE(fixture.log.readCount - readCountBefore <= 12);
    fixture.putChange(1, sharePatch("a", 5), "z");
    fixture.log.isUnavailable = false;
    fixture.pass(1'200);
    REQUIRE(fixture.service.isLogReachable());
    REQUIRE(fixture.share("a") == 5);
}

// Guards against a publication that waits for a read whose connection has stalled.
TEST_CASE("a stalled long-poll read does not delay a publication", "[configuration]")
{
    Fixture fixture;
    fixture.log.hangWaitingReads = true;
    fixture.pass(5'000);
    Outcome outcome;
    fixture.publish(0, sharePatch("a", 2), "x", outcome);
    fixture.pass(1'000);
    REQUIRE(outcome);
    REQUIRE(outcome->value() == 1);
}

// Guards against a daemon that keeps an older configuration because a long poll was lost while the log did not respond
// for a moment: a change has to be in force everywhere within seven seconds.
TEST_CASE("a change is applied in time although a long poll was lost, at any moment", "[configuration][silence]")
{
    constexpr std::int64_t applyMs = 7'000;
    for (std::int64_t silentAtMs = 0; silentAtMs <= 9'000; silentAtMs += 300) {
        for (std::int64_t silenceMs : { 100, 500, 2'500 }) {
            for (std::int64_t changeAfterMs : { 0, 1'500, 4'000 }) {
                CAPTURE(silentAtMs, silenceMs, changeAfterMs);
                Fixture fixture;
                fixture.pass(silentAtMs);
                fixture.log.hangReads = true;
                fixture.pass(silenceMs);
                fixture.log.hangReads = false;
                fixture.pass(changeAfterMs);
                fixture.putChange(0, sharePatch("a", 5), "id-1");
                fixture.pass(applyMs - 200); // The last step of pass() ends 100 ms later.
                REQUIRE(fixture.share("a") == 5);
            }
        }
    }
}

// Guards against skipping changes whose records expired before they were read.
TEST_CASE("a gap of expired records is closed only by a checkpoint that covers it or by a peer", "[configuration]")
{
    Fixture fixture;
    fixture.putChange(0, sharePatch("a", 2), "c1");
    fixture.pass(200);
    fixture.log.isUnavailable = true;
    fixture.pass(6'000);
    fixture.putChange(1, sharePatch("a", 3), "c2");
    fixture.putChange(2, sharePatch("a", 4), "c3");
    // A checkpoint of a state without the last change, as a daemon writes it late after a pause.
    ConfigurationReplica staleReplica;
    (void)applyRecords(staleReplica,
        { .firstRetainedOffset = 0,
            .endOffset = 3,
            .records = { fixture.log.streams["config"][0], fixture.log.streams["config"][1] } });
    fixture.log.put("config", makeCheckpointRecord(staleReplica));
    fixture.log.firstRetainedOffsets["config"] = 3;
    fixture.log.isUnavailable = false;
    fixture.pass(2'000);
    REQUIRE(fixture.service.current().version == 1);
    REQUIRE(fixture.share("a") == 2);

    ConfigurationReplica fullReplica = staleReplica;
    (void)applyRecords(
        fullReplica, { .firstRetainedOffset = 0, .endOffset = 4, .records = { fixture.log.streams["config"][2] } });
    SECTION("checkpoint")
    {
        fixture.log.put("config", makeCheckpointRecord(fullReplica));
        fixture.pass(1'000);
    }
    SECTION("peer")
    {
        REQUIRE(fixture.service.adopt(
            { .digest = { .version = fullReplica.version, .throughOffset = fullReplica.throughOffset },
                .document = fullReplica.document }));
    }
    REQUIRE(fixture.service.current().version == 3);
    REQUIRE(fixture.share("a") == 4);
    fixture.putChange(3, sharePatch("a", 5), "c4");
    fixture.pass(5'000);
    REQUIRE(fixture.share("a") == 5);
}

// Guards against going back to a peer's older state, and against peers that cannot bring a daemon without log access up
// to date.
TEST_CASE("a daemon adopts newer states from peers and rejects older ones", "[configuration]")
{
    Fixture ahead;
    ahead.putChange(0, sharePatch("a", 1), "c1");
    ahead.pass(200);
    ConfigurationState oldState = ahead.service.stateSince({});
    for (std::uint64_t base = 1; base < 6; ++base)
        ahead.putChange(base, sharePatch(("w" + std::to_string(base)).c_str(), 3), "c");
    ahead.log.put("config", "not a change");
    ahead.pass(200);

    Fixture behind;
    behind.log.isUnavailable = true;
    behind.pass(500);
    REQUIRE(behind.service.current().version == 0);
    REQUIRE(behind.service.adopt(ahead.service.stateSince(behind.service.digest())));
    REQUIRE(behind.service.digest().throughOffset == 6);
    REQUIRE(behind.service.document() == ahead.service.document());
    REQUIRE_FALSE(behind.service.adopt(oldState));
    REQUIRE(behind.service.current().version == 6);

    ahead.putChange(6, sharePatch("a", 8), "c7");
    ahead.pass(200);
    ConfigurationState changesState = ahead.service.stateSince(behind.service.digest());
    REQUIRE(changesState.document.empty());
    REQUIRE(changesState.changes.size() == 1);
    REQUIRE(behind.service.adopt(changesState));
    REQUIRE(behind.share("a") == 8);
    REQUIRE_FALSE(behind.service.adopt(changesState));
    REQUIRE_FALSE(behind.service.adopt({ .digest = { .version = 9, .throughOffset = 90 }, .document = "{]" }));
    changesState.digest = { .version = 99, .throughOffset = 99 };
    changesState.changesFrom = 8;
    REQUIRE_FALSE(behind.service.adopt(changesState));
    REQUIRE(behind.service.current().version == 7);
}

// Guards against losing the configuration when its records expire, and against writing unnecessary checkpoints.
TEST_CASE("the writer renews the checkpoint before half of the retention period has passed", "[configuration]")
{
    Fixture fixture;
    bool isCheckpointWriter = false;
    fixture.service.setCheckpointWriter([&] { return isCheckpointWriter; });
    fixture.putChange(0, sharePatch("a", 2), "c1");
    fixture.pass(1'800'000);
    REQUIRE(fixture.log.appendCount == 0);
    isCheckpointWriter = true;
    fixture.pass(1'000);
    REQUIRE(fixture.log.appendCount == 1);
    fixture.pass(1'700'000);
    REQUIRE(fixture.log.appendCount == 1);
    fixture.pass(120'000);
    REQUIRE(fixture.log.appendCount == 2);

    fixture.log.firstRetainedOffsets["config"] = 1;
    Fixture reader;
    reader.log.streams = fixture.log.streams;
    reader.log.firstRetainedOffsets = fixture.log.firstRetainedOffsets;
    reader.pass(500);
    REQUIRE(reader.service.current().version == 1);
    REQUIRE(reader.share("a") == 2);

    // All checkpoints have expired: the next one is written immediately, and again only after the retry interval, so
    // that it can be read back first.
    fixture.log.firstRetainedOffsets["config"] = 3;
    fixture.putChange(1, sharePatch("a", 3), "c2");
    fixture.log.appendFault = FakeLogClient::AppendFault::LoseRequest;
    fixture.pass(9'000);
    REQUIRE(fixture.log.appendCount == 3);
    fixture.log.appendFault = FakeLogClient::AppendFault::None;
    fixture.pass(3'000);
    REQUIRE(fixture.log.appendCount == 4);
    fixture.pass(60'000);
    REQUIRE(fixture.log.appendCount == 4);
}
