#include "daemon/ConfigurationService.h"

#include "observe/Logging.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    /// A read that brought nothing new before this time is followed by a pause, so that a log that ignores the wait
    /// does not get a request in a tight loop.
    constexpr Millis emptyReadPause { 100 };
    /// Bounds the records that a peer's changes are expanded to; a larger distance is covered by a document.
    constexpr std::int64_t maxFillerRecords = 100'000;

    const Configuration& noConfiguration()
    {
        static const Configuration none;
        return none;
    }

}

ConfigurationService::ConfigurationService(LogClient& log, const Clock& clock, ConfigurationServiceOptions options)
    : m_log(log)
    , m_clock(clock)
    , m_options(options)
    , m_retryDelay(options.retryMinimum)
{
}

void ConfigurationService::start() { read(); }

const Configuration& ConfigurationService::current() const noexcept
{
    return m_fold.configuration ? *m_fold.configuration : noConfiguration();
}

ConfigurationDigest ConfigurationService::digest() const noexcept
{
    return { .version = m_fold.version, .throughOffset = m_fold.throughOffset };
}

void ConfigurationService::onChange(ChangeCallback callback) { m_listeners.push_back(std::move(callback)); }

void ConfigurationService::setCheckpointWriter(std::function<bool()> isWriter)
{
    m_isCheckpointWriter = std::move(isWriter);
}

void ConfigurationService::read()
{
    m_reading = true;
    m_readStarted = m_clock.now();
    std::int64_t from = nextOffset(m_fold);
    m_log.read(configurationStream, from, m_options.maxRecords, m_options.readWait,
        [this, from, alive = std::weak_ptr<int>(m_alive)](const Result<LogBatch>& batch) {
            if (alive.expired())
                return;
            m_reading = false;
            Millis now = m_clock.now();
            if (!batch) {
                if (m_reachable)
                    logEvent(
                        LogLevel::Warning, "configuration_log_unreachable", { { "error", batch.error().message } });
                m_reachable = false;
                m_readAt = now + m_retryDelay;
                m_retryDelay = std::min(m_options.retryMaximum, m_retryDelay + m_retryDelay);
                return;
            }
            m_reachable = true;
            m_retryDelay = m_options.retryMinimum;
            onBatch(batch.value());
            if (alive.expired())
                return;
            m_readAt = now;
            if (nextOffset(m_fold) == from && now - m_readStarted < emptyReadPause)
                m_readAt = now + emptyReadPause;
            else
                read();
        });
}

void ConfigurationService::sideRead()
{
    m_sideReading = true;
    m_lastSideRead = m_clock.now();
    m_log.read(configurationStream, nextOffset(m_fold), m_options.maxRecords, {},
        [this, alive = std::weak_ptr<int>(m_alive)](const Result<LogBatch>& batch) {
            if (alive.expired())
                return;
            m_sideReading = false;
            if (batch)
                onBatch(batch.value());
        });
}

void ConfigurationService::onBatch(const LogBatch& batch)
{
    m_firstRetained = std::max(m_firstRetained, batch.firstRetainedOffset);
    noteCheckpoints(batch);
    std::uint64_t before = m_fold.version;
    bool wasSeeking = m_fold.isSeekingCheckpoint;
    for (const ChangeResult& result : applyRecords(m_fold, batch)) {
        logEvent(LogLevel::Info, "configuration_change",
            { { "id", result.id }, { "author", result.author }, { "outcome", toString(result.outcome) },
                { "version", result.version }, { "offset", result.offset } });
    }
    if (m_fold.isSeekingCheckpoint && !wasSeeking && batch.firstRetainedOffset > m_fold.throughOffset + 1)
        logEvent(LogLevel::Warning, "configuration_records_expired",
            { { "through_offset", m_fold.throughOffset }, { "first_retained", batch.firstRetainedOffset } });
    afterAdvance(before);
}

void ConfigurationService::noteCheckpoints(const LogBatch& batch)
{
    for (const LogRecord& record : batch.records) {
        if (record.offset <= m_checkpoint.offset)
            continue;
        Json json = Json::parse(record.payload, nullptr, false);
        if (!json.is_object() || !json.contains("kind") || json["kind"] != "checkpoint"
            || !json.contains("throughOffset") || !json["throughOffset"].is_number_integer()
            || !json.contains("version") || !json["version"].is_number_unsigned())
            continue;
        // An older state in a newer record is a late write of a paused daemon and renews nothing.
        auto through = json["throughOffset"].get<std::int64_t>();
        if (through >= m_checkpoint.through)
            m_checkpoint = { .offset = record.offset,
                .through = through,
                .version = json["version"].get<std::uint64_t>(),
                .time = record.timestampMs };
    }
}

void ConfigurationService::afterAdvance(std::uint64_t versionBefore)
{
    resolvePublications();
    if (m_fold.version == versionBefore)
        return;
    for (const ChangeCallback& listener : m_listeners)
        listener(current());
}

void ConfigurationService::publish(
    std::uint64_t base, std::string_view patch, std::string_view id, std::string_view author, PublishCallback callback)
{
    Millis now = m_clock.now();
    Publication publication { .id = std::string(id),
        .base = base,
        .startedThrough = m_fold.throughOffset,
        .startedAt = now,
        .deadline = now + m_options.publishTimeout,
        .callback = std::move(callback) };
    std::uint64_t ticket = m_nextTicket++;
    auto append = [&](std::string_view payload) {
        m_log.append(configurationStream, payload,
            [this, ticket, alive = std::weak_ptr<int>(m_alive)](const Result<std::int64_t>& result) {
                if (!alive.expired())
                    onAppended(ticket, result);
            });
    };
    auto record = makeChangeRecord(id, author, base, patch);
    // A repeat of a publication whose record is already folded gets that record's outcome.
    bool known = findChangeResult(m_fold, id) != nullptr;
    Result<void> preview = record && !known ? validateChange(m_fold, base, patch) : Result<void>(ok());
    if (!record || !preview) {
        // The callback may not run inside this call, so the outcome is delivered by the next tick.
        Error error = record ? preview.error() : record.error();
        publication.callback = [callback = std::move(publication.callback), error](const auto&) { callback(error); };
        publication.deadline = now;
        m_publications.emplace(ticket, std::move(publication));
        return;
    }
    m_publications.emplace(ticket, std::move(publication));
    if (!known)
        append(record.value());
}

void ConfigurationService::onAppended(std::uint64_t ticket, const Result<std::int64_t>& result)
{
    auto it = m_publications.find(ticket);
    if (it == m_publications.end())
        return;
    if (result) {
        it->second.offset = result.value();
        resolvePublications();
        return;
    }
    if (result.error().kind != ErrorKind::LogUnavailable)
        return;
    auto callback = std::move(it->second.callback);
    m_publications.erase(it);
    callback(Error {
        .kind = ErrorKind::LogUnavailable, .message = "the change was not published: " + result.error().message });
}

bool ConfigurationService::resolve(const Publication& publication, Result<std::uint64_t>& outcome) const
{
    if (const ChangeResult* result = findChangeResult(m_fold, publication.id)) {
        switch (result->outcome) {
        case ChangeOutcome::Accepted:
            outcome = result->version;
            break;
        case ChangeOutcome::Conflict:
            outcome = Error { .kind = ErrorKind::ConfigurationConflict,
                .message = "the change is based on version " + std::to_string(result->baseVersion) + ", but version "
                    + std::to_string(result->version) + " won" };
            break;
        case ChangeOutcome::Invalid:
            outcome = Error { .kind = ErrorKind::ConfigurationInvalid, .message = result->reason };
            break;
        }
        return true;
    }
    // Versions only grow: if another change took the base and the history holds every record since the append began,
    // the record can no longer be accepted, wherever it may still appear.
    if (m_fold.version > publication.base && m_fold.historyStartOffset <= publication.startedThrough + 1) {
        outcome = Error { .kind = ErrorKind::ConfigurationConflict,
            .message = "the change is based on version " + std::to_string(publication.base) + ", but version "
                + std::to_string(m_fold.version) + " won" };
        return true;
    }
    return false;
}

void ConfigurationService::resolvePublications()
{
    Millis now = m_clock.now();
    std::vector<std::pair<PublishCallback, Result<std::uint64_t>>> finished;
    for (auto it = m_publications.begin(); it != m_publications.end();) {
        Result<std::uint64_t> outcome = Error { .kind = ErrorKind::ConfigurationOutcomeUnknown,
            .message = "the record of change " + it->second.id
                + " was not read back in time; it may still take effect, look for it in the history" };
        if (resolve(it->second, outcome) || now >= it->second.deadline) {
            finished.emplace_back(std::move(it->second.callback), std::move(outcome));
            it = m_publications.erase(it);
        } else {
            ++it;
        }
    }
    for (auto& [callback, outcome] : finished)
        callback(std::move(outcome));
}

void ConfigurationService::tick()
{
    Millis now = m_clock.now();
    resolvePublications();
    if (!m_reading && now >= m_readAt)
        read();
    if (!m_sideReading && now - m_lastSideRead >= m_options.sideReadAfter
        && std::any_of(m_publications.begin(), m_publications.end(),
            [&](const auto& entry) { return now - entry.second.startedAt >= m_options.sideReadAfter; }))
        sideRead();
    if (checkpointDue())
        writeCheckpoint();
}

bool ConfigurationService::checkpointDue() const
{
    if (m_fold.version == 0 || m_fold.isSeekingCheckpoint || !m_reachable || !m_isCheckpointWriter)
        return false;
    if (m_checkpointTried && m_clock.now() - m_checkpointAttempt < m_options.checkpointRetry)
        return false;
    bool retained = m_checkpoint.offset >= m_firstRetained && m_checkpoint.through + 1 >= m_firstRetained;
    // While the stream's start is retained, a cold reader needs no checkpoint.
    bool recoverable = retained || m_firstRetained == 0;
    std::int64_t covered = m_checkpoint.time;
    if (m_checkpoint.offset < 0)
        covered = m_fold.history.empty() ? 0 : m_fold.history.front().timestampMs;
    bool old = m_clock.wallTime().count - covered >= m_options.checkpointInterval.count;
    bool manyChanges = m_fold.version - std::min(m_fold.version, m_checkpoint.version) >= m_options.checkpointChanges;
    return (!recoverable || old || manyChanges) && m_isCheckpointWriter();
}

void ConfigurationService::writeCheckpoint()
{
    m_checkpointTried = true;
    m_checkpointAttempt = m_clock.now();
    m_log.append(configurationStream, makeCheckpointRecord(m_fold),
        [version = m_fold.version, through = m_fold.throughOffset](const Result<std::int64_t>& result) {
            if (result)
                logEvent(LogLevel::Info, "configuration_checkpoint_written",
                    { { "version", version }, { "through_offset", through }, { "offset", result.value() } });
            else
                logEvent(LogLevel::Warning, "configuration_checkpoint_failed", { { "error", result.error().message } });
        });
}

ConfigurationState ConfigurationService::stateFor(const ConfigurationDigest& have) const
{
    ConfigurationState state { .digest = digest() };
    if (m_fold.historyStartOffset <= have.throughOffset + 1 && have.throughOffset < m_fold.throughOffset
        && m_fold.throughOffset - have.throughOffset <= maxFillerRecords) {
        std::size_t size = 0;
        bool complete = true;
        for (auto it = m_fold.history.rbegin(); it != m_fold.history.rend() && it->offset > have.throughOffset; ++it) {
            auto payload = makeChangeRecord(it->id, it->author, it->baseVersion, it->patch);
            if (!payload) {
                complete = false; // The history leaves out long patches.
                break;
            }
            size += payload.value().size();
            state.changes.push_back(
                { .offset = it->offset, .timestampMs = it->timestampMs, .payload = std::move(payload).value() });
        }
        std::reverse(state.changes.begin(), state.changes.end());
        if (complete && size < m_fold.document.size()) {
            state.changesFrom = have.throughOffset + 1;
            return state;
        }
        state.changes.clear();
    }
    state.document = m_fold.document;
    return state;
}

bool ConfigurationService::adopt(const ConfigurationState& state)
{
    if (state.digest.throughOffset <= m_fold.throughOffset || state.digest.version < m_fold.version)
        return false;
    std::uint64_t before = m_fold.version;
    if (!state.document.empty()) {
        // The document does not tell which change produced it, so a publication that waits for its outcome reads the
        // log on while that works.
        if (m_reachable && !m_publications.empty())
            return false;
        auto adopted = adoptPeerState(m_fold, state.digest.version, state.digest.throughOffset, state.document);
        if (!adopted) {
            logEvent(LogLevel::Warning, "configuration_peer_state_rejected", { { "error", adopted.error().message } });
            return false;
        }
        if (!adopted.value())
            return false;
    } else {
        std::int64_t from = m_fold.throughOffset + 1;
        if (state.changesFrom > from || state.digest.throughOffset - from >= maxFillerRecords)
            return false;
        // Offsets without a change record are filled with empty records, which every reader skips.
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
        ConfigurationReplica folded = m_fold;
        (void)applyRecords(folded, batch);
        if (folded.version != state.digest.version)
            return false;
        m_fold = std::move(folded);
    }
    logEvent(LogLevel::Info, "configuration_adopted_from_peer",
        { { "version", m_fold.version }, { "through_offset", m_fold.throughOffset } });
    afterAdvance(before);
    return true;
}

}
