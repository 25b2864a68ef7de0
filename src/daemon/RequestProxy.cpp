#include "daemon/RequestProxy.h"

#include "base/Hash.h"
#include "base/Random.h"
#include "daemon/ErrorResponses.h"
#include "daemon/ProxiedRequest.h"
#include "daemon/RequestResolution.h"
#include "observe/Logging.h"

#include <list>
#include <unordered_map>

namespace jasminestack {

namespace {

    // Losses of an endpoint within this time are taken for one.
    constexpr Millis lossWindow { 5'000 };

}

struct RequestProxy::State final : ProxiedRequestOwner {
    // Sends one DELETE for a stream; nothing depends on its answer.
    class Cancellation final : public EndpointListener {
    public:
        explicit Cancellation(State& owner)
            : m_owner(owner)
        {
        }
        void onConnected() override { }
        void onHead(const HttpResponseHead&) override { }
        void onBody(std::string_view) override { }
        void onEnd(const EndpointExchangeResult&) override
        {
            m_owner.ended.splice(m_owner.ended.end(), m_owner.cancellations, self);
        }

        std::list<Cancellation>::iterator self;
        ExchangeId exchange { 0 };

    private:
        State& m_owner;
    };

    RequestProxyContext flowContext;
    RequestProxyOptions flowOptions;
    std::unordered_map<RequestId, std::unique_ptr<ProxiedRequest>> requests;
    std::vector<std::unique_ptr<ProxiedRequest>> retired;
    std::list<Cancellation> cancellations;
    std::list<Cancellation> ended;
    std::size_t streams { 0 };
    bool refusing { false };
    bool dispatching { false };
    bool dispatchAgain { false };

    State(RequestProxyContext theContext, const RequestProxyOptions& theOptions)
        : flowContext(std::move(theContext))
        , flowOptions(theOptions)
    {
    }

    [[nodiscard]] RequestProxyContext& context() noexcept override { return flowContext; }
    [[nodiscard]] const RequestProxyOptions& options() const noexcept override { return flowOptions; }
    [[nodiscard]] SchedulingView view() override
    {
        return { .self = flowContext.self,
            .configuration = flowContext.configuration(),
            .members = flowContext.members,
            .endpoints = flowContext.endpoints };
    }

    void workChanged() override { dispatchGrants(); }

    void contentLost(std::uint64_t contentHash, const EndpointId& endpoint) override
    {
        // Daemons that lose the same endpoint at about the same time report the same event, so that it counts once.
        std::int64_t window = flowContext.clock.wallTime().count / lossWindow.count;
        std::uint64_t eventId = hash64(endpoint.value, static_cast<std::uint64_t>(window));
        CrashMark mark
            = recordEndpointLoss(flowContext.crashGuard, crashOptions(), contentHash, eventId, flowContext.clock.now());
        if (flowContext.sendCrashMark)
            flowContext.sendCrashMark(mark);
    }

    void contentCompleted(std::uint64_t contentHash) override
    {
        auto mark = onContentCompleted(flowContext.crashGuard, contentHash);
        if (mark && flowContext.sendCrashMark)
            flowContext.sendCrashMark(*mark);
    }

    [[nodiscard]] CrashGuardOptions crashOptions() const
    {
        const FleetLimits& limits = flowContext.configuration().limits;
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
            .connectTimeout = flowOptions.connectTimeout,
            .firstByteTimeout = flowOptions.connectTimeout,
            .responseIdleTimeout = flowOptions.connectTimeout,
        };
        position->exchange = flowContext.transport.start(request, *position);
    }

    void streamOpened() override { ++streams; }
    void streamClosed() override { --streams; }

    void finished(const RequestId& id) override
    {
        auto found = requests.find(id);
        if (found == requests.end())
            return;
        retired.push_back(std::move(found->second));
        requests.erase(found);
    }

    void dispatchGrants()
    {
        // A grant can end at once and free its slot again; that is one more round, not a recursion.
        dispatchAgain = true;
        if (dispatching)
            return;
        dispatching = true;
        while (std::exchange(dispatchAgain, false)) {
            Millis now = flowContext.clock.now();
            for (const RequestAssignment& grant : dispatch(flowContext.scheduling, view(), now)) {
                auto request = requests.find(grant.request);
                auto endpoint = flowContext.endpoints.endpoints.find(grant.endpoint);
                if (request == requests.end() || endpoint == flowContext.endpoints.endpoints.end())
                    recordFinish(flowContext.scheduling, view(), grant.request, 0, false, now);
                else
                    request->second->granted(endpoint->second);
            }
        }
        dispatching = false;
    }

    // Only called from outside the requests' own calls.
    void clean()
    {
        retired.clear();
        ended.clear();
    }

    void refuseIds(const std::vector<RequestId>& ids, const Error& error)
    {
        for (const RequestId& id : ids) {
            if (auto found = requests.find(id); found != requests.end())
                found->second->refuse(error);
        }
    }

    void answerError(CallerExchange& exchange, const RequestId& id, Error error)
    {
        flowContext.metrics.add(Counter::Requests, { "", errorResponseFor(error.kind).name });
        CallerError answer { .error = std::move(error), .status = RunStatus::NotRun, .id = id };
        exchange.sendResponse(errorHead(answer), errorBody(answer));
    }

    [[nodiscard]] Result<void> checkAcceptable(const CallerRequest& request) const
    {
        if (refusing)
            return Error { .kind = ErrorKind::ShuttingDown, .message = "this daemon is shutting down" };
        if (flowContext.configuration().version == 0)
            return Error { .kind = ErrorKind::NotReady, .message = "this daemon has no configuration yet" };
        if (request.body.size() > flowOptions.maxBodyBytes)
            return Error { .kind = ErrorKind::BodyTooLarge,
                .message = "the body has " + std::to_string(request.body.size()) + " bytes, the limit is "
                    + std::to_string(flowOptions.maxBodyBytes) };
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
    state.clean();
    RequestId id { state.flowContext.random.uuid() };
    if (auto acceptable = state.checkAcceptable(request); !acceptable) {
        state.answerError(exchange, id, acceptable.error());
        return;
    }
    const Configuration& configuration = state.flowContext.configuration();
    auto workspace = authenticate(configuration, request);
    if (!workspace) {
        state.answerError(exchange, id, workspace.error());
        return;
    }
    if (request.path() == "/v1/models" && request.method == "GET") {
        CallerResponseHead head { .headers = { { "Content-Type", "application/json" }, { "X-Request-Id", id.value } } };
        exchange.sendResponse(head, listModels(configuration));
        return;
    }
    auto resolved = resolveRequest(configuration, *workspace.value(), request);
    if (!resolved) {
        state.answerError(exchange, id, resolved.error());
        return;
    }
    auto flow = std::make_unique<ProxiedRequest>(state, id, std::move(resolved).value(), std::move(request), exchange);
    ProxiedRequest& started = *flow;
    state.requests.emplace(id, std::move(flow));
    creditRetryBudget(state.flowContext.retryBudget, started.pool(), configuration.limits.retryRatio);
    started.begin();
}

void RequestProxy::dispatchGrants() { m_state->dispatchGrants(); }

void RequestProxy::tick()
{
    State& state = *m_state;
    state.clean();
    Millis now = state.flowContext.clock.now();
    state.refuseIds(expireQueued(state.flowContext.scheduling, now),
        { .kind = ErrorKind::DeadlineExceeded, .message = "the deadline passed while the request was queued" });
    std::vector<ProxiedRequest*> running;
    running.reserve(state.requests.size());
    for (auto& [id, request] : state.requests)
        running.push_back(request.get());
    for (ProxiedRequest* request : running)
        request->checkDeadline(now);
    state.dispatchGrants();
}

void RequestProxy::refuseNew() noexcept { m_state->refusing = true; }

void RequestProxy::refuseQueued()
{
    std::vector<RequestId> ids = drainQueued(m_state->flowContext.scheduling);
    for (const auto& [id, request] : m_state->requests) {
        if (request->claiming())
            ids.push_back(id);
    }
    m_state->refuseIds(
        ids, { .kind = ErrorKind::ShuttingDown, .message = "this daemon is shutting down; the request was not run" });
}

std::size_t RequestProxy::active() const noexcept { return m_state->requests.size(); }

std::size_t RequestProxy::openStreams() const noexcept { return m_state->streams; }

}
