#include "routing/FleetView.h"
#include "routing/LatencyAdmission.h"

#include <catch2/catch.hpp>

using namespace jasminestack;

namespace {

const PoolId llm { "llm" };
constexpr Millis now { 1'000 };

Registration makeRegistration(const std::string& id, const std::string& zone)
{
    return { .id = EndpointId { id }, .pool = llm, .address = "127.0.0.1:9000", .availabilityZone = zone, .slots = 16 };
}

struct ZonedFleet {
    RoutingTable table;
    FleetView view;
    std::vector<Registration> registrations;

    ZonedFleet()
    {
        table.version = 1;
        table.pools[llm] = { .id = llm, .isModel = true, .slots = 16, .memoryTokens = 600'000 };
        for (const char* zone : { "a", "b", "c" }) {
            for (int i = 1; i <= 2; ++i)
                registrations.push_back(makeRegistration(zone + std::to_string(i), zone));
        }
        setRegistrations(view, registrations);
    }

    /// \returns The zone of the endpoint that a request of a daemon in zone a is sent to; empty if none can be used.
    std::string chosenZone(std::span<const EndpointInstanceId> triedEndpoints = {})
    {
        AdmissionLimits limits = admissionLimits({ .objective = { 800 }, .timeToDeadline = { 5'000 } });
        EndpointChoice choice = chooseEndpoint(view, table, llm, { .promptTokens = 1'000, .maxOutputTokens = 100 },
            { .limits = limits, .availabilityZone = "a", .triedEndpoints = triedEndpoints, .isRepeatable = true }, now);
        return choice.endpoint ? choice.endpoint->registration.availabilityZone : std::string();
    }
};

}

// Guards against requests to endpoints of a zone that the operator empties, also where it is the nearest one.
TEST_CASE("no request is sent to an evacuated zone until it is taken back", "[evacuation]")
{
    ZonedFleet fleet;
    CHECK(fleet.chosenZone() == "a");
    setEvacuatedZones(fleet.view, { "a" }, now);
    CHECK(fleet.chosenZone() != "a");
    CHECK_FALSE(fleet.view.endpoints.at(EndpointId { "a1" }).acceptsRequests(now));
    setEvacuatedZones(fleet.view, {}, now);
    CHECK(fleet.chosenZone() == "a");
}

// Guards against a zone that gets all that waits at once when it is taken back, since its endpoints may be cold.
TEST_CASE("the endpoints of a zone that is taken back are paced", "[evacuation]")
{
    ZonedFleet fleet;
    fleet.table.pools[llm].coldRequestsPerSecond = 4;
    fleet.table.pools[llm].coldDuration = Millis { 3'000 };
    updatePaces(fleet.view, fleet.table, {}, now);
    setEvacuatedZones(fleet.view, { "a" }, now);
    setEvacuatedZones(fleet.view, {}, now);
    CHECK(isCold(fleet.view.endpoints.at(EndpointId { "a1" }).pace, now));
    CHECK_FALSE(isCold(fleet.view.endpoints.at(EndpointId { "b1" }).pace, now));
}

// Guards against a retry that leaves the zone of the first attempt for an evacuated one.
TEST_CASE("retries avoid evacuated zones", "[evacuation]")
{
    ZonedFleet fleet;
    setEvacuatedZones(fleet.view, { "b", "c" }, now);
    std::vector<EndpointInstanceId> tried { fleet.view.endpoints.at(EndpointId { "a1" }).instanceId };
    CHECK(fleet.chosenZone(tried) == "a");
    tried.push_back(fleet.view.endpoints.at(EndpointId { "a2" }).instanceId);
    CHECK(fleet.chosenZone(tried).empty());
}

// Guards against requests to endpoints that start in an evacuated zone, or register again there.
TEST_CASE("endpoints that register in an evacuated zone get no request", "[evacuation]")
{
    ZonedFleet fleet;
    setEvacuatedZones(fleet.view, { "a", "b", "c" }, now);
    CHECK(fleet.chosenZone().empty());
    fleet.registrations.push_back(makeRegistration("a3", "a"));
    fleet.registrations.front().startedAtUnixMs = 1'700'000'000'000;
    setRegistrations(fleet.view, fleet.registrations);
    CHECK(fleet.chosenZone().empty());
    fleet.registrations.push_back(makeRegistration("d1", "d"));
    setRegistrations(fleet.view, fleet.registrations);
    CHECK(fleet.chosenZone() == "d");
}
