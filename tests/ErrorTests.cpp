#include "base/Error.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace jasminestack;

// Guards against two error kinds with the same name, which scripts could not distinguish, and against errors with a
// success status.
TEST_CASE("each error kind has its own name and an error status", "[error]")
{
    std::set<std::string_view> names;
    for (const ErrorResponse& response : errorTable()) {
        REQUIRE(names.insert(response.name).second);
        REQUIRE(response.httpStatus >= 400);
        REQUIRE(response.httpStatus < 600);
        REQUIRE(&errorResponseFor(response.kind) == &response);
    }
}
