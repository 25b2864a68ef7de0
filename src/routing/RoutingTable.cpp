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
    static const PoolSpec unknown;
    auto found = pools.find(pool);
    return found == pools.end() ? unknown : found->second;
}

Millis RoutingTable::tightestObjective(const PoolId& pool) const
{
    Millis tightest {};
    for (const auto& [host, list] : routes) {
        for (const Route& route : list) {
            bool leadsThere = std::any_of(
                route.pools.begin(), route.pools.end(), [&](const PoolWeight& target) { return target.pool == pool; });
            if (leadsThere && route.kind == RequestKind::Stream
                && (tightest == Millis {} || route.latencyObjective < tightest))
                tightest = route.latencyObjective;
        }
    }
    return tightest;
}

void sortRoutes(RoutingTable& table)
{
    for (auto& [host, list] : table.routes) {
        std::stable_sort(list.begin(), list.end(),
            [](const Route& a, const Route& b) { return a.pathPrefix.size() > b.pathPrefix.size(); });
    }
}

}
