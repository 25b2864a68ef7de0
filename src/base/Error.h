#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Whether an endpoint ran a request that ended with an error.
enum class RunStatus : std::uint8_t {
    NotRun, ///< No endpoint has run it and none will.
    Unknown, ///< An endpoint may have run it.
    Ran, ///< An endpoint has run it.
};

/// \returns The name in error bodies: "not_run", "unknown" or "ran".
[[nodiscard]] std::string_view toString(RunStatus) noexcept;

/// \brief All kinds of errors. errorTable() maps each kind to its response.
enum class ErrorKind : std::uint8_t {
    BadRequest,
    Unauthorized,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    HeaderTooLarge,
    BodyTooLarge,
    RequestTimeout,
    UnknownModel,
    QueueFull,
    DeadlineExceeded,
    DeadlineUnreachable,
    RouterOverloaded,
    ShuttingDown,
    NotReady,
    PresetRefuses,
    RequestQuarantined,
    IdempotencyKeyExpired,
    IdempotencyKeyInvalid,
    IdempotencyKeyReused,
    IdempotencyInProgress,
    AnswerNotKept,
    ClaimsUnavailable,
    EndpointUnavailable,
    EndpointRefused,
    EndpointLost,
    EndpointTimeout,
    AnswerMismatch,
    AnswerTruncated,
    AnswerMalformed,
    CallerGone,
    ConfigurationInvalid,
    ConfigurationConflict,
    ConfigurationOutcomeUnknown,
    LogUnavailable,
    PeerMessageRejected,
    SettingsInvalid,
    Internal,
};

/// \brief HTTP status and machine-readable name for one error kind.
struct ErrorResponse {
    ErrorKind kind;
    std::string_view name; ///< Stable machine-readable name.
    int httpStatus;
    bool isRetryAdvised; ///< Whether the response tells the caller when to send the same request again.
};

/// \returns One row for each kind, in the order of the enumeration.
[[nodiscard]] std::span<const ErrorResponse> errorTable() noexcept;

/// \returns The row of \p kind.
[[nodiscard]] const ErrorResponse& errorResponseFor(ErrorKind kind) noexcept;

/// \brief A position in a text file; lines and columns count from 1, line 0 means that the position is unknown.
struct SourcePosition {
    std::string path;
    int line { 0 };
    int column { 0 };
};

/// \brief An error with its kind and a human-readable message.
///
/// \code
/// return Error { .kind = ErrorKind::QueueFull, .message = "ws-1 has 500 queued requests, the limit is 500" };
/// \endcode
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message;
    SourcePosition position {};
    int systemError { 0 }; ///< The errno of the system call that failed; 0: none did.
};

}
