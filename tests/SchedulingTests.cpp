#include "core/Admission.h"
#include "core/FairQueue.h"
#include "core/Scheduling.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace jasminestack;

namespace {

/// \brief A lone daemon with one pool.
struct Lone {
    SelfState self { .id = DaemonId("d0"), .incarnation = 1 };
    Configuration configuration;
    MemberTable members;
    EndpointTable endpoints;
    SchedulingStatePointer state;
    Millis now { 1'000 };
    unsigned next { 0 };

    Lone(unsigned engines, unsigned slots, std::map<std::string, double> shares, SchedulingOptions options = {})
        : state(makeSchedulingState(options))
    {
        PoolConfig pool { .id = PoolId("p") };
        for (unsigned i = 0; i < engines; ++i) {
            EndpointId id("e" + std::to_string(i));
            pool.endpoints[id] = { .id = id, .slots = slots };
            endpoints.endpoints[id] = { .id = id, .pool = pool.id, .concurrencyLimit = slots };
        }
        configuration.version = 1;
        configuration.pools[pool.id] = pool;
        for (const auto& [name, share] : shares)
            configuration.workspaces[WorkspaceId(name)] = { .id = WorkspaceId(name), .share = share };
    }

    SchedulingView view() { return { self, configuration, members, endpoints }; }

    QueuedRequest request(const std::string& workspace, double hint = 100)
    {
        return { .id = RequestId("r" + std::to_string(next++)),
            .workspace = WorkspaceId(workspace),
            .pool = PoolId("p"),
            .enqueuedAt = now,
            .deadline = now + Millis { 600'000 },
            .costHint = hint };
    }

    Result<void> add(QueuedRequest request) { return enqueue(*state, view(), std::move(request), now); }
    std::vector<RequestAssignment> grants() { return dispatch(*state, view(), now); }
    void finish(const RequestAssignment& grant, double cost)
    {
        recordFinish(*state, view(), grant.request, cost, true, now);
    }
    double served(const std::string& workspace)
    {
        for (const WorkspaceStatus& status : workspaceStatus(*state, view())) {
            if (status.workspace.value == workspace)
                return status.servedCost;
        }
        return 0;
    }
};

}

// Guards against a flood that fills memory, and against admission of requests that the preset in force refuses.
TEST_CASE("admission enforces limits in requests and bytes and the preset", "[scheduling]")
{
    Lone lone(1, 1, { { "a", 1 }, { "b", 1 } });
    lone.configuration.workspaces[WorkspaceId("a")].queueRequests = 2;
    lone.configuration.workspaces[WorkspaceId("b")].queueBytes = 10;
    REQUIRE(lone.add(lone.request("a")));
    REQUIRE(lone.add(lone.request("a")));
    REQUIRE(lone.add(lone.request("a")).error().kind == ErrorKind::QueueFull);
    QueuedRequest large = lone.request("b");
    large.bodyBytes = 11;
    REQUIRE(lone.add(large).error().kind == ErrorKind::QueueFull);
    lone.configuration.workspaces[WorkspaceId("b")].admitted = false;
    REQUIRE(lone.add(lone.request("b")).error().kind == ErrorKind::PresetRefuses);
}

// Guards against requests that wait for nothing: a caller is told at once when its deadline cannot be met.
TEST_CASE("a deadline shorter than the estimated wait is refused early", "[scheduling]")
{
    Lone lone(1, 1, { { "a", 1 } });
    REQUIRE(lone.add(lone.request("a")));
    RequestAssignment first = lone.grants().at(0);
    lone.now += Millis { 1'000 };
    lone.finish(first, 100);
    for (int i = 0; i < 5; ++i)
        REQUIRE(lone.add(lone.request("a")));
    (void)lone.grants();
    QueuedRequest hurried = lone.request("a");
    hurried.deadline = lone.now + Millis { 2'000 };
    REQUIRE(lone.add(hurried).error().kind == ErrorKind::DeadlineUnreachable);
    hurried.deadline = lone.now + Millis { 6'000 };
    REQUIRE(lone.add(hurried));
}

// Guards against a workspace that gains by false hints: service follows measured cost.
TEST_CASE("a lone daemon divides service by share whatever the hints say", "[scheduling]")
{
    Lone lone(2, 2, { { "honest", 1 }, { "liar", 1 }, { "double", 2 } });
    std::vector<RequestAssignment> running;
    std::map<std::string, int> queued;
    for (int round = 0; round < 4'000; ++round) {
        for (const char* name : { "honest", "liar", "double" }) {
            for (; queued[name] < 5; ++queued[name])
                REQUIRE(lone.add(lone.request(name, std::string(name) == "liar" ? 1 : 100)));
        }
        for (const RequestAssignment& grant : lone.grants())
            running.push_back(grant);
        lone.now += Millis { 10 };
        lone.finish(running.front(), 100);
        running.erase(running.begin());
        for (const WorkspaceStatus& status : workspaceStatus(*lone.state, lone.view()))
            queued[status.workspace.value] = static_cast<int>(status.queued);
    }
    REQUIRE(lone.served("liar") == Approx(lone.served("honest")).margin(500));
    REQUIRE(lone.served("double") == Approx(2 * lone.served("honest")).margin(1'000));
}

// Guards against stored credit: a workspace that was idle must not block the others until it has caught up.
TEST_CASE("a workspace that returns from idleness has neither credit nor debt", "[scheduling]")
{
    Lone lone(1, 1, { { "a", 1 }, { "b", 1 } });
    for (int i = 0; i < 50; ++i) {
        REQUIRE(lone.add(lone.request("a")));
        lone.finish(lone.grants().at(0), 100);
    }
    for (int i = 0; i < 20; ++i) {
        REQUIRE(lone.add(lone.request("a")));
        REQUIRE(lone.add(lone.request("b")));
    }
    for (int i = 0; i < 20; ++i)
        lone.finish(lone.grants().at(0), 100);
    REQUIRE(lone.served("b") == Approx(1'000).margin(100));
}

// Guards against a crash suspect that takes unrelated requests down with it, and against one that never gets a turn.
TEST_CASE("a suspect runs alone on its endpoint and is not starved", "[scheduling]")
{
    Lone lone(2, 2, { { "a", 1 } });
    for (int i = 0; i < 4; ++i)
        REQUIRE(lone.add(lone.request("a")));
    std::vector<RequestAssignment> running = lone.grants();
    REQUIRE(running.size() == 4);
    QueuedRequest suspect = lone.request("a");
    suspect.isCrashSuspect = true;
    REQUIRE(lone.add(suspect));
    std::optional<RequestAssignment> started;
    for (int i = 0; i < 20 && !started; ++i) {
        REQUIRE(lone.add(lone.request("a")));
        lone.finish(running.front(), 100);
        running.erase(running.begin());
        for (const RequestAssignment& grant : lone.grants()) {
            if (grant.request == suspect.id)
                started = grant;
            else
                running.push_back(grant);
        }
    }
    REQUIRE(started);
    REQUIRE(lone.endpoints.endpoints[started->endpoint].inFlight == 1);
    REQUIRE(lone.endpoints.endpoints[started->endpoint].runsCrashSuspect);
    lone.finish(*started, 100);
    REQUIRE_FALSE(lone.endpoints.endpoints[started->endpoint].runsCrashSuspect);
}

// Guards against a retry that meets the endpoint that has just failed, and against one that waits for none.
TEST_CASE("a retry avoids endpoints while another one exists", "[scheduling]")
{
    Lone lone(2, 2, { { "a", 1 } });
    QueuedRequest retry = lone.request("a");
    retry.triedEndpoints = { EndpointId("e0") };
    for (int i = 0; i < 2; ++i) {
        retry.id = RequestId("retry" + std::to_string(i));
        REQUIRE(lone.add(retry));
        REQUIRE(lone.grants().at(0).endpoint == EndpointId("e1"));
    }
    retry.id = RequestId("waits");
    REQUIRE(lone.add(retry));
    REQUIRE(lone.grants().empty());
    REQUIRE(lone.add(lone.request("a")));
    REQUIRE(lone.grants().at(0).endpoint == EndpointId("e0"));
    lone.endpoints.endpoints[EndpointId("e1")].leaving = true;
    lone.now += Millis { 50 };
    REQUIRE(lone.grants().at(0).endpoint == EndpointId("e0"));
}

// Guards against prefix caches that are never met, and against affinity that leaves a slot idle.
TEST_CASE("prefix affinity prefers one endpoint among those with a free slot", "[scheduling]")
{
    Lone lone(8, 2, { { "a", 1 } });
    std::vector<EndpointId> used;
    for (int i = 0; i < 16; ++i) {
        QueuedRequest request = lone.request("a");
        request.prefixHash = 42;
        REQUIRE(lone.add(request));
        used.push_back(lone.grants().at(0).endpoint);
    }
    REQUIRE(used[0] == used[1]);
    REQUIRE(std::set<EndpointId>(used.begin(), used.end()).size() == 8);
}

// Guards against answers to callers that left or that a draining daemon will not serve.
TEST_CASE("queued requests can be cancelled, expired and drained", "[scheduling]")
{
    Lone lone(0, 1, { { "a", 1 } });
    std::vector<RequestId> ids;
    for (int i = 0; i < 4; ++i) {
        QueuedRequest request = lone.request("a");
        request.deadline = lone.now + Millis { 100 * (i + 1) };
        ids.push_back(request.id);
        REQUIRE(lone.add(request));
    }
    cancelQueued(*lone.state, ids[2]);
    REQUIRE(expireQueued(*lone.state, lone.now + Millis { 100 }) == std::vector { ids[0] });
    REQUIRE(drainQueued(*lone.state).size() == 2);
    REQUIRE(drainQueued(*lone.state).empty());
}

// Guards against a false hint that charges its workspace for many requests until the correction has been learned.
TEST_CASE("a false hint counts for at most five average requests", "[scheduling]")
{
    WorkspaceQueue queue;
    QueuedRequest request { .costHint = 5'000 };
    REQUIRE(estimateCost(queue, request) <= 500);
    updateCostEstimate(queue, 5'000, 20);
    REQUIRE(estimateCost(queue, request) <= 100);
}
