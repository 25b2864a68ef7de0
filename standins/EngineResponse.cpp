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

    json usageObject(const EngineResponse& content)
    {
        return { { "prompt_tokens", content.promptTokens }, { "completion_tokens", content.tokenCount },
            { "total_tokens", content.promptTokens + content.tokenCount } };
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
    json usage = { { "id", content.id }, { "choices", json::array() }, { "usage", usageObject(content) } };
    return "id: " + std::to_string(content.tokenCount) + "\ndata: " + usage.dump() + "\n\ndata: [DONE]\n\n";
}

std::string completeResponse(const EngineResponse& content)
{
    std::string text;
    for (std::uint64_t i = content.firstToken; i < content.tokenCount; ++i)
        text += tokenText(content, i);
    json message = { { "role", "assistant" }, { "content", std::move(text) } };
    json choice = { { "index", 0 }, { "message", std::move(message) }, { "finish_reason", "stop" } };
    return json({ { "id", content.id }, { "object", "chat.completion" },
                    { "choices", json::array({ std::move(choice) }) }, { "usage", usageObject(content) } })
        .dump();
}

}
