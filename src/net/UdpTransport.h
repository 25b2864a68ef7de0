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

/// \brief Messages between daemons as UDP datagrams: the newest state replaces what was lost before, so nothing is sent
/// again and no connection has to be kept.
class UdpTransport final : public PeerTransport {
public:
    explicit UdpTransport(event_base&);
    ~UdpTransport() override;
    UdpTransport(const UdpTransport&) = delete;
    UdpTransport& operator=(const UdpTransport&) = delete;

    /// \brief Binds \p address ("IP:PORT").
    /// \returns SettingsInvalid if it cannot be bound.
    [[nodiscard]] Result<void> bind(std::string_view address);

    void send(std::string_view address, std::string_view bytes) override;
    void setReceiveHandler(Handler) override;

    /// \returns Datagrams that the socket did not take.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    void receive();

    event_base& m_base;
    FileDescriptor m_socket;
    EventPointer m_readable;
    Handler m_handler;
    std::vector<char> m_buffer;
    std::uint64_t m_dropped { 0 };
};

}
