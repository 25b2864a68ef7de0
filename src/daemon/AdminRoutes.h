#pragma once

#include "base/Clock.h"
#include "base/Result.h"
#include "config/ConfigurationReplica.h"
#include "config/DaemonSettings.h"
#include "core/Blackboard.h"
#include "core/Scheduling.h"
#include "net/AdminServer.h"

#include <functional>
#include <string>
#include <string_view>

/// \file
/// \brief Handlers of the admin server and their JSON documents. Field names are part of the interface that operators'
/// tools read.

namespace jasminestack {

class ConfigurationService;
class Metrics;

/// \returns `{"version","throughOffset","preset","document"}`.
[[nodiscard]] std::string configurationJson(const ConfigurationReplica&);

/// \param id Only changes with this id; all that are remembered if it is empty.
/// \returns `{"version","throughOffset","from","changes":[...]}`, oldest first.
[[nodiscard]] std::string historyJson(const ConfigurationReplica&, std::string_view id);

/// \returns `{"endpoints":[...]}`.
[[nodiscard]] std::string endpointsJson(const EndpointTable&, const Configuration&, Millis now);

/// \brief What status reads.
struct StatusContext {
    const ConfigurationReplica& fold;
    const SchedulingState& scheduling;
    const SchedulingView& view;
    std::string_view notReadyReason; ///< Empty when ready.
    Millis now;
};

/// \returns `{"daemon","state","notReadyReason","configuration","daemons","pools","workspaces","cells"}`. Queues, slots
/// and service are those of this daemon; the gap of a pool is between the workspaces with a backlog here.
[[nodiscard]] std::string statusJson(const StatusContext&);

/// \returns The answer to a publication whose record has been folded.
[[nodiscard]] AdminResponse publishReply(const ChangeResult&);

/// \returns The answer to a publication that was refused or whose outcome is not known.
/// \param version Version in force, for a conflict.
[[nodiscard]] AdminResponse publishReply(const Error&, std::string_view id, std::uint64_t version);

/// \brief What the handlers read and call; everything must outlive the admin server.
struct AdminContext {
    ConfigurationService& configuration;
    const SchedulingState& scheduling;
    std::function<SchedulingView()> view;
    const Metrics& metrics;
    const Clock& clock;
};

/// \brief Connects the admin server's routes to the parts of a daemon.
[[nodiscard]] AdminHandlers makeAdminHandlers(const AdminContext&);

/// \returns The operator token from the file or environment variable of the settings, without white space at its end;
/// empty if the settings name none; SettingsInvalid if the source cannot be read or is empty.
[[nodiscard]] Result<std::string> readOperatorToken(const DaemonSettings::Admin&);

}
