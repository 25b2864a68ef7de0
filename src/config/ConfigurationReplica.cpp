#include "config/ConfigurationReplica.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace jasminestack {

namespace {

    using nlohmann::json;

    // A cold reader with more records than this before it looks for the newest checkpoint first, since folding a change
    // takes a few milliseconds at the design size and scanning a record takes microseconds.
    constexpr std::int64_t coldScanRecords = 32;

    // Parses with the checks of parseJson(): nesting deeper than its limit would overflow the stack in merge_patch(),
    // and duplicate names would read differently with another parser.
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

    // Lines and columns are left out: the document was produced by a patch, and operators never saw its text.
    std::string describe(const JsonProblems& problems)
    {
        std::string result;
        for (const JsonProblem& problem : problems) {
            if (!result.empty())
                result += "; ";
            result += (problem.path.empty() ? "" : problem.path + ": ") + problem.message;
        }
        return result;
    }

    // Builds nodes without positions; parsing the dumped text instead took half of the time of a change at the design
    // size.
    JsonNode nodeOf(const json& value)
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
                node.items.push_back(nodeOf(item));
            break;
        case json::value_t::object:
            node.type = JsonType::Object;
            node.members.reserve(value.size());
            for (const auto& [name, item] : value.items())
                node.members.push_back({ .name = name, .value = nodeOf(item) });
            break;
        default:
            break;
        }
        return node;
    }

    // \param text The document as text, for its size.
    Result<Configuration> validate(const json& document, const std::string& text)
    {
        if (text.size() > maximumDocumentBytes) {
            return Error { .kind = ErrorKind::ConfigurationInvalid,
                .message = "the document has " + std::to_string(text.size()) + " bytes, the limit is "
                    + std::to_string(maximumDocumentBytes) };
        }
        JsonProblems problems;
        Configuration configuration = readConfiguration(nodeOf(document), problems);
        if (!problems.empty())
            return Error { .kind = ErrorKind::ConfigurationInvalid, .message = describe(problems) };
        return configuration;
    }

    // Bounds the memory of the history to 18 MiB; the full text is in the log. Patches are kept whole or not at all,
    // since peers fold them.
    constexpr std::size_t historyPatchBytes = 4'096;

    std::string excerpt(std::string text)
    {
        constexpr std::size_t limit = 512;
        if (text.size() > limit) {
            std::size_t end = limit;
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

    void remember(ConfigurationReplica& state, const ChangeResult& result)
    {
        state.history.push_back(result);
        if (state.history.size() > historyLimit) {
            state.history.pop_front();
            state.historyStartOffset = state.history.front().offset;
        }
    }

    class Folder {
    public:
        explicit Folder(ConfigurationReplica& state)
            : m_state(state)
        {
        }

        // A record that cannot be read as a change is skipped by every reader alike. Checkpoints change nothing for a
        // reader that has folded all records before them. Repeated ids are not rejected, since a reader that started
        // from a checkpoint would not know the earlier ones; the base decides.
        std::optional<ChangeResult> fold(const LogRecord& record)
        {
            m_state.throughOffset = record.offset;
            const auto parsed = parseChecked(record.payload);
            if (!parsed || !parsed->is_object() || textField(*parsed, "kind") != "change")
                return std::nullopt;
            const auto base = unsignedField(*parsed, "base");
            const auto patch = parsed->find("patch");
            ChangeResult result { .id = textField(*parsed, "id"),
                .author = textField(*parsed, "author"),
                .offset = record.offset,
                .timestampMs = record.timestampMs };
            if (result.id.empty() || !base || patch == parsed->end() || !patch->is_object())
                return std::nullopt;
            result.baseVersion = *base;
            result.patch = patch->dump();
            if (result.patch.size() > historyPatchBytes)
                result.patch.clear();
            apply(result, *patch);
            result.version = m_state.version;
            return result;
        }

    private:
        void apply(ChangeResult& result, const json& patch)
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
                result.reason = excerpt(configuration.error().message);
                return;
            }
            result.outcome = ChangeOutcome::Accepted;
            ++m_state.version;
            setDocument(m_state, std::move(text), std::move(configuration).value());
            m_document = std::move(patched);
        }

        ConfigurationReplica& m_state;
        std::optional<json> m_document; // Parsed form of the state's document, kept while one batch is folded.
    };

    // Version 0 carries only a position: no change has been accepted yet, so there is nothing to put in force.
    void moveTo(ConfigurationReplica& state, std::uint64_t version, std::int64_t throughOffset, std::string document,
        Configuration configuration)
    {
        state.version = version;
        state.throughOffset = throughOffset;
        state.historyStartOffset = throughOffset + 1;
        if (version > 0)
            setDocument(state, std::move(document), std::move(configuration));
    }

    // A checkpoint may be adopted only if every record after its state is still retained; else a checkpoint that a
    // paused daemon wrote late could hide accepted changes.
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
        moveTo(state, *version, throughOffset, std::move(text), std::move(configuration).value());
        return true;
    }

    // Scans for checkpoints to the end of the stream, so that the newest one is adopted and few records are left to
    // fold.
    void seek(ConfigurationReplica& state, const LogBatch& batch)
    {
        if (!state.isSeekingCheckpoint || state.seekOffset < batch.firstRetainedOffset) {
            state.isSeekingCheckpoint = true;
            state.seekOffset = batch.firstRetainedOffset;
        }
        for (const LogRecord& record : batch.records) {
            if (record.offset < state.seekOffset)
                continue;
            if (record.offset > state.seekOffset)
                break;
            ++state.seekOffset;
            (void)adoptCheckpoint(state, record, batch.firstRetainedOffset);
        }
        if (state.seekOffset >= batch.endOffset && batch.firstRetainedOffset <= state.throughOffset + 1) {
            state.isSeekingCheckpoint = false;
            state.scanned = true;
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
    return state.isSeekingCheckpoint ? state.seekOffset : state.throughOffset + 1;
}

std::vector<ChangeResult> applyRecords(ConfigurationReplica& state, const LogBatch& batch)
{
    std::vector<ChangeResult> results;
    const bool isExpired = batch.firstRetainedOffset > state.throughOffset + 1;
    const bool isCold
        = !state.configuration && !state.scanned && batch.endOffset - state.throughOffset > coldScanRecords;
    if (isExpired || isCold || state.isSeekingCheckpoint) {
        seek(state, batch);
        if (state.isSeekingCheckpoint)
            return results;
    }
    Folder folder(state);
    for (const LogRecord& record : batch.records) {
        if (record.offset <= state.throughOffset)
            continue;
        if (record.offset != state.throughOffset + 1)
            break;
        if (auto result = folder.fold(record)) {
            remember(state, *result);
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
        return Error { .kind = ErrorKind::ConfigurationInvalid, .message = "a peer's document is not a JSON object" };
    std::string text = parsed->dump();
    auto configuration = validate(*parsed, text);
    if (!configuration)
        return configuration.error();
    moveTo(state, version, throughOffset, std::move(text), std::move(configuration).value());
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
    std::string_view id, std::string_view author, std::uint64_t base, std::string_view patch)
{
    const auto parsed = parseChecked(patch);
    if (!parsed || !parsed->is_object())
        return Error { .kind = ErrorKind::BadRequest, .message = "the patch is not a JSON object" };
    json record { { "kind", "change" }, { "id", id }, { "author", author }, { "base", base }, { "patch", *parsed } };
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<void> validateChange(const ConfigurationReplica& state, std::uint64_t base, std::string_view patch)
{
    const auto parsed = parseChecked(patch);
    if (!parsed || !parsed->is_object())
        return Error { .kind = ErrorKind::ConfigurationInvalid, .message = "the patch is not a JSON object" };
    if (base < state.version) {
        return Error { .kind = ErrorKind::ConfigurationConflict,
            .message = "the change is based on version " + std::to_string(base) + ", but version "
                + std::to_string(base + 1) + " came first; the version in force is " + std::to_string(state.version) };
    }
    if (base > state.version)
        return ok();
    json patched = json::parse(state.document, nullptr, false);
    patched.merge_patch(*parsed);
    const auto configuration = validate(patched, patched.dump());
    if (!configuration)
        return configuration.error();
    return ok();
}

}
