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

/// \brief Reads the fields of one JSON object into typed variables and collects all faults.
///
/// A variable keeps its value if its field is absent or wrong. Fields that nobody asked for are reported as unknown
/// when the reader ends. \code JsonObjectReader reader(root, "", problems); reader.integer("slots", endpoint.slots, 1,
/// 1024); \endcode
class JsonObjectReader {
public:
    /// \param node Must outlive the reader; nullptr reads as an object without fields of which none is required.
    JsonObjectReader(const JsonNode* node, std::string path, JsonProblems& problems);
    ~JsonObjectReader();
    JsonObjectReader(const JsonObjectReader&) = delete;
    JsonObjectReader& operator=(const JsonObjectReader&) = delete;

    /// \returns A reader of the object in field \p name.
    [[nodiscard]] JsonObjectReader object(std::string_view name, FieldPresence = FieldPresence::Optional);

    /// \brief Calls \p visit for each member of the object in field \p name, with the member's path.
    void eachMember(std::string_view name, const std::function<void(const JsonMember&, const std::string&)>& visit,
        FieldPresence = FieldPresence::Optional);

    /// \brief Calls \p visit for each text in the array in field \p name.
    /// \returns Whether the field is present and an array.
    bool eachText(std::string_view name, const std::function<void(const JsonNode&, const std::string&)>& visit,
        FieldPresence = FieldPresence::Optional);

    void text(std::string_view name, std::string& into, FieldPresence = FieldPresence::Optional);
    void boolean(std::string_view name, bool& into);
    void number(std::string_view name, double& into, double minimum, double maximum);
    void millis(std::string_view name, Millis& into, std::int64_t minimum, std::int64_t maximum);

    template <std::integral T> void integer(std::string_view name, T& into, T minimum, T maximum)
    {
        auto value = static_cast<std::int64_t>(into);
        readInteger(name, value, static_cast<std::int64_t>(minimum), static_cast<std::int64_t>(maximum));
        into = static_cast<T>(value);
    }

    /// \brief Reads an identifier: 1 to 64 letters, digits, '.', '_' or '-'.
    void identifier(std::string_view name, std::string& into, FieldPresence = FieldPresence::Optional);

    /// \brief Reads one of \p choices.
    void choice(std::string_view name, std::string& into, const std::vector<std::string>& choices,
        FieldPresence = FieldPresence::Optional);

    /// \brief Reads an address "IP:PORT" (IPv4).
    /// \param allowAnyPort Accept port 0, by which the system chooses one.
    void address(
        std::string_view name, std::string& into, FieldPresence = FieldPresence::Optional, bool allowAnyPort = false);

    /// \returns The field \p name, marked as known, or nullptr.
    [[nodiscard]] const JsonNode* field(std::string_view name, FieldPresence = FieldPresence::Optional);

    /// \brief Adds a problem at \p node.
    void report(const JsonNode& node, std::string path, std::string message);

    /// \brief Adds a problem at field \p name, or at the object if the field is absent.
    void report(std::string_view name, std::string message);

    [[nodiscard]] const std::string& path() const noexcept { return m_path; }

private:
    void readInteger(std::string_view name, std::int64_t& into, std::int64_t minimum, std::int64_t maximum);
    const JsonNode* fieldOfType(std::string_view name, JsonType, std::string_view expected, FieldPresence);

    const JsonNode* m_node;
    std::string m_path;
    JsonProblems& m_problems;
    std::vector<std::string_view> m_known; ///< Names asked for; they are literals.
};

/// \returns Whether \p text is 1 to 64 letters, digits, '.', '_' or '-'.
[[nodiscard]] bool isIdentifier(std::string_view text) noexcept;

/// \returns Whether \p text is an IPv4 address and a port.
[[nodiscard]] bool isAddress(std::string_view text, bool allowAnyPort = false) noexcept;

}
