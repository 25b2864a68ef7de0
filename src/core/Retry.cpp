#include "core/Retry.h"

#include <algorithm>

namespace jasminestack {

namespace {

    bool takeToken(RetryBudget& budget, const PoolId& pool)
    {
        auto& bucket = budget.buckets[pool];
        if (bucket.tokens < 1.0)
            return false;
        bucket.tokens -= 1.0;
        return true;
    }

    bool isProvablyNotRun(const AttemptResult& result) noexcept
    {
        return !result.requestMayHaveBeenSent || result.refusedBeforeRunning;
    }

}

void recordAttempt(AttemptHistory& history, const AttemptResult& result) noexcept
{
    ++history.attempts;
    history.hasCompleteResponse |= result.isComplete && !result.refusedBeforeRunning;
    history.mayHaveReachedEndpoint |= !isProvablyNotRun(result);
}

RunStatus runStatus(const AttemptHistory& history) noexcept
{
    if (history.hasCompleteResponse)
        return RunStatus::Ran;
    return history.mayHaveReachedEndpoint ? RunStatus::Unknown : RunStatus::NotRun;
}

void creditRetryBudget(RetryBudget& budget, const PoolId& pool, double ratio)
{
    auto& bucket = budget.buckets[pool];
    bucket.tokens = std::min(bucket.tokens + ratio, RetryBudget::maximumTokens);
}

RetryDecision decideRetry(RetryBudget& budget, const PoolId& pool, const RetryRules& rules,
    const AttemptHistory& history, const AttemptResult& last, Millis timeLeft)
{
    if (history.hasCompleteResponse || history.attempts > rules.maxRetries || timeLeft <= Millis {})
        return RetryDecision::GiveUp;
    if (history.hasSentBytesToCaller) {
        // A second run could produce different tokens, so only a continuation of the same stream matches the sent
        // bytes.
        return rules.isResumable && takeToken(budget, pool) ? RetryDecision::Resume : RetryDecision::GiveUp;
    }
    bool isSafeToRetry = rules.isIdempotent || (isProvablyNotRun(last) && !history.mayHaveReachedEndpoint);
    return isSafeToRetry && takeToken(budget, pool) ? RetryDecision::Retry : RetryDecision::GiveUp;
}

}
