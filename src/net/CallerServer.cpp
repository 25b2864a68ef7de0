#include "net/CallerServer.h"

#include "net/AcceptPolicy.h"
#include "net/AddressBinder.h"
#include "net/EventCallback.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "net/HttpResponseHead.h"
#include "net/HttpResponseParser.h"
#include "net/MemoryReservation.h"
#include "net/Socket.h"
#include "observe/Logging.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <event2/event.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>

namespace jasminestack {

namespace {

    // After the last response on a connection, received bytes are discarded for this long before the socket is closed:
    // closing a socket with unread bytes resets the connection, and the caller may then lose the response.
    constexpr Millis lingerTimeout { 1'000 };

    // No more than so many bytes of pipelined requests are kept while they wait for the responses before them.
    constexpr std::size_t maxPipelinedBytes = 8U << 10U;

    // Read at once, unless fewer may be kept.
    constexpr std::size_t minReadBytes = 1U << 10U;

    // Receive buffer while a long body is being received. Its memory is reserved with that of the body.
    constexpr int bodyReceiveBytes = 64 << 10;

    constexpr std::size_t readBufferBytes = 64U << 10U;

    // A connection whose requests follow each other faster waits like those of callers, so that it does not keep them
    // from being read.
    constexpr Millis minPrioritizedInterval { 50 };

    constexpr Millis dropLogInterval { 1'000 };

    // Without descriptors no connection is accepted for this long. The listener stays readable, so that the event loop
    // would otherwise do nothing else.
    constexpr Millis acceptPause { 100 };

    // At the limit of connections this fraction of them is closed if they are idle, so that the next ones find room
    // without another search.
    constexpr std::size_t idleCloseDivisor = 32;

    // Detects a caller that disappeared without closing its connection, by unanswered keep-alive probes.
    constexpr TcpKeepAliveOptions callerKeepAlive {
        .keepAliveIdleSeconds = 5, .keepAliveProbes = 3, .unacknowledgedTimeout = { 8'000 }
    };

    // Memory of a header field without its text, in a list whose capacity doubles.
    constexpr std::size_t fieldMemory = 2 * sizeof(std::pair<std::string, std::string>);

    // A target or field that arrives in parts is in a string whose capacity doubles.
    constexpr std::size_t textCapacityFactor = 2;

    // A part of the memory for bodies, one in so many, is left for small ones.
    constexpr std::size_t smallBodyShare = 4;

    // Responses that callers have not read may take this part of the memory for requests, one in so many, besides it.
    constexpr std::size_t outputShare = 4;

    // Time in which some of the requests that use the memory for bodies end.
    constexpr Millis retryAfterFullMemory { 500 };

    // Statuses of final responses.
    constexpr int minFinalStatus = 200;
    constexpr int maxStatus = 599;

    // Control characters and spaces would change the request line that an endpoint receives.
    bool isRequestTarget(std::string_view target) noexcept
    {
        return std::none_of(target.begin(), target.end(), [](char c) {
            auto byte = static_cast<unsigned char>(c);
            constexpr unsigned char del = 0x7f;
            return byte <= ' ' || byte == del;
        });
    }

    // Gives back memory, too, which the assignment of an empty string keeps.
    template <typename Value> void release(Value& value) { static_cast<void>(std::exchange(value, {})); }

    bool statusHasNoBody(int status) noexcept { return status == 204 || status == 304; }

    std::size_t countHeaders(const CallerRequest& request, std::string_view name) noexcept
    {
        return static_cast<std::size_t>(std::count_if(request.headers.begin(), request.headers.end(),
            [&](const auto& header) { return equalIgnoringAsciiCase(header.first, name); }));
    }

}

std::string_view CallerRequest::header(std::string_view name) const noexcept { return findHeader(headers, name); }

std::string_view CallerRequest::path() const noexcept { return std::string_view(target).substr(0, target.find('?')); }

struct CallerServer::State {
    class Connection;

    event_base& base;
    SystemClock clock;
    CallerHandler& handler;
    CallerServerOptions options;
    FileDescriptor listener;
    EventPointer acceptEvent;
    EventPointer acceptPauseTimer;
    Millis lastAcceptLogAt {};
    std::uint64_t failedAccepts { 0 }; ///< Since the last log line.
    std::uint16_t port { 0 };
    bool closeAfterResponse { false };
    std::uint64_t droppedConnections { 0 }; ///< Connections closed at maxConnections since the last log line.
    Millis lastDropLogAt {};
    bool isSaturated { false };
    UnreadConnections unread;
    std::unordered_map<std::uint64_t, Connection*> unreadByNumber; ///< Those of \c unread that are still open.
    std::uint64_t lastNumber { 0 };
    EventPointer readNewEvent; ///< Pending while there are unread connections.
    CallerConnectionCounts counts; ///< Without \c open and \c queued.
    std::size_t totalOutputBytes { 0 }; ///< Of responses that callers have not taken yet.
    Millis lastSlowReaderLogAt {};
    std::unordered_map<Connection*, std::unique_ptr<Connection>> connections;
    /// Destroyed by an event, because a connection may be closed inside one of its methods. It has room for all that
    /// are open, so that closing one does not throw.
    std::vector<std::unique_ptr<Connection>> closedConnections;
    EventPointer destroyClosedEvent;
    std::vector<char> readBuffer;
    std::shared_ptr<std::size_t> totalRequestBytes { std::make_shared<std::size_t>(0) };

    State(event_base& eventBase, CallerHandler& callerHandler, const CallerServerOptions& serverOptions)
        : base(eventBase)
        , handler(callerHandler)
        , options(serverOptions)
        , acceptPauseTimer(makeEvent(eventBase, -1, 0, onAcceptPauseEnd, this))
        , readNewEvent(makeEvent(eventBase, -1, 0, onReadNew, this))
        , destroyClosedEvent(makeEvent(eventBase, -1, 0, onDestroyClosed, this))
        , readBuffer(readBufferBytes)
    {
        setEventPriority(*readNewEvent, options.priority);
    }

    void close(Connection* connection);
    void logDroppedConnections();
    void accept(int count);
    void handleAcceptError(int error);
    /// \returns Whether there is room for another connection, for which idle ones may be closed.
    bool makeRoom();
    void limitOutput();
    void readNewest();
    void closeExpired();

    static void onDestroyClosed(evutil_socket_t, short, void* argument)
    {
        static_cast<State*>(argument)->closedConnections.clear();
    }
    static void onAccept(evutil_socket_t, short, void* argument);
    static void onAcceptPauseEnd(evutil_socket_t, short, void* argument);
    static void onReadNew(evutil_socket_t, short, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        runGuarded(
            "caller_read_new", [&] { state.readNewest(); },
            [&] { event_active(state.readNewEvent.get(), EV_TIMEOUT, 0); });
    }
};

class CallerServer::State::Connection final : public CallerExchange {
public:
    /// \param number Of the connection among all that the server has accepted.
    Connection(State& owner, FileDescriptor socket, std::uint64_t number)
        : m_owner(owner)
        , m_number(number)
        , m_socket(std::move(socket))
        , m_readEvent(makeEvent(owner.base, m_socket.value(), EV_READ | EV_PERSIST, onReadable, this))
        , m_writeEvent(makeEvent(owner.base, m_socket.value(), EV_WRITE | EV_PERSIST, onWritable, this))
        , m_timer(makeEvent(owner.base, -1, 0, onTimer, this))
        , m_acceptedAt(owner.clock.now())
    {
        setEventPriority(*m_readEvent, owner.options.priority);
        http_parser_init(&m_parser, HTTP_REQUEST);
        m_parser.data = this;
    }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() override { m_owner.totalOutputBytes -= m_output.size(); }

    /// \brief Begins to read requests.
    void start()
    {
        configureConnection(m_socket.value(), callerKeepAlive);
        event_add(m_readEvent.get(), nullptr);
        startTimer(m_owner.options.idleTimeout);
    }

    /// \brief Begins to read requests with the one that has probably arrived.
    void startWithRead()
    {
        start();
        onReadable(-1, EV_READ, this);
    }

    [[nodiscard]] std::uint64_t number() const noexcept { return m_number; }

    [[nodiscard]] bool isResponding() const noexcept { return m_phase == Phase::Responding; }
    /// \returns Since when no request has been in progress; valid if isIdle().
    [[nodiscard]] Millis idleSince() const noexcept { return m_idleSince; }
    [[nodiscard]] bool isIdle() const noexcept { return m_phase == Phase::Idle && m_input.empty() && m_output.empty(); }

    void setListener(CallerListener& listener) override { m_listener = &listener; }

    // A response that there is no memory for is not completed: the caller detects that it is truncated.
    void sendResponse(const CallerResponseHead& head, std::string_view body) override
    {
        runGuarded(
            "caller_response",
            [&] {
                if (mayBegin(head.status))
                    enqueueResponse(head, body);
            },
            [this] { failWrite(); });
        finishResponse();
    }

    void startStream(const CallerResponseHead& head) override
    {
        runGuarded(
            "caller_stream_head",
            [&] {
                if (mayBegin(head.status))
                    prepareStream(head);
            },
            [this] { failWrite(); });
    }

    void sendChunk(std::string_view bytes) override
    {
        runGuarded(
            "caller_chunk",
            [&] {
                if (mayContinue())
                    enqueueChunk(bytes);
            },
            [this] { failWrite(); });
    }

    void endStream() override
    {
        runGuarded(
            "caller_stream_end",
            [&] {
                if (mayContinue())
                    enqueueLastChunk();
            },
            [this] { failWrite(); });
        finishResponse();
    }

    void abort() override
    {
        // The missing last chunk, or for HTTP/1.0 the reset, lets the caller detect that the response is truncated.
        m_listener = nullptr;
        m_owner.close(this);
    }

    [[nodiscard]] std::size_t bufferedBytes() const override { return m_output.size() - m_writtenBytes; }

    /// \returns Bytes of memory that unsent responses take.
    [[nodiscard]] std::size_t outputBytes() const noexcept { return m_output.size(); }

    /// \brief Sends nothing more. The read event closes the connection, after the handler's call has returned; the
    /// caller detects that the response is truncated.
    void failWrite()
    {
        m_writeFailed = true;
        discardOutput();
        setResetOnClose(m_socket.value(), true);
        event_active(m_readEvent.get(), EV_READ, 0);
    }

private:
    enum class Phase : std::uint8_t {
        Idle, ///< Between requests.
        Receiving,
        Responding,
        Lingering, ///< Response sent and socket shut down for writing; received bytes are discarded.
    };

    void startTimer(Millis timeout)
    {
        timeval interval = toTimeval(timeout);
        evtimer_add(m_timer.get(), &interval);
    }

    // Returns whether a response may begin. If not, nothing more is sent and the connection is closed, as below.
    bool mayBegin(int status)
    {
        if (m_hasStreamBegun)
            return rejectCall("response_has_begun", status);
        if (status < minFinalStatus || status > maxStatus)
            return rejectCall("invalid_status", status);
        return true;
    }

    // Returns whether a stream has begun.
    bool mayContinue() { return m_writeFailed || m_hasStreamBegun || rejectCall("no_response_head", 0); }

    bool rejectCall(std::string_view reason, int status)
    {
        logEvent(LogLevel::Error, "response_rejected", { { "reason", reason }, { "status", status } });
        failWrite();
        return false;
    }

    void enqueueResponse(const CallerResponseHead& head, std::string_view body)
    {
        std::string text = formatHead(head);
        if (!statusHasNoBody(head.status))
            text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
        text.append("\r\n");
        if (!m_isHeadRequest && !statusHasNoBody(head.status))
            text.append(body);
        enqueue(text);
    }

    void prepareStream(const CallerResponseHead& head)
    {
        std::string text = formatHead(head);
        if (m_isHttp10) {
            m_keepAlive = false; // HTTP/1.0 has no chunked encoding; the body ends where the connection is closed.
            setResetOnClose(m_socket.value(), true);
        } else
            text.append("Transfer-Encoding: chunked\r\n");
        text.append("\r\n");
        m_pendingHead = std::move(text);
        m_hasStreamBegun = true;
    }

    void enqueueChunk(std::string_view bytes)
    {
        if (bytes.empty() || m_isHeadRequest)
            return;
        std::string text = std::exchange(m_pendingHead, {});
        if (m_isHttp10) {
            enqueue(text.append(bytes));
            return;
        }
        std::array<char, 2 * sizeof(std::size_t)> hexSize {};
        char* end = std::to_chars(hexSize.data(), hexSize.data() + hexSize.size(), bytes.size(), 16).ptr;
        text.append(hexSize.data(), end).append("\r\n").append(bytes).append("\r\n");
        enqueue(text);
    }

    void enqueueLastChunk()
    {
        std::string text = std::exchange(m_pendingHead, {});
        if (!m_isHttp10 && !m_isHeadRequest)
            text.append("0\r\n\r\n");
        enqueue(text);
    }

    std::string formatHead(const CallerResponseHead& head)
    {
        if (m_owner.closeAfterResponse)
            m_keepAlive = false;
        std::string text = "HTTP/1.1 " + std::to_string(head.status) + " "
            + http_status_str(static_cast<http_status>(head.status)) + "\r\n";
        for (const auto& [name, value] : head.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!m_keepAlive || m_isHttp10)
            text.append("Connection: close\r\n");
        return text;
    }

    void enqueue(std::string_view bytes)
    {
        if (bytes.empty() || m_writeFailed)
            return;
        if (bufferedBytes() != 0) {
            addOutput(bytes);
            return;
        }
        ssize_t sent = send(m_socket.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            failWrite();
            return;
        }
        auto sentBytes = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
        if (sentBytes == bytes.size())
            return;
        event_add(m_writeEvent.get(), nullptr);
        startTimer(m_owner.options.writeTimeout);
        addOutput(bytes.substr(sentBytes));
    }

    void addOutput(std::string_view bytes)
    {
        m_output.append(bytes);
        m_owner.totalOutputBytes += bytes.size();
        m_owner.limitOutput();
    }

    void discardOutput()
    {
        m_owner.totalOutputBytes -= m_output.size();
        release(m_output);
        m_writtenBytes = 0;
        event_del(m_writeEvent.get());
    }

    // Ends the exchange. The next request, which may already be buffered, is parsed after the handler's call returns.
    void finishResponse()
    {
        m_listener = nullptr;
        m_hasStreamBegun = false;
        m_phase = Phase::Idle;
        release(m_request);
        m_reservation.reset();
        if (m_isHttp10)
            m_keepAlive = false;
        if (bufferedBytes() == 0 && !m_writeFailed)
            onResponseWritten();
    }

    void onResponseWritten()
    {
        if (!m_keepAlive) {
            if (m_isHttp10)
                setResetOnClose(m_socket.value(), false);
            m_phase = Phase::Lingering;
            shutdown(m_socket.value(), SHUT_WR);
            startTimer(lingerTimeout);
            setEventPriority(*m_readEvent, EventPriority::IncomingRequests);
            event_add(m_readEvent.get(), nullptr);
            return;
        }
        m_idleSince = m_owner.clock.now();
        startTimer(m_owner.options.idleTimeout);
        event_add(m_readEvent.get(), nullptr);
        if (!m_input.empty())
            event_active(m_readEvent.get(), EV_TIMEOUT, 0);
    }

    // The body may have arrived while the interim response waited to be written.
    void onContinueWritten()
    {
        startTimer(m_owner.options.readTimeout);
        event_add(m_readEvent.get(), nullptr);
        if (!m_input.empty())
            event_active(m_readEvent.get(), EV_TIMEOUT, 0);
    }

    void handleDisconnect()
    {
        if (!m_hasDelivered)
            ++m_owner.counts.abandoned;
        CallerListener* listener = std::exchange(m_listener, nullptr);
        m_owner.close(this);
        if (listener)
            listener->onCallerDisconnected();
    }

    void rejectRequest(ErrorKind kind, std::string_view message)
    {
        release(m_input);
        limitReceiveBuffer();
        m_keepAlive = false;
        m_phase = Phase::Responding;
        CallerResponseHead head { .status = errorResponseFor(kind).httpStatus,
            .headers = { { "Content-Type", "application/json" } } };
        if (kind == ErrorKind::RouterOverloaded)
            head.headers.emplace_back("Retry-After", formatSeconds(retryAfterFullMemory));
        sendResponse(head, m_owner.handler.onInvalidRequest(kind, message));
    }

    // Calls one of the callbacks below. If it throws, the connection is closed; what the caller sent may be half read.
    template <typename Body> void runCallback(std::string_view name, const Body& body)
    {
        runGuarded(name, body, [this] {
            if (isOpen())
                handleDisconnect();
        });
    }

    [[nodiscard]] bool isOpen() { return m_owner.connections.contains(this); }

    static void onReadable(evutil_socket_t, short events, void* argument)
    {
        auto& connection = *static_cast<Connection*>(argument);
        connection.runCallback("caller_read", [&] {
            if (events & EV_READ)
                connection.readOrPause();
            if (connection.isOpen())
                connection.parse();
        });
    }

    // Requests that the caller sends before it has read its answers wait in its own buffers.
    void readOrPause()
    {
        bool isParsing = m_phase == Phase::Receiving && bufferedBytes() == 0;
        bool isFull = !isParsing && m_phase != Phase::Lingering && m_input.size() + minReadBytes > maxPipelinedBytes;
        if (!isFull || m_writeFailed)
            read();
        else if (m_phase == Phase::Responding || bufferedBytes() != 0)
            pauseReading();
    }

    void read()
    {
        std::vector<char>& readBuffer = m_owner.readBuffer;
        ssize_t length = recv(m_socket.value(), readBuffer.data(), maxReadBytes(), 0);
        if (length < 0 && (errno == EAGAIN || errno == EINTR) && !m_writeFailed)
            return;
        if (!std::exchange(m_hasRead, true))
            m_owner.counts.longestUnread = std::max(m_owner.counts.longestUnread, m_owner.clock.now() - m_acceptedAt);
        if (length <= 0 || m_writeFailed) {
            handleDisconnect();
            return;
        }
        if (m_phase == Phase::Lingering)
            return;
        m_input.append(readBuffer.data(), static_cast<std::size_t>(length));
    }

    // Bytes after a request stay in memory until its response is sent, so no more than a head is read at once.
    [[nodiscard]] std::size_t maxReadBytes() const noexcept
    {
        bool isInBody = m_phase == Phase::Receiving && m_headComplete && bufferedBytes() == 0;
        if (isInBody || m_phase == Phase::Lingering)
            return readBufferBytes;
        return std::max(minReadBytes, maxPipelinedBytes - std::min(m_input.size(), maxPipelinedBytes));
    }

    // What the caller goes on sending stays in its own buffers: it counts as memory of this host once it has arrived.
    void limitReceiveBuffer()
    {
        if (std::exchange(m_hasBodyReceiveBuffer, false))
            setReceiveBuffer(m_socket.value(), m_owner.options.receiveBufferBytes);
    }

    // Otherwise a caller on a long path sends no more than the small buffer in each round trip.
    void growReceiveBuffer()
    {
        if (m_owner.options.receiveBufferBytes >= bodyReceiveBytes)
            return;
        m_hasBodyReceiveBuffer = true;
        setReceiveBuffer(m_socket.value(), bodyReceiveBytes);
    }

    void pauseReading()
    {
        event_del(m_readEvent.get());
        limitReceiveBuffer();
    }

    void parse()
    {
        if (m_input.empty() || (m_phase != Phase::Idle && m_phase != Phase::Receiving) || bufferedBytes() != 0)
            return;
        if (m_phase == Phase::Idle) {
            m_phase = Phase::Receiving;
            release(m_request);
            m_request.arrivedAt = m_owner.clock.now();
            m_reservation.reset();
            m_headBytes = 0;
            m_headMemory = 0;
            m_headComplete = false;
            m_requestComplete = false;
            m_requestError.reset();
            http_parser_init(&m_parser, HTTP_REQUEST);
            startTimer(std::min(m_owner.options.headerTimeout, m_owner.options.readTimeout));
        }
        std::size_t parsedBytes = http_parser_execute(&m_parser, &parserSettings(), m_input.data(), m_input.size());
        http_errno error = HTTP_PARSER_ERRNO(&m_parser);
        if (m_requestError) {
            rejectRequest(*m_requestError, m_requestErrorMessage);
            return;
        }
        if (error != HPE_OK && error != HPE_PAUSED) {
            rejectRequest(ErrorKind::BadRequest, http_errno_description(error));
            return;
        }
        if (parsedBytes == m_input.size())
            release(m_input); // Most connections wait.
        else
            m_input.erase(0, parsedBytes);
        if (m_requestComplete)
            deliverRequest();
    }

    // The caller may have disconnected while its request waited to be read.
    [[nodiscard]] bool callerDisconnected() const
    {
        char byte = 0;
        ssize_t length = recv(m_socket.value(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR);
    }

    void deliverRequest()
    {
        evtimer_del(m_timer.get());
        if (callerDisconnected()) {
            handleDisconnect();
            return;
        }
        m_phase = Phase::Responding;
        limitReceiveBuffer();
        Millis now = m_owner.clock.now();
        if (m_hasDelivered && now - m_deliveredAt < minPrioritizedInterval)
            setEventPriority(*m_readEvent, EventPriority::IncomingRequests);
        m_deliveredAt = now;
        m_hasDelivered = true;
        ++m_owner.counts.requests;
        m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
        m_isHeadRequest = m_parser.method == HTTP_HEAD;
        m_isHttp10 = m_parser.http_minor == 0;
        m_keepAlive = !m_isHttp10 && http_should_keep_alive(&m_parser) != 0;
        m_reservation.reset();
        runGuarded(
            "caller_request", [this] { m_owner.handler.onRequest(std::move(m_request), *this); },
            [this] { endFailedRequest(); });
    }

    // Nothing is known of a request whose handler has thrown, so its answer does not say whether it has run.
    void endFailedRequest()
    {
        if (!isOpen() || m_phase != Phase::Responding)
            return;
        if (m_listener) {
            handleDisconnect();
            return;
        }
        m_keepAlive = false;
        const ErrorResponse& error = errorResponseFor(ErrorKind::Internal);
        sendResponse({ .status = error.httpStatus, .headers = { { "Content-Type", "application/json" } } },
            R"({"error":{"kind":")" + std::string(error.name) + "\"}}\n");
    }

    int setRequestError(ErrorKind kind, std::string message)
    {
        m_requestError = kind;
        m_requestErrorMessage = std::move(message);
        return -1;
    }

    int countHeadBytes(std::size_t length)
    {
        m_headBytes += length;
        m_headMemory += textCapacityFactor * length;
        if (m_headBytes > m_owner.options.maxHeaderBytes)
            return setRequestError(ErrorKind::HeaderTooLarge,
                "the headers are longer than " + std::to_string(m_owner.options.maxHeaderBytes) + " bytes");
        return reserve(0) ? 0 : setMemoryFull();
    }

    int addFieldName(std::string_view text)
    {
        // A name after a value begins the next header; names and values may arrive in parts.
        if (m_lastHeaderHasValue || m_request.headers.empty()) {
            m_request.headers.emplace_back();
            m_lastHeaderHasValue = false;
            m_headBytes += std::string_view(":\r\n").size();
            m_headMemory += fieldMemory;
        }
        m_request.headers.back().first.append(text);
        return countHeadBytes(text.size());
    }

    int addFieldValue(std::string_view text)
    {
        m_lastHeaderHasValue = true;
        m_request.headers.back().second.append(text);
        return countHeadBytes(text.size());
    }

    // Rejects requests that another server on the path could parse differently (request smuggling).
    int checkHead()
    {
        m_headComplete = true;
        if (!isRequestTarget(m_request.target))
            return setRequestError(ErrorKind::BadRequest, "the request target contains an invalid character");
        for (const auto& [name, value] : m_request.headers) {
            if (!isToken(name))
                return setRequestError(ErrorKind::BadRequest, "a header name contains an invalid character");
            if (!isFieldValue(value))
                return setRequestError(
                    ErrorKind::BadRequest, "the value of header " + name + " contains a control character");
        }
        std::size_t transferEncodingCount = countHeaders(m_request, "Transfer-Encoding");
        std::size_t contentLengthCount = countHeaders(m_request, "Content-Length");
        if (transferEncodingCount + contentLengthCount > 1
            || (transferEncodingCount == 1
                && !equalIgnoringAsciiCase(m_request.header("Transfer-Encoding"), "chunked")))
            return setRequestError(ErrorKind::BadRequest, "the body is framed in more than one way");
        std::size_t hostHeaderCount = countHeaders(m_request, "Host");
        if (hostHeaderCount > 1 || (hostHeaderCount == 0 && m_parser.http_minor == 1 && m_owner.options.requiresHost))
            return setRequestError(ErrorKind::BadRequest, "exactly one Host header is required");
        if (m_parser.http_major != 1 || m_parser.upgrade != 0 || m_request.method == "CONNECT")
            return setRequestError(ErrorKind::BadRequest, "only HTTP/1.1 without upgrade is supported");
        std::uint64_t length = m_parser.content_length;
        if (contentLengthCount == 1 && length > m_owner.options.maxBodyBytes)
            return setBodyTooLarge();
        if (contentLengthCount == 1 && length != 0) {
            if (!reserve(static_cast<std::size_t>(length)))
                return setMemoryFull();
            m_request.body.reserve(static_cast<std::size_t>(length));
            if (length > CallerServer::smallBodyBytes)
                growReceiveBuffer();
        }
        if (equalIgnoringAsciiCase(m_request.header("Expect"), "100-continue"))
            enqueue("HTTP/1.1 100 Continue\r\n\r\n");
        startTimer(m_owner.options.readTimeout);
        return 0;
    }

    int setBodyTooLarge()
    {
        return setRequestError(ErrorKind::BodyTooLarge,
            "the body is longer than " + std::to_string(m_owner.options.maxBodyBytes) + " bytes");
    }

    // Returns whether there is memory for the request with a buffer of \p bodyBytes for its body.
    [[nodiscard]] bool reserve(std::size_t bodyBytes)
    {
        if (!m_reservation) {
            m_reservation = std::make_shared<MemoryReservation>(m_owner.totalRequestBytes);
            m_request.bodyReservation = m_reservation;
        }
        std::size_t limit = m_owner.options.maxTotalBodyBytes;
        if (bodyBytes > smallBodyBytes)
            limit -= limit / smallBodyShare;
        return m_reservation->growTo(m_headMemory + bodyBytes, limit);
    }

    int setMemoryFull()
    {
        return setRequestError(ErrorKind::RouterOverloaded, "the requests in progress need all memory");
    }

    // Returns the capacity that a body of \p bytes needs, 0 if it has it. It doubles, so that a body without a length
    // is rarely copied, and all of it is reserved, since it is memory of the process.
    [[nodiscard]] std::size_t bodyCapacityFor(std::size_t bytes) const
    {
        std::size_t capacity = m_request.body.capacity();
        if (bytes <= capacity && m_reservation && m_reservation->bytes() >= capacity)
            return 0;
        return std::max(bytes, std::min(2 * capacity, m_owner.options.maxBodyBytes));
    }

    int addBody(std::string_view text)
    {
        if (m_request.body.size() + text.size() > m_owner.options.maxBodyBytes)
            return setBodyTooLarge();
        if (std::size_t capacity = bodyCapacityFor(m_request.body.size() + text.size()); capacity != 0) {
            if (!reserve(capacity))
                return setMemoryFull();
            m_request.body.reserve(capacity);
        }
        m_request.body.append(text);
        return 0;
    }

    static Connection& self(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    // Calls a callback of the parser. It throws if there is no memory for a part of the request, which is then refused.
    template <typename Body> static int parsePart(http_parser* parser, const Body& body) noexcept
    {
        Connection& connection = self(parser);
        int result = -1;
        runGuarded(
            "caller_parse", [&] { result = body(connection); },
            [&] {
                connection.m_requestError = ErrorKind::RouterOverloaded;
                connection.m_requestErrorMessage.clear();
            });
        return result;
    }

    static const http_parser_settings& parserSettings()
    {
        static const http_parser_settings settings = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_url = [](http_parser* parser, const char* at, std::size_t length) {
                return parsePart(parser, [&](Connection& connection) {
                    connection.m_request.target.append(at, length);
                    return connection.countHeadBytes(length);
                });
            };
            callbacks.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
                if (self(parser).m_headComplete)
                    return 0; // Trailer fields are dropped.
                return parsePart(parser, [&](Connection& connection) {
                    return connection.addFieldName({ at, length });
                });
            };
            callbacks.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
                if (self(parser).m_headComplete)
                    return 0;
                return parsePart(parser, [&](Connection& connection) {
                    return connection.addFieldValue({ at, length });
                });
            };
            callbacks.on_headers_complete = [](http_parser* parser) {
                return parsePart(parser, [](Connection& connection) { return connection.checkHead(); });
            };
            callbacks.on_body = [](http_parser* parser, const char* at, std::size_t length) {
                return parsePart(parser, [&](Connection& connection) { return connection.addBody({ at, length }); });
            };
            callbacks.on_message_complete = [](http_parser* parser) {
                self(parser).m_requestComplete = true;
                http_parser_pause(parser, 1);
                return 0;
            };
            return callbacks;
        }();
        return settings;
    }

    static void onWritable(evutil_socket_t, short, void* argument)
    {
        auto& connection = *static_cast<Connection*>(argument);
        connection.runCallback("caller_write", [&] { connection.write(); });
    }

    void write()
    {
        std::string_view unwritten = std::string_view(m_output).substr(m_writtenBytes);
        ssize_t sent = send(m_socket.value(), unwritten.data(), unwritten.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            handleDisconnect();
            return;
        }
        m_writtenBytes += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
        if (bufferedBytes() != 0) {
            if (sent > 0)
                startTimer(m_owner.options.writeTimeout);
            return;
        }
        discardOutput();
        if (m_phase == Phase::Idle) {
            onResponseWritten();
            return;
        }
        if (m_phase == Phase::Receiving) {
            onContinueWritten();
            return;
        }
        evtimer_del(m_timer.get());
        if (m_listener)
            m_listener->onSendBufferEmpty();
    }

    static void onTimer(evutil_socket_t, short, void* argument)
    {
        auto& connection = *static_cast<Connection*>(argument);
        connection.runCallback("caller_timer", [&] { connection.handleTimeout(); });
    }

    void handleTimeout()
    {
        if (m_phase == Phase::Receiving && bufferedBytes() == 0)
            rejectRequest(ErrorKind::RequestTimeout, "the request was not received in time");
        else
            handleDisconnect();
    }

    State& m_owner;
    std::uint64_t m_number;
    FileDescriptor m_socket;
    EventPointer m_readEvent;
    EventPointer m_writeEvent;
    EventPointer m_timer;
    http_parser m_parser {};
    Phase m_phase { Phase::Idle };
    std::string m_input; ///< Received bytes that are not parsed yet.
    std::string m_output; ///< Bytes to send; those before m_writtenBytes are already written to the socket.
    bool m_hasStreamBegun { false }; ///< startStream() was called for the response in progress.
    std::string m_pendingHead; ///< Head of a stream; sent together with its first chunk.
    std::size_t m_writtenBytes { 0 };
    CallerRequest m_request;
    std::shared_ptr<MemoryReservation> m_reservation; ///< Of the request that is being received.
    std::size_t m_headBytes { 0 }; ///< As sent, without optional spaces.
    std::size_t m_headMemory { 0 }; ///< Bytes that the head takes in the process.
    std::optional<ErrorKind> m_requestError;
    std::string m_requestErrorMessage;
    CallerListener* m_listener { nullptr };
    bool m_lastHeaderHasValue { false };
    bool m_headComplete { false };
    bool m_requestComplete { false };
    bool m_isHeadRequest { false };
    bool m_isHttp10 { false };
    bool m_keepAlive { true };
    bool m_writeFailed { false };
    bool m_hasBodyReceiveBuffer { false };
    Millis m_acceptedAt;
    Millis m_idleSince { m_acceptedAt };
    bool m_hasRead { false }; ///< Bytes, or the end of the connection, were read.
    bool m_hasDelivered { false }; ///< A request was passed to the handler.
    Millis m_deliveredAt {}; ///< Time of the last one.
};

void CallerServer::State::close(Connection* connection)
{
    auto position = connections.find(connection);
    if (position == connections.end())
        return;
    unreadByNumber.erase(connection->number());
    if (closedConnections.empty())
        event_active(destroyClosedEvent.get(), EV_TIMEOUT, 0);
    closedConnections.push_back(std::move(position->second));
    connections.erase(position);
    if (options.budget)
        options.budget->callers = connections.size();
}

void CallerServer::State::logDroppedConnections()
{
    Millis now = clock.now();
    if (now - lastDropLogAt < dropLogInterval)
        return;
    lastDropLogAt = now;
    logEvent(LogLevel::Warning, "caller_connections_dropped",
        { { "dropped", std::exchange(droppedConnections, 0) }, { "connections", connections.size() } });
}

void CallerServer::State::onAccept(evutil_socket_t, short, void* argument)
{
    runGuarded("caller_accept", [argument] { static_cast<State*>(argument)->accept(acceptPolicy.acceptsPerTurn); });
}

void CallerServer::State::accept(int count)
{
    for (int i = 0; i < count && listener.value() >= 0; ++i) {
        FileDescriptor socket(::accept4(listener.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.value() < 0) {
            handleAcceptError(errno);
            return;
        }
        if (!makeRoom()) {
            ++counts.dropped;
            ++droppedConnections; // Closed unread, so the request is guaranteed not to have run.
            logDroppedConnections();
            continue;
        }
        ++counts.accepted;
        ensureCapacity(closedConnections, closedConnections.size() + connections.size() + 1);
        auto connection = std::make_unique<Connection>(*this, std::move(socket), ++lastNumber);
        Connection* connectionKey = connection.get();
        connections.emplace(connectionKey, std::move(connection));
        if (options.budget)
            options.budget->callers = connections.size();
        if (!isSaturated) {
            connectionKey->start();
            continue;
        }
        runGuarded(
            "caller_accept",
            [&] {
                addUnread(unread, lastNumber, clock.now());
                unreadByNumber.emplace(lastNumber, connectionKey);
            },
            [&] { close(connectionKey); });
        event_active(readNewEvent.get(), EV_TIMEOUT, 0);
    }
}

void CallerServer::State::handleAcceptError(int error)
{
    if (error == EAGAIN || error == EINTR || error == ECONNABORTED)
        return;
    if (isOutOfDescriptors(error) && acceptEvent) {
        event_del(acceptEvent.get());
        timeval pause = toTimeval(acceptPause);
        evtimer_add(acceptPauseTimer.get(), &pause);
    }
    ++failedAccepts;
    Millis now = clock.now();
    if (lastAcceptLogAt != Millis {} && now - lastAcceptLogAt < dropLogInterval)
        return;
    lastAcceptLogAt = now;
    logEvent(LogLevel::Error, "accept_failed",
        { { "errno", error }, { "failures", std::exchange(failedAccepts, 0) }, { "connections", connections.size() } });
}

void CallerServer::State::onAcceptPauseEnd(evutil_socket_t, short, void* argument)
{
    auto& state = *static_cast<State*>(argument);
    if (state.acceptEvent)
        event_add(state.acceptEvent.get(), nullptr);
}

bool CallerServer::State::makeRoom()
{
    bool isWithinBudget = !options.budget || hasRoomForCaller(*options.budget);
    if (isWithinBudget && (options.maxConnections == 0 || connections.size() < options.maxConnections))
        return true;
    if (options.closesOldestConnection) {
        auto isOlder = [](const auto& a, const auto& b) { return a.first->number() < b.first->number(); };
        close(std::min_element(connections.begin(), connections.end(), isOlder)->first);
        return true;
    }
    std::vector<std::pair<Millis, Connection*>> idle;
    for (const auto& [connection, owned] : connections) {
        if (connection->isIdle() && !unreadByNumber.contains(connection->number()))
            idle.emplace_back(connection->idleSince(), connection);
    }
    std::sort(idle.begin(), idle.end());
    std::size_t closeCount = std::min(idle.size(), options.maxConnections / idleCloseDivisor + 1);
    for (std::size_t i = 0; i < closeCount; ++i)
        close(idle[i].second);
    counts.idleClosed += closeCount;
    return closeCount != 0;
}

// Callers that read slowly, or not at all, must not fill the memory with their responses. A single one may be long.
void CallerServer::State::limitOutput()
{
    std::size_t limit = options.maxTotalBodyBytes / outputShare;
    if (limit == 0 || totalOutputBytes <= limit)
        return;
    auto hasLess = [](const auto& a, const auto& b) { return a.first->outputBytes() < b.first->outputBytes(); };
    Connection* slowest = std::max_element(connections.begin(), connections.end(), hasLess)->first;
    if (slowest->outputBytes() == totalOutputBytes)
        return;
    slowest->failWrite();
    Millis now = clock.now();
    if (now - lastSlowReaderLogAt < dropLogInterval)
        return;
    lastSlowReaderLogAt = now;
    logEvent(LogLevel::Warning, "slow_reader_closed",
        { { "unread_bytes", totalOutputBytes }, { "connections", connections.size() } });
}

void CallerServer::State::readNewest()
{
    closeExpired();
    for (int count = 0; count < acceptPolicy.readsPerTurn;) {
        std::optional<std::uint64_t> number = takeNextUnread(unread);
        if (!number)
            return;
        auto found = unreadByNumber.find(*number);
        if (found == unreadByNumber.end())
            continue;
        Connection* connection = found->second;
        unreadByNumber.erase(found);
        connection->startWithRead();
        ++count;
    }
    event_active(readNewEvent.get(), EV_TIMEOUT, 0);
}

// Their callers have left. Bytes that were not read make the system reset the connection.
void CallerServer::State::closeExpired()
{
    for (std::uint64_t number : takeExpiredUnread(unread, acceptPolicy, clock.now())) {
        auto found = unreadByNumber.find(number);
        if (found == unreadByNumber.end())
            continue;
        ++counts.expired;
        close(found->second);
    }
}

CallerServer::CallerServer(event_base& base, CallerHandler& handler, const CallerServerOptions& options)
    : m_state(std::make_unique<State>(base, handler, options))
{
}

CallerServer::~CallerServer() = default;

Result<void> CallerServer::listen()
{
    State& state = *m_state;
    std::string_view address = state.options.address;
    std::size_t colon = address.rfind(':');
    bool usesFreePort = colon != std::string_view::npos && address.substr(colon) == ":0";
    sockaddr_in localAddress {};
    localAddress.sin_family = AF_INET;
    if (!usesFreePort) {
        auto split = splitAddress(address);
        if (!split)
            return Error { .kind = ErrorKind::SettingsInvalid, .message = split.error().message };
        localAddress.sin_port = htons(split.value().second);
    }
    if (inet_pton(AF_INET, std::string(address.substr(0, colon)).c_str(), &localAddress.sin_addr) != 1)
        return Error { .kind = ErrorKind::SettingsInvalid, .message = "invalid address " + state.options.address };
    FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.value() < 0)
        return bindError("tcp", state.options.address, errno);
    int reuseAddress = 1;
    // Accepted sockets inherit it. Otherwise the system lets each buffer grow to several megabytes.
    setReceiveBuffer(socket.value(), state.options.receiveBufferBytes);
    if (setsockopt(socket.value(), SOL_SOCKET, SO_REUSEADDR, &reuseAddress, sizeof(reuseAddress)) != 0
        || ::bind(socket.value(), reinterpret_cast<const sockaddr*>(&localAddress), sizeof(localAddress)) != 0
        || ::listen(socket.value(), acceptPolicy.queueLength) != 0)
        return bindError("tcp", state.options.address, errno);
    state.listener = std::move(socket);
    state.acceptEvent.reset(
        event_new(&state.base, state.listener.value(), EV_READ | EV_PERSIST, State::onAccept, &state));
    setEventPriority(*state.acceptEvent, state.options.priority);
    event_add(state.acceptEvent.get(), nullptr);
    sockaddr_in boundAddress {};
    socklen_t length = sizeof(boundAddress);
    getsockname(state.listener.value(), reinterpret_cast<sockaddr*>(&boundAddress), &length);
    state.port = ntohs(boundAddress.sin_port);
    return ok();
}

std::uint16_t CallerServer::port() const noexcept { return m_state->port; }

void CallerServer::disableKeepAlive() noexcept { m_state->closeAfterResponse = true; }

std::size_t CallerServer::openExchangeCount() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_state->connections.begin(), m_state->connections.end(),
        [](const auto& entry) { return entry.first->isResponding(); }));
}

std::size_t CallerServer::connectionCount() const noexcept { return m_state->connections.size(); }

HeldResources CallerServer::heldResources() const noexcept
{
    const CallerServerOptions& options = m_state->options;
    return { .requestBytes = *m_state->totalRequestBytes,
        .requestLimit = options.maxTotalBodyBytes,
        .unreadResponseBytes = m_state->totalOutputBytes,
        .unreadResponseLimit = options.maxTotalBodyBytes / outputShare,
        .connections = m_state->connections.size(),
        .connectionLimit = options.maxConnections };
}

CallerConnectionCounts CallerServer::takeConnectionCounts()
{
    CallerConnectionCounts counts = std::exchange(m_state->counts, {});
    counts.open = m_state->connections.size();
    // Of a listening socket the kernel reports the length of its queue in the place of unacknowledged segments.
    tcp_info info {};
    socklen_t length = sizeof(info);
    if (getsockopt(m_state->listener.value(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0)
        counts.queued = info.tcpi_unacked;
    return counts;
}

void CallerServer::stopListening()
{
    m_state->acceptEvent.reset();
    m_state->listener = {};
}

void CallerServer::setSaturated(bool isSaturated) noexcept { m_state->isSaturated = isSaturated; }

void CallerServer::acceptConnections(int count)
{
    m_state->closeExpired();
    m_state->accept(count);
}

void CallerServer::closeIdleConnections()
{
    std::vector<State::Connection*> idleConnections;
    for (const auto& [connection, owned] : m_state->connections) {
        if (connection->isIdle())
            idleConnections.push_back(connection);
    }
    for (State::Connection* connection : idleConnections)
        m_state->close(connection);
}

void CallerServer::setLimits(const CallerServerOptions& options)
{
    std::string address = std::move(m_state->options.address);
    m_state->options = options;
    m_state->options.address = std::move(address);
}

}
