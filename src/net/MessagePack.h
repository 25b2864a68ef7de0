#pragma once

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

/// \file
/// \brief Helpers for the codecs of messages between daemons.

namespace jasminestack {

/// \brief Output buffer of the packer.
struct MsgpackBuffer {
    std::string bytes;

    void write(const char* data, std::size_t size) { bytes.append(data, size); }
};

/// \brief Unpacks a whole message that consists of arrays, strings and scalars.
///
/// The library's unpacker allocates an array with the length that the message announces before it reads the elements.
/// The announced lengths are therefore checked first: an element takes at least one byte, so all arrays together have
/// fewer elements than the message has bytes. Throws msgpack::unpack_error if they announce more, if arrays are nested
/// deeper than 8 levels, or if the bytes are not exactly one message; msgpack::type_error if it has a map.
[[nodiscard]] msgpack::object_handle unpackMessage(std::string_view bytes);

/// \brief Reads the elements of a msgpack array one by one. Throws msgpack::type_error if the next element
/// does not have the requested type or does not exist.
class MsgpackArrayReader {
public:
    explicit MsgpackArrayReader(const msgpack::object&);

    [[nodiscard]] std::uint64_t readUnsigned();
    [[nodiscard]] std::uint32_t readUnsigned32();
    [[nodiscard]] std::int64_t readSigned();
    [[nodiscard]] bool readBoolean();
    [[nodiscard]] double readDouble();
    [[nodiscard]] std::string_view readText();
    [[nodiscard]] MsgpackArrayReader readArray();
    [[nodiscard]] bool atEnd() const noexcept { return m_nextIndex == m_size; }

    /// \returns Number of elements that were not read yet.
    [[nodiscard]] std::size_t remaining() const noexcept { return m_size - m_nextIndex; }

    /// \brief Throws msgpack::type_error if any element was not read.
    void requireEnd() const;

private:
    const msgpack::object& nextElement();

    const msgpack::object* m_elements;
    std::uint32_t m_size;
    std::uint32_t m_nextIndex { 0 };
};

}
