#pragma once

#include "base/Clock.h"

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

/// \brief Model of one engine's prefix cache, built from the prompts sent to it, with least-recently-used eviction.
class PromptCache {
public:
    /// \returns Tokens of the leading parts of \p prompt that the engine has probably cached.
    [[nodiscard]] std::uint64_t cachedTokens(std::span<const PromptPart> prompt) const noexcept;

    /// \brief Adds the parts of \p prompt and marks them as most recently used.
    void insert(std::span<const PromptPart> prompt);

    /// \brief Evicts least recently used parts until at most \p capacity tokens remain.
    void shrink(std::uint64_t capacity);

    void clear();

    /// \returns Tokens of all parts together.
    [[nodiscard]] std::uint64_t tokens() const noexcept { return m_tokens; }

    /// \returns All parts, most recently used first.
    [[nodiscard]] const std::list<PromptPart>& parts() const noexcept { return m_parts; }

private:
    std::list<PromptPart> m_parts; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> m_index;
    std::uint64_t m_tokens { 0 };
};

}
