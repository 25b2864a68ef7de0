#include "base/LifecycleSignals.h"
#include "cli/Cli.h"
#include "cli/Launcher.h"

extern "C" int jasminestackMain(int argumentCount, char** arguments, const sigset_t* originalMask)
{
    jasminestack::setOriginalSignalMask(*originalMask);
    return jasminestack::runCommandLine(argumentCount, arguments);
}
