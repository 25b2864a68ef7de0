#pragma once

#include "base/Hash.h"
#include "daemon/Daemon.h"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

/// \file
/// \brief A whole daemon on loopback; the test acts as caller and endpoint with blocking sockets.

namespace jasminestack::test {

/// \brief A blocking socket with a long timeout for each receive, so that a fault fails the test instead of blocking
/// it.
class BlockingSocket {
public:
    explicit BlockingSocket(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    BlockingSocket(BlockingSocket&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_received(std::move(other.m_received))
    {
    }
    BlockingSocket& operator=(BlockingSocket&&) = delete;
    ~BlockingSocket() { close(); }

    [[nodiscard]] static BlockingSocket connectTo(std::uint16_t port)
    {
        BlockingSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address = loopbackAddress(port);
        if (connect(socket.m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            socket.close();
        return socket;
    }

    [[nodiscard]] static sockaddr_in loopbackAddress(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    [[nodiscard]] bool isConnected() const { return m_descriptor >= 0; }
    [[nodiscard]] int descriptor() const { return m_descriptor; }

    void write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                throw std::runtime_error("the peer does not read");
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    /// \brief Sends bytes until the socket has accepted no more for \p milliseconds.
    /// \returns The number of bytes sent.
    std::size_t writeSome(std::string_view bytes, int milliseconds) const
    {
        std::size_t total = 0;
        pollfd state { .fd = m_descriptor, .events = POLLOUT };
        while (total < bytes.size() && poll(&state, 1, milliseconds) > 0) {
            ssize_t sent
                = ::send(m_descriptor, bytes.data() + total, bytes.size() - total, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent <= 0)
                break;
            total += static_cast<std::size_t>(sent);
        }
        return total;
    }

    /// \returns All bytes up to and including the first \p delimiter.
    [[nodiscard]] std::string readUntil(std::string_view delimiter)
    {
        std::size_t delimiterPosition = 0;
        std::size_t searchStart = 0;
        while ((delimiterPosition = m_received.find(delimiter, searchStart)) == std::string::npos) {
            searchStart = m_received.size() - std::min(m_received.size(), delimiter.size() - 1);
            if (!receive())
                throw std::runtime_error(
                    "closed before '" + std::string(delimiter) + "', got: " + m_received.substr(0, 500));
        }
        std::string result = m_received.substr(0, delimiterPosition + delimiter.size());
        m_received.erase(0, result.size());
        return result;
    }

    /// \returns All bytes until the peer closes.
    [[nodiscard]] std::string readToEnd()
    {
        while (receive()) { }
        return std::exchange(m_received, {});
    }

    /// \brief Closes the connection with a reset.
    void closeWithReset()
    {
        linger option { .l_onoff = 1, .l_linger = 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }

private:
    bool receive()
    {
        constexpr int receiveTimeoutMs = 20'000;
        pollfd state { .fd = m_descriptor, .events = POLLIN };
        if (poll(&state, 1, receiveTimeoutMs) <= 0)
            throw std::runtime_error("timeout on receive, got: " + m_received.substr(0, 500));
        char buffer[65536];
        ssize_t length = ::recv(m_descriptor, buffer, sizeof(buffer), 0);
        if (length <= 0)
            return false;
        m_received.append(buffer, static_cast<std::size_t>(length));
        return true;
    }

    int m_descriptor;
    std::string m_received;
};

/// \brief A listening socket.
class ListeningSocket {
public:
    ListeningSocket()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = BlockingSocket::loopbackAddress(0);
        socklen_t length = sizeof(address);
        if (bind(m_socket.descriptor(), reinterpret_cast<sockaddr*>(&address), length) != 0
            || ::listen(m_socket.descriptor(), 64) != 0)
            throw std::runtime_error("cannot listen");
        getsockname(m_socket.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    [[nodiscard]] BlockingSocket accept() const
    {
        pollfd state { .fd = m_socket.descriptor(), .events = POLLIN };
        if (poll(&state, 1, 20'000) <= 0)
            throw std::runtime_error("timeout on accept");
        return BlockingSocket(::accept(m_socket.descriptor(), nullptr, nullptr));
    }

    /// \returns Whether a connection can be accepted within \p milliseconds.
    [[nodiscard]] bool hasPendingConnection(int milliseconds) const
    {
        pollfd state { .fd = m_socket.descriptor(), .events = POLLIN };
        return poll(&state, 1, milliseconds) > 0;
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// \brief Ends listening; later connections are refused.
    void close() { m_socket.close(); }

private:
    BlockingSocket m_socket;
    std::uint16_t m_port { 0 };
};

inline std::string headerValue(const std::string& head, std::string_view name)
{
    std::size_t start = head.find("\r\n" + std::string(name) + ": ");
    if (start == std::string::npos)
        return {};
    start += name.size() + 4;
    return head.substr(start, head.find('\r', start) - start);
}

/// \returns A loopback address with a free port, another one at each call. It is below the range from which the system
/// takes the ports of connections and of listeners without a fixed port, so that none of them takes it before it is
/// used.
inline std::string freeAddress()
{
    constexpr unsigned firstPort = 10'000;
    constexpr unsigned portCount = 20'000;
    constexpr unsigned portsPerProcess = 97; // Processes with successive ids start far from each other.
    static std::atomic<unsigned> next { static_cast<unsigned>(getpid()) * portsPerProcess };
    for (unsigned i = 0; i < portCount; ++i) {
        auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        BlockingSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address = BlockingSocket::loopbackAddress(port);
        if (bind(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
            return "127.0.0.1:" + std::to_string(port);
    }
    throw std::runtime_error("no port is free");
}

/// \brief A daemon on its own thread with one engine and one plain service, for both of which the test responds.
struct LoopbackDaemon {
    ListeningSocket engine;
    ListeningSocket serviceListener;
    Configuration configuration;
    std::unique_ptr<Daemon> daemon;
    std::thread thread;
    std::atomic<int> exitCode { -1 };

    explicit LoopbackDaemon(DaemonSettings settings = {}, unsigned slots = 8)
    {
        configuration.version = 1;
        WorkspaceConfig workspace { .id = WorkspaceId { "ws-1" }, .keyHashes = { "sha256:" + sha256Hex("key-1") } };
        configuration.workspaces.emplace(workspace.id, workspace);
        addPool({ .id = PoolId { "assistants" }, .models = { "care-9b" } }, engine, slots);
        addPool({ .id = PoolId { "desk" }, .kind = PoolKind::Service }, serviceListener, slots);
        configuration.routes["booking"] = { .prefix = "/booking/", .pool = PoolId { "desk" } };

        settings.daemon.id = DaemonId { "daemon-1" };
        settings.callers.address = "127.0.0.1:0";
        // The test serves one connection at a time and expects only the requests under test, so load polling is off.
        settings.endpoints.loadInterval = {};
        daemon = std::make_unique<Daemon>(settings, [this]() -> const Configuration& { return configuration; });
        auto started = daemon->start();
        if (!started)
            throw std::runtime_error(started.error().message);
        daemon->watchSignals();
        thread = std::thread([this] { exitCode = daemon->run(); });
    }

    ~LoopbackDaemon()
    {
        if (!thread.joinable())
            return;
        // A second signal ends the daemon immediately.
        while (exitCode < 0) {
            signalDaemon();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        thread.join();
    }

    static void signalDaemon() { kill(getpid(), SIGTERM); }

    void addPool(PoolConfig pool, const ListeningSocket& listener, unsigned slots)
    {
        EndpointId id { pool.id.value + "-1" };
        pool.endpoints.emplace(id, EndpointConfig { .id = id, .address = listener.address(), .slots = slots });
        configuration.pools.emplace(pool.id, pool);
    }

    [[nodiscard]] BlockingSocket connectCaller() const { return BlockingSocket::connectTo(daemon->callerPort()); }

    static std::string request(std::string_view method, std::string_view target, std::string_view body = {})
    {
        return std::string(method) + " " + std::string(target)
            + " HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer key-1\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    }
    static std::string chatRequest()
    {
        return request("POST", "/v1/chat/completions", R"({"model":"care-9b","stream":true})");
    }

    static std::string eventStreamHead(const std::string& requestHead)
    {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: "
            + headerValue(requestHead, "X-Request-Id") + "\r\n\r\n";
    }
    static std::string response(const std::string& requestHead, std::string_view body, int status = 200)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nX-Request-Id: " + headerValue(requestHead, "X-Request-Id") + "\r\n\r\n" + std::string(body);
    }
    static std::string encodeChunk(std::string_view bytes)
    {
        char size[32];
        snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return size + std::string(bytes) + "\r\n";
    }
};

}
