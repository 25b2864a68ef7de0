#include "Standin.h"

#include <list>
#include <map>
#include <memory>

namespace jasminestack::standins {

namespace {

    using nlohmann::json;

    /// The booking desk: each POST below /booking/ is a run that cannot be undone, recorded by its booking id.
    class PlainService final : public Standin {
    public:
        PlainService(event_base& base, const json& description, Journal& journal)
            : m_base(base)
            , m_journal(journal)
            , m_server(
                  base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
        {
            apply(description);
        }

        void control(const json& change) override
        {
            apply(change);
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
            for (const auto& [booking, runs] : m_bookings)
                duplicates += runs > 1 ? 1 : 0;
            return { { "bookings", m_bookings.size() }, { "duplicates", duplicates }, { "running", m_pending.size() },
                { "connections", m_server.openConnections() } };
        }

        StandinServer& server() override { return m_server; }

    private:
        struct Call {
            ExchangePointer exchange;
            std::size_t record { 0 };
            std::string booking;
            std::unique_ptr<Timer> timer;
            bool ended { false };
        };

        void apply(const json& change)
        {
            m_name = change.value("name", m_name);
            m_delayMs = change.value("delayMs", m_delayMs);
            m_slots = change.value("slots", m_slots);
            m_leaving = change.value("leaving", m_leaving);
            m_lostAnswers = change.value("lostAnswers", m_lostAnswers);
            m_crashMarker = change.value("crashMarker", m_crashMarker);
            m_crashDownMs = change.value("crashDownMs", m_crashDownMs);
        }

        void handle(const ExchangePointer& exchange)
        {
            if (std::string id = exchange->header("X-Request-Id"); !id.empty())
                exchange->addHeader("X-Request-Id", id);
            if (exchange->path() == "/load") {
                json load = { { "slots", m_slots }, { "running", m_pending.size() }, { "waiting", 0 },
                    { "leaving", m_leaving }, { "models", json::array() }, { "kvUsed", 0 },
                    { "sequence", ++m_sequence } };
                return exchange->reply(200, load.dump());
            }
            if (m_leaving) {
                exchange->addHeader("X-Not-Run", "1");
                return exchange->reply(503, R"({"error":{"message":"the service is leaving"}})");
            }
            run(exchange);
        }

        void run(const ExchangePointer& exchange)
        {
            json body = json::parse(exchange->body(), nullptr, false);
            std::string booking = body.is_object() ? body.value("booking", "") : "";
            double now = monotonicMs();
            auto call = m_pending.emplace(m_pending.end());
            call->exchange = exchange;
            call->booking = booking;
            call->record = m_journal.add({ .endpoint = m_name,
                .request = exchange->header("X-Request-Id"),
                .workspace = exchange->header("X-Workspace"),
                .marker = booking,
                .arrived = now,
                .start = now,
                .decode = now });
            bool writes = exchange->method() == "POST";
            if (writes && !booking.empty())
                ++m_bookings[booking];
            if (!m_crashMarker.empty() && exchange->body().find(m_crashMarker) != std::string::npos)
                return crash(m_crashDownMs);
            call->timer = std::make_unique<Timer>(m_base, [this, call] { finish(call); });
            call->timer->start(m_delayMs);
        }

        void finish(std::list<Call>::iterator call)
        {
            RunRecord& record = m_journal.at(call->record);
            record.end = monotonicMs();
            record.cost = 1;
            record.outcome = "done";
            if (m_lostAnswers) {
                call->exchange->drop();
            } else {
                json answer = { { "booking", call->booking }, { "confirmed", true }, { "desk", m_name },
                    { "path", call->exchange->path() } };
                call->exchange->reply(200, answer.dump());
            }
            m_finished.splice(m_finished.end(), m_pending, call);
            if (!m_collector)
                m_collector = std::make_unique<Timer>(m_base, [this] { m_finished.clear(); });
            m_collector->start(0);
        }

        void crash(double downMs)
        {
            for (Call& call : m_pending) {
                RunRecord& record = m_journal.at(call.record);
                record.end = monotonicMs();
                record.outcome = "crashed";
                if (call.timer)
                    call.timer->stop();
            }
            m_finished.splice(m_finished.end(), m_pending);
            m_server.crash(downMs, [this] { m_finished.clear(); });
        }

        event_base& m_base;
        Journal& m_journal;
        StandinServer m_server;
        std::string m_name;
        double m_delayMs { 20 };
        unsigned m_slots { 16 };
        bool m_leaving { false };
        bool m_lostAnswers { false };
        std::string m_crashMarker;
        double m_crashDownMs { 2'000 };
        std::uint64_t m_sequence { 0 };
        std::list<Call> m_pending;
        std::list<Call> m_finished;
        std::unique_ptr<Timer> m_collector;
        std::map<std::string, unsigned> m_bookings;
    };

}

std::unique_ptr<Standin> makePlainService(event_base& base, const nlohmann::json& description, Journal& journal)
{
    return std::make_unique<PlainService>(base, description, journal);
}

}
