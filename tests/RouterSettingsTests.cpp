#include "config/DocumentCheck.h"
#include "config/RouterSettings.h"

#include <catch2/catch.hpp>

using namespace jasminestack;

namespace {

const std::string settingsText = R"({ // comments are allowed
  "router": { "id": "edge-1", "availabilityZone": "gebze" },
  "callers": { "address": "10.1.0.33:8783" },
  "health": { "address": "10.1.0.33:8780", "path": "/v1/readyz" },
  "peers": { "address": "10.1.0.33:8785", "seeds": ["10.2.0.18:8785"] },
  "store": { "address": "10.200.1.7:8781", "contactMs": 3000 },
  "retries": { "ratio": 0.2, "slack": 54, "windowSeconds": 10 },
  "shutdown": { "graceSeconds": 8 }
})";

}

TEST_CASE("router settings are read with defaults", "[router]")
{
    auto settings = parseRouterSettings(settingsText, "node.json");
    REQUIRE(settings);
    CHECK(settings.value().retries.window == Millis { 10'000 });
    CHECK(settings.value().shutdown.grace == Millis { 8'000 });
    CHECK(settings.value().placement.policy == "predicted");
    CHECK(settings.value().peers.seeds.size() == 1);
    CHECK(settings.value().daemon.memoryMb == 0);
    CHECK(settings.value().store.contactTime == Millis { 3'000 });
    JsonProblems problems;
    CHECK(checkDocument(settingsText, problems) == DocumentKind::RouterSettings);
    CHECK(problems.empty());
}

// Guards against invalid settings that are silently ignored, and against errors without position or path.
TEST_CASE("invalid router settings are rejected with their position or path", "[router]")
{
    auto errorAfterReplacing = [&](std::string_view from, std::string_view to) {
        std::string text = settingsText;
        text.replace(text.find(from), from.size(), to);
        auto parsed = parseRouterSettings(text, "node.json");
        REQUIRE(!parsed);
        return parsed.error().message;
    };
    // Reads could not be timed to be answered within so short a contact time.
    CHECK(
        errorAfterReplacing("\"contactMs\": 3000", "\"contactMs\": 300").find("store.contactMs") != std::string::npos);
    CHECK(errorAfterReplacing("10.2.0.18:8785", "seed").find("node.json:5:") != std::string::npos);
    CHECK(errorAfterReplacing("\"ratio\"", "\"rate\"").find("retries.rate") != std::string::npos);
    CHECK(errorAfterReplacing("\"windowSeconds\": 10", "\"windowSeconds\": -1").find("retries.windowSeconds")
        != std::string::npos);
    CHECK(errorAfterReplacing("\"store\": { \"address\": \"10.200.1.7:8781\", \"contactMs\": 3000 },", "").find("store")
        != std::string::npos);
}
