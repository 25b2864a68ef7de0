#include "base/Hash.h"
#include "cli/AdminRequests.h"
#include "cli/Commands.h"
#include "cli/Flags.h"
#include "cli/Table.h"
#include "config/Configuration.h"

#include <absl/flags/flag.h>
#include <array>
#include <iostream>
#include <optional>
#include <unistd.h>

namespace jasminestack {

namespace {

    using nlohmann::json;

    constexpr std::string_view hashPrefix = "sha256:";

    struct ApiKey {
        std::string text;
        std::string hash;
    };

    // Uses 24 random bytes from the operating system, since Random is not cryptographically secure.
    std::optional<ApiKey> makeApiKey()
    {
        std::array<unsigned char, 24> bytes {};
        if (getentropy(bytes.data(), bytes.size()) != 0)
            return std::nullopt;
        ApiKey key { .text = "jsk_" };
        static constexpr char hexDigits[] = "0123456789abcdef";
        for (const unsigned char byte : bytes) {
            key.text.push_back(hexDigits[byte >> 4U]);
            key.text.push_back(hexDigits[byte & 15U]);
        }
        key.hash = std::string(hashPrefix) + sha256Hex(key.text);
        return key;
    }

    // Prints the key also if the outcome is unknown, since the change with its hash may have been accepted.
    void printKey(const PublishResult& publication, const std::string& workspace, const ApiKey& key)
    {
        if (publication.code != exit_code::success && publication.code != exit_code::outcomeUnknown)
            return;
        if (absl::GetFlag(FLAGS_json)) {
            std::cout << json { { "workspace", workspace }, { "key", key.text }, { "hash", key.hash } }.dump(2) << "\n";
        } else {
            std::cout << "API key of " << workspace << " (not shown again): " << key.text << "\n";
        }
    }

    json objectMember(const json& object, std::string_view name)
    {
        const auto found = object.find(name);
        return found != object.end() && found->is_object() ? *found : json::object();
    }

    int applyLimitFlags(json& workspace)
    {
        if (const double share = absl::GetFlag(FLAGS_share); share != 0.0 && absl::GetFlag(FLAGS_preset).empty()) {
            if (!(share > 0.0))
                return fail(exit_code::usage, "--share must be greater than 0");
            workspace["share"] = share;
        }
        if (const auto requests = absl::GetFlag(FLAGS_queue_requests); requests != 0)
            workspace["queueRequests"] = requests;
        if (const auto bytes = absl::GetFlag(FLAGS_queue_bytes); bytes != 0)
            workspace["queueBytes"] = bytes;
        return exit_code::success;
    }

    // Removes the only hash that starts with \p prefix (given with or without "sha256:"); fails if no hash or more than
    // one hash starts with it.
    int removeKey(json& keys, std::string prefix)
    {
        if (!prefix.starts_with(hashPrefix))
            prefix.insert(0, hashPrefix);
        json remaining = json::array();
        for (const json& key : keys) {
            if (!key.get<std::string>().starts_with(prefix))
                remaining.push_back(key);
        }
        if (keys.size() - remaining.size() != 1) {
            return fail(exit_code::invalidInput,
                std::to_string(keys.size() - remaining.size()) + " API keys start with " + prefix
                    + "; specify a prefix of exactly one key");
        }
        keys = std::move(remaining);
        return exit_code::success;
    }

    int requireWorkspace(const json& document, const std::string& id)
    {
        if (objectMember(document, "workspaces").contains(id))
            return exit_code::success;
        return fail(exit_code::invalidInput, "there is no workspace " + id);
    }

}

int runWorkspaceCreate(const std::vector<std::string>& arguments)
{
    const std::string& id = arguments.front();
    std::string hash = absl::GetFlag(FLAGS_key_hash);
    std::optional<ApiKey> key;
    if (hash.empty()) {
        key = makeApiKey();
        if (!key)
            return fail(exit_code::failure, "the system's random number generator failed");
        hash = key->hash;
    }
    const auto publication = publish([&](const json& document, std::uint64_t, json& patch) {
        if (objectMember(document, "workspaces").contains(id))
            return fail(exit_code::invalidInput, "workspace " + id + " already exists");
        json workspace { { "keys", { hash } } };
        const int code = applyLimitFlags(workspace);
        patch["workspaces"][id] = std::move(workspace);
        return code;
    });
    if (key)
        printKey(publication, id, *key);
    return publication.code;
}

int runWorkspaceSet(const std::vector<std::string>& arguments)
{
    const std::string& id = arguments.front();
    std::optional<ApiKey> key;
    if (absl::GetFlag(FLAGS_add_key) && !(key = makeApiKey()))
        return fail(exit_code::failure, "the system's random number generator failed");
    const auto publication = publish([&](const json& document, std::uint64_t, json& patch) {
        if (const int code = requireWorkspace(document, id); code != exit_code::success)
            return code;
        json workspace = json::object();
        if (const int code = applyLimitFlags(workspace); code != exit_code::success)
            return code;
        json keys = objectMember(objectMember(document, "workspaces"), id).value("keys", json::array());
        if (const auto removed = absl::GetFlag(FLAGS_remove_key); !removed.empty()) {
            if (const int code = removeKey(keys, removed); code != exit_code::success)
                return code;
            workspace["keys"] = keys;
        }
        if (key) {
            keys.push_back(key->hash);
            workspace["keys"] = keys;
        }
        if (!workspace.empty())
            patch["workspaces"][id] = std::move(workspace);
        const std::string preset = absl::GetFlag(FLAGS_preset);
        const double share = absl::GetFlag(FLAGS_share);
        if (!preset.empty() && share == 0.0)
            return fail(exit_code::usage, "--preset needs --share");
        if (!preset.empty()) {
            patch["presets"][preset]["shares"][id] = share;
        } else if (share != 0.0) {
            const auto inForce = document.value("presetInForce", "ordinary");
            if (objectMember(objectMember(objectMember(document, "presets"), inForce), "shares").contains(id)) {
                (void)fail(exit_code::success,
                    "note: preset " + inForce + " is in force and overrides the share of " + id + "; use --preset "
                        + inForce + " to change the share in the preset");
            }
        }
        if (patch.empty())
            return fail(exit_code::usage, "'workspace set' needs at least one flag that changes the workspace");
        return exit_code::success;
    });
    if (key)
        printKey(publication, id, *key);
    return publication.code;
}

int runWorkspaceRemove(const std::vector<std::string>& arguments)
{
    const std::string& id = arguments.front();
    return publish([&](const json& document, std::uint64_t, json& patch) {
        if (const int code = requireWorkspace(document, id); code != exit_code::success)
            return code;
        patch["workspaces"][id] = nullptr;
        // A preset that contains the id of a workspace that does not exist is invalid, so remove the id there too.
        const json presets = objectMember(document, "presets");
        for (const auto& [name, preset] : presets.items()) {
            if (objectMember(preset, "shares").contains(id))
                patch["presets"][name]["shares"][id] = nullptr;
            json admit = preset.value("admit", json::array());
            const auto previousSize = admit.size();
            for (auto entry = admit.begin(); entry != admit.end();)
                entry = *entry == id ? admit.erase(entry) : entry + 1;
            if (admit.size() != previousSize)
                patch["presets"][name]["admit"] = std::move(admit);
        }
        return exit_code::success;
    }).code;
}

int runWorkspaceList(const std::vector<std::string>&)
{
    json current;
    if (const int code = fetchJson("/admin/config", current); code != exit_code::success)
        return code;
    const auto parsed = parseConfiguration(current["document"].dump(), "configuration");
    if (!parsed)
        return fail(exit_code::failure, parsed.error().message);
    json list = json::array();
    std::vector<std::vector<std::string>> rows;
    for (const auto& [id, workspace] : parsed.value().workspaces) {
        list.push_back({ { "workspace", id.value }, { "share", workspace.share }, { "keys", workspace.keyHashes },
            { "queueRequests", workspace.queueRequests }, { "queueBytes", workspace.queueBytes },
            { "admitted", workspace.admitted } });
        rows.push_back({ id.value, formatDecimal(workspace.share), std::to_string(workspace.keyHashes.size()),
            std::to_string(workspace.queueRequests), std::to_string(workspace.queueBytes),
            workspace.admitted ? "yes" : "no" });
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << json {
            { "version", current["version"] }, { "preset", parsed.value().presetInForce },
            { "workspaces", std::move(list) }
        }.dump(2) << "\n";
        return exit_code::success;
    }
    std::cout << "preset in force: " << parsed.value().presetInForce << "\n\n";
    printTable(std::cout, { "WORKSPACE", "SHARE", "KEYS", "QUEUE REQUESTS", "QUEUE BYTES", "ADMITTED" }, rows);
    return exit_code::success;
}

int runPresetShow(const std::vector<std::string>& arguments)
{
    json current;
    if (const int code = fetchJson("/admin/config", current); code != exit_code::success)
        return code;
    const json& document = current["document"];
    const auto inForce = document.value("presetInForce", "ordinary");
    json presets = objectMember(document, "presets");
    if (!arguments.empty()) {
        if (!presets.contains(arguments.front()) && arguments.front() != "ordinary")
            return fail(exit_code::invalidInput, "there is no preset " + arguments.front());
        presets = { { arguments.front(), objectMember(presets, arguments.front()) } };
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << json { { "inForce", inForce }, { "presets", presets } }.dump(2) << "\n";
        return exit_code::success;
    }
    std::vector<std::string> header { "WORKSPACE" };
    for (const auto& [name, preset] : presets.items())
        header.push_back(name + (name == inForce ? " *" : ""));
    std::vector<std::vector<std::string>> rows;
    const json workspaces = objectMember(document, "workspaces");
    for (const auto& [id, workspace] : workspaces.items()) {
        std::vector<std::string> row { id };
        for (const auto& [name, preset] : presets.items()) {
            const json admit = preset.value("admit", json::array({ "*" }));
            const bool admitted = std::find(admit.begin(), admit.end(), "*") != admit.end()
                || std::find(admit.begin(), admit.end(), id) != admit.end();
            const double share = objectMember(preset, "shares").value(id, workspace.value("share", 1.0));
            row.push_back(admitted ? formatDecimal(share) : "-");
        }
        rows.push_back(std::move(row));
    }
    std::cout << "preset in force: " << inForce
              << " (*); '-' means that the preset rejects the requests of the workspace\n\n";
    printTable(std::cout, header, rows);
    for (const auto& [name, preset] : presets.items()) {
        if (preset.contains("limits"))
            std::cout << "\nlimits of " << name << ": " << preset["limits"].dump() << "\n";
    }
    return exit_code::success;
}

int runPresetUse(const std::vector<std::string>& arguments)
{
    const std::string& name = arguments.front();
    return publish([&](const json& document, std::uint64_t, json& patch) {
        if (!objectMember(document, "presets").contains(name) && name != "ordinary")
            return fail(exit_code::invalidInput, "there is no preset " + name);
        if (document.value("presetInForce", "ordinary") != name)
            patch["presetInForce"] = name;
        return exit_code::success;
    }).code;
}

}
