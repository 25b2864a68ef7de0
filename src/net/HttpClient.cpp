#include "net/HttpClient.h"

#include "net/EventCallback.h"
#include "net/Socket.h"

#include <charconv>
#include <cstdint>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <list>
#include <new>

namespace jasminestack {

namespace {

    // Bounds the memory of a response whose headers do not end.
    constexpr ev_ssize_t maxHeaderBytes = 64 << 10;

    evhttp_cmd_type evhttpMethod(std::string_view method)
    {
        if (method == "POST")
            return EVHTTP_REQ_POST;
        if (method == "PUT")
            return EVHTTP_REQ_PUT;
        if (method == "DELETE")
            return EVHTTP_REQ_DELETE;
        return EVHTTP_REQ_GET;
    }

    std::string takeBody(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, body.data(), body.size());
        return body;
    }

    std::string findResponseHeader(evhttp_request* request, const std::string& name)
    {
        if (name.empty())
            return {};
        const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name.c_str());
        return value ? value : "";
    }

}

struct HttpClient::State {
    struct Exchange {
        State* owner { nullptr };
        std::list<Exchange>::iterator self;
        HttpCallback callback;
        std::string responseHeader; ///< HttpRequest::responseHeader.
        evhttp_connection* connection { nullptr };
        event* timer { nullptr };
        Result<HttpResponse> result { Error { .kind = ErrorKind::EndpointTimeout, .message = "no response in time" } };
    };

    event_base& base;
    std::list<Exchange> exchanges;

    explicit State(event_base& eventBase)
        : base(eventBase)
    {
    }

    ~State()
    {
        while (!exchanges.empty())
            removeExchange(exchanges.front());
    }

    void removeExchange(Exchange& exchange)
    {
        if (exchange.connection)
            evhttp_connection_free(exchange.connection);
        if (exchange.timer)
            event_free(exchange.timer);
        exchanges.erase(exchange.self);
    }

    // Runs as a separate event, so that a connection is not freed while evhttp runs a callback of that connection.
    static void onFinish(evutil_socket_t, short, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        State& owner = *exchange.owner;
        auto callback = std::move(exchange.callback);
        auto result = std::move(exchange.result);
        owner.removeExchange(exchange);
        runGuarded("http_response", [&] { callback(std::move(result)); });
    }

    static void onResponse(evhttp_request* request, void* argument)
    {
        auto& exchange = *static_cast<Exchange*>(argument);
        // A response that there is no memory for leaves the result of a timeout.
        runGuarded("http_result", [&] { takeResult(exchange, request); });
        event_active(exchange.timer, EV_TIMEOUT, 0);
    }

    static void takeResult(Exchange& exchange, evhttp_request* request)
    {
        if (request && evhttp_request_get_response_code(request) != 0) {
            exchange.result = HttpResponse { .status = evhttp_request_get_response_code(request),
                .body = takeBody(request),
                .header = findResponseHeader(request, exchange.responseHeader) };
        } else if (request) {
            // evhttp passes the request without a status when the connection was never established.
            exchange.result = Error { .kind = ErrorKind::EndpointUnavailable, .message = "cannot connect" };
        } else {
            exchange.result
                = Error { .kind = ErrorKind::EndpointLost, .message = "connection lost before the response" };
        }
    }
};

HttpClient::HttpClient(event_base& base)
    : m_state(std::make_unique<State>(base))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpRequest request, HttpCallback callback)
{
    State& state = *m_state;
    auto position = state.exchanges.emplace(state.exchanges.end());
    State::Exchange& exchange = *position;
    exchange.owner = &state;
    exchange.self = position;
    exchange.callback = std::move(callback);
    exchange.responseHeader = std::move(request.responseHeader);
    exchange.timer = evtimer_new(&state.base, State::onFinish, &exchange);
    if (!exchange.timer) {
        state.exchanges.erase(position);
        throw std::bad_alloc();
    }

    auto address = splitAddress(request.address);
    if (!address) {
        exchange.result = address.error();
        event_active(exchange.timer, EV_TIMEOUT, 0);
        return;
    }
    const auto& [host, port] = address.value();
    timeval timeout { .tv_sec = request.timeout.count / 1000, .tv_usec = (request.timeout.count % 1000) * 1000 };
    evtimer_add(exchange.timer, &timeout);

    const auto failUnsent = [&exchange](std::string message) {
        exchange.result = Error { .kind = ErrorKind::EndpointUnavailable, .message = std::move(message) };
        event_active(exchange.timer, EV_TIMEOUT, 0);
    };
    exchange.connection = evhttp_connection_base_new(&state.base, nullptr, host.c_str(), port);
    if (!exchange.connection) {
        failUnsent("no memory for a connection");
        return;
    }
    evhttp_connection_set_max_headers_size(exchange.connection, maxHeaderBytes);
    evhttp_connection_set_max_body_size(exchange.connection, static_cast<ev_ssize_t>(request.maxResponseBytes));
    evhttp_request* outgoing = evhttp_request_new(State::onResponse, &exchange);
    if (!outgoing) {
        failUnsent("no memory for a request");
        return;
    }
    evkeyvalq* headers = evhttp_request_get_output_headers(outgoing);
    evhttp_add_header(headers, "Host", request.address.c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(), request.body.size()) != 0) {
        evhttp_request_free(outgoing);
        failUnsent("no memory for the body of a request");
        return;
    }
    if (evhttp_make_request(exchange.connection, outgoing, evhttpMethod(request.method), request.target.c_str()) != 0) {
        failUnsent("cannot connect to " + request.address);
        return;
    }
    // A long poll whose connection no longer carries data would otherwise end only with its timeout.
    if (int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(exchange.connection)); descriptor >= 0) {
        configureConnection(descriptor);
        setAddressReusable(descriptor);
    }
}

Result<std::pair<std::string, std::uint16_t>> splitAddress(std::string_view address)
{
    auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string_view::npos) {
        const char* end = address.data() + address.size();
        auto parsed = std::from_chars(address.data() + colon + 1, end, port);
        if (parsed.ec == std::errc {} && parsed.ptr == end && colon > 0 && port != 0)
            return std::pair { std::string(address.substr(0, colon)), port };
    }
    return Error { .kind = ErrorKind::BadRequest,
        .message = "'" + std::string(address) + "' is not of the form IP:PORT" };
}

}
