#pragma once

#include "net/SseEvent.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Checks a model engine's SSE events without parsing their JSON: each token's event has its index as `id`,
/// counted from 0, and `data: [DONE]` ends the stream. Returns only complete events, so that the caller is sent each
/// event of the run once and in order, and the stream can be resumed after the last returned one.
///
/// \code
/// caller.sendChunk(scanner.feed(received));
/// if (scanner.violation() != EventViolation::None) ...
/// \endcode
class SseScanner {
public:
    /// \param chunk The next received bytes.
    /// \returns The complete events to relay, up to the first violation or the end marker; valid until the next call of
    /// feed() and only while \p chunk is valid. Events below nextIndex() at the start of a resumed answer are omitted.
    [[nodiscard]] std::string_view feed(std::string_view chunk);

    /// \brief Ends the answer. Bytes behind the last complete event are a violation, except behind the end marker.
    void endAnswer() noexcept;

    /// \brief Discards an incomplete event and the violation, because the stream is resumed over another connection.
    void prepareToResume() noexcept;

    /// \returns Whether `data: [DONE]` was received.
    [[nodiscard]] bool isDone() const noexcept { return m_isDone; }

    /// \returns What is wrong with the event behind the last returned one, or EventViolation::None. Nothing is returned
    /// after a violation.
    [[nodiscard]] EventViolation violation() const noexcept { return m_violation; }

    /// \returns Number of bytes of that event, as far as they were received.
    [[nodiscard]] std::size_t violatingBytes() const noexcept { return m_violatingBytes; }

    /// \returns The index of the next expected token, from which the stream can be resumed.
    [[nodiscard]] std::uint64_t nextIndex() const noexcept { return m_nextIndex; }

    /// \returns The number of returned events that have an index.
    [[nodiscard]] std::uint64_t tokenCount() const noexcept { return m_nextIndex; }

    /// \returns The data of the last event that contains "usage", or an empty string.
    [[nodiscard]] const std::string& lastUsageData() const noexcept { return m_lastUsageData; }

private:
    enum class Action : std::uint8_t { Forward, Omit, Stop };

    [[nodiscard]] Action check(std::string_view text);
    [[nodiscard]] bool isInOrder(const SseEvent&) const noexcept;
    void appendTo(std::string_view& forwarded, std::string_view bytes);
    void completeLineEnd(std::string_view& forwarded, std::string_view lastBlock, Action lastAction);
    void stop(EventViolation, std::size_t bytes) noexcept;

    SseBlockReader m_reader;
    std::string m_joinedEvents; ///< Copy of the events that feed() returns if other bytes lie between them.
    std::string m_lastUsageData;
    std::uint64_t m_nextIndex { 0 };
    std::optional<std::uint64_t> m_lastIndexOfAnswer; ///< Of the last event in this answer, returned or omitted.
    EventViolation m_violation { EventViolation::None };
    std::size_t m_violatingBytes { 0 };
    /// Of blank lines and comments since the last token. Each is a block of its own, so that an engine that sends them
    /// without end would take all processor time.
    std::size_t m_bytesSinceToken { 0 };
    bool m_isDone { false };
    bool m_isAnswerStart { true }; ///< No block of this answer has been read.
    bool m_hasForwarded { false };
    bool m_isLineFeedHandled { false }; ///< The LF that may be received next belongs to the last block.
};

}
