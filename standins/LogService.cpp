#include "Standin.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <memory>

namespace jasminestack::standins {

namespace {

    using nlohmann::json;

    std::int64_t wallMs()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    std::int64_t number(const std::string& text, std::int64_t fallback)
    {
        std::int64_t value = fallback;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    struct Record {
        std::int64_t time { 0 };
        std::string payload;
    };

    struct LongPollRead {
        ExchangePointer exchange;
        std::int64_t from { 0 };
        std::size_t max { 0 };
        double until { 0 };
    };

    struct Stream {
        std::int64_t first { 0 };
        std::deque<Record> records;
        std::list<LongPollRead> readers;

        [[nodiscard]] std::int64_t next() const { return first + static_cast<std::int64_t>(records.size()); }
    };

    /// The platform's append-only log.
    class LogService final : public Standin {
    public:
        LogService(event_base& base, const json& description)
            : m_server(
                base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
            , m_tick(base, [this] { tick(); })
        {
            apply(description);
            m_tokens = m_appendsPerSecond;
            m_refilled = monotonicMs();
            m_tick.start(tickMs);
        }

        void control(const json& change) override
        {
            apply(change);
            if (change.value("silence", false))
                m_server.silenceOpenConnections();
            if (change.contains("silenceAllMs"))
                m_server.silenceAll(change["silenceAllMs"].get<double>());
            if (change.contains("crash"))
                m_server.crash(change["crash"].is_number() ? change["crash"].get<double>() : 1'000, [] {});
            if (change.contains("retain")) {
                for (auto& [name, stream] : m_streams)
                    trim(stream);
            }
        }

        json state() const override
        {
            json streams = json::object();
            for (const auto& [name, stream] : m_streams) {
                std::size_t bytes = 0;
                for (const Record& record : stream.records)
                    bytes += record.payload.size();
                streams[name] = { { "first", stream.first }, { "next", stream.next() }, { "bytes", bytes } };
            }
            return { { "streams", std::move(streams) }, { "appends", m_appends }, { "throttled", m_throttled },
                { "lost", m_lost }, { "reads", m_reads } };
        }

        StandinServer& server() override { return m_server; }

    private:
        static constexpr double tickMs = 10;

        void apply(const json& change)
        {
            m_appendsPerSecond = change.value("appendsPerSecond", m_appendsPerSecond);
            m_retainMs = change.value("retainMs", m_retainMs);
            m_retain = change.value("retain", m_retain);
            m_outage = change.value("outage", m_outage);
            m_delayMs = change.value("delayMs", m_delayMs);
            m_loseAnswers = change.value("loseAnswers", m_loseAnswers);
        }

        void handle(const ExchangePointer& exchange)
        {
            if (m_delayMs <= 0)
                return serve(exchange);
            m_delayed.emplace_back(monotonicMs() + m_delayMs, exchange);
        }

        void serve(const ExchangePointer& exchange)
        {
            if (m_outage)
                return exchange->reply(503, R"({"error":"the log is down"})");
            std::string_view path = exchange->path();
            constexpr std::string_view prefix = "/streams/";
            constexpr std::string_view suffix = "/records";
            if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size())
                return exchange->reply(404, R"({"error":"no such path"})");
            std::string name(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
            if (exchange->method() == "POST")
                return append(exchange, m_streams[name]);
            read(exchange, m_streams[name]);
        }

        void append(const ExchangePointer& exchange, Stream& stream)
        {
            double now = monotonicMs();
            m_tokens = std::min(m_appendsPerSecond, m_tokens + (now - m_refilled) / 1'000 * m_appendsPerSecond);
            m_refilled = now;
            if (m_tokens < 1) {
                ++m_throttled;
                return exchange->reply(429, R"({"error":"append rate exceeded"})");
            }
            m_tokens -= 1;
            ++m_appends;
            std::int64_t offset = stream.next();
            stream.records.push_back({ .time = wallMs(), .payload = exchange->body() });
            // An error diffusion of the fraction loses exactly that part of the answers, without a random source.
            m_loseCredit += m_loseAnswers;
            if (m_loseCredit >= 1) {
                m_loseCredit -= 1;
                ++m_lost;
                m_toDrop.push_back(exchange);
            } else {
                exchange->reply(200, json({ { "offset", offset } }).dump());
            }
            trim(stream);
            wake(stream);
        }

        void read(const ExchangePointer& exchange, Stream& stream)
        {
            ++m_reads;
            LongPollRead reader { .exchange = exchange,
                .from = number(exchange->query("from"), 0),
                .max = static_cast<std::size_t>(std::max<std::int64_t>(number(exchange->query("max"), 1'000), 1)),
                .until = monotonicMs() + static_cast<double>(number(exchange->query("waitMs"), 0)) };
            trim(stream);
            if (reader.from < stream.next() || reader.until <= monotonicMs())
                return answer(reader, stream);
            stream.readers.push_back(std::move(reader));
        }

        static void answer(const LongPollRead& reader, const Stream& stream)
        {
            json records = json::array();
            bool gone = reader.from < stream.first;
            for (std::int64_t offset = reader.from; !gone && offset < stream.next() && records.size() < reader.max;
                 ++offset) {
                const Record& record = stream.records[static_cast<std::size_t>(offset - stream.first)];
                records.push_back({ { "offset", offset }, { "time", record.time }, { "payload", record.payload } });
            }
            json body = { { "first", stream.first }, { "next", stream.next() }, { "records", std::move(records) } };
            reader.exchange->reply(gone ? 410 : 200, body.dump(-1, ' ', false, json::error_handler_t::replace));
        }

        static void wake(Stream& stream)
        {
            std::list<LongPollRead> ready;
            for (auto reader = stream.readers.begin(); reader != stream.readers.end();) {
                auto next = std::next(reader);
                if (reader->from < stream.next())
                    ready.splice(ready.end(), stream.readers, reader);
                reader = next;
            }
            for (const LongPollRead& reader : ready)
                answer(reader, stream);
        }

        void trim(Stream& stream) const
        {
            std::int64_t oldest = wallMs() - static_cast<std::int64_t>(m_retainMs);
            while (
                !stream.records.empty() && (stream.records.size() > m_retain || stream.records.front().time < oldest)) {
                stream.records.pop_front();
                ++stream.first;
            }
        }

        void tick()
        {
            double now = monotonicMs();
            while (!m_toDrop.empty()) {
                m_toDrop.front()->drop();
                m_toDrop.pop_front();
            }
            while (!m_delayed.empty() && m_delayed.front().first <= now) {
                ExchangePointer exchange = m_delayed.front().second;
                m_delayed.pop_front();
                serve(exchange);
            }
            for (auto& [name, stream] : m_streams) {
                for (auto reader = stream.readers.begin(); reader != stream.readers.end();) {
                    if (m_outage || reader->until <= now || reader->exchange->closed()) {
                        if (m_outage)
                            reader->exchange->reply(503, R"({"error":"the log is down"})");
                        else
                            answer(*reader, stream);
                        reader = stream.readers.erase(reader);
                    } else {
                        ++reader;
                    }
                }
            }
            m_tick.start(tickMs);
        }

        StandinServer m_server;
        Timer m_tick;
        std::map<std::string, Stream> m_streams;
        std::deque<std::pair<double, ExchangePointer>> m_delayed;
        std::deque<ExchangePointer> m_toDrop;
        double m_appendsPerSecond { 500 };
        double m_retainMs { 3'600'000 };
        std::size_t m_retain { 1'000'000 };
        bool m_outage { false };
        double m_delayMs { 0 };
        double m_loseAnswers { 0 }; ///< Part of the appends whose answer is lost.
        double m_loseCredit { 0 };
        double m_tokens { 0 };
        double m_refilled { 0 };
        std::uint64_t m_appends { 0 };
        std::uint64_t m_throttled { 0 };
        std::uint64_t m_lost { 0 };
        std::uint64_t m_reads { 0 };
    };

}

std::unique_ptr<Standin> makeLogService(event_base& base, const nlohmann::json& description)
{
    return std::make_unique<LogService>(base, description);
}

}
