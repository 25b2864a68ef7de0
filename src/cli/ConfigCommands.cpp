#include "cli/AdminRequests.h"
#include "cli/Commands.h"
#include "cli/Flags.h"
#include "cli/Table.h"
#include "config/DocumentCheck.h"
#include "config/SettingsFile.h"

#include <absl/flags/flag.h>
#include <charconv>
#include <ctime>
#include <iostream>
#include <optional>

namespace jasminestack {

namespace {

    using nlohmann::json;

    constexpr std::string_view versionComment = "// version ";

    // The RFC 7396 merge patch that turns \p from into \p to; neither may contain null values.
    json makeMergePatch(const json& from, const json& to)
    {
        json patch = json::object();
        for (const auto& [name, value] : from.items()) {
            if (!to.contains(name))
                patch[name] = nullptr;
        }
        for (const auto& [name, value] : to.items()) {
            const auto previous = from.find(name);
            if (previous != from.end() && previous->is_object() && value.is_object()) {
                if (json inner = makeMergePatch(*previous, value); !inner.empty())
                    patch[name] = std::move(inner);
            } else if (previous == from.end() || *previous != value) {
                patch[name] = value;
            }
        }
        return patch;
    }

    // Reads a configuration and its base version, if known; prints the errors of an invalid file.
    int readConfigurationFile(const std::string& path, json& document, std::optional<std::uint64_t>& base)
    {
        const auto text = readFile(path);
        if (!text)
            return fail(exit_code::failure, "cannot read " + path);
        JsonProblems problems;
        const DocumentKind kind = checkDocument(*text, problems);
        if (!problems.empty()) {
            std::cerr << formatProblems(problems, path) << "\n";
            return exit_code::invalidInput;
        }
        if (kind != DocumentKind::Configuration)
            return fail(exit_code::invalidInput, path + " contains settings, not a configuration");
        document = json::parse(*text, nullptr, false, true);
        if (const auto baseFlag = absl::GetFlag(FLAGS_base); baseFlag >= 0) {
            base = static_cast<std::uint64_t>(baseFlag);
        } else if (text->starts_with(versionComment)) {
            std::uint64_t version = 0;
            const char* start = text->data() + versionComment.size();
            if (std::from_chars(start, text->data() + text->size(), version).ec == std::errc {})
                base = version;
        }
        return exit_code::success;
    }

    // Keeps each table row on one line of a wide terminal; --json prints the whole text.
    std::string truncate(std::string text)
    {
        constexpr std::size_t maximumBytes = 80;
        if (text.size() > maximumBytes) {
            std::size_t end = maximumBytes;
            while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
                --end;
            text.resize(end);
            text += "...";
        }
        return text;
    }

    std::string formatTime(std::int64_t milliseconds)
    {
        const auto seconds = static_cast<std::time_t>(milliseconds / 1000);
        std::tm parts {};
        char buffer[32] = {};
        if (gmtime_r(&seconds, &parts))
            (void)std::strftime(buffer, sizeof buffer, "%Y-%m-%dT%H:%M:%SZ", &parts);
        return buffer;
    }

}

int runConfigShow(const std::vector<std::string>&)
{
    json current;
    if (const int code = fetchJson("/admin/config", current); code != exit_code::success)
        return code;
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << current.dump(2) << "\n";
        return exit_code::success;
    }
    // From the first line, 'config publish' reads the version on which an edited copy is based.
    std::cout << versionComment << current.value("version", std::uint64_t { 0 }) << "\n"
              << current["document"].dump(4) << "\n";
    return exit_code::success;
}

int runConfigDiff(const std::vector<std::string>& arguments)
{
    json document;
    std::optional<std::uint64_t> base;
    if (const int code = readConfigurationFile(arguments.front(), document, base); code != exit_code::success)
        return code;
    json current;
    if (const int code = fetchJson("/admin/config", current); code != exit_code::success)
        return code;
    const json patch = makeMergePatch(current["document"], document);
    if (absl::GetFlag(FLAGS_json))
        std::cout << json { { "version", current["version"] }, { "patch", patch } }.dump(2) << "\n";
    else if (patch.empty())
        std::cout << "no difference to version " << current["version"] << "\n";
    else
        std::cout << "// merge patch on version " << current["version"] << "\n" << patch.dump(4) << "\n";
    return exit_code::success;
}

int runConfigPublish(const std::vector<std::string>& arguments)
{
    json target;
    std::optional<std::uint64_t> base;
    if (const int code = readConfigurationFile(arguments.front(), target, base); code != exit_code::success)
        return code;
    return publish([&](const json& document, std::uint64_t version, json& patch) {
        // The patch is computed against the version in force; without this check, a file based on an older version
        // would revert the changes made since then.
        if (base && *base != version) {
            return fail(exit_code::conflict,
                arguments.front() + " is based on version " + std::to_string(*base) + ", but version "
                    + std::to_string(version) + " is in force; nothing was published");
        }
        patch = makeMergePatch(document, target);
        return exit_code::success;
    }).code;
}

int runConfigHistory(const std::vector<std::string>&)
{
    json body;
    const std::string id = absl::GetFlag(FLAGS_id);
    if (id.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.") != std::string::npos)
        return fail(exit_code::usage, "--id must be the id of a change");
    if (const int code = fetchJson("/admin/config/history" + (id.empty() ? "" : "?id=" + id), body);
        code != exit_code::success)
        return code;
    json changes = body.value("changes", json::array());
    const auto limit = static_cast<std::size_t>(std::max<std::int64_t>(absl::GetFlag(FLAGS_limit), 0));
    if (changes.size() > limit)
        changes.erase(changes.begin(), changes.end() - static_cast<std::ptrdiff_t>(limit));
    if (absl::GetFlag(FLAGS_json)) {
        body["changes"] = std::move(changes);
        std::cout << body.dump(2) << "\n";
        return exit_code::success;
    }
    if (!id.empty() && changes.empty())
        return fail(exit_code::outcomeUnknown, "the daemon has no record of change " + id);
    std::vector<std::vector<std::string>> rows;
    for (const json& change : changes) {
        const auto outcome = change.value("outcome", "");
        rows.push_back({ std::to_string(change.value("offset", std::int64_t { 0 })),
            formatTime(change.value("time", std::int64_t { 0 })), change.value("author", ""),
            std::to_string(change.value("base", std::uint64_t { 0 })), outcome,
            std::to_string(change.value("version", std::uint64_t { 0 })), change.value("id", ""),
            truncate(outcome == "invalid" ? change.value("reason", "") : change.value("patch", "")) });
    }
    printTable(std::cout, { "OFFSET", "TIME", "AUTHOR", "BASE", "OUTCOME", "VERSION", "ID", "PATCH OR REASON" }, rows);
    return exit_code::success;
}

}
