#include "router/LoopMonitor.h"

#include "net/EventPriority.h"

#include <algorithm>
#include <chrono>
#include <event2/event.h>
#include <thread>
#include <utility>

namespace jasminestack {

namespace {

    // A daemon whose callers wait for this long is saturated, and is taken to be for the time below.
    constexpr Millis saturationLag { 60 };
    constexpr Millis saturationHold { 1'000 };

    // Well below the time by which events may be late, and above the time between two events of a stream.
    constexpr Millis paceInterval { 40 };

}

LoopMonitor::LoopMonitor(event_base& base, const Clock& clock)
    : m_base(base)
    , m_clock(clock)
    , m_lagProbe(event_new(
          &base, -1, 0,
          [](evutil_socket_t, short, void* self) {
              auto& monitor = *static_cast<LoopMonitor*>(self);
              monitor.m_lag = monitor.m_clock.now() - std::exchange(monitor.m_probeStarted, {});
          },
          this))
    , m_turnProbe(event_new(
          &base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<LoopMonitor*>(self)->m_turnEnded = true; },
          this))
{
    setEventPriority(*m_lagProbe, EventPriority::IncomingRequests);
    setEventPriority(*m_turnProbe, EventPriority::IncomingRequests);
}

bool LoopMonitor::tick()
{
    Millis now = m_clock.now();
    if (m_probeStarted != Millis {}) {
        m_lag = std::max(m_lag, now - m_probeStarted);
    } else {
        m_probeStarted = now;
        event_active(m_lagProbe.get(), EV_TIMEOUT, 0);
    }
    if (m_lag < saturationLag)
        return false;
    return std::exchange(m_saturatedUntil, now + saturationHold) <= now;
}

bool LoopMonitor::saturated() const { return m_clock.now() < m_saturatedUntil; }

void LoopMonitor::runPacedTurn(const std::function<bool()>& ended)
{
    Millis end = m_clock.now() + paceInterval;
    event_base_loop(&m_base, EVLOOP_NONBLOCK);
    // Runs after everything that was ready.
    m_turnEnded = false;
    event_active(m_turnProbe.get(), EV_TIMEOUT, 0);
    while (!m_turnEnded && !ended() && m_clock.now() < end)
        event_base_loop(&m_base, EVLOOP_NONBLOCK);
    if (Millis rest = end - m_clock.now(); rest > Millis {} && !ended())
        std::this_thread::sleep_for(std::chrono::milliseconds(rest.count));
}

}
