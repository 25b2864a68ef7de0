#include "router/RoutedRequest.h"

#include "base/Hash.h"
#include "observe/Logging.h"
#include "routing/Shards.h"

#include <algorithm>
#include <event2/event.h>

namespace jasminestack {

namespace {

    // An attempt that cannot end within this time is not started.
    constexpr Millis shortestAttempt { 30 };

    // Endpoints tried for one request whose connections were refused, beyond which the pool counts as unreachable.
    constexpr unsigned maxConnectFailures = 4;

    // Losses of endpoints that ran the same content after which this daemon does not repeat it by itself.
    constexpr std::size_t lossesAgainstRepeat = 2;

    // A fault is told from load by this much more than the predicted time, and not before the shortest limit.
    constexpr double stallFactor = 4.0;
    constexpr Millis shortestStall { 1'000 };

    // A stream whose events pause for this many times the allowed gap has lost its endpoint.
    constexpr std::int64_t gapFactor = 7;

    constexpr Millis retryAfterFault { 300 };
    constexpr Millis retryAfterCrashes { 2'000 };

    // Losses of an endpoint within this time are taken for one.
    constexpr Millis lossWindow { 2'000 };

}

RoutedRequest::RoutedRequest(RoutedRequestOwner& owner, Start start, CallerExchange& caller)
    : m_owner(owner)
    , m_request(std::move(start.request))
    , m_facts(std::move(start.facts))
    , m_table(std::move(start.table))
    , m_route(*start.route)
    , m_workspace(std::move(start.workspace))
    , m_pool(choosePool())
    , m_caller(&caller)
    , m_timer(evtimer_new(
          &owner.context().base, [](int, short, void* self) { static_cast<RoutedRequest*>(self)->onTimer(); }, this))
    , m_deadline(m_request.arrivedAt + m_route.timeout)
{
    if (m_facts.timeLeft && *m_facts.timeLeft < m_route.timeout) {
        m_deadline = m_request.arrivedAt + *m_facts.timeLeft;
        m_limitedByCaller = true;
    }
    m_query = makeQuery();
    // Requests without a body are too alike to be recognised.
    if (auto first = owner.context().board.refusals.firstArrival(m_query.contentHash, m_request.arrivedAt);
        first && !m_request.body.empty()) {
        m_query.firstArrival = *first;
        m_returning = true;
    }
    if (owner.options().coordinated)
        m_shard
            = shardForRequest(owner.context().board.fleetView, m_pool, localityKey(m_query.prompt, hash64(m_facts.id)));
    caller.setListener(*this);
}

RoutedRequest::~RoutedRequest() = default;

Millis RoutedRequest::now() const { return m_owner.context().clock.now(); }

PoolId RoutedRequest::choosePool() const
{
    unsigned total = 0;
    for (const PoolWeight& target : m_route.pools)
        total += target.weight;
    if (total == 0)
        return {};
    std::uint64_t point = m_owner.context().random.uniformInteger(total);
    for (const PoolWeight& target : m_route.pools) {
        if (point < target.weight)
            return target.pool;
        point -= target.weight;
    }
    return m_route.pools.back().pool;
}

PlacementQuery RoutedRequest::makeQuery() const
{
    bool stream = m_route.kind == RequestKind::Stream;
    return { .pool = m_pool,
        .workspace = workspaceHash(m_workspace),
        .contentHash = hash64(m_request.body, hash64(m_request.target, hash64(m_workspace.value))),
        .availabilityZone = m_owner.options().availabilityZone,
        .prompt = m_facts.prompt,
        .promptTokens = m_facts.promptTokens,
        .maxOutputTokens = m_facts.maxOutputTokens,
        .isStream = stream,
        .isRepeatable = m_route.isRepeatable(),
        // A plain answer that comes late is still worth most of its time limit.
        .objective = stream ? m_route.latencyObjective : Millis { m_route.timeout.count / 2 },
        .arrivedAt = m_request.arrivedAt,
        .firstArrival = m_request.arrivedAt,
        .deadline = m_deadline };
}

void RoutedRequest::begin()
{
    RequestRouterContext& context = m_owner.context();
    m_owner.allowance().recordRequest(m_pool, m_owner.options().retries, now());
    if (crashVerdict(context.board.crashes, m_query.contentHash, now()) == CrashVerdict::Quarantined) {
        endWith(
            { .kind = ErrorKind::RequestQuarantined, .cause = "crashes_endpoints", .retryAfter = retryAfterCrashes });
        return;
    }
    if (m_shard != 0 && context.coordinators)
        m_ask = context.coordinators->requestPlacement(m_shard, m_query, *this);
    if (m_ask) {
        m_stage = Stage::Asking;
        armTimer();
        return;
    }
    if (m_facts.promptTokens != 0)
        recordDemand(context.board.shares, m_query.workspace, chargedTokens(m_query), now());
    place();
}

PlacementInputs RoutedRequest::placementInputs(ShardId shard) const
{
    RequestRouterContext& context = m_owner.context();
    return { .fleetView = context.board.fleetView,
        .table = *m_table,
        .shares = context.board.shares,
        .options = m_owner.options().placement,
        .admitAll = m_owner.options().admitAll,
        .shard = shard };
}

EndpointChoice RoutedRequest::chooseOther() const
{
    EndpointChoice choice = bestEndpoint(placementInputs(m_shard), m_query, now());
    return choice.endpoint || m_shard == 0 ? choice : bestEndpoint(placementInputs(0), m_query, now());
}

void RoutedRequest::place()
{
    RequestRouterContext& context = m_owner.context();
    if (timeLeft() < shortestAttempt) {
        giveUp("deadline_in_queue");
        return;
    }
    PlacementDecision decision = decidePlacement(placementInputs(m_shard), m_query, context.random, now());
    m_late = decision.isLate;
    switch (decision.verdict) {
    case PlacementVerdict::Send:
        if (m_facts.promptTokens != 0)
            recordServed(context.board.shares, m_query.workspace, chargedTokens(m_query), now());
        send(decision.choice);
        break;
    case PlacementVerdict::Wait:
        if (!std::exchange(m_waitingListed, true))
            context.queue.add(*this);
        armTimer();
        break;
    case PlacementVerdict::Refuse:
        m_predicted = decision.choice.prediction.firstByteMs();
        context.board.refusals.record(m_query.contentHash, m_query.firstArrival, now());
        context.board.newRefusals.emplace_back(m_query.contentHash, m_query.firstArrival);
        context.boardChanged();
        refuseForLoad(decision.choice.endpoint != nullptr, decision.retryAfter);
        break;
    }
}

WaitingOrder RoutedRequest::waitingOrder() const
{
    return jasminestack::waitingOrder(m_query, m_owner.context().board.shares, m_late);
}

void RoutedRequest::onPlacement(const PlacementReply& reply, std::string_view coordinator)
{
    m_ask.reset();
    m_placedBy = coordinator;
    m_late = reply.isLate;
    m_returning = reply.wasRefusedBefore;
    m_predicted = static_cast<double>(reply.predictedFirstByte.count);
    switch (reply.status) {
    case PlacementStatus::Quarantined:
        endWith(
            { .kind = ErrorKind::RequestQuarantined, .cause = "crashes_endpoints", .retryAfter = retryAfterCrashes });
        return;
    case PlacementStatus::Refused:
        refuseForLoad(true, reply.retryAfter);
        return;
    case PlacementStatus::Queued:
    case PlacementStatus::Granted:
        break;
    }
    auto& byKey = m_owner.context().board.fleetView.endpointsByInstance;
    auto found = byKey.find(reply.endpoint);
    if (found == byKey.end() || found->second->registration.draining) {
        // The coordinator has not heard yet that the endpoint leaves, or this daemon has not heard of a new one.
        onPlacementUnanswered();
        return;
    }
    m_granted = true;
    send({ .endpoint = found->second,
        .prediction = { .queueMs = m_predicted },
        .isWithinLimits = true,
        .prefillTokens = reply.prefillTokens,
        .backlogTokens = static_cast<double>(reply.backlogTokens) });
}

void RoutedRequest::onPlacementUnanswered()
{
    m_ask.reset();
    m_placedBy = "self";
    m_stage = Stage::Waiting;
    place();
}

void RoutedRequest::stopPlacing()
{
    RequestRouterContext& context = m_owner.context();
    if (std::exchange(m_waitingListed, false))
        context.queue.remove(*this);
    if (m_ask)
        context.coordinators->cancel(*m_ask);
    m_ask.reset();
}

void RoutedRequest::refuseForLoad(bool anyEndpoint, Millis retryAfter)
{
    endWith({ .kind = anyEndpoint ? ErrorKind::DeadlineUnreachable : ErrorKind::EndpointUnavailable,
        .cause = anyEndpoint ? "no_room" : "no_endpoint",
        .retryAfter = retryAfter });
}

void RoutedRequest::send(const EndpointChoice& choice)
{
    RequestRouterContext& context = m_owner.context();
    stopPlacing();
    Millis time = now();
    m_stage = Stage::Running;
    m_relay = Relay::Undecided;
    m_body.clear();
    m_head = {};
    m_lastProgress = time;
    if (m_sends == 0 && m_connectFailures == 0)
        m_queued = time - m_request.arrivedAt;
    m_predicted = choice.prediction.firstByteMs();
    Registration endpoint = choice.endpoint->registration;
    m_placement = recordSend(context.board.fleetView, choice, m_query.workload(), time);
    m_placed = true;
    // The coordinator already knows what it has granted.
    if (!std::exchange(m_granted, false) && !m_facts.prompt.empty())
        context.board.sentPrompts.push_back({ .endpoint = m_placement.instanceId, .prompt = m_facts.prompt });
    context.boardChanged();
    m_query.triedEndpoints.push_back(m_placement.instanceId);
    ++m_sends;

    EndpointRequest request = context.protocol.encode(m_request, m_facts,
        { .endpoint = endpoint,
            .workspace = m_workspace.value,
            .timeLeft = timeLeft(),
            .lastEventId = m_events.events() != 0 ? std::string_view(m_events.lastId()) : std::string_view {} });
    request.requiresFreshConnection = !m_route.isRepeatable();
    request.connectTimeout = std::min(m_owner.options().connectTimeout, timeLeft());
    // This object has its own time limits.
    request.firstByteTimeout = timeLeft() + Millis { 1'000 };
    request.responseIdleTimeout = request.firstByteTimeout;
    m_exchange = context.transport.start(request, *this);
    armTimer();
}

void RoutedRequest::armTimer()
{
    Millis time = now();
    Millis due = m_deadline;
    if (m_stage == Stage::Running && m_route.isRepeatable() && m_relay != Relay::Passing)
        due = std::min(due, m_lastProgress + stallLimit());
    timeval span = toTimeval(std::max(due - time, Millis { 1 }));
    evtimer_add(m_timer.get(), &span);
}

Millis RoutedRequest::stallLimit() const
{
    if (m_events.events() != 0 && m_route.eventGapObjective > Millis {})
        return std::max(shortestStall, Millis { m_route.eventGapObjective.count * gapFactor });
    Millis byPrediction { static_cast<std::int64_t>(std::min(m_predicted * stallFactor, 1e6)) };
    return std::max(byPrediction, shortestStall);
}

void RoutedRequest::onTimer()
{
    if (m_stage == Stage::Ended)
        return;
    Millis time = now();
    if (time >= m_deadline) {
        giveUp(m_limitedByCaller ? "caller_deadline" : "route_timeout");
        return;
    }
    if (m_stage == Stage::Running)
        checkStall(time);
    else
        armTimer();
}

void RoutedRequest::checkStall(Millis time)
{
    if (!m_route.isRepeatable() || time - m_lastProgress < stallLimit() || m_relay == Relay::Passing || m_paused) {
        armTimer();
        return;
    }
    if (!takeRepeat()) {
        m_lastProgress = time; // Without another attempt, waiting on is the best that can be done.
        armTimer();
        return;
    }
    dropExchange();
    m_mayHaveRun = true;
    attemptEnded(AttemptOutcome::Stalled);
    tryElsewhere("stalled");
}

void RoutedRequest::attemptEnded(AttemptOutcome outcome)
{
    if (!std::exchange(m_placed, false))
        return;
    RequestRouterContext& context = m_owner.context();
    recordEnd(context.board.fleetView, m_placement, outcome, now());
    if (outcome != AttemptOutcome::Cancelled)
        context.board.attemptReports.push_back(endReport(m_placement, outcome, now()));
    context.boardChanged();
    context.queue.roomChanged();
}

void RoutedRequest::noteLoss()
{
    RouterBlackboard& board = m_owner.context().board;
    std::int64_t window = m_owner.context().clock.wallTime().count / lossWindow.count;
    std::uint64_t eventId = hash64(m_placement.endpoint.value, static_cast<std::uint64_t>(window));
    board.crashMarks.push_back(
        recordEndpointLoss(board.crashes, crashGuardOptions, m_query.contentHash, eventId, now()));
}

void RoutedRequest::attemptFailed(ErrorKind kind, const EndpointExchangeResult& end, std::string_view cause)
{
    if (!end.requestMayHaveBeenSent) {
        attemptEnded(AttemptOutcome::ConnectionFailed);
        --m_sends;
        ++m_connectFailures;
        if (m_connectFailures < maxConnectFailures && timeLeft() >= shortestAttempt && (m_caller || m_answerBegun)) {
            tryElsewhere("not_connected");
            return;
        }
        giveUp("not_connected");
        return;
    }
    m_mayHaveRun = true;
    bool lost = kind == ErrorKind::EndpointLost || kind == ErrorKind::AnswerTruncated;
    if (lost)
        noteLoss();
    attemptEnded(lost && !end.responseStarted ? AttemptOutcome::ConnectionFailed : AttemptOutcome::Failed);
    if (takeRepeat())
        tryElsewhere(cause);
    else
        giveUp(cause);
}

void RoutedRequest::attemptRefused()
{
    attemptEnded(AttemptOutcome::Refused);
    bool left = m_sends < m_route.maxEndpoints && timeLeft() >= shortestAttempt && m_caller;
    if (left && m_owner.allowance().take(m_pool, m_owner.options().retries, now()))
        tryElsewhere("refused");
    else
        giveUp("refused_by_endpoint");
}

bool RoutedRequest::takeRepeat() const
{
    if (!m_route.isRepeatable() || m_sends >= m_route.maxEndpoints || timeLeft() < shortestAttempt || !m_caller)
        return false;
    const CrashGuardState& crashes = m_owner.context().board.crashes;
    auto suspect = crashes.suspects.find(m_query.contentHash);
    if (suspect != crashes.suspects.end() && suspect->second.lossEventIds.size() >= lossesAgainstRepeat)
        return false;
    return m_owner.allowance().take(m_pool, m_owner.options().retries, now());
}

void RoutedRequest::tryElsewhere(std::string_view cause)
{
    RequestRouterContext& context = m_owner.context();
    EndpointChoice choice = chooseOther();
    logEvent(LogLevel::Info, "request_repeated",
        { { "request", m_facts.id }, { "cause", cause }, { "from", m_placement.endpoint.value },
            { "to", choice.endpoint ? choice.endpoint->registration.id.value : std::string("none") },
            { "after_event", m_events.lastId() }, { "sends", m_sends } });
    if (!choice.endpoint) {
        giveUp("no_other_endpoint");
        return;
    }
    context.metrics.add(Counter::Retries, { m_pool.value });
    m_events.resume();
    send(choice);
}

void RoutedRequest::giveUp(std::string_view cause)
{
    stopPlacing();
    if (m_exchange != 0) {
        m_mayHaveRun = true;
        dropExchange();
        attemptEnded(AttemptOutcome::Cancelled);
    }
    if (m_failedHead && m_caller && !m_answerBegun) {
        m_status = m_failedHead->status;
        std::exchange(m_caller, nullptr)->sendResponse(*m_failedHead, m_failedBody);
        finish("endpoint_error");
        return;
    }
    bool late = timeLeft() < shortestAttempt;
    ErrorKind kind = ErrorKind::EndpointUnavailable;
    if (m_mayHaveRun)
        kind = late ? ErrorKind::EndpointTimeout : ErrorKind::EndpointLost;
    else if (late)
        kind = ErrorKind::DeadlineUnreachable;
    endWith({ .kind = kind, .cause = cause, .retryAfter = retryAfterFault });
}

}
