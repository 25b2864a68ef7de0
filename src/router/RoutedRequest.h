#pragma once

#include "net/CallerServer.h"
#include "net/EventCallback.h"
#include "net/Interfaces.h"
#include "net/MemoryReservation.h"
#include "net/Socket.h"
#include "router/PlacementClient.h"
#include "router/PlacementQueue.h"
#include "router/RequestProtocol.h"
#include "router/RequestRouter.h"
#include "router/SseSplitter.h"
#include "routing/PlacementDecision.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The state machine of one request; used by RequestRouter only.

namespace jasminestack {

class RoutedRequest;

/// \brief Interface by which a request's state machine uses the router, which owns all requests in progress.
class RoutedRequestOwner {
public:
    virtual ~RoutedRequestOwner() = default;
    [[nodiscard]] virtual RequestRouterContext& context() noexcept = 0;
    [[nodiscard]] virtual const RequestRouterOptions& options() const noexcept = 0;
    [[nodiscard]] virtual FleetRetryBudget& retryBudget() noexcept = 0;

    /// \returns The total that RequestRouterOptions::maxTotalBufferedBytes limits.
    [[nodiscard]] virtual const std::shared_ptr<std::size_t>& bufferedBytes() const noexcept = 0;

    /// \brief Removes a request that has ended; it is destroyed in a later turn of the event loop, since the call comes
    /// from one of the request's member functions.
    virtual void removeRequest(RoutedRequest&) = 0;

    /// \brief An endpoint said that it leaves or wants a pause: requests that are not sent yet move to others later.
    virtual void onEndpointNotice() = 0;

    /// \brief Derives quarantines from the losses recorded on the blackboard. Requests that they concern end later.
    virtual void attributeLosses() = 0;
};

/// \brief State machine of one request: placement, attempts at endpoints, relay of the response to the caller.
///
/// An exception in one of its callbacks ends the request without another attempt, since events may have been read that
/// were not relayed.
class RoutedRequest final : public CallerListener,
                            public EndpointListener,
                            public PlacementListener,
                            public WaitingPlacement {
public:
    struct Parameters {
        CallerRequest request;
        RequestMetadata metadata;
        std::shared_ptr<const RoutingTable> table;
        const Route* route; ///< In \c table.
        WorkspaceId workspace;
    };

    RoutedRequest(RoutedRequestOwner&, Parameters, CallerExchange&);
    ~RoutedRequest() override;
    RoutedRequest(const RoutedRequest&) = delete;
    RoutedRequest& operator=(const RoutedRequest&) = delete;

    /// \brief Sends the request to an endpoint, queues it, requests its placement from a coordinator, or refuses it.
    void beginPlacement()
    {
        guard("request_placement", [this] { startPlacement(); });
    }

    [[nodiscard]] WaitingOrder waitingOrder() const override;
    void tryPlacement() override
    {
        guard("request_placement", [this] { place(); });
    }

    /// \brief If the request is not sent yet and its endpoint has left or begun to drain, selects another one.
    void onEndpointsChanged()
    {
        guard("request_endpoints_changed", [this] { leaveUnusableEndpoint(); });
    }

    /// \brief If the request has a quarantined trait and no part of a response was received, ends it.
    void onQuarantinesChanged()
    {
        guard("request_quarantine", [this] { applyQuarantines(); });
    }

    /// \brief Ends the request with its final answer, since the process is about to end.
    void onShutdown()
    {
        guard("request_shutdown", [this] {
            if (m_stage != Stage::Ended)
                giveUp("shutdown");
        });
    }

    void onPlacementReply(const PlacementReply& reply, std::string_view coordinator) override
    {
        guard("request_placement", [&] { handlePlacementReply(reply, coordinator); });
    }
    void onCoordinatorsUnresponsive() override
    {
        guard("request_placement", [this] { placeWithoutCoordinator(); });
    }

    void onCallerDisconnected() override
    {
        guard("request_caller", [this] { handleCallerDisconnect(); });
    }
    void onSendBufferEmpty() override
    {
        guard("request_caller", [this] { resumeEndpoint(); });
    }
    void onConnected() override { m_isConnected = true; }
    void onLateResponse(const LateResponse& response) override
    {
        guard("request_late_response", [&] { logLateAnswer(response); });
    }
    void onHead(const HttpResponseHead& head) override
    {
        guard("request_head", [&] { handleHead(head); });
    }
    void onBody(std::string_view chunk) override
    {
        guard("request_body", [&] { handleBody(chunk); });
    }
    void onEnd(const EndpointExchangeResult& result) override
    {
        guard("request_exchange_end", [&] { handleEnd(result); });
    }

private:
    enum class Stage : std::uint8_t {
        Waiting, ///< In this daemon's queue, for capacity at an endpoint.
        AwaitingReply, ///< A placement request to a coordinator is open.
        InFlight, ///< Sent to an endpoint.
        Ended,
    };
    enum class RelayMode : std::uint8_t {
        AwaitingHead, ///< No response head received yet.
        Refusal, ///< The endpoint did not run the request; its response is read to the end and discarded.
        Events, ///< Complete SSE events are forwarded when they are received.
        Buffered, ///< The body is buffered until it is complete.
        PassThrough, ///< The body is too long to buffer and is forwarded when it is received.
    };

    /// \brief Reason for which the request ends with an error response or, if the response has begun, is aborted.
    struct Failure {
        ErrorKind kind;
        std::string_view cause; ///< For logs and metrics.
        Millis retryAfter {};
    };

    /// \brief Calls \p body; if it throws, the request ends.
    template <typename Body> void guard(std::string_view callback, const Body& body)
    {
        runGuarded(callback, body, [this] { endAfterException(); });
    }
    void endAfterException();
    /// \brief Ends a request that is in any state, without a response if none was sent. Does not throw.
    void drop();

    void startPlacement();
    void place();
    void leaveUnusableEndpoint();
    void applyQuarantines();
    void handlePlacementReply(const PlacementReply&, std::string_view coordinator);
    void placeWithoutCoordinator();
    void handleCallerDisconnect();
    void resumeEndpoint();
    void handleHead(const HttpResponseHead&);
    void handleBody(std::string_view chunk);
    void handleEnd(const EndpointExchangeResult&);
    [[nodiscard]] Millis now() const;
    [[nodiscard]] Millis timeLeft() const { return m_deadline - now(); }
    [[nodiscard]] PlacementQuery makePlacementQuery() const;
    [[nodiscard]] PlacementInputs placementInputs(ShardId shard) const;
    /// \returns The best endpoint of the request's shard or, if the shard has no suitable one, of the whole pool.
    [[nodiscard]] EndpointChoice chooseRetryEndpoint() const;
    /// \brief Requests the placement from the coordinator of the request's shard.
    /// \returns false if this daemon places the request itself.
    [[nodiscard]] bool requestFromCoordinator();
    void cancelPlacement();
    /// \brief Takes one retry from the fleet's retry budget if the request may be sent to another endpoint.
    /// \returns Whether a retry was taken.
    [[nodiscard]] bool takeRetry() const;
    [[nodiscard]] PoolId choosePool() const;
    void sendToEndpoint(const EndpointChoice&);
    void refuseForOverload(bool poolHasEndpoints, Millis retryAfter);
    void recordAttemptEnd(AttemptOutcome);
    void handleAttemptFailure(ErrorKind kind, const EndpointExchangeResult& result, std::string_view cause);
    void handleRefusal();
    void retryAtOtherEndpoint(std::string_view cause);
    void giveUp(std::string_view cause);
    void handleTimer();
    void armTimer();
    void checkStall(Millis currentTime);
    [[nodiscard]] Millis stallTimeout() const;
    /// \brief Ends an attempt that was refused without waiting for the rest of the response.
    void abandonRefusalBody();
    /// \returns Whether the request may be sent: it has no quarantined trait, or is the trial of one.
    [[nodiscard]] bool passesQuarantine();
    void endQuarantined();
    [[nodiscard]] TraitDecision crashDecision() const;
    /// \brief Records the loss of the endpoint, for which this request may be the cause.
    void recordEndpointLoss(bool hasAnswerBegun);
    /// \brief Records that the endpoint answers the request without being lost.
    void recordSoundAnswer();
    /// \brief Logs what tells apart the requests that an endpoint was lost with.
    void logLoss(std::string_view cause, bool hasAnswerBegun) const;
    /// \brief Ends the attempt at an event that is malformed or not the next one; the stream goes on at another
    /// endpoint, or is broken off.
    void handleMalformedEvent();
    /// \param eventBytes Length of the event that is malformed; 0 if the fault is outside of the events.
    void logMalformedAnswer(std::string_view malformedPart, std::size_t eventBytes = 0) const;
    void logLateAnswer(const LateResponse&) const;
    /// \brief Takes over what the endpoint says of itself: that it leaves, or wants a pause.
    void takeEndpointNotice(const ResponseMetadata&);
    void reportFirstByte();
    /// \brief Ends the request if very much was received since its caller left.
    void discardBody(std::size_t bytes);
    /// \brief Adds to the buffered body, or passes all of it on if it becomes too long.
    void bufferBody(std::string_view chunk);
    /// \returns Whether there is memory for \p bytes of this attempt beside the error response before.
    [[nodiscard]] bool reserveBuffer(std::size_t bytes);
    /// \brief Discards the buffered body.
    void releaseBody();
    void relayEvents(std::string_view chunk);
    void beginResponse();
    void sendToCaller(std::string_view bytes);
    void finishBuffered();
    void finishStream();
    void endWithError(const Failure&);
    void finish(std::string_view outcome);
    void cancelExchange();
    [[nodiscard]] static CallerResponseHead headForCaller(const HttpResponseHead&);

    RoutedRequestOwner& m_owner;
    CallerRequest m_request;
    RequestMetadata m_metadata;
    std::shared_ptr<const RoutingTable> m_table;
    const Route& m_route;
    WorkspaceId m_workspace;
    PoolId m_pool;
    CallerExchange* m_caller;
    EventPointer m_timer;
    Millis m_deadline; ///< The response ends by then: the route's timeout or the caller's deadline.
    bool m_isCallerDeadline { false }; ///< m_deadline is the caller's, which is earlier than the route's timeout.
    PlacementQuery m_query;
    std::vector<TraitHash> m_traits; ///< Shared parts of the prompt, then the content.
    bool m_isTrial { false }; ///< It is sent although it has a quarantined trait; see CrashAttribution.h.
    ShardId m_shard { 0 }; ///< Shard of the request if coordinators place requests; 0: all endpoints of the pool.
    std::optional<PlacementRequestId> m_placementRequest; ///< Open placement request to a coordinator.
    std::string m_placedBy { "self" }; ///< Address of the coordinator that placed the request, or "self"; for logs.
    bool m_hasAskedAnew { false }; ///< A grant to a cold endpoint came too late, and another one was requested.
    bool m_isGranted { false }; ///< A coordinator chose the endpoint and has already recorded the request's prompt.
    bool m_isPredictedLate { false }; ///< See PlacementDecision::isLate; from the last placement decision or reply.
    bool m_wasRefusedBefore { false }; ///< The same content was refused for overload before.

    Stage m_stage { Stage::Waiting };
    RelayMode m_relayMode { RelayMode::AwaitingHead };
    bool m_isInQueue { false };
    unsigned m_sendCount { 0 }; ///< Attempts in which the request may have been sent to an endpoint.
    unsigned m_connectFailures { 0 };
    bool m_mayHaveRun { false }; ///< An endpoint may have run the request in an attempt.
    Placement m_placement;
    bool m_isConnected { false }; ///< The request is being written to the endpoint, or has been.
    bool m_isPlacementCounted { false }; ///< m_placement counts towards its endpoint's load.
    ExchangeId m_exchange { 0 };
    std::size_t m_unheardBytes { 0 }; ///< Received bytes of responses since the caller left.
    std::size_t m_refusalBytes { 0 }; ///< Received bytes of a refusal's body.
    Millis m_firstEventAt {}; ///< Of this attempt; 0 before.
    bool m_isAnswerSound { false }; ///< recordSoundAnswer() was called in this attempt.
    Millis m_lastProgress {}; ///< Start of the stall timeout; see checkStall().

    HttpResponseHead m_responseHead;
    std::string m_responseBody;
    MemoryReservation m_bufferReservation; ///< For the buffered bodies and an incomplete event.
    std::optional<CallerResponseHead> m_errorHead; ///< An endpoint's error response, sent if the retry fails.
    std::string m_errorBody;
    SseSplitter m_splitter;
    bool m_hasResponseBegun { false };
    bool m_isEndpointPaused { false }; ///< The endpoint's response is not read, since the caller's send buffer is full.
    Millis m_firstByteAt {}; ///< When the response to the caller began; 0 before.
    int m_status { 0 }; ///< Status of the response to the caller; 0 before.
    double m_predictedFirstByteMs { 0 }; ///< Predicted time from the last placement to the first byte.
    Millis m_queueTime {}; ///< From the request's arrival to its first attempt.
};

}
