#pragma once

#include "config/RouterSettings.h"
#include "config/SettingsFile.h"
#include "router/DeploymentSource.h"
#include "router/RequestProtocol.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace jasminestack {

class HttpClient;

/// \brief Parts of a router that depend on the deployment.
struct DeploymentAdapter {
    /// Creates the source that follows the deployment's store.
    std::function<std::unique_ptr<DeploymentSource>(event_base&, HttpClient&, const Clock&, const RouterSettings&)>
        source;
    std::unique_ptr<RequestProtocol> protocol;
};

/// \brief A router process: serves callers, sends their requests to endpoints, follows the deployment's store and
/// synchronises its state with peers.
class RouterDaemon {
public:
    RouterDaemon(const RouterSettings&, DeploymentAdapter);
    ~RouterDaemon();
    RouterDaemon(const RouterDaemon&) = delete;
    RouterDaemon& operator=(const RouterDaemon&) = delete;

    /// \brief Binds all addresses and starts to follow the store. If an address is taken, run() retries, and the router
    /// serves once all but the one for metrics are bound.
    /// \returns The error of the first address that cannot be bound for another reason.
    [[nodiscard]] Result<void> start();

    /// \brief Runs the event loop until the shutdown is complete.
    /// \returns The exit code: 0, or 1 if an address stayed taken for too long.
    int run();

    /// \brief Installs handlers for SIGTERM and SIGINT (graceful shutdown) and SIGHUP (reload of the settings). From
    /// now on the settings are also reloaded when the file changes. Call it before start(), so that signals during the
    /// start are handled when run() is called.
    /// \param settingsFile As read for the settings that the router was created with; without a path, settings are not
    /// reloaded.
    void watchSignals(SettingsFile settingsFile);

    /// \brief Begins a graceful shutdown.
    void stop();

    /// \returns The port for callers.
    [[nodiscard]] std::uint16_t callerPort() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// \brief Runs a router until it is stopped; logging has been started.
/// \returns The process's exit code.
[[nodiscard]] int runRouter(const RouterSettings&, DeploymentAdapter, SettingsFile);

}
