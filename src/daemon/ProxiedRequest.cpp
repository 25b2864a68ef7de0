#include "daemon/ProxiedRequest.h"

#include "net/HttpResponseParser.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // A charge for tokens in progress every so many tokens is exact enough for scheduling and saves a lookup for each.
    constexpr std::uint64_t tokensPerCharge = 16;

    bool isSuccess(int status) noexcept { return status >= 200 && status < 300; }

    bool isEventStream(const HttpResponseHead& head) noexcept
    {
        return findHeader(head.headers, "Content-Type").starts_with("text/event-stream");
    }

    // The endpoint declares that it has not started to run the request.
    bool isRefusal(const HttpResponseHead& head) noexcept
    {
        return (head.status == 429 || head.status == 503) && findHeader(head.headers, "X-Not-Run") == "1";
    }

    // Headers that concern the daemon, or that it sets itself.
    bool isOwnHeader(std::string_view name) noexcept
    {
        return equalHeaderNames(name, "Authorization") || equalHeaderNames(name, "X-Request-Id")
            || equalHeaderNames(name, "traceparent") || equalHeaderNames(name, "X-Deadline-Ms")
            || equalHeaderNames(name, "X-Cost-Hint") || equalHeaderNames(name, "X-Workspace");
    }

}

ProxiedRequest::ProxiedRequest(
    ProxiedRequestOwner& owner, RequestId id, ResolvedRequest resolved, CallerRequest request, CallerExchange& caller)
    : m_owner(owner)
    , m_id(std::move(id))
    , m_resolved(std::move(resolved))
    , m_request(std::move(request))
    , m_caller(&caller)
    , m_acceptedAt(owner.context().clock.now())
{
    RequestProxyContext& context = m_owner.context();
    m_deadline = m_acceptedAt + m_resolved.deadline.value_or(context.configuration().limits.defaultDeadline);
    auto parent = parseTraceparent(m_request.header("traceparent"));
    m_span = context.tracer.start("accept", parent ? &*parent : nullptr);
    m_span.attributes = { { "request.id", m_id.value }, { "workspace", m_resolved.workspace.value },
        { "pool", m_resolved.pool.value } };
    caller.setListener(*this);
}

ProxiedRequest::~ProxiedRequest() = default;

void ProxiedRequest::enqueue()
{
    m_stage = Stage::Queued;
    RequestProxyContext& context = m_owner.context();
    Millis now = context.clock.now();
    CrashVerdict verdict = crashVerdict(context.crashGuard, m_resolved.contentHash, now);
    if (verdict == CrashVerdict::Quarantined) {
        context.metrics.add(Counter::Quarantined);
        endWithError({ .kind = ErrorKind::RequestQuarantined,
                         .message = "endpoints were lost while they ran this request; it is refused for now" },
            runStatus(m_history));
        return;
    }
    QueuedRequest queued {
        .id = m_id,
        .workspace = m_resolved.workspace,
        .pool = m_resolved.pool,
        .enqueuedAt = now,
        .deadline = m_deadline,
        .costHint = m_resolved.costHint,
        .bodyBytes = m_request.body.size(),
        .prefixHash = m_resolved.prefixHash,
        .contentHash = m_resolved.contentHash,
        .isCrashSuspect = verdict == CrashVerdict::Suspect,
        .triedEndpoints = m_avoid,
    };
    startHop("queue");
    auto accepted = jasminestack::enqueue(context.scheduling, m_owner.view(), std::move(queued), now);
    if (!accepted) {
        refuse(accepted.error());
        return;
    }
    m_owner.workChanged();
}

void ProxiedRequest::granted(const EndpointState& endpoint)
{
    endHop(false);
    RequestProxyContext& context = m_owner.context();
    if (m_starts == 0)
        context.metrics.observe(
            Histogram::QueueSeconds, { m_resolved.pool.value }, (context.clock.now() - m_acceptedAt).seconds());
    m_stage = Stage::Running;
    m_slotHeld = true;
    m_endpoint = endpoint.id;
    m_address = endpoint.address;
    startAttempt(false);
}

void ProxiedRequest::refuse(Error error) { endWithError(std::move(error), runStatus(m_history)); }

void ProxiedRequest::checkDeadline(Millis now)
{
    if (m_stage != Stage::Running || answerBegun() || !m_caller || now < m_deadline)
        return;
    dropExchange();
    recordAttempt(m_history, { .requestMayHaveBeenSent = m_sent });
    if (m_resolved.kind == PoolKind::Model && m_sent)
        m_owner.cancelStream(m_address, m_attemptId);
    endWithError({ .kind = ErrorKind::DeadlineExceeded, .message = "the endpoint did not answer by the deadline" },
        runStatus(m_history));
}

void ProxiedRequest::startAttempt(bool resume)
{
    RequestProxyContext& context = m_owner.context();
    ++m_starts;
    m_resuming = resume;
    m_sent = resume;
    m_paused = false;
    if (!resume) {
        // Each attempt has its own id, so that a late answer to an earlier one cannot be taken for this one's.
        m_attemptId = m_starts == 1 ? m_id.value : m_id.value + "." + std::to_string(m_starts);
        m_relay = RelayMode::Undecided;
        m_body.clear();
        m_answerBytes = 0;
    }
    startHop("connect");
    m_exchange = context.transport.start(buildRequest(resume), *this);
}

EndpointRequest ProxiedRequest::buildRequest(bool resume) const
{
    RequestProxyContext& context = m_owner.context();
    const RequestProxyOptions& options = m_owner.options();
    EndpointRequest request {
        .id = RequestId { m_attemptId },
        .address = m_address,
        .connectTimeout = options.connectTimeout,
        .firstByteTimeout = options.firstByteTimeout,
        .responseIdleTimeout = options.responseIdleTimeout,
    };
    const Span& hop = m_hop ? *m_hop : m_span;
    request.headers.emplace_back("X-Request-Id", m_attemptId);
    request.headers.emplace_back("X-Workspace", m_resolved.workspace.value);
    request.headers.emplace_back("traceparent", formatTraceparent(hop.context));
    if (resume) {
        request.method = "GET";
        request.target = "/v1/streams/" + m_attemptId + "?from=" + std::to_string(m_events.nextIndex());
        request.requiresFreshConnection = true;
        return request;
    }
    request.method = m_request.method;
    request.target = m_request.target;
    request.requiresFreshConnection = !m_resolved.idempotent;
    for (const auto& header : m_request.headers) {
        if (!isNonForwardedHeader(header.first) && !isOwnHeader(header.first))
            request.headers.push_back(header);
    }
    auto left = std::max<std::int64_t>(1, (m_deadline - context.clock.now()).count);
    request.headers.emplace_back("X-Deadline-Ms", std::to_string(left));
    request.body = m_request.body;
    return request;
}

void ProxiedRequest::onConnected()
{
    m_sent = true;
    endHop(false);
    startHop("endpoint");
}

void ProxiedRequest::onHead(const HttpResponseHead& head)
{
    if (findHeader(head.headers, "X-Request-Id") != m_attemptId) {
        dropExchange();
        attemptFailed(ErrorKind::AnswerMismatch, { .requestMayHaveBeenSent = true, .httpStatus = head.status });
        return;
    }
    if (m_resuming) {
        if (!isSuccess(head.status) || !isEventStream(head)) {
            // The engine no longer has the stream.
            dropExchange();
            m_resumable = false;
            attemptFailed(ErrorKind::AnswerTruncated, { .requestMayHaveBeenSent = true, .httpStatus = head.status });
        }
        return;
    }
    m_head = head;
    if (!isEventStream(head) || !isSuccess(head.status))
        m_relay = RelayMode::Whole;
    else if (m_resolved.kind == PoolKind::Model)
        m_relay = RelayMode::Events;
    else
        m_relay = RelayMode::Passing;
}

void ProxiedRequest::onBody(std::string_view chunk)
{
    m_answerBytes += chunk.size();
    switch (m_relay) {
    case RelayMode::Undecided:
        break;
    case RelayMode::Events:
        relayEvents(chunk);
        break;
    case RelayMode::Passing:
        relayPassing(chunk);
        break;
    case RelayMode::Whole:
        m_body.append(chunk);
        if (m_body.size() > m_owner.options().wholeBytes) {
            m_relay = RelayMode::Passing;
            std::string collected = std::exchange(m_body, {});
            relayPassing(collected);
        }
        break;
    }
}

void ProxiedRequest::relayEvents(std::string_view chunk)
{
    std::string_view ready = m_events.feed(chunk);
    if (!ready.empty()) {
        beginAnswer();
        sendToCaller(ready);
    }
    if (m_events.gap() || m_events.overlong()) {
        dropExchange();
        m_resumable = m_events.gap();
        attemptFailed(ErrorKind::AnswerTruncated, { .requestMayHaveBeenSent = true, .httpStatus = m_head.status });
        return;
    }
    if (m_events.tokens() >= m_reportedTokens + tokensPerCharge) {
        m_reportedTokens = m_events.tokens();
        recordProgress(m_owner.context().scheduling, m_id, costSoFar());
        countTokens();
    }
}

void ProxiedRequest::relayPassing(std::string_view chunk)
{
    beginAnswer();
    sendToCaller(chunk);
}

void ProxiedRequest::beginAnswer()
{
    if (m_answerBegun)
        return;
    m_answerBegun = true;
    endHop(false);
    startHop("relay");
    RequestProxyContext& context = m_owner.context();
    context.metrics.observe(
        Histogram::FirstByteSeconds, { m_resolved.pool.value }, (context.clock.now() - m_acceptedAt).seconds());
    if (m_caller)
        m_caller->startStream(callerHead());
    m_streamOpen = true;
    m_owner.streamOpened();
}

void ProxiedRequest::sendToCaller(std::string_view bytes)
{
    if (!m_caller)
        return;
    m_caller->sendChunk(bytes);
    if (!m_paused && m_caller->bufferedBytes() > m_owner.options().highWater) {
        m_paused = true;
        m_owner.context().transport.setPaused(m_exchange, true);
    }
}

void ProxiedRequest::onSendBufferEmpty()
{
    if (!m_paused)
        return;
    m_paused = false;
    m_owner.context().transport.setPaused(m_exchange, false);
}

void ProxiedRequest::onCallerDisconnected()
{
    m_caller = nullptr;
    switch (m_stage) {
    case Stage::Claiming:
        finish(errorResponseFor(ErrorKind::CallerGone).name);
        break;
    case Stage::Queued:
        cancelQueued(m_owner.context().scheduling, m_id);
        finish(errorResponseFor(ErrorKind::CallerGone).name);
        break;
    case Stage::Running:
        // A call that must not run twice goes on: ending its connection would leave its outcome unknown.
        if (!m_resolved.idempotent) {
            if (m_paused)
                onSendBufferEmpty();
            break;
        }
        dropExchange();
        if (m_resolved.kind == PoolKind::Model && m_sent)
            m_owner.cancelStream(m_address, m_attemptId);
        releaseSlot(false);
        finish(errorResponseFor(ErrorKind::CallerGone).name);
        break;
    case Stage::Ended:
        break;
    }
}

void ProxiedRequest::onEnd(const EndpointExchangeResult& end)
{
    m_exchange = 0;
    AttemptResult attempt { .isComplete = end.isComplete,
        .requestMayHaveBeenSent = end.requestMayHaveBeenSent || m_resuming,
        .httpStatus = m_head.status };
    if (m_relay == RelayMode::Events) {
        // A stream is whole with its end marker only, whatever the framing says.
        if (m_events.done()) {
            endStream();
            return;
        }
        attempt.isComplete = false;
        attemptFailed(end.isComplete ? ErrorKind::AnswerTruncated : end.error, attempt);
        return;
    }
    if (!end.isComplete) {
        attemptFailed(end.error, attempt);
        return;
    }
    if (m_relay == RelayMode::Passing) {
        endStream();
        return;
    }
    if (isRefusal(m_head)) {
        attempt.refusedBeforeRunning = true;
        attemptFailed(ErrorKind::EndpointRefused, attempt);
        return;
    }
    answerWhole();
}

void ProxiedRequest::answerWhole()
{
    reportOutcome(ExchangeOutcome::Completed);
    m_owner.contentCompleted(m_resolved.contentHash);
    endHop(false);
    RequestProxyContext& context = m_owner.context();
    Millis taken = context.clock.now() - m_acceptedAt;
    context.metrics.observe(Histogram::FirstByteSeconds, { m_resolved.pool.value }, taken.seconds());
    releaseSlot(true);
    m_finalStatus = RunStatus::Ran;
    if (m_caller)
        std::exchange(m_caller, nullptr)->sendResponse(callerHead(), m_body);
    finish("ok");
}

void ProxiedRequest::endStream()
{
    reportOutcome(ExchangeOutcome::Completed);
    m_owner.contentCompleted(m_resolved.contentHash);
    beginAnswer(); // A stream may be empty.
    endHop(false);
    releaseSlot(true);
    m_finalStatus = RunStatus::Ran;
    if (m_caller)
        std::exchange(m_caller, nullptr)->endStream();
    finish("ok");
}

void ProxiedRequest::endWithError(Error error, RunStatus status)
{
    std::string_view outcome = errorResponseFor(error.kind).name;
    m_span.failed = true;
    m_finalStatus = status;
    releaseSlot(false);
    if (CallerExchange* caller = std::exchange(m_caller, nullptr)) {
        CallerError answer { .error = std::move(error), .status = status, .id = m_id };
        if (!answerBegun()) {
            caller->sendResponse(errorHead(answer), errorBody(answer));
        } else if (m_relay == RelayMode::Events) {
            caller->sendChunk(errorEvent(answer));
            caller->endStream();
        } else {
            caller->abort();
        }
    }
    finish(outcome);
}

void ProxiedRequest::releaseSlot(bool completed)
{
    if (!std::exchange(m_slotHeld, false))
        return;
    RequestProxyContext& context = m_owner.context();
    double cost = costSoFar();
    if (completed && m_resolved.kind == PoolKind::Model) {
        const std::string& text = m_relay == RelayMode::Events ? m_events.usageData() : m_body;
        if (text.find("\"usage\"") != std::string::npos)
            cost = usageCost(text).value_or(cost);
    }
    recordFinish(context.scheduling, m_owner.view(), m_id, cost, completed, context.clock.now());
}

double ProxiedRequest::costSoFar() const
{
    if (m_resolved.kind == PoolKind::Model)
        return static_cast<double>(m_events.tokens());
    return m_sent ? serviceCost(m_request.body.size() + m_answerBytes) : 0.0;
}

void ProxiedRequest::reportOutcome(ExchangeOutcome outcome)
{
    RequestProxyContext& context = m_owner.context();
    onExchangeEnd(context.endpoints, m_endpoint, outcome, context.clock.now());
}

CallerResponseHead ProxiedRequest::callerHead() const
{
    CallerResponseHead head { .status = m_head.status };
    for (const auto& header : m_head.headers) {
        if (!isNonForwardedHeader(header.first) && !equalHeaderNames(header.first, "X-Request-Id"))
            head.headers.push_back(header);
    }
    head.headers.emplace_back("X-Request-Id", m_id.value);
    return head;
}

void ProxiedRequest::dropExchange()
{
    if (m_exchange != 0)
        m_owner.context().transport.cancel(std::exchange(m_exchange, 0));
}

void ProxiedRequest::finish(std::string_view outcome)
{
    settleClaim();
    m_stage = Stage::Ended;
    RequestProxyContext& context = m_owner.context();
    endHop(false);
    if (m_streamOpen)
        m_owner.streamClosed();
    context.metrics.add(Counter::Requests, { m_resolved.workspace.value, outcome });
    countTokens();
    context.metrics.observe(
        Histogram::TotalSeconds, { m_resolved.pool.value }, (context.clock.now() - m_acceptedAt).seconds());
    m_span.attributes.emplace_back("outcome", outcome);
    context.tracer.end(std::move(m_span));
    m_owner.finished(m_id);
    m_owner.workChanged();
}

void ProxiedRequest::countTokens()
{
    std::uint64_t added = m_events.tokens() - std::exchange(m_countedTokens, m_events.tokens());
    if (added > 0)
        m_owner.context().metrics.add(
            Counter::TokensRelayed, { m_resolved.workspace.value }, static_cast<double>(added));
}

void ProxiedRequest::startHop(std::string_view name)
{
    endHop(false);
    m_hop = m_owner.context().tracer.start(name, &m_span.context);
    if (!m_endpoint.empty())
        m_hop->attributes.emplace_back("endpoint", m_endpoint.value);
}

void ProxiedRequest::endHop(bool failed)
{
    if (!m_hop)
        return;
    m_hop->failed = failed;
    m_owner.context().tracer.end(std::move(*m_hop));
    m_hop.reset();
}

}
