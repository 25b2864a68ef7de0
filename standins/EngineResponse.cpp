#include "EngineResponse.h"

#include <nlohmann/json.hpp>

namespace jasminestack::standins {

using nlohmann::json;

namespace {

    std::string tokenText(const EngineResponse& content, std::uint64_t index)
    {
        std::string text(content.marker);
        text += ":" + std::to_string(index) + " ";
        text.append(static_cast<std::size_t>(content.tokenBytes), '.');
        return text;
    }

    json usageOf(const EngineResponse& content)
    {
        return { { "prompt_tokens", content.promptTokens }, { "completion_tokens", content.tokens },
            { "total_tokens", content.promptTokens + content.tokens } };
    }

}

std::string tokenEvent(const EngineResponse& content, std::uint64_t index)
{
    std::string event = "id: " + std::to_string(index) + "\ndata: {\"id\":";
    event += json(content.id).dump();
    event += R"(,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":)";
    event += json(tokenText(content, index)).dump();
    event += "}}]}\n\n";
    return event;
}

std::string finalEvents(const EngineResponse& content)
{
    json usage = { { "id", content.id }, { "choices", json::array() }, { "usage", usageOf(content) } };
    return "id: " + std::to_string(content.tokens) + "\ndata: " + usage.dump() + "\n\ndata: [DONE]\n\n";
}

std::string wholeAnswer(const EngineResponse& content)
{
    std::string text;
    for (std::uint64_t i = content.first; i < content.tokens; ++i)
        text += tokenText(content, i);
    json message = { { "role", "assistant" }, { "content", std::move(text) } };
    json choice = { { "index", 0 }, { "message", std::move(message) }, { "finish_reason", "stop" } };
    return json({ { "id", content.id }, { "object", "chat.completion" },
                    { "choices", json::array({ std::move(choice) }) }, { "usage", usageOf(content) } })
        .dump();
}

}
