#include "ReferenceEventReader.h"
#include "net/SseEvent.h"
#include "router/SseSplitter.h"

#include <catch2/catch.hpp>
#include <set>

using namespace jasminestack;
using namespace jasminestack::test;
using namespace std::string_literals;
using namespace std::string_view_literals;

namespace {

constexpr std::string_view extensionField = "x-versions";
constexpr EventRules testRules { .extensionField = extensionField, .endMarker = "[DONE]" };

EventViolation violationOf(std::string_view text, const EventRules& rules = testRules)
{
    SseEvent event;
    return parseSseEvent(text, rules, event);
}

/// \returns Sizes of the blocks that are found if the text is received in pieces, and then of the incomplete rest.
/// \param isCompacted The reader gives back memory after each piece.
std::vector<std::size_t> blockSizes(const std::string& text, std::size_t pieceBytes, bool isCompacted = false)
{
    SseBlockReader reader;
    std::vector<std::size_t> sizes;
    for (std::size_t i = 0; i < text.size(); i += pieceBytes) {
        std::string piece = text.substr(i, pieceBytes);
        reader.append(piece);
        while (auto block = reader.next())
            sizes.push_back(block->size());
        if (isCompacted)
            reader.compact();
    }
    sizes.push_back(reader.incompleteBlock().size());
    return sizes;
}

}

// Guards against an event that callers' parsers read in another way than the router, or that no endpoint sends.
TEST_CASE("each violation of an event's grammar is found and named", "[sse][events]")
{
    using Violation = EventViolation;
    const std::string longest = "id: 1\ndata: " + std::string(maxEventBytes - 14, 'x') + "\n\n";
    auto [text, violation] = GENERATE_COPY(table<std::string, Violation>({
        { "id: 1\ndata: x\n\n", Violation::None },
        { "id: 1\r\ndata: x\r\n\r\n", Violation::None },
        { "id: 1\rdata: x\r\r", Violation::None },
        { "id: 1\rdata: x\n\r\n", Violation::None },
        { "id: 1\ndata: x\n", Violation::None },
        { "id: 1\ndata: x", Violation::None },
        { "data: x\nid: 1\n\n", Violation::None },
        { "id:1\ndata:x\n\n", Violation::None },
        { "id: 1\ndata\n\n", Violation::None },
        { "id: 1\ndata:\n\n", Violation::None },
        { "id: 1\ndata: \n\n", Violation::None },
        { "id: 1\ndata: a\ndata: b\ndata\n\n", Violation::None },
        { "id: 1\ndata: \0\x7f\x01\n\n"s, Violation::None },
        { "id: 1\ndata: \xc2\x80\xe0\xa0\x80\xed\x9f\xbf\xee\x80\x80\xf0\x90\x80\x80\xf4\x8f\xbf\xbf\n\n",
            Violation::None },
        { "id: 1\ndata: \xef\xbb\xbf\n\n", Violation::None },
        { "id: 0\ndata: x\n\n", Violation::None },
        { "id: 18446744073709551615\ndata: x\n\n", Violation::None },
        { "event: token\nid: 1\ndata: x\n\n", Violation::None },
        { "event\nid: 1\ndata: x\n\n", Violation::None },
        { "event: token\n\n", Violation::None },
        { ": comment\n\n", Violation::None },
        { ":\n\n", Violation::None },
        { ":id: 7\n:data: x\n\n", Violation::None },
        { ":\0\xe2\x82\xac\n\n"s, Violation::None },
        { "id: 1\n: comment\ndata: x\n\n", Violation::None },
        { "retry: 3000\n\n", Violation::None },
        { "retry: 00\nretry: 1\n\n", Violation::None },
        { "x-versions: 18\nid: 1\ndata: x\n\n", Violation::None },
        { "x-versions:18\n\n", Violation::None },
        { "\n", Violation::None },
        { "\r\n", Violation::None },
        { "\r", Violation::None },
        { "", Violation::None },
        { "data: [DONE]\n\n", Violation::None },
        { "event: end\ndata: [DONE]\n\n", Violation::None },
        { longest, Violation::None },
        { "x" + longest, Violation::TooLong },
        { "id: 1\ndata: \x80\n\n", Violation::Encoding },
        { "id: 1\ndata: \xc0\xaf\n\n", Violation::Encoding },
        { "id: 1\ndata: \xc2\n\n", Violation::Encoding },
        { "id: 1\ndata: \xe0\x9f\xbf\n\n", Violation::Encoding },
        { "id: 1\ndata: \xe2\x82\n\n", Violation::Encoding },
        { "id: 1\ndata: \xed\xa0\x80\n\n", Violation::Encoding },
        { "id: 1\ndata: \xf0\x8f\xbf\xbf\n\n", Violation::Encoding },
        { "id: 1\ndata: \xf0\x9f\x98\n\n", Violation::Encoding },
        { "id: 1\ndata: \xf4\x90\x80\x80\n\n", Violation::Encoding },
        { "id: 1\ndata: \xf5\x80\x80\x80\n\n", Violation::Encoding },
        { "id: 1\ndata: 12345678\xff\n\n", Violation::Encoding },
        { "id: 1\ndata: x\n:\xfe\n\n", Violation::Encoding },
        { "id: 1\ndata: x\xc3", Violation::Encoding },
        { "garbage\n\n", Violation::UnknownField },
        { " id: 1\ndata: x\n\n", Violation::UnknownField },
        { "id : 1\ndata: x\n\n", Violation::UnknownField },
        { "ID: 1\ndata: x\n\n", Violation::UnknownField },
        { "id: 1\ndata: x\nDATA: y\n\n", Violation::UnknownField },
        { "id: 1\n\tdata: x\n\n", Violation::UnknownField },
        { "id\0: 1\ndata: x\n\n"s, Violation::UnknownField },
        { "\xef\xbb\xbfid: 1\ndata: x\n\n", Violation::UnknownField },
        { "id: 1\ndata: to\rken\n\n", Violation::UnknownField },
        { "id: 1\nx-version: 1\ndata: x\n\n", Violation::UnknownField },
        { "id: 1\ndata: x\ngarbage", Violation::UnknownField },
        { "id: 1\nid: 1\ndata: x\n\n", Violation::RepeatedId },
        { "id: 1\ndata: x\nid\n\n", Violation::RepeatedId },
        { "id\ndata: x\n\n", Violation::IdNotANumber },
        { "id:\ndata: x\n\n", Violation::IdNotANumber },
        { "id:  1\ndata: x\n\n", Violation::IdNotANumber },
        { "id: 1 \ndata: x\n\n", Violation::IdNotANumber },
        { "id: +1\ndata: x\n\n", Violation::IdNotANumber },
        { "id: -1\ndata: x\n\n", Violation::IdNotANumber },
        { "id: 01\ndata: x\n\n", Violation::IdNotANumber },
        { "id: 1.0\ndata: x\n\n", Violation::IdNotANumber },
        { "id: 0x1\ndata: x\n\n", Violation::IdNotANumber },
        { "id: 1\0\ndata: x\n\n"s, Violation::IdNotANumber },
        { "id: 18446744073709551616\ndata: x\n\n", Violation::IdNotANumber },
        { "id: one\ndata: x\n\n", Violation::IdNotANumber },
        { "retry\n\n", Violation::RetryNotANumber },
        { "retry: soon\n\n", Violation::RetryNotANumber },
        { "retry: -1\n\n", Violation::RetryNotANumber },
        { "id: 1\ndata: x\nretry: 1.5\n\n", Violation::RetryNotANumber },
        { "x-versions\n\n", Violation::ExtensionNotANumber },
        { "id: 1\ndata: x\nx-versions: 1,2\n\n", Violation::ExtensionNotANumber },
        { "data: x\n\n", Violation::MissingId },
        { "data\n\n", Violation::MissingId },
        { "event: token\ndata: x\n\n", Violation::MissingId },
        { "data: [DONE]\ndata: [DONE]\n\n", Violation::MisplacedEndMarker },
        { "data: [DONE] \n\n", Violation::MissingId },
        { "id: 1\n\n", Violation::MissingData },
        { "id: 1\nevent: token\n\n", Violation::MissingData },
    }));
    CAPTURE(text.substr(0, 80));
    CHECK(toString(violationOf(text)) == toString(violation));
}

// Guards against violations that a log line does not distinguish.
TEST_CASE("each violation of an event has a name of its own", "[sse][events]")
{
    std::set<std::string_view> names;
    constexpr int violations = static_cast<int>(EventViolation::Incomplete) + 1;
    for (int i = 0; i < violations; ++i)
        names.insert(toString(static_cast<EventViolation>(i)));
    CHECK(names.size() == violations);
    CHECK_FALSE(names.contains("unknown"));
    CHECK(toString(static_cast<EventViolation>(violations)) == "unknown");
}

// Guards against a deployment's extension or end marker that is accepted in streams of another deployment.
TEST_CASE("an extension field and an end marker are sound only where the rules name them", "[sse][events]")
{
    CHECK(violationOf("x-versions: 18\n\n", {}) == EventViolation::UnknownField);
    CHECK(violationOf("data: [DONE]\n\n", {}) == EventViolation::MissingId);
    CHECK(violationOf(": 18\n\n", {}) == EventViolation::None);
    CHECK(violationOf("data\n\n", {}) == EventViolation::MissingId);
    SseEvent event;
    REQUIRE(parseSseEvent("data: [DONE]\n\n", testRules, event) == EventViolation::None);
    CHECK(event.isEndMarker);
    CHECK(event.isDelivered());
    CHECK(violationOf("id: 1\ndata: [DONE]\n\n") == EventViolation::MisplacedEndMarker);
    REQUIRE(parseSseEvent(": ping\n\n", testRules, event) == EventViolation::None);
    CHECK_FALSE(event.isDelivered());
}

// Guards against a position other than the one that callers' parsers take from the event.
TEST_CASE("an event's id and data are those that the specification defines", "[sse][events]")
{
    auto [text, id, data] = GENERATE(table<std::string, std::uint64_t, std::string>({
        { "id: 7\ndata: x\n\n", 7, "x" },
        { "id:7\ndata:x\n\n", 7, "x" },
        { "data:  x \nid: 18446744073709551615\n\n", UINT64_MAX, " x " },
        { "id: 7\r\ndata: a:b\r\n\r\n", 7, "a:b" },
        { "id: 7\rdata: x\r\r", 7, "x" },
        { "id: 7\ndata\n\n", 7, "" },
        { "id: 7\ndata:\n\n", 7, "" },
    }));
    CAPTURE(text);
    SseEvent event;
    REQUIRE(parseSseEvent(text, testRules, event) == EventViolation::None);
    CHECK(event.id == id);
    CHECK(event.data == data);
    std::vector<DispatchedEvent> expected { { .id = std::to_string(id), .type = "message", .data = data } };
    CHECK(readEventStream(text) == expected);
}

// Guards against a byte that makes an event another one for callers than for the router.
TEST_CASE("an event with any byte at any place is sound only if a second reader finds it sound", "[sse][events]")
{
    const std::string text = GENERATE("id: 12\nevent: t\ndata: a\xc3\xa9\n:c\nretry: 3\nx-versions: 4\n\n"s,
        "id:12\r\ndata\r\ndata: b\r\n\r\n"s, "data: a\rid: 12\r\r"s);
    std::size_t sound = 0;
    auto check = [&](const std::string& spoilt) {
        CAPTURE(spoilt);
        for (const std::string& block : { spoilt + "\n", spoilt + "\r" }) {
            bool isSound = reference::readBlock(block, std::string(extensionField), maxEventBytes).isSound;
            sound += isSound ? 1 : 0;
            REQUIRE((violationOf(block, { .extensionField = extensionField }) == EventViolation::None) == isSound);
        }
    };
    for (std::size_t place = 0; place <= text.size(); ++place) {
        for (int value = 0; value < 256; ++value) {
            std::string spoilt = text;
            check(spoilt.insert(place, 1, static_cast<char>(value)));
            if (place == text.size())
                continue;
            spoilt = text;
            spoilt[place] = static_cast<char>(value);
            check(spoilt);
        }
    }
    // Both kinds of input have to occur for the comparison to mean something.
    CHECK(sound > text.size());
    CHECK(sound < text.size() * 512 * 2);
}

// Guards against another end of an event than callers' parsers find, and against its dependence on received pieces.
TEST_CASE("blocks end with a blank line of any line end", "[sse][events]")
{
    auto [text, sizes] = GENERATE(table<std::string, std::vector<std::size_t>>({
        { "", { 0 } },
        { "a\n\nb\n\n", { 3, 3, 0 } },
        { "a\r\n\r\nb\r\n\r\n", { 5, 5, 0 } },
        { "a\r\rb\r\r", { 3, 3, 0 } },
        { "a\n\r\nb\r\n\n", { 4, 4, 0 } },
        { "a\r\n\rb\n\r", { 4, 3, 0 } },
        { "\n\r\n\ra", { 1, 2, 1, 1 } },
        { "a\nb\rc\r\nd", { 8 } },
        { "a\n", { 2 } },
        { "a\r", { 2 } },
    }));
    CAPTURE(text);
    CHECK(blockSizes(text, text.size() + 1) == sizes);
    for (std::size_t pieceBytes = 1; pieceBytes <= text.size(); ++pieceBytes) {
        // The LF of a CRLF that is received later than its CR is a block of its own.
        std::vector<std::size_t> expected;
        std::size_t end = 0;
        for (std::size_t size : sizes) {
            end += size;
            bool isDivided = size > 1 && text.substr(end - 2, 2) == "\r\n" && (end - 1) % pieceBytes == 0;
            if (isDivided && &size != &sizes.back()) {
                expected.push_back(size - 1);
                expected.push_back(1);
            } else {
                expected.push_back(size);
            }
        }
        CAPTURE(pieceBytes);
        CHECK(blockSizes(text, pieceBytes) == expected);
        CHECK(blockSizes(text, pieceBytes, true) == expected);
    }
}

// Guards against streams that keep memory for the longest piece that they have received.
TEST_CASE("the memory of returned blocks is given back, and that of a growing block is not copied", "[sse][memory]")
{
    constexpr std::size_t smallBytes = 8U << 10U;
    const std::string event = "id: 1\ndata: " + std::string(100'000, 'x') + "\n\n";
    SseBlockReader reader;
    auto append = [&](std::string_view piece) {
        reader.append(piece);
        std::size_t blocks = 0;
        while (reader.next())
            ++blocks;
        reader.compact();
        return blocks;
    };
    CHECK(append("id: 0\nda") == 0);
    CHECK(append("ta: x\n\n" + event + event.substr(0, 20)) == 2);
    CHECK(reader.incompleteBlock() == event.substr(0, 20));
    CHECK(reader.bufferCapacity() <= smallBytes);

    std::size_t capacityChanges = 0;
    for (std::size_t i = 20; i < event.size() - 1; ++i) {
        std::size_t capacityBefore = reader.bufferCapacity();
        CHECK(append(event.substr(i, 1)) == 0);
        capacityChanges += reader.bufferCapacity() != capacityBefore;
    }
    CHECK(capacityChanges < 20); // It doubles.
    CHECK(append("\n") == 1);
    CHECK(reader.bufferCapacity() <= smallBytes);
}

// Guards against a position that no run made in a caller's request or in an endpoint's event.
TEST_CASE("an event's id is a decimal number of 64 bits", "[sse][events]")
{
    using Id = std::optional<std::uint64_t>;
    auto [text, id] = GENERATE(table<std::string, Id>({ { "0", 0 }, { "1", 1 }, { "10", 10 },
        { "18446744073709551615", UINT64_MAX }, { "18446744073709551616", {} }, { "28446744073709551615", {} },
        { "100000000000000000000", {} }, { "", {} }, { "00", {} }, { "01", {} }, { "+1", {} }, { "-1", {} },
        { "-0", {} }, { " 1", {} }, { "1 ", {} }, { "1\0"s, {} }, { "1.0", {} }, { "1e3", {} }, { "0x1", {} },
        { "1,2", {} }, { "one", {} }, { "\xd9\xa1", {} }, { std::string(1'000, '9'), {} } }));
    CAPTURE(text);
    CHECK(parseEventId(text) == id);
    CHECK(reference::idOf(text) == id);
}

// Guards against a sound stream that is refused for the form of its media type, and against the opposite.
TEST_CASE("an event stream's media type is compared without case and parameters", "[sse][events]")
{
    for (std::string_view type : { "text/event-stream", "TEXT/Event-Stream", "text/event-stream;charset=utf-8",
             "text/event-stream ; charset=utf-8", "text/event-stream\t;", "text/event-stream; a=\"b;c\"" }) {
        CAPTURE(type);
        CHECK(isEventStreamType(type));
    }
    for (std::string_view type : { ""sv, ";"sv, "text"sv, "text/"sv, "text/event-streams"sv, "text/event-strea"sv,
             "text/event-stream+json"sv, "text/event stream"sv, "xtext/event-stream"sv, "application/json"sv,
             "application/json; text/event-stream"sv, "text/plain"sv, "text/event-stream, text/plain"sv,
             "text/event-stream\0"sv, "\xef\xbb\xbftext/event-stream"sv }) {
        CAPTURE(type);
        CHECK_FALSE(isEventStreamType(type));
    }
}

// Guards against a byte order mark that makes callers' parsers ignore the first field, or that spoils a sound stream.
TEST_CASE("one byte order mark may stand at the start of an answer", "[sse][events]")
{
    const std::string mark(byteOrderMark);
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string second = "id: 2\ndata: b\n\n";
    SseSplitter splitter({});
    CHECK(std::string(splitter.feed(mark + first)) == mark + first);
    splitter.resume();
    CHECK(std::string(splitter.feed(mark + second)) == second);
    CHECK(splitter.violation() == EventViolation::None);

    SseSplitter twice({});
    CHECK(twice.feed(mark + mark + first).empty());
    CHECK(twice.violation() == EventViolation::UnknownField);
    SseSplitter resumed({});
    CHECK(std::string(resumed.feed(first)) == first);
    resumed.resume();
    CHECK(resumed.feed(mark + mark + second).empty());
    CHECK(resumed.violation() == EventViolation::UnknownField);
    SseSplitter later({});
    CHECK(std::string(later.feed(first + mark + second)) == first);
    CHECK(later.violation() == EventViolation::UnknownField);
}

// Guards against a number that starts again behind the largest one.
TEST_CASE("no event follows the one with the largest id", "[sse][events]")
{
    const std::string largest = "id: 18446744073709551615\ndata: a\n\n";
    SseSplitter splitter({}, UINT64_MAX - 1);
    CHECK(std::string(splitter.feed(largest)) == largest);
    CHECK(splitter.feed("id: 0\ndata: b\n\n").empty());
    CHECK(splitter.violation() == EventViolation::OutOfOrder);
    SseSplitter ended({}, UINT64_MAX);
    CHECK(ended.feed(largest).empty());
    CHECK(ended.violation() == EventViolation::OutOfOrder);
    CHECK(ended.lastId() == UINT64_MAX);
}

// Guards against the largest event's being sound or not by the pieces in which it is received.
TEST_CASE("the size of the largest event does not depend on received pieces", "[sse][events]")
{
    const std::string mark = GENERATE(""s, std::string(byteOrderMark));
    const std::string lineEnd = GENERATE("\n"s, "\r"s, "\r\n"s);
    std::string event = "id: 1" + lineEnd + "data: ";
    const std::size_t fixedBytes = event.size() + 2 * lineEnd.size();
    for (std::size_t size = maxEventBytes - 1; size <= maxEventBytes + 3; ++size) {
        std::string text = mark + event + std::string(size - fixedBytes, 'x') + lineEnd + lineEnd;
        SseSplitter whole({});
        const std::string forwarded(whole.feed(text));
        CAPTURE(size, text.size());
        CHECK((forwarded.empty() || forwarded == text));
        if (size <= maxEventBytes)
            CHECK(whole.violation() == EventViolation::None);
        if (size > maxEventBytes + 1)
            CHECK(whole.violation() == EventViolation::TooLong);
        for (std::size_t lastBytes = 1; lastBytes <= 5; ++lastBytes) {
            CAPTURE(lastBytes);
            SseSplitter divided({});
            const std::string first = text.substr(0, text.size() - lastBytes);
            const std::string last = text.substr(first.size());
            std::string parts(divided.feed(first));
            parts += divided.feed(last);
            CHECK(parts.size() == forwarded.size());
            CHECK(divided.violation() == whole.violation());
        }
    }
}

// Guards against memory that an event without end fills.
TEST_CASE("an event without end is a violation after the largest event's size", "[sse][events]")
{
    const std::string repeated = GENERATE("x"s, "data: x\n"s, ":\r"s, "id: 1\r\n"s);
    constexpr std::size_t pieceBytes = 4'096;
    std::string piece;
    while (piece.size() < pieceBytes)
        piece += repeated;
    SseSplitter splitter({});
    std::size_t bytes = 0;
    while (splitter.violation() == EventViolation::None && bytes <= 2 * maxEventBytes) {
        CHECK(splitter.feed(piece).empty());
        bytes += piece.size();
    }
    CHECK(splitter.violation() == EventViolation::TooLong);
    CHECK(bytes <= maxEventBytes + piece.size());
    CHECK(splitter.violatingBytes() == bytes);
    CHECK(splitter.feed("id: 1\ndata: a\n\n").empty());
    CHECK(splitter.violatingBytes() == bytes);
}
