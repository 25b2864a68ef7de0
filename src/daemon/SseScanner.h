#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Finds event boundaries, token indices (the events' `id` fields) and the end marker in a model engine's SSE
/// events without parsing their JSON. Returns only complete events, so that a stream can be resumed after the last
/// returned event.
///
/// \code
/// caller.sendChunk(scanner.feed(received));
/// if (scanner.isDone()) ...
/// \endcode
class SseScanner {
public:
    /// \param chunk The next received bytes.
    /// \returns The complete events to relay; valid until the next call of feed() and only while \p chunk is valid.
    /// Events whose index is below nextIndex() are omitted, as is everything after a gap in the indices or after the
    /// end marker.
    [[nodiscard]] std::string_view feed(std::string_view chunk);

    /// \brief Discards an incomplete event and resets hasGap(), because the stream is resumed over another connection.
    void prepareToResume();

    /// \returns Whether `data: [DONE]` was received.
    [[nodiscard]] bool isDone() const noexcept { return m_isDone; }

    /// \returns Whether an index was skipped, so that tokens are missing and the stream must be resumed.
    [[nodiscard]] bool hasGap() const noexcept { return m_hasGap; }

    /// \returns The index of the next expected token, from which the stream can be resumed.
    [[nodiscard]] std::uint64_t nextIndex() const noexcept { return m_nextIndex.value_or(0); }

    /// \returns The number of returned events that have an index.
    [[nodiscard]] std::uint64_t tokenCount() const noexcept { return m_tokenCount; }

    /// \returns Whether an incomplete event is longer than the limit of 256 KiB; the stream cannot be relayed.
    [[nodiscard]] bool isEventTooLong() const noexcept { return m_pendingBytes.size() > maxEventBytes; }

    /// \returns The data of the last event that contains "usage", or an empty string.
    [[nodiscard]] const std::string& lastUsageData() const noexcept { return m_lastUsageData; }

private:
    static constexpr std::size_t maxEventBytes = 256U << 10U;

    enum class EventAction : std::uint8_t { Pass, Skip, Stop };

    [[nodiscard]] std::string_view scan(std::string_view text, std::size_t& consumed);
    [[nodiscard]] EventAction processEvent(std::string_view event);

    std::string m_pendingBytes; ///< Bytes that the last feed() returned or skipped, then an incomplete event.
    std::size_t m_consumedSize { 0 }; ///< Bytes at the start of m_pendingBytes that were returned or skipped.
    std::string m_filteredEvents; ///< Copy of the events to return, used when events between them are skipped.
    std::string m_lastUsageData;
    std::optional<std::uint64_t> m_nextIndex;
    std::uint64_t m_tokenCount { 0 };
    bool m_isDone { false };
    bool m_hasGap { false };
};

}
