#include "routing/StoreReadSchedule.h"

#include <algorithm>

namespace jasminestack {

namespace {

    constexpr Millis maxLongPollTimeout { 4'000 };
    constexpr Millis maxOverdueTimeout { 600 };
    constexpr Millis minRetryDelay { 150 };

    // The part of the contact time after which a read without a response is repeated; the same is left for the response
    // to the repeated one.
    constexpr std::int64_t overdueDivisor = 5;

    constexpr unsigned maxRetryDoublings = 4;

    Millis retryDelay(const StoreReadSchedule& schedule, const StoreReadTiming& timing) noexcept
    {
        unsigned doublings = std::min(schedule.consecutiveFailures, maxRetryDoublings);
        return std::min(Millis { timing.minRetryDelay.count << doublings }, timing.maxRetryDelay);
    }

    void recordFailure(StoreReadSchedule& schedule, Millis outageSeenAt) noexcept
    {
        ++schedule.consecutiveFailures;
        schedule.outageSeenAt = std::max(schedule.outageSeenAt, outageSeenAt);
    }

    StoreCall beginCall(StoreReadSchedule& schedule, Millis hold, Millis now) noexcept
    {
        schedule.latestCall = { .number = schedule.latestCall.number + 1, .sentAt = now, .hold = hold };
        schedule.isCallPending = true;
        schedule.nextCallAt.reset();
        return schedule.latestCall;
    }

    Millis responseDue(const StoreReadSchedule& schedule, const StoreReadTiming& timing) noexcept
    {
        Millis timeout = schedule.consecutiveFailures == 0 ? timing.overdueTimeout : timing.maxRetryDelay;
        return schedule.latestCall.sentAt + schedule.latestCall.hold + timeout;
    }

}

StoreReadTiming storeReadTiming(Millis contactTime) noexcept
{
    Millis overdueTimeout = std::min(Millis { contactTime.count / overdueDivisor }, maxOverdueTimeout);
    Millis longPollTimeout = std::min(contactTime - overdueTimeout - overdueTimeout, maxLongPollTimeout);
    return { .longPollTimeout = longPollTimeout,
        .overdueTimeout = overdueTimeout,
        .minRetryDelay = std::min(minRetryDelay, overdueTimeout),
        .maxRetryDelay = overdueTimeout };
}

void resumeReads(
    StoreReadSchedule& schedule, const StoreReadTiming& timing, Millis delay, bool afterOutage, Millis now) noexcept
{
    if (!schedule.isPaused)
        return;
    schedule.isPaused = false;
    schedule.consecutiveFailures = afterOutage ? 1 : 0;
    if (afterOutage)
        schedule.outageSeenAt = now;
    if (!schedule.isCallPending)
        schedule.nextCallAt = now + delay;
    else if (!schedule.isListPending)
        schedule.nextCallAt = std::max(now + delay, responseDue(schedule, timing));
}

void pauseReads(StoreReadSchedule& schedule) noexcept
{
    schedule.isPaused = true;
    schedule.nextCallAt.reset();
}

bool expirePendingCall(StoreReadSchedule& schedule) noexcept
{
    if (!schedule.isCallPending)
        return false;
    schedule.lostCall = schedule.latestCall.number;
    schedule.reportedCall = schedule.latestCall;
    // The store may have been silent for a moment only.
    recordFailure(schedule, schedule.latestCall.sentAt);
    return true;
}

StoreCall beginRead(StoreReadSchedule& schedule, const StoreReadTiming& timing, Millis now) noexcept
{
    StoreCall call = beginCall(schedule, schedule.consecutiveFailures == 0 ? timing.longPollTimeout : Millis {}, now);
    schedule.isListPending = false;
    if (!schedule.isPaused)
        schedule.nextCallAt = responseDue(schedule, timing);
    return call;
}

StoreCall beginList(StoreReadSchedule& schedule, Millis now) noexcept
{
    StoreCall call = beginCall(schedule, {}, now);
    schedule.isListPending = true;
    return call;
}

bool settleCall(StoreReadSchedule& schedule, const StoreCall& call) noexcept
{
    if (call.number <= schedule.settledCall)
        return false;
    schedule.settledCall = schedule.latestCall.number;
    schedule.isCallPending = false;
    schedule.nextCallAt.reset();
    schedule.reportedCall = call;
    return true;
}

void recordErrorResponse(
    StoreReadSchedule& schedule, const StoreReadTiming& timing, const StoreCall& call, Millis now) noexcept
{
    schedule.reportedCall = call;
    Millis delay = retryDelay(schedule, timing);
    recordFailure(schedule, now);
    scheduleCall(schedule, delay, now);
}

bool recordLostCall(
    StoreReadSchedule& schedule, const StoreReadTiming& timing, const StoreCall& call, Millis now) noexcept
{
    if (call.number <= std::max(schedule.settledCall, schedule.lostCall))
        return false;
    schedule.lostCall = call.number;
    schedule.reportedCall = call;
    schedule.isCallPending = false;
    Millis delay = retryDelay(schedule, timing);
    recordFailure(schedule, call.sentAt);
    scheduleCall(schedule, delay, now);
    return true;
}

void recordReadComplete(
    StoreReadSchedule& schedule, const StoreReadTiming& timing, bool hasChanges, Millis now) noexcept
{
    schedule.lastReadAt = now;
    schedule.consecutiveFailures = 0;
    scheduleCall(schedule, hasChanges ? timing.pauseAfterChanges : Millis {}, now);
}

void scheduleCall(StoreReadSchedule& schedule, Millis delay, Millis now) noexcept
{
    if (!schedule.isPaused)
        schedule.nextCallAt = now + delay;
}

std::optional<Millis> expiryGraceStart(
    const StoreReadSchedule& schedule, const RegistrationExpiry& expiry, Millis now) noexcept
{
    if (schedule.consecutiveFailures == 0)
        return std::nullopt;
    Millis latestStart = schedule.outageSeenAt + expiry.contactTime - expiry.margin - expiry.grace;
    Millis start = std::min(schedule.reportedCall.sentAt, latestStart);
    if (now - start >= expiry.grace)
        return std::nullopt;
    return start;
}

}
