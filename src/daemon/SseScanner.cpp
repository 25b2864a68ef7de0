#include "daemon/SseScanner.h"

#include <utility>

namespace jasminestack {

namespace {

    constexpr EventRules engineRules { .endMarker = "[DONE]" };

}

std::string_view SseScanner::feed(std::string_view chunk)
{
    if (m_isDone || m_violation != EventViolation::None)
        return {};
    m_reader.append(chunk);
    m_joinedEvents.clear();
    std::string_view forwarded;
    std::string_view lastBlock;
    Action lastAction = Action::Omit;
    while (auto block = m_reader.next()) {
        if (std::exchange(m_isLineFeedHandled, false) && *block == "\n")
            continue;
        if (m_isDone)
            return forwarded;
        std::string_view event = *block;
        std::string_view text = event;
        if (std::exchange(m_isAnswerStart, false) && text.starts_with(byteOrderMark)) {
            text.remove_prefix(byteOrderMark.size());
            // Callers' parsers skip a byte order mark only at the start of what they are sent.
            if (m_hasForwarded)
                event = text;
        }
        lastAction = check(text);
        if (lastAction == Action::Stop)
            return forwarded;
        lastBlock = *block;
        if (lastAction == Action::Forward) {
            m_hasForwarded = true;
            appendTo(forwarded, event);
        }
    }
    if (m_reader.incompleteBlock().empty())
        completeLineEnd(forwarded, lastBlock, lastAction);
    else if (!m_isDone && m_reader.incompleteBlock().size() > maxEventBytes)
        stop(EventViolation::TooLong, m_reader.incompleteBlock().size());
    return forwarded;
}

SseScanner::Action SseScanner::check(std::string_view text)
{
    SseEvent event;
    EventViolation violation = parseSseEvent(text, engineRules, event);
    if (violation == EventViolation::None && !isInOrder(event))
        violation = EventViolation::OutOfOrder;
    if (violation != EventViolation::None) {
        stop(violation, text.size());
        return Action::Stop;
    }
    m_isDone = event.isEndMarker;
    if (!event.id) {
        m_bytesSinceToken += text.size();
        if (m_bytesSinceToken <= maxEventBytes)
            return Action::Forward;
        stop(EventViolation::TooLong, m_bytesSinceToken);
        return Action::Stop;
    }
    m_bytesSinceToken = 0;
    m_lastIndexOfAnswer = event.id;
    if (*event.id < m_nextIndex)
        return Action::Omit;
    ++m_nextIndex;
    constexpr std::string_view usageMember = "\"usage\"";
    if (event.data.find(usageMember) != std::string_view::npos)
        m_lastUsageData.assign(event.data);
    return Action::Forward;
}

// An answer may begin with events that the caller has, but has no gap and never goes back; it does not end before the
// last event that the caller has.
bool SseScanner::isInOrder(const SseEvent& event) const noexcept
{
    if (event.isEndMarker)
        return !m_lastIndexOfAnswer || *m_lastIndexOfAnswer + 1 == m_nextIndex;
    if (!event.id)
        return true;
    return m_lastIndexOfAnswer ? *event.id == *m_lastIndexOfAnswer + 1 : *event.id <= m_nextIndex;
}

void SseScanner::appendTo(std::string_view& forwarded, std::string_view bytes)
{
    if (forwarded.empty()) {
        forwarded = bytes;
    } else if (m_joinedEvents.empty() && forwarded.data() + forwarded.size() == bytes.data()) {
        forwarded = { forwarded.data(), forwarded.size() + bytes.size() };
    } else {
        if (m_joinedEvents.empty())
            m_joinedEvents = forwarded;
        forwarded = m_joinedEvents.append(bytes);
    }
}

// The LF of a blank line's CRLF may be received later, or never if the connection breaks: the caller is sent it with
// its event.
void SseScanner::completeLineEnd(std::string_view& forwarded, std::string_view lastBlock, Action lastAction)
{
    if (!lastBlock.ends_with("\r\n\r"))
        return;
    m_isLineFeedHandled = true;
    if (lastAction == Action::Forward)
        appendTo(forwarded, "\n");
}

void SseScanner::endAnswer() noexcept
{
    if (!m_isDone && m_violation == EventViolation::None && !m_reader.incompleteBlock().empty())
        stop(EventViolation::Incomplete, m_reader.incompleteBlock().size());
}

void SseScanner::prepareToResume() noexcept
{
    m_reader.clear();
    m_lastIndexOfAnswer.reset();
    m_violation = EventViolation::None;
    m_violatingBytes = 0;
    m_bytesSinceToken = 0;
    m_isAnswerStart = true;
    m_isLineFeedHandled = false;
}

void SseScanner::stop(EventViolation violation, std::size_t bytes) noexcept
{
    m_violation = violation;
    m_violatingBytes = bytes;
}

}
