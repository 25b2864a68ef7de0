#include "net/HttpResponseParser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace jasminestack {

namespace {

    // Bounds the memory that an endpoint can make the daemon use: a longer head ends the exchange.
    constexpr std::size_t maxHeadBytes = 64U << 10U;
    // Interim responses, chunk extensions, line ends and trailers may not exceed this size between two body bytes, so
    // that an endpoint cannot send them without end.
    constexpr std::size_t maxOverheadBytes = 64U << 10U;
    constexpr int switchingProtocolsStatus = 101;
    constexpr int minFinalStatus = 200;
    // Hexadecimal digits; the limit keeps a chunk size from overflowing its 64 bits.
    constexpr unsigned maxChunkSizeDigits = 15;

    constexpr char toLowerAscii(char c) noexcept
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
    }

    int hexDigitValue(char c) noexcept
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        c = toLowerAscii(c);
        return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    }

}

bool equalIgnoringAsciiCase(std::string_view a, std::string_view b) noexcept
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLowerAscii(x) == toLowerAscii(y); });
}

std::string_view findHeader(
    std::span<const std::pair<std::string, std::string>> headers, std::string_view name) noexcept
{
    for (const auto& [headerName, value] : headers) {
        if (equalIgnoringAsciiCase(headerName, name))
            return value;
    }
    return {};
}

bool isNonForwardedHeader(std::string_view name) noexcept
{
    static constexpr std::array<std::string_view, 12> names { "connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
        "host", "expect" };
    return std::any_of(names.begin(), names.end(),
        [&](std::string_view nonForwardedName) { return equalIgnoringAsciiCase(nonForwardedName, name); });
}

std::string_view HttpResponseParser::feed(std::span<char> data)
{
    std::size_t position = 0;
    std::size_t bodyStart = 0;
    std::size_t bodyEnd = 0;
    auto appendBody = [&](std::size_t length) {
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
        case State::FixedLengthBody:
        case State::ChunkData: {
            auto length = static_cast<std::size_t>(std::min<std::uint64_t>(available, m_remainingBytes));
            appendBody(length);
            m_overheadBytes = 0;
            m_remainingBytes -= length;
            if (m_remainingBytes == 0)
                m_state = m_state == State::FixedLengthBody ? State::Complete : State::ChunkDataEnd;
            break;
        }
        case State::CloseDelimitedBody:
            appendBody(available);
            break;
        case State::ChunkSize:
            feedChunkSize(data[position++]);
            break;
        case State::ChunkDataEnd:
            feedChunkDataEnd(data[position++]);
            break;
        case State::Trailer:
            feedTrailer(data[position++]);
            break;
        case State::Complete:
            m_hasExcessBytes = true;
            m_consumedBytes = position;
            return { data.data() + bodyStart, bodyEnd - bodyStart };
        case State::Failed:
            break;
        }
    }
    m_consumedBytes = position;
    return { data.data() + bodyStart, bodyEnd - bodyStart };
}

void HttpResponseParser::fail(MalformedPart part) noexcept
{
    m_state = State::Failed;
    m_malformedPart = part;
}

void HttpResponseParser::countOverhead(std::size_t bytes) noexcept
{
    m_overheadBytes += bytes;
    if (m_overheadBytes > maxOverheadBytes)
        fail(MalformedPart::TooLong);
}

void HttpResponseParser::endOfInput() noexcept
{
    if (m_state == State::CloseDelimitedBody)
        m_state = State::Complete;
    m_keepAlive = false;
}

std::size_t HttpResponseParser::feedHead(std::string_view data)
{
    // The blank line may be split over two reads.
    std::size_t previousBytes = m_headText.size();
    m_headText.append(data);
    std::size_t end = m_headText.find("\r\n\r\n", previousBytes < 3 ? 0 : previousBytes - 3);
    if (end == std::string::npos) {
        if (m_headText.size() > maxHeadBytes)
            fail(MalformedPart::TooLong);
        return data.size();
    }
    std::size_t headBytes = end + 4;
    bool isHttp10 = false;
    MalformedPart malformed = parseResponseHead(std::string_view(m_headText).substr(0, end), m_head, isHttp10);
    // Clearing it would keep the memory of the first read, which may contain a part of the body.
    static_cast<void>(std::exchange(m_headText, {}));
    if (malformed == MalformedPart::None && m_head.status == switchingProtocolsStatus)
        malformed = MalformedPart::ProtocolSwitch;
    if (malformed != MalformedPart::None) {
        fail(malformed);
        return data.size();
    }
    m_keepAlive = !isHttp10;
    if (m_head.status < minFinalStatus) {
        m_head = {}; // Interim response; the final one follows.
        countOverhead(headBytes);
    } else {
        m_headBytes = headBytes;
        selectFraming();
    }
    return headBytes - previousBytes;
}

void HttpResponseParser::selectFraming()
{
    std::string_view connection = findHeader(m_head.headers, "Connection");
    if (equalIgnoringAsciiCase(connection, "close"))
        m_keepAlive = false;
    else if (equalIgnoringAsciiCase(connection, "keep-alive"))
        m_keepAlive = true;

    if (m_isResponseToHead || m_head.status == 204 || m_head.status == 304) {
        m_state = State::Complete;
        return;
    }
    bool hasLength = false;
    if (!parseContentLength(hasLength)) {
        fail(MalformedPart::ContentLength);
        return;
    }
    auto isTransferEncoding
        = [](const auto& header) { return equalIgnoringAsciiCase(header.first, "Transfer-Encoding"); };
    auto encodingCount = std::count_if(m_head.headers.begin(), m_head.headers.end(), isTransferEncoding);
    if (encodingCount != 0) {
        // The daemon does not decode transfer codings other than chunked, nor forward them.
        bool isChunked
            = encodingCount == 1 && equalIgnoringAsciiCase(findHeader(m_head.headers, "Transfer-Encoding"), "chunked");
        if (!isChunked) {
            fail(MalformedPart::TransferEncoding);
            return;
        }
        m_state = State::ChunkSize;
        if (hasLength)
            m_keepAlive = false; // Another recipient may have delimited the response by its length (RFC 9112, 6.3).
        m_remainingBytes = 0;
        return;
    }
    if (!hasLength) {
        m_state = State::CloseDelimitedBody;
        m_keepAlive = false;
        return;
    }
    m_state = m_remainingBytes == 0 ? State::Complete : State::FixedLengthBody;
}

bool HttpResponseParser::parseContentLength(bool& hasLength)
{
    for (const auto& [name, value] : m_head.headers) {
        if (!equalIgnoringAsciiCase(name, "Content-Length"))
            continue;
        std::uint64_t length = 0;
        auto parsed = std::from_chars(value.data(), value.data() + value.size(), length);
        if (parsed.ec != std::errc {} || parsed.ptr != value.data() + value.size())
            return false;
        if (hasLength && length != m_remainingBytes)
            return false;
        hasLength = true;
        m_remainingBytes = length;
    }
    return true;
}

void HttpResponseParser::feedChunkSize(char byte)
{
    countOverhead(1);
    if (m_state == State::Failed)
        return;
    if (std::exchange(m_lineEndBegun, byte == '\r')) {
        if (byte != '\n')
            fail(MalformedPart::ChunkExtension);
        else if (m_chunkSizeDigits == 0)
            fail(MalformedPart::ChunkSize);
        else
            m_state = m_remainingBytes == 0 ? State::Trailer : State::ChunkData;
        m_chunkSizeDigits = 0;
        m_inChunkExtension = false;
        return;
    }
    if (byte == '\r')
        return;
    if (m_inChunkExtension || byte == ';' || byte == ' ' || byte == '\t') {
        m_inChunkExtension = true;
        if (!isFieldValue({ &byte, 1 }))
            fail(MalformedPart::ChunkExtension);
        return;
    }
    int digit = hexDigitValue(byte);
    if (digit < 0 || ++m_chunkSizeDigits > maxChunkSizeDigits) {
        fail(MalformedPart::ChunkSize);
        return;
    }
    m_remainingBytes = m_remainingBytes * 16 + static_cast<unsigned>(digit);
}

void HttpResponseParser::feedChunkDataEnd(char byte)
{
    countOverhead(1);
    if (m_state == State::Failed)
        return;
    bool isSecondByte = std::exchange(m_lineEndBegun, !m_lineEndBegun);
    if (byte != (isSecondByte ? '\n' : '\r'))
        fail(MalformedPart::ChunkEnd);
    else if (isSecondByte)
        m_state = State::ChunkSize;
}

void HttpResponseParser::feedTrailer(char byte)
{
    countOverhead(1);
    if (m_state == State::Failed)
        return;
    m_headText += byte;
    if (!m_headText.ends_with("\r\n"))
        return;
    std::string line = std::exchange(m_headText, {});
    line.resize(line.size() - 2);
    std::string_view name;
    std::string_view value;
    if (line.empty())
        m_state = State::Complete;
    else if (parseFieldLine(line, name, value) != MalformedPart::None)
        fail(MalformedPart::Trailer);
}

}
