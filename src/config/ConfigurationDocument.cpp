#include "config/Configuration.h"
#include "config/JsonObjectReader.h"

#include <array>

namespace jasminestack {

namespace {

    constexpr std::array<std::string_view, 3> presetNames { "ordinary", "peaks", "maintenance" };
    constexpr double minimumShare = 1e-3;
    constexpr double maximumShare = 1e6;

    bool isPresetName(std::string_view name) noexcept
    {
        return name == presetNames[0] || name == presetNames[1] || name == presetNames[2];
    }

    bool isKeyHash(std::string_view text) noexcept
    {
        constexpr std::string_view prefix = "sha256:";
        return text.size() == prefix.size() + 64 && text.starts_with(prefix)
            && text.find_first_not_of("0123456789abcdef", prefix.size()) == std::string_view::npos;
    }

    class ConfigurationReader {
    public:
        ConfigurationReader(const JsonNode& root, JsonProblems& problems)
            : m_root(&root, "", problems)
            , m_problems(problems)
        {
        }

        Configuration read()
        {
            m_root.forEachMember("workspaces",
                [this](const JsonMember& member, const std::string& path) { readWorkspace(member, path); });
            m_root.forEachMember(
                "pools", [this](const JsonMember& member, const std::string& path) { readPool(member, path); });
            m_root.forEachMember(
                "routes", [this](const JsonMember& member, const std::string& path) { readRoute(member, path); });
            {
                JsonObjectReader limits = m_root.object("limits");
                readLimits(limits, m_configuration.limits);
            }
            m_configuration.presetInForce = presetNames[0];
            m_root.choice("presetInForce", m_configuration.presetInForce, { presetNames.begin(), presetNames.end() });
            bool isPresetDefined = false;
            m_root.forEachMember("presets", [&](const JsonMember& member, const std::string& path) {
                if (!isPresetName(member.name))
                    reportAtName(member, path, "preset must be one of ordinary, peaks, maintenance");
                const bool isInForce = member.name == m_configuration.presetInForce;
                isPresetDefined = isPresetDefined || isInForce;
                readPreset(member, path, isInForce);
            });
            // The preset "ordinary" is optional: without it, the shares of the workspaces apply and all workspaces are
            // admitted.
            if (!isPresetDefined && m_configuration.presetInForce != presetNames[0])
                m_root.report(
                    "presetInForce", "preset '" + m_configuration.presetInForce + "' is not defined in presets");
            return std::move(m_configuration);
        }

    private:
        void reportAtName(const JsonMember& member, const std::string& path, std::string message)
        {
            m_problems.push_back({ member.line, member.column, path, std::move(message) });
        }

        void checkId(const JsonMember& member, const std::string& path)
        {
            if (!isIdentifier(member.name))
                reportAtName(member, path, "id must be 1 to 64 letters, digits, '.', '_' or '-'");
        }

        void readWorkspace(const JsonMember& member, const std::string& path)
        {
            checkId(member, path);
            WorkspaceConfig workspace { .id = WorkspaceId { member.name } };
            JsonObjectReader reader(&member.value, path, m_problems);
            reader.number("share", workspace.share, minimumShare, maximumShare);
            reader.forEachString("keys", [&](const JsonNode& node, const std::string& keyPath) {
                if (!isKeyHash(node.text))
                    reader.report(node, keyPath, "must be \"sha256:\" and 64 lower-case hexadecimal digits");
                else if (auto [existing, isNew] = m_workspaceByKeyHash.emplace(node.text, member.name); !isNew)
                    reader.report(node, keyPath, "the same key hash is used by workspace '" + existing->second + "'");
                workspace.keyHashes.push_back(node.text);
            });
            reader.integer<std::size_t>("queueRequests", workspace.queueRequests, 1, 1'000'000);
            reader.integer<std::size_t>("queueBytes", workspace.queueBytes, 1U << 10U, std::size_t { 1 } << 32U);
            m_configuration.workspaces.insert_or_assign(workspace.id, std::move(workspace));
        }

        void readPool(const JsonMember& member, const std::string& path)
        {
            checkId(member, path);
            PoolConfig pool { .id = PoolId { member.name } };
            JsonObjectReader reader(&member.value, path, m_problems);
            std::string kind = "model";
            reader.choice("kind", kind, { "model", "service" }, FieldPresence::Required);
            pool.kind = kind == "service" ? PoolKind::Service : PoolKind::Model;
            const bool hasModels
                = reader.forEachString("models", [&](const JsonNode& node, const std::string& modelPath) {
                      if (node.text.empty())
                          reader.report(node, modelPath, "must not be empty");
                      else if (auto [existing, isNew] = m_poolByModel.emplace(node.text, member.name); !isNew)
                          reader.report(node, modelPath,
                              "model '" + node.text + "' is already served by pool '" + existing->second + "'");
                      pool.models.insert(node.text);
                  });
            if (hasModels && pool.kind == PoolKind::Service)
                reader.report("models", "a pool of kind service has no models");
            reader.forEachMember("endpoints", [&](const JsonMember& endpoint, const std::string& endpointPath) {
                readEndpoint(endpoint, endpointPath, pool);
            });
            m_configuration.pools.insert_or_assign(pool.id, std::move(pool));
        }

        void readEndpoint(const JsonMember& member, const std::string& path, PoolConfig& pool)
        {
            checkId(member, path);
            EndpointConfig endpoint { .id = EndpointId { member.name } };
            JsonObjectReader reader(&member.value, path, m_problems);
            reader.address("address", endpoint.address, FieldPresence::Required);
            reader.identifier("availabilityZone", endpoint.availabilityZone, FieldPresence::Required);
            reader.identifier("region", endpoint.region, FieldPresence::Required);
            reader.integer("slots", endpoint.slots, 1U, 4'096U);
            // Endpoint ids are keys of fleet-wide tables; two ids with the same address would count the slots of one
            // endpoint twice.
            if (auto [existing, isNew] = m_poolByEndpoint.emplace(member.name, pool.id.value); !isNew)
                reportAtName(member, path, "endpoint id is also used in pool '" + existing->second + "'");
            if (!endpoint.address.empty()) {
                if (auto [existing, isNew] = m_pathByAddress.emplace(endpoint.address, path); !isNew)
                    reader.report("address", "the same address is used by " + existing->second);
            }
            pool.endpoints.insert_or_assign(endpoint.id, std::move(endpoint));
        }

        void readRoute(const JsonMember& member, const std::string& path)
        {
            checkId(member, path);
            RouteConfig route;
            JsonObjectReader reader(&member.value, path, m_problems);
            reader.text("prefix", route.prefix, FieldPresence::Required);
            if (!route.prefix.empty()) {
                if (route.prefix.front() != '/')
                    reader.report("prefix", "must start with '/'");
                else if (route.prefix.starts_with("/v1/"))
                    reader.report("prefix", "/v1/ is reserved for model requests");
                if (auto [existing, isNew] = m_routeByPrefix.emplace(route.prefix, member.name); !isNew)
                    reader.report("prefix", "the same prefix is used by route '" + existing->second + "'");
            }
            reader.identifier("pool", route.pool.value, FieldPresence::Required);
            if (!route.pool.empty()) {
                const auto pool = m_configuration.pools.find(route.pool);
                if (pool == m_configuration.pools.end())
                    reader.report("pool", "pool '" + route.pool.value + "' does not exist");
                else if (pool->second.kind != PoolKind::Service)
                    reader.report("pool", "pool '" + route.pool.value + "' is not of kind service");
            }
            std::set<std::string> methods;
            const bool hasMethods
                = reader.forEachString("idempotentMethods", [&](const JsonNode& node, const std::string& itemPath) {
                      if (node.text.empty()
                          || node.text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") != std::string::npos)
                          reader.report(node, itemPath, "'" + node.text + "' is not an HTTP method in capital letters");
                      methods.insert(node.text);
                  });
            if (hasMethods)
                route.idempotentMethods = std::move(methods);
            reader.boolean("requireIdempotencyKey", route.requireIdempotencyKey);
            m_configuration.routes.insert_or_assign(member.name, std::move(route));
        }

        static void readLimits(JsonObjectReader& reader, FleetLimits& limits)
        {
            reader.integer("cellSize", limits.cellSize, 1U, 1'024U);
            reader.integer("refillMargin", limits.refillMargin, 0U, 64U);
            reader.millis("defaultDeadlineMs", limits.defaultDeadline, 1, 86'400'000);
            reader.integer("crashLosses", limits.crashLosses, 1U, 100U);
            reader.millis("quarantineMs", limits.quarantine, 1'000, 86'400'000);
            reader.integer("retryAttempts", limits.retryAttempts, 0U, 10U);
            reader.number("retryRatio", limits.retryRatio, 0.0, 1.0);
        }

        // All presets are validated, not only the one in force, so that a later switch to another preset cannot fail.
        void readPreset(const JsonMember& member, const std::string& path, bool isInForce)
        {
            JsonObjectReader reader(&member.value, path, m_problems);
            reader.forEachMember("shares", [&](const JsonMember& share, const std::string& sharePath) {
                const auto workspace = m_configuration.workspaces.find(WorkspaceId { share.name });
                if (workspace == m_configuration.workspaces.end()) {
                    reportAtName(share, sharePath, "workspace '" + share.name + "' does not exist");
                    return;
                }
                const bool isNumber = share.value.type == JsonType::Integer || share.value.type == JsonType::Float;
                if (!isNumber || !(share.value.number >= minimumShare && share.value.number <= maximumShare))
                    reader.report(share.value, sharePath, "share must be a number from 0.001 to 1000000");
                else if (isInForce)
                    workspace->second.share = share.value.number;
            });
            std::set<std::string> admittedIds;
            const bool hasAdmitList
                = reader.forEachString("admit", [&](const JsonNode& node, const std::string& itemPath) {
                      if (node.text != "*" && !m_configuration.workspaces.contains(WorkspaceId { node.text }))
                          reader.report(node, itemPath, "workspace '" + node.text + "' does not exist");
                      admittedIds.insert(node.text);
                  });
            if (isInForce && hasAdmitList && !admittedIds.contains("*")) {
                for (auto& [id, workspace] : m_configuration.workspaces)
                    workspace.admitted = admittedIds.contains(id.value);
            }
            JsonObjectReader limits = reader.object("limits");
            FleetLimits presetLimits = m_configuration.limits;
            readLimits(limits, presetLimits);
            if (isInForce)
                m_configuration.limits = presetLimits;
        }

        JsonObjectReader m_root;
        JsonProblems& m_problems;
        Configuration m_configuration;
        std::map<std::string, std::string> m_workspaceByKeyHash;
        std::map<std::string, std::string> m_poolByModel;
        std::map<std::string, std::string> m_poolByEndpoint;
        std::map<std::string, std::string> m_pathByAddress;
        std::map<std::string, std::string> m_routeByPrefix;
    };

}

Configuration readConfiguration(const JsonNode& root, JsonProblems& problems)
{
    return ConfigurationReader(root, problems).read();
}

Result<Configuration> parseConfiguration(std::string_view text, std::string_view path)
{
    JsonProblems problems;
    const JsonNode root = parseJson(text, problems);
    Configuration configuration;
    if (problems.empty())
        configuration = readConfiguration(root, problems);
    if (problems.empty())
        return configuration;
    const JsonProblem& first = problems.front();
    return Error { .kind = ErrorKind::ConfigurationInvalid,
        .message = formatProblems(problems, path),
        .position = { .path = std::string(path), .line = first.line, .column = first.column } };
}

}
