#include "net/HttpLogClient.h"

#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    /// Time limit of an exchange beyond the time that the service was asked to wait.
    constexpr Millis exchangeTimeout { 5'000 };

    Error unavailable(std::string message)
    {
        return { .kind = ErrorKind::LogUnavailable, .message = "log service: " + std::move(message) };
    }

    bool hasInteger(const Json& object, const char* name)
    {
        auto it = object.find(name);
        return it != object.end() && it->is_number_integer();
    }

    std::string streamTarget(std::string_view stream) { return "/streams/" + std::string(stream) + "/records"; }

    Result<std::int64_t> appendOutcome(const Result<HttpResponse>& response)
    {
        if (!response) {
            const Error& error = response.error();
            if (error.kind == ErrorKind::EndpointLost || error.kind == ErrorKind::EndpointTimeout)
                return Error { .kind = error.kind,
                    .message = "log service: append without an answer: " + error.message };
            return unavailable(error.message);
        }
        if (response.value().status != 200)
            return unavailable("append answered with status " + std::to_string(response.value().status));
        Json body = Json::parse(response.value().body, nullptr, false);
        if (!body.is_object() || !hasInteger(body, "offset"))
            return Error { .kind = ErrorKind::EndpointLost,
                .message = "log service: append answered without an offset" };
        return body["offset"].get<std::int64_t>();
    }

    Result<LogBatch> readOutcome(const Result<HttpResponse>& response)
    {
        if (!response)
            return unavailable(response.error().message);
        int status = response.value().status;
        if (status != 200 && status != 410)
            return unavailable("read answered with status " + std::to_string(status));
        return parseLogBatch(response.value().body);
    }

}

HttpLogClient::HttpLogClient(HttpClient& http, std::string address)
    : m_http(http)
    , m_address(std::move(address))
{
}

void HttpLogClient::append(std::string_view stream, std::string_view payload, AppendCallback callback)
{
    m_http.send({ .address = m_address,
                    .method = "POST",
                    .target = streamTarget(stream),
                    .headers = { { "Content-Type", "application/json" } },
                    .body = std::string(payload),
                    .timeout = exchangeTimeout },
        [callback = std::move(callback)](const Result<HttpResponse>& response) { callback(appendOutcome(response)); });
}

void HttpLogClient::read(
    std::string_view stream, std::int64_t from, unsigned maxRecords, Millis wait, ReadCallback callback)
{
    std::string target = streamTarget(stream) + "?from=" + std::to_string(from) + "&max=" + std::to_string(maxRecords)
        + "&waitMs=" + std::to_string(wait.count);
    m_http.send({ .address = m_address, .target = std::move(target), .timeout = wait + exchangeTimeout },
        [callback = std::move(callback)](const Result<HttpResponse>& response) { callback(readOutcome(response)); });
}

Result<LogBatch> parseLogBatch(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !hasInteger(json, "first") || !hasInteger(json, "next"))
        return unavailable("malformed answer to a read");
    LogBatch batch { .firstRetainedOffset = json["first"].get<std::int64_t>(),
        .endOffset = json["next"].get<std::int64_t>() };
    auto records = json.find("records");
    if (records == json.end())
        return batch;
    if (!records->is_array())
        return unavailable("malformed answer to a read");
    batch.records.reserve(records->size());
    for (const Json& record : *records) {
        if (!record.is_object() || !hasInteger(record, "offset") || !hasInteger(record, "time")
            || !record.contains("payload") || !record["payload"].is_string())
            return unavailable("malformed record in the answer to a read");
        batch.records.push_back({ .offset = record["offset"].get<std::int64_t>(),
            .timestampMs = record["time"].get<std::int64_t>(),
            .payload = record["payload"].get<std::string>() });
    }
    return batch;
}

}
