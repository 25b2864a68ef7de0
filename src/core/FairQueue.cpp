#include "core/FairQueue.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Weight of one completed request in the moving averages: about the last 20 requests count.
    constexpr double smoothingFactor = 0.05;
    // Limits of the hint correction. Estimated hints are wrong by a factor of up to 5; the wider range also covers
    // callers whose hints have no relation to the cost.
    constexpr double minimumCorrection = 0.01;
    constexpr double maximumCorrection = 100.0;
    // Cost charged for a request without a hint before a request of its workspace has completed.
    constexpr double initialCost = 100.0;
    // A hint counts for at most this many average requests, since hints are wrong by a factor of up to 5. Without the
    // limit, a workspace that sent a hint of 5,000 for requests that cost at most 168 received less service than the
    // others, by the cost of 13 of its largest requests, before the hint correction had converged.
    constexpr double maximumHintedRequests = 5.0;

    void raise(const PoolQueues& pool, WorkspaceQueue& queue)
    {
        double minimumService = pool.virtualTime;
        if (!pool.backlogged.empty()) {
            minimumService = (*std::min_element(pool.backlogged.begin(), pool.backlogged.end(), [](auto* a, auto* b) {
                return a->normalisedService < b->normalisedService;
            }))->normalisedService;
        }
        double raised = std::max(0.0, minimumService - queue.normalisedService);
        queue.normalisedService += raised;
        for (auto& [cell, use] : queue.cells)
            use.normalisedService += raised / static_cast<double>(queue.cells.size());
    }

}

const QueuedRequest* WorkspaceQueue::oldest() const noexcept
{
    if (unconstrained.empty())
        return constrained.empty() ? nullptr : &constrained.front();
    if (constrained.empty() || unconstrained.front().enqueuedAt < constrained.front().enqueuedAt)
        return &unconstrained.front();
    return &constrained.front();
}

void appendRequest(FairQueue& queues, QueuedRequest request)
{
    PoolQueues& pool = queues.pools[request.pool];
    WorkspaceQueue& queue = pool.workspaces[request.workspace];
    queue.id = request.workspace;
    if (queues.raisesReturningWorkspaces && !queue.active())
        raise(pool, queue);
    if (queue.queued() == 0)
        pool.backlogged.push_back(&queue);
    queue.queuedBytes += request.bodyBytes;
    pool.crashSuspects += request.isCrashSuspect ? 1 : 0;
    bool constrained = request.isCrashSuspect || !request.triedEndpoints.empty();
    auto& requests = constrained ? queue.constrained : queue.unconstrained;
    queues.deadlines.emplace(request.deadline.count, request.id);
    RequestId id = request.id;
    PoolId poolId = request.pool;
    requests.push_back(std::move(request));
    queues.positions.insert_or_assign(std::move(id),
        QueuePosition { .queue = &queue,
            .pool = std::move(poolId),
            .constrained = constrained,
            .request = std::prev(requests.end()) });
}

std::optional<QueuedRequest> removeRequest(FairQueue& queues, const RequestId& id)
{
    auto position = queues.positions.find(id);
    if (position == queues.positions.end())
        return std::nullopt;
    QueuePosition removed = position->second;
    queues.positions.erase(position);
    WorkspaceQueue& queue = *removed.queue;
    QueuedRequest request = std::move(*removed.request);
    (removed.constrained ? queue.constrained : queue.unconstrained).erase(removed.request);
    queues.deadlines.erase({ request.deadline.count, request.id });
    queue.queuedBytes -= request.bodyBytes;
    PoolQueues& pool = queues.pools.at(removed.pool);
    pool.crashSuspects -= request.isCrashSuspect ? 1 : 0;
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
        // Above its quota a workspace uses slots that no other workspace needs, so only the service decides.
        auto quotaFraction = [](const WorkspaceQueue& queue) {
            return queue.quota == 0 ? 1.0 : std::min(1.0, static_cast<double>(queue.running) / queue.quota);
        };
        double first = quotaFraction(a);
        double second = quotaFraction(b);
        if (first != second)
            return first < second;
        if ((a.quota == 0) != (b.quota == 0))
            return a.quota > 0;
    }
    return a.normalisedService != b.normalisedService ? a.normalisedService < b.normalisedService : a.id < b.id;
}

double estimateCost(const WorkspaceQueue& queue, const QueuedRequest& request) noexcept
{
    double average = queue.averageCost > 0 ? queue.averageCost : initialCost;
    if (request.costHint > 0)
        return std::min(request.costHint * queue.hintCorrection, maximumHintedRequests * average);
    return average;
}

void updateCostEstimate(WorkspaceQueue& queue, double hint, double cost) noexcept
{
    if (hint > 0) {
        double ratio = std::clamp(cost / hint, minimumCorrection, maximumCorrection);
        queue.hintCorrection += smoothingFactor * (ratio - queue.hintCorrection);
    }
    queue.averageCost = queue.averageCost > 0 ? queue.averageCost + smoothingFactor * (cost - queue.averageCost) : cost;
}

void chargeCost(WorkspaceQueue& queue, const CellId& cell, double cost)
{
    WorkspaceCellUsage& use = queue.cells[cell];
    queue.chargedCost += cost;
    use.chargedCost += cost;
    use.normalisedService += cost / queue.share;
    queue.normalisedService += cost / queue.share;
}

}
