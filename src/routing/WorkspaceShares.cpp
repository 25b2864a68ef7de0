#include "routing/WorkspaceShares.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jasminestack {

namespace {

    // Time constant of the rates: shorter than the several seconds over which callers notice unfairness, longer than
    // one request.
    constexpr Millis rateTimeConstant { 2'000 };

    // Demand over service up to this ratio comes from requests still in flight, not from contention.
    constexpr double contentionMargin = 1.08;

    void decay(WorkspaceShares::OwnRate& ownRate, Millis now)
    {
        double factor = std::exp(-(now - ownRate.updatedAt).seconds() / rateTimeConstant.seconds());
        ownRate.demandTokensPerSecond *= factor;
        ownRate.servedTokensPerSecond *= factor;
        ownRate.updatedAt = now;
    }

}

WorkspaceHash workspaceHash(const WorkspaceId& workspace) noexcept { return hash64(workspace.value); }

void recordDemand(WorkspaceShares& shares, WorkspaceHash workspace, double tokens, Millis now)
{
    auto& ownRate = shares.ownRateByWorkspace[workspace];
    decay(ownRate, now);
    ownRate.demandTokensPerSecond += tokens / rateTimeConstant.seconds();
}

void recordServed(WorkspaceShares& shares, WorkspaceHash workspace, double tokens, Millis now)
{
    auto& ownRate = shares.ownRateByWorkspace[workspace];
    decay(ownRate, now);
    ownRate.servedTokensPerSecond += tokens / rateTimeConstant.seconds();
}

std::vector<WorkspaceRate> ownRates(WorkspaceShares& shares, Millis now)
{
    std::vector<WorkspaceRate> rates;
    rates.reserve(shares.ownRateByWorkspace.size());
    for (auto& [workspace, ownRate] : shares.ownRateByWorkspace) {
        decay(ownRate, now);
        rates.push_back({ .workspace = workspace,
            .demandTokensPerSecond = ownRate.demandTokensPerSecond,
            .servedTokensPerSecond = ownRate.servedTokensPerSecond });
    }
    // Evicts workspaces whose demand has decayed below 1 token per second.
    std::erase_if(
        shares.ownRateByWorkspace, [](const auto& entry) { return entry.second.demandTokensPerSecond < 1.0; });
    return rates;
}

std::vector<double> maxMinShares(std::span<const double> demands, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });
    std::vector<double> shares(demands.size(), 0.0);
    std::size_t remaining = demands.size();
    for (std::size_t index : order) {
        shares[index] = std::min(demands[index], capacity / static_cast<double>(remaining));
        capacity -= shares[index];
        --remaining;
    }
    return shares;
}

void refreshFairShareRatios(WorkspaceShares& shares, Millis now)
{
    std::map<WorkspaceHash, WorkspaceRate> fleetRates;
    auto addRate = [&](const WorkspaceRate& rate) {
        WorkspaceRate& sum = fleetRates[rate.workspace];
        sum.demandTokensPerSecond += rate.demandTokensPerSecond;
        sum.servedTokensPerSecond += rate.servedTokensPerSecond;
    };
    for (const WorkspaceRate& rate : ownRates(shares, now))
        addRate(rate);
    for (const auto& [daemon, rates] : shares.peerRates)
        std::for_each(rates.begin(), rates.end(), addRate);

    std::vector<double> demands;
    double totalDemand = 0;
    double totalServed = 0;
    for (const auto& [workspace, rate] : fleetRates) {
        demands.push_back(rate.demandTokensPerSecond);
        totalDemand += rate.demandTokensPerSecond;
        totalServed += rate.servedTokensPerSecond;
    }
    shares.fairShareRatios.clear();
    shares.isContended = totalDemand > totalServed * contentionMargin;
    if (!shares.isContended)
        return;
    std::vector<double> fairShares = maxMinShares(demands, totalServed);
    std::size_t index = 0;
    for (const auto& [workspace, rate] : fleetRates) {
        double fairShare = std::max(fairShares[index++], 1.0);
        shares.fairShareRatios[workspace] = rate.servedTokensPerSecond / fairShare;
    }
}

double fairShareRatio(const WorkspaceShares& shares, WorkspaceHash workspace) noexcept
{
    auto found = shares.fairShareRatios.find(workspace);
    return found == shares.fairShareRatios.end() ? 1.0 : found->second;
}

}
