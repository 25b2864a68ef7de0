#pragma once

#include "base/Clock.h"
#include "net/Socket.h"
#include "routing/PlacementDecision.h"

#include <cstddef>
#include <vector>

struct event_base;

namespace jasminestack {

/// \brief A request that waits for free capacity at an endpoint.
class WaitingPlacement {
public:
    virtual ~WaitingPlacement() = default;

    [[nodiscard]] virtual WaitingOrder waitingOrder() const = 0;

    /// \brief Tries again to place the request. The request removes itself from the queue when it no longer waits.
    virtual void tryPlacement() = 0;
};

/// \brief Requests that wait for capacity, retried in common by WaitingOrder: this daemon's requests, and the requests
/// of peers in the shards that this daemon coordinates.
class PlacementQueue {
public:
    explicit PlacementQueue(event_base&);
    PlacementQueue(const PlacementQueue&) = delete;
    PlacementQueue& operator=(const PlacementQueue&) = delete;

    /// \brief Adds a request, which must remove itself before it is destroyed.
    void add(WaitingPlacement&);
    void remove(WaitingPlacement&);

    /// \brief Schedules a retry of all waiting requests within milliseconds; call it when capacity may be free.
    void onCapacityChanged();

    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

private:
    void retryWaiting();
    void armTimer(Millis delay);

    std::vector<WaitingPlacement*> m_waiting;
    EventPointer m_timer;
    bool m_isRetryScheduled { false }; ///< The timer is set to the retry interval instead of the longer poll interval.
};

}
