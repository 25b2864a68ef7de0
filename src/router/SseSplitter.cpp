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
        if (std::exchange(m_isAnswerStart, false) && text.starts_with(byteOrderMark)) {
            text.remove_prefix(byteOrderMark.size());
            // Callers' parsers skip a byte order mark only at the start of what they are sent.
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
    std::size_t markBytes = m_isAnswerStart ? byteOrderMark.size() : 0;
    if (std::size_t size = m_reader.incompleteBlock().size(); size > maxEventBytes + markBytes)
        stop(EventViolation::TooLong, size);
    return forwarded;
}

SseSplitter::Action SseSplitter::check(std::string_view text)
{
    SseEvent event;
    EventViolation violation = parseSseEvent(text, m_rules, event);
    if (violation == EventViolation::None && event.id && !isInOrder(*event.id))
        violation = EventViolation::OutOfOrder;
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

bool SseSplitter::isInOrder(std::uint64_t id) const noexcept
{
    if (id == 0)
        return false;
    if (m_lastIdOfAnswer)
        return id - 1 == *m_lastIdOfAnswer;
    return m_mayRepeat ? id - 1 <= m_lastId : id - 1 == m_lastId;
}

void SseSplitter::endAnswer() noexcept
{
    if (m_violation != EventViolation::None)
        return;
    if (std::string_view rest = m_reader.incompleteBlock(); !rest.empty())
        stop(parseIncompleteEvent(rest, m_rules), rest.size());
    else if (m_lastIdOfAnswer && *m_lastIdOfAnswer < m_lastId)
        stop(EventViolation::Incomplete, 0);
}

void SseSplitter::stop(EventViolation violation, std::size_t bytes) noexcept
{
    m_violation = violation;
    m_violatingBytes = bytes;
}

void SseSplitter::resume() noexcept
{
    m_reader.clear();
    m_mayRepeat = true;
    m_lastIdOfAnswer.reset();
    m_violation = EventViolation::None;
    m_violatingBytes = 0;
    m_isAnswerStart = true;
    m_hasOmittedCarriageReturn = false;
}

}
