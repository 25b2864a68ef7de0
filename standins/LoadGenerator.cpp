#include "LoadGenerator.h"

#include "LoadCaller.h"

#include <algorithm>
#include <cmath>
#include <event2/event.h>

namespace jasminestack::standins {

namespace {

    constexpr double sampleIntervalMs = 100;

    /// Sends the requests of one group in a closed or an open loop.
    class GroupDriver {
    public:
        GroupDriver(LoadContext& context, const CallerGroup& group, std::size_t index)
            : m_context(context)
            , m_group(group)
            , m_index(index)
            , m_timer(context.base, [this] { handleArrival(); })
        {
            m_timer.start(group.startMs);
        }

        /// \returns Number of requests that wait for their responses or retries.
        [[nodiscard]] std::uint32_t outstanding() const
        {
            return static_cast<std::uint32_t>(
                std::count_if(m_callers.begin(), m_callers.end(), [](const auto& caller) { return caller->isBusy(); }));
        }

    private:
        LoadCaller& addCaller()
        {
            m_callers.push_back(std::make_unique<LoadCaller>(m_context, m_group, m_index, m_callers.size()));
            return *m_callers.back();
        }

        void handleArrival()
        {
            if (!m_group.isOpenLoop) {
                for (unsigned i = 0; i < m_group.connections; ++i)
                    addCaller().sendNext();
                return;
            }
            if (m_context.isStopped)
                return;
            sendRequest();
            m_timer.start(-std::log(1 - m_context.random.uniformReal()) / m_group.ratePerSecond * 1'000);
        }

        void sendRequest()
        {
            if (m_idleCallers.empty() && m_callers.size() >= m_group.connections) {
                ++m_context.statistics.groups[m_index].notSent;
                return;
            }
            if (m_idleCallers.empty()) {
                LoadCaller& newCaller = addCaller();
                newCaller.onIdle([this, &newCaller] { m_idleCallers.push_back(&newCaller); });
                m_idleCallers.push_back(&newCaller);
            }
            LoadCaller* caller = m_idleCallers.back();
            m_idleCallers.pop_back();
            caller->sendNext();
        }

        LoadContext& m_context;
        const CallerGroup& m_group;
        std::size_t m_index;
        Timer m_timer;
        std::vector<std::unique_ptr<LoadCaller>> m_callers;
        std::vector<LoadCaller*> m_idleCallers;
    };

}

struct LoadGenerator::State {
    LoadContext context;
    LoadScenario scenario;
    std::vector<std::unique_ptr<GroupDriver>> drivers;
    std::unique_ptr<Timer> sampleTimer;
    unsigned sampleCount { 0 };

    State(event_base& base, LoadScenario loadScenario)
        : context { .base = base, .random = Random(loadScenario.seed) }
        , scenario(std::move(loadScenario))
    {
    }

    void takeSample()
    {
        double elapsed = monotonicMs() - context.statistics.startMs;
        for (std::size_t i = 0; i < drivers.size(); ++i)
            context.statistics.groups[i].outstanding.push_back(drivers[i]->outstanding());
        if (elapsed >= scenario.seconds * 1'000)
            context.isStopped = true;
        bool hasDrained = context.activeRequests == 0 || elapsed >= (scenario.seconds + scenario.drainSeconds) * 1'000;
        if (context.isStopped && hasDrained) {
            event_base_loopbreak(&context.base);
            return;
        }
        ++sampleCount;
        sampleTimer->start((sampleCount + 1) * sampleIntervalMs - elapsed);
    }
};

LoadGenerator::LoadGenerator(event_base& base, LoadScenario scenario)
    : m_state(std::make_unique<State>(base, std::move(scenario)))
{
}

LoadGenerator::~LoadGenerator() = default;

const LoadStatistics& LoadGenerator::run()
{
    State& state = *m_state;
    LoadStatistics& statistics = state.context.statistics;
    statistics.startMs = monotonicMs();
    for (std::size_t i = 0; i < state.scenario.groups.size(); ++i) {
        const CallerGroup& group = state.scenario.groups[i];
        statistics.groups.push_back({ .workspace = group.workspace });
        statistics.groupIndexByName[group.name] = i;
    }
    for (std::size_t i = 0; i < state.scenario.groups.size(); ++i)
        state.drivers.push_back(std::make_unique<GroupDriver>(state.context, state.scenario.groups[i], i));
    state.sampleTimer = std::make_unique<Timer>(state.context.base, [&state] { state.takeSample(); });
    state.sampleTimer->start(sampleIntervalMs);
    event_base_dispatch(&state.context.base);
    statistics.endMs = monotonicMs();
    return statistics;
}

}
