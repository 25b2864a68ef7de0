#include "RouterHarness.h"
#include "router/SseSplitter.h"

#include <catch2/catch.hpp>
#include <ctime>
#include <malloc.h>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

/// \brief An answer that goes on until the router closes its connection.
struct EndlessAnswer {
    const char* name;
    std::string target;
    std::string start;
    std::string repeated;
    bool isNumbered { false }; ///< Each \c repeated follows an id line with the next number.
};

const std::string signedHead = "X-Jasminestack-Attempt-Id: ID\r\nX-Jasminestack-Server-Signature: sig\r\n";

std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string chunk = LoopbackDaemon::encodeChunk(std::string(1'024, 'x'));
    return {
        { "fields", "/book/x", "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
        { "name of a field", "/book/x", "HTTP/1.1 200 OK\r\n", "a" },
        { "value of a field", "/book/x", "HTTP/1.1 200 OK\r\nA: ", "b" },
        { "interim responses", "/book/x", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
        { "body until the close", "/book/x", "HTTP/1.1 200 OK\r\n" + signedHead + "\r\n", "x" },
        { "body in chunks", "/book/x", "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n",
            chunk },
        { "body of an error", "/book/x", "HTTP/1.1 500 X\r\n" + signedHead + "\r\n", "x" },
        { "body of a refusal", "/book/x", "HTTP/1.1 503 X\r\nX-Jasminestack-Not-Executed: 1\r\n\r\n", "x" },
        { "extension of a chunk", "/book/x",
            "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n5;", "x" },
        { "trailer", "/book/x", "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n" },
        { "event", "/review/x",
            "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\n\r\ndata: ", "x" },
        { "comments", "/review/x", "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\n\r\n",
            ":\n\n" },
        { "events", "/review/x", "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\n\r\n",
            "data: token\n\n", true },
    };
}

/// \returns Bytes that the process has allocated; 0 with AddressSanitizer, which has its own allocator.
std::size_t allocatedBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// \returns Whether the router responds to a new caller; a saturated one may close a connection unread.
bool servesAnotherCaller(const LoopbackRouter& router)
{
    constexpr int attempts = 20;
    for (int i = 0; i < attempts; ++i) {
        BlockingSocket caller = router.connectCaller();
        caller.write("GET /nowhere/ HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nX-Jasminestack-Attempt-Id: "
                     "i\r\n\r\n");
        if (caller.readToEnd().starts_with("HTTP/1.1 404"))
            return true;
    }
    return false;
}

std::string withId(std::string text, const std::string& id)
{
    if (auto position = text.find("ID"); position != std::string::npos)
        text.replace(position, 2, id);
    return text;
}

}

// Guards against a router that keeps all bytes of an answer that never ends, runs out of memory, and ends with the
// requests of all its callers. The callers read nothing, or all that they receive.
TEST_CASE("answers without end take a bounded memory and end with their deadline", "[router][endless][memory]")
{
    constexpr int answers = 8;
    constexpr std::size_t bytesPerAnswer = 2U << 20U;
    // With 260 MB, of which 60 are used without requests, a router survives all 128 places of three such engines.
    constexpr std::size_t maxMemoryPerAnswer = 512U << 10U;
    EndlessAnswer endless = GENERATE(from_range(endlessAnswers()));
    bool callersRead = GENERATE(false, true);
    CAPTURE(endless.name, callersRead);
    LoopbackRouter router;
    bool isStream = endless.target == "/review/x";
    std::vector<BlockingSocket> callers;
    std::vector<BlockingSocket> endpoints;
    for (int number = 0; number < answers; ++number) {
        std::string id = "id-" + std::to_string(number);
        callers.push_back(router.connectCaller());
        callers.back().write(LoopbackRouter::request("POST", endless.target, id, "order."));
        endpoints.push_back(isStream ? router.acceptEngineConnection().first : router.serviceListener.accept());
        std::string request = endpoints.back().readUntil("order.");
        endpoints.back().write(withId(endless.start, headerValue(request, "X-Jasminestack-Attempt-Id")));
    }
    std::vector<std::string> unsent(answers);
    std::vector<int> ids(answers);
    auto refill = [&](std::size_t i) {
        while (unsent[i].size() < (64U << 10U))
            unsent[i] += (endless.isNumbered ? "id: " + std::to_string(++ids[i]) + "\n" : "") + endless.repeated;
    };
    for (std::size_t i = 0; i < unsent.size(); ++i) {
        unsent[i].reserve(128U << 10U); // The memory of the test itself does not grow.
        refill(i);
    }
    std::size_t before = allocatedBytes();
    std::size_t peak = before;
    std::vector<char> discarded(64U << 10U);
    std::vector<std::size_t> written(answers);
    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1'500);
    for (bool isProgressing = true; isProgressing && std::chrono::steady_clock::now() < end;) {
        isProgressing = false;
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            if (written[i] < bytesPerAnswer) {
                std::size_t sent = endpoints[i].writeSome(unsent[i], 20);
                unsent[i].erase(0, sent);
                refill(i);
                written[i] += sent;
                isProgressing = isProgressing || sent != 0;
            }
            while (callersRead && recv(callers[i].descriptor(), discarded.data(), discarded.size(), MSG_DONTWAIT) > 0) {
            }
            peak = std::max(peak, allocatedBytes());
        }
    }
    CHECK((peak - before) / answers < maxMemoryPerAnswer);
    CHECK(servesAnotherCaller(router));
}

namespace {

/// \returns The shortest processor time of several runs in which a splitter reads \p bytes of comments at once.
double splitSeconds(std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += ":\n\n";
    double shortest = 1e9;
    constexpr int runs = 5;
    for (int i = 0; i < runs; ++i) {
        SseSplitter splitter { {} };
        timespec start {};
        timespec end {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &start);
        REQUIRE(splitter.feed(text).size() == text.size());
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
        constexpr double nsPerSecond = 1e9;
        double seconds = static_cast<double>(end.tv_sec - start.tv_sec)
            + static_cast<double>(end.tv_nsec - start.tv_nsec) / nsPerSecond;
        shortest = std::min(shortest, seconds);
    }
    return shortest;
}

}

// Guards against an engine whose short events take all processor time of a router, so that its other callers are not
// read: the time of a chunk has to grow with its length, not with the square of it.
TEST_CASE("the time to split a chunk into events grows with its length", "[router][endless]")
{
    // All of the comments stay below the limit between two events.
    constexpr std::size_t smallBytes = 15U << 10U;
    constexpr std::size_t factor = 16;
    // Quadratic growth would be factor * factor.
    CHECK(splitSeconds(factor * smallBytes) < splitSeconds(smallBytes) * factor * 4);
}
