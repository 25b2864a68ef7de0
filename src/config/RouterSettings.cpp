#include "config/RouterSettings.h"

#include "config/JsonObjectReader.h"

namespace jasminestack {

namespace {

    constexpr std::int64_t oneSecond = 1'000;
    constexpr std::int64_t oneMinute = 60 * oneSecond;

    // Shorter times would need more calls to the store than it serves a fleet.
    constexpr std::int64_t minContactTime = oneSecond;

    // Two turns of the tick in which a shutdown advances.
    constexpr double minSeconds = 0.1;

    void readContactTime(JsonObjectReader& store, RouterSettings& settings)
    {
        auto contactMs = static_cast<double>(settings.store.contactTime.count);
        store.number("contactMs", contactMs, 1.0, static_cast<double>(oneMinute));
        settings.store.contactTime = { static_cast<std::int64_t>(contactMs) };
        if (settings.store.contactTime.count >= minContactTime)
            return;
        settings.store.contactTime = { minContactTime };
        const JsonNode& value = *store.field("contactMs");
        settings.notices.push_back({ value.line, value.column, joinPath(store.path(), "contactMs"),
            "below the minimum, " + std::to_string(minContactTime) + " is used" });
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
        daemon.identifier("id", settings.daemon.id.value, FieldPresence::Required);
        daemon.identifier("availabilityZone", settings.daemon.availabilityZone, FieldPresence::Required);
        daemon.integer("maxDescriptors", settings.daemon.maxDescriptors, 256U, 10'000'000U);
        daemon.number("memoryMb", settings.daemon.memoryMb, 0.0, 1'000'000.0);
        daemon.number("processorShare", settings.daemon.cpuCores, 0.01, 1'024.0);
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
