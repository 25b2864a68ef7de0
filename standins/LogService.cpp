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

    std::int64_t wallClockMs()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    std::int64_t parseNumber(const std::string& text, std::int64_t fallback)
    {
        std::int64_t value = fallback;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    struct Record {
        std::int64_t timeMs { 0 };
        std::string payload;
    };

    struct LongPollRead {
        ExchangePointer exchange;
        std::int64_t from { 0 }; ///< Offset of the first record to return.
        std::size_t maxRecords { 0 };
        double deadlineMs { 0 }; ///< Monotonic clock; the read then returns without records.
    };

    struct Stream {
        std::int64_t firstOffset { 0 };
        std::deque<Record> records;
        std::list<LongPollRead> waitingReads;

        [[nodiscard]] std::int64_t nextOffset() const
        {
            return firstOffset + static_cast<std::int64_t>(records.size());
        }
    };

    /// Stand-in of the platform's append-only log, with a rate limit, retention limits, delays and lost responses.
    class LogService final : public Standin {
    public:
        LogService(event_base& base, const json& description)
            : m_server(
                base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
            , m_tickTimer(base, [this] { tick(); })
        {
            applyOptions(description);
            m_appendTokens = m_appendsPerSecond;
            m_refilledMs = monotonicMs();
            m_tickTimer.start(tickIntervalMs);
        }

        void control(const json& change) override
        {
            applyOptions(change);
            if (change.value("silence", false))
                m_server.silenceOpenConnections();
            if (change.contains("silenceAllMs"))
                m_server.silenceAll(change["silenceAllMs"].get<double>());
            if (change.contains("crash"))
                m_server.crash(change["crash"].is_number() ? change["crash"].get<double>() : 1'000, [] {});
            if (change.contains("retain")) {
                for (auto& [name, stream] : m_streams)
                    removeExpired(stream);
            }
        }

        json state() const override
        {
            json streams = json::object();
            for (const auto& [name, stream] : m_streams) {
                std::size_t bytes = 0;
                for (const Record& record : stream.records)
                    bytes += record.payload.size();
                streams[name]
                    = { { "first", stream.firstOffset }, { "next", stream.nextOffset() }, { "bytes", bytes } };
            }
            return { { "streams", std::move(streams) }, { "appends", m_appends }, { "throttled", m_throttled },
                { "lost", m_lostResponses }, { "reads", m_reads } };
        }

        StandinServer& server() override { return m_server; }

    private:
        static constexpr double tickIntervalMs = 10;

        void applyOptions(const json& change)
        {
            m_appendsPerSecond = change.value("appendsPerSecond", m_appendsPerSecond);
            m_retainMs = change.value("retainMs", m_retainMs);
            m_maxRecords = change.value("retain", m_maxRecords);
            m_isUnavailable = change.value("outage", m_isUnavailable);
            m_delayMs = change.value("delayMs", m_delayMs);
            m_responseLossFraction = change.value("loseAnswers", m_responseLossFraction);
        }

        void handle(const ExchangePointer& exchange)
        {
            if (m_delayMs <= 0)
                return process(exchange);
            m_delayedExchanges.emplace_back(monotonicMs() + m_delayMs, exchange);
        }

        void process(const ExchangePointer& exchange)
        {
            if (m_isUnavailable)
                return exchange->respond(503, R"({"error":"the log is unavailable"})");
            std::string_view path = exchange->path();
            constexpr std::string_view prefix = "/streams/";
            constexpr std::string_view suffix = "/records";
            if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size())
                return exchange->respond(404, R"({"error":"no such path"})");
            std::string name(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
            if (exchange->method() == "POST")
                return append(exchange, m_streams[name]);
            read(exchange, m_streams[name]);
        }

        void append(const ExchangePointer& exchange, Stream& stream)
        {
            double now = monotonicMs();
            m_appendTokens
                = std::min(m_appendsPerSecond, m_appendTokens + (now - m_refilledMs) / 1'000 * m_appendsPerSecond);
            m_refilledMs = now;
            if (m_appendTokens < 1) {
                ++m_throttled;
                return exchange->respond(429, R"({"error":"append rate exceeded"})");
            }
            m_appendTokens -= 1;
            ++m_appends;
            std::int64_t offset = stream.nextOffset();
            stream.records.push_back({ .timeMs = wallClockMs(), .payload = exchange->body() });
            // The fractions are summed, and each whole 1 loses one response: exactly the set fraction, reproducibly.
            m_responseLossCredit += m_responseLossFraction;
            if (m_responseLossCredit >= 1) {
                m_responseLossCredit -= 1;
                ++m_lostResponses;
                m_exchangesToDrop.push_back(exchange);
            } else {
                exchange->respond(200, json({ { "offset", offset } }).dump());
            }
            removeExpired(stream);
            respondToReadyReads(stream);
        }

        void read(const ExchangePointer& exchange, Stream& stream)
        {
            ++m_reads;
            LongPollRead pendingRead { .exchange = exchange,
                .from = parseNumber(exchange->queryParameter("from"), 0),
                .maxRecords = static_cast<std::size_t>(
                    std::max<std::int64_t>(parseNumber(exchange->queryParameter("max"), 1'000), 1)),
                .deadlineMs = monotonicMs() + static_cast<double>(parseNumber(exchange->queryParameter("waitMs"), 0)) };
            removeExpired(stream);
            if (pendingRead.from < stream.nextOffset() || pendingRead.deadlineMs <= monotonicMs())
                return respondToRead(pendingRead, stream);
            stream.waitingReads.push_back(std::move(pendingRead));
        }

        static void respondToRead(const LongPollRead& pendingRead, const Stream& stream)
        {
            json records = json::array();
            bool isExpired = pendingRead.from < stream.firstOffset;
            for (std::int64_t offset = pendingRead.from;
                 !isExpired && offset < stream.nextOffset() && records.size() < pendingRead.maxRecords; ++offset) {
                const Record& record = stream.records[static_cast<std::size_t>(offset - stream.firstOffset)];
                records.push_back({ { "offset", offset }, { "time", record.timeMs }, { "payload", record.payload } });
            }
            json body = { { "first", stream.firstOffset }, { "next", stream.nextOffset() },
                { "records", std::move(records) } };
            pendingRead.exchange->respond(
                isExpired ? 410 : 200, body.dump(-1, ' ', false, json::error_handler_t::replace));
        }

        static void respondToReadyReads(Stream& stream)
        {
            std::list<LongPollRead> readyReads;
            for (auto pendingRead = stream.waitingReads.begin(); pendingRead != stream.waitingReads.end();) {
                auto following = std::next(pendingRead);
                if (pendingRead->from < stream.nextOffset())
                    readyReads.splice(readyReads.end(), stream.waitingReads, pendingRead);
                pendingRead = following;
            }
            for (const LongPollRead& pendingRead : readyReads)
                respondToRead(pendingRead, stream);
        }

        void removeExpired(Stream& stream) const
        {
            std::int64_t oldestRetainedMs = wallClockMs() - static_cast<std::int64_t>(m_retainMs);
            while (!stream.records.empty()
                && (stream.records.size() > m_maxRecords || stream.records.front().timeMs < oldestRetainedMs)) {
                stream.records.pop_front();
                ++stream.firstOffset;
            }
        }

        void tick()
        {
            double now = monotonicMs();
            while (!m_exchangesToDrop.empty()) {
                m_exchangesToDrop.front()->dropConnection();
                m_exchangesToDrop.pop_front();
            }
            while (!m_delayedExchanges.empty() && m_delayedExchanges.front().first <= now) {
                ExchangePointer exchange = m_delayedExchanges.front().second;
                m_delayedExchanges.pop_front();
                process(exchange);
            }
            for (auto& [name, stream] : m_streams) {
                for (auto pendingRead = stream.waitingReads.begin(); pendingRead != stream.waitingReads.end();) {
                    if (m_isUnavailable || pendingRead->deadlineMs <= now || pendingRead->exchange->isClosed()) {
                        if (m_isUnavailable)
                            pendingRead->exchange->respond(503, R"({"error":"the log is unavailable"})");
                        else
                            respondToRead(*pendingRead, stream);
                        pendingRead = stream.waitingReads.erase(pendingRead);
                    } else {
                        ++pendingRead;
                    }
                }
            }
            m_tickTimer.start(tickIntervalMs);
        }

        StandinServer m_server;
        Timer m_tickTimer;
        std::map<std::string, Stream> m_streams;
        std::deque<std::pair<double, ExchangePointer>> m_delayedExchanges;
        std::deque<ExchangePointer> m_exchangesToDrop;
        double m_appendsPerSecond { 500 };
        double m_retainMs { 3'600'000 };
        std::size_t m_maxRecords { 1'000'000 };
        bool m_isUnavailable { false };
        double m_delayMs { 0 };
        double m_responseLossFraction { 0 }; ///< Fraction of the appends whose response is lost.
        double m_responseLossCredit { 0 };
        double m_appendTokens { 0 };
        double m_refilledMs { 0 };
        std::uint64_t m_appends { 0 };
        std::uint64_t m_throttled { 0 };
        std::uint64_t m_lostResponses { 0 };
        std::uint64_t m_reads { 0 };
    };

}

std::unique_ptr<Standin> makeLogService(event_base& base, const nlohmann::json& description)
{
    return std::make_unique<LogService>(base, description);
}

}
