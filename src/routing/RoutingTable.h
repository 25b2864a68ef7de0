#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief The published configuration of a router daemon: routes by host name and path prefix, pools, API keys and
/// limits.

namespace jasminestack {

/// \brief Whether a route's requests may run more than once, and the form of their responses.
enum class RequestKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream, ///< The response is a stream of SSE events; repeatable only if the route is resumable.
};

/// \brief A pool that a route sends requests to, with its relative weight.
struct PoolWeight {
    PoolId pool;
    unsigned weight { 1 };
};

/// \brief Maps requests of a host and path prefix to pools, with their timeouts and objectives.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind { RequestKind::NonIdempotent };
    std::vector<PoolWeight> pools;
    Millis timeout { 30'000 }; ///< Time to the complete response.
    Millis latencyObjective { 1'000 }; ///< Time to the first event of a stream, or to the complete response.
    Millis eventGapObjective { 0 }; ///< Longest interval between events; 0 if the route has no such objective.
    unsigned maxEndpoints { 1 }; ///< Endpoints that one request may be sent to.
    bool isAnonymous { false }; ///< Needs no API key.
    bool isResumable { false }; ///< After a failure, a stream continues on another endpoint after its last event.

    /// \returns Whether a request may be sent again although an endpoint may have run it already.
    [[nodiscard]] bool isRepeatable() const noexcept
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable);
    }
};

/// \brief Properties common to all endpoints of a pool.
struct PoolSpec {
    PoolId id;
    bool isModel { false }; ///< Its endpoints process prompts and keep a prefix cache.
    unsigned slots { 1 }; ///< Requests that an endpoint runs concurrently; a registration with slots overrides it.
    /// KV memory of an endpoint for requests in flight and prefix cache; 0 if unknown.
    std::uint64_t memoryTokens { 0 };
    double coldRequestsPerSecond { 0 }; ///< Requests that an endpoint tolerates while it is cold; 0: no limit.
    Millis coldDuration {}; ///< Time for which an endpoint is cold after its start.
};

/// \brief Bounds on what callers may send.
struct CallerLimits {
    std::size_t maxHeaderBytes { 16U << 10U };
    std::size_t maxBodyBytes { 4U << 20U };
    Millis headerTimeout { 5'000 };
    Millis idleTimeout { 60'000 };
};

/// \brief One version of the published routes, pools, API keys and limits.
struct RoutingTable {
    std::uint64_t version { 0 }; ///< 0 before the first version is received.
    std::unordered_map<std::string, std::vector<Route>> routes; ///< By host; longest prefix first.
    std::unordered_map<PoolId, PoolSpec> pools;
    std::unordered_map<std::string, WorkspaceId> workspacesByApiKey;
    bool requiresApiKey { false }; ///< Routes need an API key unless they are anonymous.
    CallerLimits limits;

    /// \returns The route of \p host with the longest prefix of \p path, or nullptr.
    [[nodiscard]] const Route* routeFor(std::string_view host, std::string_view path) const;

    /// \returns The properties of \p pool, or a default PoolSpec if it is unknown.
    [[nodiscard]] const PoolSpec& poolSpec(const PoolId& pool) const;

    /// \returns The tightest latency objective of the streaming routes to \p pool, or 0 if there is none.
    [[nodiscard]] Millis tightestObjective(const PoolId& pool) const;
};

/// \brief Sorts the routes of each host by decreasing prefix length, as routeFor() requires. Call it after filling a
/// table.
void sortRoutes(RoutingTable&);

/// \brief An endpoint's registration.
struct Registration {
    EndpointId id;
    PoolId pool;
    std::string address; ///< "IP:PORT".
    std::string availabilityZone;
    unsigned slots { 0 }; ///< Requests that it runs concurrently; 0: PoolSpec::slots applies.
    bool isDraining { false };
    Millis remainingWarmup {}; ///< Remaining time for which the endpoint stays slow after its start.
    std::int64_t startedAtUnixMs { 0 }; ///< 0 if unknown. A different value means a different process.

    [[nodiscard]] friend bool operator==(const Registration&, const Registration&) = default;
};

}
