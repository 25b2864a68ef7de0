#include "config/Configuration.h"
#include "config/DaemonSettings.h"
#include "config/JsonDocument.h"
#include "config/JsonObjectReader.h"

#include <catch2/catch.hpp>

using namespace jasminestack;

namespace {

std::string formattedProblems(std::string_view text)
{
    JsonProblems problems;
    (void)parseJson(text, problems);
    return formatProblems(problems, "f");
}

constexpr std::string_view validSettings = R"({
    // One daemon on loopback.
    "daemon": {"id": "d1", "region": "lagos", "availabilityZone": "ikeja"},
    "callers": {"address": "127.0.0.1:8080"},
    "admin": {"address": "127.0.0.1:8081", "operatorTokenFile": "/run/token"},
    "peers": {"address": "127.0.0.1:8082", "fleetKeyEnv": "FLEET_KEY", "seeds": ["127.0.0.1:8083"]},
    "log": {"address": "127.0.0.1:9000", "claimWindowMs": 60000}
})";

}

// Guards against error messages with a wrong position, in particular after comments and numbers.
TEST_CASE("every value has its line and column", "[json]")
{
    JsonProblems problems;
    const JsonNode root = parseJson("\xEF\xBB\xBF{ // one\n  \"a\": 12/* 3 */,\n\t\"b\" : [1, -2.5e3 , \"x\"\n, null],"
                                    "\n\"c\":{\"d\":true}\n}",
        problems);
    REQUIRE(problems.empty());
    const auto position = [](const JsonNode& node) { return std::pair { node.line, node.column }; };
    REQUIRE(root.members.size() == 3);
    REQUIRE(position(root.members[0].value) == std::pair { 2, 8 });
    REQUIRE(root.members[0].value.integer == 12);
    REQUIRE(std::pair { root.members[1].line, root.members[1].column } == std::pair { 3, 2 });
    const JsonNode& listNode = root.members[1].value;
    REQUIRE(position(listNode) == std::pair { 3, 8 });
    REQUIRE(position(listNode.items[0]) == std::pair { 3, 9 });
    REQUIRE(position(listNode.items[1]) == std::pair { 3, 12 });
    REQUIRE(listNode.items[1].number == -2500.0);
    REQUIRE(position(listNode.items[2]) == std::pair { 3, 21 });
    REQUIRE(position(listNode.items[3]) == std::pair { 4, 3 });
    REQUIRE(position(*root.find("c")->find("d")) == std::pair { 5, 10 });
}

// Guards against a second member with the same name that silently replaces the value of the first.
TEST_CASE("a duplicate name is reported at its second occurrence", "[json]")
{
    REQUIRE(formattedProblems("{\"p\":{\"a\":1,\n \"a\":2}}") == "f:2:2: p.a: duplicate name; the first is in line 1");
    REQUIRE(formattedProblems("{\"a\":1,\"a\":2}") == "f:1:8: a: duplicate name; the first is in line 1");
}

// Guards against a stack overflow while traversing a document from the log or a caller.
TEST_CASE("deep nesting is an error", "[json]")
{
    REQUIRE(formattedProblems(std::string(64, '[') + std::string(64, ']')).empty());
    REQUIRE(
        formattedProblems(std::string(1'000'000, '[')).find("nested more than 64 levels deep") != std::string::npos);
}

TEST_CASE("syntax errors have the position of the invalid token", "[json]")
{
    REQUIRE(formattedProblems("{\"a\":\n  [1,]}").starts_with("f:2:6: a[0]: syntax error"));
    REQUIRE(formattedProblems("{\"a\": 1\n \"b\": 2}").starts_with("f:2:2: a: syntax error"));
    REQUIRE(formattedProblems("{\"a\": 1").starts_with("f:1:8: "));
    REQUIRE(formattedProblems("{\"a\":01}").starts_with("f:1:7: a: syntax error"));
    REQUIRE(formattedProblems("{\"a\":tru ,\"b\":1}").starts_with("f:1:6: a: syntax error"));
    REQUIRE(formattedProblems("{\"a\":1}}").starts_with("f:1:8: syntax error"));
    REQUIRE(formattedProblems("").starts_with("f:1:1: "));
    REQUIRE(formattedProblems("{\"a\": \"x\n\"}").starts_with("f:1:7: "));
}

TEST_CASE("only valid addresses and identifiers are accepted", "[json]")
{
    REQUIRE(isAddress("127.0.0.1:80"));
    for (const char* text : { "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", ":80", "localhost:80",
             "256.0.0.1:80", "1.2.3:80", "127.0.0.1:80x", "" })
        REQUIRE_FALSE(isAddress(text));
    REQUIRE(isAddress("127.0.0.1:0", true));
    REQUIRE(isIdentifier("kilic-small_07.x"));
    REQUIRE_FALSE(isIdentifier(""));
    REQUIRE_FALSE(isIdentifier("a b"));
    REQUIRE_FALSE(isIdentifier(std::string(65, 'a')));
}

TEST_CASE("settings are read with defaults", "[settings]")
{
    const auto parsed = parseDaemonSettings(validSettings, "daemon.json");
    REQUIRE(parsed);
    const DaemonSettings& settings = parsed.value();
    REQUIRE(settings.daemon.id == DaemonId { "d1" });
    REQUIRE(settings.peers.seeds == std::vector<std::string> { "127.0.0.1:8083" });
    REQUIRE(settings.peers.fleetKeyEnvironment == "FLEET_KEY");
    REQUIRE(settings.log.claimWindow == Millis { 60'000 });
    REQUIRE(settings.log.claimStreams == 4);
    REQUIRE(settings.hostList.address.empty());
    REQUIRE(settings.scheduling.policy == "fair");
}

// Guards against validation that stops at the first error, so that operators need one run per error.
TEST_CASE("all errors of settings are reported with line, column and path", "[settings]")
{
    const auto parsed = parseDaemonSettings(R"({
  "daemon": {"id": "d 1", "region": "lagos"},
  "callers": {"address": "localhost:1", "maxBodyBytes": "big"},
  "admin": {"address": "127.0.0.1:8081"},
  "peers": {"address": "127.0.0.1:8082", "seeds": ["x"]},
  "log": {"address": "127.0.0.1:9000", "claimStreams": 0},
  "colour": true
})",
        "s.json");
    REQUIRE_FALSE(parsed);
    REQUIRE(parsed.error().kind == ErrorKind::SettingsInvalid);
    REQUIRE(parsed.error().message
        == "s.json:2:13: daemon.availabilityZone: required field is missing\n"
           "s.json:2:20: daemon.id: 'd 1' is not an identifier (1 to 64 letters, digits, '.', '_' or '-')\n"
           "s.json:3:26: callers.address: 'localhost:1' is not of the form IP:PORT\n"
           "s.json:3:57: callers.maxBodyBytes: expected an integer, found a string\n"
           "s.json:5:12: peers.fleetKeyFile: one of fleetKeyFile and fleetKeyEnv is required\n"
           "s.json:5:52: peers.seeds[0]: 'x' is not of the form IP:PORT\n"
           "s.json:6:56: log.claimStreams: 0 is out of range 1 to 64\n"
           "s.json:7:3: colour: unknown field");
}

TEST_CASE("the preset in force is applied", "[configuration]")
{
    constexpr std::string_view text = R"({
  "workspaces": {"a": {"share": 2, "queueRequests": 10}, "b": {}},
  "pools": {"assistants": {"kind": "model", "models": ["m1"], "endpoints": {
    "e1": {"address": "127.0.0.1:1000", "availabilityZone": "ikeja", "region": "lagos", "slots": 4}}},
    "desk": {"kind": "service"}},
  "routes": {"booking": {"prefix": "/booking/", "pool": "desk", "idempotentMethods": ["GET"]}},
  "presets": {"peaks": {"shares": {"a": 5}, "limits": {"retryAttempts": 0}},
    "maintenance": {"admit": ["b"]}},
  "presetInForce": "PRESET"
})";
    const auto with = [&](const std::string& preset) {
        std::string document(text);
        document.replace(document.find("PRESET"), 6, preset);
        return parseConfiguration(document, "c.json");
    };
    const auto ordinary = with("ordinary");
    REQUIRE(ordinary);
    REQUIRE(ordinary.value().workspaces.at(WorkspaceId { "a" }).share == 2.0);
    REQUIRE(ordinary.value().limits.retryAttempts == 2);
    REQUIRE(ordinary.value().poolForModel("m1")->endpoints.at(EndpointId { "e1" }).slots == 4);
    REQUIRE(ordinary.value().routeForPath("/booking/slots")->pool == PoolId { "desk" });
    const auto peaks = with("peaks");
    REQUIRE(peaks);
    REQUIRE(peaks.value().workspaces.at(WorkspaceId { "a" }).share == 5.0);
    REQUIRE(peaks.value().limits.retryAttempts == 0);
    const auto maintenance = with("maintenance");
    REQUIRE(maintenance);
    REQUIRE_FALSE(maintenance.value().workspaces.at(WorkspaceId { "a" }).admitted);
    REQUIRE(maintenance.value().workspaces.at(WorkspaceId { "b" }).admitted);
    REQUIRE_FALSE(with("holiday"));
}
