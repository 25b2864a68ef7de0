#include "base/Random.h"
#include "platform/StoreDocuments.h"
#include "routing/FleetView.h"
#include "routing/PlacementDecision.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

using namespace jasminestack;

namespace {

const PoolId llm { "llm" };
constexpr double coldRate = 6.9;
constexpr PaceOptions paceOptions { .coldOvershoot = 1.5, .coldSlack = 5 };
constexpr std::size_t bound = 15; ///< coldRate * 1.5 + 5, rounded down.
constexpr Millis coldDuration { 3'000 };
constexpr Millis start { 100'000 };

RoutingTable tableWithColdRate(double rate = coldRate)
{
    RoutingTable table;
    table.version = 1;
    table.pools[llm] = { .id = llm,
        .isModel = true,
        .slots = 64,
        .memoryTokens = 600'000,
        .coldRequestsPerSecond = rate,
        .coldDuration = rate > 0 ? coldDuration : Millis {} };
    return table;
}

std::vector<Registration> makeRegistrations(unsigned count, Millis remainingWarmup = {})
{
    std::vector<Registration> registrations;
    for (unsigned i = 0; i < count; ++i)
        registrations.push_back({ .id = EndpointId { "e" + std::to_string(i) },
            .pool = llm,
            .address = "127.0.0.1:" + std::to_string(9'000 + i),
            .availabilityZone = i % 2 == 0 ? "a" : "b",
            .slots = 64,
            .remainingWarmup = remainingWarmup });
    return registrations;
}

EndpointPace pacedEndpoint(const RoutingTable& table = tableWithColdRate())
{
    EndpointPace pace;
    pace.limits = paceLimits(table.poolSpec(llm), paceOptions);
    return pace;
}

/// \returns The most sends in any second, wherever it begins.
std::size_t mostInOneSecond(std::vector<Millis> sends)
{
    std::sort(sends.begin(), sends.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sends.size(); ++last) {
        while (sends[last] - sends[first] >= Millis { 1'000 })
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// \brief A daemon that places requests, with a number of requests that wait all the time.
struct PlacingDaemon {
    FleetView fleetView;
    RoutingTable table;
    std::map<std::string, std::vector<Millis>> sends; ///< By endpoint.
    std::vector<std::pair<Millis, Placement>> inFlight; ///< With the time of the first byte.
    double answerMs { 100 }; ///< Time to the first byte; all further events follow at once.

    PlacingDaemon(const RoutingTable& routingTable, std::span<const Registration> registrations, Millis now)
        : table(routingTable)
    {
        registerEndpoints(registrations, now);
    }

    void registerEndpoints(std::span<const Registration> registrations, Millis now)
    {
        setRegistrations(fleetView, registrations);
        setMemoryCapacities(fleetView, table);
        updatePaces(fleetView, table, paceOptions, now);
    }

    [[nodiscard]] EndpointView& view(const std::string& id) { return fleetView.endpoints.at(EndpointId { id }); }

    /// \brief Sends up to \p count requests. Returns the number that found an endpoint.
    unsigned sendRequests(unsigned count, Millis now)
    {
        RequestWorkload workload { .promptTokens = 1'000, .maxOutputTokens = 50 };
        EndpointChoiceRules rules { .limits = { .maxQueueMs = 1e9, .maxFirstByteMs = 1e9, .maxQueueWhenLateMs = 1e9 },
            .availabilityZone = "a",
            .isRepeatable = true };
        for (unsigned i = 0; i < count; ++i) {
            EndpointChoice choice = chooseEndpoint(fleetView, table, llm, workload, rules, now);
            if (!choice.endpoint)
                return i;
            Placement placement = recordSend(fleetView, choice, workload, now);
            sends[placement.endpoint.value].push_back(now);
            inFlight.emplace_back(now + Millis { static_cast<std::int64_t>(answerMs) }, placement);
        }
        return count;
    }

    void receiveAnswers(Millis now)
    {
        auto isDue = [&](const auto& item) { return item.first <= now; };
        for (auto& [time, placement] : inFlight) {
            if (time > now)
                continue;
            recordFirstByte(fleetView, placement, now);
            recordEnd(fleetView, placement, AttemptOutcome::Answered, now);
        }
        std::erase_if(inFlight, isDue);
    }

    /// \returns The sends to the endpoint within the time.
    [[nodiscard]] std::size_t sendsBetween(const std::string& id, Millis from, Millis to)
    {
        const std::vector<Millis>& times = sends[id];
        return static_cast<std::size_t>(
            std::count_if(times.begin(), times.end(), [&](Millis time) { return time >= from && time < to; }));
    }
};

void failAttempts(EndpointPace& pace, unsigned count, Millis now)
{
    for (unsigned i = 0; i < count; ++i)
        recordUnanswered(pace, now);
}

/// \brief Offers a request to the endpoint each millisecond. Returns the times of those that it may get.
std::vector<Millis> offerEachMillisecond(EndpointPace& pace, Millis from, Millis to)
{
    std::vector<Millis> sends;
    for (Millis now = from; now < to; now += Millis { 1 }) {
        if (!takesRequest(pace, now))
            continue;
        recordPacedRequest(pace, now);
        sends.push_back(now);
    }
    return sends;
}

}

// Half of the endpoints come back at once, idle, while requests wait. Guards against daemons that send all that waits
// to the idle endpoints, which crash again.
TEST_CASE("endpoints that come back cold under a backlog get no more than they tolerate", "[pace]")
{
    constexpr unsigned daemonCount = 2; // Both believe to be the owner of all endpoints.
    std::vector<PlacingDaemon> daemons;
    for (unsigned i = 0; i < daemonCount; ++i)
        daemons.emplace_back(tableWithColdRate(), makeRegistrations(4), start);
    auto registrations = makeRegistrations(4);
    registrations[0].remainingWarmup = coldDuration;
    registrations[1].remainingWarmup = coldDuration;
    for (PlacingDaemon& daemon : daemons) {
        daemon.registerEndpoints(registrations, start);
        for (const char* full : { "e2", "e3" })
            recordEndpointNotice(daemon.fleetView, daemon.view(full).instanceId, false, Millis { 60'000 }, start);
    }
    Millis reachedFullPaceAt {};
    for (Millis now = start; now < start + Millis { 10'000 }; now += Millis { 5 }) {
        for (PlacingDaemon& daemon : daemons) {
            daemon.receiveAnswers(now);
            daemon.sendRequests(3, now);
        }
        bool hasFullPace = daemons[0].view("e0").pace.phase == PacePhase::Full;
        if (hasFullPace && reachedFullPaceAt == Millis {})
            reachedFullPaceAt = now;
    }
    for (const char* id : { "e0", "e1" }) {
        std::vector<Millis> all;
        for (PlacingDaemon& daemon : daemons) {
            for (Millis time : daemon.sends[id]) {
                if (time < start + coldDuration)
                    all.push_back(time);
            }
        }
        CHECK(mostInOneSecond(all) <= bound);
        CHECK(all.size() >= 30); // The cold endpoints are used.
    }
    CHECK(reachedFullPaceAt >= start + coldDuration);
    CHECK(reachedFullPaceAt <= start + coldDuration + Millis { 4'000 });
    CHECK(daemons[0].sendsBetween("e0", start + Millis { 8'000 }, start + Millis { 9'000 }) > 2 * bound);
}

// Guards against an endpoint that stays without requests, or limited, because few requests arrive.
TEST_CASE("an endpoint that returns into a quiet fleet is not idle and soon at full pace", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(), makeRegistrations(1, coldDuration), start);
    unsigned sent = 0;
    for (Millis now = start; now < start + Millis { 5'000 }; now += Millis { 250 }) {
        daemon.receiveAnswers(now);
        sent += daemon.sendRequests(1, now);
    }
    CHECK(sent == 20);
    CHECK(daemon.view("e0").pace.phase == PacePhase::Full);
}

// A host was dark; its engine was restarted, and the registration tells it later or never. Guards against sending all
// that waits as soon as a probe is answered.
TEST_CASE("an endpoint that answers again after several failures is presumed cold", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(), makeRegistrations(1), start);
    daemon.sendRequests(3, start);
    for (auto& [time, placement] : daemon.inFlight)
        recordEnd(daemon.fleetView, placement, AttemptOutcome::ConnectionFailed, start + Millis { 600 });
    daemon.inFlight.clear();
    Millis returned = start + Millis { 6'000 };
    Millis answered {};
    for (Millis now = returned; now < returned + Millis { 8'000 }; now += Millis { 5 }) {
        daemon.receiveAnswers(now);
        if (answered == Millis {} && daemon.view("e0").consecutiveConnectionFailures == 0)
            answered = now;
        daemon.sendRequests(5, now);
    }
    REQUIRE(answered != Millis {});
    std::vector<Millis> coldSends;
    for (Millis time : daemon.sends["e0"]) {
        if (time >= returned && time < answered + coldDuration)
            coldSends.push_back(time);
    }
    CHECK(mostInOneSecond(coldSends) <= bound / 2);
    CHECK(coldSends.size() >= 15);
    CHECK(daemon.view("e0").pace.cause == PaceCause::Recovery);
    CHECK(daemon.sendsBetween("e0", returned + Millis { 7'000 }, returned + Millis { 8'000 }) > 2 * bound);
}

// Peers report the attempts to the coordinator. Guards against a coordinator that counts only its own failures.
TEST_CASE("reports of peers tell that an endpoint has recovered", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(), makeRegistrations(1), start);
    EndpointInstanceId endpoint = daemon.view("e0").instanceId;
    for (int i = 0; i < 2; ++i)
        applyAttemptReport(daemon.fleetView,
            { .endpoint = endpoint, .hasEnded = true, .outcome = AttemptOutcome::ConnectionFailed }, start);
    CHECK_FALSE(isCold(daemon.view("e0").pace, start));
    applyAttemptReport(
        daemon.fleetView, { .endpoint = endpoint, .backlogTokens = 1'000, .elapsedMs = 100 }, start + Millis { 900 });
    CHECK(isCold(daemon.view("e0").pace, start + Millis { 900 }));
    CHECK(isCold(daemon.view("e0").pace, start + Millis { 3'899 }));
    CHECK_FALSE(isCold(daemon.view("e0").pace, start + Millis { 3'900 }));
}

// Guards against grants to peers that the coordinator does not count.
TEST_CASE("grants to peers use the allowance of a cold endpoint", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(), makeRegistrations(1, coldDuration), start);
    RequestWorkload workload { .promptTokens = 1'000, .maxOutputTokens = 50 };
    EndpointChoiceRules rules { .limits = { .maxQueueMs = 1e9, .maxFirstByteMs = 1e9, .maxQueueWhenLateMs = 1e9 },
        .availabilityZone = "a",
        .isRepeatable = true };
    unsigned grants = 0;
    for (unsigned i = 0; i < 40; ++i) {
        EndpointChoice choice = chooseEndpoint(daemon.fleetView, daemon.table, llm, workload, rules, start);
        if (!choice.endpoint)
            break;
        recordGrant(daemon.fleetView, choice, workload, 7, ++grants, start);
    }
    CHECK(grants == bound / 2);
}

// Guards against many daemons that each send a few requests to the same cold endpoint.
TEST_CASE("a daemon that does not own a cold endpoint sends it nothing", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(), makeRegistrations(2), start);
    auto registrations = makeRegistrations(2);
    registrations[0].remainingWarmup = coldDuration;
    daemon.registerEndpoints(registrations, start);
    daemon.view("e0").pace.isOwner = false;
    CHECK(daemon.sendRequests(50, start) == 50);
    CHECK(daemon.sends["e0"].empty());
    CHECK(daemon.sendRequests(50, start + coldDuration) == 50);
    CHECK_FALSE(daemon.sends["e0"].empty());
}

// Guards against a registration with 0, which was written before the endpoint failed, that ends a presumed cold phase.
TEST_CASE("a registration without warm-up ends only what a registration began", "[pace]")
{
    EndpointPace pace = pacedEndpoint();
    setRegisteredWarmup(pace, Millis { 5'000 }, start);
    CHECK(isCold(pace, start + Millis { 1'000 }));
    setRegisteredWarmup(pace, {}, start + Millis { 1'000 });
    CHECK_FALSE(isCold(pace, start + Millis { 1'000 }));
    presumeCold(pace, PaceCause::Evacuation, start + Millis { 1'000 });
    setRegisteredWarmup(pace, {}, start + Millis { 1'100 });
    CHECK(isCold(pace, start + Millis { 1'100 }));
    CHECK_FALSE(isCold(pace, start + Millis { 4'000 }));
}

// A zone is taken back after its evacuation. Guards against treating the other zones' endpoints as cold.
TEST_CASE("a zone that is taken back is presumed cold", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(), makeRegistrations(2), start);
    presumeZoneCold(daemon.fleetView, "b", PaceCause::Evacuation, start);
    CHECK_FALSE(isCold(daemon.view("e0").pace, start));
    CHECK(isCold(daemon.view("e1").pace, start));
    CHECK(daemon.view("e1").pace.cause == PaceCause::Evacuation);
}

// Guards against a ramp that goes on rising while the endpoint shows that it is overloaded.
TEST_CASE("refusals, losses and late answers reduce the allowance", "[pace]")
{
    EndpointPace pace = pacedEndpoint();
    presumeCold(pace, PaceCause::Recovery, start);
    Millis now = start + coldDuration;
    offerEachMillisecond(pace, now, now + Millis { 1 });
    CHECK(pace.phase == PacePhase::Ramp);
    unsigned initialAllowance = pace.allowance;
    auto passInterval = [&](auto observe) {
        offerEachMillisecond(pace, now, now + Millis { 450 });
        observe();
        now += Millis { 500 };
        advancePace(pace, now);
    };
    auto answerInTime = [&] { recordFirstByteTime(pace, 100, 100, now + Millis { 450 }); };
    passInterval(answerInTime);
    CHECK(pace.allowance == 2 * initialAllowance);
    offerEachMillisecond(pace, now, now + Millis { 400 });
    passInterval(answerInTime);
    unsigned raised = pace.allowance;
    REQUIRE(raised == 4 * initialAllowance);
    SECTION("late answers")
    {
        passInterval([&] { recordFirstByteTime(pace, 201, 100, now + Millis { 450 }); });
        CHECK(pace.allowance == raised / 2);
    }
    SECTION("a refusal or failure, although others are in time")
    {
        passInterval([&] {
            answerInTime();
            recordStrain(pace, now + Millis { 450 });
        });
        CHECK(pace.allowance == raised / 2);
    }
    SECTION("a lost request, and not below the cold allowance")
    {
        for (int i = 0; i < 6; ++i)
            passInterval([&] { recordUnanswered(pace, now + Millis { 450 }); });
        CHECK(pace.allowance == initialAllowance);
    }
}

// The endpoint goes down and up by turns. Guards against an allowance that is left over from an earlier phase.
TEST_CASE("a flapping endpoint is cold after each return", "[pace]")
{
    EndpointPace pace = pacedEndpoint();
    std::vector<Millis> sends;
    Millis now = start;
    for (int i = 0; i < 10; ++i) {
        failAttempts(pace, 2, now);
        now += Millis { 700 };
        CHECK(recordResponse(pace, now));
        auto more = offerEachMillisecond(pace, now, now + Millis { 1'500 });
        sends.insert(sends.end(), more.begin(), more.end());
        now += Millis { 1'500 };
    }
    CHECK(mostInOneSecond(sends) <= bound / 2);
}

// Requests stall at an endpoint that is overloaded, and at a host that is dark. Guards against presuming that a slow
// endpoint was restarted, which would take away most of its capacity in an overload.
TEST_CASE("stalls count as failures only if the endpoint responds to no other request", "[pace]")
{
    EndpointPace pace = pacedEndpoint();
    recordResponse(pace, start);
    for (int i = 1; i <= 3; ++i)
        recordStall(pace, Millis { 1'500 }, start + Millis { 400 + i });
    CHECK_FALSE(recordResponse(pace, start + Millis { 500 }));
    for (int i = 0; i < 2; ++i)
        recordStall(pace, Millis { 1'500 }, start + Millis { 2'500 });
    CHECK(recordResponse(pace, start + Millis { 3'000 }));
    CHECK(isCold(pace, start + Millis { 3'000 }));
}

// Guards against a ramp that never ends because the endpoint is slow for other reasons.
TEST_CASE("a ramp ends even if all answers are late", "[pace]")
{
    EndpointPace pace = pacedEndpoint();
    presumeCold(pace, PaceCause::Recovery, start);
    for (Millis now = start; now < start + Millis { 14'000 }; now += Millis { 10 }) {
        if (takesRequest(pace, now))
            recordPacedRequest(pace, now);
        recordFirstByteTime(pace, 1'000, 100, now);
    }
    CHECK(pace.phase == PacePhase::Full);
}

// The earlier deployments have no cold rate. Guards against any change of their placement.
TEST_CASE("endpoints of a pool without a cold rate are not paced", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(0), makeRegistrations(1, coldDuration), start);
    daemon.view("e0").pace.isOwner = false;
    CHECK(daemon.sendRequests(60, start) == 60);
    for (auto& [time, placement] : daemon.inFlight)
        recordEnd(daemon.fleetView, placement, AttemptOutcome::Refused, start + Millis { 10 });
    daemon.inFlight.clear();
    CHECK(daemon.sendRequests(60, start + Millis { 200 }) == 60);
    CHECK(daemon.view("e0").pace.phase == PacePhase::Full);
    CHECK(daemon.view("e0").pace.recentSends.empty());
}

// Guards against a pace setting that has no effect on pools without a cold rate.
TEST_CASE("the setting for all pools paces endpoints without a cold rate", "[pace]")
{
    RoutingTable table = tableWithColdRate(0);
    CHECK(paceLimits(table.poolSpec(llm), { .scope = PaceScope::AllPools }).coldRequestsPerSecond == 16);
    CHECK(paceLimits(table.poolSpec(llm), {}).coldRequestsPerSecond == 0);
    RoutingTable cold = tableWithColdRate();
    CHECK(paceLimits(cold.poolSpec(llm), { .scope = PaceScope::None }).coldRequestsPerSecond == 0);
    CHECK(paceLimits(cold.poolSpec(llm), {}).coldRequestsPerSecond == 3);
    CHECK(paceLimits(cold.poolSpec(llm), paceOptions).coldRequestsPerSecond == 7);
    RoutingTable slow = tableWithColdRate(0.3);
    CHECK(paceLimits(slow.poolSpec(llm), {}).coldRequestsPerSecond == 1);
}

// Guards against a new endpoint that gets all waiting requests, and against pacing all endpoints after a daemon's
// start.
TEST_CASE("an endpoint that joins a running fleet is ramped up", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(), makeRegistrations(2), start);
    CHECK(daemon.view("e0").pace.phase == PacePhase::Full);
    daemon.registerEndpoints(makeRegistrations(3), start + Millis { 1'000 });
    CHECK(daemon.view("e0").pace.phase == PacePhase::Full);
    CHECK(daemon.view("e2").pace.phase == PacePhase::Ramp);
    CHECK(daemon.view("e2").pace.cause == PaceCause::NewEndpoint);
    daemon.sendRequests(200, start + Millis { 1'001 });
    CHECK(daemon.sends["e2"].size() == bound / 2);
}

// A request waits for its connection while the endpoint restarts. Guards against sending it to the cold endpoint, where
// nobody counts it.
TEST_CASE("requests sent before an endpoint became cold are recognised", "[pace]")
{
    PlacingDaemon daemon(tableWithColdRate(), makeRegistrations(1), start);
    daemon.sendRequests(1, start);
    const Placement& placement = daemon.inFlight.front().second;
    CHECK_FALSE(hasBecomeCold(daemon.view("e0"), placement, start));
    daemon.registerEndpoints(makeRegistrations(1, coldDuration), start + Millis { 100 });
    CHECK(hasBecomeCold(daemon.view("e0"), placement, start + Millis { 100 }));
    CHECK_FALSE(hasBecomeCold(daemon.view("e0"), placement, start + Millis { 3'200 }));
}

// Guards against a cold rate or duration that is not read from the configuration, or loses its fraction.
TEST_CASE("the configuration contains the pools' cold rate and duration", "[pace]")
{
    auto table = platform::decodeConfiguration(
        R"({"version":1,"services":[{"name":"llm","coldPerS":6.9,"coldStartS":2.5},{"name":"shop"},)"
        R"({"name":"odd","coldPerS":-1,"coldStartS":"3"}]})");
    REQUIRE(table);
    CHECK(table.value()->poolSpec(llm).coldRequestsPerSecond == Approx(6.9));
    CHECK(table.value()->poolSpec(llm).coldDuration == Millis { 2'500 });
    for (const char* other : { "shop", "odd" }) {
        CHECK(table.value()->poolSpec(PoolId { other }).coldRequestsPerSecond == 0);
        CHECK(table.value()->poolSpec(PoolId { other }).coldDuration == Millis {});
    }
}

// Two daemons that both believe to be the owner grant under a backlog, and each grant is sent up to 200 ms later.
// Guards against requests of one second and of the next that arrive together.
TEST_CASE("late grants of two owners stay within the bound", "[pace]")
{
    std::vector<Millis> sends;
    for (std::uint64_t owner = 1; owner <= 2; ++owner) {
        EndpointPace pace = pacedEndpoint();
        pace.isOwner = true;
        presumeCold(pace, PaceCause::Recovery, start);
        Random random(owner);
        for (Millis granted : offerEachMillisecond(pace, start, start + coldDuration))
            sends.push_back(granted + Millis { static_cast<std::int64_t>(random.uniformInteger(201)) });
    }
    CHECK(mostInOneSecond(sends) <= bound);
}

// An overloaded endpoint, or a cut at one daemon, refuses some connections while other requests are answered. Guards
// against presuming that the endpoint was restarted, which would take away its capacity in an overload.
TEST_CASE("refused connections beside answers are no restart", "[pace]")
{
    EndpointPace pace = pacedEndpoint();
    recordResponse(pace, start);
    for (int i = 0; i < 3; ++i)
        recordUnanswered(pace, start + Millis { 100 });
    CHECK_FALSE(recordResponse(pace, start + Millis { 200 }));
    for (int i = 0; i < 3; ++i)
        recordUnanswered(pace, start + Millis { 300 });
    CHECK(recordResponse(pace, start + Millis { 1'500 }));
}
