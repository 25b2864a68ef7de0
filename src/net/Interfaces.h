#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "base/LogRecord.h"
#include "base/Result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Interfaces between the decision core's callers and the outside. Each has one implementation and a mock.
/// Every callback runs on the event loop's thread, exactly once unless stated otherwise, and never inside the call that
/// registered it.

namespace jasminestack {

/// \brief Client of the platform's log service.
class LogClient {
public:
    using AppendCallback = std::function<void(Result<std::int64_t>)>;
    using ReadCallback = std::function<void(Result<LogBatch>)>;

    virtual ~LogClient() = default;

    /// \brief Appends one record. On an error the record may still have been appended.
    virtual void append(std::string_view stream, std::string_view payload, AppendCallback) = 0;

    /// \brief Reads records from offset \p from; waits up to \p wait for the first one.
    virtual void read(std::string_view stream, std::int64_t from, unsigned maxRecords, Millis wait, ReadCallback) = 0;
};

/// \brief A host in the platform's list.
struct HostEntry {
    std::string id;
    bool isDaemon { false };
    std::string address;
    std::string availabilityZone;
    std::string region;
    bool leaving { false };
};

/// \brief Client of the platform's lagging host list.
class HostListClient {
public:
    using Callback = std::function<void(Result<std::vector<HostEntry>>)>;

    virtual ~HostListClient() = default;
    virtual void fetch(Callback) = 0;
};

/// \brief Sends datagram-like messages to peers and delivers theirs; loses messages rather than blocking.
class PeerTransport {
public:
    using Handler = std::function<void(std::string_view bytes)>;

    virtual ~PeerTransport() = default;

    /// \brief Sends \p bytes to the peer that listens on \p address ("IP:PORT").
    virtual void send(std::string_view address, std::string_view bytes) = 0;

    /// \brief Sets the handler of received messages; it is called any number of times.
    virtual void setReceiveHandler(Handler) = 0;

    /// \brief Tells that an authentic message of the peer that listens on \p address has arrived.
    virtual void notifyPeerActive(std::string_view address) { (void)address; }

    /// \brief Replaces the connection to \p address, because the peer does not receive what is sent over it. Does
    /// nothing if the connection is too young to judge.
    virtual void reconnect(std::string_view address) { (void)address; }
};

/// \brief A request on its way to an endpoint.
struct EndpointRequest {
    RequestId id;
    std::string address; ///< "IP:PORT".
    std::string method;
    std::string target; ///< Path and query.
    std::string host; ///< Value of the Host header; the address if empty.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// If not empty, a response on a reused connection whose header of this name has another value than
    /// \c correlationValue belongs to an earlier request and is skipped.
    std::string correlationHeader;
    std::string correlationValue;
    bool requiresFreshConnection { false }; ///< Use no idle connection older than one second (non-idempotent requests).
    Millis connectTimeout { 1'000 };
    Millis firstByteTimeout { 30'000 };
    Millis responseIdleTimeout { 10'000 }; ///< Between bytes of the answer.
};

/// \brief Status line and headers of an endpoint's answer.
struct HttpResponseHead {
    int status { 0 };
    std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief How an exchange with an endpoint ended.
struct EndpointExchangeResult {
    bool isComplete { false }; ///< The answer ended as its framing says.
    bool requestMayHaveBeenSent { false }; ///< A byte of the request may have reached the endpoint.
    bool responseStarted { false }; ///< A byte of an answer has arrived.
    bool reused { false }; ///< The connection had carried another exchange before.
    ErrorKind error { ErrorKind::Internal }; ///< Valid when not complete.
};

/// \brief Receives the events of one exchange. onEnd() is the last call and always comes.
class EndpointListener {
public:
    virtual ~EndpointListener() = default;
    virtual void onConnected() = 0; ///< The connection stands and the request is being written.
    virtual void onHead(const HttpResponseHead&) = 0;
    virtual void onBody(std::string_view chunk) = 0;
    virtual void onEnd(const EndpointExchangeResult&) = 0;
};

/// \brief Handle of an exchange in progress.
using ExchangeId = std::uint64_t;

/// \brief Client side of HTTP towards endpoints.
class EndpointTransport {
public:
    virtual ~EndpointTransport() = default;

    /// \brief Starts an exchange; \p listener must live until its onEnd() or until cancel().
    [[nodiscard]] virtual ExchangeId start(const EndpointRequest& request, EndpointListener& listener) = 0;

    /// \brief Drops an exchange and closes its connection; no further event comes.
    virtual void cancel(ExchangeId) = 0;

    /// \brief Stops or resumes reading of the answer (back pressure).
    virtual void setPaused(ExchangeId, bool paused) = 0;
};

}
