#include "core/EndpointHealth.h"

#include <algorithm>

namespace jasminestack {

namespace {

    constexpr Millis firstBackoff { 250 };
    constexpr Millis longestBackoff { 10'000 };
    constexpr std::uint32_t longestBackoffDoublings = 6;

    // A refusal says that the endpoint is full or leaving for now; asking again at once would only be refused again.
    constexpr Millis refusalBackoff { 500 };

    // Longer than the lag of load reports and of the host list.
    constexpr Millis peerNewsLifetime { 30'000 };

    EndpointState* find(EndpointTable& table, const EndpointId& id)
    {
        auto it = table.endpoints.find(id);
        return it == table.endpoints.end() ? nullptr : &it->second;
    }

    // Returns whether the endpoint has changed from staying to leaving.
    bool updateLeaving(EndpointState& endpoint, Millis now)
    {
        bool before = endpoint.leaving;
        endpoint.leaving = endpoint.leavingByReport || endpoint.leavingByHostList || now < endpoint.leavingByPeerUntil;
        return endpoint.leaving && !before;
    }

    Millis backoffAfter(std::uint32_t failures)
    {
        std::int64_t factor = std::int64_t { 1 } << std::min(failures - 1, longestBackoffDoublings);
        return std::min(Millis { firstBackoff.count * factor }, longestBackoff);
    }

}

void applyConfiguration(EndpointTable& table, const Configuration& configuration)
{
    for (auto& [id, endpoint] : table.endpoints)
        endpoint.removed = true;
    for (const auto& [poolId, pool] : configuration.pools) {
        for (const auto& [id, config] : pool.endpoints) {
            auto [it, added] = table.endpoints.try_emplace(id);
            EndpointState& endpoint = it->second;
            if (added || endpoint.address != config.address) {
                std::uint32_t inFlight = endpoint.inFlight;
                endpoint = EndpointState { .id = id, .address = config.address, .concurrencyLimit = config.slots };
                endpoint.inFlight = inFlight;
            }
            endpoint.pool = poolId;
            endpoint.removed = false;
        }
    }
    std::erase_if(
        table.endpoints, [](const auto& entry) { return entry.second.removed && entry.second.inFlight == 0; });
}

bool onLoadReport(EndpointTable& table, const EndpointId& id, const LoadReport& report, Millis now)
{
    EndpointState* endpoint = find(table, id);
    if (!endpoint)
        return false;
    endpoint->lastReportAt = now;
    endpoint->reportedRunning = report.running;
    endpoint->reportedWaiting = report.waiting;
    if (report.slots > 0) {
        std::uint32_t floor = std::max(1U, report.slots / 2);
        if (report.waiting > report.slots / 4 + 1)
            endpoint->concurrencyLimit = std::max(floor, std::min(endpoint->concurrencyLimit, report.slots) - 1);
        else
            endpoint->concurrencyLimit = std::min(report.slots, std::max(endpoint->concurrencyLimit + 1, floor));
    }
    endpoint->leavingByReport = report.leaving;
    return updateLeaving(*endpoint, now);
}

void onExchangeEnd(EndpointTable& table, const EndpointId& id, ExchangeOutcome outcome, Millis now)
{
    EndpointState* endpoint = find(table, id);
    if (!endpoint)
        return;
    switch (outcome) {
    case ExchangeOutcome::Completed:
        endpoint->consecutiveFailures = 0;
        endpoint->backoffUntil = {};
        break;
    case ExchangeOutcome::Refused:
        endpoint->backoffUntil = std::max(endpoint->backoffUntil, now + refusalBackoff);
        break;
    case ExchangeOutcome::ConnectionFailed:
        // Requests that break together with one loss count once: those after the first fall into its backoff.
        if (now < endpoint->backoffUntil)
            break;
        ++endpoint->consecutiveFailures;
        endpoint->backoffUntil = now + backoffAfter(endpoint->consecutiveFailures);
        break;
    }
}

bool onHostListEntry(EndpointTable& table, const EndpointId& id, bool leaving, Millis now)
{
    EndpointState* endpoint = find(table, id);
    if (!endpoint)
        return false;
    endpoint->leavingByHostList = leaving;
    return updateLeaving(*endpoint, now);
}

void onEndpointLeavingUpdate(EndpointTable& table, const EndpointId& id, bool leaving, Millis now)
{
    EndpointState* endpoint = find(table, id);
    if (!endpoint)
        return;
    endpoint->leavingByPeerUntil = leaving ? now + peerNewsLifetime : Millis {};
    updateLeaving(*endpoint, now);
}

bool acceptsWork(const EndpointState& endpoint, Millis now) noexcept
{
    return !endpoint.leaving && !endpoint.removed && now >= endpoint.backoffUntil;
}

}
