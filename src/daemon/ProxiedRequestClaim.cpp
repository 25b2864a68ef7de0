#include "daemon/ProxiedRequest.h"

#include "net/HttpResponseParser.h"

/// \file
/// \brief The part of a request's life that concerns its idempotency key.

namespace jasminestack {

namespace {

    constexpr std::size_t maxKeyLength = 255;

}

void ProxiedRequest::begin()
{
    std::string_view key = m_request.header("Idempotency-Key");
    if (m_resolved.idempotent || (key.empty() && !m_resolved.keyRequired)) {
        enqueue();
        return;
    }
    ClaimService* claims = m_owner.context().claims;
    if (key.empty() || key.size() > maxKeyLength) {
        refuse({ .kind = ErrorKind::IdempotencyKeyInvalid,
            .message = "this call needs an Idempotency-Key header of 1 to 255 characters" });
        return;
    }
    if (!claims) {
        refuse({ .kind = ErrorKind::ClaimsUnavailable, .message = "idempotency keys cannot be claimed now" });
        return;
    }
    m_stage = Stage::Claiming;
    startHop("claim");
    m_claim = claims->begin({ .workspace = m_resolved.workspace.value,
                                .key = key,
                                .contentHash = m_resolved.contentHash,
                                .deadline = m_deadline },
        [this](const ClaimDecision& decision) { onClaimDecision(decision); });
}

void ProxiedRequest::onClaimDecision(const ClaimDecision& decision)
{
    m_stage = Stage::Queued;
    endHop(decision.verdict != ClaimVerdict::Run);
    if (decision.verdict == ClaimVerdict::Run) {
        enqueue();
        return;
    }
    m_claim.clear();
    switch (decision.verdict) {
    case ClaimVerdict::Run:
        break;
    case ClaimVerdict::Replay:
        replay(decision.response);
        break;
    case ClaimVerdict::InProgress:
        endWithError({ .kind = ErrorKind::IdempotencyInProgress,
                         .message = "another call with this key had not finished by the deadline" },
            RunStatus::Unknown);
        break;
    case ClaimVerdict::Unknown:
        endWithError(
            { .kind = ErrorKind::EndpointLost, .message = "the call with this key ended without a complete answer" },
            RunStatus::Unknown);
        break;
    case ClaimVerdict::Unavailable:
        endWithError(
            { .kind = ErrorKind::ClaimsUnavailable,
                .message = "the idempotency key could not be claimed by the deadline; this attempt was not run" },
            RunStatus::NotRun);
        break;
    case ClaimVerdict::KeyReused:
        endWithError(
            { .kind = ErrorKind::IdempotencyKeyReused, .message = "this key was used for a call with other content" },
            RunStatus::NotRun);
        break;
    case ClaimVerdict::KeyExpired:
        endWithError({ .kind = ErrorKind::IdempotencyKeyExpired,
                         .message = "the time in this key is outside the window in which keys are honoured" },
            RunStatus::NotRun);
        break;
    }
}

void ProxiedRequest::replay(const StoredResponse& answer)
{
    if (!answer.isBodyStored) {
        endWithError({ .kind = ErrorKind::AnswerNotKept,
                         .message = "the call with this key has run; its answer was too long to be kept" },
            RunStatus::Ran);
        return;
    }
    m_finalStatus = RunStatus::Ran;
    if (CallerExchange* caller = std::exchange(m_caller, nullptr)) {
        CallerResponseHead head { .status = answer.httpStatus,
            .headers = { { "X-Request-Id", m_id.value }, { "Idempotency-Replayed", "true" } } };
        if (!answer.contentType.empty())
            head.headers.emplace_back("Content-Type", answer.contentType);
        caller->sendResponse(head, answer.body);
    }
    finish("replayed");
}

void ProxiedRequest::settleClaim()
{
    if (m_claim.empty())
        return;
    ClaimService& claims = *m_owner.context().claims;
    if (m_stage == Stage::Claiming) {
        claims.abandon(m_claim);
        return;
    }
    StoredResponse answer;
    if (m_finalStatus == RunStatus::Ran) {
        answer
            = { .httpStatus = m_head.status, .contentType = std::string(findHeader(m_head.headers, "Content-Type")) };
        // An answer that was passed on as it came is not kept; its length is above any limit.
        answer.isBodyStored = m_relay == RelayMode::Whole;
        answer.body = std::move(m_body);
    }
    claims.finish(m_claim, m_finalStatus, std::move(answer));
}

}
