#pragma once

#include "routing/PlacementDecision.h"

#include <cstdint>

/// \file
/// \brief What a daemon and the coordinator of a shard tell each other about one request.

namespace jasminestack {

/// \brief Identifies a request that a daemon asks a coordinator about; unique for the daemon's process.
using AskId = std::uint64_t;

/// \brief Asks for an endpoint, repeats the question while it is open, or withdraws it.
struct PlacementAsk {
    DaemonInstanceId daemon { 0 }; ///< The asking process.
    AskId id { 0 };
    ShardId shard { 0 };
    bool withdrawn { false }; ///< The request has ended; the fields below are not sent.
    PlacementQuery query; ///< Times are in the clock of the daemon that holds this struct.
};

enum class PlacementAnswer : std::uint8_t {
    Granted, ///< Send it to the endpoint now.
    Queued, ///< It waits at the coordinator.
    Refused, ///< The caller should come back later.
    Quarantined, ///< Its content crashes endpoints.
};

struct PlacementReply {
    DaemonInstanceId coordinator { 0 };
    AskId id { 0 };
    PlacementAnswer answer { PlacementAnswer::Refused };
    std::uint64_t grantNumber { 0 }; ///< Counts the coordinator's grants to the asking daemon.
    EndpointInstanceId endpoint { 0 }; ///< If granted.
    std::uint64_t unreadTokens { 0 }; ///< Prompt tokens that the endpoint has to read.
    std::uint64_t workAhead { 0 }; ///< Units of work at the endpoint, with the request's own.
    Millis predicted {}; ///< To its first byte; of a refused request at the best endpoint.
    Millis retryAfter {}; ///< If refused.
    bool late { false }; ///< It misses its objective, wherever it is sent.
    bool returning { false }; ///< Its content was refused before.
};

}
