#include "net/EndpointClient.h"

#include "net/HttpClient.h"
#include "net/HttpResponseParser.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminestack {

namespace {

    constexpr std::size_t scratchBytes = 64U << 10U;

    timeval toTimeval(Millis span) noexcept
    {
        auto ms = std::max<std::int64_t>(span.count, 0);
        return { .tv_sec = ms / 1000, .tv_usec = (ms % 1000) * 1000 };
    }

    std::string formatRequest(const EndpointRequest& request)
    {
        std::string text;
        text.reserve(512 + request.body.size());
        text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
        text.append(request.address).append("\r\n");
        for (const auto& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        return text.append("\r\n").append(request.body);
    }

    struct EventDeleter {
        void operator()(event* item) const noexcept { event_free(item); }
    };
    using EventPointer = std::unique_ptr<event, EventDeleter>;

    // Owns a socket. Plain sockets are used instead of bufferevents, which need three system calls for each read and
    // would copy every chunk once more.
    class Descriptor {
    public:
        Descriptor() = default;
        explicit Descriptor(int value) noexcept
            : m_value(value)
        {
        }
        Descriptor(Descriptor&& other) noexcept
            : m_value(std::exchange(other.m_value, -1))
        {
        }
        Descriptor& operator=(Descriptor&& other) noexcept
        {
            std::swap(m_value, other.m_value);
            return *this;
        }
        ~Descriptor()
        {
            if (m_value >= 0)
                close(m_value);
        }
        [[nodiscard]] int value() const noexcept { return m_value; }

    private:
        int m_value { -1 };
    };

}

struct EndpointClient::State {
    enum class Phase : std::uint8_t { Waiting, Connecting, FirstByte, Body };

    // Members are destroyed in reverse order: events before the socket that they watch.
    struct IdleConnection {
        State* owner { nullptr };
        std::string address;
        Millis since {};
        Descriptor socket;
        EventPointer watch;
    };

    struct Exchange {
        State* owner { nullptr };
        ExchangeId id { 0 };
        EndpointRequest request;
        EndpointListener* listener { nullptr };
        Descriptor socket;
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

    Descriptor takeIdle(const std::string& address, bool fresh)
    {
        // The most recently used connection is the least likely to have been closed by the endpoint.
        auto found = std::find_if(
            idle.rbegin(), idle.rend(), [&](const auto& connection) { return connection->address == address; });
        if (found == idle.rend())
            return {};
        Millis limit = fresh ? options.freshLimit : options.idleLimit;
        if (clock.now() - (*found)->since >= limit)
            return {};
        (*found)->watch.reset();
        Descriptor socket = std::move((*found)->socket);
        idle.erase(std::next(found).base());
        return socket;
    }

    void keepIdle(Descriptor socket, const std::string& address)
    {
        auto sameAddress = std::count_if(
            idle.begin(), idle.end(), [&](const auto& connection) { return connection->address == address; });
        if (static_cast<std::size_t>(sameAddress) >= options.idlePerAddress)
            return;
        auto connection = std::make_unique<IdleConnection>();
        connection->owner = this;
        connection->address = address;
        connection->since = clock.now();
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
        std::erase_if(
            state.idle, [&](const auto& connection) { return now - connection->since >= state.options.idleLimit; });
    }

    void useSocket(Exchange& exchange, Descriptor socket)
    {
        exchange.socket = std::move(socket);
        int descriptor = exchange.socket.value();
        exchange.readable.reset(event_new(&base, descriptor, EV_READ | EV_PERSIST, onReadable, &exchange));
        exchange.writable.reset(event_new(&base, descriptor, EV_WRITE, onWritable, &exchange));
    }

    void begin(Exchange& exchange)
    {
        if (Descriptor reused = takeIdle(exchange.request.address, exchange.request.freshConnection);
            reused.value() >= 0) {
            useSocket(exchange, std::move(reused));
            sendRequest(exchange);
            return;
        }
        auto address = splitAddress(exchange.request.address);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        if (!address || inet_pton(AF_INET, address.value().first.c_str(), &target.sin_addr) != 1) {
            finish(exchange, ErrorKind::EndpointUnavailable);
            return;
        }
        target.sin_port = htons(address.value().second);
        Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        int on = 1;
        setsockopt(socket.value(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (socket.value() < 0
            || (connect(socket.value(), reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0
                && errno != EINPROGRESS)) {
            finish(exchange, ErrorKind::EndpointUnavailable);
            return;
        }
        useSocket(exchange, std::move(socket));
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
            exchange.listener->onSent();
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
        EndpointEnd end { .complete = complete, .bytesMayHaveLeft = exchange.bytesMayHaveLeft, .error = error };
        EndpointListener& listener = *exchange.listener;
        std::string address = std::move(exchange.request.address);
        if (!complete)
            closeIdle(address);
        Descriptor kept;
        if (complete && exchange.parser.reusable() && exchange.output.empty()) {
            exchange.readable.reset();
            exchange.writable.reset();
            kept = std::move(exchange.socket);
        }
        exchanges.erase(exchange.id);
        if (kept.value() >= 0)
            keepIdle(std::move(kept), address);
        listener.onEnd(end);
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
                timeval limit = toTimeval(exchange.request.idleTimeout);
                evtimer_add(exchange.timer.get(), &limit);
            }
            std::span<char> data(state.scratch.data(), static_cast<std::size_t>(length));
            static_cast<void>(state.deliver(exchange, exchange.parser.feed(data)));
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
        Millis allowed
            = exchange.phase == Phase::FirstByte ? exchange.request.firstByteTimeout : exchange.request.idleTimeout;
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
