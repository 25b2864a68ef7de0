#include "net/HttpResponseParser.h"
#include "platform/KeyedTopicReader.h"
#include "platform/PlatformProtocol.h"
#include "platform/StoreDocuments.h"
#include "router/FleetUpdateCodec.h"
#include "router/SseSplitter.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::platform;

namespace {

const std::string configurationJson = R"({"version":7,"routes":[
  {"name":"r1","hostname":"shop.example","pathPrefix":"/a/","routeType":"streaming","timeoutMs":15000,
   "targetLatencyMs":800,"priority":1,"trafficSplit":[{"backend":"llm","weight":90},{"backend":"desk","weight":10}],
   "maxAttempts":2,"anonymous":false,"sessionAffinity":true,"streamResume":true,"itlTargetMs":200},
  {"name":"r2","hostname":"shop.example","pathPrefix":"/a/b/","routeType":"non_idempotent","timeoutMs":1200,
   "targetLatencyMs":150,"priority":2,"backend":"desk","maxAttempts":1,"anonymous":true}],
  "services":[{"name":"llm","maxConnections":620,"engine":{"maxBatchSize":128,"kvCapacity":637745}},
  {"name":"desk","maxConnections":100}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,
  "throughputPerS":620000},"tenants":[{"name":"ws-1","apiKeys":["k1","k2"],"priority":1}]})";

const std::string registrationJson = R"({"backend":"llm","address":"10.128.0.9:8080","zone":"gebze","version":"v1",
  "maxBatchSize":128,"phase":"ready","coldRemainingMs":0,"sequence":4,"born":1700000000000})";

}

TEST_CASE("a configuration document is decoded into routes, pools, keys and limits", "[platform]")
{
    auto decoded = decodeConfiguration(configurationJson);
    REQUIRE(decoded);
    const RoutingTable& table = *decoded.value();
    CHECK(table.version == 7);
    const Route* longestPrefixRoute = table.routeFor("shop.example", "/a/b/c");
    REQUIRE(longestPrefixRoute);
    CHECK(longestPrefixRoute->name == "r2");
    CHECK(longestPrefixRoute->kind == RequestKind::NonIdempotent);
    CHECK(longestPrefixRoute->isAnonymous);
    const Route* streamRoute = table.routeFor("shop.example", "/a/x");
    REQUIRE(streamRoute);
    CHECK(streamRoute->isRepeatable());
    CHECK(streamRoute->pools.size() == 2);
    CHECK(!table.routeFor("shop.example", "/b"));
    CHECK(!table.routeFor("other.example", "/a/x"));
    CHECK(table.poolSpec(PoolId { "llm" }).memoryTokens == 637'745);
    CHECK(table.tightestObjective(PoolId { "llm" }) == Millis { 800 });
    CHECK(table.workspacesByApiKey.at("k2") == WorkspaceId { "ws-1" });
    CHECK(table.limits.idleTimeout == Millis { 15'000 });
    CHECK(!decodeConfiguration("{\"version\":"));
}

// Guards against sending requests to an endpoint whose registration is malformed, for example written by another
// program, and against rejecting the valid registrations together with it.
TEST_CASE("malformed registrations are rejected", "[platform]")
{
    auto decoded = decodeRegistration("i-1", registrationJson);
    REQUIRE(decoded);
    CHECK(decoded.value().startedAtUnixMs == 1'700'000'000'000);
    CHECK(!decoded.value().isDraining);
    auto decodeWithReplacement = [&](std::string_view from, std::string_view to) {
        std::string text = registrationJson;
        text.replace(text.find(from), from.size(), to);
        return decodeRegistration("i-1", text);
    };
    CHECK(decodeWithReplacement("\"ready\"", "\"draining\"").value().isDraining);
    CHECK(!decodeWithReplacement("\"ready\"", "\"asleep\""));
    CHECK(!decodeWithReplacement("128", "\"128\""));
    CHECK(!decodeWithReplacement("\"zone\"", "\"place\""));
    CHECK(!decodeRegistration("i-1", "\x01\x02"));
}

TEST_CASE("records of a keyed topic are encoded and decoded, including deletions", "[platform]")
{
    std::string body(16, '\0');
    body += formatKeyedRecord("config", "{}") + formatKeyedRecord("gone", "");
    auto records = parseKeyedRecords(body);
    REQUIRE(records);
    REQUIRE(records->size() == 2);
    CHECK((*records)[0].key == "config");
    CHECK((*records)[0].value == "{}");
    CHECK(!(*records)[1].value);
    // Truncated bodies are rejected.
    CHECK(!parseKeyedRecords(std::string_view(body).substr(0, body.size() - 1)));
    CHECK(!parseKeyedRecords("short"));
}

// Guards against forwarding headers that only the daemon may set from a caller to an endpoint.
TEST_CASE("headers reserved for the daemon are removed from requests", "[platform]")
{
    PlatformProtocol protocol;
    CallerRequest request { .method = "POST",
        .target = "/a/x",
        .headers = { { "Host", "shop.example" }, { "x-jasminestack-attempt-id", "id-1" },
            { "X-Jasminestack-Pin-Ms", "1" }, { "X-JASMINESTACK-CACHE-RETENTION", "h" }, { "Kv-From", "x" },
            { "X-Jasminestack-Kv-Backup", "y" }, { "X-Jasminestack-Tenant", "forged" }, { "Authorization", "Token k1" },
            { "X-Jasminestack-Prefix-Hash", "5c:800,91:410" }, { "X-Jasminestack-Token-Usage", "1210,80" },
            { "X-Jasminestack-Length-Hint", "60" }, { "Connection", "X-Extra, X-Jasminestack-Model-Id" },
            { "X-Extra", "1" }, { "X-Jasminestack-Model-Id", "m" }, { "X-Other", "kept" } } };
    auto metadata = protocol.decode(request);
    REQUIRE(metadata);
    CHECK(metadata.value().promptTokens == 1'210);
    CHECK(metadata.value().expectedOutputTokens == 60);
    CHECK(metadata.value().prompt.size() == 2);
    CHECK(metadata.value().apiKey == "k1");
    Registration endpoint { .id = EndpointId { "i-1" }, .address = "127.0.0.1:1" };
    EndpointRequest endpointRequest = protocol.encode(
        request, metadata.value(), { .endpoint = endpoint, .workspace = "ws-1", .timeLeft = Millis { 900 } });
    auto value = [&](std::string_view name) { return std::string(findHeader(endpointRequest.headers, name)); };
    for (const char* name : { "X-Jasminestack-Pin-Ms", "X-Jasminestack-Cache-Retention", "Kv-From",
             "X-Jasminestack-Kv-Backup", "Authorization", "X-Extra", "Connection" })
        CHECK(value(name).empty());
    CHECK(value("X-Jasminestack-Tenant") == "ws-1");
    CHECK(value("X-Jasminestack-Model-Id") == "m");
    CHECK(value("X-Jasminestack-Deadline-Ms") == "900");
    CHECK(value("X-Other") == "kept");
    request.headers.emplace_back("X-Jasminestack-Attempt-Id", "id-2");
    CHECK(!protocol.decode(request));
}

TEST_CASE("SSE events are forwarded completely and exactly once", "[router]")
{
    SseSplitter splitter { {} };
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastId() == 1);
    CHECK(splitter.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.feed("id: 3\nhalf").empty());
    splitter.resume();
    CHECK(splitter.feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK(splitter.lastId() == 3);
    CHECK(splitter.eventCount() == 3);
    splitter.endAnswer();
    CHECK(splitter.violation() == EventViolation::None);
}

// Guards against forwarding a response in which the engine repeats an event id or sends a lower one.
TEST_CASE("an event id that does not increase breaks the stream", "[router]")
{
    SseSplitter splitter({}, 4);
    CHECK(splitter.feed("id: 5\ndata: a\n\n") == "id: 5\ndata: a\n\n");
    CHECK(splitter.feed("id: 5\ndata: a\n\n").empty());
    CHECK(splitter.violation() == EventViolation::OutOfOrder);
}

TEST_CASE("fleet updates are encoded and decoded, truncated ones are rejected", "[router]")
{
    FleetUpdate update { .instanceId = 7,
        .daemonId = "router-1",
        .address = "10.0.0.1:7400",
        .sequence = 3,
        .configurationVersion = 12,
        .registrationsPosition = 40,
        .operatorPosition = 50,
        .isSnapshot = true,
        .endpointLoads
        = { { .endpoint = 9, .load = { .inFlight = 2, .pendingPrefillTokens = 500, .reservedTokens = 900 } } },
        .sentPrompts = { { .endpoint = 9, .prompt = { { .key = 1, .tokens = 2 } } } },
        .workspaceRates = { { .workspace = 3, .demandTokensPerSecond = 10, .servedTokensPerSecond = 5 } },
        .crashEvidence = { .losses = { { .endpoint = 9,
                               .at = Millis { 4'000 },
                               .requests = { { .workspace = 3,
                                   .hasBegun = true,
                                   .sentAt = Millis { 3'800 },
                                   .content = 2,
                                   .traits = { 1, 2 } } } } },
            .clearances = { { .trait = 1, .at = Millis { 4'500 } } },
            .quarantines = { { .trait = 2, .workspace = 3, .trials = 4, .since = Millis { 3'000 } } } },
        .refusals = { { .contentHash = 8, .ageMs = 20 } },
        .livePeerAddresses = { "10.0.0.2:7400" } };
    std::string bytes = encodeFleetUpdate(update, Millis { 5'000 });
    auto decoded = decodeFleetUpdate(bytes, Millis { 105'000 });
    REQUIRE(decoded);
    CHECK(decoded.value().isSnapshot);
    CHECK(decoded.value().operatorPosition == 50);
    CHECK(decoded.value().endpointLoads[0].load == update.endpointLoads[0].load);
    CHECK(decoded.value().sentPrompts[0].prompt == update.sentPrompts[0].prompt);
    CHECK(decoded.value().refusals[0].ageMs == 20);
    const CrashEvidence& evidence = decoded.value().crashEvidence;
    CHECK(evidence.losses[0].at == Millis { 104'000 });
    CHECK(evidence.losses[0].requests
        == std::vector { SuspectRequest {
            .workspace = 3, .hasBegun = true, .sentAt = Millis { 103'800 }, .content = 2, .traits = { 1, 2 } } });
    CHECK(evidence.clearances[0].at == Millis { 104'500 });
    CHECK(evidence.quarantines[0]
        == TraitQuarantine { .trait = 2, .workspace = 3, .trials = 4, .since = Millis { 103'000 } });
    CHECK(decoded.value().livePeerAddresses == update.livePeerAddresses);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK(!decodeFleetUpdate(std::string_view(bytes).substr(0, length), Millis { 5'000 }));
}

// Guards against a header of an endpoint that is taken for something else, or that stops the daemon.
TEST_CASE("what an endpoint says of itself is decoded from its answers", "[platform][notice]")
{
    PlatformProtocol protocol;
    auto decode = [&](int status, std::vector<std::pair<std::string, std::string>> headers) {
        HttpResponseHead head { .status = status, .headers = std::move(headers) };
        ResponseMetadata metadata = protocol.decodeResponse(head);
        return std::pair(metadata.isLeaving, metadata.requestedPause);
    };
    CHECK(decode(200, { { "server-leaving", "1" } }) == std::pair(true, Millis {}));
    CHECK(decode(200, { { "Server-Leaving", "0" } }) == std::pair(false, Millis {}));
    CHECK(decode(200, { { "Server-Leaving", "yes" } }) == std::pair(false, Millis {}));
    CHECK(decode(503, { { "Retry-After", "2" } }) == std::pair(false, Millis { 2'000 }));
    CHECK(decode(503, { { "Retry-After", " 0.25 " } }) == std::pair(false, Millis { 250 }));
    CHECK(decode(503, { { "Retry-After", "1" }, { "Retry-After", "9" } }).second == Millis { 1'000 });
    for (const char* ignored : { "", "-3", "nan", "inf-", "2 s", "Sun, 06 Nov 1994 08:49:37 GMT", "1e999" })
        CHECK(decode(503, { { "Retry-After", ignored } }).second == Millis {});
    CHECK(decode(503, { { "Retry-After", "1e300" } }).second == Millis { 1'000'000'000 });
    CHECK(decode(200, { { "Retry-After", "5" } }).second == Millis {});
    CHECK(decode(429, { { "Retry-After", "5" } }).second == Millis {});
}
