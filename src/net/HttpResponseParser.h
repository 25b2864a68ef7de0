#pragma once

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
    /// \param bodyless The request was HEAD, so the response has no body whatever its headers say.
    explicit HttpResponseParser(bool bodyless = false) noexcept
        : m_bodyless(bodyless)
    {
    }

    /// \brief Reads the next bytes. Chunk framing is removed in place, so \p data is overwritten.
    /// \returns The bytes of the body in \p data; they are valid as long as \p data is.
    [[nodiscard]] std::string_view feed(std::span<char> data);

    /// \brief The peer has closed the connection; ends a body that is delimited by the close.
    void endOfInput() noexcept;

    [[nodiscard]] bool headComplete() const noexcept { return m_state > State::Head; }
    [[nodiscard]] bool complete() const noexcept { return m_state == State::Done; }
    [[nodiscard]] bool failed() const noexcept { return m_state == State::Failed; }

    /// \returns Whether the connection can carry another exchange after this response.
    [[nodiscard]] bool reusable() const noexcept { return complete() && m_keepAlive && !m_excess; }

    /// \returns How many bytes of the last feed() belong to this response; the rest follows its end.
    [[nodiscard]] std::size_t consumed() const noexcept { return m_consumed; }

    [[nodiscard]] const HttpResponseHead& head() const noexcept { return m_head; }

private:
    enum class State : std::uint8_t { Head, Length, ChunkSize, ChunkData, ChunkEnd, Trailer, UntilClose, Done, Failed };

    [[nodiscard]] std::size_t feedHead(std::string_view data);
    [[nodiscard]] bool parseHead(std::string_view text);
    void chooseFraming();
    void feedChunkSize(char byte);
    void feedTrailer(char byte);

    HttpResponseHead m_head;
    std::string m_text; ///< Bytes of the head so far.
    State m_state { State::Head };
    std::size_t m_consumed { 0 };
    std::uint64_t m_left { 0 }; ///< Bytes left of the body or of the current chunk.
    unsigned m_digits { 0 };
    bool m_inExtension { false };
    bool m_lineEmpty { true };
    bool m_bodyless { false };
    bool m_keepAlive { true };
    bool m_excess { false };
};

/// \brief Compares two header names without regard to case.
[[nodiscard]] bool equalHeaderNames(std::string_view a, std::string_view b) noexcept;

/// \returns The value of the first header \p name, or an empty view.
[[nodiscard]] std::string_view findHeader(
    std::span<const std::pair<std::string, std::string>> headers, std::string_view name) noexcept;

/// \returns Whether a header belongs to one connection only and is not forwarded (RFC 9110, 7.6.1), or is set by the
/// daemon itself (Content-Length, Host).
[[nodiscard]] bool isNonForwardedHeader(std::string_view name) noexcept;

}
