#pragma once

#include "routing/FleetView.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Division of large fleets: each pool's endpoints form shards, and one daemon, the shard's coordinator, places
/// all requests there. The coordinator's load figures include each placement immediately. Without shards, every
/// daemon would need load figures of the same freshness, and a fleet update to every daemon for each placement would
/// cost too much.

namespace jasminestack {

/// \returns The number of shards of a pool with \p endpointCount endpoints; a power of two, at least 1, so that it
/// rarely changes as endpoints join and leave.
[[nodiscard]] unsigned shardCount(std::size_t endpointCount) noexcept;

/// \returns The shard of an endpoint in a pool divided into \p numberOfShards shards; never 0.
[[nodiscard]] ShardId shardOfEndpoint(const PoolId&, const EndpointId&, unsigned numberOfShards) noexcept;

/// \returns The key that assigns a request to a shard. It depends on the prompt's parts before the last, or on its only
/// part, so that requests with the same leading parts go to the same shard.
/// \param requestHash Returned if \p prompt is empty.
[[nodiscard]] std::uint64_t localityKey(std::span<const PromptPart> prompt, std::uint64_t requestHash) noexcept;

/// \returns The shard of requests with this locality key, or 0 if the pool has no endpoint. Each shard receives
/// requests in proportion to its endpoints.
[[nodiscard]] ShardId shardForRequest(const FleetView&, const PoolId&, std::uint64_t localityKey);

/// \brief A daemon that may coordinate shards.
struct CoordinatorCandidate {
    std::string address;
    float cpuCores { 1.0F }; ///< Processor cores that it may use.
};

/// \returns For each shard the address of its coordinator. Shards are divided in proportion to the candidates' cores,
/// with ties broken by rendezvous hashing, so that daemons with the same candidates compute the same result and the
/// loss of a candidate moves few shards. Empty without candidates.
[[nodiscard]] std::map<ShardId, std::string> assignCoordinators(
    std::span<const ShardId> shards, std::span<const CoordinatorCandidate> candidates);

}
