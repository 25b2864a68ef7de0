#include "config/JsonDocument.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    // Limits the recursion depth of code that traverses a document; published documents need 6 levels.
    constexpr std::size_t maximumDepth = 64;

    // Input iterator that counts the bytes that the parser has read; DocumentBuilder derives positions from the count.
    struct CountingIterator {
        using iterator_category = std::input_iterator_tag;
        using value_type = char;
        using difference_type = std::ptrdiff_t;
        using pointer = const char*;
        using reference = const char&;

        const char* current { nullptr };
        std::size_t* consumed { nullptr };

        reference operator*() const { return *current; }
        CountingIterator& operator++()
        {
            ++current;
            ++*consumed;
            return *this;
        }
        CountingIterator operator++(int)
        {
            auto before = *this;
            ++*this;
            return before;
        }
        friend bool operator==(const CountingIterator& left, const CountingIterator& right)
        {
            return left.current == right.current;
        }
    };

    // Converts byte offsets to lines and columns. Continues from the previous offset; a smaller offset restarts the
    // count.
    class LineCounter {
    public:
        explicit LineCounter(std::string_view text)
            : m_text(text)
        {
        }

        void locate(std::size_t offset, int& line, int& column)
        {
            offset = std::min(offset, m_text.size());
            if (offset < m_offset) {
                m_offset = m_lineStart = 0;
                m_line = 1;
            }
            for (; m_offset < offset; ++m_offset) {
                if (m_text[m_offset] == '\n') {
                    ++m_line;
                    m_lineStart = m_offset + 1;
                }
            }
            line = m_line;
            column = static_cast<int>(offset - m_lineStart) + 1;
        }

    private:
        std::string_view m_text;
        std::size_t m_offset { 0 };
        std::size_t m_lineStart { 0 };
        int m_line { 1 };
    };

    class DocumentBuilder final : public nlohmann::json_sax<nlohmann::json> {
    public:
        DocumentBuilder(std::string_view text, const std::size_t& consumed, JsonProblems& problems)
            : m_text(text)
            , m_consumed(consumed)
            , m_lineCounter(text)
            , m_problems(problems)
        {
        }

        JsonNode root;

        bool null() override
        {
            addNode(JsonType::Null);
            return true;
        }
        bool boolean(bool value) override
        {
            addNode(JsonType::Boolean).boolean = value;
            return true;
        }
        bool number_integer(number_integer_t value) override // NOLINT(readability-identifier-naming)
        {
            JsonNode& node = addNode(JsonType::Integer);
            node.integer = value;
            node.number = static_cast<double>(value);
            return true;
        }
        bool number_unsigned(number_unsigned_t value) override // NOLINT(readability-identifier-naming)
        {
            if (value <= static_cast<number_unsigned_t>(INT64_MAX))
                return number_integer(static_cast<number_integer_t>(value));
            addNode(JsonType::Float).number = static_cast<double>(value);
            return true;
        }
        bool number_float(number_float_t value, const string_t&) override // NOLINT(readability-identifier-naming)
        {
            addNode(JsonType::Float).number = value;
            return true;
        }
        bool string(string_t& value) override
        {
            addNode(JsonType::String).text = std::move(value);
            return true;
        }
        bool binary(binary_t&) override { return false; }
        bool start_object(std::size_t) override { return openContainer(JsonType::Object); } // NOLINT
        bool start_array(std::size_t) override { return openContainer(JsonType::Array); } // NOLINT
        bool key(string_t& name) override
        {
            JsonMember& member = m_openNodes.back()->members.emplace_back();
            member.name = std::move(name);
            locateToken(member.line, member.column);
            return true;
        }
        bool end_object() override // NOLINT(readability-identifier-naming)
        {
            reportDuplicates(*m_openNodes.back());
            return closeContainer();
        }
        bool end_array() override { return closeContainer(); } // NOLINT(readability-identifier-naming)

        // An unexpected punctuation mark is the last byte read; any other invalid token starts after the previous
        // token.
        bool parse_error(std::size_t position, const std::string&, // NOLINT(readability-identifier-naming)
            const nlohmann::json::exception& exception) override
        {
            JsonProblem& problem = m_problems.emplace_back();
            problem.path = path();
            std::string_view message = exception.what();
            const bool isUnexpectedToken = message.find("unexpected") != std::string_view::npos;
            const bool isPunctuation = position > 0 && position <= m_text.size()
                && std::string_view(",:[]{}").find(m_text[position - 1]) != std::string_view::npos;
            if (message.find("unexpected end of input") != std::string_view::npos)
                m_lineCounter.locate(m_text.size(), problem.line, problem.column);
            else if (isUnexpectedToken && isPunctuation)
                m_lineCounter.locate(position - 1, problem.line, problem.column);
            else
                locateToken(problem.line, problem.column);
            // Removes the error code and position at the start of the library's message ("[json.exception...] parse
            // error at line 1, column 2: ") and its quotation of the last token.
            const auto prefix = message.find(message.find("parse error at") != std::string_view::npos ? ": " : "] ");
            if (prefix != std::string_view::npos)
                message.remove_prefix(prefix + 2);
            problem.message = message.substr(0, message.find("; last read:"));
            return false;
        }

    private:
        static bool isNumberCharacter(char character)
        {
            return (character >= '0' && character <= '9') || character == '+' || character == '-' || character == '.'
                || character == 'e' || character == 'E';
        }

        // Finds the first byte of the token that was just read by skipping white space, comments, a byte order mark and
        // punctuation after the previous token.
        void locateToken(int& line, int& column)
        {
            std::size_t offset = m_previousTokenEnd;
            while (offset < m_text.size()) {
                const std::string_view rest = m_text.substr(offset);
                if (rest.starts_with("//")) {
                    offset = std::min(m_text.find('\n', offset), m_text.size());
                } else if (rest.starts_with("/*")) {
                    const auto end = m_text.find("*/", offset + 2);
                    if (end == std::string_view::npos)
                        break;
                    offset = end + 2;
                } else if (rest.starts_with("\xEF\xBB\xBF")) {
                    offset += 3;
                } else if (std::string_view(" \t\r\n,:]}").find(m_text[offset]) != std::string_view::npos) {
                    ++offset;
                } else {
                    break;
                }
            }
            m_lineCounter.locate(offset, line, column);
            m_previousTokenEnd = std::min(m_consumed, m_text.size());
            // The parser reads one byte past the end of a number, unless the text ends there.
            if (offset < m_previousTokenEnd && isNumberCharacter(m_text[offset])
                && (m_previousTokenEnd < m_text.size() || !isNumberCharacter(m_text[m_previousTokenEnd - 1])))
                --m_previousTokenEnd;
        }

        JsonNode& addNode(JsonType type)
        {
            JsonNode* node = &root;
            if (!m_openNodes.empty()) {
                JsonNode& parent = *m_openNodes.back();
                node = parent.type == JsonType::Array ? &parent.items.emplace_back() : &parent.members.back().value;
            }
            node->type = type;
            locateToken(node->line, node->column);
            return *node;
        }

        bool openContainer(JsonType type)
        {
            JsonNode& node = addNode(type);
            if (m_openNodes.size() == maximumDepth) {
                m_problems.push_back({ node.line, node.column, path(), "nested more than 64 levels deep" });
                return false;
            }
            m_openNodes.push_back(&node);
            return true;
        }

        bool closeContainer()
        {
            m_openNodes.pop_back();
            return true;
        }

        [[nodiscard]] std::string path() const
        {
            std::string result;
            for (const JsonNode* node : m_openNodes) {
                if (node->type == JsonType::Object && !node->members.empty())
                    result = joinPath(result, node->members.back().name);
                else if (node->type == JsonType::Array && !node->items.empty())
                    result += "[" + std::to_string(node->items.size() - 1) + "]";
            }
            return result;
        }

        void reportDuplicates(const JsonNode& object)
        {
            std::vector<const JsonMember*> sorted;
            sorted.reserve(object.members.size());
            for (const JsonMember& member : object.members)
                sorted.push_back(&member);
            std::stable_sort(sorted.begin(), sorted.end(),
                [](const JsonMember* left, const JsonMember* right) { return left->name < right->name; });
            std::string parent;
            for (std::size_t i = 1; i < sorted.size(); ++i) {
                if (sorted[i]->name != sorted[i - 1]->name)
                    continue;
                if (parent.empty() && m_openNodes.size() > 1) {
                    JsonNode* self = m_openNodes.back();
                    m_openNodes.pop_back();
                    parent = path();
                    m_openNodes.push_back(self);
                }
                m_problems.push_back({ sorted[i]->line, sorted[i]->column, joinPath(parent, sorted[i]->name),
                    "duplicate name; the first is in line " + std::to_string(sorted[i - 1]->line) });
            }
        }

        std::string_view m_text;
        const std::size_t& m_consumed;
        LineCounter m_lineCounter;
        JsonProblems& m_problems;
        std::size_t m_previousTokenEnd { 0 };
        std::vector<JsonNode*> m_openNodes;
    };

}

const JsonNode* JsonNode::find(std::string_view name) const noexcept
{
    for (const JsonMember& member : members) {
        if (member.name == name)
            return &member.value;
    }
    return nullptr;
}

JsonNode parseJson(std::string_view text, JsonProblems& problems)
{
    std::size_t consumed = 0;
    DocumentBuilder builder(text, consumed, problems);
    CountingIterator begin { text.data(), &consumed };
    CountingIterator end { text.data() + text.size(), &consumed };
    (void)nlohmann::json::sax_parse(begin, end, &builder, nlohmann::json::input_format_t::json, true, true);
    return std::move(builder.root);
}

JsonNode withWholeNumbers(JsonNode root)
{
    // Up to here a double represents each whole number exactly.
    constexpr double maxWhole = 9'007'199'254'740'992.0;
    if (root.type == JsonType::Float && std::trunc(root.number) == root.number && std::abs(root.number) <= maxWhole) {
        root.type = JsonType::Integer;
        root.integer = static_cast<std::int64_t>(root.number);
    }
    for (JsonNode& item : root.items)
        item = withWholeNumbers(std::move(item));
    for (JsonMember& member : root.members)
        member.value = withWholeNumbers(std::move(member.value));
    return root;
}

std::string formatProblems(JsonProblems problems, std::string_view file)
{
    std::stable_sort(problems.begin(), problems.end(), [](const JsonProblem& left, const JsonProblem& right) {
        return std::pair { left.line, left.column } < std::pair { right.line, right.column };
    });
    std::string result;
    for (const JsonProblem& problem : problems) {
        if (!result.empty())
            result += '\n';
        result += std::string(file) + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) + ": ";
        if (!problem.path.empty())
            result += problem.path + ": ";
        result += problem.message;
    }
    return result;
}

std::string joinPath(std::string_view parent, std::string_view name)
{
    return parent.empty() ? std::string(name) : std::string(parent) + "." + std::string(name);
}

}
