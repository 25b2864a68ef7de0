#include "LoopbackHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

const std::string token0 = "id: 0\ndata: {\"t\":0}\n\n";
const std::string token1 = "id: 1\ndata: {\"t\":1}\n\n";
const std::string endMarker = "data: [DONE]\n\n";
const std::string lastChunk = "0\r\n\r\n";

}

// Guards against tokens that wait for the end of the stream, and against a connection that is not reused.
TEST_CASE("tokens reach the caller as they come, and connections are reused", "[loopback]")
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

// Guards against an engine that goes on generating for a caller that has hung up, whether it closed or reset.
TEST_CASE("a caller's close cancels its stream at the engine", "[loopback]")
{
    LoopbackDaemon daemon;
    bool reset = GENERATE(false, true);
    bool started = GENERATE(false, true);
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::chatRequest());
    BlockingSocket engine = daemon.engine.accept();
    std::string head = engine.readUntil("\r\n\r\n");
    if (started) {
        engine.write(LoopbackDaemon::eventStreamHead(head) + LoopbackDaemon::encodeChunk(token0));
        static_cast<void>(caller.readUntil(token0));
    }
    if (reset)
        caller.closeWithReset();
    else
        caller.close();
    BlockingSocket cancelling = daemon.engine.accept();
    CHECK(cancelling.readUntil("\r\n").starts_with("DELETE /v1/streams/" + headerValue(head, "X-Request-Id") + " "));
    static_cast<void>(engine.readToEnd());
}

// Guards against a queued request that keeps its place, and later a slot, after its caller has gone.
TEST_CASE("a caller's close removes its request from the queue", "[loopback]")
{
    LoopbackDaemon daemon({}, 1);
    BlockingSocket first = daemon.connectCaller();
    first.write(LoopbackDaemon::request("GET", "/booking/first"));
    BlockingSocket desk = daemon.serviceListener.accept();
    std::string head = desk.readUntil("\r\n\r\n");
    BlockingSocket second = daemon.connectCaller();
    second.write(LoopbackDaemon::request("GET", "/booking/second"));
    BlockingSocket third = daemon.connectCaller();
    third.write(LoopbackDaemon::request("GET", "/booking/third"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    second.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    desk.write(LoopbackDaemon::response(head, "1"));
    CHECK(first.readUntil("\r\n\r\n1").starts_with("HTTP/1.1 200"));
    CHECK(desk.readUntil("\r\n\r\n").starts_with("GET /booking/third "));
}

// Guards against evhttp's abort on pipelined requests while it answers.
TEST_CASE("pipelined requests are answered in turn", "[loopback]")
{
    LoopbackDaemon daemon;
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::request("GET", "/booking/a") + LoopbackDaemon::request("GET", "/booking/b"));
    BlockingSocket desk = daemon.serviceListener.accept();
    for (const char* answer : { "answer-a", "answer-b" }) {
        std::string head = desk.readUntil("\r\n\r\n");
        // A second request arrives while the first is being answered.
        caller.write("GET /v1/models HTTP/1.1\r\n");
        caller.write("Host: x\r\nAuthorization: Bearer key-1\r\n\r\n");
        desk.write(LoopbackDaemon::response(head, answer));
        static_cast<void>(caller.readUntil(answer));
    }
    static_cast<void>(caller.readUntil("care-9b"));
    static_cast<void>(caller.readUntil("care-9b"));
}

// Guards against unbounded buffering for a caller that does not read, and against losing bytes while paused.
TEST_CASE("a caller that does not read stops its endpoint, and loses nothing", "[loopback]")
{
    LoopbackDaemon daemon;
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::request("GET", "/booking/large"));
    BlockingSocket desk = daemon.serviceListener.accept();
    std::string head = desk.readUntil("\r\n\r\n");
    constexpr std::size_t length = 64U << 20U;
    std::string body(length, 'x');
    for (std::size_t i = 0; i < length; i += 4096)
        body[i] = static_cast<char>('a' + (i / 4096) % 26);
    std::string answer = LoopbackDaemon::response(head, body);
    std::size_t taken = desk.writeSome(answer, 500);
    // Socket buffers on loopback hold up to about 6 MB in each of the two connections.
    CHECK(taken < 32U << 20U);
    std::thread writer([&] { desk.write(std::string_view(answer).substr(taken)); });
    std::string received = caller.readUntil("\r\n0\r\n\r\n");
    writer.join();
    std::string unframed;
    std::size_t position = received.find("\r\n\r\n") + 4;
    while (position < received.size()) {
        std::size_t size = std::stoul(received.substr(position, 16), nullptr, 16);
        position = received.find("\r\n", position) + 2;
        unframed.append(received, position, size);
        position += size + 2;
    }
    CHECK(unframed == body);
}

// Guards against waiting forever on a connection that has gone silent, at each stage.
TEST_CASE("a silent endpoint ends in a timeout", "[loopback]")
{
    DaemonSettings settings;
    settings.endpoints.firstByteTimeout = Millis { 150 };
    settings.endpoints.idleTimeout = Millis { 150 };
    LoopbackDaemon daemon(settings);
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::request("POST", "/booking/slot", "x"));
    BlockingSocket desk = daemon.serviceListener.accept();
    std::string head = desk.readUntil("\r\n\r\n");
    bool headSent = GENERATE(false, true);
    if (headSent)
        desk.write(
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Request-Id: " + headerValue(head, "X-Request-Id") + "\r\n\r\n1");
    std::string answer = caller.readUntil("}}");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(answer.find(R"("kind":"endpoint_timeout")") != std::string::npos);
    CHECK(answer.find(R"("run_status":"unknown")") != std::string::npos);
    static_cast<void>(desk.readToEnd());
}

// Guards against a resume over the connection that has just gone silent, or another idle one to the same endpoint.
TEST_CASE("a stream whose connection goes silent is resumed over a new one", "[loopback]")
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
    BlockingSocket resumed = daemon.engine.accept();
    std::string resumeHead = resumed.readUntil("\r\n\r\n");
    INFO(resumeHead);
    CHECK(resumeHead.starts_with("GET /v1/streams/" + headerValue(head, "X-Request-Id") + "?from=1 "));
    resumed.write(
        LoopbackDaemon::eventStreamHead(resumeHead) + LoopbackDaemon::encodeChunk(token1 + endMarker) + lastChunk);
    CHECK(caller.readUntil(lastChunk).find(token1 + endMarker) != std::string::npos);
}

// Guards against a graceful shutdown that interrupts work (G7) or never ends.
TEST_CASE("SIGTERM lets running work finish, closes the listener and ends with 0", "[loopback]")
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
    for (int i = 0; i < 500 && daemon.connectCaller().connected(); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK_FALSE(daemon.connectCaller().connected());
    CHECK(daemon.exitCode == -1);
    engine.write(LoopbackDaemon::encodeChunk(token1 + endMarker) + lastChunk);
    CHECK(caller.readUntil(lastChunk).find(endMarker) != std::string::npos);
    daemon.thread.join();
    CHECK(daemon.exitCode == 0);
}

// Guards against a shutdown that cannot be hurried.
TEST_CASE("a second SIGTERM ends the daemon at once", "[loopback]")
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

// Guards against callers that hold connections forever by sending a byte now and then.
TEST_CASE("a request that arrives too slowly ends its connection", "[loopback]")
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
    // A request on a connection that was idle between two requests is not affected.
    BlockingSocket other = daemon.connectCaller();
    for (int i = 0; i < 3; ++i) {
        other.write(LoopbackDaemon::request("GET", "/v1/models"));
        static_cast<void>(other.readUntil("care-9b"));
        std::this_thread::sleep_for(std::chrono::milliseconds(120));
    }
}
