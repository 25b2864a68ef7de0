#include "router/FleetUpdateCodec.h"
#include "router/PlacementCodec.h"
#include "routing/FleetView.h"
#include "routing/StreamDuration.h"

#include <catch2/catch.hpp>

using namespace jasminestack;

namespace {

const PoolId llm { "llm" };
constexpr Millis start { 1'000 };
constexpr Millis timeLeft { 12'000 };
constexpr std::uint64_t longOutput { 480 };
constexpr std::uint64_t shortOutput { 24 };

RoutingTable tableWithModelPool()
{
    RoutingTable table;
    table.version = 1;
    table.pools[llm] = { .id = llm, .isModel = true, .slots = 64 };
    return table;
}

FleetView viewWithEndpoints(unsigned count)
{
    std::vector<Registration> registrations;
    for (unsigned i = 0; i < count; ++i)
        registrations.push_back({ .id = EndpointId { "e" + std::to_string(i) },
            .pool = llm,
            .address = "127.0.0.1:" + std::to_string(9'000 + i),
            .availabilityZone = "a",
            .slots = 64 });
    FleetView fleetView;
    setRegistrations(fleetView, registrations);
    return fleetView;
}

EndpointInstanceId instanceOf(const FleetView& fleetView, const std::string& id)
{
    return fleetView.endpoints.at(EndpointId { id }).instanceId;
}

EndpointChoice choose(FleetView& fleetView, std::uint64_t expectedOutputTokens, Millis now)
{
    RoutingTable table = tableWithModelPool();
    AdmissionLimits limits
        = admissionLimits({ .objective = { 400 }, .tightestPoolObjective = { 400 }, .timeToDeadline = timeLeft });
    return chooseEndpoint(fleetView, table, llm, { .promptTokens = 800, .expectedOutputTokens = expectedOutputTokens },
        { .limits = limits, .availabilityZone = "a", .isRepeatable = true, .streamTimeLeft = timeLeft }, now);
}

// Runs a stream of 20 events at the endpoint, one event for every six tokens that its caller expected.
// Returns the time of its end.
Millis runStream(FleetView& fleetView, const std::string& id, Millis eventInterval, Millis now)
{
    EndpointView& view = fleetView.endpoints.at(EndpointId { id });
    Placement placement = recordSend(fleetView, { .endpoint = &view, .prefillTokens = 800, .backlogTokens = 800 },
        { .promptTokens = 800, .expectedOutputTokens = 120 }, now);
    now = now + Millis { 130 };
    recordFirstByte(fleetView, placement, now);
    for (unsigned event = 0; event < 20; ++event) {
        now = now + eventInterval;
        recordEvents(fleetView, placement, 1, eventInterval, now);
    }
    recordEnd(fleetView, placement, AttemptOutcome::Answered, now);
    return now;
}

// Runs streams at e0 and e1, which prompts delay so that they need 250 ms for an event, and at e2, which needs 50 ms.
// Returns the time of their end.
Millis loadEndpoints(FleetView& fleetView)
{
    Millis now = start;
    for (unsigned i = 0; i < 10; ++i) {
        runStream(fleetView, "e0", Millis { 250 }, now);
        runStream(fleetView, "e2", Millis { 50 }, now + Millis { 4'000 });
        now = runStream(fleetView, "e1", Millis { 250 }, now);
    }
    return now;
}

}

// Guards against long streams on endpoints that generate too slowly for them: they were cut off at their caller's
// deadline, and of the largest tenth a third was served.
TEST_CASE("a long stream goes to an endpoint where it ends before its deadline", "[policy][stream]")
{
    FleetView fleetView = viewWithEndpoints(3);
    Millis now = loadEndpoints(fleetView);
    setPeerLoad(fleetView, 1, instanceOf(fleetView, "e2"), { .inFlight = 20, .pendingPrefillTokens = 3'000 });
    CHECK(choose(fleetView, longOutput, now).endpoint->registration.id.value == "e2");
    CHECK(choose(fleetView, shortOutput, now).endpoint->registration.id.value != "e2");
}

// The only endpoint that is fast enough has a queue above the limit, which shorter streams keep free.
TEST_CASE("a long stream may join a longer queue where it ends in time", "[policy][stream]")
{
    FleetView fleetView = viewWithEndpoints(3);
    Millis now = loadEndpoints(fleetView);
    PoolView& pool = fleetView.pools[llm];
    EndpointLoad queue { .inFlight = 30,
        .pendingPrefillTokens = static_cast<std::uint64_t>(220.0 / pool.latencyModel.msPerToken) };
    for (const char* id : { "e0", "e1", "e2" }) {
        fleetView.endpoints.at(EndpointId { id }).latencyRatio = 1.0;
        setPeerLoad(fleetView, 1, instanceOf(fleetView, id), queue);
    }
    pool.latencyModel.baseMs = 20;
    AdmissionLimits limits = admissionLimits(
        { .objective = { 400 }, .tightestPoolObjective = { 400 }, .fairShareRatio = 1.0, .timeToDeadline = timeLeft });
    REQUIRE(limits.maxQueueMs < 220.0);
    EndpointChoice longStream = choose(fleetView, longOutput, now);
    CHECK(longStream.isWithinLimits);
    CHECK(longStream.endpoint->registration.id.value == "e2");
    CHECK_FALSE(choose(fleetView, shortOutput, now).isWithinLimits);
}

// Guards against a choice by a few accidental samples.
TEST_CASE("without enough complete streams their length does not change the choice", "[policy][stream]")
{
    FleetView fleetView = viewWithEndpoints(2);
    Millis now = runStream(fleetView, "e0", Millis { 400 }, start);
    now = runStream(fleetView, "e1", Millis { 50 }, now);
    CHECK(expectedEvents(fleetView.pools[llm].streamLength, longOutput) == 0);
    EndpointChoice withDeadline = choose(fleetView, longOutput, now);
    EndpointChoice shortStream = choose(fleetView, shortOutput, now);
    CHECK(withDeadline.endpoint == shortStream.endpoint);
}

TEST_CASE("the expected number of events follows the estimate of output tokens", "[policy][stream]")
{
    StreamLengthModel model;
    for (unsigned i = 0; i < 100; ++i)
        addCompleteStream(model, 10, 120); // Half of the estimate, with six tokens to an event.
    CHECK(expectedEvents(model, 480) == Approx(40));
}

TEST_CASE("without recent events an endpoint's interval becomes its pool's", "[policy][stream]")
{
    EventInterval endpoint { .averageMs = 400, .updatedAt = start };
    EventInterval pool { .averageMs = 50, .updatedAt = start };
    CHECK(expectedEventIntervalMs(endpoint, pool, start) == Approx(400));
    CHECK(expectedEventIntervalMs(endpoint, pool, start + Millis { 60'000 }) == Approx(50).margin(1));
    CHECK(expectedEventIntervalMs({}, pool, start) == Approx(50));
}

TEST_CASE("a stream without a deadline or of unknown length has no cost for a late end", "[policy][stream]")
{
    CHECK(lateEndCostMs({ .streamMs = 60'000 }, 100, 800) == 0);
    CHECK(lateEndCostMs({ .timeToDeadlineMs = 1'000 }, 2'000, 800) == 0);
    CHECK(lateEndCostMs({ .streamMs = 9'000, .timeToDeadlineMs = 12'000 }, 100, 800) == 0);
    StreamEndPrediction lateEnd { .streamMs = 12'000, .timeToDeadlineMs = 12'000 };
    CHECK(lateEndCostMs(lateEnd, 100, 800) > 0);
    CHECK(lateEndCostMs(lateEnd, 100, 12'000) < lateEndCostMs(lateEnd, 100, 800) / 2);
}

// Guards against a field that old and new daemons read in different ways.
TEST_CASE("a fleet update passes the interval between events on", "[policy][stream]")
{
    FleetUpdate update { .instanceId = 1, .daemonId = "d", .address = "127.0.0.1:1" };
    update.attemptReports = { { .endpoint = 5, .hasEnded = true, .elapsedMs = 900, .eventIntervalMs = 45 },
        { .endpoint = 6, .backlogTokens = 7'000, .elapsedMs = 300 } };
    auto decoded = decodeFleetUpdate(encodeFleetUpdate(update, start), start);
    REQUIRE(decoded);
    REQUIRE(decoded.value().attemptReports.size() == 2);
    CHECK(decoded.value().attemptReports[0].eventIntervalMs == 45);
    CHECK(decoded.value().attemptReports[1].backlogTokens == 7'000);
}

// Guards against coordinators that place streams without the caller's estimate.
TEST_CASE("a placement request passes the expected output tokens on", "[policy][stream]")
{
    for (std::uint64_t tokens : { 0, 300 }) {
        PlacementRequest request { .requester = 1, .id = 2, .shard = 3 };
        request.query = { .pool = llm, .expectedOutputTokens = tokens, .deadline = start + timeLeft };
        auto decoded = decodePlacementRequest(encodePlacementRequest(request, start), start);
        REQUIRE(decoded);
        CHECK(decoded.value().query.expectedOutputTokens == tokens);
    }
}

// Guards against a workspace that gets more than its share by overstating the length of its streams.
TEST_CASE("only workspaces below their fair share join longer queues", "[policy][stream]")
{
    AdmissionInput input { .objective = { 400 }, .tightestPoolObjective = { 400 }, .timeToDeadline = timeLeft };
    CHECK(admissionLimits(input).urgentQueueFactor > 1.0);
    input.fairShareRatio = 1.1;
    CHECK(admissionLimits(input).urgentQueueFactor == 1.0);
}

// Guards against a refusal because the endpoint that is chosen has a queue above the limits, although another endpoint
// has none: the cost of a late end has no maximum.
TEST_CASE("endpoints within the admission limits come before all others, however long the stream", "[policy][stream]")
{
    FleetView fleetView = viewWithEndpoints(2);
    Millis now = start;
    for (unsigned i = 0; i < 30; ++i) {
        runStream(fleetView, "e0", Millis { 50 }, now);
        now = runStream(fleetView, "e1", Millis { 250 }, now);
    }
    setPeerLoad(fleetView, 1, instanceOf(fleetView, "e0"), { .inFlight = 30, .pendingPrefillTokens = 1'000'000 });
    constexpr std::uint64_t madeUpTokens { 1'000'000'000'000 };
    EndpointChoice choice = choose(fleetView, madeUpTokens, now);
    CHECK(choice.endpoint->registration.id.value == "e1");
    CHECK(choice.isWithinLimits);
}

// Guards against one caller's made-up estimate that makes the streams of all others look short.
TEST_CASE("a made-up estimate hardly changes the predicted length of other streams", "[policy][stream]")
{
    StreamLengthModel model;
    for (unsigned i = 0; i < 400; ++i)
        addCompleteStream(model, 20, 120);
    double before = expectedEvents(model, 120);
    addCompleteStream(model, 20, 1'000'000'000'000'000);
    CHECK(expectedEvents(model, 120) > before / 5);
}
