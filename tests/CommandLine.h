#pragma once

#include "cli/Cli.h"

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace jasminestack {

struct CommandResult {
    int exitCode { 0 };
    std::string output;
    std::string errorOutput;
};

/// \brief Runs the command line in this process.
inline CommandResult runCommand(std::vector<std::string> words)
{
    words.insert(words.begin(), "jasminestack");
    std::vector<char*> arguments;
    arguments.reserve(words.size());
    for (std::string& word : words)
        arguments.push_back(word.data());
    std::ostringstream output;
    std::ostringstream errors;
    auto* const outputBuffer = std::cout.rdbuf(output.rdbuf());
    auto* const errorBuffer = std::cerr.rdbuf(errors.rdbuf());
    CommandResult result { .exitCode = runCommandLine(static_cast<int>(arguments.size()), arguments.data()) };
    std::cout.rdbuf(outputBuffer);
    std::cerr.rdbuf(errorBuffer);
    result.output = output.str();
    result.errorOutput = errors.str();
    return result;
}

}
