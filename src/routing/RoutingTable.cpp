#include "routing/RoutingTable.h"

#include <algorithm>

namespace jasminestack {

const Route* RoutingTable::routeFor(std::string_view host, std::string_view path) const
{
    auto found = routes.find(std::string(host));
    if (found == routes.end())
        return nullptr;
    auto match = std::find_if(found->second.begin(), found->second.end(),
        [&](const Route& route) { return path.starts_with(route.pathPrefix); });
    return match == found->second.end() ? nullptr : &*match;
}

const PoolSpec& RoutingTable::poolSpec(const PoolId& pool) const
{
    static const PoolSpec defaultSpec;
    auto found = pools.find(pool);
    return found == pools.end() ? defaultSpec : found->second;
}

Millis RoutingTable::tightestObjective(const PoolId& pool) const
{
    Millis tightest {};
    for (const auto& [host, hostRoutes] : routes) {
        for (const Route& route : hostRoutes) {
            bool targetsPool = std::any_of(
                route.pools.begin(), route.pools.end(), [&](const PoolWeight& target) { return target.pool == pool; });
            if (targetsPool && route.kind == RequestKind::Stream
                && (tightest == Millis {} || route.latencyObjective < tightest))
                tightest = route.latencyObjective;
        }
    }
    return tightest;
}

void sortRoutes(RoutingTable& table)
{
    for (auto& [host, hostRoutes] : table.routes) {
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(),
            [](const Route& a, const Route& b) { return a.pathPrefix.size() > b.pathPrefix.size(); });
    }
}

}
