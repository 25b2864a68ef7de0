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

ClaimService::ClaimService(LogClient& log, const Clock& clock, Random& random, Metrics& metrics, std::string daemonId,
    const ClaimServiceOptions& options)
    : m_log(log)
    , m_clock(clock)
    , m_random(random)
    , m_metrics(metrics)
    , m_options(options)
    , m_state(makeClaimState(options.claims, std::move(daemonId)))
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
    bool hasWaitingRequests = std::any_of(m_state.pendingClaims.begin(), m_state.pendingClaims.end(),
        [](const auto& entry) { return !entry.second.running; });
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
        Stream& stream = m_streams[i];
        appendPendingRecords(i);
        if (!stream.isReading && now >= stream.nextReadAt) {
            read(i, m_options.longPollWait);
        } else if (stream.isReading && hasWaitingRequests
            && now - stream.lastReadActivityAt >= m_options.hedgedReadDelay) {
            // The connection of the read in flight may have stalled, so a second read is sent.
            stream.lastReadActivityAt = now;
            m_log.read(stream.name, m_state.nextOffset[i], m_options.maxRecords, {},
                [this, i, lifetime = std::weak_ptr<int>(m_lifetime)](const Result<LogBatch>& batch) {
                    if (!lifetime.expired())
                        onRead(i, batch, false);
                });
        }
    }
    deliverDecisions();
}

std::string ClaimService::begin(const KeyedRequest& keyedRequest, DecisionCallback callback)
{
    std::string claimId = m_random.uuid();
    m_callbacks.emplace(claimId, std::move(callback));
    ClaimRequest claimRequest { .key = makeClaimKey(keyedRequest.workspace, keyedRequest.key),
        .claimId = claimId,
        .contentHash = keyedRequest.contentHash,
        .deadline = keyedRequest.deadline,
        .keyTime = timeOfKey(keyedRequest.key) };
    beginClaim(m_state, claimRequest, m_clock.now(), m_clock.wallTime());
    collectAppends();
    return claimId;
}

void ClaimService::finish(std::string_view claimId, RunStatus status, StoredResponse response)
{
    finishClaim(m_state, claimId, status, std::move(response), m_clock.now());
    collectAppends();
}

void ClaimService::abandon(std::string_view claimId)
{
    abandonClaim(m_state, claimId, m_clock.now());
    if (auto callbackEntry = m_callbacks.find(claimId); callbackEntry != m_callbacks.end())
        m_callbacks.erase(callbackEntry);
    collectAppends();
}

void ClaimService::read(std::size_t streamIndex, Millis wait)
{
    Stream& stream = m_streams[streamIndex];
    stream.isReading = true;
    stream.lastReadActivityAt = m_clock.now();
    m_log.read(stream.name, m_state.nextOffset[streamIndex], m_options.maxRecords, wait,
        [this, streamIndex, lifetime = std::weak_ptr<int>(m_lifetime)](const Result<LogBatch>& batch) {
            if (!lifetime.expired())
                onRead(streamIndex, batch, true);
        });
}

void ClaimService::onRead(std::size_t streamIndex, const Result<LogBatch>& batch, bool isMainRead)
{
    Stream& stream = m_streams[streamIndex];
    Millis now = m_clock.now();
    stream.lastReadActivityAt = now;
    m_metrics.add(Counter::LogRequests, { stream.name, batch ? "ok" : "failed" });
    if (isMainRead)
        stream.isReading = false;
    if (!batch) {
        stream.readRetryDelay = nextRetryDelay(stream.readRetryDelay);
        stream.nextReadAt = now + stream.readRetryDelay;
        return;
    }
    stream.readRetryDelay = {};
    onClaimRecords(
        m_state, static_cast<unsigned>(streamIndex), batch.value().firstRetainedOffset, batch.value().records, now);
    collectAppends();
    deliverDecisions();
    if (isMainRead && !stream.isReading)
        read(streamIndex, m_options.longPollWait);
}

void ClaimService::collectAppends()
{
    for (ClaimAppend& append : takeAppends(m_state))
        m_streams[append.stream].pendingRecords.push_back(std::move(append.record));
    for (std::size_t i = 0; i < m_streams.size(); ++i)
        appendPendingRecords(i);
}

void ClaimService::appendPendingRecords(std::size_t streamIndex)
{
    Stream& stream = m_streams[streamIndex];
    Millis now = m_clock.now();
    bool isAppendInFlight
        = stream.inFlightAppendId != 0 && now - stream.appendStartedAt < m_options.appendResponseTimeout;
    if (stream.pendingRecords.empty() || isAppendInFlight || now < stream.nextAppendAt)
        return;
    std::uint64_t appendId = m_nextAppendId++;
    stream.inFlightAppendId = appendId;
    stream.appendStartedAt = now;
    std::string payload = joinRecords(std::exchange(stream.pendingRecords, {}));
    // Records of a failed append need no retry here: the claims controller returns each record again until it has been
    // read back from the log.
    m_log.append(stream.name, payload,
        [this, streamIndex, appendId, lifetime = std::weak_ptr<int>(m_lifetime)](const Result<std::int64_t>& offset) {
            if (lifetime.expired())
                return;
            Stream& appendedStream = m_streams[streamIndex];
            m_metrics.add(Counter::LogRequests, { appendedStream.name, offset ? "ok" : "failed" });
            if (appendedStream.inFlightAppendId == appendId)
                appendedStream.inFlightAppendId = 0;
            appendedStream.appendRetryDelay = offset ? Millis {} : nextRetryDelay(appendedStream.appendRetryDelay);
            appendedStream.nextAppendAt = m_clock.now() + appendedStream.appendRetryDelay;
            appendPendingRecords(streamIndex);
        });
}

void ClaimService::deliverDecisions()
{
    for (const ClaimDecision& decision : takeDecisions(m_state)) {
        m_metrics.add(Counter::Claims, { verdictName(decision.verdict) });
        auto callbackEntry = m_callbacks.find(decision.claimId);
        if (callbackEntry == m_callbacks.end()) {
            // The claim was cancelled between the decision and its delivery. The status NotRun withdraws it in the log,
            // so that another call with the key may run.
            if (decision.verdict == ClaimVerdict::Run)
                finishClaim(m_state, decision.claimId, RunStatus::NotRun, {}, m_clock.now());
            continue;
        }
        DecisionCallback callback = std::move(callbackEntry->second);
        m_callbacks.erase(callbackEntry);
        callback(decision);
    }
}

Millis ClaimService::nextRetryDelay(Millis previousDelay) const noexcept
{
    return std::clamp(Millis { previousDelay.count * 2 }, m_options.minimumRetryDelay, m_options.maximumRetryDelay);
}

}
