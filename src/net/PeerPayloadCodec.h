#pragma once

#include "core/Messages.h"

#include <cstddef>
#include <msgpack.hpp>
#include <string>
#include <string_view>

/// \file
/// \brief msgpack form of each payload. Only PeerCodec's implementation includes this header.

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
    [[nodiscard]] double number();
    [[nodiscard]] std::string_view text();
    [[nodiscard]] ArrayReader nested();
    [[nodiscard]] bool atEnd() const noexcept { return m_next == m_size; }

    /// \brief Throws if elements are left.
    void finish() const;

private:
    const msgpack::object& take();

    const msgpack::object* m_items;
    std::uint32_t m_size;
    std::uint32_t m_next { 0 };
};

void packPayload(msgpack::packer<StringBuffer>&, const PeerPayload&);

/// \brief Throws msgpack::type_error if the payload has another form than \p type says.
[[nodiscard]] PeerPayload unpackPayload(std::uint64_t type, ArrayReader);

}
