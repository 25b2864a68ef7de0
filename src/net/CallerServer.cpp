#include "net/CallerServer.h"

#include "net/HttpClient.h"
#include "net/HttpResponseParser.h"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unordered_map>
#include <unordered_set>

namespace jasminestack {

namespace {

    // How often a connection with pipelined data is checked for its close, because its readability says nothing then.
    constexpr timeval pollInterval { .tv_sec = 0, .tv_usec = 250'000 };

    timeval toTimeval(Millis span) noexcept
    {
        return { .tv_sec = span.count / 1000, .tv_usec = (span.count % 1000) * 1000 };
    }

    std::string_view methodName(evhttp_cmd_type command) noexcept
    {
        switch (command) {
        case EVHTTP_REQ_GET:
            return "GET";
        case EVHTTP_REQ_POST:
            return "POST";
        case EVHTTP_REQ_HEAD:
            return "HEAD";
        case EVHTTP_REQ_PUT:
            return "PUT";
        case EVHTTP_REQ_DELETE:
            return "DELETE";
        case EVHTTP_REQ_OPTIONS:
            return "OPTIONS";
        case EVHTTP_REQ_PATCH:
            return "PATCH";
        default:
            return "";
        }
    }

    CallerRequest takeRequest(evhttp_request* message)
    {
        CallerRequest request { .method = std::string(methodName(evhttp_request_get_command(message))),
            .target = evhttp_request_get_uri(message) };
        for (const evkeyval* header = evhttp_request_get_input_headers(message)->tqh_first; header;
             header = header->next.tqe_next)
            request.headers.emplace_back(header->key, header->value);
        evbuffer* input = evhttp_request_get_input_buffer(message);
        request.body.resize(evbuffer_get_length(input));
        evbuffer_remove(input, request.body.data(), request.body.size());
        return request;
    }

}

std::string_view CallerRequest::header(std::string_view name) const noexcept { return findHeader(headers, name); }

std::string_view CallerRequest::path() const noexcept { return std::string_view(target).substr(0, target.find('?')); }

struct CallerServer::State {
    class Exchange;

    struct Receiving {
        State* owner { nullptr };
        bufferevent* stream { nullptr };
        std::optional<Millis> since;
    };

    event_base& base;
    SystemClock clock;
    CallerHandler& handler;
    CallerServerOptions options;
    evhttp* server { nullptr };
    evhttp_bound_socket* listener { nullptr };
    std::uint16_t port { 0 };
    bool closeAfterAnswers { false };
    std::unordered_set<Exchange*> exchanges;
    /// When the request that a connection is receiving began. An entry is kept after its connection has closed, until
    /// another one gets the same address, since evhttp does not tell; there are as many as connections at one time.
    std::unordered_map<bufferevent*, std::unique_ptr<Receiving>> receiving;
    std::vector<Exchange*> unflushed; ///< Exchanges with chunks of this turn of the event loop.
    event* flushEvent { nullptr };

    State(event_base& eventBase, CallerHandler& theHandler, const CallerServerOptions& theOptions)
        : base(eventBase)
        , handler(theHandler)
        , options(theOptions)
    {
        flushEvent = event_new(&base, -1, 0, onFlush, this);
    }

    ~State() { event_free(flushEvent); }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    // Creates the buffered event of a new connection.
    static bufferevent* onConnection(event_base* base, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        bufferevent* stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        auto& entry = state.receiving[stream];
        entry = std::make_unique<Receiving>(Receiving { .owner = &state, .stream = stream });
        evbuffer_add_cb(bufferevent_get_input(stream), onInput, entry.get());
        return stream;
    }

    // evhttp's time limit starts again with each byte. This one is for the whole request, so that a caller who sends
    // it slowly does not hold a connection forever.
    static void onInput(evbuffer*, const evbuffer_cb_info* info, void* argument)
    {
        auto& receiving = *static_cast<Receiving*>(argument);
        if (info->n_added == 0)
            return;
        Millis now = receiving.owner->clock.now();
        if (!receiving.since)
            receiving.since = now;
        else if (now - *receiving.since > receiving.owner->options.readTimeout)
            shutdown(bufferevent_getfd(receiving.stream), SHUT_RDWR);
    }

    static void onFlush(evutil_socket_t, short, void* argument);
    static void onMessage(evhttp_request* message, void* argument);
};

class CallerServer::State::Exchange final : public CallerExchange {
public:
    Exchange(State& owner, evhttp_request* message)
        : m_owner(owner)
        , m_message(message)
        , m_connection(evhttp_request_get_connection(message))
        , m_chunk(evbuffer_new())
    {
        m_owner.exchanges.insert(this);
        bufferevent* stream = evhttp_connection_get_bufferevent(m_connection);
        m_descriptor = bufferevent_getfd(stream);
        int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        // The caller has nothing to send until it is answered, however long that takes.
        timeval write = toTimeval(owner.options.writeTimeout);
        bufferevent_set_timeouts(stream, nullptr, &write);
        evhttp_connection_set_closecb(m_connection, onClosed, this);
        evhttp_request_set_on_complete_cb(message, onComplete, this);
        // evhttp does not read while it answers, so it would not notice the caller's close; and reading on its
        // connection in that state aborts the process on pipelined data. EV_READ is needed beside EV_CLOSED because a
        // reset is reported as an error, which libevent maps to readable and writable only.
        m_watch = event_new(&owner.base, m_descriptor, EV_READ | EV_CLOSED, onReadable, this);
        event_add(m_watch, nullptr);
    }

    ~Exchange() override
    {
        evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
        if (m_watch)
            event_free(m_watch);
        if (m_outputWatch)
            evbuffer_remove_cb_entry(output(), m_outputWatch);
        evbuffer_free(m_chunk);
        if (m_unflushed)
            std::replace(m_owner.unflushed.begin(), m_owner.unflushed.end(), this, static_cast<Exchange*>(nullptr));
        m_owner.exchanges.erase(this);
    }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    void attach(CallerListener& listener) override { m_listener = &listener; }

    void sendWhole(const CallerHead& head, std::string_view body) override
    {
        addHeaders(head);
        evbuffer_add(m_chunk, body.data(), body.size());
        stopWatching();
        evhttp_send_reply(m_message, head.status, nullptr, m_chunk);
    }

    void startStream(const CallerHead& head) override
    {
        addHeaders(head);
        evhttp_send_reply_start(m_message, head.status, nullptr);
        m_outputWatch = evbuffer_add_cb(output(), onOutputChanged, this);
    }

    // Chunks are framed and written here instead of by evhttp, which registers and unregisters the socket for writing
    // around each of them. All chunks of one turn of the event loop leave with one system call.
    void sendChunk(std::string_view bytes) override
    {
        if (bytes.empty())
            return;
        if (!m_message->chunked) {
            evbuffer_add(m_chunk, bytes.data(), bytes.size());
            evhttp_send_reply_chunk(m_message, m_chunk);
            return;
        }
        if (!m_blocked)
            bufferevent_disable(evhttp_connection_get_bufferevent(m_connection), EV_WRITE);
        char size[2 * sizeof(std::size_t) + 2];
        char* end = std::to_chars(size, size + sizeof(size) - 2, bytes.size(), 16).ptr;
        *end++ = '\r';
        *end++ = '\n';
        evbuffer_add(output(), size, static_cast<std::size_t>(end - size));
        evbuffer_add(output(), bytes.data(), bytes.size());
        evbuffer_add(output(), "\r\n", 2);
        if (m_unflushed || m_blocked)
            return;
        if (m_owner.unflushed.empty())
            event_active(m_owner.flushEvent, EV_TIMEOUT, 0);
        m_owner.unflushed.push_back(this);
        m_unflushed = true;
    }

    void flush()
    {
        m_unflushed = false;
        if (m_answered)
            return;
        evbuffer_unfreeze(output(), 1);
        evbuffer_write(output(), m_descriptor);
        evbuffer_freeze(output(), 1);
        if (evbuffer_get_length(output()) == 0)
            return;
        // The socket is full, or failed; the buffered event waits for it, applies the time limit and reports errors.
        m_blocked = true;
        bufferevent_enable(evhttp_connection_get_bufferevent(m_connection), EV_WRITE);
    }

    void endStream() override
    {
        stopWatching();
        evhttp_send_reply_end(m_message);
    }

    void abort() override
    {
        evhttp_connection* connection = m_connection;
        delete this;
        evhttp_connection_free(connection);
    }

    [[nodiscard]] std::size_t bufferedBytes() const override { return evbuffer_get_length(output()); }

private:
    [[nodiscard]] evbuffer* output() const
    {
        return bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection));
    }

    void addHeaders(const CallerHead& head)
    {
        evkeyvalq* headers = evhttp_request_get_output_headers(m_message);
        for (const auto& [name, value] : head.headers)
            evhttp_add_header(headers, name.c_str(), value.c_str());
        if (m_owner.closeAfterAnswers)
            evhttp_add_header(headers, "Connection", "close");
    }

    // The answer is complete; the object stays until it is written or the connection fails.
    void stopWatching()
    {
        m_answered = true;
        m_listener = nullptr;
        event_free(m_watch);
        m_watch = nullptr;
    }

    void gone()
    {
        CallerListener* listener = m_listener;
        delete this;
        if (listener)
            listener->onCallerGone();
    }

    static void onComplete(evhttp_request*, void* argument)
    {
        auto* exchange = static_cast<Exchange*>(argument);
        timeval read = toTimeval(exchange->m_owner.options.readTimeout);
        timeval write = toTimeval(exchange->m_owner.options.writeTimeout);
        bufferevent_set_timeouts(evhttp_connection_get_bufferevent(exchange->m_connection), &read, &write);
        delete exchange;
    }

    // Called by evhttp when it drops the connection by itself (write error or time limit). It has then separated an
    // unanswered request from the connection and leaves it to the application to free it.
    static void onClosed(evhttp_connection*, void* argument)
    {
        auto* exchange = static_cast<Exchange*>(argument);
        if (!exchange->m_answered && !evhttp_request_get_connection(exchange->m_message)) {
            evhttp_request_set_on_complete_cb(exchange->m_message, nullptr, nullptr);
            evhttp_request_free(exchange->m_message);
        }
        exchange->gone();
    }

    static void onOutputChanged(evbuffer* output, const evbuffer_cb_info*, void* argument)
    {
        auto* exchange = static_cast<Exchange*>(argument);
        if (evbuffer_get_length(output) != 0)
            return;
        exchange->m_blocked = false;
        if (exchange->m_listener)
            exchange->m_listener->onCallerDrained();
    }

    static void onReadable(evutil_socket_t, short, void* argument)
    {
        auto* exchange = static_cast<Exchange*>(argument);
        pollfd state { .fd = exchange->m_descriptor, .events = POLLRDHUP };
        if (poll(&state, 1, 0) > 0) {
            evhttp_connection* connection = exchange->m_connection;
            exchange->gone();
            evhttp_connection_free(connection);
            return;
        }
        // Readable without a close: pipelined data, which stays in the socket until this answer is sent.
        event_free(exchange->m_watch);
        exchange->m_watch = event_new(&exchange->m_owner.base, -1, EV_TIMEOUT, onReadable, exchange);
        event_add(exchange->m_watch, &pollInterval);
    }

    State& m_owner;
    evhttp_request* m_message;
    evhttp_connection* m_connection;
    evbuffer* m_chunk;
    event* m_watch { nullptr };
    CallerListener* m_listener { nullptr };
    evutil_socket_t m_descriptor { -1 };
    evbuffer_cb_entry* m_outputWatch { nullptr };
    bool m_answered { false };
    bool m_unflushed { false };
    bool m_blocked { false }; ///< The socket takes no more bytes; the buffered event writes the rest.
};

void CallerServer::State::onFlush(evutil_socket_t, short, void* argument)
{
    auto& state = *static_cast<State*>(argument);
    while (!state.unflushed.empty()) {
        Exchange* exchange = state.unflushed.back();
        state.unflushed.pop_back();
        if (exchange)
            exchange->flush();
    }
}

void CallerServer::State::onMessage(evhttp_request* message, void* argument)
{
    auto& state = *static_cast<State*>(argument);
    auto receiving = state.receiving.find(evhttp_connection_get_bufferevent(evhttp_request_get_connection(message)));
    if (receiving != state.receiving.end())
        receiving->second->since.reset();
    // The exchange deletes itself when its answer is written or its connection ends.
    auto* exchange = new Exchange(state, message);
    state.handler.onRequest(takeRequest(message), *exchange);
}

CallerServer::CallerServer(event_base& base, CallerHandler& handler, const CallerServerOptions& options)
    : m_state(std::make_unique<State>(base, handler, options))
{
}

CallerServer::~CallerServer()
{
    while (!m_state->exchanges.empty())
        delete *m_state->exchanges.begin();
    if (m_state->server)
        evhttp_free(m_state->server);
}

Result<void> CallerServer::listen()
{
    State& state = *m_state;
    std::string_view address = state.options.address;
    std::size_t colon = address.rfind(':');
    bool anyPort = colon != std::string_view::npos && address.substr(colon) == ":0";
    std::string host(address.substr(0, colon));
    std::uint16_t port = 0;
    if (!anyPort) {
        auto split = splitAddress(address);
        if (!split)
            return Error { .kind = ErrorKind::SettingsInvalid, .message = split.error().message };
        port = split.value().second;
    }
    state.server = evhttp_new(&state.base);
    evhttp_set_max_headers_size(state.server, static_cast<ev_ssize_t>(state.options.maxHeaderBytes));
    // evhttp answers larger bodies with a page of its own. Up to twice the limit the handler gives the JSON error.
    evhttp_set_max_body_size(state.server, static_cast<ev_ssize_t>(2 * state.options.maxBodyBytes));
    evhttp_set_allowed_methods(state.server,
        EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS
            | EVHTTP_REQ_PATCH);
    timeval timeout = toTimeval(state.options.readTimeout);
    evhttp_set_timeout_tv(state.server, &timeout);
    evhttp_set_gencb(state.server, State::onMessage, &state);
    evhttp_set_bevcb(state.server, State::onConnection, &state);
    state.listener = evhttp_bind_socket_with_handle(state.server, host.c_str(), port);
    if (!state.listener)
        return Error { .kind = ErrorKind::SettingsInvalid, .message = "cannot listen on " + state.options.address };
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(state.listener), reinterpret_cast<sockaddr*>(&bound), &length);
    state.port = ntohs(bound.sin_port);
    return ok();
}

std::uint16_t CallerServer::port() const noexcept { return m_state->port; }

void CallerServer::closeAfterAnswers() noexcept { m_state->closeAfterAnswers = true; }

std::size_t CallerServer::openExchanges() const noexcept { return m_state->exchanges.size(); }

void CallerServer::closeListener()
{
    if (m_state->listener)
        evhttp_del_accept_socket(m_state->server, std::exchange(m_state->listener, nullptr));
}

}
