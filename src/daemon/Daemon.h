#pragma once

#include "base/Result.h"
#include "config/Configuration.h"
#include "config/DaemonSettings.h"
#include "config/SettingsFile.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminestack {

/// \brief One router process: the event loop, the network servers and clients, and the controllers' state.
class Daemon {
public:
    /// \param configuration Source of the configuration in force; if empty, the daemon applies the records of the
    /// configuration log.
    explicit Daemon(const DaemonSettings&, std::function<const Configuration&()> configuration = {});
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// \brief Binds the configured addresses and starts the services. If an address is taken, run() retries.
    /// \returns An error if that fails: SettingsInvalid if an address cannot be bound for another reason.
    [[nodiscard]] Result<void> start();

    /// \brief Runs the event loop until the graceful shutdown has ended.
    /// \returns The exit code: 0, or 1 if a second stop() ended the loop before the graceful shutdown was complete, or
    /// if an address stayed taken for too long.
    [[nodiscard]] int run();

    /// \brief Installs handlers for SIGTERM and SIGINT, which call stop(), and for SIGHUP, which reads the log level
    /// and the times of the shutdown from the settings again. Call it before start(), so that signals during the start
    /// are handled when run() is called. From now on the settings are also reloaded when the file changes.
    /// \param settingsFile As read for the settings that the daemon was created with; without a path, settings are not
    /// reloaded.
    void watchSignals(SettingsFile settingsFile = {});

    /// \brief Begins the graceful shutdown; a second call ends the loop at once. Call it only on the loop's thread.
    void stop();

    /// \returns Whether all addresses are bound.
    [[nodiscard]] bool isServing() const noexcept;

    /// \returns The port on which the daemon accepts callers' connections.
    [[nodiscard]] std::uint16_t callerPort() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// \brief Runs a daemon until SIGTERM or SIGINT; logging has been started.
/// \param settingsFile For reloads.
/// \returns The process's exit code, as returned by Daemon::run(); 1 if the daemon cannot start.
[[nodiscard]] int runDaemon(const DaemonSettings&, SettingsFile settingsFile);

}
