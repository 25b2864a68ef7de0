#include "RequestProxyHarness.h"

#include "daemon/ClaimService.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

/// \brief A log that answers when settle() is called, and not at all while it is down.
class SteppedLog final : public LogClient {
public:
    void append(std::string_view, std::string_view payload, AppendCallback callback) override
    {
        m_appends.emplace_back(std::string(payload), std::move(callback));
    }
    void read(std::string_view, std::int64_t from, unsigned, Millis, ReadCallback callback) override
    {
        m_reads.emplace_back(from, std::move(callback));
    }

    void settle()
    {
        while (!m_appends.empty()) {
            auto [payload, callback] = std::move(m_appends.front());
            m_appends.pop_front();
            auto offset = static_cast<std::int64_t>(records.size());
            records.push_back({ .offset = offset, .timestampMs = offset, .payload = std::move(payload) });
            callback(offset);
        }
        auto reads = std::exchange(m_reads, {});
        for (auto& [from, callback] : reads) {
            LogBatch batch { .endOffset = static_cast<std::int64_t>(records.size()) };
            batch.records.assign(records.begin() + from, records.end());
            callback(batch);
        }
    }

    std::vector<LogRecord> records;

private:
    std::deque<std::pair<std::string, AppendCallback>> m_appends;
    std::deque<std::pair<std::int64_t, ReadCallback>> m_reads;
};

struct ClaimHarness : RequestProxyHarness {
    SteppedLog log;
    ClaimService service { log, clock, random, metrics, "daemon-1", { .claims = { .streamCount = 1 } } };

    ClaimHarness()
        : RequestProxyHarness({}, &service)
    {
        service.start();
        log.settle();
    }

    FakeCaller& bookKeyed(const std::string& key = "key-7", const std::string& body = "slot")
    {
        return send(
            { .method = "POST", .target = "/booking/slots", .headers = { { "Idempotency-Key", key } }, .body = body });
    }

    // Lets the log answer and delivers decisions.
    void step()
    {
        advance(Millis { 50 });
        service.tick();
        log.settle();
        service.tick();
    }
};

}

// Guards against a keyed call that runs before its claim is read back, and against a repeat that runs again (G5).
TEST_CASE("a keyed call runs once, and repeats get its answer", "[claimflow]")
{
    ClaimHarness harness;
    FakeCaller& first = harness.bookKeyed();
    CHECK(harness.transport.exchanges.empty());
    harness.step();
    REQUIRE(harness.transport.exchanges.size() == 1);
    FakeCaller& together = harness.bookKeyed();
    harness.step();
    CHECK(together.isAwaitingResponse());
    harness.latestExchange().respond(201, "booked", { { "Content-Type", "text/plain" } });
    CHECK(first.body == "booked");
    harness.step();
    FakeCaller& later = harness.bookKeyed();
    harness.step();
    for (const FakeCaller* repeat : { &together, &later }) {
        REQUIRE(repeat->ended);
        CHECK(repeat->head.status == 201);
        CHECK(repeat->body == "booked");
    }
    FakeCaller& other = harness.bookKeyed("key-7", "another slot");
    harness.step();
    CHECK(other.errorKind() == "idempotency_key_reused");
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against a key that stays blocked after a call that did not run, and is released after one that may have run.
TEST_CASE("a failed keyed call frees its key only if it did not run", "[claimflow]")
{
    ClaimHarness harness;
    bool reached = GENERATE(false, true);
    FakeCaller& first = harness.bookKeyed();
    harness.step();
    REQUIRE(harness.transport.exchanges.size() == 1);
    if (reached) {
        harness.latestExchange().listener->onConnected();
        harness.latestExchange().endExchange(false);
        CHECK(first.runStatus() == "unknown");
    } else {
        harness.latestExchange().respond(503, "full", { { "X-Not-Run", "1" } });
        harness.flow.refuseQueued();
        CHECK(first.runStatus() == "not_run");
    }
    harness.step();
    harness.advance(Millis { 1'000 });
    FakeCaller& repeat = harness.bookKeyed();
    harness.step();
    harness.step();
    if (reached) {
        REQUIRE(repeat.ended);
        CHECK(repeat.errorKind() == "endpoint_lost");
        CHECK(repeat.runStatus() == "unknown");
        CHECK(harness.transport.exchanges.size() == 1);
    } else {
        CHECK(harness.transport.exchanges.size() == 2);
    }
}

// Guards against a claim that is decided for a caller who has gone, and then runs.
TEST_CASE("a claim is given up when its caller goes away or the daemon stops", "[claimflow]")
{
    ClaimHarness harness;
    bool stopping = GENERATE(false, true);
    FakeCaller& caller = harness.bookKeyed();
    if (stopping) {
        harness.flow.refuseQueued();
        CHECK(caller.errorKind() == "shutting_down");
        CHECK(caller.runStatus() == "not_run");
    } else {
        caller.listener->onCallerDisconnected();
    }
    harness.step();
    harness.step();
    CHECK(harness.transport.exchanges.empty());
    CHECK(harness.flow.active() == 0);
    harness.bookKeyed();
    harness.step();
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against keyed calls that run without a claim, or wait without an end, while the log is down (G4, G5).
TEST_CASE("a keyed call ends as not run at its deadline while the log is down", "[claimflow]")
{
    ClaimHarness harness;
    FakeCaller& caller = harness.bookKeyed();
    for (int i = 0; i < 130; ++i) {
        harness.advance(Millis { 1'000 });
        harness.service.tick();
    }
    REQUIRE(caller.ended);
    CHECK(caller.errorKind() == "claims_unavailable");
    CHECK(caller.runStatus() == "not_run");
    CHECK(harness.transport.exchanges.empty());
}

// Guards against calls that a route protects by keys and that run without one.
TEST_CASE("a route can require a key for its non-idempotent calls", "[claimflow]")
{
    RequestProxyHarness harness;
    harness.configuration.routes["booking"].requireIdempotencyKey = true;
    FakeCaller& bare = harness.sendBooking();
    CHECK(bare.errorKind() == "idempotency_key_invalid");
    CHECK(bare.runStatus() == "not_run");
    harness.sendBooking("GET");
    CHECK(harness.transport.exchanges.size() == 1);
}
