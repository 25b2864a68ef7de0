#pragma once

#include "routing/FleetView.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Division of large fleets: each pool's endpoints form shards, and one daemon, the shard's coordinator, places
/// all requests there. It knows every send to its endpoints at once, which an exchange among many daemons cannot offer
/// at a bearable cost.

namespace jasminestack {

/// \returns Into how many shards a pool of \p endpoints is divided; at least 1. Changes rarely as endpoints come and
/// go.
[[nodiscard]] unsigned shardCount(std::size_t endpoints) noexcept;

/// \returns The shard of an endpoint in a pool of \p shards shards; never 0.
[[nodiscard]] ShardId shardOfEndpoint(const PoolId&, const EndpointId&, unsigned shards) noexcept;

/// \returns The key by which a request is assigned to a shard: requests with the same shared parts have the same key.
/// \param requestHash Used for requests without a prompt.
[[nodiscard]] std::uint64_t localityKey(std::span<const PromptPart> prompt, std::uint64_t requestHash) noexcept;

/// \returns The shard that a request with this locality key belongs to, or 0 if the pool has no endpoint. Shards get
/// requests in proportion to their endpoints.
[[nodiscard]] ShardId shardForRequest(const FleetView&, const PoolId&, std::uint64_t localityKey);

/// \brief A daemon that may coordinate shards.
struct CoordinatorCandidate {
    std::string address;
    double cpuCores { 1.0 }; ///< Cores that it may use.
};

/// \returns For each shard the address of its coordinator: even over the candidates' processor shares, otherwise by
/// rendezvous hashing, so that all daemons with the same view agree and a lost candidate moves few shards.
[[nodiscard]] std::map<ShardId, std::string> assignCoordinators(
    std::span<const ShardId> shards, std::span<const CoordinatorCandidate> candidates);

}
