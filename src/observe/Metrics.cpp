#include "observe/Metrics.h"

#include <array>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace jasminestack {

namespace {

    struct MetricRow {
        std::string_view name;
        std::string_view help;
        std::array<std::string_view, 2> labels;
    };

    constexpr std::array counterTable {
        MetricRow { "jasminestack_requests_total", "Requests by workspace and outcome.", { "workspace", "outcome" } },
        MetricRow { "jasminestack_tokens_relayed_total", "Tokens relayed to callers.", { "workspace" } },
        MetricRow { "jasminestack_retries_total", "Retry attempts of requests.", { "pool" } },
        MetricRow { "jasminestack_resumes_total", "Streams resumed on another connection.", { "pool" } },
        MetricRow { "jasminestack_endpoint_errors_total", "Failed attempts at endpoints.", { "endpoint", "kind" } },
        MetricRow { "jasminestack_control_bytes_total", "Bytes of messages between daemons.", { "direction", "type" } },
        MetricRow { "jasminestack_control_messages_total", "Messages between daemons.", { "direction", "type" } },
        MetricRow {
            "jasminestack_control_seconds_total", "Processor time spent on control traffic, in seconds.", { "part" } },
        MetricRow { "jasminestack_peer_rejected_total", "Messages from peers that were rejected.", { "reason" } },
        MetricRow { "jasminestack_log_requests_total", "Requests to the log service.", { "stream", "outcome" } },
        MetricRow { "jasminestack_claims_total", "Idempotency key claims by outcome.", { "outcome" } },
        MetricRow {
            "jasminestack_quarantined_total", "Requests refused because requests like them crash endpoints.", {} },
        MetricRow { "jasminestack_expired_total", "Queued requests whose deadline passed.", { "workspace" } },
        MetricRow { "jasminestack_malformed_answers_total",
            "Answers of endpoints that violate HTTP or the grammar of events.", { "pool", "part" } },
        MetricRow { "jasminestack_late_answers_total",
            "Answers to earlier requests that endpoints sent where the answer to another request was due.",
            { "pool", "framing" } },
        MetricRow { "jasminestack_caller_connections_total", "Connections of callers by outcome.", { "outcome" } },
        MetricRow { "jasminestack_pace_deferrals_total",
            "Placement decisions that left out an endpoint because of its pace after a start or recovery.", {} },
        MetricRow { "process_cpu_seconds_total", "Processor time of the process in seconds.", {} },
        MetricRow {
            "jasminestack_callback_failures_total", "Callbacks of the event loop that ended with an exception.", {} },
    };

    constexpr std::array gaugeTable {
        MetricRow { "jasminestack_configuration_version", "Version of the configuration in force.", {} },
        MetricRow {
            "jasminestack_configuration_offset", "Offset of the last applied record of the configuration stream.", {} },
        MetricRow { "jasminestack_ready", "1 if the daemon accepts requests, otherwise 0.", {} },
        MetricRow { "jasminestack_queued", "Queued requests.", { "workspace", "pool" } },
        MetricRow { "jasminestack_running", "Running requests.", { "workspace", "pool" } },
        MetricRow { "jasminestack_normalised_service", "Fleet-wide service divided by share, as last received.",
            { "workspace", "pool" } },
        MetricRow { "jasminestack_allocated_slots", "Slots allocated to this daemon.", { "cell" } },
        MetricRow { "jasminestack_members_alive", "Live daemons in this daemon's view, including itself.", {} },
        MetricRow { "jasminestack_open_streams", "Responses being relayed to callers.", {} },
        MetricRow { "jasminestack_configuration_age_seconds",
            "Time since the configuration in force was last confirmed as the newest.", {} },
        MetricRow { "jasminestack_paced_endpoints", "Endpoints that get fewer requests after a start or recovery.",
            { "phase" } },
        MetricRow { "jasminestack_accept_queue", "Connections of callers that wait to be accepted.", {} },
        MetricRow { "jasminestack_evacuated_zones", "Availability zones to whose endpoints nothing more is sent.", {} },
        MetricRow { "process_resident_memory_bytes", "Resident memory of the process.", {} },
        MetricRow { "process_virtual_memory_bytes", "Virtual memory of the process.", {} },
        MetricRow { "process_open_fds", "Open file descriptors.", {} },
        MetricRow { "process_max_fds", "Maximum number of open file descriptors that the system allows.", {} },
        MetricRow { "process_start_time_seconds", "Start time of the process since the Unix epoch.", {} },
        MetricRow { "jasminestack_memory_limit_bytes", "Memory that the process may use.", {} },
        MetricRow { "jasminestack_descriptor_limit", "File descriptors that the process may have open.", {} },
        MetricRow {
            "jasminestack_request_bytes", "Bytes of callers' requests that are being received or handled.", {} },
        MetricRow { "jasminestack_request_limit_bytes", "Bytes of requests above which requests are refused.", {} },
        MetricRow { "jasminestack_unread_response_bytes", "Bytes of responses that callers have not read.", {} },
        MetricRow { "jasminestack_unread_response_limit_bytes",
            "Bytes of unread responses above which connections are closed.", {} },
        MetricRow { "jasminestack_open_caller_connections", "Open connections of callers.", {} },
        MetricRow { "jasminestack_caller_connection_limit", "Maximum number of callers' connections.", {} },
    };

    constexpr std::array histogramTable {
        MetricRow { "jasminestack_queue_seconds", "Time from acceptance of a request to its assignment.", { "pool" } },
        MetricRow { "jasminestack_first_byte_seconds",
            "Time from acceptance of a request to the first byte sent to its caller.", { "pool" } },
        MetricRow {
            "jasminestack_total_seconds", "Time from acceptance of a request to the end of the response.", { "pool" } },
    };

    static_assert(counterTable.size() == static_cast<std::size_t>(Counter::CallbackFailures) + 1);
    static_assert(gaugeTable.size() == static_cast<std::size_t>(Gauge::CallerConnectionLimit) + 1);
    static_assert(histogramTable.size() == static_cast<std::size_t>(Histogram::TotalSeconds) + 1);

    // In seconds. The boundaries include the latency objectives: 2 ms added by the router, 53 ms between tokens, 1.2 s
    // to the first token.
    const prometheus::Histogram::BucketBoundaries bucketBoundaries { 0.001, 0.002, 0.005, 0.01, 0.02, 0.053, 0.1, 0.2,
        0.5, 1.2, 2.5, 5, 10, 30, 60, 120 };

    template <typename Metric> using Families = std::vector<prometheus::Family<Metric>*>;

    prometheus::Labels labelsFor(const MetricRow& row, Metrics::Labels values)
    {
        prometheus::Labels labels;
        std::size_t index = 0;
        for (std::string_view value : values) {
            if (index < row.labels.size() && !row.labels[index].empty())
                labels.emplace(row.labels[index], value);
            ++index;
        }
        return labels;
    }

    template <typename Metric, typename Builder, typename Table>
    Families<Metric> registerFamilies(prometheus::Registry& registry, Builder makeBuilder, const Table& table)
    {
        Families<Metric> families;
        for (const MetricRow& row : table)
            families.push_back(
                &makeBuilder().Name(std::string(row.name)).Help(std::string(row.help)).Register(registry));
        return families;
    }

}

struct Metrics::State {
    prometheus::Registry registry;
    Families<prometheus::Counter> counters
        = registerFamilies<prometheus::Counter>(registry, prometheus::BuildCounter, counterTable);
    Families<prometheus::Gauge> gauges
        = registerFamilies<prometheus::Gauge>(registry, prometheus::BuildGauge, gaugeTable);
    Families<prometheus::Histogram> histograms
        = registerFamilies<prometheus::Histogram>(registry, prometheus::BuildHistogram, histogramTable);
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(Counter counter, Labels labels, double amount)
{
    auto index = static_cast<std::size_t>(counter);
    m_state->counters[index]->Add(labelsFor(counterTable[index], labels)).Increment(amount);
}

void Metrics::set(Gauge gauge, Labels labels, double value)
{
    auto index = static_cast<std::size_t>(gauge);
    m_state->gauges[index]->Add(labelsFor(gaugeTable[index], labels)).Set(value);
}

void Metrics::observe(Histogram histogram, Labels labels, double seconds)
{
    auto index = static_cast<std::size_t>(histogram);
    m_state->histograms[index]->Add(labelsFor(histogramTable[index], labels), bucketBoundaries).Observe(seconds);
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(m_state->registry.Collect()); }

}
