#include "routing/Shards.h"

#include "base/Hash.h"

#include <algorithm>
#include <string>
#include <tuple>

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
    unsigned count = 1;
    while (endpoints * endpoints > 2U * count * count * endpointsPerShard * endpointsPerShard)
        count *= 2;
    return count;
}

ShardKey shardOf(const Registration& endpoint, unsigned shards) noexcept
{
    std::uint64_t index = hash64(endpoint.id.value) % std::max(shards, 1U);
    std::uint64_t place = hash64(endpoint.availabilityZone, hash64(endpoint.pool.value));
    return std::max<ShardKey>(hash64(std::to_string(index), place), 1);
}

std::uint64_t localityKey(std::span<const PromptPart> prompt, std::uint64_t requestHash) noexcept
{
    if (prompt.empty())
        return requestHash;
    // The last part is the request's own unless it is the only one.
    return prompt.size() == 1 ? prompt.front().key : prompt[prompt.size() - 2].key;
}

std::uint64_t sharedTokens(std::span<const PromptPart> prompt) noexcept
{
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        tokens += prompt[i].tokens;
    return tokens;
}

bool prefersOwnZone(
    const FleetPicture& picture, const PoolId& pool, std::span<const PromptPart> prompt, Millis crossZoneCost) noexcept
{
    auto learned = picture.pools.find(pool);
    double perToken = learned == picture.pools.end() ? LatencyModel {}.perUnit : learned->second.latency.perUnit;
    return static_cast<double>(sharedTokens(prompt)) * perToken < static_cast<double>(crossZoneCost.count);
}

ShardKey shardFor(
    const FleetPicture& picture, const PoolId& pool, std::uint64_t localityKey, std::string_view availabilityZone)
{
    auto members = picture.byPool.find(pool);
    if (members == picture.byPool.end())
        return 0;
    ShardKey best = 0;
    std::pair<bool, std::uint64_t> highest;
    for (const EndpointView* view : members->second) {
        bool near = availabilityZone.empty() || view->registration.availabilityZone == availabilityZone;
        std::pair score(near, hash64(view->registration.id.value, localityKey));
        if (best == 0 || score > highest) {
            highest = score;
            best = view->shard;
        }
    }
    return best;
}

std::vector<ShardPlace> shardPlaces(const FleetPicture& picture)
{
    std::vector<ShardPlace> places;
    for (const auto& [key, members] : picture.byShard)
        places.push_back({ .key = key, .availabilityZone = members.front()->registration.availabilityZone });
    std::sort(places.begin(), places.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    return places;
}

std::map<ShardKey, std::string> assignCoordinators(
    std::span<const ShardPlace> shards, std::span<const CoordinatorCandidate> candidates)
{
    std::map<ShardKey, std::string> assignment;
    if (candidates.empty())
        return assignment;
    std::vector<unsigned> assigned(candidates.size(), 0);
    for (const ShardPlace& shard : shards) {
        auto rank = [&](std::size_t index) {
            const CoordinatorCandidate& candidate = candidates[index];
            double share = std::max(candidate.processorShare, smallestProcessorShare);
            return std::tuple(candidate.availabilityZone != shard.availabilityZone, (assigned[index] + 1) / share,
                hash64(candidate.address, shard.key));
        };
        std::size_t best = 0;
        for (std::size_t index = 1; index < candidates.size(); ++index) {
            if (rank(index) < rank(best))
                best = index;
        }
        ++assigned[best];
        assignment[shard.key] = candidates[best].address;
    }
    return assignment;
}

}
