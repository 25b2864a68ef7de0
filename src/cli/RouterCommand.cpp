#include "cli/ServiceCommand.h"
#include "config/RouterSettings.h"
#include "observe/Logging.h"
#include "platform/PlatformAdapter.h"
#include "platform/SettingsLocation.h"

namespace jasminestack {

int runRouterCommand(const std::vector<std::string>&)
{
    return runServiceCommand(
        "router", platform::settingsPath(), [] { startBufferedLogging(LogLevel::Info); }, parseRouterSettings,
        [](const RouterSettings& settings, SettingsFile file) {
            return runRouter(settings, platform::makePlatformAdapter(), std::move(file));
        });
}

}
