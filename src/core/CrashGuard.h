#pragma once

#include "core/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

/// \file
/// \brief Identifies request contents that crash the endpoints which run them, across all daemons and retries.
///
/// When an endpoint is lost, the content of each request that it ran becomes a crash suspect. A suspect runs alone on
/// its endpoint, so that a further loss can be attributed to it; a completed run clears the suspicion at all daemons.

namespace jasminestack {

/// \brief Endpoint losses attributed to one request content.
struct CrashSuspect {
    std::set<std::uint64_t> lossEventIds; ///< Each loss counts once, however many reports of it arrive.
    Millis lastLossAt {};
    Millis quarantinedUntil {};
};

struct CrashGuardOptions {
    unsigned quarantineThreshold { 3 }; ///< Number of losses after which a content is quarantined.
    Millis quarantineDuration { 600'000 };
    Millis suspectExpiry { 600'000 }; ///< Time after the last loss when a content is no longer a suspect.
    std::size_t maxSuspects { 10'000 }; ///< Limits memory; the suspect with the oldest last loss is removed first.
};

struct CrashGuardState {
    std::map<std::uint64_t, CrashSuspect> suspects; ///< By content hash.
};

/// \brief Treatment of a request according to its content.
enum class CrashVerdict : std::uint8_t {
    Clear,
    Suspect, ///< The request must run alone on its endpoint.
    Quarantined, ///< The request must be refused.
};

[[nodiscard]] CrashVerdict crashVerdict(const CrashGuardState&, std::uint64_t contentHash, Millis now) noexcept;

/// \brief Records that an endpoint was lost while it ran a request with this content.
/// \param eventId Id of the loss, equal in all reports of it.
/// \returns The crash mark to send to all peers.
[[nodiscard]] CrashMark recordEndpointLoss(
    CrashGuardState&, const CrashGuardOptions&, std::uint64_t contentHash, std::uint64_t eventId, Millis now);

/// \brief Records that a request with this content has completed.
/// \returns If the content was a suspect, the crash mark that clears it at all peers.
[[nodiscard]] std::optional<CrashMark> onContentCompleted(CrashGuardState&, std::uint64_t contentHash);

/// \brief Applies a crash mark received from a peer.
void onCrashMark(CrashGuardState&, const CrashGuardOptions&, const CrashMark&, Millis now);

/// \brief Removes suspects whose quarantine and expiry time have passed.
void expireSuspects(CrashGuardState&, const CrashGuardOptions&, Millis now);

}
