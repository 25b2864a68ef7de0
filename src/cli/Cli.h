#pragma once

namespace jasminestack {

/// \brief Runs the command line.
/// \returns The process's exit code: 0 success, 1 failure, 2 usage, 3 invalid input, 4 conflict, 5 unreachable,
/// 6 outcome unknown.
[[nodiscard]] int runCommandLine(int argumentCount, char** arguments);

}
