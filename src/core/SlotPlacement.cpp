#include "core/SlotPlacement.h"

#include "core/Dispatch.h"

#include <cmath>
#include <map>
#include <optional>
#include <string_view>

namespace jasminestack {

namespace {

    // Without a report for this long a daemon's demand no longer counts; its slots stay held until its lease ends.
    constexpr Millis reportLife { 2'500 };
    // Load reports older than this say nothing about slots that unknown daemons use.
    constexpr Millis loadLife { 1'500 };
    // Part of the slots that must be in use unexplained, and for how long, before daemons that are no members count.
    constexpr double foreignLoadFraction = 0.2;
    constexpr Millis foreignLoadTime { 1'000 };
    // Part of an earlier estimate that remains at the next load report.
    constexpr double foreignDecay = 0.5;
    // Messages that are later than this count as lost.
    constexpr Millis longestDelay { 10'000 };

    bool holdsLease(const ReportingDaemon& daemon, Millis now)
    {
        return std::any_of(
            daemon.sent.begin(), daemon.sent.end(), [&](const SentAllocation& sent) { return sent.expires > now; });
    }

    /// \returns Requests at an endpoint by the last reports of the daemons that are not silent.
    std::uint32_t knownInFlight(const CellSchedulerState& cell, const EndpointId& endpoint, Millis now)
    {
        std::uint32_t known = 0;
        for (const auto& [id, daemon] : cell.daemons) {
            if (isFresh(daemon, now) || holdsLease(daemon, now))
                known += valueOr0(daemon.inFlight, endpoint);
        }
        return known;
    }

    /// \returns By endpoint, the requests that its load report shows and that no daemon has reported; nothing for
    /// endpoints without a recent load report.
    std::vector<std::optional<std::uint32_t>> unexplainedLoad(
        const CellSchedulerState& cell, const CellView& view, const SlotMatrix& grid, Millis now)
    {
        const auto& endpoints = view.info.endpoints;
        std::vector<std::optional<std::uint32_t>> result(endpoints.size());
        for (std::size_t e = 0; e < endpoints.size(); ++e) {
            if (grid.limit[e] == 0)
                continue;
            const EndpointState& endpoint = view.endpoints.endpoints.at(endpoints[e]);
            if (endpoint.lastReportAt.count <= 0 || endpoint.lastReportAt + loadLife <= now)
                continue;
            std::uint32_t known = knownInFlight(cell, endpoints[e], now);
            std::uint32_t reported = endpoint.reportedRunning + endpoint.reportedWaiting;
            result[e] = reported > known ? reported - known : 0;
        }
        return result;
    }

    /// \returns Whether other daemons use the cell that are not members here, for example after a partition. Reports
    /// and load reports are taken at different times, so small and short differences mean nothing.
    bool hasForeignLoad(CellSchedulerState& cell, const SlotMatrix& grid,
        const std::vector<std::optional<std::uint32_t>>& unexplained, Millis now)
    {
        std::uint32_t slots = 0;
        std::uint32_t sum = 0;
        for (std::size_t e = 0; e < unexplained.size(); ++e) {
            slots += grid.limit[e];
            sum += unexplained[e].value_or(0);
        }
        if (sum < foreignLoadFraction * slots || sum == 0)
            cell.excessLoadStartedAt = { -1 };
        else if (cell.excessLoadStartedAt.count < 0)
            cell.excessLoadStartedAt = now;
        return cell.excessLoadStartedAt.count >= 0 && now - cell.excessLoadStartedAt >= foreignLoadTime;
    }

    /// \brief Demand reports and load reports are taken at different times. Where daemons of another scheduler use many
    /// slots, a high value is given up step by step, so that not both schedulers fill a slot that one of them saw free.
    void smoothForeignLoad(
        CellSchedulerState& cell, const CellView& view, std::vector<std::optional<std::uint32_t>>& unexplained)
    {
        for (std::size_t e = 0; e < unexplained.size(); ++e) {
            if (!unexplained[e])
                continue;
            UnattributedLoad& foreign = cell.unattributedLoad[view.info.endpoints[e]];
            Millis lastReport = view.endpoints.endpoints.at(view.info.endpoints[e]).lastReportAt;
            if (foreign.lastReport != lastReport)
                foreign.slots *= foreignDecay;
            foreign.lastReport = lastReport;
            foreign.slots = std::max<double>(foreign.slots, *unexplained[e]);
            unexplained[e] = static_cast<std::uint32_t>(std::lround(foreign.slots));
        }
    }

    /// \returns By endpoint, the slots that daemons without a fresh report or a lease may use.
    std::vector<std::uint32_t> unknownUse(
        CellSchedulerState& cell, const CellView& view, const SlotMatrix& grid, Millis now)
    {
        const auto& endpoints = view.info.endpoints;
        std::vector<std::uint32_t> result(endpoints.size(), 0);
        std::vector<const DaemonId*> unknown;
        for (const DaemonId& id : view.info.attached) {
            auto daemon = cell.daemons.find(id);
            if (daemon == cell.daemons.end() || (!isFresh(daemon->second, now) && !holdsLease(daemon->second, now)))
                unknown.push_back(&id);
        }
        std::vector<std::optional<std::uint32_t>> unexplained = unexplainedLoad(cell, view, grid, now);
        bool foreign = hasForeignLoad(cell, grid, unexplained, now);
        if (foreign)
            smoothForeignLoad(cell, view, unexplained);
        else
            cell.unattributedLoad.clear();
        if (!foreign && unknown.empty())
            return result;
        bool collecting = now - cell.startedAt < collectionTime;
        for (std::size_t e = 0; e < endpoints.size(); ++e) {
            if (grid.limit[e] == 0)
                continue;
            result[e] = unexplained[e].value_or(0);
            if (unexplained[e] && !collecting)
                continue;
            std::uint32_t parts = 0;
            for (const DaemonId* id : unknown) {
                auto daemon = cell.daemons.find(*id);
                std::uint32_t held = daemon == cell.daemons.end() ? 0 : heldSlots(daemon->second, endpoints[e]);
                parts += std::max(held, fallbackSlots(view.info, endpoints[e], grid.limit[e], *id));
            }
            result[e] = std::max(result[e], parts);
            if (unexplained[e] || view.endpoints.endpoints.at(endpoints[e]).lastReportAt.count == 0)
                continue;
            // Until the next load report all slots that are not known to be free count as used.
            std::uint32_t known = knownInFlight(cell, endpoints[e], now);
            result[e] = std::max(result[e], grid.limit[e] > known ? grid.limit[e] - known : 0);
        }
        return result;
    }

    std::uint32_t grantedTo(const SlotMatrix& grid, std::size_t d)
    {
        std::uint32_t sum = 0;
        for (std::size_t e = 0; e < grid.limit.size(); ++e)
            sum += grid.allocated[grid.at(d, e)];
        return sum;
    }

    struct EndpointSums {
        std::vector<std::uint32_t> granted; ///< Targets of this step plus slots outside the scheduler's control.
        std::vector<std::uint32_t> held; ///< Slots that may be in use at this moment.
    };

    EndpointSums sumEndpoints(const SlotMatrix& grid)
    {
        EndpointSums sums;
        for (std::size_t e = 0; e < grid.limit.size(); ++e) {
            std::uint32_t granted = grid.unknown[e] + grid.heldOutside[e];
            std::uint32_t held = granted;
            for (std::size_t d = 0; d < grid.daemons.size(); ++d) {
                granted += grid.allocated[grid.at(d, e)];
                held += std::max(grid.allocated[grid.at(d, e)], grid.committed[grid.at(d, e)]);
            }
            sums.granted.push_back(granted);
            sums.held.push_back(held);
        }
        return sums;
    }

    /// \brief Takes slots from daemons above their target, unused ones first, and from endpoints that lost capacity.
    void releaseSlots(SlotMatrix& grid)
    {
        for (std::size_t e = 0; e < grid.limit.size(); ++e) {
            std::uint32_t sum = grid.unknown[e] + grid.heldOutside[e];
            for (std::size_t d = 0; d < grid.daemons.size(); ++d)
                sum += grid.allocated[grid.at(d, e)];
            while (sum > grid.limit[e]) {
                std::size_t most = grid.allocated.size();
                for (std::size_t d = 0; d < grid.daemons.size(); ++d) {
                    std::size_t at = grid.at(d, e);
                    if (grid.allocated[at] > 0
                        && (most == grid.allocated.size() || grid.allocated[at] > grid.allocated[most]))
                        most = at;
                }
                if (most == grid.allocated.size())
                    break;
                --grid.allocated[most];
                --sum;
            }
        }
        for (std::size_t d = 0; d < grid.daemons.size(); ++d) {
            std::uint32_t total = grantedTo(grid, d);
            while (total > grid.target[d]) {
                // The endpoint with the most idle slots, else the one with the fewest granted ones: a daemon's slots
                // stay on few endpoints, which keeps the messages short.
                std::size_t best = 0;
                std::int64_t bestScore = -1;
                for (std::size_t e = 0; e < grid.limit.size(); ++e) {
                    std::int64_t granted = grid.allocated[grid.at(d, e)];
                    if (granted == 0)
                        continue;
                    std::int64_t idle = std::max<std::int64_t>(0, granted - grid.inFlight[grid.at(d, e)]);
                    std::int64_t score = idle * 1'000 + 999 - std::min<std::int64_t>(granted, 999);
                    if (score > bestScore) {
                        best = e;
                        bestScore = score;
                    }
                }
                if (bestScore < 0)
                    break;
                --grid.allocated[grid.at(d, best)];
                --total;
            }
        }
    }

    /// \brief Gives daemons below their target slots that are free or, within the refill margin, about to be free.
    void grantSlots(SlotMatrix& grid, std::uint32_t margin)
    {
        EndpointSums sums = sumEndpoints(grid);
        std::vector<std::uint32_t> total(grid.daemons.size());
        for (std::size_t d = 0; d < total.size(); ++d)
            total[d] = grantedTo(grid, d);
        for (;;) {
            std::size_t neediest = total.size();
            double bestNeed = 0;
            for (std::size_t d = 0; d < total.size(); ++d) {
                double need = grid.target[d] > total[d] ? (grid.target[d] - total[d]) / (1.0 + total[d]) : 0;
                if (need > bestNeed) {
                    bestNeed = need;
                    neediest = d;
                }
            }
            if (neediest == total.size())
                return;
            std::size_t best = grid.limit.size();
            std::int64_t bestScore = -1;
            for (std::size_t e = 0; e < grid.limit.size(); ++e) {
                std::size_t at = grid.at(neediest, e);
                // Growing up to what the daemon is already known to hold takes nothing from others.
                bool within = grid.allocated[at] < grid.committed[at];
                if (sums.granted[e] >= grid.limit[e] || (!within && sums.held[e] >= grid.limit[e] + margin))
                    continue;
                bool isFree = within || sums.held[e] < grid.limit[e];
                std::int64_t score = (within          ? 2'000'000
                                             : isFree ? 1'000'000
                                                      : 0)
                    + grid.allocated[at] * 1'000 + (grid.limit[e] - std::min(grid.limit[e], sums.granted[e]));
                if (score > bestScore) {
                    best = e;
                    bestScore = score;
                }
            }
            if (best == grid.limit.size()) {
                total[neediest] = grid.target[neediest]; // Nothing to give now; the next step tries again.
                continue;
            }
            std::size_t at = grid.at(neediest, best);
            if (grid.allocated[at] >= grid.committed[at])
                ++sums.held[best];
            ++grid.allocated[at];
            ++sums.granted[best];
            ++total[neediest];
        }
    }

}

bool isFresh(const ReportingDaemon& daemon, Millis now) noexcept { return daemon.lastReportAt + reportLife > now; }

std::uint32_t heldSlots(const ReportingDaemon& daemon, const EndpointId& endpoint)
{
    std::uint32_t held = std::max(valueOr0(daemon.inFlight, endpoint), valueOr0(daemon.allocatedSlots, endpoint));
    for (const SentAllocation& sent : daemon.sent)
        held = std::max(held, valueOr0(sent.slots, endpoint));
    return held;
}

SlotMatrix makeGrid(CellSchedulerState& cell, const CellView& view, Millis now)
{
    SlotMatrix grid;
    const auto& endpoints = view.info.endpoints;
    grid.limit.assign(endpoints.size(), 0);
    grid.heldOutside.assign(endpoints.size(), 0);
    for (std::size_t e = 0; e < endpoints.size(); ++e) {
        auto endpoint = view.endpoints.endpoints.find(endpoints[e]);
        if (endpoint != view.endpoints.endpoints.end() && usable(endpoint->second, now))
            grid.limit[e] = endpoint->second.concurrencyLimit;
    }
    for (auto& [id, daemon] : cell.daemons) {
        if (isFresh(daemon, now)) {
            // A report that was sent before the end of a lease may arrive after it and hide what was started in
            // between, so an allocation counts until a report shows that a later one was applied.
            std::erase_if(daemon.sent, [&](const SentAllocation& sent) { return sent.expires + longestDelay <= now; });
            grid.daemons.emplace_back(&id, &daemon);
            continue;
        }
        daemon.allocatedSlots.clear();
        daemon.quotas.clear();
        for (std::size_t e = 0; e < endpoints.size() && holdsLease(daemon, now); ++e)
            grid.heldOutside[e] += heldSlots(daemon, endpoints[e]);
    }
    grid.unknown = unknownUse(cell, view, grid, now);
    grid.allocated.assign(grid.daemons.size() * endpoints.size(), 0);
    grid.committed = grid.allocated;
    grid.inFlight = grid.allocated;
    std::map<std::string_view, std::size_t> index;
    for (std::size_t e = 0; e < endpoints.size(); ++e)
        index.emplace(endpoints[e].value, e);
    auto spread = [&](std::size_t d, const auto& map, std::vector<std::uint32_t>& values) {
        for (const auto& [id, count] : map) {
            if (auto e = index.find(id.value); e != index.end()) {
                std::uint32_t& value = values[grid.at(d, e->second)];
                value = std::max(value, count);
            }
        }
    };
    for (std::size_t d = 0; d < grid.daemons.size(); ++d) {
        const ReportingDaemon& daemon = *grid.daemons[d].second;
        spread(d, daemon.allocatedSlots, grid.allocated);
        spread(d, daemon.inFlight, grid.inFlight);
        spread(d, daemon.inFlight, grid.committed);
        for (const SentAllocation& sent : daemon.sent)
            spread(d, sent.slots, grid.committed);
    }
    for (std::size_t e = 0; e < endpoints.size(); ++e) {
        std::uint32_t outside = grid.unknown[e] + grid.heldOutside[e];
        grid.capacity += grid.limit[e] > outside ? grid.limit[e] - outside : 0;
    }
    return grid;
}

void spreadSpare(SlotMatrix& grid, std::uint32_t spare)
{
    if (grid.daemons.empty())
        return;
    auto count = static_cast<std::uint32_t>(grid.daemons.size());
    for (std::size_t d = 0; d < count; ++d)
        grid.target[d] += spare / count + (d < spare % count ? 1 : 0);
}

void placeSlots(SlotMatrix& grid, const CellView& view)
{
    if (!view.options.mechanisms.hysteresis)
        std::fill(grid.allocated.begin(), grid.allocated.end(), 0);
    releaseSlots(grid);
    grantSlots(grid, view.configuration.limits.refillMargin);
    for (std::size_t d = 0; d < grid.daemons.size(); ++d) {
        auto& granted = grid.daemons[d].second->allocatedSlots;
        granted.clear();
        for (std::size_t e = 0; e < grid.limit.size(); ++e) {
            if (std::uint32_t count = grid.allocated[grid.at(d, e)]; count > 0)
                granted.emplace(view.info.endpoints[e], count);
        }
    }
}

}
