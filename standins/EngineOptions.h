#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jasminestack::standins {

/// \brief Options of a model engine stand-in; all can be changed while it runs.
struct EngineOptions {
    std::string name;
    unsigned slots { 8 };
    double prefillMsPerToken { 0.05 };
    double decodeMsPerToken { 10 }; ///< 0 generates as fast as the processor allows.
    double warmPrefillFactor { 0.2 }; ///< Multiplies the prefill time if the prompt's prefix is cached.
    unsigned prefixEntries { 64 }; ///< Capacity of the prefix cache.
    double loadLagMs { 500 }; ///< Age of the load that `GET /load` reports.
    bool checkFencing { true }; ///< Refuses orders with an old fencing number.
    bool leaving { false }; ///< Refuses all completion requests as not run.
    std::string crashMarker; ///< Requests that contain this text crash the engine; empty: none.
    double crashDownMs { 2'000 }; ///< How long the engine refuses connections after a crash.
    std::vector<std::string> models { "demo-model" };
    int tokenBytes { 0 }; ///< Padding bytes of each token.
};

/// \brief Sets the options that the JSON object \p change contains; the others keep their values.
void applyChange(EngineOptions& options, const nlohmann::json& change);

/// \returns The prompt of a completion request followed by the contents of its messages.
[[nodiscard]] std::string promptText(const nlohmann::json& body);

}
