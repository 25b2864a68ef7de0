#include "router/PlacementClient.h"

#include "net/EventCallback.h"
#include "net/EventPriority.h"
#include "observe/Logging.h"
#include "router/PlacementCodec.h"

#include <algorithm>
#include <event2/event.h>
#include <vector>

namespace jasminestack {

namespace {

    // A coordinator replies within a few milliseconds; the delays are longer than one iteration of its event loop
    // under load, so that a request is not sent again while its reply is pending.
    constexpr Millis firstRetryDelay { 40 };
    constexpr Millis nextRetryDelay { 60 };

    // After this many sends without a reply, the coordinator counts as unreachable.
    constexpr unsigned maxSendsPerCoordinator = 3;

    // A queued request is sent again at this interval, so that the coordinator does not drop it as ended.
    constexpr Millis queuedRefreshInterval { 250 };

}

PlacementClient::PlacementClient(Context context)
    : m_context(std::move(context))
    , m_timer(evtimer_new(
          &m_context.base,
          [](int, short, void* self) {
              auto& client = *static_cast<PlacementClient*>(self);
              runGuarded(
                  "placement_timer", [&] { client.onTimer(); }, [&] { client.armTimer(); });
          },
          this))
{
    setEventPriority(*m_timer, EventPriority::Control);
}

std::optional<PlacementRequestId> PlacementClient::requestPlacement(
    ShardId shard, const PlacementQuery& query, PlacementListener& listener)
{
    std::string coordinator = m_context.coordinatorOf(shard);
    if (coordinator.empty())
        return std::nullopt;
    PlacementRequestId id = ++m_lastRequestId;
    PendingRequest& pending = m_pending[id];
    pending = { .request = { .requester = m_context.instanceId, .id = id, .shard = shard, .query = query },
        .listener = &listener,
        .coordinator = std::move(coordinator) };
    send(pending, firstRetryDelay);
    armTimer();
    return id;
}

void PlacementClient::send(PendingRequest& pending, Millis retryDelay)
{
    Millis now = m_context.clock.now();
    std::string bytes = encodePlacementRequest(pending.request, now);
    m_context.transport.send(pending.coordinator, bytes);
    m_context.metrics.add(Counter::ControlBytes, { "sent", "placement_ask" }, static_cast<double>(bytes.size()));
    ++pending.sendCount;
    pending.resendAt = now + retryDelay;
}

void PlacementClient::armTimer()
{
    if (m_pending.empty()) {
        evtimer_del(m_timer.get());
        return;
    }
    Millis earliest = std::min_element(m_pending.begin(), m_pending.end(), [](const auto& left, const auto& right) {
        return left.second.resendAt < right.second.resendAt;
    })->second.resendAt;
    timeval span = toTimeval(std::max(earliest - m_context.clock.now(), Millis { 1 }));
    evtimer_add(m_timer.get(), &span);
}

void PlacementClient::onTimer()
{
    Millis now = m_context.clock.now();
    std::vector<PlacementRequestId> dueIds;
    for (const auto& [id, pending] : m_pending) {
        if (pending.resendAt <= now)
            dueIds.push_back(id);
    }
    for (PlacementRequestId id : dueIds) {
        auto found = m_pending.find(id);
        if (found == m_pending.end() || retryOrFailOver(found->second))
            continue;
        PlacementListener* listener = found->second.listener;
        m_pending.erase(found);
        listener->onCoordinatorsUnresponsive();
    }
    armTimer();
}

bool PlacementClient::retryOrFailOver(PendingRequest& pending)
{
    if (pending.sendCount < maxSendsPerCoordinator) {
        send(pending, nextRetryDelay);
        return true;
    }
    logEvent(LogLevel::Warning, "coordinator_unanswered",
        { { "coordinator", pending.coordinator }, { "ask", pending.request.id }, { "sends", pending.sendCount } });
    m_context.onCoordinatorUnresponsive(pending.coordinator);
    if (std::exchange(pending.hasFailedOver, true))
        return false;
    std::string nextCoordinator = m_context.coordinatorOf(pending.request.shard);
    if (nextCoordinator.empty() || nextCoordinator == pending.coordinator)
        return false;
    pending.coordinator = std::move(nextCoordinator);
    pending.sendCount = 0;
    send(pending, firstRetryDelay);
    return true;
}

void PlacementClient::cancel(PlacementRequestId id)
{
    auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    PlacementRequest cancellation {
        .requester = m_context.instanceId, .id = id, .shard = found->second.request.shard, .isCancellation = true
    };
    std::string coordinator = std::move(found->second.coordinator);
    m_pending.erase(found); // Before the message is encoded, which may throw: the listener ends after this call.
    m_context.transport.send(coordinator, encodePlacementRequest(cancellation, m_context.clock.now()));
}

void PlacementClient::onReply(const PlacementReply& reply)
{
    if (reply.status == PlacementStatus::Granted) {
        std::uint64_t& lastNumber = m_lastGrantNumbers[reply.coordinator];
        lastNumber = std::max(lastNumber, reply.grantNumber);
    }
    auto found = m_pending.find(reply.id);
    if (found == m_pending.end())
        return; // The request has ended, or another coordinator replied first.
    if (reply.status == PlacementStatus::Queued) {
        found->second.sendCount = 0;
        found->second.resendAt = m_context.clock.now() + queuedRefreshInterval;
        return;
    }
    PendingRequest pending = std::move(found->second);
    m_pending.erase(found);
    PlacementReply finalReply = reply;
    // The timer would have sent the request again, so the process has not run since then.
    finalReply.receivedLate = std::max(m_context.clock.now() - pending.resendAt, Millis {});
    pending.listener->onPlacementReply(finalReply, pending.coordinator);
}

std::uint64_t PlacementClient::lastGrantNumber(DaemonInstanceId coordinator) const
{
    auto found = m_lastGrantNumbers.find(coordinator);
    return found == m_lastGrantNumbers.end() ? 0 : found->second;
}

}
