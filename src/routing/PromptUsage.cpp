#include "routing/PromptUsage.h"

#include <cmath>
#include <utility>

namespace jasminestack {

namespace {

    // Time constant of the decaying use counts: about as long as an engine keeps an unused part cached.
    constexpr Millis usageTimeConstant { 10'000 };

    double decayedUses(const PromptPartUsage& usage, Millis now)
    {
        return usage.count * std::exp(-(now - usage.updatedAt).seconds() / usageTimeConstant.seconds());
    }

    const PromptPartUsage* findUsage(const PromptUsage& usage, std::uint64_t key)
    {
        if (auto found = usage.current.find(key); found != usage.current.end())
            return &found->second;
        auto found = usage.previous.find(key);
        return found == usage.previous.end() ? nullptr : &found->second;
    }

}

void recordUses(PromptUsage& usage, std::span<const PromptPart> prompt, Millis now)
{
    for (const PromptPart& part : leadingParts(prompt)) {
        const PromptPartUsage* known = findUsage(usage, part.key);
        double uses = known ? decayedUses(*known, now) : 0;
        usage.current.insert_or_assign(part.key, PromptPartUsage { .count = uses + 1.0, .updatedAt = now });
        if (usage.current.size() >= usage.generationSize)
            usage.previous = std::exchange(usage.current, {});
    }
}

std::optional<double> recentUses(const PromptUsage& usage, std::uint64_t key, Millis now)
{
    const PromptPartUsage* known = findUsage(usage, key);
    return known ? std::optional<double>(decayedUses(*known, now)) : std::nullopt;
}

std::size_t trackedParts(const PromptUsage& usage) noexcept { return usage.current.size() + usage.previous.size(); }

}
