#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

namespace jasminestack {

/// \returns The content of the file, or std::nullopt if the file cannot be read.
[[nodiscard]] std::optional<std::string> readFile(const std::string& path);

/// \brief A settings file and what a service has read of it.
struct SettingsFile {
    std::string path; ///< Empty: not watched.
    std::int64_t modifiedNs { 0 }; ///< Modification time before the last read, in nanoseconds; 0: unknown.
    bool isRetryDue { false }; ///< The last read failed: the file may have been read while it was written.
    std::string lastFailure;
};

/// \returns Whether the settings are to be read again: after a signal, a change of the file, or a failure. Counts as
/// the read of this change.
[[nodiscard]] bool takeReload(SettingsFile&, bool isSignalled);

/// \brief Records that the file could not be used, so that it is read again later.
/// \returns Whether the failure differs from the one before.
bool recordReloadFailure(SettingsFile&, std::string_view message);

/// \brief Records that the settings of the file are in use.
void recordReload(SettingsFile&);

struct SettingsWaitOptions {
    /// A settings file that is being replaced or written is whole within milliseconds.
    Millis timeLimit { 2'000 };
    Millis interval { 50 };
};

struct SettingsText {
    std::optional<std::string> text; ///< As last read; empty if the file cannot be read.
    std::int64_t modifiedNs { 0 }; ///< Modification time of the file before it was read, in nanoseconds.
    bool isStopRequested { false }; ///< SIGTERM or SIGINT is pending.
};

/// \brief Reads the settings of a starting service. A file that is missing, or that is no JSON document because it is
/// being written, is read again until it is whole, a stop signal is pending or the time is over.
/// \param notices Receives one line when the file is read again.
[[nodiscard]] SettingsText awaitSettingsText(
    const std::string& path, std::ostream& notices, const SettingsWaitOptions& = {});

}
