#include "base/LifecycleSignals.h"

#include <optional>

namespace jasminestack {

namespace {

    std::optional<sigset_t> originalMask;

    void ignoreSignal(int) { }

}

void setOriginalSignalMask(const sigset_t& mask) noexcept { originalMask = mask; }

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
