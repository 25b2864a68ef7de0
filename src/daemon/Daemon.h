#pragma once

#include "base/Forward.h"

namespace jasminestack {

/// \brief Runs a daemon until it is told to stop.
/// \returns The process's exit code.
[[nodiscard]] int runDaemon(const Settings&);

}
