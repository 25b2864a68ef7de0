#include "routing/FleetRetryBudget.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Repeats that are on their way when the window moves, and requests that never arrive at an endpoint, stay within
    // the rest.
    constexpr double usableShare = 0.8;

}

FleetRetryBudget::Slice& FleetRetryBudget::slice(const PoolId& pool, const RetryBounds& bounds, Millis now)
{
    std::int64_t length = std::max<std::int64_t>(bounds.window.count / static_cast<std::int64_t>(slices), 1);
    std::int64_t number = now.count / length;
    auto& ring = m_pools[pool];
    Slice& current = ring[static_cast<std::size_t>(number) % ring.size()];
    if (current.number != number)
        current = { .number = number };
    return current;
}

void FleetRetryBudget::recordRequest(const PoolId& pool, const RetryBounds& bounds, Millis now)
{
    ++slice(pool, bounds, now).requests;
}

bool FleetRetryBudget::take(const PoolId& pool, const RetryBounds& bounds, Millis now)
{
    Slice& current = slice(pool, bounds, now);
    double requests = 0;
    double repeats = 0;
    for (const Slice& item : m_pools[pool]) {
        // One slice more than the window counts for repeats, one less for requests.
        std::int64_t age = current.number - item.number;
        if (item.number < 0 || age > static_cast<std::int64_t>(slices))
            continue;
        repeats += item.repeats;
        if (age < static_cast<std::int64_t>(slices))
            requests += item.requests;
    }
    double allowed = usableShare
        * (bounds.ratio * requests + bounds.slack / static_cast<double>(std::max<std::size_t>(bounds.daemonCount, 1)));
    if (repeats + 1 > allowed)
        return false;
    ++current.repeats;
    return true;
}

}
