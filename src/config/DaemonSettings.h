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

/// \brief Local settings of a daemon; the configuration of the fleet is read from the log. All addresses are "IP:PORT".
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
        Millis readTimeout { 10'000 }; ///< Timeout for receiving a whole request.
        Millis writeTimeout { 10'000 }; ///< Timeout for writing a response to a caller that does not read it.
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
        unsigned claimStreams { 4 }; ///< Number of log streams over which idempotency key claims are distributed.
        Millis claimWindow { 3'600'000 }; ///< Age up to which idempotency keys are recognised.
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
        std::string otlpFile; ///< Output file, one OTLP/JSON document per line; empty: tracing is off.
    } tracing;

    struct Scheduling {
        Millis reportInterval { 500 }; ///< Interval between the demand reports of a daemon.
        Millis exchangeInterval { 2'000 }; ///< Interval between the cell reports of a cell scheduler.
        double gain { 0.1 }; ///< Weight of service received in other cells when a workspace's service lag is corrected.
        std::string policy { "fair" }; ///< "fair", or the baselines "static" and "fifo".
    } scheduling;

    struct Endpoints {
        Millis connectTimeout { 1'000 };
        Millis firstByteTimeout { 30'000 };
        Millis idleTimeout { 10'000 };
        Millis loadInterval { 500 }; ///< Interval at which load reports are polled; 0: no polling.
    } endpoints;

    struct Shutdown {
        Millis balancerGrace { 1'000 }; ///< From the stop request until the daemon stops listening for callers.
        Millis drain { 120'000 }; ///< From the stop request until queued requests are rejected.
    } shutdown;
};

/// \brief Reads settings from JSON with comments.
/// \param path File path for error messages.
/// \returns All errors found, each with line, column and path, joined as one SettingsInvalid error.
[[nodiscard]] Result<DaemonSettings> parseDaemonSettings(std::string_view text, std::string_view path);

/// \brief Reads settings from a parsed document.
/// \returns The settings; valid only if nothing was added to \p problems.
[[nodiscard]] DaemonSettings readDaemonSettings(const JsonNode& root, JsonProblems& problems);

}
