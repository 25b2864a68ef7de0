#include "base/Clock.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace jasminestack {

std::string formatSeconds(Millis duration)
{
    std::array<char, 32> text {};
    int length = std::snprintf(text.data(), text.size(), "%.3f", duration.seconds());
    return { text.data(), static_cast<std::size_t>(length) };
}

Millis SystemClock::now() const noexcept
{
    // CLOCK_BOOTTIME also counts while the host is suspended, so a lease that expired during a suspend is detected.
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return { static_cast<std::int64_t>(value.tv_sec) * 1000 + value.tv_nsec / 1'000'000 };
}

Millis SystemClock::wallTime() const noexcept
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
}

}
