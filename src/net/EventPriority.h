#pragma once

#include <memory>

struct event;
struct event_base;

namespace jasminestack {

/// \brief Order in which events are handled when there is more work than processor time. A busy daemon keeps its view
/// of the fleet and finishes the requests that it has begun before it reads further ones.
enum class EventPriority : int {
    Control, ///< Peers, timers of placement, process life.
    ActiveRequests, ///< Requests in progress; the default.
    IncomingRequests, ///< Callers' connections.
    Count,
};

struct EventBaseDeleter {
    void operator()(event_base* base) const noexcept;
};

using EventBasePointer = std::unique_ptr<event_base, EventBaseDeleter>;

/// \returns An event loop that knows the priorities and looks for more urgent events after a few others.
[[nodiscard]] EventBasePointer makePrioritizedEventBase();

/// \brief Sets the priority of an event that is not pending. Without effect on a loop that has no priorities.
void setEventPriority(event& item, EventPriority) noexcept;

}
