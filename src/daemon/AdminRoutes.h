#pragma once

#include "base/Clock.h"
#include "config/ConfigurationFold.h"
#include "core/Blackboard.h"
#include "core/Scheduling.h"
#include "net/AdminServer.h"

#include <string>
#include <string_view>

/// \file
/// \brief JSON documents of the admin server. Field names are part of the interface that operators' tools read.

namespace jasminestack {

/// \returns `{"version","throughOffset","preset","document"}`.
[[nodiscard]] std::string configurationJson(const FoldState&);

/// \param id Only changes with this id; all that are remembered if it is empty.
/// \returns `{"version","throughOffset","from","changes":[...]}`, oldest first.
[[nodiscard]] std::string historyJson(const FoldState&, std::string_view id);

/// \returns `{"endpoints":[...]}`.
[[nodiscard]] std::string endpointsJson(const EndpointTable&, const Configuration&, Millis now);

/// \brief What status reads.
struct StatusSources {
    const FoldState& fold;
    const SchedulingState& scheduling;
    const SchedulingView& view;
    std::string_view notReadyReason; ///< Empty when ready.
    Millis now;
};

/// \returns `{"daemon","state","notReadyReason","configuration","daemons","pools","workspaces","cells"}`. Queues, slots
/// and service are those of this daemon; the gap of a pool is between the workspaces with a backlog here.
[[nodiscard]] std::string statusJson(const StatusSources&);

/// \returns The answer to a publication whose record has been folded.
[[nodiscard]] AdminReply publishReply(const ChangeResult&);

/// \returns The answer to a publication that was refused or whose outcome is not known.
/// \param version Version in force, for a conflict.
[[nodiscard]] AdminReply publishReply(const Error&, std::string_view id, std::uint64_t version);

}
