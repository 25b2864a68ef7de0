#include "core/CellScheduler.h"

#include "core/SlotPlacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace jasminestack {

namespace {

    // Time in which the correction aims to repay a workspace's distance behind the mean. A few request durations, so
    // that slots do not move back and forth.
    constexpr double correctionHorizonSeconds = 4.0;
    constexpr double minimumCorrection = 0.25;
    constexpr double maximumCorrection = 4.0;
    // Smoothing time of the measured service rate.
    constexpr double rateSeconds = 5.0;
    // Slots that a target must differ from the present quota before the quota changes.
    constexpr double quotaHysteresis = 0.6;
    constexpr double splitHysteresis = 1.0;
    // Interval to which carried fractions refer.
    constexpr double carrySeconds = 0.5;
    constexpr double maximumCarry = 1.5;
    // Share of a workspace that is no longer in the configuration and still has requests.
    constexpr double removedShare = 0.01;
    // Between allocations that are sent to a daemon without a report of its.
    constexpr Millis notifyGap { 200 };
    // Unused byte budget of this long may be spent at once.
    constexpr double budgetSeconds = 1.0;
    // Typical size of an allocation.
    constexpr double notificationBytes = 200;
    // Normalised service above this is sent as an integer, which takes half the bytes and is exact enough for ties.
    constexpr double fractionLimit = 100;

    double shareOf(const Configuration& configuration, const WorkspaceId& id)
    {
        auto workspace = configuration.workspaces.find(id);
        return workspace == configuration.workspaces.end() ? removedShare : workspace->second.share;
    }

    double shortened(double normalised) { return normalised > fractionLimit ? std::round(normalised) : normalised; }

    // A backlog at a daemon that fell silent counts as present for this long: after a partition its workspaces are owed
    // what they missed, up to this time's worth.
    constexpr Millis uncertainTime { 60'000 };

    // Age at which another cell's counters no longer count. With many cells each is heard only every few intervals.
    constexpr Millis remoteLife { 30'000 };
    // Gain at which the cells together repay a distance in one correction horizon.
    constexpr double nominalGain = 0.1;

    struct WorkspaceStep {
        const WorkspaceId* id { nullptr };
        ScheduledWorkspace* state { nullptr };
        double share { 0 };
        bool backlogged { false };
        double demand { 0 };
        std::vector<std::pair<std::size_t, std::uint32_t>> daemons; ///< Index into SlotMatrix::daemons and its demand.
        std::uint32_t quota { 0 };
        double target { 0 };
    };

    /// \brief Raises returning workspaces and collects the active ones.
    std::vector<WorkspaceStep> collectWorkspaces(
        CellSchedulerState& cell, const CellView& view, const SlotMatrix& grid, Millis now)
    {
        std::map<WorkspaceId, WorkspaceStep> active;
        for (std::size_t d = 0; d < grid.daemons.size(); ++d) {
            for (const auto& [id, demand] : grid.daemons[d].second->demand) {
                std::uint32_t wanted = demand.queued + demand.running;
                if (wanted == 0)
                    continue;
                WorkspaceStep& step = active[id];
                step.backlogged |= demand.queued > 0;
                step.demand += wanted;
                step.daemons.emplace_back(d, wanted);
            }
        }
        bool any = false;
        double floor = 0;
        for (auto& [id, step] : active) {
            const ScheduledWorkspace& workspace = cell.workspaces[id];
            if (step.backlogged && workspace.active && (!any || workspace.normalisedService < floor)) {
                floor = workspace.normalisedService;
                any = true;
            }
        }
        cell.virtualTime = any ? std::max(cell.virtualTime, floor) : cell.virtualTime;
        std::set<WorkspaceId> uncertain;
        for (const auto& [daemon, report] : cell.daemons) {
            if (isFresh(report, now) || report.lastReportAt + uncertainTime <= now)
                continue;
            for (const auto& [id, demand] : report.demand) {
                if (demand.queued > 0)
                    uncertain.insert(id);
            }
        }
        for (auto& [id, workspace] : cell.workspaces) {
            if (!active.contains(id)) {
                workspace.active = workspace.active && uncertain.contains(id);
                workspace.slotDeficit = 0;
                workspace.quota = 0;
            }
        }
        std::vector<WorkspaceStep> steps;
        for (auto& [id, step] : active) {
            auto found = cell.workspaces.find(id);
            step.id = &found->first;
            step.state = &found->second;
            if (!step.state->active && view.options.mechanisms.raisesReturningWorkspaces)
                step.state->normalisedService = std::max(step.state->normalisedService, any ? floor : cell.virtualTime);
            step.state->active = true;
            step.share = shareOf(view.configuration, id);
            steps.push_back(std::move(step));
        }
        return steps;
    }

    /// \returns By workspace, how far it is behind the share-weighted mean of the backlogged ones: in this cell if it
    /// is the only one, else in all cells of the pool, damped.
    std::vector<double> lags(
        const CellSchedulerState& cell, const std::vector<WorkspaceStep>& steps, double gain, Millis now)
    {
        auto cells = 1.0
            + static_cast<double>(std::count_if(cell.remote.begin(), cell.remote.end(),
                [&](const auto& entry) { return entry.second.lastReportAt + remoteLife > now; }));
        bool alone = cells < 2 || gain <= 0;
        // Each cell repays its part of the whole distance; undamped, all would favour the same workspace at once.
        double damped = alone ? 1.0 : std::min(1.0, gain / nominalGain / cells);
        double shares = 0;
        double weighted = 0;
        for (const WorkspaceStep& step : steps) {
            if (step.backlogged) {
                shares += step.share;
                weighted += step.share * step.state->normalisedService;
            }
        }
        std::vector<double> result;
        for (const WorkspaceStep& step : steps) {
            double lag = shares > 0 ? weighted / shares - step.state->normalisedService : 0;
            for (const auto& [id, remote] : cell.remote) {
                if (alone || remote.lastReportAt + remoteLife <= now)
                    continue;
                // A workspace without requests there falls behind from when it became active here.
                if (auto since = remote.baselines.find(*step.id); since != remote.baselines.end()) {
                    auto gained = remote.measuredService.find(*step.id);
                    double there = gained == remote.measuredService.end() ? 0 : gained->second;
                    lag += (remote.meanService - since->second.first) - (there - since->second.second);
                }
            }
            result.push_back(damped * lag);
        }
        return result;
    }

    void roundQuotas(std::vector<WorkspaceStep>& steps, const CellView& view, std::uint32_t capacity, double seconds)
    {
        const SchedulingMechanisms& mechanisms = view.options.mechanisms;
        std::vector<double> wanted;
        double total = 0;
        std::int64_t sum = 0;
        for (WorkspaceStep& step : steps) {
            total += step.target;
            double y = std::clamp(
                step.target + (mechanisms.keepsSlotDeficits ? step.state->slotDeficit : 0.0), 0.0, step.demand);
            double previous = step.state->quota;
            bool keep = mechanisms.hysteresis && std::abs(y - previous) < quotaHysteresis && previous <= step.demand;
            step.quota = keep ? step.state->quota : static_cast<std::uint32_t>(std::lround(y));
            wanted.push_back(y);
            sum += step.quota;
        }
        auto goal = static_cast<std::int64_t>(std::min<double>(capacity, std::round(total)));
        while (sum != goal) {
            std::size_t best = steps.size();
            double bestDistance = 0;
            for (std::size_t i = 0; i < steps.size(); ++i) {
                double distance = wanted[i] - steps[i].quota;
                bool possible = sum < goal ? steps[i].quota < steps[i].demand : steps[i].quota > 0;
                if (sum > goal)
                    distance = -distance;
                if (possible && (best == steps.size() || distance > bestDistance)) {
                    best = i;
                    bestDistance = distance;
                }
            }
            if (best == steps.size())
                break;
            steps[best].quota = sum < goal ? steps[best].quota + 1 : steps[best].quota - 1;
            sum += sum < goal ? 1 : -1;
        }
        for (WorkspaceStep& step : steps) {
            step.state->quota = step.quota;
            bool satisfied = step.target >= step.demand;
            double owed = step.state->slotDeficit + (step.target - step.quota) * seconds / carrySeconds;
            step.state->slotDeficit = satisfied ? 0 : std::clamp(owed, -maximumCarry, maximumCarry);
        }
    }

    /// \brief Splits a workspace's quota over the daemons in proportion to its requests there.
    void splitQuota(const WorkspaceStep& step, SlotMatrix& grid, bool hysteresis)
    {
        std::vector<std::uint32_t> parts;
        std::vector<double> wanted;
        std::int64_t sum = 0;
        for (const auto& [d, demand] : step.daemons) {
            double target = step.quota * demand / step.demand;
            std::uint32_t previous = std::min(demand, valueOr0(grid.daemons[d].second->quotas, *step.id));
            bool keep = hysteresis && std::abs(target - previous) < splitHysteresis;
            parts.push_back(keep ? previous : std::min(demand, static_cast<std::uint32_t>(std::lround(target))));
            wanted.push_back(target);
            sum += parts.back();
        }
        while (sum != step.quota) {
            std::size_t best = parts.size();
            double bestDistance = 0;
            bool more = sum < step.quota;
            for (std::size_t i = 0; i < parts.size(); ++i) {
                double distance = (wanted[i] - parts[i]) * (more ? 1 : -1);
                bool possible = more ? parts[i] < step.daemons[i].second : parts[i] > 0;
                if (possible && (best == parts.size() || distance > bestDistance)) {
                    best = i;
                    bestDistance = distance;
                }
            }
            if (best == parts.size())
                break;
            parts[best] = more ? parts[best] + 1 : parts[best] - 1;
            sum += more ? 1 : -1;
        }
        for (std::size_t i = 0; i < parts.size(); ++i) {
            std::size_t d = step.daemons[i].first;
            grid.target[d] += parts[i];
            grid.daemons[d].second->quotas[*step.id] = parts[i];
        }
    }

}

std::vector<double> waterFill(const std::vector<WeightedDemand>& claimants, double capacity)
{
    std::vector<std::size_t> order(claimants.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return claimants[a].demand * claimants[b].weight < claimants[b].demand * claimants[a].weight;
    });
    double weight = 0;
    for (const WeightedDemand& claimant : claimants)
        weight += claimant.weight;
    std::vector<double> parts(claimants.size(), 0);
    for (std::size_t i : order) {
        if (weight <= 0)
            break;
        parts[i] = std::min(claimants[i].demand, capacity * claimants[i].weight / weight);
        capacity -= parts[i];
        weight -= claimants[i].weight;
    }
    return parts;
}

bool acceptReport(CellSchedulerState& cell, const CellView& view, const DaemonId& sender, std::uint64_t incarnation,
    const DemandReport& report, Millis now)
{
    ReportingDaemon& daemon = cell.daemons[sender];
    bool restarted = incarnation > daemon.incarnation;
    if (incarnation < daemon.incarnation || (!restarted && report.sequence <= daemon.reportSequence))
        return false;
    // Counters of a daemon that this scheduler knows start at 0; of others, the part before now is in the normalised
    // service that they heard.
    bool countsFromZero = daemon.reportSequence > 0;
    if (restarted) {
        // The earlier incarnation's counters are already part of the service; its slots are free once its requests
        // have ended, which the load reports show.
        daemon = {};
        daemon.incarnation = incarnation;
    }
    daemon.reportSequence = report.sequence;
    daemon.lastReportAt = now;
    daemon.inFlight.clear();
    for (const EndpointInFlight& use : report.inFlightByEndpoint)
        daemon.inFlight[use.endpoint] = use.inFlight;
    std::uint64_t newest = daemon.sent.empty() ? 0 : daemon.sent.back().sequence;
    if (report.allocationSequence <= newest) {
        while (!daemon.sent.empty() && daemon.sent.front().sequence < report.allocationSequence)
            daemon.sent.pop_front();
    }
    for (auto& [id, demand] : daemon.demand) {
        demand.queued = 0;
        demand.running = 0;
    }
    for (const WorkspaceDemand& demand : report.demand) {
        auto [known, added] = daemon.demand.try_emplace(demand.workspace, demand);
        double share = shareOf(view.configuration, demand.workspace);
        auto [workspace, isNew] = cell.workspaces.try_emplace(demand.workspace);
        if ((isNew || now - cell.startedAt < collectionTime) && demand.normalisedService > 0) {
            // A new scheduler goes on from the counters that the daemons heard from the earlier one.
            workspace->second.normalisedService
                = std::max(workspace->second.normalisedService, demand.normalisedService);
            workspace->second.active = true;
        }
        bool collected = now - cell.startedAt >= collectionTime;
        if (collected && !workspace->second.active && demand.queued + demand.running > 0
            && view.options.mechanisms.raisesReturningWorkspaces) {
            // Raised before the service of its first requests is added, which it may have started in spare slots.
            workspace->second.normalisedService = std::max(workspace->second.normalisedService, cell.virtualTime);
            workspace->second.active = true;
        }
        if (!added || countsFromZero) {
            double before = added ? 0.0 : static_cast<double>(known->second.servedCost);
            double served = static_cast<double>(demand.servedCost) - before;
            workspace->second.normalisedService += served / share;
            workspace->second.measuredService += served / share;
            cell.serviceSinceStep += served;
            known->second = demand;
        }
    }
    return true;
}

void recomputeAllocations(CellSchedulerState& cell, const CellView& view, Millis now)
{
    const SchedulingMechanisms& mechanisms = view.options.mechanisms;
    double seconds = cell.lastStep.count > 0 ? (now - cell.lastStep).seconds() : 0.0;
    double decay = std::exp(-seconds / rateSeconds);
    cell.recentService = cell.recentService * decay + cell.serviceSinceStep;
    cell.recentSeconds = cell.recentSeconds * decay + seconds;
    cell.serviceSinceStep = 0;
    cell.lastStep = now;
    SlotMatrix grid = makeGrid(cell, view, now);
    std::vector<WorkspaceStep> steps = collectWorkspaces(cell, view, grid, now);
    std::vector<double> lag = lags(cell, steps, view.options.crossCellGain, now);
    double shares = 0;
    for (const WorkspaceStep& step : steps)
        shares += step.share;
    // Normalised service that a workspace gains per second at its exact share.
    double pace = shares > 0 && cell.recentSeconds > 0 ? cell.recentService / cell.recentSeconds / shares : 0;
    std::vector<WeightedDemand> claimants;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        double correction = 1;
        if (mechanisms.correction && pace > 0) {
            correction
                = std::clamp(1 + lag[i] / (pace * correctionHorizonSeconds), minimumCorrection, maximumCorrection);
        }
        claimants.push_back({ .weight = steps[i].share * correction, .demand = steps[i].demand });
    }
    std::vector<double> parts = waterFill(claimants, grid.capacity);
    for (std::size_t i = 0; i < steps.size(); ++i)
        steps[i].target = parts[i];
    roundQuotas(steps, view, grid.capacity, std::min(1.0, seconds));
    grid.target.assign(grid.daemons.size(), 0);
    for (const auto& entry : grid.daemons) {
        ReportingDaemon& daemon = *entry.second;
        std::erase_if(daemon.quotas, [&](const auto& quota) {
            auto demand = daemon.demand.find(quota.first);
            return demand == daemon.demand.end() || demand->second.queued + demand->second.running == 0;
        });
    }
    std::uint32_t assigned = 0;
    for (const WorkspaceStep& step : steps) {
        splitQuota(step, grid, mechanisms.hysteresis);
        assigned += step.quota;
    }
    cell.spareSlots = grid.capacity > assigned ? grid.capacity - assigned : 0;
    spreadSpare(grid, cell.spareSlots);
    placeSlots(grid, view);
}

Allocation issueAllocation(
    CellSchedulerState& cell, const CellView& view, const DaemonId& id, std::uint64_t epoch, Millis now)
{
    ReportingDaemon& daemon = cell.daemons[id];
    // Numbers of a later state of this scheduler must not repeat, so they start at the time.
    cell.sequence = std::max(cell.sequence + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.count)));
    Allocation allocation { .cell = cell.id,
        .schedulerIncarnation = epoch,
        .sequence = cell.sequence,
        .reportSequence = daemon.reportSequence,
        .leaseDuration = view.options.allocationLease,
        .slots = {},
        .quotas = {} };
    daemon.lastSentSlots = 0;
    for (const auto& [endpoint, slots] : daemon.allocatedSlots) {
        allocation.slots.push_back({ .endpoint = endpoint, .slots = slots });
        daemon.lastSentSlots += slots;
    }
    for (const auto& [workspace, quota] : daemon.quotas) {
        allocation.quotas.push_back({ .workspace = workspace,
            .maxRunning = quota,
            .normalisedService = shortened(cell.workspaces.at(workspace).normalisedService) });
    }
    daemon.sent.push_back(
        { .sequence = cell.sequence, .expires = now + view.options.allocationLease, .slots = daemon.allocatedSlots });
    daemon.lastSent = now;
    return allocation;
}

void spendBudget(CellSchedulerState& cell, const CellView& view, std::size_t bytes, Millis now)
{
    double rate = view.options.cellBytesPerSecond;
    cell.byteBudget
        = std::min(rate * budgetSeconds, cell.byteBudget + rate * (now - cell.byteBudgetUpdatedAt).seconds());
    cell.byteBudgetUpdatedAt = now;
    cell.byteBudget -= static_cast<double>(bytes);
}

std::vector<DaemonId> daemonsToNotify(CellSchedulerState& cell, const CellView& view, Millis now)
{
    std::vector<std::pair<std::uint32_t, DaemonId>> waiting;
    if (!view.options.mechanisms.immediateReports)
        return {};
    for (const auto& [id, daemon] : cell.daemons) {
        if (!isFresh(daemon, now) || now - daemon.lastSent < notifyGap)
            continue;
        bool backlogged = std::any_of(
            daemon.demand.begin(), daemon.demand.end(), [](const auto& entry) { return entry.second.queued > 0; });
        std::uint32_t granted = 0;
        for (const auto& [endpoint, slots] : daemon.allocatedSlots)
            granted += slots;
        if (backlogged && granted > daemon.lastSentSlots)
            waiting.emplace_back(granted - daemon.lastSentSlots, id);
    }
    // The budget goes to the daemons that can start most.
    std::sort(waiting.rbegin(), waiting.rend());
    std::vector<DaemonId> result;
    double left = cell.byteBudget;
    for (const auto& [slots, id] : waiting) {
        left -= notificationBytes;
        if (left < 0)
            break;
        result.push_back(id);
    }
    return result;
}

CellReport makeCellReport(CellSchedulerState& cell)
{
    CellReport exchange {
        .cell = cell.id, .sequence = ++cell.cellReportSequence, .spareSlots = cell.spareSlots, .workspaceService = {}
    };
    for (const auto& [id, workspace] : cell.workspaces) {
        if (workspace.active) {
            exchange.workspaceService.push_back({ .workspace = id,
                .maxRunning = workspace.quota,
                .normalisedService = shortened(workspace.measuredService) });
        }
    }
    return exchange;
}

void acceptCellReport(CellSchedulerState& cell, const Configuration& configuration, const CellReport& exchange,
    const DaemonId& sender, Millis now)
{
    RemoteCell& remote = cell.remote[exchange.cell];
    bool sameSender = remote.scheduler == sender;
    if (sameSender && exchange.sequence <= remote.sequence)
        return;
    remote.scheduler = sender;
    remote.lastReportAt = now;
    remote.sequence = exchange.sequence;
    remote.spareSlots = exchange.spareSlots;
    double shares = 0;
    double weighted = 0;
    for (const WorkspaceQuota& entry : exchange.workspaceService) {
        auto [known, added] = remote.measuredService.try_emplace(entry.workspace, entry.normalisedService);
        double gained = entry.normalisedService - known->second;
        known->second = entry.normalisedService;
        if (added)
            continue;
        if (!sameSender) {
            // A new scheduler counts from another origin.
            if (auto since = remote.baselines.find(entry.workspace); since != remote.baselines.end())
                since->second.second += gained;
            continue;
        }
        double share = shareOf(configuration, entry.workspace);
        shares += share;
        weighted += share * gained;
    }
    remote.meanService += shares > 0 ? weighted / shares : 0;
    std::erase_if(remote.baselines, [&](const auto& entry) {
        auto workspace = cell.workspaces.find(entry.first);
        return workspace == cell.workspaces.end() || !workspace->second.active;
    });
    for (const auto& [id, workspace] : cell.workspaces) {
        if (!workspace.active)
            continue;
        auto gained = remote.measuredService.find(id);
        remote.baselines.try_emplace(
            id, remote.meanService, gained == remote.measuredService.end() ? 0.0 : gained->second);
    }
}

std::vector<std::pair<DaemonId, CellReport>> spareSlotReports(
    const CellSchedulerState& cell, const CellMap& map, Millis now)
{
    std::vector<std::pair<DaemonId, CellReport>> result;
    const RemoteCell* best = nullptr;
    const CellId* bestId = nullptr;
    for (const auto& [id, remote] : cell.remote) {
        if (remote.lastReportAt + remoteLife > now && remote.spareSlots > 0 && map.cells.contains(id)
            && (!best || remote.spareSlots > best->spareSlots)) {
            best = &remote;
            bestId = &id;
        }
    }
    if (!best || cell.spareSlots > 0)
        return result;
    const std::vector<DaemonId>& attached = map.cells.at(*bestId).attached;
    for (const auto& [id, daemon] : cell.daemons) {
        bool backlogged = std::any_of(
            daemon.demand.begin(), daemon.demand.end(), [](const auto& entry) { return entry.second.queued > 0; });
        if (isFresh(daemon, now) && backlogged && !std::binary_search(attached.begin(), attached.end(), id))
            result.emplace_back(
                id, CellReport { .cell = *bestId, .sequence = best->sequence, .spareSlots = best->spareSlots });
    }
    return result;
}

}
