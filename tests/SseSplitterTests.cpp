#include "router/SseSplitter.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace jasminestack;

namespace {

/// \returns What is forwarded of \p text, in pieces of \p firstBytes and the rest.
std::string feedInTwoParts(SseSplitter& splitter, const std::string& text, std::size_t firstBytes)
{
    std::string forwarded(splitter.feed(std::string_view(text).substr(0, firstBytes)));
    return forwarded.append(splitter.feed(std::string_view(text).substr(firstBytes)));
}

}

// Guards against a line feed that is taken for the rest of a line end that was complete: two events become one, and a
// caller's parser finds an event without an id.
TEST_CASE("a stream with mixed line ends is split in the same way whatever its pieces", "[router][events]")
{
    const std::string sound
        = "id: 1\r\ndata: a\r\n\nid: 2\rdata: b\n\r\nid: 3\ndata: c\r\rid: 4\r\ndata: d\r\n\r\n\r\n";
    const std::string spoilt = "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\ndata: b\n\n";
    for (std::size_t firstBytes = 0; firstBytes <= sound.size(); ++firstBytes) {
        CAPTURE(firstBytes);
        SseSplitter splitter { {} };
        CHECK(feedInTwoParts(splitter, sound, firstBytes) == sound);
        CHECK(splitter.eventCount() == 4);
        splitter.endAnswer();
        CHECK(splitter.violation() == EventViolation::None);
    }
    for (std::size_t firstBytes = 0; firstBytes <= spoilt.size(); ++firstBytes) {
        CAPTURE(firstBytes);
        SseSplitter splitter { {} };
        CHECK(feedInTwoParts(splitter, spoilt, firstBytes) == "id: 1\r\ndata: a\r\n\r\n");
        CHECK(splitter.violation() == EventViolation::MissingData);
    }
}

// Guards against a byte order mark in the middle of what the caller is sent, where it hides the first field of an
// event.
TEST_CASE("a byte order mark is forwarded only at the start of the caller's stream", "[router][events]")
{
    const std::string mark(byteOrderMark);
    SseSplitter splitter { {} };
    CHECK(splitter.feed(mark + "id: 1\ndata: a\n\n") == mark + "id: 1\ndata: a\n\n");
    splitter.resume();
    CHECK(splitter.feed(mark + "id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    splitter.resume();
    CHECK(splitter.feed(mark + mark + "id: 3\ndata: c\n\n").empty());
    CHECK(splitter.violation() == EventViolation::UnknownField);
    SseSplitter other { {} };
    CHECK(other.feed(mark + mark + "id: 1\ndata: a\n\n").empty());
    CHECK(other.violation() == EventViolation::UnknownField);
}

// Guards against a stream that looks complete, because an answer that should continue it ended before its position.
TEST_CASE("an answer that ends before the caller's position is incomplete", "[router][events]")
{
    SseSplitter splitter { {} };
    static_cast<void>(splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
    splitter.resume();
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n").empty());
    splitter.endAnswer();
    CHECK(splitter.violation() == EventViolation::Incomplete);
    splitter.resume();
    CHECK(splitter.feed("id: 3\ndata: c\n\n").empty());
    splitter.endAnswer();
    CHECK(splitter.violation() == EventViolation::None);
}

// Guards against engines that are blamed for a caller's position that is the largest number.
TEST_CASE("the position of a stream may be the largest number", "[router][events]")
{
    SseSplitter splitter({}, 18'446'744'073'709'551'615U);
    CHECK(splitter.feed("id: 18446744073709551615\ndata: a\n\n").empty());
    CHECK(splitter.violation() == EventViolation::None);
}

// Guards against the joint of two runs on a route whose streams may not be resumed.
TEST_CASE("only streams that may be resumed may begin with events that the caller has", "[router][events]")
{
    SseSplitter splitter({}, 5, false);
    CHECK(splitter.feed("id: 5\ndata: a\n\nid: 6\ndata: b\n\n").empty());
    CHECK(splitter.violation() == EventViolation::OutOfOrder);
}

// Guards against garbage at the end of a stream without a length that is taken for the loss of its engine.
TEST_CASE("the rest of a stream is incomplete only if an event may begin with it", "[router][events]")
{
    auto violationOf = [](const std::string& rest) {
        SseSplitter splitter { {} };
        CHECK(splitter.feed("id: 1\ndata: a\n\n" + rest) == "id: 1\ndata: a\n\n");
        splitter.endAnswer();
        return splitter.violation();
    };
    for (const char* rest : { "i", "id", "id:", "id: 2", "id: 2\n", "id: 2\ndat", "id: 2\ndata: b", "data: b\r",
             ": comm", "event: x\nid: 2\n" }) {
        CAPTURE(rest);
        CHECK(violationOf(rest) == EventViolation::Incomplete);
    }
    for (const char* rest : { "garbage", "idx", "id: x\n", "ID", "\x01", "id: 2\nid: 3\n", "garbage\ndata: b" }) {
        CAPTURE(rest);
        EventViolation violation = violationOf(rest);
        CHECK(violation != EventViolation::Incomplete);
        CHECK(violation != EventViolation::None);
    }
}
