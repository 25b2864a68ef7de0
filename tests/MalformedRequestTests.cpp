#include "RouterHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;
using namespace std::string_literals;

// Guards against control characters of a caller's request line or fields that reach an endpoint.
TEST_CASE("requests with control characters are refused", "[router][malformed]")
{
    LoopbackRouter router;
    std::string request = LoopbackRouter::request("POST", "/book/x", "id-1", "order");
    auto [text, replacement] = GENERATE(table<std::string, std::string>({ { "/book/x", "/book/\tx" },
        { "/book/x", "/book/\fx" }, { "/book/x", "/book/\x01x" }, { "/book/x", "/book/\x7f" }, { "forged", "a\x01" },
        { "forged", "a\x1b[2J" }, { "forged", "a\x7f" }, { "forged", "a\0b"s }, { "forged", "a\rb" } }));
    CAPTURE(text, replacement);
    request.replace(request.find(text), text.size(), replacement);
    BlockingSocket caller = router.connectCaller();
    caller.write(request);
    CHECK(caller.readUntil("\r\n").starts_with("HTTP/1.1 400"));
    CHECK(!router.serviceListener.hasPendingConnection(20));
}
