#include "daemon/SseScanner.h"

#include <charconv>
#include <cstring>

namespace jasminestack {

namespace {

    // Returns the value of a field line ("name: value" or "name:value") if the field has this name; \p name includes
    // the colon.
    std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name) noexcept
    {
        if (!line.starts_with(name))
            return std::nullopt;
        line.remove_prefix(name.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return line;
    }

}

std::string_view SseScanner::feed(std::string_view chunk)
{
    m_pendingBytes.erase(0, m_consumedSize);
    m_consumedSize = 0;
    if (m_pendingBytes.empty()) {
        // The usual chunk starts at an event boundary; its complete events are returned without a copy.
        std::size_t consumed = 0;
        std::string_view completeEvents = scan(chunk, consumed);
        m_pendingBytes.assign(chunk.substr(consumed));
        return completeEvents;
    }
    m_pendingBytes.append(chunk);
    return scan(m_pendingBytes, m_consumedSize);
}

void SseScanner::prepareToResume()
{
    m_pendingBytes.clear();
    m_consumedSize = 0;
    m_hasGap = false;
    // If no index was received, the resumed stream must start at 0; any higher index is a gap.
    m_nextIndex = m_nextIndex.value_or(0);
}

std::string_view SseScanner::scan(std::string_view text, std::size_t& consumed)
{
    std::size_t eventStart = 0;
    std::size_t lineStart = 0;
    std::size_t relayedEnd = 0;
    bool isFiltering = false;
    consumed = 0;
    if (m_isDone || m_hasGap) {
        consumed = text.size();
        return {};
    }
    while (lineStart < text.size()) {
        const void* newline = std::memchr(text.data() + lineStart, '\n', text.size() - lineStart);
        if (!newline)
            break;
        auto lineEnd = static_cast<std::size_t>(static_cast<const char*>(newline) - text.data());
        bool isBlankLine = lineEnd == lineStart || (lineEnd == lineStart + 1 && text[lineStart] == '\r');
        lineStart = lineEnd + 1;
        if (!isBlankLine)
            continue;
        std::string_view event = text.substr(eventStart, lineStart - eventStart);
        EventAction action = processEvent(event);
        consumed = lineStart;
        if (action == EventAction::Stop) {
            consumed = text.size();
            break;
        }
        if (action == EventAction::Skip && !isFiltering) {
            isFiltering = true;
            m_filteredEvents.assign(text.substr(0, relayedEnd));
        } else if (action == EventAction::Pass && isFiltering) {
            m_filteredEvents.append(event);
        }
        if (action == EventAction::Pass)
            relayedEnd = lineStart;
        eventStart = lineStart;
        if (m_isDone) {
            consumed = text.size();
            break;
        }
    }
    return isFiltering ? std::string_view(m_filteredEvents) : text.substr(0, relayedEnd);
}

SseScanner::EventAction SseScanner::processEvent(std::string_view event)
{
    std::optional<std::uint64_t> index;
    std::string_view data;
    std::size_t position = 0;
    while (position < event.size()) {
        std::size_t end = event.find('\n', position);
        std::string_view line = event.substr(position, end - position);
        position = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (auto id = fieldValue(line, "id:")) {
            std::uint64_t value = 0;
            auto parsed = std::from_chars(id->data(), id->data() + id->size(), value);
            if (parsed.ec == std::errc {} && parsed.ptr == id->data() + id->size())
                index = value;
        } else if (auto value = fieldValue(line, "data:")) {
            data = *value;
        }
    }
    if (data == "[DONE]") {
        m_isDone = true;
        return EventAction::Pass;
    }
    if (index) {
        if (m_nextIndex && *index < *m_nextIndex)
            return EventAction::Skip;
        if (m_nextIndex && *index > *m_nextIndex) {
            m_hasGap = true;
            return EventAction::Stop;
        }
        m_nextIndex = *index + 1;
        ++m_tokenCount;
    }
    if (data.find("\"usage\"") != std::string_view::npos)
        m_lastUsageData.assign(data);
    return EventAction::Pass;
}

}
