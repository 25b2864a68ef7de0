#include "LoopbackHarness.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "platform/KeyedTopicReader.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace jasminestack;
using namespace jasminestack::platform;
using namespace jasminestack::test;

namespace {

/// \brief A reader whose store answers what the test tells.
struct ReaderFixture {
    EventBasePointer base { makePrioritizedEventBase() };
    SystemClock clock;
    HttpClient http { *base };
    ListeningSocket store;
    std::vector<std::string> targets;
    std::map<std::string, std::string> listed;
    KeyedTopicReader reader { *base, http, clock,
        { .address = store.address(),
            .topic = "t",
            .timing = { .longPollTimeout = { 100 }, .minRetryDelay = { 20 }, .maxRetryDelay = { 50 } } },
        { .onList = [this](const std::map<std::string, std::string>& entries) { listed = entries; },
            .onRecord = [](const KeyedRecord&) {},
            .onReadComplete = [] {},
            .onFailure = [](const FailedStoreCall&) {},
            .onRecovery = [](const StoreRecovery&) {} } };

    /// \brief Answers the next calls, each with what the function returns for its target.
    void serve(std::size_t calls, const std::function<std::string(const std::string& target)>& answer)
    {
        for (std::size_t call = 0; call < calls; ++call) {
            runUntil([&] { return store.hasPendingConnection(0); });
            BlockingSocket connection = store.accept();
            runUntil([&] {
                pollfd state { .fd = connection.descriptor(), .events = POLLIN };
                return poll(&state, 1, 0) > 0;
            });
            std::string head = connection.readUntil("\r\n\r\n");
            targets.push_back(head.substr(0, head.find("\r\n")));
            std::string body = answer(targets.back());
            connection.write("HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body);
        }
    }

    void runUntil(const std::function<bool()>& isReached) const
    {
        for (Millis end = clock.now() + Millis { 5'000 }; !isReached();) {
            if (clock.now() >= end)
                FAIL("not reached in time");
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        }
    }
};

std::string page(const std::string& entries, bool hasMore, const std::string& endOffset)
{
    return R"({"entries":[)" + entries + R"(],"hasMore":)" + (hasMore ? "true" : "false") + R"(,"endOffset":)"
        + endOffset + "}";
}

const std::string entry = R"({"key":"k","value":"e30="})";

}

// Guards against positions that overflow, or that seem to be of a later era: records would never be read again.
TEST_CASE("a list whose end is no offset is read again", "[platform][store][odd]")
{
    for (const char* endOffset : { "-1", "-9223372036854775808", "1099511627776", "9223372036854775807",
             "9223372036854775808", "18446744073709551615", "1e300", "0.5", "null" }) {
        CAPTURE(endOffset);
        ReaderFixture fixture;
        fixture.reader.start();
        fixture.serve(
            3, [&](const std::string&) { return page(entry, false, fixture.targets.size() == 1 ? endOffset : "7"); });
        CHECK(fixture.targets[1].starts_with("GET /v1/log-newest?"));
        CHECK(fixture.targets[2].find("/v1/log-read?topic=t&part=0&from=7&") != std::string::npos);
    }
}

// Guards against calls to the store without a pause as long as it repeats a page.
TEST_CASE("a list that does not go on is read again after a pause", "[platform][store][odd]")
{
    ReaderFixture fixture;
    fixture.reader.start();
    Millis start = fixture.clock.now();
    fixture.serve(12, [](const std::string&) { return page(entry, true, "7"); });
    CHECK((fixture.clock.now() - start).count >= 100); // Two calls and a pause of at least 20 ms in turn.
}

// Guards against registrations that disappear because a page without keys, with more to come, is taken for the last
// one.
TEST_CASE("a page without keys is not the end of a list that has more", "[platform][store][odd]")
{
    ReaderFixture fixture;
    fixture.reader.start();
    fixture.serve(4, [&](const std::string&) {
        switch (fixture.targets.size()) {
        case 1:
            return page(entry, true, "7");
        case 2:
            return page("", true, "7");
        case 3:
            return page(entry, true, "7");
        default:
            CHECK(fixture.listed.empty());
            return page(R"({"key":"m","value":"e30="})", false, "7");
        }
    });
    fixture.runUntil([&] { return fixture.listed.size() == 2; });
}

// Guards against keys that break the request for the next page, so that the list is never complete.
TEST_CASE("the key after which a page begins may have any characters", "[platform][store][odd]")
{
    ReaderFixture fixture;
    fixture.reader.start();
    fixture.serve(2, [&](const std::string&) {
        return fixture.targets.size() == 1 ? page(R"({"key":"a/b c&d=1\r\né%","value":"e30="})", true, "7")
                                           : page(entry, false, "7");
    });
    CHECK(fixture.targets[1] == "GET /v1/log-newest?topic=t&part=0&after=a/b%20c%26d%3D1%0D%0A%C3%A9%25 HTTP/1.1");
    fixture.runUntil([&] { return fixture.listed.size() == 2; });
}
