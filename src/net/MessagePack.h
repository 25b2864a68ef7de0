#pragma once

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

/// \file
/// \brief Helpers of the codecs of messages between daemons.

namespace jasminestack {

/// \brief Output buffer of the packer.
struct StringBuffer {
    std::string bytes;

    void write(const char* data, std::size_t size) { bytes.append(data, size); }
};

/// \brief Reads the elements of a msgpack array one by one. Throws msgpack::type_error where the input has another
/// form.
class ArrayReader {
public:
    explicit ArrayReader(const msgpack::object&);

    [[nodiscard]] std::uint64_t unsignedValue();
    [[nodiscard]] std::uint32_t smallValue();
    [[nodiscard]] std::int64_t signedValue();
    [[nodiscard]] bool boolean();
    [[nodiscard]] double number();
    [[nodiscard]] std::string_view text();
    [[nodiscard]] ArrayReader nested();
    [[nodiscard]] bool atEnd() const noexcept { return m_next == m_size; }

    /// \returns Elements that were not read yet.
    [[nodiscard]] std::size_t remaining() const noexcept { return m_size - m_next; }

    /// \brief Throws if elements are left.
    void finish() const;

private:
    const msgpack::object& take();

    const msgpack::object* m_items;
    std::uint32_t m_size;
    std::uint32_t m_next { 0 };
};

}
