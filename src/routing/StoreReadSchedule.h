#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>

/// \file
/// \brief Decides when a daemon reads a topic of the deployment's store, and whether a registration that the store no
/// longer has may have expired in an outage.
///
/// The store may stop to respond at any moment, without a sign: a call that arrives meanwhile, or whose response is due
/// then, is never answered. Only its missing response shows this. The daemon has to know all changes contactTime after
/// the store responds again, so a long poll may not hide the loss for longer.

namespace jasminestack {

/// \brief Durations that decide the reads of one topic.
struct StoreReadTiming {
    Millis longPollTimeout {}; ///< How long the store holds a read while there are no new records.
    Millis pauseAfterChanges {}; ///< Pause after a read that returned records, so that frequent changes need few calls.
    /// A read that is not answered this long after the end of its hold counts as lost, and another one is sent. The
    /// first response to one of them counts.
    Millis overdueTimeout { 600 };
    Millis minRetryDelay { 150 }; ///< Delay before the retry of a failed call; doubles with each consecutive failure.
    Millis maxRetryDelay { 600 }; ///< Longest delay before a retry, also of one that is not answered.
};

/// \returns The timing of a daemon that follows the store by itself: after the end of any silence its next read is
/// answered within \p contactTime.
[[nodiscard]] StoreReadTiming storeReadTiming(Millis contactTime) noexcept;

/// \brief A call to the store.
struct StoreCall {
    std::uint64_t number { 0 }; ///< Calls of a schedule are numbered from 1.
    Millis sentAt {};
    Millis hold {}; ///< How long the store is asked to hold the call; 0 for a list.
};

/// \brief The calls and failures of one topic's reads so far.
struct StoreReadSchedule {
    std::optional<Millis>
        nextCallAt; ///< When the next call is to be sent; none while paused or while a list is pending.
    bool isPaused { true };
    bool isCallPending { false }; ///< The latest call has been neither answered nor has it failed.
    bool isListPending { false }; ///< The latest call is a list. It is never sent twice at the same time.
    StoreCall latestCall;
    std::uint64_t settledCall { 0 }; ///< Responses to calls up to this number are ignored.
    std::uint64_t lostCall { 0 }; ///< Calls up to this number count as failed already.
    unsigned consecutiveFailures { 0 };
    Millis outageSeenAt {}; ///< The store's latest outage has not ended before this time; valid after a failure.
    StoreCall reportedCall; ///< The call whose result was reported last.
    Millis lastReadAt {}; ///< When the response to the last successful call was received.
};

/// \brief Continues to read after pauseReads(), or starts.
/// \param delay Before the next call.
/// \param afterOutage The store was unavailable.
void resumeReads(StoreReadSchedule&, const StoreReadTiming&, Millis delay, bool afterOutage, Millis now) noexcept;

/// \brief Sends no further calls; the response to a pending call still counts.
void pauseReads(StoreReadSchedule&) noexcept;

/// \brief Called before the next call when StoreReadSchedule::nextCallAt has come.
/// \returns Whether the latest call is overdue; it then counts as failed.
bool expirePendingCall(StoreReadSchedule&) noexcept;

/// \brief Begins the next read. After a failure the store is not asked to hold it.
[[nodiscard]] StoreCall beginRead(StoreReadSchedule&, const StoreReadTiming&, Millis now) noexcept;

/// \brief Begins a list, or requests the next page of one.
[[nodiscard]] StoreCall beginList(StoreReadSchedule&, Millis now) noexcept;

/// \brief Records a response to \p call, whatever it says.
/// \returns Whether the response counts. It does not if a later result was reported already.
[[nodiscard]] bool settleCall(StoreReadSchedule&, const StoreCall& call) noexcept;

/// \brief Records that \p call was answered with an error.
void recordErrorResponse(StoreReadSchedule&, const StoreReadTiming&, const StoreCall& call, Millis now) noexcept;

/// \brief Records that \p call ended without a response.
/// \returns Whether this is news: the call was the latest one and had not been given up.
[[nodiscard]] bool recordLostCall(
    StoreReadSchedule&, const StoreReadTiming&, const StoreCall& call, Millis now) noexcept;

/// \brief Records a successful read or list, after its records were handled.
void recordReadComplete(StoreReadSchedule&, const StoreReadTiming&, bool hasChanges, Millis now) noexcept;

/// \brief Schedules the next call after \p delay: the topic does not exist yet, or a list is required.
void scheduleCall(StoreReadSchedule&, Millis delay, Millis now) noexcept;

/// \brief How long registrations that may have expired in an outage are kept.
struct RegistrationExpiry {
    /// Endpoints whose registrations expired in an outage register again within this time after it.
    Millis grace { 2'000 };
    /// A daemon that the store responds to again for this long knows which endpoints have left.
    Millis contactTime { 3'000 };
    Millis margin { 200 }; ///< The grace period ends this long before the contact time at the latest.
};

/// \brief Decides about a registration whose deletion the current read reports. It may have expired in the outage that
/// the calls before have shown, or its endpoint may have left since. The end of the outage lies between
/// StoreReadSchedule::outageSeenAt and the sending of the current read.
/// \returns Start of the grace period for which the registration is kept; nothing if the endpoint has left.
[[nodiscard]] std::optional<Millis> expiryGraceStart(
    const StoreReadSchedule&, const RegistrationExpiry&, Millis now) noexcept;

}
