#include "SourceTree.h"
#include "base/Error.h"
#include "config/Configuration.h"
#include "config/DaemonSettings.h"
#include "config/DocumentCheck.h"

#include <catch2/catch.hpp>
#include <set>

using namespace jasminestack;

// Guards against examples that no longer match what the parser accepts.
TEST_CASE("all example files are valid", "[examples]")
{
    unsigned settings = 0;
    unsigned configurations = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(sourceRoot() / "examples")) {
        // The stand-ins read their own format.
        if (entry.path().extension() != ".json" || entry.path().filename() == "standins.json")
            continue;
        JsonProblems problems;
        const DocumentKind kind = checkDocument(readWholeFile(entry.path()), problems);
        INFO(formatProblems(problems, entry.path().string()));
        REQUIRE(problems.empty());
        settings += kind == DocumentKind::DaemonSettings ? 1 : 0;
        configurations += kind == DocumentKind::Configuration ? 1 : 0;
    }
    REQUIRE(settings == 5);
    REQUIRE(configurations == 3);
}

TEST_CASE("the deployments' examples have the sizes of the design", "[examples]")
{
    for (const char* folder : { "kilic", "aftan" }) {
        const auto path = sourceRoot() / "examples" / folder / "configuration.json";
        const std::string text = readWholeFile(path);
        for (const char* preset : { "ordinary", "peaks", "maintenance" }) {
            std::string document = text;
            const std::string inForce = "\"presetInForce\": \"ordinary\"";
            document.replace(
                document.find(inForce), inForce.size(), "\"presetInForce\": \"" + std::string(preset) + "\"");
            const auto parsed = parseConfiguration(document, path.string());
            REQUIRE(parsed);
            REQUIRE(parsed.value().workspaces.size() == 16);
            std::multiset<std::size_t> sizes;
            std::set<std::string> zones;
            for (const auto& [id, pool] : parsed.value().pools) {
                sizes.insert(pool.endpoints.size());
                for (const auto& [endpointId, endpoint] : pool.endpoints)
                    zones.insert(endpoint.availabilityZone);
            }
            REQUIRE(sizes == std::multiset<std::size_t> { 3, 20 });
            REQUIRE(zones.size() == 3);
        }
    }
}

// Guards against error kinds that callers or operators meet without a word about what to do.
TEST_CASE("the guides describe every error kind that is answered over HTTP", "[examples]")
{
    const std::string guides = readWholeFile(sourceRoot() / "docs" / "callers-guide.md")
        + readWholeFile(sourceRoot() / "docs" / "operators-guide.md");
    for (const ErrorResponse& answer : errorTable()) {
        // These are never sent: the caller has gone, messages between daemons, and errors of files.
        if (answer.kind == ErrorKind::CallerGone || answer.kind == ErrorKind::PeerMessageRejected
            || answer.kind == ErrorKind::SettingsInvalid)
            continue;
        INFO(answer.name);
        REQUIRE(guides.find("`" + std::string(answer.name) + "`") != std::string::npos);
    }
}
