#include "net/HttpResponseParser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace jasminestack {

namespace {

    // Endpoints are trusted less than the daemon's own memory limit: a head above this size ends the exchange.
    constexpr std::size_t maxHeadBytes = 64U << 10U;
    constexpr unsigned maxChunkSizeDigits = 15;

    constexpr char lower(char c) noexcept { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

    std::string_view trim(std::string_view text) noexcept
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
            text.remove_suffix(1);
        return text;
    }

    int hexDigit(char c) noexcept
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        c = lower(c);
        return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    }

}

bool equalHeaderNames(std::string_view a, std::string_view b) noexcept
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view findHeader(
    std::span<const std::pair<std::string, std::string>> headers, std::string_view name) noexcept
{
    for (const auto& [key, value] : headers) {
        if (equalHeaderNames(key, name))
            return value;
    }
    return {};
}

bool isNonForwardedHeader(std::string_view name) noexcept
{
    static constexpr std::array<std::string_view, 12> names { "connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
        "host", "expect" };
    return std::any_of(
        names.begin(), names.end(), [&](std::string_view listed) { return equalHeaderNames(listed, name); });
}

std::string_view HttpResponseParser::feed(std::span<char> data)
{
    std::size_t position = 0;
    std::size_t bodyStart = 0;
    std::size_t bodyEnd = 0;
    auto keep = [&](std::size_t length) {
        if (bodyStart == bodyEnd)
            bodyStart = bodyEnd = position;
        else if (bodyEnd != position)
            std::memmove(data.data() + bodyEnd, data.data() + position, length);
        bodyEnd += length;
        position += length;
    };

    while (position < data.size() && m_state != State::Failed) {
        std::size_t available = data.size() - position;
        switch (m_state) {
        case State::Head:
            position += feedHead({ data.data() + position, available });
            break;
        case State::Length:
        case State::ChunkData: {
            auto length = static_cast<std::size_t>(std::min<std::uint64_t>(available, m_left));
            keep(length);
            m_left -= length;
            if (m_left == 0)
                m_state = m_state == State::Length ? State::Done : State::ChunkEnd;
            break;
        }
        case State::UntilClose:
            keep(available);
            break;
        case State::ChunkSize:
            feedChunkSize(data[position++]);
            break;
        case State::ChunkEnd: {
            char byte = data[position++];
            if (byte == '\n') {
                m_state = State::ChunkSize;
                m_digits = 0;
                m_inExtension = false;
            } else if (byte != '\r') {
                m_state = State::Failed;
            }
            break;
        }
        case State::Trailer:
            feedTrailer(data[position++]);
            break;
        case State::Done:
            m_excess = true;
            m_consumed = position;
            return { data.data() + bodyStart, bodyEnd - bodyStart };
        case State::Failed:
            break;
        }
    }
    m_consumed = position;
    return { data.data() + bodyStart, bodyEnd - bodyStart };
}

void HttpResponseParser::endOfInput() noexcept
{
    if (m_state == State::UntilClose)
        m_state = State::Done;
    m_keepAlive = false;
}

std::size_t HttpResponseParser::feedHead(std::string_view data)
{
    // The blank line may be split over two reads.
    std::size_t before = m_text.size();
    m_text.append(data);
    std::size_t end = m_text.find("\r\n\r\n", before < 3 ? 0 : before - 3);
    if (end == std::string::npos) {
        if (m_text.size() > maxHeadBytes)
            m_state = State::Failed;
        return data.size();
    }
    std::size_t headBytes = end + 4;
    if (!parseHead(std::string_view(m_text).substr(0, end))) {
        m_state = State::Failed;
        return data.size();
    }
    m_text.clear();
    if (m_head.status >= 100 && m_head.status < 200)
        m_head = {}; // Interim response; the final one follows.
    else
        chooseFraming();
    return headBytes - before;
}

bool HttpResponseParser::parseHead(std::string_view text)
{
    std::size_t lineEnd = text.find("\r\n");
    std::string_view line = text.substr(0, lineEnd);
    if (!line.starts_with("HTTP/1.") || line.size() < 12 || line[8] != ' ')
        return false;
    m_keepAlive = line[7] != '0';
    auto parsed = std::from_chars(line.data() + 9, line.data() + 12, m_head.status);
    if (parsed.ec != std::errc {} || parsed.ptr != line.data() + 12)
        return false;
    while (lineEnd != std::string_view::npos) {
        text.remove_prefix(lineEnd + 2);
        lineEnd = text.find("\r\n");
        line = text.substr(0, lineEnd);
        std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            return false;
        m_head.headers.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
    }
    return true;
}

void HttpResponseParser::chooseFraming()
{
    std::string_view connection = findHeader(m_head.headers, "Connection");
    if (equalHeaderNames(connection, "close"))
        m_keepAlive = false;
    else if (equalHeaderNames(connection, "keep-alive"))
        m_keepAlive = true;

    if (m_bodyless || m_head.status == 204 || m_head.status == 304) {
        m_state = State::Done;
        return;
    }
    if (equalHeaderNames(findHeader(m_head.headers, "Transfer-Encoding"), "chunked")) {
        m_state = State::ChunkSize;
        return;
    }
    std::string_view length = findHeader(m_head.headers, "Content-Length");
    if (length.empty()) {
        m_state = State::UntilClose;
        m_keepAlive = false;
        return;
    }
    auto parsed = std::from_chars(length.data(), length.data() + length.size(), m_left);
    if (parsed.ec != std::errc {} || parsed.ptr != length.data() + length.size())
        m_state = State::Failed;
    else
        m_state = m_left == 0 ? State::Done : State::Length;
}

void HttpResponseParser::feedChunkSize(char byte)
{
    if (byte == '\n') {
        if (m_digits == 0) {
            m_state = State::Failed;
        } else if (m_left == 0) {
            m_state = State::Trailer;
            m_lineEmpty = true;
        } else {
            m_state = State::ChunkData;
        }
        return;
    }
    if (m_inExtension || byte == '\r' || byte == ';' || byte == ' ') {
        m_inExtension = true;
        return;
    }
    int digit = hexDigit(byte);
    if (digit < 0 || ++m_digits > maxChunkSizeDigits) {
        m_state = State::Failed;
        return;
    }
    m_left = m_left * 16 + static_cast<unsigned>(digit);
}

void HttpResponseParser::feedTrailer(char byte)
{
    if (byte == '\n') {
        if (m_lineEmpty)
            m_state = State::Done;
        m_lineEmpty = true;
    } else if (byte != '\r') {
        m_lineEmpty = false;
    }
}

}
