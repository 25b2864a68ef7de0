#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminestack {

/// \returns Memory of the host in bytes; 0 if the system does not tell.
[[nodiscard]] std::size_t systemMemoryBytes();

/// \brief Reads the start time of a process, in clock ticks since the host's start, from the text of its
/// `/proc/PID/stat`.
/// \returns Empty if the text has another form.
[[nodiscard]] std::optional<std::uint64_t> parseStartTicks(std::string_view stat);

/// \returns Time since this process was created, to 10 ms; empty if the system does not tell.
[[nodiscard]] std::optional<Millis> processAge();

}
