#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jasminestack {

/// \brief A point in time or a duration, in milliseconds.
///
/// \code
/// Millis deadline = clock.now() + Millis { 500 };
/// \endcode
struct Millis {
    std::int64_t count { 0 };

    [[nodiscard]] friend constexpr auto operator<=>(Millis, Millis) noexcept = default;
    [[nodiscard]] friend constexpr Millis operator+(Millis left, Millis right) noexcept
    {
        return { left.count + right.count };
    }
    [[nodiscard]] friend constexpr Millis operator-(Millis left, Millis right) noexcept
    {
        return { left.count - right.count };
    }
    constexpr Millis& operator+=(Millis other) noexcept
    {
        count += other.count;
        return *this;
    }

    /// \returns The value in seconds.
    [[nodiscard]] constexpr double seconds() const noexcept { return static_cast<double>(count) / 1000.0; }
};

/// \returns The duration in seconds with three decimals, as used in HTTP headers.
[[nodiscard]] std::string formatSeconds(Millis duration);

/// \brief Source of time. The daemon uses SystemClock, tests use FakeClock.
class Clock {
public:
    virtual ~Clock() = default;

    /// \returns Monotonic time since an arbitrary origin. It also advances while the process is stopped or the host is
    /// suspended.
    [[nodiscard]] virtual Millis now() const noexcept = 0;

    /// \returns Milliseconds since the Unix epoch. May jump; used for records and trace spans, never for timeouts or
    /// deadlines.
    [[nodiscard]] virtual Millis wallTime() const noexcept = 0;
};

/// \brief The clocks of the operating system.
class SystemClock final : public Clock {
public:
    [[nodiscard]] Millis now() const noexcept override;
    [[nodiscard]] Millis wallTime() const noexcept override;
};

/// \brief A clock for tests; its time changes only by advance().
class FakeClock final : public Clock {
public:
    [[nodiscard]] Millis now() const noexcept override { return m_now; }
    [[nodiscard]] Millis wallTime() const noexcept override { return m_wallOrigin + m_now; }

    /// \brief Moves the time forward by \p step.
    void advance(Millis step) noexcept { m_now += step; }

private:
    Millis m_now { 1'000 };
    Millis m_wallOrigin { 1'700'000'000'000 };
};

}
