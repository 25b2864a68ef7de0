#include "daemon/RequestProxy.h"

#include "base/Hash.h"
#include "base/Random.h"
#include "daemon/ErrorResponses.h"
#include "daemon/ProxiedRequest.h"
#include "daemon/RequestResolution.h"
#include "net/EventCallback.h"
#include "observe/Logging.h"

#include <list>
#include <unordered_map>

namespace jasminestack {

namespace {

    // Wall time is divided into windows of this length. All losses of an endpoint within one window count as one event.
    constexpr Millis lossEventWindow { 5'000 };

}

struct RequestProxy::State final : ProxiedRequestOwner {
    // Sends one DELETE for a stream and ignores the response.
    class StreamCancellation final : public EndpointListener {
    public:
        explicit StreamCancellation(State& owner)
            : m_owner(owner)
        {
        }
        void onConnected() override { }
        void onHead(const HttpResponseHead&) override { }
        void onBody(std::string_view) override { }
        void onEnd(const EndpointExchangeResult&) override
        {
            m_owner.endedCancellations.splice(m_owner.endedCancellations.end(), m_owner.cancellations, self);
        }

        std::list<StreamCancellation>::iterator self; ///< Position of this object in State::cancellations.
        ExchangeId exchange { 0 };

    private:
        State& m_owner;
    };

    RequestProxyContext proxyContext;
    RequestProxyOptions proxyOptions;
    std::unordered_map<RequestId, std::unique_ptr<ProxiedRequest>> requests;
    std::vector<std::unique_ptr<ProxiedRequest>> finishedRequests;
    std::list<StreamCancellation> cancellations;
    std::list<StreamCancellation> endedCancellations;
    std::size_t openStreams { 0 };
    bool isRefusingNewRequests { false };
    bool isDispatching { false };
    bool isDispatchNeeded { false };

    State(RequestProxyContext theContext, const RequestProxyOptions& theOptions)
        : proxyContext(std::move(theContext))
        , proxyOptions(theOptions)
    {
    }

    [[nodiscard]] RequestProxyContext& context() noexcept override { return proxyContext; }
    [[nodiscard]] const RequestProxyOptions& options() const noexcept override { return proxyOptions; }
    [[nodiscard]] SchedulingContext schedulingView() override
    {
        return { .self = proxyContext.self,
            .configuration = proxyContext.configuration(),
            .members = proxyContext.members,
            .endpoints = proxyContext.endpoints };
    }

    void dispatchNeeded() override { dispatchQueuedRequests(); }

    void recordCrashSuspect(std::uint64_t contentHash, const EndpointId& endpoint) override
    {
        // The id depends only on the endpoint and the window, so the loss counts once although several daemons report
        // it.
        std::int64_t window = proxyContext.clock.wallTime().count / lossEventWindow.count;
        std::uint64_t eventId = hash64(endpoint.value, static_cast<std::uint64_t>(window));
        CrashMark mark = recordEndpointLoss(
            proxyContext.crashGuard, crashOptions(), contentHash, eventId, proxyContext.clock.now());
        if (proxyContext.sendCrashMark)
            proxyContext.sendCrashMark(mark);
    }

    void clearCrashSuspect(std::uint64_t contentHash) override
    {
        auto mark = onContentCompleted(proxyContext.crashGuard, contentHash);
        if (mark && proxyContext.sendCrashMark)
            proxyContext.sendCrashMark(*mark);
    }

    [[nodiscard]] CrashGuardOptions crashOptions() const
    {
        const FleetLimits& limits = proxyContext.configuration().limits;
        return { .quarantineThreshold = limits.crashLosses, .quarantineDuration = limits.quarantine };
    }

    void cancelStream(const std::string& address, const std::string& streamId) override
    {
        auto position = cancellations.emplace(cancellations.end(), *this);
        position->self = position;
        EndpointRequest request {
            .id = RequestId { streamId },
            .address = address,
            .method = "DELETE",
            .target = "/v1/streams/" + streamId,
            .headers = { { "X-Request-Id", streamId } },
            .connectTimeout = proxyOptions.connectTimeout,
            .firstByteTimeout = proxyOptions.connectTimeout,
            .responseIdleTimeout = proxyOptions.connectTimeout,
        };
        position->exchange = proxyContext.transport.start(request, *position);
    }

    void streamOpened() override { ++openStreams; }
    void streamClosed() override { --openStreams; }

    void requestFinished(const RequestId& id) override
    {
        auto found = requests.find(id);
        if (found == requests.end())
            return;
        finishedRequests.push_back(std::move(found->second));
        requests.erase(found);
    }

    void dispatchQueuedRequests()
    {
        // A started request can end at once, free its slot and call this function again; the loop then repeats instead
        // of recursing.
        isDispatchNeeded = true;
        if (isDispatching)
            return;
        isDispatching = true;
        runGuarded("dispatch", [this] {
            while (std::exchange(isDispatchNeeded, false)) {
                for (const RequestAssignment& assignment :
                    dispatch(proxyContext.scheduling, schedulingView(), proxyContext.clock.now()))
                    startAssigned(assignment);
            }
        });
        isDispatching = false;
    }

    void startAssigned(const RequestAssignment& assignment)
    {
        auto request = requests.find(assignment.request);
        auto endpoint = proxyContext.endpoints.endpoints.find(assignment.endpoint);
        // If the request or the endpoint no longer exists, the slot is released again.
        if (request == requests.end() || endpoint == proxyContext.endpoints.endpoints.end()) {
            recordFinish(
                proxyContext.scheduling, schedulingView(), assignment.request, 0, false, proxyContext.clock.now());
            return;
        }
        ProxiedRequest& assigned = *request->second;
        runGuarded(
            "request_assigned", [&] { assigned.onAssigned(endpoint->second); }, [&] { assigned.endAfterException(); });
    }

    // Must not be called from inside a member function of a request or cancellation, because it destroys them.
    void destroyFinished()
    {
        finishedRequests.clear();
        endedCancellations.clear();
    }

    void refuseRequests(const std::vector<RequestId>& ids, const Error& error)
    {
        for (const RequestId& id : ids) {
            if (auto found = requests.find(id); found != requests.end())
                found->second->refuse(error);
        }
    }

    void sendError(CallerExchange& exchange, const RequestId& id, Error error)
    {
        proxyContext.metrics.add(Counter::Requests, { "", errorResponseFor(error.kind).name });
        CallerError callerError { .error = std::move(error), .runStatus = RunStatus::NotRun, .id = id };
        exchange.sendResponse(errorHead(callerError), errorBody(callerError));
    }

    [[nodiscard]] Result<void> checkAcceptable(const CallerRequest& request) const
    {
        if (isRefusingNewRequests)
            return Error { .kind = ErrorKind::ShuttingDown, .message = "this daemon is shutting down" };
        if (proxyContext.configuration().version == 0)
            return Error { .kind = ErrorKind::NotReady, .message = "this daemon has no configuration yet" };
        if (request.body.size() > proxyOptions.maxBodyBytes)
            return Error { .kind = ErrorKind::BodyTooLarge,
                .message = "the body has " + std::to_string(request.body.size()) + " bytes, the limit is "
                    + std::to_string(proxyOptions.maxBodyBytes) };
        return ok();
    }
};

RequestProxy::RequestProxy(RequestProxyContext context, const RequestProxyOptions& options)
    : m_state(std::make_unique<State>(std::move(context), options))
{
}

RequestProxy::~RequestProxy() = default;

void RequestProxy::onRequest(CallerRequest request, CallerExchange& exchange)
{
    State& state = *m_state;
    state.destroyFinished();
    RequestId id { state.proxyContext.random.uuid() };
    if (auto acceptable = state.checkAcceptable(request); !acceptable) {
        state.sendError(exchange, id, acceptable.error());
        return;
    }
    const Configuration& configuration = state.proxyContext.configuration();
    auto workspace = authenticate(configuration, request);
    if (!workspace) {
        state.sendError(exchange, id, workspace.error());
        return;
    }
    if (request.path() == "/v1/models" && request.method == "GET") {
        CallerResponseHead head { .headers = { { "Content-Type", "application/json" }, { "X-Request-Id", id.value } } };
        exchange.sendResponse(head, listModels(configuration));
        return;
    }
    auto resolved = resolveRequest(configuration, *workspace.value(), request);
    if (!resolved) {
        state.sendError(exchange, id, resolved.error());
        return;
    }
    auto proxied
        = std::make_unique<ProxiedRequest>(state, id, std::move(resolved).value(), std::move(request), exchange);
    ProxiedRequest& startedRequest = *proxied;
    ensureCapacity(state.finishedRequests, state.finishedRequests.size() + state.requests.size() + 1);
    state.requests.emplace(id, std::move(proxied));
    exchange.setListener(startedRequest);
    creditRetryBudget(state.proxyContext.retryBudget, startedRequest.pool(), configuration.limits.retryRatio);
    startedRequest.claimOrEnqueue();
}

void RequestProxy::dispatchQueuedRequests() { m_state->dispatchQueuedRequests(); }

void RequestProxy::tick()
{
    State& state = *m_state;
    state.destroyFinished();
    Millis now = state.proxyContext.clock.now();
    state.refuseRequests(expireQueued(state.proxyContext.scheduling, now),
        { .kind = ErrorKind::DeadlineExceeded, .message = "the deadline passed while the request was queued" });
    // checkDeadline() can remove requests from the table, so the loop runs over a copy. Removed requests are not
    // destroyed before the next destroyFinished().
    std::vector<ProxiedRequest*> activeRequests;
    activeRequests.reserve(state.requests.size());
    for (auto& [id, request] : state.requests)
        activeRequests.push_back(request.get());
    for (ProxiedRequest* request : activeRequests) {
        runGuarded(
            "request_deadline", [&] { request->checkDeadline(now); }, [&] { request->endAfterException(); });
    }
    state.dispatchQueuedRequests();
}

void RequestProxy::refuseNewRequests() noexcept { m_state->isRefusingNewRequests = true; }

void RequestProxy::refuseQueuedRequests()
{
    std::vector<RequestId> ids = drainQueued(m_state->proxyContext.scheduling);
    for (const auto& [id, request] : m_state->requests) {
        if (request->isClaiming())
            ids.push_back(id);
    }
    m_state->refuseRequests(
        ids, { .kind = ErrorKind::ShuttingDown, .message = "this daemon is shutting down; the request was not run" });
}

std::size_t RequestProxy::activeRequestCount() const noexcept { return m_state->requests.size(); }

std::size_t RequestProxy::openStreamCount() const noexcept { return m_state->openStreams; }

}
