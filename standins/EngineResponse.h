#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminestack::standins {

/// \brief Content of a model engine's response.
struct EngineResponse {
    std::string_view id; ///< X-Request-Id of the request.
    std::string_view marker; ///< The caller's marker; each token contains it and the token's index.
    unsigned promptTokens { 0 };
    std::uint64_t firstToken { 0 }; ///< Index of the first token; above 0 for a resumed stream.
    std::uint64_t tokenCount { 0 }; ///< Tokens of the whole response, including those before firstToken.
    int tokenBytes { 0 }; ///< Padding bytes of each token.
};

/// \returns The server-sent event of one token.
[[nodiscard]] std::string tokenEvent(const EngineResponse&, std::uint64_t index);

/// \returns The event with the token usage and the end marker `[DONE]`.
[[nodiscard]] std::string finalEvents(const EngineResponse&);

/// \returns The JSON body of a response that is not streamed.
[[nodiscard]] std::string completeResponse(const EngineResponse&);

}
