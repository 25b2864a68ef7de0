#include "core/CellClient.h"

#include <algorithm>
#include <cmath>

namespace jasminestack {

namespace {

    // If a report gets no reply, the next one is sent after reportRetryInterval; after schedulerTimeout the scheduler
    // counts as unresponsive. Failure detection by probes takes 5 s, but the daemons must return to full throughput
    // within 2 s.
    constexpr Millis reportRetryInterval { 250 };
    constexpr Millis schedulerTimeout { 500 };
    // An unresponsive scheduler gets reports again after this time; a scheduler that failed is no longer a member by
    // then.
    constexpr Millis unresponsiveSchedulerPause { 5'000 };
    // Maximum intervals between reports while the byte budget is used up, with and without a backlog. Without a backlog
    // a late failover delays no request, so two reports in a lease are enough.
    constexpr Millis maximumReportInterval { 1'000 };
    constexpr Millis maximumIdleReportInterval { 1'400 };
    constexpr double maximumReportTokens = 4;
    // Size of version, type, sender, incarnation, sequence and authentication tag.
    constexpr std::size_t envelopeBytes = 48;

    std::size_t stringBytes(const std::string& text) noexcept { return text.size() + (text.size() < 32 ? 1 : 2); }

    /// \returns Size of an integer in msgpack.
    std::size_t integerBytes(std::uint64_t value) noexcept
    {
        return value < 128 ? 1 : value < 256 ? 2 : value < 65'536 ? 3 : value < 4'294'967'296 ? 5 : 9;
    }

    /// \returns Size of a floating-point number in msgpack, which stores integral values as integers.
    std::size_t numberBytes(double value) noexcept
    {
        return value >= 0 && value == std::floor(value) && value < 1e18
            ? integerBytes(static_cast<std::uint64_t>(value))
            : 9;
    }

    void sumQuotas(WorkspaceQueue& queue)
    {
        queue.quota = 0;
        for (const auto& [cell, use] : queue.cells)
            queue.quota += use.quota;
    }

    void applyQuotas(FairQueue& queues, const CellId& cell, const std::map<WorkspaceId, WorkspaceQuota>& quotas)
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
                    sumQuotas(queue);
                }
                continue;
            }
            WorkspaceCellUsage& cellUse = queue.cells[cell];
            cellUse.quota = quota->second.maxRunning;
            sumQuotas(queue);
            double unreportedService = (cellUse.chargedCost - cellUse.chargedCostAtReport) / queue.share;
            double currentService = quota->second.normalisedService + unreportedService;
            queue.normalisedService += currentService - cellUse.normalisedService;
            cellUse.normalisedService = currentService;
        }
    }

}

DaemonId responsiveScheduler(const CellClient& client, const CellInfo& info, Millis now)
{
    for (const DaemonId& daemon : info.schedulers) {
        auto pauseEnd = client.unresponsiveUntil.find(daemon);
        if (pauseEnd == client.unresponsiveUntil.end() || pauseEnd->second <= now)
            return daemon;
    }
    return info.schedulers.empty() ? DaemonId {} : info.schedulers.front();
}

void detectUnresponsiveScheduler(CellClient& client, const CellInfo& info, const DaemonId& self, Millis now)
{
    std::erase_if(client.unresponsiveUntil, [&](const auto& entry) { return entry.second <= now; });
    DaemonId scheduler = responsiveScheduler(client, info, now);
    if (scheduler != client.currentScheduler) {
        client.currentScheduler = scheduler;
        client.firstReportWithoutReplyAt = { -1 };
        client.isReportUrgent = true;
    }
    if (scheduler == self || client.firstReportWithoutReplyAt.count < 0
        || now - client.firstReportWithoutReplyAt < schedulerTimeout)
        return;
    client.unresponsiveUntil[scheduler] = now + unresponsiveSchedulerPause;
    client.firstReportWithoutReplyAt = { -1 };
    client.currentScheduler = responsiveScheduler(client, info, now);
    client.isReportUrgent = true;
    client.reportTokens = std::max(client.reportTokens, 1.0);
}

bool isReportDue(CellClient& client, const CellInfo& info, const SchedulingOptions& options, const DaemonId& self,
    bool backlogged, Millis now)
{
    Millis sinceLastReport = now - client.lastReportSentAt;
    bool schedulesCell = client.currentScheduler == self;
    bool urgent = client.isReportUrgent && options.mechanisms.sendsImmediateReports;
    if (schedulesCell)
        return sinceLastReport >= options.reportInterval
            || (urgent && sinceLastReport >= options.minimumReportInterval);
    // The cell's byte budget is divided equally over the attached daemons other than the scheduler.
    double peers = std::max<double>(1, static_cast<double>(info.attached.size()) - 1);
    double bytes = static_cast<double>(client.lastReportBytes + client.lastAllocationBytes);
    double reportsPerSecond = options.cellBytesPerSecond / (peers * bytes);
    client.reportTokens = std::min(
        maximumReportTokens, client.reportTokens + reportsPerSecond * (now - client.reportTokensUpdatedAt).seconds());
    client.reportTokensUpdatedAt = now;
    if (client.firstReportWithoutReplyAt.count >= 0 && sinceLastReport >= reportRetryInterval)
        return true;
    if (urgent && sinceLastReport >= options.minimumReportInterval && client.reportTokens >= 1)
        return true;
    if (sinceLastReport < options.reportInterval)
        return false;
    return client.reportTokens >= 2
        || sinceLastReport
        >= std::max(options.reportInterval, backlogged ? maximumReportInterval : maximumIdleReportInterval);
}

DemandReport makeDemandReport(CellClient& client, FairQueue& queues, const DispatchState& dispatch,
    std::size_t usedCellCount, const DaemonId& scheduler, const DaemonId& self, Millis now)
{
    DemandReport report { .cell = client.cell,
        .sequence = ++client.reportSequence,
        .allocationSequence = client.allocationSender == scheduler ? client.allocationSequence : 0,
        .demand = {},
        .inFlightByEndpoint = {} };
    // A scheduler that sent the valid allocation has the service counters, so the report omits this daemon's copy.
    bool hasAllocation = client.allocationSender == scheduler && client.allocationExpiresAt > now;
    auto cellCount = static_cast<std::uint32_t>(std::max<std::size_t>(1, usedCellCount));
    if (auto pool = queues.pools.find(client.cell.pool); pool != queues.pools.end()) {
        for (auto& [id, queue] : pool->second.workspaces) {
            auto use = queue.cells.find(client.cell);
            bool unreported = use != queue.cells.end() && use->second.chargedCost != use->second.chargedCostAtReport;
            queue.reportedBacklogged = queue.queued() > 0;
            if (!queue.active() && !unreported)
                continue;
            WorkspaceCellUsage& cellUse = queue.cells[client.cell];
            cellUse.chargedCostAtReport = cellUse.chargedCost;
            const QueuedRequest* oldest = queue.oldest();
            // The queue length is divided by the number of cells that may serve the queue, so that they do not all
            // allocate slots for it.
            report.demand.push_back({ .workspace = id,
                .queued = (static_cast<std::uint32_t>(queue.queued()) + cellCount - 1) / cellCount,
                .running = cellUse.running,
                .oldestQueuedAge = oldest ? now - oldest->enqueuedAt : Millis {},
                .servedCost = static_cast<std::uint64_t>(std::llround(std::max(0.0, cellUse.chargedCost))),
                .normalisedService = hasAllocation ? 0 : cellUse.normalisedService });
        }
    }
    if (auto pool = dispatch.pools.find(client.cell.pool); pool != dispatch.pools.end()) {
        for (const DispatchEndpoint& dispatchEndpoint : pool->second.dispatchEndpoints) {
            if (dispatchEndpoint.inFlight > 0 && pool->second.cells[dispatchEndpoint.cell].id == client.cell)
                report.inFlightByEndpoint.push_back(
                    { .endpoint = dispatchEndpoint.id, .inFlight = dispatchEndpoint.inFlight });
        }
    }
    client.sentReports[report.sequence % client.sentReports.size()] = { .sequence = report.sequence, .sentAt = now };
    client.lastReportSentAt = now;
    client.isReportUrgent = false;
    client.reportTokens -= 1;
    client.lastReportBytes = messageBytes(report);
    if (scheduler != self && client.firstReportWithoutReplyAt.count < 0)
        client.firstReportWithoutReplyAt = now;
    return report;
}

bool applyAllocation(CellClient& client, FairQueue& queues, const CellInfo& info, const DaemonId& sender,
    const Allocation& allocation, Millis now)
{
    if (sender != responsiveScheduler(client, info, now))
        return false;
    bool sameSender = sender == client.allocationSender;
    if (sameSender
        && (allocation.schedulerIncarnation < client.schedulerIncarnation
            || (allocation.schedulerIncarnation == client.schedulerIncarnation
                && allocation.sequence <= client.allocationSequence)))
        return false;
    Millis from = now;
    if (allocation.reportSequence > 0) {
        const SentReport& sent = client.sentReports[allocation.reportSequence % client.sentReports.size()];
        if (sent.sequence != allocation.reportSequence)
            return false;
        from = sent.sentAt;
    }
    if (from + allocation.leaseDuration <= now)
        return false;
    client.allocationSender = sender;
    client.schedulerIncarnation = allocation.schedulerIncarnation;
    client.allocationSequence = allocation.sequence;
    client.allocationExpiresAt = from + allocation.leaseDuration;
    client.firstReportWithoutReplyAt = { -1 };
    client.lastAllocationBytes = messageBytes(allocation);
    client.allocatedSlots.clear();
    for (const EndpointSlots& slots : allocation.slots)
        client.allocatedSlots[slots.endpoint] = slots.slots;
    std::map<WorkspaceId, WorkspaceQuota> quotas;
    for (const WorkspaceQuota& quota : allocation.quotas)
        quotas[quota.workspace] = quota;
    applyQuotas(queues, client.cell, quotas);
    return true;
}

void expireAllocation(CellClient& client, FairQueue& queues, Millis now)
{
    if (client.allocationExpiresAt.count < 0 || client.allocationExpiresAt > now)
        return;
    client.allocationExpiresAt = { -1 };
    client.fallbackStartedAt = now;
    client.allocatedSlots.clear();
    applyQuotas(queues, client.cell, {});
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

std::size_t messageBytes(const CellReport& report) noexcept
{
    std::size_t bytes = envelopeBytes + stringBytes(report.cell.pool.value) + 10;
    for (const WorkspaceQuota& quota : report.workspaceService)
        bytes += stringBytes(quota.workspace.value) + integerBytes(quota.maxRunning)
            + numberBytes(quota.normalisedService) + 1;
    return bytes;
}

}
