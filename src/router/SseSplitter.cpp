#include "router/SseSplitter.h"

#include <utility>

namespace jasminestack {

std::string_view SseSplitter::feed(std::string_view chunk)
{
    if (m_violation != EventViolation::None)
        return {};
    m_reader.append(chunk);
    m_joinedEvents.clear();
    std::string_view forwarded;
    while (auto block = m_reader.next()) {
        std::string_view event = *block;
        std::string_view text = event;
        if (std::exchange(m_isAnswerStart, false) && event.starts_with(byteOrderMark)) {
            text.remove_prefix(byteOrderMark.size());
            // Parsers of callers skip a byte order mark only at the start of what they are sent.
            if (m_hasForwarded)
                event = text;
        }
        bool isRestOfOmittedEvent = std::exchange(m_hasOmittedCarriageReturn, false) && event == "\n";
        Action action = isRestOfOmittedEvent ? Action::Omit : check(text);
        if (action == Action::Stop)
            return forwarded;
        if (action == Action::Omit) {
            m_hasOmittedCarriageReturn = event.ends_with('\r');
            continue;
        }
        m_hasForwarded = true;
        if (forwarded.empty()) {
            forwarded = event;
        } else if (m_joinedEvents.empty() && forwarded.data() + forwarded.size() == event.data()) {
            forwarded = { forwarded.data(), forwarded.size() + event.size() };
        } else {
            if (m_joinedEvents.empty())
                m_joinedEvents = forwarded;
            forwarded = m_joinedEvents.append(event);
        }
    }
    if (m_reader.incompleteBytes() > maxEventBytes + (m_isAnswerStart ? byteOrderMark.size() : 0))
        stop(EventViolation::TooLong, m_reader.incompleteBytes());
    return forwarded;
}

SseSplitter::Action SseSplitter::check(std::string_view text)
{
    SseEvent event;
    EventViolation violation = parseSseEvent(text, m_rules, event);
    if (violation == EventViolation::None && event.id) {
        // An answer may begin with events that the caller has, but without a gap, and never goes back.
        bool isInOrder
            = *event.id != 0 && (m_lastIdOfAnswer ? *event.id - 1 == *m_lastIdOfAnswer : *event.id - 1 <= m_lastId);
        if (!isInOrder)
            violation = EventViolation::OutOfOrder;
    }
    if (violation != EventViolation::None) {
        stop(violation, text.size());
        return Action::Stop;
    }
    if (!event.id)
        return Action::Forward;
    m_lastIdOfAnswer = event.id;
    if (*event.id <= m_lastId)
        return Action::Omit;
    m_lastId = *event.id;
    ++m_eventCount;
    return Action::Forward;
}

void SseSplitter::endAnswer() noexcept
{
    if (m_violation == EventViolation::None && m_reader.incompleteBytes() != 0)
        stop(EventViolation::Incomplete, m_reader.incompleteBytes());
}

void SseSplitter::stop(EventViolation violation, std::size_t bytes) noexcept
{
    m_violation = violation;
    m_violatingBytes = bytes;
}

void SseSplitter::resume() noexcept
{
    m_reader.clear();
    m_lastIdOfAnswer.reset();
    m_violation = EventViolation::None;
    m_violatingBytes = 0;
    m_isAnswerStart = true;
    m_hasOmittedCarriageReturn = false;
}

}
