#include "base/Error.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace jasminestack;

// Guards against two kinds with one name, which scripts could not tell apart, and against success codes for errors.
TEST_CASE("each error kind has its own name and an error status", "[error]")
{
    std::set<std::string_view> names;
    for (const ErrorResponse& answer : errorTable()) {
        REQUIRE(names.insert(answer.name).second);
        REQUIRE(answer.httpStatus >= 400);
        REQUIRE(answer.httpStatus < 600);
        REQUIRE(&errorResponseFor(answer.kind) == &answer);
    }
}
