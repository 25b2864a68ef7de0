#include "router/SseSplitter.h"

#include <charconv>

namespace jasminestack {

namespace {

    constexpr std::string_view eventEnd = "\n\n";

    // Value of the event's `id:` line, or an empty view.
    std::string_view idOf(std::string_view event)
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

    std::optional<std::uint64_t> numberOf(std::string_view id)
    {
        std::uint64_t number = 0;
        auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
        if (id.empty() || parsed.ec != std::errc {} || parsed.ptr != id.data() + id.size())
            return std::nullopt;
        return number;
    }

    // Position after the blank line that ends the first event, or npos.
    std::size_t endOfEvent(std::string_view text)
    {
        std::size_t plain = text.find(eventEnd);
        std::size_t withReturns = text.find("\r\n\r\n");
        if (withReturns < plain)
            return withReturns + 4;
        return plain == std::string_view::npos ? plain : plain + eventEnd.size();
    }

}

bool SseSplitter::accept(std::string_view event)
{
    std::string_view id = idOf(event);
    auto number = numberOf(id);
    if (number && m_lastNumber) {
        if (*number <= *m_lastNumber) {
            m_broken = m_broken || !m_resumed;
            return false;
        }
        if (*number != *m_lastNumber + 1) {
            m_broken = true;
            return false;
        }
    }
    if (number)
        m_lastNumber = number;
    if (!id.empty())
        m_lastId = id;
    ++m_events;
    return true;
}

std::string_view SseSplitter::feed(std::string_view chunk)
{
    if (m_broken)
        return {};
    std::string held;
    std::string_view text = chunk;
    if (!m_pending.empty()) {
        held = std::move(m_pending).append(chunk);
        m_pending.clear();
        text = held;
    }
    std::size_t position = 0;
    bool contiguous = true;
    m_joined.clear();
    while (!m_broken) {
        std::size_t length = endOfEvent(text.substr(position));
        if (length == std::string_view::npos)
            break;
        std::string_view event = text.substr(position, length);
        bool passed = accept(event);
        if (contiguous && !passed) {
            m_joined.assign(text.substr(0, position));
            contiguous = false;
        } else if (!contiguous && passed) {
            m_joined.append(event);
        }
        position += length;
    }
    m_pending.assign(text.substr(position));
    if (m_pending.size() > maxEventBytes)
        m_broken = true;
    if (!contiguous)
        return m_joined;
    if (held.empty())
        return text.substr(0, position);
    m_joined.assign(text.substr(0, position));
    return m_joined;
}

std::string SseSplitter::takeRest()
{
    std::string rest = std::move(m_pending);
    m_pending.clear();
    return rest;
}

void SseSplitter::resume()
{
    m_pending.clear();
    m_resumed = true;
}

}
