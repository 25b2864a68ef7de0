#include "cli/Commands.h"
#include "cli/Flags.h"
#include "config/RouterSettings.h"
#include "config/SettingsFile.h"
#include "observe/Logging.h"
#include "observe/ProcessEnd.h"
#include "observe/ProcessStart.h"
#include "platform/PlatformAdapter.h"

#include <absl/flags/flag.h>
#include <iostream>

namespace jasminestack {

int runRouterCommand(const std::vector<std::string>&)
{
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "jasminestack: 'router' needs --settings FILE\n";
        return exit_code::usage;
    }
    startBufferedLogging(LogLevel::Info);
    observeProcessEnd();
    logStarting(path);
    const SettingsText file = awaitSettingsText(path, std::cerr);
    if (file.isStopRequested)
        return logExit(exit_code::success, "stopped");
    if (!file.text) {
        std::cerr << "jasminestack: cannot read " << path << "\n";
        return logExit(exit_code::failure, "settings_unreadable", path);
    }
    const auto settings = parseRouterSettings(*file.text, path);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return logExit(exit_code::invalidInput, "settings_invalid", settings.error().message);
    }
    endStartStep(StartStep::Settings);
    return runRouter(
        settings.value(), platform::makePlatformAdapter(), { .path = path, .modifiedNs = file.modifiedNs });
}

}
