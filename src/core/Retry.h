#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Identifier.h"

#include <cstdint>
#include <map>

/// \file
/// \brief Decides the run status of a request and whether a failed attempt is followed by another.

namespace jasminestack {

/// \brief What is known about the attempts of one request.
struct AttemptHistory {
    unsigned attempts { 0 }; ///< Attempts that have ended.
    bool mayHaveReachedEndpoint { false }; ///< A byte of any attempt may have left and was not provably refused.
    bool completeAnswer { false }; ///< An endpoint's complete answer has arrived.
    bool hasSentBytesToCaller { false };
};

/// \brief How one attempt ended.
struct AttemptResult {
    bool isComplete { false };
    bool requestMayHaveBeenSent { false };
    int httpStatus { 0 }; ///< 0 if no status line arrived.
    bool refusedBeforeRunning { false }; ///< 429 or 503 with `X-Not-Run: 1`.
};

/// \brief Adds one attempt to the history.
void recordAttempt(AttemptHistory&, const AttemptResult&) noexcept;

/// \returns The run status to tell the caller. NotRun only if no attempt can have reached an endpoint or each was
/// refused.
[[nodiscard]] RunStatus runStatus(const AttemptHistory&) noexcept;

/// \brief What a request allows.
struct RetryRules {
    bool isIdempotent { false }; ///< Running it twice does no harm.
    bool isResumable { false }; ///< The endpoint can continue its stream at a token.
    unsigned maxRetries { 2 };
};

enum class RetryDecision : std::uint8_t {
    GiveUp,
    Retry, ///< Send the whole request again.
    Resume, ///< Continue the stream where it broke off.
};

/// \brief Token bucket per pool: retries may be at most a fraction of the requests, so a failing pool gets no retry
/// storm.
struct RetryBudget {
    struct Bucket {
        double tokens { minimumTokens };
    };

    /// Allows a few retries in a pool with little traffic.
    static constexpr double minimumTokens = 10.0;
    static constexpr double maximumTokens = 100.0;

    std::map<PoolId, Bucket> buckets;
};

/// \brief Credits the pool's bucket; call it once for each new request.
/// \param ratio Retries per request, for example 0.1.
void creditRetryBudget(RetryBudget&, const PoolId&, double ratio);

/// \brief Decides what follows a failed attempt; takes a token from the bucket unless it gives up.
/// An attempt that provably did not run may be repeated even for a non-idempotent request.
[[nodiscard]] RetryDecision decideRetry(
    RetryBudget&, const PoolId&, const RetryRules&, const AttemptHistory&, const AttemptResult& last, Millis timeLeft);

}
