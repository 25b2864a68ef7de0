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

/// \brief Places the requests of other daemons in the shards that this daemon coordinates. Each question gets one
/// answer, also if it is repeated; a waiting request is dropped when its daemon no longer asks.
class PlacementCoordinator {
public:
    struct Context {
        const Clock& clock;
        Random& random;
        RouterBlackboard& board;
        PlacementQueue& queue;
        PeerTransport& transport;
        Metrics& metrics;
        std::function<std::string(DaemonInstanceId)> addressOf; ///< Empty if the daemon is unknown.
        std::function<PlacementOptions()> options;
        DaemonInstanceId instanceId { 0 }; ///< Of this process.
    };

    explicit PlacementCoordinator(Context);
    ~PlacementCoordinator();
    PlacementCoordinator(const PlacementCoordinator&) = delete;
    PlacementCoordinator& operator=(const PlacementCoordinator&) = delete;

    void onPlacementRequest(const PlacementRequest&);

    /// \brief Forgets answered questions and those that are no longer asked.
    void tick();

private:
    class ReceivedRequest;
    using ReceivedRequestKey = std::pair<DaemonInstanceId, PlacementRequestId>;

    void reply(ReceivedRequest&, PlacementReply);

    Context m_context;
    std::map<ReceivedRequestKey, std::unique_ptr<ReceivedRequest>> m_questions;
    std::map<DaemonInstanceId, std::uint64_t> m_grants; ///< Number of the latest grant.
};

}
