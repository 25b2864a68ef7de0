#include "core/Dispatch.h"

#include "base/Hash.h"
#include "core/PrefixAffinity.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Weight of one request in the moving average of the time for which a workspace's requests occupy a slot.
    constexpr double learningRate = 0.05;
    constexpr std::size_t noIndex = static_cast<std::size_t>(-1);

    void changeInFlight(PoolDispatch& pool, DispatchEndpoint& slot, int change)
    {
        std::uint32_t before = slot.freeSlots();
        slot.inFlight = static_cast<std::uint32_t>(std::max(0, static_cast<int>(slot.inFlight) + change));
        std::uint32_t after = slot.freeSlots();
        pool.freeSlots += after - before;
        pool.cells[slot.cell].freeSlots += after - before;
    }

    void setExclusive(PoolDispatch& pool, DispatchEndpoint& slot, bool exclusive)
    {
        std::uint32_t before = slot.freeSlots();
        slot.exclusive = exclusive;
        std::uint32_t after = slot.freeSlots();
        pool.freeSlots += after - before;
        pool.cells[slot.cell].freeSlots += after - before;
    }

    void setAllowed(PoolDispatch& pool, DispatchEndpoint& slot, std::uint32_t allowedSlots)
    {
        std::uint32_t before = slot.freeSlots();
        slot.allowedSlots = allowedSlots;
        std::uint32_t after = slot.freeSlots();
        pool.freeSlots += after - before;
        pool.cells[slot.cell].freeSlots += after - before;
    }

    /// \brief Chooses an endpoint with a free slot: first the cell, then the endpoint in it, so that the time is
    /// bounded by the number of cells plus the size of a cell.
    std::size_t chooseFreeEndpoint(const PoolDispatch& pool, std::uint64_t prefix)
    {
        const DispatchCell* cell = nullptr;
        std::uint64_t best = 0;
        for (const DispatchCell& candidate : pool.cells) {
            if (candidate.freeSlots == 0)
                continue;
            std::uint64_t score = prefix ? affinityScore(prefix, candidate.hash) : candidate.freeSlots;
            if (!cell || score > best) {
                cell = &candidate;
                best = score;
            }
        }
        if (!cell)
            return noIndex;
        std::size_t chosen = noIndex;
        for (std::size_t i : cell->endpoints) {
            const DispatchEndpoint& slot = pool.slots[i];
            if (slot.freeSlots() == 0)
                continue;
            std::uint64_t score = prefix ? affinityScore(prefix, slot.hash) : slot.freeSlots();
            if (chosen == noIndex || score > best) {
                chosen = i;
                best = score;
            }
        }
        return chosen;
    }

    /// \brief Chooses an endpoint for a crash suspect or for a request with tried endpoints. Such requests are rare, so
    /// a scan of all endpoints is acceptable.
    std::size_t chooseConstrainedEndpoint(PoolDispatch& pool, const QueuedRequest& request)
    {
        auto wasTried = [&](const DispatchEndpoint& slot) {
            return std::find(request.triedEndpoints.begin(), request.triedEndpoints.end(), slot.id)
                != request.triedEndpoints.end();
        };
        bool untriedExists = std::any_of(pool.slots.begin(), pool.slots.end(),
            [&](const DispatchEndpoint& slot) { return slot.allowedSlots > 0 && !wasTried(slot); });
        std::size_t chosen = noIndex;
        for (std::size_t i = 0; i < pool.slots.size(); ++i) {
            const DispatchEndpoint& slot = pool.slots[i];
            if (slot.allowedSlots == 0 || (untriedExists && wasTried(slot)))
                continue;
            if (request.isCrashSuspect) {
                bool isReservedEndpoint = slot.id == pool.reservedEndpoint;
                if (slot.exclusive && !isReservedEndpoint)
                    continue;
                if (chosen == noIndex || slot.inFlight < pool.slots[chosen].inFlight)
                    chosen = i;
            } else if (slot.freeSlots() > 0
                && (chosen == noIndex || slot.freeSlots() > pool.slots[chosen].freeSlots())) {
                chosen = i;
            }
        }
        if (!request.isCrashSuspect || chosen == noIndex || pool.slots[chosen].inFlight == 0)
            return chosen;
        // No endpoint is empty: reserve the one with the fewest requests in flight, which gets no more until it is
        // empty.
        if (pool.reservedEndpoint.empty()) {
            pool.reservedEndpoint = pool.slots[chosen].id;
            setExclusive(pool, pool.slots[chosen], true);
        }
        return noIndex;
    }

    struct Choice {
        const QueuedRequest* request { nullptr };
        std::size_t slot { noIndex };
    };

    Choice choosePlaceable(PoolDispatch& pool, const WorkspaceQueue& queue)
    {
        bool plainFirst = !queue.unconstrained.empty() && queue.oldest() == &queue.unconstrained.front();
        if (!plainFirst || !pool.reservedEndpoint.empty()) {
            for (const QueuedRequest& request : queue.constrained) {
                if (std::size_t slot = chooseConstrainedEndpoint(pool, request); slot != noIndex)
                    return { .request = &request, .slot = slot };
            }
        }
        if (!queue.unconstrained.empty()) {
            if (std::size_t slot = chooseFreeEndpoint(pool, queue.unconstrained.front().prefixHash); slot != noIndex)
                return { .request = &queue.unconstrained.front(), .slot = slot };
        }
        return {};
    }

    void releaseReservation(PoolDispatch& pool)
    {
        if (auto it = pool.endpointIndex.find(pool.reservedEndpoint); it != pool.endpointIndex.end())
            setExclusive(pool, pool.slots[it->second], false);
        pool.reservedEndpoint = {};
    }

    void startRequest(DispatchState& state, FairQueue& queues, PoolDispatch& pool, DispatchEndpoint& slot,
        EndpointState& endpoint, WorkspaceQueue& queue, const RequestId& id, Millis now,
        std::vector<RequestAssignment>& assignments)
    {
        QueuedRequest request = *removeRequest(queues, id);
        const CellId& cell = pool.cells[slot.cell].id;
        double estimate = estimateCost(queue, request);
        PoolQueues& poolQueues = queues.pools.at(request.pool);
        poolQueues.virtualTime = std::max(poolQueues.virtualTime, queue.normalisedService);
        chargeCost(queue, cell, estimate);
        ++queue.running;
        ++queue.cells[cell].running;
        ++endpoint.inFlight;
        if (request.isCrashSuspect) {
            if (!pool.reservedEndpoint.empty())
                releaseReservation(pool);
            endpoint.runsCrashSuspect = true;
            setExclusive(pool, slot, true);
        }
        changeInFlight(pool, slot, 1);
        assignments.push_back({ .request = id, .endpoint = slot.id, .cell = cell });
        state.running.insert_or_assign(id,
            RunningRequest { .workspace = request.workspace,
                .pool = request.pool,
                .endpoint = slot.id,
                .cell = cell,
                .startedAt = now,
                .costHint = request.costHint,
                .chargedCost = estimate,
                .isCrashSuspect = request.isCrashSuspect });
    }

}

bool acceptsNewWork(const EndpointState& endpoint, Millis now) noexcept
{
    return !endpoint.leaving && !endpoint.removed && endpoint.backoffUntil <= now;
}

void refreshEndpoints(DispatchState& state, const EndpointTable& table, const CellMap& cells, Millis now,
    const std::function<std::uint32_t(const EndpointState&, const CellId&)>& allowedSlots)
{
    for (auto& [id, pool] : state.pools) {
        pool.slots.clear();
        pool.cells.clear();
        pool.endpointIndex.clear();
        pool.freeSlots = 0;
        pool.allowedSlots = 0;
    }
    std::map<CellId, std::size_t> cellIndices;
    for (const auto& [id, endpoint] : table.endpoints) {
        auto cell = cells.cellByEndpoint.find(id);
        if (cell == cells.cellByEndpoint.end() || cell->second.pool != endpoint.pool)
            continue;
        PoolDispatch& pool = state.pools[endpoint.pool];
        auto [position, added] = cellIndices.emplace(cell->second, pool.cells.size());
        if (added) {
            pool.cells.push_back({ .id = cell->second,
                .hash = hash64(cell->second.pool.value, cell->second.index),
                .endpoints = {},
                .freeSlots = 0 });
        }
        DispatchEndpoint slot { .id = id,
            .hash = hash64(id.value),
            .cell = position->second,
            .allowedSlots = acceptsNewWork(endpoint, now) ? allowedSlots(endpoint, cell->second) : 0,
            .inFlight = endpoint.inFlight,
            .exclusive = endpoint.runsCrashSuspect || id == pool.reservedEndpoint };
        DispatchCell& dispatchCell = pool.cells[position->second];
        dispatchCell.freeSlots += slot.freeSlots();
        dispatchCell.endpoints.push_back(pool.slots.size());
        pool.freeSlots += slot.freeSlots();
        pool.allowedSlots += slot.allowedSlots;
        pool.endpointIndex.emplace(id, pool.slots.size());
        pool.slots.push_back(std::move(slot));
    }
}

void dispatchPool(DispatchState& state, FairQueue& queues, EndpointTable& table, const PoolId& id, Millis now,
    std::vector<RequestAssignment>& assignments)
{
    auto queuesOfPool = queues.pools.find(id);
    auto dispatchOfPool = state.pools.find(id);
    if (queuesOfPool == queues.pools.end() || dispatchOfPool == state.pools.end())
        return;
    PoolQueues& poolQueues = queuesOfPool->second;
    PoolDispatch& pool = dispatchOfPool->second;
    if (!pool.reservedEndpoint.empty() && poolQueues.crashSuspects == 0)
        releaseReservation(pool);
    std::uint64_t round = ++state.round;
    while ((pool.freeSlots > 0 || !pool.reservedEndpoint.empty()) && !poolQueues.backlogged.empty()) {
        WorkspaceQueue* next = nullptr;
        for (WorkspaceQueue* queue : poolQueues.backlogged) {
            if (queue->blockedRound != round && (!next || servedBefore(*queue, *next, state.order)))
                next = queue;
        }
        if (!next)
            return;
        Choice choice = choosePlaceable(pool, *next);
        if (!choice.request) {
            next->blockedRound = round;
            continue;
        }
        DispatchEndpoint& slot = pool.slots[choice.slot];
        auto endpoint = table.endpoints.find(slot.id);
        if (endpoint == table.endpoints.end() || !acceptsNewWork(endpoint->second, now)) {
            // The copy is out of date; the next refreshEndpoints() rebuilds it.
            setAllowed(pool, slot, 0);
            continue;
        }
        startRequest(
            state, queues, pool, slot, endpoint->second, *next, RequestId(choice.request->id), now, assignments);
    }
}

bool finishRequest(DispatchState& state, FairQueue& queues, EndpointTable& table, const RequestId& id, double cost,
    bool completed, Millis now)
{
    auto found = state.running.find(id);
    if (found == state.running.end())
        return false;
    RunningRequest request = std::move(found->second);
    state.running.erase(found);
    WorkspaceQueue& queue = queues.pools.at(request.pool).workspaces.at(request.workspace);
    chargeCost(queue, request.cell, cost - request.chargedCost);
    --queue.running;
    --queue.cells[request.cell].running;
    auto slotTimeMs = static_cast<double>((now - request.startedAt).count);
    queue.averageSlotTimeMs = queue.averageSlotTimeMs > 0
        ? queue.averageSlotTimeMs + learningRate * (slotTimeMs - queue.averageSlotTimeMs)
        : slotTimeMs;
    if (completed)
        updateCostEstimate(queue, request.costHint, cost);
    auto endpoint = table.endpoints.find(request.endpoint);
    if (endpoint != table.endpoints.end()) {
        endpoint->second.inFlight -= endpoint->second.inFlight > 0 ? 1 : 0;
        if (request.isCrashSuspect)
            endpoint->second.runsCrashSuspect = false;
    }
    PoolDispatch& pool = state.pools[request.pool];
    if (auto slot = pool.endpointIndex.find(request.endpoint); slot != pool.endpointIndex.end()) {
        changeInFlight(pool, pool.slots[slot->second], -1);
        if (request.isCrashSuspect)
            setExclusive(pool, pool.slots[slot->second], false);
    }
    return true;
}

}
