#pragma once

#include "base/Clock.h"
#include "base/Result.h"
#include "net/ConnectionBudget.h"
#include "net/EventPriority.h"
#include "observe/ProcessMonitor.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct event_base;

namespace jasminestack {

/// \brief A caller's request with its whole body.
struct CallerRequest {
    std::string method;
    std::string target; ///< Path and query as sent.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::shared_ptr<void> bodyReservation; ///< The request's part of CallerServerOptions::maxTotalBodyBytes.
    Millis arrivedAt {}; ///< Time at which the request's first byte was read.

    /// \returns The value of the first header \p name (any case), or an empty view.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;

    /// \returns The target without its query.
    [[nodiscard]] std::string_view path() const noexcept;
};

/// \brief Status and headers of a response to a caller. The server adds the framing headers.
struct CallerResponseHead {
    int status { 200 };
    std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief Receives the events that occur in an exchange after the caller's request was received.
class CallerListener {
public:
    virtual ~CallerListener() = default;

    /// \brief The caller's connection is closed. This is the last event; the exchange is no longer valid.
    virtual void onCallerDisconnected() = 0;

    /// \brief All bytes sent so far have been written to the socket.
    virtual void onSendBufferEmpty() = 0;
};

/// \brief One request in progress on a caller's connection. It becomes invalid after sendResponse(), endStream() or
/// abort(), and after CallerListener::onCallerDisconnected(). A response begins once, with a status from 200 to 599;
/// after any other call the connection is closed, so that the caller detects an incomplete response.
class CallerExchange {
public:
    virtual ~CallerExchange() = default;
    virtual void setListener(CallerListener&) = 0;
    virtual void sendResponse(const CallerResponseHead&, std::string_view body) = 0;
    virtual void startStream(const CallerResponseHead&) = 0;
    virtual void sendChunk(std::string_view) = 0;
    virtual void endStream() = 0;

    /// \brief Closes the connection, so that the caller detects an incomplete response.
    virtual void abort() = 0;

    /// \returns Bytes of the response that are not yet written to the socket.
    [[nodiscard]] virtual std::size_t bufferedBytes() const = 0;
};

/// \brief Receives the callers' requests.
class CallerHandler {
public:
    virtual ~CallerHandler() = default;

    /// \brief Handles one request; \p exchange may be ended inside this call.
    virtual void onRequest(CallerRequest request, CallerExchange& exchange) = 0;

    /// \brief A request could not be parsed; the server sends an error response and closes the connection.
    /// \returns The body of the error response.
    virtual std::string onInvalidRequest(ErrorKind kind, std::string_view message)
    {
        (void)kind;
        return std::string(message) + "\n";
    }
};

/// \brief Address and limits of the caller server.
struct CallerServerOptions {
    std::string address; ///< "IP:PORT"; with port 0 the system chooses a free port.
    std::size_t maxHeaderBytes { 16U << 10U };
    std::size_t maxBodyBytes { 4U << 20U };
    Millis headerTimeout { 10'000 }; ///< From the first byte of a request to the end of its headers.
    Millis readTimeout { 10'000 }; ///< From the first byte of a request to its end.
    Millis idleTimeout { 60'000 }; ///< Between requests on a connection.
    Millis writeTimeout { 10'000 }; ///< Maximum time without progress while response bytes wait to be written.
    /// For further connections those that have been idle for longest are closed or, if there are none, the new ones
    /// unread; 0: no limit.
    std::size_t maxConnections { 0 };
    /// At maxConnections the oldest connection is closed, also if it is not idle, so that new ones are always served.
    bool closesOldestConnection { false };
    int receiveBufferBytes { 64 << 10 }; ///< Of each connection in the system; what it holds counts as memory too.
    bool requiresHost { true }; ///< Refuses HTTP/1.1 requests without a Host header.
    /// Of new connections and requests; connections with many requests in a short time get IncomingRequests.
    EventPriority priority { EventPriority::IncomingRequests };
    /// Of all requests that are being received or handled, their heads included; later ones are refused as not run.
    /// Requests with bodies of more than CallerServer::smallBodyBytes may use three quarters of it. 0: no limit.
    std::size_t maxTotalBodyBytes { 0 };
    /// Shared with connections to endpoints; outlives the server. Its limit holds like maxConnections. Null: no limit.
    ConnectionBudget* budget { nullptr };
};

/// \brief What became of callers' connections since the counts were last taken.
struct CallerConnectionCounts {
    std::uint64_t accepted { 0 };
    std::uint64_t requests { 0 }; ///< Requests that were passed to the handler.
    std::uint64_t abandoned { 0 }; ///< Connections that their callers closed before a request was read from them.
    std::uint64_t expired { 0 }; ///< Connections that were closed unread after AcceptPolicy::patience.
    std::uint64_t idleClosed { 0 }; ///< Idle connections that were closed at the limit to make room for others.
    std::uint64_t dropped { 0 }; ///< Connections that were closed unread at CallerServerOptions::maxConnections.
    std::size_t open { 0 }; ///< Connections that are open now.
    std::size_t queued { 0 }; ///< Connections that wait in the system's queue now; 0 if the system does not tell.
    Millis longestUnread {}; ///< Longest time from accepting a connection to reading from it.
};

/// \brief HTTP/1.1 server for callers, on plain sockets of the event loop with http_parser. evhttp
/// accepts requests with two conflicting framings, has no timeout for the headers alone, and needs three more system
/// calls for each chunk of a stream.
class CallerServer {
public:
    static constexpr std::size_t smallBodyBytes { 64U << 10U };

    CallerServer(event_base&, CallerHandler&, const CallerServerOptions&);

    /// \brief Closes the listener and all connections; exchanges in progress receive no further event.
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// \brief Binds and listens.
    /// \returns SettingsInvalid if the address cannot be bound.
    [[nodiscard]] Result<void> listen();

    /// \returns The bound port, 0 before listen().
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// \returns Number of requests whose responses are not complete.
    [[nodiscard]] std::size_t openExchangeCount() const noexcept;

    /// \brief Closes each connection after its next response, so that callers move to other daemons.
    void disableKeepAlive() noexcept;

    /// \brief States whether the process lacks processor time. While it does, the newest connections are read first;
    /// see AcceptPolicy.h.
    void setSaturated(bool) noexcept;

    /// \brief Accepts up to \p count connections immediately, before pending events of higher priority.
    void acceptConnections(int count);

    /// \brief Stops accepting connections; exchanges in progress go on.
    void stopListening();

    /// \brief Closes the connections on which no request is in progress.
    void closeIdleConnections();

    /// \brief Changes the limits for later requests; the address is ignored.
    void setLimits(const CallerServerOptions&);

    /// \returns Number of open connections.
    [[nodiscard]] std::size_t connectionCount() const noexcept;

    /// \returns What the server believes to hold for its callers.
    [[nodiscard]] HeldResources heldResources() const noexcept;

    /// \returns The counts since the last call.
    [[nodiscard]] CallerConnectionCounts takeConnectionCounts();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
