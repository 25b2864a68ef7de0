#include "router/SseSplitter.h"

#include <utility>

namespace jasminestack {

std::string_view SseSplitter::feed(std::string_view chunk)
{
    if (m_violation != EventViolation::None)
        return {};
    m_reader.append(chunk);
    std::string_view forwarded;
    while (auto block = m_reader.next()) {
        std::string_view event = *block;
        std::string_view text = event;
        if (std::exchange(m_isAnswerStart, false) && text.starts_with(byteOrderMark)) {
            text.remove_prefix(byteOrderMark.size());
            // Callers' parsers skip a byte order mark only at the start of what they are sent.
            if (m_hasForwarded)
                event = text;
        }
        if (!accept(text))
            return forwarded;
        m_hasForwarded = true;
        // Nothing lies between forwarded events.
        forwarded = forwarded.empty() ? event : std::string_view(forwarded.data(), forwarded.size() + event.size());
    }
    std::size_t markBytes = m_isAnswerStart ? byteOrderMark.size() : 0;
    if (std::size_t size = m_reader.incompleteBlock().size(); size > maxEventBytes + markBytes)
        stop(EventViolation::TooLong, size);
    return forwarded;
}

bool SseSplitter::accept(std::string_view text)
{
    SseEvent event;
    EventViolation violation = parseSseEvent(text, m_rules, event);
    bool isNext = !event.id || (*event.id != 0 && *event.id - 1 == m_lastId);
    if (violation == EventViolation::None && !isNext)
        violation = EventViolation::OutOfOrder;
    if (violation != EventViolation::None) {
        stop(violation, text.size());
        return false;
    }
    if (event.id) {
        m_lastId = *event.id;
        ++m_eventCount;
        m_bytesSinceEvent = 0;
        return true;
    }
    m_bytesSinceEvent += text.size();
    if (m_bytesSinceEvent <= maxEventBytes)
        return true;
    stop(EventViolation::TooLong, m_bytesSinceEvent);
    return false;
}

void SseSplitter::endAnswer() noexcept
{
    if (m_violation != EventViolation::None)
        return;
    if (std::string_view rest = m_reader.incompleteBlock(); !rest.empty())
        stop(parseIncompleteEvent(rest, m_rules), rest.size());
}

void SseSplitter::stop(EventViolation violation, std::size_t bytes) noexcept
{
    m_violation = violation;
    m_violatingBytes = bytes;
}

void SseSplitter::resume() noexcept
{
    m_reader.clear();
    m_violation = EventViolation::None;
    m_violatingBytes = 0;
    m_bytesSinceEvent = 0;
    m_isAnswerStart = true;
}

}
