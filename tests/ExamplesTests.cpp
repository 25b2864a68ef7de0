#include "SourceTree.h"
#include "base/Error.h"
#include "config/Configuration.h"
#include "config/DaemonSettings.h"
#include "config/DocumentCheck.h"

#include <catch2/catch.hpp>
#include <set>

using namespace jasminestack;

// Guards against example files that the parser no longer accepts.
TEST_CASE("all example files are valid", "[examples]")
{
    unsigned settingsCount = 0;
    unsigned configurationCount = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(sourceRoot() / "examples")) {
        // The file of the stand-ins has another format.
        if (entry.path().extension() != ".json" || entry.path().filename() == "standins.json")
            continue;
        JsonProblems problems;
        const DocumentKind kind = checkDocument(readWholeFile(entry.path()), problems);
        INFO(formatProblems(problems, entry.path().string()));
        REQUIRE(problems.empty());
        settingsCount += kind == DocumentKind::DaemonSettings ? 1 : 0;
        configurationCount += kind == DocumentKind::Configuration ? 1 : 0;
    }
    REQUIRE(settingsCount == 5);
    REQUIRE(configurationCount == 3);
}

TEST_CASE("the example of each deployment has the size of the design", "[examples]")
{
    for (const char* deployment : { "kilic", "aftan" }) {
        const auto path = sourceRoot() / "examples" / deployment / "configuration.json";
        const std::string text = readWholeFile(path);
        for (const char* preset : { "ordinary", "peaks", "maintenance" }) {
            std::string document = text;
            const std::string presetField = "\"presetInForce\": \"ordinary\"";
            document.replace(
                document.find(presetField), presetField.size(), "\"presetInForce\": \"" + std::string(preset) + "\"");
            const auto parsed = parseConfiguration(document, path.string());
            REQUIRE(parsed);
            REQUIRE(parsed.value().workspaces.size() == 16);
            std::multiset<std::size_t> poolSizes;
            std::set<std::string> zones;
            for (const auto& [id, pool] : parsed.value().pools) {
                poolSizes.insert(pool.endpoints.size());
                for (const auto& [endpointId, endpoint] : pool.endpoints)
                    zones.insert(endpoint.availabilityZone);
            }
            REQUIRE(poolSizes == std::multiset<std::size_t> { 3, 20 });
            REQUIRE(zones.size() == 3);
        }
    }
}

// Guards against error kinds for which the guides do not say what callers or operators should do.
TEST_CASE("the guides describe every error kind that is sent over HTTP", "[examples]")
{
    const std::string guides = readWholeFile(sourceRoot() / "docs" / "callers-guide.md")
        + readWholeFile(sourceRoot() / "docs" / "operators-guide.md");
    for (const ErrorResponse& response : errorTable()) {
        // Never sent over HTTP: the caller disconnected, a message between daemons, an error in a settings file.
        if (response.kind == ErrorKind::CallerGone || response.kind == ErrorKind::PeerMessageRejected
            || response.kind == ErrorKind::SettingsInvalid)
            continue;
        INFO(response.name);
        REQUIRE(guides.find("`" + std::string(response.name) + "`") != std::string::npos);
    }
}
