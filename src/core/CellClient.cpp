#include "core/CellClient.h"

#include <algorithm>
#include <cmath>

namespace jasminestack {

namespace {

    // A report without an answer is repeated after this time, and after the second one its scheduler counts as silent.
    // Failure detection by probes takes 5 s, but the daemons are to be back at full throughput within 2 s.
    constexpr Millis retryAfter { 250 };
    constexpr Millis silentAfter { 500 };
    // A silent scheduler is tried again after this time; a dead one is no longer a member by then.
    constexpr Millis silenceMemory { 5'000 };
    // Reports wait at most this long for their byte budget. Without a backlog a late failover costs nothing, so two
    // reports in a lease are enough.
    constexpr Millis longestReportGap { 1'000 };
    constexpr Millis idleReportGap { 1'400 };
    constexpr double tokenBurst = 4;
    // Version, type, sender, incarnation, sequence and authentication tag.
    constexpr std::size_t envelopeBytes = 48;

    std::size_t stringBytes(const std::string& text) noexcept { return text.size() + (text.size() < 32 ? 1 : 2); }

    /// \returns Size of an integer in msgpack.
    std::size_t integerBytes(std::uint64_t value) noexcept
    {
        return value < 128 ? 1 : value < 256 ? 2 : value < 65'536 ? 3 : value < 4'294'967'296 ? 5 : 9;
    }

    /// \returns Size of a floating-point number in msgpack, which stores whole ones as integers.
    std::size_t numberBytes(double value) noexcept
    {
        return value >= 0 && value == std::floor(value) && value < 1e18
            ? integerBytes(static_cast<std::uint64_t>(value))
            : 9;
    }

    void recomputeQuota(WorkspaceQueue& queue)
    {
        queue.quota = 0;
        for (const auto& [cell, use] : queue.cells)
            queue.quota += use.quota;
    }

    void setQuotas(FairQueue& queues, const CellId& cell, const std::map<WorkspaceId, WorkspaceQuota>& quotas)
    {
        auto pool = queues.pools.find(cell.pool);
        if (pool == queues.pools.end())
            return;
        for (auto& [id, queue] : pool->second.workspaces) {
            auto quota = quotas.find(id);
            auto use = queue.cells.find(cell);
            if (quota == quotas.end()) {
                if (use != queue.cells.end() && use->second.quota > 0) {
                    use->second.quota = 0;
                    recomputeQuota(queue);
                }
                continue;
            }
            WorkspaceCellUsage& cellUse = queue.cells[cell];
            cellUse.quota = quota->second.maxRunning;
            recomputeQuota(queue);
            double own = (cellUse.charged - cellUse.chargedAtReport) / queue.share;
            double heard = quota->second.normalisedService + own;
            queue.normalised += heard - cellUse.normalised;
            cellUse.normalised = heard;
        }
    }

}

DaemonId followedScheduler(const CellClient& client, const CellInfo& info, Millis now)
{
    for (const DaemonId& daemon : info.schedulers) {
        auto silent = client.silentUntil.find(daemon);
        if (silent == client.silentUntil.end() || silent->second <= now)
            return daemon;
    }
    return info.schedulers.empty() ? DaemonId {} : info.schedulers.front();
}

void checkSilence(CellClient& client, const CellInfo& info, const DaemonId& self, Millis now)
{
    std::erase_if(client.silentUntil, [&](const auto& entry) { return entry.second <= now; });
    DaemonId scheduler = followedScheduler(client, info, now);
    if (scheduler != client.following) {
        client.following = scheduler;
        client.firstUnansweredAt = { -1 };
        client.urgent = true;
    }
    if (scheduler == self || client.firstUnansweredAt.count < 0 || now - client.firstUnansweredAt < silentAfter)
        return;
    client.silentUntil[scheduler] = now + silenceMemory;
    client.firstUnansweredAt = { -1 };
    client.following = followedScheduler(client, info, now);
    client.urgent = true;
    client.tokens = std::max(client.tokens, 1.0);
}

bool reportDue(CellClient& client, const CellInfo& info, const SchedulingOptions& options, const DaemonId& self,
    bool backlogged, Millis now)
{
    Millis since = now - client.lastReport;
    bool local = client.following == self;
    bool urgent = client.urgent && options.mechanisms.immediateReports;
    if (local)
        return since >= options.reportInterval || (urgent && since >= options.minimumReportGap);
    // All daemons share the scheduler's byte budget.
    double peers = std::max<double>(1, static_cast<double>(info.attached.size()) - 1);
    double bytes = static_cast<double>(client.lastReportBytes + client.lastAllocationBytes);
    double rate = options.cellBytesPerSecond / (peers * bytes);
    client.tokens = std::min(tokenBurst, client.tokens + rate * (now - client.tokensAt).seconds());
    client.tokensAt = now;
    if (client.firstUnansweredAt.count >= 0 && since >= retryAfter)
        return true;
    if (urgent && since >= options.minimumReportGap && client.tokens >= 1)
        return true;
    if (since < options.reportInterval)
        return false;
    return client.tokens >= 2
        || since >= std::max(options.reportInterval, backlogged ? longestReportGap : idleReportGap);
}

DemandReport makeReport(CellClient& client, FairQueue& queues, const DispatchState& dispatch, std::size_t attachedCells,
    const DaemonId& scheduler, const DaemonId& self, Millis now)
{
    DemandReport report { .cell = client.cell,
        .sequence = ++client.sequence,
        .allocationSequence = client.grantedBy == scheduler ? client.allocationSequence : 0,
        .demand = {},
        .inFlightByEndpoint = {} };
    // A scheduler that has sent an allocation counts by itself.
    bool known = client.grantedBy == scheduler && client.allocationExpiresAt > now;
    auto cells = static_cast<std::uint32_t>(std::max<std::size_t>(1, attachedCells));
    if (auto pool = queues.pools.find(client.cell.pool); pool != queues.pools.end()) {
        for (auto& [id, queue] : pool->second.workspaces) {
            auto use = queue.cells.find(client.cell);
            bool unreported = use != queue.cells.end() && use->second.charged != use->second.chargedAtReport;
            queue.reported = queue.queued() > 0;
            if (!queue.active() && !unreported)
                continue;
            WorkspaceCellUsage& cellUse = queue.cells[client.cell];
            cellUse.chargedAtReport = cellUse.charged;
            const QueuedRequest* oldest = queue.oldest();
            // A queue is split over the cells that may serve it, so that they do not all reserve slots for it.
            report.demand.push_back({ .workspace = id,
                .queued = (static_cast<std::uint32_t>(queue.queued()) + cells - 1) / cells,
                .running = cellUse.running,
                .oldestQueuedAge = oldest ? now - oldest->enqueuedAt : Millis {},
                .servedCost = static_cast<std::uint64_t>(std::llround(std::max(0.0, cellUse.charged))),
                .normalisedService = known ? 0 : cellUse.normalised });
        }
    }
    if (auto pool = dispatch.pools.find(client.cell.pool); pool != dispatch.pools.end()) {
        for (const DispatchEndpoint& slot : pool->second.slots) {
            if (slot.inFlight > 0 && pool->second.cells[slot.cell].id == client.cell)
                report.inFlightByEndpoint.push_back({ .endpoint = slot.id, .inFlight = slot.inFlight });
        }
    }
    client.reports[report.sequence % client.reports.size()] = { .sequence = report.sequence, .sentAt = now };
    client.lastReport = now;
    client.urgent = false;
    client.tokens -= 1;
    client.lastReportBytes = messageBytes(report);
    if (scheduler != self && client.firstUnansweredAt.count < 0)
        client.firstUnansweredAt = now;
    return report;
}

bool applyAllocation(CellClient& client, FairQueue& queues, const CellInfo& info, const DaemonId& sender,
    const Allocation& allocation, Millis now)
{
    if (sender != followedScheduler(client, info, now))
        return false;
    bool sameSource = sender == client.grantedBy;
    if (sameSource
        && (allocation.schedulerIncarnation < client.epoch
            || (allocation.schedulerIncarnation == client.epoch && allocation.sequence <= client.allocationSequence)))
        return false;
    Millis from = now;
    if (allocation.reportSequence > 0) {
        const SentReport& sent = client.reports[allocation.reportSequence % client.reports.size()];
        if (sent.sequence != allocation.reportSequence)
            return false;
        from = sent.sentAt;
    }
    if (from + allocation.leaseDuration <= now)
        return false;
    client.grantedBy = sender;
    client.epoch = allocation.schedulerIncarnation;
    client.allocationSequence = allocation.sequence;
    client.allocationExpiresAt = from + allocation.leaseDuration;
    client.firstUnansweredAt = { -1 };
    client.lastAllocationBytes = messageBytes(allocation);
    client.slots.clear();
    for (const EndpointSlots& slots : allocation.slots)
        client.slots[slots.endpoint] = slots.slots;
    std::map<WorkspaceId, WorkspaceQuota> quotas;
    for (const WorkspaceQuota& quota : allocation.quotas)
        quotas[quota.workspace] = quota;
    setQuotas(queues, client.cell, quotas);
    return true;
}

void expireAllocation(CellClient& client, FairQueue& queues, Millis now)
{
    if (client.allocationExpiresAt.count < 0 || client.allocationExpiresAt > now)
        return;
    client.allocationExpiresAt = { -1 };
    client.fallbackStartedAt = now;
    client.slots.clear();
    setQuotas(queues, client.cell, {});
}

std::size_t messageBytes(const DemandReport& report) noexcept
{
    std::size_t bytes = envelopeBytes + stringBytes(report.cell.pool.value) + 8;
    for (const WorkspaceDemand& demand : report.demand) {
        bytes += stringBytes(demand.workspace.value) + integerBytes(demand.queued) + integerBytes(demand.running)
            + integerBytes(static_cast<std::uint64_t>(demand.oldestQueuedAge.count)) + integerBytes(demand.servedCost)
            + numberBytes(demand.normalisedService) + 1;
    }
    for (const EndpointInFlight& use : report.inFlightByEndpoint)
        bytes += stringBytes(use.endpoint.value) + integerBytes(use.inFlight) + 1;
    return bytes;
}

std::size_t messageBytes(const Allocation& allocation) noexcept
{
    std::size_t bytes = envelopeBytes + stringBytes(allocation.cell.pool.value) + 20;
    for (const EndpointSlots& slots : allocation.slots)
        bytes += stringBytes(slots.endpoint.value) + integerBytes(slots.slots) + 1;
    for (const WorkspaceQuota& quota : allocation.quotas)
        bytes += stringBytes(quota.workspace.value) + integerBytes(quota.maxRunning)
            + numberBytes(quota.normalisedService) + 1;
    return bytes;
}

std::size_t messageBytes(const CellReport& exchange) noexcept
{
    std::size_t bytes = envelopeBytes + stringBytes(exchange.cell.pool.value) + 10;
    for (const WorkspaceQuota& quota : exchange.workspaceService)
        bytes += stringBytes(quota.workspace.value) + integerBytes(quota.maxRunning)
            + numberBytes(quota.normalisedService) + 1;
    return bytes;
}

}
