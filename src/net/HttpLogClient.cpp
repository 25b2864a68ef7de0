#include "net/HttpLogClient.h"

#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    /// Timeout of an exchange, in addition to the wait time in the request.
    constexpr Millis responseTimeout { 5'000 };

    Error unavailableError(std::string message)
    {
        return { .kind = ErrorKind::LogUnavailable, .message = "log service: " + std::move(message) };
    }

    bool hasInteger(const Json& object, const char* name)
    {
        auto member = object.find(name);
        return member != object.end() && member->is_number_integer();
    }

    std::string streamTarget(std::string_view stream) { return "/streams/" + std::string(stream) + "/records"; }

    Result<std::int64_t> parseAppendResponse(const Result<HttpResponse>& response)
    {
        if (!response) {
            const Error& error = response.error();
            if (error.kind == ErrorKind::EndpointLost || error.kind == ErrorKind::EndpointTimeout)
                return Error { .kind = error.kind,
                    .message = "log service: no response to the append: " + error.message };
            return unavailableError(error.message);
        }
        if (response.value().status != 200)
            return unavailableError("append response has status " + std::to_string(response.value().status));
        Json body = Json::parse(response.value().body, nullptr, false);
        if (!body.is_object() || !hasInteger(body, "offset"))
            return Error { .kind = ErrorKind::EndpointLost, .message = "log service: append response has no offset" };
        return body["offset"].get<std::int64_t>();
    }

    Result<LogBatch> parseReadResponse(const Result<HttpResponse>& response)
    {
        if (!response)
            return unavailableError(response.error().message);
        int status = response.value().status;
        // With status 410, the requested records have expired; the body states the offset of the first retained one.
        if (status != 200 && status != 410)
            return unavailableError("read response has status " + std::to_string(status));
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
                    .timeout = responseTimeout },
        [callback = std::move(callback)](
            const Result<HttpResponse>& response) { callback(parseAppendResponse(response)); });
}

void HttpLogClient::read(
    std::string_view stream, std::int64_t from, unsigned maxRecords, Millis maxWait, ReadCallback callback)
{
    std::string target = streamTarget(stream) + "?from=" + std::to_string(from) + "&max=" + std::to_string(maxRecords)
        + "&waitMs=" + std::to_string(maxWait.count);
    m_http.send({ .address = m_address, .target = std::move(target), .timeout = maxWait + responseTimeout },
        [callback = std::move(callback)](
            const Result<HttpResponse>& response) { callback(parseReadResponse(response)); });
}

Result<LogBatch> parseLogBatch(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !hasInteger(json, "first") || !hasInteger(json, "next"))
        return unavailableError("malformed read response");
    LogBatch batch { .firstRetainedOffset = json["first"].get<std::int64_t>(),
        .endOffset = json["next"].get<std::int64_t>() };
    auto records = json.find("records");
    if (records == json.end())
        return batch;
    if (!records->is_array())
        return unavailableError("malformed read response");
    batch.records.reserve(records->size());
    for (const Json& record : *records) {
        if (!record.is_object() || !hasInteger(record, "offset") || !hasInteger(record, "time")
            || !record.contains("payload") || !record["payload"].is_string())
            return unavailableError("malformed record in the read response");
        batch.records.push_back({ .offset = record["offset"].get<std::int64_t>(),
            .timestampMs = record["time"].get<std::int64_t>(),
            .payload = record["payload"].get<std::string>() });
    }
    return batch;
}

}
