#include "core/EndpointHealth.h"

#include <algorithm>

namespace jasminestack {

namespace {

    constexpr Millis initialBackoff { 250 };
    constexpr Millis maxBackoff { 10'000 };
    constexpr std::uint32_t maxBackoffDoublings = 6;

    // A refusal means that the endpoint is full or leaving; it would refuse an immediate retry as well.
    constexpr Millis refusalBackoff { 500 };

    // Longer than the lag of load reports and of the host list, so that these report the endpoint before the update
    // ends.
    constexpr Millis peerUpdateLifetime { 30'000 };

    EndpointState* findEndpoint(EndpointTable& table, const EndpointId& id)
    {
        auto it = table.endpoints.find(id);
        return it == table.endpoints.end() ? nullptr : &it->second;
    }

    // Returns whether the endpoint was not leaving before and is leaving now.
    bool updateLeavingState(EndpointState& endpoint, Millis now)
    {
        bool wasLeaving = endpoint.leaving;
        endpoint.leaving = endpoint.leavingByReport || endpoint.leavingByHostList || now < endpoint.leavingByPeerUntil;
        return endpoint.leaving && !wasLeaving;
    }

    Millis failureBackoff(std::uint32_t consecutiveFailures)
    {
        std::int64_t factor = std::int64_t { 1 } << std::min(consecutiveFailures - 1, maxBackoffDoublings);
        return std::min(Millis { initialBackoff.count * factor }, maxBackoff);
    }

}

void applyConfiguration(EndpointTable& table, const Configuration& configuration)
{
    for (auto& [id, endpoint] : table.endpoints)
        endpoint.removed = true;
    for (const auto& [poolId, pool] : configuration.pools) {
        for (const auto& [id, config] : pool.endpoints) {
            auto [it, isNew] = table.endpoints.try_emplace(id);
            EndpointState& endpoint = it->second;
            if (isNew || endpoint.address != config.address) {
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
    EndpointState* endpoint = findEndpoint(table, id);
    if (!endpoint)
        return false;
    endpoint->lastReportAt = now;
    endpoint->reportedRunning = report.running;
    endpoint->reportedWaiting = report.waiting;
    if (report.slots > 0) {
        std::uint32_t minimumLimit = std::max(1U, report.slots / 2);
        if (report.waiting > report.slots / 4 + 1)
            endpoint->concurrencyLimit = std::max(minimumLimit, std::min(endpoint->concurrencyLimit, report.slots) - 1);
        else
            endpoint->concurrencyLimit = std::min(report.slots, std::max(endpoint->concurrencyLimit + 1, minimumLimit));
    }
    endpoint->leavingByReport = report.leaving;
    return updateLeavingState(*endpoint, now);
}

void onAttemptEnd(EndpointTable& table, const EndpointId& id, EndpointAttemptOutcome outcome, Millis now)
{
    EndpointState* endpoint = findEndpoint(table, id);
    if (!endpoint)
        return;
    switch (outcome) {
    case EndpointAttemptOutcome::Completed:
        endpoint->consecutiveFailures = 0;
        endpoint->backoffUntil = {};
        break;
    case EndpointAttemptOutcome::Refused:
        endpoint->backoffUntil = std::max(endpoint->backoffUntil, now + refusalBackoff);
        break;
    case EndpointAttemptOutcome::ConnectionFailed:
        // Requests that fail in one loss of the endpoint count as one failure: the first starts the backoff, and
        // failures during the backoff are not counted.
        if (now < endpoint->backoffUntil)
            break;
        ++endpoint->consecutiveFailures;
        endpoint->backoffUntil = now + failureBackoff(endpoint->consecutiveFailures);
        break;
    }
}

bool onHostListEntry(EndpointTable& table, const EndpointId& id, bool leaving, Millis now)
{
    EndpointState* endpoint = findEndpoint(table, id);
    if (!endpoint)
        return false;
    endpoint->leavingByHostList = leaving;
    return updateLeavingState(*endpoint, now);
}

void onEndpointLeavingUpdate(EndpointTable& table, const EndpointId& id, bool leaving, Millis now)
{
    EndpointState* endpoint = findEndpoint(table, id);
    if (!endpoint)
        return;
    endpoint->leavingByPeerUntil = leaving ? now + peerUpdateLifetime : Millis {};
    updateLeavingState(*endpoint, now);
}

bool acceptsRequests(const EndpointState& endpoint, Millis now) noexcept
{
    return !endpoint.leaving && !endpoint.removed && now >= endpoint.backoffUntil;
}

}
