#include "daemon/ClaimService.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace jasminestack;

namespace {

// A log whose answers come when the test says so.
class ScriptedLog final : public LogClient {
public:
    struct Append {
        std::string stream;
        std::string payload;
        AppendCallback callback;
    };
    struct Read {
        std::string stream;
        std::int64_t from { 0 };
        ReadCallback callback;
    };

    void append(std::string_view stream, std::string_view payload, AppendCallback callback) override
    {
        appends.push_back({ std::string(stream), std::string(payload), std::move(callback) });
    }

    void read(std::string_view stream, std::int64_t from, unsigned, Millis, ReadCallback callback) override
    {
        reads.push_back({ std::string(stream), from, std::move(callback) });
    }

    // Takes the oldest append into the log; its answer may be lost.
    void takeAppend(bool answerLost)
    {
        REQUIRE(!appends.empty());
        Append append = std::move(appends.front());
        appends.pop_front();
        auto offset = static_cast<std::int64_t>(records.size());
        records.push_back({ .offset = offset, .timestampMs = offset, .payload = append.payload });
        if (answerLost)
            append.callback(Error { .kind = ErrorKind::EndpointTimeout });
        else
            append.callback(offset);
    }

    void failAppend()
    {
        REQUIRE(!appends.empty());
        Append append = std::move(appends.front());
        appends.pop_front();
        append.callback(Error { .kind = ErrorKind::LogUnavailable });
    }

    void answerRead()
    {
        REQUIRE(!reads.empty());
        Read read = std::move(reads.front());
        reads.pop_front();
        LogBatch batch { .firstRetainedOffset = 0, .endOffset = static_cast<std::int64_t>(records.size()) };
        batch.records.assign(records.begin() + read.from, records.end());
        read.callback(batch);
    }

    std::deque<Append> appends;
    std::deque<Read> reads;
    std::vector<LogRecord> records;
};

struct Fixture {
    FakeClock clock;
    Random random { 1 };
    Metrics metrics;
    ScriptedLog log;
    ClaimService service { log, clock, random, metrics, "d1", { .claims = { .streamCount = 1 } } };
    std::vector<ClaimVerdict> verdicts;

    Fixture()
    {
        service.start();
        log.answerRead();
    }

    std::string begin(std::string_view key, Millis patience = { 5'000 })
    {
        return service.begin({ .workspace = "w", .key = key, .contentHash = 1, .deadline = clock.now() + patience },
            [this](const ClaimDecision& decision) { verdicts.push_back(decision.verdict); });
    }

    void pass(Millis time)
    {
        clock.advance(time);
        service.tick();
    }
};

}

// Guards against taking a lost answer for a lost append: the record is in the log and must be found by reading.
TEST_CASE("a claim whose append answer was lost runs once it is read back", "[claim-service]")
{
    Fixture f;
    static_cast<void>(f.begin("k"));
    f.log.takeAppend(true);
    REQUIRE(f.verdicts.empty());
    f.log.answerRead();
    REQUIRE(f.verdicts == std::vector { ClaimVerdict::Run });
}

// Guards against one append for each record, which would exceed the log's rate.
TEST_CASE("records that arise during an append share the next one", "[claim-service]")
{
    Fixture f;
    for (int i = 0; i < 10; ++i)
        static_cast<void>(f.begin("k" + std::to_string(i)));
    REQUIRE(f.log.appends.size() == 1);
    f.log.takeAppend(false);
    REQUIRE(f.log.appends.size() == 1);
    f.log.takeAppend(false);
    REQUIRE(f.log.appends.empty());
    f.log.answerRead();
    REQUIRE(f.verdicts.size() == 10);
}

// Guards against a call that runs, or hangs for ever, while the log is down.
TEST_CASE("with the log down a call is told at its deadline that it was not run", "[claim-service]")
{
    Fixture f;
    static_cast<void>(f.begin("k"));
    for (int i = 0; i < 120; ++i) {
        if (!f.log.appends.empty())
            f.log.failAppend();
        f.pass({ 50 });
    }
    REQUIRE(f.verdicts == std::vector { ClaimVerdict::Unavailable });
    // The log comes back: the withdrawal must reach it, since the claim may have been appended.
    for (int i = 0; i < 50 && !f.service.settled(); ++i) {
        if (!f.log.appends.empty())
            f.log.takeAppend(false);
        if (!f.log.reads.empty())
            f.log.answerRead();
        f.pass({ 50 });
    }
    REQUIRE(f.service.settled());
    REQUIRE(f.verdicts.size() == 1);
}

// Guards against calls that wait for their deadline because one read's connection went silent.
TEST_CASE("a silent read is bypassed while calls wait", "[claim-service]")
{
    Fixture f;
    static_cast<void>(f.begin("k"));
    f.log.takeAppend(false);
    f.log.reads.pop_front();
    f.pass({ 600 });
    REQUIRE(!f.log.reads.empty());
    f.log.answerRead();
    REQUIRE(f.verdicts == std::vector { ClaimVerdict::Run });
}

// Guards against running a call whose caller has gone, and against a claim that blocks the caller's repeat.
TEST_CASE("an abandoned call does not run and lets its repeat run", "[claim-service]")
{
    Fixture f;
    std::string claim = f.begin("k");
    f.service.abandon(claim);
    static_cast<void>(f.begin("k"));
    for (int i = 0; i < 10; ++i) {
        if (!f.log.appends.empty())
            f.log.takeAppend(false);
        if (!f.log.reads.empty())
            f.log.answerRead();
        f.pass({ 50 });
    }
    REQUIRE(f.verdicts == std::vector { ClaimVerdict::Run });
}
