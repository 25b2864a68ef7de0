#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Cuts a stream of server-sent events into whole events and follows their ids, so that a stream which breaks
/// off can go on at another endpoint after the last event that the caller has.
class SseSplitter {
public:
    /// \param chunk The next received bytes.
    /// \returns The whole events to pass on; valid until the next call and while \p chunk is. After resume() events up
    /// to the last id are left out.
    [[nodiscard]] std::string_view feed(std::string_view chunk);

    /// \returns The bytes of an event that was not ended; empties it.
    [[nodiscard]] std::string takeRest();

    /// \brief Forgets an incomplete event, because the stream goes on over another connection.
    void resume();

    /// \returns The id of the last event passed on, as the endpoint wrote it; empty before the first.
    [[nodiscard]] const std::string& lastId() const noexcept { return m_lastId; }

    /// \returns Events that were passed on.
    [[nodiscard]] std::uint64_t events() const noexcept { return m_events; }

    /// \returns Whether an event was received that skips an id or goes back: the stream cannot be passed on as whole.
    [[nodiscard]] bool broken() const noexcept { return m_broken; }

private:
    /// \returns Whether the event is passed on.
    [[nodiscard]] bool accept(std::string_view event);

    static constexpr std::size_t maxEventBytes = 1U << 20U;

    std::string m_pending; ///< Start of an event that has not ended.
    std::string m_joined; ///< What feed() returned, if it could not be a part of its chunk.
    std::string m_lastId;
    std::optional<std::uint64_t> m_lastNumber;
    std::uint64_t m_events { 0 };
    bool m_resumed { false };
    bool m_broken { false };
};

}
