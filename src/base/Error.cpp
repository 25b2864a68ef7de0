#include "base/Error.h"

#include <array>
#include <cstddef>

namespace jasminestack {

namespace {

    constexpr std::array errorResponses {
        ErrorResponse { ErrorKind::BadRequest, "bad_request", 400, false },
        ErrorResponse { ErrorKind::Unauthorized, "unauthorized", 401, false },
        ErrorResponse { ErrorKind::Forbidden, "forbidden", 403, false },
        ErrorResponse { ErrorKind::NotFound, "not_found", 404, false },
        ErrorResponse { ErrorKind::MethodNotAllowed, "method_not_allowed", 405, false },
        ErrorResponse { ErrorKind::HeaderTooLarge, "header_too_large", 431, false },
        ErrorResponse { ErrorKind::BodyTooLarge, "body_too_large", 413, false },
        ErrorResponse { ErrorKind::RequestTimeout, "request_timeout", 408, true },
        ErrorResponse { ErrorKind::UnknownModel, "unknown_model", 404, false },
        ErrorResponse { ErrorKind::QueueFull, "queue_full", 429, true },
        ErrorResponse { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, true },
        ErrorResponse { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, true },
        ErrorResponse { ErrorKind::RouterOverloaded, "router_overloaded", 503, true },
        ErrorResponse { ErrorKind::ShuttingDown, "shutting_down", 503, true },
        ErrorResponse { ErrorKind::NotReady, "not_ready", 503, true },
        ErrorResponse { ErrorKind::PresetRefuses, "preset_refuses", 503, true },
        ErrorResponse { ErrorKind::RequestQuarantined, "request_quarantined", 422, false },
        ErrorResponse { ErrorKind::IdempotencyKeyExpired, "idempotency_key_expired", 422, false },
        ErrorResponse { ErrorKind::IdempotencyKeyInvalid, "idempotency_key_invalid", 400, false },
        ErrorResponse { ErrorKind::IdempotencyKeyReused, "idempotency_key_reused", 422, false },
        ErrorResponse { ErrorKind::IdempotencyInProgress, "idempotency_in_progress", 409, true },
        ErrorResponse { ErrorKind::AnswerNotKept, "answer_not_kept", 409, false },
        ErrorResponse { ErrorKind::ClaimsUnavailable, "claims_unavailable", 503, true },
        ErrorResponse { ErrorKind::EndpointUnavailable, "endpoint_unavailable", 503, true },
        ErrorResponse { ErrorKind::EndpointRefused, "endpoint_refused", 502, true },
        ErrorResponse { ErrorKind::EndpointLost, "endpoint_lost", 502, false },
        ErrorResponse { ErrorKind::EndpointTimeout, "endpoint_timeout", 504, false },
        ErrorResponse { ErrorKind::AnswerMismatch, "answer_mismatch", 502, false },
        ErrorResponse { ErrorKind::AnswerTruncated, "answer_truncated", 502, false },
        ErrorResponse { ErrorKind::AnswerMalformed, "answer_malformed", 502, false },
        ErrorResponse { ErrorKind::CallerGone, "caller_gone", 499, false },
        ErrorResponse { ErrorKind::ConfigurationInvalid, "configuration_invalid", 422, false },
        ErrorResponse { ErrorKind::ConfigurationConflict, "configuration_conflict", 409, false },
        ErrorResponse { ErrorKind::ConfigurationOutcomeUnknown, "configuration_outcome_unknown", 504, false },
        ErrorResponse { ErrorKind::LogUnavailable, "log_unavailable", 503, true },
        ErrorResponse { ErrorKind::PeerMessageRejected, "peer_message_rejected", 400, false },
        ErrorResponse { ErrorKind::SettingsInvalid, "settings_invalid", 400, false },
        ErrorResponse { ErrorKind::Internal, "internal", 500, false },
    };

    constexpr bool isOrderedByKind()
    {
        for (std::size_t i = 0; i < errorResponses.size(); ++i) {
            if (static_cast<std::size_t>(errorResponses[i].kind) != i)
                return false;
        }
        return true;
    }
    static_assert(isOrderedByKind() && errorResponses.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);

}

std::string_view toString(RunStatus status) noexcept
{
    switch (status) {
    case RunStatus::NotRun:
        return "not_run";
    case RunStatus::Unknown:
        return "unknown";
    case RunStatus::Ran:
        return "ran";
    }
    return "unknown";
}

std::span<const ErrorResponse> errorTable() noexcept { return errorResponses; }

const ErrorResponse& errorResponseFor(ErrorKind kind) noexcept
{
    return errorResponses[static_cast<std::size_t>(kind)];
}

}
