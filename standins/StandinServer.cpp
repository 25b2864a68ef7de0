#include "StandinServer.h"

#include "net/HttpClient.h"

#include <chrono>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminestack::standins {

namespace {

    // Longer than any timeout of a daemon: a stand-in must not be the side that times out.
    constexpr int connectionTimeoutSeconds = 3600;
    constexpr std::size_t maxBodyBytes = 16U << 20U;

    std::string_view methodName(evhttp_cmd_type command)
    {
        switch (command) {
        case EVHTTP_REQ_POST:
            return "POST";
        case EVHTTP_REQ_PUT:
            return "PUT";
        case EVHTTP_REQ_DELETE:
            return "DELETE";
        case EVHTTP_REQ_HEAD:
            return "HEAD";
        case EVHTTP_REQ_PATCH:
            return "PATCH";
        default:
            return "GET";
        }
    }

    timeval toTimeval(double ms)
    {
        auto microseconds = static_cast<std::int64_t>(ms > 0 ? ms * 1000 : 0);
        return { .tv_sec = microseconds / 1'000'000, .tv_usec = microseconds % 1'000'000 };
    }

    // evhttp stops reading while a request is handled and then misses that the caller closes the connection. Reading
    // again, without a read callback, detects the close and leaves the data in the buffer.
    void detectClose(evhttp_connection* connection)
    {
        bufferevent* buffer = evhttp_connection_get_bufferevent(connection);
        bufferevent_data_cb onRead = nullptr;
        bufferevent_data_cb onWrite = nullptr;
        bufferevent_event_cb onEvent = nullptr;
        void* argument = nullptr;
        bufferevent_getcb(buffer, &onRead, &onWrite, &onEvent, &argument);
        bufferevent_setcb(buffer, nullptr, onWrite, onEvent, argument);
        bufferevent_enable(buffer, EV_READ);
    }

}

double monotonicMs() noexcept
{
    auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) / 1000.0;
}

Timer::Timer(event_base& base, std::function<void()> function)
    : m_event(evtimer_new(
        &base, [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->m_function(); }, this))
    , m_function(std::move(function))
{
}

Timer::~Timer() { event_free(m_event); }

void Timer::start(double delayMs)
{
    timeval delay = toTimeval(delayMs);
    evtimer_add(m_event, &delay);
}

void Timer::stop() { evtimer_del(m_event); }

Exchange::Exchange(evhttp_request* request, evhttp_connection* connection)
    : m_request(request)
    , m_connection(connection)
    , m_method(methodName(evhttp_request_get_command(request)))
{
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    if (const char* path = evhttp_uri_get_path(uri))
        m_path = path;
    if (const char* text = evhttp_uri_get_query(uri))
        m_query = text;
    evbuffer* input = evhttp_request_get_input_buffer(request);
    m_body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, m_body.data(), m_body.size());
}

Exchange::~Exchange()
{
    if (m_request)
        dropConnection();
}

std::string Exchange::queryParameter(const std::string& name, std::string_view fallback) const
{
    evkeyvalq values {};
    std::string result(fallback);
    if (evhttp_parse_query_str(m_query.c_str(), &values) == 0) {
        if (const char* value = evhttp_find_header(&values, name.c_str()))
            result = value;
    }
    evhttp_clear_headers(&values);
    return result;
}

std::string Exchange::header(const char* name) const
{
    if (!m_request)
        return {};
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(m_request), name);
    return value ? value : "";
}

void Exchange::addHeader(const char* name, const std::string& value)
{
    if (m_request)
        evhttp_add_header(evhttp_request_get_output_headers(m_request), name, value.c_str());
}

void Exchange::respond(int status, std::string_view body, const char* contentType)
{
    if (!m_request || m_isSilent)
        return;
    addHeader("Content-Type", contentType);
    evbuffer* content = evbuffer_new();
    evbuffer_add(content, body.data(), body.size());
    evhttp_request* request = std::exchange(m_request, nullptr);
    evhttp_send_reply(request, status, status < 400 ? "OK" : "Refused", content);
    evbuffer_free(content);
}

void Exchange::startStream()
{
    if (!m_request || m_isSilent)
        return;
    addHeader("Content-Type", "text/event-stream");
    evhttp_send_reply_start(m_request, 200, "OK");
}

void Exchange::sendChunk(std::string_view data)
{
    if (!m_request || m_isSilent)
        return;
    evbuffer* content = evbuffer_new();
    evbuffer_add(content, data.data(), data.size());
    evhttp_send_reply_chunk(m_request, content);
    evbuffer_free(content);
}

void Exchange::endStream()
{
    if (!m_request || m_isSilent)
        return;
    evhttp_send_reply_end(std::exchange(m_request, nullptr));
}

void Exchange::dropConnection()
{
    if (!std::exchange(m_request, nullptr))
        return;
    evhttp_connection_free(m_connection);
}

std::size_t Exchange::unsentBytes() const
{
    if (!m_request)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection)));
}

void Exchange::handleConnectionClosed()
{
    evhttp_request* request = std::exchange(m_request, nullptr);
    if (!request)
        return;
    // If the caller closed the connection, evhttp has detached the request, which must be freed here; otherwise evhttp
    // frees it with the connection.
    if (!evhttp_request_get_connection(request))
        evhttp_request_free(request);
    if (auto function = std::move(m_onClosed))
        function();
}

struct StandinServer::Http {
    evhttp* http;

    explicit Http(event_base& base)
        : http(evhttp_new(&base))
    {
    }
    ~Http() { evhttp_free(http); }
    Http(const Http&) = delete;
    Http& operator=(const Http&) = delete;
};

StandinServer::StandinServer(event_base& base, std::string address, Handler handler)
    : m_base(base)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
{
    listen();
}

StandinServer::~StandinServer()
{
    m_http.reset();
    m_connections.clear();
}

bool StandinServer::isListening() const noexcept { return m_http != nullptr; }

void StandinServer::listen()
{
    auto address = splitAddress(m_address);
    if (!address)
        return;
    auto http = std::make_unique<Http>(m_base);
    if (evhttp_bind_socket(http->http, address.value().first.c_str(), address.value().second) != 0)
        return;
    evhttp_set_timeout(http->http, connectionTimeoutSeconds);
    evhttp_set_max_body_size(http->http, maxBodyBytes);
    evhttp_set_gencb(
        http->http,
        [](evhttp_request* request, void* self) { static_cast<StandinServer*>(self)->handleRequest(request); }, this);
    m_http = std::move(http);
}

void StandinServer::handleRequest(evhttp_request* request)
{
    evhttp_connection* connection = evhttp_request_get_connection(request);
    auto [position, isNewConnection] = m_connections.try_emplace(connection);
    if (isNewConnection) {
        // Without TCP_NODELAY, Nagle's algorithm and delayed acknowledgements add 40 ms between the
        // response head and the first chunk.
        int on = 1;
        setsockopt(
            bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection* closedConnection, void* self) {
                static_cast<StandinServer*>(self)->handleClosedConnection(closedConnection);
            },
            this);
    }
    detectClose(connection);
    auto exchange = std::make_shared<Exchange>(request, connection);
    position->second.currentExchange = exchange;
    if (position->second.isSilent || monotonicMs() < m_silentUntil) {
        exchange->m_isSilent = true;
        position->second.unansweredExchange = exchange;
        return;
    }
    m_handler(exchange);
}

void StandinServer::handleClosedConnection(evhttp_connection* connection)
{
    auto position = m_connections.find(connection);
    if (position == m_connections.end())
        return;
    auto exchange = position->second.currentExchange.lock();
    m_connections.erase(position);
    if (exchange)
        exchange->handleConnectionClosed();
}

void StandinServer::crash(double downMs, std::function<void()> dropped)
{
    // evhttp must not be freed inside the callback of one of its requests, so a timer frees it.
    m_crashTimer = std::make_unique<Timer>(m_base, [this, downMs, dropped = std::move(dropped)] {
        m_http.reset();
        m_connections.clear();
        dropped();
        m_restartTimer = std::make_unique<Timer>(m_base, [this] {
            listen();
            if (!m_http)
                m_restartTimer->start(100);
        });
        m_restartTimer->start(downMs);
    });
    m_crashTimer->start(0);
}

void StandinServer::silenceOpenConnections()
{
    for (auto& [connection, state] : m_connections) {
        state.isSilent = true;
        if (auto exchange = state.currentExchange.lock(); exchange && !exchange->isClosed()) {
            exchange->m_isSilent = true;
            state.unansweredExchange = exchange;
        }
    }
}

void StandinServer::silenceAll(double durationMs) { m_silentUntil = monotonicMs() + durationMs; }

}
