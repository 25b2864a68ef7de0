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
/// A daemon appends a claim for the key and runs the call only after it has read its own claim back as the first one
/// that counts. A claim counts unless its id has been withdrawn or it is older than the window. A daemon that gives up
/// before sending withdraws its claim; one that has finished appends the answer for repeats. Appending the same record
/// twice does no harm, since records carry ids, so an append whose answer was lost may be repeated.

namespace jasminestack {

/// \brief The answer of a finished call, kept for repeats.
struct StoredResponse {
    int httpStatus { 0 }; ///< 0: it may have run, but no complete answer arrived.
    std::string contentType;
    std::string body;
    bool isBodyStored { false }; ///< False if the body was over the size limit.
};

enum class ClaimVerdict : std::uint8_t {
    Run, ///< Own claim is first: run the call now, then report with finishClaim().
    Replay, ///< The call has run; answer carries its result.
    InProgress, ///< Another claim is first and unfinished at the deadline: the run status is unknown.
    Unknown, ///< The first claim's call ended without a complete answer.
    Unavailable, ///< Own claim could not be read back before the deadline: not run.
    KeyReused, ///< The key was used with other content.
    KeyExpired, ///< The key's own time is older than the window.
};

struct ClaimDecision {
    std::string claimId; ///< As given to beginClaim().
    ClaimVerdict verdict { ClaimVerdict::Unavailable };
    StoredResponse response; ///< For Replay.
};

/// \brief A record to append; records for one stream may share an append as a JSON array.
struct ClaimAppend {
    unsigned stream { 0 };
    std::string record; ///< JSON object.
};

struct ClaimOptions {
    unsigned streamCount { 4 };
    Millis claimWindow { 3'600'000 }; ///< Shorter than the log's retention.
    Millis resendAfter { 1'000 }; ///< An own record that is not read back in this time is appended again.
    std::size_t maxStoredBody { 16U << 10U };
};

/// \brief A call that wants to run under a key.
struct ClaimRequest {
    std::string key; ///< From makeClaimKey().
    std::string claimId; ///< Fresh id.
    std::uint64_t contentHash { 0 };
    Millis deadline {}; ///< Monotonic time.
    std::optional<Millis> keyTime; ///< Wall-clock time inside the key, if it carries one.
};

/// \returns The log key of a workspace's idempotency key.
[[nodiscard]] std::string makeClaimKey(std::string_view workspace, std::string_view idempotencyKey);

/// \returns The wall-clock time inside a version 7 UUID, or nothing for keys of other forms.
[[nodiscard]] std::optional<Millis> timeOfKey(std::string_view idempotencyKey);

/// \brief One claim as the log holds it.
struct LoggedClaim {
    std::string claim;
    std::int64_t time { 0 }; ///< Log time, ms.
    std::uint64_t contentHash { 0 };
};

struct LoggedKey {
    std::vector<LoggedClaim> claims; ///< In log order, each id once.
    std::set<std::string> withdrawn;
    std::map<std::string, StoredResponse> done; ///< By claim id.
};

/// \brief A call of this daemon that is waiting for a decision or running.
struct PendingClaim {
    ClaimRequest request;
    Millis lastAppend {};
    bool appended { false }; ///< An append was issued, so the claim may be in the log.
    bool running { false };
};

/// \brief A withdrawal or an answer that must reach the log.
struct UnconfirmedRecord {
    ClaimAppend append;
    Millis lastAppend {};
};

struct ClaimState {
    ClaimOptions options;
    std::string daemon;
    std::vector<std::map<std::string, LoggedKey>> keys; ///< By stream, then key.
    std::vector<std::int64_t> nextOffset; ///< By stream.
    std::vector<std::int64_t> newestTime; ///< By stream: log time of the newest record.
    std::vector<std::int64_t> prunedAt; ///< By stream: log time of the last removal of old keys.
    std::map<std::string, PendingClaim> pendingClaims; ///< By claim id.
    std::map<std::string, UnconfirmedRecord> unconfirmedRecords; ///< By "kind claim".
    std::vector<ClaimAppend> appends; ///< Output, taken by takeAppends().
    std::vector<ClaimDecision> decisions; ///< Output, taken by takeDecisions().
};

[[nodiscard]] ClaimState makeClaimState(const ClaimOptions&, std::string daemon);

/// \returns The stream that holds \p key.
[[nodiscard]] unsigned streamOfKey(const ClaimState&, std::string_view key) noexcept;

/// \brief Starts a call. Its decision comes later through takeDecisions().
void beginClaim(ClaimState&, const ClaimRequest&, Millis now, Millis wallTime);

/// \brief Reads records of one stream. Records must come in order from nextOffset.
/// \param firstRetained First offset that the log still holds; a gap fails all calls that wait on this stream.
void onClaimRecords(ClaimState&, unsigned stream, std::int64_t firstRetained, std::span<const LogRecord>, Millis now);

/// \brief Ends a call that was told to run.
/// \param status NotRun withdraws the claim, so that a repeat may run.
void finishClaim(ClaimState&, std::string_view claim, RunStatus status, StoredResponse answer, Millis now);

/// \brief Gives up a call that was not told to run (its caller has gone). It will not run later.
void abandonClaim(ClaimState&, std::string_view claim, Millis now);

/// \brief Ends calls whose deadline has passed and repeats appends that were not read back.
void tickClaims(ClaimState&, Millis now);

[[nodiscard]] std::vector<ClaimDecision> takeDecisions(ClaimState&);
[[nodiscard]] std::vector<ClaimAppend> takeAppends(ClaimState&);

}
