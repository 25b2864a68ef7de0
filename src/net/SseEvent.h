#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief The grammar of server-sent events (WHATWG HTML, 9.2.5 and 9.2.6) as far as an endpoint's stream may use it,
/// and the reader that finds the ends of events.

namespace jasminestack {

/// \brief A longer event is a violation, which bounds the memory of an event without end.
inline constexpr std::size_t maxEventBytes = 256U << 10U;

/// \brief May stand at the start of a stream (UTF-8 of U+FEFF).
inline constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";

/// \brief What is wrong with an event of an endpoint's stream.
enum class EventViolation : std::uint8_t {
    None,
    Encoding, ///< Not UTF-8.
    UnknownField, ///< A line that is neither a comment nor a field that endpoints send.
    RepeatedId, ///< More than one `id` field.
    IdNotANumber, ///< Not a decimal number of 64 bits without sign and leading zeros; an empty id, too.
    RetryNotANumber,
    ExtensionNotANumber, ///< See EventRules::extensionField.
    MissingId,
    MissingData, ///< An id without data: callers' parsers drop such an event.
    MisplacedEndMarker, ///< The end marker in an event with an id or with other data.
    OutOfOrder, ///< The id is not the one that follows.
    TooLong, ///< More than maxEventBytes, also of comments and blank lines between two events.
    BlankLine, ///< A blank line between two lines: several events.
    Incomplete, ///< The stream ended within the event.
};

/// \returns A name for log lines, for example "unknown_field".
[[nodiscard]] std::string_view toString(EventViolation) noexcept;

/// \brief What a deployment's streams contain beside the fields of the specification.
struct EventRules {
    std::string_view extensionField {}; ///< A field with a number, which callers' parsers ignore; empty: none.
    std::string_view endMarker {}; ///< Data of the event without id that ends a stream; empty: none.
};

/// \brief A sound event.
struct SseEvent {
    std::optional<std::uint64_t> id;
    std::string_view data; ///< Value of the last `data` field.
    bool isEndMarker { false };

    /// \returns Whether callers' parsers deliver the event; others, such as comments, carry nothing.
    [[nodiscard]] bool isDelivered() const noexcept { return id || isEndMarker; }
};

/// \brief Checks one event.
/// \param text The event with the line ends of its lines; the blank line behind it may be missing.
/// \param [out] event Valid if the event has no violation.
/// \returns The first violation, or EventViolation::None.
[[nodiscard]] EventViolation parseSseEvent(std::string_view text, const EventRules&, SseEvent& event) noexcept;

/// \brief Checks the beginning of an event whose rest is missing.
/// \returns EventViolation::Incomplete if a sound event may begin with \p text, otherwise its violation.
[[nodiscard]] EventViolation parseIncompleteEvent(std::string_view text, const EventRules&) noexcept;

/// \brief Parses an event's id as endpoints write it, which is also what a caller sends to resume a stream.
/// \returns Nothing unless \p text is a decimal number of 64 bits without sign and leading zeros.
[[nodiscard]] std::optional<std::uint64_t> parseEventId(std::string_view text) noexcept;

/// \returns Whether the value of a Content-Type field states an event stream; its parameters do not matter.
[[nodiscard]] bool isEventStreamType(std::string_view contentType) noexcept;

/// \brief Divides the bytes of one stream into blocks: an event with its blank line, or a blank line alone. Lines end
/// with LF, CR or CRLF; the LF of a blank line's CRLF that is received later than its CR is a block of its own. The
/// search for line ends takes a time that grows with the received bytes, whatever their pieces.
///
/// \code
/// reader.append(received);
/// while (auto block = reader.next()) ...
/// \endcode
class SseBlockReader {
public:
    /// \brief Adds received bytes, after next() has returned all blocks of the bytes before.
    /// \param chunk Valid until next() has returned nothing.
    void append(std::string_view chunk);

    /// \returns The next complete block, valid until the next append() or clear() and while its chunk is valid; nothing
    /// if the rest is incomplete.
    [[nodiscard]] std::optional<std::string_view> next();

    /// \returns The received bytes behind the last block that next() has returned.
    [[nodiscard]] std::string_view incompleteBlock() const
    {
        return m_chunk.value_or(m_buffer).substr(m_consumedBytes);
    }

    /// \brief Gives back the memory of blocks that next() has returned, which are no longer valid.
    void compact();

    /// \returns Bytes of memory that are kept for an incomplete block.
    [[nodiscard]] std::size_t bufferCapacity() const noexcept { return m_buffer.capacity(); }

    /// \brief Discards the bytes of an incomplete block, because another connection continues the stream.
    void clear() noexcept;

private:
    void eraseReturnedBlocks();
    [[nodiscard]] std::size_t findLineEnd(std::string_view text) noexcept;

    std::string m_buffer; ///< Blocks that next() has returned from it, then an incomplete block.
    std::optional<std::string_view> m_chunk; ///< Read in place of the buffer, if that is empty.
    std::size_t m_consumedBytes { 0 }; ///< Bytes of returned blocks at the start of the text.
    std::size_t m_lineStart { 0 };
    std::size_t m_scanStart { 0 }; ///< The current line has no end before it.
    bool m_lineFeedMayFollow { false }; ///< The last line ended with a CR that was the last received byte.
    // The next of each character at or after m_scanStart, or the size of the text without one, if known: a character
    // that does not occur is not looked for again in each line.
    std::optional<std::size_t> m_nextLineFeed;
    std::optional<std::size_t> m_nextCarriageReturn;
};

}
