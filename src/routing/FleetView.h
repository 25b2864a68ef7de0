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
using DaemonKey = std::uint64_t;

/// \brief Identifies an endpoint's process in messages: its id and the time of its start.
using EndpointKey = std::uint64_t;

/// \brief Identifies a group of a pool's endpoints whose requests one daemon places; see Shards.h.
using ShardKey = std::uint64_t;

/// \brief Work that one daemon has at an endpoint.
struct EndpointLoad {
    std::uint32_t running { 0 }; ///< Requests sent and not ended.
    std::uint64_t unreadTokens { 0 }; ///< Prompt tokens of requests whose first event has not come.
    std::uint64_t heldTokens { 0 }; ///< Memory of the requests, without the parts that were cached before.

    [[nodiscard]] friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// \brief Work that a peer was allowed to send and has not reported as its own load yet.
struct PendingGrant {
    DaemonKey daemon { 0 };
    std::uint64_t number { 0 }; ///< Counts the grants to that daemon.
    EndpointLoad load;
    Millis grantedAt {};
};

/// \brief One endpoint. Written by the functions below only.
struct EndpointView {
    Registration registration;
    EndpointKey key { 0 };
    ShardKey shard { 0 };
    EndpointLoad own;
    std::unordered_map<DaemonKey, EndpointLoad> peers;
    std::vector<PendingGrant> grants;
    EndpointLoad others; ///< Sum of \c peers and \c grants.
    PromptCache cache;
    std::uint64_t memoryTokens { 0 }; ///< That its cache and running requests may hold; 0 if unknown.
    double slowness { 1.0 }; ///< Seen over predicted times, relative to its pool.
    double failureShare { 0.0 }; ///< Of its latest answers, the share that failed.
    unsigned losses { 0 }; ///< Connections refused or lost in a row, without an answer in between.
    Millis avoidUntil {}; ///< Gets no work before this time.
    Millis lastAnswer {};
    bool probing { false }; ///< One request finds out whether it works again.
    Millis probeStarted {};
    bool changed { false }; ///< Its own load has changed since the last message to peers.

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
struct PartUse {
    double count { 0 };
    Millis updated {};
};

struct FleetPicture {
    std::unordered_map<std::uint64_t, PartUse> partUses; ///< By part key; all daemons' sends.
    std::map<EndpointId, EndpointView> endpoints;
    std::unordered_map<PoolId, std::vector<EndpointView*>> byPool;
    std::unordered_map<ShardKey, std::vector<EndpointView*>> byShard;
    std::unordered_map<EndpointKey, EndpointView*> byKey;
    std::unordered_map<PoolId, PoolView> pools;
};

/// \brief Takes over the endpoints that are registered now; those that are missing are removed at once.
void setRegistrations(FleetPicture&, std::span<const Registration>);

/// \brief Takes over the properties of the pools; call it after each change of registrations or configuration.
void setPoolProperties(FleetPicture&, const RoutingTable&);

/// \brief A request that is placed or running.
struct Work {
    std::span<const PromptPart> prompt; ///< Empty for plain requests.
    std::uint64_t promptTokens { 0 };
    std::uint64_t outputTokens { 0 }; ///< At most.
};

/// \brief What a request adds to its endpoint's load; kept with the request until it ends.
struct Placement {
    EndpointId endpoint;
    EndpointKey key { 0 };
    std::uint64_t unreadTokens { 0 };
    std::uint64_t heldTokens { 0 };
    double workAhead { 0 }; ///< Units of work when it was sent, with its own.
    double predicted { 0 }; ///< Milliseconds to its first byte.
    Millis sentAt {};
    bool firstByteSeen { false };
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
struct Choice {
    EndpointView* endpoint { nullptr };
    Prediction prediction; ///< Infinite work ahead if there is no endpoint.
    bool fits { false }; ///< Within the limits.
    std::uint64_t unreadTokens { 0 };
    double workAhead { 0 };
};

/// \brief Conditions of a choice.
struct ChoiceRules {
    AdmissionLimits limits; ///< Endpoints within them go first.
    std::string_view availabilityZone; ///< Of the daemon.
    std::span<const EndpointKey> avoid; ///< Endpoints that this request was sent to before.
    bool repeatable { false }; ///< The request may be used to probe an endpoint that failed.
    ShardKey shard { 0 }; ///< Only its endpoints; 0: all endpoints of the pool.
    PlacementOptions options;
};

/// \brief Finds the endpoint that answers soonest, counting the work that the choice costs others.
[[nodiscard]] Choice choose(
    FleetPicture&, const RoutingTable&, const PoolId&, const Work&, const ChoiceRules&, Millis now);

/// \brief Records that the request is sent to the chosen endpoint.
[[nodiscard]] Placement recordSend(FleetPicture&, const Choice&, const Work&, Millis now);

/// \brief Counts a chosen endpoint as loaded on behalf of a peer until the peer reports the load itself.
void recordGrant(FleetPicture&, const Choice&, const Work&, DaemonKey peer, std::uint64_t number, Millis now);

/// \brief The peer's reports include its grants up to \p number.
void confirmGrants(FleetPicture&, DaemonKey peer, std::uint64_t number);

/// \brief Drops grants that were not confirmed in time: the grant or its report was lost, or the peer has ended.
void expireGrants(FleetPicture&, Millis now);

/// \brief The first byte or event of the answer has come.
void recordFirstByte(FleetPicture&, Placement&, Millis now);

/// \brief How a request ended at its endpoint.
enum class EndpointOutcome : std::uint8_t {
    Answered,
    Refused, ///< It declared that it did not run the request.
    Failed, ///< It answered with an error or broke its answer off.
    Lost, ///< The connection could not be opened or ended without an answer.
    Stalled, ///< It gave no sign for much longer than predicted.
    Cancelled, ///< The caller left or the daemon gave up; says nothing about the endpoint.
};

/// \brief Removes the request from its endpoint's load and learns from the outcome.
void recordEnd(FleetPicture&, const Placement&, EndpointOutcome, Millis now);

/// \brief What a peer has seen of an endpoint.
struct AnswerReport {
    EndpointKey endpoint { 0 };
    bool ended { false }; ///< The request has ended; otherwise its first byte has come.
    EndpointOutcome outcome { EndpointOutcome::Answered }; ///< If it has ended.
    std::uint64_t workAhead { 0 }; ///< Of a first byte: units of work when the request was sent, with its own.
    std::uint32_t milliseconds { 0 }; ///< From its sending to the first byte or to the end.
};

/// \returns What peers should learn from a first byte that has just come.
[[nodiscard]] AnswerReport reportFirstByte(const Placement&, Millis now);

/// \returns What peers should learn from a request's end.
[[nodiscard]] AnswerReport reportEnd(const Placement&, EndpointOutcome, Millis now);

/// \brief Learns from a peer's report as from an answer of this daemon's own.
void learn(FleetPicture&, const AnswerReport&, Millis now);

/// \brief A peer's load at an endpoint.
void setPeerLoad(FleetPicture&, DaemonKey, EndpointKey, const EndpointLoad&);

/// \brief A peer has sent a prompt to an endpoint.
void notePeerPrompt(FleetPicture&, EndpointKey, std::span<const PromptPart>, Millis now);

/// \brief A peer's process is gone or silent: its load is unknown and counts as none.
void dropPeer(FleetPicture&, DaemonKey);

/// \returns The key of an endpoint's process.
[[nodiscard]] EndpointKey endpointKey(const Registration&) noexcept;

}
