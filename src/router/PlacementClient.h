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

/// \brief Receives the outcome of one question; one call, never inside requestPlacement().
class PlacementListener {
public:
    virtual ~PlacementListener() = default;

    /// \brief The coordinator at this address has decided: any answer but Queued.
    virtual void onPlacement(const PlacementReply&, std::string_view coordinator) = 0;

    /// \brief No coordinator answers; the daemon has to decide by itself.
    virtual void onPlacementUnanswered() = 0;
};

/// \brief Asks coordinators where requests go. Repeats a question whose answer does not come, and turns to another
/// coordinator once before it gives up.
class PlacementClient {
public:
    struct Context {
        event_base& base;
        const Clock& clock;
        PeerTransport& transport;
        Metrics& metrics;
        std::function<std::string(ShardId)> coordinatorOf; ///< Empty: this daemon itself.
        std::function<void(const std::string&)> suspect; ///< The daemon at this address does not answer.
        DaemonInstanceId instanceId { 0 }; ///< Of this process.
    };

    explicit PlacementClient(Context);
    PlacementClient(const PlacementClient&) = delete;
    PlacementClient& operator=(const PlacementClient&) = delete;

    /// \returns The question's id, or nothing if this daemon coordinates the shard itself.
    [[nodiscard]] std::optional<PlacementRequestId> requestPlacement(
        ShardId, const PlacementQuery&, PlacementListener&);

    /// \brief The request has ended; its listener is not called any more.
    void cancel(PlacementRequestId);

    void onReply(const PlacementReply&);

    /// \returns The number of the latest grant that was received from a coordinator's process.
    [[nodiscard]] std::uint64_t lastGrantNumber(DaemonInstanceId coordinator) const;

    /// \returns Questions without an answer.
    [[nodiscard]] std::size_t pendingCount() const noexcept { return m_open.size(); }

private:
    struct PendingRequest {
        PlacementRequest request;
        PlacementListener* listener { nullptr };
        std::string coordinator; ///< Address.
        unsigned sends { 0 }; ///< Without an answer.
        bool secondCoordinator { false };
        Millis due {}; ///< When it is sent again.
    };

    void send(PendingRequest&, Millis pause);
    void arm();
    void onTimer();
    /// \returns Whether the question is still open.
    [[nodiscard]] bool repeat(PendingRequest&);

    Context m_context;
    EventPointer m_timer;
    std::map<PlacementRequestId, PendingRequest> m_open;
    std::map<DaemonInstanceId, std::uint64_t> m_grantsSeen;
    PlacementRequestId m_lastId { 0 };
};

}
