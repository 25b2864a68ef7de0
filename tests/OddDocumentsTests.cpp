#include "StoreSourceHarness.h"
#include "platform/KeyedTopicReader.h"
#include "platform/StoreDocuments.h"
#include "router/DocumentsRequest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <pthread.h>
#include <rapidcheck.h>

/// \file
/// \brief Documents that other processes write, changed at random: their decoders return errors and never throw.

using namespace jasminestack;
using namespace jasminestack::platform;
using namespace jasminestack::test;
using nlohmann::json;

namespace {

json configurationDocument()
{
    return json::parse(R"({"version":7,
        "routes":[{"name":"quote","hostname":"shop.example","pathPrefix":"/quote/","routeType":"streaming",
            "timeoutMs":2500,"targetLatencyMs":150,"itlTargetMs":50,"maxAttempts":2,"anonymous":false,
            "streamResume":true,"trafficSplit":[{"backend":"llm","weight":90},{"backend":"desk","weight":10}]},
            {"name":"book","hostname":"shop.example","pathPrefix":"/book/","backend":"desk"}],
        "services":[{"name":"llm","coldPerS":0.5,"coldStartS":3,"engine":{"maxBatchSize":8,"kvCapacity":600000}},
            {"name":"desk"}],
        "tenants":[{"name":"ws-1","apiKeys":["key-1","key-2"]}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000}})");
}

json peerDocuments(bool withChanges)
{
    json document { { "configuration", configurationDocument().dump() }, { "configurationVersion", 7 },
        { "configurationOffset", 5 }, { "evacuatedZones", { "a" } }, { "unconfirmedEvacuatedZones", { "b" } },
        { "position", 4 } };
    if (!withChanges) {
        document["registrations"] = { { "i-1", registrationJson() }, { "i-2", registrationJson() } };
        document["expiredAgesMs"] = { { "i-2", 700 } };
        return document;
    }
    document["position"] = 1;
    document["since"] = -1;
    document["changes"] = { { { "id", "i-1" }, { "text", registrationJson() } },
        { { "id", "i-2" }, { "text", "" }, { "expiredAgeMs", 500 } } };
    return document;
}

json oddValue()
{
    return *rc::gen::element<json>(nullptr, true, -1, 0, 1e300, -1e300, 0.5, INT64_MIN, INT64_MAX, UINT64_MAX, "",
        "\xff\xfe", std::string(300, 'x'), json::array(), json::object(), json::array({ json::array({ nullptr }) }),
        json { { "name", json::array() } });
}

// Replaces, removes or copies values at random places.
void changeValues(json& value, int percent)
{
    if (*rc::gen::inRange(0, 100) < percent) {
        value = oddValue();
        return;
    }
    if (value.is_object() && !value.empty() && *rc::gen::inRange(0, 100) < percent) {
        auto removed = value.begin();
        std::advance(removed, *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(value.size())));
        value.erase(removed);
    }
    if (value.is_array() && !value.empty() && *rc::gen::inRange(0, 100) < percent) {
        json copy = value.front();
        value.push_back(std::move(copy));
    }
    if (value.is_structured()) {
        for (auto& item : value)
            changeValues(item, percent);
    }
}

std::string changeBytes(std::string text)
{
    auto changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes; ++i) {
        auto position = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        if (*rc::gen::inRange(0, 3) == 0)
            text.resize(position);
        else
            text.insert(position, 1, *rc::gen::element('"', '{', '[', ']', '}', ',', ':', '\\', '\0', '\xff', '9'));
    }
    return text;
}

std::string changedText(json document)
{
    changeValues(document, *rc::gen::inRange(0, 15));
    return changeBytes(document.dump(-1, ' ', false, json::error_handler_t::replace));
}

struct IgnoringListener final : DeploymentListener {
    void onRoutingTable(std::shared_ptr<const RoutingTable>) override { }
    void onRegistrations(const std::vector<Registration>&) override { }
    void onEvacuatedZones(const std::set<std::string>&) override { }
    void onPeerAddresses(const std::vector<std::string>&) override { }
};

/// \brief A deployment source without a store.
struct Importer {
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock;
    HttpClient http { *base };
    IgnoringListener listener;
    StoreDeploymentSource source { *base, http, clock,
        { .storeAddress = "127.0.0.1:1", .daemonId = "router-1", .peerAddress = "127.0.0.1:2" } };

    Importer() { source.start(listener); }
};

std::string nestedJson(std::size_t levels, std::string_view open, std::string_view close)
{
    std::string text;
    text.reserve(levels * (open.size() + close.size()) + 1);
    for (std::size_t i = 0; i < levels; ++i)
        text += open;
    text += '1';
    for (std::size_t i = 0; i < levels; ++i)
        text += close;
    return text;
}

// Calls \p body on a thread with a small stack, which a recursion over the levels of a document overflows.
void runOnSmallStack(const std::function<void()>& body)
{
    pthread_attr_t attributes;
    REQUIRE(pthread_attr_init(&attributes) == 0);
    REQUIRE(pthread_attr_setstacksize(&attributes, 512U << 10U) == 0);
    pthread_t thread {};
    auto run = [](void* argument) -> void* {
        (*static_cast<const std::function<void()>*>(argument))();
        return nullptr;
    };
    // The body is only called.
    REQUIRE(pthread_create(&thread, &attributes, run, const_cast<std::function<void()>*>(&body)) == 0);
    pthread_join(thread, nullptr);
    pthread_attr_destroy(&attributes);
}

}

TEST_CASE("the documents of the properties below are valid", "[platform][documents]")
{
    CHECK(decodeConfiguration(configurationDocument().dump()));
    CHECK(decodeRegistration("i-1", registrationJson()));
    for (bool withChanges : { false, true }) {
        Importer importer;
        importer.source.importDocuments(peerDocuments(withChanges).dump());
        CHECK(importer.source.versions().configurationVersion == 7);
        CHECK(importer.source.versions().registrationsPosition == (withChanges ? 1 : 4));
    }
}

// Guards against an exception that leaves the reader of the store.
TEST_CASE("changed configurations and registrations never make a decoder throw", "[platform][documents][property]")
{
    CHECK(rc::check("changed documents", [] {
        static_cast<void>(decodeConfiguration(changedText(configurationDocument())));
        std::string registration = changedText(json::parse(registrationJson()));
        static_cast<void>(decodeRegistration("i-1", registration));
        static_cast<void>(isOlderRegistration(registration, registrationJson()));
        static_cast<void>(isOlderRegistration(registrationJson(), registration));
    }));
}

TEST_CASE("changed records of a topic never make a decoder throw", "[platform][documents][property]")
{
    CHECK(rc::check("changed records", [] {
        std::string body(16, '\0');
        body += formatKeyedRecord("i-1", registrationJson()) + formatKeyedRecord("i-2", "");
        auto changes = *rc::gen::inRange(0, 6);
        for (int i = 0; i < changes && !body.empty(); ++i)
            body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
        body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
        static_cast<void>(parseKeyedRecords(body));
        static_cast<void>(parseDocumentsTarget(changeBytes(formatDocumentsTarget({ .configurationVersion = 7 }))));
    }));
}

// Guards against an exception that leaves the import of a peer's documents, which catches those of JSON only.
TEST_CASE("changed documents of a peer never make the import throw", "[platform][documents][property]")
{
    CHECK(rc::check("changed documents of a peer", [] {
        Importer importer;
        importer.source.importDocuments(changedText(peerDocuments(*rc::gen::arbitrary<bool>())));
        importer.source.importDocuments(changedText(peerDocuments(*rc::gen::arbitrary<bool>())));
        static_cast<void>(importer.source.exportDocuments({}));
    }));
}

// Guards against a recursion, in a parser or a destructor, whose depth another process chooses.
TEST_CASE("documents with a million levels do not overflow the stack", "[platform][documents]")
{
    constexpr std::size_t levels = 1'000'000;
    std::string arrays = nestedJson(levels, "[", "]");
    std::string objects = nestedJson(levels, R"({"a":)", "}");
    for (const std::string& nested : { arrays, objects, arrays.substr(0, levels) }) {
        std::string wrapped = R"({"version":1,"routes":)" + nested + R"(,"configuration":)" + nested + "}";
        runOnSmallStack([&] {
            static_cast<void>(decodeConfiguration(nested));
            static_cast<void>(decodeConfiguration(wrapped));
            static_cast<void>(decodeRegistration("i-1", wrapped));
            Importer importer;
            importer.source.importDocuments(nested);
            importer.source.importDocuments(wrapped);
        });
    }
}
