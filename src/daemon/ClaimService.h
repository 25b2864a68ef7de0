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
    Millis readWait { 4'000 }; ///< How long the log may hold back a read that has nothing to answer.
    unsigned maxRecords { 512 };
    Millis retryMinimum { 100 }; ///< Wait after a failed request to the log; doubles up to retryMaximum.
    Millis retryMaximum { 1'000 };
    Millis sideReadAfter { 500 }; ///< While calls wait, a read that brought nothing for this time gets a second one.
    Millis appendOverdue { 1'000 }; ///< An append without an answer for this time no longer holds back the next one.
};

/// \brief Connects the claims controller with the log: tails the claim streams, appends records, delivers decisions.
///
/// Records that arise while an append of their stream is in progress share the next append, so the number of appends a
/// second is bounded by the log's answer time and not by the number of calls.
///
/// \code
/// std::string claim = claims.begin({ .workspace = "w", .key = key, .contentHash = hash, .deadline = deadline },
///     [this](const ClaimDecision& decision) { ... });
/// \endcode
class ClaimService {
public:
    using DecisionCallback = std::function<void(const ClaimDecision&)>;

    /// \brief A call that carries an idempotency key.
    struct IdempotentRequest {
        std::string_view workspace;
        std::string_view key;
        std::uint64_t contentHash { 0 };
        Millis deadline {}; ///< Monotonic time.
    };

    ClaimService(LogClient&, const Clock&, Random&, Metrics&, std::string daemon, const ClaimServiceOptions& = {});
    ClaimService(const ClaimService&) = delete;
    ClaimService& operator=(const ClaimService&) = delete;

    void start();

    /// \brief Call it every 50 ms or so.
    void tick();

    /// \brief Starts a call. The callback comes at most once, never inside begin(), and not after abandon().
    /// \returns The id of the claim, for finish() and abandon().
    [[nodiscard]] std::string begin(const IdempotentRequest&, DecisionCallback);

    /// \brief Reports the end of a call that was told to run.
    void finish(std::string_view claim, RunStatus, StoredResponse);

    /// \brief Gives up a call that was not told to run.
    void abandon(std::string_view claim);

    /// \returns Whether all withdrawals and answers have been read back from the log.
    [[nodiscard]] bool settled() const noexcept { return m_state.unconfirmedRecords.empty(); }

private:
    struct Stream {
        std::string name;
        bool reading { false };
        Millis readAt {}; ///< Time of the next read, while none is in progress.
        Millis lastProgress {};
        Millis retryDelay {};
        Millis appendStarted {};
        Millis appendAt {}; ///< No append before this time.
        Millis appendDelay {};
        std::uint64_t appendTicket { 0 }; ///< 0: none in progress.
        std::vector<std::string> waiting; ///< Records to append.
    };

    void read(std::size_t stream, Millis wait);
    void onRead(std::size_t stream, const Result<LogBatch>&, bool main);
    void collectAppends();
    void appendWaiting(std::size_t stream);
    void deliver();
    [[nodiscard]] Millis nextDelay(Millis delay) const noexcept;

    LogClient& m_log;
    const Clock& m_clock;
    Random& m_random;
    Metrics& m_metrics;
    ClaimServiceOptions m_options;
    ClaimState m_state;
    std::vector<Stream> m_streams;
    std::map<std::string, DecisionCallback, std::less<>> m_callbacks;
    std::uint64_t m_nextTicket { 1 };
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) }; ///< Callbacks of the log may outlive the service.
};

}
