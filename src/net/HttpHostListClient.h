#pragma once

#include "net/HttpClient.h"
#include "net/Interfaces.h"

namespace jasminestack {

/// \brief HostListClient over the platform's HTTP service.
class HttpHostListClient final : public HostListClient {
public:
    /// \param address "IP:PORT" of the host list service.
    HttpHostListClient(HttpClient& http, std::string address);

    /// \brief Fetches the list; every failure is reported as EndpointUnavailable.
    void fetch(Callback) override;

private:
    HttpClient& m_http;
    std::string m_address;
};

/// \brief Parses the body of the service's response. Entries without an id or an address are skipped, so that one
/// malformed entry does not make the whole list unusable.
/// \returns EndpointUnavailable if \p body is not a host list.
[[nodiscard]] Result<std::vector<HostEntry>> parseHostList(std::string_view body);

}
