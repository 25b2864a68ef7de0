#include "net/AdminServer.h"

#include "base/Hash.h"
#include "config/JsonDocument.h"
#include "net/AddressBinder.h"
#include "net/EventCallback.h"
#include "net/HttpClient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <list>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace jasminestack {

namespace {

    using nlohmann::json;

    constexpr ev_ssize_t maxHeaderBytes = ev_ssize_t { 16 } << 10U;
    // A patch may replace a whole document of 1 MiB and contain additional white space.
    constexpr ev_ssize_t maxBodyBytes = ev_ssize_t { 4 } << 20U;
    constexpr int connectionTimeoutSeconds = 60;

    std::string takeBody(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, body.data(), body.size());
        return body;
    }

    std::string_view inputHeader(evhttp_request* request, const char* name)
    {
        const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
        return value ? value : "";
    }

    std::string queryValue(evhttp_request* request, const char* name)
    {
        const char* query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
        evkeyvalq values {};
        if (!query || evhttp_parse_query_str(query, &values) != 0)
            return {};
        const char* value = evhttp_find_header(&values, name);
        std::string result = value ? value : "";
        evhttp_clear_headers(&values);
        return result;
    }

    Result<PublishRequest> parsePublishRequest(const std::string& body)
    {
        const auto badRequest = [](std::string message) {
            return Error { .kind = ErrorKind::BadRequest, .message = std::move(message) };
        };
        // parseJson() rejects duplicate names, and deep nesting, which would overflow the stack in dump() below.
        JsonProblems problems;
        (void)parseJson(body, problems);
        if (!problems.empty())
            return badRequest(formatProblems(std::move(problems), "body"));
        const json parsedBody = json::parse(body, nullptr, false, true);
        if (!parsedBody.is_object())
            return badRequest("the body is not a JSON object");
        const auto base = parsedBody.find("base");
        const auto patch = parsedBody.find("patch");
        const auto id = parsedBody.find("id");
        const auto author = parsedBody.find("author");
        if (base == parsedBody.end() || !base->is_number_unsigned())
            return badRequest("base must be a version number");
        if (patch == parsedBody.end() || !patch->is_object())
            return badRequest("patch must be an object");
        if (id == parsedBody.end() || !id->is_string() || id->get_ref<const std::string&>().empty()
            || id->get_ref<const std::string&>().size() > 64)
            return badRequest("id must be a string of 1 to 64 bytes");
        if (author != parsedBody.end() && (!author->is_string() || author->get_ref<const std::string&>().size() > 128))
            return badRequest("author must be a string of at most 128 bytes");
        return PublishRequest { .baseVersion = base->get<std::uint64_t>(),
            .changeId = id->get<std::string>(),
            .author = author != parsedBody.end() ? author->get<std::string>() : "unknown",
            .patch = patch->dump() };
    }

}

struct AdminServer::State {
    struct PendingResponse {
        State* owner { nullptr };
        evhttp_request* request { nullptr }; // Null once the response is sent or the connection is closed.
        std::list<std::shared_ptr<PendingResponse>>::iterator self;
    };

    event_base& base;
    AdminServerOptions options;
    AdminHandlers handlers;
    std::string address;
    evhttp* server { nullptr };
    std::list<std::shared_ptr<PendingResponse>> pendingResponses;

    State(event_base& eventBase, AdminServerOptions serverOptions, AdminHandlers serverHandlers)
        : base(eventBase)
        , options(std::move(serverOptions))
        , handlers(std::move(serverHandlers))
    {
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    ~State()
    {
        if (server)
            evhttp_free(server);
        for (const auto& pendingResponse : pendingResponses)
            pendingResponse->request = nullptr;
    }

    static void sendResponse(evhttp_request* request, const AdminResponse& response)
    {
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Content-Type", response.contentType.c_str());
        evhttp_add_header(headers, "Cache-Control", "no-store");
        evhttp_add_header(headers, "Connection", "close");
        evbuffer* body = evbuffer_new();
        evbuffer_add(body, response.body.data(), response.body.size());
        evhttp_send_reply(request, response.status, nullptr, body);
        evbuffer_free(body);
    }

    // evhttp detaches a request without a response from a connection that it closes; the application then owns the
    // request and frees it.
    static void onConnectionClosed(evhttp_connection*, void* argument)
    {
        auto* pendingResponse = static_cast<PendingResponse*>(argument);
        if (pendingResponse->request && !evhttp_request_get_connection(pendingResponse->request))
            evhttp_request_free(pendingResponse->request);
        pendingResponse->request = nullptr;
        pendingResponse->owner->pendingResponses.erase(pendingResponse->self);
    }

    // The returned callback drops the response if the operator's connection or the server was closed in the meantime.
    AdminResponseCallback deferResponse(evhttp_request* request)
    {
        auto pendingResponse = std::make_shared<PendingResponse>();
        pendingResponse->owner = this;
        pendingResponse->request = request;
        pendingResponse->self = pendingResponses.insert(pendingResponses.end(), pendingResponse);
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request), onConnectionClosed, pendingResponse.get());
        return [pendingResponse](const AdminResponse& response) {
            if (!pendingResponse->request)
                return;
            evhttp_request* openRequest = std::exchange(pendingResponse->request, nullptr);
            evhttp_connection_set_closecb(evhttp_request_get_connection(openRequest), nullptr, nullptr);
            pendingResponse->owner->pendingResponses.erase(pendingResponse->self);
            sendResponse(openRequest, response);
        };
    }

    // Hashes of both tokens are compared, so that the comparison time does not depend on the token's length either.
    [[nodiscard]] std::optional<AdminResponse> rejectUnauthorizedChange(evhttp_request* request) const
    {
        if (options.operatorToken.empty())
            return adminErrorResponse(ErrorKind::Forbidden, "changes are disabled: this daemon has no operator token");
        constexpr std::string_view scheme = "Bearer ";
        std::string_view token = inputHeader(request, "Authorization");
        if (!token.starts_with(scheme))
            return adminErrorResponse(
                ErrorKind::Unauthorized, "changes require 'Authorization: Bearer OPERATOR_TOKEN'");
        token.remove_prefix(scheme.size());
        if (!equalConstantTime(sha256Hex(token), sha256Hex(options.operatorToken)))
            return adminErrorResponse(ErrorKind::Unauthorized, "the operator token is wrong");
        return std::nullopt;
    }

    AdminResponse changeLogLevel(const std::string& body) const
    {
        const json parsedBody = json::parse(body, nullptr, false);
        if (!parsedBody.is_object() || !parsedBody.contains("level") || !parsedBody["level"].is_string())
            return adminErrorResponse(ErrorKind::BadRequest, "the body must be {\"level\": NAME}");
        const auto level = parsedBody["level"].get<std::string>();
        if (const auto levelChange = handlers.setLogLevel(level); !levelChange)
            return adminErrorResponse(levelChange.error().kind, levelChange.error().message);
        return { .body = json { { "level", level } }.dump() };
    }

    void handlePost(evhttp_request* request, std::string_view path)
    {
        if (auto rejection = rejectUnauthorizedChange(request)) {
            sendResponse(request, *rejection);
            return;
        }
        const std::string body = takeBody(request);
        if (path == "/admin/log-level") {
            sendResponse(request, changeLogLevel(body));
            return;
        }
        auto change = parsePublishRequest(body);
        if (!change)
            sendResponse(request, adminErrorResponse(change.error().kind, change.error().message));
        else
            handlers.publish(std::move(change).value(), deferResponse(request));
    }

    std::optional<AdminResponse> handleGet(evhttp_request* request, std::string_view path) const
    {
        if (path == "/metrics")
            return AdminResponse { .body = handlers.metrics(), .contentType = "text/plain; version=0.0.4" };
        if (path == "/healthz")
            return AdminResponse { .body = "ok\n", .contentType = "text/plain" };
        if (path == "/readyz") {
            const std::string reason = handlers.notReadyReason();
            if (!reason.empty())
                return adminErrorResponse(ErrorKind::NotReady, reason);
            return AdminResponse { .body = "ready\n", .contentType = "text/plain" };
        }
        if (path == "/admin/status")
            return AdminResponse { .body = handlers.status() };
        if (path == "/admin/config")
            return AdminResponse { .body = handlers.configuration() };
        if (path == "/admin/config/history")
            return AdminResponse { .body = handlers.history(queryValue(request, "id")) };
        if (path == "/admin/endpoints")
            return AdminResponse { .body = handlers.endpoints() };
        return std::nullopt;
    }

    [[nodiscard]] bool isPending(const evhttp_request* request) const
    {
        return std::any_of(pendingResponses.begin(), pendingResponses.end(),
            [&](const auto& pendingResponse) { return pendingResponse->request == request; });
    }

    static void onRequest(evhttp_request* request, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        // A change whose response is pending may still be made; its operator's connection ends with its timeout.
        runGuarded(
            "admin_request", [&] { state.handleRequest(request); },
            [&] {
                if (!state.isPending(request))
                    evhttp_send_error(request, errorResponseFor(ErrorKind::Internal).httpStatus, nullptr);
            });
    }

    void handleRequest(evhttp_request* request)
    {
        const char* rawPath = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
        const std::string_view path = rawPath ? rawPath : "";
        const bool isChangeRoute = path == "/admin/config/publish" || path == "/admin/log-level";
        const auto method = evhttp_request_get_command(request);
        if (isChangeRoute && method == EVHTTP_REQ_POST) {
            handlePost(request, path);
            return;
        }
        auto response = method == EVHTTP_REQ_GET && !isChangeRoute ? handleGet(request, path) : std::nullopt;
        const std::string quotedPath = "'" + std::string(path) + "'";
        if (!response && (isChangeRoute || method != EVHTTP_REQ_GET))
            response = adminErrorResponse(ErrorKind::MethodNotAllowed, "the method is not allowed for " + quotedPath);
        else if (!response)
            response = adminErrorResponse(ErrorKind::NotFound, quotedPath + " does not exist");
        sendResponse(request, *response);
    }
};

AdminServer::AdminServer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

AdminServer::~AdminServer() = default;

const std::string& AdminServer::address() const noexcept { return m_state->address; }

Result<std::unique_ptr<AdminServer>> AdminServer::listen(
    event_base& base, AdminServerOptions options, AdminHandlers handlers)
{
    // With port 0, the system chooses a free port (used by tests); splitAddress() would reject it.
    const auto colon = options.address.rfind(':');
    const bool usesFreePort = colon != std::string::npos && options.address.substr(colon) == ":0";
    std::pair<std::string, std::uint16_t> hostAndPort { options.address.substr(0, colon), 0 };
    if (!usesFreePort) {
        auto split = splitAddress(options.address);
        if (!split)
            return split.error();
        hostAndPort = split.value();
    }
    auto state = std::make_unique<State>(base, std::move(options), std::move(handlers));
    state->server = evhttp_new(&base);
    evhttp_set_max_headers_size(state->server, maxHeaderBytes);
    evhttp_set_max_body_size(state->server, maxBodyBytes);
    evhttp_set_timeout(state->server, connectionTimeoutSeconds);
    evhttp_set_allowed_methods(
        state->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
    evhttp_set_gencb(state->server, State::onRequest, state.get());
    evhttp_bound_socket* listener
        = evhttp_bind_socket_with_handle(state->server, hostAndPort.first.c_str(), hostAndPort.second);
    if (!listener)
        return bindError("tcp", state->options.address, errno);
    sockaddr_in boundAddress {};
    socklen_t length = sizeof boundAddress;
    getsockname(evhttp_bound_socket_get_fd(listener), reinterpret_cast<sockaddr*>(&boundAddress), &length);
    state->address = hostAndPort.first + ":" + std::to_string(ntohs(boundAddress.sin_port));
    return std::unique_ptr<AdminServer>(new AdminServer(std::move(state)));
}

AdminResponse adminErrorResponse(ErrorKind kind, std::string_view message)
{
    const ErrorResponse& errorResponse = errorResponseFor(kind);
    const json body { { "error", { { "kind", errorResponse.name }, { "message", message } } } };
    return { .status = errorResponse.httpStatus, .body = body.dump(-1, ' ', false, json::error_handler_t::replace) };
}

}
