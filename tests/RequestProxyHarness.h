#pragma once

#include "base/Hash.h"
#include "base/Random.h"
#include "core/EndpointHealth.h"
#include "daemon/RequestProxy.h"
#include "net/HttpResponseParser.h"

#include <list>
#include <map>
#include <new>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// \file
/// \brief A RequestProxy between a fake caller and a fake endpoint transport, with a fake clock.

namespace jasminestack::test {

/// \brief Records what a caller receives.
class FakeCaller final : public CallerExchange {
public:
    void setListener(CallerListener& theListener) override { listener = &theListener; }
    void sendResponse(const CallerResponseHead& theHead, std::string_view bytes) override
    {
        head = theHead;
        body = bytes;
        hasEnded = true;
    }
    void startStream(const CallerResponseHead& theHead) override
    {
        head = theHead;
        isStreaming = true;
    }
    void sendChunk(std::string_view bytes) override { body.append(bytes); }
    void endStream() override { hasEnded = true; }
    void abort() override { isAborted = true; }
    [[nodiscard]] std::size_t bufferedBytes() const override { return bufferedByteCount; }

    [[nodiscard]] std::string errorKind() const { return error()["kind"].get<std::string>(); }
    [[nodiscard]] std::string runStatus() const { return error()["run_status"].get<std::string>(); }
    [[nodiscard]] bool isAwaitingResponse() const { return !hasEnded && !isAborted && !isStreaming; }

    CallerListener* listener { nullptr };
    CallerResponseHead head;
    std::string body;
    std::size_t bufferedByteCount { 0 };
    bool isStreaming { false };
    bool hasEnded { false };
    bool isAborted { false };

private:
    [[nodiscard]] nlohmann::json error() const
    {
        std::size_t start = isStreaming ? body.rfind("data: ") + 6 : 0;
        return nlohmann::json::parse(body.substr(start)).at("error");
    }
};

/// \brief Records exchanges; tests call the listeners in place of the endpoints.
class FakeEndpointTransport final : public EndpointTransport {
public:
    struct Exchange {
        EndpointRequest request;
        EndpointListener* listener { nullptr };
        bool isCancelled { false };
        bool isPaused { false };

        [[nodiscard]] std::string attemptId() const { return std::string(findHeader(request.headers, "X-Request-Id")); }

        void sendHead(int status, std::vector<std::pair<std::string, std::string>> headers = {})
        {
            headers.emplace_back("X-Request-Id", attemptId());
            listener->onConnected();
            listener->onHead({ .status = status, .headers = std::move(headers) });
        }
        void startEventStream() { sendHead(200, { { "Content-Type", "text/event-stream" } }); }
        void sendBody(std::string_view bytes) const { listener->onBody(bytes); }
        void endExchange(bool complete = true, ErrorKind error = ErrorKind::EndpointLost) const
        {
            listener->onEnd({ .isComplete = complete, .requestMayHaveBeenSent = true, .error = error });
        }
        void failToConnect() const
        {
            listener->onEnd(
                { .isComplete = false, .requestMayHaveBeenSent = false, .error = ErrorKind::EndpointUnavailable });
        }
        void respond(int status, std::string_view bytes, std::vector<std::pair<std::string, std::string>> headers = {})
        {
            sendHead(status, std::move(headers));
            if (!bytes.empty())
                sendBody(bytes);
            endExchange();
        }
    };

    [[nodiscard]] ExchangeId start(const EndpointRequest& request, EndpointListener& listener) override
    {
        exchanges.push_back({ .request = request, .listener = &listener });
        return exchanges.size();
    }
    void cancel(ExchangeId id) override { exchanges.at(id - 1).isCancelled = true; }
    void setPaused(ExchangeId id, bool isPaused) override { exchanges.at(id - 1).isPaused = isPaused; }

    std::deque<Exchange> exchanges;
};

inline std::string tokenEvent(unsigned index) // SSE event of a model engine with one token.
{
    return "id: " + std::to_string(index) + "\ndata: {\"t\":" + std::to_string(index) + "}\n\n";
}

inline const std::string endMarkerEvent = "data: [DONE]\n\n";

/// \brief A pool "assistants" of two engines with one slot each, and a pool "desk" of one plain service.
struct RequestProxyHarness {
    Configuration configuration;
    FakeClock clock;
    Random random { 7 };
    SelfState self;
    MemberTable members;
    EndpointTable endpoints;
    SchedulingStatePointer scheduling = makeSchedulingState({});
    RetryBudget retryBudget;
    CrashGuardState crashGuard;
    Metrics metrics;
    std::vector<CrashMark> crashMarks;
    std::string spans;
    bool failsTracing { false }; ///< Whether the end of a span throws.
    Tracer tracer { { .batchSpans = 1 }, clock, random, [this](std::string_view text) {
                       if (failsTracing)
                           throw std::bad_alloc();
                       spans.append(text);
                   } };
    FakeEndpointTransport transport;
    std::list<FakeCaller> callers;
    RequestProxy proxy;

    /// \param claims Not used during the construction, so it may be constructed later.
    explicit RequestProxyHarness(const RequestProxyOptions& options = {}, ClaimService* claims = nullptr)
        : configuration(makeConfiguration())
        , proxy({ .clock = clock,
                    .random = random,
                    .configuration = [this]() -> const Configuration& { return configuration; },
                    .scheduling = *scheduling,
                    .self = self,
                    .members = members,
                    .endpoints = endpoints,
                    .transport = transport,
                    .metrics = metrics,
                    .tracer = tracer,
                    .retryBudget = retryBudget,
                    .crashGuard = crashGuard,
                    .sendCrashMark = [this](const CrashMark& mark) { crashMarks.push_back(mark); },
                    .claims = claims },
              options)
    {
        self.id = DaemonId { "daemon-1" };
        self.ready = true;
        applyConfiguration(endpoints, configuration);
    }

    static Configuration makeConfiguration()
    {
        Configuration testConfiguration { .version = 1 };
        WorkspaceConfig workspace { .id = WorkspaceId { "ws-1" }, .keyHashes = { "sha256:" + sha256Hex("key-1") } };
        testConfiguration.workspaces.emplace(workspace.id, workspace);
        PoolConfig engines { .id = PoolId { "assistants" }, .models = { "care-9b" } };
        for (const char* name : { "engine-1", "engine-2" })
            engines.endpoints.emplace(
                EndpointId { name }, EndpointConfig { .id = EndpointId { name }, .address = name, .slots = 1 });
        PoolConfig desk { .id = PoolId { "desk" }, .kind = PoolKind::Service };
        desk.endpoints.emplace(
            EndpointId { "desk-1" }, EndpointConfig { .id = EndpointId { "desk-1" }, .address = "desk-1", .slots = 1 });
        testConfiguration.pools = { { engines.id, engines }, { desk.id, desk } };
        testConfiguration.routes["booking"] = { .prefix = "/booking/", .pool = desk.id };
        return testConfiguration;
    }

    FakeCaller& send(CallerRequest request)
    {
        request.headers.emplace_back("Authorization", "Bearer key-1");
        FakeCaller& caller = callers.emplace_back();
        proxy.onRequest(std::move(request), caller);
        return caller;
    }
    FakeCaller& sendChat(bool isStreaming = true, std::vector<std::pair<std::string, std::string>> headers = {})
    {
        std::string body = R"({"model":"care-9b","messages":[{"role":"user","content":"water lilies"}],"stream":)";
        body += isStreaming ? "true}" : "false}";
        return send({ .method = "POST",
            .target = "/v1/chat/completions",
            .headers = std::move(headers),
            .body = std::move(body) });
    }
    FakeCaller& sendBooking(const char* method = "POST")
    {
        return send({ .method = method, .target = "/booking/slots?day=3", .body = "slot" });
    }

    /// \returns The last exchange that the proxy started.
    FakeEndpointTransport::Exchange& latestExchange() { return transport.exchanges.back(); }

    /// \returns The exchange number \p index in the order of their starts, cancellations included.
    FakeEndpointTransport::Exchange& exchange(std::size_t index) { return transport.exchanges.at(index); }

    void advance(Millis step)
    {
        clock.advance(step);
        proxy.tick();
    }

    [[nodiscard]] std::uint32_t inFlightCount() const
    {
        std::uint32_t sum = 0;
        for (const auto& [id, endpoint] : endpoints.endpoints)
            sum += endpoint.inFlight;
        return sum;
    }
    [[nodiscard]] double servedCost() const
    {
        double sum = 0;
        for (const WorkspaceStatus& status :
            workspaceStatus(*scheduling, { self, configuration, members, const_cast<EndpointTable&>(endpoints) }))
            sum += status.servedCost;
        return sum;
    }
};

}
