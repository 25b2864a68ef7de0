#pragma once

#include "routing/CrashAttribution.h"
#include "routing/FleetView.h"
#include "routing/WorkspaceShares.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminestack {

/// \brief A daemon's load at one endpoint; an absolute value, so that the next update replaces one that was lost.
struct EndpointLoadUpdate {
    EndpointInstanceId endpoint { 0 };
    EndpointLoad load;
};

/// \brief A prompt that was sent to an endpoint.
struct SentPrompt {
    EndpointInstanceId endpoint { 0 };
    std::vector<PromptPart> prompt;
};

/// \brief A refused request; its caller may retry at another daemon.
struct RefusalReport {
    std::uint64_t contentHash { 0 };
    std::uint32_t ageMs { 0 }; ///< Milliseconds since the arrival of the original request, before the caller's retries.
};

/// \brief Message by which a daemon reports its state and loads to its peers.
struct FleetUpdate {
    DaemonInstanceId instanceId { 0 }; ///< Identifies the sending process; a restart changes it.
    std::string daemonId;
    std::string address; ///< "IP:PORT" at which the sender receives fleet messages and serves the deployment's
                         ///< documents (configuration and registrations).
    std::uint64_t sequence { 0 }; ///< Increases with each message of the process.
    std::uint64_t configurationVersion { 0 };
    /// Sender's position in the store's history of registrations; -1: none received.
    std::int64_t registrationsPosition { -1 };
    std::int64_t operatorPosition { -1 }; ///< See DeploymentVersions::operatorPosition.
    bool isLeaving { false }; ///< The sender is shutting down.
    bool mayCoordinate { false }; ///< The sender can place other daemons' requests: it is ready and not shutting down.
    float cpuCores { 1.0F }; ///< Processor cores that the sender may use.
    Millis maxUpdateInterval {}; ///< Maximum interval to the sender's next message.
    std::uint32_t knownDaemonCount { 0 }; ///< Daemon addresses that the sender has, including its own.
    std::uint64_t lastGrantNumber { 0 }; ///< The receiver's latest grant to the sender that the sender's loads include.
    bool isSnapshot { false }; ///< \c endpointLoads is complete: the sender has no load at other endpoints.
    std::vector<EndpointLoadUpdate> endpointLoads; ///< All loads in a snapshot, otherwise those that have changed.
    std::vector<AttemptReport>
        attemptReports; ///< Attempts at endpoints that the receiver coordinates, since the last message.
    std::vector<SentPrompt> sentPrompts;
    std::vector<WorkspaceRate> workspaceRates; ///< Rates of all workspaces; empty if this message omits them.
    /// New evidence of the sender; that of the last seconds and all quarantines in snapshots and heartbeats. Its times
    /// are on the local daemon's clock; the codec sends them relative to the time of encoding.
    CrashEvidence crashEvidence;
    std::vector<RefusalReport> refusals;
    std::vector<std::string> livePeerAddresses; ///< Addresses of daemons from which the sender receives updates; empty
                                                ///< if this message omits them.
};

}
