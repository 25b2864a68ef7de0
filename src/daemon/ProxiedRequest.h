#pragma once

#include "core/EndpointHealth.h"
#include "core/Retry.h"
#include "core/Scheduling.h"
#include "daemon/ErrorResponses.h"
#include "daemon/RequestProxy.h"
#include "daemon/RequestResolution.h"
#include "daemon/SseScanner.h"
#include "net/CallerServer.h"
#include "net/Interfaces.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The state machine of one request; used by RequestProxy only.

namespace jasminestack {

/// \brief Interface through which a request's state machine uses the RequestProxy that owns it.
class ProxiedRequestOwner {
public:
    virtual ~ProxiedRequestOwner() = default;
    [[nodiscard]] virtual RequestProxyContext& context() noexcept = 0;
    [[nodiscard]] virtual const RequestProxyOptions& options() const noexcept = 0;

    /// \returns The state that the scheduling functions use; valid until the configuration changes.
    [[nodiscard]] virtual SchedulingContext schedulingView() = 0;

    /// \brief Dispatches queued requests; called when a slot may have become free or a request was queued.
    virtual void dispatchNeeded() = 0;

    /// \brief Records that \p endpoint was lost while it ran a request with this content, and sends a crash mark to all
    /// peers.
    virtual void recordCrashSuspect(std::uint64_t contentHash, const EndpointId& endpoint) = 0;

    /// \brief Records that a request with this content has completed, so that the content is no longer a crash suspect.
    virtual void clearCrashSuspect(std::uint64_t contentHash) = 0;

    /// \brief Requests that the engine at \p address stops a stream whose output is no longer needed.
    virtual void cancelStream(const std::string& address, const std::string& streamId) = 0;

    virtual void streamOpened() = 0;
    virtual void streamClosed() = 0;

    /// \brief Removes the request from the table; it is destroyed later, when none of its member functions is running.
    virtual void requestFinished(const RequestId&) = 0;
};

/// \brief One caller's request, from its acceptance to the end of the response: claims its idempotency key, waits for a
/// slot, sends the request to endpoints and relays the response.
class ProxiedRequest final : public CallerListener, public EndpointListener {
public:
    ProxiedRequest(ProxiedRequestOwner&, RequestId, ResolvedRequest, CallerRequest, CallerExchange&);
    ~ProxiedRequest() override;
    ProxiedRequest(const ProxiedRequest&) = delete;
    ProxiedRequest& operator=(const ProxiedRequest&) = delete;

    [[nodiscard]] const PoolId& pool() const noexcept { return m_resolved.pool; }

    /// \brief Claims the idempotency key of a non-idempotent call that has or needs one; queues any other request.
    void claimOrEnqueue();

    /// \brief Starts an attempt at \p endpoint, where the request was assigned a slot.
    void onAssigned(const EndpointState& endpoint);

    /// \brief Ends the request with \p error; it must not have an attempt in progress.
    void refuse(Error error);

    /// \brief Ends the request without another attempt, since a callback has thrown and events may have been read that
    /// were not relayed. Does nothing if it has ended.
    void endAfterException();

    /// \returns Whether the request waits for the decision about its claim of the idempotency key.
    [[nodiscard]] bool isClaiming() const noexcept { return m_stage == Stage::Claiming; }

    /// \brief Ends a running request whose deadline has passed before its response began.
    void checkDeadline(Millis now);

    void onCallerDisconnected() override;
    void onSendBufferEmpty() override;
    void onConnected() override;
    void onLateResponse(const LateResponse&) override;
    void onHead(const HttpResponseHead&) override;
    void onBody(std::string_view chunk) override;
    void onEnd(const EndpointExchangeResult&) override;

private:
    enum class Stage : std::uint8_t { Claiming, Queued, Running, Ended };
    enum class RelayMode : std::uint8_t {
        Undecided, ///< The response head has not arrived.
        Events, ///< A model engine's SSE events, relayed event by event.
        Buffered, ///< Buffered until complete.
        PassThrough, ///< Relayed chunk by chunk: too long to buffer, or SSE events of a plain service.
    };

    void onClaimDecision(const ClaimDecision&);
    void replayStoredResponse(const StoredResponse&);
    void finishClaim();
    void enqueue();
    void startExchange(bool isResumption);
    [[nodiscard]] EndpointRequest buildRequest(bool isResumption) const;
    void relayEvents(std::string_view chunk);
    void handleSpoiltEvent();
    void logMalformedAnswer(std::string_view malformedPart, std::size_t eventBytes = 0) const;
    void relayPassThrough(std::string_view chunk);
    void beginResponse();
    void sendToCaller(std::string_view bytes);
    void handleFailedAttempt(ErrorKind kind, const AttemptResult& attempt);
    void enqueueRetry();
    void sendBufferedResponse();
    void completeStream();
    void endWithError(Error error, RunStatus status);
    void releaseSlot(bool completed);
    void updateEndpointHealth(EndpointAttemptOutcome outcome);
    void reportPossibleCrash(ErrorKind kind);
    [[nodiscard]] CallerResponseHead callerHead() const;
    void handleEnd(const EndpointExchangeResult&);
    void sendError(const CallerError&);
    void recordOutcome(std::string_view outcome);
    void finish(std::string_view outcome);
    void cancelExchange();
    void recordRelayedTokens();
    void startStepSpan(std::string_view name);
    void endStepSpan(bool failed);
    [[nodiscard]] double costSoFar() const;
    [[nodiscard]] bool hasResponseBegun() const noexcept { return m_hasResponseBegun; }

    ProxiedRequestOwner& m_owner;
    RequestId m_id;
    ResolvedRequest m_resolved;
    CallerRequest m_request;
    CallerExchange* m_caller;
    Stage m_stage { Stage::Queued };
    RelayMode m_relayMode { RelayMode::Undecided };
    Millis m_acceptedAt;
    Millis m_deadline;
    AttemptHistory m_attemptHistory;
    unsigned m_exchangeCount { 0 }; ///< Exchanges with endpoints started, including resumptions of a stream.
    std::vector<EndpointId> m_triedEndpoints;

    EndpointId m_endpoint;
    std::string m_endpointAddress;
    std::string m_attemptId; ///< X-Request-Id of the current attempt.
    ExchangeId m_exchange { 0 };
    HttpResponseHead m_responseHead;
    std::string m_bufferedBody;
    SseScanner m_sseScanner;
    std::uint64_t m_responseBytes { 0 };
    std::uint64_t m_chargedTokens { 0 }; ///< Tokens already included in the cost that the scheduler has recorded.
    std::uint64_t m_meteredTokens { 0 }; ///< Tokens already added to the metric.
    std::string m_claimId; ///< Id of the claim of the idempotency key; empty if there is none.
    RunStatus m_finalRunStatus { RunStatus::NotRun };
    bool m_hasSlot { false };
    bool m_hasSentRequest { false }; ///< The current attempt's request may have been written, at least in part.
    bool m_isResuming { false }; ///< The current exchange resumes a stream.
    /// False once the engine no longer has the stream or an event exceeded the size limit.
    bool m_isResumable { true };
    bool m_endsWithConnection { false }; ///< The length of the current response is not stated.
    bool m_hasResponseBegun { false };
    bool m_isStreamOpen { false };
    bool m_isPaused { false }; ///< The endpoint is not read, because the caller's send buffer is too full.

    Span m_requestSpan;
    std::optional<Span> m_stepSpan;
};

}
