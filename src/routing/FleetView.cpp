#include "routing/FleetView.h"

#include "base/Hash.h"
#include "routing/Shards.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace jasminestack {

namespace {

    // Weight of one sample in an endpoint's moving averages: about the last twenty samples count.
    constexpr double endpointAverageWeight = 0.05;

    // Weight of one sample in a pool's moving averages.
    constexpr double poolAverageWeight = 0.01;

    // Time for which an endpoint is excluded after a connection failure. It starts at initialExclusion and doubles with
    // each consecutive failure up to maximumExclusion.
    constexpr Millis initialExclusion { 250 };
    constexpr Millis maximumExclusion { 4'000 };

    // After an exclusion for connection failures ends, only repeatable requests may probe the endpoint for this long;
    // then any request may.
    constexpr Millis nonRepeatableProbeDelay { 1'500 };

    // A failed endpoint whose pace is limited after its recovery is probed by its owner. Other daemons may probe it
    // only this long after their exclusion ends, since they learn of its recovery by their own requests.
    constexpr Millis foreignProbeDelay { 3'000 };

    // A probe whose end was not reported counts as ended after this time.
    constexpr Millis probeTimeout { 5'000 };

    // Time for a peer to report granted load. The peer sends its next fleet update within its flush interval; the
    // remaining time allows for lost datagrams and a paused peer.
    constexpr Millis grantConfirmationTimeout { 500 };

    // A pause that an endpoint asks for is limited to this, so that a faulty value does not exclude it for good.
    constexpr Millis maximumPause { 3'600'000 };

    // Time for which an endpoint is excluded after it refused a request: it has more load than the daemons have
    // reported.
    constexpr Millis refusalExclusion { 100 };

    // A failing attempt wastes a slot: an endpoint's score is multiplied by 1 + this weight times the excess of its
    // failure rate over the pool's.
    constexpr double failureRateWeight = 8.0;

    // An endpoint's failure rate is penalised only if it exceeds the pool's by more than this.
    constexpr double failureRateTolerance = 0.1;

    // Fraction of the remaining warm-up time that is added to an endpoint's score.
    constexpr double warmupWeight = 0.1;

    // Bounds on a sample of EndpointView::latencyRatio.
    constexpr double minimumLatencyRatio = 0.5;
    constexpr double maximumLatencyRatio = 20.0;

    // Fraction of an engine's memory that requests in flight may fill; beyond it the engine preempts requests. Also
    // bounds the modelled cache.
    constexpr double usableMemoryFraction = 0.9;

    // Memory assumed for a pool without a configured capacity; bounds the modelled cache.
    constexpr std::uint64_t defaultMemoryTokens = 500'000;

    // Weights of one interval between events in the moving averages of an endpoint and of a pool.
    constexpr double endpointIntervalWeight = 0.02;
    constexpr double poolIntervalWeight = 0.005;

    // Weights of a peer's report of a whole stream.
    constexpr double reportedIntervalWeight = 0.2;
    constexpr double reportedPoolIntervalWeight = 0.05;

    unsigned slotCount(const EndpointView& view, const PoolSpec& spec) noexcept
    {
        return std::max(1U, view.registration.slots != 0 ? view.registration.slots : spec.slots);
    }

    // Lower bound on the use count in recomputeCostFactor(); limits the charge for rarely used parts.
    constexpr double minimumUses = 0.5;

    // Memory of a part in PromptCache and of a count in PromptUsage: its nodes as the allocator rounds them up, and
    // its slots in a hash table that has just doubled.
    constexpr std::size_t cachedPartBytes = 48 + 32 + 16;
    constexpr std::size_t trackedPartBytes = 48 + 16;

    // More parts than the engines of a large fleet hold.
    constexpr std::size_t maxCachedParts = 1'000'000;

    // Use counts take at most one in so many of the bytes for prompt parts.
    constexpr std::size_t usageShare = 4;

    // The parts of all caches are counted, and evicted, after insertions of this part of their limit, one in so many,
    // so that an insertion takes constant time on average.
    constexpr std::size_t partCountDivisor = 32;

    // Factor on the time for recomputing the first \p tokens of the prompt at an endpoint that has not cached them. It
    // falls with the recent uses per endpoint that has cached them, since each later use of the new copy saves time.
    double recomputeCostFactor(const FleetView& fleetView, std::span<const PromptPart> prompt, std::uint64_t tokens,
        std::size_t cachingEndpointCount, double usesPerCopy, Millis now)
    {
        std::uint64_t coveredTokens = 0;
        double uses = 0;
        for (const PromptPart& part : prompt) {
            coveredTokens += part.tokens;
            if (auto partUses = recentUses(fleetView.promptUsage, part.key, now))
                uses = *partUses;
            if (coveredTokens >= tokens)
                break;
        }
        return usesPerCopy * static_cast<double>(std::max<std::size_t>(cachingEndpointCount, 1))
            / std::max(uses, minimumUses);
    }

    // Applies to shared prompt parts that no endpoint is known to have cached: endpoints other than
    // preferredEndpointFor() are charged this fraction of the time for processing the parts.
    constexpr double nonPreferredCostFraction = 0.5;

    // Prompt tokens of all parts but the last, which is specific to the request.
    std::uint64_t sharedTokens(std::span<const PromptPart> prompt)
    {
        std::uint64_t tokens = 0;
        for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
            tokens += prompt[i].tokens;
        return tokens;
    }

    // Preferred endpoint for shared parts that no endpoint is known to have cached, by rendezvous hashing. All daemons
    // with the same usable endpoints compute the same one. If all daemons restart and lose their modelled caches, they
    // therefore prefer the endpoint that they preferred for these parts before, which may still have them cached.
    const EndpointView* preferredEndpointFor(
        std::span<const std::pair<EndpointView*, std::uint64_t>> usableEndpoints, std::span<const PromptPart> prompt)
    {
        const EndpointView* preferredEndpoint = nullptr;
        std::uint64_t highestScore = 0;
        for (const auto& [view, cachedTokens] : usableEndpoints) {
            std::uint64_t score = hash64(view->registration.id.value, prompt[prompt.size() - 2].key);
            if (!preferredEndpoint || score > highestScore) {
                highestScore = score;
                preferredEndpoint = view;
            }
        }
        return preferredEndpoint;
    }

    double excessFailureRate(const EndpointView& view, const PoolView& pool) noexcept
    {
        double excess = view.failureRate - pool.failureRate;
        return excess > failureRateTolerance ? excess : 0.0;
    }

    // Evicts from the largest caches, so that prompts of many parts to one endpoint cost the others nothing.
    void limitPromptCaches(FleetView& fleetView)
    {
        PromptCacheBudget& budget = fleetView.promptCacheBudget;
        std::size_t step = budget.maxParts / partCountDivisor + 1;
        if (budget.insertedParts < step)
            return;
        budget.insertedParts = 0;
        auto isSmaller
            = [](const auto& a, const auto& b) { return a.second.promptCache.size() < b.second.promptCache.size(); };
        for (std::size_t parts = cachedPromptParts(fleetView); parts + step > budget.maxParts;) {
            auto largest = std::max_element(fleetView.endpoints.begin(), fleetView.endpoints.end(), isSmaller);
            std::size_t evicted = std::min(step, largest->second.promptCache.size());
            if (evicted == 0)
                return;
            largest->second.promptCache.evict(evicted);
            parts -= evicted;
        }
    }

    void insertIntoPromptCache(FleetView& fleetView, EndpointView& view, std::span<const PromptPart> prompt)
    {
        std::size_t previousParts = view.promptCache.size();
        view.promptCache.insert(prompt);
        fleetView.promptCacheBudget.insertedParts += view.promptCache.size() - previousParts;
        std::uint64_t memory = view.memoryTokens != 0 ? view.memoryTokens : defaultMemoryTokens;
        view.promptCache.shrink(static_cast<std::uint64_t>(usableMemoryFraction * static_cast<double>(memory)));
        limitPromptCaches(fleetView);
    }

    void updateAverage(double& value, double sample, double sampleWeight) noexcept
    {
        value += sampleWeight * (sample - value);
    }

    void subtractSaturating(std::uint64_t& value, std::uint64_t amount) noexcept { value -= std::min(value, amount); }

    EndpointView* findInstance(FleetView& fleetView, const Placement& placement)
    {
        auto found = fleetView.endpointsByInstance.find(placement.instanceId);
        return found == fleetView.endpointsByInstance.end() ? nullptr : found->second;
    }

    bool isUsable(const EndpointView& view, const EndpointChoiceRules& rules, Millis now)
    {
        if (!view.acceptsRequests(now) || now < view.excludedUntil)
            return false;
        // Requests that must not run twice probe a failed endpoint only after a delay in which a repeatable request
        // may probe it.
        bool mayProbe = rules.isRepeatable || now - view.excludedUntil >= nonRepeatableProbeDelay;
        bool isBeingProbed = view.isProbeInFlight && now - view.probeStartedAt < probeTimeout;
        bool isPacedByPeer = view.pace.limits.coldRequestsPerSecond != 0 && !view.pace.isOwner;
        if (isPacedByPeer && now - view.excludedUntil < foreignProbeDelay)
            mayProbe = false;
        if (view.consecutiveConnectionFailures != 0 && (isBeingProbed || !mayProbe))
            return false;
        return std::find(rules.triedEndpoints.begin(), rules.triedEndpoints.end(), view.instanceId)
            == rules.triedEndpoints.end();
    }

    // The limits for a stream that ends too late at the pool's average, at an endpoint where it ends earlier.
    AdmissionLimits limitsForUrgentStream(const AdmissionLimits& limits) noexcept
    {
        AdmissionLimits urgent = limits;
        urgent.maxQueueMs *= limits.urgentQueueFactor;
        urgent.maxQueueWhenLateMs *= limits.urgentQueueFactor;
        return urgent;
    }

    // Estimated time until a slot is free.
    double slotWaitMs(const EndpointLoad& load, unsigned slots, const PoolView& pool) noexcept
    {
        if (load.inFlight < slots)
            return 0;
        return pool.slotOccupancyMs * (load.inFlight - slots + 1) / slots;
    }

    void indexEndpoints(FleetView& fleetView)
    {
        fleetView.endpointsByPool.clear();
        fleetView.endpointsByShard.clear();
        fleetView.endpointsByInstance.clear();
        for (auto& [id, view] : fleetView.endpoints) {
            fleetView.endpointsByPool[view.registration.pool].push_back(&view);
            fleetView.endpointsByInstance[view.instanceId] = &view;
        }
        for (auto& [pool, poolEndpoints] : fleetView.endpointsByPool) {
            unsigned numberOfShards = shardCount(poolEndpoints.size());
            for (EndpointView* view : poolEndpoints) {
                view->shard = shardOfEndpoint(pool, view->registration.id, numberOfShards);
                fleetView.endpointsByShard[view->shard].push_back(view);
            }
        }
    }

    void markEvacuatedEndpoints(FleetView& fleetView)
    {
        for (auto& [id, view] : fleetView.endpoints)
            view.isEvacuated = fleetView.evacuatedZones.contains(view.registration.availabilityZone);
    }

    void addLoad(EndpointLoad& sum, const EndpointLoad& load) noexcept
    {
        sum.inFlight += load.inFlight;
        sum.pendingPrefillTokens += load.pendingPrefillTokens;
        sum.reservedTokens += load.reservedTokens;
    }

    void removeLoad(EndpointLoad& sum, const EndpointLoad& load) noexcept
    {
        sum.inFlight -= load.inFlight;
        sum.pendingPrefillTokens -= load.pendingPrefillTokens;
        sum.reservedTokens -= load.reservedTokens;
    }

    template <typename Predicate> void eraseGrants(EndpointView& view, Predicate shouldErase)
    {
        std::erase_if(view.pendingGrants, [&](const PendingGrant& grant) {
            if (!shouldErase(grant))
                return false;
            removeLoad(view.peerLoadSum, grant.load);
            return true;
        });
    }

    void startProbe(EndpointView& view, Millis now)
    {
        if (view.consecutiveConnectionFailures == 0)
            return;
        view.isProbeInFlight = true;
        view.probeStartedAt = now;
    }

    const std::vector<EndpointView*>* candidateEndpoints(const FleetView& fleetView, const PoolId& pool, ShardId shard)
    {
        if (auto found = fleetView.endpointsByShard.find(shard); found != fleetView.endpointsByShard.end())
            return &found->second;
        auto found = fleetView.endpointsByPool.find(pool);
        return found == fleetView.endpointsByPool.end() ? nullptr : &found->second;
    }

    void excludeFor(EndpointView& view, Millis duration, Millis now)
    {
        view.excludedUntil = std::max(view.excludedUntil, now + duration);
    }

    void recordFirstByteSample(EndpointView& view, PoolView& pool, double backlogTokens, double elapsedMs, Millis now)
    {
        view.lastResponseAt = now;
        double expectedMs = std::max(pool.latencyModel.predictMs(backlogTokens), 1.0);
        recordFirstByteTime(view.pace, elapsedMs, expectedMs * std::max(view.latencyRatio, 1.0), now);
        // A recovered endpoint gets as many requests as a cold one tolerates before the probe ends.
        if (recordResponse(view.pace, now))
            view.consecutiveConnectionFailures = 0;
        updateAverage(view.latencyRatio, std::clamp(elapsedMs / expectedMs, minimumLatencyRatio, maximumLatencyRatio),
            endpointAverageWeight);
        addSample(pool.latencyModel, backlogTokens, elapsedMs / std::max(view.latencyRatio, 1.0));
    }

    void recordOutcome(EndpointView& view, PoolView& pool, AttemptOutcome outcome, double elapsedMs, Millis now)
    {
        view.isProbeInFlight = false;
        switch (outcome) {
        case AttemptOutcome::Answered:
            view.consecutiveConnectionFailures = 0;
            recordResponse(view.pace, now);
            pool.slotOccupancyMs = pool.slotOccupancyMs == 0
                ? elapsedMs
                : pool.slotOccupancyMs + poolAverageWeight * (elapsedMs - pool.slotOccupancyMs);
            break;
        case AttemptOutcome::Refused:
            view.consecutiveConnectionFailures = 0;
            excludeFor(view, refusalExclusion, now);
            recordResponse(view.pace, now);
            recordStrain(view.pace, now);
            break;
        case AttemptOutcome::Failed:
            recordStrain(view.pace, now);
            break;
        case AttemptOutcome::ConnectionFailed: {
            Millis exclusion { std::min(
                initialExclusion.count << std::min(view.consecutiveConnectionFailures, 5U), maximumExclusion.count) };
            ++view.consecutiveConnectionFailures;
            excludeFor(view, exclusion, now);
            recordUnanswered(view.pace, now);
            break;
        }
        case AttemptOutcome::Stalled:
            excludeFor(view, initialExclusion, now);
            recordStall(view.pace, Millis { static_cast<std::int64_t>(elapsedMs) }, now);
            break;
        case AttemptOutcome::Cancelled:
            return;
        }
        double failureSample = outcome == AttemptOutcome::Answered ? 0.0 : 1.0;
        updateAverage(view.failureRate, failureSample, endpointAverageWeight);
        updateAverage(pool.failureRate, failureSample, poolAverageWeight);
    }

}

EndpointLoad EndpointView::load() const noexcept
{
    EndpointLoad sum = ownLoad;
    addLoad(sum, peerLoadSum);
    return sum;
}

EndpointInstanceId endpointInstanceId(const Registration& registration) noexcept
{
    return hash64(registration.id.value, static_cast<std::uint64_t>(registration.startedAtUnixMs));
}

void setPromptMemory(FleetView& fleetView, std::size_t bytes)
{
    std::size_t defaultGeneration = PromptUsage {}.generationSize;
    std::size_t generation = std::min(defaultGeneration, bytes / usageShare / trackedPartBytes / 2);
    fleetView.promptUsage.generationSize = std::max<std::size_t>(generation, maxPromptParts);
    std::size_t usageBytes = std::min(bytes, 2 * generation * trackedPartBytes);
    fleetView.promptCacheBudget.maxParts = std::min(maxCachedParts, (bytes - usageBytes) / cachedPartBytes);
}

std::size_t cachedPromptParts(const FleetView& fleetView) noexcept
{
    std::size_t parts = 0;
    for (const auto& [id, view] : fleetView.endpoints)
        parts += view.promptCache.size();
    return parts;
}

void setRegistrations(FleetView& fleetView, std::span<const Registration> registrations)
{
    std::map<EndpointId, EndpointView> updatedEndpoints;
    for (const Registration& registration : registrations) {
        EndpointInstanceId instanceId = endpointInstanceId(registration);
        auto existing = fleetView.endpoints.find(registration.id);
        EndpointView view;
        // The same id with another start time or address is another process, without the cache and load of the earlier
        // one.
        if (existing != fleetView.endpoints.end() && existing->second.instanceId == instanceId
            && existing->second.registration.address == registration.address)
            view = std::move(existing->second);
        bool isKnown = view.instanceId != 0;
        view.isRegistrationUnread = view.isRegistrationUnread || !isKnown || view.registration != registration;
        view.hasJoinedRunningFleet = !isKnown && fleetView.endpointsByPool.contains(registration.pool);
        view.registration = registration;
        view.instanceId = instanceId;
        updatedEndpoints.insert_or_assign(registration.id, std::move(view));
    }
    fleetView.endpoints = std::move(updatedEndpoints);
    indexEndpoints(fleetView);
    markEvacuatedEndpoints(fleetView);
}

void setMemoryCapacities(FleetView& fleetView, const RoutingTable& table)
{
    for (auto& [id, view] : fleetView.endpoints)
        view.memoryTokens = table.poolSpec(view.registration.pool).memoryTokens;
}

void updatePaces(FleetView& fleetView, const RoutingTable& table, const PaceOptions& options, Millis now)
{
    for (auto& [id, view] : fleetView.endpoints) {
        PaceLimits limits = paceLimits(table.poolSpec(view.registration.pool), options);
        // The configuration may arrive after the registrations; their warm-up then counts from here.
        bool wasUnpaced = view.pace.limits.coldRequestsPerSecond == 0;
        view.pace.limits = limits;
        if (std::exchange(view.isRegistrationUnread, false) || wasUnpaced)
            setRegisteredWarmup(view.pace, view.registration.remainingWarmup, now);
        if (std::exchange(view.hasJoinedRunningFleet, false))
            rampNewEndpoint(view.pace, now);
    }
}

void presumeZoneCold(FleetView& fleetView, std::string_view availabilityZone, PaceCause cause, Millis now)
{
    for (auto& [id, view] : fleetView.endpoints) {
        if (view.registration.availabilityZone == availabilityZone)
            presumeCold(view.pace, cause, now);
    }
}

void setEvacuatedZones(FleetView& fleetView, const std::set<std::string>& zones, Millis now)
{
    std::set<std::string> previousZones = std::exchange(fleetView.evacuatedZones, zones);
    markEvacuatedEndpoints(fleetView);
    for (const std::string& zone : previousZones) {
        if (!zones.contains(zone))
            presumeZoneCold(fleetView, zone, PaceCause::Evacuation, now);
    }
}

bool hasBecomeCold(const EndpointView& view, const Placement& placement, Millis now) noexcept
{
    return isCold(view.pace, now) && view.pace.coldSince > placement.sentAt;
}

EndpointChoice chooseEndpoint(FleetView& fleetView, const RoutingTable& table, const PoolId& pool,
    const RequestWorkload& workload, const EndpointChoiceRules& rules, Millis now)
{
    EndpointChoice best { .prediction = { .queueMs = std::numeric_limits<double>::infinity() } };
    const std::vector<EndpointView*>* poolEndpoints = candidateEndpoints(fleetView, pool, rules.shard);
    if (!poolEndpoints)
        return best;
    const PoolSpec& spec = table.poolSpec(pool);
    const PoolView& poolView = fleetView.pools[pool];
    const PlacementOptions& options = rules.options;
    std::vector<std::pair<EndpointView*, std::uint64_t>>
        usableEndpoints; // With the prompt tokens that each has cached.
    std::uint64_t mostCachedTokens = 0;
    std::size_t cachingEndpointCount = 0;
    for (EndpointView* view : *poolEndpoints) {
        if (!isUsable(*view, rules, now) || !takesRequest(view->pace, now))
            continue;
        std::uint64_t cachedTokens = std::min(workload.promptTokens, view->promptCache.cachedTokens(workload.prompt));
        if (cachedTokens > mostCachedTokens) {
            mostCachedTokens = cachedTokens;
            cachingEndpointCount = 0;
        }
        cachingEndpointCount += cachedTokens == mostCachedTokens ? 1U : 0U;
        usableEndpoints.emplace_back(view, cachedTokens);
    }
    double recomputeFactor = recomputeCostFactor(
        fleetView, workload.prompt, mostCachedTokens, cachingEndpointCount, options.usesPerCopy, now);
    // Recomputing short parts costs less than sending the request to another availability zone, and another copy of
    // them takes little memory.
    if (static_cast<double>(mostCachedTokens) * poolView.latencyModel.msPerToken
        < static_cast<double>(options.crossZoneCost.count))
        recomputeFactor = 0;
    std::uint64_t sharedPromptTokens = std::min(workload.promptTokens, sharedTokens(workload.prompt));
    const EndpointView* preferredEndpoint
        = mostCachedTokens < sharedPromptTokens ? preferredEndpointFor(usableEndpoints, workload.prompt) : nullptr;
    double nonPreferredCostMs = preferredEndpoint ? nonPreferredCostFraction
            * static_cast<double>(sharedPromptTokens - mostCachedTokens) * poolView.latencyModel.msPerToken
                                                  : 0;
    double events = expectedEvents(poolView.streamLength, workload.expectedOutputTokens);
    auto streamTimeLeftMs = static_cast<double>(rules.streamTimeLeft.count);
    StreamEndPrediction averageEnd { .streamMs = events * poolView.eventInterval.averageMs,
        .timeToDeadlineMs = streamTimeLeftMs };
    // Endpoints beyond the admission limits rank after all others.
    std::pair bestRank { true, std::numeric_limits<double>::infinity() };
    for (const auto& [view, cachedTokens] : usableEndpoints) {
        EndpointLoad load = view->load();
        std::uint64_t prefillTokens = workload.promptTokens - cachedTokens;
        unsigned slots = slotCount(*view, spec);
        const LatencyModel& latencyModel = poolView.latencyModel;
        LatencyPrediction prediction {
            .queueMs = static_cast<double>(load.pendingPrefillTokens) * latencyModel.msPerToken * view->latencyRatio
                + slotWaitMs(load, slots, poolView),
            .idleEndpointMs = latencyModel.predictMs(static_cast<double>(prefillTokens)) * view->latencyRatio,
            .recomputeCostMs
            = recomputeFactor * static_cast<double>(mostCachedTokens - cachedTokens) * latencyModel.msPerToken,
        };
        if (spec.memoryTokens != 0
            && static_cast<double>(load.reservedTokens + prefillTokens + workload.maxOutputTokens)
                > usableMemoryFraction * static_cast<double>(spec.memoryTokens))
            prediction.queueMs += poolView.slotOccupancyMs;
        StreamEndPrediction streamEnd {
            .streamMs = events * expectedEventIntervalMs(view->eventInterval, poolView.eventInterval, now),
            .timeToDeadlineMs = streamTimeLeftMs,
        };
        bool isUrgent = averageEnd.isLate(prediction.firstByteMs()) && streamEnd.streamMs < averageEnd.streamMs;
        bool isWithinLimits
            = isPredictionWithinLimits(isUrgent ? limitsForUrgentStream(rules.limits) : rules.limits, prediction);
        // The last term charges for the requests in flight per slot, since they lengthen the engine's decoding steps,
        // which the predicted times do not include.
        double score = prediction.firstByteMs() + prediction.recomputeCostMs
            + latencyModel.baseMs * static_cast<double>(load.inFlight) / slots;
        score *= 1.0 + failureRateWeight * excessFailureRate(*view, poolView);
        if (view->registration.availabilityZone != rules.availabilityZone)
            score += static_cast<double>(options.crossZoneCost.count);
        if (view->registration.remainingWarmup > Millis {})
            score += static_cast<double>(view->registration.remainingWarmup.count) * warmupWeight;
        score += lateEndCostMs(streamEnd, prediction.firstByteMs(), workload.promptTokens);
        if (view != preferredEndpoint)
            score += nonPreferredCostMs;
        std::pair rank { !isWithinLimits, score };
        if (options.leastOutstanding)
            rank = { false, static_cast<double>(load.inFlight) };
        if (rank >= bestRank)
            continue;
        bestRank = rank;
        best = { .endpoint = view,
            .prediction = prediction,
            .isWithinLimits = isWithinLimits,
            .prefillTokens = prefillTokens,
            .backlogTokens = static_cast<double>(load.pendingPrefillTokens + prefillTokens) };
    }
    return best;
}

Placement recordSend(FleetView& fleetView, const EndpointChoice& choice, const RequestWorkload& workload, Millis now)
{
    EndpointView& view = *choice.endpoint;
    Placement placement { .endpoint = view.registration.id,
        .instanceId = view.instanceId,
        .prefillTokens = choice.prefillTokens,
        .reservedTokens = choice.prefillTokens + workload.maxOutputTokens,
        .backlogTokens = choice.backlogTokens,
        .predictedFirstByteMs = choice.prediction.firstByteMs(),
        .sentAt = now,
        .hasSlot = view.load().inFlight < view.registration.slots,
        .expectedOutputTokens = workload.expectedOutputTokens };
    ++view.ownLoad.inFlight;
    view.ownLoad.pendingPrefillTokens += placement.prefillTokens;
    view.ownLoad.reservedTokens += placement.reservedTokens;
    view.ownLoadChanged = true;
    startProbe(view, now);
    recordPacedRequest(view.pace, now);
    insertIntoPromptCache(fleetView, view, workload.prompt);
    recordUses(fleetView.promptUsage, workload.prompt, now);
    return placement;
}

void recordGrant(FleetView& fleetView, const EndpointChoice& choice, const RequestWorkload& workload,
    DaemonInstanceId peer, std::uint64_t grantNumber, Millis now)
{
    EndpointView& view = *choice.endpoint;
    PendingGrant grant { .daemon = peer,
        .grantNumber = grantNumber,
        .load = { .inFlight = 1,
            .pendingPrefillTokens = choice.prefillTokens,
            .reservedTokens = choice.prefillTokens + workload.maxOutputTokens },
        .grantedAt = now };
    addLoad(view.peerLoadSum, grant.load);
    view.pendingGrants.push_back(grant);
    startProbe(view, now);
    recordPacedRequest(view.pace, now);
    insertIntoPromptCache(fleetView, view, workload.prompt);
    recordUses(fleetView.promptUsage, workload.prompt, now);
}

void confirmGrants(FleetView& fleetView, DaemonInstanceId peer, std::uint64_t lastGrantNumber)
{
    for (auto& [id, view] : fleetView.endpoints)
        eraseGrants(view,
            [&](const PendingGrant& grant) { return grant.daemon == peer && grant.grantNumber <= lastGrantNumber; });
}

void expireGrants(FleetView& fleetView, Millis now)
{
    for (auto& [id, view] : fleetView.endpoints)
        eraseGrants(view, [&](const PendingGrant& grant) { return now - grant.grantedAt >= grantConfirmationTimeout; });
}

AttemptReport firstByteReport(const Placement& placement, Millis now)
{
    return { .endpoint = placement.instanceId,
        .backlogTokens = static_cast<std::uint64_t>(placement.backlogTokens),
        .elapsedMs = static_cast<std::uint32_t>((now - placement.sentAt).count) };
}

AttemptReport endReport(const Placement& placement, AttemptOutcome outcome, Millis now)
{
    std::uint64_t intervals = placement.events > 1 ? placement.events - 1 : 0;
    auto eventTimeMs = static_cast<std::uint64_t>(placement.eventTime.count);
    return { .endpoint = placement.instanceId,
        .hasEnded = true,
        .outcome = outcome,
        .elapsedMs = static_cast<std::uint32_t>((now - placement.sentAt).count),
        .eventIntervalMs = intervals != 0 ? static_cast<std::uint32_t>(eventTimeMs / intervals) : 0 };
}

void applyAttemptReport(FleetView& fleetView, const AttemptReport& report, Millis now)
{
    auto found = fleetView.endpointsByInstance.find(report.endpoint);
    if (found == fleetView.endpointsByInstance.end())
        return;
    EndpointView& view = *found->second;
    PoolView& pool = fleetView.pools[view.registration.pool];
    if (!report.hasEnded) {
        recordFirstByteSample(view, pool, static_cast<double>(report.backlogTokens), report.elapsedMs, now);
        return;
    }
    recordOutcome(view, pool, report.outcome, report.elapsedMs, now);
    if (report.eventIntervalMs != 0) {
        addEventInterval(view.eventInterval, report.eventIntervalMs, reportedIntervalWeight, now);
        addEventInterval(pool.eventInterval, report.eventIntervalMs, reportedPoolIntervalWeight, now);
    }
}

bool recordEndpointNotice(FleetView& fleetView, EndpointInstanceId endpoint, bool isLeaving, Millis pause, Millis now)
{
    auto found = fleetView.endpointsByInstance.find(endpoint);
    if (found == fleetView.endpointsByInstance.end())
        return false;
    EndpointView& view = *found->second;
    Millis pausedUntil = pause > Millis {} ? now + std::min(pause, maximumPause) : view.pausedUntil;
    bool isNew = (isLeaving && !view.isLeaving) || pausedUntil > view.pausedUntil;
    view.isLeaving = view.isLeaving || isLeaving;
    view.pausedUntil = std::max(view.pausedUntil, pausedUntil);
    return isNew;
}

void recordFirstByte(FleetView& fleetView, Placement& placement, Millis now)
{
    if (placement.firstByteReceived)
        return;
    placement.firstByteReceived = true;
    EndpointView* view = findInstance(fleetView, placement);
    if (!view)
        return;
    subtractSaturating(view->ownLoad.pendingPrefillTokens, placement.prefillTokens);
    view->ownLoadChanged = true;
    applyAttemptReport(fleetView, firstByteReport(placement, now), now);
}

void recordEvents(FleetView& fleetView, Placement& placement, std::uint64_t count, Millis sincePrevious, Millis now)
{
    bool isFirst = placement.events == 0;
    placement.events += count;
    if (isFirst || count == 0)
        return;
    placement.eventTime = placement.eventTime + sincePrevious;
    EndpointView* view = findInstance(fleetView, placement);
    if (!view)
        return;
    double intervalMs = static_cast<double>(sincePrevious.count) / static_cast<double>(count);
    addEventInterval(view->eventInterval, intervalMs, endpointIntervalWeight, now);
    addEventInterval(fleetView.pools[view->registration.pool].eventInterval, intervalMs, poolIntervalWeight, now);
}

void recordEnd(FleetView& fleetView, const Placement& placement, AttemptOutcome outcome, Millis now)
{
    EndpointView* view = findInstance(fleetView, placement);
    if (!view)
        return;
    view->ownLoad.inFlight -= std::min(view->ownLoad.inFlight, 1U);
    if (!placement.firstByteReceived)
        subtractSaturating(view->ownLoad.pendingPrefillTokens, placement.prefillTokens);
    subtractSaturating(view->ownLoad.reservedTokens, placement.reservedTokens);
    view->ownLoadChanged = true;
    AttemptReport report = endReport(placement, outcome, now);
    report.eventIntervalMs = 0; // recordEvents() has added the intervals.
    applyAttemptReport(fleetView, report, now);
    if (outcome == AttemptOutcome::Answered && placement.events != 0 && placement.expectedOutputTokens != 0)
        addCompleteStream(
            fleetView.pools[view->registration.pool].streamLength, placement.events, placement.expectedOutputTokens);
}

void setPeerLoad(FleetView& fleetView, DaemonInstanceId daemon, EndpointInstanceId endpoint, const EndpointLoad& load)
{
    auto found = fleetView.endpointsByInstance.find(endpoint);
    if (found == fleetView.endpointsByInstance.end())
        return;
    EndpointView& view = *found->second;
    EndpointLoad& peerLoad = view.peerLoads[daemon];
    removeLoad(view.peerLoadSum, peerLoad);
    addLoad(view.peerLoadSum, load);
    if (load == EndpointLoad {})
        view.peerLoads.erase(daemon);
    else
        peerLoad = load;
}

void recordPeerPrompt(FleetView& fleetView, EndpointInstanceId endpoint, std::span<const PromptPart> prompt, Millis now)
{
    recordUses(fleetView.promptUsage, prompt, now);
    auto found = fleetView.endpointsByInstance.find(endpoint);
    if (found != fleetView.endpointsByInstance.end())
        insertIntoPromptCache(fleetView, *found->second, prompt);
}

void clearPeerLoad(FleetView& fleetView, DaemonInstanceId daemon)
{
    for (auto& [id, view] : fleetView.endpoints) {
        auto peerLoad = view.peerLoads.find(daemon);
        if (peerLoad == view.peerLoads.end())
            continue;
        removeLoad(view.peerLoadSum, peerLoad->second);
        view.peerLoads.erase(peerLoad);
    }
}

}
