#include "cli/Commands.h"
#include "cli/Flags.h"
#include "config/Configuration.h"
#include "config/Settings.h"
#include "daemon/Daemon.h"

#include <absl/flags/flag.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

namespace jasminestack {

namespace {

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream stream(path, std::ios::binary);
        if (!stream)
            return std::nullopt;
        std::string text { std::istreambuf_iterator<char>(stream), {} };
        if (stream.bad())
            return std::nullopt;
        return text;
    }

    bool hasAny(const JsonNode& root, std::initializer_list<std::string_view> names)
    {
        for (std::string_view name : names) {
            if (root.find(name))
                return true;
        }
        return false;
    }

    // Settings and configurations have no field in common, so that one known field is enough to tell them apart.
    std::string_view recognise(const JsonNode& root, JsonProblems& problems)
    {
        const bool settings
            = hasAny(root, { "daemon", "callers", "admin", "peers", "log", "hostList", "weightStore", "logging" });
        const bool configuration = hasAny(root, { "workspaces", "pools", "routes", "presets", "presetInForce" });
        if (settings == configuration) {
            problems.push_back({ root.line, root.column, "",
                settings ? "mixes fields of settings and of a configuration"
                         : "is neither settings (daemon, callers, peers, ...) nor a configuration (workspaces, "
                           "pools, ...)" });
            return "unknown";
        }
        if (settings) {
            (void)readSettings(root, problems);
            return "settings";
        }
        (void)readConfiguration(root, problems);
        return "configuration";
    }

}

int runCheck(const std::vector<std::string>& arguments)
{
    const std::string& file = arguments.front();
    const auto text = readFile(file);
    if (!text) {
        std::cerr << "jasminestack: cannot read " << file << "\n";
        return exit_code::failure;
    }
    JsonProblems problems;
    const JsonNode root = parseJson(*text, problems);
    std::string_view kind = "unknown";
    if (problems.empty())
        kind = recognise(root, problems);
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
    const auto text = readFile(path);
    if (!text) {
        std::cerr << "jasminestack: cannot read " << path << "\n";
        return exit_code::failure;
    }
    const auto settings = parseSettings(*text, path);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return exit_code::invalidInput;
    }
    return runDaemon(settings.value());
}

}
