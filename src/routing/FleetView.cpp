#include "routing/FleetView.h"

#include "base/Hash.h"
#include "routing/Shards.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminestack {

namespace {

    // Weight of one answer in an endpoint's averages: about the last twenty answers count.
    constexpr double endpointStep = 0.05;

    // Weight of one answer in a pool's averages.
    constexpr double poolStep = 0.01;

    // A loss keeps an endpoint out for the first time; each further one in a row doubles it up to the second.
    constexpr Millis firstAvoidance { 250 };
    constexpr Millis longestAvoidance { 4'000 };

    // A lost endpoint waits this long for a repeatable request before any request may find out whether it is back.
    constexpr Millis probeDelay { 1'500 };

    // A probe whose end was not reported has ended by then.
    constexpr Millis probeLimit { 5'000 };

    // A peer's next report follows within its flush interval; this covers lost datagrams and a paused peer.
    constexpr Millis grantConfirmation { 500 };

    // An endpoint that refuses or stalls has more work than this daemon knows of.
    constexpr Millis refusalAvoidance { 100 };

    // A slot that a failing endpoint wastes: its share of failures counts as this many times its predicted time.
    constexpr double failureWeight = 8.0;

    // Failures below this much above the pool's average are ordinary.
    constexpr double ordinaryFailures = 0.1;

    // Added to the score of endpoints that miss the limit, so that they come after all others.
    constexpr double beyondLimit = 1e9;

    // An endpoint that is still warming up counts as slower by this part of the time left.
    constexpr double warmupWeight = 0.1;

    constexpr double minimumSlowness = 0.5;
    constexpr double maximumSlowness = 20.0;

    // Part of an engine's memory that running requests may fill; beyond it requests are preempted.
    constexpr double usableMemory = 0.9;

    // Memory assumed for an engine that does not tell it; bounds the model of its cache.
    constexpr std::uint64_t assumedMemoryTokens = 500'000;

    unsigned slotsOf(const EndpointView& view, const PoolSpec& spec) noexcept
    {
        return std::max(1U, view.registration.slots != 0 ? view.registration.slots : spec.slots);
    }

    // Time constant of the counts of uses: about as long as an engine keeps a part that is not used.
    constexpr Millis useWindow { 10'000 };

    // A part that was hardly used is charged as if it had been used this often.
    constexpr double fewestUses = 0.5;

    // Counts kept at most; those below the threshold are dropped first.
    constexpr std::size_t maxPartUses = 20'000;
    constexpr double forgottenUses = 0.2;

    double usesAt(const PromptPartUsage& use, Millis now)
    {
        return use.count * std::exp(-(now - use.updated).seconds() / useWindow.seconds());
    }

    void countUses(FleetView& picture, std::span<const PromptPart> prompt, Millis now)
    {
        for (const PromptPart& part : prompt) {
            PromptPartUsage& use = picture.partUses[part.key];
            use = { .count = usesAt(use, now) + 1.0, .updated = now };
        }
        if (picture.partUses.size() > maxPartUses)
            std::erase_if(
                picture.partUses, [&](const auto& entry) { return usesAt(entry.second, now) < forgottenUses; });
    }

    // Multiple of its time that reading again \p tokens of the prompt is charged at: the time pays off over the uses of
    // the further copy.
    double rereadMultiple(const FleetView& picture, std::span<const PromptPart> prompt, std::uint64_t tokens,
        std::size_t copies, double usesPerCopy, Millis now)
    {
        std::uint64_t depth = 0;
        double uses = 0;
        for (const PromptPart& part : prompt) {
            depth += part.tokens;
            if (auto found = picture.partUses.find(part.key); found != picture.partUses.end())
                uses = usesAt(found->second, now);
            if (depth >= tokens)
                break;
        }
        return usesPerCopy * static_cast<double>(std::max<std::size_t>(copies, 1)) / std::max(uses, fewestUses);
    }

    // Part of the time for reading shared parts that a first placement away from their home is charged.
    constexpr double homePreference = 0.5;

    // Prompt tokens before the last part, which belongs to the request itself.
    std::uint64_t sharedTokens(std::span<const PromptPart> prompt)
    {
        std::uint64_t tokens = 0;
        for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
            tokens += prompt[i].tokens;
        return tokens;
    }

    // The endpoint that shared parts go to while nobody knows where they lie: the same at all daemons and after all of
    // them have restarted, when the endpoints still hold what was sent there before.
    const EndpointView* homeOf(
        std::span<const std::pair<EndpointView*, std::uint64_t>> usable, std::span<const PromptPart> prompt)
    {
        const EndpointView* home = nullptr;
        std::uint64_t highest = 0;
        for (const auto& [view, cached] : usable) {
            std::uint64_t score = hash64(view->registration.id.value, prompt[prompt.size() - 2].key);
            if (!home || score > highest) {
                highest = score;
                home = view;
            }
        }
        return home;
    }

    double relativeFailures(const EndpointView& view, const PoolView& pool) noexcept
    {
        double excess = view.failureShare - pool.failureShare;
        return excess > ordinaryFailures ? excess : 0.0;
    }

    void rememberPrompt(EndpointView& view, std::span<const PromptPart> prompt)
    {
        view.promptCache.insert(prompt);
        std::uint64_t memory = view.memoryTokens != 0 ? view.memoryTokens : assumedMemoryTokens;
        view.promptCache.shrink(static_cast<std::uint64_t>(usableMemory * static_cast<double>(memory)));
    }

    void average(double& value, double sample, double step) noexcept { value += step * (sample - value); }

    void subtract(std::uint64_t& value, std::uint64_t amount) noexcept { value -= std::min(value, amount); }

    EndpointView* find(FleetView& picture, const Placement& placement)
    {
        auto found = picture.endpointsByInstance.find(placement.instanceId);
        return found == picture.endpointsByInstance.end() ? nullptr : found->second;
    }

    bool isUsable(const EndpointView& view, const EndpointChoiceRules& rules, Millis now)
    {
        if (view.registration.draining || now < view.avoidUntil)
            return false;
        // A request that must not run twice is no probe, unless nothing else has come for a while.
        bool mayProbe = rules.repeatable || now - view.avoidUntil >= probeDelay;
        bool probed = view.probing && now - view.probeStarted < probeLimit;
        if (view.losses != 0 && (probed || !mayProbe))
            return false;
        return std::find(rules.triedEndpoints.begin(), rules.triedEndpoints.end(), view.instanceId)
            == rules.triedEndpoints.end();
    }

    // Milliseconds until a slot is free.
    double slotWait(const EndpointLoad& load, unsigned slots, const PoolView& pool) noexcept
    {
        if (load.inFlight < slots)
            return 0;
        return pool.holdMilliseconds * (load.inFlight - slots + 1) / slots;
    }

    void indexEndpoints(FleetView& picture)
    {
        picture.endpointsByPool.clear();
        picture.endpointsByShard.clear();
        picture.endpointsByInstance.clear();
        for (auto& [id, view] : picture.endpoints) {
            picture.endpointsByPool[view.registration.pool].push_back(&view);
            picture.endpointsByInstance[view.instanceId] = &view;
        }
        for (auto& [pool, members] : picture.endpointsByPool) {
            unsigned shards = shardCount(members.size());
            for (EndpointView* view : members) {
                view->shard = shardOfEndpoint(pool, view->registration.id, shards);
                picture.endpointsByShard[view->shard].push_back(view);
            }
        }
    }

    void add(EndpointLoad& sum, const EndpointLoad& load) noexcept
    {
        sum.inFlight += load.inFlight;
        sum.pendingPrefillTokens += load.pendingPrefillTokens;
        sum.reservedTokens += load.reservedTokens;
    }

    void remove(EndpointLoad& sum, const EndpointLoad& load) noexcept
    {
        sum.inFlight -= load.inFlight;
        sum.pendingPrefillTokens -= load.pendingPrefillTokens;
        sum.reservedTokens -= load.reservedTokens;
    }

    template <typename Predicate> void eraseGrants(EndpointView& view, Predicate ended)
    {
        std::erase_if(view.grants, [&](const PendingGrant& grant) {
            if (!ended(grant))
                return false;
            remove(view.others, grant.load);
            return true;
        });
    }

    void startProbe(EndpointView& view, Millis now)
    {
        if (view.losses == 0)
            return;
        view.probing = true;
        view.probeStarted = now;
    }

    const std::vector<EndpointView*>* candidates(const FleetView& picture, const PoolId& pool, ShardId shard)
    {
        if (auto found = picture.endpointsByShard.find(shard); found != picture.endpointsByShard.end())
            return &found->second;
        auto found = picture.endpointsByPool.find(pool);
        return found == picture.endpointsByPool.end() ? nullptr : &found->second;
    }

    void avoid(EndpointView& view, Millis span, Millis now) { view.avoidUntil = std::max(view.avoidUntil, now + span); }

    void learnFirstByte(EndpointView& view, PoolView& pool, double workAhead, double taken, Millis now)
    {
        view.lastAnswer = now;
        double expected = std::max(pool.latency.predict(workAhead), 1.0);
        average(view.slowness, std::clamp(taken / expected, minimumSlowness, maximumSlowness), endpointStep);
        addSample(pool.latency, workAhead, taken / std::max(view.slowness, 1.0));
    }

    void learnEnd(EndpointView& view, PoolView& pool, AttemptOutcome outcome, double held, Millis now)
    {
        view.probing = false;
        switch (outcome) {
        case AttemptOutcome::Answered:
            view.losses = 0;
            pool.holdMilliseconds
                = pool.holdMilliseconds == 0 ? held : pool.holdMilliseconds + poolStep * (held - pool.holdMilliseconds);
            break;
        case AttemptOutcome::Refused:
            view.losses = 0;
            avoid(view, refusalAvoidance, now);
            break;
        case AttemptOutcome::Failed:
            break;
        case AttemptOutcome::ConnectionFailed: {
            Millis span { std::min(firstAvoidance.count << std::min(view.losses, 5U), longestAvoidance.count) };
            ++view.losses;
            avoid(view, span, now);
            break;
        }
        case AttemptOutcome::Stalled:
            avoid(view, firstAvoidance, now);
            break;
        case AttemptOutcome::Cancelled:
            return;
        }
        double failed = outcome == AttemptOutcome::Answered ? 0.0 : 1.0;
        average(view.failureShare, failed, endpointStep);
        average(pool.failureShare, failed, poolStep);
    }

}

EndpointLoad EndpointView::load() const noexcept
{
    EndpointLoad sum = ownLoad;
    add(sum, others);
    return sum;
}

EndpointInstanceId endpointInstanceId(const Registration& registration) noexcept
{
    return hash64(registration.id.value, static_cast<std::uint64_t>(registration.startedAtUnixMs));
}

void setRegistrations(FleetView& picture, std::span<const Registration> registrations)
{
    std::map<EndpointId, EndpointView> next;
    for (const Registration& registration : registrations) {
        EndpointInstanceId key = endpointInstanceId(registration);
        auto known = picture.endpoints.find(registration.id);
        EndpointView view;
        // The same id with another start or address is another process, which holds nothing of the earlier one.
        if (known != picture.endpoints.end() && known->second.instanceId == key
            && known->second.registration.address == registration.address)
            view = std::move(known->second);
        view.registration = registration;
        view.instanceId = key;
        next.insert_or_assign(registration.id, std::move(view));
    }
    picture.endpoints = std::move(next);
    indexEndpoints(picture);
}

void setPoolProperties(FleetView& picture, const RoutingTable& table)
{
    for (auto& [id, view] : picture.endpoints)
        view.memoryTokens = table.poolSpec(view.registration.pool).memoryTokens;
}

EndpointChoice chooseEndpoint(FleetView& picture, const RoutingTable& table, const PoolId& pool,
    const RequestWorkload& work, const EndpointChoiceRules& rules, Millis now)
{
    EndpointChoice best { .prediction = { .queueMs = std::numeric_limits<double>::infinity() } };
    const std::vector<EndpointView*>* members = candidates(picture, pool, rules.shard);
    if (!members)
        return best;
    const PoolSpec& spec = table.poolSpec(pool);
    const PoolView& learned = picture.pools[pool];
    const PlacementOptions& options = rules.options;
    std::vector<std::pair<EndpointView*, std::uint64_t>> usable; // With the prompt tokens that each holds.
    std::uint64_t mostCached = 0;
    std::size_t copies = 0; // Endpoints that hold that much.
    for (EndpointView* view : *members) {
        if (!isUsable(*view, rules, now))
            continue;
        std::uint64_t cached = std::min(work.promptTokens, view->promptCache.cachedTokens(work.prompt));
        if (cached > mostCached) {
            mostCached = cached;
            copies = 0;
        }
        copies += cached == mostCached ? 1U : 0U;
        usable.emplace_back(view, cached);
    }
    double multiple = rereadMultiple(picture, work.prompt, mostCached, copies, options.usesPerCopy, now);
    // A copy of short parts takes little memory, and reading them little time, compared with the way to another zone.
    if (static_cast<double>(mostCached) * learned.latency.perUnit < static_cast<double>(options.crossZoneCost.count))
        multiple = 0;
    std::uint64_t shared = std::min(work.promptTokens, sharedTokens(work.prompt));
    const EndpointView* home = mostCached < shared ? homeOf(usable, work.prompt) : nullptr;
    double awayFromHome
        = home ? homePreference * static_cast<double>(shared - mostCached) * learned.latency.perUnit : 0;
    double bestScore = std::numeric_limits<double>::infinity();
    for (const auto& [view, cached] : usable) {
        EndpointLoad load = view->load();
        std::uint64_t unread = work.promptTokens - cached;
        unsigned slots = slotsOf(*view, spec);
        const LatencyModel& latency = learned.latency;
        LatencyPrediction prediction {
            .queueMs = static_cast<double>(load.pendingPrefillTokens) * latency.perUnit * view->slowness
                + slotWait(load, slots, learned),
            .idleEndpointMs = latency.predict(static_cast<double>(unread)) * view->slowness,
            .recomputeCostMs = multiple * static_cast<double>(mostCached - cached) * latency.perUnit,
        };
        if (spec.memoryTokens != 0
            && static_cast<double>(load.reservedTokens + unread + work.maxOutputTokens)
                > usableMemory * static_cast<double>(spec.memoryTokens))
            prediction.queueMs += learned.holdMilliseconds;
        bool within = isPredictionWithinLimits(rules.limits, prediction);
        // Ties go to the endpoint with fewer requests, whose steps are shorter.
        double score = prediction.firstByteMs() + prediction.recomputeCostMs
            + latency.base * static_cast<double>(load.inFlight) / slots;
        score *= 1.0 + failureWeight * relativeFailures(*view, learned);
        if (view->registration.availabilityZone != rules.availabilityZone)
            score += static_cast<double>(options.crossZoneCost.count);
        if (view->registration.warmupLeft > Millis {})
            score += static_cast<double>(view->registration.warmupLeft.count) * warmupWeight;
        if (view != home)
            score += awayFromHome;
        if (!within)
            score += beyondLimit;
        if (options.leastOutstanding)
            score = load.inFlight;
        if (score >= bestScore)
            continue;
        bestScore = score;
        best = { .endpoint = view,
            .prediction = prediction,
            .isWithinLimits = within,
            .prefillTokens = unread,
            .backlogTokens = static_cast<double>(load.pendingPrefillTokens + unread) };
    }
    return best;
}

Placement recordSend(FleetView& picture, const EndpointChoice& choice, const RequestWorkload& work, Millis now)
{
    EndpointView& view = *choice.endpoint;
    Placement placement { .endpoint = view.registration.id,
        .instanceId = view.instanceId,
        .prefillTokens = choice.prefillTokens,
        .reservedTokens = choice.prefillTokens + work.maxOutputTokens,
        .backlogTokens = choice.backlogTokens,
        .predictedFirstByteMs = choice.prediction.firstByteMs(),
        .sentAt = now };
    ++view.ownLoad.inFlight;
    view.ownLoad.pendingPrefillTokens += placement.prefillTokens;
    view.ownLoad.reservedTokens += placement.reservedTokens;
    view.ownLoadChanged = true;
    startProbe(view, now);
    rememberPrompt(view, work.prompt);
    countUses(picture, work.prompt, now);
    return placement;
}

void recordGrant(FleetView& picture, const EndpointChoice& choice, const RequestWorkload& work, DaemonInstanceId peer,
    std::uint64_t number, Millis now)
{
    EndpointView& view = *choice.endpoint;
    PendingGrant grant { .daemon = peer,
        .number = number,
        .load = { .inFlight = 1,
            .pendingPrefillTokens = choice.prefillTokens,
            .reservedTokens = choice.prefillTokens + work.maxOutputTokens },
        .grantedAt = now };
    add(view.others, grant.load);
    view.grants.push_back(grant);
    startProbe(view, now);
    rememberPrompt(view, work.prompt);
    countUses(picture, work.prompt, now);
}

void confirmGrants(FleetView& picture, DaemonInstanceId peer, std::uint64_t number)
{
    for (auto& [id, view] : picture.endpoints)
        eraseGrants(view, [&](const PendingGrant& grant) { return grant.daemon == peer && grant.number <= number; });
}

void expireGrants(FleetView& picture, Millis now)
{
    for (auto& [id, view] : picture.endpoints)
        eraseGrants(view, [&](const PendingGrant& grant) { return now - grant.grantedAt >= grantConfirmation; });
}

AttemptReport firstByteReport(const Placement& placement, Millis now)
{
    return { .endpoint = placement.instanceId,
        .backlogTokens = static_cast<std::uint64_t>(placement.backlogTokens),
        .elapsedMs = static_cast<std::uint32_t>((now - placement.sentAt).count) };
}

AttemptReport endReport(const Placement& placement, AttemptOutcome outcome, Millis now)
{
    return { .endpoint = placement.instanceId,
        .ended = true,
        .outcome = outcome,
        .elapsedMs = static_cast<std::uint32_t>((now - placement.sentAt).count) };
}

void applyAttemptReport(FleetView& picture, const AttemptReport& report, Millis now)
{
    auto found = picture.endpointsByInstance.find(report.endpoint);
    if (found == picture.endpointsByInstance.end())
        return;
    EndpointView& view = *found->second;
    PoolView& pool = picture.pools[view.registration.pool];
    if (report.ended)
        learnEnd(view, pool, report.outcome, report.elapsedMs, now);
    else
        learnFirstByte(view, pool, static_cast<double>(report.backlogTokens), report.elapsedMs, now);
}

void recordFirstByte(FleetView& picture, Placement& placement, Millis now)
{
    if (placement.firstByteReceived)
        return;
    placement.firstByteReceived = true;
    EndpointView* view = find(picture, placement);
    if (!view)
        return;
    subtract(view->ownLoad.pendingPrefillTokens, placement.prefillTokens);
    view->ownLoadChanged = true;
    applyAttemptReport(picture, firstByteReport(placement, now), now);
}

void recordEnd(FleetView& picture, const Placement& placement, AttemptOutcome outcome, Millis now)
{
    EndpointView* view = find(picture, placement);
    if (!view)
        return;
    view->ownLoad.inFlight -= std::min(view->ownLoad.inFlight, 1U);
    if (!placement.firstByteReceived)
        subtract(view->ownLoad.pendingPrefillTokens, placement.prefillTokens);
    subtract(view->ownLoad.reservedTokens, placement.reservedTokens);
    view->ownLoadChanged = true;
    applyAttemptReport(picture, endReport(placement, outcome, now), now);
}

void setPeerLoad(FleetView& picture, DaemonInstanceId daemon, EndpointInstanceId endpoint, const EndpointLoad& load)
{
    auto found = picture.endpointsByInstance.find(endpoint);
    if (found == picture.endpointsByInstance.end())
        return;
    EndpointView& view = *found->second;
    EndpointLoad& known = view.peers[daemon];
    remove(view.others, known);
    add(view.others, load);
    if (load == EndpointLoad {})
        view.peers.erase(daemon);
    else
        known = load;
}

void recordPeerPrompt(FleetView& picture, EndpointInstanceId endpoint, std::span<const PromptPart> prompt, Millis now)
{
    countUses(picture, prompt, now);
    auto found = picture.endpointsByInstance.find(endpoint);
    if (found != picture.endpointsByInstance.end())
        rememberPrompt(*found->second, prompt);
}

void clearPeerLoad(FleetView& picture, DaemonInstanceId daemon)
{
    for (auto& [id, view] : picture.endpoints) {
        auto known = view.peers.find(daemon);
        if (known == view.peers.end())
            continue;
        remove(view.others, known->second);
        view.peers.erase(known);
    }
}

}
