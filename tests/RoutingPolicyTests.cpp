#include "routing/FleetRetryBudget.h"
#include "routing/FleetView.h"
#include "routing/LatencyAdmission.h"
#include "routing/LatencyModel.h"
#include "routing/PromptCache.h"
#include "routing/RefusalHistory.h"
#include "routing/WorkspaceShares.h"

#include <catch2/catch.hpp>
#include <set>

using namespace jasminestack;

namespace {

const PoolId llm { "llm" };

RoutingTable tableWithModelPool()
{
    RoutingTable table;
    table.version = 1;
    table.pools[llm] = { .id = llm, .isModel = true, .slots = 16, .memoryTokens = 600'000 };
    return table;
}

std::vector<Registration> makeRegistrations(unsigned count, const std::string& zone = "a")
{
    std::vector<Registration> registrations;
    for (unsigned i = 0; i < count; ++i)
        registrations.push_back({ .id = EndpointId { "e" + std::to_string(i) },
            .pool = llm,
            .address = "127.0.0.1:" + std::to_string(9'000 + i),
            .availabilityZone = zone,
            .slots = 16 });
    return registrations;
}

std::vector<PromptPart> makePrompt(std::uint64_t sharedKey, std::uint64_t ownKey)
{
    return { { .key = sharedKey, .tokens = 13'000 }, { .key = ownKey, .tokens = 1'000 } };
}

EndpointChoiceRules rulesFor(const AdmissionLimits& limits)
{
    return { .limits = limits, .availabilityZone = "a", .isRepeatable = true };
}

constexpr AdmissionInput defaultInput {
    .objective = { 800 }, .tightestPoolObjective = { 800 }, .timeToDeadline = { 15'000 }
};

Placement sendTo(FleetView& fleetView, const RoutingTable& table, const std::vector<PromptPart>& parts, Millis now,
    const AdmissionInput& input = defaultInput)
{
    RequestWorkload workload { .prompt = parts, .promptTokens = 14'000, .maxOutputTokens = 100 };
    EndpointChoice choice = chooseEndpoint(fleetView, table, llm, workload, rulesFor(admissionLimits(input)), now);
    REQUIRE(choice.endpoint);
    return recordSend(fleetView, choice, workload, now);
}

}

// Many requests share one prompt part. Guards against processing it again on every endpoint.
TEST_CASE("requests with a shared part go to the endpoint that has cached it", "[policy]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    setRegistrations(fleetView, makeRegistrations(6));
    Millis now { 1'000 };
    Placement first = sendTo(fleetView, table, makePrompt(7, 100), now);
    recordFirstByte(fleetView, first, now + Millis { 300 });
    for (std::uint64_t i = 1; i < 5; ++i) {
        now += Millis { 400 };
        Placement next = sendTo(fleetView, table, makePrompt(7, 100 + i), now);
        CHECK(next.endpoint == first.endpoint);
        CHECK(next.prefillTokens == 1'000);
        recordFirstByte(fleetView, next, now + Millis { 100 });
        recordEnd(fleetView, next, AttemptOutcome::Answered, now + Millis { 200 });
    }
}

// Very many requests share one prompt part (hot key). Guards against overloading the one endpoint that has cached it
// while the others are idle.
TEST_CASE("a part with very many uses is copied to further endpoints", "[policy][hot-key]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    setRegistrations(fleetView, makeRegistrations(6));
    std::set<std::string> usedEndpoints;
    Millis now { 1'000 };
    for (std::uint64_t i = 0; i < 300; ++i) {
        now += Millis { 5 };
        usedEndpoints.insert(sendTo(fleetView, table, makePrompt(7, 100 + i), now).endpoint.value);
    }
    CHECK(usedEndpoints.size() >= 3);
}

// Rarely used parts on busy endpoints. Guards against copies that evict other parts from the caches.
TEST_CASE("a rarely used part is not copied to another endpoint only because that one is less busy", "[policy]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    setRegistrations(fleetView, makeRegistrations(2));
    Placement first = sendTo(fleetView, table, makePrompt(7, 100), Millis { 1'000 });
    recordFirstByte(fleetView, first, Millis { 1'300 });
    setPeerLoad(fleetView, 1, first.instanceId, { .inFlight = 4, .pendingPrefillTokens = 6'000 });
    Placement next = sendTo(fleetView, table, makePrompt(7, 101), Millis { 2'000 });
    CHECK(next.endpoint == first.endpoint);
}

// All daemons are killed while requests of other origin occupy the endpoints. Guards against a model that attributes
// the wait behind this unreported load to the base time of idle endpoints: the slope then goes to zero, and any backlog
// is admitted.
TEST_CASE("waits behind unknown work make the model more careful, not less", "[policy][restart]")
{
    LatencyModel model;
    Random random(1);
    auto addSampleWithUnknownWork = [&](double unknownWork) {
        double backlogTokens = 500.0 + 20'000.0 * random.uniformReal();
        addSample(model, backlogTokens, 100.0 + (backlogTokens + unknownWork) / 60.0);
    };
    for (int i = 0; i < 500; ++i)
        addSampleWithUnknownWork(0);
    CHECK(model.baseMs == Approx(100.0).margin(40.0));
    CHECK(model.msPerToken == Approx(1.0 / 60.0).epsilon(0.3));
    for (int i = 0; i < 400; ++i)
        addSampleWithUnknownWork(300'000.0 * random.uniformReal());
    CHECK(model.baseMs <= 400.0);
    CHECK(model.msPerToken > 1.0 / 60.0);
    for (int i = 0; i < 1'500; ++i)
        addSampleWithUnknownWork(0);
    CHECK(model.msPerToken == Approx(1.0 / 60.0).epsilon(0.3));
}

// All daemons restart at once and lose their modelled caches, while the endpoints keep theirs. Guards against placing
// shared parts on other endpoints than before, which would process all of them again.
TEST_CASE("daemons without memory send shared parts where they went before", "[policy][restart]")
{
    RoutingTable table = tableWithModelPool();
    FleetView before;
    FleetView after;
    setRegistrations(before, makeRegistrations(12));
    setRegistrations(after, makeRegistrations(12));
    Millis now { 1'000 };
    unsigned samePlacements = 0;
    constexpr unsigned parts = 200;
    for (std::uint64_t part = 1; part <= parts; ++part) {
        Placement first = sendTo(before, table, makePrompt(part * 7'919, part), now);
        Placement second = sendTo(after, table, makePrompt(part * 7'919, part + 1'000), now);
        samePlacements += first.endpoint == second.endpoint ? 1U : 0U;
        recordFirstByte(before, first, now + Millis { 300 });
        recordFirstByte(after, second, now + Millis { 300 });
        recordEnd(before, first, AttemptOutcome::Answered, now + Millis { 400 });
        recordEnd(after, second, AttemptOutcome::Answered, now + Millis { 400 });
        now += Millis { 500 };
    }
    CHECK(samePlacements == parts);
    // A preferred endpoint with a large backlog is not chosen.
    Placement preferred = sendTo(after, table, makePrompt(5, 1), now);
    recordEnd(after, preferred, AttemptOutcome::Cancelled, now);
    FleetView busy;
    setRegistrations(busy, makeRegistrations(12));
    setPeerLoad(busy, 9, preferred.instanceId, { .inFlight = 4, .pendingPrefillTokens = 60'000 });
    CHECK(sendTo(busy, table, makePrompt(5, 2), now).endpoint != preferred.endpoint);
}

// Short prompts, and traffic between availability zones is expensive. Guards against requests that go to another zone
// for cached parts that save less than the crossing costs.
TEST_CASE("a request with few shared tokens goes to an endpoint in its daemon's availability zone", "[policy]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    auto registrations = makeRegistrations(2, "b");
    registrations[1].availabilityZone = "a";
    setRegistrations(fleetView, registrations);
    std::vector<PromptPart> shortPrompt { { .key = 1, .tokens = 210 }, { .key = 2, .tokens = 140 },
        { .key = 3, .tokens = 900 } };
    recordPeerPrompt(fleetView, endpointInstanceId(registrations[0]), shortPrompt, Millis { 1'000 });
    EndpointChoiceRules rules = rulesFor(admissionLimits(defaultInput));
    EndpointChoice shortPromptChoice = chooseEndpoint(fleetView, table, llm,
        { .prompt = std::span(shortPrompt).first(2), .promptTokens = 350 }, rules, Millis { 1'001 });
    REQUIRE(shortPromptChoice.endpoint);
    CHECK(shortPromptChoice.endpoint->registration.availabilityZone == "a");
    // A long shared part justifies the cost of crossing zones.
    auto shared = makePrompt(7, 1);
    recordPeerPrompt(fleetView, endpointInstanceId(registrations[0]), shared, Millis { 1'000 });
    EndpointChoice longPromptChoice = chooseEndpoint(fleetView, table, llm,
        { .prompt = shared, .promptTokens = 14'000, .maxOutputTokens = 100 }, rules, Millis { 1'001 });
    REQUIRE(longPromptChoice.endpoint);
    CHECK(longPromptChoice.endpoint->registration.availabilityZone == "b");
}

// Guards against a fleet view that counts only this daemon's own requests.
TEST_CASE("load and prompts of peers count like the daemon's own", "[policy]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    setRegistrations(fleetView, makeRegistrations(2));
    EndpointInstanceId busy = fleetView.endpoints.begin()->second.instanceId;
    setPeerLoad(fleetView, 42, busy, { .inFlight = 5, .pendingPrefillTokens = 30'000 });
    CHECK(sendTo(fleetView, table, makePrompt(1, 2), Millis { 1'000 }).instanceId != busy);
    // The peer's process ends, which closes the connections of its requests.
    clearPeerLoad(fleetView, 42);
    CHECK(fleetView.endpoints.begin()->second.load() == EndpointLoad {});
    recordPeerPrompt(fleetView, busy, makePrompt(9, 1), Millis { 1'000 });
    CHECK(sendTo(fleetView, table, makePrompt(9, 2), Millis { 1'001 }).instanceId == busy);
}

// An endpoint crashes and comes back. Guards against sending requests to it while it is down, and against excluding it
// forever after it has recovered.
TEST_CASE("a lost engine gets no work for a while, then one repeatable request at a time", "[policy][crash]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    setRegistrations(fleetView, makeRegistrations(1));
    Millis now { 1'000 };
    RequestWorkload workload { .promptTokens = 100 };
    EndpointChoiceRules rules = rulesFor(admissionLimits(defaultInput));
    Placement failedPlacement
        = recordSend(fleetView, chooseEndpoint(fleetView, table, llm, workload, rules, now), workload, now);
    recordEnd(fleetView, failedPlacement, AttemptOutcome::ConnectionFailed, now);
    CHECK(!chooseEndpoint(fleetView, table, llm, workload, rules, now + Millis { 100 }).endpoint);
    now += Millis { 400 };
    EndpointChoiceRules nonRepeatableRules = rules;
    nonRepeatableRules.isRepeatable = false;
    CHECK(!chooseEndpoint(fleetView, table, llm, workload, nonRepeatableRules, now).endpoint);
    Placement probe = recordSend(fleetView, chooseEndpoint(fleetView, table, llm, workload, rules, now), workload, now);
    CHECK(!chooseEndpoint(fleetView, table, llm, workload, rules, now).endpoint);
    recordEnd(fleetView, probe, AttemptOutcome::Answered, now);
    CHECK(chooseEndpoint(fleetView, table, llm, workload, nonRepeatableRules, now).endpoint);
}

// A restarted endpoint has an empty cache and no requests. Guards against keeping the state of the earlier process with
// the same id.
TEST_CASE("an endpoint that starts again under its id has an empty cache and no load or failures", "[policy]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    auto registrations = makeRegistrations(1);
    registrations[0].startedAtUnixMs = 5;
    setRegistrations(fleetView, registrations);
    Placement before = sendTo(fleetView, table, makePrompt(1, 2), Millis { 1'000 });
    registrations[0].startedAtUnixMs = 6;
    setRegistrations(fleetView, registrations);
    CHECK(fleetView.endpoints.begin()->second.promptCache.tokens() == 0);
    CHECK(fleetView.endpoints.begin()->second.load() == EndpointLoad {});
    recordEnd(fleetView, before, AttemptOutcome::ConnectionFailed, Millis { 1'100 });
    CHECK(fleetView.endpoints.begin()->second.consecutiveConnectionFailures == 0);
}

TEST_CASE("draining endpoints get no new requests", "[policy]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    auto registrations = makeRegistrations(1);
    registrations[0].isDraining = true;
    setRegistrations(fleetView, registrations);
    CHECK(!chooseEndpoint(
        fleetView, table, llm, { .promptTokens = 10 }, rulesFor(admissionLimits(defaultInput)), Millis { 1 })
               .endpoint);
}

// One workspace sends ten times its usual load. Guards against its requests filling the endpoints before those of the
// others arrive.
TEST_CASE("a workspace above its fair share has a lower queue limit than one below", "[policy][hot-workspace]")
{
    AdmissionInput aboveShare = defaultInput;
    aboveShare.fairShareRatio = 2.0;
    AdmissionInput belowShare = defaultInput;
    belowShare.fairShareRatio = 0.5;
    CHECK(admissionLimits(aboveShare).maxQueueMs < admissionLimits(defaultInput).maxQueueMs / 4);
    CHECK(admissionLimits(belowShare).maxQueueMs > admissionLimits(defaultInput).maxQueueMs);
}

// Overload. Guards against queues at the endpoints that make every response late.
TEST_CASE("a request is not sent to an endpoint with a longer queue than its objective allows", "[policy][burst]")
{
    AdmissionLimits limits = admissionLimits(defaultInput);
    CHECK(isPredictionWithinLimits(limits, { .queueMs = 100, .idleEndpointMs = 300 }));
    CHECK(!isPredictionWithinLimits(limits, { .queueMs = 900, .idleEndpointMs = 100 }));
    CHECK(!isPredictionWithinLimits(limits, { .queueMs = 300, .idleEndpointMs = 700 }));
}

// Very long prompts. Guards against never sending a request that is late even on an idle endpoint.
TEST_CASE("a request that cannot meet its objective is sent to an endpoint with a short queue", "[policy][long-prompt]")
{
    AdmissionLimits limits = admissionLimits(defaultInput);
    CHECK(isLate(limits, { .idleEndpointMs = 1'600 }));
    CHECK(isPredictionWithinLimits(limits, { .queueMs = 50, .idleEndpointMs = 1'600 }));
    CHECK(!isPredictionWithinLimits(limits, { .queueMs = 300, .idleEndpointMs = 1'600 }));
}

// Many callers are refused at the same time. Guards against equal retry delays, after which all of them retry at once.
TEST_CASE("refused callers get different retry delays", "[policy][retry-storm]")
{
    Random random(1);
    AdmissionLimits limits = admissionLimits(defaultInput);
    std::set<std::int64_t> delays;
    for (int i = 0; i < 20; ++i)
        delays.insert(retryDelay(defaultInput, limits, { .queueMs = 2'000, .idleEndpointMs = 100 }, random).count);
    CHECK(delays.size() > 15);
    CHECK(*delays.begin() >= 1'000);
}

TEST_CASE("a request waits in the daemon while it can meet its objective", "[policy]")
{
    AdmissionInput input = defaultInput;
    input.timeSinceFirstArrival = Millis { 300 };
    LatencyPrediction busy { .queueMs = 900, .idleEndpointMs = 200 };
    CHECK(mayWait(input, admissionLimits(input), busy));
    input.timeSinceFirstArrival = input.timeSinceArrival = Millis { 3'000 };
    CHECK(!mayWait(input, admissionLimits(input), busy));
}

TEST_CASE("max-min shares are equal unless a demand is lower", "[policy]")
{
    std::vector<double> demands { 10, 100, 30 };
    CHECK(maxMinShares(demands, 90) == std::vector<double> { 10, 50, 30 });
    CHECK(maxMinShares(demands, 200) == demands);
}

// A workspace sends its load through many daemons. Guards against judging it by the small part that each daemon
// receives.
TEST_CASE("the fair-share ratio counts the service of all daemons", "[policy]")
{
    WorkspaceShares shares;
    WorkspaceId aboveShare { "flood" };
    WorkspaceId belowShare { "small" };
    Millis now { 1'000 };
    recordDemand(shares, workspaceHash(belowShare), 1'000, now);
    recordServed(shares, workspaceHash(belowShare), 500, now);
    for (DaemonInstanceId peer = 1; peer <= 4; ++peer)
        shares.peerRates[peer] = {
            { .workspace = workspaceHash(aboveShare), .demandTokensPerSecond = 2'000, .servedTokensPerSecond = 1'000 }
        };
    refreshFairShareRatios(shares, now);
    CHECK(fairShareRatio(shares, workspaceHash(aboveShare)) > 1.0);
    CHECK(fairShareRatio(shares, workspaceHash(belowShare)) < 1.0);
}

// Daemons that cannot communicate each apply their part of the budget. Guards against a sum of retries above the
// fleet's bound.
TEST_CASE("daemons together stay within the bound on retries in every window", "[policy][retry-storm]")
{
    RetryBounds bounds { .ratio = 0.2, .slack = 54, .window = { 10'000 }, .daemonCount = 7 };
    std::vector<FleetRetryBudget> daemons(7);
    std::vector<std::int64_t> retryTimes;
    std::vector<std::int64_t> requestTimes;
    for (std::int64_t timeMs = 0; timeMs < 40'000; timeMs += 10) {
        auto& daemon = daemons[static_cast<std::size_t>(timeMs / 10 % 7)];
        daemon.recordRequest(llm, bounds, Millis { timeMs });
        requestTimes.push_back(timeMs);
        for (int i = 0; i < 3; ++i) {
            if (daemon.tryConsume(llm, bounds, Millis { timeMs }))
                retryTimes.push_back(timeMs);
        }
    }
    for (std::int64_t windowStartMs = 0; windowStartMs < 30'000; windowStartMs += 500) {
        auto isInWindow
            = [&](std::int64_t timeMs) { return timeMs >= windowStartMs && timeMs < windowStartMs + 10'000; };
        auto retriesInWindow = std::count_if(retryTimes.begin(), retryTimes.end(), isInWindow);
        auto requestsInWindow = std::count_if(requestTimes.begin(), requestTimes.end(), isInWindow);
        CHECK(static_cast<double>(retriesInWindow) <= 0.2 * static_cast<double>(requestsInWindow) + 54);
    }
    CHECK(retryTimes.size() > 300);
}

TEST_CASE("a retry keeps the arrival time of the caller's first attempt", "[policy]")
{
    RefusalHistory refusalHistory;
    refusalHistory.record(5, Millis { 1'000 }, Millis { 1'200 });
    CHECK(refusalHistory.firstArrival(5, Millis { 2'000 }) == Millis { 1'000 });
    refusalHistory.record(5, Millis { 2'000 }, Millis { 2'100 });
    CHECK(refusalHistory.firstArrival(5, Millis { 3'000 }) == Millis { 1'000 });
    CHECK(!refusalHistory.firstArrival(6, Millis { 2'000 }));
    CHECK(!refusalHistory.firstArrival(5, Millis { 60'000 }));
}

TEST_CASE("the latency model learns base time and slope from its samples", "[policy]")
{
    LatencyModel model;
    Random random(3);
    for (int i = 0; i < 400; ++i) {
        auto backlogTokens = static_cast<double>(random.uniformInteger(30'000));
        addSample(model, backlogTokens, 120 + backlogTokens * 0.025);
    }
    CHECK(model.baseMs == Approx(120).margin(10));
    CHECK(model.msPerToken == Approx(0.025).epsilon(0.05));
}

TEST_CASE("a prompt part counts as cached only with all parts before it", "[policy]")
{
    PromptCache cache;
    cache.insert(makePrompt(1, 2));
    CHECK(cache.cachedTokens(makePrompt(1, 3)) == 13'000);
    CHECK(cache.cachedTokens(makePrompt(4, 2)) == 0);
    cache.insert(makePrompt(5, 6));
    cache.shrink(14'000);
    CHECK(cache.cachedTokens(makePrompt(5, 6)) == 14'000);
    CHECK(cache.cachedTokens(makePrompt(1, 2)) == 0);
}

// Guards against requests to an engine that has said in an answer that it leaves, or that it wants a pause, before the
// store reports it.
TEST_CASE("an engine that says that it leaves or wants a pause is not chosen", "[policy][notice]")
{
    FleetView fleetView;
    RoutingTable table = tableWithModelPool();
    auto registrations = makeRegistrations(2);
    setRegistrations(fleetView, registrations);
    Millis now { 1'000 };
    RequestWorkload workload { .promptTokens = 100 };
    EndpointChoiceRules rules = rulesFor(admissionLimits(defaultInput));
    EndpointInstanceId first = endpointInstanceId(registrations[0]);
    auto isChosen = [&](Millis time) {
        auto& second = fleetView.endpoints.at(registrations[1].id);
        second.excludedUntil = time + Millis { 1 };
        return chooseEndpoint(fleetView, table, llm, workload, rules, time).endpoint != nullptr;
    };
    REQUIRE(isChosen(now));
    SECTION("a pause ends, and an earlier end does not shorten it")
    {
        CHECK(recordEndpointNotice(fleetView, first, false, Millis { 2'000 }, now));
        CHECK_FALSE(recordEndpointNotice(fleetView, first, false, Millis { 500 }, now));
        CHECK_FALSE(isChosen(now + Millis { 1'999 }));
        CHECK(isChosen(now + Millis { 2'000 }));
    }
    SECTION("a huge pause is bounded")
    {
        CHECK(recordEndpointNotice(fleetView, first, false, Millis { 1'000'000'000 }, now));
        CHECK(isChosen(now + Millis { 3'600'000 }));
    }
    SECTION("leaving holds for this process, also after the registrations are read again")
    {
        CHECK(recordEndpointNotice(fleetView, first, true, {}, now));
        CHECK_FALSE(recordEndpointNotice(fleetView, first, true, {}, now));
        setRegistrations(fleetView, registrations);
        CHECK_FALSE(isChosen(now + Millis { 60'000 }));
        registrations[0].startedAtUnixMs += 1;
        setRegistrations(fleetView, registrations);
        CHECK(isChosen(now + Millis { 60'000 }));
    }
    SECTION("the answer of an earlier process says nothing about the present one")
    {
        CHECK_FALSE(recordEndpointNotice(fleetView, first + 1, true, Millis { 2'000 }, now));
        CHECK(isChosen(now));
    }
}
