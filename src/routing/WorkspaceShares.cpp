#include "routing/WorkspaceShares.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jasminestack {

namespace {

    // Time constant of the rates: short against the seconds over which unfairness is felt, long against one request.
    constexpr Millis rateWindow { 2'000 };

    // Demand above service by less than this share is the work in progress, not contention.
    constexpr double contentionMargin = 1.08;

    void decay(WorkspaceShares::Counter& counter, Millis now)
    {
        double factor = std::exp(-(now - counter.updated).seconds() / rateWindow.seconds());
        counter.demandTokensPerSecond *= factor;
        counter.servedTokensPerSecond *= factor;
        counter.updated = now;
    }

}

WorkspaceHash workspaceHash(const WorkspaceId& workspace) noexcept { return hash64(workspace.value); }

void recordDemand(WorkspaceShares& shares, WorkspaceHash workspace, double tokens, Millis now)
{
    auto& counter = shares.own[workspace];
    decay(counter, now);
    counter.demandTokensPerSecond += tokens / rateWindow.seconds();
}

void recordServed(WorkspaceShares& shares, WorkspaceHash workspace, double tokens, Millis now)
{
    auto& counter = shares.own[workspace];
    decay(counter, now);
    counter.servedTokensPerSecond += tokens / rateWindow.seconds();
}

std::vector<WorkspaceRate> ownRates(WorkspaceShares& shares, Millis now)
{
    std::vector<WorkspaceRate> rates;
    rates.reserve(shares.own.size());
    for (auto& [key, counter] : shares.own) {
        decay(counter, now);
        rates.push_back({ .workspace = key,
            .demandTokensPerSecond = counter.demandTokensPerSecond,
            .servedTokensPerSecond = counter.servedTokensPerSecond });
    }
    // Workspaces without traffic are forgotten.
    std::erase_if(shares.own, [](const auto& entry) { return entry.second.demandTokensPerSecond < 1.0; });
    return rates;
}

std::vector<double> maxMinShares(std::span<const double> demands, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });
    std::vector<double> shares(demands.size(), 0.0);
    std::size_t left = demands.size();
    for (std::size_t index : order) {
        shares[index] = std::min(demands[index], capacity / static_cast<double>(left));
        capacity -= shares[index];
        --left;
    }
    return shares;
}

void refreshFairShareRatios(WorkspaceShares& shares, Millis now)
{
    std::map<WorkspaceHash, WorkspaceRate> sums;
    auto add = [&](const WorkspaceRate& rate) {
        WorkspaceRate& sum = sums[rate.workspace];
        sum.demandTokensPerSecond += rate.demandTokensPerSecond;
        sum.servedTokensPerSecond += rate.servedTokensPerSecond;
    };
    for (const WorkspaceRate& rate : ownRates(shares, now))
        add(rate);
    for (const auto& [daemon, rates] : shares.peerRates)
        std::for_each(rates.begin(), rates.end(), add);

    std::vector<double> demands;
    double asked = 0;
    double served = 0;
    for (const auto& [key, rate] : sums) {
        demands.push_back(rate.demandTokensPerSecond);
        asked += rate.demandTokensPerSecond;
        served += rate.servedTokensPerSecond;
    }
    shares.fairShareRatios.clear();
    shares.contended = asked > served * contentionMargin;
    if (!shares.contended)
        return;
    std::vector<double> fair = maxMinShares(demands, served);
    std::size_t index = 0;
    for (const auto& [key, rate] : sums) {
        double share = std::max(fair[index++], 1.0);
        shares.fairShareRatios[key] = rate.servedTokensPerSecond / share;
    }
}

double fairShareRatio(const WorkspaceShares& shares, WorkspaceHash workspace) noexcept
{
    auto found = shares.fairShareRatios.find(workspace);
    return found == shares.fairShareRatios.end() ? 1.0 : found->second;
}

}
