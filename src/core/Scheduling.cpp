#include "core/Scheduling.h"

#include "core/Admission.h"
#include "core/SchedulingState.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminestack {

namespace {

    // Maximum delay until changes of the endpoint table by other controllers take effect. refreshEndpoints() for 600
    // endpoints takes a fraction of a millisecond.
    constexpr Millis refreshInterval { 10 };
    // Older load reports do not show how many of the fallback slots are free: during cautiousFallbackTime none counts
    // as free, after it all may be used.
    constexpr Millis fallbackLoadReportLifetime { 2'000 };
    // Time after its allocation expired or the cell was attached in which a daemon uses only those of its fallback
    // slots that load reports show as free. After a start or a pause the scheduler may have allocated its fallback
    // slots to other daemons, and the reply to its first report takes a few milliseconds.
    constexpr Millis cautiousFallbackTime { 1'000 };

    std::uint32_t fallbackPart(
        CellClient& client, const CellInfo& info, const EndpointState& endpoint, const DaemonId& self)
    {
        auto [cachedPart, added] = client.fallbackParts.try_emplace(endpoint.id, 0U, 0U);
        if (added || cachedPart->second.first != endpoint.concurrencyLimit)
            cachedPart->second
                = { endpoint.concurrencyLimit, fallbackSlots(info, endpoint.id, endpoint.concurrencyLimit, self) };
        return cachedPart->second.second;
    }

    std::uint32_t allowedSlots(SchedulingState& state, const SchedulingContext& view, const EndpointState& endpoint,
        const CellId& cell, Millis now)
    {
        auto client = state.cellClients.find(cell);
        if (client == state.cellClients.end())
            return 0;
        if (client->second.usesSpareSlotsOnly && client->second.spareSlotsExpireAt <= now)
            return 0;
        if (state.options.policy == SchedulingPolicy::Fair && client->second.allocationExpiresAt > now) {
            auto slots = client->second.allocatedSlots.find(endpoint.id);
            std::uint32_t slotLimit = endpoint.concurrencyLimit + view.configuration.limits.refillMargin;
            return slots == client->second.allocatedSlots.end() ? 0 : std::min(slots->second, slotLimit);
        }
        if (client->second.usesSpareSlotsOnly)
            return 0;
        const CellInfo& info = state.cellMap.cells.at(cell);
        std::uint32_t ownPart = fallbackPart(client->second, info, endpoint, view.self.id);
        if (info.schedulers.size() < 2 || state.options.policy != SchedulingPolicy::Fair)
            return ownPart;
        bool hasRecentLoadReport
            = endpoint.lastReportAt.count > 0 && endpoint.lastReportAt + fallbackLoadReportLifetime > now;
        if (hasRecentLoadReport && endpoint.reportedWaiting > 0)
            return 0;
        if (now - client->second.fallbackStartedAt >= cautiousFallbackTime)
            return ownPart;
        std::uint32_t load = endpoint.reportedRunning + endpoint.reportedWaiting;
        std::uint32_t freeSlots
            = hasRecentLoadReport && load < endpoint.concurrencyLimit ? endpoint.concurrencyLimit - load : 0;
        return std::min(ownPart, endpoint.inFlight + freeSlots);
    }

    void applyConfiguration(SchedulingState& state, const SchedulingContext& view)
    {
        for (auto& [id, pool] : state.queues.pools) {
            std::erase_if(pool.workspaces, [&](const auto& entry) {
                return !entry.second.active() && !view.configuration.workspaces.contains(entry.first);
            });
            for (auto& [workspace, queue] : pool.workspaces) {
                if (auto found = view.configuration.workspaces.find(workspace);
                    found != view.configuration.workspaces.end())
                    queue.share = found->second.share;
            }
        }
    }

    /// \brief Rebuilds the cell map after a change of members or configuration.
    void refreshCells(SchedulingState& state, const SchedulingContext& view, Millis now)
    {
        std::tuple key { view.configuration.version, view.configuration.throughOffset,
            view.configuration.presetInForce };
        std::vector<CellMember> members = liveMembers(view.self, view.members);
        if (key == state.configurationKey && members == state.members)
            return;
        state.configurationKey = key;
        state.members = std::move(members);
        state.cellMap = makeCellMap(view.configuration, view.self, state.members);
        applyConfiguration(state, view);
        for (auto& [id, client] : state.cellClients) {
            client.usesSpareSlotsOnly = true;
            client.fallbackParts.clear();
        }
        for (const auto& [pool, cells] : state.cellMap.attachedCells) {
            for (const CellId& cell : cells) {
                auto [it, added] = state.cellClients.try_emplace(cell);
                CellClient& client = it->second;
                client.cell = cell;
                if (added)
                    client.fallbackStartedAt = now;
                client.usesSpareSlotsOnly = false;
            }
        }
        std::erase_if(state.cellClients, [&](const auto& entry) { return !state.cellMap.cells.contains(entry.first); });
        std::erase_if(
            state.scheduledCells, [&](const auto& entry) { return !state.cellMap.cells.contains(entry.first); });
        state.isEndpointRefreshNeeded = true;
    }

    void refresh(SchedulingState& state, const SchedulingContext& view, Millis now)
    {
        refreshCells(state, view, now);
        if (!state.isEndpointRefreshNeeded && now - state.endpointsRefreshedAt < refreshInterval
            && state.endpointCount == view.endpoints.endpoints.size())
            return;
        for (auto& [id, client] : state.cellClients)
            expireAllocation(client, state.queues, now);
        refreshEndpoints(
            state.dispatch, view.endpoints, state.cellMap, now, [&](const EndpointState& endpoint, const CellId& cell) {
                return allowedSlots(state, view, endpoint, cell, now);
            });
        state.endpointCount = view.endpoints.endpoints.size();
        state.endpointsRefreshedAt = now;
        state.isEndpointRefreshNeeded = false;
    }

    ExpectedCapacity expectedCapacity(
        const SchedulingState& state, const PoolId& pool, const WorkspaceQueue* queue, double share)
    {
        auto dispatch = state.dispatch.pools.find(pool);
        if (dispatch == state.dispatch.pools.end())
            return {};
        double shareSum = share;
        if (auto queues = state.queues.pools.find(pool); queues != state.queues.pools.end()) {
            for (const WorkspaceQueue* other : queues->second.backlogged)
                shareSum += other == queue ? 0 : other->share;
        }
        double ownPart = dispatch->second.allowedSlots * share / shareSum;
        return { .slots = queue ? std::max<double>(ownPart, queue->quota) : ownPart,
            .hasFreeSlot = dispatch->second.freeSlots > 0 };
    }

    /// \brief Marks the pool's demand reports as urgent if slots became idle since the last dispatch or a workspace
    /// became backlogged since the last reports.
    void markUrgentReports(SchedulingState& state, const PoolId& id)
    {
        auto queues = state.queues.pools.find(id);
        auto dispatch = state.dispatch.pools.find(id);
        if (dispatch == state.dispatch.pools.end())
            return;
        bool newlyBacklogged = queues != state.queues.pools.end()
            && std::any_of(queues->second.backlogged.begin(), queues->second.backlogged.end(),
                [](const WorkspaceQueue* queue) { return !queue->reportedBacklogged; });
        bool isIdle = dispatch->second.freeSlots > 0
            && (queues == state.queues.pools.end() || queues->second.backlogged.empty());
        bool newlyIdle = isIdle && !dispatch->second.wasIdle;
        dispatch->second.wasIdle = isIdle;
        if (!newlyBacklogged && !newlyIdle)
            return;
        for (auto it = state.cellClients.lower_bound({ .pool = id, .index = 0 });
             it != state.cellClients.end() && it->first.pool == id; ++it)
            it->second.isReportUrgent = true;
    }

}

std::optional<SchedulingPolicy> parseSchedulingPolicy(std::string_view name) noexcept
{
    if (name == "fair")
        return SchedulingPolicy::Fair;
    if (name == "static")
        return SchedulingPolicy::Static;
    if (name == "fifo")
        return SchedulingPolicy::Fifo;
    return std::nullopt;
}

void SchedulingStateDeleter::operator()(SchedulingState* state) const noexcept { delete state; }

SchedulingStatePointer makeSchedulingState(const SchedulingOptions& options)
{
    SchedulingStatePointer state(new SchedulingState { .options = options });
    state->queues.raisesReturningWorkspaces = options.mechanisms.raisesReturningWorkspaces;
    state->dispatch.order = options.policy == SchedulingPolicy::Fifo ? QueueOrder::Arrival : QueueOrder::Quota;
    return state;
}

Result<void> enqueue(SchedulingState& state, const SchedulingContext& view, QueuedRequest request, Millis now)
{
    refresh(state, view, now);
    const WorkspaceQueue* queue = nullptr;
    std::size_t requests = 0;
    std::size_t bytes = 0;
    for (const auto& [id, pool] : state.queues.pools) {
        auto found = pool.workspaces.find(request.workspace);
        if (found == pool.workspaces.end())
            continue;
        requests += found->second.queued();
        bytes += found->second.queuedBytes;
        if (id == request.pool)
            queue = &found->second;
    }
    auto workspace = view.configuration.workspaces.find(request.workspace);
    double share = workspace == view.configuration.workspaces.end() ? 1.0 : workspace->second.share;
    BOOST_OUTCOME_TRYV(admit(
        view.configuration, queue, expectedCapacity(state, request.pool, queue, share), request, requests, bytes, now));
    WorkspaceQueue& target = state.queues.pools[request.pool].workspaces[request.workspace];
    target.share = share;
    appendRequest(state.queues, std::move(request));
    return ok();
}

std::vector<RequestAssignment> dispatch(SchedulingState& state, const SchedulingContext& view, Millis now)
{
    refresh(state, view, now);
    std::vector<RequestAssignment> assignments;
    for (const auto& [id, pool] : state.queues.pools) {
        if (!pool.backlogged.empty())
            dispatchPool(state.dispatch, state.queues, view.endpoints, id, now, assignments);
        markUrgentReports(state, id);
    }
    return assignments;
}

void recordProgress(SchedulingState& state, const RequestId& id, double costSoFar)
{
    auto running = state.dispatch.running.find(id);
    if (running == state.dispatch.running.end() || costSoFar <= running->second.chargedCost)
        return;
    RunningRequest& request = running->second;
    WorkspaceQueue& queue = state.queues.pools.at(request.pool).workspaces.at(request.workspace);
    chargeCost(queue, request.cell, costSoFar - request.chargedCost);
    request.chargedCost = costSoFar;
}

void recordFinish(
    SchedulingState& state, const SchedulingContext& view, const RequestId& id, double cost, bool completed, Millis now)
{
    (void)finishRequest(state.dispatch, state.queues, view.endpoints, id, cost, completed, now);
}

void cancelQueued(SchedulingState& state, const RequestId& id) { (void)removeRequest(state.queues, id); }

std::vector<RequestId> expireQueued(SchedulingState& state, Millis now)
{
    std::vector<RequestId> expired;
    while (!state.queues.deadlines.empty() && state.queues.deadlines.begin()->first <= now.count) {
        RequestId id = state.queues.deadlines.begin()->second;
        (void)removeRequest(state.queues, id);
        expired.push_back(std::move(id));
    }
    return expired;
}

std::vector<RequestId> drainQueued(SchedulingState& state)
{
    std::vector<RequestId> removedRequests;
    while (!state.queues.positions.empty()) {
        RequestId id = state.queues.positions.begin()->first;
        (void)removeRequest(state.queues, id);
        removedRequests.push_back(std::move(id));
    }
    return removedRequests;
}

std::vector<OutboundMessage> tickScheduling(SchedulingState& state, const SchedulingContext& view, Millis now)
{
    std::vector<OutboundMessage> messages;
    state.isEndpointRefreshNeeded = true;
    refresh(state, view, now);
    if (state.options.policy != SchedulingPolicy::Fair)
        return messages;
    tickCells(state, view, messages, now);
    return messages;
}

std::vector<OutboundMessage> onDemandReport(SchedulingState& state, const SchedulingContext& view,
    const PeerMessage& message, const DemandReport& report, Millis now)
{
    if (state.options.policy != SchedulingPolicy::Fair)
        return {};
    refresh(state, view, now);
    return processDemandReport(state, view, message.sender, message.incarnation, report, now);
}

void onAllocation(SchedulingState& state, const SchedulingContext& view, const PeerMessage& message,
    const Allocation& allocation, Millis now)
{
    refresh(state, view, now);
    auto client = state.cellClients.find(allocation.cell);
    auto info = state.cellMap.cells.find(allocation.cell);
    if (client == state.cellClients.end() || info == state.cellMap.cells.end())
        return;
    if (applyAllocation(client->second, state.queues, info->second, message.sender, allocation, now))
        state.isEndpointRefreshNeeded = true;
}

void onCellReport(SchedulingState& state, const SchedulingContext& view, const PeerMessage& message,
    const CellReport& report, Millis now)
{
    if (state.options.policy != SchedulingPolicy::Fair)
        return;
    refresh(state, view, now);
    handleCellReport(state, view, report, message.sender, now);
}

std::vector<WorkspaceStatus> workspaceStatus(const SchedulingState& state, const SchedulingContext&)
{
    std::vector<WorkspaceStatus> result;
    for (const auto& [pool, queues] : state.queues.pools) {
        for (const auto& [id, queue] : queues.workspaces) {
            result.push_back({ .workspace = id,
                .pool = pool,
                .queued = static_cast<std::uint32_t>(queue.queued()),
                .running = queue.running,
                .servedCost = queue.chargedCost,
                .normalisedService = queue.normalisedService });
        }
    }
    return result;
}

std::vector<CellStatus> cellStatus(const SchedulingState& state, const SchedulingContext&, Millis now)
{
    std::vector<CellStatus> result;
    for (const auto& [id, client] : state.cellClients) {
        CellStatus status { .cell = id,
            .scheduler = responsiveScheduler(client, state.cellMap.cells.at(id), now),
            .allocationValid = client.allocationExpiresAt > now };
        auto scheduled = state.scheduledCells.find(id);
        status.needsLoadReports = !status.allocationValid
            || (scheduled != state.scheduledCells.end() && isScheduled(scheduled->second, now));
        if (auto pool = state.dispatch.pools.find(id.pool); pool != state.dispatch.pools.end()) {
            for (const DispatchEndpoint& dispatchEndpoint : pool->second.dispatchEndpoints) {
                if (pool->second.cells[dispatchEndpoint.cell].id != id)
                    continue;
                status.slots += dispatchEndpoint.allowedSlots;
                status.inFlight += dispatchEndpoint.inFlight;
            }
        }
        result.push_back(std::move(status));
    }
    return result;
}

}
