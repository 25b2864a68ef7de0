#pragma once

#include "base/Clock.h"
#include "net/Interfaces.h"
#include "net/Socket.h"
#include "observe/Metrics.h"
#include "routing/PlacementMessages.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

struct event_base;

namespace jasminestack {

/// \brief Receives the outcome of one placement request: exactly one call unless the request is cancelled, and never
/// from inside requestPlacement().
class PlacementListener {
public:
    virtual ~PlacementListener() = default;

    /// \brief A coordinator has decided; the status of its reply is never Queued.
    /// \param coordinator Address of the coordinator; valid during the call.
    virtual void onPlacementReply(const PlacementReply&, std::string_view coordinator) = 0;

    /// \brief No coordinator replied; this daemon has to place the request itself.
    virtual void onCoordinatorsUnresponsive() = 0;
};

/// \brief Sends placement requests to coordinators. A request without a reply is sent again a few times, then to one
/// other coordinator, and then reported as unanswered.
class PlacementClient {
public:
    struct Context {
        event_base& base;
        const Clock& clock;
        PeerTransport& transport;
        Metrics& metrics;
        std::function<std::string(ShardId)> coordinatorOf; ///< Coordinator's address; empty if it is this daemon.
        /// Receives the address of a coordinator that sent no reply.
        std::function<void(const std::string&)> onCoordinatorUnresponsive;
        DaemonInstanceId instanceId { 0 }; ///< Of this daemon process.
    };

    explicit PlacementClient(Context);
    PlacementClient(const PlacementClient&) = delete;
    PlacementClient& operator=(const PlacementClient&) = delete;

    /// \brief Sends a placement request to the shard's coordinator. The listener must live until it is called or the
    /// request is cancelled.
    /// \returns The id of the placement request; empty if this daemon coordinates the shard itself.
    [[nodiscard]] std::optional<PlacementRequestId> requestPlacement(
        ShardId, const PlacementQuery&, PlacementListener&);

    /// \brief Ends a placement request: notifies the coordinator, and never calls the listener again. Ids of requests
    /// that have ended are ignored.
    void cancel(PlacementRequestId);

    /// \brief Takes a reply of a coordinator. Replies to requests that have ended only count for lastGrantNumber().
    void onReply(const PlacementReply&);

    /// \returns The highest grant number that was received from this instance of a coordinator; 0 if none.
    [[nodiscard]] std::uint64_t lastGrantNumber(DaemonInstanceId coordinator) const;

    /// \returns The number of placement requests that have no final reply yet.
    [[nodiscard]] std::size_t pendingCount() const noexcept { return m_pending.size(); }

private:
    struct PendingRequest {
        PlacementRequest request;
        PlacementListener* listener { nullptr };
        std::string coordinator; ///< Address of the daemon that the request was last sent to.
        unsigned sendCount { 0 }; ///< Sends since the last reply of this coordinator.
        bool hasFailedOver { false }; ///< The first coordinator sent no reply.
        Millis resendAt {}; ///< When it is sent again.
    };

    void send(PendingRequest&, Millis retryDelay);
    void armTimer();
    void onTimer();
    /// \brief Sends a request without a reply again, or sends it to another coordinator after the maximum number of
    /// sends.
    /// \returns Whether the request is still pending; false if no coordinator is left to try.
    [[nodiscard]] bool retryOrFailOver(PendingRequest&);

    Context m_context;
    EventPointer m_timer;
    std::map<PlacementRequestId, PendingRequest> m_pending;
    std::map<DaemonInstanceId, std::uint64_t> m_lastGrantNumbers;
    PlacementRequestId m_lastRequestId { 0 };
};

}
