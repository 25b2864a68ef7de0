#include "EngineOptions.h"
#include "EngineResponse.h"
#include "Standin.h"

#include "base/Hash.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>

namespace jasminestack::standins {

namespace {

    using nlohmann::json;

    // A stream's record is kept this long after its end, so that it can be resumed.
    constexpr double streamRetentionMs = 60'000;
    constexpr std::size_t prefixBytes = 256;
    // Output that a caller has not taken stops generation above this size.
    constexpr std::size_t maxUnsentBytes = 1U << 20U;
    constexpr unsigned fastBurst = 64;

    struct LoadSample {
        double time { 0 };
        unsigned running { 0 };
        std::size_t waiting { 0 };
        bool leaving { false };
    };

    struct Run {
        std::string id;
        std::string workspace;
        std::string marker;
        std::string prefix;
        unsigned promptTokens { 0 };
        std::uint64_t tokens { 0 };
        std::uint64_t first { 0 };
        std::uint64_t next { 0 };
        bool streaming { false };
        double arrived { 0 };
        double decodeStart { 0 };
        bool inSlot { false };
        std::size_t record { 0 };
        ExchangePointer exchange;
        std::unique_ptr<Timer> timer;
    };

    using RunPointer = std::shared_ptr<Run>;

    /// A stream that may be resumed.
    struct StreamRecord {
        Run description;
        double until { 0 };
    };

    class ModelEngine final : public Standin {
    public:
        ModelEngine(event_base& base, const json& description, Journal& journal)
            : m_base(base)
            , m_journal(journal)
            , m_server(
                  base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
        {
            apply(m_options, description);
        }

        void control(const json& change) override
        {
            apply(m_options, change);
            sample();
            if (change.value("silence", false))
                m_server.silenceOpenConnections();
            if (change.contains("silenceAllMs"))
                m_server.silenceAll(change["silenceAllMs"].get<double>());
            if (change.contains("crash"))
                crash(change["crash"].is_number() ? change["crash"].get<double>() : m_options.crashDownMs);
            if (change.contains("dropStreams"))
                dropStreams();
        }

        json state() const override
        {
            return { { "running", m_running }, { "waiting", m_waiting.size() }, { "crashes", m_crashes },
                { "prefixHits", m_prefixHits }, { "prefixMisses", m_prefixMisses }, { "orders", m_orders },
                { "refused", m_refused }, { "lastRefused", m_lastRefused },
                { "connections", m_server.openConnections() } };
        }

        StandinServer& server() override { return m_server; }

    private:
        void handle(const ExchangePointer& exchange)
        {
            const std::string& path = exchange->path();
            if (std::string id = exchange->header("X-Request-Id"); !id.empty())
                exchange->addHeader("X-Request-Id", id);
            if (path == "/load")
                return answerLoad(exchange);
            if (path == "/orders")
                return answerOrder(exchange);
            if (path.starts_with("/v1/streams/"))
                return answerStream(exchange, path.substr(sizeof("/v1/streams/") - 1));
            if (path == "/v1/models")
                return answerModels(exchange);
            if (exchange->method() == "POST" && (path == "/v1/chat/completions" || path == "/v1/completions"))
                return accept(exchange);
            exchange->reply(404, R"({"error":{"message":"no such path"}})");
        }

        void accept(const ExchangePointer& exchange)
        {
            if (m_options.leaving) {
                ++m_refused;
                m_lastRefused = monotonicMs();
                exchange->addHeader("X-Not-Run", "1");
                return exchange->reply(503, R"({"error":{"message":"the engine is leaving"}})");
            }
            if (!m_options.crashMarker.empty() && exchange->body().find(m_options.crashMarker) != std::string::npos) {
                std::ignore = m_journal.add({ .endpoint = m_options.name,
                    .request = exchange->header("X-Request-Id"),
                    .marker = "crash",
                    .arrived = monotonicMs(),
                    .start = monotonicMs(),
                    .end = monotonicMs(),
                    .outcome = "crashed" });
                m_doomed.push_back(exchange);
                return crash(m_options.crashDownMs);
            }
            json body = json::parse(exchange->body(), nullptr, false);
            if (!body.is_object())
                return exchange->reply(400, R"({"error":{"message":"the body is not a JSON object"}})");
            std::string prompt = promptOf(body);
            auto run = std::make_shared<Run>();
            run->id = exchange->header("X-Request-Id");
            run->workspace = exchange->header("X-Workspace");
            run->marker = body.value("user", "");
            run->prefix = prompt.substr(0, prefixBytes);
            run->promptTokens = body.value("prompt_tokens", static_cast<unsigned>(prompt.size() / 4));
            run->tokens = std::max<std::uint64_t>(body.value("max_tokens", 16U), 1);
            run->streaming = body.value("stream", false);
            run->exchange = exchange;
            enqueue(run);
        }

        void enqueue(const RunPointer& run)
        {
            run->arrived = monotonicMs();
            run->exchange->onClosed([this, weak = std::weak_ptr<Run>(run)] {
                if (auto which = weak.lock())
                    finish(which, "cancelled");
            });
            m_runs.push_back(run);
            m_waiting.push_back(run);
            admit();
        }

        void admit()
        {
            while (m_running < m_options.slots && !m_waiting.empty()) {
                RunPointer run = m_waiting.front();
                m_waiting.pop_front();
                start(run);
            }
            sample();
        }

        void start(const RunPointer& run)
        {
            ++m_running;
            run->inSlot = true;
            double now = monotonicMs();
            double prefill = run->promptTokens * m_options.prefillMsPerToken;
            if (touchPrefix(run->prefix))
                prefill *= m_options.warmPrefillFactor;
            run->decodeStart = now + prefill;
            run->record = m_journal.add({ .endpoint = m_options.name,
                .request = run->id,
                .workspace = run->workspace,
                .marker = run->marker,
                .arrived = run->arrived,
                .start = now,
                .decode = run->decodeStart,
                .from = run->first });
            if (!run->id.empty())
                remember(*run);
            if (run->streaming)
                run->exchange->startStream();
            run->timer = std::make_unique<Timer>(m_base, [this, weak = std::weak_ptr<Run>(run)] { step(weak.lock()); });
            schedule(*run);
        }

        void schedule(Run& run)
        {
            std::uint64_t due = run.streaming ? run.next + 1 : run.tokens;
            double at = run.decodeStart + static_cast<double>(due - run.first) * m_options.decodeMsPerToken;
            run.timer->start(at - monotonicMs());
        }

        void step(const RunPointer& run)
        {
            if (!run)
                return;
            if (!run->streaming) {
                run->next = run->tokens;
                run->exchange->reply(200, wholeAnswer(contentOf(*run)));
                return finish(run, "done");
            }
            if (run->exchange->unsent() > maxUnsentBytes) {
                run->timer->start(1);
                return;
            }
            std::uint64_t last = std::min<std::uint64_t>(run->next + fastBurst, run->tokens);
            if (m_options.decodeMsPerToken > 0) {
                double decoded = (monotonicMs() - run->decodeStart) / m_options.decodeMsPerToken;
                last = std::min(run->first + static_cast<std::uint64_t>(std::max(decoded, 0.0)), run->tokens);
            }
            while (run->next < last) {
                run->exchange->chunk(tokenEvent(contentOf(*run), run->next));
                ++run->next;
            }
            if (run->next < run->tokens)
                return schedule(*run);
            run->exchange->chunk(finalEvents(contentOf(*run)));
            run->exchange->endStream();
            finish(run, "done");
        }

        [[nodiscard]] EngineResponse contentOf(const Run& run) const
        {
            return { .id = run.id,
                .marker = run.marker,
                .promptTokens = run.promptTokens,
                .first = run.first,
                .tokens = run.tokens,
                .tokenBytes = m_options.tokenBytes };
        }

        void finish(const RunPointer& run, const char* outcome)
        {
            auto position = std::find(m_runs.begin(), m_runs.end(), run);
            if (position == m_runs.end())
                return;
            m_runs.erase(position);
            std::erase(m_waiting, run);
            if (run->inSlot) {
                run->inSlot = false;
                --m_running;
                settle(*run, outcome);
            }
            if (run->timer)
                run->timer->stop();
            m_finished.push_back(run);
            collect();
            admit();
        }

        void settle(Run& run, const char* outcome)
        {
            RunRecord& record = m_journal.at(run.record);
            record.end = monotonicMs();
            if (!run.streaming && run.next == 0 && m_options.decodeMsPerToken > 0) {
                double decoded = std::max((record.end - run.decodeStart) / m_options.decodeMsPerToken, 0.0);
                run.next = std::min(run.tokens, run.first + static_cast<std::uint64_t>(decoded));
            }
            record.tokens = run.next - run.first;
            record.cost = static_cast<double>(record.tokens) + (run.first == 0 ? run.promptTokens / 4.0 : 0.0);
            record.outcome = outcome;
        }

        // Frees finished runs outside their own timers.
        void collect()
        {
            if (!m_collector)
                m_collector = std::make_unique<Timer>(m_base, [this] { m_finished.clear(); });
            m_collector->start(0);
        }

        void remember(const Run& run)
        {
            double now = monotonicMs();
            StreamRecord& stream = m_streams[run.id];
            stream.description.id = run.id;
            stream.description.workspace = run.workspace;
            stream.description.marker = run.marker;
            stream.description.prefix = run.prefix;
            stream.description.promptTokens = run.promptTokens;
            stream.description.tokens = run.tokens;
            stream.description.streaming = run.streaming;
            stream.until = now + streamRetentionMs;
            if (now > m_nextPurge) {
                std::erase_if(m_streams, [now](const auto& entry) { return entry.second.until < now; });
                m_nextPurge = now + streamRetentionMs / 4;
            }
        }

        RunPointer findRun(const std::string& id) const
        {
            auto position
                = std::find_if(m_runs.begin(), m_runs.end(), [&id](const RunPointer& run) { return run->id == id; });
            return position == m_runs.end() ? nullptr : *position;
        }

        void answerStream(const ExchangePointer& exchange, const std::string& id)
        {
            RunPointer current = findRun(id);
            if (exchange->method() == "DELETE") {
                if (current) {
                    current->exchange->drop();
                    finish(current, "cancelled");
                }
                return exchange->reply(current ? 200 : 404, "{}");
            }
            auto stream = m_streams.find(id);
            std::string text = exchange->query("from", "0");
            std::uint64_t from = 0;
            std::from_chars(text.data(), text.data() + text.size(), from);
            if (stream == m_streams.end() || from > stream->second.description.tokens)
                return exchange->reply(404, R"({"error":{"message":"no such stream"}})");
            if (current) {
                current->exchange->drop();
                finish(current, "cancelled");
            }
            const Run& description = stream->second.description;
            auto run = std::make_shared<Run>();
            run->id = id;
            run->workspace = description.workspace;
            run->marker = description.marker;
            run->prefix = description.prefix;
            run->promptTokens = description.promptTokens;
            run->tokens = description.tokens;
            run->first = from;
            run->next = from;
            run->streaming = true;
            run->exchange = exchange;
            enqueue(run);
        }

        void answerLoad(const ExchangePointer& exchange)
        {
            double seen = monotonicMs() - m_options.loadLagMs;
            while (m_samples.size() > 1 && m_samples[1].time <= seen)
                m_samples.pop_front();
            LoadSample load = m_samples.empty() || m_samples.front().time > seen ? LoadSample {} : m_samples.front();
            json answer = { { "slots", m_options.slots }, { "running", load.running }, { "waiting", load.waiting },
                { "leaving", load.leaving }, { "models", m_options.models },
                { "kvUsed", std::min(1.0, static_cast<double>(load.running) / std::max(m_options.slots, 1U)) },
                { "sequence", ++m_sequence } };
            exchange->reply(200, answer.dump());
        }

        void answerModels(const ExchangePointer& exchange) const
        {
            json data = json::array();
            for (const std::string& model : m_options.models)
                data.push_back({ { "id", model }, { "object", "model" } });
            exchange->reply(200, json({ { "object", "list" }, { "data", std::move(data) } }).dump());
        }

        void answerOrder(const ExchangePointer& exchange)
        {
            std::string text = exchange->header("X-Fencing-Number");
            std::int64_t fence = -1;
            std::from_chars(text.data(), text.data() + text.size(), fence);
            if (m_options.checkFencing && fence < m_fence)
                return exchange->reply(412, json({ { "error", "old fencing number" }, { "newest", m_fence } }).dump());
            m_fence = std::max(m_fence, fence);
            ++m_orders;
            json order = json::parse(exchange->body(), nullptr, false);
            if (order.is_object() && order.contains("model") && order["model"].is_string())
                m_options.models.push_back(order["model"].get<std::string>());
            exchange->reply(200, json({ { "accepted", true } }).dump());
        }

        /// \returns Whether the prefix was cached; it is afterwards.
        bool touchPrefix(const std::string& prefix)
        {
            std::uint64_t key = hash64(prefix);
            auto position = std::find(m_prefixes.begin(), m_prefixes.end(), key);
            bool hit = position != m_prefixes.end();
            if (hit)
                m_prefixes.erase(position);
            m_prefixes.push_front(key);
            if (m_prefixes.size() > m_options.prefixEntries)
                m_prefixes.pop_back();
            ++(hit ? m_prefixHits : m_prefixMisses);
            return hit;
        }

        void sample()
        {
            m_samples.push_back({ .time = monotonicMs(),
                .running = m_running,
                .waiting = m_waiting.size(),
                .leaving = m_options.leaving });
            while (m_samples.size() > 2 && m_samples[1].time < monotonicMs() - m_options.loadLagMs)
                m_samples.pop_front();
        }

        void loseAll(const char* outcome)
        {
            std::list<RunPointer> runs;
            runs.swap(m_runs);
            m_waiting.clear();
            for (const RunPointer& run : runs) {
                if (run->inSlot) {
                    run->inSlot = false;
                    settle(*run, outcome);
                }
                if (run->timer)
                    run->timer->stop();
                run->exchange->onClosed({});
                m_finished.push_back(run);
            }
            m_running = 0;
            collect();
        }

        void crash(double downMs)
        {
            ++m_crashes;
            loseAll("crashed");
            m_streams.clear();
            m_prefixes.clear();
            m_server.crash(downMs, [this] { m_doomed.clear(); });
        }

        // Breaks the connections of running streams; the engine itself lives on and can resume them.
        void dropStreams()
        {
            std::list<RunPointer> runs = m_runs;
            for (const RunPointer& run : runs) {
                if (!run->streaming)
                    continue;
                run->exchange->drop();
                finish(run, "cancelled");
            }
        }

        event_base& m_base;
        Journal& m_journal;
        EngineOptions m_options;
        StandinServer m_server;
        std::list<RunPointer> m_runs;
        std::deque<RunPointer> m_waiting;
        std::vector<RunPointer> m_finished;
        std::vector<ExchangePointer> m_doomed;
        std::unique_ptr<Timer> m_collector;
        std::unordered_map<std::string, StreamRecord> m_streams;
        std::list<std::uint64_t> m_prefixes;
        std::deque<LoadSample> m_samples;
        unsigned m_running { 0 };
        std::uint64_t m_sequence { 0 };
        std::uint64_t m_prefixHits { 0 };
        std::uint64_t m_prefixMisses { 0 };
        std::uint64_t m_crashes { 0 };
        std::uint64_t m_orders { 0 };
        std::uint64_t m_refused { 0 };
        double m_lastRefused { 0 };
        std::int64_t m_fence { -1 };
        double m_nextPurge { 0 };
    };

}

std::unique_ptr<Standin> makeModelEngine(event_base& base, const nlohmann::json& description, Journal& journal)
{
    return std::make_unique<ModelEngine>(base, description, journal);
}

}
