#include "net/SseEvent.h"

#include "net/HttpResponseParser.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace jasminestack {

namespace {

    constexpr std::string_view lineEnds = "\r\n";

    // The usual rest of an event. Less is not worth another allocation.
    constexpr std::size_t keptCapacity = 4U << 10U;

    // Number of bytes of the character at the start of the text, or 0 if it is not UTF-8 (RFC 3629): overlong forms,
    // surrogates and values above U+10FFFF are not.
    std::size_t utf8CharacterSize(std::string_view text) noexcept
    {
        struct Form {
            unsigned char firstLead;
            unsigned char lastLead;
            unsigned char minSecond;
            unsigned char maxSecond;
            std::size_t size;
        };
        static constexpr Form forms[] = { { 0xc2, 0xdf, 0x80, 0xbf, 2 }, { 0xe0, 0xe0, 0xa0, 0xbf, 3 },
            { 0xe1, 0xec, 0x80, 0xbf, 3 }, { 0xed, 0xed, 0x80, 0x9f, 3 }, { 0xee, 0xef, 0x80, 0xbf, 3 },
            { 0xf0, 0xf0, 0x90, 0xbf, 4 }, { 0xf1, 0xf3, 0x80, 0xbf, 4 }, { 0xf4, 0xf4, 0x80, 0x8f, 4 } };
        auto byteAt = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
        constexpr unsigned char firstNonAscii = 0x80;
        if (byteAt(0) < firstNonAscii)
            return 1;
        const auto* form = std::find_if(std::begin(forms), std::end(forms),
            [&](const Form& candidate) { return byteAt(0) >= candidate.firstLead && byteAt(0) <= candidate.lastLead; });
        if (form == std::end(forms) || text.size() < form->size || byteAt(1) < form->minSecond
            || byteAt(1) > form->maxSecond)
            return 0;
        for (std::size_t i = 2; i < form->size; ++i) {
            constexpr unsigned char continuationMask = 0xc0;
            if ((byteAt(i) & continuationMask) != firstNonAscii)
                return 0;
        }
        return form->size;
    }

    bool isUtf8(std::string_view text) noexcept
    {
        while (!text.empty()) {
            std::uint64_t word = 0;
            constexpr std::uint64_t highBits = 0x8080808080808080;
            while (text.size() >= sizeof(word)) {
                std::memcpy(&word, text.data(), sizeof(word));
                if ((word & highBits) != 0)
                    break;
                text.remove_prefix(sizeof(word));
            }
            if (text.empty())
                break;
            std::size_t size = utf8CharacterSize(text);
            if (size == 0)
                return false;
            text.remove_prefix(size);
        }
        return true;
    }

    bool isNumber(std::string_view text) noexcept
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    // Takes a line and its end from the text.
    std::string_view takeLine(std::string_view& text) noexcept
    {
        const auto* end = std::find_if(text.begin(), text.end(), [](char c) { return c == '\n' || c == '\r'; });
        std::string_view line = text.substr(0, static_cast<std::size_t>(end - text.begin()));
        text.remove_prefix(line.size());
        text.remove_prefix(text.starts_with(lineEnds) ? lineEnds.size() : std::min<std::size_t>(text.size(), 1));
        return line;
    }

}

std::string_view toString(EventViolation violation) noexcept
{
    switch (violation) {
    case EventViolation::None:
        return "none";
    case EventViolation::Encoding:
        return "event_encoding";
    case EventViolation::UnknownField:
        return "event_unknown_field";
    case EventViolation::RepeatedId:
        return "event_repeated_id";
    case EventViolation::IdNotANumber:
        return "event_id_not_a_number";
    case EventViolation::RetryNotANumber:
        return "event_retry_not_a_number";
    case EventViolation::ExtensionNotANumber:
        return "event_extension_not_a_number";
    case EventViolation::MissingId:
        return "event_missing_id";
    case EventViolation::MissingData:
        return "event_missing_data";
    case EventViolation::MisplacedEndMarker:
        return "event_misplaced_end_marker";
    case EventViolation::OutOfOrder:
        return "events_out_of_order";
    case EventViolation::TooLong:
        return "event_too_long";
    case EventViolation::BlankLine:
        return "event_blank_line";
    case EventViolation::Incomplete:
        return "event_incomplete";
    }
    return "unknown";
}

std::optional<std::uint64_t> parseEventId(std::string_view text) noexcept
{
    bool hasLeadingZero = text.size() > 1 && text.front() == '0';
    std::uint64_t number = 0;
    if (!isNumber(text) || hasLeadingZero
        || std::from_chars(text.data(), text.data() + text.size(), number).ec != std::errc {})
        return std::nullopt;
    return number;
}

bool isEventStreamType(std::string_view contentType) noexcept
{
    std::string_view type = contentType.substr(0, contentType.find(';'));
    while (type.ends_with(' ') || type.ends_with('\t'))
        type.remove_suffix(1);
    return equalIgnoringAsciiCase(type, "text/event-stream");
}

EventViolation parseSseEvent(std::string_view text, const EventRules& rules, SseEvent& event) noexcept
{
    event = {};
    // The LF of a CRLF at the end may also be received as a block of its own.
    if (text.size() - (text.ends_with(lineEnds) ? 1 : 0) > maxEventBytes)
        return EventViolation::TooLong;
    if (!isUtf8(text))
        return EventViolation::Encoding;
    std::size_t dataFields = 0;
    bool hasLines = false;
    bool hasEnded = false; // A blank line was found behind another line.
    bool hasEndMarker = false;
    while (!text.empty()) {
        std::string_view line = takeLine(text);
        if (line.empty()) {
            hasEnded = hasLines;
            continue;
        }
        if (hasEnded)
            return EventViolation::BlankLine;
        hasLines = true;
        if (line.front() == ':')
            continue;
        std::string_view name = line.substr(0, line.find(':'));
        std::string_view value = line.substr(std::min(line.size(), name.size() + 1));
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (name == "data") {
            event.data = value;
            ++dataFields;
            hasEndMarker |= !rules.endMarker.empty() && value == rules.endMarker;
        } else if (name == "id") {
            if (event.id)
                return EventViolation::RepeatedId;
            event.id = parseEventId(value);
            if (!event.id)
                return EventViolation::IdNotANumber;
        } else if (name == "retry") {
            if (!isNumber(value))
                return EventViolation::RetryNotANumber;
        } else if (!rules.extensionField.empty() && name == rules.extensionField) {
            if (!isNumber(value))
                return EventViolation::ExtensionNotANumber;
        } else if (name != "event") {
            return EventViolation::UnknownField;
        }
    }
    event.isEndMarker = hasEndMarker && !event.id && dataFields == 1;
    if (hasEndMarker && !event.isEndMarker)
        return EventViolation::MisplacedEndMarker;
    if (dataFields != 0 && !event.id && !event.isEndMarker)
        return EventViolation::MissingId;
    if (event.id && dataFields == 0)
        return EventViolation::MissingData;
    return EventViolation::None;
}

EventViolation parseIncompleteEvent(std::string_view text, const EventRules& rules) noexcept
{
    std::size_t lastLineEnd = text.find_last_of(lineEnds);
    std::size_t lastLineStart = lastLineEnd == std::string_view::npos ? 0 : lastLineEnd + 1;
    std::string_view lastLine = text.substr(lastLineStart);
    SseEvent event;
    EventViolation violation = parseSseEvent(text.substr(0, lastLineStart), rules, event);
    bool mayBecomeSound = violation == EventViolation::None || violation == EventViolation::MissingId
        || violation == EventViolation::MissingData;
    if (!mayBecomeSound)
        return violation;
    std::size_t colon = lastLine.find(':');
    std::string_view name = lastLine.substr(0, colon);
    auto isPossibleName = [&](std::string_view field) {
        return colon == std::string_view::npos ? field.starts_with(name) : field == name;
    };
    constexpr std::string_view comment;
    bool isPossible = isPossibleName("id") || isPossibleName("data") || isPossibleName("event")
        || isPossibleName("retry") || isPossibleName(comment)
        || (!rules.extensionField.empty() && isPossibleName(rules.extensionField));
    return isPossible ? EventViolation::Incomplete : EventViolation::UnknownField;
}

void SseBlockReader::append(std::string_view chunk)
{
    eraseReturnedBlocks();
    if (m_buffer.empty())
        m_chunk = chunk;
    else
        m_buffer.append(chunk);
}

std::optional<std::string_view> SseBlockReader::next()
{
    std::string_view text = m_chunk.value_or(m_buffer);
    while (m_scanStart < text.size()) {
        if (std::exchange(m_lineFeedMayFollow, false) && text[m_scanStart] == '\n') {
            m_lineStart = ++m_scanStart;
            continue;
        }
        std::size_t lineEnd = findLineEnd(text);
        m_scanStart = lineEnd;
        if (lineEnd == text.size())
            break;
        bool isBlank = lineEnd == m_lineStart;
        std::size_t size = text.substr(lineEnd).starts_with(lineEnds) ? lineEnds.size() : 1;
        m_lineStart = m_scanStart = lineEnd + size;
        if (!isBlank) {
            m_lineFeedMayFollow = size == 1 && text[lineEnd] == '\r' && m_scanStart == text.size();
            continue;
        }
        std::string_view block = text.substr(m_consumedBytes, m_scanStart - m_consumedBytes);
        m_consumedBytes = m_scanStart;
        return block;
    }
    if (m_chunk) {
        m_buffer.assign(text.substr(m_consumedBytes));
        m_lineStart -= m_consumedBytes;
        m_scanStart -= m_consumedBytes;
        m_consumedBytes = 0;
        m_chunk.reset();
    }
    return std::nullopt;
}

void SseBlockReader::eraseReturnedBlocks()
{
    m_buffer.erase(0, m_consumedBytes);
    m_lineStart -= m_consumedBytes;
    m_scanStart -= m_consumedBytes;
    m_consumedBytes = 0;
    m_nextLineFeed.reset();
    m_nextCarriageReturn.reset();
}

void SseBlockReader::compact()
{
    if (m_chunk) // Not all of its blocks were read.
        return;
    bool hasReturnedBlocks = m_consumedBytes != 0;
    eraseReturnedBlocks();
    // The rest of a block that grows piece by piece keeps what the string has doubled.
    std::size_t usedCapacity = hasReturnedBlocks ? m_buffer.size() : 2 * m_buffer.size();
    if (m_buffer.capacity() > std::max(usedCapacity, keptCapacity))
        std::string(m_buffer).swap(m_buffer); // The assignment of a short string would keep the memory.
}

void SseBlockReader::clear() noexcept
{
    m_buffer.clear();
    m_chunk.reset();
    m_consumedBytes = m_lineStart = m_scanStart = 0;
    m_lineFeedMayFollow = false;
}

std::size_t SseBlockReader::findLineEnd(std::string_view text) noexcept
{
    auto nextPosition = [&](std::optional<std::size_t>& known, char c) {
        if (!known || *known < m_scanStart)
            known = std::min(text.find(c, m_scanStart), text.size());
        return *known;
    };
    return std::min(nextPosition(m_nextLineFeed, '\n'), nextPosition(m_nextCarriageReturn, '\r'));
}

}
