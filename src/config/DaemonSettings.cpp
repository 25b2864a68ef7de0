#include "config/DaemonSettings.h"

#include "config/JsonObjectReader.h"

namespace jasminestack {

namespace {

    constexpr std::int64_t oneSecond = 1'000;
    constexpr std::int64_t oneMinute = 60 * oneSecond;
    constexpr std::int64_t oneHour = 60 * oneMinute;
    constexpr std::int64_t oneDay = 24 * oneHour;
    constexpr std::int64_t oneWeek = 7 * oneDay;

    void readListeners(JsonObjectReader& root, DaemonSettings& settings, JsonProblems& problems)
    {
        {
            JsonObjectReader callers = root.object("callers", FieldPresence::Required);
            callers.address("address", settings.callers.address, FieldPresence::Required, true);
            callers.integer<std::size_t>("maxHeaderBytes", settings.callers.maxHeaderBytes, 1U << 10U, 1U << 20U);
            callers.integer<std::size_t>("maxBodyBytes", settings.callers.maxBodyBytes, 1U << 10U, 64U << 20U);
            callers.millis("readTimeoutMs", settings.callers.readTimeout, 100, 10 * oneMinute);
            callers.millis("writeTimeoutMs", settings.callers.writeTimeout, 100, 10 * oneMinute);
        }
        {
            JsonObjectReader admin = root.object("admin", FieldPresence::Required);
            admin.address("address", settings.admin.address, FieldPresence::Required, true);
            admin.text("operatorTokenFile", settings.admin.operatorTokenFile);
            admin.text("operatorTokenEnv", settings.admin.operatorTokenEnvironment);
            if (!settings.admin.operatorTokenFile.empty() && !settings.admin.operatorTokenEnvironment.empty())
                admin.report("operatorTokenEnv", "only one of operatorTokenFile and operatorTokenEnv may be given");
        }
        JsonObjectReader peers = root.object("peers", FieldPresence::Required);
        peers.address("address", settings.peers.address, FieldPresence::Required);
        peers.text("fleetKeyFile", settings.peers.fleetKeyFile);
        peers.text("fleetKeyEnv", settings.peers.fleetKeyEnvironment);
        if (settings.peers.fleetKeyFile.empty() && settings.peers.fleetKeyEnvironment.empty())
            peers.report("fleetKeyFile", "one of fleetKeyFile and fleetKeyEnv is required");
        if (!settings.peers.fleetKeyFile.empty() && !settings.peers.fleetKeyEnvironment.empty())
            peers.report("fleetKeyEnv", "only one of fleetKeyFile and fleetKeyEnv may be given");
        peers.forEachString("seeds", [&](const JsonNode& node, const std::string& path) {
            if (isAddress(node.text))
                settings.peers.seeds.push_back(node.text);
            else
                problems.push_back({ node.line, node.column, path, "'" + node.text + "' is not of the form IP:PORT" });
        });
    }

    void readPlatformServices(JsonObjectReader& root, DaemonSettings& settings)
    {
        {
            JsonObjectReader log = root.object("log", FieldPresence::Required);
            log.address("address", settings.log.address, FieldPresence::Required);
            log.integer("claimStreams", settings.log.claimStreams, 1U, 64U);
            log.millis("claimWindowMs", settings.log.claimWindow, oneSecond, oneWeek);
        }
        root.object("hostList").address("address", settings.hostList.address, FieldPresence::Required);
        root.object("weightStore").address("address", settings.weightStore.address, FieldPresence::Required);
        root.object("logging").choice("level", settings.logging.level, { "debug", "info", "warning", "error" });
        root.object("tracing").text("otlpFile", settings.tracing.otlpFile);
    }

    void readSchedulingAndTimeouts(JsonObjectReader& root, DaemonSettings& settings)
    {
        {
            JsonObjectReader scheduling = root.object("scheduling");
            scheduling.millis("reportIntervalMs", settings.scheduling.reportInterval, 50, 2 * oneSecond);
            scheduling.millis("exchangeIntervalMs", settings.scheduling.exchangeInterval, 100, oneMinute);
            scheduling.number("gain", settings.scheduling.gain, 0.0, 1.0);
            scheduling.choice("policy", settings.scheduling.policy, { "fair", "static", "fifo" });
        }
        {
            JsonObjectReader endpoints = root.object("endpoints");
            endpoints.millis("connectTimeoutMs", settings.endpoints.connectTimeout, 50, oneMinute);
            endpoints.millis("firstByteTimeoutMs", settings.endpoints.firstByteTimeout, 100, oneHour);
            endpoints.millis("idleTimeoutMs", settings.endpoints.idleTimeout, 100, oneHour);
            endpoints.millis("loadIntervalMs", settings.endpoints.loadInterval, 50, oneMinute);
        }
        JsonObjectReader shutdown = root.object("shutdown");
        shutdown.millis("balancerGraceMs", settings.shutdown.balancerGrace, 0, 10 * oneMinute);
        shutdown.millis("drainMs", settings.shutdown.drain, 0, oneDay);
    }

}

DaemonSettings readDaemonSettings(const JsonNode& root, JsonProblems& problems)
{
    DaemonSettings settings;
    const JsonNode normalized = withWholeNumbers(root);
    JsonObjectReader reader(&normalized, "", problems);
    {
        JsonObjectReader daemon = reader.object("daemon", FieldPresence::Required);
        daemon.identifier("id", settings.daemon.id.value, FieldPresence::Required);
        daemon.identifier("region", settings.daemon.region, FieldPresence::Required);
        daemon.identifier("availabilityZone", settings.daemon.availabilityZone, FieldPresence::Required);
    }
    readListeners(reader, settings, problems);
    readPlatformServices(reader, settings);
    readSchedulingAndTimeouts(reader, settings);
    return settings;
}

Result<DaemonSettings> parseDaemonSettings(std::string_view text, std::string_view path)
{
    JsonProblems problems;
    const JsonNode root = parseJson(text, problems);
    DaemonSettings settings;
    if (problems.empty())
        settings = readDaemonSettings(root, problems);
    if (problems.empty())
        return settings;
    const JsonProblem& first = problems.front();
    return Error { .kind = ErrorKind::SettingsInvalid,
        .message = formatProblems(problems, path),
        .position = { .path = std::string(path), .line = first.line, .column = first.column } };
}

}
