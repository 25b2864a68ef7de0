#include "RouterHarness.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

std::string chunk(std::string_view bytes) { return LoopbackDaemon::encodeChunk(bytes); }

const std::string lastChunk = "0\r\n\r\n";

std::string sse(int id) { return "id: " + std::to_string(id) + "\ndata: token-" + std::to_string(id) + "\n\n"; }

}

// Guards against a forged workspace, a leaked key, a changed path or body, and a missing deadline at the endpoint.
TEST_CASE("a booking reaches its endpoint unchanged, with the daemon's own headers", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/a%20b?x=1&y", "id-1", "body bytes"));
    BlockingSocket desk = router.serviceListener.accept();
    std::string head = desk.readUntil("\r\n\r\n");
    CHECK(head.starts_with("POST /book/a%20b?x=1&y HTTP/1.1\r\nHost: Shop.example:80\r\n"));
    CHECK(headerValue(head, "X-Jasminestack-Tenant") == "ws-1");
    CHECK(head.find("forged") == std::string::npos);
    CHECK(head.find("Authorization") == std::string::npos);
    CHECK(headerValue(head, "X-Jasminestack-Expect-Instance") == "d1");
    int left = std::stoi(headerValue(head, "X-Jasminestack-Deadline-Ms"));
    CHECK(left > 3'000);
    CHECK(left <= 4'000);
    CHECK(desk.readUntil("body bytes") == "body bytes");
    desk.write(LoopbackRouter::response("id-1", "booked"));
    std::string answer = caller.readUntil("booked");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(headerValue(answer, "X-Jasminestack-Server-Signature") == "sig-id-1");
}

// Guards against a chunked body that is passed on with its framing, or cut.
TEST_CASE("a chunked request body arrives whole", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                 "X-Jasminestack-Attempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.write(chunk("first ") + chunk("second") + lastChunk);
    BlockingSocket desk = router.serviceListener.accept();
    std::string head = desk.readUntil("\r\n\r\n");
    CHECK(headerValue(head, "Content-Length") == "12");
    CHECK(head.find("Transfer-Encoding") == std::string::npos);
    CHECK(desk.readUntil("first second") == "first second");
}

// Guards against refusals that say that something does not exist when it does, or was not looked up.
TEST_CASE("unknown routes, unknown keys and a missing configuration are told apart", "[router]")
{
    LoopbackRouter router;
    auto statusOf = [&](std::string_view bytes) {
        BlockingSocket caller = router.connectCaller();
        caller.write(bytes);
        return caller.readUntil("\r\n").substr(9, 3);
    };
    CHECK(statusOf(LoopbackRouter::request("GET", "/nowhere/", "id-1")) == "404");
    CHECK(statusOf("GET /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Jasminestack-Attempt-Id: i\r\n"
                   "Authorization: Token other\r\n\r\n")
        == "401");
    CHECK(statusOf("GET /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Jasminestack-Attempt-Id: i\r\n\r\n") == "401");
}

TEST_CASE("a router without configuration answers 503", "[router]")
{
    LoopbackRouter router(false);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("GET", "/nowhere/", "id-1"));
    std::string head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(!headerValue(head, "Retry-After").empty());
}

// Guards against a request smuggled inside another one whose framing two servers read differently.
TEST_CASE("ambiguously framed requests are refused and their connection is closed", "[router]")
{
    LoopbackRouter router;
    std::string start = "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Jasminestack-Attempt-Id: i\r\n"
                        "Authorization: Token key-1\r\n";
    std::string smuggled = "GET /check/smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    std::string headers = GENERATE(as<std::string> {}, "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length : 4\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "Content-Length: +4\r\n", "Host: other.example\r\nContent-Length: 0\r\n");
    CAPTURE(headers);
    BlockingSocket caller = router.connectCaller();
    caller.write(start + headers + "\r\n" + "0\r\n\r\n" + smuggled);
    std::string answer = caller.readToEnd();
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(answer.find("HTTP/1.1", 8) == std::string::npos);
    CHECK(!router.engine1.hasPendingConnection(30));
    CHECK(!router.engine2.hasPendingConnection(30));
    CHECK(!router.serviceListener.hasPendingConnection(30));
}

// Guards against a stream with a gap or a repeat after its engine has broken off in the middle of an event.
TEST_CASE("a resumable stream goes on at another engine after the last whole event", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", "prompt"));
    auto [first, firstListener] = router.acceptEngine();
    static_cast<void>(first.readUntil("prompt"));
    first.write(LoopbackRouter::eventStreamHead("id-1") + chunk(sse(1) + sse(2) + "id: 3\nda"));
    static_cast<void>(caller.readUntil("token-2\n\n"));
    first.closeWithReset();
    const ListeningSocket& other = firstListener == &router.engine1 ? router.engine2 : router.engine1;
    BlockingSocket second = other.accept();
    std::string head = second.readUntil("\r\n\r\n");
    CHECK(headerValue(head, "Last-Event-Id") == "2");
    second.write(LoopbackRouter::eventStreamHead("id-1") + chunk(sse(3) + sse(4)) + lastChunk);
    std::string rest = caller.readUntil(lastChunk);
    CHECK(rest.find("token-3\n\n") != std::string::npos);
    CHECK(rest.find("id: 3\nda\n") == std::string::npos);
    CHECK(rest.find("token-4\n\n") != std::string::npos);
}

// Guards against a second run of a stream that may not be resumed, and against an answer that looks complete.
TEST_CASE("a stream that may not be resumed ends cut when its engine breaks off", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/review/x", "id-1", "prompt"));
    auto [engine, listener] = router.acceptEngine();
    static_cast<void>(engine.readUntil("prompt"));
    engine.write(LoopbackRouter::eventStreamHead("id-1") + chunk(sse(1)));
    static_cast<void>(caller.readUntil("token-1\n\n"));
    engine.closeWithReset();
    CHECK(caller.readToEnd().find(lastChunk) == std::string::npos);
    CHECK(!router.engine1.hasPendingConnection(50));
    CHECK(!router.engine2.hasPendingConnection(50));
}

// Guards against a booking that runs twice because its first answer was lost.
TEST_CASE("a booking whose answer is lost is not sent again, and nothing is promised", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/two/x", "id-1", "order"));
    auto [engine, listener] = router.acceptEngine();
    static_cast<void>(engine.readUntil("order"));
    engine.closeWithReset();
    std::string answer = caller.readUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(!router.engine1.hasPendingConnection(50));
    CHECK(!router.engine2.hasPendingConnection(50));
}

// Guards against a refusal that is passed on although another endpoint may run the request.
TEST_CASE("a booking that an endpoint declares not executed goes to another one", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/two/x", "id-1", "order"));
    auto [first, firstListener] = router.acceptEngine();
    static_cast<void>(first.readUntil("order"));
    first.write("HTTP/1.1 503 Busy\r\nX-Jasminestack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    BlockingSocket second = (firstListener == &router.engine1 ? router.engine2 : router.engine1).accept();
    static_cast<void>(second.readUntil("order"));
    second.write(LoopbackRouter::response("id-1", "done"));
    CHECK(caller.readUntil("done").starts_with("HTTP/1.1 200"));
}

// Guards against a false "not run": only the endpoint's own declaration is one.
TEST_CASE("a 503 that does not declare itself not executed is not passed on", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket desk = router.serviceListener.accept();
    static_cast<void>(desk.readUntil("order"));
    desk.write(LoopbackRouter::response("id-1", "", 503));
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

TEST_CASE("a booking refused by its only endpoint is answered 503 with the time to come back", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket desk = router.serviceListener.accept();
    static_cast<void>(desk.readUntil("order"));
    desk.write("HTTP/1.1 503 Busy\r\nX-Jasminestack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    std::string head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(!headerValue(head, "Retry-After").empty());
    CHECK(headerValue(head, "X-Jasminestack-Server-Signature").empty());
}

// Guards against an answer to an earlier request that arrives where the next answer is expected.
TEST_CASE("an extra late answer on a kept connection is skipped", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order-1"));
    BlockingSocket desk = router.serviceListener.accept();
    static_cast<void>(desk.readUntil("order-1"));
    desk.write(LoopbackRouter::response("id-1", "first"));
    static_cast<void>(caller.readUntil("first"));
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-2", "order-2"));
    static_cast<void>(desk.readUntil("order-2"));
    desk.write(LoopbackRouter::response("id-1", "first") + LoopbackRouter::response("id-2", "second"));
    std::string answer = caller.readUntil("second");
    CHECK(headerValue(answer, "X-Jasminestack-Attempt-Id") == "id-2");
    CHECK(answer.find("first") == std::string::npos);
}

// Guards against a success without the endpoint's signature, or with a body that was changed on the way.
TEST_CASE("unsigned and encoded successes are not passed on", "[router]")
{
    LoopbackRouter router;
    std::string extra
        = GENERATE(as<std::string> {}, "", "X-Jasminestack-Server-Signature: s\r\nContent-Encoding: gzip\r\n");
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket desk = router.serviceListener.accept();
    static_cast<void>(desk.readUntil("order"));
    desk.write("HTTP/1.1 200 OK\r\nX-Jasminestack-Attempt-Id: id-1\r\n" + extra + "Content-Length: 2\r\n\r\nok");
    CHECK(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against an answer without a length that is cut by a reset and looks whole.
TEST_CASE("an unframed answer is whole only after an orderly close", "[router]")
{
    LoopbackRouter router;
    bool reset = GENERATE(false, true);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    BlockingSocket desk = router.serviceListener.accept();
    static_cast<void>(desk.readUntil("order"));
    desk.write("HTTP/1.1 200 OK\r\nX-Jasminestack-Attempt-Id: id-1\r\nX-Jasminestack-Server-Signature: s\r\n\r\npart");
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    if (reset)
        desk.closeWithReset();
    else
        desk.close();
    CHECK(caller.readUntil("\r\n\r\n").starts_with(reset ? "HTTP/1.1 502" : "HTTP/1.1 200"));
}

// Guards against engines that go on working for a caller who has left.
TEST_CASE("a caller's leaving ends its stream at the engine at once", "[router]")
{
    LoopbackRouter router;
    bool begun = GENERATE(false, true);
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/review/x", "id-1", "prompt"));
    auto [engine, listener] = router.acceptEngine();
    static_cast<void>(engine.readUntil("prompt"));
    if (begun) {
        engine.write(LoopbackRouter::eventStreamHead("id-1") + chunk(sse(1)));
        static_cast<void>(caller.readUntil("token-1\n\n"));
    }
    caller.close();
    static_cast<void>(engine.readToEnd());
}

// Guards against a repeatable request that is given up although another endpoint can run it.
TEST_CASE("a repeatable request moves on after an endpoint's error", "[router]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("GET", "/check/x", "id-1"));
    auto [first, firstListener] = router.acceptEngine();
    static_cast<void>(first.readUntil("\r\n\r\n"));
    first.write(LoopbackRouter::response("id-1", "bad", 500));
    BlockingSocket second = (firstListener == &router.engine1 ? router.engine2 : router.engine1).accept();
    static_cast<void>(second.readUntil("\r\n\r\n"));
    bool failsToo = GENERATE(false, true);
    second.write(LoopbackRouter::response("id-1", failsToo ? "also bad" : "good", failsToo ? 500 : 200));
    CHECK(caller.readUntil(failsToo ? "also bad" : "good").starts_with(failsToo ? "HTTP/1.1 500" : "HTTP/1.1 200"));
}

// Guards against work for a caller who left while its request waited in the socket of a busy daemon.
TEST_CASE("a request whose caller has already left is not handled", "[router]")
{
    struct Recorder final : CallerHandler {
        int requests { 0 };
        void onRequest(CallerRequest, CallerExchange& exchange) override
        {
            ++requests;
            exchange.sendResponse({ .status = 200 }, "ok");
        }
    };
    std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), event_base_free);
    Recorder recorder;
    CallerServer server(*base, recorder, { .address = "127.0.0.1:0" });
    REQUIRE(server.listen());
    auto turn = [&] {
        for (int i = 0; i < 20; ++i) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    };
    // The loop does not run between the request and the close, as in a process that has no processor time.
    BlockingSocket left = BlockingSocket::connectTo(server.port());
    left.write(LoopbackRouter::request("POST", "/book/x", "id-1", "order"));
    left.close();
    turn();
    CHECK(recorder.requests == 0);
    BlockingSocket stays = BlockingSocket::connectTo(server.port());
    stays.write(LoopbackRouter::request("POST", "/book/x", "id-2", "order"));
    turn();
    CHECK(recorder.requests == 1);
    CHECK(stays.readUntil("ok").starts_with("HTTP/1.1 200"));
}
