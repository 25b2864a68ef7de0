#include "daemon/ErrorResponses.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminestack {

std::string errorBody(const CallerError& answer)
{
    const ErrorResponse& row = errorResponseFor(answer.error.kind);
    nlohmann::ordered_json error {
        { "kind", row.name },
        { "message", answer.error.message },
        { "run_status", toString(answer.status) },
    };
    if (row.retryAdvised)
        error["retry_after_ms"] = answer.retryAfter.count;
    error["request_id"] = answer.id.value;
    // Messages can quote bytes from callers that are not valid UTF-8.
    return nlohmann::ordered_json { { "error", std::move(error) } }.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

CallerResponseHead errorHead(const CallerError& answer)
{
    const ErrorResponse& row = errorResponseFor(answer.error.kind);
    CallerResponseHead head { .status = row.httpStatus };
    head.headers.emplace_back("Content-Type", "application/json");
    head.headers.emplace_back("X-Request-Id", answer.id.value);
    if (row.retryAdvised) {
        auto seconds = std::max<std::int64_t>(1, (answer.retryAfter.count + 999) / 1000);
        head.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return head;
}

std::string errorEvent(const CallerError& answer) { return "event: error\ndata: " + errorBody(answer) + "\n\n"; }

}
