#include "cli/Cli.h"

#include "cli/Commands.h"
#include "cli/Flags.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <iostream>
#include <limits>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "file with the daemon's settings");
ABSL_FLAG(bool, summary, false, "count failures by cause instead of telling one request's story");
ABSL_FLAG(bool, json, false, "print JSON instead of a table");
ABSL_FLAG(std::string, admin, "127.0.0.1:8081", "address IP:PORT of a daemon's admin server");
ABSL_FLAG(std::string, token_file, "", "file with the operator token (else JASMINESTACK_OPERATOR_TOKEN)");
ABSL_FLAG(std::string, author, "", "who makes the change (else USER)");
ABSL_FLAG(std::int64_t, timeout_ms, 15'000, "time limit for an answer, and for resolving a lost one");
ABSL_FLAG(double, share, 0.0, "share of the workspace, greater than 0");
ABSL_FLAG(std::string, preset, "", "set the share for this preset instead of the workspace's own");
ABSL_FLAG(std::int64_t, queue_requests, 0, "queued requests a daemon holds for the workspace at most");
ABSL_FLAG(std::int64_t, queue_bytes, 0, "bytes of queued bodies a daemon holds for the workspace at most");
ABSL_FLAG(bool, add_key, false, "create a further API key and print it once");
ABSL_FLAG(std::string, remove_key, "", "remove the API key with this hash or first digits of it");
ABSL_FLAG(std::string, key_hash, "", "\"sha256:\" and the hash of an existing API key, instead of a new key");
ABSL_FLAG(std::int64_t, base, -1, "version that the file was made from (else its first line '// version N')");
ABSL_FLAG(std::string, id, "", "show only the change with this id");
ABSL_FLAG(std::int64_t, limit, 20, "changes to show at most, the latest ones");

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

    // Abseil's flag names are identifiers; on the command line they are written with dashes.
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
            std::string left = std::string(command.words) + " " + std::string(command.arguments);
            left.resize(width + 2, ' ');
            out << "  " << left << command.summary << "\n";
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
            std::string left = "--" + std::string(name);
            if (!flag->IsOfType<bool>())
                left += "=VALUE";
            left.resize(std::max<std::size_t>(left.size() + 1, 24), ' ');
            out << "  " << left << flag->Help();
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

    // Flags are set through Abseil's reflection instead of absl::ParseCommandLine, which ends the process with code 1
    // on a wrong flag and accepts the flags of all commands for each of them.
    bool parseFlags(const Command& command, const std::vector<std::string>& arguments, std::vector<std::string>& rest,
        std::string& problem)
    {
        // Repeated runs in one process start from the defaults.
        for (std::string_view name : command.flags) {
            absl::CommandLineFlag* flag = findFlag(name);
            (void)flag->ParseFrom(flag->DefaultValue(), &problem);
        }
        for (std::size_t i = 0; i < arguments.size(); ++i) {
            if (!arguments[i].starts_with("--")) {
                rest.push_back(arguments[i]);
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

    // Commands that only read need no token, but accept the flag, so that scripts can give all commands the same ones.
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
    bool countFits(const Command& command, std::size_t count)
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
        { "daemon", "", "run a daemon until it is stopped by SIGTERM", { "settings" }, runDaemonCommand },
        { "router", "", "run a router on a deployment's store until it is stopped by SIGTERM", { "settings" },
            runRouterCommand },
        { "explain", "[ID] [FILE...]", "print a request's story out of routers' logs (standard input without files)",
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
        { "config publish", "FILE", "put the configuration of the file in force", withChangeFlags({ "base" }),
            runConfigPublish },
        { "config history", "", "list the latest changes with their outcomes", withReadFlags({ "id", "limit" }),
            runConfigHistory },
        { "endpoint list", "", "list the endpoints as the daemon sees them", withReadFlags({}), runEndpointList },
        { "status", "", "show daemons, pools, workspaces, service gap and cells", withReadFlags({}), runStatus },
    };
    return list;
}

int runCommandLine(int argumentCount, char** arguments)
{
    const std::vector<std::string> all(arguments + std::min(argumentCount, 1), arguments + argumentCount);
    const bool help = std::find(all.begin(), all.end(), "--help") != all.end();
    const Command* found = nullptr;
    std::size_t consumed = 0;
    for (const Command& command : commands()) {
        const auto words = splitWords(command.words);
        if (words.size() <= all.size() && std::equal(words.begin(), words.end(), all.begin())) {
            found = &command;
            consumed = words.size();
        }
    }
    if (!found) {
        if (help || (!all.empty() && all.front() == "help")) {
            printOverview(std::cout);
            return exit_code::success;
        }
        if (all.empty()) {
            printOverview(std::cerr);
            return exit_code::usage;
        }
        return usageError("there is no command '" + all.front() + (all.size() > 1 ? " " + all[1] : "") + "'");
    }
    if (help) {
        printHelp(*found, std::cout);
        return exit_code::success;
    }
    std::vector<std::string> positional;
    std::string problem;
    if (!parseFlags(*found, { all.begin() + static_cast<std::ptrdiff_t>(consumed), all.end() }, positional, problem))
        return usageError(problem);
    if (!countFits(*found, positional.size()))
        return usageError("'" + std::string(found->words) + "' takes "
            + (found->arguments.empty() ? "no arguments" : "the arguments " + std::string(found->arguments)));
    return found->run(positional);
}

}
