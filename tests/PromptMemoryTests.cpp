#include "platform/PlatformProtocol.h"
#include "routing/FleetView.h"
#include "routing/PromptCache.h"
#include "routing/PromptUsage.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <malloc.h>
#include <string>
#include <vector>

using namespace jasminestack;

namespace {

constexpr std::size_t partsOfLongPrompt = 3'900; // As many as fit into the longest head.
constexpr std::size_t promptMemory = 10'000'000;

std::vector<Registration> makeRegistrations(unsigned count)
{
    std::vector<Registration> registrations;
    for (unsigned i = 0; i < count; ++i)
        registrations.push_back(
            { .id = EndpointId { "e" + std::to_string(i) }, .pool = PoolId { "llm" }, .slots = 16 });
    return registrations;
}

// A prompt of one-token parts, none of which another prompt has.
std::vector<PromptPart> freshPrompt(std::size_t parts)
{
    static std::uint64_t lastKey = 0;
    std::vector<PromptPart> prompt(parts);
    for (PromptPart& part : prompt)
        part = { .key = ++lastKey * 0x9e3779b97f4a7c15U, .tokens = 1 };
    return prompt;
}

std::size_t allocatedBytes() { return mallinfo2().uordblks; }

}

// Guards against prompts of one client that take the memory of its router and, since routers tell each other the
// prompts that they send, of all others.
TEST_CASE("prompts of very many parts keep to the memory for prompt parts", "[prompt-memory]")
{
    std::size_t promptLength = GENERATE(partsOfLongPrompt, std::size_t { 30 });
    FleetView fleetView;
    auto registrations = makeRegistrations(60);
    setRegistrations(fleetView, registrations);
    setPromptMemory(fleetView, promptMemory);
    Millis now { 1'000 };
    std::size_t bytesBefore = allocatedBytes();
    for (std::size_t i = 0; i < 1'500'000 / promptLength; ++i) {
        EndpointInstanceId endpoint = endpointInstanceId(registrations[i % registrations.size()]);
        recordPeerPrompt(fleetView, endpoint, freshPrompt(promptLength), now + Millis { static_cast<std::int64_t>(i) });
        REQUIRE(cachedPromptParts(fleetView) <= fleetView.promptCacheBudget.maxParts);
        REQUIRE(trackedParts(fleetView.promptUsage) <= 2 * fleetView.promptUsage.generationSize);
    }
    CHECK(allocatedBytes() - std::min(bytesBefore, allocatedBytes()) <= promptMemory);
}

// Guards against parts without tokens, which no capacity in tokens bounds.
TEST_CASE("prompt parts without tokens keep to the memory for prompt parts", "[prompt-memory]")
{
    FleetView fleetView;
    auto registrations = makeRegistrations(1);
    setRegistrations(fleetView, registrations);
    setPromptMemory(fleetView, promptMemory);
    for (std::uint64_t key = 1; key < 500'000; ++key) {
        PromptPart part { .key = key, .tokens = 0 };
        recordPeerPrompt(fleetView, endpointInstanceId(registrations[0]), { &part, 1 }, Millis { 1'000 });
    }
    CHECK(cachedPromptParts(fleetView) <= fleetView.promptCacheBudget.maxParts);
}

// Guards against eviction of what ordinary prompts use while prompts of many parts fill the cache of another engine.
TEST_CASE("prompts of many parts to one engine evict no parts of the others", "[prompt-memory]")
{
    FleetView fleetView;
    auto registrations = makeRegistrations(2);
    setRegistrations(fleetView, registrations);
    setPromptMemory(fleetView, promptMemory);
    std::vector<PromptPart> ordinary = freshPrompt(3);
    recordPeerPrompt(fleetView, endpointInstanceId(registrations[0]), ordinary, Millis { 1'000 });
    for (int i = 0; i < 10'000; ++i)
        recordPeerPrompt(fleetView, endpointInstanceId(registrations[1]), freshPrompt(64), Millis { 1'000 });
    CHECK(fleetView.endpoints.at(registrations[0].id).promptCache.cachedTokens(ordinary) == 3);
}

// Guards against a bound that costs long conversations their engine: the leading parts are those that requests share.
TEST_CASE("a prompt of very many parts is cached by its leading parts", "[prompt-memory]")
{
    PromptCache cache;
    std::vector<PromptPart> prompt = freshPrompt(partsOfLongPrompt);
    cache.insert(prompt);
    CHECK(cache.size() == maxPromptParts);
    CHECK(cache.cachedTokens(prompt) == maxPromptParts);
}

// Guards against counts of frequent parts that are lost with those of parts that were used once.
TEST_CASE("the uses of a frequent part stay known among very many others", "[prompt-memory]")
{
    PromptUsage usage { .generationSize = 100 };
    PromptPart frequent { .key = 1, .tokens = 1 };
    Millis now { 1'000 };
    for (int i = 0; i < 1'000; ++i) {
        recordUses(usage, { &frequent, 1 }, now);
        recordUses(usage, freshPrompt(10), now);
    }
    REQUIRE(recentUses(usage, frequent.key, now));
    CHECK(*recentUses(usage, frequent.key, now) == Approx(1'000));
    CHECK(trackedParts(usage) <= 200);
}

// Guards against parts that each request holds, and sends to peers, without a limit; engines still get all of them.
TEST_CASE("the leading parts of a prompt are decoded and all are passed on", "[prompt-memory]")
{
    platform::PlatformProtocol protocol;
    std::string parts = "5c:1";
    for (std::size_t i = 1; i < partsOfLongPrompt; ++i)
        parts += ",a:1";
    CallerRequest request { .method = "POST",
        .target = "/chat/1",
        .headers
        = { { "Host", "h" }, { "X-Jasminestack-Attempt-Id", "r1" }, { "X-Jasminestack-Prefix-Hash", parts } } };
    auto metadata = protocol.decode(request);
    REQUIRE(metadata);
    CHECK(metadata.value().prompt.size() == maxPromptParts);
    Registration endpoint { .id = EndpointId { "i-1" }, .address = "127.0.0.1:1" };
    EndpointRequest encoded = protocol.encode(request, metadata.value(), { .endpoint = endpoint });
    CHECK(std::count(encoded.headers.begin(), encoded.headers.end(),
              std::pair<std::string, std::string>("X-Jasminestack-Prefix-Hash", parts))
        == 1);
}
