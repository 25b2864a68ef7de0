#include "net/EndpointClient.h"

#include "net/HttpClient.h"
#include "net/HttpResponseParser.h"
#include "net/Socket.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <event2/event.h>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminestack {

namespace {

    constexpr std::size_t scratchBytes = 64U << 10U;

    constexpr Millis half(Millis span) noexcept { return { span.count / 2 }; }

    std::string formatRequest(const EndpointRequest& request)
    {
        std::string text;
        text.reserve(512 + request.body.size());
        text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
        text.append(request.host.empty() ? request.address : request.host).append("\r\n");
        for (const auto& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        return text.append("\r\n").append(request.body);
    }

    // The idle time that an endpoint announces in `Keep-Alive: timeout=SECONDS`, if it does.
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
        return Millis { seconds * 1000 };
    }

}

struct EndpointClient::State {
    enum class Phase : std::uint8_t { Waiting, Connecting, FirstByte, Body };

    // Members are destroyed in reverse order: events before the socket that they watch.
    struct IdleConnection {
        State* owner { nullptr };
        std::string address;
        Millis since {};
        Millis limit {}; ///< Idle time after which it is closed.
        FileDescriptor socket;
        EventPointer watch;
    };

    struct Exchange {
        State* owner { nullptr };
        ExchangeId id { 0 };
        EndpointRequest request;
        EndpointListener* listener { nullptr };
        FileDescriptor socket;
        EventPointer readable;
        EventPointer writable;
        EventPointer timer;
        std::string output; ///< The request as it is sent.
        std::size_t written { 0 };
        HttpResponseParser parser;
        Phase phase { Phase::Waiting };
        Millis lastActivity {};
        bool headDelivered { false };
        bool bytesMayHaveLeft { false };
        bool reused { false };
        bool skipping { false }; ///< The response being read belongs to an earlier request.
        bool paused { false };
    };

    event_base& base;
    const Clock& clock;
    EndpointClientOptions options;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges;
    std::vector<std::unique_ptr<IdleConnection>> idle; ///< Longest idle first.
    ExchangeId lastId { 0 };
    EventPointer sweep;
    std::vector<char> scratch;

    State(event_base& eventBase, const Clock& theClock, const EndpointClientOptions& theOptions)
        : base(eventBase)
        , clock(theClock)
        , options(theOptions)
        , sweep(event_new(&eventBase, -1, EV_PERSIST, onSweep, this))
        , scratch(scratchBytes)
    {
        timeval interval { .tv_sec = 0, .tv_usec = 250'000 };
        event_add(sweep.get(), &interval);
    }

    [[nodiscard]] bool alive(ExchangeId id) const { return exchanges.contains(id); }

    FileDescriptor takeIdle(const std::string& address, bool fresh)
    {
        // The most recently used connection is the least likely to have been closed by the endpoint.
        auto found = std::find_if(
            idle.rbegin(), idle.rend(), [&](const auto& connection) { return connection->address == address; });
        if (found == idle.rend())
            return {};
        Millis limit = (*found)->limit;
        if (fresh)
            limit = std::min(limit, options.freshLimit);
        if (clock.now() - (*found)->since >= limit)
            return {};
        (*found)->watch.reset();
        FileDescriptor socket = std::move((*found)->socket);
        idle.erase(std::next(found).base());
        return socket;
    }

    void keepIdle(FileDescriptor socket, const std::string& address, Millis limit)
    {
        auto sameAddress = std::count_if(
            idle.begin(), idle.end(), [&](const auto& connection) { return connection->address == address; });
        if (static_cast<std::size_t>(sameAddress) >= options.maxIdleConnectionsPerAddress)
            return;
        auto connection = std::make_unique<IdleConnection>();
        connection->owner = this;
        connection->address = address;
        connection->since = clock.now();
        connection->limit = limit;
        connection->socket = std::move(socket);
        connection->watch.reset(
            event_new(&base, connection->socket.value(), EV_READ, onIdleReadable, connection.get()));
        event_add(connection->watch.get(), nullptr);
        idle.push_back(std::move(connection));
    }

    void closeIdle(std::string_view address)
    {
        std::erase_if(idle, [&](const auto& connection) { return connection->address == address; });
    }

    // Closed by the endpoint, or bytes without a request, after which the connection cannot be trusted.
    static void onIdleReadable(evutil_socket_t, short, void* argument)
    {
        auto& connection = *static_cast<IdleConnection*>(argument);
        std::erase_if(connection.owner->idle, [&](const auto& item) { return item.get() == &connection; });
    }

    static void onSweep(evutil_socket_t, short, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        Millis now = state.clock.now();
        std::erase_if(state.idle, [&](const auto& connection) { return now - connection->since >= connection->limit; });
    }

    void useSocket(Exchange& exchange, FileDescriptor socket)
    {
        exchange.socket = std::move(socket);
        int descriptor = exchange.socket.value();
        exchange.readable.reset(event_new(&base, descriptor, EV_READ | EV_PERSIST, onReadable, &exchange));
        exchange.writable.reset(event_new(&base, descriptor, EV_WRITE, onWritable, &exchange));
    }

    void begin(Exchange& exchange)
    {
        if (FileDescriptor reused = takeIdle(exchange.request.address, exchange.request.requiresFreshConnection);
            reused.value() >= 0) {
            exchange.reused = true;
            useSocket(exchange, std::move(reused));
            sendRequest(exchange);
            return;
        }
        auto socket = startConnection(exchange.request.address);
        if (!socket) {
            finish(exchange, ErrorKind::EndpointUnavailable);
            return;
        }
        useSocket(exchange, std::move(socket).value());
        exchange.phase = Phase::Connecting;
        timeval limit = toTimeval(exchange.request.connectTimeout);
        evtimer_add(exchange.timer.get(), &limit);
        event_add(exchange.writable.get(), nullptr);
    }

    void sendRequest(Exchange& exchange)
    {
        exchange.phase = Phase::FirstByte;
        exchange.lastActivity = clock.now();
        exchange.output = formatRequest(exchange.request);
        exchange.request.body = {};
        timeval limit = toTimeval(exchange.request.firstByteTimeout);
        evtimer_add(exchange.timer.get(), &limit);
        if (!exchange.paused)
            event_add(exchange.readable.get(), nullptr);
        ExchangeId id = exchange.id;
        write(exchange);
        if (alive(id))
            exchange.listener->onConnected();
    }

    void write(Exchange& exchange)
    {
        std::string_view rest = std::string_view(exchange.output).substr(exchange.written);
        ssize_t sent = send(exchange.socket.value(), rest.data(), rest.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            exchange.bytesMayHaveLeft = true;
            exchange.written += static_cast<std::size_t>(sent);
        } else if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            finish(exchange, exchange.bytesMayHaveLeft ? ErrorKind::EndpointLost : ErrorKind::EndpointUnavailable);
            return;
        }
        if (exchange.written < exchange.output.size())
            event_add(exchange.writable.get(), nullptr);
        else
            exchange.output = {};
    }

    void finish(Exchange& exchange, ErrorKind error, bool complete = false)
    {
        EndpointExchangeResult end { .isComplete = complete,
            .requestMayHaveBeenSent = exchange.bytesMayHaveLeft,
            .responseStarted = exchange.phase == Phase::Body,
            .reused = exchange.reused,
            .error = error };
        EndpointListener& listener = *exchange.listener;
        std::string address = std::move(exchange.request.address);
        if (!complete)
            closeIdle(address);
        FileDescriptor kept;
        Millis idleLimit = options.maxIdleTime;
        if (auto announced = announcedIdleTime(exchange.parser.head()))
            idleLimit
                = std::min(idleLimit, std::max(*announced - options.keepAliveMargin, *announced - half(*announced)));
        if (complete && exchange.parser.reusable() && exchange.output.empty()) {
            exchange.readable.reset();
            exchange.writable.reset();
            kept = std::move(exchange.socket);
        }
        exchanges.erase(exchange.id);
        if (kept.value() >= 0)
            keepIdle(std::move(kept), address, idleLimit);
        listener.onEnd(end);
    }

    // Reads received bytes, dropping responses to earlier requests on this connection.
    void receive(Exchange& exchange, std::span<char> data)
    {
        while (true) {
            std::string_view body = exchange.parser.feed(data);
            if (exchange.reused && !exchange.headDelivered && exchange.parser.headComplete())
                exchange.skipping = isForeign(exchange);
            if (!exchange.skipping) {
                static_cast<void>(deliver(exchange, body));
                return;
            }
            if (exchange.parser.failed()) {
                finish(exchange, ErrorKind::AnswerMismatch);
                return;
            }
            if (!exchange.parser.complete())
                return;
            data = data.subspan(exchange.parser.consumed());
            exchange.parser = HttpResponseParser(exchange.request.method == "HEAD");
            exchange.skipping = false;
            if (data.empty())
                return;
        }
    }

    static bool isForeign(const Exchange& exchange)
    {
        if (exchange.request.correlationHeader.empty())
            return false;
        std::string_view echoed = findHeader(exchange.parser.head().headers, exchange.request.correlationHeader);
        return !echoed.empty() && echoed != exchange.request.correlationValue;
    }

    // Delivers what the parser has found. Returns false when the exchange is over.
    bool deliver(Exchange& exchange, std::string_view body)
    {
        ExchangeId id = exchange.id;
        if (exchange.parser.headComplete() && !exchange.headDelivered && !exchange.parser.failed()) {
            exchange.headDelivered = true;
            exchange.listener->onHead(exchange.parser.head());
            if (!alive(id))
                return false;
        }
        if (!body.empty()) {
            exchange.listener->onBody(body);
            if (!alive(id))
                return false;
        }
        if (exchange.parser.failed()) {
            finish(exchange, ErrorKind::AnswerTruncated);
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
        State& state = *exchange.owner;
        ssize_t length = recv(descriptor, state.scratch.data(), state.scratch.size(), 0);
        if (length > 0) {
            exchange.lastActivity = state.clock.now();
            if (exchange.phase == Phase::FirstByte) {
                exchange.phase = Phase::Body;
                timeval limit = toTimeval(exchange.request.responseIdleTimeout);
                evtimer_add(exchange.timer.get(), &limit);
            }
            state.receive(exchange, { state.scratch.data(), static_cast<std::size_t>(length) });
            return;
        }
        if (length < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (length == 0) {
            exchange.parser.endOfInput();
            if (exchange.parser.complete()) {
                state.finish(exchange, ErrorKind::Internal, true);
                return;
            }
        }
        state.finish(exchange, exchange.headDelivered ? ErrorKind::AnswerTruncated : ErrorKind::EndpointLost);
    }

    static void onWritable(evutil_socket_t descriptor, short, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        State& state = *exchange.owner;
        if (exchange.phase != Phase::Connecting) {
            state.write(exchange);
            return;
        }
        int error = 0;
        socklen_t length = sizeof(error);
        if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
            state.finish(exchange, ErrorKind::EndpointUnavailable);
        else
            state.sendRequest(exchange);
    }

    static void onTimer(evutil_socket_t, short, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        State& state = *exchange.owner;
        switch (exchange.phase) {
        case Phase::Waiting:
            state.begin(exchange);
            return;
        case Phase::Connecting:
            state.finish(exchange, ErrorKind::EndpointUnavailable);
            return;
        case Phase::FirstByte:
        case Phase::Body:
            break;
        }
        // The timer is not restarted for each chunk; it checks here how long the connection has been silent.
        Millis allowed = exchange.phase == Phase::FirstByte ? exchange.request.firstByteTimeout
                                                            : exchange.request.responseIdleTimeout;
        Millis silent = exchange.paused ? Millis {} : state.clock.now() - exchange.lastActivity;
        if (silent >= allowed) {
            state.finish(exchange, ErrorKind::EndpointTimeout);
            return;
        }
        timeval rest = toTimeval(allowed - silent);
        evtimer_add(exchange.timer.get(), &rest);
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
    exchange->timer.reset(evtimer_new(&state.base, State::onTimer, exchange.get()));
    // The exchange begins as an event of its own, so that no listener is called inside this function.
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
    exchange.lastActivity = m_state->clock.now();
    if (exchange.phase < State::Phase::FirstByte)
        return;
    if (paused)
        event_del(exchange.readable.get());
    else
        event_add(exchange.readable.get(), nullptr);
}

void EndpointClient::closeIdle(std::string_view address) { m_state->closeIdle(address); }

std::size_t EndpointClient::idleConnections() const noexcept { return m_state->idle.size(); }

}
