#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "core/Claims.h"
#include "net/Interfaces.h"
#include "observe/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

struct ClaimServiceOptions {
    ClaimOptions claims;
    Millis longPollWait { 4'000 }; ///< How long the log may delay the response to a read while it has no new records.
    unsigned maxRecords { 512 }; ///< Maximum number of records that one read returns.
    Millis minimumRetryDelay { 100 }; ///< Delay after a failed log request; doubles up to maximumRetryDelay.
    Millis maximumRetryDelay { 1'000 };
    /// While requests wait for a decision, a second read is sent if the first one has had no response for this time.
    Millis hedgedReadDelay { 500 };
    /// An append that has had no response for this time no longer delays the next append to its stream.
    Millis appendResponseTimeout { 1'000 };
};

/// \brief Connects the claims controller to the log: tails the claim streams, appends records and delivers decisions.
///
/// Records created while an append to their stream is in flight are batched into the next append, so the append rate is
/// bounded by the log's response time and not by the number of requests.
///
/// \code
/// std::string claimId = claims.begin({ .workspace = "w", .key = key, .contentHash = hash, .deadline = deadline },
///     [this](const ClaimDecision& decision) { ... });
/// \endcode
class ClaimService {
public:
    using DecisionCallback = std::function<void(const ClaimDecision&)>;

    /// \brief A request with an idempotency key.
    struct KeyedRequest {
        std::string_view workspace;
        std::string_view key;
        std::uint64_t contentHash { 0 };
        Millis deadline {}; ///< Monotonic time.
    };

    ClaimService(LogClient&, const Clock&, Random&, Metrics&, std::string daemonId, const ClaimServiceOptions& = {});
    ClaimService(const ClaimService&) = delete;
    ClaimService& operator=(const ClaimService&) = delete;

    /// \brief Starts to read the claim streams; call it once.
    void start();

    /// \brief Runs the periodic work; call it about every 50 ms.
    void tick();

    /// \brief Starts a claim for a request. The callback is called at most once, never inside begin() and never after
    /// abandon().
    /// \returns The id of the claim, for finish() and abandon().
    [[nodiscard]] std::string begin(const KeyedRequest&, DecisionCallback);

    /// \brief Reports the result of a request whose decision was ClaimVerdict::Run.
    void finish(std::string_view claimId, RunStatus, StoredResponse);

    /// \brief Cancels a claim, unless its callback has already received ClaimVerdict::Run.
    void abandon(std::string_view claimId);

    /// \returns Whether all records of cancelled claims and stored responses have been read back from the log.
    [[nodiscard]] bool hasNoUnconfirmedRecords() const noexcept { return m_state.unconfirmedRecords.empty(); }

private:
    struct Stream {
        std::string name;
        bool isReading { false };
        Millis nextReadAt {}; ///< Time of the next read; used while none is in flight.
        Millis lastReadActivityAt {}; ///< Time of the last read request or response.
        Millis readRetryDelay {};
        Millis appendStartedAt {};
        Millis nextAppendAt {}; ///< Earliest time of the next append.
        Millis appendRetryDelay {};
        std::uint64_t inFlightAppendId { 0 }; ///< 0: none in flight.
        std::vector<std::string> pendingRecords; ///< Records for the next append.
    };

    void read(std::size_t streamIndex, Millis wait);
    void onRead(std::size_t streamIndex, const Result<LogBatch>&, bool isMainRead);
    void collectAppends();
    void appendPendingRecords(std::size_t streamIndex);
    void deliverDecisions();
    [[nodiscard]] Millis nextRetryDelay(Millis previousDelay) const noexcept;

    LogClient& m_log;
    const Clock& m_clock;
    Random& m_random;
    Metrics& m_metrics;
    ClaimServiceOptions m_options;
    ClaimState m_state;
    std::vector<Stream> m_streams;
    std::map<std::string, DecisionCallback, std::less<>> m_callbacks;
    std::uint64_t m_nextAppendId { 1 };
    /// Log callbacks hold a weak pointer to it, because they may outlive the service.
    std::shared_ptr<int> m_lifetime { std::make_shared<int>(0) };
};

}
