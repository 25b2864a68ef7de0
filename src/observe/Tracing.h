#pragma once

#include "base/Clock.h"
#include "base/Random.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminestack {

/// \brief Identifies a span across processes (W3C Trace Context).
struct SpanContext {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits.
    bool sampled { true };
};

/// \brief Parses a `traceparent` header.
/// \returns The parent context, or nothing if the header violates the specification and a new trace must be started.
[[nodiscard]] std::optional<SpanContext> parseTraceparent(std::string_view header);

/// \returns The `traceparent` header for \p context.
[[nodiscard]] std::string formatTraceparent(const SpanContext& context);

/// \brief One timed operation of a request. Times are wall-clock time.
struct Span {
    std::string name;
    SpanContext context;
    std::string parentSpanId; ///< Empty for a root span.
    Millis start {};
    Millis end {};
    bool failed { false };
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// \brief Starts and ends spans and exports finished spans to a sink as OTLP/JSON.
///
/// \code
/// Span queue = tracer.start("queue", &accept.context);
/// ...
/// tracer.end(std::move(queue));
/// \endcode
class Tracer {
public:
    /// \brief Receives one OTLP/JSON `ExportTraceServiceRequest` document.
    using Sink = std::function<void(std::string_view document)>;

    /// \brief Identity of the exporting service, and batching of spans.
    struct Options {
        std::string serviceName { "jasminestack" };
        std::string instanceId;
        std::size_t batchSpans { 64 }; ///< Number of finished spans that triggers an export.
        std::size_t maxPendingSpans { 4'096 }; ///< Spans that exceed this number are dropped until the next flush.
    };

    /// \param sink If empty, no spans are exported; contexts are still propagated.
    Tracer(Options, const Clock&, Random&, Sink sink);

    /// \param parent Null starts a new trace.
    [[nodiscard]] Span start(std::string_view name, const SpanContext* parent);
    void end(Span span);

    /// \brief Exports pending spans; call it once a second and at shutdown.
    void flush();

private:
    Options m_options;
    const Clock& m_clock;
    Random& m_random;
    Sink m_sink;
    std::vector<Span> m_finishedSpans;
};

/// \returns Finished spans as one OTLP/JSON document.
[[nodiscard]] std::string toOtlpJson(const Tracer::Options&, const std::vector<Span>& spans);

}
