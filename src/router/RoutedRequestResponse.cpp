#include "net/HttpResponseParser.h"
#include "observe/Logging.h"
#include "router/RoutedRequest.h"

#include <cmath>
#include <event2/event.h>

namespace jasminestack {

namespace {

    bool isSuccess(int status) noexcept { return status >= 200 && status < 300; }

    bool isServerError(int status) noexcept { return status >= 500; }

    // Statuses that promise that the request has not run.
    bool promisesNotRun(int status) noexcept
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool isEventStream(const HttpResponseHead& head) noexcept
    {
        return findHeader(head.headers, "Content-Type").starts_with("text/event-stream");
    }

}

void RoutedRequest::onHead(const HttpResponseHead& head)
{
    m_lastProgress = now();
    ResponseMetadata facts = m_owner.context().protocol.inspect(head);
    EndpointExchangeResult broken {
        .requestMayHaveBeenSent = true, .responseStarted = true, .error = ErrorKind::AnswerMismatch
    };
    if (!facts.echoedRequestId.empty() && facts.echoedRequestId != m_facts.id) {
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
        noteFirstByte();
}

void RoutedRequest::noteFirstByte()
{
    if (m_placement.firstByteReceived)
        return;
    RequestRouterContext& context = m_owner.context();
    context.board.attemptReports.push_back(firstByteReport(m_placement, now()));
    recordFirstByte(context.board.fleetView, m_placement, now());
    context.boardChanged();
    context.queue.roomChanged();
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
    noteFirstByte();
    std::string_view ready = m_events.feed(chunk);
    if (!ready.empty()) {
        beginAnswer();
        sendToCaller(ready);
    }
    if (m_events.broken() && m_stage == Stage::Running) {
        dropExchange();
        attemptFailed(ErrorKind::AnswerTruncated,
            { .requestMayHaveBeenSent = true, .responseStarted = true, .error = ErrorKind::AnswerTruncated },
            "events_out_of_order");
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

void RoutedRequest::onSendBufferEmpty()
{
    if (!std::exchange(m_paused, false))
        return;
    m_lastProgress = now();
    m_owner.context().transport.setPaused(m_exchange, false);
}

void RoutedRequest::onCallerDisconnected()
{
    m_caller = nullptr;
    if (m_stage == Stage::Ended)
        return;
    bool sent = m_exchange != 0;
    // A request that must not run twice goes on: closing its connection would leave its outcome unknown.
    if (sent && m_route.kind == RequestKind::NonIdempotent) {
        onSendBufferEmpty();
        return;
    }
    dropExchange();
    attemptEnded(AttemptOutcome::Cancelled);
    finish("caller_gone");
}

void RoutedRequest::onEnd(const EndpointExchangeResult& end)
{
    m_exchange = 0;
    if (m_relay == Relay::Refusal) {
        attemptRefused();
        return;
    }
    if (!end.isComplete) {
        attemptFailed(end.error, end, errorResponseFor(end.error).name);
        return;
    }
    if (m_relay == Relay::Events) {
        finishStream();
        return;
    }
    if (m_relay == Relay::Passing) {
        attemptEnded(AttemptOutcome::Answered);
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
    attemptEnded(AttemptOutcome::Answered);
    if (auto mark = onContentCompleted(m_owner.context().board.crashes, m_query.contentHash))
        m_owner.context().board.crashMarks.push_back(*mark);
    if (m_caller)
        std::exchange(m_caller, nullptr)->endStream();
    finish("ok");
}

void RoutedRequest::answerWhole()
{
    m_mayHaveRun = true;
    if (isServerError(m_head.status)) {
        attemptEnded(AttemptOutcome::Failed);
        // A status that promises "not run" is not passed on when the endpoint has not said so itself.
        if (!promisesNotRun(m_head.status)) {
            m_failedHead = headForCaller(m_head);
            m_failedBody = std::move(m_body);
        }
        if (takeRepeat()) {
            tryElsewhere("endpoint_error");
            return;
        }
    } else {
        attemptEnded(AttemptOutcome::Answered);
    }
    if (promisesNotRun(m_head.status)) {
        giveUp("ambiguous_refusal");
        return;
    }
    if (auto mark = onContentCompleted(m_owner.context().board.crashes, m_query.contentHash))
        m_owner.context().board.crashMarks.push_back(*mark);
    m_firstByteAt = now();
    m_status = m_head.status;
    bool failed = isServerError(m_status);
    if (m_caller)
        std::exchange(m_caller, nullptr)->sendResponse(headForCaller(m_head), failed ? m_failedBody : m_body);
    finish(failed ? "endpoint_error" : "ok");
}

void RoutedRequest::endWith(const Failure& failure)
{
    m_status = m_mayHaveRun ? errorResponseFor(failure.kind).httpStatus : 503;
    logEvent(LogLevel::Warning, "request_failed",
        { { "request", m_facts.id }, { "workspace", m_workspace.value }, { "route", m_route.name },
            { "pool", m_pool.value }, { "cause", failure.cause }, { "status", m_status },
            { "may_have_run", m_mayHaveRun ? 1 : 0 }, { "placed_by", m_placedBy },
            { "endpoint", m_placement.endpoint.value }, { "sends", m_sends },
            { "predicted_ms", std::isfinite(m_predicted) ? static_cast<std::int64_t>(m_predicted) : -1 },
            { "age_ms", (now() - m_request.arrivedAt).count }, { "left_ms", timeLeft().count },
            { "pressure", fairShareRatio(m_owner.context().board.shares, m_query.workspace) },
            { "returning", m_returning ? 1 : 0 }, { "events", m_events.events() },
            { "configuration", m_table->version }, { "retry_after_ms", failure.retryAfter.count } });
    if (CallerExchange* caller = std::exchange(m_caller, nullptr)) {
        if (m_answerBegun) {
            caller->abort();
        } else {
            CallerResponseHead head { .status = m_status, .headers = { { "Content-Type", "application/json" } } };
            if (!m_mayHaveRun)
                head.headers.emplace_back("Retry-After", formatSeconds(failure.retryAfter));
            caller->sendResponse(head,
                R"({"error":{"kind":")" + std::string(errorResponseFor(failure.kind).name) + R"(","cause":")"
                    + std::string(failure.cause) + R"(","run_status":")"
                    + std::string(toString(m_mayHaveRun ? RunStatus::Unknown : RunStatus::NotRun)) + "\"}}\n");
        }
    }
    finish(failure.cause);
}

void RoutedRequest::finish(std::string_view outcome)
{
    stopPlacing();
    m_stage = Stage::Ended;
    evtimer_del(m_timer.get());
    RequestRouterContext& context = m_owner.context();
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
            { "ahead", static_cast<std::int64_t>(m_placement.backlogTokens) }, { "unread", m_placement.prefillTokens },
            { "prompt", m_facts.promptTokens }, { "first_ms", firstByte }, { "total_ms", total.count },
            { "events", m_events.events() }, { "returning", m_returning ? 1 : 0 }, { "placed_by", m_placedBy },
            { "objective_ms", m_route.latencyObjective.count },
            { "caller_ms", m_facts.timeLeft.value_or(Millis {}).count }, { "configuration", m_table->version } });
    m_owner.finished(*this);
}

void RoutedRequest::dropExchange()
{
    if (m_exchange != 0)
        m_owner.context().transport.cancel(std::exchange(m_exchange, 0));
}

CallerResponseHead RoutedRequest::headForCaller(const HttpResponseHead& endpoint)
{
    CallerResponseHead head { .status = endpoint.status };
    for (const auto& header : endpoint.headers) {
        if (!isNonForwardedHeader(header.first))
            head.headers.push_back(header);
    }
    return head;
}

}
