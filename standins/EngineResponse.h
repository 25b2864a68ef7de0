#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminestack::standins {

/// \brief What a model answer contains.
struct EngineResponse {
    std::string_view id; ///< Request id.
    std::string_view marker; ///< The caller's marker; each token repeats it with its index.
    unsigned promptTokens { 0 };
    std::uint64_t first { 0 }; ///< First token of this part of a resumed stream.
    std::uint64_t tokens { 0 };
    int tokenBytes { 0 }; ///< Padding of each token.
};

/// \returns The server-sent event of one token.
[[nodiscard]] std::string tokenEvent(const EngineResponse&, std::uint64_t index);

/// \returns The event with the usage and the end marker.
[[nodiscard]] std::string finalEvents(const EngineResponse&);

/// \returns The JSON body of an answer that is not streamed.
[[nodiscard]] std::string wholeAnswer(const EngineResponse&);

}
