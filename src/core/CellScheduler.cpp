#include "core/CellScheduler.h"

#include "core/SlotPlacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace jasminestack {

namespace {

    // Time in which the correction is to compensate a workspace's service lag behind the mean: a few request durations,
    // so that slots do not move back and forth.
    constexpr double correctionHorizonSeconds = 4.0;
    constexpr double minimumCorrection = 0.25;
    constexpr double maximumCorrection = 4.0;
    // Time constant of the smoothed service rate.
    constexpr double rateSmoothingSeconds = 5.0;
    // Minimum difference in slots between target and current quota for a change of the quota.
    constexpr double quotaHysteresis = 0.6;
    // The same difference for one daemon's part of a quota.
    constexpr double splitHysteresis = 1.0;
    // Interval in which a slot deficit grows by the full difference between target and quota.
    constexpr double slotDeficitSeconds = 0.5;
    constexpr double maximumSlotDeficit = 1.5;
    // Share of a workspace that is no longer in the configuration and still has requests.
    constexpr double removedWorkspaceShare = 0.01;
    // Minimum time between two allocations to a daemon when the second does not reply to a report.
    constexpr Millis notificationInterval { 200 };
    // Burst size of the byte budget, as time at its rate.
    constexpr double byteBudgetSeconds = 1.0;
    // Typical size of an allocation in bytes.
    constexpr double typicalAllocationBytes = 200;
    // Normalised service above this is rounded to an integer before it is sent: half the bytes, and precise enough to
    // order workspaces.
    constexpr double maximumFractionalService = 100;

    double shareInForce(const Configuration& configuration, const WorkspaceId& id)
    {
        auto workspace = configuration.workspaces.find(id);
        return workspace == configuration.workspaces.end() ? removedWorkspaceShare : workspace->second.share;
    }

    double roundLargeService(double normalised)
    {
        return normalised > maximumFractionalService ? std::round(normalised) : normalised;
    }

    // Time for which the last reported backlog of a daemon without recent reports is assumed to exist. Its workspaces
    // are not raised when the daemon reports again, so that after a partition they get the service that they missed in
    // this time.
    constexpr Millis silentBacklogLifetime { 60'000 };

    // Time for which another cell's report is used. With many cells a cell's report arrives only every few intervals.
    constexpr Millis remoteCellLifetime { 30'000 };
    // Gain at which all cells together compensate a service lag in one correction horizon.
    constexpr double nominalGain = 0.1;

    /// \brief A workspace with requests, in one recomputation.
    struct WorkspaceRecomputation {
        const WorkspaceId* id { nullptr };
        ScheduledWorkspace* state { nullptr };
        double share { 0 };
        bool backlogged { false };
        double demand { 0 };
        /// Index into SlotMatrix::daemons and demand in slots.
        std::vector<std::pair<std::size_t, std::uint32_t>> daemons;
        std::uint32_t quota { 0 };
        double target { 0 };
    };

    /// \brief Raises returning workspaces and returns the active ones.
    std::vector<WorkspaceRecomputation> collectWorkspaces(
        CellSchedulerState& cell, const CellSchedulerContext& view, const SlotMatrix& matrix, Millis now)
    {
        std::map<WorkspaceId, WorkspaceRecomputation> active;
        for (std::size_t d = 0; d < matrix.daemons.size(); ++d) {
            for (const auto& [id, demand] : matrix.daemons[d].second->demand) {
                std::uint32_t demandedSlots = demand.queued + demand.running;
                if (demandedSlots == 0)
                    continue;
                WorkspaceRecomputation& recomputation = active[id];
                recomputation.backlogged |= demand.queued > 0;
                recomputation.demand += demandedSlots;
                recomputation.daemons.emplace_back(d, demandedSlots);
            }
        }
        bool anyBacklogged = false;
        double minimumService = 0;
        for (auto& [id, recomputation] : active) {
            const ScheduledWorkspace& workspace = cell.workspaces[id];
            if (recomputation.backlogged && workspace.active
                && (!anyBacklogged || workspace.normalisedService < minimumService)) {
                minimumService = workspace.normalisedService;
                anyBacklogged = true;
            }
        }
        cell.virtualTime = anyBacklogged ? std::max(cell.virtualTime, minimumService) : cell.virtualTime;
        std::set<WorkspaceId> possiblyBacklogged;
        for (const auto& [daemon, report] : cell.daemons) {
            if (hasRecentReport(report, now) || report.lastReportAt + silentBacklogLifetime <= now)
                continue;
            for (const auto& [id, demand] : report.demand) {
                if (demand.queued > 0)
                    possiblyBacklogged.insert(id);
            }
        }
        for (auto& [id, workspace] : cell.workspaces) {
            if (!active.contains(id)) {
                workspace.active = workspace.active && possiblyBacklogged.contains(id);
                workspace.slotDeficit = 0;
                workspace.quota = 0;
            }
        }
        std::vector<WorkspaceRecomputation> recomputations;
        for (auto& [id, recomputation] : active) {
            auto found = cell.workspaces.find(id);
            recomputation.id = &found->first;
            recomputation.state = &found->second;
            if (!recomputation.state->active && view.options.mechanisms.raisesReturningWorkspaces)
                recomputation.state->normalisedService = std::max(
                    recomputation.state->normalisedService, anyBacklogged ? minimumService : cell.virtualTime);
            recomputation.state->active = true;
            recomputation.share = shareInForce(view.configuration, id);
            recomputations.push_back(std::move(recomputation));
        }
        return recomputations;
    }

    /// \returns For each workspace, how far its normalised service is below the share-weighted mean of the backlogged
    /// workspaces. Without recent reports of other cells, or with \p gain 0, the lag in this cell; else the damped sum
    /// of its lags in all cells of the pool.
    std::vector<double> serviceLags(const CellSchedulerState& cell,
        const std::vector<WorkspaceRecomputation>& recomputations, double gain, Millis now)
    {
        auto cellCount = 1.0
            + static_cast<double>(std::count_if(cell.remoteCells.begin(), cell.remoteCells.end(),
                [&](const auto& entry) { return entry.second.lastReportAt + remoteCellLifetime > now; }));
        bool usesOnlyThisCell = cellCount < 2 || gain <= 0;
        // Each cell compensates its part of the total lag; without damping all cells would favour the same workspace at
        // once.
        double damping = usesOnlyThisCell ? 1.0 : std::min(1.0, gain / nominalGain / cellCount);
        double shareSum = 0;
        double weightedSum = 0;
        for (const WorkspaceRecomputation& recomputation : recomputations) {
            if (recomputation.backlogged) {
                shareSum += recomputation.share;
                weightedSum += recomputation.share * recomputation.state->normalisedService;
            }
        }
        std::vector<double> result;
        for (const WorkspaceRecomputation& recomputation : recomputations) {
            double lag = shareSum > 0 ? weightedSum / shareSum - recomputation.state->normalisedService : 0;
            for (const auto& [id, remote] : cell.remoteCells) {
                if (usesOnlyThisCell || remote.lastReportAt + remoteCellLifetime <= now)
                    continue;
                // From the time when the workspace became active in this cell, its lag grows by the remote cell's mean
                // service minus its own service there, also if it has no requests there.
                if (auto baseline = remote.baselines.find(*recomputation.id); baseline != remote.baselines.end()) {
                    auto measured = remote.measuredService.find(*recomputation.id);
                    double remoteService = measured == remote.measuredService.end() ? 0 : measured->second;
                    lag += (remote.meanService - baseline->second.first) - (remoteService - baseline->second.second);
                }
            }
            result.push_back(damping * lag);
        }
        return result;
    }

    void roundQuotas(std::vector<WorkspaceRecomputation>& recomputations, const CellSchedulerContext& view,
        std::uint32_t capacity, double seconds)
    {
        const SchedulingMechanisms& mechanisms = view.options.mechanisms;
        std::vector<double> desiredQuotas;
        double unroundedSum = 0;
        std::int64_t quotaSum = 0;
        for (WorkspaceRecomputation& recomputation : recomputations) {
            unroundedSum += recomputation.target;
            double desiredQuota = std::clamp(
                recomputation.target + (mechanisms.keepsSlotDeficits ? recomputation.state->slotDeficit : 0.0), 0.0,
                recomputation.demand);
            double previous = recomputation.state->quota;
            bool keepsPrevious = mechanisms.usesHysteresis && std::abs(desiredQuota - previous) < quotaHysteresis
                && previous <= recomputation.demand;
            recomputation.quota
                = keepsPrevious ? recomputation.state->quota : static_cast<std::uint32_t>(std::lround(desiredQuota));
            desiredQuotas.push_back(desiredQuota);
            quotaSum += recomputation.quota;
        }
        auto targetSum = static_cast<std::int64_t>(std::min<double>(capacity, std::round(unroundedSum)));
        while (quotaSum != targetSum) {
            std::size_t best = recomputations.size();
            double bestDistance = 0;
            for (std::size_t i = 0; i < recomputations.size(); ++i) {
                double distance = desiredQuotas[i] - recomputations[i].quota;
                bool isPossible = quotaSum < targetSum ? recomputations[i].quota < recomputations[i].demand
                                                       : recomputations[i].quota > 0;
                if (quotaSum > targetSum)
                    distance = -distance;
                if (isPossible && (best == recomputations.size() || distance > bestDistance)) {
                    best = i;
                    bestDistance = distance;
                }
            }
            if (best == recomputations.size())
                break;
            recomputations[best].quota
                = quotaSum < targetSum ? recomputations[best].quota + 1 : recomputations[best].quota - 1;
            quotaSum += quotaSum < targetSum ? 1 : -1;
        }
        for (WorkspaceRecomputation& recomputation : recomputations) {
            recomputation.state->quota = recomputation.quota;
            bool satisfied = recomputation.target >= recomputation.demand;
            double deficit = recomputation.state->slotDeficit
                + (recomputation.target - recomputation.quota) * seconds / slotDeficitSeconds;
            recomputation.state->slotDeficit
                = satisfied ? 0 : std::clamp(deficit, -maximumSlotDeficit, maximumSlotDeficit);
        }
    }

    /// \brief Divides a workspace's quota over the daemons in proportion to its requests at each.
    void splitQuota(const WorkspaceRecomputation& recomputation, SlotMatrix& matrix, bool usesHysteresis)
    {
        std::vector<std::uint32_t> quotaParts;
        std::vector<double> desiredQuotas;
        std::int64_t quotaSum = 0;
        for (const auto& [d, demand] : recomputation.daemons) {
            double target = recomputation.quota * demand / recomputation.demand;
            std::uint32_t previous = std::min(demand, valueOrZero(matrix.daemons[d].second->quotas, *recomputation.id));
            bool keepsPrevious = usesHysteresis && std::abs(target - previous) < splitHysteresis;
            quotaParts.push_back(
                keepsPrevious ? previous : std::min(demand, static_cast<std::uint32_t>(std::lround(target))));
            desiredQuotas.push_back(target);
            quotaSum += quotaParts.back();
        }
        while (quotaSum != recomputation.quota) {
            std::size_t best = quotaParts.size();
            double bestDistance = 0;
            bool needsMore = quotaSum < recomputation.quota;
            for (std::size_t i = 0; i < quotaParts.size(); ++i) {
                double distance = (desiredQuotas[i] - quotaParts[i]) * (needsMore ? 1 : -1);
                bool isPossible = needsMore ? quotaParts[i] < recomputation.daemons[i].second : quotaParts[i] > 0;
                if (isPossible && (best == quotaParts.size() || distance > bestDistance)) {
                    best = i;
                    bestDistance = distance;
                }
            }
            if (best == quotaParts.size())
                break;
            quotaParts[best] = needsMore ? quotaParts[best] + 1 : quotaParts[best] - 1;
            quotaSum += needsMore ? 1 : -1;
        }
        for (std::size_t i = 0; i < quotaParts.size(); ++i) {
            std::size_t d = recomputation.daemons[i].first;
            matrix.target[d] += quotaParts[i];
            matrix.daemons[d].second->quotas[*recomputation.id] = quotaParts[i];
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
    std::vector<double> quotaParts(claimants.size(), 0);
    for (std::size_t i : order) {
        if (weight <= 0)
            break;
        quotaParts[i] = std::min(claimants[i].demand, capacity * claimants[i].weight / weight);
        capacity -= quotaParts[i];
        weight -= claimants[i].weight;
    }
    return quotaParts;
}

bool acceptReport(CellSchedulerState& cell, const CellSchedulerContext& view, const DaemonId& sender,
    std::uint64_t incarnation, const DemandReport& report, Millis now)
{
    ReportingDaemon& daemon = cell.daemons[sender];
    bool restarted = incarnation > daemon.incarnation;
    if (incarnation < daemon.incarnation || (!restarted && report.sequence <= daemon.reportSequence))
        return false;
    // If the daemon has reported to this scheduler before, a workspace that is new in this report had no service at the
    // previous report, so its whole counter is new service. In a daemon's first report, earlier service is already part
    // of the normalised service that it reports.
    bool countersStartAtZero = daemon.reportSequence > 0;
    if (restarted) {
        // The previous incarnation's counters are already part of the service. Load reports show when its requests have
        // ended and its slots are free.
        daemon = {};
        daemon.incarnation = incarnation;
    }
    daemon.reportSequence = report.sequence;
    daemon.lastReportAt = now;
    daemon.inFlight.clear();
    for (const EndpointInFlight& use : report.inFlightByEndpoint)
        daemon.inFlight[use.endpoint] = use.inFlight;
    std::uint64_t newestSequence = daemon.sentAllocations.empty() ? 0 : daemon.sentAllocations.back().sequence;
    if (report.allocationSequence <= newestSequence) {
        while (!daemon.sentAllocations.empty() && daemon.sentAllocations.front().sequence < report.allocationSequence)
            daemon.sentAllocations.pop_front();
    }
    for (auto& [id, demand] : daemon.demand) {
        demand.queued = 0;
        demand.running = 0;
    }
    for (const WorkspaceDemand& demand : report.demand) {
        auto [lastDemand, added] = daemon.demand.try_emplace(demand.workspace, demand);
        double share = shareInForce(view.configuration, demand.workspace);
        auto [workspace, isNewWorkspace] = cell.workspaces.try_emplace(demand.workspace);
        if ((isNewWorkspace || now - cell.startedAt < reportCollectionTime) && demand.normalisedService > 0) {
            // A new scheduler continues from the counters that the daemons received from the previous one.
            workspace->second.normalisedService
                = std::max(workspace->second.normalisedService, demand.normalisedService);
            workspace->second.active = true;
        }
        bool hasCollectedReports = now - cell.startedAt >= reportCollectionTime;
        if (hasCollectedReports && !workspace->second.active && demand.queued + demand.running > 0
            && view.options.mechanisms.raisesReturningWorkspaces) {
            // Raise the workspace before adding the service of its first requests, which may have started in spare
            // slots.
            workspace->second.normalisedService = std::max(workspace->second.normalisedService, cell.virtualTime);
            workspace->second.active = true;
        }
        if (!added || countersStartAtZero) {
            double before = added ? 0.0 : static_cast<double>(lastDemand->second.servedCost);
            double served = static_cast<double>(demand.servedCost) - before;
            workspace->second.normalisedService += served / share;
            workspace->second.measuredService += served / share;
            cell.serviceSinceRecomputation += served;
            lastDemand->second = demand;
        }
    }
    return true;
}

void recomputeAllocations(CellSchedulerState& cell, const CellSchedulerContext& view, Millis now)
{
    const SchedulingMechanisms& mechanisms = view.options.mechanisms;
    double seconds = cell.lastRecomputedAt.count > 0 ? (now - cell.lastRecomputedAt).seconds() : 0.0;
    double decay = std::exp(-seconds / rateSmoothingSeconds);
    cell.recentService = cell.recentService * decay + cell.serviceSinceRecomputation;
    cell.recentSeconds = cell.recentSeconds * decay + seconds;
    cell.serviceSinceRecomputation = 0;
    cell.lastRecomputedAt = now;
    SlotMatrix matrix = makeSlotMatrix(cell, view, now);
    std::vector<WorkspaceRecomputation> recomputations = collectWorkspaces(cell, view, matrix, now);
    std::vector<double> lag = serviceLags(cell, recomputations, view.options.crossCellGain, now);
    double shareSum = 0;
    for (const WorkspaceRecomputation& recomputation : recomputations)
        shareSum += recomputation.share;
    // Normalised service per second of a workspace that gets exactly its share.
    double serviceRate
        = shareSum > 0 && cell.recentSeconds > 0 ? cell.recentService / cell.recentSeconds / shareSum : 0;
    std::vector<WeightedDemand> claimants;
    for (std::size_t i = 0; i < recomputations.size(); ++i) {
        double correction = 1;
        if (mechanisms.correctsServiceLag && serviceRate > 0) {
            correction = std::clamp(
                1 + lag[i] / (serviceRate * correctionHorizonSeconds), minimumCorrection, maximumCorrection);
        }
        claimants.push_back({ .weight = recomputations[i].share * correction, .demand = recomputations[i].demand });
    }
    std::vector<double> quotaParts = waterFill(claimants, matrix.capacity);
    for (std::size_t i = 0; i < recomputations.size(); ++i)
        recomputations[i].target = quotaParts[i];
    roundQuotas(recomputations, view, matrix.capacity, std::min(1.0, seconds));
    matrix.target.assign(matrix.daemons.size(), 0);
    for (const auto& entry : matrix.daemons) {
        ReportingDaemon& daemon = *entry.second;
        std::erase_if(daemon.quotas, [&](const auto& quota) {
            auto demand = daemon.demand.find(quota.first);
            return demand == daemon.demand.end() || demand->second.queued + demand->second.running == 0;
        });
    }
    std::uint32_t assigned = 0;
    for (const WorkspaceRecomputation& recomputation : recomputations) {
        splitQuota(recomputation, matrix, mechanisms.usesHysteresis);
        assigned += recomputation.quota;
    }
    cell.spareSlots = matrix.capacity > assigned ? matrix.capacity - assigned : 0;
    distributeSpareSlots(matrix, cell.spareSlots);
    placeSlots(matrix, view);
}

Allocation issueAllocation(CellSchedulerState& cell, const CellSchedulerContext& view, const DaemonId& id,
    std::uint64_t schedulerIncarnation, Millis now)
{
    ReportingDaemon& daemon = cell.daemons[id];
    // The sequence starts at the current time, so that numbers do not repeat after the state is reset.
    cell.allocationSequence
        = std::max(cell.allocationSequence + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.count)));
    Allocation allocation { .cell = cell.id,
        .schedulerIncarnation = schedulerIncarnation,
        .sequence = cell.allocationSequence,
        .reportSequence = daemon.reportSequence,
        .leaseDuration = view.options.allocationLease,
        .slots = {},
        .quotas = {} };
    daemon.lastAllocationSlots = 0;
    for (const auto& [endpoint, slots] : daemon.allocatedSlots) {
        allocation.slots.push_back({ .endpoint = endpoint, .slots = slots });
        daemon.lastAllocationSlots += slots;
    }
    for (const auto& [workspace, quota] : daemon.quotas) {
        allocation.quotas.push_back({ .workspace = workspace,
            .maxRunning = quota,
            .normalisedService = roundLargeService(cell.workspaces.at(workspace).normalisedService) });
    }
    daemon.sentAllocations.push_back({ .sequence = cell.allocationSequence,
        .expiresAt = now + view.options.allocationLease,
        .slots = daemon.allocatedSlots });
    daemon.lastAllocationSentAt = now;
    return allocation;
}

void spendBudget(CellSchedulerState& cell, const CellSchedulerContext& view, std::size_t bytes, Millis now)
{
    double rate = view.options.cellBytesPerSecond;
    cell.byteBudget
        = std::min(rate * byteBudgetSeconds, cell.byteBudget + rate * (now - cell.byteBudgetUpdatedAt).seconds());
    cell.byteBudgetUpdatedAt = now;
    cell.byteBudget -= static_cast<double>(bytes);
}

std::vector<DaemonId> daemonsToNotify(CellSchedulerState& cell, const CellSchedulerContext& view, Millis now)
{
    std::vector<std::pair<std::uint32_t, DaemonId>> candidates;
    if (!view.options.mechanisms.sendsImmediateReports)
        return {};
    for (const auto& [id, daemon] : cell.daemons) {
        if (!hasRecentReport(daemon, now) || now - daemon.lastAllocationSentAt < notificationInterval)
            continue;
        bool backlogged = std::any_of(
            daemon.demand.begin(), daemon.demand.end(), [](const auto& entry) { return entry.second.queued > 0; });
        std::uint32_t allocated = 0;
        for (const auto& [endpoint, slots] : daemon.allocatedSlots)
            allocated += slots;
        if (backlogged && allocated > daemon.lastAllocationSlots)
            candidates.emplace_back(allocated - daemon.lastAllocationSlots, id);
    }
    // Daemons with the largest increase of slots come first.
    std::sort(candidates.rbegin(), candidates.rend());
    std::vector<DaemonId> result;
    double budgetLeft = cell.byteBudget;
    for (const auto& [slots, id] : candidates) {
        budgetLeft -= typicalAllocationBytes;
        if (budgetLeft < 0)
            break;
        result.push_back(id);
    }
    return result;
}

CellReport makeCellReport(CellSchedulerState& cell)
{
    CellReport cellReport {
        .cell = cell.id, .sequence = ++cell.cellReportSequence, .spareSlots = cell.spareSlots, .workspaceService = {}
    };
    for (const auto& [id, workspace] : cell.workspaces) {
        if (workspace.active) {
            cellReport.workspaceService.push_back({ .workspace = id,
                .maxRunning = workspace.quota,
                .normalisedService = roundLargeService(workspace.measuredService) });
        }
    }
    return cellReport;
}

void acceptCellReport(CellSchedulerState& cell, const Configuration& configuration, const CellReport& cellReport,
    const DaemonId& sender, Millis now)
{
    RemoteCell& remote = cell.remoteCells[cellReport.cell];
    bool sameSender = remote.scheduler == sender;
    if (sameSender && cellReport.sequence <= remote.sequence)
        return;
    remote.scheduler = sender;
    remote.lastReportAt = now;
    remote.sequence = cellReport.sequence;
    remote.spareSlots = cellReport.spareSlots;
    double shareSum = 0;
    double weightedSum = 0;
    for (const WorkspaceQuota& entry : cellReport.workspaceService) {
        auto [lastService, added] = remote.measuredService.try_emplace(entry.workspace, entry.normalisedService);
        double gained = entry.normalisedService - lastService->second;
        lastService->second = entry.normalisedService;
        if (added)
            continue;
        if (!sameSender) {
            // Another scheduler's counters start at a different value, so the difference is not service.
            if (auto baseline = remote.baselines.find(entry.workspace); baseline != remote.baselines.end())
                baseline->second.second += gained;
            continue;
        }
        double share = shareInForce(configuration, entry.workspace);
        shareSum += share;
        weightedSum += share * gained;
    }
    remote.meanService += shareSum > 0 ? weightedSum / shareSum : 0;
    std::erase_if(remote.baselines, [&](const auto& entry) {
        auto workspace = cell.workspaces.find(entry.first);
        return workspace == cell.workspaces.end() || !workspace->second.active;
    });
    for (const auto& [id, workspace] : cell.workspaces) {
        if (!workspace.active)
            continue;
        auto measured = remote.measuredService.find(id);
        remote.baselines.try_emplace(
            id, remote.meanService, measured == remote.measuredService.end() ? 0.0 : measured->second);
    }
}

std::vector<std::pair<DaemonId, CellReport>> spareSlotReports(
    const CellSchedulerState& cell, const CellMap& map, Millis now)
{
    std::vector<std::pair<DaemonId, CellReport>> result;
    const RemoteCell* best = nullptr;
    const CellId* bestId = nullptr;
    for (const auto& [id, remote] : cell.remoteCells) {
        if (remote.lastReportAt + remoteCellLifetime > now && remote.spareSlots > 0 && map.cells.contains(id)
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
        if (hasRecentReport(daemon, now) && backlogged && !std::binary_search(attached.begin(), attached.end(), id))
            result.emplace_back(
                id, CellReport { .cell = *bestId, .sequence = best->sequence, .spareSlots = best->spareSlots });
    }
    return result;
}

}
