#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Identifier.h"

#include <cstdint>
#include <map>

/// \file
/// \brief Determines the run status of a request and decides whether a failed attempt is followed by a retry.

namespace jasminestack {

/// \brief Outcome of all attempts of one request so far.
struct AttemptHistory {
    unsigned attempts { 0 }; ///< Attempts that have ended.
    bool mayHaveReachedEndpoint { false }; ///< An attempt that was not refused may have sent bytes of the request.
    bool hasCompleteResponse { false }; ///< A complete response of an endpoint has arrived.
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

/// \returns The run status to report to the caller. NotRun only if each attempt was refused or cannot have reached an
/// endpoint.
[[nodiscard]] RunStatus runStatus(const AttemptHistory&) noexcept;

/// \brief Kinds and number of retries that a request allows.
struct RetryRules {
    bool isIdempotent { false }; ///< The request may run more than once.
    bool isResumable { false }; ///< The endpoint can continue its response stream at a given token.
    unsigned maxRetries { 2 };
};

enum class RetryDecision : std::uint8_t {
    GiveUp,
    Retry, ///< Send the whole request again.
    Resume, ///< Continue the response stream after the last token received.
};

/// \brief Token bucket per pool. It limits retries to a fraction of the requests, so a failing pool gets no retry
/// storm.
struct RetryBudget {
    struct Bucket {
        double tokens { initialTokens };
    };

    /// Initial number of tokens. Allows a few retries before a new pool has received enough requests to earn them.
    static constexpr double initialTokens = 10.0;
    static constexpr double maximumTokens = 100.0;

    std::map<PoolId, Bucket> buckets;
};

/// \brief Adds tokens to the pool's bucket; to be called once for each new request.
/// \param ratio Allowed retries per request, for example 0.1.
void creditRetryBudget(RetryBudget&, const PoolId&, double ratio);

/// \brief Decides what follows a failed attempt. Each retry or resumption takes a token from the pool's bucket.
/// An attempt that provably did not run may be retried even for a non-idempotent request.
/// \param timeLeft Time until the request's deadline.
[[nodiscard]] RetryDecision decideRetry(
    RetryBudget&, const PoolId&, const RetryRules&, const AttemptHistory&, const AttemptResult& last, Millis timeLeft);

}
