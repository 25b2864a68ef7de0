#pragma once

#include <csignal>

namespace jasminestack {

/// \file
/// \brief The signals that stop a service or make it reload its settings: SIGHUP, SIGINT and SIGTERM.
///
/// Their default action ends the process. A service therefore blocks them from the start of main() until its handlers
/// are registered, and keeps a handler until the process has ended.

/// \brief The lifecycle signals.
constexpr int lifecycleSignals[] { SIGHUP, SIGINT, SIGTERM };

/// \returns The set of the lifecycle signals.
[[nodiscard]] inline sigset_t lifecycleSignalSet() noexcept
{
    sigset_t set;
    sigemptyset(&set);
    for (int signalNumber : lifecycleSignals)
        sigaddset(&set, signalNumber);
    return set;
}

/// \brief Blocks the lifecycle signals; those that arrive stay pending. Uses the C library only, since it runs before
/// the program's libraries are loaded.
/// \param originalMask Receives the signal mask before the call.
inline void blockLifecycleSignals(sigset_t& originalMask) noexcept
{
    sigset_t blocked = lifecycleSignalSet();
    sigprocmask(SIG_BLOCK, &blocked, &originalMask);
}

/// \brief Sets the mask that restoreSignalMask() restores.
void setOriginalSignalMask(const sigset_t&) noexcept;

/// \brief Restores the signal mask from before the lifecycle signals were blocked; if none was set, does nothing.
/// Commands that run no service call it, so that they can be interrupted.
void restoreSignalMask() noexcept;

/// \brief Replaces the default action of the lifecycle signals by a handler that does nothing. libevent restores it
/// when a signal event is removed, so signals that arrive while a service is torn down have no effect. Unlike SIG_IGN,
/// it does not discard pending signals.
void replaceDefaultSignalActions() noexcept;

/// \returns Whether SIGTERM or SIGINT has arrived while blocked.
[[nodiscard]] bool isStopSignalPending() noexcept;

/// \brief Unblocks the lifecycle signals; pending ones are delivered to the handlers registered by now.
void unblockLifecycleSignals() noexcept;

}
