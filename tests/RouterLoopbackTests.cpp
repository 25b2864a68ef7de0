#include "RouterHarness.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

/// \returns Whether the metrics name \p outcome as that of a request, within about 10 s.
bool reportsOutcome(const LoopbackRouter& router, std::string_view outcome)
{
    const std::string label = "\"" + std::string(outcome) + "\"";
    const std::string& address = router.metricsAddress;
    auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    for (int i = 0; i < 200; ++i) {
        BlockingSocket client = BlockingSocket::connectTo(port);
        client.write("GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
        if (client.readToEnd().find(label) != std::string::npos)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

}

namespace {

std::string encodeHttpChunk(std::string_view bytes) { return LoopbackDaemon::encodeChunk(bytes); }

const std::string lastChunk = "0\r\n\r\n";

std::string sseEvent(int id) { return "id: " + std::to_string(id) + "\ndata: token-" + std::to_string(id) + "\n\n"; }

}

// Guards against a forwarded forged workspace, an API key sent to the endpoint, a changed path or body, and a missing
// deadline header.
TEST_CASE("a booking reaches its endpoint unchanged, with the headers that the daemon adds", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/a%20b?x=1&y", "id-1", "body bytes"));
    BlockingSocket service = router.serviceListener.accept();
    std::string head = service.readUntil("\r\n\r\n");
    CHECK(head.starts_with("POST /book/a%20b?x=1&y HTTP/1.1\r\nHost: Shop.example:80\r\n"));
    CHECK(headerValue(head, "X-Jasminestack-Tenant") == "ws-1");
    CHECK(head.find("forged") == std::string::npos);
    CHECK(head.find("Authorization") == std::string::npos);
    CHECK(headerValue(head, "X-Jasminestack-Expect-Instance") == "d1");
    int remainingMs = std::stoi(headerValue(head, "X-Jasminestack-Deadline-Ms"));
    CHECK(remainingMs > 3'000);
    CHECK(remainingMs <= 4'000);
    CHECK(service.readUntil("body bytes") == "body bytes");
    service.write(LoopbackRouter::response("id-1", "booked"));
    std::string response = caller.readUntil("booked");
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(headerValue(response, "X-Jasminestack-Server-Signature") == "sig-id-1");
}

// Guards against a chunked body that is forwarded with its chunk framing or truncated.
TEST_CASE("a chunked request body is forwarded complete with a Content-Length", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                 "X-Jasminestack-Attempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.write(encodeHttpChunk("first ") + encodeHttpChunk("second") + lastChunk);
    BlockingSocket service = router.serviceListener.accept();
    std::string head = service.readUntil("\r\n\r\n");
    CHECK(headerValue(head, "Content-Length") == "12");
    CHECK(head.find("Transfer-Encoding") == std::string::npos);
    CHECK(service.readUntil("first second") == "first second");
}

// Guards against a wrong status for a refusal, by which callers would take an unknown API key for an unknown route.
TEST_CASE("unknown routes and unknown or missing API keys are refused with different statuses", "[router]")
{
    LoopbackRouter router;
    auto statusOfResponseTo = [&](std::string_view bytes) {
        BlockingSocket caller = router.connectCaller();
        caller.write(bytes);
        return caller.readUntil("\r\n").substr(9, 3);
    };
    CHECK(statusOfResponseTo(LoopbackRouter::request("GET", "/nowhere/", "id-1")) == "404");
    CHECK(statusOfResponseTo("GET /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Jasminestack-Attempt-Id: i\r\n"
                             "Authorization: Token other\r\n\r\n")
        == "401");
    CHECK(statusOfResponseTo("GET /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Jasminestack-Attempt-Id: i\r\n\r\n")
        == "401");
}

// Guards against a 404 for a route that the configuration, which has not been received yet, may contain.
TEST_CASE("a router without configuration responds with 503", "[router]")
{
    LoopbackRouter router(false);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("GET", "/nowhere/", "id-1"));
    std::string head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(!headerValue(head, "Retry-After").empty());
}

// Guards against request smuggling: a request in the body of another one whose framing two servers parse differently.
TEST_CASE("ambiguously framed requests are refused and their connection is closed", "[router]")
{
    LoopbackRouter router;
    std::string headStart = "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Jasminestack-Attempt-Id: i\r\n"
                            "Authorization: Token key-1\r\n";
    std::string smuggledRequest = "GET /check/smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    std::string headers = GENERATE(as<std::string> {}, "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length : 4\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "Content-Length: +4\r\n", "Host: other.example\r\nContent-Length: 0\r\n");
    CAPTURE(headers);
    BlockingSocket caller = router.connectCaller();
    caller.write(headStart + headers + "\r\n" + "0\r\n\r\n" + smuggledRequest);
    std::string response = caller.readToEnd();
    CHECK(response.starts_with("HTTP/1.1 400"));
    CHECK(response.find("HTTP/1.1", 8) == std::string::npos);
    CHECK(!router.engine1.hasPendingConnection(30));
    CHECK(!router.engine2.hasPendingConnection(30));
    CHECK(!router.serviceListener.hasPendingConnection(30));
}

// Guards against a gap or a duplicate in a stream whose engine resets the connection in the middle of an event.
TEST_CASE("a resumable stream is resumed at another engine after the last complete event", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", "prompt"));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(firstEngine.readUntil("prompt"));
    firstEngine.write(
        LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(1) + sseEvent(2) + "id: 3\nda"));
    static_cast<void>(caller.readUntil("token-2\n\n"));
    firstEngine.closeWithReset();
    const ListeningSocket& otherListener = firstListener == &router.engine1 ? router.engine2 : router.engine1;
    BlockingSocket secondEngine = otherListener.accept();
    std::string head = secondEngine.readUntil("\r\n\r\n");
    CHECK(headerValue(head, "Last-Event-Id") == "2");
    secondEngine.write(
        LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(3) + sseEvent(4)) + lastChunk);
    std::string resumedStream = caller.readUntil(lastChunk);
    CHECK(resumedStream.find("token-3\n\n") != std::string::npos);
    CHECK(resumedStream.find("id: 3\nda\n") == std::string::npos);
    CHECK(resumedStream.find("token-4\n\n") != std::string::npos);
}

// Guards against streams that stall for ever because their engine still sends bytes now and then, but no events.
TEST_CASE("a stalled stream whose engine sends bytes without events is resumed at another engine", "[router][endless]")
{
    LoopbackRouter router;
    std::string_view bytes = GENERATE(as<std::string_view> {}, ": keep-alive\n\n", "\n\n", "d", "event: ping\n\n");
    CAPTURE(bytes);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", "prompt"));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(firstEngine.readUntil("prompt"));
    firstEngine.write(LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(1) + sseEvent(2)));
    static_cast<void>(caller.readUntil("token-2\n\n"));
    const ListeningSocket& otherListener = firstListener == &router.engine1 ? router.engine2 : router.engine1;
    bool isResumed = false;
    for (int i = 0; i < 60 && !isResumed; ++i) { // 3 s; the stall timeout is 1.05 s, the route's timeout 4 s.
        try {
            firstEngine.write(encodeHttpChunk(bytes));
        } catch (const std::runtime_error&) { // The router has closed the connection.
        }
        isResumed = otherListener.hasPendingConnection(50);
    }
    REQUIRE(isResumed);
    BlockingSocket secondEngine = otherListener.accept();
    CHECK(headerValue(secondEngine.readUntil("\r\n\r\n"), "Last-Event-Id") == "2");
    secondEngine.write(LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(3)) + lastChunk);
    CHECK(caller.readUntil(lastChunk).find("token-3\n\n") != std::string::npos);
}

// Guards against sound streams that are cut because they are slow: each event is complete within the allowed pause.
TEST_CASE("a slow stream whose events arrive byte by byte is not interrupted", "[router][endless]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", "prompt"));
    auto [engine, listener] = router.acceptEngineConnection();
    static_cast<void>(engine.readUntil("prompt"));
    engine.write(LoopbackRouter::eventStreamHead("id-1"));
    for (int id = 1; id <= 20; ++id) { // 2.7 s in all, with 135 ms for an event of the allowed 150 ms.
        std::string event = sseEvent(id);
        for (char byte : event) {
            engine.write(encodeHttpChunk(std::string(1, byte)));
            std::this_thread::sleep_for(std::chrono::microseconds(135'000 / event.size()));
        }
    }
    engine.write(lastChunk);
    std::string stream = caller.readUntil(lastChunk);
    CHECK(stream.find("token-1\n\n") != std::string::npos);
    CHECK(stream.find("token-20\n\n") != std::string::npos);
    CHECK(!router.engine1.hasPendingConnection(10));
    CHECK(!router.engine2.hasPendingConnection(10));
}

// Guards against requests that wait for their deadline while an engine sends bytes that are no response, and against
// the memory that these bytes take.
TEST_CASE("a request whose engine sends interim responses without end is retried", "[router][endless]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("GET", "/check/x", "id-1"));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(firstEngine.readUntil("\r\n\r\n"));
    std::string interimResponses;
    while (interimResponses.size() < 200'000)
        interimResponses += "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n";
    firstEngine.writeSome(interimResponses, 500);
    const ListeningSocket& otherListener = firstListener == &router.engine1 ? router.engine2 : router.engine1;
    REQUIRE(otherListener.hasPendingConnection(2'000));
    BlockingSocket secondEngine = otherListener.accept();
    static_cast<void>(secondEngine.readUntil("\r\n\r\n"));
    secondEngine.write(LoopbackRouter::response("id-1", "answer"));
    CHECK(caller.readUntil("answer").starts_with("HTTP/1.1 200"));
}

// Guards against callers that wait for their deadline for a refusal whose body does not end.
TEST_CASE("a refusal whose body does not end is a refusal", "[router][endless]")
{
    LoopbackRouter router;
    bool isFast = GENERATE(true, false);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    service.write("HTTP/1.1 503 X\r\nX-Jasminestack-Attempt-Id: id-1\r\nX-Jasminestack-Not-Executed: 1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
    auto start = std::chrono::steady_clock::now();
    if (isFast)
        service.writeSome(encodeHttpChunk(std::string(300'000, 'x')), 200);
    else
        service.write(encodeHttpChunk("x"));
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2)); // The route's timeout is 4 s.
}

// Guards against a router that is busy with responses without end whose callers have left; a long one that ends is
// read, so that its endpoint isn't broken off.
TEST_CASE("a response without end is not read for long after its caller left", "[router][endless]")
{
    LoopbackRouter router;
    bool isEndless = GENERATE(true, false);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    service.write("HTTP/1.1 200 X\r\nX-Jasminestack-Attempt-Id: id-1\r\nX-Jasminestack-Server-Signature: s\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
        + encodeHttpChunk(std::string(300'000, 'x')));
    static_cast<void>(caller.readUntil("xxx"));
    caller.close();
    const std::string chunk = encodeHttpChunk(std::string(300'000, 'x'));
    std::size_t written = 0;
    std::size_t limit = isEndless ? 40'000'000 : 600'000;
    for (std::size_t sent = 1; sent != 0 && written < limit; written += sent)
        sent = service.writeSome(chunk, 500);
    CHECK((written < limit) == isEndless);
    if (!isEndless)
        service.write(encodeHttpChunk(""));
    CHECK(reportsOutcome(router, isEndless ? "caller_gone" : "ok"));
}

// Guards against a second run of a stream that may not be resumed, and against a truncated response that looks
// complete.
TEST_CASE("a stream that may not be resumed ends truncated when its engine resets the connection", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/review/x", "id-1", "prompt"));
    auto [engine, listener] = router.acceptEngineConnection();
    static_cast<void>(engine.readUntil("prompt"));
    engine.write(LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(1)));
    static_cast<void>(caller.readUntil("token-1\n\n"));
    engine.closeWithReset();
    CHECK(caller.readToEnd().find(lastChunk) == std::string::npos);
    CHECK(!router.engine1.hasPendingConnection(50));
    CHECK(!router.engine2.hasPendingConnection(50));
}

// Guards against a booking that runs twice: its first response is lost, and a retry runs it again.
TEST_CASE("a booking whose response is lost is not retried, and its status does not imply not run", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/two/x", "id-1", "order"));
    auto [engine, listener] = router.acceptEngineConnection();
    static_cast<void>(engine.readUntil("order"));
    engine.closeWithReset();
    std::string response = caller.readUntil("\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(!router.engine1.hasPendingConnection(50));
    CHECK(!router.engine2.hasPendingConnection(50));
}

// Guards against a refusal that is forwarded to the caller although another endpoint can run the request.
TEST_CASE("a booking that an endpoint declares not executed is retried at another endpoint", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/two/x", "id-1", "order"));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(firstEngine.readUntil("order"));
    firstEngine.write("HTTP/1.1 503 Busy\r\nX-Jasminestack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    BlockingSocket secondEngine = (firstListener == &router.engine1 ? router.engine2 : router.engine1).accept();
    static_cast<void>(secondEngine.readUntil("order"));
    secondEngine.write(LoopbackRouter::response("id-1", "done"));
    CHECK(caller.readUntil("done").starts_with("HTTP/1.1 200"));
}

// Guards against a router that is busy with a body without end that no caller gets, until the route's timeout.
TEST_CASE("a 503 without the not-executed header and without an end is answered early", "[router][endless]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    service.write("HTTP/1.1 503 X\r\nX-Jasminestack-Attempt-Id: id-1\r\nX-Jasminestack-Server-Signature: s\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = encodeHttpChunk(std::string(300'000, 'x'));
    constexpr std::size_t limit = 40'000'000;
    std::size_t written = 0;
    for (std::size_t sent = 1; sent != 0 && written < limit; written += sent)
        sent = service.writeSome(chunk, 500);
    CHECK(written < limit);
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against a false "not run": a 503 implies it, but only the endpoint's not-executed header states it. A body may
// be longer than what the router buffers.
TEST_CASE("a 503 without the not-executed header is not forwarded", "[router]")
{
    std::size_t bodyBytes = GENERATE(0, 300'000);
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    service.write(LoopbackRouter::response("id-1", std::string(bodyBytes, 'x'), 503));
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against a refusal without Retry-After, and against the endpoint's signature on a response of the daemon.
TEST_CASE("a booking refused by its only endpoint gets a 503 with Retry-After", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    service.write("HTTP/1.1 503 Busy\r\nX-Jasminestack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    std::string head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(!headerValue(head, "Retry-After").empty());
    CHECK(headerValue(head, "X-Jasminestack-Server-Signature").empty());
}

// Guards against a duplicate response to an earlier request on a reused connection, taken for the response to the next
// request.
TEST_CASE("a late duplicate response on a reused connection is skipped", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order-1"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order-1"));
    service.write(LoopbackRouter::response("id-1", "first"));
    static_cast<void>(caller.readUntil("first"));
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-2", "order-2"));
    static_cast<void>(service.readUntil("order-2"));
    service.write(LoopbackRouter::response("id-1", "first") + LoopbackRouter::response("id-2", "second"));
    std::string response = caller.readUntil("second");
    CHECK(headerValue(response, "X-Jasminestack-Attempt-Id") == "id-2");
    CHECK(response.find("first") == std::string::npos);
}

// Guards against successful responses without the endpoint's signature or with a body encoded between the endpoint and
// the daemon.
TEST_CASE("unsigned and encoded successful responses are not forwarded", "[router]")
{
    LoopbackRouter router;
    std::string extraHeaders
        = GENERATE(as<std::string> {}, "", "X-Jasminestack-Server-Signature: s\r\nContent-Encoding: gzip\r\n");
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    service.write(
        "HTTP/1.1 200 OK\r\nX-Jasminestack-Attempt-Id: id-1\r\n" + extraHeaders + "Content-Length: 2\r\n\r\nok");
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against a response without a length that a reset truncates and that looks complete.
TEST_CASE("a response without a length is complete only after an orderly close", "[router]")
{
    LoopbackRouter router;
    bool endsWithReset = GENERATE(false, true);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    service.write(
        "HTTP/1.1 200 OK\r\nX-Jasminestack-Attempt-Id: id-1\r\nX-Jasminestack-Server-Signature: s\r\n\r\npart");
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    if (endsWithReset)
        service.closeWithReset();
    else
        service.close();
    CHECK(caller.readUntil("\r\n\r\n").starts_with(endsWithReset ? "HTTP/1.1 502" : "HTTP/1.1 200"));
}

// Guards against engines that continue a stream whose caller has disconnected.
TEST_CASE("a caller that disconnects ends its stream at the engine at once", "[router]")
{
    LoopbackRouter router;
    bool hasStarted = GENERATE(false, true);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/review/x", "id-1", "prompt"));
    auto [engine, listener] = router.acceptEngineConnection();
    static_cast<void>(engine.readUntil("prompt"));
    if (hasStarted) {
        engine.write(LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(1)));
        static_cast<void>(caller.readUntil("token-1\n\n"));
    }
    caller.close();
    static_cast<void>(engine.readToEnd());
}

// Guards against a repeatable request that ends with an endpoint's error although another endpoint can run it.
TEST_CASE("a repeatable request is retried at another endpoint after an endpoint's error", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("GET", "/check/x", "id-1"));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(firstEngine.readUntil("\r\n\r\n"));
    firstEngine.write(LoopbackRouter::response("id-1", "bad", 500));
    BlockingSocket secondEngine = (firstListener == &router.engine1 ? router.engine2 : router.engine1).accept();
    static_cast<void>(secondEngine.readUntil("\r\n\r\n"));
    bool doesSecondFail = GENERATE(false, true);
    secondEngine.write(
        LoopbackRouter::response("id-1", doesSecondFail ? "also bad" : "good", doesSecondFail ? 500 : 200));
    CHECK(caller.readUntil(doesSecondFail ? "also bad" : "good")
              .starts_with(doesSecondFail ? "HTTP/1.1 500" : "HTTP/1.1 200"));
}

// Guards against handling a request whose caller disconnected while the request waited in the socket of a busy daemon.
TEST_CASE("a request whose caller has already disconnected is not handled", "[router]")
{
    struct CountingHandler final : CallerHandler {
        int requestCount { 0 };
        void onRequest(CallerRequest, CallerExchange& exchange) override
        {
            ++requestCount;
            exchange.sendResponse({ .status = 200 }, "ok");
        }
    };
    std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), event_base_free);
    CountingHandler handler;
    CallerServer server(*base, handler, { .address = "127.0.0.1:0" });
    REQUIRE(server.listen());
    auto runEventLoop = [&] {
        for (int i = 0; i < 20; ++i) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    };
    // The loop does not run between the request and the close, as in a process that has no processor time.
    BlockingSocket disconnectedCaller = BlockingSocket::connectTo(server.port());
    disconnectedCaller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    disconnectedCaller.close();
    runEventLoop();
    CHECK(handler.requestCount == 0);
    BlockingSocket connectedCaller = BlockingSocket::connectTo(server.port());
    connectedCaller.write(LoopbackRouter::request("POST", "/book/x", "id-2", "order"));
    runEventLoop();
    CHECK(handler.requestCount == 1);
    CHECK(connectedCaller.readUntil("ok").starts_with("HTTP/1.1 200"));
}

// Guards against a refusal that an endpoint repeats on a kept connection and that is taken for the one of the next
// request, which runs: its caller would be told that it has not run, or it would be sent to a second endpoint.
TEST_CASE("a repeated refusal on a reused connection does not refuse the next request", "[router][repeated]")
{
    LoopbackRouter router;
    bool hasId = GENERATE(true, false);
    std::string refusal = "HTTP/1.1 503 X\r\nX-Jasminestack-Not-Executed: 1\r\n"
        + std::string(hasId ? "X-Jasminestack-Attempt-Id: id-1\r\n" : "") + "Content-Length: 0\r\n\r\n";
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order-1"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order-1"));
    service.write(refusal);
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
    BlockingSocket secondCaller = router.connectCaller();
    secondCaller.write(LoopbackRouter::request("POST", "/book/x", "id-2", "order-2"));
    static_cast<void>(service.readUntil("order-2"));
    service.write(refusal + LoopbackRouter::response("id-2", "second"));
    std::string head = secondCaller.readUntil("\r\n\r\n");
    CHECK(head.starts_with(hasId ? "HTTP/1.1 200" : "HTTP/1.1 502"));
}

// Guards against an answer without the request's id on a reused connection, which may be an earlier request's.
TEST_CASE("an answer without an id is not forwarded from a reused connection", "[router][repeated]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order-1"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order-1"));
    service.write(LoopbackRouter::response("id-1", "first"));
    static_cast<void>(caller.readUntil("first"));
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-2", "order-2"));
    static_cast<void>(service.readUntil("order-2"));
    service.write("HTTP/1.1 200 OK\r\nX-Jasminestack-Server-Signature: s\r\nContent-Length: 5\r\n\r\nfirst");
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against the text of another answer in the middle of a stream, and against a stream that looks complete.
TEST_CASE("a stream ends truncated when the next engine does not continue it with events", "[router][resume]")
{
    LoopbackRouter router;
    std::string answer = GENERATE(LoopbackRouter::response("id-1", "other-text", 500),
        LoopbackRouter::response("id-1", "other-text", 503, "X-Jasminestack-Not-Executed: 1\r\n"),
        LoopbackRouter::response("id-1", "other-text", 200, "Content-Type: application/json\r\n"),
        LoopbackRouter::response("id-1", std::string(300'000, 'o'), 200, "Content-Type: application/json\r\n"));
    CAPTURE(answer.substr(0, 40));
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", "prompt"));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(firstEngine.readUntil("prompt"));
    firstEngine.write(LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(1) + sseEvent(2)));
    static_cast<void>(caller.readUntil("token-2\n\n\r\n"));
    firstEngine.closeWithReset();
    const ListeningSocket& otherListener = firstListener == &router.engine1 ? router.engine2 : router.engine1;
    BlockingSocket secondEngine = otherListener.accept();
    static_cast<void>(secondEngine.readUntil("prompt"));
    secondEngine.writeSome(answer, 500);
    CHECK(caller.readToEnd().empty());
}

// Guards against a success with an empty or short body whose engine stopped in the middle of its answer's head.
TEST_CASE("an answer that ends within its head is no success", "[router][head]")
{
    LoopbackRouter router;
    std::string head = "HTTP/1.1 200 OK\r\nX-Jasminestack-Attempt-Id: id-1\r\nX-Jasminestack-Server-Signature: s\r\n"
                       "Content-Type: text/event-stream\r\nContent-Length: 10\r\n\r\n";
    std::size_t length = GENERATE_COPY(as<std::size_t> {}, 12, 15, 17, 60, head.size() - 8, head.size() - 4,
        head.size() - 2, head.size() - 1, head.size());
    CAPTURE(length);
    bool isStream = GENERATE(false, true);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", isStream ? "/review/x" : "/book/x", "id-1", "text"));
    BlockingSocket endpoint = isStream ? router.acceptEngineConnection().first : router.serviceListener.accept();
    static_cast<void>(endpoint.readUntil("text"));
    endpoint.write(head.substr(0, length));
    endpoint.close();
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against a stream that looks complete although its engine ended in the middle of it.
TEST_CASE("a stream that ends inside an event or before the first one is truncated", "[router][unframed]")
{
    LoopbackRouter router;
    bool isFramed = GENERATE(false, true);
    std::string events = GENERATE(sseEvent(1) + "id: 2\nda", sseEvent(1) + "id: 2\ndata: token-2\n", std::string());
    if (isFramed && events.empty())
        return; // Its engine states that the stream is empty.
    CAPTURE(isFramed, events);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", "prompt"));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(firstEngine.readUntil("prompt"));
    std::string unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                               "X-Jasminestack-Attempt-Id: id-1\r\nX-Jasminestack-Server-Signature: s\r\n\r\n";
    firstEngine.write(isFramed ? LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(events) + lastChunk
                               : unframedHead + events);
    firstEngine.close();
    const ListeningSocket& otherListener = firstListener == &router.engine1 ? router.engine2 : router.engine1;
    REQUIRE(otherListener.hasPendingConnection(1'000));
    BlockingSocket secondEngine = otherListener.accept();
    CHECK(headerValue(secondEngine.readUntil("\r\n\r\n"), "Last-Event-Id") == (events.empty() ? "" : "1"));
    std::string rest = events.empty() ? sseEvent(1) + sseEvent(2) : sseEvent(2);
    secondEngine.write(LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(rest) + lastChunk);
    std::string stream = caller.readUntil(lastChunk);
    CHECK(stream.find("token-1\n\n") != std::string::npos);
    CHECK(stream.find("token-2\n\n") != std::string::npos);
    CHECK(stream.find("id: 2\nda\n") == std::string::npos);
}

// Guards against a sound stream without a length that is cut at its end.
TEST_CASE("a stream without a length that ends after an event is complete", "[router][unframed]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/review/x", "id-1", "prompt"));
    auto [engine, listener] = router.acceptEngineConnection();
    static_cast<void>(engine.readUntil("prompt"));
    engine.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Jasminestack-Attempt-Id: id-1\r\n"
                 "X-Jasminestack-Server-Signature: s\r\n\r\n"
        + sseEvent(1) + sseEvent(2));
    engine.close();
    CHECK(caller.readUntil(lastChunk).find("token-2\n\n") != std::string::npos);
}

namespace {

// \param content Requests with the same one have the same body and prompt; the id by default.
std::string requestWithParts(std::string_view id, std::string_view parts, std::string_view content = {})
{
    content = content.empty() ? id : content;
    std::string body = "prompt of " + std::string(content) + "\n";
    return "POST /review/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\nX-Jasminestack-Attempt-Id: "
        + std::string(id) + "\r\nX-Jasminestack-Model-Id: m\r\nX-Jasminestack-Token-Usage: 1000,50\r\n"
        + "X-Jasminestack-Prefix-Hash: " + std::string(parts) + ",own-" + std::string(content)
        + ":100\r\nX-Jasminestack-Deadline-Ms: 5000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

}

// Guards against requests that share one prompt part and crash engine after engine, and against the refusal of sound
// requests that share the others.
TEST_CASE("after three engines crashed with a prompt part its requests are refused", "[router][crash]")
{
    LoopbackRouter router(true, 8);
    for (int i = 1; i <= 3; ++i) {
        BlockingSocket caller = router.connectCaller();
        std::string id = "guilty-" + std::to_string(i);
        caller.write(requestWithParts(id, "aa:800,dd:300"));
        auto [engine, listener] = router.acceptEngineConnection();
        static_cast<void>(engine.readUntil(id + "\n"));
        engine.write(LoopbackRouter::eventStreamHead(id));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        router.crashEngine(engine, listener);
        CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
        std::this_thread::sleep_for(std::chrono::milliseconds(1'100)); // Beyond the window of a common cause.
    }
    BlockingSocket caller = router.connectCaller();
    caller.write(requestWithParts("guilty-4", "aa:800,dd:300"));
    std::string head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(!headerValue(head, "Retry-After").empty());
    BlockingSocket soundCaller = router.connectCaller();
    soundCaller.write(requestWithParts("sound", "aa:800"));
    BlockingSocket engine = router.acceptEngineConnection().first;
    static_cast<void>(engine.readUntil("sound\n"));
    engine.write(LoopbackRouter::eventStreamHead("sound") + encodeHttpChunk(sseEvent(1)) + lastChunk);
    CHECK(soundCaller.readUntil(lastChunk).find("token-1") != std::string::npos);
}

// Guards against a whole content that its callers send again, with new ids, and that crashes engine after engine
// (deploy/days/deadly.toml), and against the refusal of others with the same prompt parts.
TEST_CASE("after three engines crashed with a content it is refused, and others are served", "[router][crash]")
{
    LoopbackRouter router(true, 8);
    std::string deadly = "deadly";
    for (int i = 1; i <= 3; ++i) {
        BlockingSocket caller = router.connectCaller();
        caller.write(requestWithParts("id-" + std::to_string(i), "aa:800,bb:300", deadly));
        auto [engine, listener] = router.acceptEngineConnection();
        static_cast<void>(engine.readUntil(deadly + "\n"));
        engine.write(LoopbackRouter::eventStreamHead("id-" + std::to_string(i)));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        router.crashEngine(engine, listener);
        CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
        // Another content with the same parts is answered in between.
        BlockingSocket soundCaller = router.connectCaller();
        std::string sound = "sound-" + std::to_string(i);
        soundCaller.write(requestWithParts(sound, "aa:800,bb:300"));
        BlockingSocket soundEngine = router.acceptEngineConnection().first;
        static_cast<void>(soundEngine.readUntil(sound + "\n"));
        soundEngine.write(LoopbackRouter::eventStreamHead(sound) + encodeHttpChunk(sseEvent(1)) + lastChunk);
        CHECK(soundCaller.readUntil(lastChunk).find("token-1") != std::string::npos);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'100)); // Beyond the window of a common cause.
    }
    BlockingSocket caller = router.connectCaller();
    caller.write(requestWithParts("id-4", "aa:800,bb:300", deadly));
    std::string head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(!headerValue(head, "Retry-After").empty());
    BlockingSocket soundCaller = router.connectCaller();
    soundCaller.write(requestWithParts("sound-4", "aa:800,bb:300"));
    BlockingSocket engine = router.acceptEngineConnection().first;
    static_cast<void>(engine.readUntil("sound-4\n"));
    engine.write(LoopbackRouter::eventStreamHead("sound-4") + encodeHttpChunk(sseEvent(1)) + lastChunk);
    CHECK(soundCaller.readUntil(lastChunk).find("token-1") != std::string::npos);
}

// Guards against requests that are cut without an answer at the end of a planned stop, among them ones that may not be
// repeated, whose callers then do not know that they may have run.
TEST_CASE("at the end of a planned stop each remaining request gets an answer or a truncated stream", "[router][stop]")
{
    LoopbackRouter router(true, 2, Millis { 1'500 });
    BlockingSocket booking = router.connectCaller();
    booking.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    BlockingSocket stream = router.connectCaller();
    stream.write(LoopbackRouter::request("POST", "/review/x", "id-2", "prompt"));
    BlockingSocket engine = router.acceptEngineConnection().first;
    static_cast<void>(engine.readUntil("prompt"));
    engine.write(LoopbackRouter::eventStreamHead("id-2") + encodeHttpChunk(sseEvent(1)));
    static_cast<void>(stream.readUntil("token-1\n\n\r\n"));
    BlockingSocket kept = router.connectCaller();
    kept.write(LoopbackRouter::request("GET", "/nowhere/", "id-3"));
    static_cast<void>(kept.readUntil("}\n"));

    kill(getpid(), SIGTERM);
    // Taken in the first part of the grace time, and not answered by its endpoint either.
    BlockingSocket late = router.connectCaller();
    late.write(LoopbackRouter::request("POST", "/book/x", "id-4", "late order"));
    BlockingSocket secondService = router.serviceListener.accept();
    static_cast<void>(secondService.readUntil("late order"));
    for (BlockingSocket* caller : { &booking, &late }) {
        std::string answer = caller->readToEnd();
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find(R"("run_status":"unknown")") != std::string::npos);
        CHECK(answer.ends_with("}\n"));
    }
    CHECK(stream.readToEnd().find("0\r\n\r\n") == std::string::npos);
}

// Guards against requests that are taken so late in a planned stop that they cannot end within it.
TEST_CASE("a request in the last part of a planned stop is refused as not run", "[router][stop]")
{
    LoopbackRouter router(true, 2, Millis { 1'500 });
    // A request that stays open keeps the daemon until the end of the grace time.
    BlockingSocket open = router.connectCaller();
    open.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("order"));
    BlockingSocket kept = router.connectCaller();
    kept.write("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
               "X-Jasminestack-Attempt-Id: id-2\r\nContent-Length: 5\r\n\r\nor");
    kill(getpid(), SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(800)); // Beyond half of the time until the end.
    kept.write("der");
    std::string answer = kept.readUntil("}\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find(R"("run_status":"not_run")") != std::string::npos);
    CHECK(headerValue(answer, "Connection") == "close");
    CHECK(!router.serviceListener.hasPendingConnection(50));
}

// Guards against streams that are cut in a planned stop since their engine pauses them: it goes on with a preempted
// request later, and the engine that would resume it may be full.
TEST_CASE("in a planned stop a paused stream stays at its engine", "[router][stop][stall]")
{
    LoopbackRouter router(true, 2, Millis { 6'000 });
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", "prompt"));
    auto [engine, listener] = router.acceptEngineConnection();
    static_cast<void>(engine.readUntil("prompt"));
    engine.write(LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(1)));
    static_cast<void>(caller.readUntil("token-1\n\n"));
    kill(getpid(), SIGTERM);
    // Longer than the stall timeout of a stream with this event gap.
    CHECK(!(listener == &router.engine1 ? router.engine2 : router.engine1).hasPendingConnection(2'200));
    engine.write(encodeHttpChunk(sseEvent(2)) + lastChunk);
    CHECK(caller.readUntil(lastChunk).find("token-2") != std::string::npos);
}

// Guards against a request that is given up at its endpoint although no other one can take it.
TEST_CASE("a stalled request stays at its endpoint while there is no other one", "[router][stall]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/report/x", "id-1", "prompt"));
    BlockingSocket service = router.serviceListener.accept();
    static_cast<void>(service.readUntil("prompt"));
    service.write(LoopbackRouter::eventStreamHead("id-1") + encodeHttpChunk(sseEvent(1)));
    static_cast<void>(caller.readUntil("token-1\n\n"));
    std::this_thread::sleep_for(std::chrono::milliseconds(2'200)); // Longer than the stall timeout.
    service.write(encodeHttpChunk(sseEvent(2)) + lastChunk);
    CHECK(caller.readUntil(lastChunk).find("token-2") != std::string::npos);
}

// Guards against streams that are cut because the kernel takes an engine that reads a long request late for one that is
// gone, although its events arrive.
TEST_CASE("an engine may read a long request after it began to respond", "[router][long]")
{
    LoopbackRouter router;
    std::string prompt(2'000'000, 'p');
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", prompt));
    auto [engine, listener] = router.acceptEngineConnection();
    static_cast<void>(engine.readUntil("\r\n\r\n"));
    engine.write(LoopbackRouter::eventStreamHead("id-1"));
    constexpr int events = 16;
    for (int i = 1; i <= events; ++i) {
        engine.write(encodeHttpChunk(sseEvent(i)));
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    CHECK(engine.readUntil(prompt.substr(0, prompt.size() / 2)).size() == prompt.size() / 2);
    engine.write(lastChunk);
    std::string response = caller.readUntil(lastChunk);
    CHECK(response.find("token-" + std::to_string(events) + "\n\n") != std::string::npos);
    CHECK(!(listener == &router.engine1 ? router.engine2 : router.engine1).hasPendingConnection(10));
}
