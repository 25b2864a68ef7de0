#include "router/RequestRouter.h"

#include "net/Socket.h"
#include "observe/Logging.h"
#include "router/RoutedRequest.h"

#include <algorithm>
#include <event2/event.h>
#include <unordered_map>

namespace jasminestack {

namespace {

    constexpr std::string_view retryAfterStart = "0.500";

    // Requests that wait longer to be read than this find the daemon without processor time for more streams. A plain
    // request costs it a tenth of a stream and is taken for longer.
    constexpr Millis streamLagLimit { 80 };
    constexpr Millis plainLagLimit { 400 };

    // Callers who are refused for lack of processor time return spread over this span.
    constexpr Millis lagRetrySpan { 1'500 };

    bool hasProcessorTime(const Route& route, Millis lag)
    {
        return lag < (route.kind == RequestKind::Stream ? streamLagLimit : plainLagLimit);
    }

    std::string errorText(ErrorKind kind, std::string_view message)
    {
        std::string text = R"({"error":{"kind":")" + std::string(errorResponseFor(kind).name) + R"(","message":")";
        for (char c : message) {
            if (c == '"' || c == '\\')
                text += '\\';
            text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
        return text + R"(","run_status":"not_run"}})" + "\n";
    }

}

struct RequestRouter::State final : RoutedRequestOwner {
    RequestRouterContext flowContext;
    RequestRouterOptions flowOptions;
    FleetRetryBudget retryAllowance;
    std::unordered_map<RoutedRequest*, std::unique_ptr<RoutedRequest>> requests;
    std::vector<std::unique_ptr<RoutedRequest>> retired;
    EventPointer reaper;

    State(RequestRouterContext context, const RequestRouterOptions& options)
        : flowContext(std::move(context))
        , flowOptions(options)
        , reaper(event_new(
              &flowContext.base, -1, 0, [](int, short, void* self) { static_cast<State*>(self)->retired.clear(); },
              this))
    {
    }

    [[nodiscard]] RequestRouterContext& context() noexcept override { return flowContext; }
    [[nodiscard]] const RequestRouterOptions& options() const noexcept override { return flowOptions; }
    [[nodiscard]] FleetRetryBudget& allowance() noexcept override { return retryAllowance; }

    [[nodiscard]] Millis lagRetry() const
    {
        double spread = 0.5 + flowContext.random.uniformReal();
        return { static_cast<std::int64_t>(static_cast<double>(lagRetrySpan.count) * spread) };
    }

    void finished(RoutedRequest& request) override
    {
        auto found = requests.find(&request);
        if (found == requests.end())
            return;
        if (retired.empty())
            event_active(reaper.get(), EV_TIMEOUT, 0);
        retired.push_back(std::move(found->second));
        requests.erase(found);
    }

    void refuse(const CallerRequest& request, CallerExchange& exchange, ErrorKind kind, std::string_view message)
    {
        CallerResponseHead head { .status = errorResponseFor(kind).httpStatus,
            .headers = { { "Content-Type", "application/json" } } };
        if (kind == ErrorKind::RouterOverloaded)
            head.headers.emplace_back("Retry-After", formatSeconds(lagRetry()));
        else if (head.status == 503)
            head.headers.emplace_back("Retry-After", retryAfterStart);
        flowContext.metrics.add(Counter::Requests, { "", errorResponseFor(kind).name });
        logEvent(LogLevel::Warning, "request_refused",
            { { "method", request.method }, { "target", request.target.substr(0, 64) },
                { "host", request.header("Host") }, { "kind", errorResponseFor(kind).name }, { "status", head.status },
                { "message", message }, { "lag_ms", flowContext.board.lag.count },
                { "configuration", flowContext.board.table->version },
                { "current", flowContext.board.configurationCurrent ? 1 : 0 } });
        exchange.sendResponse(head, errorText(kind, message));
    }
};

RequestRouter::RequestRouter(RequestRouterContext context, const RequestRouterOptions& options)
    : m_state(std::make_unique<State>(std::move(context), options))
{
}

RequestRouter::~RequestRouter() = default;

void RequestRouter::onRequest(CallerRequest request, CallerExchange& exchange)
{
    State& state = *m_state;
    RouterBlackboard& board = state.flowContext.board;
    std::shared_ptr<const RoutingTable> table = board.table;
    if (table->version == 0) {
        state.refuse(request, exchange, ErrorKind::NotReady, "this daemon has no configuration yet");
        return;
    }
    if (board.refusing) {
        state.refuse(request, exchange, ErrorKind::ShuttingDown, "this daemon is shutting down");
        return;
    }
    auto facts = state.flowContext.protocol.decode(request);
    if (!facts) {
        state.refuse(request, exchange, facts.error().kind, facts.error().message);
        return;
    }
    // A daemon that may have missed a newer version cannot say that a route or key does not exist.
    const Route* route = table->routeFor(facts.value().host, request.path());
    if (!route || route->pools.empty()) {
        state.refuse(request, exchange, board.configurationCurrent ? ErrorKind::NotFound : ErrorKind::NotReady,
            "no route has this host and path");
        return;
    }
    if (!hasProcessorTime(*route, board.lag)) {
        state.refuse(request, exchange, ErrorKind::RouterOverloaded, "this daemon has no processor time left");
        return;
    }
    WorkspaceId workspace;
    if (table->requiresApiKey) {
        auto holder = table->workspacesByApiKey.find(facts.value().apiKey);
        if (holder != table->workspacesByApiKey.end())
            workspace = holder->second;
        else if (!route->isAnonymous) {
            state.refuse(request, exchange, board.configurationCurrent ? ErrorKind::Unauthorized : ErrorKind::NotReady,
                "the API key is unknown");
            return;
        }
    }
    auto owned = std::make_unique<RoutedRequest>(state,
        RoutedRequest::Start { .request = std::move(request),
            .facts = std::move(facts).value(),
            .table = std::move(table),
            .route = route,
            .workspace = std::move(workspace) },
        exchange);
    RoutedRequest& started = *owned;
    state.requests.emplace(&started, std::move(owned));
    started.begin();
}

std::string RequestRouter::onInvalidRequest(ErrorKind kind, std::string_view message)
{
    logEvent(
        LogLevel::Warning, "request_unreadable", { { "kind", errorResponseFor(kind).name }, { "message", message } });
    m_state->flowContext.metrics.add(Counter::Requests, { "", errorResponseFor(kind).name });
    return errorText(kind, message);
}

void RequestRouter::setOptions(const RequestRouterOptions& options)
{
    std::size_t daemons = m_state->flowOptions.retries.daemonCount;
    bool coordinated = m_state->flowOptions.coordinated;
    m_state->flowOptions = options;
    setFleet(daemons, coordinated);
}

void RequestRouter::setFleet(std::size_t daemons, bool coordinated)
{
    m_state->flowOptions.retries.daemonCount = daemons;
    m_state->flowOptions.coordinated = coordinated;
}

std::size_t RequestRouter::active() const noexcept { return m_state->requests.size(); }

}
