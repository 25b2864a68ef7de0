#pragma once

#include "base/Clock.h"
#include "net/Socket.h"

#include <functional>

struct event_base;

namespace jasminestack {

/// \brief Runs the event loop in paced turns, measures how long callers' requests wait before the loop reads them, and
/// detects by it that a daemon is saturated: it lacks processor time.
class LoopMonitor {
public:
    /// \param base A loop with priorities; see EventPriority.h.
    LoopMonitor(event_base& base, const Clock&);
    LoopMonitor(const LoopMonitor&) = delete;
    LoopMonitor& operator=(const LoopMonitor&) = delete;

    /// \brief To be called periodically: starts a measurement or, if one is in progress, raises lag() to its duration
    /// so far.
    /// \returns Whether the daemon has become saturated with this call.
    [[nodiscard]] bool tick();

    /// \returns Latest measured time that callers' requests wait before they are read.
    [[nodiscard]] Millis lag() const noexcept { return m_lag; }

    /// \returns Whether a lag of at least saturationLag (LoopMonitor.cpp) was measured within the last second.
    [[nodiscard]] bool isSaturated() const;

    /// \brief Handles the ready events and sleeps for the rest of a fixed interval, so that one system call transfers
    /// several events of a stream. If the interval ends first, returns without sleep; events may then be left.
    /// \param shouldStop Returns true if the turn is to end early.
    void runPacedTurn(const std::function<bool()>& shouldStop);

private:
    event_base& m_base;
    const Clock& m_clock;
    EventPointer m_lagProbe; ///< Runs after the callers' events that were ready before it was activated.
    Millis m_probeStartTime {}; ///< When m_lagProbe was activated; 0 if it is not active.
    Millis m_lag {};
    Millis m_saturatedUntil {};
    EventPointer m_turnProbe; ///< Runs after the events that were ready in a paced turn.
    bool m_turnEnded { true };
};

}
