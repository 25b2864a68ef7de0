#pragma once

#include "core/CellClient.h"
#include "core/Scheduling.h"

#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Several instances of the scheduling core in memory, with engines, a delayed message queue and a fake clock.

namespace jasminestack::test {

struct SimulationOptions {
    unsigned daemons { 8 };
    unsigned engines { 20 };
    unsigned slots { 8 };
    unsigned cellSize { 32 };
    std::uint64_t seed { 1 };
    double loss { 0 };
    double duplicate { 0 };
    int jitterMs { 2 }; ///< Maximum random delay; messages may overtake each other within it.
    double tokensPerSecond { 500 }; ///< Generation rate of a slot.
    SchedulingOptions scheduling;
};

/// \brief A workspace that keeps `depth` requests queued at each of its daemons while it is active.
struct WorkspaceLoad {
    std::string workspace;
    double share { 1 };
    std::vector<unsigned> daemons;
    std::size_t depth { 20 };
    bool sendsFalseHints { false };
    bool isActive { true };
};

class SchedulingSimulation {
public:
    static constexpr double smallestCost = 40;
    static constexpr double largestCost = 4'000;

    struct EngineRequest {
        RequestId id;
        unsigned daemon { 0 };
        std::size_t flow { 0 };
        double cost { 0 };
        double processedTokens { 0 };
    };
    struct SimulatedEngine {
        std::vector<EngineRequest> running;
        std::deque<EngineRequest> waiting;
    };
    struct SimulatedDaemon {
        SelfState self;
        MemberTable members;
        EndpointTable endpoints;
        SchedulingStatePointer state;
        std::vector<std::size_t> queued; ///< By flow.
        bool alive { true };
        bool paused { false };
        std::deque<PeerMessage> inbox; ///< Messages that arrived while the daemon was paused.
        std::vector<EngineRequest> finished; ///< Requests that ended while the daemon was paused.
        double bytes { 0 };
    };
    SchedulingSimulation(SimulationOptions options, std::vector<WorkspaceLoad> flows)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_flows(std::move(flows))
    {
        PoolConfig pool { .id = PoolId("engines") };
        for (unsigned e = 0; e < m_options.engines; ++e) {
            EndpointId id("engine-" + std::to_string(e));
            pool.endpoints[id] = { .id = id, .slots = m_options.slots };
            m_engines[id];
        }
        configuration.version = 1;
        configuration.limits.cellSize = m_options.cellSize;
        configuration.pools[pool.id] = pool;
        for (const WorkspaceLoad& flow : m_flows) {
            configuration.workspaces[WorkspaceId(flow.workspace)]
                = { .id = WorkspaceId(flow.workspace), .share = flow.share, .queueRequests = 1'000'000 };
        }
        service.assign(m_flows.size(), 0);
        longestWait.assign(m_flows.size(), 0);
        m_startedCosts.resize(m_flows.size());
        daemons.resize(m_options.daemons);
        for (unsigned d = 0; d < daemons.size(); ++d)
            restart(d, 1'000 + d);
        for (unsigned d = 0; d < daemons.size(); ++d)
            setMember(d, MemberState::Alive);
    }

    Configuration configuration;
    std::vector<SimulatedDaemon> daemons;
    std::vector<double> service; ///< Generated tokens, by index of the flow.
    std::vector<double> longestWait; ///< Longest time in the queue in milliseconds, by index of the flow.
    std::function<bool(unsigned, unsigned)> dropsMessage = [](unsigned, unsigned) {
        return false;
    }; ///< Whether messages from the first daemon to the second are dropped.
    Millis now { 1'000 };
    std::map<std::size_t, std::pair<double, double>>
        sent; ///< Numbers of messages and bytes, by index of the payload type.
    std::uint32_t highestLoad { 0 }; ///< Requests at one engine, running and waiting.

    [[nodiscard]] WorkspaceLoad& flow(std::size_t i) { return m_flows[i]; }
    [[nodiscard]] SchedulingContext view(unsigned d)
    {
        return { daemons[d].self, configuration, daemons[d].members, daemons[d].endpoints };
    }
    [[nodiscard]] double utilisation() const { return m_busy / m_capacity; }
    [[nodiscard]] double meanLoad() const { return (m_busy + m_waiting) / m_capacity * m_options.slots; }

    /// \brief Adds engines to the configuration and to all endpoint tables.
    void addEngines(unsigned count)
    {
        PoolConfig& pool = configuration.pools.at(PoolId("engines"));
        for (unsigned i = 0; i < count; ++i) {
            EndpointId id("engine-" + std::to_string(m_engines.size()));
            pool.endpoints[id] = { .id = id, .slots = m_options.slots };
            m_engines[id];
            for (SimulatedDaemon& daemon : daemons)
                daemon.endpoints.endpoints[id] = { .id = id, .pool = pool.id, .concurrencyLimit = m_options.slots };
        }
        ++configuration.version;
    }

    /// \returns The longest wait in milliseconds of flow \p flowIndex behind the requests queued before, if it were
    /// served at exactly its share of all slots.
    [[nodiscard]] double exactWait(std::size_t flowIndex) const
    {
        double shares = 0;
        for (const WorkspaceLoad& flow : m_flows)
            shares += flow.share;
        double rate = m_capacity / m_seconds * m_options.tokensPerSecond * m_flows[flowIndex].share / shares;
        double longest = 0;
        const std::vector<double>& costs = m_startedCosts[flowIndex];
        for (std::size_t i = m_flows[flowIndex].depth; i < costs.size(); ++i) {
            double ahead = 0;
            for (std::size_t k = i - m_flows[flowIndex].depth; k < i; ++k)
                ahead += costs[k];
            longest = std::max(longest, ahead / rate * 1'000);
        }
        return longest;
    }

    /// \brief Resets utilisation, load and bytes, but not the service.
    void resetMeasurements()
    {
        m_busy = m_capacity = m_waiting = m_seconds = 0;
        highestLoad = 0;
        for (SimulatedDaemon& daemon : daemons)
            daemon.bytes = 0;
    }
    [[nodiscard]] double busiestBytesPerSecond() const
    {
        double most = 0;
        for (const SimulatedDaemon& daemon : daemons)
            most = std::max(most, daemon.bytes / m_seconds);
        return most;
    }

    /// \returns Largest difference of service/share since the service was \p baseline, in units of the largest request
    /// at the smallest share, over the active flows.
    [[nodiscard]] double gap(const std::vector<double>& baseline) const
    {
        double low = std::numeric_limits<double>::infinity();
        double high = 0;
        double smallestShare = low;
        for (std::size_t i = 0; i < m_flows.size(); ++i) {
            if (!m_flows[i].isActive)
                continue;
            double normalised = (service[i] - baseline[i]) / m_flows[i].share;
            low = std::min(low, normalised);
            high = std::max(high, normalised);
            smallestShare = std::min(smallestShare, m_flows[i].share);
        }
        return (high - low) * smallestShare / largestCost;
    }

    /// \brief Runs for \p time; calls \p afterStep after every step.
    void run(
        Millis time, const std::function<void()>& afterStep = [] {})
    {
        for (Millis end = now + time; now < end;) {
            now += step;
            advanceEngines();
            deliver();
            for (unsigned d = 0; d < daemons.size(); ++d)
                stepDaemon(d);
            measure();
            afterStep();
        }
    }

    /// \brief Starts daemon \p d with empty state.
    void restart(unsigned d, std::uint64_t incarnation)
    {
        SimulatedDaemon& daemon = daemons[d];
        MemberTable members = std::move(daemon.members);
        daemon = {};
        daemon.members = std::move(members);
        daemon.self = { .id = DaemonId("daemon-" + std::to_string(d)), .incarnation = incarnation };
        daemon.state = makeSchedulingState(m_options.scheduling);
        daemon.queued.assign(m_flows.size(), 0);
        for (const auto& [id, endpoint] : configuration.pools.at(PoolId("engines")).endpoints)
            daemon.endpoints.endpoints[id]
                = { .id = id, .pool = PoolId("engines"), .concurrencyLimit = endpoint.slots };
    }

    /// \brief Ends daemon \p d; engines cancel its requests, and its callers go to the next daemon.
    void kill(unsigned d)
    {
        daemons[d].alive = false;
        for (auto& [id, engine] : m_engines) {
            std::erase_if(engine.running, [&](const EngineRequest& request) { return request.daemon == d; });
            std::erase_if(engine.waiting, [&](const EngineRequest& request) { return request.daemon == d; });
        }
        for (WorkspaceLoad& flow : m_flows) {
            for (unsigned& daemon : flow.daemons)
                daemon = daemon == d ? (d + 1) % static_cast<unsigned>(daemons.size()) : daemon;
        }
    }

    /// \brief Sets the membership state of daemon \p d at the other daemons for which \p where returns true.
    void setMember(
        unsigned d, MemberState state, const std::function<bool(unsigned)>& where = [](unsigned) { return true; })
    {
        for (unsigned i = 0; i < daemons.size(); ++i) {
            if (i != d && where(i)) {
                daemons[i].members.members[daemons[d].self.id].lastUpdate
                    = { .id = daemons[d].self.id, .incarnation = daemons[d].self.incarnation, .state = state };
            }
        }
    }

    /// \returns The scheduler of the first cell in the view of the first live daemon.
    [[nodiscard]] unsigned scheduler()
    {
        for (unsigned d = 0; d < daemons.size(); ++d) {
            std::vector<CellStatus> cells = cellStatus(*daemons[d].state, view(d), now);
            for (unsigned s = 0; !cells.empty() && s < daemons.size(); ++s) {
                if (daemons[d].alive && daemons[s].self.id == cells.front().scheduler)
                    return s;
            }
        }
        return 0;
    }

private:
    static constexpr Millis step { 5 };

    static unsigned daemonIndex(const DaemonId& id) { return static_cast<unsigned>(std::stoul(id.value.substr(7))); }

    void send(unsigned from, std::vector<OutboundMessage> messages)
    {
        for (OutboundMessage& message : messages) {
            unsigned to = daemonIndex(message.to);
            double bytes = static_cast<double>(std::visit(
                [](const auto& payload) -> std::size_t {
                    if constexpr (requires { messageBytes(payload); })
                        return messageBytes(payload);
                    else
                        return 0;
                },
                message.payload));
            daemons[from].bytes += bytes;
            sent[message.payload.index()].first += 1;
            sent[message.payload.index()].second += bytes;
            if (dropsMessage(from, to) || m_random.uniformReal() < m_options.loss)
                continue;
            daemons[to].bytes += bytes;
            PeerMessage copy { .sender = daemons[from].self.id,
                .incarnation = daemons[from].self.incarnation,
                .payload = message.payload };
            int copies = m_random.uniformReal() < m_options.duplicate ? 2 : 1;
            for (int i = 0; i < copies; ++i) {
                auto delay = 1
                    + static_cast<std::int64_t>(
                        m_random.uniformInteger(static_cast<std::uint64_t>(m_options.jitterMs)));
                m_messages.emplace((now + Millis { delay }).count, std::pair { to, copy });
            }
        }
    }

    void handle(unsigned d, const PeerMessage& message)
    {
        SimulatedDaemon& daemon = daemons[d];
        if (const auto* report = std::get_if<DemandReport>(&message.payload))
            send(d, onDemandReport(*daemon.state, view(d), message, *report, now));
        else if (const auto* allocation = std::get_if<Allocation>(&message.payload))
            onAllocation(*daemon.state, view(d), message, *allocation, now);
        else if (const auto* cellReport = std::get_if<CellReport>(&message.payload))
            onCellReport(*daemon.state, view(d), message, *cellReport, now);
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= now.count) {
            auto [to, message] = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            if (!daemons[to].alive)
                continue;
            if (daemons[to].paused)
                daemons[to].inbox.push_back(std::move(message));
            else
                handle(to, message);
        }
    }

    void stepDaemon(unsigned d)
    {
        SimulatedDaemon& daemon = daemons[d];
        if (!daemon.alive || daemon.paused)
            return;
        for (; !daemon.inbox.empty(); daemon.inbox.pop_front())
            handle(d, daemon.inbox.front());
        for (const EngineRequest& request : daemon.finished)
            recordFinish(*daemon.state, view(d), request.id, request.cost, true, now);
        daemon.finished.clear();
        for (std::size_t flowIndex = 0; flowIndex < m_flows.size(); ++flowIndex) {
            const WorkspaceLoad& flow = m_flows[flowIndex];
            if (flow.isActive && std::find(flow.daemons.begin(), flow.daemons.end(), d) != flow.daemons.end()) {
                while (daemon.queued[flowIndex] < flow.depth)
                    enqueueRequest(d, flowIndex);
            }
        }
        for (const RequestAssignment& assignment : dispatch(*daemon.state, view(d), now)) {
            auto request = m_queuedRequests.extract(assignment.request).mapped();
            --daemon.queued[request.first.flow];
            m_startedCosts[request.first.flow].push_back(request.first.cost);
            longestWait[request.first.flow]
                = std::max(longestWait[request.first.flow], static_cast<double>((now - request.second).count));
            m_engines.at(assignment.endpoint).waiting.push_back(request.first);
        }
        if (now.count % 50 == 0) {
            pollLoad(daemon, d);
            send(d, tickScheduling(*daemon.state, view(d), now));
        }
    }

    void enqueueRequest(unsigned d, std::size_t flowIndex)
    {
        const WorkspaceLoad& flow = m_flows[flowIndex];
        double cost = smallestCost * std::pow(largestCost / smallestCost, m_random.uniformReal());
        double hint = flow.sendsFalseHints ? 1 : cost * std::pow(5.0, 2 * m_random.uniformReal() - 1);
        QueuedRequest request { .id = RequestId(std::to_string(m_nextRequest++)),
            .workspace = WorkspaceId(flow.workspace),
            .pool = PoolId("engines"),
            .enqueuedAt = now,
            .deadline = now + Millis { 100'000'000 },
            .costHint = hint };
        m_queuedRequests.emplace(request.id,
            std::pair { EngineRequest { .id = request.id, .daemon = d, .flow = flowIndex, .cost = cost }, now });
        if (enqueue(*daemons[d].state, view(d), request, now))
            ++daemons[d].queued[flowIndex];
    }

    /// \brief Every 500 ms delivers load reports to the schedulers and the daemons without a valid allocation.
    void pollLoad(SimulatedDaemon& daemon, unsigned d)
    {
        if ((now.count + 50 * d) % 500 != 0)
            return;
        bool needsLoadReports = false;
        for (const CellStatus& cell : cellStatus(*daemon.state, view(d), now))
            needsLoadReports |= cell.needsLoadReports;
        for (auto& [id, endpoint] : daemon.endpoints.endpoints) {
            if (!needsLoadReports)
                break;
            const SimulatedEngine& engine = m_engines.at(id);
            endpoint.reportedRunning = static_cast<std::uint32_t>(engine.running.size());
            endpoint.reportedWaiting = static_cast<std::uint32_t>(engine.waiting.size());
            endpoint.lastReportAt = now;
        }
    }

    void advanceEngines()
    {
        double tokens = m_options.tokensPerSecond * step.seconds();
        for (auto& [id, engine] : m_engines) {
            while (engine.running.size() < m_options.slots && !engine.waiting.empty()) {
                engine.running.push_back(std::move(engine.waiting.front()));
                engine.waiting.pop_front();
            }
            m_busy += static_cast<double>(engine.running.size()) * step.seconds();
            m_capacity += m_options.slots * step.seconds();
            for (EngineRequest& request : engine.running) {
                double part = std::min(tokens, request.cost - request.processedTokens);
                request.processedTokens += part;
                service[request.flow] += part;
                SimulatedDaemon& daemon = daemons[request.daemon];
                if (daemon.alive && !daemon.paused)
                    recordProgress(*daemon.state, request.id, request.processedTokens);
            }
            std::erase_if(engine.running, [&](const EngineRequest& request) {
                SimulatedDaemon& daemon = daemons[request.daemon];
                if (request.processedTokens < request.cost)
                    return false;
                if (daemon.paused)
                    daemon.finished.push_back(request);
                else if (daemon.alive)
                    recordFinish(*daemon.state, view(request.daemon), request.id, request.cost, true, now);
                return true;
            });
        }
        m_seconds += step.seconds();
    }

    void measure()
    {
        for (const auto& [id, engine] : m_engines)
            highestLoad
                = std::max(highestLoad, static_cast<std::uint32_t>(engine.running.size() + engine.waiting.size()));
    }

    SimulationOptions m_options;
    Random m_random;
    std::vector<WorkspaceLoad> m_flows;
    std::map<EndpointId, SimulatedEngine> m_engines;
    std::multimap<std::int64_t, std::pair<unsigned, PeerMessage>> m_messages;
    std::map<RequestId, std::pair<EngineRequest, Millis>> m_queuedRequests;
    std::uint64_t m_nextRequest { 0 };
    double m_busy { 0 };
    double m_capacity { 0 };
    double m_waiting { 0 };
    std::vector<std::vector<double>> m_startedCosts; ///< Costs of started requests, by flow.
    double m_seconds { 0 };
};

/// \brief 16 workspaces with unequal shares: four large ones flood two of the daemons, twelve small ones enter at one
/// daemon each, and one of them always sends a false hint.
inline std::vector<WorkspaceLoad> unequalFlows(std::size_t flood = 1)
{
    std::vector<WorkspaceLoad> flows;
    const double large[] = { 10, 8, 6, 4 };
    const double small[] = { 0.5, 1, 1, 1, 1.5, 1.5, 2, 2, 2, 3, 3, 3 };
    for (double share : large) {
        flows.push_back({ .workspace = "kilic-large-" + std::to_string(flows.size()),
            .share = share,
            .daemons = { 0, 1 },
            .depth = 200 * flood });
    }
    for (double share : small) {
        flows.push_back({ .workspace = "kilic-small-" + std::to_string(flows.size()),
            .share = share,
            .daemons = { static_cast<unsigned>(flows.size() % 8) },
            .depth = 20,
            .sendsFalseHints = flows.size() == 7 });
    }
    return flows;
}

}
