#include "router/PlacementCoordinator.h"

#include "observe/Logging.h"
#include "router/PlacementCodec.h"

#include <array>
#include <utility>

namespace jasminestack {

namespace {

    // A reply is stored for this long, so that it can be sent again if it was lost.
    constexpr Millis replyRetention { 1'000 };

    // A daemon sends a pending request several times within this timeout. If it is not received again, it has ended.
    constexpr Millis requestTimeout { 800 };

    // Requests with less time than this until their deadline are not granted.
    constexpr Millis minAttemptDuration { 30 };

}

class PlacementCoordinator::ReceivedRequest final : public WaitingPlacement {
public:
    ReceivedRequest(PlacementCoordinator& coordinator, PlacementRequest request)
        : request(std::move(request))
        , m_coordinator(coordinator)
    {
    }

    ~ReceivedRequest() override
    {
        if (m_isQueued)
            m_coordinator.m_context.queue.remove(*this);
    }
    ReceivedRequest(const ReceivedRequest&) = delete;
    ReceivedRequest& operator=(const ReceivedRequest&) = delete;

    [[nodiscard]] WaitingOrder waitingOrder() const override
    {
        return jasminestack::waitingOrder(request.query, m_coordinator.m_context.board.shares, m_isLate);
    }

    void tryPlacement() override;

    PlacementRequest request;
    std::string encodedReply; ///< Final reply; empty while the request is pending.
    Millis lastReceived {}; ///< When the placement request was last received.
    bool hasEarlierRefusal { false }; ///< A request with the same content was refused before.

private:
    void leaveQueue()
    {
        if (std::exchange(m_isQueued, false))
            m_coordinator.m_context.queue.remove(*this);
    }

    PlacementCoordinator& m_coordinator;
    bool m_isQueued { false };
    bool m_isLate { false };
};

void PlacementCoordinator::ReceivedRequest::tryPlacement()
{
    Context& context = m_coordinator.m_context;
    Millis now = context.clock.now();
    if (request.query.deadline - now < minAttemptDuration) {
        leaveQueue(); // The requesting daemon responds to the caller at the deadline.
        return;
    }
    PlacementOptions options = context.options();
    PlacementDecision decision = decidePlacement({ .fleetView = context.board.fleetView,
                                                     .table = *context.board.table,
                                                     .shares = context.board.shares,
                                                     .options = options,
                                                     .shard = request.shard },
        request.query, context.random, now);
    m_isLate = decision.isLate;
    PlacementReply reply { .id = request.id,
        .predictedFirstByte
        = Millis { static_cast<std::int64_t>(std::min(decision.choice.prediction.firstByteMs(), 1e6)) },
        .isLate = decision.isLate,
        .wasRefusedBefore = hasEarlierRefusal };
    if (decision.verdict == PlacementVerdict::Wait) {
        if (!std::exchange(m_isQueued, true)) {
            context.queue.add(*this);
            reply.status = PlacementStatus::Queued;
            m_coordinator.sendReply(*this, reply);
        }
        return;
    }
    leaveQueue();
    if (decision.verdict == PlacementVerdict::Send) {
        reply.status = PlacementStatus::Granted;
        reply.grantNumber = ++m_coordinator.m_lastGrantNumbers[request.requester];
        reply.endpoint = decision.choice.endpoint->instanceId;
        reply.prefillTokens = decision.choice.prefillTokens;
        reply.backlogTokens = static_cast<std::uint64_t>(decision.choice.backlogTokens);
        recordGrant(context.board.fleetView, decision.choice, request.query.workload(), request.requester,
            reply.grantNumber, now);
        if (request.query.promptTokens != 0)
            recordServed(context.board.shares, request.query.workspace, chargedTokens(request.query), now);
    } else {
        reply.status = PlacementStatus::Refused;
        reply.retryAfter = decision.retryAfter;
        context.board.refusals.record(request.query.contentHash, request.query.firstArrival, now);
    }
    m_coordinator.sendReply(*this, reply);
}

PlacementCoordinator::PlacementCoordinator(Context context)
    : m_context(std::move(context))
{
}

PlacementCoordinator::~PlacementCoordinator() = default;

void PlacementCoordinator::onPlacementRequest(const PlacementRequest& request)
{
    ReceivedRequestKey key { request.requester, request.id };
    if (request.isCancellation) {
        m_requests.erase(key);
        return;
    }
    Millis now = m_context.clock.now();
    auto found = m_requests.find(key);
    if (found != m_requests.end()) {
        ReceivedRequest& received = *found->second;
        received.lastReceived = now;
        if (!received.encodedReply.empty())
            m_context.transport.send(m_context.addressOf(request.requester), received.encodedReply);
        else
            sendReply(received, { .id = request.id, .status = PlacementStatus::Queued });
        return;
    }
    if (!m_context.board.fleetView.endpointsByShard.contains(request.shard))
        return; // The daemons' registrations differ; without a reply, the requesting daemon places the request itself.
    auto [position, added] = m_requests.emplace(key, std::make_unique<ReceivedRequest>(*this, request));
    ReceivedRequest& received = *position->second;
    received.lastReceived = now;
    PlacementQuery& query = received.request.query;
    if (query.promptTokens != 0)
        recordDemand(m_context.board.shares, query.workspace, chargedTokens(query), now);
    if (auto earlierArrival = m_context.board.refusals.firstArrival(query.contentHash, now);
        earlierArrival && query.promptTokens != 0) {
        received.hasEarlierRefusal = true;
        query.firstArrival = std::min(query.firstArrival, *earlierArrival);
    }
    std::array contentTrait { query.contentHash };
    if (decideByTraits(m_context.board.crashes, crashAttributionOptions, contentTrait, query.workspace).verdict
        == TraitVerdict::Quarantined)
        sendReply(received, { .id = request.id, .status = PlacementStatus::Quarantined });
    else
        received.tryPlacement();
}

void PlacementCoordinator::sendReply(ReceivedRequest& received, PlacementReply reply)
{
    reply.coordinator = m_context.instanceId;
    std::string bytes = encodePlacementReply(reply);
    std::string address = m_context.addressOf(received.request.requester);
    if (address.empty())
        logEvent(LogLevel::Warning, "placement_reply_unaddressed", { { "ask", received.request.id } });
    else
        m_context.transport.send(address, bytes);
    m_context.metrics.add(Counter::ControlBytes, { "sent", "placement_reply" }, static_cast<double>(bytes.size()));
    if (reply.status != PlacementStatus::Queued)
        received.encodedReply = std::move(bytes);
}

void PlacementCoordinator::tick()
{
    Millis now = m_context.clock.now();
    std::erase_if(m_requests, [&](const auto& entry) {
        const ReceivedRequest& received = *entry.second;
        return now - received.lastReceived >= (received.encodedReply.empty() ? requestTimeout : replyRetention);
    });
}

}
