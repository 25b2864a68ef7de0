#include "router/PlacementClient.h"

#include "net/EventPriority.h"
#include "observe/Logging.h"
#include "router/PlacementCodec.h"

#include <algorithm>
#include <event2/event.h>
#include <vector>

namespace jasminestack {

namespace {

    // A coordinator answers within a few milliseconds; this covers a turn of its event loop under load.
    constexpr Millis firstRepeat { 40 };
    constexpr Millis nextRepeat { 60 };

    // Sends without an answer after which the coordinator counts as unreachable.
    constexpr unsigned sendsPerCoordinator = 3;

    // A waiting request is asked about again at this interval, which tells that it has not ended.
    constexpr Millis queuedRepeat { 250 };

}

PlacementClient::PlacementClient(Context context)
    : m_context(std::move(context))
    , m_timer(evtimer_new(
          &m_context.base, [](int, short, void* self) { static_cast<PlacementClient*>(self)->onTimer(); }, this))
{
    setEventPriority(*m_timer, EventPriority::Control);
}

std::optional<PlacementRequestId> PlacementClient::requestPlacement(
    ShardId shard, const PlacementQuery& query, PlacementListener& listener)
{
    std::string coordinator = m_context.coordinatorOf(shard);
    if (coordinator.empty())
        return std::nullopt;
    PlacementRequestId id = ++m_lastId;
    PendingRequest& question = m_open[id];
    question = { .request = { .requester = m_context.instanceId, .id = id, .shard = shard, .query = query },
        .listener = &listener,
        .coordinator = std::move(coordinator) };
    send(question, firstRepeat);
    arm();
    return id;
}

void PlacementClient::send(PendingRequest& question, Millis pause)
{
    Millis now = m_context.clock.now();
    std::string bytes = encodePlacementRequest(question.request, now);
    m_context.transport.send(question.coordinator, bytes);
    m_context.metrics.add(Counter::ControlBytes, { "sent", "placement_ask" }, static_cast<double>(bytes.size()));
    ++question.sends;
    question.due = now + pause;
}

void PlacementClient::arm()
{
    if (m_open.empty()) {
        evtimer_del(m_timer.get());
        return;
    }
    Millis due = std::min_element(m_open.begin(), m_open.end(), [](const auto& a, const auto& b) {
        return a.second.due < b.second.due;
    })->second.due;
    timeval span = toTimeval(std::max(due - m_context.clock.now(), Millis { 1 }));
    evtimer_add(m_timer.get(), &span);
}

void PlacementClient::onTimer()
{
    Millis now = m_context.clock.now();
    std::vector<PlacementRequestId> due;
    for (const auto& [id, question] : m_open) {
        if (question.due <= now)
            due.push_back(id);
    }
    for (PlacementRequestId id : due) {
        auto found = m_open.find(id);
        if (found == m_open.end() || repeat(found->second))
            continue;
        PlacementListener* listener = found->second.listener;
        m_open.erase(found);
        listener->onPlacementUnanswered();
    }
    arm();
}

bool PlacementClient::repeat(PendingRequest& question)
{
    if (question.sends < sendsPerCoordinator) {
        send(question, nextRepeat);
        return true;
    }
    logEvent(LogLevel::Warning, "coordinator_unanswered",
        { { "coordinator", question.coordinator }, { "ask", question.request.id }, { "sends", question.sends } });
    m_context.suspect(question.coordinator);
    if (std::exchange(question.secondCoordinator, true))
        return false;
    std::string next = m_context.coordinatorOf(question.request.shard);
    if (next.empty() || next == question.coordinator)
        return false;
    question.coordinator = std::move(next);
    question.sends = 0;
    send(question, firstRepeat);
    return true;
}

void PlacementClient::cancel(PlacementRequestId id)
{
    auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    PlacementRequest ask {
        .requester = m_context.instanceId, .id = id, .shard = found->second.request.shard, .isCancellation = true
    };
    m_context.transport.send(found->second.coordinator, encodePlacementRequest(ask, m_context.clock.now()));
    m_open.erase(found);
}

void PlacementClient::onReply(const PlacementReply& reply)
{
    if (reply.status == PlacementStatus::Granted) {
        std::uint64_t& seen = m_grantsSeen[reply.coordinator];
        seen = std::max(seen, reply.grantNumber);
    }
    auto found = m_open.find(reply.id);
    if (found == m_open.end())
        return; // It has ended, or another coordinator was faster.
    if (reply.status == PlacementStatus::Queued) {
        found->second.sends = 0;
        found->second.due = m_context.clock.now() + queuedRepeat;
        return;
    }
    PendingRequest question = std::move(found->second);
    m_open.erase(found);
    question.listener->onPlacement(reply, question.coordinator);
}

std::uint64_t PlacementClient::lastGrantNumber(DaemonInstanceId coordinator) const
{
    auto found = m_grantsSeen.find(coordinator);
    return found == m_grantsSeen.end() ? 0 : found->second;
}

}
