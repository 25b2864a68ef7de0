#include "LoadGenerator.h"
#include "ResponseChecker.h"
#include "StandinFleet.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>

using namespace jasminestack;
using namespace jasminestack::standins;
using nlohmann::json;

namespace {

std::string token(const std::string& marker, int index)
{
    return "id: " + std::to_string(index) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + marker + ":"
        + std::to_string(index) + " \"}}]}\n\n";
}

constexpr const char* usage = "id: 2\ndata: {\"choices\":[],\"usage\":{}}\n\n";
constexpr const char* done = "data: [DONE]\n\n";

struct LoopDeleter {
    void operator()(event_base* base) const noexcept { event_base_free(base); }
};

json run(const json& standin, const json& group)
{
    std::unique_ptr<event_base, LoopDeleter> base(event_base_new());
    StandinFleet fleet(*base, { { "control", "127.0.0.1:24910" }, { "standins", json::array({ standin }) } });
    REQUIRE(fleet.check());
    auto scenario = parseScenario({ { "seconds", 0.2 }, { "drainSeconds", 5 }, { "groups", json::array({ group }) } });
    REQUIRE(scenario);
    LoadGenerator generator(*base, std::move(scenario.value()));
    return generator.run().toJson();
}

}

// Guards against a checker that counts a cut, doubled or foreign stream as a whole answer.
TEST_CASE("the answer check tells whole streams from others", "[load]")
{
    ResponseChecker check;
    std::string whole = token("m", 0) + token("m", 1) + usage + done;
    auto feed = [&check](const std::string& text) {
        check.reset("m", 2, true);
        for (char c : text)
            check.feed({ &c, 1 });
    };
    feed(whole);
    REQUIRE(check.whole());
    REQUIRE_FALSE(check.wrong());
    feed(token("m", 0) + usage + done);
    REQUIRE_FALSE(check.whole());
    feed(token("m", 0) + token("m", 1) + usage);
    REQUIRE_FALSE(check.whole());
    feed(token("m", 0) + token("m", 0) + usage + done);
    REQUIRE(check.wrong());
    feed(token("m", 0) + token("other", 1) + usage + done);
    REQUIRE(check.wrong());
    feed(token("m", 0) + "event: error\ndata: {\"error\":{}}\n\n");
    REQUIRE(check.streamError() == "{\"error\":{}}");
}

// Guards against completions that are lost from the counts, and against costs that differ from the endpoint's.
TEST_CASE("the load generator completes what it sends and counts its cost", "[load]")
{
    json engine = { { "kind", "engine" }, { "name", "e" }, { "address", "127.0.0.1:24911" }, { "fast", true } };
    json group = { { "workspace", "w" }, { "targets", { "127.0.0.1:24911" } }, { "connections", 4 }, { "tokens", 3 },
        { "promptTokens", 8 }, { "streamPart", 0.5 } };
    json result = run(engine, group)["groups"]["w"];
    REQUIRE(result["completed"] == result["sent"]);
    REQUIRE(result["completed"] > 0);
    REQUIRE(result["cost"].get<double>() == result["completed"].get<double>() * 5);
    REQUIRE(result["wrong"] == 0);
    REQUIRE(result["partial"] == 0);
}

// Guards against refusals that are counted as completions or without their kind.
TEST_CASE("the load generator counts refusals and refused connections by kind", "[load]")
{
    json engine = { { "kind", "engine" }, { "name", "e" }, { "address", "127.0.0.1:24911" }, { "leaving", true } };
    json group = { { "workspace", "w" }, { "targets", { "127.0.0.1:24911", "127.0.0.1:24912" } } };
    json result = run(engine, group)["groups"]["w"];
    REQUIRE(result["completed"] == 0);
    REQUIRE(result["errors"]["http_503/none"] > 0);
    group["targets"] = { "127.0.0.1:24912" };
    result = run(engine, group)["groups"]["w"];
    REQUIRE(result["errors"]["not_connected/none"] > 0);
}

// Guards against resent bookings that lose their booking id, by which duplicates are found.
TEST_CASE("a duplicated booking carries one id", "[load]")
{
    json desk = { { "kind", "service" }, { "name", "d" }, { "address", "127.0.0.1:24911" }, { "delayMs", 1 } };
    json group = { { "workspace", "w" }, { "kind", "booking" }, { "path", "/booking/x" }, { "duplicatePart", 1.0 },
        { "targets", { "127.0.0.1:24911" } } };
    json result = run(desk, group);
    std::map<std::string, int> runs;
    for (const json& attempt : result["bookings"]) {
        REQUIRE(attempt["outcome"] == "ok");
        ++runs[attempt["booking"].get<std::string>()];
    }
    REQUIRE(std::any_of(runs.begin(), runs.end(), [](const auto& entry) { return entry.second == 2; }));
}
