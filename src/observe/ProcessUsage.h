#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminestack {

/// \returns Memory of the host in bytes; 0 if the system does not tell.
[[nodiscard]] std::size_t systemMemoryBytes();

/// \brief Reads the start time of a process, in clock ticks since the host's start, from the text of its
/// `/proc/PID/stat`.
/// \returns Empty if the text has another form.
[[nodiscard]] std::optional<std::uint64_t> parseStartTicks(std::string_view stat);

/// \brief Memory of a process, in bytes.
struct MemoryUsage {
    std::size_t virtualBytes { 0 };
    std::size_t residentBytes { 0 };
};

/// \brief Reads the text of `/proc/PID/statm`.
/// \returns Empty if the text has another form.
[[nodiscard]] std::optional<MemoryUsage> parseMemoryUsage(std::string_view statm, std::size_t pageBytes);

/// \brief Reads this process's memory again and again, with one system call each.
class MemoryReader {
public:
    MemoryReader();
    ~MemoryReader();
    MemoryReader(const MemoryReader&) = delete;
    MemoryReader& operator=(const MemoryReader&) = delete;

    /// \returns Empty if the system does not tell.
    [[nodiscard]] std::optional<MemoryUsage> read() const;

private:
    int m_file { -1 };
};

/// \returns Number of descriptors that this process has open; empty if the system does not tell.
[[nodiscard]] std::optional<std::size_t> countDescriptors();

/// \returns Number of descriptors that this process may have open (RLIMIT_NOFILE); 0 if there is no limit.
[[nodiscard]] std::size_t systemDescriptorLimit();

/// \returns Processor time that this process has used, in seconds; 0 if the system does not tell.
[[nodiscard]] double processorSeconds();

/// \returns Time since this process was created, to 10 ms; empty if the system does not tell.
[[nodiscard]] std::optional<Millis> processAge();

}
