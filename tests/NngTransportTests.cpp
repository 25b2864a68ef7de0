#include "net/NngTransport.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace jasminestack;

namespace {

struct EventLoop {
    event_base* base { event_base_new() };

    EventLoop() = default;
    ~EventLoop() { event_base_free(base); }
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs the event loop until \p isDone; the bound on rounds of 10 ms only ends a failing test.
    template <typename Predicate> bool runUntil(Predicate isDone)
    {
        for (int round = 0; round < 1'000 && !isDone(); ++round) {
            timeval roundTime { .tv_sec = 0, .tv_usec = 10'000 };
            event_base_loopexit(base, &roundTime);
            event_base_loop(base, 0);
        }
        return isDone();
    }
};

std::unique_ptr<NngTransport> openTransport(EventLoop& loop, const Clock& clock)
{
    auto transport = NngTransport::open(*loop.base, clock, "127.0.0.1:0");
    REQUIRE(transport);
    return std::move(transport.value());
}

std::string addressOf(const NngTransport& transport) { return "127.0.0.1:" + std::to_string(transport.port()); }

/// A TCP listener whose connections accept bytes and never send any.
struct SilentListener {
    int socket { ::socket(AF_INET, SOCK_STREAM, 0) };
    std::string address;

    SilentListener()
    {
        sockaddr_in listenAddress {};
        listenAddress.sin_family = AF_INET;
        listenAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(listenAddress);
        REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&listenAddress), length) == 0);
        REQUIRE(listen(socket, 8) == 0);
        getsockname(socket, reinterpret_cast<sockaddr*>(&listenAddress), &length);
        address = "127.0.0.1:" + std::to_string(ntohs(listenAddress.sin_port));
    }
    ~SilentListener() { close(socket); }
    SilentListener(const SilentListener&) = delete;
    SilentListener& operator=(const SilentListener&) = delete;
};

}

// Guards against lost or altered messages on a healthy connection, and against wrong byte counts.
TEST_CASE("messages are received over nng and counted with their framing", "[link]")
{
    EventLoop loop;
    FakeClock clock;
    auto sender = openTransport(loop, clock);
    auto receiver = openTransport(loop, clock);
    std::vector<std::string> received;
    receiver->setReceiveHandler([&](std::string_view bytes) { received.emplace_back(bytes); });
    std::string large(300'000, 'y');
    sender->send(addressOf(*receiver), "one");
    sender->send(addressOf(*receiver), large);
    REQUIRE(loop.runUntil([&] { return received.size() == 2; }));
    REQUIRE(received[0] == "one");
    REQUIRE(received[1] == large);
    REQUIRE(sender->counters().bytesSent == 3 + 300'000 + 16);
    REQUIRE(receiver->counters().bytesReceived == 3 + 300'000 + 16);
    REQUIRE(receiver->counters().messagesReceived == 2);
}

// Guards against a send that blocks the event loop because the peer does not read.
TEST_CASE("sends to a peer that never reads are dropped", "[link]")
{
    EventLoop loop;
    FakeClock clock;
    SilentListener silentPeer;
    auto transport = openTransport(loop, clock);
    std::string payload(10'000, 'z');
    for (int i = 0; i < 200; ++i)
        transport->send(silentPeer.address, payload);
    REQUIRE(transport->counters().messagesSent == 32);
    REQUIRE(transport->counters().messagesDropped == 168);
}

// Guards against keeping a connection whose peer stopped sending, and against replacing a working one.
TEST_CASE("a connection whose peer is silent for 3 s is replaced, an unused one is closed", "[link]")
{
    EventLoop loop;
    FakeClock clock;
    SilentListener silentPeer;
    auto transport = openTransport(loop, clock);
    transport->send(silentPeer.address, "a");
    clock.advance({ 2'900 });
    transport->notifyPeerActive(silentPeer.address);
    clock.advance({ 2'900 });
    transport->send(silentPeer.address, "b");
    REQUIRE(transport->counters().connectionsReplaced == 0);
    clock.advance({ 100 });
    transport->send(silentPeer.address, "c");
    REQUIRE(transport->counters().connectionsReplaced == 1);
    REQUIRE(transport->connectionCount() == 1);

    transport->reconnect(silentPeer.address);
    REQUIRE(transport->counters().connectionsReplaced == 1);
    clock.advance({ 1'500 });
    transport->reconnect(silentPeer.address);
    REQUIRE(transport->counters().connectionsReplaced == 2);

    transport->send(silentPeer.address, "d");
    clock.advance({ 9'999 });
    transport->closeUnusedConnections();
    REQUIRE(transport->connectionCount() == 1);
    clock.advance({ 1 });
    transport->closeUnusedConnections();
    REQUIRE(transport->connectionCount() == 0);
}

// Guards against a transport that cannot reach a peer after it restarts on the same address.
TEST_CASE("messages are received again after the peer restarts", "[link]")
{
    EventLoop loop;
    FakeClock clock;
    auto sender = openTransport(loop, clock);
    auto receiver = openTransport(loop, clock);
    std::string address = addressOf(*receiver);
    int received = 0;
    auto countMessage = [&](std::string_view) { ++received; };
    receiver->setReceiveHandler(countMessage);
    sender->send(address, "x");
    REQUIRE(loop.runUntil([&] { return received == 1; }));
    receiver.reset();
    auto restarted = NngTransport::open(*loop.base, clock, address);
    REQUIRE(restarted);
    restarted.value()->setReceiveHandler(countMessage);
    REQUIRE(loop.runUntil([&] {
        sender->send(address, "y");
        return received > 1;
    }));
}

// Guards against an error on listening that is reported late or ends the process.
TEST_CASE("opening a transport on an unusable address is an error", "[link]")
{
    EventLoop loop;
    FakeClock clock;
    auto first = openTransport(loop, clock);
    REQUIRE(NngTransport::open(*loop.base, clock, addressOf(*first)).error().kind == ErrorKind::SettingsInvalid);
    REQUIRE_FALSE(NngTransport::open(*loop.base, clock, "nonsense"));
}
