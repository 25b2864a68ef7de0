#pragma once

#include "net/HttpResponseHead.h"
#include "net/Interfaces.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Incremental parser of one HTTP/1.1 response (RFC 9112).
///
/// \code
/// std::string_view body = parser.feed(received);
/// if (parser.headComplete()) ...
/// \endcode
class HttpResponseParser {
public:
    /// \param isResponseToHead Whether the request's method was HEAD; the response then has no body, whatever its
    /// headers.
    explicit HttpResponseParser(bool isResponseToHead = false) noexcept
        : m_isResponseToHead(isResponseToHead)
    {
    }

    /// \brief Parses the next bytes. Chunk framing is removed in place, so \p data is overwritten.
    /// \returns The bytes of the body in \p data; valid as long as \p data is.
    [[nodiscard]] std::string_view feed(std::span<char> data);

    /// \brief Signals that the peer closed the connection, which ends a close-delimited body.
    void endOfInput() noexcept;

    /// \returns Bytes of the final head, or those of a head received so far.
    [[nodiscard]] std::size_t headBytes() const noexcept { return headComplete() ? m_headBytes : m_headText.size(); }
    [[nodiscard]] bool headComplete() const noexcept { return m_state > State::Head; }
    [[nodiscard]] bool complete() const noexcept { return m_state == State::Complete; }
    [[nodiscard]] bool failed() const noexcept { return m_state == State::Failed; }

    /// \returns Whether the body has no length, so that only the end of the connection ends it.
    [[nodiscard]] bool isCloseDelimited() const noexcept { return m_state == State::CloseDelimitedBody; }

    /// \returns The part of the response that made it fail; None unless failed().
    [[nodiscard]] MalformedPart malformedPart() const noexcept { return m_malformedPart; }

    /// \returns Whether the peer may keep the connection after this response; valid once the head is complete.
    [[nodiscard]] bool keepsConnection() const noexcept { return m_keepAlive; }

    /// \returns Whether the connection can be used for another exchange after this response.
    [[nodiscard]] bool connectionIsReusable() const noexcept { return complete() && m_keepAlive && !m_hasExcessBytes; }

    /// \returns Number of bytes passed to the last feed() that belong to this response; the bytes after them are not
    /// parsed.
    [[nodiscard]] std::size_t consumedBytes() const noexcept { return m_consumedBytes; }

    [[nodiscard]] const HttpResponseHead& head() const noexcept { return m_head; }

private:
    enum class State : std::uint8_t {
        Head,
        FixedLengthBody,
        ChunkSize,
        ChunkData,
        ChunkDataEnd,
        Trailer,
        CloseDelimitedBody,
        Complete,
        Failed
    };

    void fail(MalformedPart) noexcept;
    /// \brief Counts bytes that are neither the final head nor body; too many since the last body byte fail the
    /// response.
    void countOverhead(std::size_t bytes) noexcept;
    [[nodiscard]] std::size_t feedHead(std::string_view data);
    void selectFraming();
    /// \returns Whether the headers state one length without contradiction; sets the length, if there is one.
    [[nodiscard]] bool parseContentLength(bool& hasLength);
    /// \brief Reads the line of a chunk's size and its extension, up to the line feed.
    void feedChunkSize(char byte);
    void feedChunkDataEnd(char byte);
    void feedTrailer(char byte);

    HttpResponseHead m_head;
    std::string m_headText; ///< Bytes of the head, or of the current line of the trailer, received so far.
    std::size_t m_headBytes { 0 }; ///< Of the final head.
    State m_state { State::Head };
    std::size_t m_consumedBytes { 0 };
    std::size_t m_overheadBytes { 0 }; ///< See countOverhead().
    std::uint64_t m_remainingBytes { 0 }; ///< Bytes of the body or of the current chunk that are not received yet.
    unsigned m_chunkSizeDigits { 0 };
    bool m_inChunkExtension { false };
    bool m_lineEndBegun { false }; ///< A carriage return was received; only a line feed may follow.
    MalformedPart m_malformedPart { MalformedPart::None };
    bool m_isResponseToHead { false };
    bool m_keepAlive { true };
    bool m_hasExcessBytes { false };
};

/// \brief Compares two header names case-insensitively.
[[nodiscard]] bool equalIgnoringAsciiCase(std::string_view a, std::string_view b) noexcept;

/// \returns The value of the first header \p name, or an empty view.
[[nodiscard]] std::string_view findHeader(
    std::span<const std::pair<std::string, std::string>> headers, std::string_view name) noexcept;

/// \returns Whether a header is hop-by-hop and therefore not forwarded (RFC 9110, 7.6.1), or is set or handled by the
/// daemon (Content-Length, Host, Expect).
[[nodiscard]] bool isNonForwardedHeader(std::string_view name) noexcept;

}
