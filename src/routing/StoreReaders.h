#pragma once

#include "base/Clock.h"
#include "routing/Shards.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Selection of the daemons of a large fleet that read the deployment's store for all others, the followers.

namespace jasminestack {

/// \brief Message by which a reader tells a follower the versions of its documents and how recently the store confirmed
/// them as the newest.
struct StoreConfirmation {
    DaemonInstanceId reader { 0 };
    std::uint64_t configurationVersion { 0 };
    std::int64_t registrationsPosition { -1 };
    std::int64_t operatorPosition { -1 }; ///< See DeploymentVersions::operatorPosition.
    Millis age {}; ///< Time since the store's confirmation.
    Millis interval {}; ///< Time to the reader's next message.
};

/// \brief Number of readers from which a follower receives confirmations.
inline constexpr std::size_t readersPerFollower = 3;

/// \brief Number of readers whose confirmations a follower requires. With a single one, a connection of this reader
/// that is lost without being closed would delay changes.
inline constexpr std::size_t requiredConfirmations = 2;

/// \brief How long the store holds the reads of a reader, and so the longest time between two confirmations.
inline constexpr Millis readerLongPollTimeout { 1'000 };

/// \returns The number of readers in a fleet; grows slowly, so that a reader's messages stay within the control budget.
[[nodiscard]] std::size_t storeReaderCount(std::size_t daemonCount) noexcept;

/// \returns Addresses of the candidates that read the store: those with the most processor cores, with ties broken by
/// rendezvous hashing, so that daemons with the same candidates select the same readers and the loss of one replaces
/// only this one.
[[nodiscard]] std::vector<std::string> selectStoreReaders(
    std::span<const CoordinatorCandidate> candidates, std::size_t count);

/// \returns Those of the readers that send confirmations to a follower, by rendezvous hashing.
[[nodiscard]] std::vector<std::string_view> readersOfFollower(
    std::span<const std::string> readers, std::string_view follower);

/// \returns The interval of a reader's messages to its followers.
[[nodiscard]] Millis confirmationInterval(std::size_t followerCount) noexcept;

/// \returns The shortest interval between two imports of documents by a follower; grows with the fleet, so that the
/// imports from each reader are bounded.
[[nodiscard]] Millis importInterval(std::size_t daemonCount) noexcept;

/// \returns Whether a follower may rely on a reader's latest message.
/// \param sinceReceived Time since the message was received.
[[nodiscard]] bool isReaderLive(const StoreConfirmation&, Millis sinceReceived) noexcept;

/// \returns Whether the store confirmed the reader's documents recently enough.
/// \param sinceConfirmed Time since the store's confirmation.
[[nodiscard]] bool isConfirmationRecent(const StoreConfirmation&, Millis sinceConfirmed) noexcept;

}
