#include "RouterHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;
using namespace std::string_literals;

namespace {

/// \brief A way to spoil an answer: replaces a text of the sound one.
struct Spoiling {
    const char* name;
    std::string text;
    std::string replacement;
};

const std::vector<Spoiling>& spoilings()
{
    static const std::vector<Spoiling> all {
        { "status 000", "200 OK", "000 OK" },
        { "status -12", "200 OK", "-12 OK" },
        { "status 600", "200 OK", "600 OK" },
        { "status 2000", "200 OK", "2000 OK" },
        { "no space before the reason", "200 OK", "200OK" },
        { "version", "HTTP/1.1", "HTTP/1.x" },
        { "NUL in the reason", "200 OK", "200 O\0K"s },
        { "NUL in a name", "X-Load", "X-\0Load"s },
        { "space before the colon", "X-Load:", "X-Load :" },
        { "space in a name", "X-Load", "X Load" },
        { "byte over 0x7f in a name", "X-Load",
            "X-L\xf6"s
            "ad" },
        { "bare LF and a second length", "3,0,6", "3\nContent-Length: 2" },
        { "bare CR in a value", "3,0,6", "3\r0" },
        { "NUL in a value", "3,0,6", "3\0"s },
        { "ESC in a value", "3,0,6", "\x1b[2J" },
        { "DEL in a value", "3,0,6", "\x7f" },
        { "fold", "X-Load: 3,0,6", "X-Load: 3\r\n ,0,6" },
        { "line without colon", "X-Load: 3,0,6", "X-Load 3,0,6" },
        { "spoilt framing field", "X-Load: 3,0,6", "Transfer-Encoding\x01: chunked" },
    };
    return all;
}

std::string soundAnswer(std::string_view id)
{
    return "HTTP/1.1 200 OK\r\nX-Jasminestack-Attempt-Id: " + std::string(id)
        + "\r\nX-Jasminestack-Server-Signature: sig\r\nX-Load: 3,0,6\r\nContent-Length: 6\r\n\r\nbooked";
}

std::string spoil(std::string answer, const Spoiling& spoiling)
{
    return answer.replace(answer.find(spoiling.text), spoiling.text.size(), spoiling.replacement);
}

/// \brief Writes \p bytes in two parts, of which the first one has \p firstBytes.
void writeInTwoParts(BlockingSocket& socket, const std::string& bytes, std::size_t firstBytes)
{
    socket.write(bytes.substr(0, firstBytes));
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    socket.write(bytes.substr(firstBytes));
}

}

// Guards against bytes that are no HTTP response and are passed on as the answer to a request.
TEST_CASE("a malformed answer ends a booking as failed, and it is not repeated", "[router][malformed]")
{
    LoopbackRouter router;
    int number = 0;
    for (const Spoiling& spoiling : spoilings()) {
        CAPTURE(spoiling.name);
        std::string id = "id-" + std::to_string(++number);
        BlockingSocket caller = router.connectCaller();
        caller.write(LoopbackRouter::request("POST", "/book/two/x", id, "order"));
        auto [engine, listener] = router.acceptEngineConnection();
        static_cast<void>(engine.readUntil("order"));
        std::string answer = spoil(soundAnswer(id), spoiling);
        writeInTwoParts(engine, answer, number % 2 == 0 ? answer.size() / 2 : answer.size());
        std::string response = caller.readUntil("\"}}\n");
        CHECK(response.starts_with("HTTP/1.1 502 "));
        CHECK(response.find("answer_malformed") != std::string::npos);
        CHECK(response.find("Server-Signature") == std::string::npos);
        CHECK(engine.readToEnd().empty()); // The connection is not used again.
        CHECK(!router.engine1.hasPendingConnection(10));
        CHECK(!router.engine2.hasPendingConnection(10));
    }
}

// Guards against a failure of a request that may be repeated and that another engine answers.
TEST_CASE("a request that may be repeated is sent to another engine after a malformed answer", "[router][malformed]")
{
    LoopbackRouter router;
    int number = 0;
    for (const Spoiling& spoiling : spoilings()) {
        CAPTURE(spoiling.name);
        std::string id = "id-" + std::to_string(++number);
        BlockingSocket caller = router.connectCaller();
        caller.write(LoopbackRouter::request("POST", "/check/x", id, "look up " + id + "."));
        auto [firstEngine, firstListener] = router.acceptEngineConnection();
        static_cast<void>(firstEngine.readUntil("."));
        std::string answer = spoil(soundAnswer(id), spoiling);
        writeInTwoParts(firstEngine, answer, number % 2 == 0 ? answer.size() / 2 : answer.size());
        BlockingSocket secondEngine = (firstListener == &router.engine1 ? router.engine2 : router.engine1).accept();
        static_cast<void>(secondEngine.readUntil("."));
        secondEngine.write(soundAnswer(id));
        CHECK(caller.readUntil("booked").starts_with("HTTP/1.1 200"));
        secondEngine.close();
    }
}

// Guards against a resumed stream that is joined with a malformed answer of its second engine.
TEST_CASE("a malformed answer of a stream's second engine is not joined with it", "[router][malformed]")
{
    LoopbackRouter router;
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/quote/x", "id-1", "prompt"));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(firstEngine.readUntil("prompt"));
    firstEngine.write(
        LoopbackRouter::eventStreamHead("id-1") + LoopbackDaemon::encodeChunk("id: 1\ndata: token-1\n\n"));
    static_cast<void>(caller.readUntil("token-1\n\n"));
    firstEngine.closeWithReset();
    BlockingSocket secondEngine = (firstListener == &router.engine1 ? router.engine2 : router.engine1).accept();
    static_cast<void>(secondEngine.readUntil("prompt"));
    std::string head = LoopbackRouter::eventStreamHead("id-1");
    head.insert(head.find("Content-Type"), "X-\x01: 1\r\n");
    secondEngine.write(head + LoopbackDaemon::encodeChunk("id: 2\ndata: token-2\n\n") + "0\r\n\r\n");
    std::string rest = caller.readToEnd();
    CHECK(rest.find("token-2") == std::string::npos);
    CHECK(rest.find("0\r\n\r\n") == std::string::npos);
}

// Guards against sound requests that are not repeated, or refused, because endpoints spoiled answers to the same
// content: such an endpoint isn't lost, so its answer says nothing of the content.
TEST_CASE("malformed answers are no evidence that a content crashes endpoints", "[router][malformed]")
{
    LoopbackRouter router;
    std::string malformed = "HTTP/1.1 200 OK\r\nno colon\r\n\r\n";
    constexpr int requests = 4;
    for (int number = 1; number <= requests; ++number) {
        CAPTURE(number);
        std::string id = "id-" + std::to_string(number);
        BlockingSocket caller = router.connectCaller();
        caller.write(LoopbackRouter::request("POST", "/check/x", id, "look up."));
        auto [firstEngine, firstListener] = router.acceptEngineConnection();
        static_cast<void>(firstEngine.readUntil("look up."));
        std::this_thread::sleep_for(std::chrono::milliseconds(30)); // Losses sooner than this are no evidence.
        firstEngine.write(malformed);
        const ListeningSocket& other = firstListener == &router.engine1 ? router.engine2 : router.engine1;
        REQUIRE(other.hasPendingConnection(2'000));
        BlockingSocket secondEngine = other.accept();
        static_cast<void>(secondEngine.readUntil("look up."));
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        secondEngine.write(malformed);
        CHECK(caller.readUntil("\r\n").starts_with("HTTP/1.1 502"));
        std::this_thread::sleep_for(std::chrono::milliseconds(700)); // Beyond the window of a common cause.
    }
}
