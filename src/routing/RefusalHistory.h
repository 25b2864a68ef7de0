#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace jasminestack {

/// \brief Remembers which requests were refused, by content, so that a caller who comes back is known, also at another
/// daemon: its latency objective counts from its first attempt.
class RefusalHistory {
public:
    /// \brief A request that first arrived at \p firstArrival was refused.
    void record(std::uint64_t contentHash, Millis firstArrival, Millis now);

    /// \returns When the content arrived first, if it was refused within the last seconds.
    [[nodiscard]] std::optional<Millis> firstArrival(std::uint64_t contentHash, Millis now) const;

private:
    /// \brief Callers wait for a third of their time at most, and their time is seconds.
    static constexpr Millis retention { 15'000 };

    struct Entry {
        Millis firstArrival;
        Millis refusedAt;
    };

    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::deque<std::pair<Millis, std::uint64_t>> m_order; ///< By time of refusal.
};

}
