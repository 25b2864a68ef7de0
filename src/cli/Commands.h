#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

/// \brief Exit codes of the command line.
namespace exit_code {
    constexpr int success = 0;
    constexpr int failure = 1;
    constexpr int usage = 2;
    constexpr int invalidInput = 3;
    constexpr int conflict = 4;
    constexpr int unreachable = 5;
    constexpr int outcomeUnknown = 6;
}

/// \brief One subcommand of the command line.
struct Command {
    std::string_view words; ///< For example "workspace create".
    std::string_view arguments; ///< Positional arguments for the help text; a word in brackets is optional, any other
                                ///< word is required.
    std::string_view summary;
    std::vector<std::string_view> flags; ///< Names of the accepted flags, as on the command line.
    int (*run)(const std::vector<std::string>& arguments);
    bool runsService { false }; ///< Handles the signals of its life cycle itself; other commands are interruptible.
};

/// \returns All subcommands in the order of the help text.
[[nodiscard]] const std::vector<Command>& commands();

/// \brief Determines by its fields whether a file is settings or a configuration and prints every error.
[[nodiscard]] int runCheck(const std::vector<std::string>& arguments);

/// \brief Commands that use the admin server at the address given by --admin.
[[nodiscard]] int runWorkspaceCreate(const std::vector<std::string>& arguments);
[[nodiscard]] int runWorkspaceList(const std::vector<std::string>& arguments);
[[nodiscard]] int runWorkspaceSet(const std::vector<std::string>& arguments);
[[nodiscard]] int runWorkspaceRemove(const std::vector<std::string>& arguments);
[[nodiscard]] int runPresetShow(const std::vector<std::string>& arguments);
[[nodiscard]] int runPresetUse(const std::vector<std::string>& arguments);
[[nodiscard]] int runConfigShow(const std::vector<std::string>& arguments);
[[nodiscard]] int runConfigDiff(const std::vector<std::string>& arguments);
[[nodiscard]] int runConfigPublish(const std::vector<std::string>& arguments);
[[nodiscard]] int runConfigHistory(const std::vector<std::string>& arguments);
[[nodiscard]] int runEndpointList(const std::vector<std::string>& arguments);
[[nodiscard]] int runStatus(const std::vector<std::string>& arguments);

/// \brief Runs a daemon with the settings file given by --settings.
[[nodiscard]] int runDaemonCommand(const std::vector<std::string>& arguments);

/// \brief Prints the lines of a request from daemons' logs, or counts failures by cause (--summary).
[[nodiscard]] int runExplain(const std::vector<std::string>& arguments);

/// \brief Runs a router daemon that uses the platform's store, with the settings file given by --settings.
[[nodiscard]] int runRouterCommand(const std::vector<std::string>& arguments);

}
