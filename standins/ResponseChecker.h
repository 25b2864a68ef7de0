#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminestack::standins {

/// \brief Checks incrementally that a model response contains the caller's marker in each token, in order.
class ResponseChecker {
public:
    /// \brief Prepares for the response to a request for \p tokens tokens.
    void reset(std::string marker, std::uint64_t tokens, bool streaming);

    /// \brief Checks the next part of a successful streaming response.
    /// \returns The number of tokens that this part completed.
    std::uint64_t addData(std::string_view data);

    /// \returns Whether a token of another request, a token out of order or data after the end was received.
    [[nodiscard]] bool isWrong() const noexcept { return m_isWrong; }
    /// \returns Whether all tokens, the usage and the end marker were received.
    [[nodiscard]] bool isComplete() const noexcept
    {
        return m_nextToken == m_expectedTokens && m_hasUsage && m_hasEndMarker;
    }
    /// \returns The data of the stream's error event, or an empty string.
    [[nodiscard]] const std::string& streamError() const noexcept { return m_error; }

    /// \brief Checks the body of a response that is not streamed.
    void checkBody(const std::string& body);

private:
    void handleEvent(std::string_view event);

    std::string m_marker;
    std::uint64_t m_expectedTokens { 0 };
    std::uint64_t m_nextToken { 0 };
    bool m_hasUsage { false };
    bool m_hasEndMarker { false };
    bool m_isWrong { false };
    std::string m_error;
    std::string m_unparsed;
};

}
