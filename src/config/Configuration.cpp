#include "config/Configuration.h"

namespace jasminestack {

const PoolConfig* Configuration::poolForModel(std::string_view model) const noexcept
{
    for (const auto& [id, pool] : pools) {
        if (pool.kind == PoolKind::Model && pool.models.contains(std::string(model)))
            return &pool;
    }
    return nullptr;
}

const RouteConfig* Configuration::routeForPath(std::string_view path) const noexcept
{
    const RouteConfig* longestMatch = nullptr;
    for (const auto& [id, route] : routes) {
        if (path.starts_with(route.prefix) && (!longestMatch || route.prefix.size() > longestMatch->prefix.size()))
            longestMatch = &route;
    }
    return longestMatch;
}

}
