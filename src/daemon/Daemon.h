#pragma once

#include "base/Result.h"
#include "config/Configuration.h"
#include "config/DaemonSettings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace jasminestack {

/// \brief One router process: the event loop, the edges and the controllers' state.
class Daemon {
public:
    /// \param configuration Source of the configuration in force; if empty, the daemon follows the log.
    explicit Daemon(const DaemonSettings&, std::function<const Configuration&()> configuration = {});
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// \brief Binds the addresses.
    /// \returns SettingsInvalid if one cannot be bound.
    [[nodiscard]] Result<void> start();

    /// \brief Runs until the graceful shutdown has ended.
    /// \returns The exit code: 0, or 1 if a second signal ended it at once.
    [[nodiscard]] int run();

    /// \brief Calls stop() on SIGTERM and SIGINT.
    void watchSignals();

    /// \brief Begins the graceful shutdown; a second call ends the loop at once. Only on the loop's thread.
    void stop();

    /// \returns The port that callers connect to.
    [[nodiscard]] std::uint16_t callerPort() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// \brief Runs a daemon until SIGTERM or SIGINT.
/// \returns The process's exit code.
[[nodiscard]] int runDaemon(const DaemonSettings&);

}
