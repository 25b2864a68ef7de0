#include "net/EventPriority.h"

#include <event2/event.h>

namespace jasminestack {

namespace {

    // Number of request events handled before the loop checks for control events again.
    constexpr int maxRequestEventsPerCheck = 32;

    struct ConfigDeleter {
        void operator()(event_config* config) const noexcept { event_config_free(config); }
    };

}

void EventBaseDeleter::operator()(event_base* base) const noexcept { event_base_free(base); }

EventBasePointer makePrioritizedEventBase()
{
    std::unique_ptr<event_config, ConfigDeleter> config(event_config_new());
    event_config_set_max_dispatch_interval(
        config.get(), nullptr, maxRequestEventsPerCheck, static_cast<int>(EventPriority::ActiveRequests));
    EventBasePointer base(event_base_new_with_config(config.get()));
    event_base_priority_init(base.get(), static_cast<int>(EventPriority::Count));
    return base;
}

void setEventPriority(event& item, EventPriority priority) noexcept
{
    // Fails on a loop without priorities, where the call is documented to have no effect.
    (void)event_priority_set(&item, static_cast<int>(priority));
}

}
