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

class PlacementCoordinator::Question final : public WaitingPlacement {
public:
    Question(PlacementCoordinator& coordinator, PlacementAsk ask)
        : ask(std::move(ask))
        , m_coordinator(coordinator)
    {
    }

    ~Question() override
    {
        if (m_waiting)
            m_coordinator.m_context.queue.remove(*this);
    }
    Question(const Question&) = delete;
    Question& operator=(const Question&) = delete;

    [[nodiscard]] WaitingOrder waitingOrder() const override
    {
        return jasminestack::waitingOrder(ask.query, m_coordinator.m_context.board.shares, m_late);
    }

    void place() override;

    PlacementAsk ask;
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

void PlacementCoordinator::Question::place()
{
    Context& context = m_coordinator.m_context;
    Millis now = context.clock.now();
    if (ask.query.deadline - now < shortestAttempt) {
        stopWaiting(); // Its daemon answers the caller.
        return;
    }
    PlacementOptions options = context.options();
    PlacementDecision decision = decidePlacement({ .picture = context.board.picture,
                                                     .table = *context.board.table,
                                                     .shares = context.board.shares,
                                                     .options = options,
                                                     .shard = ask.shard },
        ask.query, context.random, now);
    m_late = decision.late;
    PlacementReply reply { .id = ask.id,
        .predicted = Millis { static_cast<std::int64_t>(std::min(decision.choice.prediction.total(), 1e6)) },
        .late = decision.late,
        .returning = returning };
    if (decision.verdict == PlacementVerdict::Wait) {
        if (!std::exchange(m_waiting, true)) {
            context.queue.add(*this);
            reply.answer = PlacementAnswer::Queued;
            m_coordinator.reply(*this, reply);
        }
        return;
    }
    stopWaiting();
    if (decision.verdict == PlacementVerdict::Send) {
        reply.answer = PlacementAnswer::Granted;
        reply.grantNumber = ++m_coordinator.m_grants[ask.daemon];
        reply.endpoint = decision.choice.endpoint->instanceId;
        reply.unreadTokens = decision.choice.prefillTokens;
        reply.workAhead = static_cast<std::uint64_t>(decision.choice.backlogTokens);
        recordGrant(context.board.picture, decision.choice, ask.query.work(), ask.daemon, reply.grantNumber, now);
        if (ask.query.promptTokens != 0)
            recordServed(context.board.shares, ask.query.workspace, chargedTokens(ask.query), now);
    } else {
        reply.answer = PlacementAnswer::Refused;
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

void PlacementCoordinator::onAsk(const PlacementAsk& ask)
{
    QuestionKey key { ask.daemon, ask.id };
    if (ask.withdrawn) {
        m_questions.erase(key);
        return;
    }
    Millis now = m_context.clock.now();
    auto known = m_questions.find(key);
    if (known != m_questions.end()) {
        Question& question = *known->second;
        question.lastAsked = now;
        if (!question.answer.empty())
            m_context.transport.send(m_context.addressOf(ask.daemon), question.answer);
        else
            reply(question, { .id = ask.id, .answer = PlacementAnswer::Queued });
        return;
    }
    if (!m_context.board.picture.endpointsByShard.contains(ask.shard))
        return; // The registrations differ; the daemon decides by itself when nothing answers.
    auto [position, added] = m_questions.emplace(key, std::make_unique<Question>(*this, ask));
    Question& question = *position->second;
    question.lastAsked = now;
    PlacementQuery& query = question.ask.query;
    if (query.promptTokens != 0)
        recordAsked(m_context.board.shares, query.workspace, chargedTokens(query), now);
    if (auto first = m_context.board.refusals.firstArrival(query.contentHash, now); first && query.promptTokens != 0) {
        question.returning = true;
        query.firstArrival = std::min(query.firstArrival, *first);
    }
    if (crashVerdict(m_context.board.crashes, query.contentHash, now) == CrashVerdict::Quarantined)
        reply(question, { .id = ask.id, .answer = PlacementAnswer::Quarantined });
    else
        question.place();
}

void PlacementCoordinator::reply(Question& question, PlacementReply reply)
{
    reply.coordinator = m_context.key;
    std::string bytes = encodePlacementReply(reply);
    std::string address = m_context.addressOf(question.ask.daemon);
    if (address.empty())
        logEvent(LogLevel::Warning, "placement_reply_unaddressed", { { "ask", question.ask.id } });
    else
        m_context.transport.send(address, bytes);
    m_context.metrics.add(Counter::ControlBytes, { "sent", "placement_reply" }, static_cast<double>(bytes.size()));
    if (reply.answer != PlacementAnswer::Queued)
        question.answer = std::move(bytes);
}

void PlacementCoordinator::tick()
{
    Millis now = m_context.clock.now();
    std::erase_if(m_questions, [&](const auto& entry) {
        const Question& question = *entry.second;
        return now - question.lastAsked >= (question.answer.empty() ? questionLifetime : answerRetention);
    });
}

}
