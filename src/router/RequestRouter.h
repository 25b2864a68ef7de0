#pragma once

#include "base/Random.h"
#include "net/CallerServer.h"
#include "net/Interfaces.h"
#include "observe/Metrics.h"
#include "router/RequestProtocol.h"
#include "routing/CrashAttribution.h"
#include "routing/FleetRetryBudget.h"
#include "routing/FleetUpdate.h"
#include "routing/FleetView.h"
#include "routing/RefusalHistory.h"
#include "routing/RoutingTable.h"
#include "routing/WorkspaceShares.h"

#include <functional>
#include <memory>
#include <vector>

struct event_base;

namespace jasminestack {

class PlacementClient;
class PlacementQueue;

/// \brief Settings of the request path.
struct RequestRouterOptions {
    std::string availabilityZone;
    PlacementOptions placement;
    RetryBounds retries; ///< daemonCount is set by RequestRouter::setFleetProperties().
    Millis connectTimeout { 600 }; ///< Connecting to an endpoint in the same region takes a few milliseconds.
    /// Unsent bytes to a caller above which the endpoint's response is not read.
    std::size_t maxSendBufferBytes { 64U << 10U };
    /// Responses up to this size are sent only when complete, except for successful SSE responses of stream routes,
    /// which are sent event by event.
    std::size_t maxBufferedResponseBytes { 256U << 10U };
    /// Of all responses that are buffered, and of events that are not complete yet. A body for which there is no room
    /// is sent as it is received; a longer incomplete event ends its attempt. 0: no limit.
    std::size_t maxTotalBufferedBytes { 0 };
    /// For baseline measurements: no request is refused or queued because of predicted times.
    bool admitsAll { false };
    bool usesCoordinators { false }; ///< Requests are placed by the coordinators of their shards.
};

/// \brief When requests are refused because of what they have in common with requests that endpoints were lost with;
/// must be equal at all daemons.
inline constexpr CrashAttributionOptions crashAttributionOptions;

/// \brief State that the request path shares with the state synchronisation between daemons (blackboard).
struct RouterBlackboard {
    std::shared_ptr<const RoutingTable> table { std::make_shared<RoutingTable>() };
    FleetView fleetView;
    WorkspaceShares shares;
    CrashAttributionState crashes;
    std::vector<SentPrompt> sentPrompts; ///< Prompts sent to endpoints that peers have not been notified of yet.
    std::vector<AttemptReport> attemptReports; ///< Not sent to coordinators yet.
    RefusalHistory refusals;
    /// Content hash of a refused request, and when this content first arrived; not sent to peers yet.
    std::vector<std::pair<std::uint64_t, Millis>> unsentRefusals;
    /// The store has confirmed that the table's configuration is the newest, at most
    /// DeploymentSource::confirmationInterval() and a tolerance ago.
    bool isConfigurationCurrent { false };
    Millis requestReadLag {}; ///< Latest measured time that callers' requests wait before this daemon reads them.
    bool isStopping { false }; ///< This daemon was asked to stop; it takes requests until refusesRequests is set.
    bool refusesRequests { false }; ///< This daemon shuts down and refuses new requests.
};

/// \brief Objects that a RequestRouter uses; all outlive the router.
struct RequestRouterContext {
    event_base& base;
    const Clock& clock;
    Random& random;
    RouterBlackboard& board;
    EndpointTransport& transport;
    const RequestProtocol& protocol;
    Metrics& metrics;
    PlacementQueue& queue;
    PlacementClient* placementClient { nullptr }; ///< Null: this daemon places all its requests itself.
    std::function<void()> onLoadChanged; ///< Called when the blackboard has loads or refusals to send to peers.
    std::function<bool(TraitHash, Millis overdue)> mayTry; ///< See FleetSync::mayTry(); empty: always.
};

/// \brief Routes callers' requests by host and path to endpoints and relays the responses, with one state machine
/// (RoutedRequest) for each request.
class RequestRouter final : public CallerHandler {
public:
    RequestRouter(RequestRouterContext, const RequestRouterOptions&);
    ~RequestRouter() override;
    RequestRouter(const RequestRouter&) = delete;
    RequestRouter& operator=(const RequestRouter&) = delete;

    void onRequest(CallerRequest, CallerExchange&) override;
    std::string onInvalidRequest(ErrorKind, std::string_view message) override;

    /// \brief Replaces the settings, except for those of setFleetProperties(). Applies to later
    /// decisions, also to those about requests in progress.
    void setOptions(const RequestRouterOptions&);

    /// \brief Sets the settings that depend on the members of the fleet.
    /// \param daemonCount Daemons that share the fleet's retry budget.
    /// \param usesCoordinators Whether coordinators place the requests of their shards.
    void setFleetProperties(std::size_t daemonCount, bool usesCoordinators);

    /// \brief Call it after each change of the registered endpoints: requests that are not sent yet are sent to other
    /// endpoints if theirs have left.
    void onEndpointsChanged();

    /// \brief Derives quarantines from the evidence on the blackboard, and ends the requests that new ones concern.
    /// Call it often.
    void updateQuarantines();

    /// \brief Ends all requests in progress with their final answers, since the process is about to end: those that no
    /// endpoint can have run as not run, others with an unknown outcome, and responses that have begun truncated.
    void endAllRequests();

    /// \returns Requests in progress.
    [[nodiscard]] std::size_t activeCount() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
