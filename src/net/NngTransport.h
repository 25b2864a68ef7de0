#pragma once

#include "net/Interfaces.h"

#include <memory>

struct event_base;

namespace jasminestack {

/// \brief Time limits of NngTransport.
struct NngTransportOptions {
    Millis silence { 3'000 }; ///< A connection is replaced when nothing was heard from its peer for this time.
    Millis minimumAge { 1'500 }; ///< A younger connection is not replaced: a probe over it may still be answered.
    Millis unused { 10'000 }; ///< A connection over which nothing was sent for this time is closed.
};

/// \brief Totals since the start. Bytes contain nng's framing of 8 bytes a message.
struct NngTransportCounters {
    std::uint64_t messagesSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t messagesReceived { 0 };
    std::uint64_t bytesReceived { 0 };
    std::uint64_t messagesDropped { 0 }; ///< Not sent, because the peer's queue was full.
    std::uint64_t connectionsReplaced { 0 };
};

/// \brief PeerTransport over nng: one PULL listener, and one PUSH socket with one dialer for each peer in contact.
///
/// nng runs threads of its own; this class touches their sockets only from the loop's thread, through the receive
/// descriptor and non-blocking calls. PUSH connections carry data one way, so silence is judged by what the peer sends
/// back over its own connection (notifyPeerActive()).
class NngTransport final : public PeerTransport {
public:
    /// nng puts the length of each message before it as 8 bytes.
    static constexpr std::size_t framingBytes = 8;

    /// \brief Listens on \p address ("IP:PORT"; port 0 chooses a free one).
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

    /// \brief Closes unused connections; called by the class itself once a second.
    void maintain();

    [[nodiscard]] std::uint16_t port() const noexcept;
    [[nodiscard]] const NngTransportCounters& counters() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct State;
    explicit NngTransport(std::unique_ptr<State>);

    std::unique_ptr<State> m_state;
};

}
