#pragma once

#include "base/Clock.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

namespace jasminestack {

/// \returns The content of the file, or std::nullopt if the file cannot be read.
[[nodiscard]] std::optional<std::string> readFile(const std::string& path);

struct SettingsWaitOptions {
    /// A settings file that is being replaced or written is whole within milliseconds.
    Millis timeLimit { 2'000 };
    Millis interval { 50 };
};

struct SettingsText {
    std::optional<std::string> text; ///< As last read; empty if the file cannot be read.
    bool isStopRequested { false }; ///< SIGTERM or SIGINT is pending.
};

/// \brief Reads the settings of a starting service. A file that is missing, or that is no JSON document because it is
/// being written, is read again until it is whole, a stop signal is pending or the time is over.
/// \param notices Receives one line when the file is read again.
[[nodiscard]] SettingsText awaitSettingsText(
    const std::string& path, std::ostream& notices, const SettingsWaitOptions& = {});

}
