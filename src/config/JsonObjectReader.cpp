#include "config/JsonObjectReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace jasminestack {

namespace {

    std::string_view typeName(JsonType type)
    {
        switch (type) {
        case JsonType::Null:
            return "null";
        case JsonType::Boolean:
            return "a boolean";
        case JsonType::Integer:
            return "an integer";
        case JsonType::Float:
            return "a number";
        case JsonType::String:
            return "a string";
        case JsonType::Array:
            return "an array";
        case JsonType::Object:
            return "an object";
        }
        return "";
    }

    std::string formatNumber(double value)
    {
        char buffer[32];
        (void)std::snprintf(buffer, sizeof buffer, "%.10g", value);
        return buffer;
    }

    std::string typeMismatch(std::string_view expected, JsonType actual)
    {
        return "expected " + std::string(expected) + ", found " + std::string(typeName(actual));
    }

}

JsonObjectReader::JsonObjectReader(const JsonNode* node, std::string path, JsonProblems& problems)
    : m_node(node)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (m_node && m_node->type != JsonType::Object) {
        report(*m_node, m_path, typeMismatch("an object", m_node->type));
        m_node = nullptr;
    }
}

JsonObjectReader::~JsonObjectReader()
{
    if (!m_node)
        return;
    for (const JsonMember& member : m_node->members) {
        if (std::find(m_readFieldNames.begin(), m_readFieldNames.end(), member.name) == m_readFieldNames.end())
            m_problems.push_back({ member.line, member.column, joinPath(m_path, member.name), "unknown field" });
    }
}

void JsonObjectReader::report(const JsonNode& node, std::string path, std::string message)
{
    m_problems.push_back({ node.line, node.column, std::move(path), std::move(message) });
}

void JsonObjectReader::report(std::string_view name, std::string message)
{
    if (!m_node)
        return;
    const JsonNode* value = m_node->find(name);
    report(value ? *value : *m_node, joinPath(m_path, name), std::move(message));
}

const JsonNode* JsonObjectReader::field(std::string_view name, FieldPresence presence)
{
    if (!m_node)
        return nullptr;
    m_readFieldNames.push_back(name);
    const JsonNode* value = m_node->find(name);
    if (!value && presence == FieldPresence::Required)
        report(*m_node, joinPath(m_path, name), "required field is missing");
    return value;
}

const JsonNode* JsonObjectReader::fieldOfType(
    std::string_view name, JsonType type, std::string_view expected, FieldPresence presence)
{
    const JsonNode* value = field(name, presence);
    if (value && value->type != type) {
        report(*value, joinPath(m_path, name), typeMismatch(expected, value->type));
        return nullptr;
    }
    return value;
}

JsonObjectReader JsonObjectReader::object(std::string_view name, FieldPresence presence)
{
    return { field(name, presence), joinPath(m_path, name), m_problems };
}

void JsonObjectReader::forEachMember(std::string_view name,
    const std::function<void(const JsonMember&, const std::string&)>& visit, FieldPresence presence)
{
    const JsonNode* value = fieldOfType(name, JsonType::Object, "an object", presence);
    if (!value)
        return;
    const std::string parent = joinPath(m_path, name);
    for (const JsonMember& member : value->members)
        visit(member, joinPath(parent, member.name));
}

bool JsonObjectReader::forEachString(std::string_view name,
    const std::function<void(const JsonNode&, const std::string&)>& visit, FieldPresence presence)
{
    const JsonNode* value = fieldOfType(name, JsonType::Array, "an array of strings", presence);
    if (!value)
        return false;
    for (std::size_t i = 0; i < value->items.size(); ++i) {
        const JsonNode& item = value->items[i];
        const std::string path = joinPath(m_path, name) + "[" + std::to_string(i) + "]";
        if (item.type == JsonType::String)
            visit(item, path);
        else
            report(item, path, typeMismatch("a string", item.type));
    }
    return true;
}

void JsonObjectReader::text(std::string_view name, std::string& destination, FieldPresence presence)
{
    const JsonNode* value = fieldOfType(name, JsonType::String, "a string", presence);
    if (!value)
        return;
    if (value->text.empty())
        report(*value, joinPath(m_path, name), "must not be empty");
    destination = value->text;
}

void JsonObjectReader::boolean(std::string_view name, bool& destination)
{
    if (const JsonNode* value = fieldOfType(name, JsonType::Boolean, "true or false", FieldPresence::Optional))
        destination = value->boolean;
}

void JsonObjectReader::number(std::string_view name, double& destination, double minimum, double maximum)
{
    const JsonNode* value = field(name);
    if (!value)
        return;
    if (value->type != JsonType::Integer && value->type != JsonType::Float) {
        report(*value, joinPath(m_path, name), typeMismatch("a number", value->type));
        return;
    }
    if (!(value->number >= minimum && value->number <= maximum)) {
        report(*value, joinPath(m_path, name),
            formatNumber(value->number) + " is out of range " + formatNumber(minimum) + " to " + formatNumber(maximum));
        return;
    }
    destination = value->number;
}

void JsonObjectReader::readInteger(
    std::string_view name, std::int64_t& destination, std::int64_t minimum, std::int64_t maximum)
{
    const JsonNode* value = fieldOfType(name, JsonType::Integer, "an integer", FieldPresence::Optional);
    if (!value)
        return;
    if (value->integer < minimum || value->integer > maximum) {
        report(*value, joinPath(m_path, name),
            std::to_string(value->integer) + " is out of range " + std::to_string(minimum) + " to "
                + std::to_string(maximum));
        return;
    }
    destination = value->integer;
}

void JsonObjectReader::millis(std::string_view name, Millis& destination, std::int64_t minimum, std::int64_t maximum)
{
    readInteger(name, destination.count, minimum, maximum);
}

void JsonObjectReader::identifier(std::string_view name, std::string& destination, FieldPresence presence)
{
    const JsonNode* value = fieldOfType(name, JsonType::String, "a string", presence);
    if (!value)
        return;
    if (!isIdentifier(value->text))
        report(*value, joinPath(m_path, name),
            "'" + value->text + "' is not an identifier (1 to 64 letters, digits, '.', '_' or '-')");
    destination = value->text;
}

void JsonObjectReader::choice(
    std::string_view name, std::string& destination, const std::vector<std::string>& choices, FieldPresence presence)
{
    const JsonNode* value = fieldOfType(name, JsonType::String, "a string", presence);
    if (!value)
        return;
    if (std::find(choices.begin(), choices.end(), value->text) == choices.end()) {
        std::string choiceList;
        for (const std::string& choice : choices)
            choiceList += (choiceList.empty() ? "" : ", ") + choice;
        report(*value, joinPath(m_path, name), "'" + value->text + "' is none of " + choiceList);
        return;
    }
    destination = value->text;
}

void JsonObjectReader::address(
    std::string_view name, std::string& destination, FieldPresence presence, bool allowAnyPort)
{
    const JsonNode* value = fieldOfType(name, JsonType::String, "a string", presence);
    if (!value)
        return;
    if (!isAddress(value->text, allowAnyPort))
        report(*value, joinPath(m_path, name), "'" + value->text + "' is not of the form IP:PORT");
    destination = value->text;
}

bool isIdentifier(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '.' || character == '_' || character == '-';
    });
}

bool isAddress(std::string_view text, bool allowAnyPort) noexcept
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon > 15)
        return false;
    char host[16] = {};
    text.copy(host, colon);
    in_addr parsed {};
    if (inet_pton(AF_INET, host, &parsed) != 1)
        return false;
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, port);
    return result.ec == std::errc {} && result.ptr == end && (port != 0 || allowAnyPort);
}

}
