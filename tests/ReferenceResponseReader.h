#pragma once

#include <optional>
#include <regex>
#include <string>
#include <string_view>

/// \file
/// \brief A second reader of HTTP responses, which shares no code with HttpResponseParser: it matches whole texts with
/// the rules of RFC 9112 and RFC 9110, written as regular expressions.

namespace jasminestack::test {

/// \brief What a reader found in the bytes of one connection up to its end.
struct ReadResponse {
    int status { 0 };
    std::string fields; ///< Each as "NAME=VALUE;", in their order.
    std::string body;

    friend bool operator==(const ReadResponse&, const ReadResponse&) = default;
};

namespace reference {

    inline const std::string fieldText = R"([\t\x20-\x7e\x80-\xff]*)";
    inline const std::string token = R"([!#$%&'*+\-.^_`|~0-9A-Za-z]+)";

    inline bool matches(const std::string& text, const std::string& expression, std::smatch& match)
    {
        return std::regex_match(text, match, std::regex(expression));
    }

    inline std::string lower(std::string text)
    {
        for (char& c : text)
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        return text;
    }

    /// \brief Takes the text up to the next CRLF from \p rest.
    inline std::optional<std::string> takeLine(std::string& rest)
    {
        std::size_t end = rest.find("\r\n");
        if (end == std::string::npos)
            return std::nullopt;
        std::string line = rest.substr(0, end);
        rest.erase(0, end + 2);
        return line;
    }

    /// \returns The body, or nothing if it is not complete or not well-formed.
    inline std::optional<std::string> readChunks(std::string rest)
    {
        std::string body;
        std::smatch match;
        while (true) {
            auto line = takeLine(rest);
            if (!line || !matches(*line, "([0-9A-Fa-f]{1,15})([ \\t;]" + fieldText + ")?", match))
                return std::nullopt;
            std::uint64_t length = std::stoull(match[1].str(), nullptr, 16);
            if (length == 0)
                break;
            if (rest.size() < length + 2 || rest.substr(length, 2) != "\r\n")
                return std::nullopt;
            body += rest.substr(0, length);
            rest.erase(0, length + 2);
        }
        while (auto line = takeLine(rest)) {
            if (line->empty())
                return body;
            if (!matches(*line, token + ":" + fieldText, match))
                return std::nullopt;
        }
        return std::nullopt;
    }

}

/// \brief Reads the first final response of a connection that carried \p text and was then closed in order.
/// \returns Nothing if the response is not complete or not well-formed.
inline std::optional<ReadResponse> readByReference(std::string text)
{
    using namespace reference;
    while (true) {
        std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos)
            return std::nullopt;
        std::string head = text.substr(0, end + 2);
        text.erase(0, end + 4);
        std::smatch match;
        auto line = takeLine(head);
        if (!matches(*line, "HTTP/1\\.[0-9] ([1-5][0-9][0-9]) " + fieldText, match))
            return std::nullopt;
        ReadResponse response { .status = std::stoi(match[1].str()) };
        std::optional<std::uint64_t> length;
        int codings = 0;
        bool isChunked = false;
        while ((line = takeLine(head))) {
            if (!matches(*line, "(" + token + "):[ \\t]*(" + fieldText + ")", match))
                return std::nullopt;
            std::string name = match[1].str();
            std::string value = std::regex_replace(match[2].str(), std::regex("[ \\t]+$"), "");
            response.fields += name + "=" + value + ";";
            if (lower(name) == "content-length") {
                std::smatch digits;
                if (!matches(value, "0*[0-9]{1,18}", digits) || (length && *length != std::stoull(value)))
                    return std::nullopt;
                length = std::stoull(value);
            } else if (lower(name) == "transfer-encoding") {
                ++codings;
                isChunked = lower(value) == "chunked";
            }
        }
        if (response.status == 101)
            return std::nullopt;
        if (response.status < 200)
            continue;
        if (response.status == 204 || response.status == 304)
            return response;
        std::optional<std::string> body = text;
        if (codings != 0)
            body = codings == 1 && isChunked ? readChunks(text) : std::nullopt;
        else if (length)
            body = text.size() >= *length ? std::optional(text.substr(0, *length)) : std::nullopt;
        if (!body)
            return std::nullopt;
        response.body = *body;
        return response;
    }
}

}
