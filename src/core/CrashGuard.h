#pragma once

#include "core/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

/// \file
/// \brief Finds request contents that crash the endpoints which run them, across the fleet and across resends.
///
/// Every request that was running when its endpoint was lost gets a mark. A marked content runs alone on its endpoint,
/// so that the next loss tells it from its neighbours; completing clears the mark everywhere.

namespace jasminestack {

/// \brief What is held against one request content.
struct CrashSuspect {
    std::set<std::uint64_t> lossEventIds; ///< Losses attributed to it, each counted once.
    Millis lastLoss {};
    Millis quarantinedUntil {};
};

struct CrashGuardOptions {
    unsigned quarantineThreshold { 3 }; ///< Losses that quarantine a content.
    Millis quarantineDuration { 600'000 };
    Millis suspectExpiry { 600'000 }; ///< A mark without a further loss ends after this time.
    std::size_t maxSuspects { 10'000 }; ///< Bounds the memory; the oldest mark goes first.
};

struct CrashGuardState {
    std::map<std::uint64_t, CrashSuspect> suspects; ///< By content hash.
};

enum class CrashVerdict : std::uint8_t {
    Clear,
    Suspect, ///< Run it alone on its endpoint.
    Quarantined, ///< Refuse it.
};

[[nodiscard]] CrashVerdict crashVerdict(const CrashGuardState&, std::uint64_t contentHash, Millis now) noexcept;

/// \brief Records that an endpoint was lost while it ran this content.
/// \param eventId The same in all reports of this loss.
/// \returns The mark to send to all peers.
[[nodiscard]] CrashMark recordEndpointLoss(
    CrashGuardState&, const CrashGuardOptions&, std::uint64_t contentHash, std::uint64_t eventId, Millis now);

/// \brief Records that this content has completed.
/// \returns A clearing mark to send to all peers, if there was a mark.
[[nodiscard]] std::optional<CrashMark> onContentCompleted(CrashGuardState&, std::uint64_t contentHash);

/// \brief Takes over a peer's mark.
void onCrashMark(CrashGuardState&, const CrashGuardOptions&, const CrashMark&, Millis now);

/// \brief Drops marks that have ended.
void expireSuspects(CrashGuardState&, const CrashGuardOptions&, Millis now);

}
