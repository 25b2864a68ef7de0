#include "daemon/ClaimService.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace jasminestack;

namespace {

// A log that sends each response only when the test requests it.
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

    // Completes the oldest append; with isResponseLost its callback receives a timeout although the record is stored.
    void acceptAppend(bool isResponseLost)
    {
        REQUIRE(!appends.empty());
        Append append = std::move(appends.front());
        appends.pop_front();
        auto offset = static_cast<std::int64_t>(records.size());
        records.push_back({ .offset = offset, .timestampMs = offset, .payload = append.payload });
        if (isResponseLost)
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

    void respondToRead()
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
        log.respondToRead();
    }

    std::string begin(std::string_view key, Millis timeout = { 5'000 })
    {
        return service.begin({ .workspace = "w", .key = key, .contentHash = 1, .deadline = clock.now() + timeout },
            [this](const ClaimDecision& decision) { verdicts.push_back(decision.verdict); });
    }

    void pass(Millis duration)
    {
        clock.advance(duration);
        service.tick();
    }
};

}

// Guards against treating a lost response as a lost append: the record is in the log and must be found by reading it.
TEST_CASE("a claim whose append response was lost runs once it is read back", "[claim-service]")
{
    Fixture fixture;
    static_cast<void>(fixture.begin("k"));
    fixture.log.acceptAppend(true);
    REQUIRE(fixture.verdicts.empty());
    fixture.log.respondToRead();
    REQUIRE(fixture.verdicts == std::vector { ClaimVerdict::Run });
}

// Guards against sending one append per record, which would exceed the log's rate limit.
TEST_CASE("records created during an append are batched into the next append", "[claim-service]")
{
    Fixture fixture;
    for (int i = 0; i < 10; ++i)
        static_cast<void>(fixture.begin("k" + std::to_string(i)));
    REQUIRE(fixture.log.appends.size() == 1);
    fixture.log.acceptAppend(false);
    REQUIRE(fixture.log.appends.size() == 1);
    fixture.log.acceptAppend(false);
    REQUIRE(fixture.log.appends.empty());
    fixture.log.respondToRead();
    REQUIRE(fixture.verdicts.size() == 10);
}

// Guards against a request that runs, or waits without end, while the log is unavailable.
TEST_CASE("while the log is unavailable a request fails at its deadline without being run", "[claim-service]")
{
    Fixture fixture;
    static_cast<void>(fixture.begin("k"));
    for (int i = 0; i < 120; ++i) {
        if (!fixture.log.appends.empty())
            fixture.log.failAppend();
        fixture.pass({ 50 });
    }
    REQUIRE(fixture.verdicts == std::vector { ClaimVerdict::Unavailable });
    // Once the log is available again, the cancellation must be appended, since the claim may have been appended
    // before.
    for (int i = 0; i < 50 && !fixture.service.hasNoUnconfirmedRecords(); ++i) {
        if (!fixture.log.appends.empty())
            fixture.log.acceptAppend(false);
        if (!fixture.log.reads.empty())
            fixture.log.respondToRead();
        fixture.pass({ 50 });
    }
    REQUIRE(fixture.service.hasNoUnconfirmedRecords());
    REQUIRE(fixture.verdicts.size() == 1);
}

// Guards against requests that wait until their deadline because the connection of one read has stalled.
TEST_CASE("a second read is sent when a read stalls while requests wait", "[claim-service]")
{
    Fixture fixture;
    static_cast<void>(fixture.begin("k"));
    fixture.log.acceptAppend(false);
    fixture.log.reads.pop_front();
    fixture.pass({ 600 });
    REQUIRE(!fixture.log.reads.empty());
    fixture.log.respondToRead();
    REQUIRE(fixture.verdicts == std::vector { ClaimVerdict::Run });
}

// Guards against running a request whose caller has disconnected, and against an abandoned claim that blocks the
// caller's retry.
TEST_CASE("an abandoned request does not run and does not block its retry", "[claim-service]")
{
    Fixture fixture;
    std::string claimId = fixture.begin("k");
    fixture.service.abandon(claimId);
    static_cast<void>(fixture.begin("k"));
    for (int i = 0; i < 10; ++i) {
        if (!fixture.log.appends.empty())
            fixture.log.acceptAppend(false);
        if (!fixture.log.reads.empty())
            fixture.log.respondToRead();
        fixture.pass({ 50 });
    }
    REQUIRE(fixture.verdicts == std::vector { ClaimVerdict::Run });
}
