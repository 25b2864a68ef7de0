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

    double usesAt(const PartUse& use, Millis now)
    {
        return use.count * std::exp(-(now - use.updated).seconds() / useWindow.seconds());
    }

    void countUses(FleetPicture& picture, std::span<const PromptPart> prompt, Millis now)
    {
        for (const PromptPart& part : prompt) {
            PartUse& use = picture.partUses[part.key];
            use = { .count = usesAt(use, now) + 1.0, .updated = now };
        }
        if (picture.partUses.size() > maxPartUses)
            std::erase_if(
                picture.partUses, [&](const auto& entry) { return usesAt(entry.second, now) < forgottenUses; });
    }

    // Multiple of its time that reading again \p tokens of the prompt is charged at: the time pays off over the uses of
    // the further copy.
    double rereadMultiple(const FleetPicture& picture, std::span<const PromptPart> prompt, std::uint64_t tokens,
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
        view.cache.insert(prompt);
        std::uint64_t memory = view.memoryTokens != 0 ? view.memoryTokens : assumedMemoryTokens;
        view.cache.shrink(static_cast<std::uint64_t>(usableMemory * static_cast<double>(memory)));
    }

    void average(double& value, double sample, double step) noexcept { value += step * (sample - value); }

    void subtract(std::uint64_t& value, std::uint64_t amount) noexcept { value -= std::min(value, amount); }

    EndpointView* find(FleetPicture& picture, const Placement& placement)
    {
        auto found = picture.byKey.find(placement.key);
        return found == picture.byKey.end() ? nullptr : found->second;
    }

    bool isUsable(const EndpointView& view, const ChoiceRules& rules, Millis now)
    {
        if (view.registration.draining || now < view.avoidUntil)
            return false;
        // A request that must not run twice is no probe, unless nothing else has come for a while.
        bool mayProbe = rules.repeatable || now - view.avoidUntil >= probeDelay;
        bool probed = view.probing && now - view.probeStarted < probeLimit;
        if (view.losses != 0 && (probed || !mayProbe))
            return false;
        return std::find(rules.avoid.begin(), rules.avoid.end(), view.key) == rules.avoid.end();
    }

    // Milliseconds until a slot is free.
    double slotWait(const EndpointLoad& load, unsigned slots, const PoolView& pool) noexcept
    {
        if (load.running < slots)
            return 0;
        return pool.holdMilliseconds * (load.running - slots + 1) / slots;
    }

    void indexEndpoints(FleetPicture& picture)
    {
        picture.byPool.clear();
        picture.byShard.clear();
        picture.byKey.clear();
        for (auto& [id, view] : picture.endpoints) {
            picture.byPool[view.registration.pool].push_back(&view);
            picture.byKey[view.key] = &view;
        }
        for (auto& [pool, members] : picture.byPool) {
            unsigned shards = shardCount(members.size());
            for (EndpointView* view : members) {
                view->shard = shardOf(pool, view->registration.id, shards);
                picture.byShard[view->shard].push_back(view);
            }
        }
    }

    void add(EndpointLoad& sum, const EndpointLoad& load) noexcept
    {
        sum.running += load.running;
        sum.unreadTokens += load.unreadTokens;
        sum.heldTokens += load.heldTokens;
    }

    void remove(EndpointLoad& sum, const EndpointLoad& load) noexcept
    {
        sum.running -= load.running;
        sum.unreadTokens -= load.unreadTokens;
        sum.heldTokens -= load.heldTokens;
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

    const std::vector<EndpointView*>* candidates(const FleetPicture& picture, const PoolId& pool, ShardKey shard)
    {
        if (auto found = picture.byShard.find(shard); found != picture.byShard.end())
            return &found->second;
        auto found = picture.byPool.find(pool);
        return found == picture.byPool.end() ? nullptr : &found->second;
    }

    void avoid(EndpointView& view, Millis span, Millis now) { view.avoidUntil = std::max(view.avoidUntil, now + span); }

    void learnFirstByte(EndpointView& view, PoolView& pool, double workAhead, double taken, Millis now)
    {
        view.lastAnswer = now;
        double expected = std::max(pool.latency.predict(workAhead), 1.0);
        average(view.slowness, std::clamp(taken / expected, minimumSlowness, maximumSlowness), endpointStep);
        addSample(pool.latency, workAhead, taken / std::max(view.slowness, 1.0));
    }

    void learnEnd(EndpointView& view, PoolView& pool, EndpointOutcome outcome, double held, Millis now)
    {
        view.probing = false;
        switch (outcome) {
        case EndpointOutcome::Answered:
            view.losses = 0;
            pool.holdMilliseconds
                = pool.holdMilliseconds == 0 ? held : pool.holdMilliseconds + poolStep * (held - pool.holdMilliseconds);
            break;
        case EndpointOutcome::Refused:
            view.losses = 0;
            avoid(view, refusalAvoidance, now);
            break;
        case EndpointOutcome::Failed:
            break;
        case EndpointOutcome::Lost: {
            Millis span { std::min(firstAvoidance.count << std::min(view.losses, 5U), longestAvoidance.count) };
            ++view.losses;
            avoid(view, span, now);
            break;
        }
        case EndpointOutcome::Stalled:
            avoid(view, firstAvoidance, now);
            break;
        case EndpointOutcome::Cancelled:
            return;
        }
        double failed = outcome == EndpointOutcome::Answered ? 0.0 : 1.0;
        average(view.failureShare, failed, endpointStep);
        average(pool.failureShare, failed, poolStep);
    }

}

EndpointLoad EndpointView::load() const noexcept
{
    EndpointLoad sum = own;
    add(sum, others);
    return sum;
}

EndpointKey endpointKey(const Registration& registration) noexcept
{
    return hash64(registration.id.value, static_cast<std::uint64_t>(registration.startedAt));
}

void setRegistrations(FleetPicture& picture, std::span<const Registration> registrations)
{
    std::map<EndpointId, EndpointView> next;
    for (const Registration& registration : registrations) {
        EndpointKey key = endpointKey(registration);
        auto known = picture.endpoints.find(registration.id);
        EndpointView view;
        // The same id with another start or address is another process, which holds nothing of the earlier one.
        if (known != picture.endpoints.end() && known->second.key == key
            && known->second.registration.address == registration.address)
            view = std::move(known->second);
        view.registration = registration;
        view.key = key;
        next.insert_or_assign(registration.id, std::move(view));
    }
    picture.endpoints = std::move(next);
    indexEndpoints(picture);
}

void setPoolProperties(FleetPicture& picture, const RoutingTable& table)
{
    for (auto& [id, view] : picture.endpoints)
        view.memoryTokens = table.poolSpec(view.registration.pool).memoryTokens;
}

Choice choose(FleetPicture& picture, const RoutingTable& table, const PoolId& pool, const Work& work,
    const ChoiceRules& rules, Millis now)
{
    Choice best { .prediction = { .ahead = std::numeric_limits<double>::infinity() } };
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
        std::uint64_t cached = std::min(work.promptTokens, view->cache.cachedTokens(work.prompt));
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
        Prediction prediction {
            .ahead = static_cast<double>(load.unreadTokens) * latency.perUnit * view->slowness
                + slotWait(load, slots, learned),
            .alone = latency.predict(static_cast<double>(unread)) * view->slowness,
            .reread = multiple * static_cast<double>(mostCached - cached) * latency.perUnit,
        };
        if (spec.memoryTokens != 0
            && static_cast<double>(load.heldTokens + unread + work.outputTokens)
                > usableMemory * static_cast<double>(spec.memoryTokens))
            prediction.ahead += learned.holdMilliseconds;
        bool within = fits(rules.limits, prediction);
        // Ties go to the endpoint with fewer requests, whose steps are shorter.
        double score
            = prediction.total() + prediction.reread + latency.base * static_cast<double>(load.running) / slots;
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
            score = load.running;
        if (score >= bestScore)
            continue;
        bestScore = score;
        best = { .endpoint = view,
            .prediction = prediction,
            .fits = within,
            .unreadTokens = unread,
            .workAhead = static_cast<double>(load.unreadTokens + unread) };
    }
    return best;
}

Placement recordSend(FleetPicture& picture, const Choice& choice, const Work& work, Millis now)
{
    EndpointView& view = *choice.endpoint;
    Placement placement { .endpoint = view.registration.id,
        .key = view.key,
        .unreadTokens = choice.unreadTokens,
        .heldTokens = choice.unreadTokens + work.outputTokens,
        .workAhead = choice.workAhead,
        .predicted = choice.prediction.total(),
        .sentAt = now };
    ++view.own.running;
    view.own.unreadTokens += placement.unreadTokens;
    view.own.heldTokens += placement.heldTokens;
    view.changed = true;
    startProbe(view, now);
    rememberPrompt(view, work.prompt);
    countUses(picture, work.prompt, now);
    return placement;
}

void recordGrant(
    FleetPicture& picture, const Choice& choice, const Work& work, DaemonKey peer, std::uint64_t number, Millis now)
{
    EndpointView& view = *choice.endpoint;
    PendingGrant grant { .daemon = peer,
        .number = number,
        .load
        = { .running = 1, .unreadTokens = choice.unreadTokens, .heldTokens = choice.unreadTokens + work.outputTokens },
        .grantedAt = now };
    add(view.others, grant.load);
    view.grants.push_back(grant);
    startProbe(view, now);
    rememberPrompt(view, work.prompt);
    countUses(picture, work.prompt, now);
}

void confirmGrants(FleetPicture& picture, DaemonKey peer, std::uint64_t number)
{
    for (auto& [id, view] : picture.endpoints)
        eraseGrants(view, [&](const PendingGrant& grant) { return grant.daemon == peer && grant.number <= number; });
}

void expireGrants(FleetPicture& picture, Millis now)
{
    for (auto& [id, view] : picture.endpoints)
        eraseGrants(view, [&](const PendingGrant& grant) { return now - grant.grantedAt >= grantConfirmation; });
}

AnswerReport reportFirstByte(const Placement& placement, Millis now)
{
    return { .endpoint = placement.key,
        .workAhead = static_cast<std::uint64_t>(placement.workAhead),
        .milliseconds = static_cast<std::uint32_t>((now - placement.sentAt).count) };
}

AnswerReport reportEnd(const Placement& placement, EndpointOutcome outcome, Millis now)
{
    return { .endpoint = placement.key,
        .ended = true,
        .outcome = outcome,
        .milliseconds = static_cast<std::uint32_t>((now - placement.sentAt).count) };
}

void learn(FleetPicture& picture, const AnswerReport& report, Millis now)
{
    auto found = picture.byKey.find(report.endpoint);
    if (found == picture.byKey.end())
        return;
    EndpointView& view = *found->second;
    PoolView& pool = picture.pools[view.registration.pool];
    if (report.ended)
        learnEnd(view, pool, report.outcome, report.milliseconds, now);
    else
        learnFirstByte(view, pool, static_cast<double>(report.workAhead), report.milliseconds, now);
}

void recordFirstByte(FleetPicture& picture, Placement& placement, Millis now)
{
    if (placement.firstByteSeen)
        return;
    placement.firstByteSeen = true;
    EndpointView* view = find(picture, placement);
    if (!view)
        return;
    subtract(view->own.unreadTokens, placement.unreadTokens);
    view->changed = true;
    learn(picture, reportFirstByte(placement, now), now);
}

void recordEnd(FleetPicture& picture, const Placement& placement, EndpointOutcome outcome, Millis now)
{
    EndpointView* view = find(picture, placement);
    if (!view)
        return;
    view->own.running -= std::min(view->own.running, 1U);
    if (!placement.firstByteSeen)
        subtract(view->own.unreadTokens, placement.unreadTokens);
    subtract(view->own.heldTokens, placement.heldTokens);
    view->changed = true;
    learn(picture, reportEnd(placement, outcome, now), now);
}

void setPeerLoad(FleetPicture& picture, DaemonKey daemon, EndpointKey endpoint, const EndpointLoad& load)
{
    auto found = picture.byKey.find(endpoint);
    if (found == picture.byKey.end())
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

void notePeerPrompt(FleetPicture& picture, EndpointKey endpoint, std::span<const PromptPart> prompt, Millis now)
{
    countUses(picture, prompt, now);
    auto found = picture.byKey.find(endpoint);
    if (found != picture.byKey.end())
        rememberPrompt(*found->second, prompt);
}

void dropPeer(FleetPicture& picture, DaemonKey daemon)
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
