#include "core/CellClient.h"
#include "core/CellScheduler.h"
#include "core/Scheduling.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>
#include <set>

using namespace jasminestack;

namespace {

constexpr unsigned endpointCount = 3;
constexpr unsigned slotLimit = 4;
constexpr unsigned refillMargin = 1;

EndpointId endpointId(unsigned i) { return EndpointId("e" + std::to_string(i)); }

/// \brief A daemon that fills its allocated slots at random and reports its requests in flight.
struct ModelDaemon {
    DaemonId id;
    CellClient client;
    FairQueue queues;
    std::map<EndpointId, std::uint32_t> inFlight;
    std::uint64_t sequence { 0 };

    [[nodiscard]] std::uint32_t maxSlotsInUse(const EndpointId& endpoint, Millis now) const
    {
        std::uint32_t running = inFlight.contains(endpoint) ? inFlight.at(endpoint) : 0;
        auto allocated = client.allocatedSlots.find(endpoint);
        return std::max(running,
            client.allocationExpiresAt > now && allocated != client.allocatedSlots.end() ? allocated->second : 0);
    }
};

struct ConservationRun {
    SelfState self { .id = DaemonId("s"), .incarnation = 1 };
    Configuration configuration;
    EndpointTable endpoints;
    CellInfo info;
    SchedulingOptions options;
    CellSchedulerState cell;
    std::vector<ModelDaemon> daemons { 3 };
    std::deque<std::pair<std::size_t, DemandReport>> reports;
    std::deque<std::pair<std::size_t, Allocation>> allocations;
    Millis now { 10'000 };

    ConservationRun()
    {
        configuration.limits.refillMargin = refillMargin;
        info.id = { .pool = PoolId("p") };
        cell.id = info.id;
        cell.startedAt = now;
        for (unsigned e = 0; e < endpointCount; ++e) {
            info.endpoints.push_back(endpointId(e));
            endpoints.endpoints[endpointId(e)]
                = { .id = endpointId(e), .pool = PoolId("p"), .concurrencyLimit = slotLimit };
        }
        info.schedulers.push_back(self.id);
        for (std::size_t d = 0; d < daemons.size(); ++d) {
            daemons[d].id = DaemonId("d" + std::to_string(d));
            daemons[d].client.cell = info.id;
            info.attached.push_back(daemons[d].id);
        }
        for (const char* name : { "a", "b" })
            configuration.workspaces[WorkspaceId(name)]
                = { .id = WorkspaceId(name), .share = name[0] == 'a' ? 1.0 : 3.0 };
    }

    CellSchedulerContext view() { return { info, configuration, endpoints, options }; }

    void report(std::size_t d, unsigned queued)
    {
        ModelDaemon& daemon = daemons[d];
        DemandReport message { .cell = info.id,
            .sequence = ++daemon.client.reportSequence,
            .allocationSequence = daemon.client.allocationSequence };
        unsigned running = 0;
        for (const auto& [endpoint, count] : daemon.inFlight) {
            message.inFlightByEndpoint.push_back({ .endpoint = endpoint, .inFlight = count });
            running += count;
        }
        message.demand.push_back({ .workspace = WorkspaceId(d % 2 ? "a" : "b"), .queued = queued, .running = running });
        daemon.client.sentReports[message.sequence % daemon.client.sentReports.size()] = { message.sequence, now };
        reports.emplace_back(d, std::move(message));
    }

    void step(unsigned action, unsigned random)
    {
        std::size_t d = random % daemons.size();
        ModelDaemon& daemon = daemons[d];
        EndpointId endpoint = endpointId(random / 3 % endpointCount);
        auto position = [&](const auto& queue) { return static_cast<std::ptrdiff_t>(random / 3 % queue.size()); };
        switch (action) {
        case 0:
            report(d, random / 9 % 20);
            break;
        case 1: // Start a request within the allocation.
            if (daemon.client.allocationExpiresAt > now
                && daemon.inFlight[endpoint] < daemon.maxSlotsInUse(endpoint, now))
                ++daemon.inFlight[endpoint];
            break;
        case 2: // A request ends.
            if (daemon.inFlight[endpoint] > 0)
                --daemon.inFlight[endpoint];
            break;
        case 3: // A report arrives, in any order.
        case 4: // The same, and the report arrives again later.
            if (!reports.empty()) {
                auto it = reports.begin() + position(reports);
                auto [from, message] = *it;
                if (action == 3)
                    reports.erase(it);
                if (acceptReport(cell, view(), daemons[from].id, 1, message, now)) {
                    recomputeAllocations(cell, view(), now);
                    allocations.emplace_back(from, issueAllocation(cell, view(), daemons[from].id, 1, now));
                }
            }
            break;
        case 5: // An allocation arrives, in any order.
            if (!allocations.empty()) {
                auto it = allocations.begin() + position(allocations);
                (void)applyAllocation(
                    daemons[it->first].client, daemons[it->first].queues, info, self.id, it->second, now);
                allocations.erase(it);
            }
            break;
        case 6: // An allocation is lost.
            if (!allocations.empty())
                allocations.erase(allocations.begin() + position(allocations));
            break;
        default:
            now += Millis { static_cast<std::int64_t>(random % 700) };
        }
    }

    void check() const
    {
        for (unsigned e = 0; e < endpointCount; ++e) {
            std::uint32_t sum = 0;
            for (const ModelDaemon& daemon : daemons)
                sum += daemon.maxSlotsInUse(endpointId(e), now);
            RC_ASSERT(sum <= slotLimit + refillMargin);
        }
    }
};

}

// Guards against a slot that two daemons may fill at the same time when messages are lost, duplicated, reordered or
// delayed.
TEST_CASE("allocated and used slots never exceed the limit of an endpoint plus the refill margin", "[scheduling]")
{
    REQUIRE(rc::check("sum of allocated or used slots <= limit + margin", [] {
        ConservationRun run;
        for (std::size_t d = 0; d < run.daemons.size(); ++d) {
            run.report(d, 5);
            run.step(3, 0);
            run.step(5, 0);
        }
        auto actions = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            300, rc::gen::pair(rc::gen::inRange(0U, 8U), rc::gen::inRange(0U, 100'000U)));
        for (auto [action, random] : actions) {
            run.step(action, random);
            run.check();
        }
    }));
}

// Guards against a slot that stays free while a request that may use it is queued.
TEST_CASE("a single daemon is work-conserving", "[scheduling]")
{
    REQUIRE(rc::check("no usable slot is free while a request waits", [] {
        SelfState self { .id = DaemonId("d"), .incarnation = 1 };
        Configuration configuration { .version = 1 };
        EndpointTable table;
        MemberTable members;
        PoolConfig pool { .id = PoolId("p") };
        for (unsigned e = 0; e < endpointCount; ++e) {
            pool.endpoints[endpointId(e)] = { .id = endpointId(e) };
            table.endpoints[endpointId(e)] = { .id = endpointId(e), .pool = pool.id, .concurrencyLimit = 1 + e };
        }
        configuration.pools[pool.id] = pool;
        for (unsigned w = 0; w < 3; ++w) {
            WorkspaceId id("w" + std::to_string(w));
            configuration.workspaces[id] = { .id = id, .share = 1.0 + w };
        }
        SchedulingStatePointer state = makeSchedulingState({});
        SchedulingContext view { self, configuration, members, table };
        std::map<RequestId, QueuedRequest> queued;
        std::vector<RequestId> running;
        Millis now { 1'000 };
        auto actions = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            100, rc::gen::pair(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 1'000U)));
        for (std::size_t i = 0; i < actions.size(); ++i) {
            auto [action, random] = actions[i];
            now += Millis { 11 };
            if (action < 2) {
                QueuedRequest request { .id = RequestId("r" + std::to_string(i)),
                    .workspace = WorkspaceId("w" + std::to_string(random % 3)),
                    .pool = pool.id,
                    .enqueuedAt = now,
                    .deadline = now + Millis { 1'000'000 },
                    .prefixHash = random % 5 };
                if (random % 4 == 0)
                    request.triedEndpoints.push_back(endpointId(random / 4 % endpointCount));
                RC_ASSERT(enqueue(*state, view, request, now).has_value());
                queued[request.id] = request;
            } else if (action == 2 && !running.empty()) {
                auto it = running.begin() + static_cast<std::ptrdiff_t>(random % running.size());
                recordFinish(*state, view, *it, random, random % 2 == 0, now);
                running.erase(it);
            } else if (action == 3) {
                table.endpoints[endpointId(random % endpointCount)].leaving = random % 2 == 0;
            } else if (action == 4 && !queued.empty()) {
                cancelQueued(*state, queued.begin()->first);
                queued.erase(queued.begin());
            }
            for (const RequestAssignment& assignment : dispatch(*state, view, now)) {
                RC_ASSERT(queued.erase(assignment.request) == 1U);
                RC_ASSERT(!table.endpoints[assignment.endpoint].leaving);
                RC_ASSERT(table.endpoints[assignment.endpoint].inFlight
                    <= table.endpoints[assignment.endpoint].concurrencyLimit);
                running.push_back(assignment.request);
            }
            std::set<EndpointId> usable;
            std::set<EndpointId> free;
            for (const auto& [id, endpoint] : table.endpoints) {
                if (!endpoint.leaving)
                    usable.insert(id);
                if (!endpoint.leaving && endpoint.inFlight < endpoint.concurrencyLimit)
                    free.insert(id);
            }
            for (const auto& [id, request] : queued) {
                for (const EndpointId& endpoint : free) {
                    bool avoided = std::find(request.triedEndpoints.begin(), request.triedEndpoints.end(), endpoint)
                        != request.triedEndpoints.end();
                    RC_ASSERT(avoided && usable.size() > 1);
                }
            }
        }
    }));
}
