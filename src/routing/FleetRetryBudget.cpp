#include "routing/FleetRetryBudget.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Fraction of the retry bound that may be used. The rest is a margin for retries in transit when the window moves
    // and for requests that never arrive at an endpoint.
    constexpr double usableFraction = 0.8;

}

FleetRetryBudget::Slice& FleetRetryBudget::currentSlice(const PoolId& pool, const RetryBounds& bounds, Millis now)
{
    std::int64_t sliceMs = std::max<std::int64_t>(bounds.window.count / static_cast<std::int64_t>(sliceCount), 1);
    std::int64_t sliceNumber = now.count / sliceMs;
    auto& ring = m_pools[pool];
    Slice& current = ring[static_cast<std::size_t>(sliceNumber) % ring.size()];
    if (current.sliceNumber != sliceNumber)
        current = { .sliceNumber = sliceNumber };
    return current;
}

void FleetRetryBudget::recordRequest(const PoolId& pool, const RetryBounds& bounds, Millis now)
{
    ++currentSlice(pool, bounds, now).requests;
}

bool FleetRetryBudget::tryConsume(const PoolId& pool, const RetryBounds& bounds, Millis now)
{
    Slice& current = currentSlice(pool, bounds, now);
    double requests = 0;
    double retries = 0;
    for (const Slice& slice : m_pools[pool]) {
        // Retries are counted over the window plus one slice, requests over the window only, so that rounding to slices
        // never exceeds the bound.
        std::int64_t ageInSlices = current.sliceNumber - slice.sliceNumber;
        if (slice.sliceNumber < 0 || ageInSlices > static_cast<std::int64_t>(sliceCount))
            continue;
        retries += slice.retries;
        if (ageInSlices < static_cast<std::int64_t>(sliceCount))
            requests += slice.requests;
    }
    double maxRetries = usableFraction
        * (bounds.ratio * requests + bounds.slack / static_cast<double>(std::max<std::size_t>(bounds.daemonCount, 1)));
    if (retries + 1 > maxRetries)
        return false;
    ++current.retries;
    return true;
}

}
