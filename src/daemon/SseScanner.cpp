#include "daemon/SseScanner.h"

#include <charconv>
#include <cstring>

namespace jasminestack {

namespace {

    // Returns the value of a field line ("name: value" or "name:value"), if the line has that field.
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
    m_pending.erase(0, m_returned);
    m_returned = 0;
    if (m_pending.empty()) {
        // Usual case: whole events, which are passed on without a copy.
        std::size_t consumed = 0;
        std::string_view ready = scan(chunk, consumed);
        m_pending.assign(chunk.substr(consumed));
        return ready;
    }
    m_pending.append(chunk);
    return scan(m_pending, m_returned);
}

void SseScanner::reconnect()
{
    m_pending.clear();
    m_returned = 0;
    m_gap = false;
    // Without an index so far the stream starts again at 0; a later start would be a gap.
    m_next = m_next.value_or(0);
}

std::string_view SseScanner::scan(std::string_view text, std::size_t& consumed)
{
    std::size_t eventStart = 0;
    std::size_t lineStart = 0;
    std::size_t passedEnd = 0;
    bool filtering = false;
    consumed = 0;
    if (m_done || m_gap) {
        consumed = text.size();
        return {};
    }
    while (lineStart < text.size()) {
        const void* found = std::memchr(text.data() + lineStart, '\n', text.size() - lineStart);
        if (!found)
            break;
        auto lineEnd = static_cast<std::size_t>(static_cast<const char*>(found) - text.data());
        bool blank = lineEnd == lineStart || (lineEnd == lineStart + 1 && text[lineStart] == '\r');
        lineStart = lineEnd + 1;
        if (!blank)
            continue;
        std::string_view event = text.substr(eventStart, lineStart - eventStart);
        Verdict verdict = judge(event);
        consumed = lineStart;
        if (verdict == Verdict::Stop) {
            consumed = text.size();
            break;
        }
        if (verdict == Verdict::Skip && !filtering) {
            filtering = true;
            m_filtered.assign(text.substr(0, passedEnd));
        } else if (verdict == Verdict::Pass && filtering) {
            m_filtered.append(event);
        }
        if (verdict == Verdict::Pass)
            passedEnd = lineStart;
        eventStart = lineStart;
        if (m_done) {
            consumed = text.size();
            break;
        }
    }
    return filtering ? std::string_view(m_filtered) : text.substr(0, passedEnd);
}

SseScanner::Verdict SseScanner::judge(std::string_view event)
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
        m_done = true;
        return Verdict::Pass;
    }
    if (index) {
        if (m_next && *index < *m_next)
            return Verdict::Skip;
        if (m_next && *index > *m_next) {
            m_gap = true;
            return Verdict::Stop;
        }
        m_next = *index + 1;
        ++m_tokens;
    }
    if (data.find("\"usage\"") != std::string_view::npos)
        m_usage.assign(data);
    return Verdict::Pass;
}

}
