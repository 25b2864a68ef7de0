#include "ResponseChecker.h"

#include <nlohmann/json.hpp>

namespace jasminestack::standins {

using nlohmann::json;

void ResponseChecker::reset(std::string marker, std::uint64_t tokens, bool streaming)
{
    m_marker = std::move(marker);
    m_expectedTokens = tokens;
    m_nextToken = 0;
    m_hasUsage = !streaming;
    m_hasEndMarker = !streaming;
    m_isWrong = false;
    m_error.clear();
    m_unparsed.clear();
}

std::uint64_t ResponseChecker::addData(std::string_view data)
{
    std::uint64_t before = m_nextToken;
    m_unparsed.append(data);
    std::size_t start = 0;
    for (auto end = m_unparsed.find("\n\n"); end != std::string::npos; end = m_unparsed.find("\n\n", start)) {
        handleEvent(std::string_view(m_unparsed).substr(start, end - start));
        start = end + 2;
    }
    m_unparsed.erase(0, start);
    return m_nextToken - before;
}

void ResponseChecker::handleEvent(std::string_view event)
{
    if (event.starts_with("event: error")) {
        auto data = event.find("data: ");
        m_error = data == std::string_view::npos ? "{}" : std::string(event.substr(data + 6));
        return;
    }
    if (m_hasEndMarker || !m_error.empty()) {
        m_isWrong = true;
        return;
    }
    if (event.ends_with("data: [DONE]")) {
        m_hasEndMarker = true;
        return;
    }
    constexpr std::string_view field = "\"content\":\"";
    auto content = event.find(field);
    if (content == std::string_view::npos) {
        m_hasUsage = m_hasUsage || event.find("\"usage\"") != std::string_view::npos;
        return;
    }
    std::string expected = m_marker + ":" + std::to_string(m_nextToken) + " ";
    if (event.substr(content + field.size()).starts_with(expected))
        ++m_nextToken;
    else
        m_isWrong = true;
}

void ResponseChecker::checkBody(const std::string& body)
{
    json response = json::parse(body, nullptr, false);
    std::string expected;
    for (std::uint64_t i = 0; i < m_expectedTokens; ++i)
        expected += m_marker + ":" + std::to_string(i) + " ";
    json::json_pointer content("/choices/0/message/content");
    if (!response.is_object() || !response.contains(content) || !response[content].is_string())
        return;
    std::string text = response[content].get<std::string>();
    if (text == expected)
        m_nextToken = m_expectedTokens;
    else if (!expected.starts_with(text))
        m_isWrong = true;
}

}
