#include "daemon/AdminRoutes.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace jasminestack;
using nlohmann::json;

namespace {

constexpr std::string_view document = R"({
  "workspaces": {"guild": {"share": 2}, "harbour": {}},
  "pools": {"assistants": {"kind": "model", "models": ["m"], "endpoints": {
    "e1": {"address": "10.0.0.1:8000", "availabilityZone": "gebze", "region": "marmara", "slots": 2}}}}
})";

ConfigurationReplica replicaOf(std::initializer_list<std::pair<std::uint64_t, std::string>> changes)
{
    ConfigurationReplica state;
    LogBatch batch;
    for (const auto& [base, patch] : changes) {
        const auto offset = static_cast<std::int64_t>(batch.records.size());
        batch.records.push_back({ .offset = offset,
            .timestampMs = 5,
            .payload = makeChangeRecord("id-" + std::to_string(offset), "ada", base, patch).value() });
    }
    (void)applyRecords(state, batch);
    return state;
}

}

TEST_CASE("the history contains the outcome of each change", "[admin]")
{
    const ConfigurationReplica replica
        = replicaOf({ { 0, std::string(document) }, { 0, "{}" }, { 1, R"({"limits":{"cellSize":0}})" } });
    const json history = json::parse(historyJson(replica, ""));
    REQUIRE(history["version"] == 1);
    REQUIRE(history["throughOffset"] == 2);
    REQUIRE(history["changes"].size() == 3);
    REQUIRE(history["changes"][0]["outcome"] == "accepted");
    REQUIRE(history["changes"][1]["outcome"] == "conflict");
    REQUIRE(history["changes"][2]["reason"] == "limits.cellSize: 0 is out of range 1 to 1024");
    REQUIRE(json::parse(historyJson(replica, "id-1"))["changes"].size() == 1);
    const json configuration = json::parse(configurationJson(replica));
    REQUIRE(configuration["version"] == 1);
    REQUIRE(configuration["preset"] == "ordinary");
    REQUIRE(configuration["document"] == json::parse(document));
}

TEST_CASE("the response to a publication depends on its outcome", "[admin]")
{
    REQUIRE(publishReply(ChangeResult { .id = "a", .outcome = ChangeOutcome::Accepted, .version = 4 }).status == 200);
    const auto conflict = publishReply(ChangeResult { .id = "a", .outcome = ChangeOutcome::Conflict, .version = 4 });
    REQUIRE(conflict.status == 409);
    REQUIRE(json::parse(conflict.body)["error"]["version"] == 4);
    REQUIRE(publishReply(ChangeResult { .id = "a", .outcome = ChangeOutcome::Invalid }).status == 422);
    const auto unknownOutcome
        = publishReply(Error { .kind = ErrorKind::ConfigurationOutcomeUnknown, .message = "x" }, "a", 0);
    REQUIRE(unknownOutcome.status == 504);
    REQUIRE(json::parse(unknownOutcome.body)["error"]["id"] == "a");
}

// Guards against a status document that lacks the versions of all daemons, the backlog, the gap or the cells, which are
// what operators look for first.
TEST_CASE("status shows daemons, pools, workspaces and cells", "[admin]")
{
    const ConfigurationReplica replica = replicaOf({ { 0, std::string(document) } });
    SelfState self { .id = DaemonId { "d1" }, .incarnation = 7, .peerAddress = "127.0.0.1:1", .ready = true };
    MemberTable members;
    members.members[DaemonId { "d2" }]
        = { .lastUpdate = { .id = DaemonId { "d2" }, .address = "127.0.0.1:2", .state = MemberState::Suspect },
              .configurationDigest = { .version = 1, .throughOffset = 0 } };
    EndpointTable endpoints;
    endpoints.endpoints[EndpointId { "e1" }] = { .id = EndpointId { "e1" },
        .pool = PoolId { "assistants" },
        .address = "10.0.0.1:8000",
        .concurrencyLimit = 2,
        .lastReportAt = Millis { 900 },
        .leaving = true };
    const auto scheduling = makeSchedulingState({});
    const SchedulingContext view {
        .self = self, .configuration = *replica.configuration, .members = members, .endpoints = endpoints
    };
    const Millis now { 1'000 };
    REQUIRE(enqueue(*scheduling, view,
        { .id = RequestId { "r1" },
            .workspace = WorkspaceId { "guild" },
            .pool = PoolId { "assistants" },
            .enqueuedAt = now,
            .deadline = Millis { 60'000 } },
        now));
    const json status = json::parse(
        statusJson({ .replica = replica, .scheduling = *scheduling, .view = view, .notReadyReason = "", .now = now }));
    REQUIRE(status["state"] == "ready");
    REQUIRE(status["configuration"]["version"] == 1);
    REQUIRE(status["daemons"].size() == 2);
    REQUIRE(status["daemons"][1]["state"] == "suspect");
    REQUIRE(status["daemons"][1]["version"] == 1);
    REQUIRE(status["pools"][0]["pool"] == "assistants");
    REQUIRE(status["pools"][0]["leaving"] == 1);
    REQUIRE(status["pools"][0]["gap"] == 0.0);
    bool isGuildListed = false;
    for (const json& workspace : status["workspaces"]) {
        if (workspace["workspace"] == "guild") {
            isGuildListed = true;
            REQUIRE(workspace["queued"] == 1);
            REQUIRE(workspace["share"] == 2.0);
        }
    }
    REQUIRE(isGuildListed);
    const json endpointList = json::parse(endpointsJson(endpoints, *replica.configuration, now));
    REQUIRE(endpointList["endpoints"][0]["state"] == "leaving");
    REQUIRE(endpointList["endpoints"][0]["availabilityZone"] == "gebze");
    REQUIRE(endpointList["endpoints"][0]["reportAgeMs"] == 100);
}

TEST_CASE("the operator token is read from a file or the environment", "[admin]")
{
    REQUIRE(readOperatorToken({}).value().empty());
    const auto path = std::filesystem::temp_directory_path() / ("jasminestack-operator-" + std::to_string(getpid()));
    std::ofstream(path) << "secret \n";
    REQUIRE(readOperatorToken({ .operatorTokenFile = path.string() }).value() == "secret");
    std::ofstream(path) << "\n";
    // An empty token must be an error at startup. Treated as "no token configured", it would make the daemon refuse all
    // changes without a message at startup.
    REQUIRE(readOperatorToken({ .operatorTokenFile = path.string() }).error().kind == ErrorKind::SettingsInvalid);
    std::filesystem::remove(path);
    REQUIRE_FALSE(readOperatorToken({ .operatorTokenFile = path.string() }));
    setenv("JASMINESTACK_TEST_TOKEN", "from-environment", 1);
    REQUIRE(readOperatorToken({ .operatorTokenEnvironment = "JASMINESTACK_TEST_TOKEN" }).value() == "from-environment");
    REQUIRE_FALSE(readOperatorToken({ .operatorTokenEnvironment = "JASMINESTACK_TEST_NO_TOKEN" }));
}
