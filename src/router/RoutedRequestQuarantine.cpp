#include "observe/Logging.h"
#include "router/RoutedRequest.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

// The part of a request's state machine that deals with requests that crash endpoints; see CrashAttribution.h.

namespace jasminestack {

namespace {

    // Least Retry-After value of requests with a quarantined trait.
    constexpr Millis minRetryAfterQuarantine { 2'000 };

}

void RoutedRequest::logLoss(std::string_view cause, bool hasAnswerBegun) const
{
    std::string parts;
    for (std::uint64_t part : m_metadata.sharedParts)
        absl::StrAppend(&parts, parts.empty() ? "" : ",", absl::Hex(part, absl::kZeroPad16));
    logEvent(LogLevel::Info, "attempt_lost",
        { { "request", m_metadata.id }, { "endpoint", m_placement.endpoint.value }, { "cause", cause },
            { "answer_begun", hasAnswerBegun ? 1 : 0 }, { "events", m_splitter.eventCount() },
            { "since_send_ms", (now() - m_placement.sentAt).count },
            { "content", absl::StrCat(absl::Hex(m_query.contentHash, absl::kZeroPad16)) }, { "parts", parts } });
}

TraitDecision RoutedRequest::crashDecision() const
{
    return decideByTraits(m_owner.context().board.crashes, crashAttributionOptions, m_traits, m_query.workspace);
}

bool RoutedRequest::passesQuarantine()
{
    RequestRouterContext& context = m_owner.context();
    TraitDecision decision = crashDecision();
    if (decision.verdict != TraitVerdict::Quarantined || m_isTrial)
        return true;
    Millis overdue = now() - decision.trialDueAt;
    if (overdue < Millis {} || (context.mayTry && !context.mayTry(decision.trait, overdue)))
        return false;
    m_isTrial = true;
    beginTrial(context.board.crashes, m_traits, m_query.workspace, now());
    context.onLoadChanged();
    logEvent(LogLevel::Info, "quarantine_trial",
        { { "request", m_metadata.id }, { "trait", absl::StrCat(absl::Hex(decision.trait, absl::kZeroPad16)) } });
    return true;
}

void RoutedRequest::endQuarantined()
{
    cancelPlacement();
    if (m_exchange != 0) {
        m_mayHaveRun = m_mayHaveRun || m_isConnected;
        cancelExchange();
        recordAttemptEnd(AttemptOutcome::Cancelled);
    }
    m_owner.context().metrics.add(Counter::Quarantined);
    // The caller's retry would be refused, too, until the next trial.
    Millis retryAfter = std::max(crashDecision().trialDueAt - now(), minRetryAfterQuarantine);
    endWithError({ .kind = m_mayHaveRun ? ErrorKind::EndpointLost : ErrorKind::RequestQuarantined,
        .cause = "crashes_endpoints",
        .retryAfter = retryAfter });
}

void RoutedRequest::applyQuarantines()
{
    bool isRunningOnce = m_stage == Stage::InFlight && m_route.kind == RequestKind::NonIdempotent;
    if (m_stage == Stage::Ended || m_hasResponseBegun || isRunningOnce || m_isTrial
        || crashDecision().verdict != TraitVerdict::Quarantined)
        return;
    endQuarantined();
}

void RoutedRequest::recordEndpointLoss(bool hasAnswerBegun)
{
    if (m_isAnswerSound)
        return;
    // Model engines answer event by event and batch their requests, so that only an answer shows that one has begun.
    auto pool = m_table->pools.find(m_pool);
    bool isModel = pool != m_table->pools.end() && pool->second.isModel;
    bool hasBegun = hasAnswerBegun || (!isModel && m_placement.hasSlot);
    jasminestack::recordLoss(m_owner.context().board.crashes, crashAttributionOptions, m_placement.instanceId,
        { .workspace = m_query.workspace,
            .hasBegun = hasBegun,
            .sentAt = m_placement.sentAt,
            .content = m_query.contentHash,
            .traits = m_traits },
        now());
    m_owner.attributeLosses();
}

void RoutedRequest::recordSoundAnswer()
{
    if (std::exchange(m_isAnswerSound, true))
        return;
    if (recordAnswer(m_owner.context().board.crashes, crashAttributionOptions, m_traits, now()))
        logEvent(LogLevel::Info, "quarantine_ended",
            { { "request", m_metadata.id }, { "endpoint", m_placement.endpoint.value } });
}

}
