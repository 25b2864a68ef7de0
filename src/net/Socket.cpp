#include "net/Socket.h"

#include "net/HttpClient.h"

#include <arpa/inet.h>
#include <cerrno>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <new>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminestack {

namespace {

    void setOption(int descriptor, int level, int name, int value) noexcept
    {
        setsockopt(descriptor, level, name, &value, sizeof(value));
    }

}

FileDescriptor::~FileDescriptor()
{
    if (m_value >= 0)
        close(m_value);
}

void EventDeleter::operator()(event* item) const noexcept { event_free(item); }

EventPointer makeEvent(
    event_base& base, int descriptor, short events, void (*callback)(int, short, void*), void* argument)
{
    EventPointer created(event_new(&base, descriptor, events, callback, argument));
    if (!created)
        throw std::bad_alloc();
    return created;
}

void configureConnection(int descriptor, const TcpKeepAliveOptions& options) noexcept
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, options.keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, options.keepAliveProbes);
    setUnacknowledgedTimeout(descriptor, options.unacknowledgedTimeout);
}

void setUnacknowledgedTimeout(int descriptor, Millis timeout) noexcept
{
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count));
}

void setAddressReusable(int descriptor) noexcept { setOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1); }

void setReceiveBuffer(int descriptor, int bytes) noexcept { setOption(descriptor, SOL_SOCKET, SO_RCVBUF, bytes); }

bool isOutputAcknowledged(int descriptor) noexcept
{
    int unacknowledgedBytes = 0;
    return ioctl(descriptor, SIOCOUTQ, &unacknowledgedBytes) != 0 || unacknowledgedBytes == 0;
}

void setResetOnClose(int descriptor, bool isReset) noexcept
{
    linger option { .l_onoff = isReset ? 1 : 0, .l_linger = 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

bool isOutOfDescriptors(int error) noexcept
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

Result<FileDescriptor> startConnection(std::string_view address, int receiveBufferBytes)
{
    auto split = splitAddress(address);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    if (!split || inet_pton(AF_INET, split.value().first.c_str(), &target.sin_addr) != 1)
        return Error { .kind = ErrorKind::EndpointUnavailable, .message = "invalid address " + std::string(address) };
    target.sin_port = htons(split.value().second);
    FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.value() < 0)
        return Error { .kind = isOutOfDescriptors(errno) ? ErrorKind::RouterOverloaded : ErrorKind::EndpointUnavailable,
            .message = "cannot create a socket" };
    configureConnection(socket.value());
    setAddressReusable(socket.value());
    if (receiveBufferBytes != 0)
        setReceiveBuffer(socket.value(), receiveBufferBytes);
    if (connect(socket.value(), reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0 && errno != EINPROGRESS)
        return Error { .kind = ErrorKind::EndpointUnavailable, .message = "cannot connect to " + std::string(address) };
    return socket;
}

timeval toTimeval(Millis duration) noexcept
{
    return { .tv_sec = duration.count / 1000, .tv_usec = (duration.count % 1000) * 1000 };
}

}
