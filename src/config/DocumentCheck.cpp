#include "config/DocumentCheck.h"

#include "config/Configuration.h"
#include "config/DaemonSettings.h"
#include "config/RouterSettings.h"

#include <initializer_list>

namespace jasminestack {

namespace {

    bool hasAnyMember(const JsonNode& root, std::initializer_list<std::string_view> names)
    {
        for (std::string_view name : names) {
            if (root.find(name))
                return true;
        }
        return false;
    }

}

std::string_view toString(DocumentKind kind) noexcept
{
    switch (kind) {
    case DocumentKind::DaemonSettings:
        return "settings";
    case DocumentKind::RouterSettings:
        return "router settings";
    case DocumentKind::Configuration:
        return "configuration";
    case DocumentKind::Unknown:
        break;
    }
    return "unknown";
}

DocumentKind checkDocument(std::string_view text, JsonProblems& problems)
{
    const JsonNode root = parseJson(text, problems);
    // No top-level field occurs in both settings and configurations, so that one known field tells them apart.
    const bool hasRouterFields = hasAnyMember(root, { "router", "health", "store", "placement" });
    const bool hasDaemonFields
        = hasAnyMember(root, { "daemon", "callers", "admin", "peers", "log", "hostList", "weightStore", "logging" });
    const bool hasConfigurationFields
        = hasAnyMember(root, { "workspaces", "pools", "routes", "presets", "presetInForce", "limits" });
    const DocumentKind kind = hasRouterFields && !hasConfigurationFields ? DocumentKind::RouterSettings
        : hasDaemonFields == hasConfigurationFields                      ? DocumentKind::Unknown
        : hasDaemonFields                                                ? DocumentKind::DaemonSettings
                                                                         : DocumentKind::Configuration;
    if (!problems.empty())
        return kind;
    if (kind == DocumentKind::RouterSettings)
        (void)readRouterSettings(root, problems);
    else if (kind == DocumentKind::DaemonSettings)
        (void)readDaemonSettings(root, problems);
    else if (kind == DocumentKind::Configuration)
        (void)readConfiguration(root, problems);
    else
        problems.push_back({ root.line, root.column, "",
            hasDaemonFields
                ? "mixes fields of settings and of a configuration"
                : "is neither settings (daemon, callers, peers, ...) nor a configuration (workspaces, pools, "
                  "...)" });
    return kind;
}

}
