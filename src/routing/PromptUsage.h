#pragma once

#include "base/Clock.h"
#include "routing/PromptCache.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace jasminestack {

/// \brief Exponentially decaying count of sent prompts that contain a prompt part.
struct PromptPartUsage {
    double count { 0 };
    Millis updatedAt {};
};

/// \brief Use counts of prompt parts, by part key. The least recently used ones are dropped in generations, so that
/// adding one takes constant time on average.
struct PromptUsage {
    std::size_t generationSize { 20'000 }; ///< Counts in one generation; two are kept.
    std::unordered_map<std::uint64_t, PromptPartUsage> current; ///< Used since \c previous was complete.
    std::unordered_map<std::uint64_t, PromptPartUsage> previous;
};

/// \brief Counts one use of each leading part of \p prompt.
void recordUses(PromptUsage&, std::span<const PromptPart> prompt, Millis now);

/// \returns Recent uses of the part with \p key, decayed until \p now, unless its uses are not tracked.
[[nodiscard]] std::optional<double> recentUses(const PromptUsage&, std::uint64_t key, Millis now);

/// \returns Number of parts whose uses are tracked; a part may be in both generations and counts twice then.
[[nodiscard]] std::size_t trackedParts(const PromptUsage&) noexcept;

}
