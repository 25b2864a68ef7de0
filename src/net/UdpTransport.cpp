#include "net/UdpTransport.h"

#include "net/AddressBinder.h"
#include "net/EventCallback.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>

namespace jasminestack {

namespace {

    constexpr std::size_t maxDatagramBytes = 64U << 10U;

    // Maximum number of datagrams read in one turn of the event loop, so that reading does not delay response streams.
    constexpr int maxDatagramsPerTurn = 128;

    std::optional<sockaddr_in> parseAddress(std::string_view address)
    {
        auto split = splitAddress(address);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        if (!split || inet_pton(AF_INET, split.value().first.c_str(), &target.sin_addr) != 1)
            return std::nullopt;
        target.sin_port = htons(split.value().second);
        return target;
    }

}

UdpTransport::UdpTransport(event_base& base)
    : m_base(base)
    , m_receiveBuffer(maxDatagramBytes)
{
}

UdpTransport::~UdpTransport() = default;

Result<void> UdpTransport::bind(std::string_view address)
{
    auto localAddress = parseAddress(address);
    if (!localAddress)
        return Error { .kind = ErrorKind::SettingsInvalid, .message = "invalid address " + std::string(address) };
    FileDescriptor socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.value() < 0
        || ::bind(socket.value(), reinterpret_cast<const sockaddr*>(&*localAddress), sizeof(*localAddress)) != 0)
        return bindError("udp", address, errno);
    m_socket = std::move(socket);
    m_readEvent.reset(event_new(
        &m_base, m_socket.value(), EV_READ | EV_PERSIST,
        [](int, short, void* argument) { static_cast<UdpTransport*>(argument)->receive(); }, this));
    setEventPriority(*m_readEvent, EventPriority::Control);
    event_add(m_readEvent.get(), nullptr);
    return ok();
}

void UdpTransport::send(std::string_view address, std::string_view bytes)
{
    auto target = parseAddress(address);
    if (!target
        || sendto(m_socket.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&*target), sizeof(*target))
            < 0)
        ++m_droppedDatagrams;
}

void UdpTransport::setReceiveHandler(Handler handler) { m_handler = std::move(handler); }

void UdpTransport::receive()
{
    for (int i = 0; i < maxDatagramsPerTurn; ++i) {
        ssize_t length = recv(m_socket.value(), m_receiveBuffer.data(), m_receiveBuffer.size(), 0);
        if (length < 0)
            return;
        if (m_handler)
            runGuarded("peer_message", [&] {
                m_handler({ m_receiveBuffer.data(), static_cast<std::size_t>(length) });
            });
    }
}

}
