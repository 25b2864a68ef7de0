#include "core/Claims.h"

#include "base/Random.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace jasminestack;

namespace {

// Log in memory: records get offsets in the order in which they are appended.
struct FakeLog {
    std::vector<LogRecord> records;
    std::int64_t firstRetained { 0 };

    void append(const std::string& payload, Millis time)
    {
        records.push_back(
            { .offset = static_cast<std::int64_t>(records.size()), .timestampMs = time.count, .payload = payload });
    }

    std::span<const LogRecord> from(std::int64_t offset) const
    {
        return std::span(records).subspan(static_cast<std::size_t>(std::max(offset, firstRetained)));
    }
};

constexpr ClaimOptions oneStream { .streamCount = 1 };

ClaimRequest request(std::string key, std::string claimId, Millis deadline, std::uint64_t contentHash = 7)
{
    return { .key = std::move(key), .claimId = std::move(claimId), .contentHash = contentHash, .deadline = deadline };
}

void appendAll(ClaimState& state, FakeLog& log, Millis now)
{
    for (const ClaimAppend& append : takeAppends(state))
        log.append(append.record, now);
}

void readAll(ClaimState& state, const FakeLog& log, Millis now)
{
    onClaimRecords(state, 0, log.firstRetained, log.from(state.nextOffset[0]), now);
}

std::optional<ClaimVerdict> onlyVerdict(ClaimState& state)
{
    auto decisions = takeDecisions(state);
    REQUIRE(decisions.size() <= 1);
    return decisions.empty() ? std::nullopt : std::optional(decisions.front().verdict);
}

}

// Guards against running a call as soon as its claim is appended: another daemon's claim may precede it in the log.
TEST_CASE("a call runs only after its claim was read back as the first of the key", "[claims]")
{
    FakeLog log;
    Millis now { 1'000 };
    ClaimState daemonA = makeClaimState(oneStream, "a");
    ClaimState daemonB = makeClaimState(oneStream, "b");
    beginClaim(daemonA, request("k", "a1", { 9'000 }), now, now);
    beginClaim(daemonB, request("k", "b1", { 9'000 }), now, now);
    appendAll(daemonB, log, now);
    appendAll(daemonA, log, now);
    REQUIRE(!onlyVerdict(daemonA));
    readAll(daemonA, log, now);
    REQUIRE(!onlyVerdict(daemonA));
    readAll(daemonB, log, now);
    REQUIRE(onlyVerdict(daemonB) == ClaimVerdict::Run);

    SECTION("a repeated call gets the stored response")
    {
        finishClaim(daemonB, "b1", RunStatus::Ran,
            { .httpStatus = 201, .contentType = "application/json", .body = "{\"id\":1}", .isBodyStored = true }, now);
        appendAll(daemonB, log, now);
        readAll(daemonA, log, now);
        auto decisions = takeDecisions(daemonA);
        REQUIRE(decisions.size() == 1);
        REQUIRE(decisions[0].verdict == ClaimVerdict::Replay);
        REQUIRE(decisions[0].response.httpStatus == 201);
        REQUIRE(decisions[0].response.body == "{\"id\":1}");
    }
    SECTION("a call that was provably not run lets the next claim run")
    {
        finishClaim(daemonB, "b1", RunStatus::NotRun, {}, now);
        appendAll(daemonB, log, now);
        readAll(daemonA, log, now);
        REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::Run);
    }
    SECTION("a call without a complete response has an unknown run status for repeated calls")
    {
        finishClaim(daemonB, "b1", RunStatus::Unknown, {}, now);
        appendAll(daemonB, log, now);
        readAll(daemonA, log, now);
        REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::Unknown);
    }
    SECTION("an unfinished first claim is in progress at the deadline")
    {
        tickClaims(daemonA, { 9'000 });
        REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::InProgress);
    }
}

// Guards against a delayed append that makes a call run after its caller received the run status not_run.
TEST_CASE("a claim that timed out never runs, even if its append reaches the log later", "[claims]")
{
    FakeLog log;
    ClaimState daemonA = makeClaimState(oneStream, "a");
    beginClaim(daemonA, request("k", "a1", { 2'000 }), { 1'000 }, { 1'000 });
    auto delayed = takeAppends(daemonA);
    tickClaims(daemonA, { 2'000 });
    REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::Unavailable);
    appendAll(daemonA, log, { 2'000 });
    log.append(delayed.at(0).record, { 2'100 });
    readAll(daemonA, log, { 2'100 });
    REQUIRE(!onlyVerdict(daemonA));

    ClaimState daemonB = makeClaimState(oneStream, "b");
    readAll(daemonB, log, { 2'200 });
    beginClaim(daemonB, request("k", "b1", { 9'000 }), { 2'200 }, { 2'200 });
    appendAll(daemonB, log, { 2'200 });
    readAll(daemonB, log, { 2'200 });
    REQUIRE(onlyVerdict(daemonB) == ClaimVerdict::Run);
}

// Guards against replaying the response of one call to a different call under the same key.
TEST_CASE("a key that was used with different content is refused", "[claims]")
{
    FakeLog log;
    ClaimState daemonA = makeClaimState(oneStream, "a");
    beginClaim(daemonA, request("k", "a1", { 9'000 }, 1), {}, {});
    appendAll(daemonA, log, {});
    readAll(daemonA, log, {});
    REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::Run);
    beginClaim(daemonA, request("k", "a2", { 9'000 }, 2), {}, {});
    REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::KeyReused);
}

// Guards against running a key's call again after its claims have left the claim window or the log.
TEST_CASE("keys with a time outside the claim window are refused", "[claims]")
{
    auto timeOfUuid = timeOfKey("018bcfe5-6800-7000-8000-000000000000");
    REQUIRE(timeOfUuid);
    REQUIRE(timeOfUuid->count == 1'700'000'000'000);
    REQUIRE(!timeOfKey("018bcfe5-6800-4000-8000-000000000000"));
    ClaimState daemonA = makeClaimState({ .streamCount = 1, .claimWindow = { 600'000 } }, "a");
    for (std::int64_t age : { 600'000, 541'000, -61'000 }) {
        ClaimRequest rejectedRequest = request("k" + std::to_string(age), "a" + std::to_string(age), { 9'000 });
        rejectedRequest.keyTime = timeOfUuid;
        beginClaim(daemonA, rejectedRequest, {}, *timeOfUuid + Millis { age });
        REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::KeyExpired);
    }
    ClaimRequest acceptedRequest = request("k", "a1", { 9'000 });
    acceptedRequest.keyTime = timeOfUuid;
    beginClaim(daemonA, acceptedRequest, {}, *timeOfUuid + Millis { 500'000 });
    REQUIRE(!onlyVerdict(daemonA));
    REQUIRE(takeAppends(daemonA).size() == 1);
}

// Guards against deciding from a log with a gap: another claim may have preceded this one in the removed records.
TEST_CASE("a retention gap fails the waiting calls", "[claims]")
{
    FakeLog log;
    ClaimState daemonA = makeClaimState(oneStream, "a");
    log.append("{}", {});
    readAll(daemonA, log, {});
    beginClaim(daemonA, request("k", "a1", { 9'000 }), {}, {});
    appendAll(daemonA, log, {});
    log.append("{}", {});
    log.firstRetained = 2;
    readAll(daemonA, log, {});
    REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::Unavailable);
}

// Guards against a failure to read the log after damaged records or records of other programs.
TEST_CASE("malformed claim records are skipped", "[claims]")
{
    FakeLog log;
    ClaimState daemonA = makeClaimState(oneStream, "a");
    for (const char* text :
        { "", "[", "[1,{}]", "{\"kind\":\"claim\",\"key\":1}", "{\"kind\":\"claim\",\"key\":\"k\",\"claim\":\"x\"}" })
        log.append(text, {});
    readAll(daemonA, log, {});
    beginClaim(daemonA, request("k", "a1", { 9'000 }), {}, {});
    appendAll(daemonA, log, {});
    readAll(daemonA, log, {});
    REQUIRE(onlyVerdict(daemonA) == ClaimVerdict::Run);
}

// Guards against a second run of a key under lost, delayed and retried appends, slow readers and cold restarts.
TEST_CASE("a key runs at most once across daemons and restarts", "[claims]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        FakeLog log;
        std::deque<std::string> delayed;
        std::vector<ClaimState> daemons;
        for (int i = 0; i < 3; ++i)
            daemons.push_back(makeClaimState(oneStream, "d" + std::to_string(i)));
        std::map<std::string, int> runs; // By key, without calls that ended as not run.
        std::map<std::string, std::string> keyOfClaim;
        std::set<std::string> claimsReportedNotRun;
        Millis now { 0 };
        for (int step = 0; step < 400; ++step) {
            now += Millis { 50 };
            ClaimState& daemon = daemons[random.uniformInteger(daemons.size())];
            if (random.uniformInteger(4) == 0) {
                std::string key = "k" + std::to_string(random.uniformInteger(5));
                std::string claimId = "c" + std::to_string(step);
                keyOfClaim[claimId] = key;
                beginClaim(daemon, request(key, claimId, now + Millis { 2'000 }), now, now);
            }
            for (const ClaimAppend& append : takeAppends(daemon)) {
                auto chance = random.uniformInteger(10);
                if (chance < 6)
                    log.append(append.record, now);
                else if (chance < 8)
                    delayed.push_back(append.record);
            }
            if (!delayed.empty() && random.uniformInteger(3) == 0) {
                log.append(delayed.front(), now);
                delayed.pop_front();
            }
            if (random.uniformInteger(2) == 0)
                readAll(daemon, log, now);
            tickClaims(daemon, now);
            for (const ClaimDecision& decision : takeDecisions(daemon)) {
                const std::string& key = keyOfClaim.at(decision.claimId);
                if (decision.verdict == ClaimVerdict::Unavailable)
                    claimsReportedNotRun.insert(decision.claimId);
                if (decision.verdict != ClaimVerdict::Run)
                    continue;
                REQUIRE(!claimsReportedNotRun.contains(decision.claimId));
                auto chance = random.uniformInteger(4);
                if (chance == 0) {
                    finishClaim(daemon, decision.claimId, RunStatus::NotRun, {}, now);
                    continue;
                }
                INFO("seed " << seed << " key " << key);
                REQUIRE(++runs[key] == 1);
                if (chance == 1)
                    finishClaim(daemon, decision.claimId, RunStatus::Ran, { .httpStatus = 200 }, now);
                else if (chance == 2)
                    finishClaim(daemon, decision.claimId, RunStatus::Unknown, {}, now);
            }
            if (random.uniformInteger(50) == 0)
                daemon = makeClaimState(oneStream, daemon.daemonId);
        }
        REQUIRE(!runs.empty());
    }
}
