#include "routing/CrashAttribution.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jasminestack {

namespace {

    // A narrower trait explains a series of losses instead of a wider one if it is at this fraction of them.
    constexpr double narrowerTraitFraction = 0.75;

    // An unexplained loss with requests that have one trait.
    struct TraitLoss {
        Millis at {};
        Millis lastSentAt {}; ///< Of the requests with the trait, as far as they were told apart.
        bool hasBegun { false }; ///< The endpoint had begun to work on one of them.
    };

    // A message of this size stays below the limit of a datagram.
    constexpr std::size_t maxClearancesPerMessage = 500;
    constexpr std::size_t maxRequestsPerMessage = 500;

    // Unexplained losses with one trait.
    struct TraitRecord {
        std::vector<TraitLoss> losses; ///< In increasing order of their times.
        std::vector<const SuspectRequest*> requests;
        std::set<WorkspaceHash> workspaces;
        EndpointInstanceId lastEndpoint { 0 }; ///< Of the last one of \c losses.
        unsigned independentLosses { 0 };
        unsigned independentBegunLosses { 0 };
    };

    using TraitRecords = std::map<TraitHash, TraitRecord>;

    Millis trialDelay(const TraitQuarantine& quarantine, const CrashAttributionOptions& options)
    {
        Millis delay = options.firstTrialDelay;
        for (std::uint32_t trial = 0; trial < quarantine.trials && delay < options.maxTrialDelay; ++trial)
            delay += delay;
        return std::min(delay, options.maxTrialDelay);
    }

    const TraitQuarantine* findQuarantine(
        const CrashAttributionState& state, TraitHash trait, WorkspaceHash workspace) noexcept
    {
        for (WorkspaceHash scope : { WorkspaceHash { 0 }, workspace }) {
            if (auto found = state.quarantines.find({ trait, scope }); found != state.quarantines.end())
                return &found->second;
        }
        return nullptr;
    }

    bool isQuarantinedForAny(const CrashAttributionState& state, TraitHash trait)
    {
        auto first = state.quarantines.lower_bound({ trait, 0 });
        return first != state.quarantines.end() && first->first.first == trait;
    }

    bool wasAnswered(const CrashAttributionState& state, const CrashAttributionOptions& options,
        const SuspectRequest& request, TraitHash trait, Millis lossTime) noexcept
    {
        auto answered = state.lastAnswered.find(trait);
        Millis validity = trait == request.content ? options.contentAnswerValidity : options.answerValidity;
        return answered != state.lastAnswered.end() && answered->second + validity >= lossTime;
    }

    bool contains(const SuspectRequest& request, TraitHash trait) noexcept
    {
        return std::find(request.traits.begin(), request.traits.end(), trait) != request.traits.end();
    }

    bool isExplained(const CrashAttributionState& state, const EndpointLoss& loss)
    {
        return std::any_of(loss.requests.begin(), loss.requests.end(), [&](const SuspectRequest& request) {
            return std::any_of(request.traits.begin(), request.traits.end(),
                [&](TraitHash trait) { return findQuarantine(state, trait, request.workspace) != nullptr; });
        });
    }

    // Whether all endpoints that were lost around this time had requests with the trait.
    bool isAtAllLossesAround(
        const TraitRecord& record, std::span<const Millis> allLossTimes, Millis time, Millis window)
    {
        auto countAround = [&](auto begin, auto end, auto timeOf) {
            return std::count_if(begin, end,
                [&](const auto& item) { return timeOf(item) > time - window && timeOf(item) < time + window; });
        };
        return countAround(allLossTimes.begin(), allLossTimes.end(), [](Millis item) { return item; })
            == countAround(record.losses.begin(), record.losses.end(), [](const TraitLoss& loss) { return loss.at; });
    }

    // Whether a request with the trait was sent after an earlier loss and before this one, so that it cannot have been
    // in flight at both.
    bool wasSentBetween(const TraitLoss& loss, Millis earlierLossAt) noexcept
    {
        return loss.lastSentAt > earlierLossAt && loss.lastSentAt <= loss.at;
    }

    // Whether a loss within the window of an earlier one has another cause, as far as a content shows. Copies of one
    // content are rarely at the same endpoints by chance; parts that many requests have often are.
    bool isOtherCauseByContent(const TraitRecord& record, const TraitLoss& loss, Millis earlierLossAt,
        std::span<const Millis> allLossTimes, const CrashAttributionOptions& options)
    {
        return loss.at - loss.lastSentAt >= options.minTimeInFlight
            && (wasSentBetween(loss, earlierLossAt)
                || isAtAllLossesAround(record, allLossTimes, loss.at, options.commonCauseWindow));
    }

    // Counts losses that cannot have one other cause in common. Those far apart cannot, and neither can those of a
    // trait that was sent to the endpoint after the loss before. For parts only the count of all losses relies on the
    // latter, since the smaller number of losses that begun answers need is reached by chance where a rack is lost in a
    // row.
    unsigned countIndependentLosses(const TraitRecord& record, bool isContent, bool onlyBegun,
        std::span<const Millis> allLossTimes, const CrashAttributionOptions& options)
    {
        unsigned count = 0;
        Millis lastCounted {};
        for (const TraitLoss& loss : record.losses) {
            if (onlyBegun && !loss.hasBegun)
                continue;
            bool isIndependent = count == 0 || loss.at - lastCounted >= options.commonCauseWindow;
            if (!isIndependent && isContent)
                isIndependent = isOtherCauseByContent(record, loss, lastCounted, allLossTimes, options);
            else if (!isIndependent && !onlyBegun)
                isIndependent = wasSentBetween(loss, lastCounted);
            if (!isIndependent)
                continue;
            lastCounted = loss.at;
            ++count;
        }
        return count;
    }

    void addToRecord(TraitRecord& record, const EndpointLoss& loss, const SuspectRequest& request)
    {
        record.requests.push_back(&request);
        record.workspaces.insert(request.workspace);
        if (record.lastEndpoint != loss.endpoint || record.losses.empty())
            record.losses.push_back({ .at = loss.at });
        record.lastEndpoint = loss.endpoint;
        TraitLoss& traitLoss = record.losses.back();
        traitLoss.lastSentAt = std::max(traitLoss.lastSentAt, request.sentAt);
        traitLoss.hasBegun = traitLoss.hasBegun || request.hasBegun;
    }

    TraitRecords unexplainedTraits(const CrashAttributionState& state, const CrashAttributionOptions& options)
    {
        std::vector<const EndpointLoss*> losses;
        for (const auto& [endpoint, loss] : state.losses) {
            if (!isExplained(state, loss))
                losses.push_back(&loss);
        }
        std::sort(losses.begin(), losses.end(),
            [](const EndpointLoss* left, const EndpointLoss* right) { return left->at < right->at; });
        std::vector<Millis> lossTimes;
        std::set<TraitHash> contents;
        TraitRecords records;
        for (const EndpointLoss* loss : losses) {
            lossTimes.push_back(loss->at);
            for (const SuspectRequest& request : loss->requests) {
                contents.insert(request.content);
                for (TraitHash trait : request.traits) {
                    if (!wasAnswered(state, options, request, trait, loss->at))
                        addToRecord(records[trait], *loss, request);
                }
            }
        }
        for (auto& [trait, record] : records) {
            bool isContent = contents.contains(trait);
            record.independentLosses = countIndependentLosses(record, isContent, false, lossTimes, options);
            record.independentBegunLosses = countIndependentLosses(record, isContent, true, lossTimes, options);
        }
        return records;
    }

    bool isCandidate(const CrashAttributionState& state, const CrashAttributionOptions& options, TraitHash trait,
        const TraitRecord& record, Millis now)
    {
        // A quarantine for one workspace is extended to all after fewer losses than the first one takes.
        if (isQuarantinedForAny(state, trait))
            return record.independentLosses >= options.otherWorkspaceThreshold;
        bool hasEnoughLosses = record.independentBegunLosses >= options.quarantineThreshold
            || record.independentLosses >= options.waitingThreshold;
        return hasEnoughLosses && now - record.losses.front().at >= options.observationTime;
    }

    bool allHave(const TraitRecord& record, TraitHash trait)
    {
        return std::all_of(record.requests.begin(), record.requests.end(),
            [&](const SuspectRequest* request) { return contains(*request, trait); });
    }

    // Whether all requests with one trait have the other, too, but not vice versa. Where both are in the same requests,
    // the more specific one counts as narrower: if it is not the cause, other requests will show that.
    bool isNarrower(const TraitRecords& records, TraitHash trait, TraitHash other)
    {
        const TraitRecord& record = records.at(trait);
        if (trait == other || !allHave(record, other))
            return false;
        if (!allHave(records.at(other), trait))
            return true;
        const std::vector<TraitHash>& order = record.requests.front()->traits;
        return std::find(order.begin(), order.end(), trait) > std::find(order.begin(), order.end(), other);
    }

    // The trait with the most losses or, if one explains most of the same losses, a narrower one.
    std::optional<TraitHash> mostProbableCause(const CrashAttributionState& state,
        const CrashAttributionOptions& options, const TraitRecords& records, Millis now)
    {
        std::vector<TraitHash> candidates;
        for (const auto& [trait, record] : records) {
            if (isCandidate(state, options, trait, record, now))
                candidates.push_back(trait);
        }
        if (candidates.empty())
            return std::nullopt;
        auto lossesOf = [&](TraitHash trait) { return records.at(trait).independentLosses; };
        TraitHash cause = *std::max_element(candidates.begin(), candidates.end(),
            [&](TraitHash left, TraitHash right) { return lossesOf(left) < lossesOf(right); });
        double requiredLosses = narrowerTraitFraction * lossesOf(cause);
        for (TraitHash trait : candidates) {
            if (lossesOf(trait) >= requiredLosses && isNarrower(records, trait, cause))
                cause = trait;
        }
        return cause;
    }

    std::size_t evidenceSize(const CrashAttributionState& state)
    {
        std::size_t size = 0;
        for (const auto& [endpoint, loss] : state.losses) {
            for (const SuspectRequest& request : loss.requests)
                size += request.traits.size();
        }
        return size;
    }

    TraitSuspicion strongestSuspicion(const TraitRecords& records)
    {
        TraitSuspicion strongest;
        for (const auto& [trait, record] : records) {
            if (record.losses.size() <= strongest.losses)
                continue;
            strongest = { .trait = trait,
                .losses = static_cast<unsigned>(record.losses.size()),
                .independentLosses = record.independentLosses,
                .independentBegunLosses = record.independentBegunLosses,
                .firstLossAt = record.losses.front().at,
                .lastLossAt = record.losses.back().at };
        }
        return strongest;
    }

    void addQuarantine(
        CrashAttributionState& state, const CrashAttributionOptions& options, const TraitQuarantine& quarantine)
    {
        if (quarantine.workspace == 0)
            std::erase_if(state.quarantines, [&](const auto& entry) { return entry.first.first == quarantine.trait; });
        if (state.quarantines.size() >= options.maxQuarantines) {
            auto oldest = std::min_element(state.quarantines.begin(), state.quarantines.end(),
                [](const auto& left, const auto& right) { return left.second.since < right.second.since; });
            state.quarantines.erase(oldest);
        }
        state.quarantines[{ quarantine.trait, quarantine.workspace }] = quarantine;
        state.hasNewQuarantines = true;
    }

    void setAnswered(
        CrashAttributionState& state, const CrashAttributionOptions& options, TraitHash trait, Millis at, Millis now)
    {
        if (state.lastAnswered.size() >= options.maxAnsweredTraits && !state.lastAnswered.contains(trait)) {
            std::erase_if(
                state.lastAnswered, [&](const auto& entry) { return now - entry.second > options.answerValidity; });
            // Made-up traits fill the table: those that are in use are answered again soon.
            if (state.lastAnswered.size() >= options.maxAnsweredTraits)
                state.lastAnswered.clear();
        }
        Millis& lastAnswered = state.lastAnswered[trait];
        lastAnswered = std::max(lastAnswered, at);
    }

    bool endQuarantines(CrashAttributionState& state, TraitHash trait, Millis answeredAt)
    {
        return std::erase_if(state.quarantines, [&](const auto& entry) {
            return entry.first.first == trait && entry.second.since <= answeredAt;
        }) != 0;
    }

    // Merges a report with what is known of the loss. The earliest report tells best when it was.
    // \returns Whether the report has something new.
    bool mergeLoss(CrashAttributionState& state, const CrashAttributionOptions& options, const EndpointLoss& report)
    {
        if (!state.losses.contains(report.endpoint) && state.losses.size() >= options.maxLosses) {
            auto oldest = std::min_element(state.losses.begin(), state.losses.end(),
                [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
            if (oldest->second.at > report.at)
                return false;
            state.losses.erase(oldest);
        }
        auto [entry, hasChanged] = state.losses.try_emplace(
            report.endpoint, EndpointLoss { .endpoint = report.endpoint, .at = report.at, .requests = {} });
        EndpointLoss& loss = entry->second;
        hasChanged = hasChanged || report.at < loss.at;
        loss.at = std::min(loss.at, report.at);
        for (const SuspectRequest& request : report.requests) {
            auto known = std::find_if(loss.requests.begin(), loss.requests.end(), [&](const SuspectRequest& item) {
                return item.workspace == request.workspace && item.traits == request.traits;
            });
            if (known != loss.requests.end()) {
                // Times in repeated messages differ by the messages' delays.
                hasChanged = hasChanged || request.sentAt < known->sentAt || (request.hasBegun && !known->hasBegun);
                known->sentAt = std::min(known->sentAt, request.sentAt);
                known->hasBegun = known->hasBegun || request.hasBegun;
            } else if (loss.requests.size() < options.maxRequestsPerLoss) {
                loss.requests.push_back(request);
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    void setReported(
        CrashAttributionState& state, const CrashAttributionOptions& options, const TraitClearance& clearance)
    {
        if (state.reportedClearances.size() >= options.maxAnsweredTraits)
            state.reportedClearances.clear();
        Millis& reported = state.reportedClearances[clearance.trait];
        reported = std::max(reported, clearance.at);
    }

    // All daemons that know the answer receive the same reports of losses, each several times.
    void addUnsentClearance(
        CrashAttributionState& state, const CrashAttributionOptions& options, const TraitClearance& clearance)
    {
        auto reported = state.reportedClearances.find(clearance.trait);
        if (reported != state.reportedClearances.end() && clearance.at < reported->second + options.clearanceInterval)
            return;
        setReported(state, options, clearance);
        state.unsent.clearances.push_back(clearance);
    }

    // The reporter, and others that have received its report, suspect traits that this daemon knows to be sound.
    void clearAnsweredTraits(
        CrashAttributionState& state, const CrashAttributionOptions& options, const EndpointLoss& report)
    {
        for (const SuspectRequest& request : report.requests) {
            for (TraitHash trait : request.traits) {
                if (wasAnswered(state, options, request, trait, report.at))
                    addUnsentClearance(state, options, { .trait = trait, .at = state.lastAnswered.at(trait) });
            }
        }
    }

    void mergeQuarantine(
        CrashAttributionState& state, const CrashAttributionOptions& options, const TraitQuarantine& quarantine)
    {
        auto answered = state.lastAnswered.find(quarantine.trait);
        if (answered != state.lastAnswered.end() && answered->second >= quarantine.since) {
            addUnsentClearance(state, options, { .trait = quarantine.trait, .at = answered->second });
            return;
        }
        const TraitQuarantine* known = findQuarantine(state, quarantine.trait, quarantine.workspace);
        bool isWider = known && known->workspace != 0 && quarantine.workspace == 0;
        if (known && !isWider && known->trials >= quarantine.trials)
            return;
        addQuarantine(state, options, quarantine);
        state.hasNewEvidence = true;
    }

    void expire(CrashAttributionState& state, const CrashAttributionOptions& options, Millis now)
    {
        std::erase_if(state.losses, [&](const auto& entry) { return now - entry.second.at > options.lossExpiry; });
        std::erase_if(state.quarantines,
            [&](const auto& entry) { return now - entry.second.since > options.unusedQuarantineExpiry; });
    }

}

TraitDecision decideByTraits(const CrashAttributionState& state, const CrashAttributionOptions& options,
    std::span<const TraitHash> traits, WorkspaceHash workspace)
{
    TraitDecision decision;
    for (TraitHash trait : traits) {
        if (const TraitQuarantine* quarantine = findQuarantine(state, trait, workspace)) {
            Millis trialDueAt = quarantine->since + trialDelay(*quarantine, options);
            if (decision.verdict != TraitVerdict::Quarantined || trialDueAt > decision.trialDueAt)
                decision = { .verdict = TraitVerdict::Quarantined, .trait = trait, .trialDueAt = trialDueAt };
            continue;
        }
        auto losses = state.unexplainedLosses.find(trait);
        if (decision.verdict == TraitVerdict::Clear && losses != state.unexplainedLosses.end()
            && losses->second >= options.retryThreshold)
            decision = { .verdict = TraitVerdict::Suspect, .trait = trait };
    }
    return decision;
}

void recordLoss(CrashAttributionState& state, const CrashAttributionOptions& options, EndpointInstanceId endpoint,
    SuspectRequest request, Millis now)
{
    std::erase_if(request.traits, [&](TraitHash trait) { return wasAnswered(state, options, request, trait, now); });
    if (request.traits.empty())
        return;
    EndpointLoss loss { .endpoint = endpoint, .at = now, .requests = { std::move(request) } };
    if (!mergeLoss(state, options, loss))
        return;
    state.hasNewEvidence = true;
    state.unsent.losses.push_back(std::move(loss));
}

bool recordAnswer(
    CrashAttributionState& state, const CrashAttributionOptions& options, std::span<const TraitHash> traits, Millis now)
{
    bool hasEnded = false;
    for (TraitHash trait : traits) {
        setAnswered(state, options, trait, now, now);
        bool wasQuarantined = endQuarantines(state, trait, now);
        if (!wasQuarantined && state.unexplainedLosses.erase(trait) == 0)
            continue;
        hasEnded = hasEnded || wasQuarantined;
        addUnsentClearance(state, options, { .trait = trait, .at = now });
        state.hasNewEvidence = true;
    }
    return hasEnded;
}

void mergeEvidence(
    CrashAttributionState& state, const CrashAttributionOptions& options, const CrashEvidence& evidence, Millis now)
{
    for (const TraitClearance& clearance : evidence.clearances) {
        setReported(state, options, clearance);
        // Another daemon's clearance makes the same one of this daemon superfluous.
        std::erase_if(state.unsent.clearances, [&](const TraitClearance& unsent) {
            return unsent.trait == clearance.trait && unsent.at <= clearance.at + options.clearanceInterval;
        });
        setAnswered(state, options, clearance.trait, clearance.at, now);
        endQuarantines(state, clearance.trait, clearance.at);
        state.hasNewEvidence = true;
    }
    for (const EndpointLoss& report : evidence.losses) {
        if (now - report.at > options.lossExpiry || !mergeLoss(state, options, report))
            continue;
        state.hasNewEvidence = true;
        clearAnsweredTraits(state, options, report);
    }
    for (const TraitQuarantine& quarantine : evidence.quarantines)
        mergeQuarantine(state, options, quarantine);
}

std::vector<TraitQuarantine> updateQuarantines(
    CrashAttributionState& state, const CrashAttributionOptions& options, Millis now)
{
    expire(state, options, now);
    std::vector<TraitQuarantine> added;
    // Evidence that is complete but for the observation time is looked at again.
    if (!state.hasNewEvidence && now - state.updatedAt < options.observationTime)
        return added;
    if (now < state.nextUpdateAt)
        return added;
    state.hasNewEvidence = false;
    state.updatedAt = now;
    std::size_t size = evidenceSize(state);
    if (size > options.freeTraits)
        state.nextUpdateAt = std::max(state.nextUpdateAt, now - options.maxSavedTime)
            + Millis { static_cast<std::int64_t>(size / options.traitsPerMillisecond) };
    TraitRecords records = unexplainedTraits(state, options);
    // Each quarantine explains at least one loss.
    for (std::size_t remaining = state.losses.size(); remaining > 0; --remaining) {
        std::optional<TraitHash> cause = mostProbableCause(state, options, records, now);
        if (!cause)
            break;
        const std::set<WorkspaceHash>& workspaces = records.at(*cause).workspaces;
        // One workspace's requests say nothing about those of others with the same part, and must not harm them.
        bool isLimited = workspaces.size() == 1 && !isQuarantinedForAny(state, *cause);
        added.push_back(
            { .trait = *cause, .workspace = isLimited ? *workspaces.begin() : WorkspaceHash { 0 }, .since = now });
        addQuarantine(state, options, added.back());
        records = unexplainedTraits(state, options);
    }
    state.unexplainedLosses.clear();
    for (const auto& [trait, record] : records)
        state.unexplainedLosses[trait] = record.independentLosses;
    state.strongestSuspicion = strongestSuspicion(records);
    state.unsent.quarantines.insert(state.unsent.quarantines.end(), added.begin(), added.end());
    return added;
}

void limitEvidence(CrashEvidence& evidence)
{
    auto isLater = [](const auto& left, const auto& right) { return left.at > right.at; };
    std::stable_sort(evidence.clearances.begin(), evidence.clearances.end(), isLater);
    std::set<TraitHash> cleared;
    std::erase_if(
        evidence.clearances, [&](const TraitClearance& clearance) { return !cleared.insert(clearance.trait).second; });
    if (evidence.clearances.size() > maxClearancesPerMessage)
        evidence.clearances.resize(maxClearancesPerMessage);
    std::stable_sort(evidence.losses.begin(), evidence.losses.end(), isLater);
    std::size_t requests = 0;
    std::erase_if(evidence.losses, [&](const EndpointLoss& loss) {
        requests += loss.requests.size();
        return requests > maxRequestsPerMessage;
    });
}

void beginTrial(CrashAttributionState& state, std::span<const TraitHash> traits, WorkspaceHash workspace, Millis now)
{
    for (TraitHash trait : traits) {
        for (WorkspaceHash scope : { WorkspaceHash { 0 }, workspace }) {
            auto found = state.quarantines.find({ trait, scope });
            if (found == state.quarantines.end())
                continue;
            ++found->second.trials;
            found->second.since = now;
            state.unsent.quarantines.push_back(found->second);
        }
    }
}

std::vector<TraitQuarantine> currentQuarantines(const CrashAttributionState& state)
{
    std::vector<TraitQuarantine> quarantines;
    for (const auto& [key, quarantine] : state.quarantines)
        quarantines.push_back(quarantine);
    return quarantines;
}

}
