#include "router/RoutedRequest.h"

#include "base/Hash.h"
#include "observe/Logging.h"
#include "routing/Shards.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace jasminestack {

namespace {

    // Time that must be left until the deadline when an attempt is started.
    constexpr Millis minAttemptTime { 30 };

    // After this many failed connection attempts for one request its pool is considered unreachable and the request
    // fails.
    constexpr unsigned maxConnectFailures = 4;

    // An attempt counts as stalled after this multiple of the predicted time to the first byte, but not before
    // minStallTimeout, so that requests are not moved away from an endpoint that is only slow under load.
    constexpr double stallFactor = 4.0;
    constexpr Millis minStallTimeout { 1'000 };

    // A stream counts as stalled if no bytes are received for this many times the route's eventGapObjective.
    constexpr std::int64_t eventGapFactor = 7;

    // A refusal counts as complete after this time without its end.
    constexpr Millis refusalBodyTimeout { 300 };

    // A grant to a cold endpoint that is read later than this is asked for again: other requests may have been granted
    // in the second in which it would arrive.
    constexpr Millis maxColdGrantDelay { 400 };

    // Retry-After value of requests that giveUp() ends.
    constexpr Millis retryAfterFault { 300 };

    // This process has no descriptor left for a connection to the endpoint.
    constexpr std::string_view noDescriptorCause = "no_descriptor";

}

RoutedRequest::RoutedRequest(RoutedRequestOwner& owner, Parameters parameters, CallerExchange& caller)
    : m_owner(owner)
    , m_request(std::move(parameters.request))
    , m_metadata(std::move(parameters.metadata))
    , m_table(std::move(parameters.table))
    , m_route(*parameters.route)
    , m_workspace(std::move(parameters.workspace))
    , m_pool(choosePool())
    , m_caller(&caller)
    , m_timer(makeEvent(
          owner.context().base, -1, 0,
          [](int, short, void* self) {
              auto& request = *static_cast<RoutedRequest*>(self);
              request.guard("request_timer", [&] { request.handleTimer(); });
          },
          this))
    , m_deadline(m_request.arrivedAt + m_route.timeout)
    , m_bufferReservation(owner.bufferedBytes())
    , m_splitter(owner.context().protocol.eventRules(),
          m_route.kind == RequestKind::Stream ? m_metadata.lastEventId.value_or(0) : 0)
{
    if (m_metadata.timeLeft && *m_metadata.timeLeft < m_route.timeout) {
        m_deadline = m_request.arrivedAt + *m_metadata.timeLeft;
        m_isCallerDeadline = true;
    }
    m_query = makePlacementQuery();
    m_traits = m_metadata.sharedParts;
    m_traits.push_back(m_query.contentHash);
    // Different requests without a body often have the same content hash, so they are not matched to earlier refusals.
    if (auto earlierArrival = owner.context().board.refusals.firstArrival(m_query.contentHash, m_request.arrivedAt);
        earlierArrival && !m_request.body.empty()) {
        m_query.firstArrival = *earlierArrival;
        m_wasRefusedBefore = true;
    }
    if (owner.options().usesCoordinators)
        m_shard = shardForRequest(
            owner.context().board.fleetView, m_pool, localityKey(m_query.prompt, hash64(m_metadata.id)));
}

RoutedRequest::~RoutedRequest() = default;

Millis RoutedRequest::now() const { return m_owner.context().clock.now(); }

PoolId RoutedRequest::choosePool() const
{
    unsigned totalWeight = 0;
    for (const PoolWeight& target : m_route.pools)
        totalWeight += target.weight;
    if (totalWeight == 0)
        return {};
    std::uint64_t weightPosition = m_owner.context().random.uniformInteger(totalWeight);
    for (const PoolWeight& target : m_route.pools) {
        if (weightPosition < target.weight)
            return target.pool;
        weightPosition -= target.weight;
    }
    return m_route.pools.back().pool;
}

PlacementQuery RoutedRequest::makePlacementQuery() const
{
    bool isStream = m_route.kind == RequestKind::Stream;
    return { .pool = m_pool,
        .workspace = workspaceHash(m_workspace),
        .contentHash = hash64(m_request.body, hash64(m_request.target, hash64(m_workspace.value))),
        .availabilityZone = m_owner.options().availabilityZone,
        .prompt = m_metadata.prompt,
        .promptTokens = m_metadata.promptTokens,
        .maxOutputTokens = m_metadata.maxOutputTokens,
        .expectedOutputTokens = m_metadata.expectedOutputTokens,
        .isStream = isStream,
        .isRepeatable = m_route.isRepeatable(),
        // A response that is not a stream remains useful until its deadline, so its objective is half of the timeout.
        .latencyObjective = isStream ? m_route.latencyObjective : Millis { m_route.timeout.count / 2 },
        .arrivedAt = m_request.arrivedAt,
        .firstArrival = m_request.arrivedAt,
        .deadline = m_deadline };
}

void RoutedRequest::startPlacement()
{
    RequestRouterContext& context = m_owner.context();
    m_owner.retryBudget().recordRequest(m_pool, m_owner.options().retries, now());
    if (!passesQuarantine()) {
        endQuarantined();
        return;
    }
    if (requestFromCoordinator())
        return;
    if (m_metadata.promptTokens != 0)
        recordDemand(context.board.shares, m_query.workspace, chargedTokens(m_query), now());
    place();
}

bool RoutedRequest::requestFromCoordinator()
{
    RequestRouterContext& context = m_owner.context();
    if (m_shard == 0 || !context.placementClient)
        return false;
    m_placementRequest = context.placementClient->requestPlacement(m_shard, m_query, *this);
    if (!m_placementRequest)
        return false;
    m_stage = Stage::AwaitingReply;
    armTimer();
    return true;
}

PlacementInputs RoutedRequest::placementInputs(ShardId shard) const
{
    RequestRouterContext& context = m_owner.context();
    return { .fleetView = context.board.fleetView,
        .table = *m_table,
        .shares = context.board.shares,
        .options = m_owner.options().placement,
        .admitsAll = m_owner.options().admitsAll,
        .shard = shard };
}

EndpointChoice RoutedRequest::chooseRetryEndpoint() const
{
    EndpointChoice choice = bestEndpoint(placementInputs(m_shard), m_query, now());
    return choice.endpoint || m_shard == 0 ? choice : bestEndpoint(placementInputs(0), m_query, now());
}

void RoutedRequest::place()
{
    RequestRouterContext& context = m_owner.context();
    if (timeLeft() < minAttemptTime) {
        giveUp("deadline_in_queue");
        return;
    }
    PlacementDecision decision = decidePlacement(placementInputs(m_shard), m_query, context.random, now());
    m_isPredictedLate = decision.isLate;
    switch (decision.verdict) {
    case PlacementVerdict::Send:
        if (m_metadata.promptTokens != 0)
            recordServed(context.board.shares, m_query.workspace, chargedTokens(m_query), now());
        sendToEndpoint(decision.choice);
        break;
    case PlacementVerdict::Wait:
        if (!std::exchange(m_isInQueue, true))
            context.queue.add(*this);
        armTimer();
        break;
    case PlacementVerdict::Refuse:
        m_predictedFirstByteMs = decision.choice.prediction.firstByteMs();
        context.board.refusals.record(m_query.contentHash, m_query.firstArrival, now());
        context.board.unsentRefusals.emplace_back(m_query.contentHash, m_query.firstArrival);
        context.onLoadChanged();
        refuseForOverload(decision.choice.endpoint != nullptr, decision.retryAfter);
        break;
    }
}

WaitingOrder RoutedRequest::waitingOrder() const
{
    return jasminestack::waitingOrder(m_query, m_owner.context().board.shares, m_isPredictedLate);
}

void RoutedRequest::handlePlacementReply(const PlacementReply& reply, std::string_view coordinator)
{
    m_placementRequest.reset();
    m_placedBy = coordinator;
    m_isPredictedLate = reply.isLate;
    m_wasRefusedBefore = reply.wasRefusedBefore;
    m_predictedFirstByteMs = static_cast<double>(reply.predictedFirstByte.count);
    switch (reply.status) {
    case PlacementStatus::Quarantined:
        endQuarantined();
        return;
    case PlacementStatus::Refused:
        refuseForOverload(true, reply.retryAfter);
        return;
    case PlacementStatus::Queued: // Does not occur; see PlacementListener::onPlacement().
    case PlacementStatus::Granted:
        break;
    }
    auto& endpointsByInstance = m_owner.context().board.fleetView.endpointsByInstance;
    auto entry = endpointsByInstance.find(reply.endpoint);
    if (entry == endpointsByInstance.end() || !entry->second->acceptsRequests(now())) {
        // Either the endpoint has begun to drain or asked for a pause, and the coordinator does not know, or the
        // endpoint is new and this daemon has not received its registration yet. This daemon then places the request
        // itself.
        placeWithoutCoordinator();
        return;
    }
    // The coordinator counted the request where it granted it, so it must not be sent in a later second.
    if (isCold(entry->second->pace, now()) && reply.receivedLate >= maxColdGrantDelay) {
        // A daemon that reads all replies late would otherwise use up the endpoint's allowance.
        bool hasAskedBefore = std::exchange(m_hasAskedAnew, true);
        if (hasAskedBefore || !requestFromCoordinator())
            placeWithoutCoordinator();
        return;
    }
    m_isGranted = true;
    sendToEndpoint({ .endpoint = entry->second,
        // The reply contains only the sum of the prediction's times; sendToEndpoint() reads only their sum.
        .prediction = { .queueMs = m_predictedFirstByteMs },
        .isWithinLimits = true,
        .prefillTokens = reply.prefillTokens,
        .backlogTokens = static_cast<double>(reply.backlogTokens) });
}

void RoutedRequest::placeWithoutCoordinator()
{
    m_placementRequest.reset();
    m_placedBy = "self";
    m_stage = Stage::Waiting;
    place();
}

void RoutedRequest::cancelPlacement()
{
    RequestRouterContext& context = m_owner.context();
    if (std::exchange(m_isInQueue, false))
        context.queue.remove(*this);
    if (m_placementRequest)
        context.placementClient->cancel(*m_placementRequest);
    m_placementRequest.reset();
}

void RoutedRequest::refuseForOverload(bool poolHasEndpoints, Millis retryAfter)
{
    endWithError({ .kind = poolHasEndpoints ? ErrorKind::DeadlineUnreachable : ErrorKind::EndpointUnavailable,
        .cause = poolHasEndpoints ? "no_room" : "no_endpoint",
        .retryAfter = retryAfter });
}

void RoutedRequest::sendToEndpoint(const EndpointChoice& choice)
{
    RequestRouterContext& context = m_owner.context();
    cancelPlacement();
    Millis currentTime = now();
    m_stage = Stage::InFlight;
    m_relayMode = RelayMode::AwaitingHead;
    m_isConnected = false;
    releaseBody();
    m_refusalBytes = 0;
    m_responseHead = {};
    m_lastProgress = currentTime;
    m_firstEventAt = {};
    m_isAnswerSound = false;
    if (m_sendCount == 0 && m_connectFailures == 0)
        m_queueTime = currentTime - m_request.arrivedAt;
    m_predictedFirstByteMs = choice.prediction.firstByteMs();
    Registration endpoint = choice.endpoint->registration;
    m_placement = recordSend(context.board.fleetView, choice, m_query.workload(), currentTime);
    m_isPlacementCounted = true;
    // A coordinator has already recorded the prompts of its grants.
    if (!std::exchange(m_isGranted, false) && !m_metadata.prompt.empty())
        context.board.sentPrompts.push_back({ .endpoint = m_placement.instanceId, .prompt = m_metadata.prompt });
    context.onLoadChanged();
    m_query.triedEndpoints.push_back(m_placement.instanceId);
    ++m_sendCount;

    EndpointRequest request = context.protocol.encode(m_request, m_metadata,
        { .endpoint = endpoint,
            .workspace = m_workspace.value,
            .timeLeft = timeLeft(),
            .lastEventId = m_splitter.lastId() });
    request.requiresFreshConnection = !m_route.isRepeatable();
    request.connectTimeout = std::min(m_owner.options().connectTimeout, timeLeft());
    // This object's timer enforces the deadline and the stall timeout; the transport's timeouts expire later.
    request.firstByteTimeout = timeLeft() + Millis { 1'000 };
    request.responseIdleTimeout = request.firstByteTimeout;
    m_exchange = context.transport.start(request, *this);
    if (m_isEndpointPaused) // The caller has not read what the endpoint before sent.
        context.transport.setPaused(m_exchange, true);
    armTimer();
}

void RoutedRequest::armTimer()
{
    Millis currentTime = now();
    Millis wakeTime = m_deadline;
    if (m_stage == Stage::InFlight && m_route.isRepeatable() && m_relayMode != RelayMode::PassThrough)
        wakeTime = std::min(wakeTime, m_lastProgress + stallTimeout());
    if (m_stage == Stage::InFlight && m_relayMode == RelayMode::Refusal)
        wakeTime = std::min(wakeTime, m_lastProgress + refusalBodyTimeout);
    timeval delay = toTimeval(std::max(wakeTime - currentTime, Millis { 1 }));
    evtimer_add(m_timer.get(), &delay);
}

void RoutedRequest::abandonRefusalBody()
{
    cancelExchange();
    handleRefusal();
}

Millis RoutedRequest::stallTimeout() const
{
    if (m_splitter.eventCount() != 0 && m_route.eventGapObjective > Millis {})
        return std::max(minStallTimeout, Millis { m_route.eventGapObjective.count * eventGapFactor });
    Millis predictedTimeout { static_cast<std::int64_t>(std::min(m_predictedFirstByteMs * stallFactor, 1e6)) };
    return std::max(predictedTimeout, minStallTimeout);
}

void RoutedRequest::handleTimer()
{
    if (m_stage == Stage::Ended)
        return;
    Millis currentTime = now();
    bool isRefused = m_stage == Stage::InFlight && m_relayMode == RelayMode::Refusal;
    if (isRefused && currentTime - m_lastProgress >= refusalBodyTimeout) {
        abandonRefusalBody();
        return;
    }
    if (currentTime >= m_deadline) {
        giveUp(m_isCallerDeadline ? "caller_deadline" : "route_timeout");
        return;
    }
    if (m_stage == Stage::InFlight)
        checkStall(currentTime);
    else
        armTimer();
}

void RoutedRequest::checkStall(Millis currentTime)
{
    if (!m_route.isRepeatable() || currentTime - m_lastProgress < stallTimeout()
        || m_relayMode == RelayMode::PassThrough || m_isEndpointPaused) {
        armTimer();
        return;
    }
    // A stream that has begun may go on after a pause. In a planned stop it isn't moved, since another endpoint may
    // refuse it and no time is left for a third one.
    bool isKept = m_hasResponseBegun && m_owner.context().board.isStopping;
    if (isKept || !chooseRetryEndpoint().endpoint || !takeRetry()) {
        m_lastProgress = currentTime; // The attempt continues for another stall timeout.
        armTimer();
        return;
    }
    cancelExchange();
    m_mayHaveRun = true;
    recordAttemptEnd(AttemptOutcome::Stalled);
    retryAtOtherEndpoint("stalled");
}

void RoutedRequest::recordAttemptEnd(AttemptOutcome outcome)
{
    if (!std::exchange(m_isPlacementCounted, false))
        return;
    RequestRouterContext& context = m_owner.context();
    recordEnd(context.board.fleetView, m_placement, outcome, now());
    if (outcome != AttemptOutcome::Cancelled)
        context.board.attemptReports.push_back(endReport(m_placement, outcome, now()));
    context.onLoadChanged();
    context.queue.onCapacityChanged();
}

void RoutedRequest::handleAttemptFailure(ErrorKind kind, const EndpointExchangeResult& result, std::string_view cause)
{
    if (kind == ErrorKind::RouterOverloaded && !result.requestMayHaveBeenSent) {
        recordAttemptEnd(AttemptOutcome::Cancelled); // The endpoint has no part in it.
        --m_sendCount;
        giveUp(noDescriptorCause);
        return;
    }
    if (!result.requestMayHaveBeenSent) {
        recordAttemptEnd(AttemptOutcome::ConnectionFailed);
        --m_sendCount;
        ++m_connectFailures;
        if (m_connectFailures < maxConnectFailures && timeLeft() >= minAttemptTime
            && (m_caller || m_hasResponseBegun)) {
            retryAtOtherEndpoint("not_connected");
            return;
        }
        giveUp("not_connected");
        return;
    }
    m_mayHaveRun = true;
    bool isEndpointLost = kind == ErrorKind::EndpointLost || kind == ErrorKind::AnswerTruncated;
    if (isEndpointLost) {
        logLoss(cause, result.responseStarted);
        recordEndpointLoss(result.responseStarted);
    }
    recordAttemptEnd(
        isEndpointLost && !result.responseStarted ? AttemptOutcome::ConnectionFailed : AttemptOutcome::Failed);
    bool mayBeCause = isEndpointLost && crashDecision().verdict != TraitVerdict::Clear;
    if (!mayBeCause && takeRetry())
        retryAtOtherEndpoint(cause);
    else
        giveUp(cause);
}

void RoutedRequest::handleRefusal()
{
    recordAttemptEnd(AttemptOutcome::Refused);
    bool canRetry = m_sendCount < m_route.maxEndpoints && timeLeft() >= minAttemptTime && m_caller;
    if (canRetry && m_owner.retryBudget().tryConsume(m_pool, m_owner.options().retries, now()))
        retryAtOtherEndpoint("refused");
    else
        giveUp("refused_by_endpoint");
}

bool RoutedRequest::takeRetry() const
{
    if (!m_route.isRepeatable() || m_sendCount >= m_route.maxEndpoints || timeLeft() < minAttemptTime || !m_caller)
        return false;
    return m_owner.retryBudget().tryConsume(m_pool, m_owner.options().retries, now());
}

void RoutedRequest::retryAtOtherEndpoint(std::string_view cause)
{
    RequestRouterContext& context = m_owner.context();
    if (!passesQuarantine()) {
        endQuarantined();
        return;
    }
    EndpointChoice choice = chooseRetryEndpoint();
    logEvent(LogLevel::Info, "request_repeated",
        { { "request", m_metadata.id }, { "cause", cause }, { "from", m_placement.endpoint.value },
            { "to", choice.endpoint ? choice.endpoint->registration.id.value : std::string("none") },
            { "after_event", m_splitter.lastId() }, { "sends", m_sendCount } });
    if (!choice.endpoint) {
        giveUp("no_other_endpoint");
        return;
    }
    context.metrics.add(Counter::Retries, { m_pool.value });
    m_splitter.resume();
    sendToEndpoint(choice);
}

void RoutedRequest::leaveUnusableEndpoint()
{
    if (m_stage != Stage::InFlight || m_isConnected || m_exchange == 0)
        return;
    const auto& endpoints = m_owner.context().board.fleetView.endpointsByInstance;
    auto endpoint = endpoints.find(m_placement.instanceId);
    bool isUsable = endpoint != endpoints.end() && endpoint->second->acceptsRequests(now());
    bool shouldStay
        = isUsable && (!hasBecomeCold(*endpoint->second, m_placement, now()) || !chooseRetryEndpoint().endpoint);
    if (shouldStay)
        return;
    cancelExchange();
    recordAttemptEnd(AttemptOutcome::Cancelled);
    --m_sendCount;
    retryAtOtherEndpoint(isUsable ? "endpoint_cold" : "endpoint_left");
}

void RoutedRequest::endAfterException()
{
    m_mayHaveRun = m_mayHaveRun || m_isConnected;
    runGuarded("request_end", [this] {
        if (m_stage == Stage::Ended)
            return;
        cancelExchange();
        cancelPlacement();
        recordAttemptEnd(AttemptOutcome::Cancelled);
        endWithError({ .kind = ErrorKind::Internal, .cause = "callback_failed", .retryAfter = retryAfterFault });
    });
    drop();
}

void RoutedRequest::drop()
{
    cancelExchange();
    runGuarded("request_drop", [this] { cancelPlacement(); });
    m_stage = Stage::Ended;
    evtimer_del(m_timer.get());
    if (CallerExchange* caller = std::exchange(m_caller, nullptr))
        caller->abort();
    m_owner.removeRequest(*this);
}

void RoutedRequest::giveUp(std::string_view cause)
{
    cancelPlacement();
    if (m_exchange != 0) {
        m_mayHaveRun = m_mayHaveRun || m_isConnected;
        cancelExchange();
        recordAttemptEnd(AttemptOutcome::Cancelled);
    }
    if (m_errorHead && m_caller && !m_hasResponseBegun) {
        m_status = m_errorHead->status;
        std::exchange(m_caller, nullptr)->sendResponse(*m_errorHead, m_errorBody);
        finish("endpoint_error");
        return;
    }
    bool isDeadlineReached = timeLeft() < minAttemptTime;
    ErrorKind kind = ErrorKind::EndpointUnavailable;
    if (m_mayHaveRun)
        kind = isDeadlineReached ? ErrorKind::EndpointTimeout : ErrorKind::EndpointLost;
    else if (isDeadlineReached)
        kind = ErrorKind::DeadlineUnreachable;
    else if (cause == noDescriptorCause)
        kind = ErrorKind::RouterOverloaded;
    endWithError({ .kind = kind, .cause = cause, .retryAfter = retryAfterFault });
}

}
