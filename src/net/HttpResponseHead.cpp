#include "net/HttpResponseHead.h"

#include <algorithm>

namespace jasminestack {

namespace {

    constexpr int minStatus = 100;
    constexpr int maxStatus = 599;

    constexpr bool isDigit(char c) noexcept { return c >= '0' && c <= '9'; }

    constexpr bool isAlpha(char c) noexcept { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

    constexpr bool isOptionalWhiteSpace(char c) noexcept { return c == ' ' || c == '\t'; }

    bool isTokenCharacter(char c) noexcept
    {
        constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
        return isDigit(c) || isAlpha(c) || symbols.find(c) != std::string_view::npos;
    }

    // Bytes from 0x80 on are obsolete text, which values and reason phrases may contain.
    bool isTextCharacter(char c) noexcept
    {
        auto byte = static_cast<unsigned char>(c);
        constexpr unsigned char del = 0x7f;
        return c == '\t' || (byte >= ' ' && byte != del);
    }

    std::string_view trimOptionalWhiteSpace(std::string_view text) noexcept
    {
        while (!text.empty() && isOptionalWhiteSpace(text.front()))
            text.remove_prefix(1);
        while (!text.empty() && isOptionalWhiteSpace(text.back()))
            text.remove_suffix(1);
        return text;
    }

    MalformedPart parseStatusLine(std::string_view line, int& status, bool& isHttp10) noexcept
    {
        constexpr std::string_view version = "HTTP/1.";
        constexpr std::size_t statusStart = version.size() + 2; // After the minor version and a space.
        constexpr std::size_t statusEnd = statusStart + 3;
        if (!line.starts_with(version) || line.size() < statusStart || !isDigit(line[version.size()])
            || line[statusStart - 1] != ' ')
            return MalformedPart::Version;
        isHttp10 = line[version.size()] == '0';
        if (line.size() <= statusEnd || line[statusEnd] != ' ')
            return MalformedPart::Status;
        status = 0;
        for (char digit : line.substr(statusStart, statusEnd - statusStart)) {
            if (!isDigit(digit))
                return MalformedPart::Status;
            status = status * 10 + (digit - '0');
        }
        if (status < minStatus || status > maxStatus)
            return MalformedPart::Status;
        std::string_view reason = line.substr(statusEnd + 1);
        return std::all_of(reason.begin(), reason.end(), isTextCharacter) ? MalformedPart::None : MalformedPart::Reason;
    }

}

std::string_view toString(MalformedPart part) noexcept
{
    switch (part) {
    case MalformedPart::None:
        return "none";
    case MalformedPart::Version:
        return "version";
    case MalformedPart::Status:
        return "status";
    case MalformedPart::Reason:
        return "reason";
    case MalformedPart::FieldName:
        return "field_name";
    case MalformedPart::FieldColon:
        return "field_colon";
    case MalformedPart::FieldValue:
        return "field_value";
    case MalformedPart::ObsoleteFold:
        return "obsolete_fold";
    case MalformedPart::ProtocolSwitch:
        return "protocol_switch";
    case MalformedPart::ContentLength:
        return "content_length";
    case MalformedPart::TransferEncoding:
        return "transfer_encoding";
    case MalformedPart::ChunkSize:
        return "chunk_size";
    case MalformedPart::ChunkExtension:
        return "chunk_extension";
    case MalformedPart::ChunkEnd:
        return "chunk_end";
    case MalformedPart::Trailer:
        return "trailer";
    case MalformedPart::TooLong:
        return "too_long";
    }
    return "none";
}

bool isToken(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text) noexcept { return std::all_of(text.begin(), text.end(), isTextCharacter); }

MalformedPart parseFieldLine(std::string_view line, std::string_view& name, std::string_view& value) noexcept
{
    if (!line.empty() && isOptionalWhiteSpace(line.front()))
        return MalformedPart::ObsoleteFold;
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return MalformedPart::FieldColon;
    name = line.substr(0, colon);
    if (!isToken(name))
        return MalformedPart::FieldName;
    value = trimOptionalWhiteSpace(line.substr(colon + 1));
    return isFieldValue(value) ? MalformedPart::None : MalformedPart::FieldValue;
}

MalformedPart parseResponseHead(std::string_view text, HttpResponseHead& head, bool& isHttp10)
{
    constexpr std::string_view lineBreak = "\r\n";
    std::size_t lineEnd = text.find(lineBreak);
    MalformedPart malformed = parseStatusLine(text.substr(0, lineEnd), head.status, isHttp10);
    while (malformed == MalformedPart::None && lineEnd != std::string_view::npos) {
        text.remove_prefix(lineEnd + lineBreak.size());
        lineEnd = text.find(lineBreak);
        std::string_view name;
        std::string_view value;
        malformed = parseFieldLine(text.substr(0, lineEnd), name, value);
        if (malformed == MalformedPart::None)
            head.headers.emplace_back(name, value);
    }
    return malformed;
}

}
