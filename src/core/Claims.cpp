#include "core/Claims.h"

#include "base/Hash.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    // Largest difference between the clocks of callers, daemons and the log at which the time in a key is still valid.
    constexpr Millis maxClockSkew { 60'000 };

    constexpr std::size_t claimKeyHexDigits = 32;

    // Removing old keys visits all keys of a stream, so it is not done for each record.
    constexpr Millis pruneInterval { 60'000 };

    std::string serialise(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    std::string stringField(const Json& record, const char* name)
    {
        auto it = record.find(name);
        return it != record.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    std::string unconfirmedRecordName(std::string_view kind, std::string_view claimId)
    {
        return std::string(kind) + ' ' + std::string(claimId);
    }

    ClaimAppend makeClaimRecord(const ClaimState& state, const PendingClaim& pending)
    {
        Json record { { "kind", "claim" }, { "key", pending.request.key }, { "claim", pending.request.claimId },
            { "daemon", state.daemonId }, { "content", pending.request.contentHash } };
        return { .stream = streamOfKey(state, pending.request.key), .record = serialise(record) };
    }

    void appendUntilConfirmed(
        ClaimState& state, std::string_view kind, std::string_view claimId, ClaimAppend append, Millis now)
    {
        state.appends.push_back(append);
        state.unconfirmedRecords[unconfirmedRecordName(kind, claimId)]
            = { .append = std::move(append), .lastAppendAt = now };
    }

    void appendWithdrawal(ClaimState& state, const ClaimRequest& request, Millis now)
    {
        Json record { { "kind", "withdraw" }, { "key", request.key }, { "claim", request.claimId } };
        appendUntilConfirmed(state, "withdraw", request.claimId,
            { .stream = streamOfKey(state, request.key), .record = serialise(record) }, now);
    }

    const LoggedClaim* findLoggedClaim(const LoggedKey& loggedKey, std::string_view claimId)
    {
        auto it = std::find_if(loggedKey.claims.begin(), loggedKey.claims.end(),
            [&](const LoggedClaim& loggedClaim) { return loggedClaim.claimId == claimId; });
        return it == loggedKey.claims.end() ? nullptr : &*it;
    }

    // Returns the first claim that is valid at a log timestamp. It depends on the log alone, so all daemons agree.
    const LoggedClaim* firstValidClaim(const LoggedKey& loggedKey, std::int64_t atTimeMs, Millis window)
    {
        auto it = std::find_if(loggedKey.claims.begin(), loggedKey.claims.end(), [&](const LoggedClaim& loggedClaim) {
            return loggedClaim.timeMs >= atTimeMs - window.count
                && !loggedKey.withdrawnClaims.contains(loggedClaim.claimId);
        });
        return it == loggedKey.claims.end() ? nullptr : &*it;
    }

    void recordDecision(
        ClaimState& state, const std::string& claimId, ClaimVerdict verdict, Millis now, StoredResponse response = {})
    {
        auto it = state.pendingClaims.find(claimId);
        state.decisions.push_back({ .claimId = claimId, .verdict = verdict, .response = std::move(response) });
        if (verdict == ClaimVerdict::Run) {
            it->second.running = true;
            return;
        }
        if (it->second.hasBeenAppended)
            appendWithdrawal(state, it->second.request, now);
        state.pendingClaims.erase(it);
    }

    void appendClaim(ClaimState& state, PendingClaim& pending, Millis now)
    {
        pending.hasBeenAppended = true;
        pending.lastAppendAt = now;
        state.appends.push_back(makeClaimRecord(state, pending));
    }

    void decideFromLog(ClaimState& state, const std::string& claimId, Millis now)
    {
        PendingClaim& pending = state.pendingClaims.at(claimId);
        if (pending.running)
            return;
        unsigned stream = streamOfKey(state, pending.request.key);
        auto loggedKey = state.loggedKeys[stream].find(pending.request.key);
        const LoggedClaim* ownClaim = nullptr;
        const LoggedClaim* winningClaim = nullptr;
        if (loggedKey != state.loggedKeys[stream].end()) {
            ownClaim = findLoggedClaim(loggedKey->second, claimId);
            winningClaim = firstValidClaim(
                loggedKey->second, ownClaim ? ownClaim->timeMs : state.newestTimeMs[stream], state.options.claimWindow);
        }
        if (!winningClaim) {
            if (!pending.hasBeenAppended)
                appendClaim(state, pending, now);
            return;
        }
        if (winningClaim == ownClaim)
            return recordDecision(state, claimId, ClaimVerdict::Run, now);
        if (winningClaim->contentHash != pending.request.contentHash)
            return recordDecision(state, claimId, ClaimVerdict::KeyReused, now);
        auto storedResponse = loggedKey->second.storedResponses.find(winningClaim->claimId);
        if (storedResponse == loggedKey->second.storedResponses.end())
            return;
        bool isComplete = storedResponse->second.httpStatus != 0;
        recordDecision(
            state, claimId, isComplete ? ClaimVerdict::Replay : ClaimVerdict::Unknown, now, storedResponse->second);
    }

    StoredResponse parseStoredResponse(const Json& record)
    {
        StoredResponse response { .contentType = stringField(record, "contentType") };
        if (auto it = record.find("status"); it != record.end() && it->is_number_integer())
            response.httpStatus = it->get<int>();
        if (auto it = record.find("body"); it != record.end() && it->is_string())
            response.isBodyStored = absl::Base64Unescape(it->get<std::string>(), &response.body);
        return response;
    }

    void applyRecord(
        ClaimState& state, unsigned stream, std::int64_t timeMs, const Json& record, std::set<std::string>& changedKeys)
    {
        if (!record.is_object())
            return;
        std::string kind = stringField(record, "kind");
        std::string keyName = stringField(record, "key");
        std::string claimId = stringField(record, "claim");
        if (keyName.empty() || claimId.empty())
            return;
        LoggedKey& loggedKey = state.loggedKeys[stream][keyName];
        if (kind == "claim") {
            auto content = record.find("content");
            if (content == record.end() || !content->is_number_unsigned())
                return;
            if (!findLoggedClaim(loggedKey, claimId))
                loggedKey.claims.push_back(
                    { .claimId = claimId, .timeMs = timeMs, .contentHash = content->get<std::uint64_t>() });
        } else if (kind == "withdraw") {
            loggedKey.withdrawnClaims.insert(claimId);
        } else if (kind == "done") {
            loggedKey.storedResponses.try_emplace(claimId, parseStoredResponse(record));
        } else {
            return;
        }
        state.unconfirmedRecords.erase(unconfirmedRecordName(kind, claimId));
        changedKeys.insert(keyName);
    }

    void failWaitingClaims(ClaimState& state, unsigned stream, Millis now)
    {
        std::vector<std::string> waitingClaims;
        for (const auto& [claimId, pending] : state.pendingClaims) {
            if (!pending.running && streamOfKey(state, pending.request.key) == stream)
                waitingClaims.push_back(claimId);
        }
        for (const std::string& claimId : waitingClaims)
            recordDecision(state, claimId, ClaimVerdict::Unavailable, now);
    }

    void decideClaimsOfKeys(ClaimState& state, const std::set<std::string>& changedKeys, Millis now)
    {
        std::vector<std::string> affectedClaims;
        for (const auto& [claimId, pending] : state.pendingClaims) {
            if (changedKeys.contains(pending.request.key))
                affectedClaims.push_back(claimId);
        }
        for (const std::string& claimId : affectedClaims)
            decideFromLog(state, claimId, now);
    }

    // Keys are kept for twice the claim window, so that a late retry of an append is still recognised.
    void pruneKeys(ClaimState& state, unsigned stream)
    {
        if (state.newestTimeMs[stream] - state.lastPruneMs[stream] < pruneInterval.count)
            return;
        state.lastPruneMs[stream] = state.newestTimeMs[stream];
        std::int64_t oldestKeptMs = state.newestTimeMs[stream] - 2 * state.options.claimWindow.count;
        std::erase_if(state.loggedKeys[stream], [&](const auto& entry) {
            const auto& claims = entry.second.claims;
            return !claims.empty() && claims.back().timeMs < oldestKeptMs;
        });
    }

}

std::string makeClaimKey(std::string_view workspace, std::string_view idempotencyKey)
{
    std::string text = std::to_string(workspace.size()) + ':';
    text += workspace;
    text += idempotencyKey;
    return sha256Hex(text).substr(0, claimKeyHexDigits);
}

std::optional<Millis> timeOfKey(std::string_view idempotencyKey)
{
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionPosition = 14;
    if (idempotencyKey.size() != uuidLength || idempotencyKey[8] != '-' || idempotencyKey[13] != '-'
        || idempotencyKey[18] != '-' || idempotencyKey[23] != '-' || idempotencyKey[versionPosition] != '7')
        return std::nullopt;
    std::string digits = std::string(idempotencyKey.substr(0, 8)) + std::string(idempotencyKey.substr(9, 4));
    std::int64_t timeMs = 0;
    auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), timeMs, 16);
    if (parsed.ec != std::errc {} || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return Millis { timeMs };
}

ClaimState makeClaimState(const ClaimOptions& options, std::string daemonId)
{
    ClaimState state { .options = options, .daemonId = std::move(daemonId) };
    state.loggedKeys.resize(options.streamCount);
    state.nextOffset.resize(options.streamCount, 0);
    state.newestTimeMs.resize(options.streamCount, 0);
    state.lastPruneMs.resize(options.streamCount, 0);
    return state;
}

unsigned streamOfKey(const ClaimState& state, std::string_view key) noexcept
{
    return static_cast<unsigned>(hash64(key) % state.options.streamCount);
}

void beginClaim(ClaimState& state, const ClaimRequest& request, Millis now, Millis wallTime)
{
    if (request.keyTime) {
        // The claim window is reduced by the clock skew. Otherwise a claim could already be too old to be valid while
        // its key is still accepted, so that the call would run again.
        Millis age = wallTime - *request.keyTime;
        if (age > state.options.claimWindow - maxClockSkew || age < Millis {} - maxClockSkew) {
            state.decisions.push_back({ .claimId = request.claimId, .verdict = ClaimVerdict::KeyExpired });
            return;
        }
    }
    state.pendingClaims[request.claimId] = { .request = request };
    decideFromLog(state, request.claimId, now);
}

void onClaimRecords(
    ClaimState& state, unsigned stream, std::int64_t firstRetained, std::span<const LogRecord> records, Millis now)
{
    std::int64_t& next = state.nextOffset[stream];
    if (firstRetained > next) {
        // The gap may contain claims of this daemon, and it can no longer be determined whether they were first.
        if (next > 0)
            failWaitingClaims(state, stream, now);
        next = firstRetained;
    }
    std::set<std::string> changedKeys;
    for (const LogRecord& record : records) {
        if (record.offset < next)
            continue;
        next = record.offset + 1;
        state.newestTimeMs[stream] = std::max(state.newestTimeMs[stream], record.timestampMs);
        Json payload = Json::parse(record.payload, nullptr, false);
        if (payload.is_array()) {
            for (const Json& item : payload)
                applyRecord(state, stream, record.timestampMs, item, changedKeys);
        } else {
            applyRecord(state, stream, record.timestampMs, payload, changedKeys);
        }
    }
    decideClaimsOfKeys(state, changedKeys, now);
    pruneKeys(state, stream);
}

void finishClaim(ClaimState& state, std::string_view claimId, RunStatus status, StoredResponse response, Millis now)
{
    auto it = state.pendingClaims.find(std::string(claimId));
    if (it == state.pendingClaims.end() || !it->second.running)
        return;
    const ClaimRequest request = it->second.request;
    state.pendingClaims.erase(it);
    if (status == RunStatus::NotRun)
        return appendWithdrawal(state, request, now);
    Json record { { "kind", "done" }, { "key", request.key }, { "claim", request.claimId },
        { "status", status == RunStatus::Ran ? response.httpStatus : 0 }, { "contentType", response.contentType } };
    if (status == RunStatus::Ran && response.isBodyStored && response.body.size() <= state.options.maxStoredBodyBytes)
        record["body"] = absl::Base64Escape(response.body);
    appendUntilConfirmed(state, "done", request.claimId,
        { .stream = streamOfKey(state, request.key), .record = serialise(record) }, now);
}

void abandonClaim(ClaimState& state, std::string_view claimId, Millis now)
{
    auto it = state.pendingClaims.find(std::string(claimId));
    if (it == state.pendingClaims.end() || it->second.running)
        return;
    if (it->second.hasBeenAppended)
        appendWithdrawal(state, it->second.request, now);
    state.pendingClaims.erase(it);
}

void tickClaims(ClaimState& state, Millis now)
{
    std::vector<std::string> expiredClaims;
    for (auto& [claimId, pending] : state.pendingClaims) {
        if (pending.running)
            continue;
        if (now >= pending.request.deadline) {
            expiredClaims.push_back(claimId);
            continue;
        }
        if (pending.hasBeenAppended && now - pending.lastAppendAt >= state.options.appendRetryInterval) {
            unsigned stream = streamOfKey(state, pending.request.key);
            auto loggedKey = state.loggedKeys[stream].find(pending.request.key);
            if (loggedKey == state.loggedKeys[stream].end() || !findLoggedClaim(loggedKey->second, claimId))
                appendClaim(state, pending, now);
        }
    }
    for (const std::string& claimId : expiredClaims) {
        const ClaimRequest& request = state.pendingClaims.at(claimId).request;
        unsigned stream = streamOfKey(state, request.key);
        auto loggedKey = state.loggedKeys[stream].find(request.key);
        bool hasValidClaim = loggedKey != state.loggedKeys[stream].end()
            && firstValidClaim(loggedKey->second, state.newestTimeMs[stream], state.options.claimWindow);
        recordDecision(state, claimId, hasValidClaim ? ClaimVerdict::InProgress : ClaimVerdict::Unavailable, now);
    }
    for (auto& [name, record] : state.unconfirmedRecords) {
        if (now - record.lastAppendAt < state.options.appendRetryInterval)
            continue;
        record.lastAppendAt = now;
        state.appends.push_back(record.append);
    }
}

std::vector<ClaimDecision> takeDecisions(ClaimState& state) { return std::exchange(state.decisions, {}); }

std::vector<ClaimAppend> takeAppends(ClaimState& state) { return std::exchange(state.appends, {}); }

}
