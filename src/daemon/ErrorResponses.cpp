#include "daemon/ErrorResponses.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminestack {

std::string errorBody(const CallerError& callerError)
{
    const ErrorResponse& response = errorResponseFor(callerError.error.kind);
    nlohmann::ordered_json error {
        { "kind", response.name },
        { "message", callerError.error.message },
        { "run_status", toString(callerError.runStatus) },
    };
    if (response.isRetryAdvised)
        error["retry_after_ms"] = callerError.retryAfter.count;
    error["request_id"] = callerError.id.value;
    // Messages can quote input of callers that is not valid UTF-8; invalid bytes are replaced.
    return nlohmann::ordered_json { { "error", std::move(error) } }.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

CallerResponseHead errorHead(const CallerError& callerError)
{
    const ErrorResponse& response = errorResponseFor(callerError.error.kind);
    CallerResponseHead head { .status = response.httpStatus };
    head.headers.emplace_back("Content-Type", "application/json");
    head.headers.emplace_back("X-Request-Id", callerError.id.value);
    if (response.isRetryAdvised) {
        auto seconds = std::max<std::int64_t>(1, (callerError.retryAfter.count + 999) / 1000);
        head.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return head;
}

std::string errorEvent(const CallerError& callerError)
{
    return "event: error\ndata: " + errorBody(callerError) + "\n\n";
}

}
