#pragma once

#include <csignal>

/// \file
/// \brief How the executable, which is linked against the C library alone, calls the program in its shared library.

namespace jasminestack {

/// \brief Runs the command line.
/// \param originalMask The signal mask before the lifecycle signals were blocked.
/// \returns The process's exit code.
using ProgramEntry = int(int argumentCount, char** arguments, const sigset_t* originalMask);

/// \brief The name under which the shared library exports its ProgramEntry.
constexpr const char* programEntryName = "jasminestackMain";

}
