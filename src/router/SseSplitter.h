#pragma once

#include "net/SseEvent.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jasminestack {

/// \brief Splits a stream into complete SSE events and checks each of them, so that the caller is sent each event of
/// the run once and in order, and an interrupted stream can be resumed at another endpoint after the last one.
class SseSplitter {
public:
    /// \param rules What the deployment's streams contain beside the fields of the specification.
    /// \param lastId Id of the last event that the caller has; 0 at the start of a stream, whose first event is
    /// number 1.
    explicit SseSplitter(const EventRules& rules, std::uint64_t lastId = 0) noexcept
        : m_rules(rules)
        , m_lastId(lastId)
    {
    }

    /// \param chunk The next received bytes.
    /// \returns The complete events to forward, up to the first violation; valid until the next call or until \p chunk
    /// is destroyed, whichever is earlier.
    [[nodiscard]] std::string_view feed(std::string_view chunk);

    /// \brief Ends the answer. Bytes behind the last complete event are a violation.
    void endAnswer() noexcept;

    /// \brief Prepares for the answer of another endpoint that resumes the stream: discards an incomplete event and the
    /// violation.
    void resume() noexcept;

    /// \brief Gives back memory after the forwarded events, which are no longer valid, were used.
    void compact() { m_reader.compact(); }

    /// \returns Bytes of memory that are kept for an incomplete event.
    [[nodiscard]] std::size_t bufferCapacity() const noexcept { return m_reader.bufferCapacity(); }

    /// \returns The id of the last event that the caller has; 0 if it has none.
    [[nodiscard]] std::uint64_t lastId() const noexcept { return m_lastId; }

    /// \returns Number of forwarded events with data. An endpoint that sends only others, such as comments, makes no
    /// progress.
    [[nodiscard]] std::uint64_t eventCount() const noexcept { return m_eventCount; }

    /// \returns What is wrong with the event behind the last forwarded one, or EventViolation::None. Nothing is
    /// forwarded after a violation.
    [[nodiscard]] EventViolation violation() const noexcept { return m_violation; }

    /// \returns Number of bytes of that event, as far as they were received.
    [[nodiscard]] std::size_t violatingBytes() const noexcept { return m_violatingBytes; }

private:
    /// \returns Whether the event is forwarded.
    [[nodiscard]] bool accept(std::string_view text);
    void stop(EventViolation, std::size_t bytes) noexcept;

    EventRules m_rules;
    SseBlockReader m_reader;
    std::uint64_t m_lastId;
    std::uint64_t m_eventCount { 0 };
    EventViolation m_violation { EventViolation::None };
    std::size_t m_violatingBytes { 0 };
    /// Of blank lines and comments since the last event with data. Each is a block of its own, so that an endpoint that
    /// sends them without end would take all processor time.
    std::size_t m_bytesSinceEvent { 0 };
    bool m_isAnswerStart { true }; ///< No block of this answer has been read.
    bool m_hasForwarded { false };
};

}
