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

// Guards against an answer whose numbers are shifted: if its first events were omitted as known ones, the next one
// would have the number that is due and the data of another event. It also may end before the caller's position.
TEST_CASE("an answer that resumes a stream begins with the next event", "[router][events]")
{
    for (const char* answer : { "id: 2\ndata: c\n\nid: 3\ndata: d\n\n", "id: 1\ndata: a\n\n", "id: 4\ndata: d\n\n" }) {
        CAPTURE(answer);
        SseSplitter splitter { {} };
        static_cast<void>(splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        splitter.resume();
        CHECK(splitter.feed(answer).empty());
        CHECK(splitter.violation() == EventViolation::OutOfOrder);
        CHECK(splitter.lastId() == 2);
    }
    SseSplitter resumedByCaller({}, 5);
    CHECK(resumedByCaller.feed("id: 5\ndata: a\n\nid: 6\ndata: b\n\n").empty());
    CHECK(resumedByCaller.violation() == EventViolation::OutOfOrder);
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

// Guards against an endpoint that sends line ends or comments without end: each of them is a block of its own, and a
// router that forwards them reads nothing else meanwhile.
TEST_CASE("a stream with too many bytes between two events is malformed", "[router][events][endless]")
{
    for (const char* block : { "\n", "\r\n", ":\n\n", ": comment\n\n" }) {
        CAPTURE(block);
        SseSplitter splitter { {} };
        std::string blocks;
        while (blocks.size() + std::string_view(block).size() <= maxEventBytes)
            blocks += block;
        std::string sound = blocks + "id: 1\ndata: a\n\n" + blocks;
        CHECK(splitter.feed(sound) == sound);
        CHECK(splitter.violation() == EventViolation::None);
        CHECK(splitter.feed(block).empty());
        CHECK(splitter.violation() == EventViolation::TooLong);
        splitter.resume();
        CHECK(splitter.feed(blocks + "id: 2\ndata: b\n\n") == blocks + "id: 2\ndata: b\n\n");
    }
}
