#include "daemon/ProxiedRequest.h"

#include "net/HttpResponseParser.h"

/// \file
/// \brief The part of a request's state machine that claims its idempotency key and replays stored responses.

namespace jasminestack {

namespace {

    constexpr std::size_t maxKeyLength = 255;

}

void ProxiedRequest::claimOrEnqueue()
{
    std::string_view key = m_request.header("Idempotency-Key");
    if (m_resolved.isIdempotent || (key.empty() && !m_resolved.isKeyRequired)) {
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
        refuse({ .kind = ErrorKind::ClaimsUnavailable,
            .message = "idempotency keys cannot be claimed: this daemon has no claim service" });
        return;
    }
    m_stage = Stage::Claiming;
    startStepSpan("claim");
    m_claimId = claims->begin({ .workspace = m_resolved.workspace.value,
                                  .key = key,
                                  .contentHash = m_resolved.contentHash,
                                  .deadline = m_deadline },
        [this](const ClaimDecision& decision) { onClaimDecision(decision); });
}

void ProxiedRequest::onClaimDecision(const ClaimDecision& decision)
{
    // The claim is decided, so finishClaim() must not cancel it.
    m_stage = Stage::Queued;
    endStepSpan(decision.verdict != ClaimVerdict::Run);
    if (decision.verdict == ClaimVerdict::Run) {
        enqueue();
        return;
    }
    // After any other decision the claim has ended and finishClaim() has nothing to report.
    m_claimId.clear();
    switch (decision.verdict) {
    case ClaimVerdict::Run:
        break;
    case ClaimVerdict::Replay:
        replayStoredResponse(decision.response);
        break;
    case ClaimVerdict::InProgress:
        endWithError({ .kind = ErrorKind::IdempotencyInProgress,
                         .message = "another call with this idempotency key was still in progress at the deadline" },
            RunStatus::Unknown);
        break;
    case ClaimVerdict::Unknown:
        endWithError({ .kind = ErrorKind::EndpointLost,
                         .message = "an earlier call with this idempotency key ended without a complete response" },
            RunStatus::Unknown);
        break;
    case ClaimVerdict::Unavailable:
        endWithError({ .kind = ErrorKind::ClaimsUnavailable,
                         .message = "the idempotency key could not be claimed by the deadline; this call was not run" },
            RunStatus::NotRun);
        break;
    case ClaimVerdict::KeyReused:
        endWithError({ .kind = ErrorKind::IdempotencyKeyReused,
                         .message = "this idempotency key was already used for a call with different content" },
            RunStatus::NotRun);
        break;
    case ClaimVerdict::KeyExpired:
        endWithError({ .kind = ErrorKind::IdempotencyKeyExpired,
                         .message = "the timestamp in this idempotency key is outside the accepted time window" },
            RunStatus::NotRun);
        break;
    }
}

void ProxiedRequest::replayStoredResponse(const StoredResponse& response)
{
    if (!response.isBodyStored) {
        endWithError(
            { .kind = ErrorKind::AnswerNotKept,
                .message
                = "an earlier call with this idempotency key has run; its response was too long to be stored" },
            RunStatus::Ran);
        return;
    }
    m_finalRunStatus = RunStatus::Ran;
    if (CallerExchange* caller = std::exchange(m_caller, nullptr)) {
        CallerResponseHead head { .status = response.httpStatus,
            .headers = { { "X-Request-Id", m_id.value }, { "Idempotency-Replayed", "true" } } };
        if (!response.contentType.empty())
            head.headers.emplace_back("Content-Type", response.contentType);
        caller->sendResponse(head, response.body);
    }
    finish("replayed");
}

void ProxiedRequest::finishClaim()
{
    if (m_claimId.empty())
        return;
    ClaimService& claims = *m_owner.context().claims;
    if (m_stage == Stage::Claiming) {
        claims.abandon(m_claimId);
        return;
    }
    StoredResponse response;
    if (m_finalRunStatus == RunStatus::Ran) {
        response = { .httpStatus = m_responseHead.status,
            .contentType = std::string(findHeader(m_responseHead.headers, "Content-Type")) };
        // A response that was passed through is not stored: it exceeds the buffer limit or is a stream.
        response.isBodyStored = m_relayMode == RelayMode::Buffered;
        response.body = std::move(m_bufferedBody);
    }
    claims.finish(m_claimId, m_finalRunStatus, std::move(response));
}

}
