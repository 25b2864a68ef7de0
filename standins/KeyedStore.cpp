#include "KeyedStore.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace jasminestack::standins {

namespace {

    using nlohmann::json;

    constexpr double tickMs = 20;

    std::int64_t number(const std::string& text, std::int64_t fallback)
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
    , m_timer(base, [this] { answerHeldReads(); })
{
    m_timer.start(tickMs);
}

void KeyedStore::put(const std::string& topic, const std::string& key, std::optional<std::string> value)
{
    Topic& target = m_topics[topic];
    std::int64_t offset = target.end();
    if (value)
        target.newest[key] = { offset, *value };
    else
        target.newest.erase(key);
    target.records.push_back({ .key = key, .value = std::move(value) });
}

void KeyedStore::compact(const std::string& topic)
{
    Topic& target = m_topics[topic];
    target.first = target.end();
    target.records.clear();
}

void KeyedStore::setFault(Fault fault)
{
    m_fault = fault;
    if (fault != Fault::Unavailable && fault != Fault::Reset)
        return;
    for (const LongPollRead& held : std::exchange(m_held, {}))
        fail(held.exchange);
}

std::optional<std::string> KeyedStore::value(const std::string& topic, const std::string& key) const
{
    auto found = m_topics.find(topic);
    if (found == m_topics.end() || !found->second.newest.contains(key))
        return std::nullopt;
    return found->second.newest.at(key).second;
}

void KeyedStore::fail(const ExchangePointer& exchange) const
{
    if (exchange->closed())
        return;
    if (m_fault == Fault::Unavailable)
        exchange->reply(503, "{}");
    else
        exchange->drop();
}

void KeyedStore::handle(const ExchangePointer& exchange)
{
    ++m_calls[exchange->path()];
    if (m_fault == Fault::Unavailable || m_fault == Fault::Reset)
        fail(exchange);
    else if (exchange->path() == "/v1/log-append")
        append(exchange);
    else if (exchange->path() == "/v1/log-read")
        read(exchange);
    else if (exchange->path() == "/v1/log-newest")
        list(exchange);
    else
        exchange->reply(404, "{}");
}

void KeyedStore::append(const ExchangePointer& exchange)
{
    // One record: its length, the length of the key, key and value.
    constexpr std::size_t lengthBytes = 4;
    std::string_view body = exchange->body();
    if (body.size() <= lengthBytes) {
        exchange->reply(400, "{}");
        return;
    }
    body.remove_prefix(lengthBytes);
    auto keyLength = static_cast<std::size_t>(static_cast<unsigned char>(body.front()));
    std::string key(body.substr(1, keyLength));
    std::string value(body.substr(std::min(body.size(), 1 + keyLength)));
    std::string topic = exchange->query("topic");
    std::int64_t offset = m_topics[topic].end();
    put(topic, key, value.empty() ? std::nullopt : std::optional(value));
    if (m_fault == Fault::LostAnswers)
        exchange->drop();
    else
        exchange->reply(200, json { { "offset", offset }, { "endOffset", offset + 1 } }.dump());
}

void KeyedStore::read(const ExchangePointer& exchange)
{
    LongPollRead held { .exchange = exchange,
        .topic = exchange->query("topic"),
        .from = number(exchange->query("from"), 0),
        .until = monotonicMs() + static_cast<double>(number(exchange->query("waitMs"), 0)) };
    auto topic = m_topics.find(held.topic);
    if (topic == m_topics.end())
        exchange->reply(404, "{}");
    else if (held.from < topic->second.first)
        exchange->reply(410, json { { "startOffset", topic->second.first } }.dump());
    else if (held.from < topic->second.end())
        answerRead(held);
    else
        m_held.push_back(std::move(held));
}

void KeyedStore::answerRead(const LongPollRead& held)
{
    const Topic& topic = m_topics[held.topic];
    std::string body;
    appendBigEndian(body, static_cast<std::uint64_t>(topic.end()), 8);
    appendBigEndian(body, static_cast<std::uint64_t>(topic.first), 8);
    for (std::int64_t offset = std::max(held.from, topic.first); offset < topic.end(); ++offset) {
        const Record& record = topic.records[static_cast<std::size_t>(offset - topic.first)];
        std::string value = record.value.value_or("");
        appendBigEndian(body, 1 + record.key.size() + value.size(), 4);
        body += static_cast<char>(record.key.size());
        body.append(record.key).append(value);
    }
    held.exchange->reply(200, body, "application/octet-stream");
}

void KeyedStore::answerHeldReads()
{
    double now = monotonicMs();
    std::erase_if(m_held, [&](const LongPollRead& held) {
        if (held.exchange->closed())
            return true;
        const Topic& topic = m_topics[held.topic];
        if (held.from < topic.first) {
            held.exchange->reply(410, json { { "startOffset", topic.first } }.dump());
            return true;
        }
        if (held.from >= topic.end() && now < held.until)
            return false;
        answerRead(held);
        return true;
    });
    m_timer.start(tickMs);
}

void KeyedStore::list(const ExchangePointer& exchange)
{
    auto topic = m_topics.find(exchange->query("topic"));
    if (topic == m_topics.end()) {
        exchange->reply(404, "{}");
        return;
    }
    json entries = json::array();
    for (const auto& [key, newest] : topic->second.newest)
        entries.push_back(
            { { "key", key }, { "value", absl::Base64Escape(newest.second) }, { "offset", newest.first } });
    exchange->reply(
        200, json { { "entries", entries }, { "hasMore", false }, { "endOffset", topic->second.end() } }.dump());
}

}
