#include "cli/ServiceCommand.h"
#include "config/DaemonSettings.h"
#include "daemon/Daemon.h"
#include "observe/Logging.h"

namespace jasminestack {

int runDaemonCommand(const std::vector<std::string>&)
{
    return runServiceCommand(
        "daemon", "", [] { startLogging(LogLevel::Info); }, parseDaemonSettings,
        [](const DaemonSettings& settings, SettingsFile file) { return runDaemon(settings, std::move(file)); });
}

}
