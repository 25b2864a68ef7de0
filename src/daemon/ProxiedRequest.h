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

/// \brief What a request's state machine needs from the table of all requests.
class ProxiedRequestOwner {
public:
    virtual ~ProxiedRequestOwner() = default;
    [[nodiscard]] virtual RequestProxyContext& context() noexcept = 0;
    [[nodiscard]] virtual const RequestProxyOptions& options() const noexcept = 0;

    /// \returns The view for calls of the scheduling controllers; valid until the configuration changes.
    [[nodiscard]] virtual SchedulingView view() = 0;

    /// \brief A slot may be free or a request is queued.
    virtual void workChanged() = 0;

    /// \brief A request of this content was running when \p endpoint was lost.
    virtual void contentLost(std::uint64_t contentHash, const EndpointId& endpoint) = 0;

    /// \brief A request of this content has completed.
    virtual void contentCompleted(std::uint64_t contentHash) = 0;

    /// \brief Tells an engine to stop a stream that nobody reads any more.
    virtual void cancelStream(const std::string& address, const std::string& streamId) = 0;

    virtual void streamOpened() = 0;
    virtual void streamClosed() = 0;

    /// \brief Removes the request; it is destroyed later, outside its own calls.
    virtual void finished(const RequestId&) = 0;
};

class ProxiedRequest final : public CallerListener, public EndpointListener {
public:
    ProxiedRequest(ProxiedRequestOwner&, RequestId, ResolvedRequest, CallerRequest, CallerExchange&);
    ~ProxiedRequest() override;
    ProxiedRequest(const ProxiedRequest&) = delete;
    ProxiedRequest& operator=(const ProxiedRequest&) = delete;

    [[nodiscard]] const PoolId& pool() const noexcept { return m_resolved.pool; }

    /// \brief Takes the first step: claims the idempotency key if the call needs one, else queues the request.
    void begin();

    /// \brief The request has a slot at \p endpoint.
    void granted(const EndpointState& endpoint);

    /// \brief Ends a request that is not running.
    void refuse(Error error);

    /// \returns Whether the request waits for the decision about its idempotency key.
    [[nodiscard]] bool claiming() const noexcept { return m_stage == Stage::Claiming; }

    /// \brief Ends a running request whose caller's deadline has passed before the answer began.
    void checkDeadline(Millis now);

    void onCallerDisconnected() override;
    void onSendBufferEmpty() override;
    void onConnected() override;
    void onHead(const HttpResponseHead&) override;
    void onBody(std::string_view chunk) override;
    void onEnd(const EndpointExchangeResult&) override;

private:
    enum class Stage : std::uint8_t { Claiming, Queued, Running, Ended };
    enum class RelayMode : std::uint8_t {
        Undecided, ///< No head yet.
        Events, ///< A model engine's server-sent events.
        Whole, ///< Collected until complete.
        Passing, ///< Passed on as it comes, because it is too long to collect or a plain service's events.
    };

    void onClaimDecision(const ClaimDecision&);
    void replay(const StoredResponse&);
    void settleClaim();
    void enqueue();
    void startAttempt(bool resume);
    [[nodiscard]] EndpointRequest buildRequest(bool resume) const;
    void relayEvents(std::string_view chunk);
    void relayPassing(std::string_view chunk);
    void beginAnswer();
    void sendToCaller(std::string_view bytes);
    void attemptFailed(ErrorKind kind, const AttemptResult& end);
    void repeatElsewhere();
    void answerWhole();
    void endStream();
    void endWithError(Error error, RunStatus status);
    void releaseSlot(bool completed);
    void reportOutcome(ExchangeOutcome outcome);
    void reportLoss(ErrorKind kind);
    [[nodiscard]] CallerResponseHead callerHead() const;
    void finish(std::string_view outcome);
    void dropExchange();
    void countTokens();
    void startHop(std::string_view name);
    void endHop(bool failed);
    [[nodiscard]] double costSoFar() const;
    [[nodiscard]] bool answerBegun() const noexcept { return m_answerBegun; }

    ProxiedRequestOwner& m_owner;
    RequestId m_id;
    ResolvedRequest m_resolved;
    CallerRequest m_request;
    CallerExchange* m_caller;
    Stage m_stage { Stage::Queued };
    RelayMode m_relay { RelayMode::Undecided };
    Millis m_acceptedAt;
    Millis m_deadline;
    AttemptHistory m_history;
    unsigned m_starts { 0 };
    std::vector<EndpointId> m_avoid;

    EndpointId m_endpoint;
    std::string m_address;
    std::string m_attemptId; ///< X-Request-Id of the current attempt.
    ExchangeId m_exchange { 0 };
    HttpResponseHead m_head;
    std::string m_body;
    SseScanner m_events;
    std::uint64_t m_answerBytes { 0 };
    std::uint64_t m_reportedTokens { 0 };
    std::uint64_t m_countedTokens { 0 }; ///< Already in the metric.
    std::string m_claim; ///< Claim of the idempotency key; empty if there is none.
    RunStatus m_finalStatus { RunStatus::NotRun };
    bool m_slotHeld { false };
    bool m_sent { false }; ///< The current attempt's request has been written, at least in part.
    bool m_resuming { false }; ///< The current exchange continues a stream.
    bool m_resumable { true }; ///< The engine still has the stream, as far as is known.
    bool m_answerBegun { false };
    bool m_streamOpen { false };
    bool m_paused { false };

    Span m_span;
    std::optional<Span> m_hop;
};

}
