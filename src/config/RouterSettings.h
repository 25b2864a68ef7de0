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

/// \brief Settings of a router daemon in a deployment whose platform keeps configuration and registrations in a store.
/// All addresses are "IP:PORT".
struct RouterSettings {
    struct Daemon {
        DaemonId id;
        std::string availabilityZone;
        unsigned maxDescriptors { 1'024 }; ///< Files and sockets that the process may have open.
        double memoryMb { 0 }; ///< Memory that the process may use; 0: all that the system reports.
        double cpuCores { 1.0 }; ///< Cores that the process may use; daemons with more coordinate more shards.
    } daemon;

    struct Callers {
        std::string address;
        Millis writeTimeout { 10'000 }; ///< Timeout for writing a response to a caller that does not read it.
    } callers;

    struct Health {
        std::string address; ///< Address at which the load balancer checks readiness.
        std::string path { "/readyz" };
        std::string metricsAddress; ///< Empty: metrics are served on the health address only.
    } health;

    struct Peers {
        std::string address; ///< Receives messages (UDP) and documents (TCP) from the other daemons.
        std::vector<std::string> seeds; ///< Addresses of daemons that may be running.
    } peers;

    struct Store {
        std::string address;
        /// A daemon that the store responds to again for this long has to know all changes.
        Millis contactTime { 3'000 };
    } store;

    struct Retries {
        double ratio { 0.1 }; ///< Maximum ratio of retries to requests of a pool.
        double slack { 10 }; ///< Additional retries beyond the ratio, for the whole fleet.
        Millis window { 10'000 }; ///< Length of each interval in which the retries are limited.
    } retries;

    struct Placement {
        std::string policy { "predicted" }; ///< "predicted", or the baseline "least-outstanding".
        double usesPerCopy {
            32.0
        }; ///< Recent uses of a prompt part per caching endpoint at which another copy pays off.
        Millis crossZoneCost { 15 }; ///< Extra cost of an endpoint in another availability zone.
        /// Pools whose endpoints are paced after a start or recovery: "cold-rate-pools", "all-pools" or "none".
        std::string pace { "cold-rate-pools" };
        double coldOvershoot { 1.0 }; ///< Factor on the request rate that a pool's cold endpoints tolerate.
        double coldSlack { 0.0 }; ///< Requests beyond that in each second.
    } placement;

    struct Coordination {
        unsigned fromDaemons { 17 }; ///< Fleets of at least this many daemons place requests through coordinators.
    } coordination;

    struct Shutdown {
        Millis grace { 8'000 }; ///< Maximum time from SIGTERM to the end of the process.
    } shutdown;

    struct Logging {
        std::string level { "info" };
    } logging;

    JsonProblems notices; ///< Values that were ignored or replaced; the settings are valid nevertheless.
};

/// \brief Reads settings from JSON with comments.
/// \param path File path for error messages.
/// \returns All errors found, each with line, column and path, joined as one SettingsInvalid error.
[[nodiscard]] Result<RouterSettings> parseRouterSettings(std::string_view text, std::string_view path);

/// \brief Reads settings from a parsed document.
/// \returns The settings; valid only if nothing was added to \p problems.
[[nodiscard]] RouterSettings readRouterSettings(const JsonNode& root, JsonProblems& problems);

}
