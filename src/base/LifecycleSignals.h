#pragma once

namespace jasminestack {

/// \file
/// \brief The signals that stop a service or make it reload its settings: SIGHUP, SIGINT and SIGTERM.
///
/// Their default action ends the process. A service therefore blocks them from the start of main() until its handlers
/// are registered, and keeps a handler until the process has ended.

/// \brief Blocks the lifecycle signals; those that arrive stay pending. main() calls it first.
void blockLifecycleSignals() noexcept;

/// \brief Restores the signal mask that the first call of blockLifecycleSignals() found; without one, does nothing.
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
