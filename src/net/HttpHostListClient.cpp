#include "net/HttpHostListClient.h"

#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    Error unavailableError(std::string message)
    {
        return { .kind = ErrorKind::EndpointUnavailable, .message = "host list: " + std::move(message) };
    }

    std::string stringMember(const Json& object, const char* name)
    {
        auto member = object.find(name);
        return member != object.end() && member->is_string() ? member->get<std::string>() : std::string();
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
                callback(unavailableError(response.error().message));
            else if (response.value().status != 200)
                callback(unavailableError("response has status " + std::to_string(response.value().status)));
            else
                callback(parseHostList(response.value().body));
        });
}

Result<std::vector<HostEntry>> parseHostList(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array())
        return unavailableError("malformed response");
    std::vector<HostEntry> hosts;
    for (const Json& entry : json["hosts"]) {
        if (!entry.is_object())
            continue;
        HostEntry host { .id = stringMember(entry, "id"),
            .isDaemon = stringMember(entry, "kind") == "daemon",
            .address = stringMember(entry, "address"),
            .availabilityZone = stringMember(entry, "availabilityZone"),
            .region = stringMember(entry, "region"),
            .leaving = stringMember(entry, "state") == "leaving" };
        if (!host.id.empty() && !host.address.empty())
            hosts.push_back(std::move(host));
    }
    return hosts;
}

}
