#include "core/Dispatch.h"

#include "base/Hash.h"
#include "core/PrefixAffinity.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Weight of one request in the learned time that a workspace's requests hold a slot.
    constexpr double learningRate = 0.05;
    constexpr std::size_t none = static_cast<std::size_t>(-1);

    void changeInFlight(PoolDispatch& pool, DispatchEndpoint& slot, int change)
    {
        std::uint32_t before = slot.free();
        slot.inFlight = static_cast<std::uint32_t>(std::max(0, static_cast<int>(slot.inFlight) + change));
        std::uint32_t after = slot.free();
        pool.free += after - before;
        pool.cells[slot.cell].free += after - before;
    }

    void setExclusive(PoolDispatch& pool, DispatchEndpoint& slot, bool exclusive)
    {
        std::uint32_t before = slot.free();
        slot.exclusive = exclusive;
        std::uint32_t after = slot.free();
        pool.free += after - before;
        pool.cells[slot.cell].free += after - before;
    }

    void setAllowed(PoolDispatch& pool, DispatchEndpoint& slot, std::uint32_t allowed)
    {
        std::uint32_t before = slot.free();
        slot.allowed = allowed;
        std::uint32_t after = slot.free();
        pool.free += after - before;
        pool.cells[slot.cell].free += after - before;
    }

    /// \brief Chooses among the free endpoints: the cell first, then within it, so that the work is bounded by the
    /// number of cells plus the size of a cell.
    std::size_t chooseFree(const PoolDispatch& pool, std::uint64_t prefix)
    {
        const DispatchCell* cell = nullptr;
        std::uint64_t best = 0;
        for (const DispatchCell& candidate : pool.cells) {
            if (candidate.free == 0)
                continue;
            std::uint64_t score = prefix ? affinityScore(prefix, candidate.hash) : candidate.free;
            if (!cell || score > best) {
                cell = &candidate;
                best = score;
            }
        }
        if (!cell)
            return none;
        std::size_t chosen = none;
        for (std::size_t i : cell->endpoints) {
            const DispatchEndpoint& slot = pool.slots[i];
            if (slot.free() == 0)
                continue;
            std::uint64_t score = prefix ? affinityScore(prefix, slot.hash) : slot.free();
            if (chosen == none || score > best) {
                chosen = i;
                best = score;
            }
        }
        return chosen;
    }

    /// \brief Chooses an endpoint for a suspect or for a request that avoids endpoints. Such requests are few, so it
    /// may look at all endpoints.
    std::size_t chooseConstrained(PoolDispatch& pool, const QueuedRequest& request)
    {
        auto avoided = [&](const DispatchEndpoint& slot) {
            return std::find(request.triedEndpoints.begin(), request.triedEndpoints.end(), slot.id)
                != request.triedEndpoints.end();
        };
        bool otherExists = std::any_of(pool.slots.begin(), pool.slots.end(),
            [&](const DispatchEndpoint& slot) { return slot.allowed > 0 && !avoided(slot); });
        std::size_t chosen = none;
        for (std::size_t i = 0; i < pool.slots.size(); ++i) {
            const DispatchEndpoint& slot = pool.slots[i];
            if (slot.allowed == 0 || (otherExists && avoided(slot)))
                continue;
            if (request.isCrashSuspect) {
                bool reservedHere = slot.id == pool.reserved;
                if (slot.exclusive && !reservedHere)
                    continue;
                if (chosen == none || slot.inFlight < pool.slots[chosen].inFlight)
                    chosen = i;
            } else if (slot.free() > 0 && (chosen == none || slot.free() > pool.slots[chosen].free())) {
                chosen = i;
            }
        }
        if (!request.isCrashSuspect || chosen == none || pool.slots[chosen].inFlight == 0)
            return chosen;
        // No endpoint is empty: the one with the least work gets no more until it is.
        if (pool.reserved.empty()) {
            pool.reserved = pool.slots[chosen].id;
            setExclusive(pool, pool.slots[chosen], true);
        }
        return none;
    }

    struct Choice {
        const QueuedRequest* request { nullptr };
        std::size_t slot { none };
    };

    Choice choosePlaceable(PoolDispatch& pool, const WorkspaceQueue& queue)
    {
        bool plainFirst = !queue.plain.empty() && queue.oldest() == &queue.plain.front();
        if (!plainFirst || !pool.reserved.empty()) {
            for (const QueuedRequest& request : queue.constrained) {
                if (std::size_t slot = chooseConstrained(pool, request); slot != none)
                    return { .request = &request, .slot = slot };
            }
        }
        if (!queue.plain.empty()) {
            if (std::size_t slot = chooseFree(pool, queue.plain.front().prefixHash); slot != none)
                return { .request = &queue.plain.front(), .slot = slot };
        }
        return {};
    }

    void releaseReservation(PoolDispatch& pool)
    {
        if (auto it = pool.index.find(pool.reserved); it != pool.index.end())
            setExclusive(pool, pool.slots[it->second], false);
        pool.reserved = {};
    }

    void start(DispatchState& state, FairQueue& queues, PoolDispatch& pool, DispatchEndpoint& slot,
        EndpointState& endpoint, WorkspaceQueue& queue, const RequestId& id, Millis now,
        std::vector<RequestAssignment>& grants)
    {
        QueuedRequest request = *take(queues, id);
        const CellId& cell = pool.cells[slot.cell].id;
        double estimate = estimateCost(queue, request);
        PoolQueues& poolQueues = queues.pools.at(request.pool);
        poolQueues.virtualTime = std::max(poolQueues.virtualTime, queue.normalised);
        charge(queue, cell, estimate);
        ++queue.running;
        ++queue.cells[cell].running;
        ++endpoint.inFlight;
        if (request.isCrashSuspect) {
            if (!pool.reserved.empty())
                releaseReservation(pool);
            endpoint.runsCrashSuspect = true;
            setExclusive(pool, slot, true);
        }
        changeInFlight(pool, slot, 1);
        grants.push_back({ .request = id, .endpoint = slot.id, .cell = cell });
        state.running.insert_or_assign(id,
            RunningRequest { .workspace = request.workspace,
                .pool = request.pool,
                .endpoint = slot.id,
                .cell = cell,
                .startedAt = now,
                .hint = request.costHint,
                .charged = estimate,
                .isCrashSuspect = request.isCrashSuspect });
    }

}

bool usable(const EndpointState& endpoint, Millis now) noexcept
{
    return !endpoint.leaving && !endpoint.removed && endpoint.backoffUntil <= now;
}

void refreshEndpoints(DispatchState& state, const EndpointTable& table, const CellMap& cells, Millis now,
    const std::function<std::uint32_t(const EndpointState&, const CellId&)>& allowed)
{
    for (auto& [id, pool] : state.pools) {
        pool.slots.clear();
        pool.cells.clear();
        pool.index.clear();
        pool.free = 0;
        pool.allowed = 0;
    }
    std::map<CellId, std::size_t> cellIndex;
    for (const auto& [id, endpoint] : table.endpoints) {
        auto cell = cells.cellByEndpoint.find(id);
        if (cell == cells.cellByEndpoint.end() || cell->second.pool != endpoint.pool)
            continue;
        PoolDispatch& pool = state.pools[endpoint.pool];
        auto [position, added] = cellIndex.emplace(cell->second, pool.cells.size());
        if (added) {
            pool.cells.push_back({ .id = cell->second,
                .hash = hash64(cell->second.pool.value, cell->second.index),
                .endpoints = {},
                .free = 0 });
        }
        DispatchEndpoint slot { .id = id,
            .hash = hash64(id.value),
            .cell = position->second,
            .allowed = usable(endpoint, now) ? allowed(endpoint, cell->second) : 0,
            .inFlight = endpoint.inFlight,
            .exclusive = endpoint.runsCrashSuspect || id == pool.reserved };
        DispatchCell& dispatchCell = pool.cells[position->second];
        dispatchCell.free += slot.free();
        dispatchCell.endpoints.push_back(pool.slots.size());
        pool.free += slot.free();
        pool.allowed += slot.allowed;
        pool.index.emplace(id, pool.slots.size());
        pool.slots.push_back(std::move(slot));
    }
}

void dispatchPool(DispatchState& state, FairQueue& queues, EndpointTable& table, const PoolId& id, Millis now,
    std::vector<RequestAssignment>& grants)
{
    auto queuesOfPool = queues.pools.find(id);
    auto dispatchOfPool = state.pools.find(id);
    if (queuesOfPool == queues.pools.end() || dispatchOfPool == state.pools.end())
        return;
    PoolQueues& poolQueues = queuesOfPool->second;
    PoolDispatch& pool = dispatchOfPool->second;
    if (!pool.reserved.empty() && poolQueues.suspects == 0)
        releaseReservation(pool);
    std::uint64_t round = ++state.round;
    while ((pool.free > 0 || !pool.reserved.empty()) && !poolQueues.backlogged.empty()) {
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
        if (endpoint == table.endpoints.end() || !usable(endpoint->second, now)) {
            // The copy is out of date; it is rebuilt at the next refresh.
            setAllowed(pool, slot, 0);
            continue;
        }
        start(state, queues, pool, slot, endpoint->second, *next, RequestId(choice.request->id), now, grants);
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
    charge(queue, request.cell, cost - request.charged);
    --queue.running;
    --queue.cells[request.cell].running;
    auto held = static_cast<double>((now - request.startedAt).count);
    queue.averageRun = queue.averageRun > 0 ? queue.averageRun + learningRate * (held - queue.averageRun) : held;
    if (completed)
        updateCostEstimate(queue, request.hint, cost);
    auto endpoint = table.endpoints.find(request.endpoint);
    if (endpoint != table.endpoints.end()) {
        endpoint->second.inFlight -= endpoint->second.inFlight > 0 ? 1 : 0;
        if (request.isCrashSuspect)
            endpoint->second.runsCrashSuspect = false;
    }
    PoolDispatch& pool = state.pools[request.pool];
    if (auto slot = pool.index.find(request.endpoint); slot != pool.index.end()) {
        changeInFlight(pool, pool.slots[slot->second], -1);
        if (request.isCrashSuspect)
            setExclusive(pool, pool.slots[slot->second], false);
    }
    return true;
}

}
