#pragma once

#include "core/EndpointHealth.h"
#include "net/HttpClient.h"
#include "net/Interfaces.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

struct EndpointMonitorOptions {
    Millis loadInterval { 500 }; ///< 0: endpoints are not polled.
    Millis loadTimeout { 2'000 };
    Millis hostListInterval { 1'000 };
};

/// \brief Fetches load reports and the host list, and feeds EndpointHealth. Call tick() every 50 ms.
///
/// One daemon polls the endpoints of a cell: the cell's scheduling daemon. A daemon that uses the cell without a valid
/// allocation polls for itself, since it then has to limit itself.
class EndpointMonitor {
public:
    /// Sends a GET of the path and reports the answer's body; a seam for tests.
    using FetchFunction = std::function<void(const std::string& address, const std::string& path, Millis timeout,
        std::function<void(Result<HttpResponse>)>)>;

    struct Context {
        const Clock& clock;
        const SelfState& self;
        EndpointTable& endpoints;
        HostListClient& hostList;
        FetchFunction fetch;
        std::function<bool(const EndpointId&)> isPolled; ///< Whether this daemon polls the endpoint's load now.
        std::function<void(const EndpointLeavingUpdate&)> announce; ///< Tells all peers.
        std::function<void(std::vector<std::string>)> peerAddresses; ///< Of the daemons in the host list.
    };

    EndpointMonitor(Context, EndpointMonitorOptions);
    EndpointMonitor(const EndpointMonitor&) = delete;
    EndpointMonitor& operator=(const EndpointMonitor&) = delete;

    void tick();

private:
    void pollLoads();
    void pollEndpoint(const EndpointState&);
    void fetchHosts();
    void onHosts(const std::vector<HostEntry>&);
    void announceLeaving(const EndpointId&);

    Context m_context;
    EndpointMonitorOptions m_options;
    Millis m_nextLoad {};
    Millis m_nextHosts {};
    bool m_fetchingHosts { false };
    std::set<EndpointId> m_polling;
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) }; ///< Callbacks may outlive the monitor.
};

/// \brief Parses the body of `GET /load`.
/// \returns EndpointUnavailable if it has another form.
[[nodiscard]] Result<LoadReport> parseLoadReport(std::string_view body);

}
