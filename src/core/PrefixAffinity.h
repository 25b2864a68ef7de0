#pragma once

#include <cstdint>

/// \file
/// \brief Preference for the endpoint that probably has a prompt's prefix in its cache.

namespace jasminestack {

/// \returns The rendezvous score of a candidate (its hash) for a prefix. The free candidate with the highest score is
/// preferred, so a prefix keeps its endpoint while other endpoints join and leave.
[[nodiscard]] constexpr std::uint64_t affinityScore(std::uint64_t prefixHash, std::uint64_t candidateHash) noexcept
{
    // Finalizer of SplitMix64; hashing the strings again would take most of the time of a decision.
    std::uint64_t x = prefixHash ^ (candidateHash * 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

}
