#pragma once

#include "base/Clock.h"
#include "observe/Metrics.h"
#include "observe/ProcessUsage.h"
#include "observe/Watermark.h"

#include <cstddef>

namespace jasminestack {

/// \brief What a server holds for its callers, and its limits; a limit of 0 is none.
struct HeldResources {
    std::size_t requestBytes { 0 }; ///< Of requests that are being received or handled, with their heads.
    std::size_t requestLimit { 0 };
    std::size_t unreadResponseBytes { 0 }; ///< Of responses that callers have not read.
    std::size_t unreadResponseLimit { 0 };
    std::size_t connections { 0 };
    std::size_t connectionLimit { 0 };
};

/// \brief Limits of a process; 0: the system's.
struct ProcessLimits {
    std::size_t memoryBytes { 0 };
    std::size_t descriptors { 0 };
};

/// \brief Keeps the metrics of the process's memory, descriptors and processor time, and logs `memory_high` and
/// `descriptors_high`, so that a process that was killed for its memory can be told from others.
class ProcessMonitor {
public:
    ProcessMonitor(Metrics&, const ProcessLimits&);

    /// \brief Call it once a second. It makes two system calls, and five more when it counts descriptors: every five
    /// seconds, or in each call while half of them may be in use.
    void update(Millis now, const HeldResources&);

private:
    void updateMemory(Millis now, const HeldResources&);
    void updateDescriptors(Millis now, const HeldResources&);
    void updateProcessorTime();

    Metrics& m_metrics;
    ProcessLimits m_limits;
    MemoryReader m_memoryReader;
    Watermark m_memoryMark;
    Watermark m_descriptorMark;
    std::size_t m_descriptorCount { 0 };
    Millis m_descriptorsCountedAt { -1'000'000 };
    double m_processorSeconds { 0 };
};

}
