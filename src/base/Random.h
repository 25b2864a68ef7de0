#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace jasminestack {

/// \brief Pseudorandom number generator; tests use a fixed seed.
class Random {
public:
    /// \param seed The same seed gives the same sequence.
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// \returns A value in [0, bound); \p bound must not be 0.
    [[nodiscard]] std::uint64_t uniformInteger(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }

    /// \returns A value in [0, 1).
    [[nodiscard]] double uniformReal() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

    /// \returns A random (version 4) UUID in its canonical text form.
    [[nodiscard]] std::string uuid();

    /// \returns \p digits lower-case hexadecimal digits.
    [[nodiscard]] std::string hex(unsigned digits);

private:
    std::mt19937_64 m_engine;
};

/// \returns A seed from the operating system's random number generator.
[[nodiscard]] std::uint64_t systemSeed();

}
