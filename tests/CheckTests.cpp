#include "SourceTree.h"
#include "cli/Cli.h"
#include "config/DocumentCheck.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace jasminestack;

namespace {

struct BrokenFile {
    std::string file;
    int line;
    int column;
    std::string path;
    std::string message; ///< Part of the error message.
    std::string token; ///< Text of the file at the position.
};

const std::vector<BrokenFile> brokenFiles {
    { "settings-trailing-comma", 3, 47, "callers.address", "unexpected '}'", "}," },
    { "settings-unclosed-comment", 2, 31, "daemon", "missing closing '*/'", "/* the" },
    { "settings-unknown-field", 3, 47, "callers.maxBody", "unknown field", "\"maxBody\"" },
    { "settings-missing-section", 2, 1, "log", "required field is missing", "{" },
    { "settings-host-name", 8, 38, "peers.seeds[1]", "not of the form IP:PORT", "\"entry-2" },
    { "settings-two-keys", 5, 88, "peers.fleetKeyEnv", "only one of", "\"FLEET_KEY\"" },
    { "settings-two-keys", 7, 41, "scheduling.reportIntervalMs", "5 is out of range 50 to 2000", "5," },
    { "settings-two-keys", 7, 54, "scheduling.policy", "'random' is none of fair, static, fifo", "\"random\"" },
    { "configuration-duplicate-name", 5, 9, "workspaces.guild", "the first is in line 3", "\"guild\"" },
    { "configuration-wrong-type", 2, 41, "workspaces.guild.share", "expected a number, found a string", "\"2\"" },
    { "configuration-wrong-type", 3, 14, "pools", "expected an object, found an array", "[]" },
    { "configuration-key-hash", 6, 17, "workspaces.guild.keys[1]", "64 lower-case hexadecimal digits", "\"sk-" },
    { "configuration-key-hash", 9, 32, "workspaces.harbour.keys[0]", "used by workspace 'guild'", "\"sha256:" },
    { "configuration-slots", 7, 112, "pools.assistants.endpoints.e1.slots", "0 is out of range 1 to 4096", "0 }" },
    { "configuration-slots", 8, 112, "pools.assistants.endpoints.e2.slots", "expected an integer", "4.5" },
    { "configuration-address", 6, 36, "pools.assistants.endpoints.e1.address", "not of the form", "\"10.0.0.1\"" },
    { "configuration-address", 8, 36, "pools.assistants.endpoints.e3.address", "is used by", "\"10.0.0.2:8000\"" },
    { "configuration-model-twice", 4, 59, "pools.b.models[1]", "already served by pool 'a'", "\"workshop-14b\"" },
    { "configuration-route-pool", 4, 53, "routes.booking.pool", "pool 'desk' does not exist", "\"desk\"" },
    { "configuration-route-pool", 5, 31, "routes.quotes.prefix", "must start with '/'", "\"quotes/\"" },
    { "configuration-route-pool", 5, 50, "routes.quotes.pool", "not of kind service", "\"assistants\"" },
    { "configuration-preset-workspace", 4, 44, "presets.peaks.shares.harbor", "does not exist", "\"harbor\": 1" },
    { "configuration-preset-workspace", 5, 46, "presets.maintenance.admit[1]", "does not exist", "\"harbor\" ]" },
    { "configuration-preset-name", 4, 9, "presets.holiday", "must be one of ordinary, peaks", "\"holiday\"" },
    { "configuration-preset-name", 6, 22, "presetInForce", "'peaks' is not defined", "\"peaks\"" },
    { "configuration-limits", 2, 49, "workspaces.guild.queueRequests", "0 is out of range", "0 }" },
    { "configuration-limits", 3, 29, "limits.cellSize", "0 is out of range 1 to 1024", "0," },
    { "configuration-limits", 3, 46, "limits.retryRatio", "1.5 is out of range 0 to 1", "1.5" },
    { "configuration-limits", 3, 51, "limits.crashLoses", "unknown field", "\"crashLoses\"" },
    { "mixed", 1, 1, "", "mixes fields of settings and of a configuration", "{" },
    { "neither", 2, 1, "", "neither settings", "{ \"colour\"" },
};

std::string textAtPosition(const std::string& text, int line, int column, std::size_t length)
{
    std::istringstream stream(text);
    std::string currentLine;
    for (int i = 0; i < line; ++i)
        std::getline(stream, currentLine);
    return currentLine.substr(static_cast<std::size_t>(column - 1), length);
}

}

// Guards against errors with a wrong position, path or reason, and against errors for valid parts of a file.
TEST_CASE("the errors of each broken file are reported at their positions", "[check]")
{
    std::set<std::string> files;
    for (const BrokenFile& broken : brokenFiles) {
        INFO(broken.file << ": " << broken.path);
        files.insert(broken.file);
        const auto text = readWholeFile(sourceRoot() / "tests" / "broken" / (broken.file + ".json"));
        REQUIRE(textAtPosition(text, broken.line, broken.column, broken.token.size()) == broken.token);
        JsonProblems problems;
        (void)checkDocument(text, problems);
        INFO(formatProblems(problems, broken.file));
        REQUIRE(std::any_of(problems.begin(), problems.end(), [&](const JsonProblem& problem) {
            return problem.line == broken.line && problem.column == broken.column && problem.path == broken.path
                && problem.message.find(broken.message) != std::string::npos;
        }));
        const auto expectedCount = std::count_if(brokenFiles.begin(), brokenFiles.end(),
            [&](const BrokenFile& candidate) { return candidate.file == broken.file; });
        REQUIRE(static_cast<std::ptrdiff_t>(problems.size()) == expectedCount);
    }
    for (const auto& entry : std::filesystem::directory_iterator(sourceRoot() / "tests" / "broken"))
        REQUIRE(files.contains(entry.path().stem().string()));
}
