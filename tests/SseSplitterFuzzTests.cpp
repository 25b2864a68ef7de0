#include "SseSplitterProperties.h"
#include "base/Random.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;
using namespace std::string_view_literals;

namespace {

constexpr std::array seeds { 20261206U, 1U, 2U, 3U };
constexpr std::array<std::uint64_t, 4> startPositions { 0, 5, 1'000'000, UINT64_MAX - 3 };

std::string_view randomLineEnd(Random& random)
{
    static constexpr std::array lineEnds { "\n"sv, "\r\n"sv, "\r"sv };
    return lineEnds[random.uniformInteger(lineEnds.size())];
}

/// \brief A sound event in one of the forms that the specification allows.
std::string soundEvent(std::uint64_t id, std::string_view lineEnd, Random& random)
{
    static constexpr std::array data { "data: token"sv, "data:token"sv, "data"sv, "data:"sv, "data: "sv,
        "data: caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80"sv, "data: id: 9"sv, "data: \xef\xbb\xbf"sv, "data:\0:"sv };
    static constexpr std::array others { ""sv, ":"sv, ": ping"sv, ":id: 3"sv, "event: token"sv, "event"sv,
        "retry: 3000"sv, "x-test-versions: 18"sv };
    std::vector<std::string> lines { "id:" + std::string(random.uniformInteger(2), ' ') + std::to_string(id) };
    for (std::uint64_t i = random.uniformInteger(3) / 2 + 1; i > 0; --i)
        lines.emplace_back(data[random.uniformInteger(data.size())]);
    if (std::string_view other = others[random.uniformInteger(others.size())]; !other.empty())
        lines.emplace_back(other);
    std::rotate(
        lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(random.uniformInteger(lines.size())), lines.end());
    std::string event;
    for (const std::string& line : lines)
        event.append(line).append(lineEnd);
    return event.append(lineEnd);
}

/// \brief Blocks of a sound answer, with blocks without data between its events.
std::vector<std::string> soundBlocks(std::uint64_t firstId, std::uint64_t events, Random& random)
{
    static constexpr std::array between { ": ping"sv, "retry: 1"sv, "event: none"sv, "x-test-versions: 7"sv };
    std::vector<std::string> blocks;
    std::string_view lineEnd = randomLineEnd(random);
    bool isMixed = random.uniformInteger(4) == 0;
    for (std::uint64_t i = 0; i < events; ++i) {
        if (isMixed)
            lineEnd = randomLineEnd(random);
        if (random.uniformInteger(6) == 0) {
            std::string block(between[random.uniformInteger(between.size())]);
            blocks.push_back(block.append(lineEnd).append(lineEnd));
        }
        blocks.push_back(soundEvent(firstId + i, lineEnd, random));
    }
    if (!blocks.empty() && random.uniformInteger(8) == 0)
        blocks.front().insert(0, byteOrderMark);
    return blocks;
}

std::string join(const std::vector<std::string>& blocks)
{
    std::string text;
    for (const std::string& block : blocks)
        text += block;
    return text;
}

/// \brief Swaps, repeats or removes a whole block.
void damageBlocks(std::vector<std::string>& blocks, Random& random)
{
    if (blocks.empty())
        return;
    auto block = blocks.begin() + static_cast<std::ptrdiff_t>(random.uniformInteger(blocks.size()));
    switch (random.uniformInteger(3)) {
    case 0:
        std::iter_swap(block, blocks.begin() + static_cast<std::ptrdiff_t>(random.uniformInteger(blocks.size())));
        break;
    case 1: {
        std::string copy = *block;
        blocks.insert(block, copy);
        break;
    }
    default:
        blocks.erase(block);
        break;
    }
}

/// \brief Damages the bytes of an answer at one place.
void damageBytes(std::string& text, Random& random)
{
    static constexpr std::array inserted { "\r"sv, "\n"sv, "\r\n"sv, "\n\n"sv, "\r\r"sv, "\0"sv, " "sv, ":"sv, "0"sv,
        "-"sv, "\xff"sv, "\xc3"sv, "\xef\xbb\xbf"sv, "id: 7\n"sv, "id\n"sv, "data: x\n"sv, "\n\ndata: x\n\n"sv,
        "garbage"sv, "garbage\n\n"sv, "retry: x\n"sv, "x-test-versions:\n"sv };
    if (text.empty())
        return;
    auto place = static_cast<std::size_t>(random.uniformInteger(text.size()));
    switch (random.uniformInteger(7)) {
    case 0:
        text[place] = static_cast<char>(random.uniformInteger(256));
        break;
    case 1:
        text.insert(place, inserted[random.uniformInteger(inserted.size())]);
        break;
    case 2:
        text.erase(place, random.uniformInteger(8) + 1);
        break;
    case 3:
        text.insert(place, text.substr(place, random.uniformInteger(40) + 1));
        break;
    case 4:
        text.erase(place);
        break;
    case 5:
        if (std::size_t lineEnd = text.find_first_of("\r\n", place); lineEnd != std::string::npos)
            text.replace(lineEnd, 1, randomLineEnd(random));
        break;
    default:
        text[place] = static_cast<char>(text[place] ^ (1U << random.uniformInteger(8)));
        break;
    }
}

/// \brief An answer of an endpoint that was asked for the events behind \p lastId, damaged more often than not.
std::string randomAnswer(std::uint64_t lastId, Random& random)
{
    std::uint64_t repeated = random.uniformInteger(2) * random.uniformInteger(std::min<std::uint64_t>(lastId, 3) + 1);
    std::vector<std::string> blocks = soundBlocks(lastId + 1 - repeated, random.uniformInteger(7), random);
    std::uint64_t damage = random.uniformInteger(5);
    if (damage == 1)
        damageBlocks(blocks, random);
    std::string text = join(blocks);
    for (std::uint64_t i = 2; i <= damage; ++i)
        damageBytes(text, random);
    if (random.uniformInteger(10) == 0)
        text += join(soundBlocks(lastId + 1, random.uniformInteger(3), random));
    return text;
}

std::vector<std::size_t> randomPieceSizes(Random& random)
{
    std::vector<std::size_t> sizes;
    for (int i = 0; i < 5; ++i)
        sizes.push_back(static_cast<std::size_t>(random.uniformInteger(60) + 1));
    return sizes;
}

std::vector<std::vector<std::size_t>> allPieceSizes(Random& random)
{
    return { { SIZE_MAX }, { 1 }, { 2 }, { 7 }, randomPieceSizes(random) };
}

}

// Guards against bytes of any kind that reach callers as events that no run made, twice, out of order or not at all,
// and against a stream that depends on how the network divides it.
TEST_CASE("callers receive the sound events of damaged answers, in pieces of any size", "[sse][events][fuzz]")
{
    auto seed = GENERATE(from_range(seeds));
    CAPTURE(seed);
    Random random(seed);
    constexpr int streams = 6'000;
    int sound = 0;
    int resumed = 0;
    for (int i = 0; i < streams; ++i) {
        CAPTURE(i);
        std::uint64_t start = startPositions[random.uniformInteger(startPositions.size())];
        std::uint64_t lastId = start;
        std::vector<std::string> answers;
        bool isSound = true;
        bool isContinuation = false;
        for (std::uint64_t count = random.uniformInteger(3) + 1; count > 0; --count) {
            answers.push_back(randomAnswer(lastId, random));
            ReadAnswer answer = readAnswerByReference(
                answers.back(), lastId, isContinuation, std::string(testExtensionField), maxEventBytes);
            isSound = isSound && answer.isSound;
            resumed += isContinuation && !answer.events.empty() ? 1 : 0;
            isContinuation = isContinuation || !answer.bytes.empty();
            lastId = answer.lastId;
        }
        sound += isSound ? 1 : 0;
        ForwardedStream whole = forwardAnswers(answers, start, { SIZE_MAX });
        for (const std::vector<std::size_t>& sizes : allPieceSizes(random)) {
            if (std::string fault = findSplitterFault(answers, start, sizes); !fault.empty()) {
                CAPTURE(start, answers, sizes);
                FAIL(fault);
            }
            ForwardedStream divided = forwardAnswers(answers, start, sizes);
            REQUIRE(divided.bytes == whole.bytes);
            REQUIRE(divided.violations == whole.violations);
        }
    }
    // Each kind of input has to occur for the comparison to mean something.
    CHECK(sound > streams / 20);
    CHECK(sound < streams / 2);
    CHECK(resumed > streams / 10);
}

// Guards against a sound stream that is changed or broken off.
TEST_CASE("a sound answer is forwarded byte for byte, in pieces of any size", "[sse][events][fuzz]")
{
    auto seed = GENERATE(from_range(seeds));
    CAPTURE(seed);
    Random random(seed);
    for (int i = 0; i < 1'000; ++i) {
        std::uint64_t start = startPositions[random.uniformInteger(startPositions.size() - 1)];
        std::string answer = join(soundBlocks(start + 1, random.uniformInteger(20), random));
        CAPTURE(i);
        for (const std::vector<std::size_t>& sizes : allPieceSizes(random)) {
            ForwardedStream stream = forwardAnswers({ answer }, start, sizes);
            REQUIRE(stream.bytes == answer);
            REQUIRE(stream.violations == std::vector { EventViolation::None });
        }
    }
}
