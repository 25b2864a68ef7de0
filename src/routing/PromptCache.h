#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace jasminestack {

/// \brief One part of a prompt. Its key covers the model and all parts before it, since an engine reuses a part only
/// if it also holds those.
struct PromptPart {
    std::uint64_t key { 0 };
    std::uint32_t tokens { 0 };

    [[nodiscard]] friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// \brief Model of one engine's prefix cache, from the prompts that were sent to it: least recently used parts go.
class PromptCache {
public:
    /// \returns Tokens of the leading parts of \p prompt that the engine probably holds.
    [[nodiscard]] std::uint64_t cachedTokens(std::span<const PromptPart> prompt) const noexcept;

    /// \brief The engine has read or will read \p prompt.
    void insert(std::span<const PromptPart> prompt);

    /// \brief Drops the least recently used parts beyond \p capacity tokens.
    void shrink(std::uint64_t capacity);

    void clear();

    [[nodiscard]] std::uint64_t tokens() const noexcept { return m_tokens; }

    /// \returns All parts, most recently used first.
    [[nodiscard]] const std::list<PromptPart>& parts() const noexcept { return m_parts; }

private:
    std::list<PromptPart> m_parts; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> m_index;
    std::uint64_t m_tokens { 0 };
};

}
