#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace jasminestack {

/// \brief Refused requests by content hash, from all daemons. When a caller retries a stream, at any daemon, its
/// latency objective applies from the arrival of the original request.
class RefusalHistory {
public:
    /// \brief Records a request that is refused at \p now.
    /// \param firstArrival Arrival of the original request.
    void record(std::uint64_t contentHash, Millis firstArrival, Millis now);

    /// \returns The arrival of the original request, if the content was refused within the retention time.
    [[nodiscard]] std::optional<Millis> firstArrival(std::uint64_t contentHash, Millis now) const;

private:
    /// \brief Callers wait at most a third of their timeout before a retry, so this covers timeouts of up to 45 s;
    /// most are a few seconds.
    static constexpr Millis retention { 15'000 };

    struct Entry {
        Millis firstArrival;
        Millis refusedAt;
    };

    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::deque<std::pair<Millis, std::uint64_t>>
        m_refusalTimes; ///< Time and content hash of each refusal, oldest first.
};

}
