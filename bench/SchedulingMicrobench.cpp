#include "core/CellScheduler.h"
#include "core/Scheduling.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>
#include <new>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// \file
/// \brief Measures the time and memory of scheduling decisions for several fleet sizes and prints the series as JSON.

namespace {

std::atomic<std::size_t> allocatedBytes { 0 };

}

// Counts allocated bytes, including the allocator's rounding.
void* operator new(std::size_t size)
{
    void* memory = std::malloc(size);
    if (!memory)
        std::abort();
    allocatedBytes += malloc_usable_size(memory);
    return memory;
}

void operator delete(void* memory) noexcept
{
    if (memory)
        allocatedBytes -= malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }

namespace {

using namespace jasminestack;

// One of this many workspaces is backlogged at any time (docs/design.md, 1.6).
constexpr unsigned backloggedEvery = 10;
constexpr unsigned slotsPerEndpoint = 8;

struct Setup {
    SelfState self { .id = DaemonId("daemon-0"), .incarnation = 1 };
    Configuration configuration;
    MemberTable members;
    EndpointTable endpoints;
    SchedulingStatePointer state { makeSchedulingState({}) };
    Millis now { 10'000 };
    std::uint64_t nextRequest { 0 };

    Setup(unsigned workspaces, unsigned endpointCount)
    {
        PoolConfig pool { .id = PoolId("engines") };
        for (unsigned i = 0; i < endpointCount; ++i) {
            EndpointId id("gebze-engine-" + std::to_string(i));
            pool.endpoints[id] = { .id = id };
            endpoints.endpoints[id] = { .id = id, .pool = pool.id, .concurrencyLimit = slotsPerEndpoint };
        }
        configuration.version = 1;
        configuration.pools[pool.id] = std::move(pool);
        for (unsigned i = 0; i < workspaces; ++i) {
            WorkspaceId id = workspace(i);
            configuration.workspaces[id] = { .id = id, .share = 1.0 + i % 7, .queueRequests = 1'000'000 };
        }
    }

    static WorkspaceId workspace(unsigned i) { return WorkspaceId("kilic-workspace-" + std::to_string(i)); }
    SchedulingContext view() { return { self, configuration, members, endpoints }; }

    void enqueueRequest(unsigned i)
    {
        (void)enqueue(*state, view(),
            { .id = RequestId("request-" + std::to_string(nextRequest++)),
                .workspace = workspace(i),
                .pool = PoolId("engines"),
                .enqueuedAt = now,
                .deadline = now + Millis { 1'000'000 },
                .costHint = 100,
                .prefixHash = nextRequest },
            now);
    }
};

double microsecondsPerCall(std::size_t repetitions, const std::function<void()>& function)
{
    // The fastest of five rounds is the one least disturbed by other processes.
    double fastest = 0;
    for (int round = 0; round < 5; ++round) {
        auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < repetitions; ++i)
            function();
        std::chrono::duration<double, std::micro> duration = std::chrono::steady_clock::now() - start;
        double perCall = duration.count() / static_cast<double>(repetitions);
        fastest = round == 0 ? perCall : std::min(fastest, perCall);
    }
    return fastest;
}

/// \returns Microseconds in which one request ends, one is dispatched and one arrives, with all slots busy and all
/// workspaces backlogged.
double dispatchMicroseconds(unsigned workspaces, unsigned endpoints)
{
    Setup setup(workspaces, endpoints);
    for (unsigned i = 0; i < endpoints * slotsPerEndpoint + workspaces * 4; ++i)
        setup.enqueueRequest(i % workspaces);
    std::vector<RequestAssignment> running = dispatch(*setup.state, setup.view(), setup.now);
    std::size_t nextRunning = 0;
    return microsecondsPerCall(2'000, [&] {
        recordFinish(*setup.state, setup.view(), running[nextRunning].request, 100, true, setup.now);
        std::vector<RequestAssignment> assignments = dispatch(*setup.state, setup.view(), setup.now);
        running[nextRunning] = assignments.at(0);
        nextRunning = (nextRunning + 1) % running.size();
        setup.enqueueRequest(static_cast<unsigned>(setup.nextRequest % workspaces));
    });
}

/// \returns Microseconds to process one daemon's demand report and to recompute and issue allocations; the cell has 32
/// endpoints.
double stepMicroseconds(unsigned daemons, unsigned workspaces)
{
    Setup setup(workspaces, 32);
    CellInfo info {
        .id = { .pool = PoolId("engines") }, .region = "", .endpoints = {}, .schedulers = {}, .attached = {}
    };
    for (const auto& [id, endpoint] : setup.endpoints.endpoints)
        info.endpoints.push_back(id);
    for (unsigned daemon = 0; daemon < daemons; ++daemon)
        info.attached.emplace_back("daemon-" + std::to_string(daemon));
    std::sort(info.attached.begin(), info.attached.end());
    SchedulingOptions options;
    CellSchedulerContext view {
        .info = info, .configuration = setup.configuration, .endpoints = setup.endpoints, .options = options
    };
    CellSchedulerState cell;
    cell.id = info.id;
    unsigned backlogged = std::max(1U, workspaces / backloggedEvery);
    std::uint64_t sequence = 0;
    auto sendReport = [&](unsigned daemon) {
        DemandReport message {
            .cell = info.id, .sequence = ++sequence, .allocationSequence = 0, .demand = {}, .inFlightByEndpoint = {}
        };
        // A daemon has requests of at most 4 workspaces.
        for (unsigned i = 0; i < std::min(backlogged, 4U); ++i) {
            message.demand.push_back({ .workspace = Setup::workspace((daemon + i * 3) % backlogged),
                .queued = 5 + (daemon + i) % 7,
                .running = 1,
                .oldestQueuedAge = {},
                .servedCost = sequence * 10 });
        }
        (void)acceptReport(cell, view, info.attached[daemon], 1, message, setup.now);
    };
    for (unsigned daemon = 0; daemon < daemons; ++daemon)
        sendReport(daemon);
    recomputeAllocations(cell, view, setup.now);
    unsigned daemon = 0;
    return microsecondsPerCall(200, [&] {
        setup.now += Millis { 1 };
        sendReport(daemon);
        recomputeAllocations(cell, view, setup.now);
        (void)issueAllocation(cell, view, info.attached[daemon], 1, setup.now);
        daemon = (daemon + 1) % daemons;
        for (auto& [id, daemonState] : cell.daemons)
            daemonState.lastReportAt = setup.now;
    });
}

/// \returns Bytes of state with \p workspaces workspaces that have \p queued requests each.
double stateBytes(unsigned workspaces, unsigned queued)
{
    Setup setup(workspaces, 0);
    (void)dispatch(*setup.state, setup.view(), setup.now);
    std::size_t before = allocatedBytes;
    for (unsigned i = 0; i < workspaces * queued; ++i)
        setup.enqueueRequest(i % workspaces);
    return static_cast<double>(allocatedBytes - before);
}

nlohmann::json measureSeries(const char* name, const char* unit, const char* variable,
    const std::vector<unsigned>& values, const std::function<double(unsigned)>& measure)
{
    nlohmann::json points = nlohmann::json::array();
    for (unsigned value : values)
        points.push_back({ value, measure(value) });
    return { { "name", name }, { "unit", unit }, { "variable", variable }, { "points", std::move(points) } };
}

}

int main()
{
    nlohmann::json allSeries = nlohmann::json::array();
    allSeries.push_back(measureSeries("dispatch_by_workspaces", "us", "workspaces", { 16, 40, 80, 160, 320 },
        [](unsigned n) { return dispatchMicroseconds(n, 20); }));
    allSeries.push_back(measureSeries("dispatch_by_endpoints", "us", "endpoints", { 20, 75, 150, 300, 600 },
        [](unsigned n) { return dispatchMicroseconds(32, n); }));
    allSeries.push_back(measureSeries("step_by_daemons", "us", "daemons", { 8, 25, 50, 100, 200, 400 },
        [](unsigned n) { return stepMicroseconds(n, 320); }));
    allSeries.push_back(measureSeries("step_by_workspaces", "us", "workspaces", { 16, 40, 80, 160, 320 },
        [](unsigned n) { return stepMicroseconds(8, n); }));
    allSeries.push_back(measureSeries("state_by_workspaces", "B", "workspaces", { 16, 40, 80, 160, 320 },
        [](unsigned n) { return stateBytes(n, 1); }));
    allSeries.push_back(measureSeries("state_by_queued_requests", "B", "queued requests",
        { 160, 800, 1'600, 8'000, 16'000 }, [](unsigned n) { return stateBytes(16, n / 16); }));
    std::printf("%s\n", nlohmann::json { { "series", std::move(allSeries) } }.dump(1).c_str());
    return 0;
}
