#include "router/LoopMonitor.h"

#include "net/EventPriority.h"

#include <algorithm>
#include <chrono>
#include <event2/event.h>
#include <thread>
#include <utility>

namespace jasminestack {

namespace {

    // A daemon counts as saturated while the lag of callers' requests is at least saturationLag, and for saturationHold
    // afterwards.
    constexpr Millis saturationLag { 60 };
    constexpr Millis saturationHold { 1'000 };

    // Longer than the time between two events of a stream, so that a turn collects several, and well below the
    // permitted delay of stream events.
    constexpr Millis paceInterval { 40 };

}

LoopMonitor::LoopMonitor(event_base& base, const Clock& clock)
    : m_base(base)
    , m_clock(clock)
    , m_lagProbe(event_new(
          &base, -1, 0,
          [](evutil_socket_t, short, void* self) {
              auto& monitor = *static_cast<LoopMonitor*>(self);
              monitor.m_lag = monitor.m_clock.now() - std::exchange(monitor.m_probeStartTime, {});
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
    if (m_probeStartTime != Millis {}) {
        m_lag = std::max(m_lag, now - m_probeStartTime);
    } else {
        m_probeStartTime = now;
        event_active(m_lagProbe.get(), EV_TIMEOUT, 0);
    }
    if (m_lag < saturationLag)
        return false;
    return std::exchange(m_saturatedUntil, now + saturationHold) <= now;
}

bool LoopMonitor::isSaturated() const { return m_clock.now() < m_saturatedUntil; }

void LoopMonitor::runPacedTurn(const std::function<bool()>& shouldStop)
{
    Millis turnEnd = m_clock.now() + paceInterval;
    event_base_loop(&m_base, EVLOOP_NONBLOCK);
    // The probe has the lowest priority, so it runs after all events that were ready.
    m_turnEnded = false;
    event_active(m_turnProbe.get(), EV_TIMEOUT, 0);
    while (!m_turnEnded && !shouldStop() && m_clock.now() < turnEnd)
        event_base_loop(&m_base, EVLOOP_NONBLOCK);
    if (Millis remaining = turnEnd - m_clock.now(); remaining > Millis {} && !shouldStop())
        std::this_thread::sleep_for(std::chrono::milliseconds(remaining.count));
}

}
