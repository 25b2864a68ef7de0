#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminestack {

struct JsonMember;

enum class JsonType : std::uint8_t { Null, Boolean, Integer, Float, String, Array, Object };

/// \brief A JSON value with the position of its first byte; lines and columns count from 1, columns in bytes.
struct JsonNode {
    JsonType type { JsonType::Null };
    int line { 0 };
    int column { 0 };
    bool boolean { false };
    std::int64_t integer { 0 }; ///< For Integer.
    double number { 0 }; ///< For Integer and Float.
    std::string text; ///< For String.
    std::vector<JsonNode> items; ///< For Array.
    std::vector<JsonMember> members; ///< For Object, in the order of the text.

    /// \returns The member \p name of an object, or nullptr.
    [[nodiscard]] const JsonNode* find(std::string_view name) const noexcept;
};

struct JsonMember {
    std::string name;
    int line { 0 }; ///< Line of the name.
    int column { 0 };
    JsonNode value;
};

/// \brief One error in a document.
struct JsonProblem {
    int line { 0 };
    int column { 0 };
    std::string path; ///< For example "pools.assistants.endpoints.e1.slots"; empty for the whole document.
    std::string message;
};

using JsonProblems = std::vector<JsonProblem>;

/// \brief Parses JSON with // and /* */ comments.
///
/// Syntax errors, duplicate names and nesting deeper than 64 levels are added to \p problems.
/// \code
/// JsonProblems problems;
/// JsonNode root = parseJson(text, problems);
/// \endcode
/// \returns The document; after a syntax error the part before the error.
[[nodiscard]] JsonNode parseJson(std::string_view text, JsonProblems& problems);

/// \brief For settings, which other programs may write with a decimal point ("3000.0").
/// \returns A copy in which each Float with a whole value that fits is an Integer.
[[nodiscard]] JsonNode withWholeNumbers(JsonNode root);

/// \returns \p problems sorted by line and column, each formatted as a line "FILE:LINE:COLUMN: PATH: message".
[[nodiscard]] std::string formatProblems(JsonProblems problems, std::string_view file);

/// \returns The path of member \p name of the object at \p parent.
[[nodiscard]] std::string joinPath(std::string_view parent, std::string_view name);

}
