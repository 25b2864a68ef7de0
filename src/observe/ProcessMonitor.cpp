#include "observe/ProcessMonitor.h"

#include "observe/Logging.h"

#include <algorithm>

namespace jasminestack {

namespace {

    constexpr Millis descriptorInterval { 5'000 };

    // From this part of the limit on, descriptors are counted in each call.
    constexpr std::size_t frequentCountDivisor = 2;

    void setLimit(Metrics& metrics, Gauge gauge, std::size_t limit)
    {
        if (limit != 0)
            metrics.set(gauge, {}, static_cast<double>(limit));
    }

    void setHeldResources(Metrics& metrics, const HeldResources& held)
    {
        metrics.set(Gauge::RequestBytes, {}, static_cast<double>(held.requestBytes));
        metrics.set(Gauge::UnreadResponseBytes, {}, static_cast<double>(held.unreadResponseBytes));
        metrics.set(Gauge::OpenCallerConnections, {}, static_cast<double>(held.connections));
        setLimit(metrics, Gauge::RequestLimit, held.requestLimit);
        setLimit(metrics, Gauge::UnreadResponseLimit, held.unreadResponseLimit);
        setLimit(metrics, Gauge::CallerConnectionLimit, held.connectionLimit);
    }

}

ProcessMonitor::ProcessMonitor(Metrics& metrics, const ProcessLimits& limits)
    : m_metrics(metrics)
    , m_limits(limits)
{
    std::size_t systemDescriptors = systemDescriptorLimit();
    if (m_limits.memoryBytes == 0)
        m_limits.memoryBytes = systemMemoryBytes();
    if (m_limits.descriptors == 0 || (systemDescriptors != 0 && systemDescriptors < m_limits.descriptors))
        m_limits.descriptors = systemDescriptors;
    setLimit(metrics, Gauge::MemoryLimit, m_limits.memoryBytes);
    setLimit(metrics, Gauge::DescriptorLimit, m_limits.descriptors);
    setLimit(metrics, Gauge::ProcessMaxDescriptors, systemDescriptors);
    Millis startTime = SystemClock().wallTime() - processAge().value_or(Millis {});
    metrics.set(Gauge::ProcessStartTime, {}, startTime.seconds());
}

void ProcessMonitor::update(Millis now, const HeldResources& held)
{
    setHeldResources(m_metrics, held);
    updateMemory(now, held);
    updateDescriptors(now, held);
    updateProcessorTime();
}

void ProcessMonitor::updateMemory(Millis now, const HeldResources& held)
{
    auto memory = m_memoryReader.read();
    if (!memory)
        return;
    m_metrics.set(Gauge::ProcessResidentMemory, {}, static_cast<double>(memory->residentBytes));
    m_metrics.set(Gauge::ProcessVirtualMemory, {}, static_cast<double>(memory->virtualBytes));
    auto residentBytes = static_cast<double>(memory->residentBytes);
    if (!updateWatermark(m_memoryMark, residentBytes, static_cast<double>(m_limits.memoryBytes), now))
        return;
    logEvent(LogLevel::Warning, "memory_high",
        { { "resident_bytes", memory->residentBytes }, { "limit_bytes", m_limits.memoryBytes },
            { "request_bytes", held.requestBytes }, { "unread_response_bytes", held.unreadResponseBytes },
            { "connections", held.connections }, { "descriptors", m_descriptorCount } });
    flushLog(); // The process may be killed before the next flush.
}

void ProcessMonitor::updateDescriptors(Millis now, const HeldResources& held)
{
    bool mayBeHigh = std::max(m_descriptorCount, held.connections) >= m_limits.descriptors / frequentCountDivisor;
    if (now - m_descriptorsCountedAt < descriptorInterval && !mayBeHigh)
        return;
    m_descriptorsCountedAt = now;
    auto count = countDescriptors();
    if (!count)
        return;
    m_descriptorCount = *count;
    m_metrics.set(Gauge::ProcessOpenDescriptors, {}, static_cast<double>(*count));
    if (!updateWatermark(m_descriptorMark, static_cast<double>(*count), static_cast<double>(m_limits.descriptors), now))
        return;
    logEvent(LogLevel::Warning, "descriptors_high",
        { { "descriptors", *count }, { "limit", m_limits.descriptors }, { "connections", held.connections } });
}

void ProcessMonitor::updateProcessorTime()
{
    double seconds = processorSeconds();
    if (seconds > m_processorSeconds)
        m_metrics.add(Counter::ProcessCpuSeconds, {}, seconds - m_processorSeconds);
    m_processorSeconds = std::max(m_processorSeconds, seconds);
}

}
