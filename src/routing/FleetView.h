#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "routing/LatencyAdmission.h"
#include "routing/LatencyModel.h"
#include "routing/PromptCache.h"
#include "routing/RoutingTable.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// \brief What a daemon believes about the endpoints: their registrations, the work that all daemons have sent them,
/// what their prefix caches hold, how fast and how healthy they are.

namespace jasminestack {

/// \brief Identifies a daemon's process in messages.
using DaemonInstanceId = std::uint64_t;

/// \brief Identifies an endpoint's process in messages: its id and the time of its start.
using EndpointInstanceId = std::uint64_t;

/// \brief Identifies a group of a pool's endpoints whose requests one daemon places; see Shards.h.
using ShardId = std::uint64_t;

/// \brief Work that one daemon has at an endpoint.
struct EndpointLoad {
    std::uint32_t inFlight { 0 }; ///< Requests sent and not ended.
    std::uint64_t pendingPrefillTokens { 0 }; ///< Prompt tokens of requests whose first event has not come.
    std::uint64_t reservedTokens { 0 }; ///< Memory of the requests, without the parts that were cached before.

    [[nodiscard]] friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// \brief Work that a peer was allowed to send and has not reported as its own load yet.
struct PendingGrant {
    DaemonInstanceId daemon { 0 };
    std::uint64_t number { 0 }; ///< Counts the grants to that daemon.
    EndpointLoad load;
    Millis grantedAt {};
};

/// \brief One endpoint. Written by the functions below only.
struct EndpointView {
    Registration registration;
    EndpointInstanceId instanceId { 0 };
    ShardId shard { 0 };
    EndpointLoad ownLoad;
    std::unordered_map<DaemonInstanceId, EndpointLoad> peers;
    std::vector<PendingGrant> grants;
    EndpointLoad others; ///< Sum of \c peers and \c grants.
    PromptCache promptCache;
    std::uint64_t memoryTokens { 0 }; ///< That its cache and running requests may hold; 0 if unknown.
    double slowness { 1.0 }; ///< Seen over predicted times, relative to its pool.
    double failureShare { 0.0 }; ///< Of its latest answers, the share that failed.
    unsigned losses { 0 }; ///< Connections refused or lost in a row, without an answer in between.
    Millis avoidUntil {}; ///< Gets no work before this time.
    Millis lastAnswer {};
    bool probing { false }; ///< One request finds out whether it works again.
    Millis probeStarted {};
    bool ownLoadChanged { false }; ///< Its own load has changed since the last message to peers.

    /// \returns The load of all daemons.
    [[nodiscard]] EndpointLoad load() const noexcept;
};

/// \brief What is learned about a pool.
struct PoolView {
    LatencyModel latency;
    double holdMilliseconds { 0 }; ///< Average time for which a request occupies a slot.
    double failureShare { 0 }; ///< Of its latest answers.
};

/// \brief How often prompts with one part were sent, counted over the last seconds.
struct PromptPartUsage {
    double count { 0 };
    Millis updated {};
};

struct FleetView {
    std::unordered_map<std::uint64_t, PromptPartUsage> partUses; ///< By part key; all daemons' sends.
    std::map<EndpointId, EndpointView> endpoints;
    std::unordered_map<PoolId, std::vector<EndpointView*>> endpointsByPool;
    std::unordered_map<ShardId, std::vector<EndpointView*>> endpointsByShard;
    std::unordered_map<EndpointInstanceId, EndpointView*> endpointsByInstance;
    std::unordered_map<PoolId, PoolView> pools;
};

/// \brief Takes over the endpoints that are registered now; those that are missing are removed at once.
void setRegistrations(FleetView&, std::span<const Registration>);

/// \brief Takes over the properties of the pools; call it after each change of registrations or configuration.
void setPoolProperties(FleetView&, const RoutingTable&);

/// \brief A request that is placed or running.
struct RequestWorkload {
    std::span<const PromptPart> prompt; ///< Empty for plain requests.
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 }; ///< At most.
};

/// \brief What a request adds to its endpoint's load; kept with the request until it ends.
struct Placement {
    EndpointId endpoint;
    EndpointInstanceId instanceId { 0 };
    std::uint64_t prefillTokens { 0 };
    std::uint64_t reservedTokens { 0 };
    double backlogTokens { 0 }; ///< Units of work when it was sent, with its own.
    double predictedFirstByteMs { 0 }; ///< Milliseconds to its first byte.
    Millis sentAt {};
    bool firstByteReceived { false };
};

/// \brief How placement weighs what it knows.
struct PlacementOptions {
    /// Uses of a prompt part within the last seconds at which one more endpoint that holds it pays: with fewer uses for
    /// each endpoint that holds it, reading it again is charged at a multiple of its time.
    double usesPerCopy { 16.0 };
    Millis crossZoneCost { 15 }; ///< Extra cost of an endpoint in another availability zone.
    bool leastOutstanding { false }; ///< Baseline: the endpoint with the fewest requests, whatever their prompts.
};

/// \brief An endpoint for a request, or none.
struct EndpointChoice {
    EndpointView* endpoint { nullptr };
    LatencyPrediction prediction; ///< Infinite work ahead if there is no endpoint.
    bool isWithinLimits { false }; ///< Within the limits.
    std::uint64_t prefillTokens { 0 };
    double backlogTokens { 0 };
};

/// \brief Conditions of a choice.
struct EndpointChoiceRules {
    AdmissionLimits limits; ///< Endpoints within them go first.
    std::string_view availabilityZone; ///< Of the daemon.
    std::span<const EndpointInstanceId> triedEndpoints; ///< Endpoints that this request was sent to before.
    bool repeatable { false }; ///< The request may be used to probe an endpoint that failed.
    ShardId shard { 0 }; ///< Only its endpoints; 0: all endpoints of the pool.
    PlacementOptions options;
};

/// \brief Finds the endpoint that answers soonest, counting the work that the choice costs others.
[[nodiscard]] EndpointChoice chooseEndpoint(
    FleetView&, const RoutingTable&, const PoolId&, const RequestWorkload&, const EndpointChoiceRules&, Millis now);

/// \brief Records that the request is sent to the chosen endpoint.
[[nodiscard]] Placement recordSend(FleetView&, const EndpointChoice&, const RequestWorkload&, Millis now);

/// \brief Counts a chosen endpoint as loaded on behalf of a peer until the peer reports the load itself.
void recordGrant(
    FleetView&, const EndpointChoice&, const RequestWorkload&, DaemonInstanceId peer, std::uint64_t number, Millis now);

/// \brief The peer's reports include its grants up to \p number.
void confirmGrants(FleetView&, DaemonInstanceId peer, std::uint64_t number);

/// \brief Drops grants that were not confirmed in time: the grant or its report was lost, or the peer has ended.
void expireGrants(FleetView&, Millis now);

/// \brief The first byte or event of the answer has come.
void recordFirstByte(FleetView&, Placement&, Millis now);

/// \brief How a request ended at its endpoint.
enum class AttemptOutcome : std::uint8_t {
    Answered,
    Refused, ///< It declared that it did not run the request.
    Failed, ///< It answered with an error or broke its answer off.
    ConnectionFailed, ///< The connection could not be opened or ended without an answer.
    Stalled, ///< It gave no sign for much longer than predicted.
    Cancelled, ///< The caller left or the daemon gave up; says nothing about the endpoint.
};

/// \brief Removes the request from its endpoint's load and learns from the outcome.
void recordEnd(FleetView&, const Placement&, AttemptOutcome, Millis now);

/// \brief What a peer has seen of an endpoint.
struct AttemptReport {
    EndpointInstanceId endpoint { 0 };
    bool ended { false }; ///< The request has ended; otherwise its first byte has come.
    AttemptOutcome outcome { AttemptOutcome::Answered }; ///< If it has ended.
    std::uint64_t backlogTokens { 0 }; ///< Of a first byte: units of work when the request was sent, with its own.
    std::uint32_t elapsedMs { 0 }; ///< From its sending to the first byte or to the end.
};

/// \returns What peers should learn from a first byte that has just come.
[[nodiscard]] AttemptReport firstByteReport(const Placement&, Millis now);

/// \returns What peers should learn from a request's end.
[[nodiscard]] AttemptReport endReport(const Placement&, AttemptOutcome, Millis now);

/// \brief Learns from a peer's report as from an answer of this daemon's own.
void applyAttemptReport(FleetView&, const AttemptReport&, Millis now);

/// \brief A peer's load at an endpoint.
void setPeerLoad(FleetView&, DaemonInstanceId, EndpointInstanceId, const EndpointLoad&);

/// \brief A peer has sent a prompt to an endpoint.
void recordPeerPrompt(FleetView&, EndpointInstanceId, std::span<const PromptPart>, Millis now);

/// \brief A peer's process is gone or silent: its load is unknown and counts as none.
void clearPeerLoad(FleetView&, DaemonInstanceId);

/// \returns The key of an endpoint's process.
[[nodiscard]] EndpointInstanceId endpointInstanceId(const Registration&) noexcept;

}
