#include "router/RoutedRequest.h"

#include "base/Hash.h"
#include "net/HttpResponseParser.h"
#include "observe/Logging.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <event2/event.h>
#include <limits>

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

    // A waiting request is tried again after this time even if nothing has changed that this daemon knows of.
    constexpr Millis waitingPoll { 25 };

    constexpr Millis retryAfterFault { 300 };
    constexpr Millis retryAfterCrashes { 2'000 };

    // Crash marks: the third loss ends the content's repeats everywhere.
    constexpr CrashGuardOptions crashOptions { .losses = 3, .quarantine = { 60'000 }, .forgetAfter = { 60'000 } };

    // Losses of an endpoint within this time are taken for one.
    constexpr Millis lossWindow { 2'000 };

    // Output tokens cost an engine about twice as much as prompt tokens.
    constexpr double outputCost = 2.0;

    bool isSuccess(int status) noexcept { return status >= 200 && status < 300; }

    bool isServerError(int status) noexcept { return status >= 500; }

    // Statuses that promise that the request has not run.
    bool promisesNotRun(int status) noexcept
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool isEventStream(const EndpointHead& head) noexcept
    {
        return findHeader(head.headers, "Content-Type").starts_with("text/event-stream");
    }

    std::string formatSeconds(Millis span)
    {
        std::array<char, 32> text {};
        int length = std::snprintf(text.data(), text.size(), "%.3f", span.seconds());
        return { text.data(), static_cast<std::size_t>(length) };
    }

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
    m_contentHash = hash64(m_request.body, hash64(m_request.target, hash64(m_workspace.value)));
    m_firstArrival = m_request.arrivedAt;
    // Requests without a body are too alike to be recognised.
    if (auto first = owner.context().board.refusals.firstArrival(m_contentHash, m_request.arrivedAt);
        first && !m_request.body.empty()) {
        m_firstArrival = *first;
        m_returning = true;
    }
    caller.attach(*this);
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
    std::uint64_t point = m_owner.context().random.below(total);
    for (const PoolWeight& target : m_route.pools) {
        if (point < target.weight)
            return target.pool;
        point -= target.weight;
    }
    return m_route.pools.back().pool;
}

Work RoutedRequest::work() const
{
    return { .prompt = m_facts.prompt, .promptTokens = m_facts.promptTokens, .outputTokens = m_facts.outputTokens };
}

void RoutedRequest::begin()
{
    RouterFlowContext& context = m_owner.context();
    Millis time = now();
    m_owner.allowance().recordRequest(m_pool, m_owner.options().retries, time);
    if (m_facts.promptTokens != 0)
        recordAsked(context.board.shares, m_workspace,
            static_cast<double>(m_facts.promptTokens) + outputCost * static_cast<double>(m_facts.outputTokens), time);
    if (crashVerdict(context.board.crashes, m_contentHash, time) == CrashVerdict::Quarantined) {
        endWith(
            { .kind = ErrorKind::RequestQuarantined, .cause = "crashes_endpoints", .retryAfter = retryAfterCrashes });
        return;
    }
    place();
}

AdmissionFacts RoutedRequest::admissionFacts() const
{
    RouterFlowContext& context = m_owner.context();
    bool stream = m_route.kind == RequestKind::Stream;
    // A plain answer that comes late is still worth most of its time limit, and no engine reads prompts behind it.
    Millis objective = stream ? m_route.latencyObjective : Millis { m_route.timeout.count / 2 };
    return { .objective = objective,
        .tightest = stream ? m_table->tightestObjective(m_pool) : Millis {},
        .overrun = context.board.picture.pools[m_pool].latency.overrun,
        .pressure = pressure(context.board.shares, m_workspace),
        .waited = now() - m_request.arrivedAt,
        .age = now() - m_firstArrival,
        .timeLeft = timeLeft() };
}

Choice RoutedRequest::chooseEndpoint(const AdmissionLimits& limits) const
{
    const RouterFlowOptions& options = m_owner.options();
    return choose(m_owner.context().board.picture, *m_table, m_pool, work(),
        { .limits = limits,
            .availabilityZone = options.availabilityZone,
            .avoid = m_tried,
            .repeatable = m_route.repeatable(),
            .options = options.placement },
        now());
}

void RoutedRequest::place()
{
    if (timeLeft() < shortestAttempt) {
        giveUp("deadline_in_queue");
        return;
    }
    AdmissionFacts facts = admissionFacts();
    AdmissionLimits limits = admissionLimits(facts);
    Choice choice = chooseEndpoint(limits);
    m_late = isLate(limits, choice.prediction);
    if (choice.endpoint && (choice.fits || m_owner.options().admitAll)) {
        send(choice);
    } else if (mayWait(facts, limits, choice.prediction)) {
        if (!std::exchange(m_waitingListed, true))
            m_owner.wait(*this);
        armTimer();
    } else {
        refuseForLoad(facts, limits, choice);
    }
}

std::tuple<bool, bool, double, std::int64_t> RoutedRequest::waitingOrder() const
{
    return { m_late, !m_returning, pressure(m_owner.context().board.shares, m_workspace), m_firstArrival.count };
}

void RoutedRequest::refuseForLoad(const AdmissionFacts& facts, const AdmissionLimits& limits, const Choice& choice)
{
    m_predicted = choice.prediction.total();
    RouterBoard& board = m_owner.context().board;
    board.refusals.record(m_contentHash, m_firstArrival, now());
    board.newRefusals.emplace_back(m_contentHash, m_firstArrival);
    m_owner.context().boardChanged();
    endWith({ .kind = choice.endpoint ? ErrorKind::DeadlineUnreachable : ErrorKind::EndpointUnavailable,
        .cause = choice.endpoint ? "no_room" : "no_endpoint",
        .retryAfter = retryDelay(facts, limits, choice.prediction, m_owner.context().random) });
}

void RoutedRequest::send(const Choice& choice)
{
    RouterFlowContext& context = m_owner.context();
    if (std::exchange(m_waitingListed, false))
        m_owner.stopWaiting(*this);
    Millis time = now();
    m_stage = Stage::Running;
    m_relay = Relay::Undecided;
    m_body.clear();
    m_head = {};
    m_lastProgress = time;
    if (m_sends == 0 && m_connectFailures == 0) {
        m_queued = time - m_request.arrivedAt;
        if (m_facts.promptTokens != 0)
            recordServed(context.board.shares, m_workspace,
                static_cast<double>(m_facts.promptTokens) + outputCost * static_cast<double>(m_facts.outputTokens),
                time);
    }
    m_predicted = choice.prediction.total();
    Registration endpoint = choice.endpoint->registration;
    m_placement = recordSend(context.board.picture, choice, work(), time);
    m_placed = true;
    if (!m_facts.prompt.empty())
        context.board.sentPrompts.push_back({ .endpoint = m_placement.key, .prompt = m_facts.prompt });
    context.boardChanged();
    m_tried.push_back(endpoint.id);
    ++m_sends;

    EndpointRequest request = context.protocol.encode(m_request, m_facts,
        { .endpoint = endpoint,
            .workspace = m_workspace.value,
            .timeLeft = timeLeft(),
            .lastEventId = m_events.events() != 0 ? std::string_view(m_events.lastId()) : std::string_view {} });
    request.freshConnection = !m_route.repeatable();
    request.connectTimeout = std::min(m_owner.options().connectTimeout, timeLeft());
    // This object has its own time limits.
    request.firstByteTimeout = timeLeft() + Millis { 1'000 };
    request.idleTimeout = request.firstByteTimeout;
    m_exchange = context.transport.start(request, *this);
    armTimer();
}

void RoutedRequest::armTimer()
{
    Millis time = now();
    Millis due = m_deadline;
    if (m_stage == Stage::Waiting)
        due = std::min(due, time + waitingPoll);
    else if (m_route.repeatable() && m_relay != Relay::Passing)
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
    if (m_stage == Stage::Waiting) {
        place();
        return;
    }
    checkStall(time);
}

void RoutedRequest::checkStall(Millis time)
{
    if (!m_route.repeatable() || time - m_lastProgress < stallLimit() || m_relay == Relay::Passing || m_paused) {
        armTimer();
        return;
    }
    if (!mayRepeat()) {
        m_lastProgress = time; // Without another attempt, waiting on is the best that can be done.
        armTimer();
        return;
    }
    dropExchange();
    m_mayHaveRun = true;
    attemptEnded(EndpointOutcome::Stalled);
    tryElsewhere("stalled");
}

void RoutedRequest::onSent() { }

void RoutedRequest::onHead(const EndpointHead& head)
{
    m_lastProgress = now();
    AnswerFacts facts = m_owner.context().protocol.inspect(head);
    EndpointEnd broken { .bytesMayHaveLeft = true, .answered = true, .error = ErrorKind::AnswerMismatch };
    if (!facts.echoedId.empty() && facts.echoedId != m_facts.id) {
        dropExchange();
        attemptFailed(ErrorKind::AnswerMismatch, broken, "foreign_answer");
        return;
    }
    m_head = head;
    if (facts.notExecuted && !isSuccess(head.status)) {
        m_relay = Relay::Refusal;
        return;
    }
    if (isSuccess(head.status) && (!facts.isSigned || facts.encoded)) {
        dropExchange();
        attemptFailed(ErrorKind::AnswerMismatch, broken, facts.encoded ? "encoded_answer" : "unsigned_answer");
        return;
    }
    if (m_answerBegun && !isSuccess(head.status)) {
        dropExchange();
        attemptFailed(ErrorKind::AnswerTruncated, broken, "resume_rejected");
        return;
    }
    bool events = isSuccess(head.status) && m_route.kind == RequestKind::Stream && isEventStream(head);
    m_relay = events ? Relay::Events : Relay::Whole;
    if (!events)
        recordFirstByte(m_owner.context().board.picture, m_placement, now());
}

void RoutedRequest::onBody(std::string_view chunk)
{
    m_lastProgress = now();
    switch (m_relay) {
    case Relay::Undecided:
    case Relay::Refusal:
        break;
    case Relay::Events:
        relayEvents(chunk);
        break;
    case Relay::Passing:
        sendToCaller(chunk);
        break;
    case Relay::Whole:
        m_body.append(chunk);
        if (m_body.size() > m_owner.options().wholeBytes) {
            m_relay = Relay::Passing;
            beginAnswer();
            sendToCaller(std::exchange(m_body, {}));
        }
        break;
    }
}

void RoutedRequest::relayEvents(std::string_view chunk)
{
    if (!m_placement.firstByteSeen) {
        recordFirstByte(m_owner.context().board.picture, m_placement, now());
        m_owner.context().boardChanged();
        m_owner.roomChanged();
    }
    std::string_view ready = m_events.feed(chunk);
    if (!ready.empty()) {
        beginAnswer();
        sendToCaller(ready);
    }
    if (m_events.broken() && m_stage == Stage::Running) {
        dropExchange();
        attemptFailed(ErrorKind::AnswerTruncated,
            { .bytesMayHaveLeft = true, .answered = true, .error = ErrorKind::AnswerTruncated }, "events_out_of_order");
    }
}

void RoutedRequest::beginAnswer()
{
    if (std::exchange(m_answerBegun, true))
        return;
    m_firstByteAt = now();
    m_status = m_head.status;
    if (m_caller)
        m_caller->startStream(headForCaller(m_head));
}

void RoutedRequest::sendToCaller(std::string_view bytes)
{
    if (!m_caller)
        return;
    m_caller->sendChunk(bytes);
    if (!m_paused && m_caller->bufferedBytes() > m_owner.options().highWater) {
        m_paused = true;
        m_owner.context().transport.setPaused(m_exchange, true);
    }
}

void RoutedRequest::onCallerDrained()
{
    if (!std::exchange(m_paused, false))
        return;
    m_lastProgress = now();
    m_owner.context().transport.setPaused(m_exchange, false);
}

void RoutedRequest::onCallerGone()
{
    m_caller = nullptr;
    if (m_stage == Stage::Ended)
        return;
    bool sent = m_exchange != 0;
    // A request that must not run twice goes on: closing its connection would leave its outcome unknown.
    if (sent && m_route.kind == RequestKind::NonIdempotent) {
        onCallerDrained();
        return;
    }
    dropExchange();
    attemptEnded(EndpointOutcome::Cancelled);
    finish("caller_gone");
}

void RoutedRequest::onEnd(const EndpointEnd& end)
{
    m_exchange = 0;
    if (m_relay == Relay::Refusal) {
        attemptRefused();
        return;
    }
    if (!end.complete) {
        attemptFailed(end.error, end, answerFor(end.error).name);
        return;
    }
    if (m_relay == Relay::Events) {
        finishStream();
        return;
    }
    if (m_relay == Relay::Passing) {
        attemptEnded(EndpointOutcome::Answered);
        if (m_caller)
            std::exchange(m_caller, nullptr)->endStream();
        finish("ok");
        return;
    }
    answerWhole();
}

void RoutedRequest::finishStream()
{
    beginAnswer(); // A stream may be empty.
    if (std::string rest = m_events.takeRest(); !rest.empty())
        sendToCaller(rest);
    attemptEnded(EndpointOutcome::Answered);
    if (auto mark = onContentCompleted(m_owner.context().board.crashes, m_contentHash))
        m_owner.context().board.crashMarks.push_back(*mark);
    if (m_caller)
        std::exchange(m_caller, nullptr)->endStream();
    finish("ok");
}

void RoutedRequest::answerWhole()
{
    m_mayHaveRun = true;
    if (isServerError(m_head.status)) {
        attemptEnded(EndpointOutcome::Failed);
        // A status that promises "not run" is not passed on when the endpoint has not said so itself.
        if (!promisesNotRun(m_head.status)) {
            m_failedHead = headForCaller(m_head);
            m_failedBody = std::move(m_body);
        }
        if (mayRepeat()) {
            tryElsewhere("endpoint_error");
            return;
        }
    } else {
        attemptEnded(EndpointOutcome::Answered);
    }
    if (promisesNotRun(m_head.status)) {
        giveUp("ambiguous_refusal");
        return;
    }
    if (auto mark = onContentCompleted(m_owner.context().board.crashes, m_contentHash))
        m_owner.context().board.crashMarks.push_back(*mark);
    m_firstByteAt = now();
    m_status = m_head.status;
    bool failed = isServerError(m_status);
    if (m_caller)
        std::exchange(m_caller, nullptr)->sendWhole(headForCaller(m_head), failed ? m_failedBody : m_body);
    finish(failed ? "endpoint_error" : "ok");
}

void RoutedRequest::attemptEnded(EndpointOutcome outcome)
{
    if (!std::exchange(m_placed, false))
        return;
    recordEnd(m_owner.context().board.picture, m_placement, outcome, now());
    m_owner.context().boardChanged();
    m_owner.roomChanged();
}

void RoutedRequest::noteLoss()
{
    RouterBoard& board = m_owner.context().board;
    std::int64_t window = m_owner.context().clock.wallTime().count / lossWindow.count;
    std::uint64_t eventId = hash64(m_placement.endpoint.value, static_cast<std::uint64_t>(window));
    board.crashMarks.push_back(onContentLost(board.crashes, crashOptions, m_contentHash, eventId, now()));
}

void RoutedRequest::attemptFailed(ErrorKind kind, const EndpointEnd& end, std::string_view cause)
{
    if (!end.bytesMayHaveLeft) {
        attemptEnded(EndpointOutcome::Lost);
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
    attemptEnded(lost && !end.answered ? EndpointOutcome::Lost : EndpointOutcome::Failed);
    if (mayRepeat())
        tryElsewhere(cause);
    else
        giveUp(cause);
}

void RoutedRequest::attemptRefused()
{
    attemptEnded(EndpointOutcome::Refused);
    bool left = m_sends < m_route.maxEndpoints && timeLeft() >= shortestAttempt && m_caller;
    if (left && m_owner.allowance().take(m_pool, m_owner.options().retries, now()))
        tryElsewhere("refused");
    else
        giveUp("refused_by_endpoint");
}

bool RoutedRequest::mayRepeat() const
{
    if (!m_route.repeatable() || m_sends >= m_route.maxEndpoints || timeLeft() < shortestAttempt || !m_caller)
        return false;
    const CrashGuardState& crashes = m_owner.context().board.crashes;
    auto suspect = crashes.suspects.find(m_contentHash);
    if (suspect != crashes.suspects.end() && suspect->second.events.size() >= lossesAgainstRepeat)
        return false;
    return m_owner.allowance().take(m_pool, m_owner.options().retries, now());
}

void RoutedRequest::tryElsewhere(std::string_view cause)
{
    RouterFlowContext& context = m_owner.context();
    Choice choice = chooseEndpoint(admissionLimits(admissionFacts()));
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
    if (m_exchange != 0) {
        m_mayHaveRun = true;
        dropExchange();
        attemptEnded(EndpointOutcome::Cancelled);
    }
    if (m_failedHead && m_caller && !m_answerBegun) {
        m_status = m_failedHead->status;
        std::exchange(m_caller, nullptr)->sendWhole(*m_failedHead, m_failedBody);
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

void RoutedRequest::endWith(const Failure& failure)
{
    m_status = m_mayHaveRun ? answerFor(failure.kind).httpStatus : 503;
    logEvent(LogLevel::Warning, "request_failed",
        { { "request", m_facts.id }, { "workspace", m_workspace.value }, { "route", m_route.name },
            { "pool", m_pool.value }, { "cause", failure.cause }, { "status", m_status },
            { "may_have_run", m_mayHaveRun ? 1 : 0 }, { "endpoint", m_placement.endpoint.value }, { "sends", m_sends },
            { "predicted_ms", std::isfinite(m_predicted) ? static_cast<std::int64_t>(m_predicted) : -1 },
            { "age_ms", (now() - m_request.arrivedAt).count }, { "left_ms", timeLeft().count },
            { "pressure", pressure(m_owner.context().board.shares, m_workspace) }, { "returning", m_returning ? 1 : 0 },
            { "events", m_events.events() }, { "configuration", m_table->version },
            { "retry_after_ms", failure.retryAfter.count } });
    if (CallerExchange* caller = std::exchange(m_caller, nullptr)) {
        if (m_answerBegun) {
            caller->abort();
        } else {
            CallerHead head { .status = m_status, .headers = { { "Content-Type", "application/json" } } };
            if (!m_mayHaveRun)
                head.headers.emplace_back("Retry-After", formatSeconds(failure.retryAfter));
            caller->sendWhole(head,
                R"({"error":{"kind":")" + std::string(answerFor(failure.kind).name) + R"(","cause":")"
                    + std::string(failure.cause) + R"(","run_status":")"
                    + std::string(toString(m_mayHaveRun ? RunStatus::Unknown : RunStatus::NotRun)) + "\"}}\n");
        }
    }
    finish(failure.cause);
}

void RoutedRequest::finish(std::string_view outcome)
{
    if (std::exchange(m_waitingListed, false))
        m_owner.stopWaiting(*this);
    m_stage = Stage::Ended;
    evtimer_del(m_timer.get());
    RouterFlowContext& context = m_owner.context();
    Millis total = now() - m_request.arrivedAt;
    context.metrics.add(Counter::Requests, { m_workspace.value, outcome });
    context.metrics.observe(Histogram::TotalSeconds, { m_pool.value }, total.seconds());
    std::int64_t firstByte = m_firstByteAt == Millis {} ? -1 : (m_firstByteAt - m_request.arrivedAt).count;
    if (firstByte >= 0)
        context.metrics.observe(Histogram::FirstByteSeconds, { m_pool.value }, static_cast<double>(firstByte) / 1000.0);
    logEvent(LogLevel::Info, "request_done",
        { { "request", m_facts.id }, { "workspace", m_workspace.value }, { "route", m_route.name },
            { "outcome", outcome }, { "status", m_status }, { "endpoint", m_placement.endpoint.value },
            { "sends", m_sends }, { "queued_ms", m_queued.count },
            { "predicted_ms", std::isfinite(m_predicted) ? static_cast<std::int64_t>(m_predicted) : -1 },
            { "ahead", static_cast<std::int64_t>(m_placement.workAhead) }, { "unread", m_placement.unreadTokens },
            { "prompt", m_facts.promptTokens }, { "first_ms", firstByte }, { "total_ms", total.count },
            { "events", m_events.events() }, { "returning", m_returning ? 1 : 0 },
            { "objective_ms", m_route.latencyObjective.count },
            { "caller_ms", m_facts.timeLeft.value_or(Millis {}).count }, { "configuration", m_table->version } });
    m_owner.finished(*this);
}

void RoutedRequest::dropExchange()
{
    if (m_exchange != 0)
        m_owner.context().transport.cancel(std::exchange(m_exchange, 0));
}

CallerHead RoutedRequest::headForCaller(const EndpointHead& endpoint)
{
    CallerHead head { .status = endpoint.status };
    for (const auto& header : endpoint.headers) {
        if (!isConnectionHeader(header.first))
            head.headers.push_back(header);
    }
    return head;
}

}
