#pragma once

#include "config/RouterSettings.h"
#include "router/DeploymentSource.h"
#include "router/RequestProtocol.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace jasminestack {

class HttpClient;

/// \brief What a deployment's adapter provides.
struct DeploymentAdapter {
    std::function<std::unique_ptr<DeploymentSource>(event_base&, HttpClient&, const Clock&, const RouterSettings&)>
        source;
    std::unique_ptr<RequestProtocol> protocol;
};

/// \brief One router process: callers on one side, endpoints on the other, store and peers beside it.
class RouterDaemon {
public:
    RouterDaemon(const RouterSettings&, DeploymentAdapter);
    ~RouterDaemon();
    RouterDaemon(const RouterDaemon&) = delete;
    RouterDaemon& operator=(const RouterDaemon&) = delete;

    /// \brief Binds all addresses.
    [[nodiscard]] Result<void> start();

    /// \brief Serves until it has stopped.
    void run();

    /// \brief Handles SIGTERM and SIGINT (stop), and SIGHUP (reads \p settingsPath again).
    void watchSignals(std::string settingsPath);

    /// \brief Begins an orderly shutdown.
    void stop();

    /// \returns The port for callers.
    [[nodiscard]] std::uint16_t callerPort() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// \brief Runs a router with logging to standard output until it is stopped.
/// \returns The process's exit code.
[[nodiscard]] int runRouter(const RouterSettings&, DeploymentAdapter, std::string settingsPath);

}
