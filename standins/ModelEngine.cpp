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

    // A stream can be resumed for this long after its last start.
    constexpr double streamRetentionMs = 60'000;
    constexpr std::size_t prefixBytes = 256; // Length of the prompt part that the prefix cache compares.
    // Generation pauses while the send buffer holds more than this.
    constexpr std::size_t maxUnsentBytes = 1U << 20U;
    constexpr unsigned maxBurstTokens = 64;

    struct LoadSample {
        double timeMs { 0 };
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
        std::uint64_t tokenCount { 0 };
        std::uint64_t firstToken { 0 };
        std::uint64_t nextToken { 0 };
        bool streaming { false };
        double arrived { 0 };
        double decodeStart { 0 };
        bool inSlot { false };
        std::size_t record { 0 };
        ExchangePointer exchange;
        std::unique_ptr<Timer> timer;
    };

    using RunPointer = std::shared_ptr<Run>;

    /// What is needed to resume a stream.
    struct ResumableStream {
        Run description;
        double expiresMs { 0 };
    };

    /// Stand-in of a model engine with slots, a prefix cache, resumable streams and simulated crashes.
    class ModelEngine final : public Standin {
    public:
        ModelEngine(event_base& base, const json& description, Journal& journal)
            : m_base(base)
            , m_journal(journal)
            , m_server(
                  base, description.value("address", ""), [this](const ExchangePointer& exchange) { handle(exchange); })
        {
            applyChange(m_options, description);
        }

        void control(const json& change) override
        {
            applyChange(m_options, change);
            sampleLoad();
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
                { "refused", m_refused }, { "lastRefused", m_lastRefusedMs },
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
                return respondWithLoad(exchange);
            if (path == "/orders")
                return handleOrder(exchange);
            if (path.starts_with("/v1/streams/"))
                return handleStreamRequest(exchange, path.substr(sizeof("/v1/streams/") - 1));
            if (path == "/v1/models")
                return respondWithModels(exchange);
            if (exchange->method() == "POST" && (path == "/v1/chat/completions" || path == "/v1/completions"))
                return acceptCompletion(exchange);
            exchange->respond(404, R"({"error":{"message":"no such path"}})");
        }

        void acceptCompletion(const ExchangePointer& exchange)
        {
            if (m_options.leaving) {
                ++m_refused;
                m_lastRefusedMs = monotonicMs();
                exchange->addHeader("X-Not-Run", "1");
                return exchange->respond(503, R"({"error":{"message":"the engine is leaving"}})");
            }
            if (!m_options.crashMarker.empty() && exchange->body().find(m_options.crashMarker) != std::string::npos) {
                std::ignore = m_journal.addRun({ .endpoint = m_options.name,
                    .requestId = exchange->header("X-Request-Id"),
                    .marker = "crash",
                    .arrived = monotonicMs(),
                    .start = monotonicMs(),
                    .end = monotonicMs(),
                    .outcome = "crashed" });
                m_crashingExchanges.push_back(exchange);
                return crash(m_options.crashDownMs);
            }
            json body = json::parse(exchange->body(), nullptr, false);
            if (!body.is_object())
                return exchange->respond(400, R"({"error":{"message":"the body is not a JSON object"}})");
            std::string prompt = promptText(body);
            auto run = std::make_shared<Run>();
            run->id = exchange->header("X-Request-Id");
            run->workspace = exchange->header("X-Workspace");
            run->marker = body.value("user", "");
            run->prefix = prompt.substr(0, prefixBytes);
            run->promptTokens = body.value("prompt_tokens", static_cast<unsigned>(prompt.size() / 4));
            run->tokenCount = std::max<std::uint64_t>(body.value("max_tokens", 16U), 1);
            run->streaming = body.value("stream", false);
            run->exchange = exchange;
            enqueue(run);
        }

        void enqueue(const RunPointer& run)
        {
            run->arrived = monotonicMs();
            run->exchange->onClosed([this, weak = std::weak_ptr<Run>(run)] {
                if (auto lockedRun = weak.lock())
                    finish(lockedRun, "cancelled");
            });
            m_runs.push_back(run);
            m_waiting.push_back(run);
            startWaitingRuns();
        }

        void startWaitingRuns()
        {
            while (m_running < m_options.slots && !m_waiting.empty()) {
                RunPointer run = m_waiting.front();
                m_waiting.pop_front();
                start(run);
            }
            sampleLoad();
        }

        void start(const RunPointer& run)
        {
            ++m_running;
            run->inSlot = true;
            double now = monotonicMs();
            double prefillMs = run->promptTokens * m_options.prefillMsPerToken;
            if (usePrefix(run->prefix))
                prefillMs *= m_options.warmPrefillFactor;
            run->decodeStart = now + prefillMs;
            run->record = m_journal.addRun({ .endpoint = m_options.name,
                .requestId = run->id,
                .workspace = run->workspace,
                .marker = run->marker,
                .arrived = run->arrived,
                .start = now,
                .decode = run->decodeStart,
                .from = run->firstToken });
            if (!run->id.empty())
                storeStream(*run);
            if (run->streaming)
                run->exchange->startStream();
            run->timer
                = std::make_unique<Timer>(m_base, [this, weak = std::weak_ptr<Run>(run)] { advance(weak.lock()); });
            scheduleStep(*run);
        }

        void scheduleStep(Run& run)
        {
            std::uint64_t dueToken = run.streaming ? run.nextToken + 1 : run.tokenCount;
            double dueMs
                = run.decodeStart + static_cast<double>(dueToken - run.firstToken) * m_options.decodeMsPerToken;
            run.timer->start(dueMs - monotonicMs());
        }

        void advance(const RunPointer& run)
        {
            if (!run)
                return;
            if (!run->streaming) {
                run->nextToken = run->tokenCount;
                run->exchange->respond(200, completeResponse(responseContent(*run)));
                return finish(run, "done");
            }
            if (run->exchange->unsentBytes() > maxUnsentBytes) {
                run->timer->start(1);
                return;
            }
            std::uint64_t endToken = std::min<std::uint64_t>(run->nextToken + maxBurstTokens, run->tokenCount);
            if (m_options.decodeMsPerToken > 0) {
                double decodedTokens = (monotonicMs() - run->decodeStart) / m_options.decodeMsPerToken;
                endToken = std::min(
                    run->firstToken + static_cast<std::uint64_t>(std::max(decodedTokens, 0.0)), run->tokenCount);
            }
            while (run->nextToken < endToken) {
                run->exchange->sendChunk(tokenEvent(responseContent(*run), run->nextToken));
                ++run->nextToken;
            }
            if (run->nextToken < run->tokenCount)
                return scheduleStep(*run);
            run->exchange->sendChunk(finalEvents(responseContent(*run)));
            run->exchange->endStream();
            finish(run, "done");
        }

        [[nodiscard]] EngineResponse responseContent(const Run& run) const
        {
            return { .id = run.id,
                .marker = run.marker,
                .promptTokens = run.promptTokens,
                .firstToken = run.firstToken,
                .tokenCount = run.tokenCount,
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
                recordEnd(*run, outcome);
            }
            if (run->timer)
                run->timer->stop();
            m_finished.push_back(run);
            scheduleCleanup();
            startWaitingRuns();
        }

        void recordEnd(Run& run, const char* outcome)
        {
            RunRecord& record = m_journal.run(run.record);
            record.end = monotonicMs();
            if (!run.streaming && run.nextToken == 0 && m_options.decodeMsPerToken > 0) {
                double decodedTokens = std::max((record.end - run.decodeStart) / m_options.decodeMsPerToken, 0.0);
                run.nextToken = std::min(run.tokenCount, run.firstToken + static_cast<std::uint64_t>(decodedTokens));
            }
            record.tokenCount = run.nextToken - run.firstToken;
            record.cost = static_cast<double>(record.tokenCount) + (run.firstToken == 0 ? run.promptTokens / 4.0 : 0.0);
            record.outcome = outcome;
        }

        // Frees finished runs later, since a run's timer must not be freed in its own callback.
        void scheduleCleanup()
        {
            if (!m_cleanupTimer)
                m_cleanupTimer = std::make_unique<Timer>(m_base, [this] { m_finished.clear(); });
            m_cleanupTimer->start(0);
        }

        void storeStream(const Run& run)
        {
            double now = monotonicMs();
            ResumableStream& stream = m_streams[run.id];
            stream.description.id = run.id;
            stream.description.workspace = run.workspace;
            stream.description.marker = run.marker;
            stream.description.prefix = run.prefix;
            stream.description.promptTokens = run.promptTokens;
            stream.description.tokenCount = run.tokenCount;
            stream.description.streaming = run.streaming;
            stream.expiresMs = now + streamRetentionMs;
            if (now > m_nextPurgeMs) {
                std::erase_if(m_streams, [now](const auto& entry) { return entry.second.expiresMs < now; });
                m_nextPurgeMs = now + streamRetentionMs / 4;
            }
        }

        RunPointer findRun(const std::string& id) const
        {
            auto position
                = std::find_if(m_runs.begin(), m_runs.end(), [&id](const RunPointer& run) { return run->id == id; });
            return position == m_runs.end() ? nullptr : *position;
        }

        void handleStreamRequest(const ExchangePointer& exchange, const std::string& id)
        {
            RunPointer current = findRun(id);
            if (exchange->method() == "DELETE") {
                if (current) {
                    current->exchange->dropConnection();
                    finish(current, "cancelled");
                }
                return exchange->respond(current ? 200 : 404, "{}");
            }
            auto stream = m_streams.find(id);
            std::string text = exchange->queryParameter("from", "0");
            std::uint64_t from = 0;
            std::from_chars(text.data(), text.data() + text.size(), from);
            if (stream == m_streams.end() || from > stream->second.description.tokenCount)
                return exchange->respond(404, R"({"error":{"message":"no such stream"}})");
            if (current) {
                current->exchange->dropConnection();
                finish(current, "cancelled");
            }
            const Run& description = stream->second.description;
            auto run = std::make_shared<Run>();
            run->id = id;
            run->workspace = description.workspace;
            run->marker = description.marker;
            run->prefix = description.prefix;
            run->promptTokens = description.promptTokens;
            run->tokenCount = description.tokenCount;
            run->firstToken = from;
            run->nextToken = from;
            run->streaming = true;
            run->exchange = exchange;
            enqueue(run);
        }

        void respondWithLoad(const ExchangePointer& exchange)
        {
            double reportedMs = monotonicMs() - m_options.loadLagMs;
            while (m_loadSamples.size() > 1 && m_loadSamples[1].timeMs <= reportedMs)
                m_loadSamples.pop_front();
            LoadSample load = m_loadSamples.empty() || m_loadSamples.front().timeMs > reportedMs
                ? LoadSample {}
                : m_loadSamples.front();
            json response = { { "slots", m_options.slots }, { "running", load.running }, { "waiting", load.waiting },
                { "leaving", load.leaving }, { "models", m_options.models },
                { "kvUsed", std::min(1.0, static_cast<double>(load.running) / std::max(m_options.slots, 1U)) },
                { "sequence", ++m_sequence } };
            exchange->respond(200, response.dump());
        }

        void respondWithModels(const ExchangePointer& exchange) const
        {
            json data = json::array();
            for (const std::string& model : m_options.models)
                data.push_back({ { "id", model }, { "object", "model" } });
            exchange->respond(200, json({ { "object", "list" }, { "data", std::move(data) } }).dump());
        }

        void handleOrder(const ExchangePointer& exchange)
        {
            std::string text = exchange->header("X-Fencing-Number");
            std::int64_t fencingNumber = -1;
            std::from_chars(text.data(), text.data() + text.size(), fencingNumber);
            if (m_options.checkFencing && fencingNumber < m_newestFencingNumber)
                return exchange->respond(
                    412, json({ { "error", "old fencing number" }, { "newest", m_newestFencingNumber } }).dump());
            m_newestFencingNumber = std::max(m_newestFencingNumber, fencingNumber);
            ++m_orders;
            json order = json::parse(exchange->body(), nullptr, false);
            if (order.is_object() && order.contains("model") && order["model"].is_string())
                m_options.models.push_back(order["model"].get<std::string>());
            exchange->respond(200, json({ { "accepted", true } }).dump());
        }

        /// \brief Makes the prefix the newest entry of the prefix cache.
        /// \returns Whether the prefix was cached before.
        bool usePrefix(const std::string& prefix)
        {
            std::uint64_t key = hash64(prefix);
            auto position = std::find(m_prefixes.begin(), m_prefixes.end(), key);
            bool isCached = position != m_prefixes.end();
            if (isCached)
                m_prefixes.erase(position);
            m_prefixes.push_front(key);
            if (m_prefixes.size() > m_options.prefixEntries)
                m_prefixes.pop_back();
            ++(isCached ? m_prefixHits : m_prefixMisses);
            return isCached;
        }

        void sampleLoad()
        {
            m_loadSamples.push_back({ .timeMs = monotonicMs(),
                .running = m_running,
                .waiting = m_waiting.size(),
                .leaving = m_options.leaving });
            while (m_loadSamples.size() > 2 && m_loadSamples[1].timeMs < monotonicMs() - m_options.loadLagMs)
                m_loadSamples.pop_front();
        }

        void endAllRuns(const char* outcome)
        {
            std::list<RunPointer> runs;
            runs.swap(m_runs);
            m_waiting.clear();
            for (const RunPointer& run : runs) {
                if (run->inSlot) {
                    run->inSlot = false;
                    recordEnd(*run, outcome);
                }
                if (run->timer)
                    run->timer->stop();
                run->exchange->onClosed({});
                m_finished.push_back(run);
            }
            m_running = 0;
            scheduleCleanup();
        }

        void crash(double downMs)
        {
            ++m_crashes;
            endAllRuns("crashed");
            m_streams.clear();
            m_prefixes.clear();
            m_server.crash(downMs, [this] { m_crashingExchanges.clear(); });
        }

        // Closes the connections of running streams; the engine keeps running and can resume the streams.
        void dropStreams()
        {
            std::list<RunPointer> runs = m_runs;
            for (const RunPointer& run : runs) {
                if (!run->streaming)
                    continue;
                run->exchange->dropConnection();
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
        std::vector<ExchangePointer> m_crashingExchanges;
        std::unique_ptr<Timer> m_cleanupTimer;
        std::unordered_map<std::string, ResumableStream> m_streams;
        std::list<std::uint64_t> m_prefixes;
        std::deque<LoadSample> m_loadSamples;
        unsigned m_running { 0 };
        std::uint64_t m_sequence { 0 };
        std::uint64_t m_prefixHits { 0 };
        std::uint64_t m_prefixMisses { 0 };
        std::uint64_t m_crashes { 0 };
        std::uint64_t m_orders { 0 };
        std::uint64_t m_refused { 0 };
        double m_lastRefusedMs { 0 };
        std::int64_t m_newestFencingNumber { -1 };
        double m_nextPurgeMs { 0 };
    };

}

std::unique_ptr<Standin> makeModelEngine(event_base& base, const nlohmann::json& description, Journal& journal)
{
    return std::make_unique<ModelEngine>(base, description, journal);
}

}
