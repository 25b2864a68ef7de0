#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "net/Socket.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <vector>

using namespace jasminestack;

namespace {

sockaddr_in localAddressOf(const FileDescriptor& socket)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    REQUIRE(getsockname(socket.value(), reinterpret_cast<sockaddr*>(&address), &length) == 0);
    return address;
}

/// \returns A socket that listens on \p address as the servers do, or one without a descriptor.
FileDescriptor listenOn(const sockaddr_in& address)
{
    FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int reuseAddress = 1;
    setsockopt(socket.value(), SOL_SOCKET, SO_REUSEADDR, &reuseAddress, sizeof(reuseAddress));
    if (bind(socket.value(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || listen(socket.value(), 1) != 0)
        return {};
    return socket;
}

struct Endpoint {
    FileDescriptor listener;
    std::string address;
};

Endpoint startEndpoint()
{
    sockaddr_in anyPort {};
    anyPort.sin_family = AF_INET;
    anyPort.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Endpoint endpoint { .listener = listenOn(anyPort) };
    REQUIRE(endpoint.listener.value() >= 0);
    endpoint.address = "127.0.0.1:" + std::to_string(ntohs(localAddressOf(endpoint.listener).sin_port));
    return endpoint;
}

// Other programs' connections may have the same local port, so that listening on it can fail without a fault.
constexpr int attempts = 20;

/// \returns The local address of a new connection to \p endpoint by startConnection(), which ends if \p isClosed.
sockaddr_in connectTo(const Endpoint& endpoint, std::vector<FileDescriptor>& open, bool isClosed)
{
    auto connection = startConnection(endpoint.address);
    REQUIRE(connection);
    pollfd connected { .fd = connection.value().value(), .events = POLLOUT };
    REQUIRE(poll(&connected, 1, 5'000) == 1);
    sockaddr_in local = localAddressOf(connection.value());
    FileDescriptor accepted(accept(endpoint.listener.value(), nullptr, nullptr));
    if (!isClosed) {
        open.push_back(std::move(connection.value()));
        open.push_back(std::move(accepted));
    }
    return local;
}
}

// A process whose port had become the local port of another router's connection did not start, and not for a minute
// after the connection's end.
TEST_CASE("a connection to an endpoint does not keep a process from listening on its local port", "[socket]")
{
    Endpoint endpoint = startEndpoint();
    std::vector<FileDescriptor> open;
    bool isClosed = GENERATE(false, true);
    bool canListen = false;
    for (int i = 0; i < attempts && !canListen; ++i)
        canListen = listenOn(connectTo(endpoint, open, isClosed)).value() >= 0;
    CHECK(canListen);
}

// The same for calls to the store.
TEST_CASE("a call by HTTP does not keep a process from listening on its local port", "[socket]")
{
    Endpoint endpoint = startEndpoint();
    EventBasePointer base(event_base_new());
    HttpClient client(*base);
    std::vector<FileDescriptor> open;
    bool canListen = false;
    for (int i = 0; i < attempts && !canListen; ++i) {
        client.send({ .address = endpoint.address, .target = "/", .timeout = Millis { 5'000 } }, [](auto) {});
        sockaddr_in local {};
        socklen_t length = sizeof(local);
        open.emplace_back(accept(endpoint.listener.value(), reinterpret_cast<sockaddr*>(&local), &length));
        REQUIRE(open.back().value() >= 0);
        canListen = listenOn(local).value() >= 0;
    }
    CHECK(canListen);
}
