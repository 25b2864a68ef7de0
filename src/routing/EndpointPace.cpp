#include "routing/EndpointPace.h"

#include "routing/RoutingTable.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // The bound holds for each second, wherever it begins. Longer by the time for which a grant may be on its way, so
    // that late requests of one window and early ones of the next do not meet in one second.
    constexpr Millis boundWindow { 1'200 };

    // Daemons that may believe to be the owner at the same time, around a restart, a partition or a suspicion.
    constexpr double simultaneousOwners = 2.0;

    // The allowance changes at most once in this time: long enough for answers to requests of the interval before.
    constexpr Millis rampInterval { 500 };

    // A ramp in which no request is held back ends after this time, even without answers.
    constexpr Millis idleRampDuration { 2'000 };

    // The ramp ends at the latest after this time: an endpoint that stays slow is limited by the admission limits.
    constexpr Millis maxRampDuration { 10'000 };

    // An answer is timely if it begins within this multiple of the predicted time.
    constexpr double timelyFactor = 2.0;

    // An endpoint that left this many attempts in a row without an answer may have been restarted.
    constexpr unsigned unansweredUntilRestartPresumed = 2;

    // A process takes at least this long to restart. Failures of single connections beside answers are no restart.
    constexpr Millis minRestartSilence { 500 };

    // In pools without a cold rate, the ramp starts at this part of the slots.
    constexpr unsigned slotsPerInitialAllowance = 4;

    bool isPaced(const EndpointPace& pace) noexcept { return pace.limits.coldRequestsPerSecond != 0; }

    Millis coldUntil(const EndpointPace& pace) noexcept { return std::max(pace.warmupEndsAt, pace.presumedColdUntil); }

    void dropOldSends(EndpointPace& pace, Millis now)
    {
        while (!pace.recentSends.empty() && now - pace.recentSends.front() >= boundWindow)
            pace.recentSends.pop_front();
    }

    void startInterval(EndpointPace& pace, Millis now) noexcept
    {
        pace.intervalStartedAt = now;
        pace.timelyAnswers = 0;
        pace.isStrained = false;
        pace.isLimiting = false;
    }

    void leaveFullPace(EndpointPace& pace, PaceCause cause, Millis now) noexcept
    {
        pace.cause = cause;
        if (pace.phase != PacePhase::Full)
            return;
        pace.pacedSince = now;
        pace.pacedRequests = 0;
        pace.deferrals = 0;
    }

    void startRamp(EndpointPace& pace, Millis now) noexcept
    {
        pace.phase = PacePhase::Ramp;
        pace.allowance = pace.limits.coldRequestsPerSecond;
        pace.rampStartedAt = now;
        startInterval(pace, now);
    }

    void startCold(EndpointPace& pace, PaceCause cause, Millis now) noexcept
    {
        leaveFullPace(pace, cause, now);
        if (pace.phase != PacePhase::Cold)
            pace.coldSince = now;
        pace.phase = PacePhase::Cold;
        pace.allowance = pace.limits.coldRequestsPerSecond;
    }

    // Changes the allowance by what happened in the interval that ends, or ends the ramp.
    void endInterval(EndpointPace& pace, Millis now) noexcept
    {
        bool hasPassedUnlimited = !pace.isLimiting && !pace.isStrained
            && (pace.timelyAnswers != 0 || now - pace.rampStartedAt >= idleRampDuration);
        if (hasPassedUnlimited || now - pace.rampStartedAt >= maxRampDuration) {
            pace.phase = PacePhase::Full;
            return;
        }
        if (pace.isStrained)
            pace.allowance = std::max(pace.allowance / 2, pace.limits.coldRequestsPerSecond);
        else if (pace.isLimiting && pace.timelyAnswers != 0)
            pace.allowance *= 2;
        startInterval(pace, now);
    }

}

PaceLimits paceLimits(const PoolSpec& spec, const PaceOptions& options) noexcept
{
    bool hasColdRate = spec.coldRequestsPerSecond > 0;
    if (options.scope == PaceScope::None || (!hasColdRate && options.scope != PaceScope::AllPools))
        return {};
    if (!hasColdRate)
        return { .coldRequestsPerSecond = std::max(spec.slots / slotsPerInitialAllowance, 1U),
            .coldDuration = spec.coldDuration };
    double bound = spec.coldRequestsPerSecond * options.coldOvershoot + options.coldSlack;
    return { .coldRequestsPerSecond = std::max(static_cast<unsigned>(bound / simultaneousOwners), 1U),
        .coldDuration = spec.coldDuration };
}

void setRegisteredWarmup(EndpointPace& pace, Millis remaining, Millis now)
{
    if (!isPaced(pace))
        return;
    advancePace(pace, now);
    pace.warmupEndsAt = now + std::max(remaining, Millis {});
    if (remaining > Millis {})
        startCold(pace, PaceCause::Registration, now);
    advancePace(pace, now);
}

void presumeCold(EndpointPace& pace, PaceCause cause, Millis now)
{
    if (!isPaced(pace))
        return;
    advancePace(pace, now);
    pace.presumedColdUntil = std::max(pace.presumedColdUntil, now + pace.limits.coldDuration);
    startCold(pace, cause, now);
    advancePace(pace, now);
}

void rampNewEndpoint(EndpointPace& pace, Millis now)
{
    if (!isPaced(pace) || pace.phase != PacePhase::Full)
        return;
    leaveFullPace(pace, PaceCause::NewEndpoint, now);
    startRamp(pace, now);
}

void advancePace(EndpointPace& pace, Millis now)
{
    if (!isPaced(pace)) {
        pace.phase = PacePhase::Full;
        return;
    }
    if (pace.phase == PacePhase::Cold && now >= coldUntil(pace))
        startRamp(pace, now);
    if (pace.phase == PacePhase::Ramp && now - pace.intervalStartedAt >= rampInterval)
        endInterval(pace, now);
}

bool isCold(const EndpointPace& pace, Millis now) noexcept
{
    return pace.phase == PacePhase::Cold && now < coldUntil(pace);
}

bool takesRequest(EndpointPace& pace, Millis now)
{
    advancePace(pace, now);
    if (pace.phase == PacePhase::Full)
        return true;
    dropOldSends(pace, now);
    bool isForeign = pace.phase == PacePhase::Cold && !pace.isOwner;
    if (!isForeign && pace.recentSends.size() < pace.allowance)
        return true;
    pace.isLimiting = true;
    ++pace.deferrals;
    ++pace.unreportedDeferrals;
    return false;
}

void recordPacedRequest(EndpointPace& pace, Millis now)
{
    if (!isPaced(pace))
        return;
    advancePace(pace, now);
    dropOldSends(pace, now);
    pace.recentSends.push_back(now);
    ++pace.pacedRequests;
}

bool recordResponse(EndpointPace& pace, Millis now)
{
    bool hasRecovered = isPaced(pace) && pace.unansweredAttempts >= unansweredUntilRestartPresumed
        && now - pace.lastResponseAt >= minRestartSilence;
    pace.unansweredAttempts = 0;
    pace.lastResponseAt = now;
    if (hasRecovered)
        presumeCold(pace, PaceCause::Recovery, now);
    return hasRecovered;
}

void recordFirstByteTime(EndpointPace& pace, double elapsedMs, double predictedMs, Millis now)
{
    advancePace(pace, now);
    if (elapsedMs <= timelyFactor * predictedMs)
        ++pace.timelyAnswers;
    else
        pace.isStrained = true;
}

void recordUnanswered(EndpointPace& pace, Millis now)
{
    advancePace(pace, now);
    ++pace.unansweredAttempts;
    pace.isStrained = true;
}

void recordStall(EndpointPace& pace, Millis elapsed, Millis now)
{
    if (now - pace.lastResponseAt >= elapsed)
        recordUnanswered(pace, now);
    else
        recordStrain(pace, now);
}

void recordStrain(EndpointPace& pace, Millis now)
{
    advancePace(pace, now);
    pace.isStrained = true;
}

std::optional<PaceChange> takePaceChange(const EndpointPace& pace, PacePhase& reportedPhase) noexcept
{
    if (pace.phase == reportedPhase)
        return std::nullopt;
    PaceChange change { .previous = reportedPhase, .current = pace.phase };
    reportedPhase = pace.phase;
    return change;
}

std::string_view paceCauseName(PaceCause cause) noexcept
{
    switch (cause) {
    case PaceCause::Registration:
        return "registration";
    case PaceCause::Recovery:
        return "recovered";
    case PaceCause::Evacuation:
        return "evacuation";
    case PaceCause::NewEndpoint:
        return "new_endpoint";
    }
    return "unknown";
}

std::string_view pacePhaseName(PacePhase phase) noexcept
{
    switch (phase) {
    case PacePhase::Full:
        return "full";
    case PacePhase::Cold:
        return "cold";
    case PacePhase::Ramp:
        return "ramp";
    }
    return "unknown";
}

}
