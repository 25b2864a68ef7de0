#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jasminestack::standins {

/// \brief Options of a model engine stand-in; all can change while it runs.
struct EngineOptions {
    std::string name;
    unsigned slots { 8 };
    double prefillMsPerToken { 0.05 };
    double decodeMsPerToken { 10 }; ///< 0 generates as fast as the processor allows.
    double warmPrefillFactor { 0.2 };
    unsigned prefixEntries { 64 };
    double loadLagMs { 500 };
    bool checkFencing { true };
    bool leaving { false };
    std::string crashMarker;
    double crashDownMs { 2'000 };
    std::vector<std::string> models { "demo-model" };
    int tokenBytes { 0 }; ///< Padding of each token.
};

/// \brief Sets the options that \p change names.
void apply(EngineOptions& options, const nlohmann::json& change);

/// \returns The text of all messages, or of the prompt, of a completion request.
[[nodiscard]] std::string promptOf(const nlohmann::json& body);

}
