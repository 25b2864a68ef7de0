#include "daemon/SseScanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace jasminestack;
using namespace std::string_literals;

namespace {

constexpr std::uint64_t eventCount = 6;
const std::string endMarker = "data: [DONE]\n\n";

std::string sseEvent(std::uint64_t index, std::string_view lineEnd = "\n")
{
    std::string end(lineEnd);
    return "id: " + std::to_string(index) + end + "data: {\"t\":\"" + std::string(index % 7, 'x') + "\"}" + end + end;
}

/// \returns The events from \p first up to, but without, \p last.
std::string sseEvents(std::uint64_t first, std::uint64_t last)
{
    std::string events;
    for (std::uint64_t i = first; i < last; ++i)
        events += sseEvent(i);
    return events;
}

/// \brief A way to spoil the events of a stream: bytes in place of the event \c index.
struct SpoiltEvent {
    const char* name;
    std::uint64_t index; ///< eventCount: in place of the end marker.
    std::string bytes;
};

const std::vector<SpoiltEvent>& spoiltEvents()
{
    static const std::vector<SpoiltEvent> all {
        { "bytes without a field before the first event", 0, "garbage\n\n" + sseEvent(0) },
        { "bytes without a field between two events", 3, "\x01\x02 garbage\r\n\r\n" + sseEvent(3) },
        { "bytes without a field before the end marker", eventCount, "garbage\n\n" + endMarker },
        { "bytes that are not UTF-8 in a comment", 3, ":\xff\xfe\n\n" + sseEvent(3) },
        { "data without an id", 3, "data: {\"t\":\"y\"}\n\n" + sseEvent(3) },
        { "usage without an id", eventCount, "data: {\"usage\":{}}\n\n" + endMarker },
        { "an empty id", 3, "id\ndata: {}\n\n" + sseEvent(3) },
        { "words for an id", 3, "id: three\ndata: {}\n\n" },
        { "a signed id", 3, "id: +3\ndata: {}\n\n" },
        { "a fraction for an id", 3, "id: 3.0\ndata: {}\n\n" },
        { "an id with a leading zero", 3, "id: 03\ndata: {}\n\n" },
        { "an id of 65 bits", 3, "id: 18446744073709551619\ndata: {}\n\n" },
        { "NUL in an id", 3, "id: 3\0\ndata: {}\n\n"s },
        { "bytes in front of an event", 3, "garbage" + sseEvent(3) },
        { "a byte order mark in front of an event", 3, "\xef\xbb\xbf" + sseEvent(3) },
        { "a line of garbage in an event", 3, "id: 3\ngarbage\ndata: {}\n\n" },
        { "a bare CR in the data", 3, "id: 3\ndata: {\r}\n\n" },
        { "an event that bare CRs divide", 3, "id: 3\r\rdata: {}\n\n" },
        { "an id without data", 3, "id: 3\n\n" },
        { "two ids", 3, "id: 9\nid: 3\ndata: {}\n\n" },
        { "an event twice", 3, sseEvent(2) + sseEvent(3) },
        { "a missing event", 3, "" },
        { "an earlier event", 3, sseEvent(0) },
        { "a first event that is not the first", 0, sseEvent(1) },
        { "a first event with a large index", 0, sseEvent(9) },
        { "an end marker with an id", 3, "id: 3\ndata: [DONE]\n\n" },
        { "an end marker with other data", 3, "data: {}\ndata: [DONE]\n\n" },
        { "an end marker with bytes in front of it", eventCount, "garbage" + endMarker },
    };
    return all;
}

/// \returns The stream from event \p first on, in which an event is replaced.
std::string spoiltStream(std::uint64_t first, const SpoiltEvent& spoilt)
{
    if (spoilt.index == eventCount)
        return sseEvents(first, eventCount) + spoilt.bytes;
    std::uint64_t place = std::max(spoilt.index, first);
    return sseEvents(first, place) + spoilt.bytes + sseEvents(place + 1, eventCount) + endMarker;
}

/// \returns All that the scanner returns for \p stream, received in parts of \p chunkSize bytes.
std::string feedInChunks(SseScanner& scanner, std::string_view stream, std::size_t chunkSize)
{
    std::string received;
    for (std::size_t i = 0; i < stream.size(); i += chunkSize)
        received += scanner.feed(stream.substr(i, chunkSize));
    return received;
}

}

// Guards against events that are lost, truncated or duplicated because of the chunk boundaries or after a resumption.
TEST_CASE("a stream that breaks at any byte and is resumed reaches the caller complete", "[sse]")
{
    REQUIRE(rc::check("whole", [] {
        auto count = *rc::gen::inRange<std::uint64_t>(0, 20);
        std::string lineEnd = *rc::gen::element<std::string>("\n", "\r\n");
        std::string expected;
        for (std::uint64_t i = 0; i < count; ++i)
            expected += sseEvent(i, lineEnd);
        expected += "data: [DONE]" + lineEnd + lineEnd;
        SseScanner scanner;
        std::string received;
        for (int attempt = 0; attempt < 8; ++attempt) {
            // The engine may resume up to 2 events before the requested index.
            auto overlap = *rc::gen::inRange<std::uint64_t>(0, 3);
            std::uint64_t from = scanner.nextIndex() - std::min(overlap, scanner.nextIndex());
            std::string remainingStream;
            for (std::uint64_t i = from; i < count; ++i)
                remainingStream += sseEvent(i, lineEnd);
            remainingStream += "data: [DONE]" + lineEnd + lineEnd;
            std::size_t length
                = attempt == 7 ? remainingStream.size() : *rc::gen::inRange<std::size_t>(0, remainingStream.size() + 1);
            for (std::size_t i = 0; i < length;) {
                std::size_t chunkSize = std::min(length - i, *rc::gen::inRange<std::size_t>(1, 40));
                received += scanner.feed(std::string_view(remainingStream).substr(i, chunkSize));
                i += chunkSize;
            }
            if (scanner.isDone())
                break;
            scanner.prepareToResume();
        }
        RC_ASSERT(scanner.isDone());
        RC_ASSERT(received == expected);
        RC_ASSERT(scanner.tokenCount() == count);
    }));
}

// Guards against pieces that no run made, from an engine that spoils its events in any way, and against a position of
// the stream that no run made.
TEST_CASE("a spoilt stream is returned up to the last sound event", "[sse][events]")
{
    for (const SpoiltEvent& spoilt : spoiltEvents()) {
        std::string stream = spoiltStream(0, spoilt);
        for (std::size_t chunkSize = 1; chunkSize <= stream.size(); ++chunkSize) {
            CAPTURE(spoilt.name, chunkSize);
            SseScanner scanner;
            REQUIRE(feedInChunks(scanner, stream, chunkSize) == sseEvents(0, spoilt.index));
            REQUIRE_FALSE(scanner.isDone());
            REQUIRE(scanner.nextIndex() == spoilt.index);
            REQUIRE(scanner.tokenCount() == spoilt.index);
        }
    }
}

// Guards against pieces that no run made in the answer that resumes a stream, and against a second spoilt answer.
TEST_CASE("a spoilt stream is resumed after the last sound event", "[sse][events]")
{
    for (const SpoiltEvent& spoilt : spoiltEvents()) {
        std::string stream = spoiltStream(0, spoilt);
        for (std::size_t chunkSize : { std::size_t { 1 }, std::size_t { 7 }, stream.size() }) {
            CAPTURE(spoilt.name, chunkSize);
            SseScanner scanner;
            std::string received = feedInChunks(scanner, stream, chunkSize);
            for (const std::string& answer :
                { spoiltStream(scanner.nextIndex(), spoilt), sseEvents(0, eventCount) + endMarker }) {
                scanner.prepareToResume();
                received += feedInChunks(scanner, answer, chunkSize);
            }
            REQUIRE(scanner.isDone());
            REQUIRE(received == sseEvents(0, eventCount) + endMarker);
        }
    }
}

// Guards against changes to streams that are sound, in each form that the specification of server-sent events allows.
TEST_CASE("sound streams are returned byte for byte", "[sse][events]")
{
    std::string lf = sseEvents(0, eventCount) + endMarker;
    auto withLineEnds = [&](std::string_view lineEnd) {
        std::string text;
        for (char c : lf)
            text += c == '\n' ? std::string(lineEnd) : std::string(1, c);
        return text;
    };
    for (const std::string& stream :
        { lf, withLineEnds("\r\n"), withLineEnds("\r"), "\xef\xbb\xbf" + lf, ": comment\n\n" + lf,
            "retry: 100\n\n:\n\n\n" + lf, "event: token\nid:0\ndata:\n\ndata: a\ndata: b\nid: 1\n\ndata:[DONE]\n\n"s,
            "id: 0\ndata: \xc3\xa4\xe2\x82\xac\xf0\x9f\x8c\xb8 \t{\"a\": \"[DONE]\"}\n\n" + endMarker, endMarker }) {
        for (std::size_t chunkSize = 1; chunkSize <= stream.size(); ++chunkSize) {
            CAPTURE(stream, chunkSize);
            SseScanner scanner;
            REQUIRE(feedInChunks(scanner, stream, chunkSize) == stream);
            REQUIRE(scanner.isDone());
        }
    }
}

// Guards against a resumed answer of another run, which skips or goes back behind the events that the caller has.
TEST_CASE("a resumed answer repeats events at its start only, and without a gap", "[sse][events]")
{
    auto resumed = [](const std::string& answer) {
        SseScanner scanner;
        CHECK(scanner.feed(sseEvents(0, 3)) == sseEvents(0, 3));
        scanner.prepareToResume();
        std::string received = feedInChunks(scanner, answer, 11);
        CHECK(scanner.isDone() == received.ends_with(endMarker));
        return received;
    };
    std::string rest = sseEvents(3, eventCount) + endMarker;
    CHECK(resumed(rest) == rest);
    CHECK(resumed(sseEvents(1, eventCount) + endMarker) == rest);
    CHECK(resumed("\xef\xbb\xbf" + rest) == rest);
    CHECK(resumed(sseEvent(0) + sseEvent(2) + rest).empty());
    CHECK(resumed(sseEvents(0, 2) + rest).empty());
    CHECK(resumed(sseEvents(4, eventCount) + endMarker).empty());
    CHECK(resumed(sseEvents(1, 4) + sseEvent(2) + sseEvent(3) + sseEvents(4, eventCount) + endMarker) == sseEvent(3));
    CHECK(resumed(sseEvents(0, 2) + endMarker).empty());
    CHECK(resumed(sseEvents(0, 3) + endMarker) == endMarker);
}

// Guards against a stream that appears complete although tokens are missing.
TEST_CASE("events after a gap in the indices are not returned", "[sse]")
{
    SseScanner scanner;
    CHECK(scanner.feed(sseEvent(0) + sseEvent(2) + "data: [DONE]\n\n") == sseEvent(0));
    CHECK(scanner.violation() == EventViolation::OutOfOrder);
    CHECK_FALSE(scanner.isDone());
    CHECK(scanner.nextIndex() == 1);
}

// Guards against relaying bytes after the end marker, which do not belong to the stream.
TEST_CASE("events after the end marker are not returned", "[sse]")
{
    SseScanner scanner;
    CHECK(scanner.feed("data: [DONE]\n\n" + sseEvent(0)) == "data: [DONE]\n\n");
    CHECK(scanner.feed(sseEvent(1)).empty());
}

// Guards against unlimited memory use for an event that never ends.
TEST_CASE("an event above the size limit is reported", "[sse]")
{
    SseScanner scanner;
    std::string chunk(64U << 10U, 'x');
    for (int i = 0; i < 17; ++i)
        static_cast<void>(scanner.feed(chunk));
    CHECK(scanner.violation() == EventViolation::TooLong);
}

// Guards against an engine that sends line ends or comments without end: each of them is a block of its own, and a
// daemon that forwards them reads nothing else meanwhile.
TEST_CASE("too many bytes between two tokens are reported", "[sse][endless]")
{
    for (const char* block : { "\n", ":\n\n" }) {
        CAPTURE(block);
        SseScanner scanner;
        std::string blocks;
        while (blocks.size() + std::string_view(block).size() <= maxEventBytes)
            blocks += block;
        std::string sound = blocks + sseEvent(0) + blocks;
        CHECK(scanner.feed(sound) == sound);
        CHECK(scanner.violation() == EventViolation::None);
        CHECK(scanner.feed(block).empty());
        CHECK(scanner.violation() == EventViolation::TooLong);
        scanner.prepareToResume();
        CHECK(scanner.feed(blocks + sseEvent(1)) == blocks + sseEvent(1));
    }
}

// Guards against a byte order mark in the middle of what the caller is sent, where it hides the first field of an
// event.
TEST_CASE("the scanner forwards a byte order mark only at the start of the caller's stream", "[sse][events]")
{
    const std::string mark(byteOrderMark);
    SseScanner scanner;
    CHECK(scanner.feed(mark + "id: 0\ndata: a\n\n") == mark + "id: 0\ndata: a\n\n");
    scanner.prepareToResume();
    CHECK(scanner.feed(mark + "id: 1\ndata: b\n\n") == "id: 1\ndata: b\n\n");
    scanner.prepareToResume();
    CHECK(scanner.feed(mark + mark + "id: 2\ndata: c\n\n").empty());
    CHECK(scanner.violation() == EventViolation::UnknownField);
}
