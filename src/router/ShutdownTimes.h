#pragma once

#include "base/Clock.h"

namespace jasminestack {

/// \brief Steps of a graceful shutdown, each as the time since the stop request.
struct ShutdownTimes {
    Millis refusal; ///< From then on requests are refused and idle connections closed.
    Millis finalAnswers; ///< Requests still in progress get their final answers.
    Millis exit; ///< The process ends, whatever is in progress.
};

/// \param grace Time from the stop request until the platform kills the process.
/// \returns The steps; none is negative or later than \p grace.
[[nodiscard]] ShutdownTimes shutdownTimes(Millis grace) noexcept;

}
