#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

/// \file
/// \brief The boundary between the event loop, which is C code, and callbacks that may throw. An exception that left a
/// callback would end the process; here it is logged and counted, and what the callback worked on is dropped.
///
/// The functions are templates without allocation, so a callback that doesn't throw costs what a direct call does.

namespace jasminestack {

/// \brief Logs the exception that is being handled as `callback_failed`, at most ten lines a second, and counts it.
/// \param callback Name of the callback.
void reportCallbackFailure(std::string_view callback) noexcept;

/// \returns Number of failures that this thread has counted since the last call.
[[nodiscard]] std::uint64_t takeCallbackFailures() noexcept;

/// \brief Calls \p body. If it throws, reports the exception and calls \p onFailure, whose own exception is reported
/// too.
///
/// \code
/// [](evutil_socket_t, short, void* self) { runGuarded("tick", [self] { static_cast<Daemon*>(self)->tick(); }); }
/// \endcode
template <typename Body, typename OnFailure>
void runGuarded(std::string_view callback, const Body& body, const OnFailure& onFailure) noexcept
{
    try {
        body();
        return;
    } catch (...) {
        reportCallbackFailure(callback);
    }
    try {
        onFailure();
    } catch (...) {
        reportCallbackFailure(callback);
    }
}

template <typename Body> void runGuarded(std::string_view callback, const Body& body) noexcept
{
    runGuarded(callback, body, [] {});
}

/// \brief Makes room for \p count elements, so that adding them later does not throw.
template <typename Value> void ensureCapacity(std::vector<Value>& values, std::size_t count)
{
    if (values.capacity() < count)
        values.reserve(2 * count);
}

}
