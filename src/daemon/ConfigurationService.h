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
    Millis longPollWait { 4'000 }; ///< How long the log may delay the response to a read while it has no new records.
    /// Maximum number of records that one read returns. Applying that many changes to a document of the size that the
    /// design assumes blocks the event loop for at most 0.3 s.
    unsigned maxRecords { 64 };
    Millis minimumRetryDelay { 100 }; ///< Delay after a failed read; doubles up to maximumRetryDelay.
    Millis maximumRetryDelay { 1'000 };
    Millis publishTimeout { 10'000 }; ///< After this time the outcome of a publication is reported as unknown.
    /// A second read is sent if a publication has no outcome after this time, in case the first read hangs.
    Millis hedgedReadDelay { 500 };
    /// Further reads are sent if a read has no response this long after its wait: it may have been lost.
    Millis overdueTimeout { 600 };
    Millis checkpointInterval { 1'800'000 }; ///< Must not exceed half of the log's retention period.
    /// After this number of versions a checkpoint is written before checkpointInterval has passed.
    std::uint64_t checkpointChangeLimit { 256 };
    /// A checkpoint that was not read back from the log within this time is written again.
    Millis checkpointRetryInterval { 10'000 };
};

/// \brief Tails log stream `config`, applies its records to a configuration replica and publishes changes.
///
/// Depends only on LogClient and Clock. Call start() once and tick() about every 100 ms. The replica never goes back to
/// an earlier offset: it advances by records of the log or by the state of a peer that has applied more of the log.
class ConfigurationService {
public:
    using ChangeListener = std::function<void(const Configuration&)>;
    /// Receives the version that the change produced, or an error: ConfigurationConflict (the message contains the
    /// version that was accepted before it), ConfigurationInvalid, ConfigurationOutcomeUnknown, LogUnavailable (the
    /// change was not published) or BadRequest.
    using PublishCallback = std::function<void(Result<std::uint64_t>)>;

    ConfigurationService(LogClient&, const Clock&, ConfigurationServiceOptions = {});
    ConfigurationService(const ConfigurationService&) = delete;
    ConfigurationService& operator=(const ConfigurationService&) = delete;

    void start();
    void tick();

    /// \returns The configuration in force; an empty one with version 0 if there is none yet.
    [[nodiscard]] const Configuration& current() const noexcept;
    [[nodiscard]] ConfigurationDigest digest() const noexcept;
    [[nodiscard]] const std::string& document() const noexcept { return m_replica.document; }
    [[nodiscard]] const ConfigurationReplica& replica() const noexcept { return m_replica; }
    [[nodiscard]] const std::deque<ChangeResult>& history() const noexcept { return m_replica.history; }

    /// \returns Whether the last read of the log succeeded.
    [[nodiscard]] bool isLogReachable() const noexcept { return m_isLogReachable; }

    /// \brief Adds a listener that is called for each new version in force.
    void addChangeListener(ChangeListener);

    /// \brief Sets the predicate that returns whether this daemon writes the checkpoints. Without it, none are written.
    void setCheckpointWriter(std::function<bool()>);

    /// \brief Publishes a change and reports its outcome once its record has been applied. An append whose response was
    /// lost is never retried; its outcome is determined by reading the log until a record with \p id appears.
    /// \param baseVersion Version that the change is based on.
    /// \param patch JSON object with the changes to the document.
    /// \param id Id of the change; a retry with the same id gets the outcome of the record that was applied before.
    /// \param author Author that the history shows.
    void publish(std::uint64_t baseVersion, std::string_view patch, std::string_view id, std::string_view author,
        PublishCallback);

    /// \param peerDigest Version and offset through which the peer has applied records.
    /// \returns The state that brings the peer up to date: the changes after its offset if the history contains all of
    /// them and they are smaller than the document, otherwise the document.
    [[nodiscard]] ConfigurationState stateSince(const ConfigurationDigest& peerDigest) const;

    /// \brief Replaces the replica's state with that of a peer that has applied more of the log.
    /// \returns Whether the state was replaced.
    bool adopt(const ConfigurationState&);

private:
    struct Publication {
        std::string id;
        std::uint64_t baseVersion { 0 };
        std::int64_t throughOffsetAtStart { -1 }; ///< Last applied offset when the append started.
        std::int64_t offset { -1 }; ///< Offset of the change record; -1 while unknown.
        Millis startedAt {};
        Millis deadline {};
        PublishCallback callback;
    };
    struct CheckpointState {
        std::int64_t offset { -1 }; ///< Offset of the newest checkpoint record that was read; -1: none.
        std::int64_t throughOffset { -1 }; ///< Offset of the last record that the checkpoint includes.
        std::uint64_t version { 0 };
        std::int64_t timestampMs { 0 };
    };

    void read();
    void startHedgedRead();
    void onBatch(const LogBatch&);
    void updateNewestCheckpoint(const LogBatch&);
    void onReplicaAdvanced(std::uint64_t versionBefore);
    void onAppendCompleted(std::uint64_t publicationNumber, const Result<std::int64_t>& result);
    void resolvePublications();
    [[nodiscard]] bool findOutcome(const Publication&, Result<std::uint64_t>& outcome) const;
    [[nodiscard]] bool isCheckpointDue() const;
    /// \returns Whether a second read is to be sent beside the one in flight.
    [[nodiscard]] bool isHedgedReadDue(Millis now) const;
    void writeCheckpoint();

    LogClient& m_log;
    const Clock& m_clock;
    ConfigurationServiceOptions m_options;
    ConfigurationReplica m_replica;
    std::vector<ChangeListener> m_changeListeners;
    std::function<bool()> m_isCheckpointWriter;
    std::map<std::uint64_t, Publication> m_publications;
    std::uint64_t m_nextPublicationNumber { 0 };
    bool m_isReading { false };
    bool m_isHedgedReadInFlight { false };
    bool m_isLogReachable { false };
    Millis m_readStartedAt {};
    Millis m_nextReadAt {}; ///< Time of the next read; used while none is in flight.
    Millis m_readRetryDelay {};
    Millis m_lastHedgedReadAt {};
    CheckpointState m_checkpoint;
    std::int64_t m_firstRetainedOffset { 0 };
    Millis m_lastCheckpointAttemptAt {};
    bool m_hasAttemptedCheckpoint { false };
    /// Log callbacks hold a weak pointer to it, because they may outlive the service.
    std::shared_ptr<int> m_lifetime { std::make_shared<int>(0) };
};

}
