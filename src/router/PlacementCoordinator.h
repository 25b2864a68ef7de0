#pragma once

#include "net/Interfaces.h"
#include "router/PlacementQueue.h"
#include "router/RequestRouter.h"
#include "routing/PlacementMessages.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jasminestack {

/// \brief Places the requests of other daemons in the shards that this daemon coordinates. Placement requests are
/// idempotent: one that is sent again gets the stored reply. A queued request is dropped when its daemon no longer
/// sends it.
class PlacementCoordinator {
public:
    struct Context {
        const Clock& clock;
        Random& random;
        RouterBlackboard& board;
        PlacementQueue& queue;
        PeerTransport& transport;
        Metrics& metrics;
        std::function<std::string(DaemonInstanceId)>
            addressOf; ///< Address of a daemon instance; empty if it is unknown.
        std::function<PlacementOptions()> options;
        DaemonInstanceId instanceId { 0 }; ///< Of this daemon process.
    };

    explicit PlacementCoordinator(Context);
    ~PlacementCoordinator();
    PlacementCoordinator(const PlacementCoordinator&) = delete;
    PlacementCoordinator& operator=(const PlacementCoordinator&) = delete;

    /// \brief Places a new request, sends the stored reply if the request was received before, or cancels it. Requests
    /// for shards without endpoints are ignored.
    void onPlacementRequest(const PlacementRequest&);

    /// \brief Removes stored replies after their retention time, and pending requests that their daemons no longer
    /// send.
    void tick();

private:
    class ReceivedRequest;
    using ReceivedRequestKey = std::pair<DaemonInstanceId, PlacementRequestId>;

    void sendReply(ReceivedRequest&, PlacementReply);

    Context m_context;
    std::map<ReceivedRequestKey, std::unique_ptr<ReceivedRequest>> m_requests;
    std::map<DaemonInstanceId, std::uint64_t>
        m_lastGrantNumbers; ///< Number of the latest grant to each daemon instance.
};

}
