#pragma once

#include "net/Interfaces.h"

#include <cstdint>
#include <string_view>

/// \file
/// \brief The grammar of the head of an HTTP/1.1 response: RFC 9112, 4 and 5; RFC 9110, 5.5 and 5.6.2.

namespace jasminestack {

/// \brief The part of a response that violates the grammar of HTTP/1.1.
enum class MalformedPart : std::uint8_t {
    None,
    Version,
    Status, ///< Not three digits, or not from 100 to 599.
    Reason,
    FieldName, ///< Not a token, which includes a space before the colon and a line without a name.
    FieldColon, ///< A line without a colon.
    FieldValue,
    ObsoleteFold, ///< A line that continues the value of the line before it.
    ProtocolSwitch, ///< Status 101, which answers only requests to switch the protocol.
    ContentLength,
    TransferEncoding,
    ChunkSize,
    ChunkExtension,
    ChunkEnd, ///< Something else than CRLF after the data of a chunk.
    Trailer,
    TooLong, ///< More bytes outside the body than a response may have.
};

/// \returns A name for log lines, for example "field_value".
[[nodiscard]] std::string_view toString(MalformedPart) noexcept;

/// \returns Whether \p text is a token, the grammar of field names.
[[nodiscard]] bool isToken(std::string_view text) noexcept;

/// \returns Whether \p text may be the value of a field: it has no control characters except tabs.
[[nodiscard]] bool isFieldValue(std::string_view text) noexcept;

/// \brief Checks one field line and splits it at the colon.
/// \param line Without its CRLF.
/// \param [out] name Valid if the line has no malformed part.
/// \param [out] value Without the white space around it; valid if the line has no malformed part.
/// \returns The malformed part, or MalformedPart::None.
[[nodiscard]] MalformedPart parseFieldLine(
    std::string_view line, std::string_view& name, std::string_view& value) noexcept;

/// \brief Parses the status line and the field lines of a response.
/// \param text The head up to the blank line, without the CRLF of its last line.
/// \param [out] head Receives status and fields; valid if the head has no malformed part.
/// \param [out] isHttp10 Whether the version is HTTP/1.0.
/// \returns The first malformed part, or MalformedPart::None.
[[nodiscard]] MalformedPart parseResponseHead(std::string_view text, HttpResponseHead& head, bool& isHttp10);

}
