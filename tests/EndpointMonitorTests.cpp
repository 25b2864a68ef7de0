#include "daemon/EndpointMonitor.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace jasminestack;

namespace {

struct FakeHostList final : HostListClient {
    std::vector<Callback> pending;
    unsigned fetches { 0 };

    void fetch(Callback callback) override
    {
        ++fetches;
        pending.push_back(std::move(callback));
    }
    void respond(const Result<std::vector<HostEntry>>& hosts)
    {
        for (auto& callback : std::exchange(pending, {}))
            callback(hosts);
    }
};

struct Fixture {
    FakeClock clock;
    SelfState self { .id = DaemonId("d1") };
    EndpointTable endpoints;
    FakeHostList hosts;
    std::set<EndpointId> polledEndpoints { EndpointId("e1"), EndpointId("e2") };
    std::vector<std::pair<std::string, std::function<void(Result<HttpResponse>)>>> polls;
    std::vector<EndpointId> announcedEndpoints;
    std::vector<std::string> peerAddresses;
    EndpointMonitor monitor {
        { .clock = clock,
            .self = self,
            .endpoints = endpoints,
            .hostList = hosts,
            .fetch = [this](const std::string& address, const std::string&, Millis,
                         auto callback) { polls.emplace_back(address, std::move(callback)); },
            .shouldPoll = [this](const EndpointId& id) { return polledEndpoints.contains(id); },
            .broadcast = [this](const EndpointLeavingUpdate& update) { announcedEndpoints.push_back(update.endpoint); },
            .onPeerAddresses = [this](std::vector<std::string> addresses) { peerAddresses = std::move(addresses); } },
        {}
    };

    Fixture()
    {
        for (const char* name : { "e1", "e2" }) {
            EndpointState& endpoint = endpoints.endpoints[EndpointId(name)];
            endpoint.id = EndpointId(name);
            endpoint.pool = PoolId("p");
            endpoint.address = std::string(name) + ":1";
        }
    }

    void pass(std::int64_t durationMs)
    {
        for (std::int64_t elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
            monitor.tick();
            clock.advance({ 50 });
        }
    }

    void respondToPolls(const char* body)
    {
        for (auto& [address, callback] : std::exchange(polls, {}))
            callback(HttpResponse { .status = 200, .body = body });
    }
};

}

// Guards against polling endpoints that another daemon polls, and against several polls in flight for one endpoint.
TEST_CASE("the endpoints assigned to this daemon are polled every 500 ms", "[monitor]")
{
    Fixture fixture;
    fixture.polledEndpoints.clear();
    fixture.pass(2'000);
    CHECK(fixture.polls.empty());
    fixture.polledEndpoints = { EndpointId("e1"), EndpointId("e2") };
    fixture.pass(500);
    CHECK(fixture.polls.size() == 2);
    fixture.respondToPolls(R"({"slots":4,"running":1,"waiting":0,"leaving":false})");
    CHECK(fixture.endpoints.endpoints[EndpointId("e1")].reportedRunning == 1);
    fixture.pass(500);
    CHECK(fixture.polls.size() == 2);
    // An endpoint is not polled again before its previous poll has ended.
    fixture.pass(5'000);
    CHECK(fixture.polls.size() == 2);
    fixture.respondToPolls("oops");
    fixture.endpoints.endpoints[EndpointId("e2")].removed = true;
    fixture.pass(500);
    CHECK(fixture.polls.size() == 1);
}

// Guards against announcing a leaving endpoint to the peers late or repeatedly.
TEST_CASE("the first report that an endpoint is leaving is announced once", "[monitor]")
{
    Fixture fixture;
    fixture.pass(50);
    fixture.respondToPolls(R"({"slots":4,"running":1,"waiting":0,"leaving":true})");
    CHECK(fixture.announcedEndpoints.size() == 2);
    CHECK(fixture.endpoints.endpoints[EndpointId("e1")].leaving);
    fixture.hosts.respond(std::vector<HostEntry> { { .id = "e1", .address = "e1:1", .leaving = true },
        { .id = "other-name", .address = "e2:1", .leaving = true },
        { .id = "unknown", .address = "x:1", .leaving = true }, { .id = "d2", .isDaemon = true, .address = "p2" } });
    CHECK(fixture.announcedEndpoints.size() == 2);
    CHECK(fixture.peerAddresses == std::vector<std::string> { "p2" });

    Fixture otherFixture;
    otherFixture.pass(50);
    otherFixture.hosts.respond(std::vector<HostEntry> { { .id = "other-name", .address = "e2:1", .leaving = true } });
    CHECK(otherFixture.announcedEndpoints == std::vector<EndpointId> { EndpointId("e2") });
    CHECK(otherFixture.endpoints.endpoints[EndpointId("e2")].leaving);
}

// Guards against accumulating requests to a host list service that does not respond.
TEST_CASE("the host list is fetched every second, one request at a time", "[monitor]")
{
    Fixture fixture;
    fixture.pass(5'000);
    CHECK(fixture.hosts.fetches == 1);
    fixture.hosts.respond(Error { .kind = ErrorKind::EndpointUnavailable, .message = "down" });
    fixture.pass(1'000);
    CHECK(fixture.hosts.fetches == 2);
    fixture.hosts.respond(std::vector<HostEntry> {});
    fixture.pass(3'000);
    CHECK(fixture.hosts.fetches == 3);
}

// Guards against exceptions and excessive concurrency limits caused by malformed reports.
TEST_CASE("malformed load reports are rejected", "[monitor]")
{
    for (const char* body :
        { "", "[]", R"({"slots":-1})", R"({"slots":"8"})", R"({"slots":1e30})", R"({"waiting":99999999999})" })
        CHECK_FALSE(parseLoadReport(body));
    CHECK(parseLoadReport(R"({"slots":8,"running":3})").value().slots == 8);
}
