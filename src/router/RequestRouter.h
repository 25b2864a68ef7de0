#pragma once

#include "base/Random.h"
#include "core/CrashGuard.h"
#include "net/CallerServer.h"
#include "net/Interfaces.h"
#include "observe/Metrics.h"
#include "router/RequestProtocol.h"
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

/// \brief Limits of the request path.
struct RequestRouterOptions {
    std::string availabilityZone;
    PlacementOptions placement;
    RetryBounds retries; ///< The number of daemons is kept up to date by the owner.
    Millis connectTimeout { 600 }; ///< An endpoint in the same region answers within a few milliseconds.
    std::size_t highWater { 64U << 10U }; ///< Bytes buffered for a caller above which its endpoint is not read.
    std::size_t wholeBytes { 256U << 10U }; ///< Answers up to this size reach the caller only when complete.
    bool admitAll { false }; ///< Baseline: no request is refused or held because of predicted times.
    bool coordinated { false }; ///< Requests are placed by the coordinators of their shards.
};

/// \brief When a content counts as crashing its endpoints; the same at all daemons.
inline constexpr CrashGuardOptions crashGuardOptions {
    .quarantineThreshold = 3, .quarantineDuration = { 60'000 }, .suspectExpiry = { 60'000 }
};

/// \brief State that the request path shares with the exchange between daemons (the blackboard).
struct RouterBlackboard {
    std::shared_ptr<const RoutingTable> table { std::make_shared<RoutingTable>() };
    FleetView fleetView;
    WorkspaceShares shares;
    CrashGuardState crashes;
    std::vector<SentPrompt> sentPrompts; ///< Not yet told to peers.
    std::vector<AttemptReport> attemptReports; ///< Not yet told to coordinators.
    std::vector<CrashMark> crashMarks; ///< Not yet told to peers.
    RefusalHistory refusals;
    std::vector<std::pair<std::uint64_t, Millis>> newRefusals; ///< Content and first arrival; not yet told to peers.
    bool configurationCurrent { false }; ///< The configuration is known to be the newest, within seconds.
    Millis lag {}; ///< Time for which callers' requests wait before this daemon reads them.
    bool refusing { false }; ///< This daemon is about to end and takes no further requests.
};

/// \brief What the request path calls.
struct RequestRouterContext {
    event_base& base;
    const Clock& clock;
    Random& random;
    RouterBlackboard& board;
    EndpointTransport& transport;
    const RequestProtocol& protocol;
    Metrics& metrics;
    PlacementQueue& queue;
    PlacementClient* coordinators { nullptr }; ///< None: this daemon places all its requests itself.
    std::function<void()> boardChanged; ///< This daemon's load at an endpoint has changed; peers should hear of it.
};

/// \brief Takes callers' requests by host and path to endpoints and relays the answers: one state machine for each
/// request.
class RequestRouter final : public CallerHandler {
public:
    RequestRouter(RequestRouterContext, const RequestRouterOptions&);
    ~RequestRouter() override;
    RequestRouter(const RequestRouter&) = delete;
    RequestRouter& operator=(const RequestRouter&) = delete;

    void onRequest(CallerRequest, CallerExchange&) override;
    std::string onInvalidRequest(ErrorKind, std::string_view message) override;

    /// \brief Takes over changed settings for later decisions.
    void setOptions(const RequestRouterOptions&);

    /// \brief Sets how many daemons share the fleet's retries, and whether coordinators place requests.
    void setFleet(std::size_t daemons, bool coordinated);

    /// \returns Requests in progress.
    [[nodiscard]] std::size_t active() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
