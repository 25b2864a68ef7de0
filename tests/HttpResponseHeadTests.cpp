#include "ReferenceResponseReader.h"
#include "base/Random.h"
#include "net/HttpResponseHead.h"
#include "net/HttpResponseParser.h"

#include <array>
#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;
using namespace std::string_view_literals;

namespace {

MalformedPart malformedPartOf(std::string_view statusLine, std::string_view fieldLine = {})
{
    std::string text(statusLine);
    if (!fieldLine.empty())
        text.append("\r\n").append(fieldLine);
    HttpResponseHead head;
    bool isHttp10 = false;
    return parseResponseHead(text, head, isHttp10);
}

/// \brief Reads with HttpResponseParser what \p text contains in pieces of \p pieceBytes.
std::optional<ReadResponse> readByParser(std::string text, std::size_t pieceBytes)
{
    HttpResponseParser parser;
    ReadResponse response;
    for (std::size_t i = 0; i < text.size() && !parser.complete(); i += pieceBytes)
        response.body += parser.feed(std::span(text).subspan(i, std::min(pieceBytes, text.size() - i)));
    parser.endOfInput();
    if (!parser.complete())
        return std::nullopt;
    response.status = parser.head().status;
    for (const auto& [name, value] : parser.head().headers)
        response.fields += name + "=" + value + ";";
    return response;
}

/// \brief Spoils a response in up to three places.
std::string mutate(std::string text, Random& random)
{
    static constexpr std::array inserted { "\r"sv, "\n"sv, "\r\n"sv, "\0"sv, " "sv, "\t"sv, ":"sv, "\x7f"sv, "\xe9"sv,
        "\x1b"sv, "("sv, "0"sv, "-"sv, ";"sv, "HTTP/1.1 200 OK\r\n"sv, "\r\n\r\n"sv, "Content-Length: 3\r\n"sv,
        "Transfer-Encoding: chunked\r\n"sv };
    std::uint64_t count = random.uniformInteger(3) + 1;
    for (std::uint64_t i = 0; i < count && !text.empty(); ++i) {
        auto position = static_cast<std::size_t>(random.uniformInteger(text.size()));
        switch (random.uniformInteger(4)) {
        case 0:
            text[position] = static_cast<char>(random.uniformInteger(256));
            break;
        case 1:
            text.insert(position, inserted[random.uniformInteger(inserted.size())]);
            break;
        case 2:
            text.erase(position, random.uniformInteger(3) + 1);
            break;
        default:
            text[position] = static_cast<char>(text[position] ^ (1U << random.uniformInteger(8)));
            break;
        }
    }
    return text;
}

}

// Guards against bytes that are no HTTP response and reach the caller as the head of its answer.
TEST_CASE("each violation of a head's grammar is found and named", "[http][head]")
{
    using Part = MalformedPart;
    auto [statusLine, fieldLine, part] = GENERATE(table<std::string_view, std::string_view, Part>({
        { "HTTP/1.1 200 OK", "", Part::None },
        { "HTTP/1.0 100 Continue", "", Part::None },
        { "HTTP/1.1 599 ", "", Part::None },
        { "HTTP/1.1 200 tab\tand \xe9", "", Part::None },
        { "HTTP/1.1 200", "", Part::Status },
        { "HTTP/1.1 000 OK", "", Part::Status },
        { "HTTP/1.1 099 OK", "", Part::Status },
        { "HTTP/1.1 -12 OK", "", Part::Status },
        { "HTTP/1.1 +20 OK", "", Part::Status },
        { "HTTP/1.1 20x OK", "", Part::Status },
        { "HTTP/1.1 600 OK", "", Part::Status },
        { "HTTP/1.1 999 OK", "", Part::Status },
        { "HTTP/1.1 2000 OK", "", Part::Status },
        { "HTTP/1.1 200OK", "", Part::Status },
        { "HTTP/1.1 200\tOK", "", Part::Status },
        { "HTTP/1.1  200 OK", "", Part::Status },
        { "HTTP/1.x 200 OK", "", Part::Version },
        { "HTTP/1.11 200 OK", "", Part::Version },
        { "HTTP/2.0 200 OK", "", Part::Version },
        { "http/1.1 200 OK", "", Part::Version },
        { "SMTP ready", "", Part::Version },
        { "", "", Part::Version },
        { "HTTP/1.1 200 a\0b"sv, "", Part::Reason },
        { "HTTP/1.1 200 a\rb", "", Part::Reason },
        { "HTTP/1.1 200 a\nb", "", Part::Reason },
        { "HTTP/1.1 200 a\x7f", "", Part::Reason },
        { "HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09azAZ: v", Part::None },
        { "HTTP/1.1 200 OK", "A:", Part::None },
        { "HTTP/1.1 200 OK", "A: \t ", Part::None },
        { "HTTP/1.1 200 OK", "A:b:c\t\xff", Part::None },
        { "HTTP/1.1 200 OK", "no colon", Part::FieldColon },
        { "HTTP/1.1 200 OK", ": v", Part::FieldName },
        { "HTTP/1.1 200 OK", "A : v", Part::FieldName },
        { "HTTP/1.1 200 OK", "A b: v", Part::FieldName },
        { "HTTP/1.1 200 OK", "A(b): v", Part::FieldName },
        { "HTTP/1.1 200 OK", "A\xe9: v", Part::FieldName },
        { "HTTP/1.1 200 OK", "A\0: v"sv, Part::FieldName },
        { "HTTP/1.1 200 OK", "Transfer-Encoding\x01: chunked", Part::FieldName },
        { "HTTP/1.1 200 OK", "A: b\nContent-Length: 6", Part::FieldValue },
        { "HTTP/1.1 200 OK", "A: b\rc", Part::FieldValue },
        { "HTTP/1.1 200 OK", "A: b\r", Part::FieldValue },
        { "HTTP/1.1 200 OK", "A: \0"sv, Part::FieldValue },
        { "HTTP/1.1 200 OK", "A: \x1b[m", Part::FieldValue },
        { "HTTP/1.1 200 OK", "A: \x7f", Part::FieldValue },
        { "HTTP/1.1 200 OK", " folded", Part::ObsoleteFold },
        { "HTTP/1.1 200 OK", "\tA: folded", Part::ObsoleteFold },
    }));
    CAPTURE(statusLine, fieldLine);
    CHECK(toString(malformedPartOf(statusLine, fieldLine)) == toString(part));
}

// Guards against a byte that is allowed in one part of the head and was therefore allowed in another.
TEST_CASE("each byte is accepted only in the parts that may contain it", "[http][head]")
{
    for (int value = 0; value < 256; ++value) {
        CAPTURE(value);
        char byte = static_cast<char>(value);
        bool isText = value == '\t' || (value >= 0x20 && value != 0x7f);
        bool isNameByte = value > 0x20 && value < 0x7f
            && std::string_view("\"(),/:;<=>?@[\\]{}").find(byte) == std::string_view::npos;
        std::string text { 'a', byte, 'b' };
        CHECK(isToken(text) == isNameByte);
        CHECK(isFieldValue(text) == isText);
        CHECK((malformedPartOf("HTTP/1.1 200 " + text) == MalformedPart::None) == isText);
    }
}

// Guards against a body whose framing another reader takes in another way, and against framing bytes that violate HTTP.
TEST_CASE("malformed framing fails and is named", "[http][head]")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    using Part = MalformedPart;
    auto [text, part] = GENERATE_COPY(table<std::string, Part>({
        { "HTTP/1.1 101 Switching\r\n\r\n", Part::ProtocolSwitch },
        { "HTTP/1.1 103 Early\r\nA\x01: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", Part::FieldName },
        { "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", Part::ContentLength },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", Part::TransferEncoding },
        { chunked + "5\nhello\r\n", Part::ChunkSize },
        { chunked + "\r\n", Part::ChunkSize },
        { chunked + "5\rhello", Part::ChunkExtension },
        { chunked + "5;a\nhello", Part::ChunkExtension },
        { chunked + std::string("5;a\0\r\n"sv), Part::ChunkExtension },
        { chunked + "5\r\nhello\n", Part::ChunkEnd },
        { chunked + "5\r\nhello\r\r\n", Part::ChunkEnd },
        { chunked + "5\r\nhello!\r\n", Part::ChunkEnd },
        { chunked + "0\r\nA: \x01\r\n\r\n", Part::Trailer },
        { chunked + "0\r\nno colon\r\n\r\n", Part::Trailer },
        { chunked + "0\r\nA: b\n\r\n\r\n", Part::Trailer },
    }));
    for (std::size_t pieceBytes = 1; pieceBytes <= text.size(); ++pieceBytes) {
        HttpResponseParser parser;
        std::string copy = text;
        for (std::size_t i = 0; i < copy.size() && !parser.failed(); i += pieceBytes)
            static_cast<void>(parser.feed(std::span(copy).subspan(i, std::min(pieceBytes, copy.size() - i))));
        CAPTURE(text, pieceBytes);
        CHECK(toString(parser.malformedPart()) == toString(part));
        CHECK(parser.failed());
    }
}

// Guards against inputs on which the parser is less strict than the RFCs, or whose reading depends on how the network
// splits them: a reader of another kind has to agree on each of them.
TEST_CASE("two readers agree on spoilt responses, in pieces of any size", "[http][head][fuzz]")
{
    const std::array<std::string, 7> responses {
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Load: 3,0,6\r\n\r\nhello",
        "HTTP/1.1 200 \r\nX-Sig: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1;x=y\r\n!\r\n0\r\nT: "
        "t\r\n\r\n",
        "HTTP/1.0 404 Not Found\r\nA:  b \t\r\n\r\nuntil the close",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 500 No\r\ncontent-length: 1\r\n\r\n.",
        "HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 503 Busy\r\nRetry-After: 1.5\r\nTransfer-Encoding: CHUNKED\r\n\r\nA \r\n0123456789\r\n000\r\n\r\n",
    };
    constexpr int mutationsPerResponse = 1'500;
    Random random(20261205);
    int sound = 0;
    for (const std::string& response : responses) {
        REQUIRE(readByReference(response));
        for (int i = 0; i < mutationsPerResponse; ++i) {
            std::string text = mutate(response, random);
            CAPTURE(text);
            auto expected = readByReference(text);
            sound += expected ? 1 : 0;
            REQUIRE(readByParser(text, text.size() + 1) == expected);
            for (std::size_t pieceBytes : { std::size_t { 1 }, std::size_t { 2 }, std::size_t { 7 },
                     static_cast<std::size_t>(random.uniformInteger(text.size() + 1) + 1) })
                REQUIRE(readByParser(text, pieceBytes) == expected);
        }
    }
    // Both kinds of input have to occur for the comparison to mean something.
    CHECK(sound > 1'000);
    CHECK(sound < 9'000);
}
