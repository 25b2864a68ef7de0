#pragma once

#include "config/ConfigurationReplica.h"
#include "core/Messages.h"
#include "net/Interfaces.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

struct ConfigurationServiceOptions {
    Millis readWait { 4'000 }; ///< How long the log may hold back a read that has nothing to answer.
    unsigned maxRecords { 64 }; ///< A batch of changes at the design size then holds the event loop for 0.3 s at most.
    Millis retryMinimum { 100 }; ///< Wait after a failed read; doubles up to retryMaximum.
    Millis retryMaximum { 1'000 };
    Millis publishTimeout { 10'000 }; ///< After it the outcome of a publication is reported as unknown.
    Millis sideReadAfter {
        500
    }; ///< A publication not folded in this time starts a second read, in case the first hangs.
    Millis checkpointInterval { 1'800'000 }; ///< At most half of the log's retention.
    std::uint64_t checkpointChanges { 256 }; ///< Versions after which a checkpoint is written early.
    Millis checkpointRetry { 10'000 }; ///< A checkpoint that was not read back in this time is written again.
};

/// \brief Tails log stream `config`, folds it and publishes changes to it.
///
/// Works against LogClient and Clock only. Call start() once and tick() every 100 ms or so. The state never goes back:
/// it advances by records of the log or by a peer's state that includes more of the log.
class ConfigurationService {
public:
    using ChangeCallback = std::function<void(const Configuration&)>;
    /// Receives the version that the change produced, or ConfigurationConflict (the message names the version that
    /// won), ConfigurationInvalid, ConfigurationOutcomeUnknown, LogUnavailable (not published) or BadRequest.
    using PublishCallback = std::function<void(Result<std::uint64_t>)>;

    ConfigurationService(LogClient&, const Clock&, ConfigurationServiceOptions = {});
    ConfigurationService(const ConfigurationService&) = delete;
    ConfigurationService& operator=(const ConfigurationService&) = delete;

    void start();
    void tick();

    /// \returns The configuration in force; version 0 if none is known yet.
    [[nodiscard]] const Configuration& current() const noexcept;
    [[nodiscard]] ConfigurationDigest digest() const noexcept;
    [[nodiscard]] const std::string& document() const noexcept { return m_fold.document; }
    [[nodiscard]] const ConfigurationReplica& fold() const noexcept { return m_fold; }
    [[nodiscard]] const std::deque<ChangeResult>& history() const noexcept { return m_fold.history; }

    /// \returns Whether the last read of the log succeeded.
    [[nodiscard]] bool logReachable() const noexcept { return m_reachable; }

    /// \brief Adds a callback for each new version in force.
    void onChange(ChangeCallback);

    /// \brief Sets who writes checkpoints: the callback tells whether it is this daemon. Without it none are written.
    void setCheckpointWriter(std::function<bool()>);

    /// \brief Publishes a change and reports what the fold decided about it. An append whose answer was lost is never
    /// repeated; its outcome is found by reading on for \p id.
    void publish(
        std::uint64_t base, std::string_view patch, std::string_view id, std::string_view author, PublishCallback);

    /// \returns What a peer that has folded through \p have needs: the changes after it if they are known and smaller
    /// than the document, else the document.
    [[nodiscard]] ConfigurationState stateFor(const ConfigurationDigest& have) const;

    /// \brief Takes over a peer's state if it includes more of the log.
    /// \returns Whether it was adopted.
    bool adopt(const ConfigurationState&);

private:
    struct Publication {
        std::string id;
        std::uint64_t base { 0 };
        std::int64_t startedThrough { -1 }; ///< Fold position when the append started.
        std::int64_t offset { -1 }; ///< Of the record; -1 while unknown.
        Millis startedAt {};
        Millis deadline {};
        PublishCallback callback;
    };
    struct CheckpointState {
        std::int64_t offset { -1 }; ///< Of the newest checkpoint record seen; -1: none.
        std::int64_t through { -1 };
        std::uint64_t version { 0 };
        std::int64_t time { 0 };
    };

    void read();
    void sideRead();
    void onBatch(const LogBatch&);
    void noteCheckpoints(const LogBatch&);
    void afterAdvance(std::uint64_t versionBefore);
    void onAppended(std::uint64_t ticket, const Result<std::int64_t>& result);
    void resolvePublications();
    [[nodiscard]] bool resolve(const Publication&, Result<std::uint64_t>& outcome) const;
    [[nodiscard]] bool checkpointDue() const;
    void writeCheckpoint();

    LogClient& m_log;
    const Clock& m_clock;
    ConfigurationServiceOptions m_options;
    ConfigurationReplica m_fold;
    std::vector<ChangeCallback> m_listeners;
    std::function<bool()> m_isCheckpointWriter;
    std::map<std::uint64_t, Publication> m_publications;
    std::uint64_t m_nextTicket { 0 };
    bool m_reading { false };
    bool m_sideReading { false };
    bool m_reachable { false };
    Millis m_readStarted {};
    Millis m_readAt {}; ///< Time of the next read, while none is in progress.
    Millis m_retryDelay {};
    Millis m_lastSideRead {};
    CheckpointState m_checkpoint;
    std::int64_t m_firstRetained { 0 };
    Millis m_checkpointAttempt {};
    bool m_checkpointTried { false };
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) }; ///< Callbacks of the log may outlive the service.
};

}
