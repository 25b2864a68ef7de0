#pragma once

#include "net/CallerServer.h"
#include "net/Interfaces.h"
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

/// \brief What a request's state machine needs from the table of all requests.
class RoutedRequestOwner {
public:
    virtual ~RoutedRequestOwner() = default;
    [[nodiscard]] virtual RequestRouterContext& context() noexcept = 0;
    [[nodiscard]] virtual const RequestRouterOptions& options() const noexcept = 0;
    [[nodiscard]] virtual FleetRetryBudget& allowance() noexcept = 0;

    /// \brief Removes the request; it is destroyed later, outside its own calls.
    virtual void finished(RoutedRequest&) = 0;
};

class RoutedRequest final : public CallerListener,
                            public EndpointListener,
                            public PlacementListener,
                            public WaitingPlacement {
public:
    struct Start {
        CallerRequest request;
        RequestMetadata facts;
        std::shared_ptr<const RoutingTable> table;
        const Route* route; ///< In \c table.
        WorkspaceId workspace;
    };

    RoutedRequest(RoutedRequestOwner&, Start, CallerExchange&);
    ~RoutedRequest() override;
    RoutedRequest(const RoutedRequest&) = delete;
    RoutedRequest& operator=(const RoutedRequest&) = delete;

    /// \brief Takes the first step: sends the request, lets it wait or refuses it.
    void begin();

    [[nodiscard]] WaitingOrder waitingOrder() const override;
    void place() override;

    void onPlacement(const PlacementReply&, std::string_view coordinator) override;
    void onPlacementUnanswered() override;

    void onCallerDisconnected() override;
    void onSendBufferEmpty() override;
    void onConnected() override { }
    void onHead(const HttpResponseHead&) override;
    void onBody(std::string_view chunk) override;
    void onEnd(const EndpointExchangeResult&) override;

private:
    enum class Stage : std::uint8_t {
        Waiting, ///< For room at an endpoint, in this daemon.
        Asking, ///< For the coordinator's decision.
        Running,
        Ended,
    };
    enum class Relay : std::uint8_t {
        Undecided, ///< No head yet.
        Refusal, ///< The endpoint does not run the request; its answer is read to the end.
        Events, ///< Whole events are passed on as they come.
        Whole, ///< Collected until complete.
        Passing, ///< Passed on as it comes, because it is too long to collect.
    };

    /// \brief Why the request ends without an endpoint's answer.
    struct Failure {
        ErrorKind kind;
        std::string_view cause; ///< For logs and metrics.
        Millis retryAfter {};
    };

    [[nodiscard]] Millis now() const;
    [[nodiscard]] Millis timeLeft() const { return m_deadline - now(); }
    [[nodiscard]] PlacementQuery makeQuery() const;
    [[nodiscard]] PlacementInputs placementInputs(ShardId shard) const;
    [[nodiscard]] EndpointChoice chooseOther() const;
    void stopPlacing();
    /// \brief Takes one repeat from the allowance if the request may be sent to another endpoint.
    [[nodiscard]] bool takeRepeat() const;
    [[nodiscard]] PoolId choosePool() const;
    void send(const EndpointChoice&);
    void refuseForLoad(bool anyEndpoint, Millis retryAfter);
    void attemptEnded(AttemptOutcome);
    void attemptFailed(ErrorKind kind, const EndpointExchangeResult& end, std::string_view cause);
    void attemptRefused();
    void tryElsewhere(std::string_view cause);
    void giveUp(std::string_view cause);
    void onTimer();
    void armTimer();
    void checkStall(Millis now);
    [[nodiscard]] Millis stallLimit() const;
    void noteLoss();
    void noteFirstByte();
    void relayEvents(std::string_view chunk);
    void beginAnswer();
    void sendToCaller(std::string_view bytes);
    void answerWhole();
    void finishStream();
    void endWith(const Failure&);
    void finish(std::string_view outcome);
    void dropExchange();
    [[nodiscard]] static CallerResponseHead headForCaller(const HttpResponseHead&);

    RoutedRequestOwner& m_owner;
    CallerRequest m_request;
    RequestMetadata m_facts;
    std::shared_ptr<const RoutingTable> m_table;
    const Route& m_route;
    WorkspaceId m_workspace;
    PoolId m_pool;
    CallerExchange* m_caller;
    EventPointer m_timer;
    Millis m_deadline; ///< Final answer by then: the route's time limit or the caller's deadline.
    bool m_limitedByCaller { false }; ///< The caller's deadline is the earlier one.
    PlacementQuery m_query;
    ShardId m_shard { 0 }; ///< Of its endpoints, where coordinators place requests; 0: all endpoints of the pool.
    std::optional<PlacementRequestId> m_ask; ///< Open question to a coordinator.
    std::string m_placedBy { "self" }; ///< Address of the coordinator that decided; for logs.
    bool m_granted { false }; ///< A coordinator has chosen the endpoint and knows its load.
    bool m_late { false }; ///< It misses its objective, wherever it is sent.
    bool m_returning { false }; ///< The caller was refused before.

    Stage m_stage { Stage::Waiting };
    Relay m_relay { Relay::Undecided };
    bool m_waitingListed { false };
    unsigned m_sends { 0 }; ///< Endpoints that the request may have reached.
    unsigned m_connectFailures { 0 };
    bool m_mayHaveRun { false };
    Placement m_placement;
    bool m_placed { false };
    ExchangeId m_exchange { 0 };
    Millis m_lastProgress {}; ///< When the current attempt was sent or last brought bytes.

    HttpResponseHead m_head;
    std::string m_body;
    std::optional<CallerResponseHead> m_failedHead; ///< An endpoint's error answer, kept while another attempt runs.
    std::string m_failedBody;
    SseSplitter m_events;
    bool m_answerBegun { false };
    bool m_paused { false };
    Millis m_firstByteAt {};
    int m_status { 0 };
    double m_predicted { 0 };
    Millis m_queued {};
};

}
