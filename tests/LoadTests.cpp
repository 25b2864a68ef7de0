#include "LoadGenerator.h"
#include "LoopbackHarness.h"
#include "ResponseChecker.h"
#include "StandinFleet.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>

using namespace jasminestack;
using namespace jasminestack::standins;
using nlohmann::json;

namespace {

std::string tokenEvent(const std::string& marker, int index)
{
    return "id: " + std::to_string(index) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + marker + ":"
        + std::to_string(index) + " \"}}]}\n\n";
}

constexpr const char* usageEvent = "id: 2\ndata: {\"choices\":[],\"usage\":{}}\n\n";
constexpr const char* endMarker = "data: [DONE]\n\n";

struct LoopDeleter {
    void operator()(event_base* base) const noexcept { event_base_free(base); }
};

json runScenario(const json& standin, const json& group)
{
    std::unique_ptr<event_base, LoopDeleter> base(event_base_new());
    StandinFleet fleet(*base, { { "control", test::freeAddress() }, { "standins", json::array({ standin }) } });
    REQUIRE(fleet.check());
    auto scenario = parseScenario({ { "seconds", 0.2 }, { "drainSeconds", 5 }, { "groups", json::array({ group }) } });
    REQUIRE(scenario);
    LoadGenerator generator(*base, std::move(scenario.value()));
    return generator.run().toJson();
}

}

// Guards against a checker that counts a truncated stream, a repeated token or a token of another request as a complete
// response.
TEST_CASE("the response checker distinguishes complete streams from truncated and wrong ones", "[load]")
{
    ResponseChecker checker;
    std::string completeStream = tokenEvent("m", 0) + tokenEvent("m", 1) + usageEvent + endMarker;
    auto feedByBytes = [&checker](const std::string& text) {
        checker.reset("m", 2, true);
        for (char character : text)
            checker.addData({ &character, 1 });
    };
    feedByBytes(completeStream);
    REQUIRE(checker.isComplete());
    REQUIRE_FALSE(checker.isWrong());
    feedByBytes(tokenEvent("m", 0) + usageEvent + endMarker);
    REQUIRE_FALSE(checker.isComplete());
    feedByBytes(tokenEvent("m", 0) + tokenEvent("m", 1) + usageEvent);
    REQUIRE_FALSE(checker.isComplete());
    feedByBytes(tokenEvent("m", 0) + tokenEvent("m", 0) + usageEvent + endMarker);
    REQUIRE(checker.isWrong());
    feedByBytes(tokenEvent("m", 0) + tokenEvent("other", 1) + usageEvent + endMarker);
    REQUIRE(checker.isWrong());
    feedByBytes(tokenEvent("m", 0) + "event: error\ndata: {\"error\":{}}\n\n");
    REQUIRE(checker.streamError() == "{\"error\":{}}");
}

// Guards against completions that are not counted, and against costs that differ from the endpoint's.
TEST_CASE("the load generator completes every request that it sends and counts its cost", "[load]")
{
    const std::string address = test::freeAddress();
    json engine = { { "kind", "engine" }, { "name", "e" }, { "address", address }, { "fast", true } };
    json group = { { "workspace", "w" }, { "targets", { address } }, { "connections", 4 }, { "tokens", 3 },
        { "promptTokens", 8 }, { "streamPart", 0.5 } };
    json result = runScenario(engine, group)["groups"]["w"];
    REQUIRE(result["completed"] == result["sent"]);
    REQUIRE(result["completed"] > 0);
    REQUIRE(result["cost"].get<double>() == result["completed"].get<double>() * 5);
    REQUIRE(result["wrong"] == 0);
    REQUIRE(result["partial"] == 0);
}

// Guards against refusals that are counted as completions or without their error kind.
TEST_CASE("the load generator counts refusals and refused connections by kind", "[load]")
{
    const std::string address = test::freeAddress();
    const std::string closedAddress = test::freeAddress();
    json engine = { { "kind", "engine" }, { "name", "e" }, { "address", address }, { "leaving", true } };
    json group = { { "workspace", "w" }, { "targets", { address, closedAddress } } };
    json result = runScenario(engine, group)["groups"]["w"];
    REQUIRE(result["completed"] == 0);
    REQUIRE(result["errors"]["http_503/none"] > 0);
    group["targets"] = { closedAddress };
    result = runScenario(engine, group)["groups"]["w"];
    REQUIRE(result["errors"]["not_connected/none"] > 0);
}

// Guards against duplicates of a booking that are sent under another booking id: duplicate runs are found by the id.
TEST_CASE("both copies of a duplicated booking have the same id", "[load]")
{
    const std::string address = test::freeAddress();
    json service = { { "kind", "service" }, { "name", "d" }, { "address", address }, { "delayMs", 1 } };
    json group = { { "workspace", "w" }, { "kind", "booking" }, { "path", "/booking/x" }, { "duplicatePart", 1.0 },
        { "targets", { address } } };
    json result = runScenario(service, group);
    std::map<std::string, int> attemptsByBooking;
    for (const json& attempt : result["bookings"]) {
        REQUIRE(attempt["outcome"] == "ok");
        ++attemptsByBooking[attempt["booking"].get<std::string>()];
    }
    REQUIRE(std::any_of(
        attemptsByBooking.begin(), attemptsByBooking.end(), [](const auto& entry) { return entry.second == 2; }));
}
