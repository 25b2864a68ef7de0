#pragma once

#include "base/Clock.h"

#include <optional>

namespace jasminestack {

/// \brief Decides when the use of a limited resource is worth a warning: when it passes highFraction of the limit, and
/// then at most every repeatInterval until it has fallen below lowFraction.
struct Watermark {
    static constexpr double highFraction = 0.8;
    static constexpr double lowFraction = 0.7;
    static constexpr Millis repeatInterval { 10'000 };

    bool isHigh { false };
    std::optional<Millis> lastWarningAt;
};

/// \brief Records that \p used of \p limit are in use; a limit of 0 is none.
/// \returns Whether to warn now.
[[nodiscard]] inline bool updateWatermark(Watermark& watermark, double used, double limit, Millis now)
{
    if (limit <= 0)
        return false;
    watermark.isHigh = used >= limit * (watermark.isHigh ? Watermark::lowFraction : Watermark::highFraction);
    if (!watermark.isHigh)
        return false;
    if (watermark.lastWarningAt && now - *watermark.lastWarningAt < Watermark::repeatInterval)
        return false;
    watermark.lastWarningAt = now;
    return true;
}

}
