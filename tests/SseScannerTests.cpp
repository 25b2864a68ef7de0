#include "daemon/SseScanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jasminestack;

namespace {

std::string event(std::uint64_t index, std::string_view lineEnd = "\n")
{
    std::string end(lineEnd);
    return "id: " + std::to_string(index) + end + "data: {\"t\":\"" + std::string(index % 7, 'x') + "\"}" + end + end;
}

}

// Guards against events that are lost, cut or doubled by the way the network splits a stream, and by resuming it.
TEST_CASE("a stream that breaks anywhere and is resumed reaches the caller whole", "[sse]")
{
    REQUIRE(rc::check("whole", [] {
        auto count = *rc::gen::inRange<std::uint64_t>(0, 20);
        std::string lineEnd = *rc::gen::element<std::string>("\n", "\r\n");
        std::string expected;
        for (std::uint64_t i = 0; i < count; ++i)
            expected += event(i, lineEnd);
        expected += "data: [DONE]" + lineEnd + lineEnd;
        SseScanner scanner;
        std::string received;
        for (int attempt = 0; attempt < 8; ++attempt) {
            // The engine may start a little before the index that was asked for.
            auto back = *rc::gen::inRange<std::uint64_t>(0, 3);
            std::uint64_t from = scanner.nextIndex() - std::min(back, scanner.nextIndex());
            std::string rest;
            for (std::uint64_t i = from; i < count; ++i)
                rest += event(i, lineEnd);
            rest += "data: [DONE]" + lineEnd + lineEnd;
            std::size_t length = attempt == 7 ? rest.size() : *rc::gen::inRange<std::size_t>(0, rest.size() + 1);
            for (std::size_t i = 0; i < length;) {
                std::size_t piece = std::min(length - i, *rc::gen::inRange<std::size_t>(1, 40));
                received += scanner.feed(std::string_view(rest).substr(i, piece));
                i += piece;
            }
            if (scanner.done())
                break;
            scanner.reconnect();
        }
        RC_ASSERT(scanner.done());
        RC_ASSERT(received == expected);
        RC_ASSERT(scanner.tokens() == count);
    }));
}

// Guards against a stream with missing tokens that looks whole.
TEST_CASE("nothing after a gap in the indices is passed on", "[sse]")
{
    SseScanner scanner;
    CHECK(scanner.feed(event(0) + event(2) + "data: [DONE]\n\n") == event(0));
    CHECK(scanner.gap());
    CHECK_FALSE(scanner.done());
    CHECK(scanner.nextIndex() == 1);
}

// Guards against relaying what follows the end marker, which belongs to no stream.
TEST_CASE("nothing after the end marker is passed on", "[sse]")
{
    SseScanner scanner;
    CHECK(scanner.feed("data: [DONE]\n\n" + event(0)) == "data: [DONE]\n\n");
    CHECK(scanner.feed(event(1)).empty());
}

// Guards against a stream of one endless event that fills the memory.
TEST_CASE("an event above the size limit is reported", "[sse]")
{
    SseScanner scanner;
    std::string piece(64U << 10U, 'x');
    for (int i = 0; i < 17; ++i)
        static_cast<void>(scanner.feed(piece));
    CHECK(scanner.overlong());
}
