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
/// \brief Handlers of the admin server and their JSON documents. Operators' tools read the field names, so they are
/// part of the public interface.

namespace jasminestack {

class ConfigurationService;
class Metrics;

/// \returns `{"version","throughOffset","preset","document"}`.
[[nodiscard]] std::string configurationJson(const ConfigurationReplica&);

/// \param id Selects the changes with this id; if empty, all changes in the history are included.
/// \returns `{"version","throughOffset","from","changes":[...]}`, with the changes ordered from oldest to newest.
[[nodiscard]] std::string historyJson(const ConfigurationReplica&, std::string_view id);

/// \returns `{"endpoints":[...]}`.
[[nodiscard]] std::string endpointsJson(const EndpointTable&, const Configuration&, Millis now);

/// \brief Input of statusJson().
struct StatusContext {
    const ConfigurationReplica& replica;
    const SchedulingState& scheduling;
    const SchedulingContext& view;
    std::string_view notReadyReason; ///< Empty when ready.
    Millis now;
};

/// \returns `{"daemon","state","notReadyReason","configuration","daemons","pools","workspaces","cells"}`. Queues, slots
/// and service are those of this daemon. The gap of a pool is the difference between the highest and the lowest
/// normalised service of its workspaces that have requests queued at this daemon; null if there are none.
[[nodiscard]] std::string statusJson(const StatusContext&);

/// \returns The response to a publication whose change record has been applied.
[[nodiscard]] AdminResponse publishReply(const ChangeResult&);

/// \returns The response to a publication that was refused or whose outcome is unknown.
/// \param id Id of the change.
/// \param version Version in force; included only for ErrorKind::ConfigurationConflict.
[[nodiscard]] AdminResponse publishReply(const Error&, std::string_view id, std::uint64_t version);

/// \brief Dependencies of the handlers; all referenced objects must outlive the admin server.
struct AdminContext {
    ConfigurationService& configuration;
    const SchedulingState& scheduling;
    std::function<SchedulingContext()> view;
    const Metrics& metrics;
    const Clock& clock;
};

/// \brief Creates the handlers that serve the admin server's routes from the daemon's components.
[[nodiscard]] AdminHandlers makeAdminHandlers(const AdminContext&);

/// \returns The operator token from the file or environment variable that the settings name, without trailing white
/// space; an empty string if the settings name neither; SettingsInvalid if the file or variable cannot be read or is
/// empty.
[[nodiscard]] Result<std::string> readOperatorToken(const DaemonSettings::Admin&);

}
