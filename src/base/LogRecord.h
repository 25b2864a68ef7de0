#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jasminestack {

/// \brief A record of the platform's append-only log.
struct LogRecord {
    std::int64_t offset { 0 };
    std::int64_t timestampMs { 0 }; ///< Milliseconds since the Unix epoch, set by the log.
    std::string payload;
};

/// \brief Consecutive records of a log stream, and the range of offsets that the stream retains.
struct LogBatch {
    std::int64_t firstRetainedOffset { 0 }; ///< Offset of the oldest record that the stream still stores.
    std::int64_t endOffset { 0 }; ///< Offset of the next record to be appended.
    std::vector<LogRecord> records; ///< Empty when the requested offset is no longer retained.
};

}
