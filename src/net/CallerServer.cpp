#include "net/CallerServer.h"

#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "net/HttpResponseParser.h"
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
#include <optional>
#include <sys/socket.h>
#include <unordered_map>

namespace jasminestack {

namespace {

    // A connection that is closed after an answer discards what the caller still sends for this long, because closing a
    // socket with unread bytes resets it and may destroy the answer on its way.
    constexpr Millis lingerTime { 1'000 };

    // Bytes of pipelined requests that are read while one is being answered.
    constexpr std::size_t pipelineBytes = 64U << 10U;

    constexpr std::size_t readBytes = 64U << 10U;

    // Callers leave after a second. A daemon without processor time reads a few hundred requests a second, so those at
    // the end of a longer queue would have left before their turn; the kernel turns them away at no cost.
    constexpr int listenBacklog = 128;

    // Connections accepted in one turn, so that those which are open are read as well.
    constexpr int acceptsPerTurn = 4;

    constexpr Millis dropLogInterval { 1'000 };

    // A caller that has vanished without closing its connection is noticed by unanswered probes.
    constexpr TcpKeepAliveOptions callerSilence {
        .keepAliveIdleSeconds = 5, .keepAliveProbes = 3, .unacknowledged = { 8'000 }
    };

    bool isToken(std::string_view name) noexcept
    {
        return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
            auto byte = static_cast<unsigned char>(c);
            return byte > 0x20 && byte < 0x7f
                && std::string_view("()<>@,;:\\\"/[]?={}").find(c) == std::string_view::npos;
        });
    }

    bool isStatusWithoutBody(int status) noexcept { return status == 204 || status == 304; }

    std::size_t countHeaders(const CallerRequest& request, std::string_view name) noexcept
    {
        return static_cast<std::size_t>(std::count_if(request.headers.begin(), request.headers.end(),
            [&](const auto& header) { return equalHeaderNames(header.first, name); }));
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
    EventPointer acceptable;
    std::uint16_t port { 0 };
    bool closeAfterAnswers { false };
    std::uint64_t dropped { 0 }; ///< Closed at the limit of connections since the last log line.
    Millis dropsLogged {};
    std::unordered_map<Connection*, std::unique_ptr<Connection>> connections;
    std::vector<std::unique_ptr<Connection>> closed; ///< Destroyed outside their own calls.
    EventPointer reaper;
    std::vector<char> scratch;

    State(event_base& eventBase, CallerHandler& theHandler, const CallerServerOptions& theOptions)
        : base(eventBase)
        , handler(theHandler)
        , options(theOptions)
        , reaper(event_new(&eventBase, -1, 0, onReap, this))
        , scratch(readBytes)
    {
    }

    void close(Connection* connection);
    void logDropped();
    void accept(int count);

    static void onReap(evutil_socket_t, short, void* argument) { static_cast<State*>(argument)->closed.clear(); }
    static void onAccept(evutil_socket_t, short, void* argument);
};

class CallerServer::State::Connection final : public CallerExchange {
public:
    Connection(State& owner, FileDescriptor socket)
        : m_owner(owner)
        , m_socket(std::move(socket))
        , m_readable(event_new(&owner.base, m_socket.value(), EV_READ | EV_PERSIST, onReadable, this))
        , m_writable(event_new(&owner.base, m_socket.value(), EV_WRITE | EV_PERSIST, onWritable, this))
        , m_timer(evtimer_new(&owner.base, onTimer, this))
    {
        setEventPriority(*m_readable, EventPriority::IncomingRequests);
        configureConnection(m_socket.value(), callerSilence);
        http_parser_init(&m_parser, HTTP_REQUEST);
        m_parser.data = this;
        event_add(m_readable.get(), nullptr);
        startTimer(owner.options.idleTimeout);
    }

    [[nodiscard]] bool answering() const noexcept { return m_phase == Phase::Answering; }
    [[nodiscard]] bool idle() const noexcept { return m_phase == Phase::Idle && m_input.empty() && m_output.empty(); }

    void setListener(CallerListener& listener) override { m_listener = &listener; }

    void sendResponse(const CallerResponseHead& head, std::string_view body) override
    {
        std::string text = formatHead(head);
        if (!isStatusWithoutBody(head.status))
            text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
        text.append("\r\n");
        if (!m_headRequest && !isStatusWithoutBody(head.status))
            text.append(body);
        enqueue(text);
        finishAnswer();
    }

    void startStream(const CallerResponseHead& head) override
    {
        std::string text = formatHead(head);
        if (m_http10)
            m_keepAlive = false; // Without chunks the end of the body is the end of the connection.
        else
            text.append("Transfer-Encoding: chunked\r\n");
        text.append("\r\n");
        m_unsent = std::move(text);
    }

    void sendChunk(std::string_view bytes) override
    {
        if (bytes.empty() || m_headRequest)
            return;
        std::string text = std::exchange(m_unsent, {});
        if (m_http10) {
            enqueue(text.append(bytes));
            return;
        }
        std::array<char, 2 * sizeof(std::size_t)> size {};
        char* end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
        text.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
        enqueue(text);
    }

    void endStream() override
    {
        std::string text = std::exchange(m_unsent, {});
        if (!m_http10 && !m_headRequest)
            text.append("0\r\n\r\n");
        enqueue(text);
        finishAnswer();
    }

    void abort() override
    {
        // The missing last chunk tells the caller that the answer is cut.
        m_listener = nullptr;
        m_owner.close(this);
    }

    [[nodiscard]] std::size_t bufferedBytes() const override { return m_output.size() - m_written; }

private:
    enum class Phase : std::uint8_t {
        Idle, ///< Between requests.
        Receiving,
        Answering,
        Lingering, ///< Answered and closed for writing; what comes is discarded.
    };

    void startTimer(Millis span)
    {
        timeval limit = toTimeval(span);
        evtimer_add(m_timer.get(), &limit);
    }

    std::string formatHead(const CallerResponseHead& head)
    {
        if (m_owner.closeAfterAnswers)
            m_keepAlive = false;
        std::string text = "HTTP/1.1 " + std::to_string(head.status) + " "
            + http_status_str(static_cast<http_status>(head.status)) + "\r\n";
        for (const auto& [name, value] : head.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!m_keepAlive || m_http10)
            text.append("Connection: close\r\n");
        return text;
    }

    void enqueue(std::string_view bytes)
    {
        if (bytes.empty())
            return;
        if (bufferedBytes() != 0) {
            m_output.append(bytes);
            return;
        }
        ssize_t sent = send(m_socket.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            m_failed = true; // Reported by the readable event, outside the handler's call.
            return;
        }
        auto taken = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
        if (taken == bytes.size())
            return;
        m_output.assign(bytes.substr(taken));
        m_written = 0;
        event_add(m_writable.get(), nullptr);
        startTimer(m_owner.options.writeTimeout);
    }

    // Ends the exchange. The next request, which may already have arrived, is read outside the handler's call.
    void finishAnswer()
    {
        m_listener = nullptr;
        m_phase = Phase::Idle;
        m_request = {};
        if (m_http10)
            m_keepAlive = false;
        if (bufferedBytes() == 0)
            answerWritten();
    }

    void answerWritten()
    {
        if (!m_keepAlive) {
            m_phase = Phase::Lingering;
            shutdown(m_socket.value(), SHUT_WR);
            startTimer(lingerTime);
            event_add(m_readable.get(), nullptr);
            return;
        }
        startTimer(m_owner.options.idleTimeout);
        event_add(m_readable.get(), nullptr);
        if (!m_input.empty())
            event_active(m_readable.get(), EV_TIMEOUT, 0);
    }

    void gone()
    {
        CallerListener* listener = std::exchange(m_listener, nullptr);
        m_owner.close(this);
        if (listener)
            listener->onCallerDisconnected();
    }

    void refuse(ErrorKind kind, std::string_view message)
    {
        m_keepAlive = false;
        m_phase = Phase::Answering;
        CallerResponseHead head { .status = errorResponseFor(kind).httpStatus,
            .headers = { { "Content-Type", "application/json" } } };
        sendResponse(head, m_owner.handler.onInvalidRequest(kind, message));
    }

    static void onReadable(evutil_socket_t, short what, void* argument)
    {
        auto& connection = *static_cast<Connection*>(argument);
        if (what & EV_READ)
            connection.read();
        if (connection.m_owner.connections.contains(&connection))
            connection.parse();
    }

    void read()
    {
        std::vector<char>& scratch = m_owner.scratch;
        ssize_t length = recv(m_socket.value(), scratch.data(), scratch.size(), 0);
        if (length < 0 && (errno == EAGAIN || errno == EINTR) && !m_failed)
            return;
        if (length <= 0 || m_failed) {
            gone();
            return;
        }
        if (m_phase == Phase::Lingering)
            return;
        m_input.append(scratch.data(), static_cast<std::size_t>(length));
        if (m_phase == Phase::Answering && m_input.size() >= pipelineBytes)
            event_del(m_readable.get());
    }

    void parse()
    {
        if (m_input.empty() || (m_phase != Phase::Idle && m_phase != Phase::Receiving) || bufferedBytes() != 0)
            return;
        if (m_phase == Phase::Idle) {
            m_phase = Phase::Receiving;
            m_request = { .arrivedAt = m_owner.clock.now() };
            m_headBytes = 0;
            m_headComplete = false;
            m_requestComplete = false;
            m_fault.reset();
            http_parser_init(&m_parser, HTTP_REQUEST);
            startTimer(std::min(m_owner.options.headerTimeout, m_owner.options.readTimeout));
        }
        std::size_t used = http_parser_execute(&m_parser, &parserSettings(), m_input.data(), m_input.size());
        http_errno error = HTTP_PARSER_ERRNO(&m_parser);
        if (m_fault) {
            refuse(*m_fault, m_faultMessage);
            return;
        }
        if (error != HPE_OK && error != HPE_PAUSED) {
            refuse(ErrorKind::BadRequest, http_errno_description(error));
            return;
        }
        m_input.erase(0, used);
        if (m_requestComplete)
            deliver();
    }

    // The caller may have left while its request waited to be read.
    [[nodiscard]] bool callerLeft() const
    {
        char byte = 0;
        ssize_t length = recv(m_socket.value(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR);
    }

    void deliver()
    {
        evtimer_del(m_timer.get());
        if (callerLeft()) {
            gone();
            return;
        }
        m_phase = Phase::Answering;
        m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
        m_headRequest = m_parser.method == HTTP_HEAD;
        m_http10 = m_parser.http_minor == 0;
        m_keepAlive = !m_http10 && http_should_keep_alive(&m_parser) != 0;
        m_owner.handler.onRequest(std::move(m_request), *this);
    }

    int fail(ErrorKind kind, std::string message)
    {
        m_fault = kind;
        m_faultMessage = std::move(message);
        return -1;
    }

    int countHeadBytes(std::size_t length)
    {
        m_headBytes += length;
        if (m_headBytes > m_owner.options.maxHeaderBytes)
            return fail(ErrorKind::HeaderTooLarge,
                "the headers are longer than " + std::to_string(m_owner.options.maxHeaderBytes) + " bytes");
        return 0;
    }

    int addFieldName(std::string_view text)
    {
        // A name after a value begins the next header; names and values may arrive in parts.
        if (m_valueSeen || m_request.headers.empty()) {
            m_request.headers.emplace_back();
            m_valueSeen = false;
            m_headBytes += std::string_view(": \r\n").size();
        }
        m_request.headers.back().first.append(text);
        return countHeadBytes(text.size());
    }

    int addFieldValue(std::string_view text)
    {
        m_valueSeen = true;
        m_request.headers.back().second.append(text);
        return countHeadBytes(text.size());
    }

    // Refuses what another server on the way could read as a different request.
    int checkHead()
    {
        m_headComplete = true;
        for (const auto& [name, value] : m_request.headers) {
            if (!isToken(name))
                return fail(ErrorKind::BadRequest, "a header name holds a character that is not allowed");
        }
        std::size_t codings = countHeaders(m_request, "Transfer-Encoding");
        std::size_t lengths = countHeaders(m_request, "Content-Length");
        if (codings + lengths > 1
            || (codings == 1 && !equalHeaderNames(m_request.header("Transfer-Encoding"), "chunked")))
            return fail(ErrorKind::BadRequest, "the body is framed in more than one way");
        std::size_t hosts = countHeaders(m_request, "Host");
        if (hosts > 1 || (hosts == 0 && m_parser.http_minor == 1))
            return fail(ErrorKind::BadRequest, "exactly one Host header is needed");
        if (m_parser.http_major != 1 || m_parser.upgrade != 0 || m_request.method == "CONNECT")
            return fail(ErrorKind::BadRequest, "only HTTP/1.1 without upgrade is served");
        std::uint64_t length = m_parser.content_length;
        if (lengths == 1 && length > m_owner.options.maxBodyBytes)
            return tooLarge();
        if (equalHeaderNames(m_request.header("Expect"), "100-continue"))
            enqueue("HTTP/1.1 100 Continue\r\n\r\n");
        startTimer(m_owner.options.readTimeout);
        return 0;
    }

    int tooLarge()
    {
        return fail(ErrorKind::BodyTooLarge,
            "the body is longer than " + std::to_string(m_owner.options.maxBodyBytes) + " bytes");
    }

    int addBody(std::string_view text)
    {
        if (m_request.body.size() + text.size() > m_owner.options.maxBodyBytes)
            return tooLarge();
        m_request.body.append(text);
        return 0;
    }

    static Connection& self(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    static const http_parser_settings& parserSettings()
    {
        static const http_parser_settings settings = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_url = [](http_parser* parser, const char* at, std::size_t length) {
                self(parser).m_request.target.append(at, length);
                return self(parser).countHeadBytes(length);
            };
            callbacks.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
                if (self(parser).m_headComplete)
                    return 0; // A trailer; dropped.
                return self(parser).addFieldName({ at, length });
            };
            callbacks.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
                if (self(parser).m_headComplete)
                    return 0;
                return self(parser).addFieldValue({ at, length });
            };
            callbacks.on_headers_complete = [](http_parser* parser) { return self(parser).checkHead(); };
            callbacks.on_body = [](http_parser* parser, const char* at, std::size_t length) {
                return self(parser).addBody({ at, length });
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
        std::string_view rest = std::string_view(connection.m_output).substr(connection.m_written);
        ssize_t sent = send(connection.m_socket.value(), rest.data(), rest.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            connection.gone();
            return;
        }
        connection.m_written += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
        if (connection.bufferedBytes() != 0) {
            if (sent > 0)
                connection.startTimer(connection.m_owner.options.writeTimeout);
            return;
        }
        connection.m_output.clear();
        connection.m_written = 0;
        event_del(connection.m_writable.get());
        if (connection.m_phase == Phase::Idle) {
            connection.answerWritten();
            return;
        }
        evtimer_del(connection.m_timer.get());
        if (connection.m_listener)
            connection.m_listener->onSendBufferEmpty();
    }

    static void onTimer(evutil_socket_t, short, void* argument)
    {
        auto& connection = *static_cast<Connection*>(argument);
        if (connection.m_phase == Phase::Receiving && connection.bufferedBytes() == 0)
            connection.refuse(ErrorKind::RequestTimeout, "the request did not arrive in time");
        else
            connection.gone();
    }

    State& m_owner;
    FileDescriptor m_socket;
    EventPointer m_readable;
    EventPointer m_writable;
    EventPointer m_timer;
    http_parser m_parser {};
    Phase m_phase { Phase::Idle };
    std::string m_input; ///< Received and not yet parsed.
    std::string m_output; ///< Accepted and not yet taken by the socket.
    std::string m_unsent; ///< Head of a stream; leaves with its first chunk.
    std::size_t m_written { 0 };
    CallerRequest m_request;
    std::size_t m_headBytes { 0 };
    std::optional<ErrorKind> m_fault;
    std::string m_faultMessage;
    CallerListener* m_listener { nullptr };
    bool m_valueSeen { false };
    bool m_headComplete { false };
    bool m_requestComplete { false };
    bool m_headRequest { false };
    bool m_http10 { false };
    bool m_keepAlive { true };
    bool m_failed { false };
};

void CallerServer::State::close(Connection* connection)
{
    auto found = connections.find(connection);
    if (found == connections.end())
        return;
    if (closed.empty())
        event_active(reaper.get(), EV_TIMEOUT, 0);
    closed.push_back(std::move(found->second));
    connections.erase(found);
}

void CallerServer::State::logDropped()
{
    Millis now = clock.now();
    if (now - dropsLogged < dropLogInterval)
        return;
    dropsLogged = now;
    logEvent(LogLevel::Warning, "caller_connections_dropped",
        { { "dropped", std::exchange(dropped, 0) }, { "connections", connections.size() } });
}

void CallerServer::State::onAccept(evutil_socket_t, short, void* argument)
{
    static_cast<State*>(argument)->accept(acceptsPerTurn);
}

void CallerServer::State::accept(int count)
{
    for (int i = 0; i < count && listener.value() >= 0; ++i) {
        FileDescriptor socket(::accept4(listener.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.value() < 0) {
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
                logEvent(LogLevel::Error, "accept_failed", { { "errno", errno } });
            return;
        }
        if (options.maxConnections != 0 && connections.size() >= options.maxConnections) {
            ++dropped; // Closed unread, which promises that the request has not run.
            logDropped();
            continue;
        }
        auto connection = std::make_unique<Connection>(*this, std::move(socket));
        Connection* key = connection.get();
        connections.emplace(key, std::move(connection));
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
    bool anyPort = colon != std::string_view::npos && address.substr(colon) == ":0";
    sockaddr_in target {};
    target.sin_family = AF_INET;
    if (!anyPort) {
        auto split = splitAddress(address);
        if (!split)
            return Error { .kind = ErrorKind::SettingsInvalid, .message = split.error().message };
        target.sin_port = htons(split.value().second);
    }
    if (inet_pton(AF_INET, std::string(address.substr(0, colon)).c_str(), &target.sin_addr) != 1)
        return Error { .kind = ErrorKind::SettingsInvalid, .message = "bad address " + state.options.address };
    FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int reuse = 1;
    if (socket.value() < 0 || setsockopt(socket.value(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse)) != 0
        || ::bind(socket.value(), reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0
        || ::listen(socket.value(), listenBacklog) != 0)
        return Error { .kind = ErrorKind::SettingsInvalid, .message = "cannot listen on " + state.options.address };
    state.listener = std::move(socket);
    state.acceptable.reset(
        event_new(&state.base, state.listener.value(), EV_READ | EV_PERSIST, State::onAccept, &state));
    setEventPriority(*state.acceptable, EventPriority::IncomingRequests);
    event_add(state.acceptable.get(), nullptr);
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(state.listener.value(), reinterpret_cast<sockaddr*>(&bound), &length);
    state.port = ntohs(bound.sin_port);
    return ok();
}

std::uint16_t CallerServer::port() const noexcept { return m_state->port; }

void CallerServer::disableKeepAlive() noexcept { m_state->closeAfterAnswers = true; }

std::size_t CallerServer::openExchangeCount() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_state->connections.begin(), m_state->connections.end(),
        [](const auto& entry) { return entry.first->answering(); }));
}

std::size_t CallerServer::connectionCount() const noexcept { return m_state->connections.size(); }

void CallerServer::stopListening()
{
    m_state->acceptable.reset();
    m_state->listener = {};
}

void CallerServer::acceptConnections(int count) { m_state->accept(count); }

void CallerServer::closeIdleConnections()
{
    std::vector<State::Connection*> idle;
    for (const auto& [connection, owned] : m_state->connections) {
        if (connection->idle())
            idle.push_back(connection);
    }
    for (State::Connection* connection : idle)
        m_state->close(connection);
}

void CallerServer::setLimits(const CallerServerOptions& options)
{
    std::string address = std::move(m_state->options.address);
    m_state->options = options;
    m_state->options.address = std::move(address);
}

}
