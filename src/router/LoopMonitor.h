#pragma once

#include "base/Clock.h"
#include "net/Socket.h"

#include <functional>

struct event_base;

namespace jasminestack {

/// \brief Tells whether a daemon has processor time for its callers, by how long new requests wait to be read.
class LoopMonitor {
public:
    /// \param base A loop with priorities; see EventPriority.h.
    LoopMonitor(event_base& base, const Clock&);
    LoopMonitor(const LoopMonitor&) = delete;
    LoopMonitor& operator=(const LoopMonitor&) = delete;

    /// \brief Periodic work: starts a measurement, or takes over how long the current one has taken so far.
    /// \returns Whether this daemon has just become saturated.
    [[nodiscard]] bool tick();

    /// \returns Time for which callers' requests wait before they are read.
    [[nodiscard]] Millis lag() const noexcept { return m_lag; }

    /// \returns Whether requests have waited too long within the last second.
    [[nodiscard]] bool saturated() const;

    /// \brief Handles everything that has come in, then sleeps for the rest of a fixed interval: one system call then
    /// moves several events of a stream.
    /// \param ended Whether the loop should stop.
    void runPacedTurn(const std::function<bool()>& ended);

private:
    event_base& m_base;
    const Clock& m_clock;
    EventPointer m_lagProbe; ///< Runs after the events of callers that were ready before it.
    Millis m_probeStarted {}; ///< 0 while no probe is under way.
    Millis m_lag {};
    Millis m_saturatedUntil {};
    EventPointer m_turnProbe; ///< The same for one paced turn.
    bool m_turnEnded { true };
};

}
