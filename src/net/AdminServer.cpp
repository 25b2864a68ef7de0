#include "net/AdminServer.h"

#include "base/Hash.h"
#include "config/JsonDocument.h"
#include "net/HttpClient.h"

#include <arpa/inet.h>
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

    constexpr ev_ssize_t maximumHeaderBytes = ev_ssize_t { 16 } << 10U;
    // A patch may replace a whole document of 1 MiB, with white space.
    constexpr ev_ssize_t maximumBodyBytes = ev_ssize_t { 4 } << 20U;
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

    Result<PublishRequest> parsePublish(const std::string& body)
    {
        const auto fail = [](std::string message) {
            return Error { .kind = ErrorKind::BadRequest, .message = std::move(message) };
        };
        // Refuses duplicate names and deep nesting, on which dump() below would overflow the stack.
        JsonProblems problems;
        (void)parseJson(body, problems);
        if (!problems.empty())
            return fail(formatProblems(std::move(problems), "body"));
        const json parsed = json::parse(body, nullptr, false, true);
        if (!parsed.is_object())
            return fail("the body is not a JSON object");
        const auto base = parsed.find("base");
        const auto patch = parsed.find("patch");
        const auto id = parsed.find("id");
        const auto author = parsed.find("author");
        if (base == parsed.end() || !base->is_number_unsigned())
            return fail("base must be a version");
        if (patch == parsed.end() || !patch->is_object())
            return fail("patch must be an object");
        if (id == parsed.end() || !id->is_string() || id->get_ref<const std::string&>().empty()
            || id->get_ref<const std::string&>().size() > 64)
            return fail("id must be a text of 1 to 64 bytes");
        if (author != parsed.end() && (!author->is_string() || author->get_ref<const std::string&>().size() > 128))
            return fail("author must be a text of at most 128 bytes");
        return PublishRequest { .baseVersion = base->get<std::uint64_t>(),
            .id = id->get<std::string>(),
            .author = author != parsed.end() ? author->get<std::string>() : "unknown",
            .patch = patch->dump() };
    }

}

struct AdminServer::State {
    struct Exchange {
        State* owner { nullptr };
        evhttp_request* request { nullptr }; // Null once answered or gone.
        std::list<std::shared_ptr<Exchange>>::iterator self;
    };

    event_base& base;
    AdminServerOptions options;
    AdminHandlers handlers;
    std::string address;
    evhttp* server { nullptr };
    std::list<std::shared_ptr<Exchange>> pending;

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
        for (const auto& exchange : pending)
            exchange->request = nullptr;
    }

    static void send(evhttp_request* request, const AdminResponse& reply)
    {
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Content-Type", reply.contentType.c_str());
        evhttp_add_header(headers, "Cache-Control", "no-store");
        evhttp_add_header(headers, "Connection", "close");
        evbuffer* body = evbuffer_new();
        evbuffer_add(body, reply.body.data(), reply.body.size());
        evhttp_send_reply(request, reply.status, nullptr, body);
        evbuffer_free(body);
    }

    // evhttp separates an unanswered request from a connection that it drops; it then belongs to its user.
    static void onClosed(evhttp_connection*, void* argument)
    {
        auto* exchange = static_cast<Exchange*>(argument);
        if (exchange->request && !evhttp_request_get_connection(exchange->request))
            evhttp_request_free(exchange->request);
        exchange->request = nullptr;
        exchange->owner->pending.erase(exchange->self);
    }

    // Answers that come after the operator's connection or the server is gone are dropped.
    AdminResponseCallback defer(evhttp_request* request)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->owner = this;
        exchange->request = request;
        exchange->self = pending.insert(pending.end(), exchange);
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), onClosed, exchange.get());
        return [exchange](const AdminResponse& reply) {
            if (!exchange->request)
                return;
            evhttp_request* answered = std::exchange(exchange->request, nullptr);
            evhttp_connection_set_closecb(evhttp_request_get_connection(answered), nullptr, nullptr);
            exchange->owner->pending.erase(exchange->self);
            send(answered, reply);
        };
    }

    // Both sides are hashed, so that the time does not depend on the token's length either.
    [[nodiscard]] std::optional<AdminResponse> refuseChange(evhttp_request* request) const
    {
        if (options.operatorToken.empty())
            return adminError(ErrorKind::Forbidden, "changes are disabled: this daemon has no operator token");
        constexpr std::string_view scheme = "Bearer ";
        std::string_view given = inputHeader(request, "Authorization");
        if (!given.starts_with(scheme))
            return adminError(ErrorKind::Unauthorized, "changes need 'Authorization: Bearer OPERATOR_TOKEN'");
        given.remove_prefix(scheme.size());
        if (!equalConstantTime(sha256Hex(given), sha256Hex(options.operatorToken)))
            return adminError(ErrorKind::Unauthorized, "the operator token is wrong");
        return std::nullopt;
    }

    AdminResponse changeLogLevel(const std::string& body) const
    {
        const json parsed = json::parse(body, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("level") || !parsed["level"].is_string())
            return adminError(ErrorKind::BadRequest, "the body must be {\"level\": NAME}");
        const auto level = parsed["level"].get<std::string>();
        if (const auto changed = handlers.setLogLevel(level); !changed)
            return adminError(changed.error().kind, changed.error().message);
        return { .body = json { { "level", level } }.dump() };
    }

    void post(evhttp_request* request, std::string_view path)
    {
        if (auto refusal = refuseChange(request)) {
            send(request, *refusal);
            return;
        }
        const std::string body = takeBody(request);
        if (path == "/admin/log-level") {
            send(request, changeLogLevel(body));
            return;
        }
        auto change = parsePublish(body);
        if (!change)
            send(request, adminError(change.error().kind, change.error().message));
        else
            handlers.publish(std::move(change).value(), defer(request));
    }

    std::optional<AdminResponse> get(evhttp_request* request, std::string_view path) const
    {
        if (path == "/metrics")
            return AdminResponse { .body = handlers.metrics(), .contentType = "text/plain; version=0.0.4" };
        if (path == "/healthz")
            return AdminResponse { .body = "ok\n", .contentType = "text/plain" };
        if (path == "/readyz") {
            const std::string reason = handlers.notReadyReason();
            if (!reason.empty())
                return adminError(ErrorKind::NotReady, reason);
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

    static void onMessage(evhttp_request* request, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        const char* rawPath = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
        const std::string_view path = rawPath ? rawPath : "";
        const bool isChange = path == "/admin/config/publish" || path == "/admin/log-level";
        const auto method = evhttp_request_get_command(request);
        if (isChange && method == EVHTTP_REQ_POST) {
            state.post(request, path);
            return;
        }
        auto reply = method == EVHTTP_REQ_GET && !isChange ? state.get(request, path) : std::nullopt;
        const std::string target = "'" + std::string(path) + "'";
        if (!reply && (isChange || method != EVHTTP_REQ_GET))
            reply = adminError(ErrorKind::MethodNotAllowed, "the method is not allowed for " + target);
        else if (!reply)
            reply = adminError(ErrorKind::NotFound, target + " does not exist");
        send(request, *reply);
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
    // splitAddress() refuses port 0, by which tests let the system choose one.
    const auto colon = options.address.rfind(':');
    const bool anyPort = colon != std::string::npos && options.address.substr(colon) == ":0";
    std::pair<std::string, std::uint16_t> place { options.address.substr(0, colon), 0 };
    if (!anyPort) {
        auto split = splitAddress(options.address);
        if (!split)
            return split.error();
        place = split.value();
    }
    auto state = std::make_unique<State>(base, std::move(options), std::move(handlers));
    state->server = evhttp_new(&base);
    evhttp_set_max_headers_size(state->server, maximumHeaderBytes);
    evhttp_set_max_body_size(state->server, maximumBodyBytes);
    evhttp_set_timeout(state->server, connectionTimeoutSeconds);
    evhttp_set_allowed_methods(
        state->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
    evhttp_set_gencb(state->server, State::onMessage, state.get());
    evhttp_bound_socket* listener = evhttp_bind_socket_with_handle(state->server, place.first.c_str(), place.second);
    if (!listener) {
        return Error { .kind = ErrorKind::SettingsInvalid,
            .message = "cannot listen on admin address " + state->options.address };
    }
    sockaddr_in bound {};
    socklen_t length = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(listener), reinterpret_cast<sockaddr*>(&bound), &length);
    state->address = place.first + ":" + std::to_string(ntohs(bound.sin_port));
    return std::unique_ptr<AdminServer>(new AdminServer(std::move(state)));
}

AdminResponse adminError(ErrorKind kind, std::string_view message)
{
    const ErrorResponse& answer = errorResponseFor(kind);
    const json body { { "error", { { "kind", answer.name }, { "message", message } } } };
    return { .status = answer.httpStatus, .body = body.dump(-1, ' ', false, json::error_handler_t::replace) };
}

}
