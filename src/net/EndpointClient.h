#pragma once

#include "net/Interfaces.h"

#include <cstddef>
#include <memory>

struct event_base;

namespace jasminestack {

/// \brief Limits of the connections to endpoints.
struct EndpointClientOptions {
    Millis maxIdleTime { 5'000 }; ///< Connections idle for longer are closed.
    Millis freshLimit { 1'000 }; ///< Idle time up to which a non-idempotent request may reuse a connection.
    std::size_t maxIdleConnectionsPerAddress { 64 }; ///< Idle connections kept for each endpoint at most.
    /// A connection is closed this long before the end of the idle time that the endpoint announces (Keep-Alive), so
    /// that a request does not cross the endpoint's close.
    Millis keepAliveMargin { 1'000 };
};

/// \brief HTTP/1.1 client towards endpoints on the event loop, with one exchange at a time on each connection.
class EndpointClient final : public EndpointTransport {
public:
    EndpointClient(event_base&, const Clock&, const EndpointClientOptions& = {});
    ~EndpointClient() override;
    EndpointClient(const EndpointClient&) = delete;
    EndpointClient& operator=(const EndpointClient&) = delete;

    [[nodiscard]] ExchangeId start(const EndpointRequest&, EndpointListener&) override;
    void cancel(ExchangeId) override;
    void setPaused(ExchangeId, bool paused) override;

    /// \brief Closes all idle connections to \p address, for example because one of them went silent.
    void closeIdle(std::string_view address);

    /// \returns The number of idle connections.
    [[nodiscard]] std::size_t idleConnections() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
