#include "daemon/ProxiedRequest.h"

/// \file
/// \brief What follows a failed attempt: resume, repetition elsewhere or an error.

namespace jasminestack {

void ProxiedRequest::attemptFailed(ErrorKind kind, const AttemptResult& end)
{
    RequestProxyContext& context = m_owner.context();
    endHop(true);
    context.metrics.add(Counter::EndpointErrors, { m_endpoint.value, errorResponseFor(kind).name });
    reportOutcome(kind == ErrorKind::EndpointRefused ? ExchangeOutcome::Refused : ExchangeOutcome::ConnectionFailed);

    m_history.hasSentBytesToCaller = m_answerBegun;
    recordAttempt(m_history, end);
    bool isModel = m_resolved.kind == PoolKind::Model;
    RetryRules rules { .isIdempotent = m_resolved.idempotent,
        .isResumable = m_relay == RelayMode::Events && m_resumable,
        .maxRetries = context.configuration().limits.retryAttempts };
    // The deadline is for the start of the answer; a stream that has begun may go on after it.
    Millis timeLeft = m_answerBegun ? Millis { 1 } : m_deadline - context.clock.now();
    RetryDecision decision = m_caller
        ? decideRetry(context.retryBudget, m_resolved.pool, rules, m_history, end, timeLeft)
        : RetryDecision::GiveUp;
    if (decision == RetryDecision::Resume) {
        context.metrics.add(Counter::Resumes, { m_resolved.pool.value });
        m_events.reconnect();
        startAttempt(true);
        return;
    }
    if (end.requestMayHaveBeenSent && !end.refusedBeforeRunning) {
        reportLoss(kind);
        if (isModel)
            m_owner.cancelStream(m_address, m_attemptId);
    }
    if (decision == RetryDecision::Retry) {
        context.metrics.add(Counter::Retries, { m_resolved.pool.value });
        repeatElsewhere();
        return;
    }
    std::string message = "endpoint " + m_endpoint.value + " failed: " + std::string(errorResponseFor(kind).name);
    if (m_relay == RelayMode::Events && m_answerBegun)
        message += " after " + std::to_string(m_events.tokens()) + " tokens";
    endWithError({ .kind = kind, .message = std::move(message) }, runStatus(m_history));
}

void ProxiedRequest::repeatElsewhere()
{
    m_avoid.push_back(m_endpoint);
    releaseSlot(false);
    m_events = {};
    m_reportedTokens = 0;
    m_countedTokens = 0;
    m_resumable = true;
    enqueue();
}

void ProxiedRequest::reportLoss(ErrorKind kind)
{
    // A broken connection can be a crash. Silence and wrong answers are not attributed to the request's content.
    if (kind == ErrorKind::EndpointLost || kind == ErrorKind::AnswerTruncated
        || (kind == ErrorKind::EndpointUnavailable && m_resuming))
        m_owner.contentLost(m_resolved.contentHash, m_endpoint);
}

}
