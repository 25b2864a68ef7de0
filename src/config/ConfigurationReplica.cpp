#include "config/ConfigurationReplica.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace jasminestack {

namespace {

    using nlohmann::json;

    // A reader without state that is more records than this behind the end of the stream scans for the newest
    // checkpoint first: for a document of about 150 KB (see maximumDocumentBytes), applying a change takes a few
    // milliseconds, but scanning a record only microseconds.
    constexpr std::int64_t initialScanThresholdRecords = 32;

    // Parses with the checks of parseJson(): nesting deeper than its limit would overflow the stack in merge_patch(),
    // and parsers differ in which of two members with the same name they keep.
    std::optional<json> parseChecked(std::string_view text)
    {
        JsonProblems problems;
        (void)parseJson(text, problems);
        if (!problems.empty())
            return std::nullopt;
        json parsed = json::parse(text, nullptr, false, true);
        if (parsed.is_discarded())
            return std::nullopt;
        return parsed;
    }

    std::optional<std::uint64_t> unsignedField(const json& object, const char* name)
    {
        const auto field = object.find(name);
        if (field == object.end() || !field->is_number_unsigned())
            return std::nullopt;
        return field->get<std::uint64_t>();
    }

    std::string textField(const json& object, const char* name)
    {
        const auto field = object.find(name);
        return field != object.end() && field->is_string() ? field->get<std::string>() : std::string {};
    }

    // Omits lines and columns: the document is the result of a patch, so no operator has seen its text.
    std::string joinProblems(const JsonProblems& problems)
    {
        std::string result;
        for (const JsonProblem& problem : problems) {
            if (!result.empty())
                result += "; ";
            result += (problem.path.empty() ? "" : problem.path + ": ") + problem.message;
        }
        return result;
    }

    // Builds nodes without positions. Parsing the dumped text instead would take half of the time for applying a
    // change to a document of about 150 KB.
    JsonNode makeNode(const json& value)
    {
        JsonNode node;
        switch (value.type()) {
        case json::value_t::boolean:
            node.type = JsonType::Boolean;
            node.boolean = value.get<bool>();
            break;
        case json::value_t::number_integer:
        case json::value_t::number_unsigned:
            node.number = value.get<double>();
            node.type = JsonType::Integer;
            if (value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX))
                node.type = JsonType::Float;
            else
                node.integer = value.get<std::int64_t>();
            break;
        case json::value_t::number_float:
            node.type = JsonType::Float;
            node.number = value.get<double>();
            break;
        case json::value_t::string:
            node.type = JsonType::String;
            node.text = value.get_ref<const std::string&>();
            break;
        case json::value_t::array:
            node.type = JsonType::Array;
            node.items.reserve(value.size());
            for (const json& item : value)
                node.items.push_back(makeNode(item));
            break;
        case json::value_t::object:
            node.type = JsonType::Object;
            node.members.reserve(value.size());
            for (const auto& [name, item] : value.items())
                node.members.push_back({ .name = name, .value = makeNode(item) });
            break;
        default:
            break;
        }
        return node;
    }

    // \param text The document as JSON text, used for the size check.
    Result<Configuration> validate(const json& document, const std::string& text)
    {
        if (text.size() > maximumDocumentBytes) {
            return Error { .kind = ErrorKind::ConfigurationInvalid,
                .message = "the document has " + std::to_string(text.size()) + " bytes, the limit is "
                    + std::to_string(maximumDocumentBytes) };
        }
        JsonProblems problems;
        Configuration configuration = readConfiguration(makeNode(document), problems);
        if (!problems.empty())
            return Error { .kind = ErrorKind::ConfigurationInvalid, .message = joinProblems(problems) };
        return configuration;
    }

    // Limits the memory of the history to 18 MiB; the full text is in the log. A longer patch is omitted instead of
    // truncated, since peers apply the patches of the history.
    constexpr std::size_t historyPatchBytes = 4'096;

    std::string truncate(std::string text)
    {
        constexpr std::size_t maximumBytes = 512;
        if (text.size() > maximumBytes) {
            std::size_t end = maximumBytes;
            while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
                --end;
            text.resize(end);
            text += "...";
        }
        return text;
    }

    void setDocument(ConfigurationReplica& state, std::string document, Configuration configuration)
    {
        state.document = std::move(document);
        configuration.version = state.version;
        configuration.throughOffset = state.throughOffset;
        state.configuration = std::make_shared<const Configuration>(std::move(configuration));
    }

    void addToHistory(ConfigurationReplica& state, const ChangeResult& result)
    {
        state.history.push_back(result);
        if (state.history.size() > historyLimit) {
            state.history.pop_front();
            state.historyStartOffset = state.history.front().offset;
        }
    }

    class RecordApplier {
    public:
        explicit RecordApplier(ConfigurationReplica& state)
            : m_state(state)
        {
        }

        // Every reader skips records that cannot be parsed as a change. Checkpoints do not alter the state of a reader
        // that has applied all records before them. Duplicate ids are accepted, since a reader that started from a
        // checkpoint has not seen the earlier ids; the base version decides.
        std::optional<ChangeResult> applyRecord(const LogRecord& record)
        {
            m_state.throughOffset = record.offset;
            const auto parsed = parseChecked(record.payload);
            if (!parsed || !parsed->is_object() || textField(*parsed, "kind") != "change")
                return std::nullopt;
            const auto baseVersion = unsignedField(*parsed, "base");
            const auto patch = parsed->find("patch");
            ChangeResult result { .id = textField(*parsed, "id"),
                .author = textField(*parsed, "author"),
                .offset = record.offset,
                .timestampMs = record.timestampMs };
            if (result.id.empty() || !baseVersion || patch == parsed->end() || !patch->is_object())
                return std::nullopt;
            result.baseVersion = *baseVersion;
            result.patch = patch->dump();
            if (result.patch.size() > historyPatchBytes)
                result.patch.clear();
            applyPatch(result, *patch);
            result.version = m_state.version;
            return result;
        }

    private:
        void applyPatch(ChangeResult& result, const json& patch)
        {
            if (result.baseVersion != m_state.version) {
                result.outcome = ChangeOutcome::Conflict;
                return;
            }
            if (!m_document)
                m_document = json::parse(m_state.document, nullptr, false);
            json patched = *m_document;
            patched.merge_patch(patch);
            std::string text = patched.dump();
            auto configuration = validate(patched, text);
            if (!configuration) {
                result.outcome = ChangeOutcome::Invalid;
                result.reason = truncate(configuration.error().message);
                return;
            }
            result.outcome = ChangeOutcome::Accepted;
            ++m_state.version;
            setDocument(m_state, std::move(text), std::move(configuration).value());
            m_document = std::move(patched);
        }

        ConfigurationReplica& m_state;
        std::optional<json> m_document; // Parsed form of m_state.document, cached while one batch is applied.
    };

    // At version 0 no change has been accepted yet, so only the offsets are replaced and no configuration is put
    // in force.
    void replaceState(ConfigurationReplica& state, std::uint64_t version, std::int64_t throughOffset,
        std::string document, Configuration configuration)
    {
        state.version = version;
        state.throughOffset = throughOffset;
        state.historyStartOffset = throughOffset + 1;
        if (version > 0)
            setDocument(state, std::move(document), std::move(configuration));
    }

    // A checkpoint is adopted only if the log still retains every record after the checkpoint's state; otherwise a
    // checkpoint that a paused daemon appended late could hide accepted changes.
    bool adoptCheckpoint(ConfigurationReplica& state, const LogRecord& record, std::int64_t firstRetained)
    {
        const auto parsed = parseChecked(record.payload);
        if (!parsed || !parsed->is_object() || textField(*parsed, "kind") != "checkpoint")
            return false;
        const auto version = unsignedField(*parsed, "version");
        const auto through = parsed->find("throughOffset");
        const auto document = parsed->find("document");
        if (!version || through == parsed->end() || !through->is_number_integer() || document == parsed->end()
            || !document->is_object())
            return false;
        const auto throughOffset = through->get<std::int64_t>();
        if (throughOffset >= record.offset || throughOffset <= state.throughOffset || throughOffset + 1 < firstRetained
            || *version < state.version)
            return false;
        std::string text = document->dump();
        auto configuration = validate(*document, text);
        if (!configuration)
            return false;
        replaceState(state, *version, throughOffset, std::move(text), std::move(configuration).value());
        return true;
    }

    // Scans for checkpoints to the end of the stream, so that the newest one is adopted and few records remain to be
    // applied.
    void scanForCheckpoint(ConfigurationReplica& state, const LogBatch& batch)
    {
        if (!state.isSeekingCheckpoint || state.nextScanOffset < batch.firstRetainedOffset) {
            state.isSeekingCheckpoint = true;
            state.nextScanOffset = batch.firstRetainedOffset;
        }
        for (const LogRecord& record : batch.records) {
            if (record.offset < state.nextScanOffset)
                continue;
            if (record.offset > state.nextScanOffset)
                break;
            ++state.nextScanOffset;
            (void)adoptCheckpoint(state, record, batch.firstRetainedOffset);
        }
        if (state.nextScanOffset >= batch.endOffset && batch.firstRetainedOffset <= state.throughOffset + 1) {
            state.isSeekingCheckpoint = false;
            state.hasScannedStream = true;
        }
    }

}

std::string_view toString(ChangeOutcome outcome) noexcept
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::Conflict:
        return "conflict";
    case ChangeOutcome::Invalid:
        return "invalid";
    }
    return "invalid";
}

std::int64_t nextOffset(const ConfigurationReplica& state) noexcept
{
    return state.isSeekingCheckpoint ? state.nextScanOffset : state.throughOffset + 1;
}

std::vector<ChangeResult> applyRecords(ConfigurationReplica& state, const LogBatch& batch)
{
    std::vector<ChangeResult> results;
    const bool isNextRecordExpired = batch.firstRetainedOffset > state.throughOffset + 1;
    const bool needsInitialScan = !state.configuration && !state.hasScannedStream
        && batch.endOffset - state.throughOffset > initialScanThresholdRecords;
    if (isNextRecordExpired || needsInitialScan || state.isSeekingCheckpoint) {
        scanForCheckpoint(state, batch);
        if (state.isSeekingCheckpoint)
            return results;
    }
    RecordApplier applier(state);
    for (const LogRecord& record : batch.records) {
        if (record.offset <= state.throughOffset)
            continue;
        if (record.offset != state.throughOffset + 1)
            break;
        if (auto result = applier.applyRecord(record)) {
            addToHistory(state, *result);
            results.push_back(std::move(*result));
        }
    }
    return results;
}

Result<bool> adoptPeerState(
    ConfigurationReplica& state, std::uint64_t version, std::int64_t throughOffset, std::string_view document)
{
    if (throughOffset <= state.throughOffset || version < state.version)
        return false;
    const auto parsed = parseChecked(document);
    if (!parsed || !parsed->is_object())
        return Error { .kind = ErrorKind::ConfigurationInvalid,
            .message = "the document of the peer is not a JSON object" };
    std::string text = parsed->dump();
    auto configuration = validate(*parsed, text);
    if (!configuration)
        return configuration.error();
    replaceState(state, version, throughOffset, std::move(text), std::move(configuration).value());
    state.isSeekingCheckpoint = false;
    return true;
}

const ChangeResult* findChangeResult(const ConfigurationReplica& state, std::string_view id) noexcept
{
    const ChangeResult* found = nullptr;
    for (const ChangeResult& result : state.history) {
        if (result.id == id && (!found || found->outcome != ChangeOutcome::Accepted))
            found = &result;
    }
    return found;
}

std::string makeCheckpointRecord(const ConfigurationReplica& state)
{
    return json {
        { "kind", "checkpoint" }, { "version", state.version }, { "throughOffset", state.throughOffset },
        { "document", json::parse(state.document, nullptr, false) }
    }.dump();
}

Result<std::string> makeChangeRecord(
    std::string_view id, std::string_view author, std::uint64_t baseVersion, std::string_view patch)
{
    const auto parsed = parseChecked(patch);
    if (!parsed || !parsed->is_object())
        return Error { .kind = ErrorKind::BadRequest, .message = "the patch is not a JSON object" };
    json record { { "kind", "change" }, { "id", id }, { "author", author }, { "base", baseVersion },
        { "patch", *parsed } };
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<void> validateChange(const ConfigurationReplica& state, std::uint64_t baseVersion, std::string_view patch)
{
    const auto parsed = parseChecked(patch);
    if (!parsed || !parsed->is_object())
        return Error { .kind = ErrorKind::ConfigurationInvalid, .message = "the patch is not a JSON object" };
    if (baseVersion < state.version) {
        return Error { .kind = ErrorKind::ConfigurationConflict,
            .message = "the change is based on version " + std::to_string(baseVersion) + ", but version "
                + std::to_string(baseVersion + 1) + " was accepted first; the version in force is "
                + std::to_string(state.version) };
    }
    if (baseVersion > state.version)
        return ok();
    json patched = json::parse(state.document, nullptr, false);
    patched.merge_patch(*parsed);
    const auto configuration = validate(patched, patched.dump());
    if (!configuration)
        return configuration.error();
    return ok();
}

}
