#include "observe/Tracing.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t traceIdDigits = 32;
    constexpr std::size_t spanIdDigits = 16;

    // Values of the enumerations in the OTLP specification.
    constexpr int otlpSpanKindInternal = 1;
    constexpr int otlpStatusUnset = 0;
    constexpr int otlpStatusError = 2;

    bool isLowerHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char character) {
            return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
        });
    }

    bool isAllZero(std::string_view text) { return text.find_first_not_of('0') == std::string_view::npos; }

    std::string formatNanoseconds(Millis time) { return std::to_string(time.count * 1'000'000); }

    Json makeAttribute(std::string_view key, std::string_view value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    Json spanToJson(const Span& span)
    {
        Json attributes = Json::array();
        for (const auto& [key, value] : span.attributes)
            attributes.push_back(makeAttribute(key, value));
        return {
            { "traceId", span.context.traceId },
            { "spanId", span.context.spanId },
            { "parentSpanId", span.parentSpanId },
            { "name", span.name },
            { "kind", otlpSpanKindInternal },
            { "startTimeUnixNano", formatNanoseconds(span.start) },
            { "endTimeUnixNano", formatNanoseconds(span.end) },
            { "attributes", std::move(attributes) },
            { "status", { { "code", span.failed ? otlpStatusError : otlpStatusUnset } } },
        };
    }

}

std::optional<SpanContext> parseTraceparent(std::string_view header)
{
    // version "-" trace-id "-" parent-id "-" flags; later versions may append fields.
    constexpr std::size_t length = 2 + 1 + traceIdDigits + 1 + spanIdDigits + 1 + 2;
    if (header.size() < length || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    std::string_view version = header.substr(0, 2);
    std::string_view traceId = header.substr(3, traceIdDigits);
    std::string_view spanId = header.substr(36, spanIdDigits);
    std::string_view flags = header.substr(53, 2);
    bool isWellFormed = isLowerHex(version) && isLowerHex(traceId) && isLowerHex(spanId) && isLowerHex(flags);
    bool isLengthValid = version == "00" ? header.size() == length : header.size() == length || header[length] == '-';
    if (!isWellFormed || !isLengthValid || version == "ff" || isAllZero(traceId) || isAllZero(spanId))
        return std::nullopt;
    bool sampled = (flags[1] >= 'a' ? flags[1] - 'a' + 10 : flags[1] - '0') & 1;
    return SpanContext { .traceId = std::string(traceId), .spanId = std::string(spanId), .sampled = sampled };
}

std::string formatTraceparent(const SpanContext& context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

Tracer::Tracer(Options options, const Clock& clock, Random& random, Sink sink)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_random(random)
    , m_sink(std::move(sink))
{
}

Span Tracer::start(std::string_view name, const SpanContext* parent)
{
    Span span { .name = std::string(name), .start = m_clock.wallTime() };
    span.context.traceId = parent ? parent->traceId : m_random.hex(traceIdDigits);
    span.context.spanId = m_random.hex(spanIdDigits);
    span.context.sampled = !parent || parent->sampled;
    if (parent)
        span.parentSpanId = parent->spanId;
    return span;
}

void Tracer::end(Span span)
{
    if (!m_sink || !span.context.sampled || m_finishedSpans.size() >= m_options.maxPendingSpans)
        return;
    span.end = m_clock.wallTime();
    m_finishedSpans.push_back(std::move(span));
    if (m_finishedSpans.size() >= m_options.batchSpans)
        flush();
}

void Tracer::flush()
{
    if (!m_sink || m_finishedSpans.empty())
        return;
    m_sink(toOtlpJson(m_options, m_finishedSpans));
    m_finishedSpans.clear();
}

std::string toOtlpJson(const Tracer::Options& options, const std::vector<Span>& spans)
{
    Json spanArray = Json::array();
    for (const Span& span : spans)
        spanArray.push_back(spanToJson(span));
    Json resource { { "attributes",
        Json::array({ makeAttribute("service.name", options.serviceName),
            makeAttribute("service.instance.id", options.instanceId) }) } };
    Json scopeSpans
        = Json::array({ { { "scope", { { "name", "jasminestack" } } }, { "spans", std::move(spanArray) } } });
    Json document { { "resourceSpans",
        Json::array({ { { "resource", std::move(resource) }, { "scopeSpans", std::move(scopeSpans) } } }) } };
    // Attribute values can contain text from callers that is not valid UTF-8; invalid bytes are replaced.
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
