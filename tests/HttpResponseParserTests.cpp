#include "net/HttpResponseParser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jasminestack;

namespace {

// Feeds a response in pieces of the given size and returns its body.
std::string parseInPieces(HttpResponseParser& parser, std::string text, std::size_t pieceBytes)
{
    std::string body;
    for (std::size_t i = 0; i < text.size(); i += pieceBytes)
        body += parser.feed(std::span(text).subspan(i, std::min(pieceBytes, text.size() - i)));
    return body;
}

}

// Guards against parse results that depend on how the network splits a response.
TEST_CASE("a response is parsed the same in pieces of any size", "[http]")
{
    const std::string chunkedResponse
        = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA:  b \r\n\r\n"
          "5\r\nhello\r\n1;x=y\r\n \r\nA\r\nworld 1234\r\n0\r\nTrailer: t\r\n\r\n";
    const std::string countedResponse = "HTTP/1.1 404 Not Found\r\ncontent-length: 5\r\n\r\nhello";
    for (std::size_t pieceBytes = 1; pieceBytes <= chunkedResponse.size(); ++pieceBytes) {
        HttpResponseParser parser;
        REQUIRE(parseInPieces(parser, chunkedResponse, pieceBytes) == "hello world 1234");
        REQUIRE(parser.connectionIsReusable());
        REQUIRE(parser.head().status == 200);
        REQUIRE(findHeader(parser.head().headers, "a") == "b");
        HttpResponseParser countedParser;
        REQUIRE(parseInPieces(countedParser, countedResponse, pieceBytes) == "hello");
        REQUIRE(countedParser.connectionIsReusable());
    }
}

// Guards against reporting a truncated body as complete.
TEST_CASE("a response is complete only at the end that its framing defines", "[http]")
{
    auto isCompleteAtClose = [](std::string text, bool hasNoBody = false) {
        HttpResponseParser parser(hasNoBody);
        static_cast<void>(parser.feed(text));
        parser.endOfInput();
        return parser.complete();
    };
    CHECK_FALSE(isCompleteAtClose("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell"));
    CHECK_FALSE(isCompleteAtClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"));
    CHECK_FALSE(isCompleteAtClose("HTTP/1.1 200 OK\r\nContent-Le"));
    CHECK(isCompleteAtClose("HTTP/1.1 200 OK\r\n\r\nuntil the close"));
    CHECK(isCompleteAtClose("HTTP/1.1 204 No Content\r\n\r\n"));
    CHECK(isCompleteAtClose("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true));
}

// Guards against reuse of a connection on which bytes without a request were received, or which the endpoint closes.
TEST_CASE("a connection is not reused after extra bytes, a close or an older protocol", "[http]")
{
    auto connectionIsReusable = [](std::string text) {
        HttpResponseParser parser;
        static_cast<void>(parser.feed(text));
        REQUIRE(parser.complete());
        return parser.connectionIsReusable();
    };
    CHECK(connectionIsReusable("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    CHECK_FALSE(connectionIsReusable("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"));
    CHECK_FALSE(connectionIsReusable("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
    CHECK_FALSE(connectionIsReusable("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"));
}

// Guards against accepting responses that violate HTTP/1.1.
TEST_CASE("malformed responses fail", "[http]")
{
    for (std::string text : { "SMTP ready\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n" }) {
        HttpResponseParser parser;
        static_cast<void>(parser.feed(text));
        CHECK(parser.failed());
    }
}

// Guards against an endpoint that keeps an exchange and its connection busy, or fills the memory, with bytes that are
// no body: none of these inputs ends by itself.
TEST_CASE("a response with endless bytes between its body bytes fails within 128 KiB", "[http][endless]")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto [start, repeated] = GENERATE_COPY(table<std::string, std::string>({ { "", "HTTP/1.1 103 Early\r\n\r\n" },
        { "", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n" }, { "HTTP/1.1 200 OK\r\n", "A: b\r\n" }, { "", "garbage" },
        { chunked + "5;", "extension" }, { chunked + "0\r\n", "Trailer: t\r\n" }, { chunked + "0\r\n", "x" },
        { chunked + "1\r\nx", "\r" }, { chunked, "0" }, { chunked + "5", " " } }));
    CAPTURE(start, repeated);
    HttpResponseParser parser;
    static_cast<void>(parser.feed(start));
    std::size_t bytes = 0;
    constexpr std::size_t maxBytes = 128U << 10U;
    while (!parser.failed() && bytes < maxBytes) {
        std::string piece = repeated;
        CHECK(parser.feed(piece).empty());
        bytes += repeated.size();
    }
    CHECK(parser.failed());
}

TEST_CASE("a long chunked body with short extensions in each chunk is accepted", "[http][endless]")
{
    HttpResponseParser parser;
    std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static_cast<void>(parser.feed(head));
    constexpr int chunks = 40'000;
    std::size_t bodyBytes = 0;
    for (int i = 0; i < chunks; ++i) {
        std::string chunk = "1;name=value\r\nx\r\n";
        bodyBytes += parser.feed(chunk).size();
    }
    std::string end = "0\r\n\r\n";
    static_cast<void>(parser.feed(end));
    CHECK(bodyBytes == chunks);
    CHECK(parser.connectionIsReusable());
}

// Guards against a body that is delimited by the wrong one of two contradictory headers, so that its rest is taken for
// the next response.
TEST_CASE("contradictory lengths and unknown transfer codings fail", "[http]")
{
    auto parse = [](std::string text) {
        HttpResponseParser parser;
        static_cast<void>(parser.feed(text));
        return parser;
    };
    CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello").failed());
    CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\nhello").failed());
    CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nhello").failed());
    CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: gzip, chunked\r\n\r\nhello").failed());
    CHECK(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n").failed());
    CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\nhello").connectionIsReusable());
    // The chunked coding takes precedence, but the connection is not reused.
    HttpResponseParser both
        = parse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    CHECK(both.complete());
    CHECK_FALSE(both.connectionIsReusable());
}

// Guards against memory errors and endless loops on arbitrary input.
TEST_CASE("arbitrary bytes are parsed without a crash", "[http]")
{
    REQUIRE(rc::check("no crash", [](std::string tail, bool isChunked) {
        std::string text = "HTTP/1.1 200 OK\r\n";
        text += isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "";
        text += tail;
        HttpResponseParser parser;
        std::string copy = text;
        RC_ASSERT(parser.feed(copy).size() <= text.size());
    }));
}
