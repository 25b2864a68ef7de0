#pragma once

#include "StandinServer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace jasminestack::standins {

/// \brief How a request/response exchange of the load generator ended on its connection.
enum class TransferOutcome : std::uint8_t {
    Complete, ///< The response is complete according to its framing.
    NotConnected, ///< The connection failed; nothing was sent.
    NoResponse, ///< The connection closed before the first byte of the response.
    Broken, ///< The connection closed within the response.
    TimedOut,
};

/// \brief A caller's keep-alive connection, which carries one request at a time.
///
/// Unlike evhttp's client it distinguishes a refused connection from one that closed later.
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

    /// \brief Sends one request; \p text holds request line, headers and body. onEnd is called exactly once.
    void send(const std::string& address, std::string_view text, double timeoutMs);

    /// \brief Closes the connection; a request in flight gets no further event.
    void close();

private:
    enum class Stage : std::uint8_t { Idle, Head, Length, ChunkSize, ChunkData, ChunkEnd, Trailer, UntilClose };

    void connect(const std::string& address);
    void read();
    bool parseHead();
    bool parseChunkSize();
    bool deliverBody(std::size_t limit);
    void finish(TransferOutcome);
    static void onRead(bufferevent*, void*);
    static void onEvent(bufferevent*, short, void*);

    event_base& m_base;
    Events m_events;
    bufferevent* m_buffer { nullptr };
    std::string m_address;
    Timer m_timeoutTimer;
    Timer m_connectFailureTimer;
    bool m_isConnected { false };
    bool m_hasResponseBytes { false };
    bool m_closeAfterResponse { false };
    Stage m_stage { Stage::Idle };
    std::size_t m_remainingBytes { 0 };
};

}
