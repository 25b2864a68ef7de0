#include "cli/Commands.h"
#include "cli/Flags.h"
#include "config/DocumentCheck.h"
#include "config/SettingsFile.h"

#include <absl/flags/flag.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace jasminestack {

int runCheck(const std::vector<std::string>& arguments)
{
    const std::string& file = arguments.front();
    const auto text = readFile(file);
    if (!text) {
        std::cerr << "jasminestack: cannot read " << file << "\n";
        return exit_code::failure;
    }
    JsonProblems problems;
    const std::string_view kind = toString(checkDocument(*text, problems));
    if (absl::GetFlag(FLAGS_json)) {
        nlohmann::json list = nlohmann::json::array();
        for (const JsonProblem& problem : problems)
            list.push_back({ { "line", problem.line }, { "column", problem.column }, { "path", problem.path },
                { "message", problem.message } });
        std::cout << nlohmann::json { { "file", file }, { "kind", kind }, { "errors", std::move(list) } }.dump(2)
                  << "\n";
    } else if (problems.empty()) {
        std::cout << file << ": valid " << kind << "\n";
    } else {
        std::cout << formatProblems(problems, file) << "\n";
    }
    return problems.empty() ? exit_code::success : exit_code::invalidInput;
}

}
