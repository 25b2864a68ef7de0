#include "config/RouterSettings.h"

#include "base/Hash.h"
#include "config/JsonObjectReader.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <limits>

namespace jasminestack {

namespace {

    constexpr std::int64_t oneSecond = 1'000;
    constexpr std::int64_t oneMinute = 60 * oneSecond;

    // Shorter times would need more calls to the store than it serves a fleet.
    constexpr std::int64_t minContactTime = oneSecond;

    // Two turns of the tick in which a shutdown advances.
    constexpr double minSeconds = 0.1;

    // More descriptors than a process can use.
    constexpr std::int64_t maxDescriptors = 10'000'000;

    // Identifiers have at most 64 characters, and a hash has 17 with its separator.
    constexpr std::size_t maxKeptCharacters = 47;

    // Returns an identifier for a name that is none. Different names get different identifiers.
    std::string identifierFor(std::string_view name)
    {
        std::string identifier(name.substr(0, maxKeptCharacters));
        auto isAllowed = [](char character) { return isIdentifier({ &character, 1 }); };
        std::replace_if(identifier.begin(), identifier.end(), std::not_fn(isAllowed), '_');
        char suffix[18];
        (void)std::snprintf(suffix, sizeof suffix, "-%016llx", static_cast<unsigned long long>(hash64(name)));
        return identifier + suffix;
    }

    void addNotice(RouterSettings& settings, const JsonObjectReader& section, const JsonNode& value,
        std::string_view name, std::string message)
    {
        settings.notices.push_back({ value.line, value.column, joinPath(section.path(), name), std::move(message) });
    }

    // Platforms name hosts as they like; the name identifies the daemon to others, who accept identifiers only.
    void readDaemonId(JsonObjectReader& section, RouterSettings& settings)
    {
        std::string& id = settings.daemon.id.value;
        section.text("id", id, FieldPresence::Required);
        if (id.empty() || isIdentifier(id))
            return;
        id = identifierFor(id);
        addNotice(settings, section, *section.field("id"), "id", "is no identifier, '" + id + "' is used");
    }

    void readMaxDescriptors(JsonObjectReader& section, RouterSettings& settings)
    {
        std::int64_t descriptors = settings.daemon.maxDescriptors;
        section.integer("maxDescriptors", descriptors, std::int64_t { 256 }, std::numeric_limits<std::int64_t>::max());
        settings.daemon.maxDescriptors = static_cast<unsigned>(std::min(descriptors, maxDescriptors));
        if (descriptors > maxDescriptors)
            addNotice(settings, section, *section.field("maxDescriptors"), "maxDescriptors",
                "above the maximum, " + std::to_string(maxDescriptors) + " is used");
    }

    // Reads a number from \p minimum on; one above \p maximum is lowered to it.
    void readLimit(JsonObjectReader& section, RouterSettings& settings, std::string_view name, double& destination,
        double minimum, double maximum)
    {
        section.number(name, destination, minimum, std::numeric_limits<double>::max());
        if (destination <= maximum)
            return;
        destination = maximum;
        addNotice(settings, section, *section.field(name), name,
            "above the maximum, " + std::to_string(static_cast<std::int64_t>(maximum)) + " is used");
    }

    void readContactTime(JsonObjectReader& store, RouterSettings& settings)
    {
        auto contactMs = static_cast<double>(settings.store.contactTime.count);
        store.number("contactMs", contactMs, 1.0, static_cast<double>(oneMinute));
        settings.store.contactTime = { static_cast<std::int64_t>(contactMs) };
        if (settings.store.contactTime.count >= minContactTime)
            return;
        settings.store.contactTime = { minContactTime };
        addNotice(settings, store, *store.field("contactMs"), "contactMs",
            "below the minimum, " + std::to_string(minContactTime) + " is used");
    }

    void readAddresses(JsonObjectReader& root, RouterSettings& settings)
    {
        {
            JsonObjectReader callers = root.object("callers", FieldPresence::Required);
            callers.address("address", settings.callers.address, FieldPresence::Required, true);
            callers.millis("writeTimeoutMs", settings.callers.writeTimeout, 100, 10 * oneMinute);
        }
        {
            JsonObjectReader health = root.object("health", FieldPresence::Required);
            health.address("address", settings.health.address, FieldPresence::Required);
            health.text("path", settings.health.path);
            health.address("metricsAddress", settings.health.metricsAddress);
        }
        {
            JsonObjectReader peers = root.object("peers", FieldPresence::Required);
            peers.address("address", settings.peers.address, FieldPresence::Required);
            peers.forEachString("seeds", [&](const JsonNode& node, const std::string& path) {
                if (isAddress(node.text))
                    settings.peers.seeds.push_back(node.text);
                else
                    settings.notices.push_back(
                        { node.line, node.column, path, "ignored, '" + node.text + "' is not of the form IP:PORT" });
            });
        }
        JsonObjectReader store = root.object("store", FieldPresence::Required);
        store.address("address", settings.store.address, FieldPresence::Required);
        readContactTime(store, settings);
    }

    void readSeconds(JsonObjectReader& reader, std::string_view name, Millis& destination)
    {
        double seconds = destination.seconds();
        reader.number(name, seconds, minSeconds, 3'600.0);
        destination = { static_cast<std::int64_t>(seconds * oneSecond) };
    }

    void readOptionalSections(JsonObjectReader& root, RouterSettings& settings)
    {
        {
            JsonObjectReader retries = root.object("retries");
            retries.number("ratio", settings.retries.ratio, 0.0, 100.0);
            retries.number("slack", settings.retries.slack, 0.0, 1e6);
            readSeconds(retries, "windowSeconds", settings.retries.window);
        }
        {
            JsonObjectReader placement = root.object("placement");
            placement.choice("policy", settings.placement.policy, { "predicted", "least-outstanding" });
            placement.number("usesPerCopy", settings.placement.usesPerCopy, 0.0, 100.0);
            placement.millis("crossZoneCostMs", settings.placement.crossZoneCost, 0, oneMinute);
            placement.choice("pace", settings.placement.pace, { "cold-rate-pools", "all-pools", "none" });
            placement.number("coldOvershoot", settings.placement.coldOvershoot, 0.0, 1e6);
            placement.number("coldSlack", settings.placement.coldSlack, 0.0, 1e6);
        }
        {
            JsonObjectReader coordination = root.object("coordination");
            coordination.integer("fromDaemons", settings.coordination.fromDaemons, 2U, 100'000U);
        }
        {
            JsonObjectReader shutdown = root.object("shutdown");
            readSeconds(shutdown, "graceSeconds", settings.shutdown.grace);
        }
        root.object("logging").choice("level", settings.logging.level, { "debug", "info", "warning", "error" });
    }

}

RouterSettings readRouterSettings(const JsonNode& root, JsonProblems& problems)
{
    RouterSettings settings;
    const JsonNode normalized = withWholeNumbers(root);
    JsonObjectReader reader(&normalized, "", problems);
    {
        JsonObjectReader daemon = reader.object("router", FieldPresence::Required);
        readDaemonId(daemon, settings);
        // Compared with the names in registrations, so it is kept as it is.
        daemon.text("availabilityZone", settings.daemon.availabilityZone, FieldPresence::Required);
        readMaxDescriptors(daemon, settings);
        readLimit(daemon, settings, "memoryMb", settings.daemon.memoryMb, 0.0, 1'000'000.0);
        readLimit(daemon, settings, "processorShare", settings.daemon.cpuCores, 0.001, 1'024.0);
    }
    readAddresses(reader, settings);
    readOptionalSections(reader, settings);
    return settings;
}

Result<RouterSettings> parseRouterSettings(std::string_view text, std::string_view path)
{
    JsonProblems problems;
    const JsonNode root = parseJson(text, problems);
    RouterSettings settings;
    if (problems.empty())
        settings = readRouterSettings(root, problems);
    if (problems.empty())
        return settings;
    const JsonProblem& first = problems.front();
    return Error { .kind = ErrorKind::SettingsInvalid,
        .message = formatProblems(problems, path),
        .position = { .path = std::string(path), .line = first.line, .column = first.column } };
}

}
