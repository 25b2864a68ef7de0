#include "router/PlacementQueue.h"

#include "net/EventPriority.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace jasminestack {

namespace {

    // Waiting requests are tried again together, at most once in this time.
    constexpr Millis retryInterval { 4 };

    // Predictions change with time even if nothing is reported.
    constexpr Millis pollInterval { 25 };

}

PlacementQueue::PlacementQueue(event_base& base)
    : m_timer(evtimer_new(
        &base, [](int, short, void* self) { static_cast<PlacementQueue*>(self)->tryWaiting(); }, this))
{
    setEventPriority(*m_timer, EventPriority::Control);
}

void PlacementQueue::add(WaitingPlacement& item)
{
    m_waiting.push_back(&item);
    if (!evtimer_pending(m_timer.get(), nullptr))
        arm(pollInterval);
}

void PlacementQueue::remove(WaitingPlacement& item) { std::erase(m_waiting, &item); }

void PlacementQueue::roomChanged()
{
    if (m_waiting.empty() || std::exchange(m_soon, true))
        return;
    arm(retryInterval);
}

void PlacementQueue::arm(Millis delay)
{
    timeval span = toTimeval(delay);
    evtimer_add(m_timer.get(), &span);
}

void PlacementQueue::tryWaiting()
{
    m_soon = false;
    std::vector<std::pair<WaitingOrder, WaitingPlacement*>> order;
    order.reserve(m_waiting.size());
    for (WaitingPlacement* item : m_waiting)
        order.emplace_back(item->waitingOrder(), item);
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [key, item] : order) {
        // Placing one request may end others.
        if (std::find(m_waiting.begin(), m_waiting.end(), item) != m_waiting.end())
            item->place();
    }
    if (!m_waiting.empty() && !evtimer_pending(m_timer.get(), nullptr))
        arm(pollInterval);
}

}
