#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminestack::standins {

/// \brief Checks a model answer against the caller's marker, token by token.
class ResponseChecker {
public:
    /// \brief Prepares for the answer to a request for \p tokens tokens.
    void reset(std::string marker, std::uint64_t tokens, bool streaming);

    /// \brief Takes a part of a successful answer.
    /// \returns The number of tokens that it completed.
    std::uint64_t feed(std::string_view data);

    /// \returns Whether a token did not belong to the request or came out of order.
    [[nodiscard]] bool wrong() const noexcept { return m_wrong; }
    /// \returns Whether all tokens, the usage and the end marker have come.
    [[nodiscard]] bool whole() const noexcept { return m_next == m_tokens && m_usage && m_done; }
    /// \returns The data of the stream's error event, or an empty string.
    [[nodiscard]] const std::string& streamError() const noexcept { return m_error; }

    /// \brief Checks a whole (not streaming) answer.
    void checkWhole(const std::string& body);

private:
    void handleEvent(std::string_view event);

    std::string m_marker;
    std::uint64_t m_tokens { 0 };
    std::uint64_t m_next { 0 };
    bool m_usage { false };
    bool m_done { false };
    bool m_wrong { false };
    std::string m_error;
    std::string m_pending;
};

}
