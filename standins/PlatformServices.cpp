#include "Standin.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace jasminestack::standins {

namespace {

    using nlohmann::json;

    /// Stand-in of the platform's host list; returns the list as it was `lagMs` ago.
    class HostList final : public Standin {
    public:
        HostList(event_base& base, const json& description)
            : m_server(
                base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
            , m_lagMs(description.value("lagMs", 3'000.0))
        {
            // The initial list is visible at once, so that a starting fleet need not wait for the lag.
            m_versions.emplace_back(0, description.value("hosts", json::array()));
        }

        void control(const json& change) override
        {
            m_lagMs = change.value("lagMs", m_lagMs);
            m_isUnavailable = change.value("outage", m_isUnavailable);
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

        json state() const override
        {
            return { { "versions", m_removedVersions + m_versions.size() }, { "lagMs", m_lagMs } };
        }
        StandinServer& server() override { return m_server; }

    private:
        void handle(const ExchangePointer& exchange)
        {
            if (m_isUnavailable)
                return exchange->respond(503, R"({"error":"the host list is unavailable"})");
            if (exchange->path() != "/hosts")
                return exchange->respond(404, R"({"error":"no such path"})");
            while (m_versions.size() > 1 && m_versions[1].first <= monotonicMs() - m_lagMs) {
                m_versions.pop_front();
                ++m_removedVersions;
            }
            json response = { { "version", m_removedVersions + 1 }, { "hosts", m_versions.front().second } };
            exchange->respond(200, response.dump());
        }

        StandinServer m_server;
        double m_lagMs;
        bool m_isUnavailable { false };
        std::deque<std::pair<double, json>> m_versions;
        std::size_t m_removedVersions { 0 };
    };

    /// Stand-in of the store of model weights, with a rate limit.
    class WeightStore final : public Standin {
    public:
        WeightStore(event_base& base, const json& description)
            : m_server(
                base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
            , m_fetchesPerSecond(description.value("fetchesPerSecond", 2.0))
            , m_responseBytes(description.value("bytes", std::size_t { 65'536 }))
            , m_fetchTokens(m_fetchesPerSecond)
        {
        }

        void control(const json& change) override
        {
            m_fetchesPerSecond = change.value("fetchesPerSecond", m_fetchesPerSecond);
            m_responseBytes = change.value("bytes", m_responseBytes);
        }

        json state() const override { return { { "fetches", m_fetches }, { "throttled", m_throttled } }; }
        StandinServer& server() override { return m_server; }

    private:
        void handle(const ExchangePointer& exchange)
        {
            if (!exchange->path().starts_with("/weights/"))
                return exchange->respond(404, R"({"error":"no such path"})");
            double now = monotonicMs();
            m_fetchTokens = std::min(
                std::max(m_fetchesPerSecond, 1.0), m_fetchTokens + (now - m_refilledMs) / 1'000 * m_fetchesPerSecond);
            m_refilledMs = now;
            if (m_fetchTokens < 1) {
                ++m_throttled;
                exchange->addHeader("Retry-After", "1");
                return exchange->respond(429, R"({"error":"fetch rate exceeded"})");
            }
            m_fetchTokens -= 1;
            ++m_fetches;
            exchange->respond(200, std::string(m_responseBytes, 'w'), "application/octet-stream");
        }

        StandinServer m_server;
        double m_fetchesPerSecond;
        std::size_t m_responseBytes;
        double m_fetchTokens;
        double m_refilledMs { monotonicMs() };
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
