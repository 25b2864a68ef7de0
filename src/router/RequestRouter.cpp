#include "router/RequestRouter.h"

#include "net/EventCallback.h"
#include "net/Socket.h"
#include "observe/LogLimit.h"
#include "observe/Logging.h"
#include "router/RoutedRequest.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <event2/event.h>
#include <unordered_map>
#include <utility>

namespace jasminestack {

namespace {

    // Retry-After value, in seconds, of refusals with status 503 for other reasons than lack of processor time.
    constexpr std::string_view unavailableRetryAfter = "0.500";

    // New streams are refused if requests wait this long before they are read: the daemon then lacks processor time
    // for more streams. A plain request (not a stream) costs a tenth of a stream's processor time, so its limit is
    // higher.
    constexpr Millis maxStreamLag { 80 };
    constexpr Millis maxNonStreamLag { 400 };

    // Mean Retry-After of refusals for lack of processor time. It is randomised by half of its value in both directions
    // so that the callers' retries do not arrive at once.
    constexpr Millis meanLagRetryDelay { 1'500 };

    // Of refusals for lack of processor time, since a line costs about as much as the refusal itself.
    constexpr LogLimitOptions overloadLogLimit;

    // A trait at fewer losses of endpoints is not logged as suspected.
    constexpr unsigned minLoggedLosses { 2 };

    bool hasProcessorTime(const Route& route, Millis lag)
    {
        return lag < (route.kind == RequestKind::Stream ? maxStreamLag : maxNonStreamLag);
    }

    std::string errorBody(ErrorKind kind, std::string_view message)
    {
        std::string json = R"({"error":{"kind":")" + std::string(errorResponseFor(kind).name) + R"(","message":")";
        for (char character : message) {
            if (character == '"' || character == '\\')
                json += '\\';
            json += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
        }
        return json + R"(","run_status":"not_run"}})" + "\n";
    }

}

struct RequestRouter::State final : RoutedRequestOwner {
    RequestRouterContext routerContext;
    RequestRouterOptions routerOptions;
    FleetRetryBudget fleetRetryBudget;
    std::shared_ptr<std::size_t> totalBufferedBytes { std::make_shared<std::size_t>(0) };
    std::unordered_map<RoutedRequest*, std::unique_ptr<RoutedRequest>> requests;
    /// Destroyed by the reaper's event. It has room for all requests, so that ending one does not throw.
    std::vector<std::unique_ptr<RoutedRequest>> endedRequests;
    EventPointer reaper;
    EventPointer noticeEvent; ///< Moves unsent requests after an endpoint's notice, outside of a request's callbacks.
    bool hasEndpointNotice { false };
    TraitSuspicion loggedSuspicion;
    LogLimit overloadLog;

    State(RequestRouterContext context, const RequestRouterOptions& options)
        : routerContext(std::move(context))
        , routerOptions(options)
        , reaper(event_new(
              &routerContext.base, -1, 0,
              [](int, short, void* self) { static_cast<State*>(self)->endedRequests.clear(); }, this))
        , noticeEvent(event_new(
              &routerContext.base, -1, 0,
              [](int, short, void* self) {
                  auto& state = *static_cast<State*>(self);
                  state.hasEndpointNotice = false;
                  runGuarded("endpoint_notice", [&] { state.forEachRequest(&RoutedRequest::onEndpointsChanged); });
              },
              this))
    {
    }

    [[nodiscard]] RequestRouterContext& context() noexcept override { return routerContext; }
    [[nodiscard]] const RequestRouterOptions& options() const noexcept override { return routerOptions; }
    [[nodiscard]] FleetRetryBudget& retryBudget() noexcept override { return fleetRetryBudget; }
    [[nodiscard]] const std::shared_ptr<std::size_t>& bufferedBytes() const noexcept override
    {
        return totalBufferedBytes;
    }

    [[nodiscard]] Millis lagRetryDelay() const
    {
        double factor = 0.5 + routerContext.random.uniformReal();
        return { static_cast<std::int64_t>(static_cast<double>(meanLagRetryDelay.count) * factor) };
    }

    void removeRequest(RoutedRequest& request) override
    {
        auto entry = requests.find(&request);
        if (entry == requests.end())
            return;
        if (endedRequests.empty())
            event_active(reaper.get(), EV_TIMEOUT, 0);
        endedRequests.push_back(std::move(entry->second));
        requests.erase(entry);
    }

    void onEndpointNotice() override
    {
        if (!std::exchange(hasEndpointNotice, true))
            event_active(noticeEvent.get(), EV_TIMEOUT, 0);
    }

    void attributeLosses() override
    {
        CrashAttributionState& crashes = routerContext.board.crashes;
        for (const TraitQuarantine& quarantine :
            jasminestack::updateQuarantines(crashes, crashAttributionOptions, routerContext.clock.now())) {
            logEvent(LogLevel::Warning, "crash_cause_found",
                { { "trait", absl::StrCat(absl::Hex(quarantine.trait, absl::kZeroPad16)) },
                    { "all_workspaces", quarantine.workspace == 0 ? 1 : 0 }, { "losses", crashes.losses.size() } });
        }
        logSuspicion(crashes.strongestSuspicion);
    }

    void logSuspicion(const TraitSuspicion& suspicion)
    {
        bool isLogged = suspicion.trait == loggedSuspicion.trait && suspicion.losses == loggedSuspicion.losses
            && suspicion.independentBegunLosses == loggedSuspicion.independentBegunLosses;
        if (isLogged || suspicion.losses < minLoggedLosses)
            return;
        loggedSuspicion = suspicion;
        Millis now = routerContext.clock.now();
        logEvent(LogLevel::Info, "crash_suspected",
            { { "trait", absl::StrCat(absl::Hex(suspicion.trait, absl::kZeroPad16)) }, { "losses", suspicion.losses },
                { "independent", suspicion.independentLosses }, { "begun", suspicion.independentBegunLosses },
                { "first_ms_ago", (now - suspicion.firstLossAt).count },
                { "last_ms_ago", (now - suspicion.lastLossAt).count } });
    }

    // Iterates over a copy, since a request that ends leaves the map.
    void forEachRequest(void (RoutedRequest::*function)())
    {
        std::vector<RoutedRequest*> current;
        for (const auto& [request, owned] : requests)
            current.push_back(request);
        for (RoutedRequest* request : current) // A request that ends here stays alive until the reaper's event.
            (request->*function)();
    }

    /// \returns Whether this refusal for lack of processor time gets a log line of its own.
    bool logsOverloadRefusal()
    {
        LogLimitDecision decision = recordEvent(overloadLog, overloadLogLimit, routerContext.clock.now());
        if (decision.unloggedEvents != 0)
            logEvent(LogLevel::Warning, "requests_refused",
                { { "kind", errorResponseFor(ErrorKind::RouterOverloaded).name },
                    { "unlogged", decision.unloggedEvents }, { "since_ms", decision.unloggedSince.count } });
        return decision.mayLog;
    }

    void refuse(const CallerRequest& request, CallerExchange& exchange, ErrorKind kind, std::string_view message)
    {
        CallerResponseHead head { .status = errorResponseFor(kind).httpStatus,
            .headers = { { "Content-Type", "application/json" } } };
        if (kind == ErrorKind::RouterOverloaded)
            head.headers.emplace_back("Retry-After", formatSeconds(lagRetryDelay()));
        else if (head.status == 503)
            head.headers.emplace_back("Retry-After", unavailableRetryAfter);
        routerContext.metrics.add(Counter::Requests, { "", errorResponseFor(kind).name });
        exchange.sendResponse(head, errorBody(kind, message));
        if (kind == ErrorKind::RouterOverloaded && !logsOverloadRefusal())
            return;
        logEvent(LogLevel::Warning, "request_refused",
            { { "method", request.method }, { "target", request.target.substr(0, 64) },
                { "host", request.header("Host") }, { "kind", errorResponseFor(kind).name }, { "status", head.status },
                { "message", message }, { "lag_ms", routerContext.board.requestReadLag.count },
                { "configuration", routerContext.board.table->version },
                { "current", routerContext.board.isConfigurationCurrent ? 1 : 0 } });
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
    RouterBlackboard& board = state.routerContext.board;
    std::shared_ptr<const RoutingTable> table = board.table;
    if (table->version == 0) {
        state.refuse(request, exchange, ErrorKind::NotReady, "this daemon has no configuration yet");
        return;
    }
    if (board.refusesRequests) {
        state.refuse(request, exchange, ErrorKind::ShuttingDown, "this daemon is shutting down");
        return;
    }
    auto metadata = state.routerContext.protocol.decode(request);
    if (!metadata) {
        state.refuse(request, exchange, metadata.error().kind, metadata.error().message);
        return;
    }
    // A route or key may exist in a newer configuration that this daemon has missed, so NotFound and Unauthorized are
    // returned only if the configuration is current.
    const Route* route = table->routeFor(metadata.value().host, request.path());
    if (!route || route->pools.empty()) {
        state.refuse(request, exchange, board.isConfigurationCurrent ? ErrorKind::NotFound : ErrorKind::NotReady,
            "no route has this host and path");
        return;
    }
    if (!hasProcessorTime(*route, board.requestReadLag)) {
        state.refuse(request, exchange, ErrorKind::RouterOverloaded, "this daemon has no processor time left");
        return;
    }
    WorkspaceId workspace;
    if (table->requiresApiKey) {
        auto keyEntry = table->workspacesByApiKey.find(metadata.value().apiKey);
        if (keyEntry != table->workspacesByApiKey.end())
            workspace = keyEntry->second;
        else if (!route->isAnonymous) {
            state.refuse(request, exchange,
                board.isConfigurationCurrent ? ErrorKind::Unauthorized : ErrorKind::NotReady, "the API key is unknown");
            return;
        }
    }
    if (route->kind == RequestKind::Stream && !metadata.value().lastEventId) {
        state.refuse(request, exchange, ErrorKind::BadRequest, "header Last-Event-Id is not the id of an event");
        return;
    }
    auto routedRequest = std::make_unique<RoutedRequest>(state,
        RoutedRequest::Parameters { .request = std::move(request),
            .metadata = std::move(metadata).value(),
            .table = std::move(table),
            .route = route,
            .workspace = std::move(workspace) },
        exchange);
    RoutedRequest& startedRequest = *routedRequest;
    ensureCapacity(state.endedRequests, state.endedRequests.size() + state.requests.size() + 1);
    state.requests.emplace(&startedRequest, std::move(routedRequest));
    exchange.setListener(startedRequest); // The request is owned now; an exception above would have destroyed it.
    startedRequest.beginPlacement();
}

std::string RequestRouter::onInvalidRequest(ErrorKind kind, std::string_view message)
{
    logEvent(
        LogLevel::Warning, "request_unreadable", { { "kind", errorResponseFor(kind).name }, { "message", message } });
    m_state->routerContext.metrics.add(Counter::Requests, { "", errorResponseFor(kind).name });
    return errorBody(kind, message);
}

void RequestRouter::setOptions(const RequestRouterOptions& options)
{
    std::size_t daemonCount = m_state->routerOptions.retries.daemonCount;
    bool usesCoordinators = m_state->routerOptions.usesCoordinators;
    m_state->routerOptions = options;
    setFleetProperties(daemonCount, usesCoordinators);
}

void RequestRouter::setFleetProperties(std::size_t daemonCount, bool usesCoordinators)
{
    m_state->routerOptions.retries.daemonCount = daemonCount;
    m_state->routerOptions.usesCoordinators = usesCoordinators;
}

void RequestRouter::onEndpointsChanged() { m_state->forEachRequest(&RoutedRequest::onEndpointsChanged); }

void RequestRouter::updateQuarantines()
{
    m_state->attributeLosses();
    CrashAttributionState& crashes = m_state->routerContext.board.crashes;
    if (!std::exchange(crashes.hasNewQuarantines, false))
        return;
    logEvent(LogLevel::Info, "quarantines_changed",
        { { "count", crashes.quarantines.size() }, { "in_progress", m_state->requests.size() } });
    m_state->forEachRequest(&RoutedRequest::onQuarantinesChanged);
}

void RequestRouter::endAllRequests() { m_state->forEachRequest(&RoutedRequest::onShutdown); }

std::size_t RequestRouter::activeCount() const noexcept { return m_state->requests.size(); }

}
