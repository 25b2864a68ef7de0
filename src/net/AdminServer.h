#pragma once

#include "base/Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace jasminestack {

/// \brief A response of the admin server.
struct AdminResponse {
    int status { 200 };
    std::string body;
    std::string contentType { "application/json" };
};

using AdminResponseCallback = std::function<void(AdminResponse)>;

/// \brief An operator's request to publish a configuration change.
struct PublishRequest {
    std::uint64_t baseVersion { 0 }; ///< Configuration version that the change was made against.
    std::string changeId; ///< UUID of the change record.
    std::string author;
    std::string patch; ///< JSON text of an RFC 7396 merge patch.
};

/// \brief Handlers of the admin server's routes. Each runs on the event loop's thread.
struct AdminHandlers {
    std::function<std::string()> metrics; ///< Prometheus text format.
    std::function<std::string()> notReadyReason; ///< Empty if the daemon is ready.
    std::function<std::string()> status; ///< JSON text.
    std::function<std::string()> configuration; ///< JSON text.
    std::function<std::string(std::string_view id)> history; ///< JSON text; with all changes if \p id is empty.
    std::function<std::string()> endpoints; ///< JSON text.
    std::function<Result<void>(std::string_view level)> setLogLevel;
    /// Publishes the change and calls the callback exactly once, before or after the handler returns.
    std::function<void(PublishRequest, AdminResponseCallback)> publish;
};

/// \brief Address and operator token of the admin server.
struct AdminServerOptions {
    std::string address; ///< "IP:PORT"; with port 0 the system chooses a free port.
    std::string operatorToken; ///< If empty, changes are rejected.
};

/// \brief HTTP server for metrics, health checks and operators' commands.
///
/// \code
/// auto server = AdminServer::listen(base, { .address = "127.0.0.1:8081", .operatorToken = token }, handlers);
/// \endcode
class AdminServer {
public:
    /// \returns SettingsInvalid if the address cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<AdminServer>> listen(event_base&, AdminServerOptions, AdminHandlers);
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// \returns The bound address "IP:PORT".
    [[nodiscard]] const std::string& address() const noexcept;

private:
    struct State;
    explicit AdminServer(std::unique_ptr<State>);
    std::unique_ptr<State> m_state;
};

/// \returns A response with the error body of responses to callers, but without the field \c run_status.
[[nodiscard]] AdminResponse adminErrorResponse(ErrorKind, std::string_view message);

}
