#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace jasminestack {

/// \brief One part of a prompt. Its key is a hash over the model, all preceding parts and the part itself, since an
/// engine reuses a part only if the preceding parts are cached too.
struct PromptPart {
    std::uint64_t key { 0 };
    std::uint32_t tokens { 0 };

    [[nodiscard]] friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// \brief Leading parts of a prompt that are considered. They decide where it is cached; the limit bounds the processor
/// time and the memory that a prompt of very many parts takes, of which a head of 16 KiB holds about 4,000.
inline constexpr std::size_t maxPromptParts = 256;

/// \returns The leading parts of \p prompt that are considered.
[[nodiscard]] constexpr std::span<const PromptPart> leadingParts(std::span<const PromptPart> prompt) noexcept
{
    return prompt.size() > maxPromptParts ? prompt.first(maxPromptParts) : prompt;
}

/// \brief Model of one engine's prefix cache, built from the prompts sent to it, with least-recently-used eviction.
class PromptCache {
public:
    /// \returns Tokens of the leading parts of \p prompt that the engine has probably cached.
    [[nodiscard]] std::uint64_t cachedTokens(std::span<const PromptPart> prompt) const noexcept;

    /// \brief Adds the leading parts of \p prompt and marks them as most recently used.
    void insert(std::span<const PromptPart> prompt);

    /// \brief Evicts least recently used parts until at most \p capacity tokens remain.
    void shrink(std::uint64_t capacity);

    /// \brief Evicts up to \p count least recently used parts.
    void evict(std::size_t count);

    void clear();

    /// \returns Tokens of all parts together.
    [[nodiscard]] std::uint64_t tokens() const noexcept { return m_tokens; }

    /// \returns Number of parts.
    [[nodiscard]] std::size_t size() const noexcept { return m_index.size(); }

    /// \returns All parts, most recently used first.
    [[nodiscard]] const std::list<PromptPart>& parts() const noexcept { return m_parts; }

private:
    void evictLast();

    std::list<PromptPart> m_parts; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> m_index;
    std::uint64_t m_tokens { 0 };
};

}
