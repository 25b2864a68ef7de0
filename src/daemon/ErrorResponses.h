#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Identifier.h"
#include "net/CallerServer.h"

#include <string>

namespace jasminestack {

/// \brief An error to report to a caller.
struct CallerError {
    Error error;
    RunStatus runStatus { RunStatus::NotRun };
    Millis retryAfter { 1'000 }; ///< Sent only for error kinds that advise a retry.
    RequestId id;
};

/// \returns The body `{"error":{"kind","message","run_status","retry_after_ms","request_id"}}` (section 3.1 of the
/// design); "retry_after_ms" is included only for error kinds that advise a retry.
[[nodiscard]] std::string errorBody(const CallerError&);

/// \returns Status and headers of an error response.
[[nodiscard]] CallerResponseHead errorHead(const CallerError&);

/// \returns An SSE event that ends a stream with an error.
[[nodiscard]] std::string errorEvent(const CallerError&);

}
