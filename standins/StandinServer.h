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

    /// \brief Calls the function once after \p delayMs; replaces an earlier start.
    void start(double delayMs);
    void stop();

private:
    event* m_event;
    std::function<void()> m_function;
};

/// \brief One request to a stand-in and its answer.
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
    [[nodiscard]] std::string query(const std::string& name, std::string_view fallback = {}) const;
    /// \returns The request header, or an empty string.
    [[nodiscard]] std::string header(const char* name) const;

    void addHeader(const char* name, const std::string& value);
    void reply(int status, std::string_view body, const char* contentType = "application/json");
    void startStream();
    void chunk(std::string_view data);
    void endStream();
    /// \brief Closes the connection without an answer.
    void drop();

    /// \returns Bytes of the answer that the caller has not taken yet.
    [[nodiscard]] std::size_t unsent() const;
    [[nodiscard]] bool closed() const noexcept { return m_request == nullptr; }
    /// \brief Sets the function that is called when the caller closes the connection before the answer is complete.
    void onClosed(std::function<void()> function) { m_onClosed = std::move(function); }

private:
    friend class StandinServer;
    void connectionClosed();

    evhttp_request* m_request;
    evhttp_connection* m_connection;
    bool m_silent { false };
    std::string m_method;
    std::string m_path;
    std::string m_query;
    std::string m_body;
    std::function<void()> m_onClosed;
};

using ExchangePointer = std::shared_ptr<Exchange>;

/// \brief An HTTP server on one loopback address, with faults of its connections.
class StandinServer {
public:
    using Handler = std::function<void(const ExchangePointer&)>;

    StandinServer(event_base&, std::string address, Handler);
    ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    /// \returns Whether the address could be bound.
    [[nodiscard]] bool listening() const noexcept;
    [[nodiscard]] std::size_t openConnections() const noexcept { return m_connections.size(); }

    /// \brief Drops all connections and refuses new ones for \p downMs; \p dropped is called in between.
    void crash(double downMs, std::function<void()> dropped);

    /// \brief All connections that are open now stay open but never carry an answer again; new ones work.
    void silenceOpenConnections();

    /// \brief Answers nothing on any connection for \p durationMs.
    void silenceAll(double durationMs);

private:
    struct Http;
    struct Connection {
        bool silent { false };
        std::weak_ptr<Exchange> current;
        ExchangePointer held; ///< A request that is never answered.
    };

    void listen();
    void accept(evhttp_request*);
    void closed(evhttp_connection*);

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
