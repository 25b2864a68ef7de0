#include "RequestProxyHarness.h"

#include "daemon/ClaimService.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

/// \brief A log that completes pending requests only when completeRequests() is called; without such calls it imitates
/// a log that is down.
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

    void completeRequests()
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
        log.completeRequests();
    }

    FakeCaller& sendKeyedBooking(const std::string& key = "key-7", const std::string& body = "slot")
    {
        return send(
            { .method = "POST", .target = "/booking/slots", .headers = { { "Idempotency-Key", key } }, .body = body });
    }

    // Completes the pending log requests and delivers the resulting claim decisions.
    void advanceLog()
    {
        advance(Millis { 50 });
        service.tick();
        log.completeRequests();
        service.tick();
    }
};

}

// Guards against running a call before its claim was read back from the log, and against running a repeated key again
// (G5).
TEST_CASE("a call with an idempotency key runs once, and repeats receive its response", "[claimflow]")
{
    ClaimHarness harness;
    FakeCaller& first = harness.sendKeyedBooking();
    CHECK(harness.transport.exchanges.empty());
    harness.advanceLog();
    REQUIRE(harness.transport.exchanges.size() == 1);
    FakeCaller& concurrentRepeat = harness.sendKeyedBooking();
    harness.advanceLog();
    CHECK(concurrentRepeat.isAwaitingResponse());
    harness.latestExchange().respond(201, "booked", { { "Content-Type", "text/plain" } });
    CHECK(first.body == "booked");
    harness.advanceLog();
    FakeCaller& laterRepeat = harness.sendKeyedBooking();
    harness.advanceLog();
    for (const FakeCaller* repeat : { &concurrentRepeat, &laterRepeat }) {
        REQUIRE(repeat->hasEnded);
        CHECK(repeat->head.status == 201);
        CHECK(repeat->body == "booked");
    }
    FakeCaller& reusedKey = harness.sendKeyedBooking("key-7", "another slot");
    harness.advanceLog();
    CHECK(reusedKey.errorKind() == "idempotency_key_reused");
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against a key that stays claimed after a call that did not run, or is released after a call that may have run.
TEST_CASE("a failed call releases its idempotency key only if it did not run", "[claimflow]")
{
    ClaimHarness harness;
    bool endpointReceivedRequest = GENERATE(false, true);
    FakeCaller& first = harness.sendKeyedBooking();
    harness.advanceLog();
    REQUIRE(harness.transport.exchanges.size() == 1);
    if (endpointReceivedRequest) {
        harness.latestExchange().listener->onConnected();
        harness.latestExchange().endExchange(false);
        CHECK(first.runStatus() == "unknown");
    } else {
        harness.latestExchange().respond(503, "full", { { "X-Not-Run", "1" } });
        harness.proxy.refuseQueuedRequests();
        CHECK(first.runStatus() == "not_run");
    }
    harness.advanceLog();
    harness.advance(Millis { 1'000 });
    FakeCaller& repeat = harness.sendKeyedBooking();
    harness.advanceLog();
    harness.advanceLog();
    if (endpointReceivedRequest) {
        REQUIRE(repeat.hasEnded);
        CHECK(repeat.errorKind() == "endpoint_lost");
        CHECK(repeat.runStatus() == "unknown");
        CHECK(harness.transport.exchanges.size() == 1);
    } else {
        CHECK(harness.transport.exchanges.size() == 2);
    }
}

// Guards against running a call whose caller disconnected, or was refused, before its claim was decided.
TEST_CASE("a claim is abandoned when its caller disconnects or the daemon stops", "[claimflow]")
{
    ClaimHarness harness;
    bool isDaemonStopping = GENERATE(false, true);
    FakeCaller& caller = harness.sendKeyedBooking();
    if (isDaemonStopping) {
        harness.proxy.refuseQueuedRequests();
        CHECK(caller.errorKind() == "shutting_down");
        CHECK(caller.runStatus() == "not_run");
    } else {
        caller.listener->onCallerDisconnected();
    }
    harness.advanceLog();
    harness.advanceLog();
    CHECK(harness.transport.exchanges.empty());
    CHECK(harness.proxy.activeRequestCount() == 0);
    harness.sendKeyedBooking();
    harness.advanceLog();
    CHECK(harness.transport.exchanges.size() == 1);
}

// Guards against calls with a key that run without a claim, or wait forever, while the log is down (G4, G5).
TEST_CASE("a call with an idempotency key ends as not run at its deadline while the log is down", "[claimflow]")
{
    ClaimHarness harness;
    FakeCaller& caller = harness.sendKeyedBooking();
    for (int i = 0; i < 130; ++i) {
        harness.advance(Millis { 1'000 });
        harness.service.tick();
    }
    REQUIRE(caller.hasEnded);
    CHECK(caller.errorKind() == "claims_unavailable");
    CHECK(caller.runStatus() == "not_run");
    CHECK(harness.transport.exchanges.empty());
}

// Guards against running a call without a key although its route requires one.
TEST_CASE("a route can require a key for its non-idempotent calls", "[claimflow]")
{
    RequestProxyHarness harness;
    harness.configuration.routes["booking"].requireIdempotencyKey = true;
    FakeCaller& withoutKey = harness.sendBooking();
    CHECK(withoutKey.errorKind() == "idempotency_key_invalid");
    CHECK(withoutKey.runStatus() == "not_run");
    harness.sendBooking("GET");
    CHECK(harness.transport.exchanges.size() == 1);
}
