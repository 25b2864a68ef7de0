#include "LoadGenerator.h"

#include "LoadCaller.h"

#include <algorithm>
#include <cmath>
#include <event2/event.h>

namespace jasminestack::standins {

namespace {

    constexpr double bucketMs = 100;

    /// Sends the requests of one group.
    class GroupDriver {
    public:
        GroupDriver(LoadContext& context, const CallerGroup& group, std::size_t index)
            : m_context(context)
            , m_group(group)
            , m_index(index)
            , m_timer(context.base, [this] { arrive(); })
        {
            m_timer.start(group.startMs);
        }

        /// \returns Requests that wait for their answers.
        [[nodiscard]] std::uint32_t outstanding() const
        {
            return static_cast<std::uint32_t>(
                std::count_if(m_callers.begin(), m_callers.end(), [](const auto& caller) { return caller->busy(); }));
        }

    private:
        LoadCaller& addCaller()
        {
            m_callers.push_back(std::make_unique<LoadCaller>(m_context, m_group, m_index, m_callers.size()));
            return *m_callers.back();
        }

        void arrive()
        {
            if (!m_group.open) {
                for (unsigned i = 0; i < m_group.connections; ++i)
                    addCaller().next();
                return;
            }
            if (m_context.stopped)
                return;
            send();
            m_timer.start(-std::log(1 - m_context.random.uniformReal()) / m_group.ratePerSecond * 1'000);
        }

        void send()
        {
            if (m_idle.empty() && m_callers.size() >= m_group.connections) {
                ++m_context.statistics.groups[m_index].notSent;
                return;
            }
            if (m_idle.empty()) {
                LoadCaller& added = addCaller();
                added.onIdle([this, &added] { m_idle.push_back(&added); });
                m_idle.push_back(&added);
            }
            LoadCaller* caller = m_idle.back();
            m_idle.pop_back();
            caller->next();
        }

        LoadContext& m_context;
        const CallerGroup& m_group;
        std::size_t m_index;
        Timer m_timer;
        std::vector<std::unique_ptr<LoadCaller>> m_callers;
        std::vector<LoadCaller*> m_idle;
    };

}

struct LoadGenerator::State {
    LoadContext context;
    LoadScenario scenario;
    std::vector<std::unique_ptr<GroupDriver>> drivers;
    std::unique_ptr<Timer> sampler;
    unsigned samples { 0 };

    State(event_base& base, LoadScenario what)
        : context { .base = base, .random = Random(what.seed) }
        , scenario(std::move(what))
    {
    }

    void sample()
    {
        double elapsed = monotonicMs() - context.statistics.startMs;
        for (std::size_t i = 0; i < drivers.size(); ++i)
            context.statistics.groups[i].outstanding.push_back(drivers[i]->outstanding());
        if (elapsed >= scenario.seconds * 1'000)
            context.stopped = true;
        bool drained = context.active == 0 || elapsed >= (scenario.seconds + scenario.drainSeconds) * 1'000;
        if (context.stopped && drained) {
            event_base_loopbreak(&context.base);
            return;
        }
        ++samples;
        sampler->start((samples + 1) * bucketMs - elapsed);
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
        statistics.byName[group.name] = i;
    }
    for (std::size_t i = 0; i < state.scenario.groups.size(); ++i)
        state.drivers.push_back(std::make_unique<GroupDriver>(state.context, state.scenario.groups[i], i));
    state.sampler = std::make_unique<Timer>(state.context.base, [&state] { state.sample(); });
    state.sampler->start(bucketMs);
    event_base_dispatch(&state.context.base);
    statistics.endMs = monotonicMs();
    return statistics;
}

}
