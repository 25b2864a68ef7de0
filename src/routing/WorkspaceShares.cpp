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
        counter.asked *= factor;
        counter.served *= factor;
        counter.updated = now;
    }

}

WorkspaceKey workspaceKey(const WorkspaceId& workspace) noexcept { return hash64(workspace.value); }

void recordAsked(WorkspaceShares& shares, WorkspaceKey workspace, double tokens, Millis now)
{
    auto& counter = shares.own[workspace];
    decay(counter, now);
    counter.asked += tokens / rateWindow.seconds();
}

void recordServed(WorkspaceShares& shares, WorkspaceKey workspace, double tokens, Millis now)
{
    auto& counter = shares.own[workspace];
    decay(counter, now);
    counter.served += tokens / rateWindow.seconds();
}

std::vector<WorkspaceRate> ownRates(WorkspaceShares& shares, Millis now)
{
    std::vector<WorkspaceRate> rates;
    rates.reserve(shares.own.size());
    for (auto& [key, counter] : shares.own) {
        decay(counter, now);
        rates.push_back({ .workspace = key, .asked = counter.asked, .served = counter.served });
    }
    // Workspaces without traffic are forgotten.
    std::erase_if(shares.own, [](const auto& entry) { return entry.second.asked < 1.0; });
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

void refreshPressure(WorkspaceShares& shares, Millis now)
{
    std::map<WorkspaceKey, WorkspaceRate> sums;
    auto add = [&](const WorkspaceRate& rate) {
        WorkspaceRate& sum = sums[rate.workspace];
        sum.asked += rate.asked;
        sum.served += rate.served;
    };
    for (const WorkspaceRate& rate : ownRates(shares, now))
        add(rate);
    for (const auto& [daemon, rates] : shares.peers)
        std::for_each(rates.begin(), rates.end(), add);

    std::vector<double> demands;
    double asked = 0;
    double served = 0;
    for (const auto& [key, rate] : sums) {
        demands.push_back(rate.asked);
        asked += rate.asked;
        served += rate.served;
    }
    shares.pressure.clear();
    shares.contended = asked > served * contentionMargin;
    if (!shares.contended)
        return;
    std::vector<double> fair = maxMinShares(demands, served);
    std::size_t index = 0;
    for (const auto& [key, rate] : sums) {
        double share = std::max(fair[index++], 1.0);
        shares.pressure[key] = rate.served / share;
    }
}

double pressure(const WorkspaceShares& shares, WorkspaceKey workspace) noexcept
{
    auto found = shares.pressure.find(workspace);
    return found == shares.pressure.end() ? 1.0 : found->second;
}

}
