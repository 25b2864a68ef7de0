#include "core/CrashGuard.h"

#include <algorithm>

namespace jasminestack {

namespace {

    void removeOldestSuspect(CrashGuardState& state)
    {
        auto oldest = std::min_element(state.suspects.begin(), state.suspects.end(),
            [](const auto& lhs, const auto& rhs) { return lhs.second.lastLossAt < rhs.second.lastLossAt; });
        state.suspects.erase(oldest);
    }

    CrashSuspect& recordLossEvent(CrashGuardState& state, const CrashGuardOptions& options, std::uint64_t contentHash,
        std::uint64_t eventId, Millis now)
    {
        if (!state.suspects.contains(contentHash) && state.suspects.size() >= options.maxSuspects)
            removeOldestSuspect(state);
        CrashSuspect& suspect = state.suspects[contentHash];
        if (suspect.lossEventIds.insert(eventId).second) {
            suspect.lastLossAt = now;
            if (suspect.lossEventIds.size() >= options.quarantineThreshold)
                suspect.quarantinedUntil = now + options.quarantineDuration;
        }
        return suspect;
    }

}

CrashVerdict crashVerdict(const CrashGuardState& state, std::uint64_t contentHash, Millis now) noexcept
{
    auto it = state.suspects.find(contentHash);
    if (it == state.suspects.end())
        return CrashVerdict::Clear;
    return now < it->second.quarantinedUntil ? CrashVerdict::Quarantined : CrashVerdict::Suspect;
}

CrashMark recordEndpointLoss(CrashGuardState& state, const CrashGuardOptions& options, std::uint64_t contentHash,
    std::uint64_t eventId, Millis now)
{
    const CrashSuspect& suspect = recordLossEvent(state, options, contentHash, eventId, now);
    return { .contentHash = contentHash,
        .lossCount = static_cast<std::uint32_t>(suspect.lossEventIds.size()),
        .lossEventId = eventId };
}

std::optional<CrashMark> onContentCompleted(CrashGuardState& state, std::uint64_t contentHash)
{
    if (state.suspects.erase(contentHash) == 0)
        return std::nullopt;
    return CrashMark { .contentHash = contentHash };
}

void onCrashMark(CrashGuardState& state, const CrashGuardOptions& options, const CrashMark& mark, Millis now)
{
    if (mark.lossCount == 0) {
        state.suspects.erase(mark.contentHash);
        return;
    }
    recordLossEvent(state, options, mark.contentHash, mark.lossEventId, now);
}

void expireSuspects(CrashGuardState& state, const CrashGuardOptions& options, Millis now)
{
    std::erase_if(state.suspects, [&](const auto& entry) {
        const CrashSuspect& suspect = entry.second;
        return now >= suspect.quarantinedUntil && now - suspect.lastLossAt >= options.suspectExpiry;
    });
}

}
