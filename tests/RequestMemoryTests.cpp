#include "RouterHarness.h"
#include "net/CallerServer.h"
#include "net/EventPriority.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <fstream>
#include <iomanip>
#include <list>
#include <malloc.h>
#include <sstream>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

constexpr std::size_t maxTotalBodyBytes = 1'000'000;

/// \brief Keeps all requests until the test ends them.
struct KeepingHandler final : CallerHandler {
    std::list<CallerRequest> requests;
    std::list<CallerExchange*> exchanges;

    void onRequest(CallerRequest request, CallerExchange& exchange) override
    {
        requests.push_back(std::move(request));
        exchanges.push_back(&exchange);
    }
    std::string onInvalidRequest(ErrorKind, std::string_view message) override { return std::string(message); }
};

// Returns the bytes in the receive queues of the connections at a loopback port.
std::size_t unreadBytes(std::uint16_t port)
{
    std::ostringstream local;
    local << "0100007F:" << std::hex << std::uppercase << std::setw(4) << std::setfill('0') << port;
    std::ifstream table("/proc/net/tcp");
    std::size_t total = 0;
    for (std::string line; std::getline(table, line);) {
        std::istringstream fields(line);
        std::string number;
        std::string localAddress;
        std::string remoteAddress;
        std::string state;
        std::string queues;
        fields >> number >> localAddress >> remoteAddress >> state >> queues;
        bool isListening = state == "0A";
        if (localAddress == local.str() && !isListening)
            total += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return total;
}

/// \brief A server with a limit for all bodies; it runs only inside runFor().
struct Fixture {
    EventBasePointer base = makePrioritizedEventBase();
    KeepingHandler handler;
    CallerServer server { *base, handler, { .address = "127.0.0.1:0", .maxTotalBodyBytes = maxTotalBodyBytes } };

    Fixture() { REQUIRE(server.listen()); }

    void run() const
    {
        for (int i = 0; i < 100; ++i) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    /// \brief Writes from a thread, and runs the server until the caller's system has taken everything.
    void write(const BlockingSocket& caller, const std::string& bytes) const
    {
        std::atomic<bool> isWritten { false };
        std::thread writer([&] {
            try {
                caller.write(bytes);
            } catch (const std::runtime_error&) {
                // The server has refused the request and closed the connection before the end of the body.
            }
            isWritten = true;
        });
        while (!isWritten)
            run();
        run();
        writer.join();
    }

    [[nodiscard]] BlockingSocket send(std::size_t bodyBytes, bool isChunked = false) const
    {
        BlockingSocket caller = BlockingSocket::connectTo(server.port());
        std::string body(bodyBytes, 'x');
        std::string head = "POST /x HTTP/1.1\r\nHost: a\r\n";
        head += isChunked ? "Transfer-Encoding: chunked\r\n\r\n"
                          : "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
        write(caller, head + (isChunked ? LoopbackDaemon::encodeChunk(body) + "0\r\n\r\n" : body));
        return caller;
    }
};

/// \returns Bytes that the process has allocated; 0 with AddressSanitizer, which has its own allocator.
std::size_t allocatedBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

}

// Guards against a burst of large requests that takes a router over the memory of its host, so that the killed process
// loses the requests of all its callers.
TEST_CASE("requests are refused as not run while the bodies of others need all memory", "[callers][memory]")
{
    bool isChunked = GENERATE(false, true);
    Fixture fixture;
    BlockingSocket first = fixture.send(400'000, isChunked);
    REQUIRE(fixture.handler.requests.size() == 1);
    BlockingSocket second = fixture.send(400'000, isChunked);
    std::string head = second.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(!headerValue(head, "Retry-After").empty());
    // Small requests have a part of their own.
    BlockingSocket small = fixture.send(20'000, isChunked);
    CHECK(fixture.handler.requests.size() == 2);
    // The memory is in use until the request is destroyed, not only until it is answered.
    fixture.handler.exchanges.front()->sendResponse({ .status = 200 }, "done");
    BlockingSocket third = fixture.send(400'000, isChunked);
    CHECK(fixture.handler.requests.size() == 2);
    fixture.handler.requests.pop_front();
    BlockingSocket fourth = fixture.send(400'000, isChunked);
    CHECK(fixture.handler.requests.size() == 2);
}

// Guards against memory that stays reserved for requests whose callers leave while they send them.
TEST_CASE("an interrupted request gives its memory back", "[callers][memory]")
{
    Fixture fixture;
    constexpr int interrupted = 5;
    for (int i = 0; i < interrupted; ++i) {
        BlockingSocket caller = BlockingSocket::connectTo(fixture.server.port());
        caller.write("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 600000\r\n\r\npart of the body");
        fixture.run();
        caller.close();
        fixture.run();
    }
    BlockingSocket complete = fixture.send(600'000);
    CHECK(fixture.handler.requests.size() == 1);
}

// Guards against several copies of each body in a router.
TEST_CASE("a router holds the body of a request once", "[router][memory]")
{
    constexpr int requests = 6;
    constexpr std::size_t bodyBytes = 3'000'000;
    LoopbackRouter router;
    std::vector<BlockingSocket> callers;
    std::vector<BlockingSocket> engines;
    std::string body(bodyBytes, 'x');
    std::size_t before = allocatedBytes();
    std::size_t peak = before;
    for (int number = 0; number < requests; ++number) {
        callers.push_back(router.connectCaller());
        callers.back().write(LoopbackRouter::request("POST", "/check/x", "id-" + std::to_string(number), body));
        engines.push_back(router.acceptEngineConnection().first);
        static_cast<void>(engines.back().readUntil("\r\n\r\n"));
        peak = std::max(peak, allocatedBytes());
    }
    // The engines read no more. A quarter is for buffers and for the copies that the test itself has.
    CHECK(peak - before < requests * bodyBytes * 5 / 4 + bodyBytes);
}

// Guards against buffers that stay with a connection after its request was refused: 100 callers with bodies over the
// limit took a router of 64 MB to 203 MB.
TEST_CASE("a refused request gives its memory back while its connection is open", "[callers][memory]")
{
    constexpr int callerCount = 20;
    constexpr std::size_t maxBodyBytes = 500'000;
    Fixture fixture;
    fixture.server.setLimits({ .maxBodyBytes = maxBodyBytes, .maxTotalBodyBytes = callerCount * maxBodyBytes * 2 });
    std::list<BlockingSocket> callers;
    std::string body(maxBodyBytes + 1, 'x');
    std::size_t before = allocatedBytes();
    for (int i = 0; i < callerCount; ++i) {
        callers.push_back(BlockingSocket::connectTo(fixture.server.port()));
        fixture.write(callers.back(),
            "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + LoopbackDaemon::encodeChunk(body));
    }
    CHECK(fixture.handler.requests.empty());
    CHECK(allocatedBytes() < before + maxBodyBytes);
}

// Guards against heads of many short fields, which take many times their size on the wire, outside of the limit for all
// requests.
TEST_CASE("the fields of a head count as memory of its request", "[callers][memory]")
{
    Fixture fixture;
    fixture.server.setLimits({ .maxTotalBodyBytes = 100'000 });
    std::string head = "GET /x HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 2'000; ++i)
        head += "a:\r\n";
    BlockingSocket caller = BlockingSocket::connectTo(fixture.server.port());
    caller.write(head);
    fixture.run();
    CHECK(caller.readUntil("\r\n").starts_with("HTTP/1.1 503"));
}

// Guards against the refusal of a head within the limit because spaces are counted that it does not contain.
TEST_CASE("a head of many short fields within the limit is accepted", "[callers][memory]")
{
    Fixture fixture;
    std::string head = "GET /x HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 3'200; ++i)
        head += "a:b\r\n";
    head += "\r\n";
    REQUIRE(head.size() < CallerServerOptions {}.maxHeaderBytes);
    BlockingSocket caller = BlockingSocket::connectTo(fixture.server.port());
    caller.write(head);
    fixture.run();
    CHECK(fixture.handler.requests.size() == 1);
}

// Guards against callers that do not read their responses, whose sum fills the memory.
TEST_CASE("responses that many callers do not read are dropped", "[callers][memory]")
{
    constexpr int callerCount = 20;
    constexpr std::size_t responseBytes = 8'000'000; // More than the buffers of the system take.
    Fixture fixture;
    std::size_t before = allocatedBytes();
    std::list<BlockingSocket> callers;
    std::string body(responseBytes, 'x');
    for (int i = 0; i < callerCount; ++i) {
        callers.push_back(fixture.send(10));
        REQUIRE(!fixture.handler.exchanges.empty());
        fixture.handler.exchanges.back()->sendResponse({ .status = 200 }, body);
        fixture.handler.exchanges.clear();
        fixture.handler.requests.clear();
        fixture.run();
    }
    CHECK(allocatedBytes() < before + 3 * responseBytes);
    CHECK(fixture.server.connectionCount() <= 2);
    BlockingSocket ordinary = fixture.send(10);
    REQUIRE(!fixture.handler.exchanges.empty());
    fixture.handler.exchanges.back()->sendResponse({ .status = 200 }, "done");
    CHECK(ordinary.readUntil("done").starts_with("HTTP/1.1 200"));
}

// Guards against requests that are read and kept without a limit while the caller reads none of their answers.
TEST_CASE("requests wait in the system's buffers while their caller reads no answers", "[callers][memory]")
{
    constexpr std::size_t sentBytes = 32'000'000;
    constexpr std::size_t maxHeldBytes = 1'000'000;
    struct RefusingHandler final : CallerHandler {
        std::string body = std::string(1'000, 'x');
        void onRequest(CallerRequest, CallerExchange& exchange) override
        {
            exchange.sendResponse({ .status = 404 }, body);
        }
    };
    EventBasePointer base = makePrioritizedEventBase();
    RefusingHandler handler;
    CallerServer server { *base, handler, { .address = "127.0.0.1:0", .maxTotalBodyBytes = maxTotalBodyBytes } };
    REQUIRE(server.listen());
    BlockingSocket caller = BlockingSocket::connectTo(server.port());
    std::string requests;
    while (requests.size() < 64'000)
        requests += "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n";
    std::size_t before = allocatedBytes();
    std::size_t peak = before;
    std::size_t offset = 0;
    std::size_t total = 0;
    constexpr int maxTurnsWithoutProgress = 500;
    for (int turns = 0; turns < maxTurnsWithoutProgress && total < sentBytes; ++turns) {
        ssize_t sent = ::send(caller.descriptor(), requests.data() + offset, requests.size() - offset, MSG_DONTWAIT);
        if (sent > 0) {
            total += static_cast<std::size_t>(sent);
            offset = (offset + static_cast<std::size_t>(sent)) % requests.size();
            turns = 0;
        }
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
        peak = std::max(peak, allocatedBytes());
    }
    CHECK(peak - before < maxHeldBytes);
    CHECK(total < sentBytes);
}

// Guards against a crowd that sends requests ahead on each of its connections: what the router keeps of them and what
// waits in the system's buffers count as its memory.
TEST_CASE("requests sent ahead take a bounded memory of each connection", "[callers][memory]")
{
    constexpr std::size_t connections = 40;
    constexpr int receiveBytes = 8 << 10;
    constexpr std::size_t maxHeldBytes = 8U << 10U;
    constexpr std::size_t maxObjectBytes = 4U << 10U; // The connection, and the request that is being handled.
    EventBasePointer base = makePrioritizedEventBase();
    KeepingHandler handler;
    CallerServer server { *base, handler, { .address = "127.0.0.1:0", .receiveBufferBytes = receiveBytes } };
    REQUIRE(server.listen());
    std::string requests;
    while (requests.size() < 200'000)
        requests += "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n" + std::string(500, 'x');
    std::size_t before = allocatedBytes();
    std::list<std::pair<BlockingSocket, std::size_t>> crowd;
    for (std::size_t i = 0; i < connections; ++i) {
        crowd.emplace_back(BlockingSocket::connectTo(server.port()), 0);
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
    for (int turn = 0; turn < 300; ++turn) {
        for (auto& [caller, sent] : crowd) {
            ssize_t length = ::send(caller.descriptor(), requests.data() + sent, requests.size() - sent, MSG_DONTWAIT);
            sent += static_cast<std::size_t>(std::max<ssize_t>(length, 0));
        }
        for (int i = 0; i < 20; ++i)
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(handler.requests.size() == connections);
    CHECK(allocatedBytes() - before <= connections * (maxHeldBytes + maxObjectBytes));
    CHECK(unreadBytes(server.port()) <= connections * 2 * receiveBytes);
}

// Guards against long targets and values of fields that take memory outside of the limit for all requests.
TEST_CASE("the text of a head counts as memory of its request", "[callers][memory]")
{
    constexpr std::size_t textBytes = 15'000;
    std::string start = GENERATE(std::string("GET /"), std::string("GET /x HTTP/1.1\r\na: "));
    Fixture fixture;
    fixture.server.setLimits({ .maxTotalBodyBytes = textBytes * 3 / 4 });
    BlockingSocket caller = BlockingSocket::connectTo(fixture.server.port());
    caller.write(start + std::string(textBytes, 'x'));
    fixture.run();
    std::array<char, 32> answer {};
    ssize_t length = recv(caller.descriptor(), answer.data(), answer.size(), MSG_DONTWAIT);
    CHECK(std::string_view(answer.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0)))
              .starts_with("HTTP/1.1 503"));
}
