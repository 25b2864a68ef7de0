#pragma once

#include "base/Clock.h"
#include "routing/FleetView.h"
#include "routing/WorkspaceShares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Finds what the requests have in common that crash the endpoints which run them, and quarantines it.
///
/// All daemons report with which requests endpoints were lost. A trait of requests (one part of their prompts, or their
/// whole content) is held to be the cause of a series of losses if it is at most of them and no endpoint has answered a
/// request with it meanwhile. Traits that many requests have are at most losses, too, but also in the answers between
/// them.
///
/// Every daemon derives quarantines from the same evidence. They are exchanged as well, so that a daemon that was
/// restarted or cut off learns those whose evidence it has missed.

namespace jasminestack {

/// \brief Hash of something that requests may have in common.
using TraitHash = std::uint64_t;

/// \brief A request that was in flight at an endpoint when it was lost.
struct SuspectRequest {
    WorkspaceHash workspace { 0 };
    /// The endpoint had begun to work on it: its answer had begun or, since plain services send their answers as a
    /// whole, one of the service's slots was free for it.
    bool hasBegun { false };
    Millis sentAt {}; ///< When it was sent to the endpoint.
    TraitHash content { 0 }; ///< The trait that is its whole content; 0 if \c traits does not contain it.
    std::vector<TraitHash> traits; ///< From the ones that most requests share to the most specific one.

    [[nodiscard]] friend bool operator==(const SuspectRequest&, const SuspectRequest&) = default;
};

/// \brief The loss of one endpoint process, as seen by one daemon or, after merging, by all.
struct EndpointLoss {
    EndpointInstanceId endpoint { 0 }; ///< A process is lost once, however many daemons and requests report it.
    Millis at {};
    std::vector<SuspectRequest> requests;
};

/// \brief An endpoint answered a request with the trait, which therefore crashes none.
struct TraitClearance {
    TraitHash trait { 0 };
    Millis at {};
};

/// \brief Requests with the trait are refused.
struct TraitQuarantine {
    TraitHash trait { 0 };
    WorkspaceHash workspace { 0 }; ///< Applies to requests of this workspace; 0: to those of all workspaces.
    std::uint32_t trials { 0 }; ///< Requests that were sent to find out whether the trait still crashes endpoints.
    Millis since {}; ///< Begin of the quarantine or, if it is later, of the last trial.

    [[nodiscard]] friend bool operator==(const TraitQuarantine&, const TraitQuarantine&) = default;
};

/// \brief Evidence that other daemons need.
struct CrashEvidence {
    std::vector<EndpointLoss> losses;
    std::vector<TraitClearance> clearances;
    std::vector<TraitQuarantine> quarantines;

    [[nodiscard]] bool empty() const noexcept { return losses.empty() && clearances.empty() && quarantines.empty(); }
};

struct CrashAttributionOptions {
    /// Losses with the trait that quarantine it. Two can be a coincidence of the endpoints' own failures.
    unsigned quarantineThreshold { 3 };
    /// The same including losses where the endpoint had not begun to work on a request with the trait. Requests that
    /// wait at an endpoint are rarely the cause of its loss.
    unsigned waitingThreshold { 5 };
    /// Time from the first of these losses to a quarantine, in which requests with a sound trait are answered.
    Millis observationTime { 2'000 };
    /// Further losses of other workspaces that extend a quarantine to all workspaces.
    unsigned otherWorkspaceThreshold { 2 };
    unsigned retryThreshold { 2 }; ///< Losses with the trait after which requests with it are not sent again.
    /// Losses within it may have one other cause: a rack, a zone, a network. They then count as one.
    Millis commonCauseWindow { 500 };
    /// Within the window a loss sooner than this after the request was sent is no further evidence, since the endpoint
    /// may have been lost before. Longer than two round trips between availability zones.
    Millis minTimeInFlight { 8 };
    /// A trait is not suspected for losses this long after an answer to a request with it, since only a change of the
    /// endpoints can make a sound trait crash them.
    Millis answerValidity { 10'000 };
    /// The same for contents. A content is one caller's request, so that answers to it are rarer than to a part that
    /// many requests have, and its refusal by mistake harms no other request.
    Millis contentAnswerValidity { 1'000 };
    Millis lossExpiry { 60'000 };
    Millis firstTrialDelay { 30'000 }; ///< Doubles with each trial.
    Millis maxTrialDelay { 600'000 };
    Millis unusedQuarantineExpiry { 1'800'000 }; ///< Since the last trial; longer than maxTrialDelay.
    /// Answers that are newer than the last one reported by any daemon by less than this are not reported.
    Millis clearanceInterval { 1'000 };
    /// Bounds the processor time of updateQuarantines(): traits of lost requests that it looks at, on average, in a
    /// millisecond. Many endpoints that are lost at once leave tens of thousands, and each daemon reports some of them.
    std::size_t traitsPerMillisecond { 1 };
    std::size_t freeTraits { 50 }; ///< So few are looked at in each call.
    /// Time whose processor time is saved for the next losses while there is no new evidence. One loss is reported by
    /// several requests and daemons, and the first report may lack the requests that tell its cause.
    Millis maxSavedTime { 500 };
    std::size_t maxLosses { 64 };
    std::size_t maxRequestsPerLoss { 128 };
    std::size_t maxAnsweredTraits { 20'000 };
    std::size_t maxQuarantines { 256 };
};

/// \brief What speaks against a trait that is not quarantined; for logs.
struct TraitSuspicion {
    TraitHash trait { 0 };
    unsigned losses { 0 }; ///< Endpoint processes that were lost with requests that have the trait.
    unsigned independentLosses { 0 }; ///< Of these: losses that cannot all have had one other cause.
    unsigned independentBegunLosses { 0 }; ///< The same of losses where an endpoint had begun to work on the request.
    Millis firstLossAt {};
    Millis lastLossAt {};
};

/// \brief All evidence that this daemon has, and what follows from it.
struct CrashAttributionState {
    std::map<EndpointInstanceId, EndpointLoss> losses;
    std::unordered_map<TraitHash, Millis> lastAnswered; ///< By any daemon; this daemon's answers and all clearances.
    std::map<std::pair<TraitHash, WorkspaceHash>, TraitQuarantine> quarantines;
    std::unordered_map<TraitHash, Millis> reportedClearances; ///< Latest answer reported by this daemon or a peer.
    std::unordered_map<TraitHash, unsigned> unexplainedLosses; ///< Of traits that are not quarantined.
    TraitSuspicion strongestSuspicion; ///< Of the trait with the most losses in \c unexplainedLosses.
    CrashEvidence unsent; ///< Not sent to peers yet.
    bool hasNewQuarantines { false }; ///< Set with each one that is added; the request path resets it.
    bool hasNewEvidence { false }; ///< updateQuarantines() has not been called since.
    Millis updatedAt {}; ///< When updateQuarantines() last looked at the evidence.
    Millis nextUpdateAt {}; ///< When it may look at the evidence again.
};

/// \brief Treatment of a request according to its traits.
enum class TraitVerdict : std::uint8_t {
    Clear,
    Suspect, ///< Not sent to another endpoint after the loss of one.
    Quarantined,
};

struct TraitDecision {
    TraitVerdict verdict { TraitVerdict::Clear };
    TraitHash trait { 0 }; ///< Cause of a verdict other than Clear.
    Millis trialDueAt {}; ///< Valid if quarantined: one request may then be sent as a trial; see beginTrial().
};

[[nodiscard]] TraitDecision decideByTraits(
    const CrashAttributionState&, const CrashAttributionOptions&, std::span<const TraitHash>, WorkspaceHash);

/// \brief Records that this daemon lost an endpoint process while it ran the request.
void recordLoss(CrashAttributionState&, const CrashAttributionOptions&, EndpointInstanceId, SuspectRequest, Millis now);

/// \brief Records that an endpoint answered a request with these traits. Ends their quarantines.
/// \returns Whether a quarantine ended.
bool recordAnswer(CrashAttributionState&, const CrashAttributionOptions&, std::span<const TraitHash>, Millis now);

/// \brief Applies the evidence of a peer.
void mergeEvidence(CrashAttributionState&, const CrashAttributionOptions&, const CrashEvidence&, Millis now);

/// \brief Derives quarantines from the evidence and removes evidence that has expired. While there is much evidence,
/// some calls do nothing; see CrashAttributionOptions::traitsPerMillisecond. \returns The quarantines that are new.
[[nodiscard]] std::vector<TraitQuarantine> updateQuarantines(
    CrashAttributionState&, const CrashAttributionOptions&, Millis now);

/// \brief Leaves out clearances that a later one makes superfluous, and the oldest losses and clearances beyond the
/// limits of one message.
void limitEvidence(CrashEvidence&);

/// \brief Records that a request is sent although it has quarantined traits, to find out whether they still crash
/// endpoints. The next trial is due later than after this one.
void beginTrial(CrashAttributionState&, std::span<const TraitHash>, WorkspaceHash, Millis now);

/// \returns All quarantines, as evidence for peers.
[[nodiscard]] std::vector<TraitQuarantine> currentQuarantines(const CrashAttributionState&);

}
