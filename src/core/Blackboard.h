#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "base/Random.h"
#include "config/Configuration.h"
#include "core/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// \brief State that the controllers read and write. Each section names the controllers that write it; all others read.

namespace jasminestack {

/// \brief Who this daemon is. Written once at start; Membership raises the incarnation.
struct SelfState {
    DaemonId id;
    std::uint64_t incarnation { 0 };
    std::string peerAddress;
    std::string availabilityZone;
    std::string region;
    bool ready { false };
    bool draining { false };
};

/// \brief A member as this daemon sees it. Written by Membership.
struct Member {
    MemberUpdate lastUpdate;
    Millis lastMessageAt {};
    Millis suspectedAt {};
    ConfigurationDigest configurationDigest;
};

/// \brief Written by Membership.
struct MemberTable {
    std::map<DaemonId, Member> members; ///< Without this daemon itself.
};

/// \brief An endpoint as this daemon sees it. Written by EndpointHealth.
struct EndpointState {
    EndpointId id;
    PoolId pool;
    std::string address;
    std::uint32_t concurrencyLimit { 8 }; ///< Learned number of concurrent requests that keeps its batch full.
    std::uint32_t reportedRunning { 0 };
    std::uint32_t reportedWaiting { 0 };
    Millis lastReportAt {};
    Millis backoffUntil {}; ///< Gets no new work before this time.
    std::uint32_t consecutiveFailures { 0 };
    bool leaving { false }; ///< Any of the three signs below.
    bool leavingByReport { false };
    bool leavingByHostList { false };
    Millis leavingByPeerUntil {}; ///< A peer's news counts until then; this daemon has seen a sign itself by that time.
    bool removed { false }; ///< No longer in the configuration; running work finishes.
    std::uint32_t inFlight { 0 }; ///< Requests of this daemon; written by Dispatch.
    bool runsCrashSuspect { false }; ///< A crash suspect runs alone on it; written by Dispatch.
};

/// \brief Written by EndpointHealth.
struct EndpointTable {
    std::map<EndpointId, EndpointState> endpoints;
};

/// \brief A request that waits for a slot or runs. Written by Admission, FairQueue and Dispatch.
struct QueuedRequest {
    RequestId id;
    WorkspaceId workspace;
    PoolId pool;
    Millis enqueuedAt {};
    Millis deadline {}; ///< Absolute.
    double costHint { 0 }; ///< Cost units; 0 if the caller gave none.
    std::size_t bodyBytes { 0 };
    std::uint64_t prefixHash { 0 }; ///< Of the first part of the prompt; 0 if none.
    std::uint64_t contentHash { 0 }; ///< Of workspace, method, target and body.
    bool isCrashSuspect { false }; ///< Must run alone on its endpoint (CrashGuard).
    std::vector<EndpointId> triedEndpoints; ///< Endpoints of earlier attempts.
};

/// \brief A decision: this request goes to this endpoint now.
struct RequestAssignment {
    RequestId request;
    EndpointId endpoint;
    CellId cell;
};

}
