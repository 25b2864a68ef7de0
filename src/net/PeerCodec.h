#pragma once

#include "base/Result.h"
#include "core/Messages.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Records which sequence numbers of one sender were received. Messages may arrive out of order within a window
/// of 64 sequence numbers; older messages cannot be distinguished from replays and are rejected.
class ReplayWindow {
public:
    /// \brief Records the sequence number of a received message.
    /// \param incarnation The sender's incarnation; a higher one clears the window, and messages of a lower one are
    /// rejected.
    /// \returns Whether the message is new; false if it was received before or is older than the window.
    [[nodiscard]] bool accept(std::uint64_t incarnation, std::uint64_t sequence) noexcept;

private:
    std::uint64_t m_incarnation { 0 };
    std::uint64_t m_highestSequence { 0 };
    std::uint64_t m_receivedBits { 0 }; ///< Bit i is set if m_highestSequence - i was received.
    bool m_hasReceived { false };
};

/// \brief Why a received message was dropped.
enum class PeerRejection : std::uint8_t { Oversized, WrongTag, UnknownVersion, Malformed, Replayed };
inline constexpr std::size_t peerRejectionKindCount = 5;

/// \returns A stable name, for metrics.
[[nodiscard]] std::string_view toString(PeerRejection) noexcept;

/// \returns A stable name of the payload's type, for metrics.
[[nodiscard]] std::string_view payloadName(const PeerPayload&) noexcept;

/// \brief Encodes peer messages as authenticated bytes and decodes them.
///
/// The body is the msgpack array [version, type, sender, incarnation, sequence, payload]. It is followed by the tag,
/// the first 16 bytes of the body's HMAC-SHA256 under the fleet key. Identifiers in lists are front-coded (length of
/// the prefix shared with the previous identifier, then the suffix), because neighbours in sorted lists differ in few
/// characters.
class PeerCodec {
public:
    /// Bounds the memory that one message can use; a configuration document of the design size is below 1 MiB.
    static constexpr std::size_t maxMessageBytes = 4U << 20U;
    static constexpr std::size_t tagBytes = 16;

    explicit PeerCodec(std::string fleetKey);

    [[nodiscard]] std::string encode(const PeerMessage&) const;

    /// \brief Checks and parses a message. Never throws on bad input.
    /// \returns PeerMessageRejected if it is oversized, has a wrong tag or an unknown version, is malformed or was
    /// received before.
    [[nodiscard]] Result<PeerMessage> decode(std::string_view bytes);

    /// \returns Number of rejected messages, indexed by PeerRejection.
    [[nodiscard]] const std::array<std::uint64_t, peerRejectionKindCount>& rejections() const noexcept
    {
        return m_rejections;
    }

private:
    Error reject(PeerRejection);

    std::string m_fleetKey;
    std::map<DaemonId, ReplayWindow> m_windows;
    std::array<std::uint64_t, peerRejectionKindCount> m_rejections {};
};

}
