#include "net/HttpResponseParser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jasminestack;

namespace {

// Feeds a response in pieces of the given size and returns its body.
std::string parseInPieces(HttpResponseParser& parser, std::string text, std::size_t piece)
{
    std::string body;
    for (std::size_t i = 0; i < text.size(); i += piece)
        body += parser.feed(std::span(text).subspan(i, std::min(piece, text.size() - i)));
    return body;
}

}

// Guards against answers that depend on where the network splits them.
TEST_CASE("a response is parsed the same in pieces of any size", "[http]")
{
    const std::string chunked
        = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA:  b \r\n\r\n"
          "5\r\nhello\r\n1;x=y\r\n \r\nA\r\nworld 1234\r\n0\r\nTrailer: t\r\n\r\n";
    const std::string counted = "HTTP/1.1 404 Not Found\r\ncontent-length: 5\r\n\r\nhello";
    for (std::size_t piece = 1; piece <= chunked.size(); ++piece) {
        HttpResponseParser parser;
        REQUIRE(parseInPieces(parser, chunked, piece) == "hello world 1234");
        REQUIRE(parser.reusable());
        REQUIRE(parser.head().status == 200);
        REQUIRE(findHeader(parser.head().headers, "a") == "b");
        HttpResponseParser second;
        REQUIRE(parseInPieces(second, counted, piece) == "hello");
        REQUIRE(second.reusable());
    }
}

// Guards against a truncated body that counts as complete.
TEST_CASE("a response is complete only as its framing says", "[http]")
{
    auto ends = [](std::string text, bool bodyless = false) {
        HttpResponseParser parser(bodyless);
        static_cast<void>(parser.feed(text));
        parser.endOfInput();
        return parser.complete();
    };
    CHECK_FALSE(ends("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell"));
    CHECK_FALSE(ends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"));
    CHECK_FALSE(ends("HTTP/1.1 200 OK\r\nContent-Le"));
    CHECK(ends("HTTP/1.1 200 OK\r\n\r\nuntil the close"));
    CHECK(ends("HTTP/1.1 204 No Content\r\n\r\n"));
    CHECK(ends("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true));
}

// Guards against a connection that is reused although its next bytes belong to no request.
TEST_CASE("a connection is not reused after extra bytes, a close or an older protocol", "[http]")
{
    auto reusable = [](std::string text) {
        HttpResponseParser parser;
        static_cast<void>(parser.feed(text));
        REQUIRE(parser.complete());
        return parser.reusable();
    };
    CHECK(reusable("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    CHECK_FALSE(reusable("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"));
    CHECK_FALSE(reusable("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
    CHECK_FALSE(reusable("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"));
}

// Guards against accepting what no correct endpoint sends.
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

// Guards against memory errors and endless loops on hostile bytes.
TEST_CASE("any bytes are parsed without harm", "[http]")
{
    REQUIRE(rc::check("no crash", [](std::string tail, bool chunked) {
        std::string text = "HTTP/1.1 200 OK\r\n";
        text += chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "";
        text += tail;
        HttpResponseParser parser;
        std::string copy = text;
        RC_ASSERT(parser.feed(copy).size() <= text.size());
    }));
}
