#pragma once

#include "cli/Commands.h"
#include "cli/Flags.h"
#include "config/SettingsFile.h"
#include "observe/ProcessEnd.h"
#include "observe/ProcessStart.h"

#include <absl/flags/flag.h>
#include <iostream>

/// \file
/// \brief What the commands that run a service have in common.

namespace jasminestack {

/// \brief Reads the settings of the flag --settings and runs a service with them.
/// \param defaultPath Path of the settings without the flag; if empty, the flag is required.
/// \param startLog Starts logging.
/// \param parse Returns the settings, or their errors, from a text and the path that errors name.
/// \param run Runs the service with the settings and the SettingsFile, and returns its exit code.
/// \returns The process's exit code.
template <typename StartLog, typename Parse, typename Run>
[[nodiscard]] int runServiceCommand(std::string_view command, std::string_view defaultPath, const StartLog& startLog,
    const Parse& parse, const Run& run)
{
    std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
        path = defaultPath;
    if (path.empty()) {
        std::cerr << "jasminestack: '" << command << "' needs --settings FILE\n";
        return exit_code::usage;
    }
    startLog();
    observeProcessEnd();
    logStarting(path);
    const SettingsText file = awaitSettingsText(path, std::cerr);
    if (file.isStopRequested)
        return logExit(exit_code::success, "stopped");
    if (!file.text) {
        std::cerr << "jasminestack: cannot read " << path << "\n";
        return logExit(exit_code::failure, "settings_unreadable", path);
    }
    const auto settings = parse(*file.text, path);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return logExit(exit_code::invalidInput, "settings_invalid", settings.error().message);
    }
    endStartStep(StartStep::Settings);
    return run(settings.value(), SettingsFile { .path = path, .modifiedNs = file.modifiedNs });
}

}
