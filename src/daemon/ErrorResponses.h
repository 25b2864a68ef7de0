#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Identifier.h"
#include "net/CallerServer.h"

#include <string>

namespace jasminestack {

/// \brief An error as a caller is told about it.
struct CallerError {
    Error error;
    RunStatus status { RunStatus::NotRun };
    Millis retryAfter { 1'000 }; ///< Given only for kinds whose retry is advised.
    RequestId id;
};

/// \returns The JSON error body of design section 3.1.
[[nodiscard]] std::string errorBody(const CallerError&);

/// \returns Status and headers of an error answer.
[[nodiscard]] CallerResponseHead errorHead(const CallerError&);

/// \returns A server-sent event that ends a stream with an error.
[[nodiscard]] std::string errorEvent(const CallerError&);

}
