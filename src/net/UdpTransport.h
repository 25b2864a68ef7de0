#pragma once

#include "base/Result.h"
#include "net/Interfaces.h"
#include "net/Socket.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct event_base;

namespace jasminestack {

/// \brief PeerTransport over UDP datagrams. A later message of a peer supersedes its earlier ones, so lost datagrams
/// are not retransmitted and no connections are needed.
class UdpTransport final : public PeerTransport {
public:
    explicit UdpTransport(event_base&);
    ~UdpTransport() override;
    UdpTransport(const UdpTransport&) = delete;
    UdpTransport& operator=(const UdpTransport&) = delete;

    /// \brief Binds \p address ("IP:PORT").
    /// \returns SettingsInvalid if the address cannot be bound.
    [[nodiscard]] Result<void> bind(std::string_view address);

    void send(std::string_view address, std::string_view bytes) override;
    void setReceiveHandler(Handler) override;

    /// \returns Number of datagrams that could not be sent.
    [[nodiscard]] std::uint64_t droppedDatagrams() const noexcept { return m_droppedDatagrams; }

private:
    void receive();

    event_base& m_base;
    FileDescriptor m_socket;
    EventPointer m_readEvent;
    Handler m_handler;
    std::vector<char> m_receiveBuffer;
    std::uint64_t m_droppedDatagrams { 0 };
};

}
