#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct event;
struct event_base;
struct evhttp_connection;
struct evhttp_request;

namespace jasminestack::standins {

/// \returns Monotonic time in milliseconds with microsecond resolution; the same clock in all processes of a host.
[[nodiscard]] double monotonicMs() noexcept;

/// \brief A one-shot timer on the event loop.
class Timer {
public:
    Timer(event_base&, std::function<void()>);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// \brief Calls the function once after \p delayMs; replaces a delay that is still running.
    void start(double delayMs);
    void stop();

private:
    event* m_event;
    std::function<void()> m_function;
};

/// \brief One HTTP request to a stand-in and its response.
class Exchange {
public:
    Exchange(evhttp_request*, evhttp_connection*);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    [[nodiscard]] std::string_view method() const noexcept { return m_method; }
    [[nodiscard]] const std::string& path() const noexcept { return m_path; }
    [[nodiscard]] const std::string& body() const noexcept { return m_body; }
    /// \returns The query parameter, or \p fallback.
    [[nodiscard]] std::string queryParameter(const std::string& name, std::string_view fallback = {}) const;
    /// \returns The request header, or an empty string.
    [[nodiscard]] std::string header(const char* name) const;

    void addHeader(const char* name, const std::string& value);
    void respond(int status, std::string_view body, const char* contentType = "application/json");
    void startStream();
    void sendChunk(std::string_view data);
    void endStream();
    /// \brief Closes the connection without completing the response.
    void dropConnection();

    /// \returns Number of response bytes in the send buffer.
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] bool isClosed() const noexcept { return m_request == nullptr; }
    /// \brief Sets the function that is called when the connection closes before the response is complete.
    void onClosed(std::function<void()> function) { m_onClosed = std::move(function); }

private:
    friend class StandinServer;
    void handleConnectionClosed();

    evhttp_request* m_request;
    evhttp_connection* m_connection;
    bool m_isSilent { false };
    std::string m_method;
    std::string m_path;
    std::string m_query;
    std::string m_body;
    std::function<void()> m_onClosed;
};

using ExchangePointer = std::shared_ptr<Exchange>;

/// \brief An HTTP server on one loopback address that can simulate connection faults.
class StandinServer {
public:
    using Handler = std::function<void(const ExchangePointer&)>;

    StandinServer(event_base&, std::string address, Handler);
    ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    /// \returns Whether the address could be bound.
    [[nodiscard]] bool isListening() const noexcept;
    [[nodiscard]] std::size_t openConnections() const noexcept { return m_connections.size(); }

    /// \brief Closes all connections, calls \p dropped, and refuses connections for \p downMs.
    void crash(double downMs, std::function<void()> dropped);

    /// \brief Keeps the connections that are open now open without sending on them again; new connections work.
    void silenceOpenConnections();

    /// \brief Ignores all requests that arrive within \p durationMs; they never get a response.
    void silenceAll(double durationMs);

private:
    struct Http;
    struct Connection {
        bool isSilent { false };
        std::weak_ptr<Exchange> currentExchange;
        ExchangePointer unansweredExchange; ///< Kept alive so that its connection stays open; never gets a response.
    };

    void listen();
    void handleRequest(evhttp_request*);
    void handleClosedConnection(evhttp_connection*);

    event_base& m_base;
    std::string m_address;
    Handler m_handler;
    std::unique_ptr<Http> m_http;
    std::map<evhttp_connection*, Connection> m_connections;
    std::unique_ptr<Timer> m_crashTimer;
    std::unique_ptr<Timer> m_restartTimer;
    double m_silentUntil { 0 };
};

}
