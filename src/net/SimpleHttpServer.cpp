#include "net/SimpleHttpServer.h"

#include "net/HttpClient.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

namespace jasminestack {

namespace {

    // Idle connections of health checks are closed after this time.
    constexpr int idleTimeoutSeconds = 30;

    // Requests to this server have no body.
    constexpr ev_ssize_t maxBodyBytes = 1 << 10;

    struct ServerDeleter {
        void operator()(evhttp* server) const noexcept { evhttp_free(server); }
    };

}

struct SimpleHttpServer::State {
    Handler handler;
    std::unique_ptr<evhttp, ServerDeleter> server;

    static void onRequest(evhttp_request* request, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        SimpleHttpResponse response = state.handler(evhttp_request_get_uri(request));
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", response.contentType.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(request), response.body.data(), response.body.size());
        evhttp_send_reply(request, response.status, nullptr, nullptr);
    }
};

SimpleHttpServer::SimpleHttpServer(event_base& base, Handler handler)
    : m_state(std::make_unique<State>())
{
    m_state->handler = std::move(handler);
    m_state->server.reset(evhttp_new(&base));
    evhttp_set_timeout(m_state->server.get(), idleTimeoutSeconds);
    evhttp_set_max_body_size(m_state->server.get(), maxBodyBytes);
    evhttp_set_allowed_methods(m_state->server.get(), EVHTTP_REQ_GET);
    evhttp_set_gencb(m_state->server.get(), State::onRequest, m_state.get());
}

SimpleHttpServer::~SimpleHttpServer() = default;

Result<void> SimpleHttpServer::listen(std::string_view address)
{
    auto split = splitAddress(address);
    if (!split)
        return Error { .kind = ErrorKind::SettingsInvalid, .message = split.error().message };
    const auto& [host, port] = split.value();
    if (evhttp_bind_socket(m_state->server.get(), host.c_str(), port) != 0)
        return Error { .kind = ErrorKind::SettingsInvalid, .message = "cannot listen on " + std::string(address) };
    return ok();
}

}
