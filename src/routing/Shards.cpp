#include "routing/Shards.h"

#include "base/Hash.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Average number of endpoints per shard. In a pool with several shards, the average differs from it by at most a
    // factor of the square root of two. Enough to absorb a burst within the shard, and few enough that one daemon can
    // place all their requests.
    constexpr std::size_t endpointsPerShard = 16;

    constexpr float minimumCpuCores = 0.01F;

}

unsigned shardCount(std::size_t endpointCount) noexcept
{
    // The power of two nearest to endpointCount / endpointsPerShard by ratio; the squares avoid the square root of two.
    // The shards of a pool change only if its size passes one of the thresholds, each of which is twice the one below.
    std::size_t count = 1;
    while (endpointCount * endpointCount > 2 * count * count * endpointsPerShard * endpointsPerShard)
        count *= 2;
    return static_cast<unsigned>(count);
}

ShardId shardOfEndpoint(const PoolId& pool, const EndpointId& endpoint, unsigned numberOfShards) noexcept
{
    std::uint64_t index = hash64(endpoint.value) % std::max(numberOfShards, 1U);
    return std::max<ShardId>(hash64(pool.value, index + 1), 1);
}

std::uint64_t localityKey(std::span<const PromptPart> prompt, std::uint64_t requestHash) noexcept
{
    if (prompt.empty())
        return requestHash;
    // The last part is specific to the request unless it is the only one.
    return prompt.size() == 1 ? prompt.front().key : prompt[prompt.size() - 2].key;
}

ShardId shardForRequest(const FleetView& fleetView, const PoolId& pool, std::uint64_t localityKey)
{
    auto poolEndpoints = fleetView.endpointsByPool.find(pool);
    if (poolEndpoints == fleetView.endpointsByPool.end())
        return 0;
    ShardId best = 0;
    std::uint64_t highestScore = 0;
    for (const EndpointView* view : poolEndpoints->second) {
        std::uint64_t score = hash64(view->registration.id.value, localityKey);
        if (best == 0 || score > highestScore) {
            highestScore = score;
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
    std::vector<ShardId> sortedShards(shards.begin(), shards.end());
    std::sort(sortedShards.begin(), sortedShards.end());
    std::vector<unsigned> shardsPerCandidate(candidates.size(), 0);
    for (ShardId shard : sortedShards) {
        std::size_t best = 0;
        auto loadAndHash = [&](std::size_t index) {
            const CoordinatorCandidate& candidate = candidates[index];
            float cpuCores = std::max(candidate.cpuCores, minimumCpuCores);
            return std::pair(
                static_cast<float>(shardsPerCandidate[index] + 1) / cpuCores, hash64(candidate.address, shard));
        };
        for (std::size_t index = 1; index < candidates.size(); ++index) {
            if (loadAndHash(index) < loadAndHash(best))
                best = index;
        }
        ++shardsPerCandidate[best];
        assignment[shard] = candidates[best].address;
    }
    return assignment;
}

}
