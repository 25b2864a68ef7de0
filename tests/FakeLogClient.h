#pragma once

#include "net/Interfaces.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminestack {

/// In-memory implementation of the platform's log with fault injection. Callbacks run in pump(), never inside append()
/// or read().
class FakeLogClient final : public LogClient {
public:
    enum class AppendFault { None, LoseResponse, LoseRequest, Delay, HoldResponse };

    explicit FakeLogClient(const Clock& clock)
        : m_clock(clock)
    {
    }

    bool isUnavailable { false };
    bool hangReads { false }; ///< Reads started while this is set get no response until the client's timeout.
    bool hangWaitingReads { false }; ///< Only long-poll reads get no response, as over a stalled connection.
    AppendFault appendFault { AppendFault::None }; ///< Fault applied to each append.
    std::map<std::string, std::int64_t, std::less<>> firstRetainedOffsets; ///< First retained offset of each stream.
    std::map<std::string, std::vector<LogRecord>, std::less<>> streams;
    unsigned appendCount { 0 };
    unsigned readCount { 0 };

    std::int64_t put(std::string_view stream, std::string_view payload)
    {
        auto& records = streams[std::string(stream)];
        auto offset = static_cast<std::int64_t>(records.size());
        records.push_back(
            { .offset = offset, .timestampMs = m_clock.wallTime().count, .payload = std::string(payload) });
        return offset;
    }

    /// Appends the records that were held back by AppendFault::Delay.
    void releaseDelayedAppends()
    {
        for (auto& [stream, payload] : std::exchange(m_delayedAppends, {}))
            put(stream, payload);
    }

    /// Makes the responses that were held back by AppendFault::HoldResponse ready for the next pump().
    void releaseResponses()
    {
        for (auto& callback : std::exchange(m_heldResponses, {}))
            m_readyCallbacks.push_back(std::move(callback));
    }

    void append(std::string_view stream, std::string_view payload, AppendCallback callback) override
    {
        ++appendCount;
        if (isUnavailable) {
            m_readyCallbacks.push_back(
                [callback] { callback(Error { .kind = ErrorKind::LogUnavailable, .message = "503" }); });
            return;
        }
        auto reportLost
            = [callback] { callback(Error { .kind = ErrorKind::EndpointTimeout, .message = "no response" }); };
        switch (appendFault) {
        case AppendFault::LoseRequest:
            m_readyCallbacks.push_back(reportLost);
            return;
        case AppendFault::Delay:
            m_delayedAppends.emplace_back(stream, payload);
            m_readyCallbacks.push_back(reportLost);
            return;
        case AppendFault::LoseResponse:
            put(stream, payload);
            m_readyCallbacks.push_back(reportLost);
            return;
        case AppendFault::HoldResponse: {
            std::int64_t offset = put(stream, payload);
            m_heldResponses.push_back([callback, offset] { callback(offset); });
            return;
        }
        case AppendFault::None:
            std::int64_t offset = put(stream, payload);
            m_readyCallbacks.push_back([callback, offset] { callback(offset); });
            return;
        }
    }

    void read(
        std::string_view stream, std::int64_t from, unsigned maxRecords, Millis wait, ReadCallback callback) override
    {
        ++readCount;
        if (isUnavailable) {
            m_readyCallbacks.push_back(
                [callback] { callback(Error { .kind = ErrorKind::LogUnavailable, .message = "503" }); });
            return;
        }
        m_pendingReads.push_back({ .stream = std::string(stream),
            .from = from,
            .maxRecords = maxRecords,
            .waitUntil = m_clock.now() + wait,
            .hangs = hangReads || (hangWaitingReads && wait > Millis {}),
            .callback = std::move(callback) });
    }

    /// Runs the callbacks of all completed requests. The limit on rounds ends a test whose client reads in a loop.
    void pump()
    {
        for (int round = 0; round < 1'000; ++round) {
            completeReads();
            if (m_readyCallbacks.empty())
                return;
            for (auto& callback : std::exchange(m_readyCallbacks, {}))
                callback();
        }
    }

private:
    struct PendingRead {
        std::string stream;
        std::int64_t from { 0 };
        unsigned maxRecords { 0 };
        Millis waitUntil {};
        bool hangs { false };
        ReadCallback callback;
    };

    void completeReads()
    {
        for (auto& read : std::exchange(m_pendingReads, {})) {
            auto callback = read.callback;
            bool isWaitOver = m_clock.now() >= read.waitUntil;
            if (read.hangs || (isUnavailable && isWaitOver)) {
                if (m_clock.now() < read.waitUntil + Millis { 5'000 })
                    m_pendingReads.push_back(std::move(read));
                else
                    m_readyCallbacks.push_back(
                        [callback] { callback(Error { .kind = ErrorKind::LogUnavailable, .message = "timeout" }); });
                continue;
            }
            LogBatch batch { .firstRetainedOffset = firstRetainedOffsets[read.stream] };
            const auto& records = streams[read.stream];
            batch.endOffset = static_cast<std::int64_t>(records.size());
            for (auto offset = read.from; offset >= batch.firstRetainedOffset && offset < batch.endOffset
                 && batch.records.size() < read.maxRecords;
                 ++offset)
                batch.records.push_back(records[static_cast<std::size_t>(offset)]);
            bool hasResponse = !batch.records.empty() || read.from < batch.firstRetainedOffset || isWaitOver;
            if (!hasResponse || isUnavailable)
                m_pendingReads.push_back(std::move(read));
            else
                m_readyCallbacks.push_back([callback, batch] { callback(batch); });
        }
    }

    const Clock& m_clock;
    std::vector<PendingRead> m_pendingReads;
    std::vector<std::function<void()>> m_readyCallbacks;
    std::vector<std::function<void()>> m_heldResponses;
    std::vector<std::pair<std::string, std::string>> m_delayedAppends;
};

}
