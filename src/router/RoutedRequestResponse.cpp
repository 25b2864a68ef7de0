#include "net/HttpResponseParser.h"
#include "observe/Logging.h"
#include "router/RoutedRequest.h"

#include <algorithm>
#include <cmath>
#include <event2/event.h>

namespace jasminestack {

namespace {

    bool isSuccess(int status) noexcept { return status >= 200 && status < 300; }

    // The body of a refusal is not used; a longer one is not read to its end.
    constexpr std::size_t maxRefusalBytes = 64U << 10U;

    // Of a response whose body no caller gets. A longer one may have no end, and its status has told the outcome.
    constexpr std::size_t maxUnheardBytes = 1U << 20U;

    // A buffer of this size is always had, so that the ordinary answers of many requests are not affected by long ones.
    constexpr std::size_t uncountedBufferBytes = 8U << 10U;

    bool isServerError(int status) noexcept { return status >= 500; }

    // Statuses by which callers conclude that the request has not run.
    bool impliesNotRun(int status) noexcept { return status == 408 || status == 421 || status == 429 || status == 503; }

    // A stream whose events have arrived for this long is not the cause if its endpoint is lost.
    constexpr Millis soundAnswerTime { 1'000 };

    // The end of such a response may as well be the end of its endpoint.
    bool endsWithConnection(const HttpResponseHead& head) noexcept
    {
        return findHeader(head.headers, "Content-Length").empty()
            && findHeader(head.headers, "Transfer-Encoding").empty();
    }

    bool isEventStream(const HttpResponseHead& head) noexcept
    {
        return isEventStreamType(findHeader(head.headers, "Content-Type"));
    }

}

void RoutedRequest::handleHead(const HttpResponseHead& head)
{
    m_lastProgress = now();
    ResponseMetadata responseMetadata = m_owner.context().protocol.decodeResponse(head);
    EndpointExchangeResult unusableHeadResult {
        .requestMayHaveBeenSent = true, .responseStarted = true, .error = ErrorKind::AnswerMismatch
    };
    bool isForeign = !responseMetadata.echoedRequestId.empty() && responseMetadata.echoedRequestId != m_metadata.id;
    if (isForeign || head.isUncorrelated) {
        cancelExchange();
        handleAttemptFailure(
            ErrorKind::AnswerMismatch, unusableHeadResult, isForeign ? "foreign_answer" : "uncorrelated_answer");
        return;
    }
    m_responseHead = head;
    takeEndpointNotice(responseMetadata);
    if (responseMetadata.isNotExecuted && !isSuccess(head.status)) {
        m_relayMode = RelayMode::Refusal;
        armTimer();
        return;
    }
    if (isSuccess(head.status) && (!responseMetadata.isSigned || responseMetadata.isEncoded)) {
        cancelExchange();
        handleAttemptFailure(ErrorKind::AnswerMismatch, unusableHeadResult,
            responseMetadata.isEncoded ? "encoded_answer" : "unsigned_answer");
        return;
    }
    bool isStreamAnswer = m_route.kind == RequestKind::Stream && m_request.method != "HEAD";
    bool isEventRelay = isStreamAnswer && isSuccess(head.status);
    if (isStreamAnswer && isEventRelay != isEventStream(head)) {
        cancelExchange();
        handleAttemptFailure(ErrorKind::AnswerMismatch, unusableHeadResult,
            isEventRelay ? "no_event_stream" : "event_stream_with_error");
        return;
    }
    if (m_hasResponseBegun && !isEventRelay) {
        cancelExchange();
        handleAttemptFailure(ErrorKind::AnswerMismatch, unusableHeadResult, "resume_rejected");
        return;
    }
    m_relayMode = isEventRelay ? RelayMode::Events : RelayMode::Buffered;
    if (!isEventRelay)
        reportFirstByte();
}

void RoutedRequest::takeEndpointNotice(const ResponseMetadata& response)
{
    if (!response.isLeaving && response.requestedPause == Millis {})
        return;
    if (!recordEndpointNotice(m_owner.context().board.fleetView, m_placement.instanceId, response.isLeaving,
            response.requestedPause, now()))
        return;
    logEvent(LogLevel::Info, "endpoint_notice",
        { { "endpoint", m_placement.endpoint.value }, { "request", m_metadata.id },
            { "leaving", response.isLeaving ? 1 : 0 }, { "pause_ms", response.requestedPause.count } });
    m_owner.onEndpointNotice();
}

void RoutedRequest::reportFirstByte()
{
    if (m_placement.firstByteReceived)
        return;
    RequestRouterContext& context = m_owner.context();
    context.board.attemptReports.push_back(firstByteReport(m_placement, now()));
    recordFirstByte(context.board.fleetView, m_placement, now());
    context.onLoadChanged();
    context.queue.onCapacityChanged();
}

void RoutedRequest::handleBody(std::string_view chunk)
{
    if (m_relayMode != RelayMode::Events && m_relayMode != RelayMode::Refusal)
        m_lastProgress = now();
    bool isHeard = m_caller || m_relayMode == RelayMode::AwaitingHead || m_relayMode == RelayMode::Refusal;
    if (!isHeard) {
        discardBody(chunk.size());
        return;
    }
    switch (m_relayMode) {
    case RelayMode::AwaitingHead:
        break;
    case RelayMode::Refusal:
        m_refusalBytes += chunk.size();
        if (m_refusalBytes > maxRefusalBytes)
            abandonRefusalBody();
        break;
    case RelayMode::Events:
        relayEvents(chunk);
        break;
    case RelayMode::PassThrough:
        sendToCaller(chunk);
        break;
    case RelayMode::Buffered:
        bufferBody(chunk);
        break;
    }
}

void RoutedRequest::discardBody(std::size_t bytes)
{
    m_unheardBytes += bytes;
    if (m_unheardBytes <= maxUnheardBytes)
        return;
    cancelExchange();
    recordAttemptEnd(AttemptOutcome::Cancelled);
    finish("caller_gone");
}

void RoutedRequest::bufferBody(std::string_view chunk)
{
    // The caller does not get a body whose status would tell it that the request has not run.
    if (impliesNotRun(m_responseHead.status)) {
        m_refusalBytes += chunk.size();
        if (m_refusalBytes > maxUnheardBytes) {
            cancelExchange();
            finishBuffered();
        }
        return;
    }
    std::size_t maxBytes = m_owner.options().maxBufferedResponseBytes;
    std::size_t size = m_responseBody.size() + chunk.size();
    // The string would double its memory beyond the limit.
    std::size_t capacity = std::max(size, std::min(2 * size, maxBytes));
    bool hasRoom = size <= maxBytes && (size <= m_responseBody.capacity() || reserveBuffer(capacity));
    if (!hasRoom) {
        m_relayMode = RelayMode::PassThrough;
        beginResponse();
        sendToCaller(m_responseBody);
        sendToCaller(chunk);
        releaseBody();
        return;
    }
    if (size > m_responseBody.capacity()) {
        std::string grown;
        grown.reserve(capacity);
        m_responseBody = std::move(grown.append(m_responseBody));
    }
    m_responseBody.append(chunk);
}

bool RoutedRequest::reserveBuffer(std::size_t bytes)
{
    std::size_t total = m_errorBody.size() + bytes;
    if (total <= uncountedBufferBytes)
        total = 0;
    m_bufferReservation.shrinkTo(total);
    return m_bufferReservation.growTo(total, m_owner.options().maxTotalBufferedBytes);
}

void RoutedRequest::releaseBody()
{
    static_cast<void>(std::exchange(m_responseBody, {}));
    static_cast<void>(reserveBuffer(0));
}

void RoutedRequest::relayEvents(std::string_view chunk)
{
    std::uint64_t eventsBefore = m_splitter.eventCount();
    std::string_view completeEvents = m_splitter.feed(chunk);
    // Bytes without a complete event, or comments, do not keep a stalled stream alive.
    if (m_splitter.eventCount() != eventsBefore) {
        Millis sincePrevious = now() - std::exchange(m_lastProgress, now());
        reportFirstByte();
        recordEvents(m_owner.context().board.fleetView, m_placement, m_splitter.eventCount() - eventsBefore,
            sincePrevious, now());
        if (m_firstEventAt == Millis {})
            m_firstEventAt = now();
        else if (now() - m_firstEventAt >= soundAnswerTime)
            recordSoundAnswer();
    }
    if (!completeEvents.empty()) {
        beginResponse();
        sendToCaller(completeEvents);
    }
    if (m_stage != Stage::InFlight)
        return;
    if (m_splitter.violation() != EventViolation::None) {
        cancelExchange();
        handleMalformedEvent();
        return;
    }
    m_splitter.compact();
    if (!reserveBuffer(m_splitter.bufferCapacity())) {
        cancelExchange();
        handleAttemptFailure(ErrorKind::RouterOverloaded, { .requestMayHaveBeenSent = true, .responseStarted = true },
            "no_memory_for_event");
    }
}

void RoutedRequest::handleMalformedEvent()
{
    std::string_view violation = toString(m_splitter.violation());
    logMalformedAnswer(violation, m_splitter.violatingBytes());
    handleAttemptFailure(ErrorKind::AnswerMalformed,
        { .requestMayHaveBeenSent = true, .responseStarted = true, .error = ErrorKind::AnswerMalformed }, violation);
}

void RoutedRequest::beginResponse()
{
    if (std::exchange(m_hasResponseBegun, true))
        return;
    m_firstByteAt = now();
    m_status = m_responseHead.status;
    if (m_caller)
        m_caller->startStream(headForCaller(m_responseHead));
}

void RoutedRequest::sendToCaller(std::string_view bytes)
{
    if (!m_caller)
        return;
    m_caller->sendChunk(bytes);
    if (!m_isEndpointPaused && m_caller->bufferedBytes() > m_owner.options().maxSendBufferBytes) {
        m_isEndpointPaused = true;
        m_owner.context().transport.setPaused(m_exchange, true);
    }
}

void RoutedRequest::resumeEndpoint()
{
    if (!std::exchange(m_isEndpointPaused, false))
        return;
    m_lastProgress = now();
    m_owner.context().transport.setPaused(m_exchange, false);
}

void RoutedRequest::handleCallerDisconnect()
{
    m_caller = nullptr;
    if (m_stage == Stage::Ended)
        return;
    bool wasSent = m_exchange != 0;
    // A non-idempotent request continues, since closing its connection would leave its outcome unknown. Its response is
    // read to the end, unless that is far, also if reading was paused for the caller's full send buffer.
    if (wasSent && m_route.kind == RequestKind::NonIdempotent) {
        releaseBody();
        resumeEndpoint();
        return;
    }
    cancelExchange();
    recordAttemptEnd(AttemptOutcome::Cancelled);
    finish("caller_gone");
}

void RoutedRequest::handleEnd(const EndpointExchangeResult& result)
{
    m_exchange = 0;
    if (m_relayMode == RelayMode::Refusal) {
        handleRefusal();
        return;
    }
    if (!result.isComplete) {
        if (result.error == ErrorKind::AnswerMalformed)
            logMalformedAnswer(result.malformedPart);
        handleAttemptFailure(result.error, result, errorResponseFor(result.error).name);
        return;
    }
    if (m_relayMode == RelayMode::AwaitingHead) {
        // No answer to relay; the transport should have reported a failure.
        handleAttemptFailure(ErrorKind::AnswerMismatch, result, "answer_without_head");
        return;
    }
    if (m_relayMode == RelayMode::Events) {
        finishStream();
        return;
    }
    if (m_relayMode == RelayMode::PassThrough) {
        recordAttemptEnd(AttemptOutcome::Answered);
        if (m_caller)
            std::exchange(m_caller, nullptr)->endStream();
        finish("ok");
        return;
    }
    finishBuffered();
}

void RoutedRequest::logMalformedAnswer(std::string_view malformedPart, std::size_t eventBytes) const
{
    m_owner.context().metrics.add(Counter::MalformedAnswers, { m_pool.value, malformedPart });
    logEvent(LogLevel::Warning, "answer_malformed",
        { { "request", m_metadata.id }, { "endpoint", m_placement.endpoint.value }, { "part", malformedPart },
            { "status", m_responseHead.status }, { "events", m_splitter.eventCount() },
            { "last_event", m_splitter.lastId() }, { "event_bytes", eventBytes },
            { "since_send_ms", (now() - m_placement.sentAt).count } });
}

void RoutedRequest::logLateAnswer(const LateResponse& response) const
{
    std::string_view framing = response.endsWithConnection ? "connection" : "length";
    m_owner.context().metrics.add(Counter::LateAnswers, { m_pool.value, framing });
    logEvent(LogLevel::Warning, "late_answer",
        { { "request", m_metadata.id }, { "endpoint", m_placement.endpoint.value },
            { "answer_to", response.correlationValue }, { "status", response.status }, { "framing", framing },
            { "since_send_ms", (now() - m_placement.sentAt).count } });
}

void RoutedRequest::finishStream()
{
    m_splitter.endAnswer();
    bool endsInsideEvent = m_splitter.violation() == EventViolation::Incomplete;
    bool endsWithEndpoint = endsWithConnection(m_responseHead);
    if (m_splitter.violation() != EventViolation::None && !(endsInsideEvent && endsWithEndpoint)) {
        handleMalformedEvent();
        return;
    }
    bool endsBeforeFirstEvent = m_firstEventAt == Millis {} && endsWithEndpoint;
    if (endsInsideEvent || endsBeforeFirstEvent) {
        handleAttemptFailure(ErrorKind::AnswerTruncated,
            { .requestMayHaveBeenSent = true, .responseStarted = true, .error = ErrorKind::AnswerTruncated },
            endsInsideEvent ? "ended_inside_event" : "ended_without_events");
        return;
    }
    beginResponse(); // The head has not been sent yet if the stream has no events.
    if (!endsWithEndpoint)
        recordSoundAnswer();
    recordAttemptEnd(AttemptOutcome::Answered);
    if (m_caller)
        std::exchange(m_caller, nullptr)->endStream();
    finish("ok");
}

void RoutedRequest::finishBuffered()
{
    m_mayHaveRun = true;
    if (isServerError(m_responseHead.status)) {
        recordAttemptEnd(AttemptOutcome::Failed);
        // The endpoint has not marked the request as not executed, so it may have run. A status from which the caller
        // would conclude that it has not run is therefore not forwarded.
        if (!impliesNotRun(m_responseHead.status)) {
            m_errorHead = headForCaller(m_responseHead);
            m_errorBody = std::move(m_responseBody);
        }
        if (takeRetry()) {
            retryAtOtherEndpoint("endpoint_error");
            return;
        }
    } else {
        recordAttemptEnd(AttemptOutcome::Answered);
    }
    if (impliesNotRun(m_responseHead.status)) {
        giveUp("ambiguous_refusal");
        return;
    }
    if (isSuccess(m_responseHead.status) && !endsWithConnection(m_responseHead))
        recordSoundAnswer();
    m_firstByteAt = now();
    m_status = m_responseHead.status;
    bool isError = isServerError(m_status);
    if (m_caller) {
        CallerResponseHead head = headForCaller(m_responseHead);
        std::exchange(m_caller, nullptr)->sendResponse(head, isError ? m_errorBody : m_responseBody);
    }
    finish(isError ? "endpoint_error" : "ok");
}

void RoutedRequest::endWithError(const Failure& failure)
{
    // If no endpoint can have run the request, the status is 503 with Retry-After whatever the kind of the error.
    m_status = m_mayHaveRun ? errorResponseFor(failure.kind).httpStatus : 503;
    logEvent(LogLevel::Warning, "request_failed",
        { { "request", m_metadata.id }, { "workspace", m_workspace.value }, { "route", m_route.name },
            { "pool", m_pool.value }, { "cause", failure.cause }, { "status", m_status },
            { "may_have_run", m_mayHaveRun ? 1 : 0 }, { "placed_by", m_placedBy },
            { "endpoint", m_placement.endpoint.value }, { "sends", m_sendCount },
            { "predicted_ms",
                std::isfinite(m_predictedFirstByteMs) ? static_cast<std::int64_t>(m_predictedFirstByteMs) : -1 },
            { "age_ms", (now() - m_request.arrivedAt).count }, { "left_ms", timeLeft().count },
            { "pressure", fairShareRatio(m_owner.context().board.shares, m_query.workspace) },
            { "returning", m_wasRefusedBefore ? 1 : 0 }, { "events", m_splitter.eventCount() },
            { "configuration", m_table->version }, { "retry_after_ms", failure.retryAfter.count } });
    if (m_caller && m_hasResponseBegun) {
        std::exchange(m_caller, nullptr)->abort();
    } else if (m_caller) {
        CallerResponseHead head { .status = m_status, .headers = { { "Content-Type", "application/json" } } };
        if (!m_mayHaveRun)
            head.headers.emplace_back("Retry-After", formatSeconds(failure.retryAfter));
        std::string body = R"({"error":{"kind":")" + std::string(errorResponseFor(failure.kind).name) + R"(","cause":")"
            + std::string(failure.cause) + R"(","run_status":")"
            + std::string(toString(m_mayHaveRun ? RunStatus::Unknown : RunStatus::NotRun)) + "\"}}\n";
        std::exchange(m_caller, nullptr)->sendResponse(head, body);
    }
    finish(failure.cause);
}

void RoutedRequest::finish(std::string_view outcome)
{
    cancelPlacement();
    m_stage = Stage::Ended;
    evtimer_del(m_timer.get());
    RequestRouterContext& context = m_owner.context();
    Millis totalTime = now() - m_request.arrivedAt;
    context.metrics.add(Counter::Requests, { m_workspace.value, outcome });
    context.metrics.observe(Histogram::TotalSeconds, { m_pool.value }, totalTime.seconds());
    std::int64_t firstByteMs = m_firstByteAt == Millis {} ? -1 : (m_firstByteAt - m_request.arrivedAt).count;
    if (firstByteMs >= 0)
        context.metrics.observe(
            Histogram::FirstByteSeconds, { m_pool.value }, static_cast<double>(firstByteMs) / 1000.0);
    logEvent(LogLevel::Info, "request_done",
        { { "request", m_metadata.id }, { "workspace", m_workspace.value }, { "route", m_route.name },
            { "outcome", outcome }, { "status", m_status }, { "endpoint", m_placement.endpoint.value },
            { "sends", m_sendCount }, { "queued_ms", m_queueTime.count },
            { "predicted_ms",
                std::isfinite(m_predictedFirstByteMs) ? static_cast<std::int64_t>(m_predictedFirstByteMs) : -1 },
            { "ahead", static_cast<std::int64_t>(m_placement.backlogTokens) }, { "unread", m_placement.prefillTokens },
            { "prompt", m_metadata.promptTokens }, { "first_ms", firstByteMs }, { "total_ms", totalTime.count },
            { "events", m_splitter.eventCount() }, { "expected_tokens", m_metadata.expectedOutputTokens },
            { "returning", m_wasRefusedBefore ? 1 : 0 }, { "placed_by", m_placedBy },
            { "objective_ms", m_route.latencyObjective.count },
            { "caller_ms", m_metadata.timeLeft.value_or(Millis {}).count }, { "configuration", m_table->version } });
    m_owner.removeRequest(*this);
}

void RoutedRequest::cancelExchange()
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
