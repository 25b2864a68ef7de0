#include "daemon/ClaimService.h"

#include <algorithm>

namespace jasminestack {

namespace {

    std::string_view verdictName(ClaimVerdict verdict) noexcept
    {
        switch (verdict) {
        case ClaimVerdict::Run:
            return "run";
        case ClaimVerdict::Replay:
            return "replay";
        case ClaimVerdict::InProgress:
            return "in_progress";
        case ClaimVerdict::Unknown:
            return "unknown";
        case ClaimVerdict::Unavailable:
            return "unavailable";
        case ClaimVerdict::KeyReused:
            return "key_reused";
        case ClaimVerdict::KeyExpired:
            return "key_expired";
        }
        return "unavailable";
    }

    std::string joinRecords(const std::vector<std::string>& records)
    {
        if (records.size() == 1)
            return records.front();
        std::string payload = "[";
        for (const std::string& record : records) {
            if (payload.size() > 1)
                payload += ',';
            payload += record;
        }
        return payload + "]";
    }

}

ClaimService::ClaimService(LogClient& log, const Clock& clock, Random& random, Metrics& metrics, std::string daemon,
    const ClaimServiceOptions& options)
    : m_log(log)
    , m_clock(clock)
    , m_random(random)
    , m_metrics(metrics)
    , m_options(options)
    , m_state(makeClaimState(options.claims, std::move(daemon)))
    , m_streams(options.claims.streamCount)
{
    for (std::size_t i = 0; i < m_streams.size(); ++i)
        m_streams[i].name = "claims-" + std::to_string(i);
}

void ClaimService::start()
{
    for (std::size_t i = 0; i < m_streams.size(); ++i)
        read(i, {});
}

void ClaimService::tick()
{
    Millis now = m_clock.now();
    tickClaims(m_state, now);
    collectAppends();
    bool callsWait = std::any_of(m_state.pendingClaims.begin(), m_state.pendingClaims.end(),
        [](const auto& entry) { return !entry.second.running; });
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
        Stream& stream = m_streams[i];
        appendWaiting(i);
        if (!stream.reading && now >= stream.readAt) {
            read(i, m_options.readWait);
        } else if (stream.reading && callsWait && now - stream.lastProgress >= m_options.sideReadAfter) {
            // The waiting read's connection may have gone silent.
            stream.lastProgress = now;
            m_log.read(stream.name, m_state.nextOffset[i], m_options.maxRecords, {},
                [this, i, alive = std::weak_ptr<int>(m_alive)](const Result<LogBatch>& batch) {
                    if (!alive.expired())
                        onRead(i, batch, false);
                });
        }
    }
    deliver();
}

std::string ClaimService::begin(const IdempotentRequest& call, DecisionCallback callback)
{
    std::string claim = m_random.uuid();
    m_callbacks.emplace(claim, std::move(callback));
    ClaimRequest request { .key = makeClaimKey(call.workspace, call.key),
        .claimId = claim,
        .contentHash = call.contentHash,
        .deadline = call.deadline,
        .keyTime = timeOfKey(call.key) };
    beginClaim(m_state, request, m_clock.now(), m_clock.wallTime());
    collectAppends();
    return claim;
}

void ClaimService::finish(std::string_view claim, RunStatus status, StoredResponse answer)
{
    finishClaim(m_state, claim, status, std::move(answer), m_clock.now());
    collectAppends();
}

void ClaimService::abandon(std::string_view claim)
{
    abandonClaim(m_state, claim, m_clock.now());
    if (auto found = m_callbacks.find(claim); found != m_callbacks.end())
        m_callbacks.erase(found);
    collectAppends();
}

void ClaimService::read(std::size_t index, Millis wait)
{
    Stream& stream = m_streams[index];
    stream.reading = true;
    stream.lastProgress = m_clock.now();
    m_log.read(stream.name, m_state.nextOffset[index], m_options.maxRecords, wait,
        [this, index, alive = std::weak_ptr<int>(m_alive)](const Result<LogBatch>& batch) {
            if (!alive.expired())
                onRead(index, batch, true);
        });
}

void ClaimService::onRead(std::size_t index, const Result<LogBatch>& batch, bool main)
{
    Stream& stream = m_streams[index];
    Millis now = m_clock.now();
    stream.lastProgress = now;
    m_metrics.add(Counter::LogRequests, { stream.name, batch ? "ok" : "failed" });
    if (main)
        stream.reading = false;
    if (!batch) {
        stream.retryDelay = nextDelay(stream.retryDelay);
        stream.readAt = now + stream.retryDelay;
        return;
    }
    stream.retryDelay = {};
    onClaimRecords(
        m_state, static_cast<unsigned>(index), batch.value().firstRetainedOffset, batch.value().records, now);
    collectAppends();
    deliver();
    if (main && !stream.reading)
        read(index, m_options.readWait);
}

void ClaimService::collectAppends()
{
    for (ClaimAppend& append : takeAppends(m_state))
        m_streams[append.stream].waiting.push_back(std::move(append.record));
    for (std::size_t i = 0; i < m_streams.size(); ++i)
        appendWaiting(i);
}

void ClaimService::appendWaiting(std::size_t index)
{
    Stream& stream = m_streams[index];
    Millis now = m_clock.now();
    bool held = stream.appendTicket != 0 && now - stream.appendStarted < m_options.appendOverdue;
    if (stream.waiting.empty() || held || now < stream.appendAt)
        return;
    std::uint64_t ticket = m_nextTicket++;
    stream.appendTicket = ticket;
    stream.appendStarted = now;
    std::string payload = joinRecords(std::exchange(stream.waiting, {}));
    // Records of a failed append are not kept here: the controller appends again what it does not read back.
    m_log.append(stream.name, payload,
        [this, index, ticket, alive = std::weak_ptr<int>(m_alive)](const Result<std::int64_t>& offset) {
            if (alive.expired())
                return;
            Stream& answered = m_streams[index];
            m_metrics.add(Counter::LogRequests, { answered.name, offset ? "ok" : "failed" });
            if (answered.appendTicket == ticket)
                answered.appendTicket = 0;
            answered.appendDelay = offset ? Millis {} : nextDelay(answered.appendDelay);
            answered.appendAt = m_clock.now() + answered.appendDelay;
            appendWaiting(index);
        });
}

void ClaimService::deliver()
{
    for (const ClaimDecision& decision : takeDecisions(m_state)) {
        m_metrics.add(Counter::Claims, { verdictName(decision.verdict) });
        auto found = m_callbacks.find(decision.claimId);
        if (found == m_callbacks.end()) {
            // The caller went away between the decision and its delivery.
            if (decision.verdict == ClaimVerdict::Run)
                finishClaim(m_state, decision.claimId, RunStatus::NotRun, {}, m_clock.now());
            continue;
        }
        DecisionCallback callback = std::move(found->second);
        m_callbacks.erase(found);
        callback(decision);
    }
}

Millis ClaimService::nextDelay(Millis delay) const noexcept
{
    return std::clamp(Millis { delay.count * 2 }, m_options.retryMinimum, m_options.retryMaximum);
}

}
