#include "daemon/ProxiedRequest.h"

#include "net/EventCallback.h"
#include "net/HttpResponseParser.h"
#include "observe/Logging.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // Number of tokens of a running stream after which its cost is updated in the scheduler. That is exact enough for
    // scheduling and avoids a lookup of the request for each token.
    constexpr std::uint64_t tokensPerCharge = 16;

    bool isSuccess(int status) noexcept { return status >= 200 && status < 300; }

    bool isEventStream(const HttpResponseHead& head) noexcept
    {
        return isEventStreamType(findHeader(head.headers, "Content-Type"));
    }

    // The end of such a response may as well be the end of its endpoint.
    bool endsWithConnection(const HttpResponseHead& head) noexcept
    {
        return findHeader(head.headers, "Content-Length").empty()
            && findHeader(head.headers, "Transfer-Encoding").empty();
    }

    // Whether the endpoint states that it has not started to run the request.
    bool isRefusal(const HttpResponseHead& head) noexcept
    {
        return (head.status == 429 || head.status == 503) && findHeader(head.headers, "X-Not-Run") == "1";
    }

    // Whether a caller's header is not copied into the request to the endpoint, because it is meant for the daemon or
    // the daemon sets its own value.
    bool isReplacedHeader(std::string_view name) noexcept
    {
        return equalIgnoringAsciiCase(name, "Authorization") || equalIgnoringAsciiCase(name, "X-Request-Id")
            || equalIgnoringAsciiCase(name, "traceparent") || equalIgnoringAsciiCase(name, "X-Deadline-Ms")
            || equalIgnoringAsciiCase(name, "X-Cost-Hint") || equalIgnoringAsciiCase(name, "X-Workspace");
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
    m_deadline = m_acceptedAt + m_resolved.timeout.value_or(context.configuration().limits.defaultDeadline);
    auto parent = parseTraceparent(m_request.header("traceparent"));
    m_requestSpan = context.tracer.start("accept", parent ? &*parent : nullptr);
    m_requestSpan.attributes = { { "request.id", m_id.value }, { "workspace", m_resolved.workspace.value },
        { "pool", m_resolved.pool.value } };
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
                         .message = "endpoints were lost while they ran this request; it is quarantined temporarily" },
            runStatus(m_attemptHistory));
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
        .triedEndpoints = m_triedEndpoints,
    };
    startStepSpan("queue");
    auto accepted = jasminestack::enqueue(context.scheduling, m_owner.schedulingView(), std::move(queued), now);
    if (!accepted) {
        refuse(accepted.error());
        return;
    }
    m_owner.dispatchNeeded();
}

void ProxiedRequest::onAssigned(const EndpointState& endpoint)
{
    m_hasSlot = true;
    endStepSpan(false);
    RequestProxyContext& context = m_owner.context();
    if (m_exchangeCount == 0)
        context.metrics.observe(
            Histogram::QueueSeconds, { m_resolved.pool.value }, (context.clock.now() - m_acceptedAt).seconds());
    m_stage = Stage::Running;
    m_endpoint = endpoint.id;
    m_endpointAddress = endpoint.address;
    startExchange(false);
}

void ProxiedRequest::refuse(Error error) { endWithError(std::move(error), runStatus(m_attemptHistory)); }

void ProxiedRequest::checkDeadline(Millis now)
{
    if (m_stage != Stage::Running || hasResponseBegun() || !m_caller || now < m_deadline)
        return;
    cancelExchange();
    recordAttempt(m_attemptHistory, { .requestMayHaveBeenSent = m_hasSentRequest });
    if (m_resolved.kind == PoolKind::Model && m_hasSentRequest)
        m_owner.cancelStream(m_endpointAddress, m_attemptId);
    endWithError(
        { .kind = ErrorKind::DeadlineExceeded, .message = "the endpoint did not begin its response by the deadline" },
        runStatus(m_attemptHistory));
}

void ProxiedRequest::startExchange(bool isResumption)
{
    RequestProxyContext& context = m_owner.context();
    ++m_exchangeCount;
    m_isResuming = isResumption;
    m_hasSentRequest = isResumption;
    m_isPaused = false;
    if (!isResumption) {
        // Each attempt has a separate id, so that a late response to an earlier attempt is not attributed to this one.
        m_attemptId = m_exchangeCount == 1 ? m_id.value : m_id.value + "." + std::to_string(m_exchangeCount);
        m_relayMode = RelayMode::Undecided;
        m_bufferedBody.clear();
        m_responseBytes = 0;
    }
    startStepSpan("connect");
    m_exchange = context.transport.start(buildRequest(isResumption), *this);
}

EndpointRequest ProxiedRequest::buildRequest(bool isResumption) const
{
    RequestProxyContext& context = m_owner.context();
    const RequestProxyOptions& options = m_owner.options();
    EndpointRequest request {
        .id = RequestId { m_attemptId },
        .address = m_endpointAddress,
        .connectTimeout = options.connectTimeout,
        .firstByteTimeout = options.firstByteTimeout,
        .responseIdleTimeout = options.responseIdleTimeout,
    };
    const Span& parentSpan = m_stepSpan ? *m_stepSpan : m_requestSpan;
    request.headers.emplace_back("X-Request-Id", m_attemptId);
    request.correlationHeader = "X-Request-Id";
    request.correlationValue = m_attemptId;
    request.headers.emplace_back("X-Workspace", m_resolved.workspace.value);
    request.headers.emplace_back("traceparent", formatTraceparent(parentSpan.context));
    if (isResumption) {
        request.method = "GET";
        request.target = "/v1/streams/" + m_attemptId + "?from=" + std::to_string(m_sseScanner.nextIndex());
        request.requiresFreshConnection = true;
        return request;
    }
    request.method = m_request.method;
    request.target = m_request.target;
    request.requiresFreshConnection = !m_resolved.isIdempotent;
    for (const auto& header : m_request.headers) {
        if (!isNonForwardedHeader(header.first) && !isReplacedHeader(header.first))
            request.headers.push_back(header);
    }
    auto millisLeft = std::max<std::int64_t>(1, (m_deadline - context.clock.now()).count);
    request.headers.emplace_back("X-Deadline-Ms", std::to_string(millisLeft));
    request.body = m_request.body;
    return request;
}

void ProxiedRequest::onConnected()
{
    m_hasSentRequest = true;
    endStepSpan(false);
    startStepSpan("endpoint");
}

void ProxiedRequest::onLateResponse(const LateResponse& response)
{
    std::string_view framing = response.endsWithConnection ? "connection" : "length";
    m_owner.context().metrics.add(Counter::LateAnswers, { m_resolved.pool.value, framing });
    logEvent(LogLevel::Warning, "late_answer",
        { { "request", m_id.value }, { "endpoint", m_endpoint.value }, { "answer_to", response.correlationValue },
            { "status", response.status }, { "framing", framing } });
}

void ProxiedRequest::onHead(const HttpResponseHead& head)
{
    if (findHeader(head.headers, "X-Request-Id") != m_attemptId) {
        cancelExchange();
        handleFailedAttempt(ErrorKind::AnswerMismatch, { .requestMayHaveBeenSent = true, .httpStatus = head.status });
        return;
    }
    m_endsWithConnection = endsWithConnection(head);
    if (m_isResuming) {
        if (!isSuccess(head.status) || !isEventStream(head)) {
            // The engine no longer has the stream.
            cancelExchange();
            m_isResumable = false;
            handleFailedAttempt(
                ErrorKind::AnswerTruncated, { .requestMayHaveBeenSent = true, .httpStatus = head.status });
        }
        return;
    }
    if (m_resolved.isStreaming && isSuccess(head.status) && !isEventStream(head)) {
        // Nothing could check that the body is what the engine generated.
        cancelExchange();
        handleFailedAttempt(ErrorKind::AnswerMismatch, { .requestMayHaveBeenSent = true, .httpStatus = head.status });
        return;
    }
    m_responseHead = head;
    if (!isEventStream(head) || !isSuccess(head.status))
        m_relayMode = RelayMode::Buffered;
    else if (m_resolved.kind == PoolKind::Model)
        m_relayMode = RelayMode::Events;
    else
        m_relayMode = RelayMode::PassThrough;
}

void ProxiedRequest::onBody(std::string_view chunk)
{
    m_responseBytes += chunk.size();
    switch (m_relayMode) {
    case RelayMode::Undecided:
        break;
    case RelayMode::Events:
        relayEvents(chunk);
        break;
    case RelayMode::PassThrough:
        relayPassThrough(chunk);
        break;
    case RelayMode::Buffered:
        m_bufferedBody.append(chunk);
        if (m_bufferedBody.size() > m_owner.options().maxBufferedResponseBytes) {
            m_relayMode = RelayMode::PassThrough;
            std::string bufferedBody = std::exchange(m_bufferedBody, {});
            relayPassThrough(bufferedBody);
        }
        break;
    }
}

void ProxiedRequest::relayEvents(std::string_view chunk)
{
    std::string_view completeEvents = m_sseScanner.feed(chunk);
    if (!completeEvents.empty()) {
        beginResponse();
        sendToCaller(completeEvents);
    }
    if (m_sseScanner.violation() != EventViolation::None && m_stage == Stage::Running) {
        cancelExchange();
        handleSpoiltEvent();
        return;
    }
    if (m_sseScanner.tokenCount() >= m_chargedTokens + tokensPerCharge) {
        m_chargedTokens = m_sseScanner.tokenCount();
        recordProgress(m_owner.context().scheduling, m_id, costSoFar());
        recordRelayedTokens();
    }
}

void ProxiedRequest::handleSpoiltEvent()
{
    EventViolation violation = m_sseScanner.violation();
    logMalformedAnswer(toString(violation), m_sseScanner.violatingBytes());
    // The engine would send such an event again.
    if (violation == EventViolation::TooLong)
        m_isResumable = false;
    handleFailedAttempt(
        ErrorKind::AnswerMalformed, { .requestMayHaveBeenSent = true, .httpStatus = m_responseHead.status });
}

void ProxiedRequest::logMalformedAnswer(std::string_view malformedPart, std::size_t eventBytes) const
{
    m_owner.context().metrics.add(Counter::MalformedAnswers, { m_resolved.pool.value, malformedPart });
    logEvent(LogLevel::Warning, "answer_malformed",
        { { "request", m_id.value }, { "endpoint", m_endpoint.value }, { "part", malformedPart },
            { "status", m_responseHead.status }, { "events", m_sseScanner.tokenCount() },
            { "last_event", static_cast<std::int64_t>(m_sseScanner.nextIndex()) - 1 }, { "event_bytes", eventBytes } });
}

void ProxiedRequest::relayPassThrough(std::string_view chunk)
{
    beginResponse();
    sendToCaller(chunk);
}

void ProxiedRequest::beginResponse()
{
    if (m_hasResponseBegun)
        return;
    m_hasResponseBegun = true;
    endStepSpan(false);
    startStepSpan("relay");
    RequestProxyContext& context = m_owner.context();
    context.metrics.observe(
        Histogram::FirstByteSeconds, { m_resolved.pool.value }, (context.clock.now() - m_acceptedAt).seconds());
    if (m_caller)
        m_caller->startStream(callerHead());
    m_isStreamOpen = true;
    m_owner.streamOpened();
}

void ProxiedRequest::sendToCaller(std::string_view bytes)
{
    if (!m_caller)
        return;
    m_caller->sendChunk(bytes);
    if (!m_isPaused && m_caller->bufferedBytes() > m_owner.options().maxSendBufferBytes) {
        m_isPaused = true;
        m_owner.context().transport.setPaused(m_exchange, true);
    }
}

void ProxiedRequest::onSendBufferEmpty()
{
    if (!m_isPaused)
        return;
    m_isPaused = false;
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
        // A non-idempotent call continues: closing the connection to the endpoint would leave the outcome unknown.
        if (!m_resolved.isIdempotent) {
            // Without a caller no send buffer becomes empty, so reading from the endpoint is resumed here.
            if (m_isPaused)
                onSendBufferEmpty();
            break;
        }
        cancelExchange();
        if (m_resolved.kind == PoolKind::Model && m_hasSentRequest)
            m_owner.cancelStream(m_endpointAddress, m_attemptId);
        releaseSlot(false);
        finish(errorResponseFor(ErrorKind::CallerGone).name);
        break;
    case Stage::Ended:
        break;
    }
}

void ProxiedRequest::onEnd(const EndpointExchangeResult& exchangeResult)
{
    m_exchange = 0;
    // The exchange no longer exists, so nobody would end the request later.
    runGuarded(
        "request_exchange_end", [&] { handleEnd(exchangeResult); },
        [&] {
            m_hasSentRequest = m_hasSentRequest || exchangeResult.requestMayHaveBeenSent;
            endAfterException();
        });
}

void ProxiedRequest::handleEnd(const EndpointExchangeResult& exchangeResult)
{
    if (exchangeResult.error == ErrorKind::AnswerMalformed)
        logMalformedAnswer(exchangeResult.malformedPart);
    AttemptResult attempt { .isComplete = exchangeResult.isComplete,
        .requestMayHaveBeenSent = exchangeResult.requestMayHaveBeenSent || m_isResuming,
        .httpStatus = m_responseHead.status };
    if (!exchangeResult.isComplete && exchangeResult.error == ErrorKind::Internal) {
        m_hasSentRequest = m_hasSentRequest || exchangeResult.requestMayHaveBeenSent;
        endAfterException();
        return;
    }
    if (m_relayMode == RelayMode::Events) {
        // A model stream is complete only with its end marker, even if the HTTP framing is complete.
        if (m_sseScanner.isDone()) {
            completeStream();
            return;
        }
        m_sseScanner.endAnswer();
        bool endsInsideEvent = m_sseScanner.violation() != EventViolation::None;
        if (exchangeResult.isComplete && endsInsideEvent && !m_endsWithConnection) {
            handleSpoiltEvent();
            return;
        }
        attempt.isComplete = false;
        handleFailedAttempt(exchangeResult.isComplete ? ErrorKind::AnswerTruncated : exchangeResult.error, attempt);
        return;
    }
    if (!exchangeResult.isComplete) {
        handleFailedAttempt(exchangeResult.error, attempt);
        return;
    }
    if (m_relayMode == RelayMode::Undecided) {
        // There is no answer to relay; the transport should have reported a failure.
        attempt.isComplete = false;
        handleFailedAttempt(ErrorKind::AnswerMismatch, attempt);
        return;
    }
    if (m_relayMode == RelayMode::PassThrough) {
        completeStream();
        return;
    }
    if (isRefusal(m_responseHead)) {
        attempt.refusedBeforeRunning = true;
        handleFailedAttempt(ErrorKind::EndpointRefused, attempt);
        return;
    }
    sendBufferedResponse();
}

void ProxiedRequest::endAfterException()
{
    if (m_stage == Stage::Ended)
        return;
    cancelExchange();
    RunStatus status = RunStatus::Unknown;
    runGuarded("request_history", [&] {
        recordAttempt(m_attemptHistory, { .requestMayHaveBeenSent = m_hasSentRequest });
        status = runStatus(m_attemptHistory);
    });
    endWithError({ .kind = ErrorKind::Internal, .message = "a callback of the request failed" }, status);
}

void ProxiedRequest::sendBufferedResponse()
{
    updateEndpointHealth(EndpointAttemptOutcome::Completed);
    m_owner.clearCrashSuspect(m_resolved.contentHash);
    endStepSpan(false);
    RequestProxyContext& context = m_owner.context();
    Millis elapsed = context.clock.now() - m_acceptedAt;
    context.metrics.observe(Histogram::FirstByteSeconds, { m_resolved.pool.value }, elapsed.seconds());
    releaseSlot(true);
    m_finalRunStatus = RunStatus::Ran;
    if (m_caller) {
        CallerResponseHead head = callerHead();
        std::exchange(m_caller, nullptr)->sendResponse(head, m_bufferedBody);
    }
    finish("ok");
}

void ProxiedRequest::completeStream()
{
    updateEndpointHealth(EndpointAttemptOutcome::Completed);
    m_owner.clearCrashSuspect(m_resolved.contentHash);
    beginResponse(); // If the stream was empty, the response head has not been sent yet.
    endStepSpan(false);
    releaseSlot(true);
    m_finalRunStatus = RunStatus::Ran;
    if (m_caller)
        std::exchange(m_caller, nullptr)->endStream();
    finish("ok");
}

void ProxiedRequest::endWithError(Error error, RunStatus status)
{
    std::string_view outcome = errorResponseFor(error.kind).name;
    m_requestSpan.failed = true;
    m_finalRunStatus = status;
    runGuarded("request_slot", [this] { releaseSlot(false); });
    runGuarded(
        "request_error", [&] { sendError({ .error = std::move(error), .runStatus = status, .id = m_id }); },
        [this] {
            if (m_caller)
                std::exchange(m_caller, nullptr)->abort();
        });
    finish(outcome);
}

void ProxiedRequest::sendError(const CallerError& callerError)
{
    if (!m_caller)
        return;
    if (!hasResponseBegun()) {
        CallerResponseHead head = errorHead(callerError);
        std::string body = errorBody(callerError);
        std::exchange(m_caller, nullptr)->sendResponse(head, body);
    } else if (m_relayMode == RelayMode::Events) {
        m_caller->sendChunk(errorEvent(callerError));
        std::exchange(m_caller, nullptr)->endStream();
    } else {
        std::exchange(m_caller, nullptr)->abort();
    }
}

void ProxiedRequest::releaseSlot(bool completed)
{
    if (!std::exchange(m_hasSlot, false))
        return;
    RequestProxyContext& context = m_owner.context();
    double cost = costSoFar();
    if (completed && m_resolved.kind == PoolKind::Model) {
        const std::string& text = m_relayMode == RelayMode::Events ? m_sseScanner.lastUsageData() : m_bufferedBody;
        if (text.find("\"usage\"") != std::string::npos)
            cost = costFromUsage(text).value_or(cost);
    }
    recordFinish(context.scheduling, m_owner.schedulingView(), m_id, cost, completed, context.clock.now());
}

double ProxiedRequest::costSoFar() const
{
    if (m_resolved.kind == PoolKind::Model)
        return static_cast<double>(m_sseScanner.tokenCount());
    return m_hasSentRequest ? serviceCost(m_request.body.size() + m_responseBytes) : 0.0;
}

void ProxiedRequest::updateEndpointHealth(EndpointAttemptOutcome outcome)
{
    RequestProxyContext& context = m_owner.context();
    onEndpointAttemptEnd(context.endpoints, m_endpoint, outcome, context.clock.now());
}

CallerResponseHead ProxiedRequest::callerHead() const
{
    CallerResponseHead head { .status = m_responseHead.status };
    for (const auto& header : m_responseHead.headers) {
        if (!isNonForwardedHeader(header.first) && !equalIgnoringAsciiCase(header.first, "X-Request-Id"))
            head.headers.push_back(header);
    }
    head.headers.emplace_back("X-Request-Id", m_id.value);
    return head;
}

void ProxiedRequest::cancelExchange()
{
    if (m_exchange != 0)
        m_owner.context().transport.cancel(std::exchange(m_exchange, 0));
}

void ProxiedRequest::finish(std::string_view outcome)
{
    // Each step is guarded: a request that stayed in the table would keep a planned stop from ending.
    runGuarded("request_claim", [this] { finishClaim(); });
    m_stage = Stage::Ended;
    if (m_isStreamOpen)
        m_owner.streamClosed();
    runGuarded("request_metrics", [&] { recordOutcome(outcome); });
    m_owner.requestFinished(m_id);
    m_owner.dispatchNeeded();
}

void ProxiedRequest::recordOutcome(std::string_view outcome)
{
    RequestProxyContext& context = m_owner.context();
    endStepSpan(false);
    context.metrics.add(Counter::Requests, { m_resolved.workspace.value, outcome });
    recordRelayedTokens();
    context.metrics.observe(
        Histogram::TotalSeconds, { m_resolved.pool.value }, (context.clock.now() - m_acceptedAt).seconds());
    m_requestSpan.attributes.emplace_back("outcome", outcome);
    context.tracer.end(std::move(m_requestSpan));
}

void ProxiedRequest::recordRelayedTokens()
{
    std::uint64_t newTokens = m_sseScanner.tokenCount() - std::exchange(m_meteredTokens, m_sseScanner.tokenCount());
    if (newTokens > 0)
        m_owner.context().metrics.add(
            Counter::TokensRelayed, { m_resolved.workspace.value }, static_cast<double>(newTokens));
}

void ProxiedRequest::startStepSpan(std::string_view name)
{
    endStepSpan(false);
    m_stepSpan = m_owner.context().tracer.start(name, &m_requestSpan.context);
    if (!m_endpoint.empty())
        m_stepSpan->attributes.emplace_back("endpoint", m_endpoint.value);
}

void ProxiedRequest::endStepSpan(bool failed)
{
    if (!m_stepSpan)
        return;
    m_stepSpan->failed = failed;
    m_owner.context().tracer.end(std::move(*m_stepSpan));
    m_stepSpan.reset();
}

}
