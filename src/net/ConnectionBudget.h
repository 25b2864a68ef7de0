#pragma once

#include <cstddef>
#include <utility>

/// \file
/// \brief Descriptors that the connections of callers and those to endpoints share. What they may not take is left for
/// the store, peers, status addresses and files.

namespace jasminestack {

/// \brief Connections that are open, and their limit.
struct ConnectionBudget {
    std::size_t limit { 0 }; ///< Of both together; 0: no limit.
    std::size_t callerMargin { 0 }; ///< Of the limit, only for callers, so that they get an answer at it.
    std::size_t callers { 0 };
    std::size_t endpoints { 0 };
};

/// \returns Whether another connection of a caller may be opened.
[[nodiscard]] constexpr bool hasRoomForCaller(const ConnectionBudget& budget) noexcept
{
    return budget.limit == 0 || budget.callers + budget.endpoints < budget.limit;
}

/// \returns Whether another connection to an endpoint may be opened.
[[nodiscard]] constexpr bool hasRoomForEndpoint(const ConnectionBudget& budget) noexcept
{
    return budget.limit == 0 || budget.callers + budget.endpoints + budget.callerMargin < budget.limit;
}

/// \brief Counts one open connection as long as it exists; empty if default-constructed or moved from.
class ConnectionSlot {
public:
    ConnectionSlot() = default;
    explicit ConnectionSlot(std::size_t* count) noexcept
        : m_count(count)
    {
        if (m_count)
            ++*m_count;
    }
    ConnectionSlot(ConnectionSlot&& other) noexcept
        : m_count(std::exchange(other.m_count, nullptr))
    {
    }
    ConnectionSlot& operator=(ConnectionSlot&& other) noexcept
    {
        std::swap(m_count, other.m_count);
        return *this;
    }
    ~ConnectionSlot()
    {
        if (m_count)
            --*m_count;
    }

private:
    std::size_t* m_count { nullptr };
};

}
