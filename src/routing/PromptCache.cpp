#include "routing/PromptCache.h"

#include <algorithm>

namespace jasminestack {

std::uint64_t PromptCache::cachedTokens(std::span<const PromptPart> prompt) const noexcept
{
    std::uint64_t cached = 0;
    for (const PromptPart& part : prompt) {
        if (!m_index.contains(part.key))
            break;
        cached += part.tokens;
    }
    return cached;
}

void PromptCache::insert(std::span<const PromptPart> prompt)
{
    // Inserted from the last part to the first: leading parts become the most recently used, and later parts, which are
    // useless without them, are evicted first.
    std::span<const PromptPart> parts = leadingParts(prompt);
    std::for_each(parts.rbegin(), parts.rend(), [this](const PromptPart& part) {
        auto found = m_index.find(part.key);
        if (found != m_index.end()) {
            m_parts.splice(m_parts.begin(), m_parts, found->second);
            return;
        }
        m_parts.push_front(part);
        m_index.emplace(part.key, m_parts.begin());
        m_tokens += part.tokens;
    });
}

void PromptCache::shrink(std::uint64_t capacity)
{
    while (m_tokens > capacity && !m_parts.empty())
        evictLast();
}

void PromptCache::evict(std::size_t count)
{
    for (std::size_t i = 0; i < count && !m_parts.empty(); ++i)
        evictLast();
}

void PromptCache::evictLast()
{
    m_tokens -= m_parts.back().tokens;
    m_index.erase(m_parts.back().key);
    m_parts.pop_back();
}

void PromptCache::clear()
{
    m_parts.clear();
    m_index.clear();
    m_tokens = 0;
}

}
