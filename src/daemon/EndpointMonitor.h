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
    Millis loadPollInterval { 500 }; ///< 0: endpoints are not polled.
    Millis loadPollTimeout { 2'000 };
    Millis hostListInterval { 1'000 };
};

/// \brief Polls the endpoints' load reports and the host list, and updates the endpoint table. Call tick() every 50 ms.
/// The endpoints of a cell are polled by its scheduling daemon. A daemon that uses the cell without a valid allocation
/// also polls them, because it then has to limit its load without the scheduler.
class EndpointMonitor {
public:
    /// Sends a GET request for the path and passes the response to the callback; replaced in tests.
    using FetchFunction = std::function<void(const std::string& address, const std::string& path, Millis timeout,
        std::function<void(Result<HttpResponse>)>)>;

    struct Context {
        const Clock& clock;
        const SelfState& self;
        EndpointTable& endpoints;
        HostListClient& hostList;
        FetchFunction fetch;
        std::function<bool(const EndpointId&)> shouldPoll; ///< Whether this daemon currently polls the endpoint's load.
        std::function<void(const EndpointLeavingUpdate&)> broadcast; ///< Sends the update to all peers.
        /// Receives the addresses of the daemons in the host list.
        std::function<void(std::vector<std::string>)> onPeerAddresses;
    };

    EndpointMonitor(Context, EndpointMonitorOptions);
    EndpointMonitor(const EndpointMonitor&) = delete;
    EndpointMonitor& operator=(const EndpointMonitor&) = delete;

    void tick();

private:
    void pollLoads();
    void pollEndpoint(const EndpointState&);
    void fetchHostList();
    void onHostList(const std::vector<HostEntry>&);
    void announceLeaving(const EndpointId&);

    Context m_context;
    EndpointMonitorOptions m_options;
    Millis m_nextLoadPollAt {};
    Millis m_nextHostListFetchAt {};
    bool m_isFetchingHostList { false };
    std::set<EndpointId> m_pollsInFlight; ///< Endpoints whose load poll has had no response yet.
    /// Callbacks hold a weak pointer to it, because they may outlive the monitor.
    std::shared_ptr<int> m_lifetime { std::make_shared<int>(0) };
};

/// \brief Parses the body of `GET /load`.
/// \returns The report; EndpointUnavailable if the body is malformed.
[[nodiscard]] Result<LoadReport> parseLoadReport(std::string_view body);

}
