#pragma once

#include <bit>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief A second reader of event streams, which shares no code with SseBlockReader and parseSseEvent: it takes whole
/// texts and follows the steps of WHATWG HTML, 9.2.6.

namespace jasminestack::test {

/// \brief An event as the specification's parser dispatches it.
struct DispatchedEvent {
    std::string id;
    std::string type;
    std::string data;

    friend bool operator==(const DispatchedEvent&, const DispatchedEvent&) = default;
};

namespace reference {

    inline constexpr std::string_view mark = "\xef\xbb\xbf";

    /// \returns Bytes of the UTF-8 character at the start of \p bytes, or 0 if there is none.
    inline std::size_t characterBytes(std::string_view bytes)
    {
        auto lead = static_cast<unsigned char>(bytes.front());
        int ones = std::countl_one(lead);
        if (ones == 0)
            return 1;
        if (ones == 1 || ones > 4 || bytes.size() < static_cast<std::size_t>(ones))
            return 0;
        char32_t value = lead & (0xffU >> (ones + 1));
        for (char c : bytes.substr(1, ones - 1)) {
            auto byte = static_cast<unsigned char>(c);
            if (std::countl_one(byte) != 1)
                return 0;
            value = value * 64 + byte % 64;
        }
        constexpr char32_t smallest[] = { 0, 0, 0x80, 0x800, 0x10000 };
        bool isSurrogate = value >= 0xd800 && value < 0xe000;
        return value < smallest[ones] || value > 0x10ffff || isSurrogate ? 0 : ones;
    }

    /// \returns The text with U+FFFD in place of each byte that belongs to no character.
    inline std::string decode(std::string_view bytes)
    {
        std::string text;
        while (!bytes.empty()) {
            std::size_t size = characterBytes(bytes);
            text += size == 0 ? std::string_view("\xef\xbf\xbd") : bytes.substr(0, size);
            bytes.remove_prefix(size == 0 ? 1 : size);
        }
        return text;
    }

    struct Line {
        std::string_view text;
        std::size_t end; ///< Behind its line end.
    };

    /// \returns The lines that have an end.
    inline std::vector<Line> linesOf(std::string_view text)
    {
        std::vector<Line> lines;
        std::size_t start = 0;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '\r' && text[i] != '\n')
                continue;
            std::string_view line = text.substr(start, i - start);
            if (text.substr(i, 2) == "\r\n")
                ++i;
            start = i + 1;
            lines.push_back({ line, start });
        }
        return lines;
    }

    struct Field {
        std::string name;
        std::string value;
    };

    /// \returns Nothing for a comment.
    inline std::optional<Field> fieldOf(std::string_view line)
    {
        std::size_t colon = line.find(':');
        if (colon == 0)
            return std::nullopt;
        if (colon == std::string_view::npos)
            return Field { .name = std::string(line), .value = {} };
        std::string value(line.substr(colon + 1));
        if (!value.empty() && value[0] == ' ')
            value.erase(0, 1);
        return Field { .name = std::string(line.substr(0, colon)), .value = value };
    }

    inline bool isDigits(const std::string& text)
    {
        return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
    }

    /// \returns The id, or nothing unless it is a decimal number of 64 bits without leading zeros.
    inline std::optional<std::uint64_t> idOf(const std::string& text)
    {
        const std::string largest = "18446744073709551615";
        if (!isDigits(text) || (text[0] == '0' && text != "0") || text.size() > largest.size()
            || (text.size() == largest.size() && text > largest))
            return std::nullopt;
        return std::stoull(text);
    }

    struct Block {
        bool isSound { false };
        std::optional<std::uint64_t> id;
    };

    /// \param text The bytes of the block.
    inline Block readBlock(std::string_view text, const std::string& extensionField, std::size_t maxBytes)
    {
        if (text.size() - (text.ends_with("\r\n") ? 1 : 0) > maxBytes || decode(text) != text)
            return {};
        Block block { .isSound = true };
        bool hasData = false;
        // A blank line between other lines divides two events.
        std::string shape;
        for (const Line& line : linesOf(text))
            shape += line.text.empty() ? '-' : 'x';
        block.isSound
            = shape.find("x-") == std::string::npos || shape.find('x', shape.find("x-") + 1) == std::string::npos;
        for (const Line& line : linesOf(text)) {
            auto field = line.text.empty() ? std::nullopt : fieldOf(line.text);
            if (!field || field->name == "event")
                continue;
            if (field->name == "data") {
                hasData = true;
            } else if (field->name == "id" && !block.id) {
                block.id = idOf(field->value);
                block.isSound = block.isSound && block.id;
            } else {
                bool isNumeric = field->name == "retry" || field->name == extensionField;
                block.isSound = block.isSound && isNumeric && isDigits(field->value);
            }
        }
        block.isSound = block.isSound && hasData == block.id.has_value();
        return block;
    }

}

/// \returns What a parser that follows the specification dispatches from the bytes of one stream.
inline std::vector<DispatchedEvent> readEventStream(std::string_view bytes)
{
    std::string text = reference::decode(bytes);
    if (text.starts_with(reference::mark))
        text.erase(0, reference::mark.size());
    std::vector<DispatchedEvent> events;
    std::string data;
    std::string type;
    std::string lastEventId;
    for (const reference::Line& line : reference::linesOf(text)) {
        if (line.text.empty()) {
            if (!data.empty()) {
                data.pop_back();
                events.push_back({ .id = lastEventId, .type = type.empty() ? "message" : type, .data = data });
            }
            data.clear();
            type.clear();
            continue;
        }
        auto field = reference::fieldOf(line.text);
        if (!field)
            continue;
        if (field->name == "event")
            type = field->value;
        else if (field->name == "data")
            data += field->value + "\n";
        else if (field->name == "id" && field->value.find('\0') == std::string::npos)
            lastEventId = field->value;
    }
    return events;
}

/// \brief What a caller should receive of one endpoint's answer.
struct ReadAnswer {
    std::string bytes; ///< The sound blocks up to the first other one.
    std::vector<DispatchedEvent> events; ///< In these blocks.
    std::uint64_t lastId { 0 }; ///< Of the last event that the caller has then.
    bool isSound { false }; ///< All of the answer consists of sound blocks.
};

/// \param lastId Of the last event that the caller has.
/// \param isContinuation Whether the caller has received bytes of an earlier answer.
/// \param extensionField Name of a field with a number, beside those of the specification.
/// \param maxBytes Size of the largest sound block.
inline ReadAnswer readAnswerByReference(std::string_view answer, std::uint64_t lastId, bool isContinuation,
    const std::string& extensionField, std::size_t maxBytes)
{
    bool hasMark = answer.starts_with(reference::mark);
    std::string_view text = answer.substr(hasMark ? reference::mark.size() : 0);
    ReadAnswer result { .lastId = lastId };
    std::size_t start = 0;
    for (const reference::Line& line : reference::linesOf(text)) {
        // The router takes a line that is only the mark for no blank line; nothing is dispatched there in either case.
        bool isMarkLine = hasMark && line.text.data() == text.data();
        if (!line.text.empty() || isMarkLine)
            continue;
        std::string_view bytes = text.substr(start, line.end - start);
        reference::Block block = reference::readBlock(bytes, extensionField, maxBytes);
        if (!block.isSound)
            return result;
        if (block.id && (result.lastId == UINT64_MAX || *block.id != result.lastId + 1))
            return result;
        if (start == 0 && hasMark && !isContinuation)
            result.bytes += reference::mark;
        result.bytes += bytes;
        for (DispatchedEvent& event : readEventStream(bytes))
            result.events.push_back(std::move(event));
        result.lastId = block.id.value_or(result.lastId);
        start = line.end;
    }
    result.isSound = start == text.size() && (start != 0 || !hasMark);
    return result;
}

}
