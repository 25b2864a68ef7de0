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
/// \brief What operators publish for deployments whose routes are chosen by host name and path prefix.

namespace jasminestack {

/// \brief What a route's requests allow.
enum class RequestKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream, ///< Answered by events; idempotent only if the route is resumable.
};

/// \brief One destination of a route.
struct PoolWeight {
    PoolId pool;
    unsigned weight { 1 };
};

/// \brief Which requests go to which pools, and their limits.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Path prefix; begins and ends with a slash.
    RequestKind kind { RequestKind::NonIdempotent };
    std::vector<PoolWeight> pools;
    Millis timeout { 30'000 }; ///< Time until the final answer.
    Millis latencyObjective { 1'000 }; ///< Time to the first event of a stream, or to the whole answer.
    Millis eventGapObjective { 0 }; ///< Longest pause between events; 0 if the route has none.
    unsigned maxEndpoints { 1 }; ///< Endpoints that one request may be sent to.
    bool isAnonymous { false }; ///< Needs no API key.
    bool isResumable { false }; ///< Streams continue on another endpoint after their last event.

    /// \returns Whether a request may run again after it may have run.
    [[nodiscard]] bool isRepeatable() const noexcept
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable);
    }
};

/// \brief A service's properties that all its endpoints share.
struct PoolSpec {
    PoolId id;
    bool isModel { false }; ///< Its endpoints read prompts and keep a prefix cache.
    unsigned slots { 1 }; ///< Requests that an endpoint runs at once, unless its registration says otherwise.
    std::uint64_t memoryTokens { 0 }; ///< Tokens that an endpoint's running requests and prefix cache may hold.
};

/// \brief Bounds on what callers may send.
struct CallerLimits {
    std::size_t maxHeaderBytes { 16U << 10U };
    std::size_t maxBodyBytes { 4U << 20U };
    Millis headerTimeout { 5'000 };
    Millis idleTimeout { 60'000 };
};

/// \brief One version of the published routes, services and API keys.
struct RoutingTable {
    std::uint64_t version { 0 }; ///< 0: none known yet.
    std::unordered_map<std::string, std::vector<Route>> routes; ///< By host; longest prefix first.
    std::unordered_map<PoolId, PoolSpec> pools;
    std::unordered_map<std::string, WorkspaceId> workspacesByApiKey;
    bool requiresApiKey { false }; ///< Routes need an API key unless they are anonymous.
    CallerLimits limits;

    /// \returns The route of \p host with the longest prefix of \p path, or nullptr.
    [[nodiscard]] const Route* routeFor(std::string_view host, std::string_view path) const;

    /// \returns The properties of \p pool, or defaults.
    [[nodiscard]] const PoolSpec& poolSpec(const PoolId& pool) const;

    /// \returns The tightest latency objective of the streaming routes to \p pool, or 0 if there is none.
    [[nodiscard]] Millis tightestObjective(const PoolId& pool) const;
};

/// \brief Sorts the routes of each host for routeFor(); call it after filling a table.
void sortRoutes(RoutingTable&);

/// \brief An endpoint as it registered itself.
struct Registration {
    EndpointId id;
    PoolId pool;
    std::string address; ///< "IP:PORT".
    std::string availabilityZone;
    unsigned slots { 0 }; ///< 0: as the pool says.
    bool draining { false };
    Millis warmupLeft {}; ///< Time for which it stays slow after its start.
    std::int64_t startedAtUnixMs { 0 }; ///< Unix milliseconds; 0 if unknown. Another value is another process.

    [[nodiscard]] friend bool operator==(const Registration&, const Registration&) = default;
};

}
