#include "router/PlacementCoordinator.h"

#include "observe/Logging.h"
#include "router/PlacementCodec.h"

#include <utility>

namespace jasminestack {

namespace {

    // An answer is kept for a question that is repeated because the answer was lost.
    constexpr Millis answerRetention { 1'000 };

    // A daemon repeats an open question several times in this span; without it the request has ended.
    constexpr Millis questionLifetime { 800 };

    // An attempt that cannot end within this time is not granted.
    constexpr Millis shortestAttempt { 30 };

}

class PlacementCoordinator::ReceivedRequest final : public WaitingPlacement {
public:
    ReceivedRequest(PlacementCoordinator& coordinator, PlacementRequest ask)
        : ask(std::move(ask))
        , m_coordinator(coordinator)
    {
    }

    ~ReceivedRequest() override
    {
        if (m_waiting)
            m_coordinator.m_context.queue.remove(*this);
    }
    ReceivedRequest(const ReceivedRequest&) = delete;
    ReceivedRequest& operator=(const ReceivedRequest&) = delete;

    [[nodiscard]] WaitingOrder waitingOrder() const override
    {
        return jasminestack::waitingOrder(ask.query, m_coordinator.m_context.board.shares, m_late);
    }

    void place() override;

    PlacementRequest ask;
    std::string answer; ///< The encoded reply; empty while the question is open.
    Millis lastAsked {};
    bool returning { false };

private:
    void stopWaiting()
    {
        if (std::exchange(m_waiting, false))
            m_coordinator.m_context.queue.remove(*this);
    }

    PlacementCoordinator& m_coordinator;
    bool m_waiting { false };
    bool m_late { false };
};

void PlacementCoordinator::ReceivedRequest::place()
{
    Context& context = m_coordinator.m_context;
    Millis now = context.clock.now();
    if (ask.query.deadline - now < shortestAttempt) {
        stopWaiting(); // Its daemon answers the caller.
        return;
    }
    PlacementOptions options = context.options();
    PlacementDecision decision = decidePlacement({ .fleetView = context.board.fleetView,
                                                     .table = *context.board.table,
                                                     .shares = context.board.shares,
                                                     .options = options,
                                                     .shard = ask.shard },
        ask.query, context.random, now);
    m_late = decision.isLate;
    PlacementReply reply { .id = ask.id,
        .predictedFirstByte
        = Millis { static_cast<std::int64_t>(std::min(decision.choice.prediction.firstByteMs(), 1e6)) },
        .isLate = decision.isLate,
        .wasRefusedBefore = returning };
    if (decision.verdict == PlacementVerdict::Wait) {
        if (!std::exchange(m_waiting, true)) {
            context.queue.add(*this);
            reply.status = PlacementStatus::Queued;
            m_coordinator.reply(*this, reply);
        }
        return;
    }
    stopWaiting();
    if (decision.verdict == PlacementVerdict::Send) {
        reply.status = PlacementStatus::Granted;
        reply.grantNumber = ++m_coordinator.m_grants[ask.requester];
        reply.endpoint = decision.choice.endpoint->instanceId;
        reply.prefillTokens = decision.choice.prefillTokens;
        reply.backlogTokens = static_cast<std::uint64_t>(decision.choice.backlogTokens);
        recordGrant(
            context.board.fleetView, decision.choice, ask.query.workload(), ask.requester, reply.grantNumber, now);
        if (ask.query.promptTokens != 0)
            recordServed(context.board.shares, ask.query.workspace, chargedTokens(ask.query), now);
    } else {
        reply.status = PlacementStatus::Refused;
        reply.retryAfter = decision.retryAfter;
        context.board.refusals.record(ask.query.contentHash, ask.query.firstArrival, now);
    }
    m_coordinator.reply(*this, reply);
}

PlacementCoordinator::PlacementCoordinator(Context context)
    : m_context(std::move(context))
{
}

PlacementCoordinator::~PlacementCoordinator() = default;

void PlacementCoordinator::onPlacementRequest(const PlacementRequest& ask)
{
    ReceivedRequestKey key { ask.requester, ask.id };
    if (ask.isCancellation) {
        m_questions.erase(key);
        return;
    }
    Millis now = m_context.clock.now();
    auto known = m_questions.find(key);
    if (known != m_questions.end()) {
        ReceivedRequest& question = *known->second;
        question.lastAsked = now;
        if (!question.answer.empty())
            m_context.transport.send(m_context.addressOf(ask.requester), question.answer);
        else
            reply(question, { .id = ask.id, .status = PlacementStatus::Queued });
        return;
    }
    if (!m_context.board.fleetView.endpointsByShard.contains(ask.shard))
        return; // The registrations differ; the daemon decides by itself when nothing answers.
    auto [position, added] = m_questions.emplace(key, std::make_unique<ReceivedRequest>(*this, ask));
    ReceivedRequest& question = *position->second;
    question.lastAsked = now;
    PlacementQuery& query = question.ask.query;
    if (query.promptTokens != 0)
        recordDemand(m_context.board.shares, query.workspace, chargedTokens(query), now);
    if (auto first = m_context.board.refusals.firstArrival(query.contentHash, now); first && query.promptTokens != 0) {
        question.returning = true;
        query.firstArrival = std::min(query.firstArrival, *first);
    }
    if (crashVerdict(m_context.board.crashes, query.contentHash, now) == CrashVerdict::Quarantined)
        reply(question, { .id = ask.id, .status = PlacementStatus::Quarantined });
    else
        question.place();
}

void PlacementCoordinator::reply(ReceivedRequest& question, PlacementReply reply)
{
    reply.coordinator = m_context.instanceId;
    std::string bytes = encodePlacementReply(reply);
    std::string address = m_context.addressOf(question.ask.requester);
    if (address.empty())
        logEvent(LogLevel::Warning, "placement_reply_unaddressed", { { "ask", question.ask.id } });
    else
        m_context.transport.send(address, bytes);
    m_context.metrics.add(Counter::ControlBytes, { "sent", "placement_reply" }, static_cast<double>(bytes.size()));
    if (reply.status != PlacementStatus::Queued)
        question.answer = std::move(bytes);
}

void PlacementCoordinator::tick()
{
    Millis now = m_context.clock.now();
    std::erase_if(m_questions, [&](const auto& entry) {
        const ReceivedRequest& question = *entry.second;
        return now - question.lastAsked >= (question.answer.empty() ? questionLifetime : answerRetention);
    });
}

}
