#include "KeyedStore.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace jasminestack::standins {

namespace {

    using nlohmann::json;

    constexpr double checkIntervalMs = 20;

    std::int64_t parseNumber(const std::string& text, std::int64_t fallback)
    {
        std::int64_t value = fallback;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    void appendBigEndian(std::string& bytes, std::uint64_t value, int count)
    {
        for (int i = count - 1; i >= 0; --i)
            bytes += static_cast<char>((value >> static_cast<unsigned>(8 * i)) & 0xffU);
    }

}

KeyedStore::KeyedStore(event_base& base, const std::string& address)
    : m_server(base, address, [this](const ExchangePointer& exchange) { handle(exchange); })
    , m_timer(base, [this] { respondToWaitingReads(); })
{
    m_timer.start(checkIntervalMs);
}

void KeyedStore::put(const std::string& topic, const std::string& key, std::optional<std::string> value)
{
    Topic& target = m_topics[topic];
    std::int64_t offset = target.endOffset();
    if (value)
        target.newest[key] = { offset, *value };
    else
        target.newest.erase(key);
    target.records.push_back({ .key = key, .value = std::move(value) });
}

void KeyedStore::compact(const std::string& topic)
{
    Topic& target = m_topics[topic];
    target.firstOffset = target.endOffset();
    target.records.clear();
}

void KeyedStore::returnFromCopy()
{
    m_topics = m_copy;
    ++m_era;
}

void KeyedStore::respond(
    const ExchangePointer& exchange, int status, std::string_view body, const char* contentType) const
{
    exchange->addHeader("Store-Era", std::to_string(m_era));
    exchange->respond(status, body, contentType);
}

void KeyedStore::setFault(Fault fault)
{
    m_fault = fault;
    if (fault != Fault::Unavailable && fault != Fault::Reset)
        return;
    for (const LongPollRead& waitingRead : std::exchange(m_waitingReads, {}))
        respondWithFault(waitingRead.exchange);
}

std::optional<std::string> KeyedStore::value(const std::string& topic, const std::string& key) const
{
    auto found = m_topics.find(topic);
    if (found == m_topics.end() || !found->second.newest.contains(key))
        return std::nullopt;
    return found->second.newest.at(key).second;
}

void KeyedStore::respondWithFault(const ExchangePointer& exchange) const
{
    if (exchange->isClosed())
        return;
    if (m_fault == Fault::Unavailable)
        respond(exchange, 503, "{}");
    else
        exchange->dropConnection();
}

void KeyedStore::handle(const ExchangePointer& exchange)
{
    ++m_callsByPath[exchange->path()];
    if (m_fault == Fault::Unavailable || m_fault == Fault::Reset)
        respondWithFault(exchange);
    else if (m_fault == Fault::Silent)
        m_unansweredRequests.push_back(exchange);
    else if (exchange->path() == "/v1/log-append")
        append(exchange);
    else if (exchange->path() == "/v1/log-read")
        read(exchange);
    else if (exchange->path() == "/v1/log-newest")
        listNewest(exchange);
    else
        respond(exchange, 404, "{}");
}

void KeyedStore::append(const ExchangePointer& exchange)
{
    // Format of a record: its length in 4 bytes, the length of the key in 1 byte, the key, the value.
    constexpr std::size_t lengthBytes = 4;
    std::string_view body = exchange->body();
    if (body.size() <= lengthBytes) {
        respond(exchange, 400, "{}");
        return;
    }
    body.remove_prefix(lengthBytes);
    auto keyLength = static_cast<std::size_t>(static_cast<unsigned char>(body.front()));
    std::string key(body.substr(1, keyLength));
    std::string value(body.substr(std::min(body.size(), 1 + keyLength)));
    std::string topic = exchange->queryParameter("topic");
    std::int64_t offset = m_topics[topic].endOffset();
    put(topic, key, value.empty() ? std::nullopt : std::optional(value));
    if (m_fault == Fault::LostAnswers)
        exchange->dropConnection();
    else
        respond(exchange, 200, json { { "offset", offset }, { "endOffset", offset + 1 } }.dump());
}

void KeyedStore::read(const ExchangePointer& exchange)
{
    LongPollRead waitingRead { .exchange = exchange,
        .topic = exchange->queryParameter("topic"),
        .from = parseNumber(exchange->queryParameter("from"), 0),
        .earliestMs = monotonicMs() + m_readDelayMs,
        .deadlineMs = monotonicMs() + static_cast<double>(parseNumber(exchange->queryParameter("waitMs"), 0)) };
    auto topic = m_topics.find(waitingRead.topic);
    if (topic == m_topics.end())
        respond(exchange, 404, "{}");
    else if (waitingRead.from < topic->second.firstOffset || waitingRead.from > topic->second.endOffset())
        respond(exchange, 410, json { { "startOffset", topic->second.firstOffset } }.dump());
    else if (waitingRead.from < topic->second.endOffset() && m_readDelayMs == 0)
        respondToRead(waitingRead);
    else
        m_waitingReads.push_back(std::move(waitingRead));
}

void KeyedStore::respondToRead(const LongPollRead& waitingRead)
{
    const Topic& topic = m_topics[waitingRead.topic];
    std::string body;
    appendBigEndian(body, static_cast<std::uint64_t>(topic.endOffset()), 8);
    appendBigEndian(body, static_cast<std::uint64_t>(topic.firstOffset), 8);
    for (std::int64_t offset = std::max(waitingRead.from, topic.firstOffset); offset < topic.endOffset(); ++offset) {
        const Record& record = topic.records[static_cast<std::size_t>(offset - topic.firstOffset)];
        std::string value = record.value.value_or("");
        appendBigEndian(body, 1 + record.key.size() + value.size(), 4);
        body += static_cast<char>(record.key.size());
        body.append(record.key).append(value);
    }
    respond(waitingRead.exchange, 200, body, "application/octet-stream");
}

void KeyedStore::respondToWaitingReads()
{
    double now = monotonicMs();
    m_timer.start(checkIntervalMs);
    if (m_fault == Fault::Silent)
        return;
    std::erase_if(m_waitingReads, [&](const LongPollRead& waitingRead) {
        if (waitingRead.exchange->isClosed())
            return true;
        const Topic& topic = m_topics[waitingRead.topic];
        if (waitingRead.from < topic.firstOffset || waitingRead.from > topic.endOffset()) {
            respond(waitingRead.exchange, 410, json { { "startOffset", topic.firstOffset } }.dump());
            return true;
        }
        bool hasRecords = waitingRead.from < topic.endOffset();
        if (now < waitingRead.earliestMs || (!hasRecords && now < waitingRead.deadlineMs))
            return false;
        respondToRead(waitingRead);
        return true;
    });
}

void KeyedStore::listNewest(const ExchangePointer& exchange)
{
    auto topic = m_topics.find(exchange->queryParameter("topic"));
    if (topic == m_topics.end()) {
        respond(exchange, 404, "{}");
        return;
    }
    json entries = json::array();
    for (const auto& [key, newest] : topic->second.newest)
        entries.push_back(
            { { "key", key }, { "value", absl::Base64Escape(newest.second) }, { "offset", newest.first } });
    respond(exchange, 200,
        json { { "entries", entries }, { "hasMore", false }, { "endOffset", topic->second.endOffset() } }.dump());
}

}
