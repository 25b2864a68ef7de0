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

    bool provablyNotRun(const AttemptResult& end) noexcept
    {
        return !end.requestMayHaveBeenSent || end.refusedBeforeRunning;
    }

}

void recordAttempt(AttemptHistory& history, const AttemptResult& end) noexcept
{
    ++history.attempts;
    history.completeAnswer |= end.isComplete && !end.refusedBeforeRunning;
    history.mayHaveReachedEndpoint |= !provablyNotRun(end);
}

RunStatus runStatus(const AttemptHistory& history) noexcept
{
    if (history.completeAnswer)
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
    if (history.completeAnswer || history.attempts > rules.maxRetries || timeLeft <= Millis {})
        return RetryDecision::GiveUp;
    if (history.hasSentBytesToCaller) {
        // A second run could produce other tokens, so only a continuation of the same stream fits what was sent.
        return rules.isResumable && takeToken(budget, pool) ? RetryDecision::Resume : RetryDecision::GiveUp;
    }
    bool safe = rules.isIdempotent || (provablyNotRun(last) && !history.mayHaveReachedEndpoint);
    return safe && takeToken(budget, pool) ? RetryDecision::Retry : RetryDecision::GiveUp;
}

}
