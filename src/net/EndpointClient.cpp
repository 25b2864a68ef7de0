#include "net/EndpointClient.h"

#include "net/HttpClient.h"
#include "net/HttpResponseParser.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminestack {

namespace {

    constexpr std::size_t scratchBytes = 64U << 10U;

    // Received bytes that libevent may hold for one connection before it stops reading from the socket.
    constexpr std::size_t receiveLimit = 64U << 10U;

    timeval toTimeval(Millis span) noexcept
    {
        auto ms = std::max<std::int64_t>(span.count, 0);
        return { .tv_sec = ms / 1000, .tv_usec = (ms % 1000) * 1000 };
    }

    void appendRequest(evbuffer* output, const EndpointRequest& request)
    {
        std::string head;
        head.reserve(512);
        head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
        head.append(request.address).append("\r\n");
        for (const auto& [name, value] : request.headers)
            head.append(name).append(": ").append(value).append("\r\n");
        if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
            head.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        head.append("\r\n");
        evbuffer_add(output, head.data(), head.size());
        evbuffer_add(output, request.body.data(), request.body.size());
    }

}

struct EndpointClient::State {
    enum class Phase : std::uint8_t { Waiting, Connecting, FirstByte, Body };

    struct IdleConnection {
        State* owner { nullptr };
        bufferevent* stream { nullptr };
        std::string address;
        Millis since {};
    };

    struct Exchange {
        State* owner { nullptr };
        ExchangeId id { 0 };
        EndpointRequest request;
        EndpointListener* listener { nullptr };
        bufferevent* stream { nullptr };
        event* timer { nullptr };
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
    event* sweep { nullptr };
    std::vector<char> scratch;

    State(event_base& eventBase, const Clock& theClock, const EndpointClientOptions& theOptions)
        : base(eventBase)
        , clock(theClock)
        , options(theOptions)
        , scratch(scratchBytes)
    {
        sweep = event_new(&base, -1, EV_PERSIST, onSweep, this);
        timeval interval { .tv_sec = 0, .tv_usec = 250'000 };
        event_add(sweep, &interval);
    }

    ~State()
    {
        for (auto& [id, exchange] : exchanges)
            release(*exchange);
        for (auto& connection : idle)
            bufferevent_free(connection->stream);
        event_free(sweep);
    }

    static void release(Exchange& exchange)
    {
        if (exchange.stream)
            bufferevent_free(std::exchange(exchange.stream, nullptr));
        if (exchange.timer)
            event_free(std::exchange(exchange.timer, nullptr));
    }

    [[nodiscard]] bool alive(ExchangeId id) const { return exchanges.contains(id); }

    bufferevent* takeIdle(const std::string& address, bool fresh)
    {
        // The most recently used connection is the least likely to have been closed by the endpoint.
        auto found = std::find_if(
            idle.rbegin(), idle.rend(), [&](const auto& connection) { return connection->address == address; });
        if (found == idle.rend())
            return nullptr;
        Millis limit = fresh ? options.freshLimit : options.idleLimit;
        if (clock.now() - (*found)->since >= limit)
            return nullptr;
        bufferevent* stream = (*found)->stream;
        idle.erase(std::next(found).base());
        return stream;
    }

    void keepIdle(bufferevent* stream, const std::string& address)
    {
        auto sameAddress = std::count_if(
            idle.begin(), idle.end(), [&](const auto& connection) { return connection->address == address; });
        if (static_cast<std::size_t>(sameAddress) >= options.idlePerAddress) {
            bufferevent_free(stream);
            return;
        }
        auto connection = std::make_unique<IdleConnection>(
            IdleConnection { .owner = this, .stream = stream, .address = address, .since = clock.now() });
        bufferevent_setcb(stream, onIdleRead, nullptr, onIdleEvent, connection.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        idle.push_back(std::move(connection));
    }

    void closeIdle(std::string_view address)
    {
        std::erase_if(idle, [&](const auto& connection) {
            if (connection->address != address)
                return false;
            bufferevent_free(connection->stream);
            return true;
        });
    }

    void dropIdle(IdleConnection& connection)
    {
        auto found
            = std::find_if(idle.begin(), idle.end(), [&](const auto& item) { return item.get() == &connection; });
        bufferevent_free(connection.stream);
        idle.erase(found);
    }

    static void onIdleRead(bufferevent*, void* argument)
    {
        // Bytes without a request belong to no exchange; the connection cannot be trusted any more.
        auto& connection = *static_cast<IdleConnection*>(argument);
        connection.owner->dropIdle(connection);
    }

    static void onIdleEvent(bufferevent*, short, void* argument)
    {
        auto& connection = *static_cast<IdleConnection*>(argument);
        connection.owner->dropIdle(connection);
    }

    static void onSweep(evutil_socket_t, short, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        Millis now = state.clock.now();
        std::erase_if(state.idle, [&](const auto& connection) {
            if (now - connection->since < state.options.idleLimit)
                return false;
            bufferevent_free(connection->stream);
            return true;
        });
    }

    void begin(Exchange& exchange)
    {
        if (bufferevent* reused = takeIdle(exchange.request.address, exchange.request.freshConnection)) {
            exchange.stream = reused;
            bufferevent_setcb(reused, onRead, nullptr, onEvent, &exchange);
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
        exchange.stream = bufferevent_socket_new(&base, -1, BEV_OPT_CLOSE_ON_FREE);
        exchange.phase = Phase::Connecting;
        bufferevent_setcb(exchange.stream, onRead, nullptr, onEvent, &exchange);
        bufferevent_setwatermark(exchange.stream, EV_READ, 0, receiveLimit);
        timeval limit = toTimeval(exchange.request.connectTimeout);
        evtimer_add(exchange.timer, &limit);
        if (bufferevent_socket_connect(exchange.stream, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0)
            finish(exchange, ErrorKind::EndpointUnavailable);
    }

    void sendRequest(Exchange& exchange)
    {
        int on = 1;
        setsockopt(bufferevent_getfd(exchange.stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        exchange.phase = Phase::FirstByte;
        exchange.bytesMayHaveLeft = true;
        exchange.lastActivity = clock.now();
        appendRequest(bufferevent_get_output(exchange.stream), exchange.request);
        exchange.request.body = {};
        timeval limit = toTimeval(exchange.request.firstByteTimeout);
        evtimer_add(exchange.timer, &limit);
        short events = exchange.paused ? EV_WRITE : EV_READ | EV_WRITE;
        bufferevent_enable(exchange.stream, events);
        exchange.listener->onSent();
    }

    void finish(Exchange& exchange, ErrorKind error, bool complete = false)
    {
        EndpointEnd end { .complete = complete, .bytesMayHaveLeft = exchange.bytesMayHaveLeft, .error = error };
        EndpointListener& listener = *exchange.listener;
        if (!complete)
            closeIdle(exchange.request.address);
        if (complete && exchange.parser.reusable() && evbuffer_get_length(bufferevent_get_output(exchange.stream)) == 0)
            keepIdle(std::exchange(exchange.stream, nullptr), exchange.request.address);
        release(exchange);
        exchanges.erase(exchange.id);
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

    static void onRead(bufferevent* stream, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        State& state = *exchange.owner;
        evbuffer* input = bufferevent_get_input(stream);
        exchange.lastActivity = state.clock.now();
        if (exchange.phase == Phase::FirstByte) {
            exchange.phase = Phase::Body;
            timeval limit = toTimeval(exchange.request.idleTimeout);
            evtimer_add(exchange.timer, &limit);
        }
        while (!exchange.paused) {
            int length = evbuffer_remove(input, state.scratch.data(), state.scratch.size());
            if (length <= 0)
                return;
            std::span<char> data(state.scratch.data(), static_cast<std::size_t>(length));
            if (!state.deliver(exchange, exchange.parser.feed(data)))
                return;
        }
    }

    static void onEvent(bufferevent*, short what, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        State& state = *exchange.owner;
        if (what & BEV_EVENT_CONNECTED) {
            state.sendRequest(exchange);
            return;
        }
        if (exchange.phase == Phase::Connecting) {
            state.finish(exchange, ErrorKind::EndpointUnavailable);
            return;
        }
        if (what & BEV_EVENT_EOF) {
            // The read callback has already consumed what came before the close.
            exchange.parser.endOfInput();
            if (exchange.parser.complete()) {
                state.finish(exchange, ErrorKind::Internal, true);
                return;
            }
        }
        state.finish(exchange, exchange.headDelivered ? ErrorKind::AnswerTruncated : ErrorKind::EndpointLost);
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
        evtimer_add(exchange.timer, &rest);
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
    exchange->timer = evtimer_new(&state.base, State::onTimer, exchange.get());
    // The exchange begins as an event of its own, so that no listener is called inside this function.
    event_active(exchange->timer, EV_TIMEOUT, 0);
    ExchangeId id = exchange->id;
    state.exchanges.emplace(id, std::move(exchange));
    return id;
}

void EndpointClient::cancel(ExchangeId id)
{
    auto found = m_state->exchanges.find(id);
    if (found == m_state->exchanges.end())
        return;
    State::release(*found->second);
    m_state->exchanges.erase(found);
}

void EndpointClient::setPaused(ExchangeId id, bool paused)
{
    auto found = m_state->exchanges.find(id);
    if (found == m_state->exchanges.end() || found->second->paused == paused)
        return;
    State::Exchange& exchange = *found->second;
    exchange.paused = paused;
    exchange.lastActivity = m_state->clock.now();
    if (!exchange.stream || exchange.phase < State::Phase::FirstByte)
        return;
    if (paused) {
        bufferevent_disable(exchange.stream, EV_READ);
    } else {
        bufferevent_enable(exchange.stream, EV_READ);
        // Delivers bytes that were received before the pause; deferred, so that no listener is called in here.
        bufferevent_trigger(exchange.stream, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }
}

void EndpointClient::closeIdle(std::string_view address) { m_state->closeIdle(address); }

std::size_t EndpointClient::idleConnections() const noexcept { return m_state->idle.size(); }

}
