#pragma once

#include "LoadScenario.h"
#include "LoadStatistics.h"

#include <memory>

struct event_base;

namespace jasminestack::standins {

/// \brief Sends a scenario's requests over many connections on one event loop.
class LoadGenerator {
public:
    LoadGenerator(event_base&, LoadScenario);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    /// \brief Runs the whole scenario on the event loop.
    /// \returns The measurements; valid as long as the generator.
    [[nodiscard]] const LoadStatistics& run();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
