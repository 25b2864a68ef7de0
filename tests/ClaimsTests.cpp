#include "core/Claims.h"

#include "base/Random.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace jasminestack;

namespace {

// The log as the claims see it: records get offsets in the order in which they arrive.
struct FakeLog {
    std::vector<LogRecord> records;
    std::int64_t first { 0 };

    void append(const std::string& payload, Millis time)
    {
        records.push_back(
            { .offset = static_cast<std::int64_t>(records.size()), .timestampMs = time.count, .payload = payload });
    }

    std::span<const LogRecord> from(std::int64_t offset) const
    {
        return std::span(records).subspan(static_cast<std::size_t>(std::max(offset, first)));
    }
};

constexpr ClaimOptions oneStream { .streamCount = 1 };

ClaimRequest request(std::string key, std::string claim, Millis deadline, std::uint64_t content = 7)
{
    return { .key = std::move(key), .claimId = std::move(claim), .contentHash = content, .deadline = deadline };
}

void flush(ClaimState& state, FakeLog& log, Millis now)
{
    for (const ClaimAppend& append : takeAppends(state))
        log.append(append.record, now);
}

void readAll(ClaimState& state, const FakeLog& log, Millis now)
{
    onClaimRecords(state, 0, log.first, log.from(state.nextOffset[0]), now);
}

std::optional<ClaimVerdict> onlyVerdict(ClaimState& state)
{
    auto decisions = takeDecisions(state);
    REQUIRE(decisions.size() <= 1);
    return decisions.empty() ? std::nullopt : std::optional(decisions.front().verdict);
}

}

// Guards against running on the strength of a successful append: another daemon's claim may stand before it.
TEST_CASE("a call runs only after its own claim was read back first", "[claims]")
{
    FakeLog log;
    Millis now { 1'000 };
    ClaimState a = makeClaimState(oneStream, "a");
    ClaimState b = makeClaimState(oneStream, "b");
    beginClaim(a, request("k", "a1", { 9'000 }), now, now);
    beginClaim(b, request("k", "b1", { 9'000 }), now, now);
    flush(b, log, now);
    flush(a, log, now);
    REQUIRE(!onlyVerdict(a));
    readAll(a, log, now);
    REQUIRE(!onlyVerdict(a));
    readAll(b, log, now);
    REQUIRE(onlyVerdict(b) == ClaimVerdict::Run);

    SECTION("a repeat gets the stored answer")
    {
        finishClaim(b, "b1", RunStatus::Ran,
            { .httpStatus = 201, .contentType = "application/json", .body = "{\"id\":1}", .isBodyStored = true }, now);
        flush(b, log, now);
        readAll(a, log, now);
        auto decisions = takeDecisions(a);
        REQUIRE(decisions.size() == 1);
        REQUIRE(decisions[0].verdict == ClaimVerdict::Replay);
        REQUIRE(decisions[0].response.httpStatus == 201);
        REQUIRE(decisions[0].response.body == "{\"id\":1}");
    }
    SECTION("a call that was provably not run lets the next claim run")
    {
        finishClaim(b, "b1", RunStatus::NotRun, {}, now);
        flush(b, log, now);
        readAll(a, log, now);
        REQUIRE(onlyVerdict(a) == ClaimVerdict::Run);
    }
    SECTION("a call without a complete answer is unknown to repeats")
    {
        finishClaim(b, "b1", RunStatus::Unknown, {}, now);
        flush(b, log, now);
        readAll(a, log, now);
        REQUIRE(onlyVerdict(a) == ClaimVerdict::Unknown);
    }
    SECTION("an unfinished first claim is in progress at the deadline")
    {
        tickClaims(a, { 9'000 });
        REQUIRE(onlyVerdict(a) == ClaimVerdict::InProgress);
    }
}

// Guards against a late append that makes a call run after its caller was told that it was not run.
TEST_CASE("a claim that was given up never runs, even if its append shows up later", "[claims]")
{
    FakeLog log;
    ClaimState a = makeClaimState(oneStream, "a");
    beginClaim(a, request("k", "a1", { 2'000 }), { 1'000 }, { 1'000 });
    auto delayed = takeAppends(a);
    tickClaims(a, { 2'000 });
    REQUIRE(onlyVerdict(a) == ClaimVerdict::Unavailable);
    flush(a, log, { 2'000 });
    log.append(delayed.at(0).record, { 2'100 });
    readAll(a, log, { 2'100 });
    REQUIRE(!onlyVerdict(a));

    ClaimState b = makeClaimState(oneStream, "b");
    readAll(b, log, { 2'200 });
    beginClaim(b, request("k", "b1", { 9'000 }), { 2'200 }, { 2'200 });
    flush(b, log, { 2'200 });
    readAll(b, log, { 2'200 });
    REQUIRE(onlyVerdict(b) == ClaimVerdict::Run);
}

// Guards against treating a different call under a reused key as a repeat.
TEST_CASE("a key with other content is refused", "[claims]")
{
    FakeLog log;
    ClaimState a = makeClaimState(oneStream, "a");
    beginClaim(a, request("k", "a1", { 9'000 }, 1), {}, {});
    flush(a, log, {});
    readAll(a, log, {});
    REQUIRE(onlyVerdict(a) == ClaimVerdict::Run);
    beginClaim(a, request("k", "a2", { 9'000 }, 2), {}, {});
    REQUIRE(onlyVerdict(a) == ClaimVerdict::KeyReused);
}

// Guards against running a key again whose claims the log no longer holds.
TEST_CASE("keys that carry a time outside the window are refused", "[claims]")
{
    auto time = timeOfKey("018bcfe5-6800-7000-8000-000000000000");
    REQUIRE(time);
    REQUIRE(time->count == 1'700'000'000'000);
    REQUIRE(!timeOfKey("018bcfe5-6800-4000-8000-000000000000"));
    ClaimState a = makeClaimState({ .streamCount = 1, .claimWindow = { 600'000 } }, "a");
    for (std::int64_t age : { 600'000, 541'000, -61'000 }) {
        ClaimRequest old = request("k" + std::to_string(age), "a" + std::to_string(age), { 9'000 });
        old.keyTime = time;
        beginClaim(a, old, {}, *time + Millis { age });
        REQUIRE(onlyVerdict(a) == ClaimVerdict::KeyExpired);
    }
    ClaimRequest young = request("k", "a1", { 9'000 });
    young.keyTime = time;
    beginClaim(a, young, {}, *time + Millis { 500'000 });
    REQUIRE(!onlyVerdict(a));
    REQUIRE(takeAppends(a).size() == 1);
}

// Guards against deciding from a log with a hole: the own claim may have been second in the part that is gone.
TEST_CASE("a retention gap fails the calls that wait", "[claims]")
{
    FakeLog log;
    ClaimState a = makeClaimState(oneStream, "a");
    log.append("{}", {});
    readAll(a, log, {});
    beginClaim(a, request("k", "a1", { 9'000 }), {}, {});
    flush(a, log, {});
    log.append("{}", {});
    log.first = 2;
    readAll(a, log, {});
    REQUIRE(onlyVerdict(a) == ClaimVerdict::Unavailable);
}

// Guards against log records that other programs wrote or that were damaged.
TEST_CASE("malformed claim records are skipped", "[claims]")
{
    FakeLog log;
    ClaimState a = makeClaimState(oneStream, "a");
    for (const char* text :
        { "", "[", "[1,{}]", "{\"kind\":\"claim\",\"key\":1}", "{\"kind\":\"claim\",\"key\":\"k\",\"claim\":\"x\"}" })
        log.append(text, {});
    readAll(a, log, {});
    beginClaim(a, request("k", "a1", { 9'000 }), {}, {});
    flush(a, log, {});
    readAll(a, log, {});
    REQUIRE(onlyVerdict(a) == ClaimVerdict::Run);
}

// Guards the at-most-once guarantee under lost and delayed appends, slow readers, cold restarts and resends.
TEST_CASE("a key runs at most once across daemons and restarts", "[claims]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        FakeLog log;
        std::deque<std::string> delayed;
        std::vector<ClaimState> daemons;
        for (int i = 0; i < 3; ++i)
            daemons.push_back(makeClaimState(oneStream, "d" + std::to_string(i)));
        std::map<std::string, int> runs; // By key, without the runs that provably did not happen.
        std::map<std::string, std::string> keyOfClaim;
        std::set<std::string> toldNotRun;
        Millis now { 0 };
        for (int step = 0; step < 400; ++step) {
            now += Millis { 50 };
            ClaimState& daemon = daemons[random.uniformInteger(daemons.size())];
            if (random.uniformInteger(4) == 0) {
                std::string key = "k" + std::to_string(random.uniformInteger(5));
                std::string claim = "c" + std::to_string(step);
                keyOfClaim[claim] = key;
                beginClaim(daemon, request(key, claim, now + Millis { 2'000 }), now, now);
            }
            for (const ClaimAppend& append : takeAppends(daemon)) {
                auto fate = random.uniformInteger(10);
                if (fate < 6)
                    log.append(append.record, now);
                else if (fate < 8)
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
                    toldNotRun.insert(decision.claimId);
                if (decision.verdict != ClaimVerdict::Run)
                    continue;
                REQUIRE(!toldNotRun.contains(decision.claimId));
                auto fate = random.uniformInteger(4);
                if (fate == 0) {
                    finishClaim(daemon, decision.claimId, RunStatus::NotRun, {}, now);
                    continue;
                }
                INFO("seed " << seed << " key " << key);
                REQUIRE(++runs[key] == 1);
                if (fate == 1)
                    finishClaim(daemon, decision.claimId, RunStatus::Ran, { .httpStatus = 200 }, now);
                else if (fate == 2)
                    finishClaim(daemon, decision.claimId, RunStatus::Unknown, {}, now);
            }
            if (random.uniformInteger(50) == 0)
                daemon = makeClaimState(oneStream, daemon.daemon);
        }
        REQUIRE(!runs.empty());
    }
}
