#include "core/CrashGuard.h"
#include "core/EndpointHealth.h"
#include "core/Retry.h"

#include <catch2/catch.hpp>

using namespace jasminestack;

// Guards against the run status not_run for a request that an endpoint may have received in an earlier attempt.
TEST_CASE("run status is not_run only if no attempt can have reached an endpoint", "[retry]")
{
    AttemptHistory history;
    REQUIRE(runStatus(history) == RunStatus::NotRun);
    recordAttempt(history, { .requestMayHaveBeenSent = false });
    recordAttempt(history, { .requestMayHaveBeenSent = true, .httpStatus = 503, .refusedBeforeRunning = true });
    REQUIRE(runStatus(history) == RunStatus::NotRun);
    recordAttempt(history, { .requestMayHaveBeenSent = true });
    REQUIRE(runStatus(history) == RunStatus::Unknown);
    recordAttempt(history, { .requestMayHaveBeenSent = false });
    REQUIRE(runStatus(history) == RunStatus::Unknown);
    recordAttempt(history, { .isComplete = true, .requestMayHaveBeenSent = true, .httpStatus = 200 });
    REQUIRE(runStatus(history) == RunStatus::Ran);
}

// Guards against running a request such as a booking twice: no retry after a byte of an attempt may have been sent.
TEST_CASE("a non-idempotent request is retried only if it provably did not run", "[retry]")
{
    RetryBudget budget;
    PoolId pool { "desk" };
    RetryRules rules { .isIdempotent = false };
    AttemptHistory history;
    AttemptResult refused { .requestMayHaveBeenSent = true, .httpStatus = 503, .refusedBeforeRunning = true };
    recordAttempt(history, refused);
    REQUIRE(decideRetry(budget, pool, rules, history, refused, { 1'000 }) == RetryDecision::Retry);
    AttemptResult broken { .requestMayHaveBeenSent = true };
    recordAttempt(history, broken);
    REQUIRE(decideRetry(budget, pool, rules, history, broken, { 1'000 }) == RetryDecision::GiveUp);
    AttemptResult notSent {};
    REQUIRE(decideRetry(budget, pool, rules, history, notSent, { 1'000 }) == RetryDecision::GiveUp);
}

// Guards against mixing tokens of two runs in one response.
TEST_CASE("after the first byte to the caller a stream may only be resumed", "[retry]")
{
    RetryBudget budget;
    PoolId pool { "p" };
    AttemptHistory history { .attempts = 1, .mayHaveReachedEndpoint = true, .hasSentBytesToCaller = true };
    AttemptResult broken { .requestMayHaveBeenSent = true };
    REQUIRE(decideRetry(budget, pool, { .isIdempotent = true, .isResumable = true }, history, broken, { 1 })
        == RetryDecision::Resume);
    REQUIRE(decideRetry(budget, pool, { .isIdempotent = true }, history, broken, { 1 }) == RetryDecision::GiveUp);
    REQUIRE(decideRetry(budget, pool, { .isIdempotent = true, .isResumable = true }, history, broken, {})
        == RetryDecision::GiveUp);
}

// Guards against a retry storm: a pool in which all attempts fail gets at most a tenth more requests.
TEST_CASE("retries stay within the pool's budget", "[retry]")
{
    RetryBudget budget;
    PoolId pool { "p" };
    int retries = 0;
    constexpr int requests = 1'000;
    for (int i = 0; i < requests; ++i) {
        creditRetryBudget(budget, pool, 0.1);
        AttemptHistory history;
        AttemptResult broken { .requestMayHaveBeenSent = true };
        do {
            recordAttempt(history, broken);
        } while (decideRetry(budget, pool, { .isIdempotent = true }, history, broken, { 1'000 }) == RetryDecision::Retry
            && ++retries);
        REQUIRE(history.attempts <= 3);
    }
    REQUIRE(retries <= requests / 10 + static_cast<int>(RetryBudget::initialTokens));
}

// Guards against a request that crashes one endpoint after another because it is retried after each loss.
TEST_CASE("a content that crashes endpoints is quarantined across the fleet", "[crash]")
{
    CrashGuardState guardA;
    CrashGuardState guardB;
    CrashGuardOptions options;
    Millis now { 1'000 };
    constexpr std::uint64_t crashingContent = 1;
    constexpr std::uint64_t harmlessContent = 2;
    for (std::uint64_t event = 10; event < 12; ++event) {
        onCrashMark(guardB, options, recordEndpointLoss(guardA, options, crashingContent, event, now), now);
        REQUIRE(crashVerdict(guardB, crashingContent, now) == CrashVerdict::Suspect);
    }
    // The same loss reported twice counts once.
    onCrashMark(guardB, options, { .contentHash = crashingContent, .lossCount = 2, .lossEventId = 11 }, now);
    REQUIRE(crashVerdict(guardB, crashingContent, now) == CrashVerdict::Suspect);
    onCrashMark(guardA, options, recordEndpointLoss(guardB, options, crashingContent, 12, now), now);
    REQUIRE(crashVerdict(guardA, crashingContent, now) == CrashVerdict::Quarantined);
    REQUIRE(crashVerdict(guardB, crashingContent, now) == CrashVerdict::Quarantined);

    // Completion of a content that ran on the same endpoint clears it at all daemons.
    onCrashMark(guardB, options, recordEndpointLoss(guardA, options, harmlessContent, 10, now), now);
    auto clearingMark = onContentCompleted(guardA, harmlessContent);
    REQUIRE(clearingMark);
    onCrashMark(guardB, options, *clearingMark, now);
    REQUIRE(crashVerdict(guardB, harmlessContent, now) == CrashVerdict::Clear);

    now += options.quarantineDuration;
    REQUIRE(crashVerdict(guardA, crashingContent, now) == CrashVerdict::Suspect);
    expireSuspects(guardA, options, now + options.suspectExpiry);
    REQUIRE(guardA.suspects.empty());
}

// Guards against unbounded memory if many different contents become crash suspects.
TEST_CASE("the number of crash suspects is bounded", "[crash]")
{
    CrashGuardState state;
    CrashGuardOptions options { .maxSuspects = 100 };
    for (std::uint64_t i = 0; i < 1'000; ++i)
        (void)recordEndpointLoss(state, options, i, i, Millis { static_cast<std::int64_t>(i) });
    REQUIRE(state.suspects.size() == 100);
    REQUIRE(state.suspects.contains(999));
}

namespace {

EndpointTable makeTableWithEndpoint(const EndpointId& id)
{
    Configuration configuration;
    PoolId pool { "p" };
    configuration.pools[pool]
        = { .id = pool, .endpoints = { { id, { .id = id, .address = "127.0.0.1:1", .slots = 8 } } } };
    EndpointTable table;
    applyConfiguration(table, configuration);
    return table;
}

}

// Guards against a lagging source that overrides the leaving state from a faster one.
TEST_CASE("an endpoint is leaving while any source reports it", "[endpoint-health]")
{
    EndpointId id { "e" };
    EndpointTable table = makeTableWithEndpoint(id);
    const EndpointState& endpoint = table.endpoints.at(id);
    Millis now { 1'000 };
    REQUIRE(acceptsRequests(endpoint, now));
    REQUIRE(onLoadReport(table, id, { .slots = 8, .leaving = true }, now));
    REQUIRE(!onHostListEntry(table, id, false, now));
    REQUIRE(!acceptsRequests(endpoint, now));
    REQUIRE(!onLoadReport(table, id, { .slots = 8, .leaving = false }, now));
    REQUIRE(acceptsRequests(endpoint, now));
    onEndpointLeavingUpdate(table, id, true, now);
    REQUIRE(!acceptsRequests(endpoint, now));
    REQUIRE(!onHostListEntry(table, id, false, now + Millis { 30'000 }));
    REQUIRE(acceptsRequests(endpoint, now + Millis { 30'000 }));
}

// Guards against counting ten requests that fail in one crash as ten failures, and against a permanent exclusion.
TEST_CASE("failed connections back an endpoint off for a bounded time", "[endpoint-health]")
{
    EndpointId id { "e" };
    EndpointTable table = makeTableWithEndpoint(id);
    const EndpointState& endpoint = table.endpoints.at(id);
    Millis now { 1'000 };
    for (int i = 0; i < 10; ++i)
        onEndpointAttemptEnd(table, id, EndpointAttemptOutcome::ConnectionFailed, now);
    REQUIRE(endpoint.consecutiveFailures == 1);
    for (int i = 0; i < 30; ++i) {
        now = endpoint.backoffUntil;
        onEndpointAttemptEnd(table, id, EndpointAttemptOutcome::ConnectionFailed, now);
    }
    REQUIRE(endpoint.backoffUntil - now <= Millis { 10'000 });
    onEndpointAttemptEnd(table, id, EndpointAttemptOutcome::Completed, now);
    REQUIRE(acceptsRequests(endpoint, now));
}

// Guards against overloading an endpoint to which other daemons send as well, and against a limit that never recovers.
TEST_CASE("the concurrency limit shrinks while requests wait at the endpoint and recovers", "[endpoint-health]")
{
    EndpointId id { "e" };
    EndpointTable table = makeTableWithEndpoint(id);
    const EndpointState& endpoint = table.endpoints.at(id);
    for (int i = 0; i < 20; ++i)
        (void)onLoadReport(table, id, { .slots = 8, .running = 8, .waiting = 8 }, {});
    REQUIRE(endpoint.concurrencyLimit == 4);
    for (int i = 0; i < 20; ++i)
        (void)onLoadReport(table, id, { .slots = 8, .running = 8, .waiting = 1 }, {});
    REQUIRE(endpoint.concurrencyLimit == 8);
}

// Guards against aborting running requests when their endpoint is removed from the configuration.
TEST_CASE("a removed endpoint stays in the table until its last request has ended", "[endpoint-health]")
{
    EndpointId id { "e" };
    EndpointTable table = makeTableWithEndpoint(id);
    table.endpoints.at(id).inFlight = 1;
    applyConfiguration(table, {});
    REQUIRE(table.endpoints.at(id).removed);
    table.endpoints.at(id).inFlight = 0;
    applyConfiguration(table, {});
    REQUIRE(table.endpoints.empty());
}
