#include "Standin.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace jasminestack::standins {

namespace {

    using nlohmann::json;

    /// The platform's list of hosts; answers with the list as it was some seconds ago.
    class HostList final : public Standin {
    public:
        HostList(event_base& base, const json& description)
            : m_server(
                base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
            , m_lagMs(description.value("lagMs", 3'000.0))
        {
            // The list at the start has no lag, so that a fleet need not wait for it.
            m_versions.emplace_back(0, description.value("hosts", json::array()));
        }

        void control(const json& change) override
        {
            m_lagMs = change.value("lagMs", m_lagMs);
            m_outage = change.value("outage", m_outage);
            if (change.contains("hosts"))
                m_versions.emplace_back(monotonicMs(), change["hosts"]);
            if (change.contains("set")) {
                json hosts = m_versions.back().second;
                for (const auto& [id, state] : change["set"].items()) {
                    for (json& host : hosts) {
                        if (host.value("id", "") == id)
                            host["state"] = state;
                    }
                }
                m_versions.emplace_back(monotonicMs(), std::move(hosts));
            }
            if (change.value("silence", false))
                m_server.silenceOpenConnections();
        }

        json state() const override { return { { "versions", m_dropped + m_versions.size() }, { "lagMs", m_lagMs } }; }
        StandinServer& server() override { return m_server; }

    private:
        void handle(const ExchangePointer& exchange)
        {
            if (m_outage)
                return exchange->reply(503, R"({"error":"the host list is down"})");
            if (exchange->path() != "/hosts")
                return exchange->reply(404, R"({"error":"no such path"})");
            while (m_versions.size() > 1 && m_versions[1].first <= monotonicMs() - m_lagMs) {
                m_versions.pop_front();
                ++m_dropped;
            }
            json answer = { { "version", m_dropped + 1 }, { "hosts", m_versions.front().second } };
            exchange->reply(200, answer.dump());
        }

        StandinServer m_server;
        double m_lagMs;
        bool m_outage { false };
        std::deque<std::pair<double, json>> m_versions;
        std::size_t m_dropped { 0 };
    };

    /// The store of model weights, with a rate limit.
    class WeightStore final : public Standin {
    public:
        WeightStore(event_base& base, const json& description)
            : m_server(
                base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
            , m_perSecond(description.value("fetchesPerSecond", 2.0))
            , m_bytes(description.value("bytes", std::size_t { 65'536 }))
            , m_tokens(m_perSecond)
        {
        }

        void control(const json& change) override
        {
            m_perSecond = change.value("fetchesPerSecond", m_perSecond);
            m_bytes = change.value("bytes", m_bytes);
        }

        json state() const override { return { { "fetches", m_fetches }, { "throttled", m_throttled } }; }
        StandinServer& server() override { return m_server; }

    private:
        void handle(const ExchangePointer& exchange)
        {
            if (!exchange->path().starts_with("/weights/"))
                return exchange->reply(404, R"({"error":"no such path"})");
            double now = monotonicMs();
            m_tokens = std::min(std::max(m_perSecond, 1.0), m_tokens + (now - m_refilled) / 1'000 * m_perSecond);
            m_refilled = now;
            if (m_tokens < 1) {
                ++m_throttled;
                exchange->addHeader("Retry-After", "1");
                return exchange->reply(429, R"({"error":"fetch rate exceeded"})");
            }
            m_tokens -= 1;
            ++m_fetches;
            exchange->reply(200, std::string(m_bytes, 'w'), "application/octet-stream");
        }

        StandinServer m_server;
        double m_perSecond;
        std::size_t m_bytes;
        double m_tokens;
        double m_refilled { monotonicMs() };
        std::uint64_t m_fetches { 0 };
        std::uint64_t m_throttled { 0 };
    };

}

std::unique_ptr<Standin> makeHostList(event_base& base, const nlohmann::json& description)
{
    return std::make_unique<HostList>(base, description);
}

std::unique_ptr<Standin> makeWeightStore(event_base& base, const nlohmann::json& description)
{
    return std::make_unique<WeightStore>(base, description);
}

std::unique_ptr<Standin> makeStandin(event_base& base, const nlohmann::json& description, Journal& journal)
{
    std::string kind = description.value("kind", "");
    if (kind == "engine")
        return makeModelEngine(base, description, journal);
    if (kind == "service")
        return makePlainService(base, description, journal);
    if (kind == "log")
        return makeLogService(base, description);
    if (kind == "hostList")
        return makeHostList(base, description);
    if (kind == "weightStore")
        return makeWeightStore(base, description);
    return nullptr;
}

}
