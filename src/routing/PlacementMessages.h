#pragma once

#include "routing/PlacementDecision.h"

#include <cstdint>

/// \file
/// \brief Messages between a daemon and the coordinator of a shard about one request.

namespace jasminestack {

/// \brief Identifies a placement request; unique within the requesting process.
using PlacementRequestId = std::uint64_t;

/// \brief Requests an endpoint from the coordinator, or cancels the earlier placement request with the same id. The
/// message is sent again until a reply arrives.
struct PlacementRequest {
    DaemonInstanceId requester { 0 }; ///< Process that sends the placement request.
    PlacementRequestId id { 0 };
    ShardId shard { 0 };
    bool isCancellation { false }; ///< The request has ended; the fields below are not sent.
    /// Times are on the local daemon's clock; the codec sends them relative to the time of encoding.
    PlacementQuery query;
};

enum class PlacementStatus : std::uint8_t {
    Granted, ///< The requester sends the request to \c endpoint now.
    Queued, ///< The request waits at the coordinator.
    Refused, ///< The caller should retry after \c retryAfter.
    Quarantined, ///< The request's content is quarantined because endpoints crashed with it.
};

struct PlacementReply {
    DaemonInstanceId coordinator { 0 };
    PlacementRequestId id { 0 };
    PlacementStatus status { PlacementStatus::Refused };
    std::uint64_t grantNumber { 0 }; ///< Sequence number among the coordinator's grants to the requester.
    EndpointInstanceId endpoint { 0 }; ///< Valid if granted.
    std::uint64_t prefillTokens { 0 }; ///< Prompt tokens that the endpoint has not cached.
    std::uint64_t backlogTokens { 0 }; ///< Prompt tokens waiting at the endpoint, including the request's.
    Millis predictedFirstByte {}; ///< Time to first byte at the granted endpoint or, for a refused request, at the best
                                  ///< one.
    Millis retryAfter {}; ///< Valid if refused.
    bool isLate { false }; ///< The request would miss its objective even on the best endpoint without other load.
    Millis
        receivedLate {}; ///< Not sent: for how long the requester's process was not running before it read the reply.
    bool wasRefusedBefore { false }; ///< A request with the same content was refused before.
};

}
