#include "base/Clock.h"

#include <chrono>
#include <ctime>

namespace jasminestack {

Millis SystemClock::now() const noexcept
{
    // CLOCK_BOOTTIME also counts while the host is suspended, so a lease cannot outlive a suspend unnoticed.
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
