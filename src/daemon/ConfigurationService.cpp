#include "daemon/ConfigurationService.h"

#include "observe/Logging.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    /// A read that returns without new records in less than this time is followed by a pause of this length. Without
    /// the pause, a log that ignores the long-poll wait would receive requests in a tight loop.
    constexpr Millis emptyReadPause { 100 };
    /// Largest difference between two daemons' offsets for which changes are transferred; above it, the whole document
    /// is. The receiver creates one record for each offset, most of them empty.
    constexpr std::int64_t maxOffsetDifference = 100'000;

    const Configuration& emptyConfiguration()
    {
        static const Configuration empty;
        return empty;
    }

}

ConfigurationService::ConfigurationService(LogClient& log, const Clock& clock, ConfigurationServiceOptions options)
    : m_log(log)
    , m_clock(clock)
    , m_options(options)
    , m_readRetryDelay(options.minimumRetryDelay)
{
}

void ConfigurationService::start() { read(); }

const Configuration& ConfigurationService::current() const noexcept
{
    return m_replica.configuration ? *m_replica.configuration : emptyConfiguration();
}

ConfigurationDigest ConfigurationService::digest() const noexcept
{
    return { .version = m_replica.version, .throughOffset = m_replica.throughOffset };
}

void ConfigurationService::addChangeListener(ChangeListener listener)
{
    m_changeListeners.push_back(std::move(listener));
}

void ConfigurationService::setCheckpointWriter(std::function<bool()> isWriter)
{
    m_isCheckpointWriter = std::move(isWriter);
}

void ConfigurationService::read()
{
    m_isReading = true;
    m_readStartedAt = m_clock.now();
    std::int64_t from = nextOffset(m_replica);
    m_log.read(configurationStream, from, m_options.maxRecords, m_options.longPollWait,
        [this, from, lifetime = std::weak_ptr<int>(m_lifetime)](const Result<LogBatch>& batch) {
            if (lifetime.expired())
                return;
            m_isReading = false;
            Millis now = m_clock.now();
            if (!batch) {
                if (m_isLogReachable)
                    logEvent(
                        LogLevel::Warning, "configuration_log_unreachable", { { "error", batch.error().message } });
                m_isLogReachable = false;
                m_nextReadAt = now + m_readRetryDelay;
                m_readRetryDelay = std::min(m_options.maximumRetryDelay, m_readRetryDelay + m_readRetryDelay);
                return;
            }
            m_isLogReachable = true;
            m_readRetryDelay = m_options.minimumRetryDelay;
            onBatch(batch.value());
            // A callback or listener that onBatch() called may have destroyed the service.
            if (lifetime.expired())
                return;
            m_nextReadAt = now;
            if (nextOffset(m_replica) == from && now - m_readStartedAt < emptyReadPause)
                m_nextReadAt = now + emptyReadPause;
            else
                read();
        });
}

void ConfigurationService::startHedgedRead()
{
    m_isHedgedReadInFlight = true;
    m_lastHedgedReadAt = m_clock.now();
    m_log.read(configurationStream, nextOffset(m_replica), m_options.maxRecords, {},
        [this, lifetime = std::weak_ptr<int>(m_lifetime)](const Result<LogBatch>& batch) {
            if (lifetime.expired())
                return;
            m_isHedgedReadInFlight = false;
            if (batch)
                onBatch(batch.value());
        });
}

void ConfigurationService::onBatch(const LogBatch& batch)
{
    m_firstRetainedOffset = std::max(m_firstRetainedOffset, batch.firstRetainedOffset);
    updateNewestCheckpoint(batch);
    std::uint64_t versionBefore = m_replica.version;
    bool wasSeeking = m_replica.isSeekingCheckpoint;
    for (const ChangeResult& result : applyRecords(m_replica, batch)) {
        logEvent(LogLevel::Info, "configuration_change",
            { { "id", result.id }, { "author", result.author }, { "outcome", toString(result.outcome) },
                { "version", result.version }, { "offset", result.offset } });
    }
    if (m_replica.isSeekingCheckpoint && !wasSeeking && batch.firstRetainedOffset > m_replica.throughOffset + 1)
        logEvent(LogLevel::Warning, "configuration_records_expired",
            { { "through_offset", m_replica.throughOffset }, { "first_retained", batch.firstRetainedOffset } });
    onReplicaAdvanced(versionBefore);
}

void ConfigurationService::updateNewestCheckpoint(const LogBatch& batch)
{
    for (const LogRecord& record : batch.records) {
        if (record.offset <= m_checkpoint.offset)
            continue;
        Json json = Json::parse(record.payload, nullptr, false);
        if (!json.is_object() || !json.contains("kind") || json["kind"] != "checkpoint"
            || !json.contains("throughOffset") || !json["throughOffset"].is_number_integer()
            || !json.contains("version") || !json["version"].is_number_unsigned())
            continue;
        // A daemon that was paused can write an old state after another daemon has written a newer one. Such a record
        // does not replace the checkpoint with the newer state.
        auto throughOffset = json["throughOffset"].get<std::int64_t>();
        if (throughOffset >= m_checkpoint.throughOffset)
            m_checkpoint = { .offset = record.offset,
                .throughOffset = throughOffset,
                .version = json["version"].get<std::uint64_t>(),
                .timestampMs = record.timestampMs };
    }
}

void ConfigurationService::onReplicaAdvanced(std::uint64_t versionBefore)
{
    resolvePublications();
    if (m_replica.version == versionBefore)
        return;
    for (const ChangeListener& listener : m_changeListeners)
        listener(current());
}

void ConfigurationService::publish(std::uint64_t baseVersion, std::string_view patch, std::string_view id,
    std::string_view author, PublishCallback callback)
{
    Millis now = m_clock.now();
    Publication publication { .id = std::string(id),
        .baseVersion = baseVersion,
        .throughOffsetAtStart = m_replica.throughOffset,
        .startedAt = now,
        .deadline = now + m_options.publishTimeout,
        .callback = std::move(callback) };
    std::uint64_t publicationNumber = m_nextPublicationNumber++;
    auto append = [&](std::string_view payload) {
        m_log.append(configurationStream, payload,
            [this, publicationNumber, lifetime = std::weak_ptr<int>(m_lifetime)](const Result<std::int64_t>& result) {
                if (!lifetime.expired())
                    onAppendCompleted(publicationNumber, result);
            });
    };
    auto record = makeChangeRecord(id, author, baseVersion, patch);
    // If a change with this id has been applied before, the publication is a retry and gets the outcome of that record.
    bool hasResult = findChangeResult(m_replica, id) != nullptr;
    Result<void> validation = record && !hasResult ? validateChange(m_replica, baseVersion, patch) : Result<void>(ok());
    if (!record || !validation) {
        // The callback must not run inside this call, so the next tick() delivers the outcome.
        Error error = record ? validation.error() : record.error();
        publication.callback = [callback = std::move(publication.callback), error](const auto&) { callback(error); };
        publication.deadline = now;
        m_publications.emplace(publicationNumber, std::move(publication));
        return;
    }
    m_publications.emplace(publicationNumber, std::move(publication));
    if (!hasResult)
        append(record.value());
}

void ConfigurationService::onAppendCompleted(std::uint64_t publicationNumber, const Result<std::int64_t>& result)
{
    auto it = m_publications.find(publicationNumber);
    if (it == m_publications.end())
        return;
    if (result) {
        it->second.offset = result.value();
        resolvePublications();
        return;
    }
    // After any other error the record may have been appended, so the outcome is determined by reading the log.
    if (result.error().kind != ErrorKind::LogUnavailable)
        return;
    auto callback = std::move(it->second.callback);
    m_publications.erase(it);
    callback(Error {
        .kind = ErrorKind::LogUnavailable, .message = "the change was not published: " + result.error().message });
}

bool ConfigurationService::findOutcome(const Publication& publication, Result<std::uint64_t>& outcome) const
{
    if (const ChangeResult* result = findChangeResult(m_replica, publication.id)) {
        switch (result->outcome) {
        case ChangeOutcome::Accepted:
            outcome = result->version;
            break;
        case ChangeOutcome::Conflict:
            outcome = Error { .kind = ErrorKind::ConfigurationConflict,
                .message = "the change is based on version " + std::to_string(result->baseVersion) + ", but version "
                    + std::to_string(result->version) + " was accepted before it" };
            break;
        case ChangeOutcome::Invalid:
            outcome = Error { .kind = ErrorKind::ConfigurationInvalid, .message = result->reason };
            break;
        }
        return true;
    }
    // Versions only increase. If the version in force is higher than the base version and the history contains every
    // record since the append started, this change can no longer be accepted, whatever offset its record gets.
    if (m_replica.version > publication.baseVersion
        && m_replica.historyStartOffset <= publication.throughOffsetAtStart + 1) {
        outcome = Error { .kind = ErrorKind::ConfigurationConflict,
            .message = "the change is based on version " + std::to_string(publication.baseVersion) + ", but version "
                + std::to_string(m_replica.version) + " was accepted before it" };
        return true;
    }
    return false;
}

void ConfigurationService::resolvePublications()
{
    Millis now = m_clock.now();
    std::vector<std::pair<PublishCallback, Result<std::uint64_t>>> resolvedPublications;
    for (auto it = m_publications.begin(); it != m_publications.end();) {
        Result<std::uint64_t> outcome = Error { .kind = ErrorKind::ConfigurationOutcomeUnknown,
            .message = "the record of change " + it->second.id
                + " was not read back from the log in time; the change may still take effect, check the history" };
        if (findOutcome(it->second, outcome) || now >= it->second.deadline) {
            resolvedPublications.emplace_back(std::move(it->second.callback), std::move(outcome));
            it = m_publications.erase(it);
        } else {
            ++it;
        }
    }
    for (auto& [callback, outcome] : resolvedPublications)
        callback(std::move(outcome));
}

void ConfigurationService::tick()
{
    Millis now = m_clock.now();
    resolvePublications();
    if (!m_isReading && now >= m_nextReadAt)
        read();
    if (isHedgedReadDue(now))
        startHedgedRead();
    if (isCheckpointDue())
        writeCheckpoint();
}

bool ConfigurationService::isHedgedReadDue(Millis now) const
{
    // The hedged read before may have been lost as well.
    Millis interval = m_isHedgedReadInFlight ? m_options.maximumRetryDelay : m_options.hedgedReadDelay;
    if (now - m_lastHedgedReadAt < interval)
        return false;
    if (m_isReading && now - m_readStartedAt >= m_options.longPollWait + m_options.overdueTimeout)
        return true;
    return std::any_of(m_publications.begin(), m_publications.end(),
        [&](const auto& entry) { return now - entry.second.startedAt >= m_options.hedgedReadDelay; });
}

bool ConfigurationService::isCheckpointDue() const
{
    if (m_replica.version == 0 || m_replica.isSeekingCheckpoint || !m_isLogReachable || !m_isCheckpointWriter)
        return false;
    if (m_hasAttemptedCheckpoint && m_clock.now() - m_lastCheckpointAttemptAt < m_options.checkpointRetryInterval)
        return false;
    bool isRetained
        = m_checkpoint.offset >= m_firstRetainedOffset && m_checkpoint.throughOffset + 1 >= m_firstRetainedOffset;
    // While the start of the stream is retained, a daemon without a configuration can apply all records and needs no
    // checkpoint.
    bool isRecoverable = isRetained || m_firstRetainedOffset == 0;
    // The interval starts at the newest checkpoint or, without one, at the oldest change in the history.
    std::int64_t intervalStartMs = m_checkpoint.timestampMs;
    if (m_checkpoint.offset < 0)
        intervalStartMs = m_replica.history.empty() ? 0 : m_replica.history.front().timestampMs;
    bool isIntervalOver = m_clock.wallTime().count - intervalStartMs >= m_options.checkpointInterval.count;
    bool hasManyChanges
        = m_replica.version - std::min(m_replica.version, m_checkpoint.version) >= m_options.checkpointChangeLimit;
    return (!isRecoverable || isIntervalOver || hasManyChanges) && m_isCheckpointWriter();
}

void ConfigurationService::writeCheckpoint()
{
    m_hasAttemptedCheckpoint = true;
    m_lastCheckpointAttemptAt = m_clock.now();
    m_log.append(configurationStream, makeCheckpointRecord(m_replica),
        [version = m_replica.version, throughOffset = m_replica.throughOffset](const Result<std::int64_t>& result) {
            if (result)
                logEvent(LogLevel::Info, "configuration_checkpoint_written",
                    { { "version", version }, { "through_offset", throughOffset }, { "offset", result.value() } });
            else
                logEvent(LogLevel::Warning, "configuration_checkpoint_failed", { { "error", result.error().message } });
        });
}

ConfigurationState ConfigurationService::stateSince(const ConfigurationDigest& peerDigest) const
{
    ConfigurationState state { .digest = digest() };
    if (m_replica.historyStartOffset <= peerDigest.throughOffset + 1
        && peerDigest.throughOffset < m_replica.throughOffset
        && m_replica.throughOffset - peerDigest.throughOffset <= maxOffsetDifference) {
        std::size_t changesSize = 0;
        bool hasAllPatches = true;
        for (auto it = m_replica.history.rbegin();
             it != m_replica.history.rend() && it->offset > peerDigest.throughOffset; ++it) {
            auto payload = makeChangeRecord(it->id, it->author, it->baseVersion, it->patch);
            if (!payload) {
                hasAllPatches = false; // The history omits long patches.
                break;
            }
            changesSize += payload.value().size();
            state.changes.push_back(
                { .offset = it->offset, .timestampMs = it->timestampMs, .payload = std::move(payload).value() });
        }
        std::reverse(state.changes.begin(), state.changes.end());
        if (hasAllPatches && changesSize < m_replica.document.size()) {
            state.changesFrom = peerDigest.throughOffset + 1;
            return state;
        }
        state.changes.clear();
    }
    state.document = m_replica.document;
    return state;
}

bool ConfigurationService::adopt(const ConfigurationState& state)
{
    if (state.digest.throughOffset <= m_replica.throughOffset || state.digest.version < m_replica.version)
        return false;
    std::uint64_t versionBefore = m_replica.version;
    if (!state.document.empty()) {
        // The document does not contain the id of the change that produced it. While a publication waits for its
        // outcome and the log can be read, the records are therefore read from the log instead.
        if (m_isLogReachable && !m_publications.empty())
            return false;
        auto adopted = adoptPeerState(m_replica, state.digest.version, state.digest.throughOffset, state.document);
        if (!adopted) {
            logEvent(LogLevel::Warning, "configuration_peer_state_rejected", { { "error", adopted.error().message } });
            return false;
        }
        if (!adopted.value())
            return false;
    } else {
        std::int64_t from = m_replica.throughOffset + 1;
        if (state.changesFrom > from || state.digest.throughOffset - from >= maxOffsetDifference)
            return false;
        // Offsets without a change record are filled with empty records, which applyRecords() skips.
        LogBatch batch { .firstRetainedOffset = from, .endOffset = state.digest.throughOffset + 1 };
        auto change = state.changes.begin();
        for (std::int64_t offset = from; offset <= state.digest.throughOffset; ++offset) {
            LogRecord& record = batch.records.emplace_back(LogRecord { .offset = offset });
            while (change != state.changes.end() && change->offset < offset)
                ++change;
            if (change != state.changes.end() && change->offset == offset) {
                record.timestampMs = change->timestampMs;
                record.payload = change->payload;
            }
        }
        // The records are applied to a copy, so that the replica is unchanged if the resulting version differs from the
        // peer's.
        ConfigurationReplica advancedReplica = m_replica;
        (void)applyRecords(advancedReplica, batch);
        if (advancedReplica.version != state.digest.version)
            return false;
        m_replica = std::move(advancedReplica);
    }
    logEvent(LogLevel::Info, "configuration_adopted_from_peer",
        { { "version", m_replica.version }, { "through_offset", m_replica.throughOffset } });
    onReplicaAdvanced(versionBefore);
    return true;
}

}
