#include "Standin.h"

#include <list>
#include <map>
#include <memory>

namespace jasminestack::standins {

namespace {

    using nlohmann::json;

    /// Stand-in of a booking service: each POST executes a booking that cannot be undone and is recorded by its id.
    class PlainService final : public Standin {
    public:
        PlainService(event_base& base, const json& description, Journal& journal)
            : m_base(base)
            , m_journal(journal)
            , m_server(
                  base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
        {
            applyOptions(description);
        }

        void control(const json& change) override
        {
            applyOptions(change);
            if (change.value("silence", false))
                m_server.silenceOpenConnections();
            if (change.contains("silenceAllMs"))
                m_server.silenceAll(change["silenceAllMs"].get<double>());
            if (change.contains("crash"))
                crash(change["crash"].is_number() ? change["crash"].get<double>() : m_crashDownMs);
        }

        json state() const override
        {
            std::size_t duplicates = 0;
            for (const auto& [booking, runs] : m_runsByBooking)
                duplicates += runs > 1 ? 1 : 0;
            return { { "bookings", m_runsByBooking.size() }, { "duplicates", duplicates },
                { "running", m_runningCalls.size() }, { "connections", m_server.openConnections() } };
        }

        StandinServer& server() override { return m_server; }

    private:
        struct ServiceCall {
            ExchangePointer exchange;
            std::size_t record { 0 };
            std::string booking;
            std::unique_ptr<Timer> timer;
            bool ended { false };
        };

        void applyOptions(const json& change)
        {
            m_name = change.value("name", m_name);
            m_delayMs = change.value("delayMs", m_delayMs);
            m_slots = change.value("slots", m_slots);
            m_isLeaving = change.value("leaving", m_isLeaving);
            m_losesResponses = change.value("lostAnswers", m_losesResponses);
            m_crashMarker = change.value("crashMarker", m_crashMarker);
            m_crashDownMs = change.value("crashDownMs", m_crashDownMs);
        }

        void handle(const ExchangePointer& exchange)
        {
            if (std::string id = exchange->header("X-Request-Id"); !id.empty())
                exchange->addHeader("X-Request-Id", id);
            if (exchange->path() == "/load") {
                json load = { { "slots", m_slots }, { "running", m_runningCalls.size() }, { "waiting", 0 },
                    { "leaving", m_isLeaving }, { "models", json::array() }, { "kvUsed", 0 },
                    { "sequence", ++m_sequence } };
                return exchange->respond(200, load.dump());
            }
            if (m_isLeaving) {
                exchange->addHeader("X-Not-Run", "1");
                return exchange->respond(503, R"({"error":{"message":"the service is leaving"}})");
            }
            startCall(exchange);
        }

        void startCall(const ExchangePointer& exchange)
        {
            json body = json::parse(exchange->body(), nullptr, false);
            std::string booking = body.is_object() ? body.value("booking", "") : "";
            double now = monotonicMs();
            auto call = m_runningCalls.emplace(m_runningCalls.end());
            call->exchange = exchange;
            call->booking = booking;
            call->record = m_journal.addRun({ .endpoint = m_name,
                .requestId = exchange->header("X-Request-Id"),
                .workspace = exchange->header("X-Workspace"),
                .marker = booking,
                .arrived = now,
                .start = now,
                .decode = now });
            bool isPost = exchange->method() == "POST";
            if (isPost && !booking.empty())
                ++m_runsByBooking[booking];
            if (!m_crashMarker.empty() && exchange->body().find(m_crashMarker) != std::string::npos)
                return crash(m_crashDownMs);
            call->timer = std::make_unique<Timer>(m_base, [this, call] { finishCall(call); });
            call->timer->start(m_delayMs);
        }

        void finishCall(std::list<ServiceCall>::iterator call)
        {
            RunRecord& record = m_journal.run(call->record);
            record.end = monotonicMs();
            record.cost = 1;
            record.outcome = "done";
            if (m_losesResponses) {
                call->exchange->dropConnection();
            } else {
                json response = { { "booking", call->booking }, { "confirmed", true }, { "desk", m_name },
                    { "path", call->exchange->path() } };
                call->exchange->respond(200, response.dump());
            }
            m_finishedCalls.splice(m_finishedCalls.end(), m_runningCalls, call);
            if (!m_cleanupTimer)
                m_cleanupTimer = std::make_unique<Timer>(m_base, [this] { m_finishedCalls.clear(); });
            m_cleanupTimer->start(0);
        }

        void crash(double downMs)
        {
            for (ServiceCall& call : m_runningCalls) {
                RunRecord& record = m_journal.run(call.record);
                record.end = monotonicMs();
                record.outcome = "crashed";
                if (call.timer)
                    call.timer->stop();
            }
            m_finishedCalls.splice(m_finishedCalls.end(), m_runningCalls);
            m_server.crash(downMs, [this] { m_finishedCalls.clear(); });
        }

        event_base& m_base;
        Journal& m_journal;
        StandinServer m_server;
        std::string m_name;
        double m_delayMs { 20 };
        unsigned m_slots { 16 };
        bool m_isLeaving { false };
        bool m_losesResponses { false };
        std::string m_crashMarker;
        double m_crashDownMs { 2'000 };
        std::uint64_t m_sequence { 0 };
        std::list<ServiceCall> m_runningCalls;
        std::list<ServiceCall> m_finishedCalls;
        std::unique_ptr<Timer> m_cleanupTimer;
        std::map<std::string, unsigned> m_runsByBooking;
    };

}

std::unique_ptr<Standin> makePlainService(event_base& base, const nlohmann::json& description, Journal& journal)
{
    return std::make_unique<PlainService>(base, description, journal);
}

}
