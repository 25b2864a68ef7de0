#include "observe/ProcessUsage.h"

#include <catch2/catch.hpp>

using namespace jasminestack;

// Guards against the field after a program name with spaces and parentheses being read as the start time.
TEST_CASE("the start time is found behind any program name", "[usage]")
{
    const std::string_view rest = " S 1 2 3 0 -1 4194560 100 0 0 0 5 6 0 0 20 0 1 0 123456 1000 200";
    CHECK(parseStartTicks("77 (router)" + std::string(rest)) == 123'456);
    CHECK(parseStartTicks("77 (a) S 1 (b)" + std::string(rest)) == 123'456);
}

// Guards against numbers that are made up where the system tells nothing, or something else.
TEST_CASE("a stat file of another form has no start time", "[usage]")
{
    CHECK(!parseStartTicks(""));
    CHECK(!parseStartTicks("77 (router"));
    CHECK(!parseStartTicks("77 (router) S 1 2"));
    CHECK(!parseStartTicks("77 (router) S 1 2 3 0 -1 4194560 100 0 0 0 5 6 0 0 20 0 1 0 soon 1000"));
}

// Guards against an age that is far from the time since this program was started.
TEST_CASE("the process has an age", "[usage]")
{
    auto age = processAge();
    REQUIRE(age);
    CHECK(age->count < 3'600'000);
}
