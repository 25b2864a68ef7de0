#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "base/Result.h"
#include "config/JsonDocument.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminestack {

/// \brief Kind of the endpoints in a pool.
enum class PoolKind : std::uint8_t {
    Model, ///< Model engines: they stream responses, count tokens and report their load.
    Service, ///< Plain HTTP services.
};

/// \brief Configuration of an endpoint.
struct EndpointConfig {
    EndpointId id;
    std::string address; ///< "IP:PORT".
    std::string availabilityZone;
    std::string region;
    unsigned slots { 8 }; ///< Expected number of concurrent requests; initial value of the adaptive concurrency limit.
};

/// \brief Endpoints that serve the same models or the same service.
struct PoolConfig {
    PoolId id;
    PoolKind kind { PoolKind::Model };
    std::set<std::string> models;
    std::map<EndpointId, EndpointConfig> endpoints;
};

/// \brief Route of service requests: requests whose path starts with a prefix go to a pool.
struct RouteConfig {
    std::string prefix; ///< Path prefix, for example "/booking/".
    PoolId pool;
    std::set<std::string> idempotentMethods { "GET", "HEAD", "OPTIONS" }; ///< Methods whose requests may be retried.
    bool requireIdempotencyKey { false }; ///< Reject non-idempotent requests without an Idempotency-Key.
};

/// \brief Configuration of a workspace with the preset in force applied.
struct WorkspaceConfig {
    WorkspaceId id;
    double share { 1.0 }; ///< Weight relative to the other workspaces; greater than 0.
    std::vector<std::string> keyHashes; ///< "sha256:<64 hex digits>" of each API key.
    std::size_t queueRequests { 1'000 }; ///< Maximum number of queued requests per daemon.
    std::size_t queueBytes { 64U << 20U }; ///< Maximum size of the queued bodies per daemon, in bytes.
    bool admitted { true }; ///< False while the preset in force rejects the requests of the workspace.
};

/// \brief Settings that apply to the whole fleet.
struct FleetLimits {
    unsigned cellSize { 32 }; ///< Maximum number of endpoints in a cell.
    /// Requests sent to an endpoint beyond its slots; they wait at the endpoint and start as soon as a slot is free.
    unsigned refillMargin { 1 };
    Millis defaultDeadline { 120'000 }; ///< Timeout of requests that specify none.
    unsigned crashLosses { 3 }; ///< Endpoint losses after which a request's content is quarantined.
    Millis quarantine { 600'000 }; ///< How long content stays quarantined.
    unsigned retryAttempts { 2 }; ///< Maximum number of attempts after the first.
    double retryRatio { 0.1 }; ///< Maximum ratio of retries to requests in a pool.
};

/// \brief A validated configuration document with the preset in force applied.
struct Configuration {
    std::uint64_t version { 0 }; ///< 0: no configuration received yet.
    std::int64_t throughOffset { -1 }; ///< Offset of the last applied record of the log stream.
    std::string presetInForce;
    std::map<WorkspaceId, WorkspaceConfig> workspaces;
    std::map<PoolId, PoolConfig> pools;
    std::map<std::string, RouteConfig> routes; ///< By route id.
    FleetLimits limits;

    /// \returns The pool that serves \p model, or nullptr.
    [[nodiscard]] const PoolConfig* poolForModel(std::string_view model) const noexcept;

    /// \returns The route with the longest prefix that matches \p path, or nullptr.
    [[nodiscard]] const RouteConfig* routeForPath(std::string_view path) const noexcept;
};

/// \brief Reads a configuration document (JSON with comments) and applies the preset in force.
/// \param path File path for error messages.
/// \returns All errors found, each with line, column and path, joined as one ConfigurationInvalid error.
[[nodiscard]] Result<Configuration> parseConfiguration(std::string_view text, std::string_view path);

/// \brief Reads a configuration from a parsed document.
/// \returns The configuration with version 0; valid only if nothing was added to \p problems.
[[nodiscard]] Configuration readConfiguration(const JsonNode& root, JsonProblems& problems);

}
