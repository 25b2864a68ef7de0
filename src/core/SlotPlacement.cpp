#include "core/SlotPlacement.h"

#include "core/Dispatch.h"

#include <cmath>
#include <map>
#include <optional>
#include <string_view>

namespace jasminestack {

namespace {

    // Time after a daemon's last report for which its demand counts. Its slots count as used until its lease ends.
    constexpr Millis reportLifetime { 2'500 };
    // Load reports older than this are not used to estimate the slots of daemons that do not report.
    constexpr Millis loadReportLifetime { 1'500 };
    // Fraction of the slots that must be in use without a demand report, and time for which they must be, until it is
    // assumed that daemons that are not members in this daemon's view use the cell.
    constexpr double unattributedLoadFraction = 0.2;
    constexpr Millis unattributedLoadTime { 1'000 };
    // Factor by which an estimate of unattributed load decays at the next load report.
    constexpr double unattributedLoadDecay = 0.5;
    // Messages that are delayed by more than this count as lost.
    constexpr Millis maximumMessageDelay { 10'000 };

    bool hasValidLease(const ReportingDaemon& daemon, Millis now)
    {
        return std::any_of(daemon.sentAllocations.begin(), daemon.sentAllocations.end(),
            [&](const SentAllocation& sent) { return sent.expiresAt > now; });
    }

    /// \returns Requests in flight at an endpoint according to the last reports of daemons with a recent report or a
    /// valid lease.
    std::uint32_t reportedInFlight(const CellSchedulerState& cell, const EndpointId& endpoint, Millis now)
    {
        std::uint32_t daemonInFlight = 0;
        for (const auto& [id, daemon] : cell.daemons) {
            if (hasRecentReport(daemon, now) || hasValidLease(daemon, now))
                daemonInFlight += valueOrZero(daemon.inFlight, endpoint);
        }
        return daemonInFlight;
    }

    /// \returns For each endpoint, the requests in its load report beyond those that daemons reported; nothing for
    /// endpoints without a recent load report.
    std::vector<std::optional<std::uint32_t>> measureUnattributedLoad(
        const CellSchedulerState& cell, const CellSchedulerContext& view, const SlotMatrix& matrix, Millis now)
    {
        const auto& endpoints = view.info.endpoints;
        std::vector<std::optional<std::uint32_t>> result(endpoints.size());
        for (std::size_t e = 0; e < endpoints.size(); ++e) {
            if (matrix.limit[e] == 0)
                continue;
            const EndpointState& endpoint = view.endpoints.endpoints.at(endpoints[e]);
            if (endpoint.lastReportAt.count <= 0 || endpoint.lastReportAt + loadReportLifetime <= now)
                continue;
            std::uint32_t daemonInFlight = reportedInFlight(cell, endpoints[e], now);
            std::uint32_t endpointLoad = endpoint.reportedRunning + endpoint.reportedWaiting;
            result[e] = endpointLoad > daemonInFlight ? endpointLoad - daemonInFlight : 0;
        }
        return result;
    }

    /// \returns Whether daemons that are not members in this view use the cell, for example after a partition. Demand
    /// reports and load reports are taken at different times, so small and short differences are ignored.
    bool hasUnattributedLoad(CellSchedulerState& cell, const SlotMatrix& matrix,
        const std::vector<std::optional<std::uint32_t>>& unattributed, Millis now)
    {
        std::uint32_t limitSum = 0;
        std::uint32_t unattributedSum = 0;
        for (std::size_t e = 0; e < unattributed.size(); ++e) {
            limitSum += matrix.limit[e];
            unattributedSum += unattributed[e].value_or(0);
        }
        if (unattributedSum < unattributedLoadFraction * limitSum || unattributedSum == 0)
            cell.excessLoadStartedAt = { -1 };
        else if (cell.excessLoadStartedAt.count < 0)
            cell.excessLoadStartedAt = now;
        return cell.excessLoadStartedAt.count >= 0 && now - cell.excessLoadStartedAt >= unattributedLoadTime;
    }

    /// \brief Lets the estimate of each endpoint's unattributed load rise at once and decay step by step. Demand
    /// reports and load reports are taken at different times, so a slot that daemons of another scheduler use may
    /// appear free for a moment; both schedulers would allocate it.
    void smoothUnattributedLoad(CellSchedulerState& cell, const CellSchedulerContext& view,
        std::vector<std::optional<std::uint32_t>>& unattributed)
    {
        for (std::size_t e = 0; e < unattributed.size(); ++e) {
            if (!unattributed[e])
                continue;
            UnattributedLoad& estimate = cell.unattributedLoad[view.info.endpoints[e]];
            Millis lastLoadReportAt = view.endpoints.endpoints.at(view.info.endpoints[e]).lastReportAt;
            if (estimate.lastLoadReportAt != lastLoadReportAt)
                estimate.slots *= unattributedLoadDecay;
            estimate.lastLoadReportAt = lastLoadReportAt;
            estimate.slots = std::max<double>(estimate.slots, *unattributed[e]);
            unattributed[e] = static_cast<std::uint32_t>(std::lround(estimate.slots));
        }
    }

    /// \returns For each endpoint, the slots that may be in use by daemons without a recent report or a lease.
    std::vector<std::uint32_t> estimateUnreportedUse(
        CellSchedulerState& cell, const CellSchedulerContext& view, const SlotMatrix& matrix, Millis now)
    {
        const auto& endpoints = view.info.endpoints;
        std::vector<std::uint32_t> result(endpoints.size(), 0);
        std::vector<const DaemonId*> unreportingDaemons;
        for (const DaemonId& id : view.info.attached) {
            auto daemon = cell.daemons.find(id);
            if (daemon == cell.daemons.end()
                || (!hasRecentReport(daemon->second, now) && !hasValidLease(daemon->second, now)))
                unreportingDaemons.push_back(&id);
        }
        std::vector<std::optional<std::uint32_t>> unattributed = measureUnattributedLoad(cell, view, matrix, now);
        bool loadIsUnattributed = hasUnattributedLoad(cell, matrix, unattributed, now);
        if (loadIsUnattributed)
            smoothUnattributedLoad(cell, view, unattributed);
        else
            cell.unattributedLoad.clear();
        if (!loadIsUnattributed && unreportingDaemons.empty())
            return result;
        bool collecting = now - cell.startedAt < reportCollectionTime;
        for (std::size_t e = 0; e < endpoints.size(); ++e) {
            if (matrix.limit[e] == 0)
                continue;
            result[e] = unattributed[e].value_or(0);
            if (unattributed[e] && !collecting)
                continue;
            std::uint32_t fallbackUse = 0;
            for (const DaemonId* id : unreportingDaemons) {
                auto daemon = cell.daemons.find(*id);
                std::uint32_t possiblyInUse
                    = daemon == cell.daemons.end() ? 0 : maxSlotsInUse(daemon->second, endpoints[e]);
                fallbackUse += std::max(possiblyInUse, fallbackSlots(view.info, endpoints[e], matrix.limit[e], *id));
            }
            result[e] = std::max(result[e], fallbackUse);
            if (unattributed[e] || view.endpoints.endpoints.at(endpoints[e]).lastReportAt.count == 0)
                continue;
            // Until the next load report all slots count as used by others, except those that daemons have reported.
            std::uint32_t daemonInFlight = reportedInFlight(cell, endpoints[e], now);
            result[e] = std::max(result[e], matrix.limit[e] > daemonInFlight ? matrix.limit[e] - daemonInFlight : 0);
        }
        return result;
    }

    std::uint32_t allocatedTo(const SlotMatrix& matrix, std::size_t d)
    {
        std::uint32_t slotSum = 0;
        for (std::size_t e = 0; e < matrix.limit.size(); ++e)
            slotSum += matrix.allocated[matrix.offset(d, e)];
        return slotSum;
    }

    struct EndpointSums {
        /// Slots allocated in this recomputation plus those in SlotMatrix::unreportedUse and
        /// SlotMatrix::leasedToUnreportingDaemons.
        std::vector<std::uint32_t> allocated;
        std::vector<std::uint32_t> possiblyInUse; ///< Slots that may be in use now.
    };

    EndpointSums sumEndpoints(const SlotMatrix& matrix)
    {
        EndpointSums sums;
        for (std::size_t e = 0; e < matrix.limit.size(); ++e) {
            std::uint32_t allocated = matrix.unreportedUse[e] + matrix.leasedToUnreportingDaemons[e];
            std::uint32_t possiblyInUse = allocated;
            for (std::size_t d = 0; d < matrix.daemons.size(); ++d) {
                allocated += matrix.allocated[matrix.offset(d, e)];
                possiblyInUse += std::max(matrix.allocated[matrix.offset(d, e)], matrix.committed[matrix.offset(d, e)]);
            }
            sums.allocated.push_back(allocated);
            sums.possiblyInUse.push_back(possiblyInUse);
        }
        return sums;
    }

    /// \brief Releases slots at endpoints that lost capacity and slots of daemons above their target, unused slots
    /// first.
    void releaseSlots(SlotMatrix& matrix)
    {
        for (std::size_t e = 0; e < matrix.limit.size(); ++e) {
            std::uint32_t slotSum = matrix.unreportedUse[e] + matrix.leasedToUnreportingDaemons[e];
            for (std::size_t d = 0; d < matrix.daemons.size(); ++d)
                slotSum += matrix.allocated[matrix.offset(d, e)];
            while (slotSum > matrix.limit[e]) {
                std::size_t most = matrix.allocated.size();
                for (std::size_t d = 0; d < matrix.daemons.size(); ++d) {
                    std::size_t offset = matrix.offset(d, e);
                    if (matrix.allocated[offset] > 0
                        && (most == matrix.allocated.size() || matrix.allocated[offset] > matrix.allocated[most]))
                        most = offset;
                }
                if (most == matrix.allocated.size())
                    break;
                --matrix.allocated[most];
                --slotSum;
            }
        }
        for (std::size_t d = 0; d < matrix.daemons.size(); ++d) {
            std::uint32_t total = allocatedTo(matrix, d);
            while (total > matrix.target[d]) {
                // Choose the endpoint with the most idle slots, then the one with the fewest allocated slots: a
                // daemon's slots stay on few endpoints, which keeps the messages short.
                std::size_t best = 0;
                std::int64_t bestScore = -1;
                for (std::size_t e = 0; e < matrix.limit.size(); ++e) {
                    std::int64_t allocated = matrix.allocated[matrix.offset(d, e)];
                    if (allocated == 0)
                        continue;
                    std::int64_t idle = std::max<std::int64_t>(0, allocated - matrix.inFlight[matrix.offset(d, e)]);
                    std::int64_t score = idle * 1'000 + 999 - std::min<std::int64_t>(allocated, 999);
                    if (score > bestScore) {
                        best = e;
                        bestScore = score;
                    }
                }
                if (bestScore < 0)
                    break;
                --matrix.allocated[matrix.offset(d, best)];
                --total;
            }
        }
    }

    /// \brief Allocates slots to daemons below their target: free slots and, for each endpoint, up to \p margin slots
    /// (FleetLimits::refillMargin) that are still in use, so that a freed slot refills at once.
    void allocateSlots(SlotMatrix& matrix, std::uint32_t margin)
    {
        EndpointSums sums = sumEndpoints(matrix);
        std::vector<std::uint32_t> total(matrix.daemons.size());
        for (std::size_t d = 0; d < total.size(); ++d)
            total[d] = allocatedTo(matrix, d);
        for (;;) {
            std::size_t neediest = total.size();
            double bestNeed = 0;
            for (std::size_t d = 0; d < total.size(); ++d) {
                double need = matrix.target[d] > total[d] ? (matrix.target[d] - total[d]) / (1.0 + total[d]) : 0;
                if (need > bestNeed) {
                    bestNeed = need;
                    neediest = d;
                }
            }
            if (neediest == total.size())
                return;
            std::size_t best = matrix.limit.size();
            std::int64_t bestScore = -1;
            for (std::size_t e = 0; e < matrix.limit.size(); ++e) {
                std::size_t offset = matrix.offset(neediest, e);
                // A slot that is already committed to the daemon does not reduce the slots of other daemons.
                bool isCommitted = matrix.allocated[offset] < matrix.committed[offset];
                if (sums.allocated[e] >= matrix.limit[e]
                    || (!isCommitted && sums.possiblyInUse[e] >= matrix.limit[e] + margin))
                    continue;
                bool isFree = isCommitted || sums.possiblyInUse[e] < matrix.limit[e];
                // Prefer committed slots, then free ones, then those about to be free; among these the endpoint with
                // the most slots of the daemon, then the one with the most slots not allocated.
                std::int64_t score = (isCommitted     ? 2'000'000
                                             : isFree ? 1'000'000
                                                      : 0)
                    + matrix.allocated[offset] * 1'000
                    + (matrix.limit[e] - std::min(matrix.limit[e], sums.allocated[e]));
                if (score > bestScore) {
                    best = e;
                    bestScore = score;
                }
            }
            if (best == matrix.limit.size()) {
                total[neediest]
                    = matrix.target[neediest]; // No slot is available now; the next recomputation tries again.
                continue;
            }
            std::size_t offset = matrix.offset(neediest, best);
            if (matrix.allocated[offset] >= matrix.committed[offset])
                ++sums.possiblyInUse[best];
            ++matrix.allocated[offset];
            ++sums.allocated[best];
            ++total[neediest];
        }
    }

}

bool hasRecentReport(const ReportingDaemon& daemon, Millis now) noexcept
{
    return daemon.lastReportAt + reportLifetime > now;
}

std::uint32_t maxSlotsInUse(const ReportingDaemon& daemon, const EndpointId& endpoint)
{
    std::uint32_t possiblyInUse
        = std::max(valueOrZero(daemon.inFlight, endpoint), valueOrZero(daemon.allocatedSlots, endpoint));
    for (const SentAllocation& sent : daemon.sentAllocations)
        possiblyInUse = std::max(possiblyInUse, valueOrZero(sent.slots, endpoint));
    return possiblyInUse;
}

SlotMatrix makeSlotMatrix(CellSchedulerState& cell, const CellSchedulerContext& view, Millis now)
{
    SlotMatrix matrix;
    const auto& endpoints = view.info.endpoints;
    matrix.limit.assign(endpoints.size(), 0);
    matrix.leasedToUnreportingDaemons.assign(endpoints.size(), 0);
    for (std::size_t e = 0; e < endpoints.size(); ++e) {
        auto endpoint = view.endpoints.endpoints.find(endpoints[e]);
        if (endpoint != view.endpoints.endpoints.end() && acceptsNewWork(endpoint->second, now))
            matrix.limit[e] = endpoint->second.concurrencyLimit;
    }
    for (auto& [id, daemon] : cell.daemons) {
        if (hasRecentReport(daemon, now)) {
            // A report that was sent before the end of a lease may arrive after it and omit requests that were started
            // in between, so an allocation counts until a report acknowledges a later one.
            std::erase_if(daemon.sentAllocations,
                [&](const SentAllocation& sent) { return sent.expiresAt + maximumMessageDelay <= now; });
            matrix.daemons.emplace_back(&id, &daemon);
            continue;
        }
        daemon.allocatedSlots.clear();
        daemon.quotas.clear();
        for (std::size_t e = 0; e < endpoints.size() && hasValidLease(daemon, now); ++e)
            matrix.leasedToUnreportingDaemons[e] += maxSlotsInUse(daemon, endpoints[e]);
    }
    matrix.unreportedUse = estimateUnreportedUse(cell, view, matrix, now);
    matrix.allocated.assign(matrix.daemons.size() * endpoints.size(), 0);
    matrix.committed = matrix.allocated;
    matrix.inFlight = matrix.allocated;
    std::map<std::string_view, std::size_t> index;
    for (std::size_t e = 0; e < endpoints.size(); ++e)
        index.emplace(endpoints[e].value, e);
    auto copyToMatrix = [&](std::size_t d, const auto& map, std::vector<std::uint32_t>& values) {
        for (const auto& [id, count] : map) {
            if (auto e = index.find(id.value); e != index.end()) {
                std::uint32_t& value = values[matrix.offset(d, e->second)];
                value = std::max(value, count);
            }
        }
    };
    for (std::size_t d = 0; d < matrix.daemons.size(); ++d) {
        const ReportingDaemon& daemon = *matrix.daemons[d].second;
        copyToMatrix(d, daemon.allocatedSlots, matrix.allocated);
        copyToMatrix(d, daemon.inFlight, matrix.inFlight);
        copyToMatrix(d, daemon.inFlight, matrix.committed);
        for (const SentAllocation& sent : daemon.sentAllocations)
            copyToMatrix(d, sent.slots, matrix.committed);
    }
    for (std::size_t e = 0; e < endpoints.size(); ++e) {
        std::uint32_t unavailable = matrix.unreportedUse[e] + matrix.leasedToUnreportingDaemons[e];
        matrix.capacity += matrix.limit[e] > unavailable ? matrix.limit[e] - unavailable : 0;
    }
    return matrix;
}

void distributeSpareSlots(SlotMatrix& matrix, std::uint32_t spare)
{
    if (matrix.daemons.empty())
        return;
    auto count = static_cast<std::uint32_t>(matrix.daemons.size());
    for (std::size_t d = 0; d < count; ++d)
        matrix.target[d] += spare / count + (d < spare % count ? 1 : 0);
}

void placeSlots(SlotMatrix& matrix, const CellSchedulerContext& view)
{
    if (!view.options.mechanisms.usesHysteresis)
        std::fill(matrix.allocated.begin(), matrix.allocated.end(), 0);
    releaseSlots(matrix);
    allocateSlots(matrix, view.configuration.limits.refillMargin);
    for (std::size_t d = 0; d < matrix.daemons.size(); ++d) {
        auto& allocated = matrix.daemons[d].second->allocatedSlots;
        allocated.clear();
        for (std::size_t e = 0; e < matrix.limit.size(); ++e) {
            if (std::uint32_t count = matrix.allocated[matrix.offset(d, e)]; count > 0)
                allocated.emplace(view.info.endpoints[e], count);
        }
    }
}

}
