#include "ResponseChecker.h"

#include <nlohmann/json.hpp>

namespace jasminestack::standins {

using nlohmann::json;

void ResponseChecker::reset(std::string marker, std::uint64_t tokens, bool streaming)
{
    m_marker = std::move(marker);
    m_tokens = tokens;
    m_next = 0;
    m_usage = !streaming;
    m_done = !streaming;
    m_wrong = false;
    m_error.clear();
    m_pending.clear();
}

std::uint64_t ResponseChecker::feed(std::string_view data)
{
    std::uint64_t before = m_next;
    m_pending.append(data);
    std::size_t start = 0;
    for (auto end = m_pending.find("\n\n"); end != std::string::npos; end = m_pending.find("\n\n", start)) {
        handleEvent(std::string_view(m_pending).substr(start, end - start));
        start = end + 2;
    }
    m_pending.erase(0, start);
    return m_next - before;
}

void ResponseChecker::handleEvent(std::string_view event)
{
    if (event.starts_with("event: error")) {
        auto data = event.find("data: ");
        m_error = data == std::string_view::npos ? "{}" : std::string(event.substr(data + 6));
        return;
    }
    if (m_done || !m_error.empty()) {
        m_wrong = true;
        return;
    }
    if (event.ends_with("data: [DONE]")) {
        m_done = true;
        return;
    }
    constexpr std::string_view field = "\"content\":\"";
    auto content = event.find(field);
    if (content == std::string_view::npos) {
        m_usage = m_usage || event.find("\"usage\"") != std::string_view::npos;
        return;
    }
    std::string expected = m_marker + ":" + std::to_string(m_next) + " ";
    if (event.substr(content + field.size()).starts_with(expected))
        ++m_next;
    else
        m_wrong = true;
}

void ResponseChecker::checkWhole(const std::string& body)
{
    json answer = json::parse(body, nullptr, false);
    std::string expected;
    for (std::uint64_t i = 0; i < m_tokens; ++i)
        expected += m_marker + ":" + std::to_string(i) + " ";
    json::json_pointer content("/choices/0/message/content");
    if (!answer.is_object() || !answer.contains(content) || !answer[content].is_string())
        return;
    std::string text = answer[content].get<std::string>();
    if (text == expected)
        m_next = m_tokens;
    else if (!expected.starts_with(text))
        m_wrong = true;
}

}
