#pragma once

#include "core/Messages.h"
#include "routing/FleetView.h"
#include "routing/WorkspaceShares.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminestack {

/// \brief A daemon's load at one endpoint; absolute, so that a lost message does no lasting harm.
struct EndpointLoadUpdate {
    EndpointInstanceId endpoint { 0 };
    EndpointLoad load;
};

/// \brief A prompt that was sent to an endpoint.
struct SentPrompt {
    EndpointInstanceId endpoint { 0 };
    std::vector<PromptPart> prompt;
};

/// \brief A request that was refused; its caller may come back to another daemon.
struct RefusalReport {
    std::uint64_t contentHash { 0 };
    std::uint32_t age { 0 }; ///< Milliseconds since its first attempt arrived.
};

/// \brief What one daemon tells the others.
struct FleetUpdate {
    DaemonInstanceId instanceId { 0 }; ///< Of this process; a restart gives another one.
    std::string daemonId;
    std::string address; ///< "IP:PORT" on which it hears messages and serves its documents.
    std::uint64_t sequence { 0 }; ///< Grows with each message of the process.
    std::uint64_t configurationVersion { 0 };
    std::int64_t registrationsPosition { -1 };
    bool leaving { false };
    bool mayCoordinate { false }; ///< It can place the requests of others: it is ready and not stopping.
    double cpuCores { 1.0 }; ///< Cores that it may use.
    Millis maxUpdateInterval {}; ///< The receiver hears from it again within this time.
    std::uint32_t knownDaemonCount { 0 }; ///< Addresses that it knows, with its own.
    std::uint64_t lastGrantNumber { 0 }; ///< Latest of the receiver's grants that \c loads include.
    bool isSnapshot { false }; ///< Endpoints without an entry in \c loads have no load of this daemon.
    std::vector<EndpointLoadUpdate> loads; ///< Those that have changed, or all.
    std::vector<AttemptReport> attemptReports; ///< At the receiver's endpoints, since the last message.
    std::vector<SentPrompt> sentPrompts;
    std::vector<WorkspaceRate> rates; ///< All, or empty if not repeated in this message.
    std::vector<CrashMark> crashes;
    std::vector<RefusalReport> refusals;
    std::vector<std::string> livePeerAddresses; ///< Addresses of daemons that it hears; empty if not repeated.
};

}
