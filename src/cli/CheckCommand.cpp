#include "cli/Commands.h"
#include "cli/Flags.h"
#include "config/DaemonSettings.h"
#include "config/DocumentCheck.h"
#include "config/SettingsFile.h"
#include "daemon/Daemon.h"
#include "observe/Logging.h"
#include "observe/ProcessEnd.h"
#include "observe/ProcessStart.h"

#include <absl/flags/flag.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace jasminestack {

int runCheck(const std::vector<std::string>& arguments)
{
    const std::string& file = arguments.front();
    const auto text = readFile(file);
    if (!text) {
        std::cerr << "jasminestack: cannot read " << file << "\n";
        return exit_code::failure;
    }
    JsonProblems problems;
    const std::string_view kind = toString(checkDocument(*text, problems));
    if (absl::GetFlag(FLAGS_json)) {
        nlohmann::json list = nlohmann::json::array();
        for (const JsonProblem& problem : problems)
            list.push_back({ { "line", problem.line }, { "column", problem.column }, { "path", problem.path },
                { "message", problem.message } });
        std::cout << nlohmann::json { { "file", file }, { "kind", kind }, { "errors", std::move(list) } }.dump(2)
                  << "\n";
    } else if (problems.empty()) {
        std::cout << file << ": valid " << kind << "\n";
    } else {
        std::cout << formatProblems(problems, file) << "\n";
    }
    return problems.empty() ? exit_code::success : exit_code::invalidInput;
}

int runDaemonCommand(const std::vector<std::string>&)
{
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "jasminestack: 'daemon' needs --settings FILE\n";
        return exit_code::usage;
    }
    startLogging(LogLevel::Info);
    observeProcessEnd();
    logStarting(path);
    const SettingsText file = awaitSettingsText(path, std::cerr);
    if (file.isStopRequested)
        return logExit(exit_code::success, "stopped");
    if (!file.text) {
        std::cerr << "jasminestack: cannot read " << path << "\n";
        return logExit(exit_code::failure, "settings_unreadable", path);
    }
    const auto settings = parseDaemonSettings(*file.text, path);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return logExit(exit_code::invalidInput, "settings_invalid", settings.error().message);
    }
    endStartStep(StartStep::Settings);
    return runDaemon(settings.value(), { .path = path, .modifiedNs = file.modifiedNs });
}

}
