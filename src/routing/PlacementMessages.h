#pragma once

#include "routing/PlacementDecision.h"

#include <cstdint>

/// \file
/// \brief What a daemon and the coordinator of a shard tell each other about one request.

namespace jasminestack {

/// \brief Identifies a request that a daemon asks a coordinator about; unique for the daemon's process.
using PlacementRequestId = std::uint64_t;

/// \brief Asks for an endpoint, repeats the question while it is open, or withdraws it.
struct PlacementRequest {
    DaemonInstanceId requester { 0 }; ///< The asking process.
    PlacementRequestId id { 0 };
    ShardId shard { 0 };
    bool isCancellation { false }; ///< The request has ended; the fields below are not sent.
    PlacementQuery query; ///< Times are in the clock of the daemon that holds this struct.
};

enum class PlacementStatus : std::uint8_t {
    Granted, ///< Send it to the endpoint now.
    Queued, ///< It waits at the coordinator.
    Refused, ///< The caller should come back later.
    Quarantined, ///< Its content crashes endpoints.
};

struct PlacementReply {
    DaemonInstanceId coordinator { 0 };
    PlacementRequestId id { 0 };
    PlacementStatus status { PlacementStatus::Refused };
    std::uint64_t grantNumber { 0 }; ///< Counts the coordinator's grants to the asking daemon.
    EndpointInstanceId endpoint { 0 }; ///< If granted.
    std::uint64_t prefillTokens { 0 }; ///< Prompt tokens that the endpoint has to read.
    std::uint64_t backlogTokens { 0 }; ///< Units of work at the endpoint, with the request's own.
    Millis predictedFirstByte {}; ///< To its first byte; of a refused request at the best endpoint.
    Millis retryAfter {}; ///< If refused.
    bool isLate { false }; ///< It misses its objective, wherever it is sent.
    bool wasRefusedBefore { false }; ///< Its content was refused before.
};

}
