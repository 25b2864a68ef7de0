#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace jasminestack {

/// \brief The memory that one request takes of a total which all requests share; given back when the request ends, or
/// before with shrinkTo().
class MemoryReservation {
public:
    /// \param total Bytes of all reservations.
    explicit MemoryReservation(std::shared_ptr<std::size_t> total) noexcept
        : m_total(std::move(total))
    {
    }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;
    ~MemoryReservation() { *m_total -= m_bytes; }

    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

    /// \brief Grows to \p bytes; does nothing if it is not smaller.
    /// \param maxTotal Limit of all reservations; 0: no limit.
    /// \returns Whether there was enough memory; otherwise nothing changes.
    [[nodiscard]] bool growTo(std::size_t bytes, std::size_t maxTotal) noexcept
    {
        if (bytes <= m_bytes)
            return true;
        std::size_t total = *m_total - m_bytes + bytes;
        if (maxTotal != 0 && total > maxTotal)
            return false;
        *m_total = total;
        m_bytes = bytes;
        return true;
    }

    /// \brief Shrinks to \p bytes; does nothing if it is not larger.
    void shrinkTo(std::size_t bytes) noexcept
    {
        if (bytes >= m_bytes)
            return;
        *m_total -= m_bytes - bytes;
        m_bytes = bytes;
    }

private:
    std::shared_ptr<std::size_t> m_total;
    std::size_t m_bytes { 0 };
};

}
