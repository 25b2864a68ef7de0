#include "LoopbackHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;
using namespace std::string_literals;

namespace {

const std::string token0 = "id: 0\ndata: {\"t\":0}\n\n";
const std::string token1 = "id: 1\ndata: {\"t\":1}\n\n";
const std::string endMarker = "data: [DONE]\n\n";
const std::string lastChunk = "0\r\n\r\n";

}

// Guards against tokens that are buffered until the end of the stream, and against connections that are not reused.
TEST_CASE("each token is forwarded as it is received, and connections are reused", "[loopback]")
{
    LoopbackDaemon daemon;
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::chatRequest());
    BlockingSocket engine = daemon.engine.accept();
    std::string head = engine.readUntil("\r\n\r\n");
    CHECK(head.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"));
    static_cast<void>(engine.readUntil("true}"));
    engine.write(LoopbackDaemon::eventStreamHead(head) + LoopbackDaemon::encodeChunk(token0));
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(caller.readUntil(token0).find("\r\n" + token0) != std::string::npos);
    engine.write(LoopbackDaemon::encodeChunk(token1 + endMarker) + lastChunk);
    static_cast<void>(caller.readUntil(lastChunk));

    caller.write(LoopbackDaemon::chatRequest());
    head = engine.readUntil("\r\n\r\n");
    static_cast<void>(engine.readUntil("true}"));
    engine.write(LoopbackDaemon::eventStreamHead(head) + LoopbackDaemon::encodeChunk(endMarker) + lastChunk);
    static_cast<void>(caller.readUntil(lastChunk));
}

// Guards against an engine that continues to generate after the caller closed or reset its connection.
TEST_CASE("a caller's disconnect cancels its stream at the engine", "[loopback]")
{
    LoopbackDaemon daemon;
    bool closesWithReset = GENERATE(false, true);
    bool streamStarted = GENERATE(false, true);
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::chatRequest());
    BlockingSocket engine = daemon.engine.accept();
    std::string head = engine.readUntil("\r\n\r\n");
    if (streamStarted) {
        engine.write(LoopbackDaemon::eventStreamHead(head) + LoopbackDaemon::encodeChunk(token0));
        static_cast<void>(caller.readUntil(token0));
    }
    if (closesWithReset)
        caller.closeWithReset();
    else
        caller.close();
    BlockingSocket cancelConnection = daemon.engine.accept();
    CHECK(cancelConnection.readUntil("\r\n").starts_with(
        "DELETE /v1/streams/" + headerValue(head, "X-Request-Id") + " "));
    static_cast<void>(engine.readToEnd());
}

// Guards against a queued request that stays queued, and later occupies a slot, after its caller has disconnected.
TEST_CASE("a caller's disconnect removes its request from the queue", "[loopback]")
{
    LoopbackDaemon daemon({}, 1);
    BlockingSocket first = daemon.connectCaller();
    first.write(LoopbackDaemon::request("GET", "/booking/first"));
    BlockingSocket service = daemon.serviceListener.accept();
    std::string head = service.readUntil("\r\n\r\n");
    BlockingSocket second = daemon.connectCaller();
    second.write(LoopbackDaemon::request("GET", "/booking/second"));
    BlockingSocket third = daemon.connectCaller();
    third.write(LoopbackDaemon::request("GET", "/booking/third"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    second.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    service.write(LoopbackDaemon::response(head, "1"));
    CHECK(first.readUntil("\r\n\r\n1").starts_with("HTTP/1.1 200"));
    CHECK(service.readUntil("\r\n\r\n").starts_with("GET /booking/third "));
}

// Guards against evhttp's abort when a pipelined request is received while a response is in progress.
TEST_CASE("pipelined requests receive their responses in order", "[loopback]")
{
    LoopbackDaemon daemon;
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::request("GET", "/booking/a") + LoopbackDaemon::request("GET", "/booking/b"));
    BlockingSocket service = daemon.serviceListener.accept();
    for (const char* responseText : { "answer-a", "answer-b" }) {
        std::string head = service.readUntil("\r\n\r\n");
        // Another request is received while the response to the first is in progress.
        caller.write("GET /v1/models HTTP/1.1\r\n");
        caller.write("Host: x\r\nAuthorization: Bearer key-1\r\n\r\n");
        service.write(LoopbackDaemon::response(head, responseText));
        static_cast<void>(caller.readUntil(responseText));
    }
    static_cast<void>(caller.readUntil("care-9b"));
    static_cast<void>(caller.readUntil("care-9b"));
}

// Guards against unbounded buffering for a caller that does not read, and against lost bytes while reading from the
// endpoint is paused.
TEST_CASE("a caller that does not read pauses its endpoint, and no bytes are lost", "[loopback]")
{
    LoopbackDaemon daemon;
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::request("GET", "/booking/large"));
    BlockingSocket service = daemon.serviceListener.accept();
    std::string head = service.readUntil("\r\n\r\n");
    constexpr std::size_t bodyBytes = 64U << 20U;
    std::string body(bodyBytes, 'x');
    for (std::size_t i = 0; i < bodyBytes; i += 4096)
        body[i] = static_cast<char>('a' + (i / 4096) % 26);
    std::string responseText = LoopbackDaemon::response(head, body);
    std::size_t sentBytes = service.writeSome(responseText, 500);
    // Socket buffers on loopback hold up to about 6 MB in each of the two connections.
    CHECK(sentBytes < 32U << 20U);
    std::thread writer([&] { service.write(std::string_view(responseText).substr(sentBytes)); });
    std::string received = caller.readUntil("\r\n0\r\n\r\n");
    writer.join();
    std::string receivedBody;
    std::size_t position = received.find("\r\n\r\n") + 4;
    while (position < received.size()) {
        std::size_t size = std::stoul(received.substr(position, 16), nullptr, 16);
        position = received.find("\r\n", position) + 2;
        receivedBody.append(received, position, size);
        position += size + 2;
    }
    CHECK(receivedBody == body);
}

// Guards against waiting forever for an endpoint that sends no bytes before or after its response head.
TEST_CASE("a silent endpoint causes a timeout", "[loopback]")
{
    DaemonSettings settings;
    settings.endpoints.firstByteTimeout = Millis { 150 };
    settings.endpoints.idleTimeout = Millis { 150 };
    LoopbackDaemon daemon(settings);
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::request("POST", "/booking/slot", "x"));
    BlockingSocket service = daemon.serviceListener.accept();
    std::string head = service.readUntil("\r\n\r\n");
    bool headSent = GENERATE(false, true);
    if (headSent)
        service.write(
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Request-Id: " + headerValue(head, "X-Request-Id") + "\r\n\r\n1");
    std::string responseText = caller.readUntil("}}");
    CHECK(responseText.starts_with("HTTP/1.1 504"));
    CHECK(responseText.find(R"("kind":"endpoint_timeout")") != std::string::npos);
    CHECK(responseText.find(R"("run_status":"unknown")") != std::string::npos);
    static_cast<void>(service.readToEnd());
}

// Guards against resuming a stream over the connection that timed out, or over another idle connection to the same
// endpoint.
TEST_CASE("a stream whose connection times out is resumed over a new connection", "[loopback]")
{
    DaemonSettings settings;
    settings.endpoints.idleTimeout = Millis { 150 };
    LoopbackDaemon daemon(settings);
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::chatRequest());
    BlockingSocket engine = daemon.engine.accept();
    std::string head = engine.readUntil("\r\n\r\n");
    engine.write(LoopbackDaemon::eventStreamHead(head) + LoopbackDaemon::encodeChunk(token0));
    static_cast<void>(caller.readUntil(token0));
    BlockingSocket resumeConnection = daemon.engine.accept();
    std::string resumeHead = resumeConnection.readUntil("\r\n\r\n");
    INFO(resumeHead);
    CHECK(resumeHead.starts_with("GET /v1/streams/" + headerValue(head, "X-Request-Id") + "?from=1 "));
    resumeConnection.write(
        LoopbackDaemon::eventStreamHead(resumeHead) + LoopbackDaemon::encodeChunk(token1 + endMarker) + lastChunk);
    CHECK(caller.readUntil(lastChunk).find(token1 + endMarker) != std::string::npos);
}

// Guards against pieces that no run made in what a caller of the daemon receives, whole or in parts, and against a
// spoilt stream that looks complete.
TEST_CASE("a spoilt event of an engine never reaches a caller of the daemon", "[loopback][events]")
{
    LoopbackDaemon daemon;
    bool isResumed = GENERATE(true, false);
    bool isSplit = GENERATE(false, true);
    std::string spoilt = GENERATE("garbage\n\n" + token1, "data: {\"t\":9}\n\n" + token1,
        "id: one\ndata: {\"t\":1}\n\n"s, "garbage" + token1, "id: 1\rx\ndata: {\"t\":1}\n\n"s, "\xff\n\n" + token1);
    CAPTURE(spoilt, isResumed, isSplit);
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::chatRequest());
    BlockingSocket engine = daemon.engine.accept();
    std::string head = engine.readUntil("\r\n\r\n");
    static_cast<void>(engine.readUntil("true}"));
    std::size_t firstBytes = isSplit ? spoilt.size() / 2 : spoilt.size();
    engine.write(
        LoopbackDaemon::eventStreamHead(head) + LoopbackDaemon::encodeChunk(token0 + spoilt.substr(0, firstBytes)));
    std::string received;
    if (isSplit) {
        received = caller.readUntil(token0);
        engine.writeSome(LoopbackDaemon::encodeChunk(spoilt.substr(firstBytes) + endMarker) + lastChunk, 500);
    }
    REQUIRE(daemon.engine.hasPendingConnection(2'000));
    BlockingSocket resumeConnection = daemon.engine.accept();
    std::string resumeHead = resumeConnection.readUntil("\r\n\r\n");
    CHECK(resumeHead.starts_with("GET /v1/streams/" + headerValue(head, "X-Request-Id") + "?from=1 "));
    if (isResumed)
        resumeConnection.write(LoopbackDaemon::eventStreamHead(resumeHead)
            + LoopbackDaemon::encodeChunk(token0 + token1 + endMarker) + lastChunk);
    else
        resumeConnection.write(LoopbackDaemon::response(resumeHead, "{}", 404));
    received += caller.readUntil(lastChunk);
    CHECK(received.find(spoilt.substr(0, spoilt.find('\n'))) == std::string::npos);
    CHECK(received.find(token0) != std::string::npos);
    CHECK((received.find(token1 + endMarker) != std::string::npos) == isResumed);
    CHECK((received.find("event: error\n") != std::string::npos) != isResumed);
    CHECK((received.find("[DONE]") != std::string::npos) == isResumed);
}

// Guards against a graceful shutdown that interrupts requests in progress (G7) or never ends.
TEST_CASE("after SIGTERM the daemon closes its listener, completes requests in progress and exits with 0", "[loopback]")
{
    DaemonSettings settings;
    settings.shutdown.balancerGrace = Millis { 100 };
    LoopbackDaemon daemon(settings);
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::chatRequest());
    BlockingSocket engine = daemon.engine.accept();
    std::string head = engine.readUntil("\r\n\r\n");
    engine.write(LoopbackDaemon::eventStreamHead(head) + LoopbackDaemon::encodeChunk(token0));
    static_cast<void>(caller.readUntil(token0));
    LoopbackDaemon::signalDaemon();
    for (int i = 0; i < 500 && daemon.connectCaller().isConnected(); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK_FALSE(daemon.connectCaller().isConnected());
    CHECK(daemon.exitCode == -1);
    engine.write(LoopbackDaemon::encodeChunk(token1 + endMarker) + lastChunk);
    CHECK(caller.readUntil(lastChunk).find(endMarker) != std::string::npos);
    daemon.thread.join();
    CHECK(daemon.exitCode == 0);
}

// Guards against a graceful shutdown that a second SIGTERM cannot cut short.
TEST_CASE("a second SIGTERM ends the daemon immediately", "[loopback]")
{
    LoopbackDaemon daemon;
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::chatRequest());
    BlockingSocket engine = daemon.engine.accept();
    while (daemon.exitCode < 0) {
        LoopbackDaemon::signalDaemon();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    daemon.thread.join();
    CHECK(daemon.exitCode == 1);
}

// Guards against callers that keep connections open forever by sending single bytes of a request slowly.
TEST_CASE("a request that is received too slowly ends its connection", "[loopback]")
{
    DaemonSettings settings;
    settings.callers.readTimeout = Millis { 200 };
    LoopbackDaemon daemon(settings);
    BlockingSocket caller = daemon.connectCaller();
    caller.write("GET /v1/models HTTP/1.1\r\nX-Slow: ");
    bool closed = false;
    for (int i = 0; i < 400 && !closed; ++i) {
        closed = caller.writeSome("x", 0) == 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(closed);
    // Idle time between requests on a connection does not count towards the read timeout.
    BlockingSocket idleCaller = daemon.connectCaller();
    for (int i = 0; i < 3; ++i) {
        idleCaller.write(LoopbackDaemon::request("GET", "/v1/models"));
        static_cast<void>(idleCaller.readUntil("care-9b"));
        std::this_thread::sleep_for(std::chrono::milliseconds(120));
    }
}
