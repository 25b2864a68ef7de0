#include "StandinFleet.h"

#include "net/HttpClient.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>

using namespace jasminestack;
using namespace jasminestack::standins;
using nlohmann::json;

namespace {

struct LoopDeleter {
    void operator()(event_base* base) const noexcept { event_base_free(base); }
};

constexpr const char* engineAddress = "127.0.0.1:24901";
constexpr const char* serviceAddress = "127.0.0.1:24902";
constexpr const char* logAddress = "127.0.0.1:24903";
constexpr const char* hostsAddress = "127.0.0.1:24904";
constexpr const char* controlAddress = "127.0.0.1:24900";

json fleetDescription()
{
    return { { "control", controlAddress },
        { "standins",
            json::array({ { { "kind", "engine" }, { "name", "engine-0" }, { "address", engineAddress },
                              { "fast", true }, { "slots", 1 }, { "crashMarker", "BOOM" }, { "crashDownMs", 50 } },
                { { "kind", "service" }, { "name", "desk-0" }, { "address", serviceAddress }, { "delayMs", 1 } },
                { { "kind", "log" }, { "name", "log" }, { "address", logAddress }, { "retain", 3 },
                    { "appendsPerSecond", 1000 } },
                { { "kind", "hostList" }, { "name", "hosts" }, { "address", hostsAddress }, { "lagMs", 30 },
                    { "hosts", json::array({ { { "id", "a" }, { "state", "live" } } }) } } }) } };
}

class StandinFixture {
public:
    StandinFixture()
        : m_base(event_base_new())
        , m_fleet(*m_base, fleetDescription())
        , m_client(std::make_unique<HttpClient>(*m_base))
    {
        REQUIRE(m_fleet.check());
    }

    Result<HttpResponse> send(HttpRequest request)
    {
        std::optional<Result<HttpResponse>> response;
        m_client->send(std::move(request), [&response](Result<HttpResponse> result) { response = std::move(result); });
        while (!response)
            event_base_loop(m_base.get(), EVLOOP_ONCE);
        return std::move(*response);
    }

    HttpResponse post(const char* address, const char* target, const json& body)
    {
        auto response = send({ .address = address, .method = "POST", .target = target, .body = body.dump() });
        REQUIRE(response);
        return response.value();
    }

    json get(const char* address, const std::string& target)
    {
        auto response = send({ .address = address, .target = target });
        REQUIRE(response);
        return json::parse(response.value().body);
    }

    void runLoopFor(double ms)
    {
        bool hasElapsed = false;
        Timer timer(*m_base, [&hasElapsed] { hasElapsed = true; });
        timer.start(ms);
        while (!hasElapsed)
            event_base_loop(m_base.get(), EVLOOP_ONCE);
    }

    json completionRequest(int tokens, bool isStreaming) const
    {
        return { { "model", "demo-model" }, { "user", "mark-1" }, { "max_tokens", tokens }, { "stream", isStreaming },
            { "messages", json::array({ { { "role", "user" }, { "content", "0123456789abcdef" } } }) } };
    }

private:
    std::unique_ptr<event_base, LoopDeleter> m_base;
    StandinFleet m_fleet;
    std::unique_ptr<HttpClient> m_client;
};

}

// Guards against streams without token indices or an end marker: routers use both to recognise a complete response.
TEST_CASE("the engine streams each token with its index, the usage and the end marker", "[standins]")
{
    StandinFixture fixture;
    auto response = fixture.post(engineAddress, "/v1/chat/completions", fixture.completionRequest(3, true));
    REQUIRE(response.status == 200);
    REQUIRE(response.body.find("id: 0\ndata: ") == 0);
    REQUIRE(response.body.find("mark-1:2 ") != std::string::npos);
    REQUIRE(response.body.find("\"completion_tokens\":3") != std::string::npos);
    REQUIRE(response.body.ends_with("data: [DONE]\n\n"));
    json runs = fixture.get(controlAddress, "/journal")["runs"];
    REQUIRE(runs.size() == 1);
    REQUIRE(runs[0]["cost"] == 4.0); // 4 prompt tokens / 4 + 3
    REQUIRE(runs[0]["outcome"] == "done");
}

// Guards against a resumed stream that repeats or skips tokens.
TEST_CASE("the engine resumes a stream at the requested token", "[standins]")
{
    StandinFixture fixture;
    auto first = fixture.send({ .address = engineAddress,
        .method = "POST",
        .target = "/v1/completions",
        .headers = { { "X-Request-Id", "r-1" } },
        .body = fixture.completionRequest(5, true).dump() });
    REQUIRE(first);
    auto resumedPart = fixture.send({ .address = engineAddress, .target = "/v1/streams/r-1?from=3" });
    REQUIRE(resumedPart);
    REQUIRE(resumedPart.value().body.starts_with("id: 3\n"));
    REQUIRE(resumedPart.value().body.find("id: 4\n") != std::string::npos);
    REQUIRE(resumedPart.value().body.ends_with("data: [DONE]\n\n"));
    REQUIRE(fixture.send({ .address = engineAddress, .target = "/v1/streams/r-2?from=0" }).value().status == 404);
}

// Guards against an engine that responds to a crashing request, or that does not restart after crashDownMs.
TEST_CASE("a request with the crash marker stops the engine until crashDownMs has passed", "[standins]")
{
    StandinFixture fixture;
    json body = fixture.completionRequest(3, false);
    body["prompt"] = "BOOM";
    REQUIRE_FALSE(
        fixture.send({ .address = engineAddress, .method = "POST", .target = "/v1/completions", .body = body.dump() }));
    REQUIRE_FALSE(fixture.send({ .address = engineAddress, .target = "/load" }));
    fixture.runLoopFor(200);
    REQUIRE(fixture.get(engineAddress, "/load")["slots"] == 1);
}

// Guards against refusals without the header that proves that the request did not run.
TEST_CASE("a leaving engine refuses requests without running them", "[standins]")
{
    StandinFixture fixture;
    fixture.post(controlAddress, "/control", { { "standin", "engine-*" }, { "leaving", true } });
    REQUIRE(fixture.post(engineAddress, "/v1/completions", fixture.completionRequest(1, false)).status == 503);
    REQUIRE(fixture.get(controlAddress, "/journal")["runs"].empty());
}

// Guards against a booking service that does not count duplicate runs of a booking.
TEST_CASE("the booking service records each run of a booking", "[standins]")
{
    StandinFixture fixture;
    for (int i = 0; i < 2; ++i)
        REQUIRE(fixture.post(serviceAddress, "/booking/slots", { { "booking", "b-1" } }).status == 200);
    REQUIRE(fixture.get(controlAddress, "/state")["desk-0"]["duplicates"] == 1);
}

// Guards against an engine that accepts an order of an earlier lease holder.
TEST_CASE("the engine refuses an old fencing number unless checkFencing is off", "[standins]")
{
    StandinFixture fixture;
    auto sendOrder = [&fixture](const char* fencingNumber) {
        return fixture
            .send({ .address = engineAddress,
                .method = "POST",
                .target = "/orders",
                .headers = { { "X-Fencing-Number", fencingNumber } },
                .body = R"({"model":"m2"})" })
            .value()
            .status;
    };
    REQUIRE(sendOrder("7") == 200);
    REQUIRE(sendOrder("6") == 412);
    fixture.post(controlAddress, "/control", { { "standin", "engine-0" }, { "checkFencing", false } });
    REQUIRE(sendOrder("6") == 200);
}

// Guards against wrong offsets, ignored retention limits, and a lost response whose record was not appended.
TEST_CASE("the log assigns offsets, limits retention and loses responses after the append", "[standins]")
{
    StandinFixture fixture;
    for (int i = 0; i < 5; ++i)
        REQUIRE(json::parse(fixture.post(logAddress, "/streams/config/records", i).body)["offset"] == i);
    json batch = fixture.get(logAddress, "/streams/config/records?from=2&max=10");
    REQUIRE(batch["first"] == 2);
    REQUIRE(batch["next"] == 5);
    REQUIRE(batch["records"].size() == 3);
    REQUIRE(batch["records"][0]["payload"] == "2");
    auto expiredRead = fixture.send({ .address = logAddress, .target = "/streams/config/records?from=0" });
    REQUIRE(expiredRead.value().status == 410);
    fixture.post(controlAddress, "/control", { { "standin", "log" }, { "loseAnswers", 1.0 } });
    REQUIRE_FALSE(
        fixture.send({ .address = logAddress, .method = "POST", .target = "/streams/config/records", .body = "lost" }));
    REQUIRE(fixture.get(logAddress, "/streams/config/records?from=5")["records"][0]["payload"] == "lost");
    fixture.post(controlAddress, "/control", { { "standin", "log" }, { "outage", true } });
    REQUIRE(fixture.send({ .address = logAddress, .target = "/streams/config/records?from=5" }).value().status == 503);
}

// Guards against a long-poll read that an append does not end.
TEST_CASE("a long-poll read ends with an append or at its timeout", "[standins]")
{
    StandinFixture fixture;
    REQUIRE(fixture.get(logAddress, "/streams/s/records?from=0&waitMs=30")["records"].empty());
    fixture.post(logAddress, "/streams/s/records", 1);
    REQUIRE(fixture.get(logAddress, "/streams/s/records?from=0&waitMs=10000")["records"].size() == 1);
}

// Guards against a host list without lag: it would hide that routers depend on an up-to-date list.
TEST_CASE("the host list shows a change only after its lag", "[standins]")
{
    StandinFixture fixture;
    fixture.post(controlAddress, "/control", { { "standin", "hosts" }, { "set", { { "a", "leaving" } } } });
    REQUIRE(fixture.get(hostsAddress, "/hosts")["hosts"][0]["state"] == "live");
    fixture.runLoopFor(60);
    REQUIRE(fixture.get(hostsAddress, "/hosts")["hosts"][0]["state"] == "leaving");
}

// Guards against a service that responds while the silence fault is set, or stays silent after its end.
TEST_CASE("a silent service does not respond until the silence ends", "[standins]")
{
    StandinFixture fixture;
    fixture.post(controlAddress, "/control", { { "standin", "log" }, { "silenceAllMs", 100 } });
    REQUIRE_FALSE(
        fixture.send({ .address = logAddress, .target = "/streams/x/records?from=0", .timeout = Millis { 50 } }));
    fixture.runLoopFor(120);
    REQUIRE(fixture.get(logAddress, "/streams/x/records?from=0")["next"] == 0);
}
