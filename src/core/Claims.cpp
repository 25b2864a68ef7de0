#include "core/Claims.h"

#include "base/Hash.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    // Largest difference between the clocks of callers, daemons and the log that key times are trusted over.
    constexpr Millis clockSkew { 60'000 };

    constexpr std::size_t keyDigits = 32;

    // Removing old keys visits all of them.
    constexpr Millis pruneInterval { 60'000 };

    std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    std::string textField(const Json& record, const char* name)
    {
        auto it = record.find(name);
        return it != record.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    std::string confirmationName(std::string_view kind, std::string_view claim)
    {
        return std::string(kind) + ' ' + std::string(claim);
    }

    ClaimAppend claimRecord(const ClaimState& state, const PendingClaim& pending)
    {
        Json record { { "kind", "claim" }, { "key", pending.request.key }, { "claim", pending.request.claimId },
            { "daemon", state.daemon }, { "content", pending.request.contentHash } };
        return { .stream = streamOfKey(state, pending.request.key), .record = dump(record) };
    }

    void emitUnconfirmed(
        ClaimState& state, std::string_view kind, std::string_view claim, ClaimAppend append, Millis now)
    {
        state.appends.push_back(append);
        state.unconfirmedRecords[confirmationName(kind, claim)] = { .append = std::move(append), .lastAppend = now };
    }

    void withdraw(ClaimState& state, const ClaimRequest& request, Millis now)
    {
        Json record { { "kind", "withdraw" }, { "key", request.key }, { "claim", request.claimId } };
        emitUnconfirmed(state, "withdraw", request.claimId,
            { .stream = streamOfKey(state, request.key), .record = dump(record) }, now);
    }

    const LoggedClaim* findClaim(const LoggedKey& key, std::string_view claim)
    {
        auto it = std::find_if(
            key.claims.begin(), key.claims.end(), [&](const LoggedClaim& logged) { return logged.claim == claim; });
        return it == key.claims.end() ? nullptr : &*it;
    }

    // The first claim that counts for a claim made at `time`. Depends on the log alone, so all daemons agree.
    const LoggedClaim* firstClaim(const LoggedKey& key, std::int64_t time, Millis window)
    {
        auto it = std::find_if(key.claims.begin(), key.claims.end(), [&](const LoggedClaim& logged) {
            return logged.time >= time - window.count && !key.withdrawn.contains(logged.claim);
        });
        return it == key.claims.end() ? nullptr : &*it;
    }

    void decide(
        ClaimState& state, const std::string& claim, ClaimVerdict verdict, Millis now, StoredResponse answer = {})
    {
        auto it = state.pendingClaims.find(claim);
        state.decisions.push_back({ .claimId = claim, .verdict = verdict, .response = std::move(answer) });
        if (verdict == ClaimVerdict::Run) {
            it->second.running = true;
            return;
        }
        if (it->second.appended)
            withdraw(state, it->second.request, now);
        state.pendingClaims.erase(it);
    }

    void appendClaim(ClaimState& state, PendingClaim& pending, Millis now)
    {
        pending.appended = true;
        pending.lastAppend = now;
        state.appends.push_back(claimRecord(state, pending));
    }

    void resolve(ClaimState& state, const std::string& claim, Millis now)
    {
        PendingClaim& pending = state.pendingClaims.at(claim);
        if (pending.running)
            return;
        unsigned stream = streamOfKey(state, pending.request.key);
        auto logged = state.keys[stream].find(pending.request.key);
        const LoggedClaim* own = nullptr;
        const LoggedClaim* first = nullptr;
        if (logged != state.keys[stream].end()) {
            own = findClaim(logged->second, claim);
            first = firstClaim(logged->second, own ? own->time : state.newestTime[stream], state.options.claimWindow);
        }
        if (!first) {
            if (!pending.appended)
                appendClaim(state, pending, now);
            return;
        }
        if (first == own)
            return decide(state, claim, ClaimVerdict::Run, now);
        if (first->contentHash != pending.request.contentHash)
            return decide(state, claim, ClaimVerdict::KeyReused, now);
        auto done = logged->second.done.find(first->claim);
        if (done == logged->second.done.end())
            return;
        bool whole = done->second.httpStatus != 0;
        decide(state, claim, whole ? ClaimVerdict::Replay : ClaimVerdict::Unknown, now, done->second);
    }

    StoredResponse parseAnswer(const Json& record)
    {
        StoredResponse answer { .contentType = textField(record, "contentType") };
        if (auto it = record.find("status"); it != record.end() && it->is_number_integer())
            answer.httpStatus = it->get<int>();
        if (auto it = record.find("body"); it != record.end() && it->is_string())
            answer.isBodyStored = absl::Base64Unescape(it->get<std::string>(), &answer.body);
        return answer;
    }

    void applyRecord(
        ClaimState& state, unsigned stream, std::int64_t time, const Json& record, std::set<std::string>& touched)
    {
        if (!record.is_object())
            return;
        std::string kind = textField(record, "kind");
        std::string keyName = textField(record, "key");
        std::string claim = textField(record, "claim");
        if (keyName.empty() || claim.empty())
            return;
        LoggedKey& key = state.keys[stream][keyName];
        if (kind == "claim") {
            auto content = record.find("content");
            if (content == record.end() || !content->is_number_unsigned())
                return;
            if (!findClaim(key, claim))
                key.claims.push_back({ .claim = claim, .time = time, .contentHash = content->get<std::uint64_t>() });
        } else if (kind == "withdraw") {
            key.withdrawn.insert(claim);
        } else if (kind == "done") {
            key.done.try_emplace(claim, parseAnswer(record));
        } else {
            return;
        }
        state.unconfirmedRecords.erase(confirmationName(kind, claim));
        touched.insert(keyName);
    }

    void failPending(ClaimState& state, unsigned stream, Millis now)
    {
        std::vector<std::string> waiting;
        for (const auto& [claim, pending] : state.pendingClaims) {
            if (!pending.running && streamOfKey(state, pending.request.key) == stream)
                waiting.push_back(claim);
        }
        for (const std::string& claim : waiting)
            decide(state, claim, ClaimVerdict::Unavailable, now);
    }

    void resolveTouched(ClaimState& state, const std::set<std::string>& touched, Millis now)
    {
        std::vector<std::string> waiting;
        for (const auto& [claim, pending] : state.pendingClaims) {
            if (touched.contains(pending.request.key))
                waiting.push_back(claim);
        }
        for (const std::string& claim : waiting)
            resolve(state, claim, now);
    }

    // Old keys stay twice the window, so that a late repeat of an append is still recognised.
    void pruneKeys(ClaimState& state, unsigned stream)
    {
        if (state.newestTime[stream] - state.prunedAt[stream] < pruneInterval.count)
            return;
        state.prunedAt[stream] = state.newestTime[stream];
        std::int64_t oldest = state.newestTime[stream] - 2 * state.options.claimWindow.count;
        std::erase_if(state.keys[stream], [&](const auto& entry) {
            const auto& claims = entry.second.claims;
            return !claims.empty() && claims.back().time < oldest;
        });
    }

}

std::string makeClaimKey(std::string_view workspace, std::string_view idempotencyKey)
{
    std::string text = std::to_string(workspace.size()) + ':';
    text += workspace;
    text += idempotencyKey;
    return sha256Hex(text).substr(0, keyDigits);
}

std::optional<Millis> timeOfKey(std::string_view key)
{
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionAt = 14;
    if (key.size() != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-'
        || key[versionAt] != '7')
        return std::nullopt;
    std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::int64_t time = 0;
    auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), time, 16);
    if (parsed.ec != std::errc {} || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return Millis { time };
}

ClaimState makeClaimState(const ClaimOptions& options, std::string daemon)
{
    ClaimState state { .options = options, .daemon = std::move(daemon) };
    state.keys.resize(options.streamCount);
    state.nextOffset.resize(options.streamCount, 0);
    state.newestTime.resize(options.streamCount, 0);
    state.prunedAt.resize(options.streamCount, 0);
    return state;
}

unsigned streamOfKey(const ClaimState& state, std::string_view key) noexcept
{
    return static_cast<unsigned>(hash64(key) % state.options.streamCount);
}

void beginClaim(ClaimState& state, const ClaimRequest& request, Millis now, Millis wallTime)
{
    if (request.keyTime) {
        // The skew closes the span in which an old claim no longer counts but its key still looks young enough.
        Millis age = wallTime - *request.keyTime;
        if (age > state.options.claimWindow - clockSkew || age < Millis {} - clockSkew) {
            state.decisions.push_back({ .claimId = request.claimId, .verdict = ClaimVerdict::KeyExpired });
            return;
        }
    }
    state.pendingClaims[request.claimId] = { .request = request };
    resolve(state, request.claimId, now);
}

void onClaimRecords(
    ClaimState& state, unsigned stream, std::int64_t firstRetained, std::span<const LogRecord> records, Millis now)
{
    std::int64_t& next = state.nextOffset[stream];
    if (firstRetained > next) {
        // Own claims may lie in the gap; whether they were first can no longer be known.
        if (next > 0)
            failPending(state, stream, now);
        next = firstRetained;
    }
    std::set<std::string> touched;
    for (const LogRecord& record : records) {
        if (record.offset < next)
            continue;
        next = record.offset + 1;
        state.newestTime[stream] = std::max(state.newestTime[stream], record.timestampMs);
        Json payload = Json::parse(record.payload, nullptr, false);
        if (payload.is_array()) {
            for (const Json& item : payload)
                applyRecord(state, stream, record.timestampMs, item, touched);
        } else {
            applyRecord(state, stream, record.timestampMs, payload, touched);
        }
    }
    resolveTouched(state, touched, now);
    pruneKeys(state, stream);
}

void finishClaim(ClaimState& state, std::string_view claim, RunStatus status, StoredResponse answer, Millis now)
{
    auto it = state.pendingClaims.find(std::string(claim));
    if (it == state.pendingClaims.end() || !it->second.running)
        return;
    const ClaimRequest request = it->second.request;
    state.pendingClaims.erase(it);
    if (status == RunStatus::NotRun)
        return withdraw(state, request, now);
    Json record { { "kind", "done" }, { "key", request.key }, { "claim", request.claimId },
        { "status", status == RunStatus::Ran ? answer.httpStatus : 0 }, { "contentType", answer.contentType } };
    if (status == RunStatus::Ran && answer.isBodyStored && answer.body.size() <= state.options.maxStoredBody)
        record["body"] = absl::Base64Escape(answer.body);
    emitUnconfirmed(
        state, "done", request.claimId, { .stream = streamOfKey(state, request.key), .record = dump(record) }, now);
}

void abandonClaim(ClaimState& state, std::string_view claim, Millis now)
{
    auto it = state.pendingClaims.find(std::string(claim));
    if (it == state.pendingClaims.end() || it->second.running)
        return;
    if (it->second.appended)
        withdraw(state, it->second.request, now);
    state.pendingClaims.erase(it);
}

void tickClaims(ClaimState& state, Millis now)
{
    std::vector<std::string> late;
    for (auto& [claim, pending] : state.pendingClaims) {
        if (pending.running)
            continue;
        if (now >= pending.request.deadline) {
            late.push_back(claim);
            continue;
        }
        if (pending.appended && now - pending.lastAppend >= state.options.resendAfter) {
            unsigned stream = streamOfKey(state, pending.request.key);
            auto logged = state.keys[stream].find(pending.request.key);
            if (logged == state.keys[stream].end() || !findClaim(logged->second, claim))
                appendClaim(state, pending, now);
        }
    }
    for (const std::string& claim : late) {
        const ClaimRequest& request = state.pendingClaims.at(claim).request;
        unsigned stream = streamOfKey(state, request.key);
        auto logged = state.keys[stream].find(request.key);
        bool otherFirst = logged != state.keys[stream].end()
            && firstClaim(logged->second, state.newestTime[stream], state.options.claimWindow);
        decide(state, claim, otherFirst ? ClaimVerdict::InProgress : ClaimVerdict::Unavailable, now);
    }
    for (auto& [name, record] : state.unconfirmedRecords) {
        if (now - record.lastAppend < state.options.resendAfter)
            continue;
        record.lastAppend = now;
        state.appends.push_back(record.append);
    }
}

std::vector<ClaimDecision> takeDecisions(ClaimState& state) { return std::exchange(state.decisions, {}); }

std::vector<ClaimAppend> takeAppends(ClaimState& state) { return std::exchange(state.appends, {}); }

}
