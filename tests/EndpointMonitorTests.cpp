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
    void answer(const Result<std::vector<HostEntry>>& hosts)
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
    std::set<EndpointId> polled { EndpointId("e1"), EndpointId("e2") };
    std::vector<std::pair<std::string, std::function<void(Result<HttpResponse>)>>> polls;
    std::vector<EndpointId> announced;
    std::vector<std::string> peers;
    EndpointMonitor monitor { { .clock = clock,
                                  .self = self,
                                  .endpoints = endpoints,
                                  .hostList = hosts,
                                  .fetch = [this](const std::string& address, const std::string&, Millis,
                                               auto callback) { polls.emplace_back(address, std::move(callback)); },
                                  .isPolled = [this](const EndpointId& id) { return polled.contains(id); },
                                  .announce
                                  = [this](const EndpointLeavingUpdate& news) { announced.push_back(news.endpoint); },
                                  .peerAddresses = [this](std::vector<std::string> list) { peers = std::move(list); } },
        {} };

    Fixture()
    {
        for (const char* name : { "e1", "e2" }) {
            EndpointState& endpoint = endpoints.endpoints[EndpointId(name)];
            endpoint.id = EndpointId(name);
            endpoint.pool = PoolId("p");
            endpoint.address = std::string(name) + ":1";
        }
    }

    void pass(std::int64_t ms)
    {
        for (std::int64_t at = 0; at < ms; at += 50) {
            monitor.tick();
            clock.advance({ 50 });
        }
    }

    void answerPolls(const char* body)
    {
        for (auto& [address, callback] : std::exchange(polls, {}))
            callback(HttpResponse { .status = 200, .body = body });
    }
};

}

// Guards against load on endpoints that another daemon polls, and against polls that pile up.
TEST_CASE("load is polled every 500 ms where this daemon has to", "[monitor]")
{
    Fixture f;
    f.polled.clear();
    f.pass(2'000);
    CHECK(f.polls.empty());
    f.polled = { EndpointId("e1"), EndpointId("e2") };
    f.pass(500);
    CHECK(f.polls.size() == 2);
    f.answerPolls(R"({"slots":4,"running":1,"waiting":0,"leaving":false})");
    CHECK(f.endpoints.endpoints[EndpointId("e1")].reportedRunning == 1);
    f.pass(500);
    CHECK(f.polls.size() == 2);
    // An endpoint that does not answer is not asked again before its poll has ended.
    f.pass(5'000);
    CHECK(f.polls.size() == 2);
    f.answerPolls("oops");
    f.endpoints.endpoints[EndpointId("e2")].removed = true;
    f.pass(500);
    CHECK(f.polls.size() == 1);
}

// Guards against a leaving endpoint that peers learn about late, or that is announced without end.
TEST_CASE("the first sign of leaving is announced once", "[monitor]")
{
    Fixture f;
    f.pass(50);
    f.answerPolls(R"({"slots":4,"running":1,"waiting":0,"leaving":true})");
    CHECK(f.announced.size() == 2);
    CHECK(f.endpoints.endpoints[EndpointId("e1")].leaving);
    f.hosts.answer(std::vector<HostEntry> { { .id = "e1", .address = "e1:1", .leaving = true },
        { .id = "other-name", .address = "e2:1", .leaving = true },
        { .id = "unknown", .address = "x:1", .leaving = true }, { .id = "d2", .isDaemon = true, .address = "p2" } });
    CHECK(f.announced.size() == 2);
    CHECK(f.peers == std::vector<std::string> { "p2" });

    Fixture g;
    g.pass(50);
    g.hosts.answer(std::vector<HostEntry> { { .id = "other-name", .address = "e2:1", .leaving = true } });
    CHECK(g.announced == std::vector<EndpointId> { EndpointId("e2") });
    CHECK(g.endpoints.endpoints[EndpointId("e2")].leaving);
}

// Guards against requests that pile up at a host list that does not answer.
TEST_CASE("the host list is fetched every second, one request at a time", "[monitor]")
{
    Fixture f;
    f.pass(5'000);
    CHECK(f.hosts.fetches == 1);
    f.hosts.answer(Error { .kind = ErrorKind::EndpointUnavailable, .message = "down" });
    f.pass(1'000);
    CHECK(f.hosts.fetches == 2);
    f.hosts.answer(std::vector<HostEntry> {});
    f.pass(3'000);
    CHECK(f.hosts.fetches == 3);
}

// Guards against exceptions and absurd limits from faulty reports.
TEST_CASE("malformed load reports are refused", "[monitor]")
{
    for (const char* body :
        { "", "[]", R"({"slots":-1})", R"({"slots":"8"})", R"({"slots":1e30})", R"({"waiting":99999999999})" })
        CHECK_FALSE(parseLoadReport(body));
    CHECK(parseLoadReport(R"({"slots":8,"running":3})").value().slots == 8);
}
