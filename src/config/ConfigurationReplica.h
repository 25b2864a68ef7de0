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
/// \brief The configuration as the fold of log stream `config`. Pure functions; every reader that folds the same
/// records reaches the same state, wherever it was allowed to start.

namespace jasminestack {

/// \brief Name of the log stream that holds the configuration.
inline constexpr std::string_view configurationStream = "config";

enum class ChangeOutcome : std::uint8_t {
    Accepted,
    Conflict, ///< Another change with the same base came first.
    Invalid, ///< The patched document does not validate.
};

/// \returns "accepted", "conflict" or "invalid".
[[nodiscard]] std::string_view toString(ChangeOutcome) noexcept;

/// \brief What the fold decided about one change record.
struct ChangeResult {
    std::string id;
    std::string author;
    std::int64_t offset { 0 };
    std::int64_t timestampMs { 0 }; ///< Milliseconds since the Unix epoch, set by the log.
    std::uint64_t baseVersion { 0 };
    ChangeOutcome outcome { ChangeOutcome::Invalid };
    std::uint64_t version { 0 }; ///< The version after this record; for a conflict the one that won.
    std::string reason; ///< For Invalid; cut after 512 bytes.
    std::string patch; ///< JSON text; empty if it is longer than 4 KiB.
};

/// \brief State of a reader of the stream.
struct ConfigurationReplica {
    std::uint64_t version { 0 };
    std::int64_t throughOffset { -1 }; ///< Last offset that is folded in.
    std::string document { "{}" }; ///< JSON text with sorted names.
    /// Null until a first change was accepted. Its throughOffset is that of the last accepted change.
    std::shared_ptr<const Configuration> configuration;
    /// Scans for a checkpoint: at a cold start, or because records after throughOffset are no longer retained.
    bool isSeekingCheckpoint { false };
    std::int64_t seekOffset { 0 }; ///< While seeking, the next offset to look for a checkpoint at.
    bool scanned { false }; ///< A scan has reached the end of the stream.
    std::deque<ChangeResult> history; ///< Results of the last change records, oldest first, at most historyLimit.
    std::int64_t historyStartOffset {
        0
    }; ///< Every change record from here through throughOffset has been in the history.
};

/// Bounds the memory for the history; with 2,000 changes a day it holds two days.
inline constexpr std::size_t historyLimit = 4'096;

/// Documents above this size are invalid: daemons exchange them in one message. The design size needs about 150 KB.
inline constexpr std::size_t maximumDocumentBytes = std::size_t { 1 } << 20U;

/// \returns The offset to read from next.
[[nodiscard]] std::int64_t nextOffset(const ConfigurationReplica&) noexcept;

/// \brief Folds the records of \p batch that follow the state; read them from nextOffset().
///
/// A cold reader of a long stream, and a reader whose next records are no longer retained, first scan the stream to its
/// end and adopt the newest checkpoint that may be adopted; nextOffset() then goes back to the record after that
/// checkpoint's state. Meanwhile the state stays in force.
/// \returns The results of the change records folded, in log order.
std::vector<ChangeResult> applyRecords(ConfigurationReplica&, const LogBatch& batch);

/// \brief Replaces the state with a peer's if that one includes more of the log.
/// \returns Whether it was adopted; ConfigurationInvalid if \p document does not validate.
[[nodiscard]] Result<bool> adoptPeerState(
    ConfigurationReplica&, std::uint64_t version, std::int64_t throughOffset, std::string_view document);

/// \returns The result of the change record with \p id, or nullptr if the history has none. Of several records with one
/// id an accepted one is preferred.
[[nodiscard]] const ChangeResult* findChangeResult(const ConfigurationReplica&, std::string_view id) noexcept;

/// \returns The payload of a checkpoint record of the state.
[[nodiscard]] std::string makeCheckpointRecord(const ConfigurationReplica&);

/// \returns The payload of a change record; BadRequest if \p patch is not a JSON object.
[[nodiscard]] Result<std::string> makeChangeRecord(
    std::string_view id, std::string_view author, std::uint64_t base, std::string_view patch);

/// \brief Tells whether a change would be accepted if its record came next.
///
/// A conflict is final, since versions only grow; a change that is based on a newer version than the state's cannot be
/// judged and passes.
/// \returns ConfigurationConflict or ConfigurationInvalid if the record need not be appended.
[[nodiscard]] Result<void> validateChange(const ConfigurationReplica&, std::uint64_t base, std::string_view patch);

}
