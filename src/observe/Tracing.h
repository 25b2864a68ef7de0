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
/// \returns Nothing if it does not follow the specification; a new trace is then started.
[[nodiscard]] std::optional<SpanContext> parseTraceparent(std::string_view header);

/// \returns The `traceparent` header for \p context.
[[nodiscard]] std::string formatTraceparent(const SpanContext& context);

/// \brief One hop of a request. Times are wall-clock time.
struct Span {
    std::string name;
    SpanContext context;
    std::string parentSpanId; ///< Empty for a root span.
    Millis start {};
    Millis end {};
    bool failed { false };
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// \brief Starts and ends spans and hands finished ones to a sink as OTLP/JSON.
///
/// \code
/// Span queue = tracer.start("queue", &accept.context);
/// ...
/// tracer.end(std::move(queue));
/// \endcode
class Tracer {
public:
    /// \brief Takes one OTLP/JSON `ExportTraceServiceRequest` document.
    using Sink = std::function<void(std::string_view document)>;

    /// \brief How spans are collected.
    struct Options {
        std::string serviceName { "jasminestack" };
        std::string instanceId;
        std::size_t batchSpans { 64 }; ///< Finished spans that are handed over together.
        std::size_t maxPendingSpans { 4'096 }; ///< Spans above this number are dropped until the next flush.
    };

    /// \param sink An empty one turns tracing off; contexts are still propagated.
    Tracer(Options, const Clock&, Random&, Sink sink);

    [[nodiscard]] Span start(std::string_view name, const SpanContext* parent);
    void end(Span span);

    /// \brief Hands over what is pending; call it once a second and at shutdown.
    void flush();

private:
    Options m_options;
    const Clock& m_clock;
    Random& m_random;
    Sink m_sink;
    std::vector<Span> m_finished;
};

/// \returns Finished spans as one OTLP/JSON document.
[[nodiscard]] std::string toOtlpJson(const Tracer::Options&, const std::vector<Span>& spans);

}
