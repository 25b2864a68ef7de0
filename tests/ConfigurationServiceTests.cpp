#include "FakeLogClient.h"
#include "daemon/ConfigurationService.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace jasminestack;

namespace {

using Outcome = std::optional<Result<std::uint64_t>>;

std::string shareOf(const char* workspace, int share)
{
    return nlohmann::json { { "workspaces", { { workspace, { { "share", share } } } } } }.dump();
}

struct Fixture {
    FakeClock clock;
    FakeLogClient log { clock };
    ConfigurationService service { log, clock };

    Fixture() { service.start(); }

    /// Lets time pass in steps of 100 ms, as the daemon's timer does.
    void pass(std::int64_t ms)
    {
        for (std::int64_t at = 0; at <= ms; at += 100) {
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

// Guards against a publication that is reported before its record took effect, or with another version.
TEST_CASE("a publication is reported when its record is folded", "[configuration]")
{
    Fixture f;
    std::vector<std::uint64_t> versions;
    f.service.onChange([&](const Configuration& configuration) { versions.push_back(configuration.version); });
    REQUIRE(f.service.current().version == 0);
    Outcome outcome;
    f.publish(0, shareOf("a", 2), "id-1", outcome);
    f.pass(200);
    REQUIRE(outcome);
    REQUIRE(outcome->value() == 1);
    REQUIRE(f.share("a") == 2);
    REQUIRE(versions == std::vector<std::uint64_t> { 1 });

    Outcome conflict;
    f.publish(0, shareOf("a", 3), "id-2", conflict);
    f.pass(200);
    REQUIRE(conflict->error().kind == ErrorKind::ConfigurationConflict);
    Outcome invalid;
    f.publish(1, R"({"workspaces":{"a":{"share":-1}}})", "id-3", invalid);
    f.pass(200);
    REQUIRE(invalid->error().kind == ErrorKind::ConfigurationInvalid);
    REQUIRE(f.log.appends == 1);

    Outcome repeat;
    f.publish(0, shareOf("a", 2), "id-1", repeat);
    f.pass(200);
    REQUIRE(repeat->value() == 1);
    REQUIRE(f.log.appends == 1);
}

// Guards against two operators who both believe that their change with the same base won.
TEST_CASE("of racing publishers one wins and the other learns the winning version", "[configuration]")
{
    FakeClock clock;
    FakeLogClient log { clock };
    ConfigurationService one { log, clock };
    ConfigurationService two { log, clock };
    one.start();
    two.start();
    Outcome first;
    Outcome second;
    one.publish(0, shareOf("a", 1), "x", "ada", [&](Result<std::uint64_t> r) { first = std::move(r); });
    two.publish(0, shareOf("a", 2), "y", "bob", [&](Result<std::uint64_t> r) { second = std::move(r); });
    log.pump();
    REQUIRE(first->value() == 1);
    REQUIRE(second->error().kind == ErrorKind::ConfigurationConflict);
    REQUIRE(second->error().message.find("version 1 won") != std::string::npos);
    REQUIRE(one.document() == two.document());
}

// Guards against repeating an append whose answer was lost, and against a wrong verdict about it.
TEST_CASE("a lost answer is resolved by reading on", "[configuration]")
{
    Fixture f;
    Outcome outcome;
    SECTION("the record was appended")
    {
        f.log.appendFault = FakeLogClient::AppendFault::LoseAnswer;
        f.publish(0, shareOf("a", 2), "id", outcome);
        f.pass(300);
        REQUIRE(outcome->value() == 1);
    }
    SECTION("the request was lost")
    {
        f.log.appendFault = FakeLogClient::AppendFault::LoseRequest;
        f.publish(0, shareOf("a", 2), "id", outcome);
        f.pass(9'000);
        REQUIRE_FALSE(outcome);
        f.pass(1'500);
        REQUIRE(outcome->error().kind == ErrorKind::ConfigurationOutcomeUnknown);
    }
    SECTION("the record appears late")
    {
        f.log.appendFault = FakeLogClient::AppendFault::Delay;
        f.publish(0, shareOf("a", 2), "id", outcome);
        f.pass(4'000);
        REQUIRE_FALSE(outcome);
        f.log.releaseDelayed();
        f.pass(300);
        REQUIRE(outcome->value() == 1);
    }
    SECTION("another change took the base, so the record cannot win any more")
    {
        f.log.appendFault = FakeLogClient::AppendFault::Delay;
        f.publish(0, shareOf("a", 2), "id", outcome);
        f.pass(500);
        f.putChange(0, shareOf("a", 9), "other");
        f.pass(300);
        REQUIRE(outcome->error().kind == ErrorKind::ConfigurationConflict);
        f.log.releaseDelayed();
        f.pass(300);
        REQUIRE(f.share("a") == 9);
    }
    SECTION("the answer comes after the record was read")
    {
        f.log.appendFault = FakeLogClient::AppendFault::HoldAnswer;
        f.publish(0, shareOf("a", 2), "id", outcome);
        f.pass(300);
        REQUIRE(outcome->value() == 1);
        f.log.releaseAnswers();
        f.pass(300);
    }
    REQUIRE(f.log.appends == 1);
}

// Guards against losing the configuration or the tail position in an outage of the log.
TEST_CASE("an outage keeps the configuration and refuses publications", "[configuration]")
{
    Fixture f;
    f.putChange(0, shareOf("a", 2), "x");
    f.pass(200);
    f.log.isUnavailable = true;
    f.pass(60'000);
    REQUIRE_FALSE(f.service.logReachable());
    REQUIRE(f.share("a") == 2);
    Outcome outcome;
    f.publish(1, shareOf("a", 3), "y", outcome);
    f.pass(200);
    REQUIRE(outcome->error().kind == ErrorKind::LogUnavailable);

    unsigned readsBefore = f.log.reads;
    f.pass(10'000);
    REQUIRE(f.log.reads - readsBefore <= 12);
    f.putChange(1, shareOf("a", 5), "z");
    f.log.isUnavailable = false;
    f.pass(1'200);
    REQUIRE(f.service.logReachable());
    REQUIRE(f.share("a") == 5);
}

// Guards against a publication that waits for a read whose connection went silent.
TEST_CASE("a silent waiting read does not hold up a publication", "[configuration]")
{
    Fixture f;
    f.log.hangOnlyWaiting = true;
    f.pass(5'000);
    Outcome outcome;
    f.publish(0, shareOf("a", 2), "x", outcome);
    f.pass(1'000);
    REQUIRE(outcome);
    REQUIRE(outcome->value() == 1);
}

// Guards against skipping changes when records expired before they were read.
TEST_CASE("a retention gap is closed only by a covering checkpoint or a peer", "[configuration]")
{
    Fixture f;
    f.putChange(0, shareOf("a", 2), "c1");
    f.pass(200);
    f.log.isUnavailable = true;
    f.pass(6'000);
    f.putChange(1, shareOf("a", 3), "c2");
    f.putChange(2, shareOf("a", 4), "c3");
    // A fold that stops before the last change, as a paused daemon would write it late.
    ConfigurationReplica old;
    (void)applyRecords(old,
        { .firstRetainedOffset = 0,
            .endOffset = 3,
            .records = { f.log.streams["config"][0], f.log.streams["config"][1] } });
    f.log.put("config", makeCheckpointRecord(old));
    f.log.first["config"] = 3;
    f.log.isUnavailable = false;
    f.pass(2'000);
    REQUIRE(f.service.current().version == 1);
    REQUIRE(f.share("a") == 2);

    ConfigurationReplica full = old;
    (void)applyRecords(full, { .firstRetainedOffset = 0, .endOffset = 4, .records = { f.log.streams["config"][2] } });
    SECTION("checkpoint")
    {
        f.log.put("config", makeCheckpointRecord(full));
        f.pass(1'000);
    }
    SECTION("peer")
    {
        REQUIRE(f.service.adopt(
            { .digest = { .version = full.version, .throughOffset = full.throughOffset }, .document = full.document }));
    }
    REQUIRE(f.service.current().version == 3);
    REQUIRE(f.share("a") == 4);
    f.putChange(3, shareOf("a", 5), "c4");
    f.pass(5'000);
    REQUIRE(f.share("a") == 5);
}

// Guards against going back to a peer's old copy, and against peers that cannot help a daemon without the log.
TEST_CASE("states pass between peers and never go back", "[configuration]")
{
    Fixture ahead;
    ahead.putChange(0, shareOf("a", 1), "c1");
    ahead.pass(200);
    ConfigurationState old = ahead.service.stateFor({});
    for (std::uint64_t base = 1; base < 6; ++base)
        ahead.putChange(base, shareOf(("w" + std::to_string(base)).c_str(), 3), "c");
    ahead.log.put("config", "not a change");
    ahead.pass(200);

    Fixture cold;
    cold.log.isUnavailable = true;
    cold.pass(500);
    REQUIRE(cold.service.current().version == 0);
    REQUIRE(cold.service.adopt(ahead.service.stateFor(cold.service.digest())));
    REQUIRE(cold.service.digest().throughOffset == 6);
    REQUIRE(cold.service.document() == ahead.service.document());
    REQUIRE_FALSE(cold.service.adopt(old));
    REQUIRE(cold.service.current().version == 6);

    ahead.putChange(6, shareOf("a", 8), "c7");
    ahead.pass(200);
    ConfigurationState difference = ahead.service.stateFor(cold.service.digest());
    REQUIRE(difference.document.empty());
    REQUIRE(difference.changes.size() == 1);
    REQUIRE(cold.service.adopt(difference));
    REQUIRE(cold.share("a") == 8);
    REQUIRE_FALSE(cold.service.adopt(difference));
    REQUIRE_FALSE(cold.service.adopt({ .digest = { .version = 9, .throughOffset = 90 }, .document = "{]" }));
    difference.digest = { .version = 99, .throughOffset = 99 };
    difference.changesFrom = 8;
    REQUIRE_FALSE(cold.service.adopt(difference));
    REQUIRE(cold.service.current().version == 7);
}

// Guards against the loss of the configuration when the records before it expire, and against needless checkpoints.
TEST_CASE("the writer renews the checkpoint before half of the retention", "[configuration]")
{
    Fixture f;
    bool writer = false;
    f.service.setCheckpointWriter([&] { return writer; });
    f.putChange(0, shareOf("a", 2), "c1");
    f.pass(1'800'000);
    REQUIRE(f.log.appends == 0);
    writer = true;
    f.pass(1'000);
    REQUIRE(f.log.appends == 1);
    f.pass(1'700'000);
    REQUIRE(f.log.appends == 1);
    f.pass(120'000);
    REQUIRE(f.log.appends == 2);

    f.log.first["config"] = 1;
    Fixture reader;
    reader.log.streams = f.log.streams;
    reader.log.first = f.log.first;
    reader.pass(500);
    REQUIRE(reader.service.current().version == 1);
    REQUIRE(reader.share("a") == 2);

    // All checkpoints have expired: the next one is written at once, but not again before it could be read back.
    f.log.first["config"] = 3;
    f.putChange(1, shareOf("a", 3), "c2");
    f.log.appendFault = FakeLogClient::AppendFault::LoseRequest;
    f.pass(9'000);
    REQUIRE(f.log.appends == 3);
    f.log.appendFault = FakeLogClient::AppendFault::None;
    f.pass(3'000);
    REQUIRE(f.log.appends == 4);
    f.pass(60'000);
    REQUIRE(f.log.appends == 4);
}
