#include "LoopbackHarness.h"
#include "base/Random.h"
#include "net/EndpointClient.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "net/Socket.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <functional>
#include <optional>

/// \file
/// \brief The clients of endpoints and of the platform where a server sends a response to an earlier request.

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

struct RecordingListener final : EndpointListener {
    std::optional<EndpointExchangeResult> result;
    std::vector<std::string> lateTo; ///< Correlation values of late responses.
    int status { 0 };
    std::string body;

    void onConnected() override { }
    void onLateResponse(const LateResponse& response) override { lateTo.emplace_back(response.correlationValue); }
    void onHead(const HttpResponseHead& head) override { status = head.status; }
    void onBody(std::string_view bytes) override { body.append(bytes); }
    void onEnd(const EndpointExchangeResult& end) override { result = end; }
};

/// \returns A response to the request \p id; \p fields frame its body.
std::string response(std::string_view id, std::string_view fields, std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(id) + "\r\n" + std::string(fields) + "\r\n" + std::string(body);
}

std::string framedResponse(std::string_view id, std::string_view body, std::string_view extraFields = "")
{
    return response(id, "Content-Length: " + std::to_string(body.size()) + "\r\n" + std::string(extraFields), body);
}

struct Loop {
    EventBasePointer base { makePrioritizedEventBase() };
    SystemClock clock;

    void runUntil(const std::function<bool()>& isReached) const
    {
        auto end = clock.now() + Millis { 5'000 };
        while (!isReached()) {
            if (clock.now() >= end)
                FAIL("not reached in time");
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        }
    }

    [[nodiscard]] BlockingSocket accept(const ListeningSocket& listener) const
    {
        runUntil([&] { return listener.hasPendingConnection(0); });
        return listener.accept();
    }

    /// \brief Reads the head of a request.
    void readRequest(BlockingSocket& server) const
    {
        runUntil([&] {
            pollfd state { .fd = server.descriptor(), .events = POLLIN };
            return poll(&state, 1, 0) > 0;
        });
        static_cast<void>(server.readUntil("\r\n\r\n"));
    }
};

/// \brief A client that keeps the connection of its first exchange, the one with the id 1.
struct KeptConnection : Loop {
    EndpointClient client { *base, clock, {} };
    ListeningSocket listeningSocket;
    RecordingListener first;
    RecordingListener second;
    BlockingSocket endpoint;

    explicit KeptConnection(const std::string& method = "GET")
        : endpoint(answerFirst(method))
    {
    }

    [[nodiscard]] EndpointRequest request(const std::string& id, const std::string& method) const
    {
        return { .address = listeningSocket.address(),
            .method = method,
            .target = "/",
            .correlationHeader = "X-Id",
            .correlationValue = id,
            .firstByteTimeout = Millis { 60'000 },
            .responseIdleTimeout = Millis { 60'000 } };
    }

    /// \brief Starts the second exchange on the kept connection.
    void startSecond(const EndpointRequest& secondRequest)
    {
        static_cast<void>(client.start(secondRequest, second));
        readRequest(endpoint);
    }

    void runUntilSecondEnds()
    {
        runUntil([this] { return second.result.has_value(); });
    }

private:
    BlockingSocket answerFirst(const std::string& method)
    {
        static_cast<void>(client.start(request("1", method), first));
        BlockingSocket connection = accept(listeningSocket);
        readRequest(connection);
        connection.write(method == "HEAD" ? response("1", "Content-Length: 5\r\n", "") : framedResponse("1", "first"));
        runUntil([this] { return first.result.has_value(); });
        return connection;
    }
};

}

// Guards against a request that waits for its timeout although no response to it can follow: a late response without a
// length takes all that the connection still brings.
TEST_CASE("a late response without a length ends the exchange at once", "[endpoint][late]")
{
    KeptConnection kept;
    kept.startSecond(kept.request("2", "GET"));
    kept.endpoint.write(response("1", "", "first"));
    kept.runUntilSecondEnds();
    CHECK(!kept.second.result->isComplete);
    CHECK(kept.second.result->error == ErrorKind::AnswerMismatch);
    CHECK(kept.second.result->requestMayHaveBeenSent);
    CHECK(kept.second.lateTo == std::vector<std::string> { "1" });
    CHECK(kept.endpoint.readToEnd().empty()); // The connection is closed.
}

// Guards against a lost endpoint that counts as one that answered, and against the longer timeout of begun responses.
TEST_CASE("a late response does not begin the response", "[endpoint][late]")
{
    KeptConnection kept;
    EndpointRequest request = kept.request("2", "GET");
    SECTION("the endpoint closes")
    {
        kept.startSecond(request);
        kept.endpoint.write(framedResponse("1", "first"));
        kept.runUntil([&] { return !kept.second.lateTo.empty(); });
        kept.endpoint.close();
        kept.runUntilSecondEnds();
        CHECK(kept.second.result->error == ErrorKind::EndpointLost);
    }
    SECTION("the endpoint closes within the late response")
    {
        kept.startSecond(request);
        kept.endpoint.write(response("1", "Content-Length: 5\r\n", "fir"));
        kept.runUntil([&] { return !kept.second.lateTo.empty(); });
        kept.endpoint.close();
        kept.runUntilSecondEnds();
        CHECK(kept.second.result->error == ErrorKind::EndpointLost);
    }
    SECTION("the endpoint is silent")
    {
        request.firstByteTimeout = Millis { 300 };
        kept.startSecond(request);
        kept.endpoint.write(framedResponse("1", "first"));
        kept.runUntilSecondEnds();
        CHECK(kept.second.result->error == ErrorKind::EndpointTimeout);
    }
    SECTION("the endpoint is silent within the late response")
    {
        request.firstByteTimeout = Millis { 300 };
        kept.startSecond(request);
        kept.endpoint.write(response("1", "Content-Length: 5\r\n", "fir"));
        kept.runUntilSecondEnds();
        CHECK(kept.second.result->error == ErrorKind::EndpointTimeout);
    }
    CHECK(!kept.second.result->isComplete);
    CHECK(!kept.second.result->responseStarted);
}

// Guards against responses that are lost because one or more late ones come before them.
TEST_CASE("a response after late ones is received whole", "[endpoint][late]")
{
    KeptConnection kept;
    kept.startSecond(kept.request("2", "GET"));
    std::string late = GENERATE(as<std::string> {}, framedResponse("1", "first"),
        framedResponse("1", "first") + framedResponse("1", "first"),
        response("1", "Transfer-Encoding: chunked\r\n", "5\r\nfirst\r\n0\r\n\r\n"),
        "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n");
    std::size_t firstBytes = GENERATE(std::size_t { 0 }, std::size_t { 20 }, std::size_t { 45 });
    CAPTURE(late, firstBytes);
    std::string bytes = late + framedResponse("2", "second");
    kept.endpoint.write(bytes.substr(0, firstBytes));
    event_base_loop(kept.base.get(), EVLOOP_NONBLOCK);
    kept.endpoint.write(bytes.substr(firstBytes));
    kept.runUntilSecondEnds();
    CHECK(kept.second.result->isComplete);
    CHECK(kept.second.result->responseStarted);
    CHECK(kept.second.body == "second");
    CHECK(kept.client.idleConnectionCount() == 1);
}

// Guards against an exchange that lasts as long as its endpoint sends late responses, and a log line for each of them.
TEST_CASE("late responses without end end the exchange", "[endpoint][late]")
{
    KeptConnection kept;
    kept.startSecond(kept.request("2", "GET"));
    std::string responses;
    for (int i = 0; i < 100; ++i)
        responses += framedResponse("1", "first");
    kept.endpoint.write(responses);
    kept.runUntilSecondEnds();
    CHECK(kept.second.result->error == ErrorKind::AnswerMismatch);
    CHECK(kept.second.lateTo.size() < 20);
}

namespace {

/// \brief What an endpoint sends where the response to the request with the id 2 is due, and what a client makes of it.
struct Script {
    std::string bytes;
    std::size_t lateResponses { 0 }; ///< Up to the first one without a length.
    bool hasUnframedLate { false };
    std::string body; ///< Of the own response; empty: there is none.
    bool endsWithConnection { false }; ///< The own response has no length.
};

std::string randomResponse(Random& random, std::string_view id, std::string_view body)
{
    switch (random.uniformInteger(4)) {
    case 0:
        return framedResponse(id, body);
    case 1:
        return framedResponse(id, body, "Keep-Alive: timeout=5\r\n");
    case 2:
        return response(id, "Transfer-Encoding: chunked\r\n",
            LoopbackDaemon::encodeChunk(body.substr(0, 2)) + LoopbackDaemon::encodeChunk(body.substr(2)) + "0\r\n\r\n");
    default:
        return "HTTP/1.1 100 Continue\r\n\r\n" + framedResponse(id, body);
    }
}

Script randomScript(Random& random)
{
    Script script;
    std::uint64_t lateResponses = random.uniformInteger(4);
    for (std::uint64_t i = 0; i < lateResponses; ++i) {
        bool isUnframed = random.uniformInteger(4) == 0;
        script.bytes += isUnframed ? response("1", "", "late") : randomResponse(random, "1", "late");
        script.lateResponses += script.hasUnframedLate ? 0 : 1;
        script.hasUnframedLate = script.hasUnframedLate || isUnframed;
    }
    if (random.uniformInteger(4) == 0)
        return script;
    script.body = "own body";
    script.endsWithConnection = random.uniformInteger(3) == 0;
    script.bytes
        += script.endsWithConnection ? response("2", "", script.body) : randomResponse(random, "2", script.body);
    return script;
}

}

// Guards against foreign or missing bytes that pass as a response, in any order of late and own responses, framings and
// reads.
TEST_CASE("any sequence of late and own responses gives the own one or a failure", "[endpoint][late]")
{
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Random random(seed);
        Script script = randomScript(random);
        CAPTURE(seed, script.bytes);
        KeptConnection kept;
        kept.startSecond(kept.request("2", "GET"));
        std::string_view rest = script.bytes;
        while (!rest.empty()) {
            std::size_t length = std::min<std::size_t>(rest.size(), 1 + random.uniformInteger(rest.size() + 40));
            static_cast<void>(kept.endpoint.writeSome(rest.substr(0, length), 1'000));
            rest.remove_prefix(length);
            event_base_loop(kept.base.get(), EVLOOP_NONBLOCK);
        }
        shutdown(kept.endpoint.descriptor(), SHUT_WR);
        kept.runUntilSecondEnds();
        const EndpointExchangeResult& result = *kept.second.result;
        bool isAnswered = !script.hasUnframedLate && !script.body.empty();
        CHECK(result.isComplete == isAnswered);
        CHECK(result.responseStarted == isAnswered);
        CHECK(kept.second.status == (isAnswered ? 200 : 0));
        CHECK(kept.second.body == (isAnswered ? script.body : ""));
        CHECK(kept.second.lateTo.size() == script.lateResponses);
        if (!isAnswered)
            CHECK(result.error == (script.hasUnframedLate ? ErrorKind::AnswerMismatch : ErrorKind::EndpointLost));
        if (result.isComplete && script.endsWithConnection)
            CHECK(kept.client.idleConnectionCount() == 0);
    }
}

// Guards against requests on a connection that its endpoint has announced to close.
TEST_CASE("a connection that a late response says to close is not kept", "[endpoint][late]")
{
    KeptConnection kept;
    kept.startSecond(kept.request("2", "GET"));
    kept.endpoint.write(framedResponse("1", "first", "Connection: close\r\n") + framedResponse("2", "second"));
    kept.runUntilSecondEnds();
    CHECK(kept.second.result->isComplete);
    CHECK(kept.second.body == "second");
    CHECK(kept.client.idleConnectionCount() == 0);
}

// Guards against a response to GET that is taken for one to HEAD, or the other way round: their bodies differ, so that
// the end of a late one is not known.
TEST_CASE("connections are not shared by HEAD and other methods", "[endpoint][late]")
{
    SECTION("a late response to GET")
    {
        KeptConnection kept;
        kept.startSecond(kept.request("2", "HEAD"));
        kept.endpoint.write(framedResponse("1", "first") + response("2", "Content-Length: 6\r\n", ""));
        kept.runUntilSecondEnds();
        CHECK(!kept.second.result->isComplete);
        CHECK(kept.second.result->error == ErrorKind::AnswerMismatch);
    }
    SECTION("a late response to HEAD")
    {
        KeptConnection kept("HEAD");
        CHECK(kept.client.idleConnectionCount() == 0);
        static_cast<void>(kept.client.start(kept.request("2", "GET"), kept.second));
        BlockingSocket connection = kept.accept(kept.listeningSocket);
        kept.readRequest(connection);
        connection.write(framedResponse("2", "second"));
        kept.runUntilSecondEnds();
        CHECK(kept.second.body == "second");
    }
}

// Guards against a second response of the store or of a status address that is taken for the next request's: these
// responses bear no id.
TEST_CASE("the platform's client opens a connection for each request", "[http][late]")
{
    Loop loop;
    HttpClient client(*loop.base);
    ListeningSocket server;
    for (const char* body : { "first", "second" }) {
        std::optional<HttpResponse> received;
        client.send({ .address = server.address(), .target = "/" }, [&](const Result<HttpResponse>& result) {
            REQUIRE(result);
            received = result.value();
        });
        BlockingSocket connection = loop.accept(server);
        loop.readRequest(connection);
        connection.write(framedResponse("1", body) + framedResponse("1", body));
        loop.runUntil([&] { return received.has_value(); });
        CHECK(received->body == body);
    }
}
