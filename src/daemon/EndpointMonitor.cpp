#include "daemon/EndpointMonitor.h"

#include "observe/Logging.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    /// Larger numbers are taken for faults of the endpoint.
    constexpr std::uint64_t maxCount = 1'000'000;

    bool readCount(const Json& json, const char* name, std::uint32_t& value)
    {
        auto it = json.find(name);
        if (it == json.end())
            return true;
        if (!it->is_number_unsigned() || it->get<std::uint64_t>() > maxCount)
            return false;
        value = it->get<std::uint32_t>();
        return true;
    }

}

Result<LoadReport> parseLoadReport(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    LoadReport report;
    bool valid = json.is_object() && readCount(json, "slots", report.slots)
        && readCount(json, "running", report.running) && readCount(json, "waiting", report.waiting);
    if (!valid)
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
    if (m_options.loadInterval > Millis {} && now >= m_nextLoad) {
        m_nextLoad = now + m_options.loadInterval;
        pollLoads();
    }
    if (now >= m_nextHosts && !m_fetchingHosts) {
        m_nextHosts = now + m_options.hostListInterval;
        fetchHosts();
    }
}

void EndpointMonitor::pollLoads()
{
    for (const auto& [id, endpoint] : m_context.endpoints.endpoints) {
        if (!endpoint.removed && !m_polling.contains(id) && m_context.isPolled(id))
            pollEndpoint(endpoint);
    }
}

void EndpointMonitor::pollEndpoint(const EndpointState& endpoint)
{
    m_polling.insert(endpoint.id);
    m_context.fetch(endpoint.address, "/load", m_options.loadTimeout,
        [this, id = endpoint.id, alive = std::weak_ptr<int>(m_alive)](const Result<HttpResponse>& response) {
            if (alive.expired())
                return;
            m_polling.erase(id);
            if (!response || response.value().status != 200)
                return;
            auto report = parseLoadReport(response.value().body);
            if (report && onLoadReport(m_context.endpoints, id, report.value(), m_context.clock.now()))
                announceLeaving(id);
        });
}

void EndpointMonitor::fetchHosts()
{
    m_fetchingHosts = true;
    m_context.hostList.fetch([this, alive = std::weak_ptr<int>(m_alive)](const Result<std::vector<HostEntry>>& hosts) {
        if (alive.expired())
            return;
        m_fetchingHosts = false;
        if (hosts)
            onHosts(hosts.value());
    });
}

void EndpointMonitor::onHosts(const std::vector<HostEntry>& hosts)
{
    Millis now = m_context.clock.now();
    std::vector<std::string> peers;
    std::map<std::string, EndpointId> byAddress;
    for (const auto& [id, endpoint] : m_context.endpoints.endpoints)
        byAddress.emplace(endpoint.address, id);
    for (const HostEntry& host : hosts) {
        if (host.isDaemon) {
            peers.push_back(host.address);
            continue;
        }
        // Operators may name an endpoint otherwise than the platform names its host; the address decides then.
        EndpointId id(host.id);
        if (!m_context.endpoints.endpoints.contains(id)) {
            auto it = byAddress.find(host.address);
            if (it == byAddress.end())
                continue;
            id = it->second;
        }
        if (onHostListEntry(m_context.endpoints, id, host.leaving, now))
            announceLeaving(id);
    }
    m_context.peerAddresses(std::move(peers));
}

void EndpointMonitor::announceLeaving(const EndpointId& id)
{
    logEvent(LogLevel::Info, "endpoint_leaving", { { "endpoint", id.value } });
    m_context.announce({ .endpoint = id, .leaving = true });
}

}
