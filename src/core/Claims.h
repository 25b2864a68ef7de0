#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/LogRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief At-most-once execution of calls with an idempotency key, decided by the order of a log stream alone.
///
/// A daemon appends a claim for the key and runs the call only after it has read the claim back from the log as the
/// first valid one of the key. A claim is valid unless it has been withdrawn or is older than the claim window. A
/// daemon that gives up before it sends the request withdraws its claim. After the call, the daemon that ran it appends
/// the response, which is replayed to repeated calls. Records contain ids, so a record that is appended twice has the
/// same effect as one, and an append whose response was lost may be retried.

namespace jasminestack {

/// \brief Response of a finished call, replayed to repeated calls.
struct StoredResponse {
    int httpStatus { 0 }; ///< 0: the call may have run, but no complete response arrived.
    std::string contentType;
    std::string body;
    bool isBodyStored { false }; ///< False if the body exceeded ClaimOptions::maxStoredBodyBytes.
};

/// \brief Decision about a call under an idempotency key.
enum class ClaimVerdict : std::uint8_t {
    Run, ///< The claim is the first valid one: run the call now, then report its end with finishClaim().
    Replay, ///< The call has run; ClaimDecision::response is its response.
    InProgress, ///< The call of another claim has not finished at the deadline: the run status is unknown.
    Unknown, ///< The call of the first valid claim ended without a complete response.
    Unavailable, ///< The claim was not read back before the deadline, or log records are missing: the call has not run.
    KeyReused, ///< The key was used with different content.
    KeyExpired, ///< The time in the key is outside the claim window.
};

struct ClaimDecision {
    std::string claimId; ///< As given to beginClaim().
    ClaimVerdict verdict { ClaimVerdict::Unavailable };
    StoredResponse response; ///< The stored response if the verdict is Replay.
};

/// \brief A record to append to the log; records of one stream may be appended together as a JSON array.
struct ClaimAppend {
    unsigned stream { 0 };
    std::string record; ///< JSON object.
};

struct ClaimOptions {
    unsigned streamCount { 4 };
    Millis claimWindow { 3'600'000 }; ///< Must be shorter than the log's retention.
    Millis appendRetryInterval { 1'000 }; ///< Records that are not read back in this time are appended again.
    std::size_t maxStoredBodyBytes { 16U << 10U };
};

/// \brief Request for permission to run a call under an idempotency key.
struct ClaimRequest {
    std::string key; ///< From makeClaimKey().
    std::string claimId; ///< Unique for each request.
    std::uint64_t contentHash { 0 };
    Millis deadline {}; ///< On the monotonic clock.
    std::optional<Millis> keyTime; ///< Wall-clock time in the key, if it contains one.
};

/// \returns The key of the log records for a workspace's idempotency key.
[[nodiscard]] std::string makeClaimKey(std::string_view workspace, std::string_view idempotencyKey);

/// \returns The wall-clock time in a key that is a version 7 UUID, or nothing for other keys.
[[nodiscard]] std::optional<Millis> timeOfKey(std::string_view idempotencyKey);

/// \brief One claim that was read from the log.
struct LoggedClaim {
    std::string claimId;
    std::int64_t timeMs { 0 }; ///< Timestamp of its log record.
    std::uint64_t contentHash { 0 };
};

/// \brief Records of one key that were read from the log.
struct LoggedKey {
    std::vector<LoggedClaim> claims; ///< In log order, without duplicates.
    std::set<std::string> withdrawnClaims; ///< Claim ids.
    std::map<std::string, StoredResponse> storedResponses; ///< By claim id.
};

/// \brief A call of this daemon that waits for its decision or runs.
struct PendingClaim {
    ClaimRequest request;
    Millis lastAppendAt {};
    bool hasBeenAppended { false }; ///< An append was issued, so the claim may be in the log.
    bool running { false }; ///< The verdict was Run and finishClaim() has not been called.
};

/// \brief A withdrawal or response that is appended until it is read back from the log.
struct UnconfirmedRecord {
    ClaimAppend append;
    Millis lastAppendAt {};
};

struct ClaimState {
    ClaimOptions options;
    std::string daemonId;
    std::vector<std::map<std::string, LoggedKey>> loggedKeys; ///< By stream, then key.
    std::vector<std::int64_t> nextOffset; ///< By stream: offset of the next record to read.
    std::vector<std::int64_t> newestTimeMs; ///< By stream: log timestamp of the newest record that was read.
    std::vector<std::int64_t> lastPruneMs; ///< By stream: newest log timestamp when old keys were last removed.
    std::map<std::string, PendingClaim> pendingClaims; ///< By claim id.
    std::map<std::string, UnconfirmedRecord> unconfirmedRecords; ///< By record kind and claim id, separated by a space.
    std::vector<ClaimAppend> appends; ///< Output, taken by takeAppends().
    std::vector<ClaimDecision> decisions; ///< Output, taken by takeDecisions().
};

[[nodiscard]] ClaimState makeClaimState(const ClaimOptions&, std::string daemonId);

/// \returns The stream that holds \p key.
[[nodiscard]] unsigned streamOfKey(const ClaimState&, std::string_view key) noexcept;

/// \brief Starts a call. takeDecisions() returns its decision later.
/// \param now Monotonic time, as in all functions here.
void beginClaim(ClaimState&, const ClaimRequest&, Millis now, Millis wallTime);

/// \brief Applies records of one stream, which must be in order and start at ClaimState::nextOffset.
/// \param firstRetained First offset that the log still holds. If it is above the next offset to read, records are
/// missing, and all calls that wait on this stream get the verdict Unavailable.
void onClaimRecords(ClaimState&, unsigned stream, std::int64_t firstRetained, std::span<const LogRecord>, Millis now);

/// \brief Ends a call whose verdict was Run.
/// \param status NotRun withdraws the claim, so that a repeated call may run.
void finishClaim(ClaimState&, std::string_view claimId, RunStatus status, StoredResponse response, Millis now);

/// \brief Ends a call without a verdict, because its caller disconnected. It will not run later.
void abandonClaim(ClaimState&, std::string_view claimId, Millis now);

/// \brief Ends calls whose deadline has passed and retries appends of records that were not read back.
void tickClaims(ClaimState&, Millis now);

/// \returns The decisions since the last call.
[[nodiscard]] std::vector<ClaimDecision> takeDecisions(ClaimState&);
/// \returns The records to append since the last call.
[[nodiscard]] std::vector<ClaimAppend> takeAppends(ClaimState&);

}
