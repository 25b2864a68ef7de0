#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "base/Result.h"
#include "config/JsonDocument.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

/// \brief A daemon's settings; its configuration comes from the log. All addresses are "IP:PORT".
struct DaemonSettings {
    struct Daemon {
        DaemonId id;
        std::string region;
        std::string availabilityZone;
    } daemon;

    struct Callers {
        std::string address;
        std::size_t maxHeaderBytes { 16U << 10U };
        std::size_t maxBodyBytes { 4U << 20U };
        Millis readTimeout { 10'000 }; ///< For a whole request to arrive.
        Millis writeTimeout { 10'000 }; ///< For a stalled answer.
    } callers;

    struct Admin {
        std::string address;
        std::string operatorTokenFile;
        std::string operatorTokenEnvironment;
    } admin;

    struct Peers {
        std::string address;
        std::string fleetKeyFile;
        std::string fleetKeyEnvironment;
        std::vector<std::string> seeds;
    } peers;

    struct Log {
        std::string address;
        unsigned claimStreams { 4 };
        Millis claimWindow { 3'600'000 }; ///< Age up to which idempotency keys are honoured.
    } log;

    struct HostList {
        std::string address;
    } hostList;

    struct WeightStore {
        std::string address;
    } weightStore;

    struct Logging {
        std::string level { "info" };
    } logging;

    struct Tracing {
        std::string otlpFile; ///< One OTLP/JSON document a line; empty: off.
    } tracing;

    struct Scheduling {
        Millis reportInterval { 500 };
        Millis exchangeInterval { 2'000 };
        double gain { 0.1 };
        std::string policy { "fair" }; ///< "fair", or the baselines "static" and "fifo".
    } scheduling;

    struct Endpoints {
        Millis connectTimeout { 1'000 };
        Millis firstByteTimeout { 30'000 };
        Millis idleTimeout { 10'000 };
        Millis loadInterval { 500 }; ///< 0: load reports are not polled.
    } endpoints;

    struct Shutdown {
        Millis balancerGrace { 1'000 };
        Millis drain { 120'000 };
    } shutdown;
};

/// \brief Reads settings from JSON with comments.
/// \param path Used in errors.
/// \returns All errors found, each with line, column and path, joined as one SettingsInvalid error.
[[nodiscard]] Result<DaemonSettings> parseDaemonSettings(std::string_view text, std::string_view path);

/// \brief Reads settings from a parsed document.
/// \returns The settings; valid only if nothing was added to \p problems.
[[nodiscard]] DaemonSettings readSettings(const JsonNode& root, JsonProblems& problems);

}
