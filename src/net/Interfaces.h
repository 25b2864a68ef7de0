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
/// \brief Interfaces to platform services, peers and endpoints. Each has an implementation and a mock for tests.
/// Every callback runs on the event loop's thread, after the function that it was passed to has returned, and exactly
/// once unless stated otherwise.

namespace jasminestack {

/// \brief Client of the platform's log service.
class LogClient {
public:
    using AppendCallback = std::function<void(Result<std::int64_t>)>;
    using ReadCallback = std::function<void(Result<LogBatch>)>;

    virtual ~LogClient() = default;

    /// \brief Appends one record. On an error the record may still have been appended.
    virtual void append(std::string_view stream, std::string_view payload, AppendCallback) = 0;

    /// \brief Reads at most \p maxRecords records, starting at offset \p from. If the stream has no such record
    /// yet, the service waits for one up to \p maxWait.
    virtual void read(std::string_view stream, std::int64_t from, unsigned maxRecords, Millis maxWait, ReadCallback)
        = 0;
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

/// \brief Client of the platform's host list. The platform updates the list some time after hosts join or leave.
class HostListClient {
public:
    using Callback = std::function<void(Result<std::vector<HostEntry>>)>;

    virtual ~HostListClient() = default;
    virtual void fetch(Callback) = 0;
};

/// \brief Exchanges messages with peers, without delivery guarantee: a message is dropped if sending it would
/// block.
class PeerTransport {
public:
    using Handler = std::function<void(std::string_view bytes)>;

    virtual ~PeerTransport() = default;

    /// \brief Sends \p bytes to the peer that listens on \p address ("IP:PORT").
    virtual void send(std::string_view address, std::string_view bytes) = 0;

    /// \brief Sets the handler of received messages; it is called any number of times.
    virtual void setReceiveHandler(Handler) = 0;

    /// \brief Records that an authenticated message from the peer that listens on \p address was received.
    virtual void notifyPeerActive(std::string_view address) { (void)address; }

    /// \brief Replaces the connection to \p address, because messages sent over it do not reach the peer. Does
    /// nothing if the connection was opened so recently that a probe sent over it may still be acknowledged.
    virtual void reconnect(std::string_view address) { (void)address; }
};

/// \brief A request to an endpoint.
struct EndpointRequest {
    RequestId id;
    std::string address; ///< "IP:PORT".
    std::string method;
    std::string target; ///< Path and query.
    std::string host; ///< Value of the Host header; if empty, \c address is used.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string_view body; ///< Must stay valid until the exchange has ended or is cancelled.
    /// Name of the response header in which the endpoint returns \c correlationValue; if empty, responses are not
    /// checked. On a reused connection, a response with another value in this header belongs to an earlier request and
    /// is skipped. If it has no length, the exchange ends with AnswerMismatch, since nothing can follow it.
    std::string correlationHeader;
    std::string correlationValue;
    bool requiresFreshConnection {
        false
    }; ///< Do not reuse a connection that was idle for one second or longer (non-idempotent requests).
    Millis connectTimeout { 1'000 };
    Millis firstByteTimeout { 30'000 }; ///< Maximum time from sending the request to the first byte of the response.
    Millis responseIdleTimeout { 10'000 }; ///< Maximum time between two reads of the response.
};

/// \brief Status line and headers of an endpoint's response.
struct HttpResponseHead {
    int status { 0 };
    std::vector<std::pair<std::string, std::string>> headers;
    /// It has no EndpointRequest::correlationHeader and arrived on a reused connection: the endpoint may have sent it
    /// for an earlier request.
    bool isUncorrelated { false };
};

/// \brief How an exchange with an endpoint ended.
struct EndpointExchangeResult {
    bool isComplete { false }; ///< The response was received up to the end that its framing defines; its head first.
    bool requestMayHaveBeenSent { false }; ///< A byte of the request may have reached the endpoint.
    bool responseStarted { false }; ///< At least one byte of a response was received; late ones do not count.
    bool connectionWasReused { false }; ///< The connection had been used by an earlier exchange.
    ErrorKind error { ErrorKind::Internal }; ///< Valid if \c isComplete is false.
    std::string_view malformedPart {}; ///< Name of the part that violates HTTP, if \c error is AnswerMalformed.
};

/// \brief A response to an earlier request on the same connection, found where the response to this one is due.
struct LateResponse {
    int status { 0 };
    std::string_view correlationValue; ///< That of the earlier request; valid during the call that passes it.
    bool endsWithConnection { false }; ///< It has no length, so that no other response can follow it.
};

/// \brief Receives the events of one exchange. onEnd() is the last call; it is always made unless the exchange is
/// cancelled. If a call throws, the exchange ends with ErrorKind::Internal.
class EndpointListener {
public:
    virtual ~EndpointListener() = default;
    virtual void onConnected() = 0; ///< The connection is established and the request is being written.
    /// \brief The head of a late response was received; the response is not passed on. Called for each of them.
    virtual void onLateResponse(const LateResponse&) { }
    virtual void onHead(const HttpResponseHead&) = 0;
    virtual void onBody(std::string_view chunk) = 0;
    virtual void onEnd(const EndpointExchangeResult&) = 0;
};

/// \brief Handle of an exchange in progress.
using ExchangeId = std::uint64_t;

/// \brief Sends HTTP requests to endpoints.
class EndpointTransport {
public:
    virtual ~EndpointTransport() = default;

    /// \brief Starts an exchange; \p listener must live until its onEnd() or until cancel().
    [[nodiscard]] virtual ExchangeId start(const EndpointRequest& request, EndpointListener& listener) = 0;

    /// \brief Ends an exchange and closes its connection; its listener receives no further event.
    virtual void cancel(ExchangeId) = 0;

    /// \brief Stops or resumes reading of the response (back pressure).
    virtual void setPaused(ExchangeId, bool paused) = 0;
};

}
