#include "net/HttpHostListClient.h"

#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    Error unavailable(std::string message)
    {
        return { .kind = ErrorKind::EndpointUnavailable, .message = "host list: " + std::move(message) };
    }

    std::string textOf(const Json& object, const char* name)
    {
        auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

}

HttpHostListClient::HttpHostListClient(HttpClient& http, std::string address)
    : m_http(http)
    , m_address(std::move(address))
{
}

void HttpHostListClient::fetch(Callback callback)
{
    m_http.send({ .address = m_address, .target = "/hosts" },
        [callback = std::move(callback)](const Result<HttpResponse>& response) {
            if (!response)
                callback(unavailable(response.error().message));
            else if (response.value().status != 200)
                callback(unavailable("answered with status " + std::to_string(response.value().status)));
            else
                callback(parseHostList(response.value().body));
        });
}

Result<std::vector<HostEntry>> parseHostList(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array())
        return unavailable("malformed answer");
    std::vector<HostEntry> hosts;
    for (const Json& entry : json["hosts"]) {
        if (!entry.is_object())
            continue;
        HostEntry host { .id = textOf(entry, "id"),
            .isDaemon = textOf(entry, "kind") == "daemon",
            .address = textOf(entry, "address"),
            .availabilityZone = textOf(entry, "availabilityZone"),
            .region = textOf(entry, "region"),
            .leaving = textOf(entry, "state") == "leaving" };
        if (!host.id.empty() && !host.address.empty())
            hosts.push_back(std::move(host));
    }
    return hosts;
}

}
