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
    for (std::string_view value : { "0", "-300", "60001", "\"3000\"", "null", "true" })
        CHECK(errorAfterReplacing("\"contactMs\": 3000", "\"contactMs\": " + std::string(value)).find("store.contactMs")
            != std::string::npos);
    CHECK(errorAfterReplacing("\"10.2.0.18:8785\"", "8785").find("node.json:5:") != std::string::npos);
    CHECK(errorAfterReplacing("\"10.1.0.33:8785\"", "\"edge-1:8785\"").find("peers.address") != std::string::npos);
    for (std::string_view value : { "-1", "0", "0.05", "3601", "\"8\"" })
        CHECK(errorAfterReplacing("\"graceSeconds\": 8", "\"graceSeconds\": " + std::string(value))
                  .find("shutdown.graceSeconds")
            != std::string::npos);
    for (std::string_view value : { "-0.1", "101", "\"0.2\"" })
        CHECK(errorAfterReplacing("\"ratio\": 0.2", "\"ratio\": " + std::string(value)).find("retries.ratio")
            != std::string::npos);
    for (std::string_view value : { "256.5", "255", "-4100", "1e30" })
        CHECK(errorAfterReplacing("\"id\": \"edge-1\"", "\"id\": \"edge-1\", \"maxDescriptors\": " + std::string(value))
                  .find("router.maxDescriptors")
            != std::string::npos);
    for (std::string_view value : { "-1", "-0.5", "\"260\"" })
        CHECK(errorAfterReplacing("\"id\": \"edge-1\"", "\"id\": \"edge-1\", \"memoryMb\": " + std::string(value))
                  .find("router.memoryMb")
            != std::string::npos);
    CHECK(errorAfterReplacing("\"ratio\"", "\"rate\"").find("retries.rate") != std::string::npos);
    CHECK(errorAfterReplacing("\"windowSeconds\": 10", "\"windowSeconds\": -1").find("retries.windowSeconds")
        != std::string::npos);
    CHECK(errorAfterReplacing("\"store\": { \"address\": \"10.200.1.7:8781\", \"contactMs\": 3000 },", "").find("store")
        != std::string::npos);
}

// Guards against a start that fails because the platform writes a sound figure as a fraction.
TEST_CASE("whole numbers with a decimal point and fractions are read", "[router]")
{
    auto settings = parseRouterSettings(R"({
  "router": { "id": "edge-1", "availabilityZone": "gebze", "maxDescriptors": 4100.0, "memoryMb": 260.5 },
  "callers": { "address": "10.1.0.33:8783", "writeTimeoutMs": 1e4 },
  "health": { "address": "10.1.0.33:8780" },
  "peers": { "address": "10.1.0.33:8785" },
  "store": { "address": "10.200.1.7:8781", "contactMs": 2500.5 },
  "retries": { "ratio": 2.0, "slack": 54.0, "windowSeconds": 0.5 },
  "shutdown": { "graceSeconds": 0.5 }
})",
        "node.json");
    REQUIRE(settings);
    CHECK(settings.value().daemon.maxDescriptors == 4'100);
    CHECK(settings.value().daemon.memoryMb == 260.5);
    CHECK(settings.value().callers.writeTimeout == Millis { 10'000 });
    CHECK(settings.value().store.contactTime == Millis { 2'500 });
    CHECK(settings.value().retries.ratio == 2.0);
    CHECK(settings.value().retries.window == Millis { 500 });
    CHECK(settings.value().shutdown.grace == Millis { 500 });
    CHECK(settings.value().notices.empty());
}

// Guards against a start that fails because one of the seeds, which may be stale, can't be used, or because the contact
// time is too short for the store's reads; and against a change that nobody is told of.
TEST_CASE("bad seeds are ignored and short contact times raised with a notice", "[router]")
{
    std::string text = settingsText;
    text.replace(text.find("[\"10.2.0.18:8785\"]"), 18, "[\"host-a:8785\", \"10.2.0.18:8785\", \"\"]");
    text.replace(text.find("\"contactMs\": 3000"), 17, "\"contactMs\": 300");
    auto settings = parseRouterSettings(text, "node.json");
    REQUIRE(settings);
    CHECK(settings.value().peers.seeds == std::vector<std::string> { "10.2.0.18:8785" });
    CHECK(settings.value().store.contactTime == Millis { 1'000 });
    REQUIRE(settings.value().notices.size() == 3);
    CHECK(settings.value().notices[0].path == "peers.seeds[0]");
    CHECK(settings.value().notices[0].line == 5);
    CHECK(settings.value().notices[1].path == "peers.seeds[2]");
    CHECK(settings.value().notices[2].path == "store.contactMs");
    JsonProblems problems;
    CHECK(checkDocument(text, problems) == DocumentKind::RouterSettings);
    CHECK(problems.empty());
}

// Guards against a start that fails because of the names that a platform gives its hosts and availability zones, or of
// a limit beyond what a process can use.
TEST_CASE("names that are no identifiers and very high limits are used with a notice", "[router]")
{
    auto parse = [](const std::string& id, const std::string& zone, const std::string& descriptors) {
        std::string text = settingsText;
        std::string_view line = R"("id": "edge-1", "availabilityZone": "gebze")";
        text.replace(text.find(line), line.size(),
            R"("id": ")" + id + R"(", "availabilityZone": ")" + zone + R"(", "maxDescriptors": )" + descriptors);
        return parseRouterSettings(text, "node.json");
    };
    auto longName = parse(std::string(300, 'a'), "gebze", "4100");
    REQUIRE(longName);
    CHECK(longName.value().daemon.id.value.size() <= 64);
    CHECK(longName.value().notices.size() == 1);
    auto otherLongName = parse(std::string(299, 'a') + "b", "gebze", "4100");
    REQUIRE(otherLongName);
    CHECK(longName.value().daemon.id != otherLongName.value().daemon.id);
    auto unicode = parse("kılıç edge/1", "Kılıç Tezgâh", "4100");
    REQUIRE(unicode);
    CHECK(unicode.value().daemon.id.value.starts_with("k__l____"));
    CHECK(unicode.value().daemon.availabilityZone == "Kılıç Tezgâh");
    auto manyDescriptors = parse("edge-1", "gebze", "1099511627776");
    REQUIRE(manyDescriptors);
    CHECK(manyDescriptors.value().daemon.maxDescriptors == 10'000'000);
    REQUIRE(manyDescriptors.value().notices.size() == 1);
    CHECK(manyDescriptors.value().notices[0].path == "router.maxDescriptors");
    auto manyResources = parse("edge-1", "gebze", "4100, \"memoryMb\": 2000000, \"processorShare\": 2000");
    REQUIRE(manyResources);
    CHECK(manyResources.value().daemon.memoryMb == 1'000'000);
    CHECK(manyResources.value().daemon.cpuCores == 1'024);
    CHECK(manyResources.value().notices.size() == 2);
    CHECK(parse("edge-1", "gebze", "4100, \"processorShare\": 0.005"));
    CHECK_FALSE(parse("", "gebze", "4100"));
    CHECK_FALSE(parse("edge-1", "", "4100"));
}
