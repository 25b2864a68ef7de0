#pragma once

#include <memory>

struct event;
struct event_base;

namespace jasminestack {

/// \brief Order in which pending events are handled. A daemon that is short of processor time keeps its fleet view up
/// to date and continues requests in progress before it reads new ones.
enum class EventPriority : int {
    Control, ///< Peer messages, placement timers, process lifecycle.
    ActiveRequests, ///< Requests in progress; the default.
    IncomingRequests, ///< New connections and requests of callers.
    Count, ///< Number of priorities.
};

struct EventBaseDeleter {
    void operator()(event_base* base) const noexcept;
};

using EventBasePointer = std::unique_ptr<event_base, EventBaseDeleter>;

/// \returns An event loop with the priorities of EventPriority. After a bounded number of handled events, the loop
/// checks for events of higher priority.
[[nodiscard]] EventBasePointer makePrioritizedEventBase();

/// \brief Sets the priority of an event that is not active. Has no effect on an active one or on a loop without
/// priorities.
void setEventPriority(event& item, EventPriority) noexcept;

}
