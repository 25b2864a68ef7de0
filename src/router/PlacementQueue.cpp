#include "router/PlacementQueue.h"

#include "net/EventCallback.h"
#include "net/EventPriority.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace jasminestack {

namespace {

    // Several changes of capacity within this interval cause one retry of all waiting requests.
    constexpr Millis retryInterval { 4 };

    // Waiting requests are also retried at this interval, since predictions change with time even without new loads or
    // outcomes.
    constexpr Millis pollInterval { 25 };

}

PlacementQueue::PlacementQueue(event_base& base)
    : m_timer(evtimer_new(
        &base,
        [](int, short, void* self) {
            auto& queue = *static_cast<PlacementQueue*>(self);
            runGuarded(
                "placement_queue", [&] { queue.retryWaiting(); }, [&] { queue.armTimer(pollInterval); });
        },
        this))
{
    setEventPriority(*m_timer, EventPriority::Control);
}

void PlacementQueue::add(WaitingPlacement& request)
{
    m_waiting.push_back(&request);
    if (!evtimer_pending(m_timer.get(), nullptr))
        armTimer(pollInterval);
}

void PlacementQueue::remove(WaitingPlacement& request) { std::erase(m_waiting, &request); }

void PlacementQueue::onCapacityChanged()
{
    if (m_waiting.empty() || std::exchange(m_isRetryScheduled, true))
        return;
    armTimer(retryInterval);
}

void PlacementQueue::armTimer(Millis delay)
{
    timeval span = toTimeval(delay);
    evtimer_add(m_timer.get(), &span);
}

void PlacementQueue::retryWaiting()
{
    m_isRetryScheduled = false;
    std::vector<std::pair<WaitingOrder, WaitingPlacement*>> sorted;
    sorted.reserve(m_waiting.size());
    for (WaitingPlacement* request : m_waiting)
        sorted.emplace_back(request->waitingOrder(), request);
    std::sort(
        sorted.begin(), sorted.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    for (const auto& [order, request] : sorted) {
        // Placing one request may have removed others from the queue.
        if (std::find(m_waiting.begin(), m_waiting.end(), request) != m_waiting.end())
            runGuarded("waiting_placement", [waiting = request] { waiting->tryPlacement(); });
    }
    if (!m_waiting.empty() && !evtimer_pending(m_timer.get(), nullptr))
        armTimer(pollInterval);
}

}
