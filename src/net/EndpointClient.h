#pragma once

#include "net/ConnectionBudget.h"
#include "net/Interfaces.h"

#include <cstddef>
#include <memory>

struct event_base;

namespace jasminestack {

/// \brief Limits for connections to endpoints.
struct EndpointClientOptions {
    Millis maxIdleTime { 5'000 }; ///< Connections idle for longer are closed.
    Millis maxFreshIdleTime {
        1'000
    }; ///< A request that requires a fresh connection may reuse one that was idle for less than this time.
    std::size_t maxIdleConnectionsPerAddress { 64 }; ///< Maximum number of idle connections kept for each address.
    /// A connection is closed this long before the end of the idle time that the endpoint announces (Keep-Alive), but
    /// not before half of the announced time, so that no request is sent while the endpoint closes the connection.
    Millis keepAliveMargin { 1'000 };
    /// Shared with callers' connections; outlives the client. At its limit the connection that has been idle for
    /// longest is closed for a new one or, if there is none, the exchange ends with RouterOverloaded. Null: no limit.
    ConnectionBudget* budget { nullptr };
    /// Of the receive buffers of all connections, approximately. What waits in them counts as memory of the process,
    /// and a connection whose caller reads slowly is not read either. 0: the system's choice for each connection.
    std::size_t receiveMemory { 0 };
    /// Of the heads of all responses, apart from short ones. A long head for which there is no room ends its exchange.
    /// 0: no limit.
    std::size_t maxTotalHeadMemory { 0 };
};

/// \brief HTTP/1.1 client for endpoints on the event loop, with one exchange at a time on each connection.
class EndpointClient final : public EndpointTransport {
public:
    EndpointClient(event_base&, const Clock&, const EndpointClientOptions& = {});
    ~EndpointClient() override;
    EndpointClient(const EndpointClient&) = delete;
    EndpointClient& operator=(const EndpointClient&) = delete;

    [[nodiscard]] ExchangeId start(const EndpointRequest&, EndpointListener&) override;
    void cancel(ExchangeId) override;
    void setPaused(ExchangeId, bool paused) override;

    /// \brief Closes all idle connections to \p address, for example because the endpoint stopped responding on one of
    /// them.
    void closeIdleConnections(std::string_view address);

    /// \returns The number of idle connections.
    [[nodiscard]] std::size_t idleConnectionCount() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
