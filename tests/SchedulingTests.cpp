#include "core/Admission.h"
#include "core/FairQueue.h"
#include "core/Scheduling.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace jasminestack;

namespace {

/// \brief A single daemon with one pool.
struct LoneDaemon {
    SelfState self { .id = DaemonId("d0"), .incarnation = 1 };
    Configuration configuration;
    MemberTable members;
    EndpointTable endpoints;
    SchedulingStatePointer state;
    Millis now { 1'000 };
    unsigned nextRequest { 0 };

    LoneDaemon(unsigned engines, unsigned slots, std::map<std::string, double> shares, SchedulingOptions options = {})
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

    SchedulingContext view() { return { self, configuration, members, endpoints }; }

    QueuedRequest request(const std::string& workspace, double hint = 100)
    {
        return { .id = RequestId("r" + std::to_string(nextRequest++)),
            .workspace = WorkspaceId(workspace),
            .pool = PoolId("p"),
            .enqueuedAt = now,
            .deadline = now + Millis { 600'000 },
            .costHint = hint };
    }

    Result<void> submit(QueuedRequest request) { return enqueue(*state, view(), std::move(request), now); }
    std::vector<RequestAssignment> startRequests() { return dispatch(*state, view(), now); }
    void finish(const RequestAssignment& assignment, double cost)
    {
        recordFinish(*state, view(), assignment.request, cost, true, now);
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

// Guards against queues that grow without bound under a flood of requests, and against admission of requests that the
// preset in force refuses.
TEST_CASE("admission enforces limits in requests and bytes and the preset", "[scheduling]")
{
    LoneDaemon daemon(1, 1, { { "a", 1 }, { "b", 1 } });
    daemon.configuration.workspaces[WorkspaceId("a")].queueRequests = 2;
    daemon.configuration.workspaces[WorkspaceId("b")].queueBytes = 10;
    REQUIRE(daemon.submit(daemon.request("a")));
    REQUIRE(daemon.submit(daemon.request("a")));
    REQUIRE(daemon.submit(daemon.request("a")).error().kind == ErrorKind::QueueFull);
    QueuedRequest large = daemon.request("b");
    large.bodyBytes = 11;
    REQUIRE(daemon.submit(large).error().kind == ErrorKind::QueueFull);
    daemon.configuration.workspaces[WorkspaceId("b")].admitted = false;
    REQUIRE(daemon.submit(daemon.request("b")).error().kind == ErrorKind::PresetRefuses);
}

// Guards against requests that wait in the queue although their deadline cannot be met: they must be refused on
// arrival.
TEST_CASE("a deadline shorter than the estimated wait is refused early", "[scheduling]")
{
    LoneDaemon daemon(1, 1, { { "a", 1 } });
    REQUIRE(daemon.submit(daemon.request("a")));
    RequestAssignment first = daemon.startRequests().at(0);
    daemon.now += Millis { 1'000 };
    daemon.finish(first, 100);
    for (int i = 0; i < 5; ++i)
        REQUIRE(daemon.submit(daemon.request("a")));
    (void)daemon.startRequests();
    QueuedRequest hurried = daemon.request("a");
    hurried.deadline = daemon.now + Millis { 2'000 };
    REQUIRE(daemon.submit(hurried).error().kind == ErrorKind::DeadlineUnreachable);
    hurried.deadline = daemon.now + Millis { 6'000 };
    REQUIRE(daemon.submit(hurried));
}

// Guards against a workspace that gets more service by sending false hints: service must follow the measured cost.
TEST_CASE("a single daemon divides service by share regardless of the hints", "[scheduling]")
{
    LoneDaemon daemon(2, 2, { { "honest", 1 }, { "liar", 1 }, { "double", 2 } });
    std::vector<RequestAssignment> running;
    std::map<std::string, int> queued;
    for (int round = 0; round < 4'000; ++round) {
        for (const char* name : { "honest", "liar", "double" }) {
            for (; queued[name] < 5; ++queued[name])
                REQUIRE(daemon.submit(daemon.request(name, std::string(name) == "liar" ? 1 : 100)));
        }
        for (const RequestAssignment& assignment : daemon.startRequests())
            running.push_back(assignment);
        daemon.now += Millis { 10 };
        daemon.finish(running.front(), 100);
        running.erase(running.begin());
        for (const WorkspaceStatus& status : workspaceStatus(*daemon.state, daemon.view()))
            queued[status.workspace.value] = static_cast<int>(status.queued);
    }
    REQUIRE(daemon.served("liar") == Approx(daemon.served("honest")).margin(500));
    REQUIRE(daemon.served("double") == Approx(2 * daemon.served("honest")).margin(1'000));
}

// Guards against credit for idle time: a workspace that returns from idleness must not block the others until it has
// received as much service.
TEST_CASE("a workspace that returns from idleness has neither credit nor debt", "[scheduling]")
{
    LoneDaemon daemon(1, 1, { { "a", 1 }, { "b", 1 } });
    for (int i = 0; i < 50; ++i) {
        REQUIRE(daemon.submit(daemon.request("a")));
        daemon.finish(daemon.startRequests().at(0), 100);
    }
    for (int i = 0; i < 20; ++i) {
        REQUIRE(daemon.submit(daemon.request("a")));
        REQUIRE(daemon.submit(daemon.request("b")));
    }
    for (int i = 0; i < 20; ++i)
        daemon.finish(daemon.startRequests().at(0), 100);
    REQUIRE(daemon.served("b") == Approx(1'000).margin(100));
}

// Guards against a crash suspect that shares its endpoint with other requests, which a crash would abort, and against
// one that never gets an endpoint.
TEST_CASE("a crash suspect runs alone on its endpoint and is not starved", "[scheduling]")
{
    LoneDaemon daemon(2, 2, { { "a", 1 } });
    for (int i = 0; i < 4; ++i)
        REQUIRE(daemon.submit(daemon.request("a")));
    std::vector<RequestAssignment> running = daemon.startRequests();
    REQUIRE(running.size() == 4);
    QueuedRequest suspect = daemon.request("a");
    suspect.isCrashSuspect = true;
    REQUIRE(daemon.submit(suspect));
    std::optional<RequestAssignment> started;
    for (int i = 0; i < 20 && !started; ++i) {
        REQUIRE(daemon.submit(daemon.request("a")));
        daemon.finish(running.front(), 100);
        running.erase(running.begin());
        for (const RequestAssignment& assignment : daemon.startRequests()) {
            if (assignment.request == suspect.id)
                started = assignment;
            else
                running.push_back(assignment);
        }
    }
    REQUIRE(started);
    REQUIRE(daemon.endpoints.endpoints[started->endpoint].inFlight == 1);
    REQUIRE(daemon.endpoints.endpoints[started->endpoint].runsCrashSuspect);
    daemon.finish(*started, 100);
    REQUIRE_FALSE(daemon.endpoints.endpoints[started->endpoint].runsCrashSuspect);
}

// Guards against a retry at an endpoint that has just failed, and against a retry that waits although no other endpoint
// exists.
TEST_CASE("a retry avoids tried endpoints while another one exists", "[scheduling]")
{
    LoneDaemon daemon(2, 2, { { "a", 1 } });
    QueuedRequest retry = daemon.request("a");
    retry.triedEndpoints = { EndpointId("e0") };
    for (int i = 0; i < 2; ++i) {
        retry.id = RequestId("retry" + std::to_string(i));
        REQUIRE(daemon.submit(retry));
        REQUIRE(daemon.startRequests().at(0).endpoint == EndpointId("e1"));
    }
    retry.id = RequestId("waits");
    REQUIRE(daemon.submit(retry));
    REQUIRE(daemon.startRequests().empty());
    REQUIRE(daemon.submit(daemon.request("a")));
    REQUIRE(daemon.startRequests().at(0).endpoint == EndpointId("e0"));
    daemon.endpoints.endpoints[EndpointId("e1")].leaving = true;
    daemon.now += Millis { 50 };
    REQUIRE(daemon.startRequests().at(0).endpoint == EndpointId("e0"));
}

// Guards against requests that miss the prefix cache since they are spread over the endpoints, and against affinity
// that leaves a slot idle.
TEST_CASE("prefix affinity prefers one endpoint among those with a free slot", "[scheduling]")
{
    LoneDaemon daemon(8, 2, { { "a", 1 } });
    std::vector<EndpointId> used;
    for (int i = 0; i < 16; ++i) {
        QueuedRequest request = daemon.request("a");
        request.prefixHash = 42;
        REQUIRE(daemon.submit(request));
        used.push_back(daemon.startRequests().at(0).endpoint);
    }
    REQUIRE(used[0] == used[1]);
    REQUIRE(std::set<EndpointId>(used.begin(), used.end()).size() == 8);
}

// Guards against queued requests that stay in the queue after their caller disconnected, their deadline passed or the
// daemon drained.
TEST_CASE("queued requests can be cancelled, expired and drained", "[scheduling]")
{
    LoneDaemon daemon(0, 1, { { "a", 1 } });
    std::vector<RequestId> ids;
    for (int i = 0; i < 4; ++i) {
        QueuedRequest request = daemon.request("a");
        request.deadline = daemon.now + Millis { 100 * (i + 1) };
        ids.push_back(request.id);
        REQUIRE(daemon.submit(request));
    }
    cancelQueued(*daemon.state, ids[2]);
    REQUIRE(expireQueued(*daemon.state, daemon.now + Millis { 100 }) == std::vector { ids[0] });
    REQUIRE(drainQueued(*daemon.state).size() == 2);
    REQUIRE(drainQueued(*daemon.state).empty());
}

// Guards against a false hint that charges its workspace for many requests before the hint correction has converged.
TEST_CASE("a false hint counts for at most five average requests", "[scheduling]")
{
    WorkspaceQueue queue;
    QueuedRequest request { .costHint = 5'000 };
    REQUIRE(estimateCost(queue, request) <= 500);
    updateCostEstimate(queue, 5'000, 20);
    REQUIRE(estimateCost(queue, request) <= 100);
}
