#include "LoopbackHarness.h"
#include "RouterHarness.h"
#include "StoreSourceHarness.h"
#include "net/CallerServer.h"
#include "net/EndpointClient.h"
#include "net/EventCallback.h"
#include "net/NngTransport.h"
#include "net/SimpleHttpServer.h"
#include "net/UdpTransport.h"
#include "router/PlacementQueue.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <event2/event.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <memory>
#include <new>
#include <sys/resource.h>
#include <sys/wait.h>
#include <vector>

/// \file
/// \brief Exceptions in the callbacks of the event loop. Without the boundary in net/EventCallback.h each of them
/// leaves the loop, which ends the process.

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

enum class Thrown : std::uint8_t { Nothing, OutOfMemory, RuntimeError, Number };

void throwNow(Thrown thrown)
{
    switch (thrown) {
    case Thrown::Nothing:
        return;
    case Thrown::OutOfMemory:
        throw std::bad_alloc();
    case Thrown::RuntimeError:
        throw std::runtime_error("injected");
    case Thrown::Number:
        throw 7;
    }
}

struct Loop {
    EventBasePointer base = makePrioritizedEventBase();
    SystemClock clock;

    Loop() { static_cast<void>(takeCallbackFailures()); }

    bool runUntil(const std::function<bool()>& condition) const
    {
        for (Millis deadline = clock.now() + testTimeout; !condition();) {
            if (clock.now() >= deadline)
                return false;
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    void runFor(Millis duration) const
    {
        Millis end = clock.now() + duration;
        static_cast<void>(runUntil([&] { return clock.now() >= end; }));
    }
};

/// \brief Handler and listener of callers' requests, and the parts of it that throw.
struct ThrowingHandler final : CallerHandler, CallerListener {
    Thrown thrown { Thrown::Nothing }; ///< By requests to /throw.
    bool listens { false };
    bool streams { false }; ///< Sends a stream that is longer than the buffers of the connection.
    unsigned disconnected { 0 };
    unsigned emptied { 0 };
    CallerExchange* streamed { nullptr };

    void onRequest(CallerRequest request, CallerExchange& exchange) override
    {
        if (request.target != "/throw") {
            exchange.sendResponse({}, "served\n");
            return;
        }
        if (listens)
            exchange.setListener(*this);
        if (streams) {
            streamed = &exchange;
            exchange.startStream({});
            exchange.sendChunk(std::string(16U << 20U, 'x'));
            return;
        }
        throwNow(thrown);
    }
    void onCallerDisconnected() override
    {
        ++disconnected;
        throwNow(thrown);
    }
    void onSendBufferEmpty() override
    {
        ++emptied;
        throwNow(thrown);
    }
};

struct ServerFixture : Loop {
    ThrowingHandler handler;
    CallerServer server { *base, handler, { .address = "127.0.0.1:0" } };

    ServerFixture() { REQUIRE(server.listen()); }

    // Sends a request and returns what the caller gets until the connection is closed, or the head and the body.
    std::string exchange(const std::string& target)
    {
        BlockingSocket caller = send(target);
        std::string answer;
        std::thread reader([&] { answer = caller.readToEnd(); });
        std::atomic<bool> isRead { false };
        std::thread waiter([&] {
            reader.join();
            isRead = true;
        });
        static_cast<void>(runUntil([&] { return isRead.load(); }));
        waiter.join();
        return answer;
    }

    BlockingSocket send(const std::string& target) const
    {
        BlockingSocket caller = BlockingSocket::connectTo(server.port());
        caller.write("GET " + target + " HTTP/1.0\r\nHost: shop\r\n\r\n");
        return caller;
    }
};

}

TEST_CASE("an exception of a callback is reported, and so is one of the action after it", "[callbacks]")
{
    auto thrown = GENERATE(Thrown::OutOfMemory, Thrown::RuntimeError, Thrown::Number);
    static_cast<void>(takeCallbackFailures());
    bool isHandled = false;
    runGuarded(
        "test", [&] { throwNow(thrown); }, [&] { isHandled = true; });
    CHECK(isHandled);
    CHECK(takeCallbackFailures() == 1);
    runGuarded(
        "test", [&] { throwNow(thrown); }, [&] { throwNow(thrown); });
    CHECK(takeCallbackFailures() == 2);
    runGuarded(
        "test", [] {}, [] { FAIL("the body has not thrown"); });
    CHECK(takeCallbackFailures() == 0);
}

// Guards against a process that ends because one request can't be handled.
TEST_CASE("a request whose handler throws is answered with an error, others are served", "[callbacks][callers]")
{
    ServerFixture fixture;
    fixture.handler.thrown = GENERATE(Thrown::OutOfMemory, Thrown::RuntimeError, Thrown::Number);
    std::string answer = fixture.exchange("/throw");
    CHECK(answer.starts_with("HTTP/1.1 500 "));
    CHECK(answer.find("not_run") == std::string::npos);
    CHECK(takeCallbackFailures() == 1);
    CHECK(fixture.exchange("/").ends_with("served\n"));
}

// Guards against a handler that keeps using an exchange which is closed after the exception.
TEST_CASE("a listener whose request failed is told that the caller's connection is closed", "[callbacks][callers]")
{
    ServerFixture fixture;
    fixture.handler.listens = true;
    fixture.handler.thrown = Thrown::RuntimeError;
    CHECK(fixture.exchange("/throw").empty());
    CHECK(fixture.handler.disconnected == 1);
    CHECK(takeCallbackFailures() == 2);
    CHECK(fixture.exchange("/").ends_with("served\n"));
    CHECK(fixture.server.connectionCount() <= 1); // The one that lingers after its response.
}

TEST_CASE("a listener that throws when its caller leaves or reads does not end the loop", "[callbacks][callers]")
{
    ServerFixture fixture;
    fixture.handler.listens = true;
    fixture.handler.streams = true;
    fixture.handler.thrown = Thrown::OutOfMemory;
    SECTION("the caller leaves")
    {
        BlockingSocket caller = fixture.send("/throw");
        REQUIRE(fixture.runUntil([&] { return fixture.handler.streamed != nullptr; }));
        caller.closeWithReset();
        CHECK(fixture.runUntil([&] { return fixture.handler.disconnected == 1; }));
    }
    SECTION("the caller reads all")
    {
        // The connection is reset, since the stream has no end.
        CHECK_FALSE(fixture.exchange("/throw").empty());
        CHECK(fixture.handler.emptied == 1);
        CHECK(fixture.handler.disconnected == 1);
    }
    CHECK(takeCallbackFailures() >= 1);
    fixture.handler.thrown = Thrown::Nothing;
    CHECK(fixture.exchange("/").ends_with("served\n"));
}

TEST_CASE("a status page whose text can't be made is answered with an error", "[callbacks][callers]")
{
    Loop loop;
    std::string address = freeAddress();
    SimpleHttpServer server(*loop.base,
        [](std::string_view target) -> SimpleHttpResponse {
            if (target == "/throw")
                throw std::bad_alloc();
            return { .body = "served\n" };
        },
        {});
    REQUIRE(server.listen(address));
    HttpClient http(*loop.base);
    std::vector<int> statuses;
    for (const char* target : { "/throw", "/" })
        http.send({ .address = address, .target = target },
            [&](const Result<HttpResponse>& response) { statuses.push_back(response ? response.value().status : 0); });
    CHECK(loop.runUntil([&] { return statuses.size() == 2; }));
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector<int> { 200, 500 });
}

namespace {

enum class EndpointStep : std::uint8_t { Connected, Head, Body, End, None };

struct ThrowingListener final : EndpointListener {
    EndpointStep step;
    std::vector<EndpointExchangeResult> results;

    explicit ThrowingListener(EndpointStep throwingStep)
        : step(throwingStep)
    {
    }
    void throwAt(EndpointStep current) const
    {
        if (current == step)
            throw std::bad_alloc();
    }
    void onConnected() override { throwAt(EndpointStep::Connected); }
    void onHead(const HttpResponseHead&) override { throwAt(EndpointStep::Head); }
    void onBody(std::string_view) override { throwAt(EndpointStep::Body); }
    void onEnd(const EndpointExchangeResult& result) override
    {
        results.push_back(result);
        throwAt(EndpointStep::End);
    }
};

}

// Guards against an exchange whose listener has lost bytes and that goes on, or is never ended.
TEST_CASE("an exchange whose listener throws ends with an internal error, others go on", "[callbacks][endpoints]")
{
    Loop loop;
    std::string address = freeAddress();
    SimpleHttpServer endpoint(
        *loop.base, [](std::string_view) { return SimpleHttpResponse { .body = "answer\n" }; }, {});
    REQUIRE(endpoint.listen(address));
    EndpointClient client(*loop.base, loop.clock, {});
    auto step = GENERATE(EndpointStep::Connected, EndpointStep::Head, EndpointStep::Body, EndpointStep::End);
    ThrowingListener failing(step);
    ThrowingListener sound(EndpointStep::None);
    EndpointRequest request { .address = address, .method = "GET", .target = "/" };
    static_cast<void>(client.start(request, failing));
    static_cast<void>(client.start(request, sound));
    REQUIRE(loop.runUntil([&] { return !failing.results.empty() && !sound.results.empty(); }));
    loop.runFor(Millis { 20 });
    REQUIRE(failing.results.size() == 1);
    CHECK(failing.results[0].isComplete == (step == EndpointStep::End));
    CHECK(failing.results[0].error == ErrorKind::Internal);
    CHECK(failing.results[0].requestMayHaveBeenSent);
    CHECK(sound.results[0].isComplete);
    CHECK(takeCallbackFailures() == 1);
}

// Guards against datagrams that are not read any more after one that can't be handled.
TEST_CASE("a peer's message whose handler throws is dropped, the next one is handled", "[callbacks][peers]")
{
    Loop loop;
    unsigned handled = 0;
    auto handler = [&](std::string_view bytes) {
        if (bytes == "throw")
            throw std::bad_alloc();
        ++handled;
    };
    SECTION("by UDP")
    {
        std::string address = freeAddress();
        UdpTransport transport(*loop.base);
        REQUIRE(transport.bind(address));
        transport.setReceiveHandler(handler);
        for (const char* message : { "throw", "first", "throw", "second" })
            transport.send(address, message);
        CHECK(loop.runUntil([&] { return handled == 2; }));
    }
    SECTION("by nng")
    {
        std::string address = freeAddress();
        auto transport = NngTransport::open(*loop.base, loop.clock, address, {});
        REQUIRE(transport);
        transport.value()->setReceiveHandler(handler);
        for (const char* message : { "throw", "first", "throw", "second" })
            transport.value()->send(address, message);
        CHECK(loop.runUntil([&] { return handled == 2; }));
    }
    CHECK(takeCallbackFailures() == 2);
}

TEST_CASE("a response to the platform's services whose callback throws does not end the loop", "[callbacks][platform]")
{
    Loop loop;
    std::string address = freeAddress();
    SimpleHttpServer service(*loop.base, [](std::string_view) { return SimpleHttpResponse { .body = "ok\n" }; }, {});
    REQUIRE(service.listen(address));
    HttpClient http(*loop.base);
    unsigned responses = 0;
    http.send({ .address = address }, [](const Result<HttpResponse>&) { throw std::bad_alloc(); });
    http.send({ .address = address }, [&](const Result<HttpResponse>&) { ++responses; });
    CHECK(loop.runUntil([&] { return responses == 1 && takeCallbackFailures() == 1; }));
}

namespace {

struct ThrowingPlacement final : WaitingPlacement {
    unsigned attempts { 0 };
    bool throws { false };

    [[nodiscard]] WaitingOrder waitingOrder() const override { return {}; }
    void tryPlacement() override
    {
        ++attempts;
        if (throws)
            throw std::bad_alloc();
    }
};

}

// Guards against a queue that stands still, and requests that wait in it until their deadline.
TEST_CASE("a waiting request whose placement throws does not stop the queue", "[callbacks][placement]")
{
    Loop loop;
    PlacementQueue queue(*loop.base);
    ThrowingPlacement failing;
    ThrowingPlacement sound;
    failing.throws = true;
    queue.add(failing);
    queue.add(sound);
    CHECK(loop.runUntil([&] { return failing.attempts >= 3 && sound.attempts >= 3; }));
    CHECK(takeCallbackFailures() >= 3);
    queue.remove(failing);
    queue.remove(sound);
}

namespace {

/// \brief A deployment's listener whose next call throws if \c isThrowing.
struct ThrowingDeployment final : StoreFixture {
    bool isThrowing { false };
    unsigned thrown { 0 };

    void throwIfRequired()
    {
        if (!std::exchange(isThrowing, false))
            return;
        ++thrown;
        throw std::bad_alloc();
    }
    void onRoutingTable(std::shared_ptr<const RoutingTable> table) override
    {
        throwIfRequired();
        StoreFixture::onRoutingTable(std::move(table));
    }
    void onRegistrations(const std::vector<Registration>& reported) override
    {
        throwIfRequired();
        StoreFixture::onRegistrations(reported);
    }
    void onEvacuatedZones(const std::set<std::string>& zones) override
    {
        throwIfRequired();
        StoreFixture::onEvacuatedZones(zones);
    }
};

}

// Guards against a daemon that reads nothing more from the store, or that never learns of a change whose handling
// failed.
TEST_CASE("a change whose handling throws is read from the store again", "[callbacks][platform][store]")
{
    static_cast<void>(takeCallbackFailures());
    ThrowingDeployment fixture;
    fixture.isThrowing = true;
    SECTION("a configuration")
    {
        fixture.store.put("keyed.op", "config", configurationJson(9));
        CHECK(fixture.runUntil([&] { return fixture.versions.back() == 9; }));
    }
    SECTION("a registration")
    {
        fixture.store.put("keyed.servers", "i-3", registrationJson());
        CHECK(fixture.runUntil([&] { return fixture.hasReadyEndpoint("i-3"); }));
    }
    SECTION("an evacuated zone")
    {
        fixture.store.put("keyed.op", "evacuate/b", "{}");
        CHECK(fixture.runUntil([&] { return fixture.evacuatedZones.contains("b"); }));
    }
    CHECK(fixture.thrown == 1);
    CHECK(takeCallbackFailures() == 1);
}

namespace {

// Set while libevent gets no memory.
bool isEventMemoryDenied { false }; // NOLINT: the functions below have no argument for it.

void denyEventMemory()
{
    event_set_mem_functions([](std::size_t size) { return isEventMemoryDenied ? nullptr : std::malloc(size); },
        [](void* memory, std::size_t size) { return isEventMemoryDenied ? nullptr : std::realloc(memory, size); },
        std::free);
    isEventMemoryDenied = true;
}

}

// Guards against events that could not be created and are used: libevent then reads a null pointer.
TEST_CASE("connections, exchanges and calls without memory for their events end by themselves", "[callbacks][memory]")
{
    ServerFixture fixture;
    EndpointClient client(*fixture.base, fixture.clock, {});
    HttpClient http(*fixture.base);
    std::string address = "127.0.0.1:" + std::to_string(fixture.server.port());
    ThrowingListener listener(EndpointStep::None);
    unsigned responses = 0;
    auto countResponse = [&](const Result<HttpResponse>&) { ++responses; };
    BlockingSocket caller = fixture.send("/");
    denyEventMemory();
    CHECK_THROWS_AS(http.send({ .address = address }, countResponse), std::bad_alloc);
    CHECK_THROWS_AS(client.start({ .address = address, .method = "GET", .target = "/" }, listener), std::bad_alloc);
    CHECK(fixture.runUntil([&] { return takeCallbackFailures() != 0; }));
    isEventMemoryDenied = false;
    CHECK(caller.readToEnd().empty());

    static_cast<void>(client.start({ .address = address, .method = "GET", .target = "/" }, listener));
    http.send({ .address = address }, countResponse);
    CHECK(fixture.runUntil([&] { return listener.results.size() == 1 && responses == 1; }));
    CHECK(listener.results[0].isComplete);
}

// A sanitizer needs more address space than any limit leaves.
#if !defined(__SANITIZE_ADDRESS__)

namespace {

constexpr std::size_t bytesPerMb = 1U << 20U;

/// \brief A router without a configuration in a process of its own, which may take a little more memory than it has.
struct LimitedRouter {
    std::uint16_t port { 0 };
    pid_t process { -1 };

    explicit LimitedRouter(std::size_t spareBytes)
    {
        std::array<int, 2> pipeEnds {};
        REQUIRE(pipe2(pipeEnds.data(), O_CLOEXEC) == 0);
        process = fork();
        REQUIRE(process >= 0);
        if (process == 0)
            run(pipeEnds[1], spareBytes);
        ::close(pipeEnds[1]);
        REQUIRE(::read(pipeEnds[0], &port, sizeof(port)) == sizeof(port));
        ::close(pipeEnds[0]);
    }
    LimitedRouter(const LimitedRouter&) = delete;
    LimitedRouter& operator=(const LimitedRouter&) = delete;
    ~LimitedRouter()
    {
        if (process > 0 && isRunning()) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }

    [[nodiscard]] bool isRunning()
    {
        if (process > 0 && waitpid(process, nullptr, WNOHANG) == process)
            process = -1;
        return process > 0;
    }

    [[noreturn]] static void run(int portPipe, std::size_t spareBytes)
    {
        RouterSettings settings;
        settings.daemon = { .id = DaemonId { "router-1" }, .availabilityZone = "a" };
        settings.callers.address = "127.0.0.1:0";
        settings.health.address = freeAddress();
        settings.peers.address = freeAddress();
        auto makeSource = [](event_base&, HttpClient&, const Clock& clock, const RouterSettings&) {
            auto deployment = std::make_unique<FixedDeployment>();
            deployment->clock = &clock;
            return std::unique_ptr<DeploymentSource>(std::move(deployment));
        };
        RouterDaemon daemon(settings,
            DeploymentAdapter { .source = makeSource, .protocol = std::make_unique<platform::PlatformProtocol>() });
        if (!daemon.start())
            _exit(2);
        std::size_t pages = 0;
        std::ifstream("/proc/self/statm") >> pages;
        rlim_t limit = pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) + spareBytes;
        rlimit addressSpace { .rlim_cur = limit, .rlim_max = limit };
        std::uint16_t port = daemon.callerPort();
        if (setrlimit(RLIMIT_AS, &addressSpace) != 0 || write(portPipe, &port, sizeof(port)) != sizeof(port))
            _exit(3);
        daemon.run();
        _exit(0);
    }
};

}

// Guards against callers whose bodies end a process that has less memory than it was told.
TEST_CASE("a router without memory for bodies refuses them and serves the next request", "[callbacks][memory]")
{
    constexpr std::size_t bodyBytes = 4'000'000;
    LimitedRouter router(20 * bytesPerMb);
    std::string head
        = "POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + "x";
    std::vector<BlockingSocket> callers;
    for (int i = 0; i < 100; ++i) {
        callers.push_back(BlockingSocket::connectTo(router.port));
        REQUIRE(callers.back().isConnected());
        callers.back().write(head);
    }
    // The last ones find no room.
    CHECK(callers.back().readUntil("\r\n") == "HTTP/1.1 503 Service Unavailable\r\n");
    CHECK(router.isRunning());
    callers.clear();
    BlockingSocket caller = BlockingSocket::connectTo(router.port);
    REQUIRE(caller.isConnected());
    caller.write("GET / HTTP/1.1\r\nHost: shop\r\n\r\n");
    CHECK(caller.readUntil("}}\n").find("not_ready") != std::string::npos);
    CHECK(router.isRunning());
}

#endif
