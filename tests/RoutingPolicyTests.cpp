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

std::vector<Registration> engines(unsigned count, const std::string& zone = "a")
{
    std::vector<Registration> list;
    for (unsigned i = 0; i < count; ++i)
        list.push_back({ .id = EndpointId { "e" + std::to_string(i) },
            .pool = llm,
            .address = "127.0.0.1:" + std::to_string(9'000 + i),
            .availabilityZone = zone,
            .slots = 16 });
    return list;
}

std::vector<PromptPart> prompt(std::uint64_t shared, std::uint64_t own)
{
    return { { .key = shared, .tokens = 13'000 }, { .key = own, .tokens = 1'000 } };
}

EndpointChoiceRules rulesFor(const AdmissionLimits& limits)
{
    return { .limits = limits, .availabilityZone = "a", .repeatable = true };
}

constexpr AdmissionInput quote { .objective = { 800 }, .tightest = { 800 }, .timeLeft = { 15'000 } };

Placement sendTo(FleetView& picture, const RoutingTable& table, const std::vector<PromptPart>& parts, Millis now,
    const AdmissionInput& facts = quote)
{
    RequestWorkload work { .prompt = parts, .promptTokens = 14'000, .maxOutputTokens = 100 };
    EndpointChoice choice = chooseEndpoint(picture, table, llm, work, rulesFor(admissionLimits(facts)), now);
    REQUIRE(choice.endpoint);
    return recordSend(picture, choice, work, now);
}

}

// Pattern: one shared part asked for again and again. Guards against reading it anew on every engine.
TEST_CASE("requests with a shared part stay with the engine that holds it", "[policy]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    setRegistrations(picture, engines(6));
    Millis now { 1'000 };
    Placement first = sendTo(picture, table, prompt(7, 100), now);
    recordFirstByte(picture, first, now + Millis { 300 });
    for (std::uint64_t i = 1; i < 5; ++i) {
        now += Millis { 400 };
        Placement next = sendTo(picture, table, prompt(7, 100 + i), now);
        CHECK(next.endpoint == first.endpoint);
        CHECK(next.prefillTokens == 1'000);
        recordFirstByte(picture, next, now + Millis { 100 });
        recordEnd(picture, next, AttemptOutcome::Answered, now + Millis { 200 });
    }
}

// Pattern: a hot key. Guards against one engine that drowns while the others are idle.
TEST_CASE("a part with very many uses gets further engines", "[policy][hot-key]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    setRegistrations(picture, engines(6));
    std::set<std::string> used;
    Millis now { 1'000 };
    for (std::uint64_t i = 0; i < 300; ++i) {
        now += Millis { 5 };
        used.insert(sendTo(picture, table, prompt(7, 100 + i), now).endpoint.value);
    }
    CHECK(used.size() >= 3);
}

// Pattern: parts that are rarely used, with busy engines. Guards against copies that push others out of the caches.
TEST_CASE("a rarely used part is not copied to another engine only because that one is less busy", "[policy]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    setRegistrations(picture, engines(2));
    Placement first = sendTo(picture, table, prompt(7, 100), Millis { 1'000 });
    recordFirstByte(picture, first, Millis { 1'300 });
    setPeerLoad(picture, 1, first.instanceId, { .inFlight = 4, .pendingPrefillTokens = 6'000 });
    Placement next = sendTo(picture, table, prompt(7, 101), Millis { 2'000 });
    CHECK(next.endpoint == first.endpoint);
}

// Pattern: all daemons are killed, and requests of others fill the engines meanwhile. Guards against a model that takes
// the wait behind unknown work for a property of idle engines, so that no amount of work seems too much.
TEST_CASE("waits behind unknown work make the model more careful, not less", "[policy][restart]")
{
    LatencyModel model;
    Random random(1);
    auto sampleOf = [&](double hidden) {
        double work = 500.0 + 20'000.0 * random.uniformReal();
        addSample(model, work, 100.0 + (work + hidden) / 60.0);
    };
    for (int i = 0; i < 500; ++i)
        sampleOf(0);
    CHECK(model.base == Approx(100.0).margin(40.0));
    CHECK(model.perUnit == Approx(1.0 / 60.0).epsilon(0.3));
    for (int i = 0; i < 400; ++i)
        sampleOf(300'000.0 * random.uniformReal());
    CHECK(model.base <= 400.0);
    CHECK(model.perUnit > 1.0 / 60.0);
    for (int i = 0; i < 1'500; ++i)
        sampleOf(0);
    CHECK(model.perUnit == Approx(1.0 / 60.0).epsilon(0.3));
}

// Pattern: all daemons restart at once; the engines still hold what was sent to them before. Guards against reading all
// shared parts again, elsewhere.
TEST_CASE("daemons without memory send shared parts where they went before", "[policy][restart]")
{
    RoutingTable table = tableWithModelPool();
    FleetView before;
    FleetView after;
    setRegistrations(before, engines(12));
    setRegistrations(after, engines(12));
    Millis now { 1'000 };
    unsigned same = 0;
    constexpr unsigned parts = 200;
    for (std::uint64_t part = 1; part <= parts; ++part) {
        Placement first = sendTo(before, table, prompt(part * 7'919, part), now);
        Placement second = sendTo(after, table, prompt(part * 7'919, part + 1'000), now);
        same += first.endpoint == second.endpoint ? 1U : 0U;
        recordFirstByte(before, first, now + Millis { 300 });
        recordFirstByte(after, second, now + Millis { 300 });
        recordEnd(before, first, AttemptOutcome::Answered, now + Millis { 400 });
        recordEnd(after, second, AttemptOutcome::Answered, now + Millis { 400 });
        now += Millis { 500 };
    }
    CHECK(same == parts);
    // A home with much work ahead is left alone.
    Placement home = sendTo(after, table, prompt(5, 1), now);
    recordEnd(after, home, AttemptOutcome::Cancelled, now);
    FleetView busy;
    setRegistrations(busy, engines(12));
    setPeerLoad(busy, 9, home.instanceId, { .inFlight = 4, .pendingPrefillTokens = 60'000 });
    CHECK(sendTo(busy, table, prompt(5, 2), now).endpoint != home.endpoint);
}

// Pattern: short prompts, dear bytes between zones. Guards against requests that cross zones for a cache that saves
// less than the way costs.
TEST_CASE("a request with little to share goes to an endpoint in its own zone", "[policy]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    auto list = engines(2, "b");
    list[1].availabilityZone = "a";
    setRegistrations(picture, list);
    std::vector<PromptPart> chat { { .key = 1, .tokens = 210 }, { .key = 2, .tokens = 140 },
        { .key = 3, .tokens = 900 } };
    recordPeerPrompt(picture, endpointInstanceId(list[0]), chat, Millis { 1'000 });
    EndpointChoiceRules rules = rulesFor(admissionLimits(quote));
    EndpointChoice near = chooseEndpoint(
        picture, table, llm, { .prompt = std::span(chat).first(2), .promptTokens = 350 }, rules, Millis { 1'001 });
    REQUIRE(near.endpoint);
    CHECK(near.endpoint->registration.availabilityZone == "a");
    // A long shared part is worth the way.
    auto shared = prompt(7, 1);
    recordPeerPrompt(picture, endpointInstanceId(list[0]), shared, Millis { 1'000 });
    EndpointChoice far = chooseEndpoint(picture, table, llm,
        { .prompt = shared, .promptTokens = 14'000, .maxOutputTokens = 100 }, rules, Millis { 1'001 });
    REQUIRE(far.endpoint);
    CHECK(far.endpoint->registration.availabilityZone == "b");
}

// Guards against a picture that only knows this daemon's own sends.
TEST_CASE("what peers have sent counts like own work", "[policy]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    setRegistrations(picture, engines(2));
    EndpointInstanceId busy = picture.endpoints.begin()->second.instanceId;
    setPeerLoad(picture, 42, busy, { .inFlight = 5, .pendingPrefillTokens = 30'000 });
    CHECK(sendTo(picture, table, prompt(1, 2), Millis { 1'000 }).instanceId != busy);
    // The peer's process ends, and with it the connections of its requests.
    clearPeerLoad(picture, 42);
    CHECK(picture.endpoints.begin()->second.load() == EndpointLoad {});
    recordPeerPrompt(picture, busy, prompt(9, 1), Millis { 1'000 });
    CHECK(sendTo(picture, table, prompt(9, 2), Millis { 1'001 }).instanceId == busy);
}

// Pattern: an engine that crashes. Guards against work for an engine that does not answer, and against leaving it out
// for good after it is back.
TEST_CASE("a lost engine gets no work for a while, then one repeatable request at a time", "[policy][crash]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    setRegistrations(picture, engines(1));
    Millis now { 1'000 };
    RequestWorkload work { .promptTokens = 100 };
    EndpointChoiceRules rules = rulesFor(admissionLimits(quote));
    Placement lost = recordSend(picture, chooseEndpoint(picture, table, llm, work, rules, now), work, now);
    recordEnd(picture, lost, AttemptOutcome::ConnectionFailed, now);
    CHECK(!chooseEndpoint(picture, table, llm, work, rules, now + Millis { 100 }).endpoint);
    now += Millis { 400 };
    EndpointChoiceRules once = rules;
    once.repeatable = false;
    CHECK(!chooseEndpoint(picture, table, llm, work, once, now).endpoint);
    Placement probe = recordSend(picture, chooseEndpoint(picture, table, llm, work, rules, now), work, now);
    CHECK(!chooseEndpoint(picture, table, llm, work, rules, now).endpoint);
    recordEnd(picture, probe, AttemptOutcome::Answered, now);
    CHECK(chooseEndpoint(picture, table, llm, work, once, now).endpoint);
}

// Guards against caches and loads of an earlier process under the same id.
TEST_CASE("an endpoint that starts again under its id holds nothing", "[policy]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    auto list = engines(1);
    list[0].startedAtUnixMs = 5;
    setRegistrations(picture, list);
    Placement before = sendTo(picture, table, prompt(1, 2), Millis { 1'000 });
    list[0].startedAtUnixMs = 6;
    setRegistrations(picture, list);
    CHECK(picture.endpoints.begin()->second.promptCache.tokens() == 0);
    CHECK(picture.endpoints.begin()->second.load() == EndpointLoad {});
    recordEnd(picture, before, AttemptOutcome::ConnectionFailed, Millis { 1'100 });
    CHECK(picture.endpoints.begin()->second.losses == 0);
}

TEST_CASE("draining endpoints get no new work", "[policy]")
{
    FleetView picture;
    RoutingTable table = tableWithModelPool();
    auto list = engines(1);
    list[0].draining = true;
    setRegistrations(picture, list);
    CHECK(!chooseEndpoint(picture, table, llm, { .promptTokens = 10 }, rulesFor(admissionLimits(quote)), Millis { 1 })
               .endpoint);
}

// Pattern: a workspace with ten times its usual. Guards against a flood that fills the engines before the others come.
TEST_CASE("a workspace above its fair share finds less room than one below", "[policy][hot-workspace]")
{
    AdmissionInput flood = quote;
    flood.fairShareRatio = 2.0;
    AdmissionInput small = quote;
    small.fairShareRatio = 0.5;
    CHECK(admissionLimits(flood).ahead < admissionLimits(quote).ahead / 4);
    CHECK(admissionLimits(small).ahead > admissionLimits(quote).ahead);
}

// Pattern: overload. Guards against engines whose queues make every answer late.
TEST_CASE("a request is not sent behind more work than its objective allows", "[policy][burst]")
{
    AdmissionLimits limits = admissionLimits(quote);
    CHECK(isPredictionWithinLimits(limits, { .queueMs = 100, .idleEndpointMs = 300 }));
    CHECK(!isPredictionWithinLimits(limits, { .queueMs = 900, .idleEndpointMs = 100 }));
    CHECK(!isPredictionWithinLimits(limits, { .queueMs = 300, .idleEndpointMs = 700 }));
}

// Pattern: very long prompts. Guards against never serving a request that is late even on an idle engine.
TEST_CASE("a request that cannot be in time is sent to an engine with little work", "[policy][long-prompt]")
{
    AdmissionLimits limits = admissionLimits(quote);
    CHECK(isLate(limits, { .idleEndpointMs = 1'600 }));
    CHECK(isPredictionWithinLimits(limits, { .queueMs = 50, .idleEndpointMs = 1'600 }));
    CHECK(!isPredictionWithinLimits(limits, { .queueMs = 300, .idleEndpointMs = 1'600 }));
}

// Pattern: callers that come back together. Guards against a wait that ends for all at the same moment.
TEST_CASE("refused callers are told different times to come back", "[policy][retry-storm]")
{
    Random random(1);
    AdmissionLimits limits = admissionLimits(quote);
    std::set<std::int64_t> delays;
    for (int i = 0; i < 20; ++i)
        delays.insert(retryDelay(quote, limits, { .queueMs = 2'000, .idleEndpointMs = 100 }, random).count);
    CHECK(delays.size() > 15);
    CHECK(*delays.begin() >= 1'000);
}

TEST_CASE("a request waits in the daemon while it can be in time", "[policy]")
{
    AdmissionInput facts = quote;
    facts.age = Millis { 300 };
    LatencyPrediction busy { .queueMs = 900, .idleEndpointMs = 200 };
    CHECK(mayWait(facts, admissionLimits(facts), busy));
    facts.age = facts.waited = Millis { 3'000 };
    CHECK(!mayWait(facts, admissionLimits(facts), busy));
}

TEST_CASE("max-min shares leave nobody below another without need", "[policy]")
{
    std::vector<double> demands { 10, 100, 30 };
    CHECK(maxMinShares(demands, 90) == std::vector<double> { 10, 50, 30 });
    CHECK(maxMinShares(demands, 200) == demands);
}

// Guards against daemons that each see a small part of a workspace's flood.
TEST_CASE("the fair share is judged over all daemons", "[policy]")
{
    WorkspaceShares shares;
    WorkspaceId flood { "flood" };
    WorkspaceId small { "small" };
    Millis now { 1'000 };
    recordDemand(shares, workspaceHash(small), 1'000, now);
    recordServed(shares, workspaceHash(small), 500, now);
    for (DaemonInstanceId peer = 1; peer <= 4; ++peer)
        shares.peerRates[peer]
            = { { .workspace = workspaceHash(flood), .demandTokensPerSecond = 2'000, .servedTokensPerSecond = 1'000 } };
    refreshFairShareRatios(shares, now);
    CHECK(fairShareRatio(shares, workspaceHash(flood)) > 1.0);
    CHECK(fairShareRatio(shares, workspaceHash(small)) < 1.0);
}

// Guards against retries beyond the fleet's bound, summed over daemons that do not hear each other.
TEST_CASE("daemons together stay within the bound on repeats in every window", "[policy][retry-storm]")
{
    RetryBounds bounds { .ratio = 0.2, .slack = 54, .window = { 10'000 }, .daemonCount = 7 };
    std::vector<FleetRetryBudget> daemons(7);
    std::vector<std::int64_t> repeats;
    std::vector<std::int64_t> requests;
    for (std::int64_t t = 0; t < 40'000; t += 10) {
        auto& daemon = daemons[static_cast<std::size_t>(t / 10 % 7)];
        daemon.recordRequest(llm, bounds, Millis { t });
        requests.push_back(t);
        for (int i = 0; i < 3; ++i) {
            if (daemon.take(llm, bounds, Millis { t }))
                repeats.push_back(t);
        }
    }
    for (std::int64_t start = 0; start < 30'000; start += 500) {
        auto inside = [&](std::int64_t t) { return t >= start && t < start + 10'000; };
        auto made = std::count_if(repeats.begin(), repeats.end(), inside);
        auto asked = std::count_if(requests.begin(), requests.end(), inside);
        CHECK(static_cast<double>(made) <= 0.2 * static_cast<double>(asked) + 54);
    }
    CHECK(repeats.size() > 300);
}

TEST_CASE("a caller that comes back keeps the age of its first attempt", "[policy]")
{
    RefusalHistory memory;
    memory.record(5, Millis { 1'000 }, Millis { 1'200 });
    CHECK(memory.firstArrival(5, Millis { 2'000 }) == Millis { 1'000 });
    memory.record(5, Millis { 2'000 }, Millis { 2'100 });
    CHECK(memory.firstArrival(5, Millis { 3'000 }) == Millis { 1'000 });
    CHECK(!memory.firstArrival(6, Millis { 2'000 }));
    CHECK(!memory.firstArrival(5, Millis { 60'000 }));
}

TEST_CASE("the latency model learns base and rate from what it sees", "[policy]")
{
    LatencyModel model;
    Random random(3);
    for (int i = 0; i < 400; ++i) {
        auto work = static_cast<double>(random.uniformInteger(30'000));
        addSample(model, work, 120 + work * 0.025);
    }
    CHECK(model.base == Approx(120).margin(10));
    CHECK(model.perUnit == Approx(0.025).epsilon(0.05));
}

TEST_CASE("a prompt part counts as cached only with all parts before it", "[policy]")
{
    PromptCache cache;
    cache.insert(prompt(1, 2));
    CHECK(cache.cachedTokens(prompt(1, 3)) == 13'000);
    CHECK(cache.cachedTokens(prompt(4, 2)) == 0);
    cache.insert(prompt(5, 6));
    cache.shrink(14'000);
    CHECK(cache.cachedTokens(prompt(5, 6)) == 14'000);
    CHECK(cache.cachedTokens(prompt(1, 2)) == 0);
}
