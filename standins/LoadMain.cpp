#include "LoadGenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, scenario, "", "JSON file with the scenario");
ABSL_FLAG(std::string, result, "", "file for the JSON result; standard output if empty");

int main(int argc, char** argv)
{
    using namespace jasminestack::standins;
    absl::SetProgramUsageMessage("Sends the requests of a scenario: --scenario FILE --result FILE");
    absl::ParseCommandLine(argc, argv);
    std::ifstream file(absl::GetFlag(FLAGS_scenario));
    auto scenario = parseScenario(nlohmann::json::parse(file, nullptr, false, true));
    if (!scenario) {
        std::cerr << absl::GetFlag(FLAGS_scenario) << ": " << scenario.error().message << "\n";
        return 3;
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_config* options = event_config_new();
    event_config_set_flag(options, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* base = event_base_new_with_config(options);
    event_config_free(options);
    {
        LoadGenerator generator(*base, std::move(scenario.value()));
        nlohmann::json result = generator.run().toJson();
        std::string text = result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        if (std::string path = absl::GetFlag(FLAGS_result); !path.empty())
            std::ofstream(path) << text << "\n";
        else
            std::cout << text << "\n";
    }
    event_base_free(base);
    return 0;
}
