#include "net/NngTransport.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace jasminestack;

namespace {

struct Loop {
    event_base* base { event_base_new() };

    Loop() = default;
    ~Loop() { event_base_free(base); }
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Runs until \p done; the bound on rounds of 10 ms only ends a failing test.
    template <typename Done> bool until(Done done)
    {
        for (int round = 0; round < 1'000 && !done(); ++round) {
            timeval step { .tv_sec = 0, .tv_usec = 10'000 };
            event_base_loopexit(base, &step);
            event_base_loop(base, 0);
        }
        return done();
    }
};

std::unique_ptr<NngTransport> openLink(Loop& loop, const Clock& clock)
{
    auto link = NngTransport::open(*loop.base, clock, "127.0.0.1:0");
    REQUIRE(link);
    return std::move(link.value());
}

std::string addressOf(const NngTransport& link) { return "127.0.0.1:" + std::to_string(link.port()); }

/// A TCP listener whose connections accept bytes and never answer.
struct SilentListener {
    int socket { ::socket(AF_INET, SOCK_STREAM, 0) };
    std::string address;

    SilentListener()
    {
        sockaddr_in local {};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(local);
        REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&local), length) == 0);
        REQUIRE(listen(socket, 8) == 0);
        getsockname(socket, reinterpret_cast<sockaddr*>(&local), &length);
        address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    }
    ~SilentListener() { close(socket); }
    SilentListener(const SilentListener&) = delete;
    SilentListener& operator=(const SilentListener&) = delete;
};

}

// Guards against lost or altered messages on a healthy connection, and against wrong byte counts.
TEST_CASE("messages arrive over nng and are counted with their framing", "[link]")
{
    Loop loop;
    FakeClock clock;
    auto a = openLink(loop, clock);
    auto b = openLink(loop, clock);
    std::vector<std::string> received;
    b->setReceiveHandler([&](std::string_view bytes) { received.emplace_back(bytes); });
    std::string large(300'000, 'y');
    a->send(addressOf(*b), "one");
    a->send(addressOf(*b), large);
    REQUIRE(loop.until([&] { return received.size() == 2; }));
    REQUIRE(received[0] == "one");
    REQUIRE(received[1] == large);
    REQUIRE(a->counters().bytesSent == 3 + 300'000 + 16);
    REQUIRE(b->counters().bytesReceived == 3 + 300'000 + 16);
    REQUIRE(b->counters().messagesReceived == 2);
}

// Guards against a send that blocks the loop while the peer reads nothing.
TEST_CASE("sends to a peer that never reads are dropped", "[link]")
{
    Loop loop;
    FakeClock clock;
    SilentListener silent;
    auto link = openLink(loop, clock);
    std::string payload(10'000, 'z');
    for (int i = 0; i < 200; ++i)
        link->send(silent.address, payload);
    REQUIRE(link->counters().messagesSent == 32);
    REQUIRE(link->counters().messagesDropped == 168);
}

// Guards against keeping a connection that went silent, and against replacing one that works.
TEST_CASE("a connection whose peer is silent for 3 s is replaced, an unused one is closed", "[link]")
{
    Loop loop;
    FakeClock clock;
    SilentListener silent;
    auto link = openLink(loop, clock);
    link->send(silent.address, "a");
    clock.advance({ 2'900 });
    link->notifyPeerActive(silent.address);
    clock.advance({ 2'900 });
    link->send(silent.address, "b");
    REQUIRE(link->counters().connectionsReplaced == 0);
    clock.advance({ 100 });
    link->send(silent.address, "c");
    REQUIRE(link->counters().connectionsReplaced == 1);
    REQUIRE(link->connections() == 1);

    link->reconnect(silent.address);
    REQUIRE(link->counters().connectionsReplaced == 1);
    clock.advance({ 1'500 });
    link->reconnect(silent.address);
    REQUIRE(link->counters().connectionsReplaced == 2);

    link->send(silent.address, "d");
    clock.advance({ 9'999 });
    link->maintain();
    REQUIRE(link->connections() == 1);
    clock.advance({ 1 });
    link->maintain();
    REQUIRE(link->connections() == 0);
}

// Guards against a link that stays broken after its peer restarts on the same address.
TEST_CASE("messages arrive again after the peer restarts", "[link]")
{
    Loop loop;
    FakeClock clock;
    auto a = openLink(loop, clock);
    auto b = openLink(loop, clock);
    std::string address = addressOf(*b);
    int received = 0;
    auto count = [&](std::string_view) { ++received; };
    b->setReceiveHandler(count);
    a->send(address, "x");
    REQUIRE(loop.until([&] { return received == 1; }));
    b.reset();
    auto again = NngTransport::open(*loop.base, clock, address);
    REQUIRE(again);
    again.value()->setReceiveHandler(count);
    REQUIRE(loop.until([&] {
        a->send(address, "y");
        return received > 1;
    }));
}

// Guards against a failed start that is reported late or ends the process.
TEST_CASE("a peer address that cannot be used is an error", "[link]")
{
    Loop loop;
    FakeClock clock;
    auto first = openLink(loop, clock);
    REQUIRE(NngTransport::open(*loop.base, clock, addressOf(*first)).error().kind == ErrorKind::SettingsInvalid);
    REQUIRE_FALSE(NngTransport::open(*loop.base, clock, "nonsense"));
}
