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

// Property tests run with a fixed seed unless RC_PARAMS is set.
[[maybe_unused]] const int seedIsSet = setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);

// Log service in memory: consecutive offsets, and a first retained offset that tests increase.
struct FakeLog {
    std::vector<LogRecord> records;
    std::int64_t firstRetained { 0 };

    std::int64_t append(std::string payload)
    {
        const auto offset = static_cast<std::int64_t>(records.size());
        records.push_back({ .offset = offset, .timestampMs = 1'000 + offset, .payload = std::move(payload) });
        return offset;
    }

    [[nodiscard]] std::int64_t next() const { return static_cast<std::int64_t>(records.size()); }

    [[nodiscard]] LogBatch read(std::int64_t from, std::size_t maximum) const
    {
        LogBatch batch { .firstRetainedOffset = firstRetained, .endOffset = next() };
        for (auto offset = from; from >= firstRetained && offset < next() && batch.records.size() < maximum; ++offset)
            batch.records.push_back(records[static_cast<std::size_t>(offset)]);
        return batch;
    }
};

std::string changeRecord(const std::string& id, std::uint64_t base, const std::string& patch)
{
    return makeChangeRecord(id, "ada", base, patch).value();
}

// Reads to the end of the log and checks that version and offset never decrease.
void readToEnd(ConfigurationReplica& state, const FakeLog& log, std::size_t batchSize)
{
    for (std::size_t readCount = 0; readCount < 4 * log.records.size() + 10; ++readCount) {
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

bool haveSameState(const ConfigurationReplica& left, const ConfigurationReplica& right)
{
    return left.version == right.version && left.throughOffset == right.throughOffset && left.document == right.document
        && (left.configuration == nullptr) == (right.configuration == nullptr);
}

struct Scenario {
    FakeLog log;
    ConfigurationReplica reference; // Applies every record as soon as it is appended.
    std::vector<ChangeResult> results;
    // Daemons that read, pause, restart without state and adopt the state of peers.
    std::array<ConfigurationReplica, 4> readers;

    void append(std::string payload)
    {
        log.append(std::move(payload));
        const auto batch = log.read(nextOffset(reference), 10);
        for (auto& result : applyRecords(reference, batch))
            results.push_back(std::move(result));
    }

    void step(int kind, int firstNumber, int secondNumber)
    {
        ConfigurationReplica& reader = readers[static_cast<std::size_t>(firstNumber) % readers.size()];
        if (kind < 35) { // An operator publishes a change whose base may be stale and whose result may be invalid.
            const auto versionsBehind = static_cast<std::uint64_t>(secondNumber % 3);
            const auto base = reference.version - std::min(versionsBehind, reference.version);
            static constexpr std::array patches { R"({"workspaces":{"W":{"share":N}}})", R"({"workspaces":{"W":null}})",
                R"({"presets":{"peaks":{"shares":{"W":N}}}})", R"({"presetInForce":"peaks"})",
                R"({"limits":{"cellSize":N}})" };
            std::string patch = patches[static_cast<std::size_t>(secondNumber) % patches.size()];
            if (const auto position = patch.find('W'); position != std::string::npos)
                patch.replace(position, 1, "w" + std::to_string(firstNumber % 5));
            if (const auto position = patch.find('N'); position != std::string::npos)
                patch.replace(position, 1, std::to_string(firstNumber + 1));
            append(changeRecord("id-" + std::to_string(log.next()), base, patch));
        } else if (kind < 45) { // Records that cannot be parsed, and a checkpoint with an offset beyond the log.
            static constexpr std::array invalidRecords { "", "{", "[]", R"({"kind":"other"})",
                R"({"kind":"change","id":"x"})", R"({"kind":"change","id":"x","base":-1,"patch":{}})",
                R"({"kind":"change","id":"x","base":0,"base":1,"patch":{}})",
                R"({"kind":"change","id":"x","base":0,"patch":[]})",
                R"({"kind":"checkpoint","version":99,"throughOffset":1000000,"document":{}})" };
            append(invalidRecords[static_cast<std::size_t>(secondNumber) % invalidRecords.size()]);
        } else if (kind < 60) { // A daemon appends a checkpoint of its state, which may miss many records.
            append(makeCheckpointRecord(reader));
        } else if (kind < 70) { // The log drops its oldest records.
            log.firstRetained = std::min(log.next(), log.firstRetained + secondNumber % 6);
        } else if (kind < 75) { // A daemon restarts without state.
            reader = {};
        } else if (kind < 85) { // A daemon adopts a peer's state.
            const ConfigurationReplica& peer = readers[static_cast<std::size_t>(secondNumber) % readers.size()];
            const auto before = reader.throughOffset;
            const auto adopted = adoptPeerState(reader, peer.version, peer.throughOffset, peer.document);
            RC_ASSERT(static_cast<bool>(adopted));
            RC_ASSERT(adopted.value() == (peer.throughOffset > before));
        } else {
            readToEnd(reader, log, static_cast<std::size_t>(1 + secondNumber % 7));
        }
    }

    [[nodiscard]] bool isColdStartPossible() const
    {
        if (log.firstRetained == 0)
            return true;
        return std::any_of(log.records.begin() + log.firstRetained, log.records.end(), [&](const LogRecord& record) {
            const auto parsed = nlohmann::json::parse(record.payload, nullptr, false);
            return parsed.is_object() && parsed.value("kind", "") == "checkpoint"
                && parsed.at("throughOffset").get<std::int64_t>() + 1 >= log.firstRetained
                && parsed.at("throughOffset").get<std::int64_t>() < record.offset;
        });
    }
};

Scenario runScenario()
{
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 100), rc::gen::inRange(0, 1'000), rc::gen::inRange(0, 1'000)));
    Scenario scenario;
    for (const auto& [kind, firstNumber, secondNumber] : steps)
        scenario.step(kind, firstNumber, secondNumber);
    return scenario;
}

}

// Guards against daemons that reach different configurations at the same offset of the log, depending on where they
// started.
TEST_CASE("every reader that can start reaches the same state", "[fold]")
{
    REQUIRE(rc::check("readers with state, restarted readers and readers without state agree", [] {
        Scenario scenario = runScenario();
        for (ConfigurationReplica& reader : scenario.readers) {
            readToEnd(reader, scenario.log, 3);
            RC_ASSERT(reader.isSeekingCheckpoint || haveSameState(reader, scenario.reference));
            // A daemon that finds no valid checkpoint adopts the state of a peer.
            if (reader.isSeekingCheckpoint) {
                RC_ASSERT(adoptPeerState(
                    reader, scenario.reference.version, scenario.reference.throughOffset, scenario.reference.document)
                              .value());
                RC_ASSERT(haveSameState(reader, scenario.reference));
            }
        }
        ConfigurationReplica coldReader;
        readToEnd(coldReader, scenario.log, 2);
        const bool nothingRetained = scenario.log.firstRetained == scenario.log.next();
        if (scenario.isColdStartPossible())
            RC_ASSERT(haveSameState(coldReader, scenario.reference));
        else
            RC_ASSERT((coldReader.isSeekingCheckpoint || nothingRetained) && coldReader.throughOffset == -1
                && !coldReader.configuration);
    }));
}

// Guards against two changes on the same base version that are both reported as accepted.
TEST_CASE("of concurrent changes with the same base version exactly one is accepted", "[fold]")
{
    REQUIRE(rc::check("accepted changes form one sequence of versions", [] {
        const Scenario scenario = runScenario();
        std::uint64_t version = 0;
        std::map<std::uint64_t, std::string> acceptedIds;
        for (const ChangeResult& result : scenario.results) {
            switch (result.outcome) {
            case ChangeOutcome::Accepted:
                RC_ASSERT(result.baseVersion == version);
                RC_ASSERT(result.version == version + 1);
                RC_ASSERT(acceptedIds.emplace(result.baseVersion, result.id).second);
                version = result.version;
                break;
            case ChangeOutcome::Conflict:
                // The result has the version in force; another change was accepted on the same base version.
                RC_ASSERT(result.version == version);
                RC_ASSERT(acceptedIds.contains(result.baseVersion));
                RC_ASSERT(acceptedIds.at(result.baseVersion) != result.id);
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

// Guards against lost changes: a daemon is paused before it appends its checkpoint, and changes are accepted meanwhile.
TEST_CASE("a stale checkpoint never hides accepted changes", "[fold]")
{
    FakeLog log;
    log.append(changeRecord("a", 0, R"({"workspaces":{"w1":{}}})"));
    ConfigurationReplica paused;
    (void)applyRecords(paused, log.read(0, 10));
    REQUIRE(paused.version == 1);
    log.append(changeRecord("b", 1, R"({"workspaces":{"w2":{}}})"));
    log.append(makeCheckpointRecord(paused));

    SECTION("the accepted change is still retained: the checkpoint is adopted and the change applied again")
    {
        log.firstRetained = 1;
        ConfigurationReplica coldReader;
        // The batch says that offset 0 is no longer retained.
        (void)applyRecords(coldReader, log.read(nextOffset(coldReader), 10));
        REQUIRE(coldReader.isSeekingCheckpoint);
        REQUIRE(nextOffset(coldReader) == 1);
        (void)applyRecords(coldReader, log.read(nextOffset(coldReader), 10));
        REQUIRE(coldReader.version == 2);
        REQUIRE(coldReader.throughOffset == 2);
    }
    SECTION("the accepted change is not retained: the checkpoint is rejected until a newer one is appended")
    {
        log.firstRetained = 2;
        ConfigurationReplica coldReader;
        (void)applyRecords(coldReader, log.read(0, 10));
        (void)applyRecords(coldReader, log.read(nextOffset(coldReader), 10));
        REQUIRE(coldReader.isSeekingCheckpoint);
        REQUIRE(coldReader.configuration == nullptr);
        REQUIRE(nextOffset(coldReader) == 3);

        ConfigurationReplica current;
        FakeLog wholeLog = log;
        wholeLog.firstRetained = 0;
        (void)applyRecords(current, wholeLog.read(0, 10));
        log.append(makeCheckpointRecord(current));
        (void)applyRecords(coldReader, log.read(nextOffset(coldReader), 10));
        REQUIRE_FALSE(coldReader.isSeekingCheckpoint);
        REQUIRE(coldReader.throughOffset == 3);
        REQUIRE(coldReader.version == 2);
        REQUIRE(coldReader.configuration->workspaces.contains(WorkspaceId { "w2" }));
    }
}

// Guards against a state that misses a change because a record is missing in a batch or a batch overlaps the previous
// one.
TEST_CASE("no record after a missing record is applied", "[fold]")
{
    FakeLog log;
    for (std::uint64_t i = 0; i < 4; ++i)
        log.append(changeRecord("id-" + std::to_string(i), i, "{}"));
    LogBatch batch = log.read(0, 10);
    batch.records.erase(batch.records.begin() + 2);
    ConfigurationReplica state;
    REQUIRE(applyRecords(state, batch).size() == 2);
    REQUIRE(nextOffset(state) == 2);
    REQUIRE(applyRecords(state, log.read(1, 10)).size() == 2);
    REQUIRE(state.version == 4);
}

// Guards against a slow start: a daemon without state applies the changes of days one by one before it accepts
// requests.
TEST_CASE("a reader without state starts a long stream from the newest checkpoint", "[fold]")
{
    FakeLog log;
    ConfigurationReplica writer;
    for (std::uint64_t i = 0; i < 100; ++i) {
        log.append(
            changeRecord("id-" + std::to_string(i), i, R"({"limits":{"cellSize":)" + std::to_string(i + 1) + "}}"));
        (void)applyRecords(writer, log.read(nextOffset(writer), 10));
        if (i == 30 || i == 80)
            log.append(makeCheckpointRecord(writer));
    }
    ConfigurationReplica coldReader;
    unsigned reads = 0;
    for (; nextOffset(coldReader) < log.next(); ++reads)
        (void)applyRecords(coldReader, log.read(nextOffset(coldReader), 20));
    (void)applyRecords(writer, log.read(nextOffset(writer), 10));
    REQUIRE(haveSameState(coldReader, writer));
    REQUIRE(coldReader.history.size() == 19);
    REQUIRE(reads == 6 + 1); // 102 records are scanned, the last 20 applied.
}

// Guards against sending a change again after its response was lost.
TEST_CASE("the result of a change is found by its id", "[fold]")
{
    FakeLog log;
    log.append(changeRecord("a", 0, R"({"workspaces":{"w1":{}}})"));
    log.append(changeRecord("b", 0, R"({"workspaces":{"w2":{}}})"));
    log.append(changeRecord("c", 1, R"({"workspaces":{"w3":{"share":-1}}})"));
    log.append(changeRecord("a", 0, R"({"workspaces":{"w1":{}}})"));
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

// Guards against a peer that cannot reach the current state because the history omits long patches.
TEST_CASE("a peer that has not applied a long patch receives the whole document", "[fold]")
{
    FakeClock clock;
    FakeLogClient log(clock);
    ConfigurationService ahead(log, clock);
    ConfigurationService behind(log, clock);
    ahead.start();
    std::string workspaces;
    for (int i = 0; i < 300; ++i)
        workspaces += (i ? ",\"w" : "\"w") + std::to_string(i) + "\":{\"share\":2}";
    log.put("config", changeRecord("a", 0, R"({"workspaces":{)" + workspaces + "}}"));
    log.put("config", changeRecord("b", 1, R"({"presets":{"peaks":{}}})"));
    log.pump();
    REQUIRE(ahead.digest().version == 2);
    REQUIRE(ahead.history().front().patch.empty());
    REQUIRE(behind.adopt(ahead.stateSince(behind.digest())));
    REQUIRE(behind.document() == ahead.document());
}

TEST_CASE("the history is bounded and gives the offset from which it is complete", "[fold]")
{
    FakeLog log;
    for (std::size_t i = 0; i < historyLimit + 10; ++i)
        log.append(changeRecord("id-" + std::to_string(i), 7, "{}"));
    ConfigurationReplica state;
    (void)applyRecords(state, log.read(0, log.records.size()));
    REQUIRE(state.history.size() == historyLimit);
    REQUIRE(state.historyStartOffset == 10);
    REQUIRE(findChangeResult(state, "id-9") == nullptr);
    REQUIRE(findChangeResult(state, "id-10") != nullptr);
}

// Guards against one record in the log that causes a stack overflow in every daemon of the fleet.
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

TEST_CASE("a change is validated before it is appended", "[fold]")
{
    FakeLog log;
    log.append(changeRecord("a", 0, R"({"workspaces":{"w1":{}}})"));
    ConfigurationReplica state;
    (void)applyRecords(state, log.read(0, 10));
    REQUIRE(validateChange(state, 1, R"({"limits":{"cellSize":8}})"));
    REQUIRE(validateChange(state, 2, R"({"limits":{"cellSize":8}})"));
    REQUIRE(validateChange(state, 0, "{}").error().kind == ErrorKind::ConfigurationConflict);
    REQUIRE(validateChange(state, 1, R"({"limits":{"cellSize":0}})").error().kind == ErrorKind::ConfigurationInvalid);
    REQUIRE(validateChange(state, 1, "[]").error().kind == ErrorKind::ConfigurationInvalid);
}
