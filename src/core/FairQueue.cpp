#include "core/FairQueue.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Weight of one completed request in the learned averages: about the last 20 count.
    constexpr double learningRate = 0.05;
    // Hints are off by up to 5x; a wider range also covers callers that always lie.
    constexpr double minimumCorrection = 0.01;
    constexpr double maximumCorrection = 100.0;
    // Charged for a request without hint before any request of its workspace has completed.
    constexpr double initialCost = 100.0;
    // A hint counts for at most this many average requests, since hints are off by up to 5x: while the correction was
    // still being learned, a hint of 5,000 for requests of at most 168 left its workspace 13 largest requests behind.
    constexpr double hintLimit = 5.0;

    void raise(const PoolQueues& pool, WorkspaceQueue& queue)
    {
        double floor = pool.virtualTime;
        if (!pool.backlogged.empty()) {
            floor = (*std::min_element(pool.backlogged.begin(), pool.backlogged.end(), [](auto* a, auto* b) {
                return a->normalised < b->normalised;
            }))->normalised;
        }
        double raised = std::max(0.0, floor - queue.normalised);
        queue.normalised += raised;
        for (auto& [cell, use] : queue.cells)
            use.normalised += raised / static_cast<double>(queue.cells.size());
    }

}

const QueuedRequest* WorkspaceQueue::oldest() const noexcept
{
    if (plain.empty())
        return constrained.empty() ? nullptr : &constrained.front();
    if (constrained.empty() || plain.front().enqueuedAt < constrained.front().enqueuedAt)
        return &plain.front();
    return &constrained.front();
}

void push(FairQueue& state, QueuedRequest request)
{
    PoolQueues& pool = state.pools[request.pool];
    WorkspaceQueue& queue = pool.workspaces[request.workspace];
    queue.id = request.workspace;
    if (state.raisesReturningWorkspaces && !queue.active())
        raise(pool, queue);
    if (queue.queued() == 0)
        pool.backlogged.push_back(&queue);
    queue.bytes += request.bodyBytes;
    pool.suspects += request.isCrashSuspect ? 1 : 0;
    bool constrained = request.isCrashSuspect || !request.triedEndpoints.empty();
    auto& list = constrained ? queue.constrained : queue.plain;
    state.deadlines.emplace(request.deadline.count, request.id);
    RequestId id = request.id;
    PoolId poolId = request.pool;
    list.push_back(std::move(request));
    state.places.insert_or_assign(std::move(id),
        QueuePosition {
            .queue = &queue, .pool = std::move(poolId), .constrained = constrained, .request = std::prev(list.end()) });
}

std::optional<QueuedRequest> take(FairQueue& state, const RequestId& id)
{
    auto place = state.places.find(id);
    if (place == state.places.end())
        return std::nullopt;
    QueuePosition found = place->second;
    state.places.erase(place);
    WorkspaceQueue& queue = *found.queue;
    QueuedRequest request = std::move(*found.request);
    (found.constrained ? queue.constrained : queue.plain).erase(found.request);
    state.deadlines.erase({ request.deadline.count, request.id });
    queue.bytes -= request.bodyBytes;
    PoolQueues& pool = state.pools.at(found.pool);
    pool.suspects -= request.isCrashSuspect ? 1 : 0;
    if (queue.queued() == 0)
        std::erase(pool.backlogged, &queue);
    return request;
}

bool servedBefore(const WorkspaceQueue& a, const WorkspaceQueue& b, QueueOrder order) noexcept
{
    if (order == QueueOrder::Arrival) {
        Millis first = a.oldest()->enqueuedAt;
        Millis second = b.oldest()->enqueuedAt;
        return first != second ? first < second : a.id < b.id;
    }
    if (order == QueueOrder::Quota) {
        // Beyond its quota a workspace uses slots that no other needs; then only the service counts.
        auto filled = [](const WorkspaceQueue& queue) {
            return queue.quota == 0 ? 1.0 : std::min(1.0, static_cast<double>(queue.running) / queue.quota);
        };
        double first = filled(a);
        double second = filled(b);
        if (first != second)
            return first < second;
        if ((a.quota == 0) != (b.quota == 0))
            return a.quota > 0;
    }
    return a.normalised != b.normalised ? a.normalised < b.normalised : a.id < b.id;
}

double estimateCost(const WorkspaceQueue& queue, const QueuedRequest& request) noexcept
{
    double average = queue.averageCost > 0 ? queue.averageCost : initialCost;
    if (request.costHint > 0)
        return std::min(request.costHint * queue.hintCorrection, hintLimit * average);
    return average;
}

void updateCostEstimate(WorkspaceQueue& queue, double hint, double cost) noexcept
{
    if (hint > 0) {
        double ratio = std::clamp(cost / hint, minimumCorrection, maximumCorrection);
        queue.hintCorrection += learningRate * (ratio - queue.hintCorrection);
    }
    queue.averageCost = queue.averageCost > 0 ? queue.averageCost + learningRate * (cost - queue.averageCost) : cost;
}

void charge(WorkspaceQueue& queue, const CellId& cell, double cost)
{
    WorkspaceCellUsage& use = queue.cells[cell];
    queue.charged += cost;
    use.charged += cost;
    use.normalised += cost / queue.share;
    queue.normalised += cost / queue.share;
}

}
