#include "net/EndpointClient.h"

#include "net/EventCallback.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "net/HttpResponseParser.h"
#include "net/MemoryReservation.h"
#include "net/Socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <event2/event.h>
#include <optional>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminestack {

namespace {

    constexpr std::size_t readBufferBytes = 64U << 10U;

    // What is read of one connection before the next read waits with the events of callers. A connection whose bytes
    // take longer to handle than to arrive is ready in each turn of the loop, and callers, whose events have a lower
    // priority, would not be read until its end.
    constexpr std::size_t maxBytesBeforeCallers = 4 * readBufferBytes;
    constexpr unsigned maxReadsBeforeCallers = 64;

    // A connection that had nothing to read for this long has left turns of the loop to callers.
    constexpr Millis readPauseForCallers { 2 };

    // An endpoint may read a request that is longer than its receive window late, even after it began to respond. The
    // kernel would take it for one that is gone; the timeouts of the request decide instead.
    constexpr std::size_t longRequestBytes = 64U << 10U;

    // An endpoint that sends more late responses in one exchange may send them without end.
    constexpr unsigned maxLateResponses = 8;

    // Heads of usual length are not counted, so that exchanges with them are not affected by long ones.
    constexpr std::size_t uncountedHeadBytes = 4U << 10U;

    // A head is kept as text while it is received, then parsed, and copied by the listener.
    constexpr std::size_t headCopies = 3;

    // Bounds of a connection's receive buffer: a typical answer, and what fills a path of some milliseconds.
    constexpr std::size_t minReceiveBytes = 16U << 10U;
    constexpr std::size_t maxReceiveBytes = 64U << 10U;

    // Returns the receive buffer of one more connection beside \p openConnections.
    int receiveBufferBytes(std::size_t receiveMemory, std::size_t openConnections) noexcept
    {
        if (receiveMemory == 0)
            return 0;
        std::size_t share = receiveMemory / 2 / (openConnections + 1); // The system doubles it.
        return static_cast<int>(std::clamp(share, minReceiveBytes, maxReceiveBytes));
    }

    constexpr Millis half(Millis duration) noexcept { return { duration.count / 2 }; }

    std::string formatHead(const EndpointRequest& request)
    {
        std::string text;
        text.reserve(512);
        text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
        text.append(request.host.empty() ? request.address : request.host).append("\r\n");
        for (const auto& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        return text.append("\r\n");
    }

    // Returns what sendmsg() does for the bytes of both views.
    ssize_t sendBoth(int descriptor, std::string_view first, std::string_view second)
    {
        // The system does not write to the buffers, although their pointers are not const.
        std::array<iovec, 2> buffers { iovec { const_cast<char*>(first.data()), first.size() },
            iovec { const_cast<char*>(second.data()), second.size() } };
        msghdr message {};
        message.msg_iov = buffers.data();
        message.msg_iovlen = buffers.size();
        return sendmsg(descriptor, &message, MSG_NOSIGNAL);
    }

    // Bounds an announced idle time, so that its conversion to milliseconds doesn't overflow; EndpointClientOptions has
    // the bound that is used.
    constexpr std::int64_t maxAnnouncedIdleSeconds = 1'000'000;

    // Returns the idle time that the endpoint announced in `Keep-Alive: timeout=SECONDS`, if any.
    std::optional<Millis> announcedIdleTime(const HttpResponseHead& head)
    {
        std::string_view value = findHeader(head.headers, "Keep-Alive");
        std::size_t position = value.find("timeout=");
        if (position == std::string_view::npos)
            return std::nullopt;
        std::int64_t seconds = 0;
        value.remove_prefix(position + std::string_view("timeout=").size());
        if (std::from_chars(value.data(), value.data() + value.size(), seconds).ec != std::errc {})
            return std::nullopt;
        return Millis { std::clamp<std::int64_t>(seconds, 0, maxAnnouncedIdleSeconds) * 1'000 };
    }

}

struct EndpointClient::State {
    enum class Phase : std::uint8_t { NotStarted, Connecting, AwaitingResponse, ReceivingResponse };

    // Members are destroyed in reverse order, so each event is freed before the socket that it watches.
    struct IdleConnection {
        State* owner { nullptr };
        std::string address;
        Millis idleSince {};
        Millis idleTimeout {}; ///< Idle time after which the connection is closed.
        ConnectionSlot slot;
        FileDescriptor socket;
        EventPointer idleReadEvent;
    };

    struct Exchange {
        State* owner { nullptr };
        ExchangeId id { 0 };
        EndpointRequest request;
        EndpointListener* listener { nullptr };
        ConnectionSlot slot;
        FileDescriptor socket;
        EventPointer readEvent;
        EventPointer writeEvent;
        EventPointer timer;
        std::string head; ///< The serialised request without its body.
        std::size_t writtenBytes { 0 }; ///< Of the head and then of the body.
        HttpResponseParser parser;
        std::optional<MemoryReservation> headReservation; ///< Of a long head.
        Phase phase { Phase::NotStarted };
        Millis awaitingSince {}; ///< Start of the timeout for the first byte of the response.
        Millis lastActivity {}; ///< Late responses included.
        bool headDelivered { false };
        bool requestMayHaveBeenSent { false };
        bool connectionWasReused { false };
        bool skippingResponse { false }; ///< The response being read belongs to an earlier request.
        unsigned lateResponses { 0 };
        bool mustCloseConnection { false }; ///< It cannot be used for another exchange, whatever its response says.
        bool paused { false };
        bool isLongRequest { false };
        std::size_t bytesBeforeCallers { 0 }; ///< Read since the last read that waited with the events of callers.
        unsigned readsBeforeCallers { 0 };

        [[nodiscard]] std::size_t requestBytes() const noexcept { return head.size() + request.body.size(); }
        [[nodiscard]] bool isRequestWritten() const noexcept { return writtenBytes == requestBytes(); }
    };

    event_base& base;
    const Clock& clock;
    EndpointClientOptions options;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges;
    std::vector<std::unique_ptr<IdleConnection>> idleConnections; ///< Longest idle first.
    ExchangeId lastId { 0 };
    std::shared_ptr<std::size_t> totalHeadMemory { std::make_shared<std::size_t>(0) };
    EventPointer idleCheckTimer;
    std::vector<char> readBuffer;

    State(event_base& eventBase, const Clock& clientClock, const EndpointClientOptions& clientOptions)
        : base(eventBase)
        , clock(clientClock)
        , options(clientOptions)
        , idleCheckTimer(makeEvent(eventBase, -1, EV_PERSIST, closeExpiredConnections, this))
        , readBuffer(readBufferBytes)
    {
        timeval interval { .tv_sec = 0, .tv_usec = 250'000 };
        event_add(idleCheckTimer.get(), &interval);
    }

    [[nodiscard]] bool isInProgress(ExchangeId id) const { return exchanges.contains(id); }

    // Returns null if there is none.
    std::unique_ptr<IdleConnection> takeIdleConnection(const std::string& address, bool requiresFresh)
    {
        // The most recently used connection is the least likely to have been closed by the endpoint.
        auto found = std::find_if(idleConnections.rbegin(), idleConnections.rend(),
            [&](const auto& connection) { return connection->address == address; });
        if (found == idleConnections.rend())
            return {};
        Millis maxIdleTime = (*found)->idleTimeout;
        if (requiresFresh)
            maxIdleTime = std::min(maxIdleTime, options.maxFreshIdleTime);
        if (clock.now() - (*found)->idleSince >= maxIdleTime)
            return {};
        std::unique_ptr<IdleConnection> connection = std::move(*found);
        idleConnections.erase(std::next(found).base());
        connection->idleReadEvent.reset();
        return connection;
    }

    // Returns whether another connection may be opened, for which an idle one may be closed.
    bool makeRoom()
    {
        if (!options.budget || hasRoomForEndpoint(*options.budget))
            return true;
        if (idleConnections.empty())
            return false;
        idleConnections.erase(idleConnections.begin());
        return true;
    }

    void addIdleConnection(FileDescriptor socket, ConnectionSlot slot, const std::string& address, Millis idleTimeout)
    {
        auto sameAddressCount = std::count_if(idleConnections.begin(), idleConnections.end(),
            [&](const auto& connection) { return connection->address == address; });
        if (static_cast<std::size_t>(sameAddressCount) >= options.maxIdleConnectionsPerAddress)
            return;
        auto connection = std::make_unique<IdleConnection>();
        connection->owner = this;
        connection->address = address;
        connection->idleSince = clock.now();
        connection->idleTimeout = idleTimeout;
        connection->slot = std::move(slot);
        connection->socket = std::move(socket);
        connection->idleReadEvent
            = makeEvent(base, connection->socket.value(), EV_READ, onIdleReadable, connection.get());
        event_add(connection->idleReadEvent.get(), nullptr);
        idleConnections.push_back(std::move(connection));
    }

    void closeIdleConnections(std::string_view address)
    {
        std::erase_if(idleConnections, [&](const auto& connection) { return connection->address == address; });
    }

    // An idle connection becomes readable if the endpoint closed it or sent bytes outside a response. After such bytes,
    // the next response could not be matched to its request, so the connection is closed in both cases.
    static void onIdleReadable(evutil_socket_t, short, void* argument)
    {
        auto& connection = *static_cast<IdleConnection*>(argument);
        std::erase_if(connection.owner->idleConnections, [&](const auto& item) { return item.get() == &connection; });
    }

    static void closeExpiredConnections(evutil_socket_t, short, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        Millis now = state.clock.now();
        std::erase_if(state.idleConnections,
            [&](const auto& connection) { return now - connection->idleSince >= connection->idleTimeout; });
    }

    void attachSocket(Exchange& exchange, FileDescriptor socket)
    {
        exchange.socket = std::move(socket);
        int descriptor = exchange.socket.value();
        exchange.readEvent = makeEvent(base, descriptor, EV_READ | EV_PERSIST, onReadable, &exchange);
        exchange.writeEvent = makeEvent(base, descriptor, EV_WRITE, onWritable, &exchange);
    }

    void startExchange(Exchange& exchange)
    {
        if (auto reused = takeIdleConnection(exchange.request.address, exchange.request.requiresFreshConnection)) {
            exchange.connectionWasReused = true;
            exchange.slot = std::move(reused->slot);
            attachSocket(exchange, std::move(reused->socket));
            sendRequest(exchange);
            return;
        }
        if (!makeRoom()) {
            finish(exchange, ErrorKind::RouterOverloaded);
            return;
        }
        auto socket = startConnection(exchange.request.address,
            receiveBufferBytes(options.receiveMemory, exchanges.size() + idleConnections.size()));
        if (!socket) {
            finish(exchange, socket.error().kind);
            return;
        }
        exchange.slot = ConnectionSlot(options.budget ? &options.budget->endpoints : nullptr);
        attachSocket(exchange, std::move(socket).value());
        exchange.phase = Phase::Connecting;
        timeval timeout = toTimeval(exchange.request.connectTimeout);
        evtimer_add(exchange.timer.get(), &timeout);
        event_add(exchange.writeEvent.get(), nullptr);
    }

    void sendRequest(Exchange& exchange)
    {
        exchange.phase = Phase::AwaitingResponse;
        exchange.awaitingSince = clock.now();
        exchange.lastActivity = exchange.awaitingSince;
        // The body of a response depends on the method of its request, so that a late one could not be told apart from
        // what follows it.
        exchange.mustCloseConnection = exchange.request.method == "HEAD";
        exchange.head = formatHead(exchange.request);
        exchange.isLongRequest = exchange.requestBytes() > longRequestBytes;
        if (exchange.isLongRequest)
            setUnacknowledgedTimeout(exchange.socket.value(), exchange.request.firstByteTimeout);
        timeval timeout = toTimeval(exchange.request.firstByteTimeout);
        evtimer_add(exchange.timer.get(), &timeout);
        if (!exchange.paused)
            event_add(exchange.readEvent.get(), nullptr);
        ExchangeId id = exchange.id;
        write(exchange);
        if (isInProgress(id))
            exchange.listener->onConnected();
    }

    void write(Exchange& exchange)
    {
        std::string_view head
            = std::string_view(exchange.head).substr(std::min(exchange.writtenBytes, exchange.head.size()));
        std::string_view body = exchange.request.body.substr(
            exchange.writtenBytes - std::min(exchange.writtenBytes, exchange.head.size()));
        ssize_t sent = sendBoth(exchange.socket.value(), head, body);
        if (sent > 0) {
            exchange.requestMayHaveBeenSent = true;
            exchange.writtenBytes += static_cast<std::size_t>(sent);
        } else if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            finish(
                exchange, exchange.requestMayHaveBeenSent ? ErrorKind::EndpointLost : ErrorKind::EndpointUnavailable);
            return;
        }
        if (!exchange.isRequestWritten())
            event_add(exchange.writeEvent.get(), nullptr);
    }

    // Returns whether the endpoint's system has received the whole request. An answer to a short one shows that it has.
    static bool isRequestReceived(const Exchange& exchange)
    {
        return exchange.isRequestWritten()
            && (!exchange.isLongRequest || isOutputAcknowledged(exchange.socket.value()));
    }

    // Returns whether the next request would not wait behind the rest of this one.
    static bool prepareReuseAfterRequest(const Exchange& exchange)
    {
        if (exchange.isLongRequest)
            setUnacknowledgedTimeout(exchange.socket.value(), TcpKeepAliveOptions {}.unacknowledgedTimeout);
        return isRequestReceived(exchange);
    }

    void finish(Exchange& exchange, ErrorKind error, bool isComplete = false)
    {
        EndpointExchangeResult result { .isComplete = isComplete,
            .requestMayHaveBeenSent = exchange.requestMayHaveBeenSent,
            .responseStarted = exchange.phase == Phase::ReceivingResponse,
            .connectionWasReused = exchange.connectionWasReused,
            .error = error,
            .malformedPart = toString(exchange.parser.malformedPart()) };
        EndpointListener& listener = *exchange.listener;
        std::string address = std::move(exchange.request.address);
        if (!isComplete)
            closeIdleConnections(address);
        FileDescriptor reusableSocket;
        ConnectionSlot reusableSlot;
        Millis idleTimeout = options.maxIdleTime;
        if (auto announced = announcedIdleTime(exchange.parser.head()))
            idleTimeout
                = std::min(idleTimeout, std::max(*announced - options.keepAliveMargin, *announced - half(*announced)));
        bool isReusable = exchange.parser.connectionIsReusable() && !exchange.mustCloseConnection;
        if (isComplete && isReusable && prepareReuseAfterRequest(exchange)) {
            exchange.readEvent.reset();
            exchange.writeEvent.reset();
            reusableSocket = std::move(exchange.socket);
            reusableSlot = std::move(exchange.slot);
        }
        exchanges.erase(exchange.id);
        if (reusableSocket.value() >= 0)
            runGuarded("endpoint_keep_connection",
                [&] { addIdleConnection(std::move(reusableSocket), std::move(reusableSlot), address, idleTimeout); });
        listener.onEnd(result);
    }

    // Calls \p body for an event of the exchange. If it throws, the exchange ends with ErrorKind::Internal: bytes of
    // the response may be lost.
    template <typename Body> static void runCallback(std::string_view name, Exchange& exchange, const Body& body)
    {
        State& state = *exchange.owner;
        ExchangeId id = exchange.id;
        runGuarded(name, body, [&] {
            if (auto found = state.exchanges.find(id); found != state.exchanges.end())
                state.finish(*found->second, ErrorKind::Internal);
        });
    }

    // Returns whether there is memory for the head that was received so far.
    [[nodiscard]] bool reserveHead(Exchange& exchange) const
    {
        std::size_t bytes = exchange.parser.headBytes();
        if (bytes <= uncountedHeadBytes)
            return true;
        if (!exchange.headReservation)
            exchange.headReservation.emplace(totalHeadMemory);
        return exchange.headReservation->growTo(headCopies * bytes, options.maxTotalHeadMemory);
    }

    // Starts the timeout between two reads of the response.
    static void beginResponse(Exchange& exchange)
    {
        if (exchange.phase != Phase::AwaitingResponse || exchange.skippingResponse)
            return;
        exchange.phase = Phase::ReceivingResponse;
        timeval timeout = toTimeval(exchange.request.responseIdleTimeout);
        evtimer_add(exchange.timer.get(), &timeout);
    }

    // Parses received bytes and drops responses to earlier requests on this connection.
    void receive(Exchange& exchange, std::span<char> data)
    {
        while (true) {
            beginResponse(exchange);
            std::string_view body = exchange.parser.feed(data);
            if (!reserveHead(exchange)) {
                finish(exchange, ErrorKind::RouterOverloaded);
                return;
            }
            if (isLateResponse(exchange) && !beginSkipping(exchange))
                return;
            if (!exchange.skippingResponse) {
                static_cast<void>(deliver(exchange, body));
                return;
            }
            if (exchange.parser.failed()) {
                finish(exchange, ErrorKind::AnswerMalformed);
                return;
            }
            if (!exchange.parser.complete())
                return;
            data = data.subspan(exchange.parser.consumedBytes());
            exchange.parser = HttpResponseParser(exchange.request.method == "HEAD");
            exchange.headReservation.reset();
            exchange.skippingResponse = false;
            if (data.empty())
                return;
        }
    }

    // Returns whether the head just received is that of a response to an earlier request.
    static bool isLateResponse(const Exchange& exchange)
    {
        if (exchange.skippingResponse || !exchange.connectionWasReused || exchange.headDelivered
            || exchange.request.correlationHeader.empty() || !exchange.parser.headComplete())
            return false;
        std::string_view echoedValue = findHeader(exchange.parser.head().headers, exchange.request.correlationHeader);
        return !echoedValue.empty() && echoedValue != exchange.request.correlationValue;
    }

    // Reports a late response, and waits for the one to this request. Returns false if the exchange has ended.
    bool beginSkipping(Exchange& exchange)
    {
        ExchangeId id = exchange.id;
        const HttpResponseHead& head = exchange.parser.head();
        bool endsWithConnection = exchange.parser.isCloseDelimited();
        exchange.skippingResponse = true;
        exchange.mustCloseConnection = exchange.mustCloseConnection || !exchange.parser.keepsConnection();
        exchange.phase = Phase::AwaitingResponse;
        restartTimer(exchange, exchange.request.firstByteTimeout - (clock.now() - exchange.awaitingSince));
        exchange.listener->onLateResponse({ .status = head.status,
            .correlationValue = findHeader(head.headers, exchange.request.correlationHeader),
            .endsWithConnection = endsWithConnection });
        if (!isInProgress(id))
            return false;
        // Nothing can follow a response without a length; where one to HEAD would end is not known.
        bool mayBeFollowed = !endsWithConnection && exchange.request.method != "HEAD";
        if (mayBeFollowed && ++exchange.lateResponses <= maxLateResponses)
            return true;
        finish(exchange, ErrorKind::AnswerMismatch);
        return false;
    }

    static void restartTimer(Exchange& exchange, Millis delay)
    {
        timeval timeout = toTimeval(std::max(delay, Millis { 1 }));
        evtimer_add(exchange.timer.get(), &timeout);
    }

    // Passes the parsed head and body to the listener. Returns false if the exchange has ended.
    bool deliver(Exchange& exchange, std::string_view body)
    {
        ExchangeId id = exchange.id;
        if (exchange.parser.headComplete() && !exchange.headDelivered && !exchange.parser.failed()) {
            exchange.headDelivered = true;
            HttpResponseHead head = exchange.parser.head();
            head.isUncorrelated = exchange.connectionWasReused && !exchange.request.correlationHeader.empty()
                && findHeader(head.headers, exchange.request.correlationHeader).empty();
            exchange.listener->onHead(head);
            if (!isInProgress(id))
                return false;
        }
        if (!body.empty()) {
            exchange.listener->onBody(body);
            if (!isInProgress(id))
                return false;
        }
        if (exchange.parser.failed()) {
            finish(exchange, ErrorKind::AnswerMalformed);
            return false;
        }
        if (exchange.parser.complete()) {
            finish(exchange, ErrorKind::Internal, true);
            return false;
        }
        return true;
    }

    static void onReadable(evutil_socket_t descriptor, short, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        runCallback("endpoint_read", exchange, [&] { exchange.owner->read(exchange, descriptor); });
    }

    void selectReadPriority(Exchange& exchange, std::size_t readBytes) const
    {
        if (clock.now() - exchange.lastActivity >= readPauseForCallers) {
            exchange.bytesBeforeCallers = 0;
            exchange.readsBeforeCallers = 0;
        }
        exchange.bytesBeforeCallers += readBytes;
        ++exchange.readsBeforeCallers;
        bool mustWait = exchange.bytesBeforeCallers >= maxBytesBeforeCallers
            || exchange.readsBeforeCallers >= maxReadsBeforeCallers;
        if (mustWait) {
            exchange.bytesBeforeCallers = 0;
            exchange.readsBeforeCallers = 0;
        }
        setEventPriority(
            *exchange.readEvent, mustWait ? EventPriority::IncomingRequests : EventPriority::ActiveRequests);
    }

    void read(Exchange& exchange, evutil_socket_t descriptor)
    {
        ssize_t length = recv(descriptor, readBuffer.data(), readBuffer.size(), 0);
        if (length > 0) {
            selectReadPriority(exchange, static_cast<std::size_t>(length));
            exchange.lastActivity = clock.now();
            receive(exchange, { readBuffer.data(), static_cast<std::size_t>(length) });
            return;
        }
        if (length < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        // The end of a connection whose endpoint has not received the whole request is no end of an answer.
        if (length == 0 && exchange.headDelivered && isRequestReceived(exchange)) {
            exchange.parser.endOfInput();
            if (exchange.parser.complete()) {
                finish(exchange, ErrorKind::Internal, true);
                return;
            }
        }
        finish(exchange, exchange.headDelivered ? ErrorKind::AnswerTruncated : ErrorKind::EndpointLost);
    }

    static void onWritable(evutil_socket_t descriptor, short, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        runCallback("endpoint_write", exchange, [&] { exchange.owner->connectOrWrite(exchange, descriptor); });
    }

    void connectOrWrite(Exchange& exchange, evutil_socket_t descriptor)
    {
        if (exchange.phase != Phase::Connecting) {
            write(exchange);
            return;
        }
        int error = 0;
        socklen_t length = sizeof(error);
        if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
            finish(exchange, ErrorKind::EndpointUnavailable);
        else
            sendRequest(exchange);
    }

    static void onTimer(evutil_socket_t, short, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        runCallback("endpoint_timer", exchange, [&] { exchange.owner->startOrCheckTimeout(exchange); });
    }

    void startOrCheckTimeout(Exchange& exchange)
    {
        switch (exchange.phase) {
        case Phase::NotStarted:
            startExchange(exchange);
            return;
        case Phase::Connecting:
            finish(exchange, ErrorKind::EndpointUnavailable);
            return;
        case Phase::AwaitingResponse:
        case Phase::ReceivingResponse:
            break;
        }
        // The timer is not restarted for each chunk; instead, the time since the last received byte is checked when it
        // expires.
        bool isAwaiting = exchange.phase == Phase::AwaitingResponse;
        Millis timeout = isAwaiting ? exchange.request.firstByteTimeout : exchange.request.responseIdleTimeout;
        Millis start = isAwaiting ? exchange.awaitingSince : exchange.lastActivity;
        Millis waitedTime = exchange.paused ? Millis {} : clock.now() - start;
        if (waitedTime >= timeout)
            finish(exchange, ErrorKind::EndpointTimeout);
        else
            restartTimer(exchange, timeout - waitedTime);
    }
};

EndpointClient::EndpointClient(event_base& base, const Clock& clock, const EndpointClientOptions& options)
    : m_state(std::make_unique<State>(base, clock, options))
{
}

EndpointClient::~EndpointClient() = default;

ExchangeId EndpointClient::start(const EndpointRequest& request, EndpointListener& listener)
{
    State& state = *m_state;
    auto exchange = std::make_unique<State::Exchange>();
    exchange->owner = &state;
    exchange->id = ++state.lastId;
    exchange->request = request;
    exchange->listener = &listener;
    exchange->parser = HttpResponseParser(request.method == "HEAD");
    exchange->timer = makeEvent(state.base, -1, 0, State::onTimer, exchange.get());
    // The exchange is started by an event, so that the listener is not called before this function returns.
    event_active(exchange->timer.get(), EV_TIMEOUT, 0);
    ExchangeId id = exchange->id;
    state.exchanges.emplace(id, std::move(exchange));
    return id;
}

void EndpointClient::cancel(ExchangeId id) { m_state->exchanges.erase(id); }

void EndpointClient::setPaused(ExchangeId id, bool paused)
{
    auto found = m_state->exchanges.find(id);
    if (found == m_state->exchanges.end() || found->second->paused == paused)
        return;
    State::Exchange& exchange = *found->second;
    exchange.paused = paused;
    exchange.awaitingSince = exchange.lastActivity = m_state->clock.now();
    if (exchange.phase < State::Phase::AwaitingResponse)
        return;
    if (paused)
        event_del(exchange.readEvent.get());
    else
        event_add(exchange.readEvent.get(), nullptr);
}

void EndpointClient::closeIdleConnections(std::string_view address) { m_state->closeIdleConnections(address); }

std::size_t EndpointClient::idleConnectionCount() const noexcept { return m_state->idleConnections.size(); }

}
