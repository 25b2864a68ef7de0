#include "daemon/EndpointMonitor.h"

#include "observe/Logging.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    /// A report with a larger number is rejected as malformed.
    constexpr std::uint64_t maximumReportedCount = 1'000'000;

    // An absent member leaves the value unchanged. Returns false if the member is malformed.
    bool readCount(const Json& json, const char* name, std::uint32_t& value)
    {
        auto it = json.find(name);
        if (it == json.end())
            return true;
        if (!it->is_number_unsigned() || it->get<std::uint64_t>() > maximumReportedCount)
            return false;
        value = it->get<std::uint32_t>();
        return true;
    }

}

Result<LoadReport> parseLoadReport(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    LoadReport report;
    bool isValid = json.is_object() && readCount(json, "slots", report.slots)
        && readCount(json, "running", report.running) && readCount(json, "waiting", report.waiting);
    if (!isValid)
        return Error { .kind = ErrorKind::EndpointUnavailable, .message = "malformed load report" };
    auto leaving = json.find("leaving");
    report.leaving = leaving != json.end() && leaving->is_boolean() && leaving->get<bool>();
    return report;
}

EndpointMonitor::EndpointMonitor(Context context, EndpointMonitorOptions options)
    : m_context(std::move(context))
    , m_options(options)
{
}

void EndpointMonitor::tick()
{
    Millis now = m_context.clock.now();
    if (m_options.loadPollInterval > Millis {} && now >= m_nextLoadPollAt) {
        m_nextLoadPollAt = now + m_options.loadPollInterval;
        pollLoads();
    }
    if (now >= m_nextHostListFetchAt && !m_isFetchingHostList) {
        m_nextHostListFetchAt = now + m_options.hostListInterval;
        fetchHostList();
    }
}

void EndpointMonitor::pollLoads()
{
    for (const auto& [id, endpoint] : m_context.endpoints.endpoints) {
        if (!endpoint.removed && !m_pollsInFlight.contains(id) && m_context.shouldPoll(id))
            pollEndpoint(endpoint);
    }
}

void EndpointMonitor::pollEndpoint(const EndpointState& endpoint)
{
    m_pollsInFlight.insert(endpoint.id);
    m_context.fetch(endpoint.address, "/load", m_options.loadPollTimeout,
        [this, id = endpoint.id, lifetime = std::weak_ptr<int>(m_lifetime)](const Result<HttpResponse>& response) {
            if (lifetime.expired())
                return;
            m_pollsInFlight.erase(id);
            if (!response || response.value().status != 200)
                return;
            auto report = parseLoadReport(response.value().body);
            // onLoadReport() returns whether this report is the first sign that the endpoint is leaving.
            if (report && onLoadReport(m_context.endpoints, id, report.value(), m_context.clock.now()))
                announceLeaving(id);
        });
}

void EndpointMonitor::fetchHostList()
{
    m_isFetchingHostList = true;
    m_context.hostList.fetch(
        [this, lifetime = std::weak_ptr<int>(m_lifetime)](const Result<std::vector<HostEntry>>& hosts) {
            if (lifetime.expired())
                return;
            m_isFetchingHostList = false;
            if (hosts)
                onHostList(hosts.value());
        });
}

void EndpointMonitor::onHostList(const std::vector<HostEntry>& hosts)
{
    Millis now = m_context.clock.now();
    std::vector<std::string> daemonAddresses;
    std::map<std::string, EndpointId> endpointByAddress;
    for (const auto& [id, endpoint] : m_context.endpoints.endpoints)
        endpointByAddress.emplace(endpoint.address, id);
    for (const HostEntry& host : hosts) {
        if (host.isDaemon) {
            daemonAddresses.push_back(host.address);
            continue;
        }
        // The configured endpoint id may differ from the platform's host id; the endpoint is then found by its address.
        EndpointId id(host.id);
        if (!m_context.endpoints.endpoints.contains(id)) {
            auto it = endpointByAddress.find(host.address);
            if (it == endpointByAddress.end())
                continue;
            id = it->second;
        }
        if (onHostListEntry(m_context.endpoints, id, host.leaving, now))
            announceLeaving(id);
    }
    m_context.onPeerAddresses(std::move(daemonAddresses));
}

void EndpointMonitor::announceLeaving(const EndpointId& id)
{
    logEvent(LogLevel::Info, "endpoint_leaving", { { "endpoint", id.value } });
    m_context.broadcast({ .endpoint = id, .leaving = true });
}

}
