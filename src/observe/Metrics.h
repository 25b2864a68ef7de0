#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief Counters of the daemon; the tables in Metrics.cpp contain the names, help texts and labels of all metrics.
enum class Counter : std::uint8_t {
    Requests, ///< Labels: workspace, outcome ("ok" or an error kind).
    TokensRelayed, ///< Label: workspace.
    Retries, ///< Label: pool.
    Resumes, ///< Streams resumed on another connection. Label: pool.
    EndpointErrors, ///< Labels: endpoint, kind.
    ControlBytes, ///< Labels: direction ("sent", "received"), type.
    ControlMessages, ///< Labels: direction, type.
    ControlSeconds, ///< CPU time spent on messages between daemons, in seconds. Label: part (component).
    PeerRejected, ///< Label: reason.
    LogRequests, ///< Labels: stream, outcome.
    Claims, ///< Label: outcome.
    Quarantined, ///< Requests refused because requests like them crash endpoints. No labels.
    Expired, ///< Queued requests whose deadline passed. Label: workspace.
    MalformedAnswers, ///< Answers of endpoints that violate HTTP or the grammar of events. Labels: pool, part.
    LateAnswers, ///< Answers of endpoints to earlier requests. Labels: pool, framing ("length", "connection").
    CallerConnections, ///< Label: outcome ("accepted", "abandoned", "expired", "dropped").
    PaceDeferrals, ///< Placement decisions that left out an endpoint because of its pace. No labels.
    ProcessCpuSeconds, ///< Processor time of the process, in seconds. No labels.
    CallbackFailures, ///< Callbacks of the event loop that ended with an exception. No labels.
};

/// \brief Metrics whose values can increase and decrease.
enum class Gauge : std::uint8_t {
    ConfigurationVersion,
    ConfigurationOffset,
    Ready,
    Queued, ///< Labels: workspace, pool.
    Running, ///< Labels: workspace, pool.
    NormalisedService, ///< Labels: workspace, pool.
    AllocatedSlots, ///< Label: cell.
    MembersAlive,
    OpenStreams,
    ConfigurationAge, ///< Time since the configuration in force was last confirmed as the newest, in seconds.
    PacedEndpoints, ///< Endpoints that get fewer requests after a start or recovery. Label: phase ("cold", "ramp").
    AcceptQueue, ///< Callers' connections that wait in the system's queue to be accepted.
    EvacuatedZones, ///< Availability zones to whose endpoints nothing more is sent.
    ProcessResidentMemory, ///< In bytes, like the next one.
    ProcessVirtualMemory,
    ProcessOpenDescriptors,
    ProcessMaxDescriptors, ///< The system's limit.
    ProcessStartTime, ///< In seconds since the Unix epoch.
    MemoryLimit, ///< In bytes; of the settings, or the host's memory.
    DescriptorLimit, ///< The lower one of the settings' and the system's limits.
    RequestBytes, ///< Of callers' requests that are being received or handled, with their heads.
    RequestLimit, ///< In bytes.
    UnreadResponseBytes, ///< Of responses that callers have not read.
    UnreadResponseLimit, ///< In bytes.
    OpenCallerConnections,
    CallerConnectionLimit,
};

/// \brief Histograms of durations in seconds.
enum class Histogram : std::uint8_t {
    QueueSeconds, ///< Label: pool.
    FirstByteSeconds, ///< From acceptance of a request to the first byte sent to its caller. Label: pool.
    TotalSeconds, ///< Label: pool.
};

/// \brief The metrics registry of one daemon.
///
/// \code
/// metrics.add(Counter::Retries, { "assistants" });
/// metrics.observe(Histogram::QueueSeconds, { "assistants" }, waited.seconds());
/// \endcode
class Metrics {
public:
    using Labels = std::initializer_list<std::string_view>;

    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// \param labels Label values, in the order of the enumerator's comment.
    void add(Counter, Labels labels = {}, double amount = 1.0);
    void set(Gauge, Labels labels, double value);
    void observe(Histogram, Labels labels, double seconds);

    /// \returns All metrics in Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
