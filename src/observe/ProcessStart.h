#pragma once

#include "observe/Logging.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace jasminestack {

/// \brief Steps of the start of a router or daemon, in their order.
enum class StartStep : std::uint8_t {
    Settings, ///< Reading the settings file.
    Construction, ///< Creating the parts of the process.
    Addresses, ///< Binding the addresses.
};

/// \brief Logs `starting` with the process's number, the settings file and the limits that the system sets, and begins
/// to time the steps of the start. Call it once, right after logging was started.
void logStarting(std::string_view settingsPath);

/// \brief Ends \p step; the next one begins.
void endStartStep(StartStep step);

/// \brief Logs `started` with \p fields, the time that each step took, and the time since the process was created, if
/// the system tells it.
void logStarted(std::initializer_list<LogField> fields);

}
