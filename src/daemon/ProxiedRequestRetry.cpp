#include "daemon/ProxiedRequest.h"

/// \file
/// \brief Handles a failed attempt: resumes the stream, retries at another endpoint or ends the request with an error.

namespace jasminestack {

void ProxiedRequest::handleFailedAttempt(ErrorKind kind, const AttemptResult& attempt)
{
    RequestProxyContext& context = m_owner.context();
    endHopSpan(true);
    context.metrics.add(Counter::EndpointErrors, { m_endpoint.value, errorResponseFor(kind).name });
    reportOutcome(kind == ErrorKind::EndpointRefused ? EndpointAttemptOutcome::Refused
                                                     : EndpointAttemptOutcome::ConnectionFailed);

    m_attemptHistory.hasSentBytesToCaller = m_hasResponseBegun;
    recordAttempt(m_attemptHistory, attempt);
    bool isModel = m_resolved.kind == PoolKind::Model;
    RetryRules rules { .isIdempotent = m_resolved.isIdempotent,
        .isResumable = m_relayMode == RelayMode::Events && m_isResumable,
        .maxRetries = context.configuration().limits.retryAttempts };
    // The deadline applies to the start of the response; a stream that has begun may continue after it.
    Millis timeLeft = m_hasResponseBegun ? Millis { 1 } : m_deadline - context.clock.now();
    RetryDecision decision = m_caller
        ? decideRetry(context.retryBudget, m_resolved.pool, rules, m_attemptHistory, attempt, timeLeft)
        : RetryDecision::GiveUp;
    if (decision == RetryDecision::Resume) {
        context.metrics.add(Counter::Resumes, { m_resolved.pool.value });
        m_sseScanner.prepareToResume();
        startAttempt(true);
        return;
    }
    if (attempt.requestMayHaveBeenSent && !attempt.refusedBeforeRunning) {
        reportPossibleCrash(kind);
        if (isModel)
            m_owner.cancelStream(m_endpointAddress, m_attemptId);
    }
    if (decision == RetryDecision::Retry) {
        context.metrics.add(Counter::Retries, { m_resolved.pool.value });
        enqueueRetry();
        return;
    }
    std::string message = "endpoint " + m_endpoint.value + " failed: " + std::string(errorResponseFor(kind).name);
    if (m_relayMode == RelayMode::Events && m_hasResponseBegun)
        message += " after " + std::to_string(m_sseScanner.tokenCount()) + " tokens";
    endWithError({ .kind = kind, .message = std::move(message) }, runStatus(m_attemptHistory));
}

void ProxiedRequest::enqueueRetry()
{
    m_triedEndpoints.push_back(m_endpoint);
    releaseSlot(false);
    m_sseScanner = {};
    m_chargedTokens = 0;
    m_meteredTokens = 0;
    m_isResumable = true;
    enqueue();
}

void ProxiedRequest::reportPossibleCrash(ErrorKind kind)
{
    // A broken connection can mean that the endpoint crashed on the request's content. Timeouts and mismatched
    // responses are not attributed to the content.
    if (kind == ErrorKind::EndpointLost || kind == ErrorKind::AnswerTruncated
        || (kind == ErrorKind::EndpointUnavailable && m_isResuming))
        m_owner.recordContentLoss(m_resolved.contentHash, m_endpoint);
}

}
