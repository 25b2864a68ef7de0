#include "base/LifecycleSignals.h"

#include <csignal>
#include <optional>

namespace jasminestack {

namespace {

    constexpr int lifecycleSignals[] { SIGHUP, SIGINT, SIGTERM };

    std::optional<sigset_t> originalMask;

    sigset_t lifecycleSignalSet() noexcept
    {
        sigset_t set;
        sigemptyset(&set);
        for (int signalNumber : lifecycleSignals)
            sigaddset(&set, signalNumber);
        return set;
    }

    void ignoreSignal(int) { }

}

void blockLifecycleSignals() noexcept
{
    sigset_t blocked = lifecycleSignalSet();
    sigset_t previous;
    if (sigprocmask(SIG_BLOCK, &blocked, &previous) == 0 && !originalMask)
        originalMask = previous;
}

void restoreSignalMask() noexcept
{
    if (originalMask)
        sigprocmask(SIG_SETMASK, &*originalMask, nullptr);
}

void replaceDefaultSignalActions() noexcept
{
    struct sigaction action { };
    action.sa_handler = ignoreSignal;
    action.sa_flags = SA_RESTART;
    for (int signalNumber : lifecycleSignals)
        sigaction(signalNumber, &action, nullptr);
}

bool isStopSignalPending() noexcept
{
    sigset_t pending;
    return sigpending(&pending) == 0 && (sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1);
}

void unblockLifecycleSignals() noexcept
{
    sigset_t unblocked = lifecycleSignalSet();
    sigprocmask(SIG_UNBLOCK, &unblocked, nullptr);
}

}
