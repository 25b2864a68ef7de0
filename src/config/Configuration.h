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

/// \brief What a pool's endpoints are.
enum class PoolKind : std::uint8_t {
    Model, ///< Model engines: streams, tokens, load reports.
    Service, ///< Plain services.
};

/// \brief An endpoint as operators configured it.
struct EndpointConfig {
    EndpointId id;
    std::string address; ///< "IP:PORT".
    std::string availabilityZone;
    std::string region;
    unsigned slots { 8 }; ///< Concurrent requests that it is expected to run; the learned limit starts here.
};

/// \brief Endpoints that serve the same models or the same service.
struct PoolConfig {
    PoolId id;
    PoolKind kind { PoolKind::Model };
    std::set<std::string> models;
    std::map<EndpointId, EndpointConfig> endpoints;
};

/// \brief Which plain requests go to which pool.
struct RouteConfig {
    std::string prefix; ///< Path prefix, for example "/booking/".
    PoolId pool;
    std::set<std::string> idempotentMethods { "GET", "HEAD", "OPTIONS" }; ///< Methods whose calls may be repeated.
    bool requireIdempotencyKey { false }; ///< Refuse non-idempotent calls without an Idempotency-Key.
};

/// \brief A workspace under the preset in force.
struct WorkspaceConfig {
    WorkspaceId id;
    double share { 1.0 }; ///< Relative to the other workspaces; greater than 0.
    std::vector<std::string> keyHashes; ///< "sha256:<64 hex digits>" of each API key.
    std::size_t queueRequests { 1'000 }; ///< Queued requests a daemon holds for it at most.
    std::size_t queueBytes { 64U << 20U }; ///< Bytes of queued bodies a daemon holds for it at most.
    bool admitted { true }; ///< False while the preset in force refuses its requests.
};

/// \brief Settings that apply to the whole fleet.
struct FleetLimits {
    unsigned cellSize { 32 }; ///< Endpoints in a cell at most.
    unsigned refillMargin {
        1
    }; ///< Requests sent to an endpoint beyond its slots, so that a freed slot refills at once.
    Millis defaultDeadline { 120'000 };
    unsigned crashLosses { 3 }; ///< Endpoint losses after which a request's content is quarantined.
    Millis quarantine { 600'000 };
    unsigned retryAttempts { 2 }; ///< Further attempts after the first.
    double retryRatio { 0.1 }; ///< Retries per request in a pool at most.
};

/// \brief A validated configuration document with the preset in force applied.
struct Configuration {
    std::uint64_t version { 0 }; ///< 0: none known yet.
    std::int64_t throughOffset { -1 }; ///< Last offset of the log stream that was folded in.
    std::string presetInForce;
    std::map<WorkspaceId, WorkspaceConfig> workspaces;
    std::map<PoolId, PoolConfig> pools;
    std::map<std::string, RouteConfig> routes; ///< By route id.
    FleetLimits limits;

    /// \returns The pool that serves \p model, or nullptr.
    [[nodiscard]] const PoolConfig* poolForModel(std::string_view model) const noexcept;

    /// \returns The route with the longest prefix of \p path, or nullptr.
    [[nodiscard]] const RouteConfig* routeForPath(std::string_view path) const noexcept;
};

/// \brief Reads a configuration document (JSON with comments) and applies the preset in force.
/// \param path Used in errors.
/// \returns All errors found, each with line, column and path, joined as one ConfigurationInvalid error.
[[nodiscard]] Result<Configuration> parseConfiguration(std::string_view text, std::string_view path);

/// \brief Reads a configuration from a parsed document.
/// \returns The configuration with version 0; valid only if nothing was added to \p problems.
[[nodiscard]] Configuration readConfiguration(const JsonNode& root, JsonProblems& problems);

}
