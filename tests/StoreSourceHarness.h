#pragma once

#include "KeyedStore.h"
#include "LoopbackHarness.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "platform/StoreDeploymentSource.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <event2/event.h>
#include <thread>

/// \file
/// \brief A deployment source with a stand-in store, and what the source reports.

namespace jasminestack::test {

using namespace jasminestack::platform;
using jasminestack::standins::KeyedStore;

inline constexpr Millis testTimeout { 20'000 };

// A daemon that the store has responded to again for this long has to know all changes.
inline constexpr Millis contactTime { 3'000 };

// Requests may be sent to an engine for this long after the store has accepted that it leaves.
inline constexpr Millis drainTime { 2'000 };

inline std::string configurationJson(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"limits":{},"tenants":[]})";
}

/// \param sequence Number of the endpoint's write.
inline std::string registrationJson(const std::string& phase = "ready", int sequence = 4)
{
    return R"({"backend":"llm","address":"10.128.0.9:8080","zone":"a","version":"v1","maxBatchSize":8,"phase":")"
        + phase + R"(","coldRemainingMs":0,"sequence":)" + std::to_string(sequence) + R"(,"born":1700000000000})";
}

/// \brief A StoreDeploymentSource and a stand-in store in one event loop; records what the source reports.
struct StoreFixture : DeploymentListener {
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock;
    HttpClient http { *base };
    KeyedStore store { *base, freeAddress() };
    StoreDeploymentSource source { *base, http, clock,
        { .storeAddress = store.address(), .daemonId = "router-1", .peerAddress = "10.0.0.1:7400" } };
    std::vector<std::uint64_t> versions;
    std::vector<Registration> registrations;
    std::vector<std::string> peers;
    std::set<std::string> evacuatedZones;
    Millis registrationsChangedAt {};

    StoreFixture()
    {
        store.put("keyed.op", "config", configurationJson(3));
        store.put("keyed.servers", "i-1", registrationJson());
        store.put("keyed.servers", "i-2", registrationJson());
        source.start(*this);
        runUntil([&] { return !versions.empty() && registrations.size() == 2; });
    }

    void onRoutingTable(std::shared_ptr<const RoutingTable> table) override { versions.push_back(table->version); }
    void onRegistrations(const std::vector<Registration>& reported) override
    {
        registrations = reported;
        registrationsChangedAt = clock.now();
    }
    void onEvacuatedZones(const std::set<std::string>& zones) override { evacuatedZones = zones; }
    void onPeerAddresses(const std::vector<std::string>& addresses) override { peers = addresses; }

    /// \returns True if the condition became true before the test timeout, otherwise false.
    bool runUntil(const std::function<bool()>& condition) const
    {
        for (Millis deadline = clock.now() + testTimeout; !condition();) {
            if (clock.now() >= deadline)
                return false;
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    void runFor(Millis duration) const
    {
        for (Millis end = clock.now() + duration; clock.now() < end;) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    /// \brief Appends a record to both topics and waits until the source has read it.
    void endPendingReads()
    {
        store.put("keyed.op", "endPendingReads", "");
        store.put("keyed.servers", "endPendingReads", std::nullopt);
        std::int64_t before = source.versions().registrationsPosition;
        REQUIRE(runUntil([&] { return source.versions().registrationsPosition != before; }));
    }

    [[nodiscard]] bool hasReadyEndpoint(const std::string& id) const
    {
        return std::any_of(registrations.begin(), registrations.end(),
            [&](const Registration& item) { return item.id.value == id && !item.isDraining; });
    }

    /// \brief Injects a fault and waits until the source has sent more reads, by default two of each topic.
    void injectFault(KeyedStore::Fault fault, unsigned reads = 4)
    {
        unsigned callsBefore = store.calls().at("/v1/log-read");
        store.setFault(fault);
        REQUIRE(runUntil([&] { return store.calls().at("/v1/log-read") >= callsBefore + reads; }));
    }

    /// \brief Silences the store until the source has sent a read of each topic that is never answered.
    void loseReadsInSilence() { injectFault(KeyedStore::Fault::Silent, 2); }
};

}
