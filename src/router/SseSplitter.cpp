#include "router/SseSplitter.h"

#include <charconv>

namespace jasminestack {

namespace {

    // Returns the value of the event's `id:` line, or an empty view.
    std::string_view eventIdOf(std::string_view event)
    {
        while (!event.empty()) {
            std::string_view line = event.substr(0, event.find('\n'));
            event.remove_prefix(std::min(event.size(), line.size() + 1));
            if (!line.starts_with("id:"))
                continue;
            line.remove_prefix(3);
            if (line.starts_with(' '))
                line.remove_prefix(1);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            return line;
        }
        return {};
    }

    bool hasData(std::string_view event)
    {
        constexpr std::string_view field = "data:";
        return event.starts_with(field) || event.find("\ndata:") != std::string_view::npos;
    }

    std::optional<std::uint64_t> parseIdNumber(std::string_view id)
    {
        std::uint64_t number = 0;
        auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
        if (id.empty() || parsed.ec != std::errc {} || parsed.ptr != id.data() + id.size())
            return std::nullopt;
        return number;
    }

    // Returns the position after the blank line that ends the first event, or npos. Lines end with LF or CRLF. Each
    // byte is looked at once, since a chunk may contain tens of thousands of events.
    std::size_t findEventEnd(std::string_view text)
    {
        std::size_t lineStart = 0;
        while (true) {
            std::size_t lineEnd = text.find('\n', lineStart);
            if (lineEnd == std::string_view::npos)
                return lineEnd;
            std::string_view line = text.substr(lineStart, lineEnd - lineStart);
            if (lineStart != 0 && (line.empty() || line == "\r"))
                return lineEnd + 1;
            lineStart = lineEnd + 1;
        }
    }

}

bool SseSplitter::acceptEvent(std::string_view event)
{
    if (m_violation == EventViolation::None) {
        SseEvent parsed;
        m_violation = parseSseEvent(event, {}, parsed);
        m_violatingBytes = event.size();
    }
    std::string_view id = eventIdOf(event);
    auto number = parseIdNumber(id);
    if (number && m_lastIdNumber) {
        if (*number <= *m_lastIdNumber) {
            m_isBroken = m_isBroken || !m_isResumed;
            return false;
        }
        if (*number != *m_lastIdNumber + 1) {
            m_isBroken = true;
            return false;
        }
    }
    if (number)
        m_lastIdNumber = number;
    if (!id.empty())
        m_lastId = id;
    ++m_eventCount;
    if (!id.empty() || hasData(event))
        ++m_contentEventCount;
    return true;
}

std::string_view SseSplitter::feed(std::string_view chunk)
{
    if (m_isBroken)
        return {};
    std::string joinedInput;
    std::string_view text = chunk;
    if (!m_incompleteEvent.empty()) {
        joinedInput = std::move(m_incompleteEvent).append(chunk);
        m_incompleteEvent.clear();
        text = joinedInput;
    }
    std::size_t position = 0;
    bool isContiguous = true;
    m_joinedEvents.clear();
    while (!m_isBroken) {
        std::size_t length = findEventEnd(text.substr(position));
        if (length == std::string_view::npos)
            break;
        std::string_view event = text.substr(position, length);
        bool isAccepted = acceptEvent(event);
        if (isContiguous && !isAccepted) {
            m_joinedEvents.assign(text.substr(0, position));
            isContiguous = false;
        } else if (!isContiguous && isAccepted) {
            m_joinedEvents.append(event);
        }
        position += length;
    }
    m_incompleteEvent.assign(text.substr(position));
    m_isBroken = m_isBroken || isEventTooLong();
    if (!isContiguous)
        return m_joinedEvents;
    if (joinedInput.empty())
        return text.substr(0, position);
    m_joinedEvents.assign(text.substr(0, position));
    return m_joinedEvents;
}

std::string SseSplitter::takeIncompleteEvent()
{
    std::string incompleteEvent = std::move(m_incompleteEvent);
    m_incompleteEvent.clear();
    return incompleteEvent;
}

void SseSplitter::resume()
{
    m_incompleteEvent.clear();
    m_isResumed = true;
}

}
