#include "base/Hash.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace jasminestack {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate) noexcept
{
    return hash64(candidate, hash64(key));
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr);
    static constexpr char hexDigits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * static_cast<std::size_t>(length));
    for (unsigned i = 0; i < length; ++i) {
        text.push_back(hexDigits[digest[i] >> 4U]);
        text.push_back(hexDigits[digest[i] & 15U]);
    }
    return text;
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> tag {};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(data.data()),
        data.size(), tag.data(), &length);
    return { reinterpret_cast<const char*>(tag.data()), length };
}

bool equalConstantTime(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}
