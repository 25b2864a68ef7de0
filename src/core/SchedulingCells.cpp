#include "core/SchedulingState.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jasminestack {

namespace {

    // Other cells that are told of the service at each exchange, in turn: with 19 cells and 32 backlogged workspaces
    // one message is about 0.8 KB, and the daemon's budget is 4 KB/s.
    constexpr std::size_t exchangeTargets = 2;
    // A cell without a report for this long is no longer scheduled here.
    constexpr Millis cellLife { 5'000 };

    CellView cellView(const SchedulingState& state, const SchedulingView& view, const CellInfo& info)
    {
        return {
            .info = info, .configuration = view.configuration, .endpoints = view.endpoints, .options = state.options
        };
    }

    void applyOwnAllocation(
        SchedulingState& state, const SchedulingView& view, CellSchedulerState& cell, const CellInfo& info, Millis now)
    {
        CellClient& client = state.cellClients[cell.id];
        Allocation allocation
            = issueAllocation(cell, cellView(state, view, info), view.self.id, view.self.incarnation, now);
        if (applyAllocation(client, state.queues, info, view.self.id, allocation, now))
            state.refreshNeeded = true;
    }

    Millis lastReportHeard(const CellSchedulerState& cell)
    {
        Millis heard { -1'000'000 };
        for (const auto& [daemon, report] : cell.daemons)
            heard = std::max(heard, report.lastReportAt);
        return heard;
    }

    CellSchedulerState& scheduledCell(SchedulingState& state, const CellId& id, Millis now)
    {
        auto [cell, added] = state.scheduledCells.try_emplace(id);
        // After a pause the reports are out of date and others have scheduled meanwhile.
        if (added || lastReportHeard(cell->second) + cellLife <= now) {
            cell->second = {};
            cell->second.id = id;
            cell->second.startedAt = now;
        }
        return cell->second;
    }

    /// \brief Sends the service counters of the cells that this daemon schedules to the pool's other cells.
    void exchangeCells(
        SchedulingState& state, const SchedulingView& view, std::vector<OutboundMessage>& messages, Millis now)
    {
        std::vector<CellReport> local;
        for (auto& [id, cell] : state.scheduledCells) {
            if (now - cell.lastCellReportAt < state.options.cellReportInterval
                || lastReportHeard(cell) + cellLife <= now)
                continue;
            cell.lastCellReportAt = now;
            const CellInfo& own = state.cellMap.cells.at(id);
            std::vector<const CellInfo*> others;
            for (const auto& [other, info] : state.cellMap.cells) {
                if (other.pool == id.pool && other != id && info.region == own.region && !info.schedulers.empty())
                    others.push_back(&info);
            }
            if (others.empty())
                continue;
            CellReport exchange = makeCellReport(cell);
            for (std::size_t i = 0; i < std::min(others.size(), exchangeTargets); ++i) {
                const CellInfo& other = *others[(exchange.sequence * exchangeTargets + i) % others.size()];
                if (other.schedulers.front() == view.self.id)
                    local.push_back(exchange);
                else
                    messages.push_back({ .to = other.schedulers.front(), .payload = exchange });
            }
            for (auto& [daemon, news] : spareSlotReports(cell, state.cellMap, now)) {
                if (daemon == view.self.id)
                    local.push_back(news);
                else
                    messages.push_back({ .to = daemon, .payload = std::move(news) });
            }
        }
        for (const CellReport& exchange : local)
            handleCellReport(state, view, exchange, view.self.id, now);
    }

    /// \returns Cells of the pool whose slots this daemon uses, by attachment or because they have spare ones.
    std::size_t cellsInUse(const SchedulingState& state, const PoolId& pool)
    {
        return static_cast<std::size_t>(std::count_if(state.cellClients.begin(), state.cellClients.end(),
            [&](const auto& entry) { return entry.first.pool == pool; }));
    }

    /// \brief Leaves cells that are used only for their spare slots once there are none or no work is left.
    void dropExtraCells(SchedulingState& state, Millis now)
    {
        std::erase_if(state.cellClients, [&](const auto& entry) {
            const CellClient& client = entry.second;
            if (!client.extra || client.spareUntil > now)
                return false;
            auto pool = state.dispatch.pools.find(entry.first.pool);
            return pool == state.dispatch.pools.end()
                || std::none_of(
                    pool->second.slots.begin(), pool->second.slots.end(), [&](const DispatchEndpoint& slot) {
                        return slot.inFlight > 0 && pool->second.cells[slot.cell].id == entry.first;
                    });
        });
    }

}

bool isScheduled(const CellSchedulerState& cell, Millis now) noexcept { return lastReportHeard(cell) + cellLife > now; }

std::vector<OutboundMessage> answerReport(SchedulingState& state, const SchedulingView& view, const DaemonId& sender,
    std::uint64_t incarnation, const DemandReport& report, Millis now)
{
    std::vector<OutboundMessage> messages;
    auto info = state.cellMap.cells.find(report.cell);
    if (info == state.cellMap.cells.end())
        return messages;
    CellSchedulerState& cell = scheduledCell(state, report.cell, now);
    CellView inputs = cellView(state, view, info->second);
    if (!acceptReport(cell, inputs, sender, incarnation, report, now))
        return messages;
    if (now - cell.lastStep >= state.options.minimumReportGap || cell.lastStep.count == 0)
        recomputeAllocations(cell, inputs, now);
    auto answer = [&](const DaemonId& daemon) {
        if (daemon == view.self.id) {
            applyOwnAllocation(state, view, cell, info->second, now);
            return;
        }
        Allocation allocation = issueAllocation(cell, inputs, daemon, view.self.incarnation, now);
        spendBudget(cell, inputs, messageBytes(allocation), now);
        messages.push_back({ .to = daemon, .payload = std::move(allocation) });
    };
    if (sender != view.self.id)
        spendBudget(cell, inputs, messageBytes(report), now);
    answer(sender);
    for (const DaemonId& daemon : daemonsToNotify(cell, inputs, now))
        answer(daemon);
    return messages;
}

void handleCellReport(
    SchedulingState& state, const SchedulingView& view, const CellReport& exchange, const DaemonId& sender, Millis now)
{
    if (!state.cellMap.cells.contains(exchange.cell))
        return;
    if (!exchange.workspaceService.empty() || exchange.spareSlots == 0) {
        for (auto& [id, cell] : state.scheduledCells) {
            if (id.pool == exchange.cell.pool && id != exchange.cell)
                acceptCellReport(cell, view.configuration, exchange, sender, now);
        }
    }
    auto queues = state.queues.pools.find(exchange.cell.pool);
    bool backlogged = queues != state.queues.pools.end() && !queues->second.backlogged.empty();
    if (exchange.spareSlots == 0 || !backlogged)
        return;
    auto [client, added] = state.cellClients.try_emplace(exchange.cell);
    if (added) {
        client->second.cell = exchange.cell;
        client->second.extra = true;
        client->second.urgent = true;
    }
    client->second.spareUntil = now + Millis { 3 * state.options.cellReportInterval.count };
}

void tickCells(SchedulingState& state, const SchedulingView& view, std::vector<OutboundMessage>& messages, Millis now)
{
    for (auto& [id, client] : state.cellClients) {
        const CellInfo& info = state.cellMap.cells.at(id);
        // A lone daemon owns all slots and needs no allocation.
        if (info.schedulers.size() < 2)
            continue;
        checkSilence(client, info, view.self.id, now);
        auto queues = state.queues.pools.find(id.pool);
        bool backlogged = queues != state.queues.pools.end() && !queues->second.backlogged.empty();
        if (!reportDue(client, info, state.options, view.self.id, backlogged, now))
            continue;
        std::size_t attached = cellsInUse(state, id.pool);
        DaemonId scheduler = client.following;
        DemandReport report = makeReport(client, state.queues, state.dispatch, attached, scheduler, view.self.id, now);
        if (scheduler != view.self.id) {
            messages.push_back({ .to = scheduler, .payload = std::move(report) });
            continue;
        }
        std::vector<OutboundMessage> answers
            = answerReport(state, view, view.self.id, view.self.incarnation, report, now);
        std::move(answers.begin(), answers.end(), std::back_inserter(messages));
    }
    exchangeCells(state, view, messages, now);
    dropExtraCells(state, now);
}

}
