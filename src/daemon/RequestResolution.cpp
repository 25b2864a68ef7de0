#include "daemon/RequestResolution.h"

#include "base/Hash.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace jasminestack {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t promptStartBytes = 1024;
    constexpr double bytesPerCostUnit = 4096;
    constexpr double promptTokensPerCostUnit = 4;

    // SAX parser: reads the members of ModelRequest without building a document, so that large prompts are only
    // scanned.
    class ModelRequestReader : public nlohmann::json_sax<Json> {
    public:
        ModelRequest result;
        bool isObject { false };

        bool null() override { return true; }
        bool boolean(bool value) override
        {
            if (m_depth == 1 && m_topLevelKey == "stream")
                result.isStreaming = value;
            return true;
        }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool binary(binary_t&) override { return false; }
        bool string(string_t& value) override
        {
            if (m_depth == 1 && m_topLevelKey == "model")
                result.model = std::move(value);
            else if (m_topLevelKey == "prompt" || m_topLevelKey == "messages")
                appendPromptText(value);
            return true;
        }
        bool start_object(std::size_t) override
        {
            if (m_depth == 0)
                isObject = true;
            return enterLevel();
        }
        bool start_array(std::size_t) override { return enterLevel(); }
        bool end_object() override { return leaveLevel(); }
        bool end_array() override { return leaveLevel(); }
        bool key(string_t& name) override
        {
            if (m_depth == 1)
                m_topLevelKey = std::move(name);
            return true;
        }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

    private:
        // Bounds the parser's stack; real requests nest less deeply.
        static constexpr unsigned maxDepth = 64;

        bool enterLevel() { return ++m_depth <= maxDepth; }
        bool leaveLevel()
        {
            --m_depth;
            return true;
        }
        void appendPromptText(std::string_view text)
        {
            std::string& start = result.promptStart;
            if (start.size() < promptStartBytes)
                start.append(text.substr(0, promptStartBytes - start.size()));
        }

        std::string m_topLevelKey;
        unsigned m_depth { 0 };
    };

    Result<std::optional<std::int64_t>> parsePositiveHeader(const CallerRequest& request, std::string_view name)
    {
        std::string_view text = request.header(name);
        if (text.empty())
            return std::optional<std::int64_t> {};
        std::int64_t value = 0;
        auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || value <= 0)
            return Error { .kind = ErrorKind::BadRequest,
                .message = std::string(name) + " must be a whole number greater than 0" };
        return std::optional { value };
    }

    Result<void> resolveModel(const Configuration& configuration, const CallerRequest& request, ResolvedRequest& result)
    {
        if (request.method != "POST")
            return Error { .kind = ErrorKind::MethodNotAllowed, .message = "model requests use POST" };
        auto model = parseModelRequest(request.body);
        if (!model)
            return model.error();
        const PoolConfig* pool = configuration.poolForModel(model.value().model);
        if (!pool)
            return Error { .kind = ErrorKind::UnknownModel,
                .message = "no pool serves model '" + model.value().model + "'" };
        result.pool = pool->id;
        result.kind = PoolKind::Model;
        result.isIdempotent = true;
        result.isStreaming = model.value().isStreaming;
        if (!model.value().promptStart.empty())
            result.prefixHash = hash64(model.value().promptStart, hash64(model.value().model));
        return ok();
    }

    Result<void> resolveRoute(const Configuration& configuration, const CallerRequest& request, ResolvedRequest& result)
    {
        const RouteConfig* route = configuration.routeForPath(request.path());
        if (!route || !configuration.pools.contains(route->pool))
            return Error { .kind = ErrorKind::NotFound, .message = "no route matches " + std::string(request.path()) };
        result.pool = route->pool;
        result.kind = configuration.pools.at(route->pool).kind;
        result.isIdempotent = route->idempotentMethods.contains(request.method);
        result.isKeyRequired = route->requireIdempotencyKey && !result.isIdempotent;
        return ok();
    }

}

Result<const WorkspaceConfig*> authenticate(const Configuration& configuration, const CallerRequest& request)
{
    constexpr std::string_view scheme = "Bearer ";
    std::string_view header = request.header("Authorization");
    if (!header.starts_with(scheme))
        return Error { .kind = ErrorKind::Unauthorized,
            .message = "the request needs an 'Authorization: Bearer KEY' header" };
    std::string hash = "sha256:" + sha256Hex(header.substr(scheme.size()));
    const WorkspaceConfig* owner = nullptr;
    // All hashes are compared even after a match, so that the time does not reveal which one matches.
    for (const auto& [id, workspace] : configuration.workspaces) {
        for (const std::string& candidate : workspace.keyHashes) {
            if (equalConstantTime(candidate, hash))
                owner = &workspace;
        }
    }
    if (!owner)
        return Error { .kind = ErrorKind::Unauthorized, .message = "the API key does not belong to any workspace" };
    return owner;
}

Result<ResolvedRequest> resolveRequest(
    const Configuration& configuration, const WorkspaceConfig& workspace, const CallerRequest& request)
{
    ResolvedRequest result { .workspace = workspace.id };
    auto timeout = parsePositiveHeader(request, "X-Deadline-Ms");
    if (!timeout)
        return timeout.error();
    if (timeout.value())
        result.timeout = Millis { *timeout.value() };
    auto costHint = parsePositiveHeader(request, "X-Cost-Hint");
    if (!costHint)
        return costHint.error();
    result.costHint = static_cast<double>(costHint.value().value_or(0));

    std::string_view path = request.path();
    bool isModelRequest = path == "/v1/chat/completions" || path == "/v1/completions";
    auto resolved
        = isModelRequest ? resolveModel(configuration, request, result) : resolveRoute(configuration, request, result);
    if (!resolved)
        return resolved.error();
    std::uint64_t hash = hash64(workspace.id.value);
    hash = hash64(request.method, hash);
    hash = hash64(request.target, hash);
    result.contentHash = hash64(request.body, hash);
    return result;
}

std::string listModels(const Configuration& configuration)
{
    std::set<std::string> models;
    for (const auto& [id, pool] : configuration.pools) {
        if (pool.kind == PoolKind::Model)
            models.insert(pool.models.begin(), pool.models.end());
    }
    Json data = Json::array();
    for (const std::string& model : models)
        data.push_back({ { "id", model }, { "object", "model" } });
    return Json { { "object", "list" }, { "data", std::move(data) } }.dump();
}

Result<ModelRequest> parseModelRequest(std::string_view body)
{
    ModelRequestReader reader;
    if (!Json::sax_parse(body, &reader) || !reader.isObject)
        return Error { .kind = ErrorKind::BadRequest, .message = "the body is not a valid JSON object" };
    if (reader.result.model.empty())
        return Error { .kind = ErrorKind::BadRequest, .message = "the body has no \"model\"" };
    return std::move(reader.result);
}

std::optional<double> costFromUsage(std::string_view json)
{
    Json document = Json::parse(json, nullptr, false);
    if (!document.is_object() || !document.contains("usage") || !document["usage"].is_object())
        return std::nullopt;
    const Json& usage = document["usage"];
    auto tokenCount = [&](const char* name) {
        auto member = usage.find(name);
        return member != usage.end() && member->is_number() ? std::max(member->get<double>(), 0.0) : 0.0;
    };
    return tokenCount("prompt_tokens") / promptTokensPerCostUnit + tokenCount("completion_tokens");
}

double serviceCost(std::uint64_t bytes) noexcept { return 1.0 + static_cast<double>(bytes) / bytesPerCostUnit; }

}
