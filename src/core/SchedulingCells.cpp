#include "core/SchedulingState.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jasminestack {

namespace {

    // Number of other cells that get a cell report in each interval, in turn: with 19 cells and 32 backlogged
    // workspaces a report is about 0.8 KB, and the daemon's budget is 4 KB/s.
    constexpr std::size_t reportTargetsPerInterval = 2;
    // A daemon no longer schedules a cell once it has received no demand report for it in this time.
    constexpr Millis schedulingTimeout { 5'000 };

    CellSchedulerContext cellView(const SchedulingState& state, const SchedulingContext& view, const CellInfo& info)
    {
        return {
            .info = info, .configuration = view.configuration, .endpoints = view.endpoints, .options = state.options
        };
    }

    void applyOwnAllocation(SchedulingState& state, const SchedulingContext& view, CellSchedulerState& cell,
        const CellInfo& info, Millis now)
    {
        CellClient& client = state.cellClients[cell.id];
        Allocation allocation
            = issueAllocation(cell, cellView(state, view, info), view.self.id, view.self.incarnation, now);
        if (applyAllocation(client, state.queues, info, view.self.id, allocation, now))
            state.isEndpointRefreshNeeded = true;
    }

    Millis lastDemandReportAt(const CellSchedulerState& cell)
    {
        Millis lastReportAt { -1'000'000 };
        for (const auto& [daemon, report] : cell.daemons)
            lastReportAt = std::max(lastReportAt, report.lastReportAt);
        return lastReportAt;
    }

    CellSchedulerState& findOrResetCell(SchedulingState& state, const CellId& id, Millis now)
    {
        auto [cell, added] = state.scheduledCells.try_emplace(id);
        // After a time without demand reports the state is out of date: another daemon may have scheduled the cell.
        if (added || lastDemandReportAt(cell->second) + schedulingTimeout <= now) {
            cell->second = {};
            cell->second.id = id;
            cell->second.startedAt = now;
        }
        return cell->second;
    }

    /// \brief Sends the service counters of the cells that this daemon schedules to the pool's other cells in the same
    /// region, a few of them per interval in turn, and reports of spare slots to daemons with a backlog.
    void sendCellReports(
        SchedulingState& state, const SchedulingContext& view, std::vector<OutboundMessage>& messages, Millis now)
    {
        std::vector<CellReport> localReports;
        for (auto& [id, cell] : state.scheduledCells) {
            if (now - cell.lastCellReportAt < state.options.cellReportInterval
                || lastDemandReportAt(cell) + schedulingTimeout <= now)
                continue;
            cell.lastCellReportAt = now;
            const CellInfo& ownInfo = state.cellMap.cells.at(id);
            std::vector<const CellInfo*> others;
            for (const auto& [other, info] : state.cellMap.cells) {
                if (other.pool == id.pool && other != id && info.region == ownInfo.region && !info.schedulers.empty())
                    others.push_back(&info);
            }
            if (others.empty())
                continue;
            CellReport cellReport = makeCellReport(cell);
            for (std::size_t i = 0; i < std::min(others.size(), reportTargetsPerInterval); ++i) {
                const CellInfo& other = *others[(cellReport.sequence * reportTargetsPerInterval + i) % others.size()];
                if (other.schedulers.front() == view.self.id)
                    localReports.push_back(cellReport);
                else
                    messages.push_back({ .to = other.schedulers.front(), .payload = cellReport });
            }
            for (auto& [daemon, spareSlotReport] : spareSlotReports(cell, state.cellMap, now)) {
                if (daemon == view.self.id)
                    localReports.push_back(spareSlotReport);
                else
                    messages.push_back({ .to = daemon, .payload = std::move(spareSlotReport) });
            }
        }
        for (const CellReport& cellReport : localReports)
            handleCellReport(state, view, cellReport, view.self.id, now);
    }

    /// \returns Cells of the pool whose slots this daemon uses, by attachment or because they reported spare slots.
    std::size_t cellsInUse(const SchedulingState& state, const PoolId& pool)
    {
        return static_cast<std::size_t>(std::count_if(state.cellClients.begin(), state.cellClients.end(),
            [&](const auto& entry) { return entry.first.pool == pool; }));
    }

    /// \brief Removes cells that are used only for their spare slots once the report of spare slots has expired and no
    /// request is in flight there.
    void dropSpareSlotCells(SchedulingState& state, Millis now)
    {
        std::erase_if(state.cellClients, [&](const auto& entry) {
            const CellClient& client = entry.second;
            if (!client.usesSpareSlotsOnly || client.spareSlotsExpireAt > now)
                return false;
            auto pool = state.dispatch.pools.find(entry.first.pool);
            return pool == state.dispatch.pools.end()
                || std::none_of(pool->second.dispatchEndpoints.begin(), pool->second.dispatchEndpoints.end(),
                    [&](const DispatchEndpoint& dispatchEndpoint) {
                        return dispatchEndpoint.inFlight > 0
                            && pool->second.cells[dispatchEndpoint.cell].id == entry.first;
                    });
        });
    }

}

bool isScheduled(const CellSchedulerState& cell, Millis now) noexcept
{
    return lastDemandReportAt(cell) + schedulingTimeout > now;
}

std::vector<OutboundMessage> processDemandReport(SchedulingState& state, const SchedulingContext& view,
    const DaemonId& sender, std::uint64_t incarnation, const DemandReport& report, Millis now)
{
    std::vector<OutboundMessage> messages;
    auto info = state.cellMap.cells.find(report.cell);
    if (info == state.cellMap.cells.end())
        return messages;
    CellSchedulerState& cell = findOrResetCell(state, report.cell, now);
    CellSchedulerContext cellInputs = cellView(state, view, info->second);
    if (!acceptReport(cell, cellInputs, sender, incarnation, report, now))
        return messages;
    if (now - cell.lastRecomputedAt >= state.options.minimumReportInterval || cell.lastRecomputedAt.count == 0)
        recomputeAllocations(cell, cellInputs, now);
    auto sendAllocation = [&](const DaemonId& daemon) {
        if (daemon == view.self.id) {
            applyOwnAllocation(state, view, cell, info->second, now);
            return;
        }
        Allocation allocation = issueAllocation(cell, cellInputs, daemon, view.self.incarnation, now);
        spendBudget(cell, cellInputs, messageBytes(allocation), now);
        messages.push_back({ .to = daemon, .payload = std::move(allocation) });
    };
    if (sender != view.self.id)
        spendBudget(cell, cellInputs, messageBytes(report), now);
    sendAllocation(sender);
    for (const DaemonId& daemon : daemonsToNotify(cell, cellInputs, now))
        sendAllocation(daemon);
    return messages;
}

void handleCellReport(SchedulingState& state, const SchedulingContext& view, const CellReport& cellReport,
    const DaemonId& sender, Millis now)
{
    if (!state.cellMap.cells.contains(cellReport.cell))
        return;
    if (!cellReport.workspaceService.empty() || cellReport.spareSlots == 0) {
        for (auto& [id, cell] : state.scheduledCells) {
            if (id.pool == cellReport.cell.pool && id != cellReport.cell)
                acceptCellReport(cell, view.configuration, cellReport, sender, now);
        }
    }
    auto queues = state.queues.pools.find(cellReport.cell.pool);
    bool backlogged = queues != state.queues.pools.end() && !queues->second.backlogged.empty();
    if (cellReport.spareSlots == 0 || !backlogged)
        return;
    auto [client, added] = state.cellClients.try_emplace(cellReport.cell);
    if (added) {
        client->second.cell = cellReport.cell;
        client->second.usesSpareSlotsOnly = true;
        client->second.isReportUrgent = true;
    }
    client->second.spareSlotsExpireAt = now + Millis { 3 * state.options.cellReportInterval.count };
}

void tickCells(
    SchedulingState& state, const SchedulingContext& view, std::vector<OutboundMessage>& messages, Millis now)
{
    for (auto& [id, client] : state.cellClients) {
        const CellInfo& info = state.cellMap.cells.at(id);
        // A single daemon owns all slots and needs no allocation.
        if (info.schedulers.size() < 2)
            continue;
        detectUnresponsiveScheduler(client, info, view.self.id, now);
        auto queues = state.queues.pools.find(id.pool);
        bool backlogged = queues != state.queues.pools.end() && !queues->second.backlogged.empty();
        if (!isReportDue(client, info, state.options, view.self.id, backlogged, now))
            continue;
        std::size_t usedCells = cellsInUse(state, id.pool);
        DaemonId scheduler = client.currentScheduler;
        DemandReport report
            = makeDemandReport(client, state.queues, state.dispatch, usedCells, scheduler, view.self.id, now);
        if (scheduler != view.self.id) {
            messages.push_back({ .to = scheduler, .payload = std::move(report) });
            continue;
        }
        std::vector<OutboundMessage> messagesOfCell
            = processDemandReport(state, view, view.self.id, view.self.incarnation, report, now);
        std::move(messagesOfCell.begin(), messagesOfCell.end(), std::back_inserter(messages));
    }
    sendCellReports(state, view, messages, now);
    dropSpareSlotCells(state, now);
}

}
