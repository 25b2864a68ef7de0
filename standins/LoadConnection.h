#pragma once

#include "StandinServer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace jasminestack::standins {

/// \brief How a request of the load generator ended on the wire.
enum class TransferOutcome : std::uint8_t {
    Complete, ///< The answer is complete as its framing says.
    NotConnected, ///< No connection; nothing was sent.
    NoAnswer, ///< The connection broke before the first byte of the answer.
    Broken, ///< The connection broke within the answer.
    TimedOut,
};

/// \brief A caller's keep-alive connection, which carries one request at a time.
///
/// It differs from evhttp's client in that it tells a refused connection from one that broke later.
class LoadConnection {
public:
    struct Events {
        std::function<void(int status)> onHead;
        std::function<void(std::string_view)> onData;
        std::function<void(TransferOutcome)> onEnd;
    };

    LoadConnection(event_base&, Events);
    ~LoadConnection();
    LoadConnection(const LoadConnection&) = delete;
    LoadConnection& operator=(const LoadConnection&) = delete;

    /// \brief Sends one request; \p text holds request line, headers and body. onEnd follows exactly once.
    void send(const std::string& address, std::string_view text, double timeoutMs);

    /// \brief Closes the connection; a request in progress gets no further event.
    void close();

private:
    enum class Stage : std::uint8_t { Idle, Head, Length, ChunkSize, ChunkData, ChunkEnd, Trailer, UntilClose };

    void connect(const std::string& address);
    void read();
    bool parseHead();
    bool parseChunkSize();
    bool deliver(std::size_t limit);
    void finish(TransferOutcome);
    static void onRead(bufferevent*, void*);
    static void onEvent(bufferevent*, short, void*);

    event_base& m_base;
    Events m_events;
    bufferevent* m_buffer { nullptr };
    std::string m_address;
    Timer m_timeout;
    Timer m_failure;
    bool m_connected { false };
    bool m_answering { false };
    bool m_closeAfter { false };
    Stage m_stage { Stage::Idle };
    std::size_t m_remaining { 0 };
};

}
