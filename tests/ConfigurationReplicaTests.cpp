#include "FakeLogClient.h"
#include "config/ConfigurationReplica.h"
#include "daemon/ConfigurationService.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace jasminestack;

namespace {

// Property tests run with a fixed seed unless RC_PARAMS says otherwise.
[[maybe_unused]] const int seeded = setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);

// The log service as a reader sees it: dense offsets and a moving first retained record.
struct FakeLog {
    std::vector<LogRecord> records;
    std::int64_t first { 0 };

    std::int64_t append(std::string payload)
    {
        const auto offset = static_cast<std::int64_t>(records.size());
        records.push_back({ .offset = offset, .timestampMs = 1'000 + offset, .payload = std::move(payload) });
        return offset;
    }

    [[nodiscard]] std::int64_t next() const { return static_cast<std::int64_t>(records.size()); }

    [[nodiscard]] LogBatch read(std::int64_t from, std::size_t maximum) const
    {
        LogBatch batch { .firstRetainedOffset = first, .endOffset = next() };
        for (auto offset = from; from >= first && offset < next() && batch.records.size() < maximum; ++offset)
            batch.records.push_back(records[static_cast<std::size_t>(offset)]);
        return batch;
    }
};

std::string change(const std::string& id, std::uint64_t base, const std::string& patch)
{
    return makeChangeRecord(id, "ada", base, patch).value();
}

// Reads until nothing more comes, and checks that the state never goes back on the way.
void catchUp(ConfigurationReplica& state, const FakeLog& log, std::size_t batchSize)
{
    for (std::size_t guard = 0; guard < 4 * log.records.size() + 10; ++guard) {
        const auto from = nextOffset(state);
        if (from >= log.next())
            return;
        const auto version = state.version;
        const auto through = state.throughOffset;
        (void)applyRecords(state, log.read(from, batchSize));
        RC_ASSERT(state.version >= version);
        RC_ASSERT(state.throughOffset >= through);
    }
    RC_FAIL("the reader does not reach the end of the log");
}

bool sameState(const ConfigurationReplica& a, const ConfigurationReplica& b)
{
    return a.version == b.version && a.throughOffset == b.throughOffset && a.document == b.document
        && (a.configuration == nullptr) == (b.configuration == nullptr);
}

struct Scenario {
    FakeLog log;
    ConfigurationReplica reference; // Reads every record as soon as it is appended.
    std::vector<ChangeResult> results;
    std::array<ConfigurationReplica, 4> readers; // Daemons that read, pause, restart cold and ask each other.

    void append(std::string payload)
    {
        log.append(std::move(payload));
        const auto batch = log.read(nextOffset(reference), 10);
        for (auto& result : applyRecords(reference, batch))
            results.push_back(std::move(result));
    }

    void step(int kind, int a, int b)
    {
        ConfigurationReplica& reader = readers[static_cast<std::size_t>(a) % readers.size()];
        if (kind < 35) { // An operator publishes on a base that may be stale, sometimes with an invalid document.
            const auto behind = static_cast<std::uint64_t>(b % 3);
            const auto base = reference.version - std::min(behind, reference.version);
            static constexpr std::array patches { R"({"workspaces":{"W":{"share":N}}})", R"({"workspaces":{"W":null}})",
                R"({"presets":{"peaks":{"shares":{"W":N}}}})", R"({"presetInForce":"peaks"})",
                R"({"limits":{"cellSize":N}})" };
            std::string patch = patches[static_cast<std::size_t>(b) % patches.size()];
            if (const auto at = patch.find('W'); at != std::string::npos)
                patch.replace(at, 1, "w" + std::to_string(a % 5));
            if (const auto at = patch.find('N'); at != std::string::npos)
                patch.replace(at, 1, std::to_string(a + 1));
            append(change("id-" + std::to_string(log.next()), base, patch));
        } else if (kind < 45) { // Records that cannot be read, and a checkpoint from nowhere.
            static constexpr std::array junk { "", "{", "[]", R"({"kind":"other"})", R"({"kind":"change","id":"x"})",
                R"({"kind":"change","id":"x","base":-1,"patch":{}})",
                R"({"kind":"change","id":"x","base":0,"base":1,"patch":{}})",
                R"({"kind":"change","id":"x","base":0,"patch":[]})",
                R"({"kind":"checkpoint","version":99,"throughOffset":1000000,"document":{}})" };
            append(junk[static_cast<std::size_t>(b) % junk.size()]);
        } else if (kind < 60) { // A daemon writes a checkpoint of its state, which may be far behind.
            append(makeCheckpointRecord(reader));
        } else if (kind < 70) { // Retention passes.
            log.first = std::min(log.next(), log.first + b % 6);
        } else if (kind < 75) { // A daemon restarts with nothing in memory.
            reader = {};
        } else if (kind < 85) { // A daemon adopts a peer's state.
            const ConfigurationReplica& peer = readers[static_cast<std::size_t>(b) % readers.size()];
            const auto before = reader.throughOffset;
            const auto adopted = adoptPeerState(reader, peer.version, peer.throughOffset, peer.document);
            RC_ASSERT(static_cast<bool>(adopted));
            RC_ASSERT(adopted.value() == (peer.throughOffset > before));
        } else {
            catchUp(reader, log, static_cast<std::size_t>(1 + b % 7));
        }
    }

    [[nodiscard]] bool coldStartIsPossible() const
    {
        if (log.first == 0)
            return true;
        return std::any_of(log.records.begin() + log.first, log.records.end(), [&](const LogRecord& record) {
            const auto parsed = nlohmann::json::parse(record.payload, nullptr, false);
            return parsed.is_object() && parsed.value("kind", "") == "checkpoint"
                && parsed.at("throughOffset").get<std::int64_t>() + 1 >= log.first
                && parsed.at("throughOffset").get<std::int64_t>() < record.offset;
        });
    }
};

Scenario runScenario()
{
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 100), rc::gen::inRange(0, 1'000), rc::gen::inRange(0, 1'000)));
    Scenario scenario;
    for (const auto& [kind, a, b] : steps)
        scenario.step(kind, a, b);
    return scenario;
}

}

// Guards against daemons with different configurations at the same position of the log.
TEST_CASE("every reader that may start ends in the same state", "[fold]")
{
    REQUIRE(rc::check("warm, restarted and cold readers agree", [] {
        Scenario scenario = runScenario();
        for (ConfigurationReplica& reader : scenario.readers) {
            catchUp(reader, scenario.log, 3);
            RC_ASSERT(reader.isSeekingCheckpoint || sameState(reader, scenario.reference));
            // A daemon that is stuck takes over the state of any peer that is not.
            if (reader.isSeekingCheckpoint) {
                RC_ASSERT(adoptPeerState(
                    reader, scenario.reference.version, scenario.reference.throughOffset, scenario.reference.document)
                              .value());
                RC_ASSERT(sameState(reader, scenario.reference));
            }
        }
        ConfigurationReplica cold;
        catchUp(cold, scenario.log, 2);
        const bool nothingRetained = scenario.log.first == scenario.log.next();
        if (scenario.coldStartIsPossible())
            RC_ASSERT(sameState(cold, scenario.reference));
        else
            RC_ASSERT((cold.isSeekingCheckpoint || nothingRetained) && cold.throughOffset == -1 && !cold.configuration);
    }));
}

// Guards against two operators who are both told that their change is in force.
TEST_CASE("of racing changes with one base exactly one wins", "[fold]")
{
    REQUIRE(rc::check("accepted changes form one chain of versions", [] {
        const Scenario scenario = runScenario();
        std::uint64_t version = 0;
        std::map<std::uint64_t, std::string> winners;
        for (const ChangeResult& result : scenario.results) {
            switch (result.outcome) {
            case ChangeOutcome::Accepted:
                RC_ASSERT(result.baseVersion == version);
                RC_ASSERT(result.version == version + 1);
                RC_ASSERT(winners.emplace(result.baseVersion, result.id).second);
                version = result.version;
                break;
            case ChangeOutcome::Conflict:
                // The loser is told a version that another change created on the same base.
                RC_ASSERT(result.version == version);
                RC_ASSERT(winners.contains(result.baseVersion));
                RC_ASSERT(winners.at(result.baseVersion) != result.id);
                break;
            case ChangeOutcome::Invalid:
                RC_ASSERT(result.baseVersion == version);
                RC_ASSERT(!result.reason.empty());
                break;
            }
        }
        RC_ASSERT(version == scenario.reference.version);
    }));
}

// Guards against a daemon that was paused before it wrote its checkpoint, while changes were accepted meanwhile.
TEST_CASE("a stale checkpoint never hides accepted changes", "[fold]")
{
    FakeLog log;
    log.append(change("a", 0, R"({"workspaces":{"w1":{}}})"));
    ConfigurationReplica paused;
    (void)applyRecords(paused, log.read(0, 10));
    REQUIRE(paused.version == 1);
    log.append(change("b", 1, R"({"workspaces":{"w2":{}}})"));
    log.append(makeCheckpointRecord(paused));

    SECTION("the accepted change is still retained: the checkpoint is adopted and the change folded again")
    {
        log.first = 1;
        ConfigurationReplica cold;
        (void)applyRecords(cold, log.read(nextOffset(cold), 10)); // Answers that offset 0 is no longer retained.
        REQUIRE(cold.isSeekingCheckpoint);
        REQUIRE(nextOffset(cold) == 1);
        (void)applyRecords(cold, log.read(nextOffset(cold), 10));
        REQUIRE(cold.version == 2);
        REQUIRE(cold.throughOffset == 2);
    }
    SECTION("the accepted change is gone: the checkpoint is refused until a newer one comes")
    {
        log.first = 2;
        ConfigurationReplica cold;
        (void)applyRecords(cold, log.read(0, 10));
        (void)applyRecords(cold, log.read(nextOffset(cold), 10));
        REQUIRE(cold.isSeekingCheckpoint);
        REQUIRE(cold.configuration == nullptr);
        REQUIRE(nextOffset(cold) == 3);

        ConfigurationReplica current;
        FakeLog whole = log;
        whole.first = 0;
        (void)applyRecords(current, whole.read(0, 10));
        log.append(makeCheckpointRecord(current));
        (void)applyRecords(cold, log.read(nextOffset(cold), 10));
        REQUIRE_FALSE(cold.isSeekingCheckpoint);
        REQUIRE(cold.throughOffset == 3);
        REQUIRE(cold.version == 2);
        REQUIRE(cold.configuration->workspaces.contains(WorkspaceId { "w2" }));
    }
}

// Guards against a state that misses a change because a batch came out of order or with a hole.
TEST_CASE("nothing is folded beyond a missing record", "[fold]")
{
    FakeLog log;
    for (std::uint64_t i = 0; i < 4; ++i)
        log.append(change("id-" + std::to_string(i), i, "{}"));
    LogBatch batch = log.read(0, 10);
    batch.records.erase(batch.records.begin() + 2);
    ConfigurationReplica state;
    REQUIRE(applyRecords(state, batch).size() == 2);
    REQUIRE(nextOffset(state) == 2);
    REQUIRE(applyRecords(state, log.read(1, 10)).size() == 2);
    REQUIRE(state.version == 4);
}

// Guards against a cold start that folds days of changes one by one before the daemon takes its first request.
TEST_CASE("a cold reader of a long stream starts from the newest checkpoint", "[fold]")
{
    FakeLog log;
    ConfigurationReplica writer;
    for (std::uint64_t i = 0; i < 100; ++i) {
        log.append(change("id-" + std::to_string(i), i, R"({"limits":{"cellSize":)" + std::to_string(i + 1) + "}}"));
        (void)applyRecords(writer, log.read(nextOffset(writer), 10));
        if (i == 30 || i == 80)
            log.append(makeCheckpointRecord(writer));
    }
    ConfigurationReplica cold;
    unsigned reads = 0;
    for (; nextOffset(cold) < log.next(); ++reads)
        (void)applyRecords(cold, log.read(nextOffset(cold), 20));
    (void)applyRecords(writer, log.read(nextOffset(writer), 10));
    REQUIRE(sameState(cold, writer));
    REQUIRE(cold.history.size() == 19);
    REQUIRE(reads == 6 + 1); // 102 records are scanned, the last 20 folded.
}

// Guards against resending a change whose answer was lost.
TEST_CASE("the result of a record is found by its id", "[fold]")
{
    FakeLog log;
    log.append(change("a", 0, R"({"workspaces":{"w1":{}}})"));
    log.append(change("b", 0, R"({"workspaces":{"w2":{}}})"));
    log.append(change("c", 1, R"({"workspaces":{"w3":{"share":-1}}})"));
    log.append(change("a", 0, R"({"workspaces":{"w1":{}}})"));
    ConfigurationReplica state;
    REQUIRE(applyRecords(state, log.read(0, 10)).size() == 4);
    REQUIRE(findChangeResult(state, "a")->outcome == ChangeOutcome::Accepted);
    REQUIRE(findChangeResult(state, "a")->author == "ada");
    REQUIRE(findChangeResult(state, "b")->outcome == ChangeOutcome::Conflict);
    REQUIRE(findChangeResult(state, "b")->version == 1);
    REQUIRE(findChangeResult(state, "c")->outcome == ChangeOutcome::Invalid);
    REQUIRE(findChangeResult(state, "c")->reason.find("workspaces.w3.share: -1 is out of range") != std::string::npos);
    REQUIRE(findChangeResult(state, "d") == nullptr);
}

// Guards against a peer that cannot catch up because the history leaves out long patches.
TEST_CASE("a peer behind a long patch gets the document", "[fold]")
{
    FakeClock clock;
    FakeLogClient log(clock);
    ConfigurationService ahead(log, clock);
    ConfigurationService behind(log, clock);
    ahead.start();
    std::string workspaces;
    for (int i = 0; i < 300; ++i)
        workspaces += (i ? ",\"w" : "\"w") + std::to_string(i) + "\":{\"share\":2}";
    log.put("config", change("a", 0, R"({"workspaces":{)" + workspaces + "}}"));
    log.put("config", change("b", 1, R"({"presets":{"peaks":{}}})"));
    log.pump();
    REQUIRE(ahead.digest().version == 2);
    REQUIRE(ahead.history().front().patch.empty());
    REQUIRE(behind.adopt(ahead.stateFor(behind.digest())));
    REQUIRE(behind.document() == ahead.document());
}

TEST_CASE("the history is bounded and says from where it is complete", "[fold]")
{
    FakeLog log;
    for (std::size_t i = 0; i < historyLimit + 10; ++i)
        log.append(change("id-" + std::to_string(i), 7, "{}"));
    ConfigurationReplica state;
    (void)applyRecords(state, log.read(0, log.records.size()));
    REQUIRE(state.history.size() == historyLimit);
    REQUIRE(state.historyStartOffset == 10);
    REQUIRE(findChangeResult(state, "id-9") == nullptr);
    REQUIRE(findChangeResult(state, "id-10") != nullptr);
}

// Guards against a stack overflow of the whole fleet by one record in the log.
TEST_CASE("a deeply nested patch is skipped", "[fold]")
{
    std::string patch;
    for (int i = 0; i < 200'000; ++i)
        patch += R"({"a":)";
    patch += "1" + std::string(200'000, '}');
    REQUIRE_FALSE(makeChangeRecord("x", "ada", 0, patch));
    FakeLog log;
    log.append(R"({"kind":"change","id":"x","base":0,"patch":)" + patch + "}");
    ConfigurationReplica state;
    REQUIRE(applyRecords(state, log.read(0, 1)).empty());
    REQUIRE(state.throughOffset == 0);
}

TEST_CASE("a change is judged before it is appended", "[fold]")
{
    FakeLog log;
    log.append(change("a", 0, R"({"workspaces":{"w1":{}}})"));
    ConfigurationReplica state;
    (void)applyRecords(state, log.read(0, 10));
    REQUIRE(validateChange(state, 1, R"({"limits":{"cellSize":8}})"));
    REQUIRE(validateChange(state, 2, R"({"limits":{"cellSize":8}})"));
    REQUIRE(validateChange(state, 0, "{}").error().kind == ErrorKind::ConfigurationConflict);
    REQUIRE(validateChange(state, 1, R"({"limits":{"cellSize":0}})").error().kind == ErrorKind::ConfigurationInvalid);
    REQUIRE(validateChange(state, 1, "[]").error().kind == ErrorKind::ConfigurationInvalid);
}
