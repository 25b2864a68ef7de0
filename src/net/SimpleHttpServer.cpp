#include "net/SimpleHttpServer.h"

#include "net/CallerServer.h"

#include <vector>

namespace jasminestack {

namespace {

    // Requests to this server have no body and few headers.
    constexpr std::size_t maxBodyBytes = 1U << 10U;
    constexpr std::size_t maxHeaderBytes = 8U << 10U;

    constexpr int receiveBufferBytes = 16 << 10;

    constexpr Millis readTimeout { 5'000 };

    // Idle connections of health checks are closed after this time.
    constexpr Millis idleTimeout { 30'000 };

    CallerServerOptions serverOptions(std::string_view address, const SimpleHttpServerOptions& options)
    {
        return { .address = std::string(address),
            .maxHeaderBytes = maxHeaderBytes,
            .maxBodyBytes = maxBodyBytes,
            .headerTimeout = readTimeout,
            .readTimeout = readTimeout,
            .idleTimeout = idleTimeout,
            .maxConnections = options.maxConnections,
            .closesOldestConnection = true,
            .receiveBufferBytes = receiveBufferBytes,
            .requiresHost = false,
            .priority = EventPriority::ActiveRequests,
            .maxTotalBodyBytes = options.maxTotalBytes };
    }

}

struct SimpleHttpServer::State final : CallerHandler {
    event_base& base;
    Handler handler;
    SimpleHttpServerOptions options;
    std::vector<std::unique_ptr<CallerServer>> servers; ///< One for each address.

    State(event_base& eventBase, Handler requestHandler, const SimpleHttpServerOptions& serverOptions)
        : base(eventBase)
        , handler(std::move(requestHandler))
        , options(serverOptions)
    {
    }

    void onRequest(CallerRequest request, CallerExchange& exchange) override
    {
        bool isRead = request.method == "GET" || request.method == "HEAD";
        SimpleHttpResponse response = isRead
            ? handler(request.target)
            : SimpleHttpResponse { .status = errorResponseFor(ErrorKind::MethodNotAllowed).httpStatus };
        exchange.sendResponse(
            { .status = response.status, .headers = { { "Content-Type", response.contentType } } }, response.body);
    }
};

SimpleHttpServer::SimpleHttpServer(event_base& base, Handler handler, const SimpleHttpServerOptions& options)
    : m_state(std::make_unique<State>(base, std::move(handler), options))
{
}

SimpleHttpServer::~SimpleHttpServer() = default;

Result<void> SimpleHttpServer::listen(std::string_view address)
{
    auto server = std::make_unique<CallerServer>(m_state->base, *m_state, serverOptions(address, m_state->options));
    if (auto listening = server->listen(); !listening)
        return listening.error();
    m_state->servers.push_back(std::move(server));
    return ok();
}

}
