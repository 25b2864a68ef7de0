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
/// \brief State that the controllers share. A controller is one of the modules of src/core that implement the daemon's
/// rules, such as Membership or Dispatch. The comment of each struct names the controllers that write it; the others
/// only read it.

namespace jasminestack {

/// \brief Identity and state of this daemon. The identity is written at start, \c ready and \c draining change while
/// the daemon runs, and Membership raises the incarnation.
struct SelfState {
    DaemonId id;
    std::uint64_t incarnation { 0 };
    std::string peerAddress;
    std::string availabilityZone;
    std::string region;
    bool ready { false };
    bool draining { false };
};

/// \brief State of a member in the view of this daemon. Written by Membership.
struct Member {
    MemberUpdate lastUpdate;
    Millis lastMessageAt {};
    Millis stateChangedAt {}; ///< Time when it became suspect, dead or left in this view; 0 while it is alive. For a
                              ///< suspect member, a pause of this process sets it to the end of the pause.
    ConfigurationDigest configurationDigest;
};

/// \brief Members of the fleet. Written by Membership.
struct MemberTable {
    std::map<DaemonId, Member> members; ///< All members except this daemon.
};

/// \brief State of an endpoint in the view of this daemon. Written by EndpointHealth.
struct EndpointState {
    EndpointId id;
    PoolId pool;
    std::string address;
    std::uint32_t concurrencyLimit { 8 }; ///< Slots: concurrent requests that may be sent to it, from its load reports.
    std::uint32_t reportedRunning { 0 };
    std::uint32_t reportedWaiting { 0 };
    Millis lastReportAt {};
    Millis backoffUntil {}; ///< No new requests are sent to it before this time.
    std::uint32_t consecutiveFailures { 0 };
    bool leaving { false }; ///< Whether any of the three sources below shows it as leaving.
    bool leavingByReport { false };
    bool leavingByHostList { false };
    Millis leavingByPeerUntil {}; ///< A peer's update applies until this time; by then the load report or
                                  ///< the host list shows the endpoint as leaving as well.
    bool removed { false }; ///< No longer in the configuration; running requests may finish.
    std::uint32_t inFlight { 0 }; ///< Requests that this daemon sent and that have not ended; written by Dispatch.
    bool runsCrashSuspect { false }; ///< It runs a crash suspect and nothing else; written by Dispatch.
};

/// \brief Endpoints of all pools. Written by EndpointHealth.
struct EndpointTable {
    std::map<EndpointId, EndpointState> endpoints;
};

/// \brief A request that waits for a slot or runs. Admission checks it, FairQueue queues it, and Dispatch assigns it to
/// an endpoint.
struct QueuedRequest {
    RequestId id;
    WorkspaceId workspace;
    PoolId pool;
    Millis enqueuedAt {};
    Millis deadline {}; ///< Point in time, not a duration.
    double costHint { 0 }; ///< In cost units; 0 if the caller gave no hint.
    std::size_t bodyBytes { 0 };
    std::uint64_t prefixHash { 0 }; ///< Hash of the first part of the prompt; 0 if there is none.
    std::uint64_t contentHash { 0 }; ///< Hash of workspace, method, target and body.
    bool isCrashSuspect { false }; ///< Must run alone on its endpoint (CrashGuard).
    std::vector<EndpointId> triedEndpoints; ///< Endpoints of earlier attempts.
};

/// \brief Decision to send a queued request to an endpoint now.
struct RequestAssignment {
    RequestId request;
    EndpointId endpoint;
    CellId cell;
};

}
