#pragma once

#include "base/Result.h"
#include "config/Configuration.h"
#include "net/Interfaces.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Builds the configuration by applying the records of log stream `config`. The functions perform no I/O and
/// depend only on their arguments, so that all readers of the same records reach the same state, whether they started
/// at the first record, a checkpoint or a peer's state.

namespace jasminestack {

/// \brief Name of the log stream that holds the configuration.
inline constexpr std::string_view configurationStream = "config";

enum class ChangeOutcome : std::uint8_t {
    Accepted,
    Conflict, ///< Another change with the same base version was accepted first.
    Invalid, ///< The patched document is not a valid configuration.
};

/// \returns "accepted", "conflict" or "invalid".
[[nodiscard]] std::string_view toString(ChangeOutcome) noexcept;

/// \brief Result of applying one change record.
struct ChangeResult {
    std::string id;
    std::string author;
    std::int64_t offset { 0 };
    std::int64_t timestampMs { 0 }; ///< Milliseconds since the Unix epoch, set by the log.
    std::uint64_t baseVersion { 0 };
    ChangeOutcome outcome { ChangeOutcome::Invalid };
    std::uint64_t version { 0 }; ///< The version after this record; for a conflict the version in force.
    std::string reason; ///< Error message for Invalid; truncated after 512 bytes.
    std::string patch; ///< JSON text; empty if it is longer than 4 KiB.
};

/// \brief State of one reader of the stream.
struct ConfigurationReplica {
    std::uint64_t version { 0 };
    std::int64_t throughOffset { -1 }; ///< Offset of the last applied record.
    std::string document { "{}" }; ///< JSON text with sorted names.
    /// Null until the first change is accepted. Its throughOffset is that of the last accepted change.
    std::shared_ptr<const Configuration> configuration;
    /// True while scanning for a checkpoint: at a start without state, or because records after throughOffset are no
    /// longer retained.
    bool isSeekingCheckpoint { false };
    std::int64_t nextScanOffset { 0 }; ///< While scanning, the offset of the next record to check for a checkpoint.
    bool hasScannedStream { false }; ///< True after a scan has reached the end of the stream.
    std::deque<ChangeResult> history; ///< Results of the last change records, oldest first, at most historyLimit.
    /// The history contains the result of every change record from this offset through throughOffset.
    std::int64_t historyStartOffset { 0 };
};

/// Maximum number of results in the history, to limit its memory; at 2,000 changes per day they cover two days.
inline constexpr std::size_t historyLimit = 4'096;

/// Larger documents are invalid, since daemons send them to each other in one message. A fleet of the
/// size that the system is designed for needs about 150 KB.
inline constexpr std::size_t maximumDocumentBytes = std::size_t { 1 } << 20U;

/// \returns The offset from which to read the next batch.
[[nodiscard]] std::int64_t nextOffset(const ConfigurationReplica&) noexcept;

/// \brief Applies the records of \p batch after throughOffset; the batch starts at nextOffset().
///
/// A reader without state on a long stream, and a reader whose next records are no longer retained, first scan the
/// stream to its end and adopt the newest valid checkpoint; nextOffset() then returns to the record after that
/// checkpoint's state. During the scan the previous configuration stays in force.
/// \returns The results of the applied change records, in log order.
std::vector<ChangeResult> applyRecords(ConfigurationReplica&, const LogBatch& batch);

/// \brief Replaces the state with that of a peer if the peer has applied more records.
/// \returns Whether the peer's state was adopted; ConfigurationInvalid if \p document is not a valid configuration.
[[nodiscard]] Result<bool> adoptPeerState(
    ConfigurationReplica&, std::uint64_t version, std::int64_t throughOffset, std::string_view document);

/// \returns The result of the change record with \p id, or nullptr if the history does not contain it. Among several
/// records with the same id, an accepted one is preferred.
[[nodiscard]] const ChangeResult* findChangeResult(const ConfigurationReplica&, std::string_view id) noexcept;

/// \returns The payload of a checkpoint record of the state.
[[nodiscard]] std::string makeCheckpointRecord(const ConfigurationReplica&);

/// \returns The payload of a change record; BadRequest if \p patch is not a JSON object.
[[nodiscard]] Result<std::string> makeChangeRecord(
    std::string_view id, std::string_view author, std::uint64_t baseVersion, std::string_view patch);

/// \brief Checks whether a change would be accepted if its record were the next in the log.
///
/// A conflict is final, since versions only increase. A change based on a newer version than the state's cannot be
/// validated here and passes.
/// \returns ConfigurationConflict or ConfigurationInvalid if the change cannot be accepted, so that appending its
/// record is pointless.
[[nodiscard]] Result<void> validateChange(
    const ConfigurationReplica&, std::uint64_t baseVersion, std::string_view patch);

}
