#include "base/Error.h"

#include <array>
#include <cstddef>

namespace jasminestack {

namespace {

    constexpr std::array answers {
        ErrorAnswer { ErrorKind::BadRequest, "bad_request", 400, false },
        ErrorAnswer { ErrorKind::Unauthorized, "unauthorized", 401, false },
        ErrorAnswer { ErrorKind::Forbidden, "forbidden", 403, false },
        ErrorAnswer { ErrorKind::NotFound, "not_found", 404, false },
        ErrorAnswer { ErrorKind::MethodNotAllowed, "method_not_allowed", 405, false },
        ErrorAnswer { ErrorKind::HeaderTooLarge, "header_too_large", 431, false },
        ErrorAnswer { ErrorKind::BodyTooLarge, "body_too_large", 413, false },
        ErrorAnswer { ErrorKind::RequestTimeout, "request_timeout", 408, true },
        ErrorAnswer { ErrorKind::UnknownModel, "unknown_model", 404, false },
        ErrorAnswer { ErrorKind::QueueFull, "queue_full", 429, true },
        ErrorAnswer { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, true },
        ErrorAnswer { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, true },
        ErrorAnswer { ErrorKind::RouterOverloaded, "router_overloaded", 503, true },
        ErrorAnswer { ErrorKind::ShuttingDown, "shutting_down", 503, true },
        ErrorAnswer { ErrorKind::NotReady, "not_ready", 503, true },
        ErrorAnswer { ErrorKind::PresetRefuses, "preset_refuses", 503, true },
        ErrorAnswer { ErrorKind::RequestQuarantined, "request_quarantined", 422, false },
        ErrorAnswer { ErrorKind::IdempotencyKeyExpired, "idempotency_key_expired", 422, false },
        ErrorAnswer { ErrorKind::IdempotencyKeyInvalid, "idempotency_key_invalid", 400, false },
        ErrorAnswer { ErrorKind::IdempotencyKeyReused, "idempotency_key_reused", 422, false },
        ErrorAnswer { ErrorKind::IdempotencyInProgress, "idempotency_in_progress", 409, true },
        ErrorAnswer { ErrorKind::AnswerNotKept, "answer_not_kept", 409, false },
        ErrorAnswer { ErrorKind::ClaimsUnavailable, "claims_unavailable", 503, true },
        ErrorAnswer { ErrorKind::EndpointUnavailable, "endpoint_unavailable", 503, true },
        ErrorAnswer { ErrorKind::EndpointRefused, "endpoint_refused", 502, true },
        ErrorAnswer { ErrorKind::EndpointLost, "endpoint_lost", 502, false },
        ErrorAnswer { ErrorKind::EndpointTimeout, "endpoint_timeout", 504, false },
        ErrorAnswer { ErrorKind::AnswerMismatch, "answer_mismatch", 502, false },
        ErrorAnswer { ErrorKind::AnswerTruncated, "answer_truncated", 502, false },
        ErrorAnswer { ErrorKind::CallerGone, "caller_gone", 499, false },
        ErrorAnswer { ErrorKind::ConfigurationInvalid, "configuration_invalid", 422, false },
        ErrorAnswer { ErrorKind::ConfigurationConflict, "configuration_conflict", 409, false },
        ErrorAnswer { ErrorKind::ConfigurationOutcomeUnknown, "configuration_outcome_unknown", 504, false },
        ErrorAnswer { ErrorKind::LogUnavailable, "log_unavailable", 503, true },
        ErrorAnswer { ErrorKind::PeerMessageRejected, "peer_message_rejected", 400, false },
        ErrorAnswer { ErrorKind::SettingsInvalid, "settings_invalid", 400, false },
        ErrorAnswer { ErrorKind::Internal, "internal", 500, false },
    };

    constexpr bool inOrder()
    {
        for (std::size_t i = 0; i < answers.size(); ++i) {
            if (static_cast<std::size_t>(answers[i].kind) != i)
                return false;
        }
        return true;
    }
    static_assert(inOrder() && answers.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);

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

std::span<const ErrorAnswer> errorTable() noexcept { return answers; }

const ErrorAnswer& answerFor(ErrorKind kind) noexcept { return answers[static_cast<std::size_t>(kind)]; }

}
