#include "routing/StoreReaders.h"

#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace jasminestack {

namespace {

    constexpr std::size_t minReaders = 6;
    constexpr std::size_t maxReaders = 16;
    constexpr std::size_t daemonsPerReader = 32;

    // A reader sends at most this many bytes a second to its followers, as far as the longest interval allows: half of
    // the control budget of a daemon.
    constexpr std::size_t confirmationBytesPerSecond = 2'000;
    constexpr std::size_t confirmationBytes = 30;
    constexpr Millis minConfirmationInterval { 400 };
    constexpr Millis maxConfirmationInterval { 1'000 };

    // Changes arrive in quick succession when many endpoints are replaced; a follower imports several at once.
    constexpr Millis importIntervalPerDaemon { 3 };
    constexpr Millis minImportInterval { 250 };
    constexpr Millis maxImportInterval { 1'000 };

    // Delay of a message or of the store's response that does not count as a loss.
    constexpr Millis messageTolerance { 300 };
    constexpr Millis responseTolerance { 500 };

}

std::size_t storeReaderCount(std::size_t daemonCount) noexcept
{
    return std::clamp(daemonCount / daemonsPerReader, minReaders, maxReaders);
}

std::vector<std::string> selectStoreReaders(std::span<const CoordinatorCandidate> candidates, std::size_t count)
{
    constexpr std::string_view key = "store-reader";
    std::vector<std::tuple<float, std::uint64_t, const CoordinatorCandidate*>> ranking;
    ranking.reserve(candidates.size());
    for (const CoordinatorCandidate& candidate : candidates)
        ranking.emplace_back(candidate.cpuCores, rendezvousScore(key, candidate.address), &candidate);
    count = std::min(count, ranking.size());
    std::partial_sort(
        ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count), ranking.end(), std::greater<>());
    std::vector<std::string> readers;
    for (std::size_t i = 0; i < count; ++i)
        readers.push_back(std::get<2>(ranking[i])->address);
    return readers;
}

std::vector<std::string_view> readersOfFollower(std::span<const std::string> readers, std::string_view follower)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> ranking;
    for (const std::string& reader : readers)
        ranking.emplace_back(rendezvousScore(follower, reader), reader);
    std::size_t count = std::min(readersPerFollower, ranking.size());
    std::partial_sort(
        ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count), ranking.end(), std::greater<>());
    std::vector<std::string_view> selected;
    for (std::size_t i = 0; i < count; ++i)
        selected.push_back(ranking[i].second);
    return selected;
}

Millis confirmationInterval(std::size_t followerCount) noexcept
{
    constexpr std::size_t msPerSecond = 1'000;
    Millis interval { static_cast<std::int64_t>(
        followerCount * confirmationBytes * msPerSecond / confirmationBytesPerSecond) };
    return std::clamp(interval, minConfirmationInterval, maxConfirmationInterval);
}

Millis importInterval(std::size_t daemonCount) noexcept
{
    Millis interval { static_cast<std::int64_t>(daemonCount) * importIntervalPerDaemon.count };
    return std::clamp(interval, minImportInterval, maxImportInterval);
}

bool isReaderLive(const StoreConfirmation& latest, Millis sinceReceived) noexcept
{
    // One message may be lost.
    return sinceReceived <= latest.interval + latest.interval + messageTolerance;
}

bool isConfirmationRecent(const StoreConfirmation& latest, Millis sinceConfirmed) noexcept
{
    return sinceConfirmed <= readerLongPollTimeout + latest.interval + responseTolerance;
}

}
