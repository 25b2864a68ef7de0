#pragma once

#include "net/Interfaces.h"

#include <memory>

struct event_base;

namespace jasminestack {

/// \brief Timeouts of NngTransport.
struct NngTransportOptions {
    Millis peerTimeout { 3'000 }; ///< A connection is replaced if no message was received from its peer for this time.
    Millis minReconnectAge {
        1'500
    }; ///< A younger connection is not replaced: a probe sent over it may still be acknowledged.
    Millis unusedTimeout { 10'000 }; ///< A connection is closed if no message was sent over it for this time.
};

/// \brief Totals since the process started. Byte counts include nng's framing of 8 bytes per message.
struct NngTransportCounters {
    std::uint64_t messagesSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t messagesReceived { 0 };
    std::uint64_t bytesReceived { 0 };
    std::uint64_t messagesDropped { 0 }; ///< Not sent because the send queue of the peer's connection was full.
    std::uint64_t connectionsReplaced { 0 };
};

/// \brief PeerTransport over nng: one PULL listener, and one PUSH socket with one dialer for each peer that messages
/// are sent to.
///
/// nng runs background threads; this class uses nng's sockets only from the loop's thread, through the receive
/// descriptor and non-blocking calls. PUSH connections are one-way, so a broken connection is detected by the
/// absence of messages that the peer sends over its own connection (notifyPeerActive()).
class NngTransport final : public PeerTransport {
public:
    /// nng prefixes each message with its length in 8 bytes.
    static constexpr std::size_t framingBytes = 8;

    /// \brief Listens on \p address ("IP:PORT"; with port 0 the system chooses a free port).
    /// \returns SettingsInvalid if the address cannot be used.
    [[nodiscard]] static Result<std::unique_ptr<NngTransport>> open(
        event_base&, const Clock&, std::string_view address, const NngTransportOptions& = {});

    ~NngTransport() override;
    NngTransport(const NngTransport&) = delete;
    NngTransport& operator=(const NngTransport&) = delete;

    void send(std::string_view address, std::string_view bytes) override;
    void setReceiveHandler(Handler) override;
    void notifyPeerActive(std::string_view address) override;
    void reconnect(std::string_view address) override;

    /// \brief Closes unused connections; called once a second by a timer of this class.
    void closeUnusedConnections();

    [[nodiscard]] std::uint16_t port() const noexcept;
    [[nodiscard]] const NngTransportCounters& counters() const noexcept;
    [[nodiscard]] std::size_t connectionCount() const noexcept;

private:
    struct State;
    explicit NngTransport(std::unique_ptr<State>);

    std::unique_ptr<State> m_state;
};

}
