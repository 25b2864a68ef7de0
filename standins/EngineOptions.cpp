#include "EngineOptions.h"

#include <nlohmann/json.hpp>

namespace jasminestack::standins {

using nlohmann::json;

void applyChange(EngineOptions& options, const json& change)
{
    options.name = change.value("name", options.name);
    options.slots = change.value("slots", options.slots);
    options.prefillMsPerToken = change.value("prefillMsPerToken", options.prefillMsPerToken);
    options.decodeMsPerToken = change.value("decodeMsPerToken", options.decodeMsPerToken);
    options.warmPrefillFactor = change.value("warmPrefillFactor", options.warmPrefillFactor);
    options.prefixEntries = change.value("prefixEntries", options.prefixEntries);
    options.loadLagMs = change.value("loadLagMs", options.loadLagMs);
    options.checkFencing = change.value("checkFencing", options.checkFencing);
    options.leaving = change.value("leaving", options.leaving);
    options.crashMarker = change.value("crashMarker", options.crashMarker);
    options.crashDownMs = change.value("crashDownMs", options.crashDownMs);
    options.models = change.value("models", options.models);
    options.tokenBytes = change.value("tokenBytes", options.tokenBytes);
    if (change.value("fast", false)) {
        options.prefillMsPerToken = 0;
        options.decodeMsPerToken = 0;
    }
}

std::string promptText(const json& body)
{
    std::string text;
    if (auto prompt = body.find("prompt"); prompt != body.end() && prompt->is_string())
        text = prompt->get<std::string>();
    if (auto messages = body.find("messages"); messages != body.end() && messages->is_array()) {
        for (const json& message : *messages) {
            if (auto content = message.find("content"); content != message.end() && content->is_string())
                text += content->get<std::string>();
        }
    }
    return text;
}

}
