#pragma once

#include "net/SseEvent.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Splits a stream into complete SSE events and records the last event id, so that an interrupted stream
/// can be resumed at another endpoint after the last event that was sent to the caller.
class SseSplitter {
public:
    /// \param chunk The next received bytes.
    /// \returns The complete events to forward; valid until the next call or until \p chunk is destroyed, whichever is
    /// earlier. After resume(), events with a numeric id up to lastId() are omitted: they were forwarded before.
    [[nodiscard]] std::string_view feed(std::string_view chunk);

    /// \brief Discards the stored bytes of an incomplete event.
    /// \returns These bytes.
    [[nodiscard]] std::string takeIncompleteEvent();

    /// \brief Prepares for the events of another connection that resumes the stream: discards an incomplete event;
    /// from then on feed() omits repeated events.
    void resume();

    /// \returns The id of the last forwarded event that has one, as the endpoint wrote it; empty before the first.
    [[nodiscard]] const std::string& lastId() const noexcept { return m_lastId; }

    /// \returns Number of forwarded events.
    [[nodiscard]] std::uint64_t forwardedEventCount() const noexcept { return m_eventCount; }

    /// \returns Number of forwarded events with an id or data; an endpoint that sends only others, such as comments,
    /// makes no progress.
    [[nodiscard]] std::uint64_t contentEventCount() const noexcept { return m_contentEventCount; }

    /// \returns Whether the stream cannot be forwarded without a gap or a duplicate: an id was skipped; an id
    /// did not increase, although resume() was not called; or isEventTooLong().
    [[nodiscard]] bool isBroken() const noexcept { return m_isBroken; }

    /// \returns What is wrong with the first event that violates the grammar, which is forwarded all the same.
    [[nodiscard]] EventViolation violation() const noexcept { return m_violation; }

    /// \returns Number of bytes of that event.
    [[nodiscard]] std::size_t violatingBytes() const noexcept { return m_violatingBytes; }

    /// \returns Whether the stored bytes of an incomplete event exceeded 256 KiB.
    [[nodiscard]] bool isEventTooLong() const noexcept { return m_incompleteEvent.size() > maxEventBytes; }

private:
    /// \returns Whether the event is forwarded.
    [[nodiscard]] bool acceptEvent(std::string_view event);

    std::string m_incompleteEvent; ///< Bytes of an event whose end has not been received.
    std::string m_joinedEvents; ///< Copy of the events that feed() returns if they are no contiguous part of its chunk.
    std::string m_lastId;
    std::optional<std::uint64_t> m_lastIdNumber;
    std::uint64_t m_eventCount { 0 };
    std::uint64_t m_contentEventCount { 0 };
    EventViolation m_violation { EventViolation::None };
    std::size_t m_violatingBytes { 0 };
    bool m_isResumed { false };
    bool m_isBroken { false };
};

}
