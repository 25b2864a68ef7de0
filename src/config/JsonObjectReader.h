#pragma once

#include "base/Clock.h"
#include "config/JsonDocument.h"

#include <concepts>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

enum class FieldPresence : std::uint8_t { Optional, Required };

/// \brief Reads the fields of one JSON object into typed variables and collects all errors.
///
/// A variable keeps its value if its field is absent or invalid. The destructor reports all fields that were not read
/// as unknown.
///
/// \code
/// JsonObjectReader reader(root, "", problems);
/// reader.integer("slots", endpoint.slots, 1, 1024);
/// \endcode
class JsonObjectReader {
public:
    /// \param node Must outlive the reader; nullptr reads as an empty object, without errors about missing required
    /// fields.
    JsonObjectReader(const JsonNode* node, std::string path, JsonProblems& problems);
    ~JsonObjectReader();
    JsonObjectReader(const JsonObjectReader&) = delete;
    JsonObjectReader& operator=(const JsonObjectReader&) = delete;

    /// \returns A reader of the object in field \p name.
    [[nodiscard]] JsonObjectReader object(std::string_view name, FieldPresence = FieldPresence::Optional);

    /// \brief Calls \p visit for each member of the object in field \p name, with the member's path.
    void forEachMember(std::string_view name, const std::function<void(const JsonMember&, const std::string&)>& visit,
        FieldPresence = FieldPresence::Optional);

    /// \brief Calls \p visit for each string in the array in field \p name.
    /// \returns Whether the field is present and an array.
    bool forEachString(std::string_view name, const std::function<void(const JsonNode&, const std::string&)>& visit,
        FieldPresence = FieldPresence::Optional);

    void text(std::string_view name, std::string& destination, FieldPresence = FieldPresence::Optional);
    void boolean(std::string_view name, bool& destination);
    void number(std::string_view name, double& destination, double minimum, double maximum);
    void millis(std::string_view name, Millis& destination, std::int64_t minimum, std::int64_t maximum);

    template <std::integral T> void integer(std::string_view name, T& destination, T minimum, T maximum)
    {
        auto value = static_cast<std::int64_t>(destination);
        readInteger(name, value, static_cast<std::int64_t>(minimum), static_cast<std::int64_t>(maximum));
        destination = static_cast<T>(value);
    }

    /// \brief Reads an identifier: 1 to 64 letters, digits, '.', '_' or '-'.
    void identifier(std::string_view name, std::string& destination, FieldPresence = FieldPresence::Optional);

    /// \brief Reads one of \p choices.
    void choice(std::string_view name, std::string& destination, const std::vector<std::string>& choices,
        FieldPresence = FieldPresence::Optional);

    /// \brief Reads an address "IP:PORT" (IPv4).
    /// \param allowAnyPort Accept port 0, for which the system chooses a free port.
    void address(std::string_view name, std::string& destination, FieldPresence = FieldPresence::Optional,
        bool allowAnyPort = false);

    /// \returns The field \p name, or nullptr. The name is then not reported as unknown.
    [[nodiscard]] const JsonNode* field(std::string_view name, FieldPresence = FieldPresence::Optional);

    /// \brief Adds a problem at \p node.
    void report(const JsonNode& node, std::string path, std::string message);

    /// \brief Adds a problem at field \p name, or at the object if the field is absent.
    void report(std::string_view name, std::string message);

    [[nodiscard]] const std::string& path() const noexcept { return m_path; }

private:
    void readInteger(std::string_view name, std::int64_t& destination, std::int64_t minimum, std::int64_t maximum);
    const JsonNode* fieldOfType(std::string_view name, JsonType, std::string_view expected, FieldPresence);

    const JsonNode* m_node;
    std::string m_path;
    JsonProblems& m_problems;
    std::vector<std::string_view> m_readFieldNames; ///< Names of the fields read so far; views of string literals.
};

/// \returns Whether \p text is 1 to 64 letters, digits, '.', '_' or '-'.
[[nodiscard]] bool isIdentifier(std::string_view text) noexcept;

/// \returns Whether \p text is an IPv4 address and a port.
[[nodiscard]] bool isAddress(std::string_view text, bool allowAnyPort = false) noexcept;

}
