#include "net/EventPriority.h"
#include "net/HttpResponseParser.h"
#include "platform/PlatformProtocol.h"
#include "router/PlacementClient.h"
#include "router/PlacementCodec.h"
#include "router/PlacementQueue.h"
#include "router/RequestRouter.h"
#include "routing/Shards.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>

using namespace jasminestack;

namespace {

const PoolId modelPool { "llm" };
const PoolId servicePool { "desk" };

struct RecordingCaller final : CallerExchange {
    std::optional<CallerResponseHead> head;
    std::string body;

    void setListener(CallerListener&) override { }
    void sendResponse(const CallerResponseHead& responseHead, std::string_view responseBody) override
    {
        head = responseHead;
        body = responseBody;
    }
    void startStream(const CallerResponseHead& responseHead) override { head = responseHead; }
    void sendChunk(std::string_view bytes) override
    {
        if (throwsAtChunk)
            throw std::bad_alloc();
        body += bytes;
    }
    void endStream() override { }
    void abort() override { isAborted = true; }
    [[nodiscard]] std::size_t bufferedBytes() const override { return unsentBytes; }

    std::size_t unsentBytes { 0 };
    bool throwsAtChunk { false };
    bool isAborted { false };
};

struct RecordingEndpointTransport final : EndpointTransport {
    std::vector<std::string> sentTo; ///< Addresses of the requests, in the order of sending.
    std::vector<EndpointListener*> listeners; ///< Of the requests, in the same order.
    std::vector<ExchangeId> cancelled;
    std::vector<ExchangeId> paused;
    std::vector<std::string> lastEventIds; ///< Of the requests, in the same order.
    bool throwsAtStart { false };

    [[nodiscard]] ExchangeId start(const EndpointRequest& request, EndpointListener& listener) override
    {
        if (throwsAtStart)
            throw std::bad_alloc();
        lastEventIds.emplace_back(findHeader(request.headers, "Last-Event-Id"));
        sentTo.push_back(request.address);
        listeners.push_back(&listener);
        return sentTo.size();
    }
    void cancel(ExchangeId id) override { cancelled.push_back(id); }
    void setPaused(ExchangeId id, bool isPaused) override
    {
        if (isPaused)
            paused.push_back(id);
    }
};

struct RecordingPeerTransport final : PeerTransport {
    std::vector<std::string> sent;

    void send(std::string_view, std::string_view bytes) override { sent.emplace_back(bytes); }
    void setReceiveHandler(Handler) override { }
};

/// \brief The request path with two model engines and one non-idempotent service, without sockets.
struct Fixture {
    EventBasePointer base = makePrioritizedEventBase();
    FakeClock clock;
    Random random { 1 };
    Metrics metrics;
    RouterBlackboard board;
    RecordingEndpointTransport endpointTransport;
    RecordingPeerTransport peerTransport;
    platform::PlatformProtocol protocol;
    PlacementQueue queue { *base };
    std::string coordinatorAddress; ///< Address of the coordinator of all shards; empty: this daemon coordinates them.
    PlacementClient placementClient { { .base = *base,
        .clock = clock,
        .transport = peerTransport,
        .metrics = metrics,
        .coordinatorOf = [this](ShardId) { return coordinatorAddress; },
        .onCoordinatorUnresponsive = [](const std::string&) {},
        .instanceId = 7 } };
    RequestRouter router { { .base = *base,
                               .clock = clock,
                               .random = random,
                               .board = board,
                               .transport = endpointTransport,
                               .protocol = protocol,
                               .metrics = metrics,
                               .queue = queue,
                               .placementClient = &placementClient,
                               .onLoadChanged = [] {} },
        { .availabilityZone = "a" } };
    std::vector<std::unique_ptr<RecordingCaller>> callers;

    Fixture()
    {
        RoutingTable table;
        table.version = 1;
        table.pools[modelPool] = { .id = modelPool, .isModel = true, .slots = 4, .memoryTokens = 600'000 };
        table.pools[servicePool] = { .id = servicePool, .slots = 4 };
        table.routes["shop"].push_back({ .name = "quote",
            .host = "shop",
            .pathPrefix = "/quote/",
            .kind = RequestKind::Stream,
            .pools = { { modelPool } },
            .maxEndpoints = 2 });
        table.routes["shop"].push_back({ .name = "book",
            .host = "shop",
            .pathPrefix = "/book/",
            .kind = RequestKind::NonIdempotent,
            .pools = { { servicePool } } });
        sortRoutes(table);
        board.table = std::make_shared<RoutingTable>(table);
        board.isConfigurationCurrent = true;
        setRegistrations(board.fleetView, registrations());
    }

    static std::vector<Registration> registrations()
    {
        auto makeRegistration = [](const char* id, const PoolId& pool, const char* address) {
            return Registration {
                .id = EndpointId { id }, .pool = pool, .address = address, .availabilityZone = "a", .slots = 4
            };
        };
        return { makeRegistration("e1", modelPool, "127.0.0.1:9001"),
            makeRegistration("e2", modelPool, "127.0.0.1:9002"),
            makeRegistration("d1", servicePool, "127.0.0.1:9003") };
    }

    RecordingCaller& request(const std::string& target, const std::string& id,
        const std::string& promptParts = "aa:800,bb:200", const std::string& lastEventId = {})
    {
        callers.push_back(std::make_unique<RecordingCaller>());
        CallerRequest request { .method = "POST",
            .target = target,
            .headers = { { "Host", "shop" }, { "X-Jasminestack-Attempt-Id", id },
                { "X-Jasminestack-Deadline-Ms", "5000" }, { "X-Jasminestack-Model-Id", "m" },
                { "X-Jasminestack-Token-Usage", "1000,50" }, { "X-Jasminestack-Prefix-Hash", promptParts } },
            .body = "text of " + id,
            .arrivedAt = clock.now() };
        if (!lastEventId.empty())
            request.headers.emplace_back("Last-Event-Id", lastEventId);
        router.onRequest(std::move(request), *callers.back());
        return *callers.back();
    }

    void replyToLastRequest(PlacementReply reply)
    {
        auto placementRequest = decodePlacementRequest(peerTransport.sent.back(), clock.now());
        REQUIRE(placementRequest);
        reply.id = placementRequest.value().id;
        placementClient.onReply(reply);
    }
};

std::string retryAfter(const RecordingCaller& caller)
{
    for (const auto& [name, value] : caller.head->headers) {
        if (name == "Retry-After")
            return value;
    }
    return {};
}

}

// Guards against a request that reaches an engine after it has left, because its connection was still being made when
// the engine left.
TEST_CASE("a request that is not sent yet moves to another endpoint when its own leaves", "[router][flow][drain]")
{
    Fixture fixture;
    fixture.request("/quote/x", "id-1");
    REQUIRE(fixture.endpointTransport.sentTo.size() == 1);
    std::string first = fixture.endpointTransport.sentTo.front();
    auto registrations = Fixture::registrations();
    bool isRemoved = GENERATE(false, true);
    if (isRemoved)
        std::erase_if(registrations, [&](const Registration& item) { return item.address == first; });
    for (Registration& registration : registrations)
        registration.isDraining = registration.address == first;
    SECTION("before the connection is established")
    {
        setRegistrations(fixture.board.fleetView, registrations);
        fixture.router.onEndpointsChanged();
        CHECK(fixture.endpointTransport.cancelled == std::vector<ExchangeId> { 1 });
        REQUIRE(fixture.endpointTransport.sentTo.size() == 2);
        CHECK(fixture.endpointTransport.sentTo.back() != first);
    }
    SECTION("afterwards it may run, so it stays")
    {
        fixture.endpointTransport.listeners.front()->onConnected();
        setRegistrations(fixture.board.fleetView, registrations);
        fixture.router.onEndpointsChanged();
        CHECK(fixture.endpointTransport.cancelled.empty());
        CHECK(fixture.endpointTransport.sentTo.size() == 1);
    }
}

// Guards against a refusal that says more than is known: a request that was not sent has not run.
TEST_CASE("a request that is not sent yet ends as not run when the last endpoint leaves", "[router][flow][drain]")
{
    Fixture fixture;
    RecordingCaller& caller = fixture.request("/book/x", "id-1");
    REQUIRE(fixture.endpointTransport.sentTo.size() == 1);
    setRegistrations(fixture.board.fleetView, {});
    fixture.router.onEndpointsChanged();
    REQUIRE(caller.head);
    CHECK(caller.head->status == 503);
    CHECK(caller.body.find("\"not_run\"") != std::string::npos);
    CHECK(fixture.endpointTransport.cancelled.size() == 1);
    CHECK(fixture.router.activeCount() == 0);
}

// Guards against requests that are accepted so late in a shutdown that the end of the process interrupts them.
TEST_CASE("a daemon that shuts down refuses requests as not run", "[router][flow]")
{
    Fixture fixture;
    fixture.board.refusesRequests = true;
    RecordingCaller& caller = fixture.request("/book/x", "id-1");
    REQUIRE(caller.head);
    CHECK(caller.head->status == 503);
    CHECK(!retryAfter(caller).empty());
    CHECK(caller.body.find("\"not_run\"") != std::string::npos);
    CHECK(fixture.endpointTransport.sentTo.empty());
}

// Pattern: all callers of a busy workspace reach the same daemon. Guards against a daemon that accepts more streams
// than it has processor time to relay, so that all of them miss their objective.
TEST_CASE("a daemon without processor time refuses streams before plain requests", "[router][flow][policy][burst]")
{
    Fixture fixture;
    fixture.board.requestReadLag = Millis { 150 };
    RecordingCaller& stream = fixture.request("/quote/x", "id-1");
    REQUIRE(stream.head);
    CHECK(stream.head->status == 503);
    CHECK(stream.body.find("router_overloaded") != std::string::npos);
    CHECK(!retryAfter(stream).empty());
    fixture.request("/book/x", "id-2");
    CHECK(fixture.endpointTransport.sentTo == std::vector<std::string> { "127.0.0.1:9003" });
    fixture.board.requestReadLag = Millis { 900 };
    CHECK(fixture.request("/book/x", "id-3").head->status == 503);
    fixture.board.requestReadLag = {};
    fixture.request("/quote/x", "id-4");
    CHECK(fixture.endpointTransport.sentTo.size() == 2);
}

// Guards against daemons that place requests by themselves, and against grants whose load is not counted or whose
// prompts are sent to the coordinator a second time.
TEST_CASE("a request is sent to the endpoint that its coordinator granted", "[router][flow][placement]")
{
    Fixture fixture;
    fixture.router.setFleetProperties(70, true);
    fixture.coordinatorAddress = "c1";
    RecordingCaller& caller = fixture.request("/quote/x", "id-1");
    CHECK(fixture.endpointTransport.sentTo.empty());
    EndpointInstanceId second = endpointInstanceId(Fixture::registrations()[1]);
    fixture.replyToLastRequest(
        { .status = PlacementStatus::Granted, .grantNumber = 1, .endpoint = second, .prefillTokens = 1'000 });
    CHECK(fixture.endpointTransport.sentTo == std::vector<std::string> { "127.0.0.1:9002" });
    CHECK(fixture.board.fleetView.endpointsByInstance.at(second)->ownLoad.pendingPrefillTokens == 1'000);
    // The coordinator has already recorded the prompt of its grant.
    CHECK(fixture.board.sentPrompts.empty());
    CHECK(!caller.head);

    RecordingCaller& refused = fixture.request("/quote/x", "id-2");
    fixture.replyToLastRequest({ .status = PlacementStatus::Refused, .retryAfter = Millis { 700 } });
    REQUIRE(refused.head);
    CHECK(refused.head->status == 503);
    CHECK(retryAfter(refused) == "0.700");
}

// Guards against a request to a draining endpoint: the daemon has received the registration change, the coordinator
// that granted the endpoint has not.
TEST_CASE("a grant at a draining endpoint is not used", "[router][flow][placement]")
{
    Fixture fixture;
    fixture.router.setFleetProperties(70, true);
    fixture.coordinatorAddress = "c1";
    auto registrations = Fixture::registrations();
    registrations[0].isDraining = true;
    setRegistrations(fixture.board.fleetView, registrations);
    fixture.request("/quote/x", "id-1");
    fixture.replyToLastRequest(
        { .status = PlacementStatus::Granted, .grantNumber = 1, .endpoint = endpointInstanceId(registrations[0]) });
    CHECK(fixture.endpointTransport.sentTo == std::vector<std::string> { "127.0.0.1:9002" });
}

namespace {

HttpResponseHead eventStreamHead(const std::string& id)
{
    return { .status = 200,
        .headers = { { "Content-Type", "text/event-stream" }, { "Transfer-Encoding", "chunked" },
            { "X-Jasminestack-Attempt-Id", id }, { "X-Jasminestack-Server-Signature", "s" } } };
}

/// \brief Twelve endpoints; an endpoint process that ends is replaced by another one at the same address.
struct CrashingEndpoints {
    Fixture fixture;
    std::vector<Registration> registrations;
    int requestCount { 0 };

    CrashingEndpoints()
    {
        for (int i = 1; i <= 12; ++i)
            registrations.push_back({ .id = EndpointId { "e" + std::to_string(i) },
                .pool = modelPool,
                .address = "127.0.0.1:" + std::to_string(9'000 + i),
                .availabilityZone = "a",
                .slots = 4,
                .startedAtUnixMs = 1 });
        setRegistrations(fixture.board.fleetView, registrations);
    }

    /// \brief Sends a request. Its endpoint ends after the head of its response if the prompt contains \p cause, and
    /// answers it otherwise.
    /// \returns How many endpoints ended.
    int request(const std::string& promptParts, const std::string& cause)
    {
        std::string id = "id-" + std::to_string(++requestCount);
        std::size_t handled = fixture.endpointTransport.sentTo.size();
        int lostCount = 0;
        fixture.request("/quote/x", id, promptParts + ",own-" + id + ":100");
        for (; handled < fixture.endpointTransport.sentTo.size(); ++handled) {
            EndpointListener& listener = *fixture.endpointTransport.listeners[handled];
            listener.onConnected();
            listener.onHead(eventStreamHead(id));
            if (promptParts.find(cause) == std::string::npos) {
                listener.onBody("id: 1\ndata: x\n\n");
                listener.onEnd({ .isComplete = true, .requestMayHaveBeenSent = true, .responseStarted = true });
                continue;
            }
            ++lostCount;
            replaceProcess(fixture.endpointTransport.sentTo[handled]);
            listener.onEnd(
                { .requestMayHaveBeenSent = true, .responseStarted = true, .error = ErrorKind::AnswerTruncated });
        }
        fixture.clock.advance(Millis { 700 });
        fixture.router.updateQuarantines();
        return lostCount;
    }

private:
    void replaceProcess(const std::string& address)
    {
        for (Registration& registration : registrations) {
            if (registration.address == address)
                ++registration.startedAtUnixMs;
        }
        setRegistrations(fixture.board.fleetView, registrations);
    }
};

}

// Guards against requests that share one prompt part, but nothing else, and crash endpoint after endpoint.
TEST_CASE("requests with a prompt part that crashes endpoints stop reaching them", "[router][flow][crash]")
{
    CrashingEndpoints endpoints;
    int lostCount = 0;
    for (int i = 0; i < 15; ++i) {
        endpoints.request("aa:800", "dd");
        lostCount += endpoints.request("aa:800,dd:300", "dd");
    }
    // A verdict takes three losses; each request until then may cost a second endpoint by its retry.
    CHECK(lostCount <= 5);
    // Requests with the other parts are served as before.
    std::size_t sent = endpoints.fixture.endpointTransport.sentTo.size();
    CHECK(endpoints.request("aa:800", "dd") == 0);
    CHECK(endpoints.fixture.endpointTransport.sentTo.size() == sent + 1);
    CHECK(endpoints.fixture.callers.back()->body == "id: 1\ndata: x\n\n");
}

// Guards against requests that reach an engine after it has said that it leaves or wants a pause: new ones, ones whose
// connection is being made, and ones that a coordinator places there.
TEST_CASE("no request is sent to an endpoint that says it leaves or wants a pause", "[router][flow][notice]")
{
    Fixture fixture;
    bool isLeaving = GENERATE(true, false);
    auto answer = [&](std::size_t index) {
        HttpResponseHead head { .status = 503,
            .headers = { { "X-Jasminestack-Attempt-Id", "id-1" }, { "X-Jasminestack-Not-Executed", "1" } } };
        head.headers.emplace_back(isLeaving ? "Server-Leaving" : "Retry-After", isLeaving ? "1" : "30");
        fixture.endpointTransport.listeners[index]->onConnected();
        fixture.endpointTransport.listeners[index]->onHead(head);
        event_base_loop(fixture.base.get(), EVLOOP_NONBLOCK);
    };
    fixture.request("/quote/x", "id-1");
    std::string first = fixture.endpointTransport.sentTo.front();
    SECTION("a new request")
    {
        answer(0);
        for (int i = 2; i < 6; ++i)
            fixture.request("/quote/x", "id-" + std::to_string(i));
        REQUIRE(fixture.endpointTransport.sentTo.size() > 1);
    }
    SECTION("a request whose connection is being made")
    {
        fixture.request("/quote/x", "id-2", "aa:800,bb:200");
        REQUIRE(fixture.endpointTransport.sentTo.size() == 2);
        REQUIRE(fixture.endpointTransport.sentTo[1] == first);
        answer(0);
        CHECK(fixture.endpointTransport.cancelled == std::vector<ExchangeId> { 2 });
        REQUIRE(fixture.endpointTransport.sentTo.size() == 3);
        fixture.endpointTransport.sentTo.erase(fixture.endpointTransport.sentTo.begin() + 1);
    }
    SECTION("a request that a coordinator places there")
    {
        answer(0);
        fixture.router.setFleetProperties(70, true);
        fixture.coordinatorAddress = "c1";
        fixture.request("/quote/x", "id-2");
        std::size_t index = first == "127.0.0.1:9001" ? 0 : 1;
        fixture.replyToLastRequest({ .status = PlacementStatus::Granted,
            .grantNumber = 1,
            .endpoint = endpointInstanceId(Fixture::registrations()[index]) });
        REQUIRE(fixture.endpointTransport.sentTo.size() > 1);
    }
    for (std::size_t i = 1; i < fixture.endpointTransport.sentTo.size(); ++i)
        CHECK(fixture.endpointTransport.sentTo[i] != first);
}

namespace {

const std::string crashingParts = "aa:800,dd:300,own:100";

/// \brief The fixture's route may be resumed, and its requests may be sent again.
void allowRetries(Fixture& fixture)
{
    RoutingTable table = *fixture.board.table;
    for (Route& route : table.routes["shop"])
        route.isResumable = true;
    fixture.board.table = std::make_shared<RoutingTable>(table);
    fixture.router.setOptions({ .availabilityZone = "a", .retries = { .ratio = 1, .slack = 100 } });
}

/// \brief Quarantines the second part of \c crashingParts, as a peer's update does.
void quarantineCrashingPart(Fixture& fixture)
{
    CallerRequest request { .headers
        = { { "X-Jasminestack-Attempt-Id", "x" }, { "X-Jasminestack-Prefix-Hash", crashingParts } } };
    TraitHash part = fixture.protocol.decode(request).value().sharedParts.at(1);
    mergeEvidence(fixture.board.crashes, crashAttributionOptions,
        { .quarantines = { { .trait = part, .since = fixture.clock.now() } } }, fixture.clock.now());
}

}

// Guards against further losses by requests that were sent before the verdict.
TEST_CASE("a new quarantine ends requests whose answer has not begun", "[router][flow][crash]")
{
    Fixture fixture;
    RecordingCaller& waiting = fixture.request("/quote/x", "id-1", crashingParts);
    RecordingCaller& answered = fixture.request("/quote/x", "id-2", crashingParts);
    RecordingCaller& sound = fixture.request("/quote/x", "id-3", "aa:800,own:100");
    REQUIRE(fixture.endpointTransport.listeners.size() == 3);
    for (EndpointListener* listener : fixture.endpointTransport.listeners)
        listener->onConnected();
    fixture.endpointTransport.listeners[1]->onHead(eventStreamHead("id-2"));
    fixture.endpointTransport.listeners[1]->onBody("id: 1\ndata: x\n\n");
    quarantineCrashingPart(fixture);
    fixture.router.updateQuarantines();
    CHECK(fixture.endpointTransport.cancelled == std::vector<ExchangeId> { 1 });
    REQUIRE(waiting.head);
    CHECK(waiting.head->status == 502);
    CHECK(answered.body == "id: 1\ndata: x\n\n");
    CHECK(fixture.router.activeCount() == 2);
    CHECK(!sound.head);
}

// Guards against a second endpoint for a request whose trait is quarantined while its connection is being made.
TEST_CASE("a request with a quarantined part is not sent again", "[router][flow][crash]")
{
    Fixture fixture;
    RecordingCaller& caller = fixture.request("/quote/x", "id-1", crashingParts);
    quarantineCrashingPart(fixture);
    fixture.endpointTransport.listeners.front()->onEnd({ .error = ErrorKind::EndpointUnavailable });
    CHECK(fixture.endpointTransport.sentTo.size() == 1);
    REQUIRE(caller.head);
    CHECK(caller.head->status == 503);
    CHECK(caller.body.find("not_run") != std::string::npos);
}

// Guards against a lack of this process's descriptors that counts as the endpoint's failure or is tried elsewhere.
TEST_CASE("a request without a descriptor for its endpoint is refused as not run", "[router][flow][descriptors]")
{
    Fixture fixture;
    RecordingCaller& caller = fixture.request("/quote/x", "id-1");
    fixture.endpointTransport.listeners.front()->onEnd({ .error = ErrorKind::RouterOverloaded });
    CHECK(fixture.endpointTransport.sentTo.size() == 1);
    REQUIRE(caller.head);
    CHECK(caller.head->status == 503);
    CHECK(!findHeader(caller.head->headers, "Retry-After").empty());
    CHECK(caller.body.find("router_overloaded") != std::string::npos);
    CHECK(caller.body.find("not_run") != std::string::npos);
    for (const auto& [id, view] : fixture.board.fleetView.endpoints)
        CHECK(view.consecutiveConnectionFailures == 0);
}

// Guards against a retry that costs one more endpoint after two were lost with the same part.
TEST_CASE("a request is not retried after the second loss with one of its parts", "[router][flow][crash]")
{
    CrashingEndpoints endpoints;
    allowRetries(endpoints.fixture);
    CHECK(endpoints.request("aa:800,dd:300", "dd") == 2);
    CHECK(endpoints.request("aa:800,dd:300", "dd") == 1);
}

// Guards against a quarantine that never ends.
TEST_CASE("one request tests an old quarantine, and its answer ends it", "[router][flow][crash]")
{
    Fixture fixture;
    quarantineCrashingPart(fixture);
    CHECK(fixture.request("/quote/x", "id-1", crashingParts).head->status == 503);
    fixture.clock.advance(crashAttributionOptions.firstTrialDelay);
    fixture.request("/quote/x", "id-2", crashingParts);
    REQUIRE(fixture.endpointTransport.sentTo.size() == 1);
    CHECK(fixture.request("/quote/x", "id-3", crashingParts).head->status == 503);
    EndpointListener& trial = *fixture.endpointTransport.listeners.front();
    trial.onConnected();
    trial.onHead(eventStreamHead("id-2"));
    fixture.clock.advance(Millis { 100 });
    trial.onBody("id: 1\ndata: x\n\n");
    trial.onEnd({ .isComplete = true, .requestMayHaveBeenSent = true, .responseStarted = true });
    fixture.request("/quote/x", "id-4", crashingParts);
    CHECK(fixture.endpointTransport.sentTo.size() == 2);
}

// Guards against the accusation of streams that run at an endpoint when another request crashes it.
TEST_CASE("a stream whose events have arrived for a second is not suspected", "[router][flow][crash]")
{
    Fixture fixture;
    bool isLong = GENERATE(false, true);
    fixture.request("/quote/x", "id-1", crashingParts);
    EndpointListener& listener = *fixture.endpointTransport.listeners.front();
    listener.onConnected();
    listener.onHead(eventStreamHead("id-1"));
    listener.onBody("id: 1\ndata: x\n\n");
    fixture.clock.advance(Millis { isLong ? 1'000 : 900 });
    listener.onBody("id: 2\ndata: x\n\n");
    listener.onEnd({ .requestMayHaveBeenSent = true, .responseStarted = true, .error = ErrorKind::AnswerTruncated });
    CHECK(fixture.board.crashes.losses.empty() == isLong);
}

// Guards against an endpoint's end that clears the part which caused it.
TEST_CASE("an answer that ends with its connection clears no part", "[router][flow][crash]")
{
    Fixture fixture;
    bool isFramed = GENERATE(false, true);
    HttpResponseHead head = eventStreamHead("id-1");
    if (!isFramed)
        std::erase_if(head.headers, [](const auto& item) { return item.first == "Transfer-Encoding"; });
    fixture.request("/quote/x", "id-1", crashingParts);
    EndpointListener& listener = *fixture.endpointTransport.listeners.front();
    listener.onConnected();
    listener.onHead(head);
    listener.onBody("id: 1\ndata: x\n\n");
    listener.onEnd({ .isComplete = true, .requestMayHaveBeenSent = true, .responseStarted = true });
    CHECK(fixture.board.crashes.lastAnswered.empty() == !isFramed);
}

// Guards against a router that holds a whole answer, because a stream moved to another endpoint while its caller did
// not read.
TEST_CASE("the next endpoint of a stream is paused while the caller's send buffer is full", "[router][events]")
{
    Fixture fixture;
    allowRetries(fixture);
    RecordingCaller& caller = fixture.request("/quote/x", "id-1");
    caller.unsentBytes = 1U << 20U;
    EndpointListener& listener = *fixture.endpointTransport.listeners.front();
    listener.onHead(eventStreamHead("id-1"));
    listener.onBody("id: 1\ndata: a\n\ngarbage\n\n");
    REQUIRE(fixture.endpointTransport.sentTo.size() == 2);
    CHECK(fixture.endpointTransport.lastEventIds.back() == "1");
    CHECK(fixture.endpointTransport.paused == std::vector<ExchangeId> { 1, 2 });
}

// Guards against an answer that nobody has received, made of an exchange that ends as complete without a head.
TEST_CASE("an exchange that is complete without a head is a failed attempt", "[router][flow][late]")
{
    Fixture fixture;
    SECTION("before the response")
    {
        RecordingCaller& caller = fixture.request("/book/x", "id-1");
        EndpointListener& listener = *fixture.endpointTransport.listeners.front();
        listener.onConnected();
        listener.onEnd({ .isComplete = true, .requestMayHaveBeenSent = true });
        REQUIRE(caller.head);
        CHECK(caller.head->status == 502);
    }
    SECTION("at the second endpoint of a stream")
    {
        allowRetries(fixture);
        RecordingCaller& caller = fixture.request("/quote/x", "id-1");
        fixture.endpointTransport.listeners.front()->onHead(eventStreamHead("id-1"));
        fixture.endpointTransport.listeners.front()->onBody("id: 1\ndata: a\n\ngarbage\n\n");
        REQUIRE(fixture.endpointTransport.listeners.size() == 2);
        fixture.endpointTransport.listeners.back()->onEnd({ .isComplete = true, .requestMayHaveBeenSent = true });
        CHECK(caller.isAborted);
        CHECK(caller.body == "id: 1\ndata: a\n\n");
    }
}

// Guards against a retry that waits until the attempt counts as stalled, and against content that counts as the cause
// of a crash: an exchange that a late answer has ended.
TEST_CASE("a request is repeated at once after an answer to another one, which is no loss", "[router][flow][late]")
{
    Fixture fixture;
    allowRetries(fixture);
    fixture.request("/quote/x", "id-1");
    EndpointListener& listener = *fixture.endpointTransport.listeners.front();
    listener.onConnected();
    listener.onEnd({ .requestMayHaveBeenSent = true, .error = ErrorKind::AnswerMismatch });
    CHECK(fixture.endpointTransport.sentTo.size() == 2);
    CHECK(fixture.board.crashes.losses.empty());
}

// Guards against second answers of endpoints that no metric shows.
TEST_CASE("late answers are counted by what delimits them", "[router][flow][late]")
{
    Fixture fixture;
    bool endsWithConnection = GENERATE(false, true);
    fixture.request("/book/x", "id-1");
    fixture.endpointTransport.listeners.front()->onLateResponse(
        { .status = 200, .correlationValue = "id-0", .endsWithConnection = endsWithConnection });
    std::string framing = endsWithConnection ? "connection" : "length";
    std::string counter = "jasminestack_late_answers_total{framing=\"" + framing + "\",pool=\"desk\"} 1";
    CHECK(fixture.metrics.text().find(counter) != std::string::npos);
}

// Guards against a change of a header that means nothing to the router on a route without streams.
TEST_CASE("Last-Event-Id is passed on unread on routes without streams", "[router][events]")
{
    Fixture fixture;
    std::string value = GENERATE(as<std::string> {}, "7", "007", "seven");
    static_cast<void>(fixture.request("/book/x", "id-1", "", value));
    REQUIRE(fixture.endpointTransport.lastEventIds.size() == 1);
    CHECK(fixture.endpointTransport.lastEventIds.front() == value);
}

// Guards against an exception that ends the process, and against a request that stays in progress after one.
TEST_CASE("a request that can't be sent for lack of memory is refused as not run", "[router][callbacks]")
{
    Fixture fixture;
    fixture.endpointTransport.throwsAtStart = true;
    RecordingCaller& caller = fixture.request("/quote/1", "id-1");
    REQUIRE(caller.head);
    CHECK(caller.head->status == 503);
    CHECK(caller.body.find(R"("run_status":"not_run")") != std::string::npos);
    CHECK(fixture.router.activeCount() == 0);
    for (const auto& [id, view] : fixture.board.fleetView.endpoints)
        CHECK(view.load().inFlight == 0);
    fixture.endpointTransport.throwsAtStart = false;
    CHECK_FALSE(fixture.request("/quote/1", "id-2").head);
    CHECK(fixture.endpointTransport.sentTo.size() == 1);
}

// Guards against a stream that goes on at another endpoint although an event of the first one was read and not relayed.
TEST_CASE("a stream whose relay throws is broken off and not sent again", "[router][callbacks]")
{
    Fixture fixture;
    RecordingCaller& caller = fixture.request("/quote/1", "id-1");
    REQUIRE(fixture.endpointTransport.listeners.size() == 1);
    EndpointListener& listener = *fixture.endpointTransport.listeners[0];
    listener.onConnected();
    listener.onHead({ .status = 200,
        .headers = { { "Content-Type", "text/event-stream" }, { "Transfer-Encoding", "chunked" },
            { "X-Jasminestack-Attempt-Id", "id-1" }, { "X-Jasminestack-Server-Signature", "sig-id-1" } } });
    listener.onBody("id: 1\ndata: a\n\n");
    CHECK(caller.body == "id: 1\ndata: a\n\n");
    caller.throwsAtChunk = true;
    listener.onBody("id: 2\ndata: b\n\n");
    CHECK(caller.isAborted);
    CHECK(fixture.endpointTransport.cancelled.size() == 1);
    CHECK(fixture.endpointTransport.sentTo.size() == 1);
    CHECK(fixture.router.activeCount() == 0);
}

// Guards against an answer from which the caller concludes that its request has not run.
TEST_CASE("a request that fails after it was sent is not reported as not run", "[router][callbacks]")
{
    Fixture fixture;
    RecordingCaller& caller = fixture.request("/book/1", "id-1");
    REQUIRE(fixture.endpointTransport.listeners.size() == 1);
    EndpointListener& listener = *fixture.endpointTransport.listeners[0];
    listener.onConnected();
    // What the endpoint client reports when its own handling of the answer throws.
    listener.onEnd({ .requestMayHaveBeenSent = true, .responseStarted = true, .error = ErrorKind::Internal });
    REQUIRE(caller.head);
    CHECK(caller.head->status == 502);
    CHECK(caller.body.find(R"("run_status":"unknown")") != std::string::npos);
    CHECK(fixture.router.activeCount() == 0);
}
