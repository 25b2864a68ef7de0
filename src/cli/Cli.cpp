#include "cli/Cli.h"

#include "base/LifecycleSignals.h"
#include "cli/Commands.h"
#include "cli/Flags.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <iostream>
#include <limits>
#include <sstream>

ABSL_FLAG(std::string, settings, "",
    "file with the service's settings (default of a router: the file that its platform names in the environment)");
ABSL_FLAG(bool, summary, false, "count failures by cause instead of printing the log lines of one request");
ABSL_FLAG(bool, json, false, "print JSON instead of a table");
ABSL_FLAG(std::string, admin, "127.0.0.1:8081", "address IP:PORT of a daemon's admin server");
ABSL_FLAG(std::string, token_file, "",
    "file with the operator token (default: the environment variable JASMINESTACK_OPERATOR_TOKEN)");
ABSL_FLAG(std::string, author, "", "author of the change (default: the environment variable USER)");
ABSL_FLAG(std::int64_t, timeout_ms, 15'000,
    "timeout in milliseconds for a response, and for looking up the outcome after a lost response");
ABSL_FLAG(double, share, 0.0, "share of the workspace, greater than 0");
ABSL_FLAG(std::string, preset, "", "set the share in this preset instead of the share of the workspace");
ABSL_FLAG(std::int64_t, queue_requests, 0, "maximum number of queued requests of the workspace per daemon");
ABSL_FLAG(std::int64_t, queue_bytes, 0, "maximum size of the queued bodies of the workspace per daemon, in bytes");
ABSL_FLAG(bool, add_key, false, "create an additional API key and print it once");
ABSL_FLAG(
    std::string, remove_key, "", "remove the API key with this hash or with a hash that starts with these digits");
ABSL_FLAG(std::string, key_hash, "", "\"sha256:\" and the hash of an existing API key, instead of creating a key");
ABSL_FLAG(std::int64_t, base, -1, "version on which the file is based (default: the file's first line '// version N')");
ABSL_FLAG(std::string, id, "", "show only the change with this id");
ABSL_FLAG(std::int64_t, limit, 20, "maximum number of changes to show, the latest ones");

namespace jasminestack {

namespace {

    std::vector<std::string> splitWords(std::string_view text)
    {
        std::istringstream stream { std::string(text) };
        std::vector<std::string> words;
        for (std::string word; stream >> word;)
            words.push_back(word);
        return words;
    }

    // Abseil's flag names contain underscores, which the command line writes as dashes.
    absl::CommandLineFlag* findFlag(std::string_view name)
    {
        std::string identifier(name);
        std::replace(identifier.begin(), identifier.end(), '-', '_');
        return absl::FindCommandLineFlag(identifier);
    }

    void printOverview(std::ostream& out)
    {
        out << "usage: jasminestack COMMAND [ARGUMENTS] [--FLAGS]\n\ncommands:\n";
        std::size_t width = 0;
        for (const Command& command : commands())
            width = std::max(width, command.words.size() + 1 + command.arguments.size());
        for (const Command& command : commands()) {
            std::string leftColumn = std::string(command.words) + " " + std::string(command.arguments);
            leftColumn.resize(width + 2, ' ');
            out << "  " << leftColumn << command.summary << "\n";
        }
        out << "\n'jasminestack COMMAND --help' describes a command's flags.\n"
               "exit codes: 0 success, 1 failure, 2 usage, 3 invalid input, 4 conflict, 5 unreachable, 6 outcome "
               "unknown\n";
    }

    void printHelp(const Command& command, std::ostream& out)
    {
        out << "usage: jasminestack " << command.words << (command.arguments.empty() ? "" : " ") << command.arguments
            << (command.flags.empty() ? "" : " [--FLAGS]") << "\n\n"
            << command.summary << "\n";
        if (!command.flags.empty())
            out << "\nflags:\n";
        for (std::string_view name : command.flags) {
            const absl::CommandLineFlag* flag = findFlag(name);
            std::string leftColumn = "--" + std::string(name);
            if (!flag->IsOfType<bool>())
                leftColumn += "=VALUE";
            leftColumn.resize(std::max<std::size_t>(leftColumn.size() + 1, 24), ' ');
            out << "  " << leftColumn << flag->Help();
            if (!flag->IsOfType<bool>() && !flag->DefaultValue().empty())
                out << " (default " << flag->DefaultValue() << ")";
            out << "\n";
        }
    }

    int usageError(const std::string& message)
    {
        std::cerr << "jasminestack: " << message << "; see 'jasminestack --help'\n";
        return exit_code::usage;
    }

    // Sets flags through Abseil's reflection: absl::ParseCommandLine ends the process with code 1 on an invalid flag
    // and accepts the flags of all commands for each command.
    bool parseFlags(const Command& command, const std::vector<std::string>& arguments,
        std::vector<std::string>& positional, std::string& problem)
    {
        // Resets the flags to their defaults, since one process may run several commands.
        for (std::string_view name : command.flags) {
            absl::CommandLineFlag* flag = findFlag(name);
            (void)flag->ParseFrom(flag->DefaultValue(), &problem);
        }
        for (std::size_t i = 0; i < arguments.size(); ++i) {
            if (!arguments[i].starts_with("--")) {
                positional.push_back(arguments[i]);
                continue;
            }
            std::string name = arguments[i].substr(2);
            std::string value;
            const auto equals = name.find('=');
            const bool hasValue = equals != std::string::npos;
            if (hasValue) {
                value = name.substr(equals + 1);
                name.resize(equals);
            }
            absl::CommandLineFlag* flag = nullptr;
            if (std::find(command.flags.begin(), command.flags.end(), name) != command.flags.end())
                flag = findFlag(name);
            if (!flag) {
                problem = "'" + std::string(command.words) + "' has no flag --" + name;
                return false;
            }
            if (!hasValue && flag->IsOfType<bool>()) {
                value = "true";
            } else if (!hasValue) {
                if (++i == arguments.size()) {
                    problem = "flag --" + name + " needs a value";
                    return false;
                }
                value = arguments[i];
            }
            std::string reason;
            if (!flag->ParseFrom(value, &reason)) {
                problem = "flag --" + name + ": " + (reason.empty() ? "'" + value + "' is not valid" : reason);
                return false;
            }
        }
        return true;
    }

    // Read commands need no operator token, but accept --token-file, so that scripts can pass the same flags to all
    // commands.
    std::vector<std::string_view> withReadFlags(std::vector<std::string_view> flags)
    {
        flags.insert(flags.end(), { "admin", "token-file", "timeout-ms", "json" });
        return flags;
    }

    std::vector<std::string_view> withChangeFlags(std::vector<std::string_view> flags)
    {
        flags.emplace_back("author");
        return withReadFlags(std::move(flags));
    }

    // Checks the number of positional arguments against the command's help text.
    bool acceptsArgumentCount(const Command& command, std::size_t count)
    {
        std::size_t required = 0;
        std::size_t allowed = 0;
        for (const std::string& word : splitWords(command.arguments)) {
            allowed = word.ends_with("...]") ? std::numeric_limits<std::size_t>::max() : allowed + 1;
            required += word.front() == '[' ? 0 : 1;
        }
        return count >= required && count <= allowed;
    }

}

const std::vector<Command>& commands()
{
    static const std::vector<Command> list {
        { "daemon", "", "run a daemon until it is stopped by SIGTERM", { "settings" }, runDaemonCommand, true },
        { "router", "", "run a router with the store of a deployment until it is stopped by SIGTERM", { "settings" },
            runRouterCommand, true },
        { "explain", "[ID] [FILE...]", "print the lines of a request from routers' logs (default: standard input)",
            { "summary" }, runExplain },
        { "check", "FILE", "check settings or a configuration and print every error", { "json" }, runCheck },
        { "workspace create", "ID", "create a workspace and print its API key once",
            withChangeFlags({ "share", "queue-requests", "queue-bytes", "key-hash" }), runWorkspaceCreate },
        { "workspace list", "", "list the workspaces with their shares in force", withReadFlags({}), runWorkspaceList },
        { "workspace set", "ID", "change a workspace's share, limits or API keys",
            withChangeFlags({ "share", "preset", "queue-requests", "queue-bytes", "add-key", "remove-key" }),
            runWorkspaceSet },
        { "workspace remove", "ID", "remove a workspace", withChangeFlags({}), runWorkspaceRemove },
        { "preset show", "[NAME]", "show the presets, or the shares and limits of one", withReadFlags({}),
            runPresetShow },
        { "preset use", "NAME", "put a preset in force", withChangeFlags({}), runPresetUse },
        { "config show", "", "print the configuration in force", withReadFlags({}), runConfigShow },
        { "config diff", "FILE", "print the merge patch from the configuration in force to the file", withReadFlags({}),
            runConfigDiff },
        { "config publish", "FILE", "publish the configuration in the file", withChangeFlags({ "base" }),
            runConfigPublish },
        { "config history", "", "list the latest changes with their outcomes", withReadFlags({ "id", "limit" }),
            runConfigHistory },
        { "endpoint list", "", "list the endpoints with their state in the daemon's view", withReadFlags({}),
            runEndpointList },
        { "status", "", "show daemons, pools, workspaces, service gap and cells", withReadFlags({}), runStatus },
    };
    return list;
}

int runCommandLine(int argumentCount, char** arguments)
{
    const std::vector<std::string> commandLine(arguments + std::min(argumentCount, 1), arguments + argumentCount);
    const bool isHelpRequested = std::find(commandLine.begin(), commandLine.end(), "--help") != commandLine.end();
    const Command* matched = nullptr;
    std::size_t commandWordCount = 0;
    for (const Command& command : commands()) {
        const auto words = splitWords(command.words);
        if (words.size() <= commandLine.size() && std::equal(words.begin(), words.end(), commandLine.begin())) {
            matched = &command;
            commandWordCount = words.size();
        }
    }
    if (!matched) {
        if (isHelpRequested || (!commandLine.empty() && commandLine.front() == "help")) {
            printOverview(std::cout);
            return exit_code::success;
        }
        if (commandLine.empty()) {
            printOverview(std::cerr);
            return exit_code::usage;
        }
        return usageError(
            "there is no command '" + commandLine.front() + (commandLine.size() > 1 ? " " + commandLine[1] : "") + "'");
    }
    if (isHelpRequested) {
        printHelp(*matched, std::cout);
        return exit_code::success;
    }
    std::vector<std::string> positional;
    std::string problem;
    if (!parseFlags(*matched,
            { commandLine.begin() + static_cast<std::ptrdiff_t>(commandWordCount), commandLine.end() }, positional,
            problem))
        return usageError(problem);
    if (!acceptsArgumentCount(*matched, positional.size()))
        return usageError("'" + std::string(matched->words) + "' takes "
            + (matched->arguments.empty() ? "no arguments" : "the arguments " + std::string(matched->arguments)));
    if (!matched->runsService)
        restoreSignalMask();
    return matched->run(positional);
}

}
