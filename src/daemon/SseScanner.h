#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Finds event boundaries, token indices and the end marker in a model engine's server-sent events without
/// parsing their JSON. Only whole events are passed on, so that a stream can be resumed after the last one.
///
/// \code
/// caller.sendChunk(scanner.feed(received));
/// if (scanner.done()) ...
/// \endcode
class SseScanner {
public:
    /// \param chunk The next received bytes.
    /// \returns The whole events that can be passed on; valid until the next call and while \p chunk is. Events before
    /// nextIndex() are left out, and so is all that follows a gap in the indices or the end marker.
    [[nodiscard]] std::string_view feed(std::string_view chunk);

    /// \brief Forgets an incomplete event, because the stream goes on over another connection.
    void reconnect();

    /// \returns Whether `data: [DONE]` was seen.
    [[nodiscard]] bool done() const noexcept { return m_done; }

    /// \returns Whether an index was skipped: tokens were lost, and the stream must be resumed.
    [[nodiscard]] bool gap() const noexcept { return m_gap; }

    /// \returns The index of the next token, where the stream can be resumed.
    [[nodiscard]] std::uint64_t nextIndex() const noexcept { return m_next.value_or(0); }

    /// \returns The number of events with an index that were passed on.
    [[nodiscard]] std::uint64_t tokens() const noexcept { return m_tokens; }

    /// \returns Whether an event is longer than the limit; the stream cannot be relayed.
    [[nodiscard]] bool overlong() const noexcept { return m_pending.size() > maxEventBytes; }

    /// \returns The data of the last event that contains "usage", or an empty string.
    [[nodiscard]] const std::string& usageData() const noexcept { return m_usage; }

private:
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    enum class Verdict : std::uint8_t { Pass, Skip, Stop };

    [[nodiscard]] std::string_view scan(std::string_view text, std::size_t& consumed);
    [[nodiscard]] Verdict judge(std::string_view event);

    std::string m_pending; ///< An incomplete event, preceded by what the last feed() returned.
    std::size_t m_returned { 0 }; ///< Bytes at the start of m_pending that were returned or skipped.
    std::string m_filtered; ///< Events to pass on when some in between are left out.
    std::string m_usage;
    std::optional<std::uint64_t> m_next;
    std::uint64_t m_tokens { 0 };
    bool m_done { false };
    bool m_gap { false };
};

}
