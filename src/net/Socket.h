#pragma once

#include "base/Clock.h"
#include "base/Result.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <sys/time.h>
#include <utility>

struct event;
struct event_base;

namespace jasminestack {

/// \brief Owns a file descriptor.
class FileDescriptor {
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int value) noexcept
        : m_value(value)
    {
    }
    FileDescriptor(FileDescriptor&& other) noexcept
        : m_value(std::exchange(other.m_value, -1))
    {
    }
    FileDescriptor& operator=(FileDescriptor&& other) noexcept
    {
        std::swap(m_value, other.m_value);
        return *this;
    }
    ~FileDescriptor();

    [[nodiscard]] int value() const noexcept { return m_value; }

private:
    int m_value { -1 };
};

struct EventDeleter {
    void operator()(event* item) const noexcept;
};

/// \brief Owns a libevent event.
using EventPointer = std::unique_ptr<event, EventDeleter>;

/// \brief Creates an event as event_new() does. Throws std::bad_alloc where that returns null, which event_add() does
/// not accept. \param descriptor -1 for a timer. \param events EV_READ, EV_WRITE and EV_PERSIST.
[[nodiscard]] EventPointer makeEvent(
    event_base&, int descriptor, short events, void (*callback)(int, short, void*), void* argument);

/// \brief When the kernel closes a TCP connection whose other end no longer responds.
struct TcpKeepAliveOptions {
    int keepAliveIdleSeconds { 1 }; ///< Idle time before the first keep-alive probe.
    int keepAliveProbes {
        2
    }; ///< Number of unanswered probes, sent one a second, after which the connection is closed.
    Millis unacknowledgedTimeout {
        2'000
    }; ///< Time for which sent bytes may stay unacknowledged before the connection is closed.
};

/// \brief Disables Nagle's algorithm and makes the kernel close the connection when its other end no longer responds.
void configureConnection(int descriptor, const TcpKeepAliveOptions& = {}) noexcept;

/// \brief Sets TcpKeepAliveOptions::unacknowledgedTimeout of a connection. The time also bounds how long the other end
/// may refuse more bytes because it has not read the ones before, even if it acknowledges them.
void setUnacknowledgedTimeout(int descriptor, Millis timeout) noexcept;

/// \brief Chooses whether the close of a connection, also by the end of the process, is a reset, by which the other end
/// can tell it from the end of a response.
void setResetOnClose(int descriptor, bool isReset) noexcept;

/// \brief Lets another process listen on the local address of an outgoing connection, whose port the system chooses:
/// otherwise a process whose port it is can't start until a minute after the connection's end.
void setAddressReusable(int descriptor) noexcept;

/// \returns Whether all written bytes were acknowledged by the other end; true if the system does not tell.
[[nodiscard]] bool isOutputAcknowledged(int descriptor) noexcept;

/// \returns Whether \p error of a system call means that the process or the system has no descriptor, or no memory for
/// one, left.
[[nodiscard]] bool isOutOfDescriptors(int error) noexcept;

/// \brief Sets the receive buffer of a socket, which otherwise grows to several megabytes. The system doubles it.
void setReceiveBuffer(int descriptor, int bytes) noexcept;

/// \brief Creates a non-blocking TCP socket and starts to connect it.
/// \param receiveBufferBytes See setReceiveBuffer(); 0: the system's choice.
/// \returns EndpointUnavailable if the address is invalid or the connection fails at once, RouterOverloaded if the
/// process has no descriptor left.
[[nodiscard]] Result<FileDescriptor> startConnection(std::string_view address, int receiveBufferBytes = 0);

[[nodiscard]] timeval toTimeval(Millis duration) noexcept;

}
