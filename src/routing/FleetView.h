#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "routing/EndpointPace.h"
#include "routing/LatencyAdmission.h"
#include "routing/LatencyModel.h"
#include "routing/PromptCache.h"
#include "routing/PromptUsage.h"
#include "routing/RoutingTable.h"
#include "routing/StreamDuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief A daemon's view of the endpoints: registrations, load from all daemons, modelled prefix caches, latency and
/// failure rate.

namespace jasminestack {

/// \brief Identifies one process of a daemon in messages; a restarted daemon has another id.
using DaemonInstanceId = std::uint64_t;

/// \brief Identifies one process of an endpoint in messages: a hash of its id and start time.
using EndpointInstanceId = std::uint64_t;

/// \brief Identifies a group of a pool's endpoints whose requests one daemon places; see Shards.h.
using ShardId = std::uint64_t;

/// \brief Load that one daemon, or a sum of daemons, has at an endpoint.
struct EndpointLoad {
    std::uint32_t inFlight { 0 }; ///< Requests in flight.
    std::uint64_t pendingPrefillTokens { 0 }; ///< Uncached prompt tokens of requests still without a first byte.
    /// KV memory of the requests in flight, excluding prompt parts that were already cached.
    std::uint64_t reservedTokens { 0 };

    [[nodiscard]] friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// \brief A grant to a peer whose load the peer has not reported yet.
struct PendingGrant {
    DaemonInstanceId daemon { 0 };
    std::uint64_t grantNumber { 0 }; ///< Sequence number among the grants to that daemon.
    EndpointLoad load;
    Millis grantedAt {};
};

/// \brief State of one endpoint. Only the functions below modify it, except \c ownLoadChanged, which the sender of
/// fleet updates resets.
struct EndpointView {
    Registration registration;
    EndpointInstanceId instanceId { 0 };
    ShardId shard { 0 };
    EndpointLoad ownLoad;
    std::unordered_map<DaemonInstanceId, EndpointLoad> peerLoads;
    std::vector<PendingGrant> pendingGrants;
    EndpointLoad peerLoadSum; ///< Sum of \c peerLoads and \c pendingGrants.
    PromptCache promptCache;
    std::uint64_t memoryTokens { 0 }; ///< Capacity for prefix cache and requests in flight; 0 if unknown.
    /// Moving average of measured time to first byte divided by the prediction of PoolView::latencyModel.
    double latencyRatio { 1.0 };
    EventInterval eventInterval; ///< Of its streams, from this daemon and peers' reports.
    double failureRate { 0.0 }; ///< Moving average: fraction of its attempts that did not succeed.
    /// AttemptOutcome::ConnectionFailed outcomes since its last complete response or refusal of a request.
    unsigned consecutiveConnectionFailures { 0 };
    Millis excludedUntil {}; ///< It is not chosen before this time.
    Millis pausedUntil {}; ///< The endpoint asked this daemon for a pause until then.
    /// The endpoint said in an answer that it leaves. Holds until the process is replaced; of a faulty one that stays,
    /// only the capacity is lost.
    bool isLeaving { false };
    bool isEvacuated { false }; ///< Its availability zone is in FleetView::evacuatedZones.
    Millis lastResponseAt {}; ///< Time of the last first-byte sample, from this daemon or a peer's report.
    bool isProbeInFlight { false }; ///< A request was sent to test whether the endpoint works again.
    Millis probeStartedAt {};
    bool ownLoadChanged { false }; ///< \c ownLoad has changed since the last fleet update.
    EndpointPace pace;
    PacePhase reportedPacePhase { PacePhase::Full }; ///< Latest one that takePaceChange() returned.
    bool isRegistrationUnread { false }; ///< updatePaces() has not taken over the registration yet.
    bool hasJoinedRunningFleet { false }; ///< The pool had endpoints before this one was registered.

    /// \returns Whether new requests of this daemon may be sent to the endpoint, by its registration, its own answers
    /// and the operator's evacuations.
    [[nodiscard]] bool acceptsRequests(Millis now) const noexcept
    {
        return !registration.isDraining && !isLeaving && !isEvacuated && now >= pausedUntil;
    }

    /// \returns The load of all daemons: \c ownLoad plus \c peerLoadSum.
    [[nodiscard]] EndpointLoad load() const noexcept;
};

/// \brief Statistics of a pool's endpoints.
struct PoolView {
    LatencyModel latencyModel;
    EventInterval eventInterval;
    StreamLengthModel streamLength; ///< Of this daemon's streams.
    /// Moving average of the time for which a request occupies a slot; 0 before the first sample.
    double slotOccupancyMs { 0 };
    double failureRate { 0 }; ///< Moving average: fraction of attempts that did not succeed.
};

/// \brief Bound on the parts of all modelled prefix caches together.
struct PromptCacheBudget {
    std::size_t maxParts { 1'000'000 };
    std::size_t insertedParts { 0 }; ///< Since the caches were last counted.
};

/// \brief One daemon's data about all endpoints.
struct FleetView {
    PromptUsage promptUsage; ///< Counts all daemons' prompts.
    PromptCacheBudget promptCacheBudget;
    std::map<EndpointId, EndpointView> endpoints;
    std::unordered_map<PoolId, std::vector<EndpointView*>> endpointsByPool;
    std::unordered_map<ShardId, std::vector<EndpointView*>> endpointsByShard;
    std::unordered_map<EndpointInstanceId, EndpointView*> endpointsByInstance;
    std::unordered_map<PoolId, PoolView> pools;
    std::set<std::string> evacuatedZones; ///< Nothing more may be sent to the endpoints of these availability zones.
};

/// \brief Lets the modelled prefix caches and the use counts of prompt parts take at most \p bytes of memory together.
void setPromptMemory(FleetView&, std::size_t bytes);

/// \returns Parts of all modelled prefix caches.
[[nodiscard]] std::size_t cachedPromptParts(const FleetView&) noexcept;

/// \brief Replaces the set of endpoints. An endpoint that keeps its id, start time and address keeps its state;
/// endpoints without a registration are removed at once.
void setRegistrations(FleetView&, std::span<const Registration>);

/// \brief Replaces the availability zones to whose endpoints nothing more may be sent. Registrations that are set later
/// are subject to them, too. The endpoints of a zone that is taken back are presumed to be cold.
void setEvacuatedZones(FleetView&, const std::set<std::string>&, Millis now);

/// \brief Copies the memory capacity of each pool to its endpoints. Call it after each change of registrations or
/// configuration.
void setMemoryCapacities(FleetView&, const RoutingTable&);

/// \brief Copies the pace limits of each pool to its endpoints, and takes over the warm-up of new and changed
/// registrations. Call it after each change of registrations, configuration or options.
void updatePaces(FleetView&, const RoutingTable&, const PaceOptions&, Millis now);

/// \brief Treats all endpoints of the availability zone as cold, for example after its evacuation was taken back.
void presumeZoneCold(FleetView&, std::string_view availabilityZone, PaceCause, Millis now);

/// \brief What a request demands of an endpoint.
struct RequestWorkload {
    std::span<const PromptPart> prompt; ///< Empty for requests without a prompt.
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 }; ///< Upper bound.
    std::uint64_t expectedOutputTokens { 0 }; ///< The caller's estimate; 0 if unknown.
};

/// \brief What a request adds to its endpoint's load; kept with the request until it ends.
struct Placement {
    EndpointId endpoint;
    EndpointInstanceId instanceId { 0 };
    std::uint64_t prefillTokens { 0 };
    std::uint64_t reservedTokens { 0 };
    /// Prompt tokens waiting at the endpoint at the time of sending, including the request's.
    double backlogTokens { 0 };
    double predictedFirstByteMs { 0 }; ///< From sending to the first byte.
    Millis sentAt {};
    bool hasSlot { false }; ///< A slot of the endpoint was free when the request was sent.
    bool firstByteReceived { false };
    std::uint64_t expectedOutputTokens { 0 };
    std::uint64_t events { 0 }; ///< Events received of a stream.
    Millis eventTime {}; ///< Sum of the intervals between these events.
};

/// \returns Whether the endpoint has become cold since the request was sent, so that a request which still waits for a
/// connection should go to another endpoint.
[[nodiscard]] bool hasBecomeCold(const EndpointView&, const Placement&, Millis now) noexcept;

/// \brief Weights of the placement score.
struct PlacementOptions {
    /// Determines when a prompt part is cached on another endpoint. An endpoint that has not cached the part is charged
    /// processingTime * usesPerCopy * cachingEndpoints / recentUses for processing it again.
    double usesPerCopy { 16.0 };
    Millis crossZoneCost { 15 }; ///< Extra cost of an endpoint in another availability zone.
    /// Baseline for comparison: choose the endpoint with the fewest requests in flight, ignoring prompts.
    bool leastOutstanding { false };
};

/// \brief The endpoint chosen for a request, if any.
struct EndpointChoice {
    EndpointView* endpoint { nullptr }; ///< Null if no endpoint can be used.
    LatencyPrediction prediction; ///< \c queueMs is infinite if there is no endpoint.
    bool isWithinLimits { false }; ///< \c prediction is within EndpointChoiceRules::limits.
    std::uint64_t prefillTokens { 0 };
    double backlogTokens { 0 };
};

/// \brief Constraints and preferences for choosing an endpoint.
struct EndpointChoiceRules {
    AdmissionLimits limits; ///< Endpoints whose prediction is within them are preferred.
    std::string_view availabilityZone; ///< Of the daemon that sends the request.
    std::span<const EndpointInstanceId> triedEndpoints; ///< Endpoints that this request was sent to before.
    bool isRepeatable { false }; ///< The request may run twice, so it may probe an endpoint after a connection failure.
    ShardId shard { 0 }; ///< Restricts the choice to its endpoints; 0 or an unknown shard allows all of the pool.
    Millis streamTimeLeft {}; ///< Time by which a stream must have ended; 0 if it has no deadline.
    PlacementOptions options;
};

/// \brief Chooses the endpoint with the lowest score: the predicted time to first byte plus costs for prompt parts
/// that another endpoint has cached or is preferred for, for requests in flight per slot, for failures, for another
/// availability zone, for warm-up, for a stream that ends after its deadline and for a prediction that exceeds the
/// admission limits. For a stream that would end too late at the pool's average interval between events, the queue
/// limit is longer at endpoints with shorter intervals. With PlacementOptions::leastOutstanding the score is the number
/// of requests in flight.
[[nodiscard]] EndpointChoice chooseEndpoint(
    FleetView&, const RoutingTable&, const PoolId&, const RequestWorkload&, const EndpointChoiceRules&, Millis now);

/// \brief Adds the request to the load of the chosen endpoint.
/// \returns The placement to pass to recordFirstByte() and recordEnd().
[[nodiscard]] Placement recordSend(FleetView&, const EndpointChoice&, const RequestWorkload&, Millis now);

/// \brief Adds a granted request to the load of the chosen endpoint until a fleet update from the peer includes it.
/// \param grantNumber Sequence number among the grants to \p peer.
void recordGrant(FleetView&, const EndpointChoice&, const RequestWorkload&, DaemonInstanceId peer,
    std::uint64_t grantNumber, Millis now);

/// \brief Removes the peer's pending grants up to \p lastGrantNumber, which its reported load now includes.
void confirmGrants(FleetView&, DaemonInstanceId peer, std::uint64_t lastGrantNumber);

/// \brief Removes grants that were not confirmed in time: the grant or its report was lost, or the peer has ended.
void expireGrants(FleetView&, Millis now);

/// \brief Updates load and latency statistics at the first byte or event of the response. Later calls have no effect.
void recordFirstByte(FleetView&, Placement&, Millis now);

/// \brief Adds events of a stream that were received at \p now to the averages of the endpoint and its pool.
/// \param sincePrevious Time since the event before, without pauses in reading from the endpoint.
void recordEvents(FleetView&, Placement&, std::uint64_t count, Millis sincePrevious, Millis now);

/// \brief Records what an endpoint said of itself in an answer. Unknown endpoints are ignored.
/// \param isLeaving It wants no further requests.
/// \param pause It wants no requests of this daemon for so long; at most an hour is taken over.
/// \returns Whether something is new.
bool recordEndpointNotice(FleetView&, EndpointInstanceId, bool isLeaving, Millis pause, Millis now);

/// \brief How a request ended at its endpoint.
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< The response was complete.
    Refused, ///< The endpoint declared that it did not run the request.
    Failed, ///< The response was an error, incomplete, or unusable, for example to another request.
    ConnectionFailed, ///< The connection could not be opened, or it was closed before a response arrived.
    Stalled, ///< No data arrived for much longer than predicted.
    Cancelled, ///< The caller disconnected or the daemon stopped the attempt; does not count as success or failure.
};

/// \brief Removes the request from its endpoint's load and updates the statistics with the outcome.
void recordEnd(FleetView&, const Placement&, AttemptOutcome, Millis now);

/// \brief First byte or end of an attempt, as sent to the coordinator of the endpoint's shard.
struct AttemptReport {
    EndpointInstanceId endpoint { 0 };
    bool hasEnded { false }; ///< Reports the end of the attempt; otherwise its first byte.
    AttemptOutcome outcome { AttemptOutcome::Answered }; ///< Valid if \c hasEnded.
    std::uint64_t backlogTokens { 0 }; ///< Valid unless \c hasEnded; see Placement::backlogTokens.
    std::uint32_t elapsedMs { 0 }; ///< From sending the request to the first byte or to the end.
    std::uint32_t eventIntervalMs { 0 }; ///< Valid if \c hasEnded: average of the stream's events; 0 if unknown.
};

/// \returns The report of a first byte received at \p now.
[[nodiscard]] AttemptReport firstByteReport(const Placement&, Millis now);

/// \returns The report of an attempt that ended at \p now.
[[nodiscard]] AttemptReport endReport(const Placement&, AttemptOutcome, Millis now);

/// \brief Updates the statistics of the endpoint and its pool. Reports about unknown endpoints are ignored.
void applyAttemptReport(FleetView&, const AttemptReport&, Millis now);

/// \brief Replaces a peer's load at an endpoint. Unknown endpoints are ignored.
void setPeerLoad(FleetView&, DaemonInstanceId, EndpointInstanceId, const EndpointLoad&);

/// \brief Records a prompt that a peer sent: counts the uses of its parts and adds it to the endpoint's modelled cache.
void recordPeerPrompt(FleetView&, EndpointInstanceId, std::span<const PromptPart>, Millis now);

/// \brief Removes a peer's reported load from all endpoints, once its process has ended or its updates have stopped.
void clearPeerLoad(FleetView&, DaemonInstanceId);

/// \returns The instance id: a hash of the endpoint's id and start time.
[[nodiscard]] EndpointInstanceId endpointInstanceId(const Registration&) noexcept;

}
