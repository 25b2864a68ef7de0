#include "StandinFleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <memory>

ABSL_FLAG(std::string, config, "", "JSON file that describes the stand-ins");

namespace {

using jasminestack::standins::StandinFleet;

struct LoopDeleter {
    void operator()(event_base* base) const noexcept { event_base_free(base); }
};

std::unique_ptr<event_base, LoopDeleter> makeLoop()
{
    event_config* options = event_config_new();
    event_config_set_flag(options, EVENT_BASE_FLAG_PRECISE_TIMER);
    std::unique_ptr<event_base, LoopDeleter> base(event_base_new_with_config(options));
    event_config_free(options);
    return base;
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs stand-ins for the platform's services and endpoints: --config FILE");
    absl::ParseCommandLine(argc, argv);
    std::ifstream file(absl::GetFlag(FLAGS_config));
    if (!file) {
        std::cerr << "cannot read '" << absl::GetFlag(FLAGS_config) << "'\n";
        return 2;
    }
    auto description = nlohmann::json::parse(file, nullptr, false, true);
    if (!description.is_object()) {
        std::cerr << absl::GetFlag(FLAGS_config) << " is not a JSON object\n";
        return 3;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto base = makeLoop();
    StandinFleet fleet(*base, description);
    if (auto state = fleet.check(); !state) {
        std::cerr << state.error().message << "\n";
        return 1;
    }
    auto stopLoop = [](evutil_socket_t, short, void* loop) { event_base_loopbreak(static_cast<event_base*>(loop)); };
    event* onTerm = evsignal_new(base.get(), SIGTERM, stopLoop, base.get());
    event* onInterrupt = evsignal_new(base.get(), SIGINT, stopLoop, base.get());
    evsignal_add(onTerm, nullptr);
    evsignal_add(onInterrupt, nullptr);
    std::cout << "event=standins_ready\n" << std::flush;
    event_base_dispatch(base.get());
    event_free(onTerm);
    event_free(onInterrupt);
    return 0;
}
