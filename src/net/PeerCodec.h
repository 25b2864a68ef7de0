#pragma once

#include "base/Result.h"
#include "core/Messages.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Remembers which sequence numbers of one sender were received. The window lets messages arrive out of order
/// within 64 positions; older ones cannot be told from replays and are refused.
class ReplayWindow {
public:
    /// \returns Whether the message is new; it is then remembered.
    [[nodiscard]] bool accept(std::uint64_t incarnation, std::uint64_t sequence) noexcept;

private:
    std::uint64_t m_incarnation { 0 };
    std::uint64_t m_highest { 0 };
    std::uint64_t m_seen { 0 }; ///< Bit i: m_highest - i was received.
    bool m_any { false };
};

/// \brief Why a received message was dropped.
enum class PeerRejection : std::uint8_t { Oversized, WrongTag, UnknownVersion, Malformed, Replayed };
inline constexpr std::size_t peerRejectionKinds = 5;

/// \returns A stable name, for metrics.
[[nodiscard]] std::string_view toString(PeerRejection) noexcept;

/// \returns A stable name of the payload's type, for metrics.
[[nodiscard]] std::string_view payloadName(const PeerPayload&) noexcept;

/// \brief Turns peer messages into authenticated bytes and back.
///
/// The body is the msgpack array [version, type, sender, incarnation, sequence, payload], followed by the first 16
/// bytes of its HMAC-SHA256 under the fleet key. Identifiers in lists are front-coded (length of the prefix shared with
/// the one before, then the rest), because neighbours in sorted lists differ in few characters.
class PeerCodec {
public:
    /// Bounds the memory that one message can take; a configuration document at the design size is below 1 MiB.
    static constexpr std::size_t maxMessageBytes = 4U << 20U;
    static constexpr std::size_t tagBytes = 16;

    explicit PeerCodec(std::string fleetKey);

    [[nodiscard]] std::string encode(const PeerMessage&) const;

    /// \brief Checks and parses a message. Never throws on bad input.
    /// \returns PeerMessageRejected if it is oversized, has a wrong tag or an unknown version, is malformed or was
    /// received before.
    [[nodiscard]] Result<PeerMessage> decode(std::string_view bytes);

    /// \returns Number of rejected messages by PeerRejection.
    [[nodiscard]] const std::array<std::uint64_t, peerRejectionKinds>& rejections() const noexcept
    {
        return m_rejections;
    }

private:
    Error reject(PeerRejection);

    std::string m_fleetKey;
    std::map<DaemonId, ReplayWindow> m_windows;
    std::array<std::uint64_t, peerRejectionKinds> m_rejections {};
};

}
