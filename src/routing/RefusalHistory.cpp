#include "routing/RefusalHistory.h"

#include <algorithm>

namespace jasminestack {

void RefusalHistory::record(std::uint64_t contentHash, Millis firstArrival, Millis now)
{
    auto [entry, isNew] = m_entries.try_emplace(contentHash, Entry { firstArrival, now });
    if (!isNew)
        entry->second = { std::min(entry->second.firstArrival, firstArrival), now };
    m_refusalTimes.emplace_back(now, contentHash);
    while (!m_refusalTimes.empty() && now - m_refusalTimes.front().first > retention) {
        auto oldest = m_entries.find(m_refusalTimes.front().second);
        if (oldest != m_entries.end() && now - oldest->second.refusedAt > retention)
            m_entries.erase(oldest);
        m_refusalTimes.pop_front();
    }
}

std::optional<Millis> RefusalHistory::firstArrival(std::uint64_t contentHash, Millis now) const
{
    auto found = m_entries.find(contentHash);
    if (found == m_entries.end() || now - found->second.refusedAt > retention)
        return std::nullopt;
    return found->second.firstArrival;
}

}
