#include "CommandLine.h"
#include "SourceTree.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace jasminestack;

TEST_CASE("check prints each error with its position and exits with code 3", "[cli]")
{
    const auto file = (sourceRoot() / "tests/broken/configuration-model-twice.json").string();
    const auto text = runCommand({ "check", file });
    REQUIRE(text.exitCode == 3);
    REQUIRE(text.output == file + ":4:59: pools.b.models[1]: model 'workshop-14b' is already served by pool 'a'\n");
    const auto json = runCommand({ "check", file, "--json" });
    REQUIRE(json.exitCode == 3);
    const auto parsed = nlohmann::json::parse(json.output);
    REQUIRE(parsed["kind"] == "configuration");
    REQUIRE(parsed["errors"][0]["line"] == 4);
    REQUIRE(runCommand({ "check", "/nonexistent/file" }).exitCode == 1);
}

// Guards against scripts that cannot distinguish a mistyped command or flag from a success or another failure.
TEST_CASE("invalid usage exits with code 2", "[cli]")
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
