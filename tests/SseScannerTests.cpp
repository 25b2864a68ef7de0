#include "daemon/SseScanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jasminestack;

namespace {

std::string sseEvent(std::uint64_t index, std::string_view lineEnd = "\n")
{
    std::string end(lineEnd);
    return "id: " + std::to_string(index) + end + "data: {\"t\":\"" + std::string(index % 7, 'x') + "\"}" + end + end;
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

// Guards against a stream that appears complete although tokens are missing.
TEST_CASE("events after a gap in the indices are not returned", "[sse]")
{
    SseScanner scanner;
    CHECK(scanner.feed(sseEvent(0) + sseEvent(2) + "data: [DONE]\n\n") == sseEvent(0));
    CHECK(scanner.hasGap());
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
    CHECK(scanner.isEventTooLong());
}
