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

const std::string configuration = R"({"version":7,"routes":[
  {"name":"r1","hostname":"shop.example","pathPrefix":"/a/","routeType":"streaming","timeoutMs":15000,
   "targetLatencyMs":800,"priority":1,"trafficSplit":[{"backend":"llm","weight":90},{"backend":"desk","weight":10}],
   "maxAttempts":2,"anonymous":false,"sessionAffinity":true,"streamResume":true,"itlTargetMs":200},
  {"name":"r2","hostname":"shop.example","pathPrefix":"/a/b/","routeType":"non_idempotent","timeoutMs":1200,
   "targetLatencyMs":150,"priority":2,"backend":"desk","maxAttempts":1,"anonymous":true}],
  "services":[{"name":"llm","maxConnections":620,"engine":{"maxBatchSize":128,"kvCapacity":637745}},
  {"name":"desk","maxConnections":100}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,
  "throughputPerS":620000},"tenants":[{"name":"ws-1","apiKeys":["k1","k2"],"priority":1}]})";

const std::string entry = R"({"backend":"llm","address":"10.128.0.9:8080","zone":"gebze","version":"v1",
  "maxBatchSize":128,"phase":"ready","coldRemainingMs":0,"sequence":4,"born":1700000000000})";

}

TEST_CASE("a configuration document becomes routes, pools, keys and limits", "[platform]")
{
    auto decoded = decodeConfiguration(configuration);
    REQUIRE(decoded);
    const RoutingTable& table = *decoded.value();
    CHECK(table.version == 7);
    const Route* longest = table.routeFor("shop.example", "/a/b/c");
    REQUIRE(longest);
    CHECK(longest->name == "r2");
    CHECK(longest->kind == RequestKind::NonIdempotent);
    CHECK(longest->isAnonymous);
    const Route* stream = table.routeFor("shop.example", "/a/x");
    REQUIRE(stream);
    CHECK(stream->isRepeatable());
    CHECK(stream->pools.size() == 2);
    CHECK(!table.routeFor("shop.example", "/b"));
    CHECK(!table.routeFor("other.example", "/a/x"));
    CHECK(table.poolSpec(PoolId { "llm" }).memoryTokens == 637'745);
    CHECK(table.tightestObjective(PoolId { "llm" }) == Millis { 800 });
    CHECK(table.workspacesByApiKey.at("k2") == WorkspaceId { "ws-1" });
    CHECK(table.limits.idleTimeout == Millis { 15'000 });
    CHECK(!decodeConfiguration("{\"version\":"));
}

// Guards against using an entry that another writer left, and against losing the others with it.
TEST_CASE("entries that cannot be read name no endpoint", "[platform]")
{
    auto decoded = decodeRegistration("i-1", entry);
    REQUIRE(decoded);
    CHECK(decoded.value().startedAtUnixMs == 1'700'000'000'000);
    CHECK(!decoded.value().draining);
    auto replaced = [&](std::string_view from, std::string_view to) {
        std::string text = entry;
        text.replace(text.find(from), from.size(), to);
        return decodeRegistration("i-1", text);
    };
    CHECK(replaced("\"ready\"", "\"draining\"").value().draining);
    CHECK(!replaced("\"ready\"", "\"asleep\""));
    CHECK(!replaced("128", "\"128\""));
    CHECK(!replaced("\"zone\"", "\"place\""));
    CHECK(!decodeRegistration("i-1", "\x01\x02"));
}

TEST_CASE("records of a keyed topic are read back, also removals", "[platform]")
{
    std::string body(16, '\0');
    body += formatKeyedRecord("config", "{}") + formatKeyedRecord("gone", "");
    auto records = parseKeyedRecords(body);
    REQUIRE(records);
    REQUIRE(records->size() == 2);
    CHECK((*records)[0].key == "config");
    CHECK((*records)[0].value == "{}");
    CHECK(!(*records)[1].value);
    // A body that was cut is no record.
    CHECK(!parseKeyedRecords(std::string_view(body).substr(0, body.size() - 1)));
    CHECK(!parseKeyedRecords("short"));
}

// Guards against headers that a client may not set reaching an endpoint.
TEST_CASE("headers that are the daemon's to set are stripped", "[platform]")
{
    PlatformProtocol protocol;
    CallerRequest request { .method = "POST",
        .target = "/a/x",
        .headers = { { "Host", "shop.example" }, { "x-jasminestack-attempt-id", "id-1" },
            { "X-Jasminestack-Pin-Ms", "1" }, { "X-JASMINESTACK-CACHE-RETENTION", "h" }, { "Kv-From", "x" },
            { "X-Jasminestack-Kv-Backup", "y" }, { "X-Jasminestack-Tenant", "forged" }, { "Authorization", "Token k1" },
            { "X-Jasminestack-Prefix-Hash", "5c:800,91:410" }, { "X-Jasminestack-Token-Usage", "1210,80" },
            { "Connection", "X-Extra, X-Jasminestack-Model-Id" }, { "X-Extra", "1" },
            { "X-Jasminestack-Model-Id", "m" }, { "X-Other", "kept" } } };
    auto facts = protocol.decode(request);
    REQUIRE(facts);
    CHECK(facts.value().promptTokens == 1'210);
    CHECK(facts.value().prompt.size() == 2);
    CHECK(facts.value().apiKey == "k1");
    Registration endpoint { .id = EndpointId { "i-1" }, .address = "127.0.0.1:1" };
    EndpointRequest out = protocol.encode(
        request, facts.value(), { .endpoint = endpoint, .workspace = "ws-1", .timeLeft = Millis { 900 } });
    auto value = [&](std::string_view name) { return std::string(findHeader(out.headers, name)); };
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

TEST_CASE("events are passed on whole and once", "[router]")
{
    SseSplitter events;
    CHECK(events.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.lastId() == "1");
    CHECK(events.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.feed("id: 3\nhalf").empty());
    events.resume();
    // The other engine repeats an event that the caller has.
    CHECK(events.feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK(events.lastId() == "3");
    CHECK(events.events() == 3);
    CHECK(events.takeRest().empty());
}

// Guards against a stream that goes back or repeats within one answer.
TEST_CASE("events that go back break the stream", "[router]")
{
    SseSplitter events;
    static_cast<void>(events.feed("id: 5\ndata: a\n\n"));
    CHECK(events.feed("id: 5\ndata: a\n\n").empty());
    CHECK(events.broken());
}

TEST_CASE("messages between daemons are read back, broken ones rejected", "[router]")
{
    FleetUpdate news { .instanceId = 7,
        .daemonId = "router-1",
        .address = "10.0.0.1:7400",
        .sequence = 3,
        .configurationVersion = 12,
        .registrationsPosition = 40,
        .isSnapshot = true,
        .loads = { { .endpoint = 9, .load = { .inFlight = 2, .pendingPrefillTokens = 500, .reservedTokens = 900 } } },
        .sentPrompts = { { .endpoint = 9, .prompt = { { .key = 1, .tokens = 2 } } } },
        .rates = { { .workspace = 3, .demandTokensPerSecond = 10, .servedTokensPerSecond = 5 } },
        .crashes = { { .contentHash = 1, .lossCount = 2, .lossEventId = 3 } },
        .refusals = { { .contentHash = 8, .age = 20 } },
        .livePeerAddresses = { "10.0.0.2:7400" } };
    std::string bytes = encodeFleetUpdate(news);
    auto decoded = decodeFleetUpdate(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().isSnapshot);
    CHECK(decoded.value().loads[0].load == news.loads[0].load);
    CHECK(decoded.value().sentPrompts[0].prompt == news.sentPrompts[0].prompt);
    CHECK(decoded.value().refusals[0].age == 20);
    CHECK(decoded.value().livePeerAddresses == news.livePeerAddresses);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK(!decodeFleetUpdate(std::string_view(bytes).substr(0, length)));
}
