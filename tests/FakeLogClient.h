#pragma once

#include "net/Interfaces.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminestack {

/// The platform's log as clients see it, with faults on demand. Callbacks run in pump(), never inside a call.
class FakeLogClient final : public LogClient {
public:
    enum class AppendFault { None, LoseAnswer, LoseRequest, Delay, HoldAnswer };

    explicit FakeLogClient(const Clock& clock)
        : m_clock(clock)
    {
    }

    bool isUnavailable { false };
    bool hangReads { false }; ///< New reads get no answer while set, until the client's time limit.
    bool hangOnlyWaiting { false }; ///< Reads that may wait get no answer, as over a connection that went silent.
    AppendFault appendFault { AppendFault::None }; ///< Applies to each append.
    std::map<std::string, std::int64_t, std::less<>> first; ///< First retained offset.
    std::map<std::string, std::vector<LogRecord>, std::less<>> streams;
    unsigned appends { 0 };
    unsigned reads { 0 };

    std::int64_t put(std::string_view stream, std::string_view payload)
    {
        auto& records = streams[std::string(stream)];
        auto offset = static_cast<std::int64_t>(records.size());
        records.push_back(
            { .offset = offset, .timestampMs = m_clock.wallTime().count, .payload = std::string(payload) });
        return offset;
    }

    /// Makes appends that were delayed in the service take effect.
    void releaseDelayed()
    {
        for (auto& [stream, payload] : std::exchange(m_delayed, {}))
            put(stream, payload);
    }

    /// Delivers held answers.
    void releaseAnswers()
    {
        for (auto& callback : std::exchange(m_held, {}))
            m_ready.push_back(std::move(callback));
    }

    void append(std::string_view stream, std::string_view payload, AppendCallback callback) override
    {
        ++appends;
        if (isUnavailable) {
            m_ready.push_back([callback] { callback(Error { .kind = ErrorKind::LogUnavailable, .message = "503" }); });
            return;
        }
        auto lost = [callback] { callback(Error { .kind = ErrorKind::EndpointTimeout, .message = "no answer" }); };
        switch (appendFault) {
        case AppendFault::LoseRequest:
            m_ready.push_back(lost);
            return;
        case AppendFault::Delay:
            m_delayed.emplace_back(stream, payload);
            m_ready.push_back(lost);
            return;
        case AppendFault::LoseAnswer:
            put(stream, payload);
            m_ready.push_back(lost);
            return;
        case AppendFault::HoldAnswer: {
            std::int64_t offset = put(stream, payload);
            m_held.push_back([callback, offset] { callback(offset); });
            return;
        }
        case AppendFault::None:
            std::int64_t offset = put(stream, payload);
            m_ready.push_back([callback, offset] { callback(offset); });
            return;
        }
    }

    void read(
        std::string_view stream, std::int64_t from, unsigned maxRecords, Millis wait, ReadCallback callback) override
    {
        ++reads;
        if (isUnavailable) {
            m_ready.push_back([callback] { callback(Error { .kind = ErrorKind::LogUnavailable, .message = "503" }); });
            return;
        }
        m_reads.push_back({ .stream = std::string(stream),
            .from = from,
            .max = maxRecords,
            .until = m_clock.now() + wait,
            .hangs = hangReads || (hangOnlyWaiting && wait > Millis {}),
            .callback = std::move(callback) });
    }

    /// Answers everything that is due. The bound on rounds ends a test whose client reads in a loop.
    void pump()
    {
        for (int round = 0; round < 1'000; ++round) {
            collectReads();
            if (m_ready.empty())
                return;
            for (auto& callback : std::exchange(m_ready, {}))
                callback();
        }
    }

private:
    struct PendingRead {
        std::string stream;
        std::int64_t from { 0 };
        unsigned max { 0 };
        Millis until {};
        bool hangs { false };
        ReadCallback callback;
    };

    void collectReads()
    {
        for (auto& read : std::exchange(m_reads, {})) {
            auto callback = read.callback;
            bool late = m_clock.now() >= read.until;
            if (read.hangs || (isUnavailable && late)) {
                if (m_clock.now() < read.until + Millis { 5'000 })
                    m_reads.push_back(std::move(read));
                else
                    m_ready.push_back(
                        [callback] { callback(Error { .kind = ErrorKind::LogUnavailable, .message = "timeout" }); });
                continue;
            }
            LogBatch batch { .firstRetainedOffset = first[read.stream] };
            const auto& records = streams[read.stream];
            batch.endOffset = static_cast<std::int64_t>(records.size());
            for (auto at = read.from;
                 at >= batch.firstRetainedOffset && at < batch.endOffset && batch.records.size() < read.max; ++at)
                batch.records.push_back(records[static_cast<std::size_t>(at)]);
            bool answer = !batch.records.empty() || read.from < batch.firstRetainedOffset || late;
            if (!answer || isUnavailable)
                m_reads.push_back(std::move(read));
            else
                m_ready.push_back([callback, batch] { callback(batch); });
        }
    }

    const Clock& m_clock;
    std::vector<PendingRead> m_reads;
    std::vector<std::function<void()>> m_ready;
    std::vector<std::function<void()>> m_held;
    std::vector<std::pair<std::string, std::string>> m_delayed;
};

}
