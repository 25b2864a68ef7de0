#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jasminestack {

/// \returns A fast 64-bit hash (xxHash3), the same on every daemon. Not for secrets.
[[nodiscard]] std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0) noexcept;

/// \brief Rendezvous (highest random weight) score of \p candidate for \p key; the candidate with the highest score
/// owns the key.
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate) noexcept;

/// \returns The SHA-256 digest in lower-case hexadecimal.
[[nodiscard]] std::string sha256Hex(std::string_view data);

/// \returns The HMAC-SHA256 tag of \p data under \p key (32 bytes).
[[nodiscard]] std::string hmacSha256(std::string_view key, std::string_view data);

/// \brief Compares two secrets in a time that depends only on their lengths, not on their content.
[[nodiscard]] bool equalConstantTime(std::string_view left, std::string_view right) noexcept;

}
