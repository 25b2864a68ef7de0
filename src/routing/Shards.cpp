#include "routing/Shards.h"

#include "base/Hash.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Endpoints of a shard, within a factor of the square root of two. Enough of them that a burst finds room within
    // the shard, and few enough that one daemon places all their requests.
    constexpr std::size_t endpointsPerShard = 16;

    constexpr double smallestProcessorShare = 0.01;

}

unsigned shardCount(std::size_t endpoints) noexcept
{
    // Powers of two only: a pool has to grow or shrink by half before its shards change.
    std::size_t count = 1;
    while (endpoints * endpoints > 2 * count * count * endpointsPerShard * endpointsPerShard)
        count *= 2;
    return static_cast<unsigned>(count);
}

ShardId shardOfEndpoint(const PoolId& pool, const EndpointId& endpoint, unsigned shards) noexcept
{
    std::uint64_t index = hash64(endpoint.value) % std::max(shards, 1U);
    return std::max<ShardId>(hash64(pool.value, index + 1), 1);
}

std::uint64_t localityKey(std::span<const PromptPart> prompt, std::uint64_t requestHash) noexcept
{
    if (prompt.empty())
        return requestHash;
    // The last part is the request's own unless it is the only one.
    return prompt.size() == 1 ? prompt.front().key : prompt[prompt.size() - 2].key;
}

ShardId shardForRequest(const FleetView& picture, const PoolId& pool, std::uint64_t localityKey)
{
    auto members = picture.endpointsByPool.find(pool);
    if (members == picture.endpointsByPool.end())
        return 0;
    ShardId best = 0;
    std::uint64_t highest = 0;
    for (const EndpointView* view : members->second) {
        std::uint64_t score = hash64(view->registration.id.value, localityKey);
        if (best == 0 || score > highest) {
            highest = score;
            best = view->shard;
        }
    }
    return best;
}

std::map<ShardId, std::string> assignCoordinators(
    std::span<const ShardId> shards, std::span<const CoordinatorCandidate> candidates)
{
    std::map<ShardId, std::string> assignment;
    if (candidates.empty())
        return assignment;
    std::vector<ShardId> ordered(shards.begin(), shards.end());
    std::sort(ordered.begin(), ordered.end());
    std::vector<unsigned> assigned(candidates.size(), 0);
    for (ShardId shard : ordered) {
        std::size_t best = 0;
        auto rank = [&](std::size_t index) {
            const CoordinatorCandidate& candidate = candidates[index];
            double share = std::max(candidate.cpuCores, smallestProcessorShare);
            return std::pair((assigned[index] + 1) / share, hash64(candidate.address, shard));
        };
        for (std::size_t index = 1; index < candidates.size(); ++index) {
            if (rank(index) < rank(best))
                best = index;
        }
        ++assigned[best];
        assignment[shard] = candidates[best].address;
    }
    return assignment;
}

}
