#pragma once

#include "base/Clock.h"
#include "net/Socket.h"
#include "routing/PlacementDecision.h"

#include <cstddef>
#include <vector>

struct event_base;

namespace jasminestack {

/// \brief A request that waits for room at an endpoint.
class WaitingPlacement {
public:
    virtual ~WaitingPlacement() = default;

    [[nodiscard]] virtual WaitingOrder waitingOrder() const = 0;

    /// \brief Tries again to place the request; it leaves the queue by itself when it no longer waits.
    virtual void place() = 0;
};

/// \brief Requests that wait for room: a daemon's own and those of peers whose shard it coordinates, in one order.
class PlacementQueue {
public:
    explicit PlacementQueue(event_base&);
    PlacementQueue(const PlacementQueue&) = delete;
    PlacementQueue& operator=(const PlacementQueue&) = delete;

    void add(WaitingPlacement&);
    void remove(WaitingPlacement&);

    /// \brief There may be room: waiting requests are tried again within milliseconds.
    void roomChanged();

    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

private:
    void tryWaiting();
    void arm(Millis delay);

    std::vector<WaitingPlacement*> m_waiting;
    EventPointer m_timer;
    bool m_soon { false }; ///< The timer is armed for the short interval.
};

}
