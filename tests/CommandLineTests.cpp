#include "CommandLine.h"
#include "SourceTree.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace jasminestack;

TEST_CASE("check prints each error with its place and ends with code 3", "[cli]")
{
    const auto file = (sourceRoot() / "tests/broken/configuration-model-twice.json").string();
    const auto table = runCommand({ "check", file });
    REQUIRE(table.exitCode == 3);
    REQUIRE(table.output == file + ":4:59: pools.b.models[1]: model 'workshop-14b' is already served by pool 'a'\n");
    const auto json = runCommand({ "check", file, "--json" });
    REQUIRE(json.exitCode == 3);
    const auto parsed = nlohmann::json::parse(json.output);
    REQUIRE(parsed["kind"] == "configuration");
    REQUIRE(parsed["errors"][0]["line"] == 4);
    REQUIRE(runCommand({ "check", "/nonexistent/file" }).exitCode == 1);
}

// Guards against scripts that take a mistyped command or flag for a success or for another kind of failure.
TEST_CASE("wrong usage ends with code 2", "[cli]")
{
    REQUIRE(runCommand({}).exitCode == 2);
    REQUIRE(runCommand({ "chekc", "x" }).exitCode == 2);
    REQUIRE(runCommand({ "check" }).exitCode == 2);
    REQUIRE(runCommand({ "check", "a", "b" }).exitCode == 2);
    REQUIRE(runCommand({ "check", "a", "--settings", "x" }).exitCode == 2);
    REQUIRE(runCommand({ "check", "a", "--json=maybe" }).exitCode == 2);
    REQUIRE(runCommand({ "daemon", "--settings" }).exitCode == 2);
    REQUIRE(runCommand({ "daemon", "--settings=" }).exitCode == 2);
}

TEST_CASE("help is printed for the program and for each command", "[cli]")
{
    const auto overview = runCommand({ "--help" });
    REQUIRE(overview.exitCode == 0);
    REQUIRE(overview.output.find("check FILE") != std::string::npos);
    const auto help = runCommand({ "daemon", "--help" });
    REQUIRE(help.exitCode == 0);
    REQUIRE(help.output.find("--settings=VALUE") != std::string::npos);
}
