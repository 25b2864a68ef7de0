#include "config/JsonDocument.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    // Limits the recursion of everything that walks a document; published documents need 6 levels.
    constexpr std::size_t maximumDepth = 64;

    // Input iterator that counts what the parser has read, from which the handler derives positions.
    struct CountingIterator {
        using iterator_category = std::input_iterator_tag;
        using value_type = char;
        using difference_type = std::ptrdiff_t;
        using pointer = const char*;
        using reference = const char&;

        const char* place { nullptr };
        std::size_t* consumed { nullptr };

        reference operator*() const { return *place; }
        CountingIterator& operator++()
        {
            ++place;
            ++*consumed;
            return *this;
        }
        CountingIterator operator++(int)
        {
            auto before = *this;
            ++*this;
            return before;
        }
        friend bool operator==(const CountingIterator& a, const CountingIterator& b) { return a.place == b.place; }
    };

    // Converts offsets to lines and columns; offsets must not decrease.
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
            , m_lines(text)
            , m_problems(problems)
        {
        }

        JsonNode root;

        bool null() override
        {
            add(JsonType::Null);
            return true;
        }
        bool boolean(bool value) override
        {
            add(JsonType::Boolean).boolean = value;
            return true;
        }
        bool number_integer(number_integer_t value) override // NOLINT(readability-identifier-naming)
        {
            JsonNode& node = add(JsonType::Integer);
            node.integer = value;
            node.number = static_cast<double>(value);
            return true;
        }
        bool number_unsigned(number_unsigned_t value) override // NOLINT(readability-identifier-naming)
        {
            if (value <= static_cast<number_unsigned_t>(INT64_MAX))
                return number_integer(static_cast<number_integer_t>(value));
            add(JsonType::Float).number = static_cast<double>(value);
            return true;
        }
        bool number_float(number_float_t value, const string_t&) override // NOLINT(readability-identifier-naming)
        {
            add(JsonType::Float).number = value;
            return true;
        }
        bool string(string_t& value) override
        {
            add(JsonType::String).text = std::move(value);
            return true;
        }
        bool binary(binary_t&) override { return false; }
        bool start_object(std::size_t) override { return open(JsonType::Object); } // NOLINT
        bool start_array(std::size_t) override { return open(JsonType::Array); } // NOLINT
        bool key(string_t& name) override
        {
            JsonMember& member = m_open.back()->members.emplace_back();
            member.name = std::move(name);
            locateToken(member.line, member.column);
            return true;
        }
        bool end_object() override // NOLINT(readability-identifier-naming)
        {
            reportDuplicates(*m_open.back());
            return close();
        }
        bool end_array() override { return close(); } // NOLINT(readability-identifier-naming)

        // An unexpected punctuation mark is the last byte read; any other faulty token starts after the previous one.
        bool parse_error(std::size_t position, const std::string&, // NOLINT(readability-identifier-naming)
            const nlohmann::json::exception& exception) override
        {
            JsonProblem& problem = m_problems.emplace_back();
            problem.path = path();
            std::string_view message = exception.what();
            const bool unexpected = message.find("unexpected") != std::string_view::npos;
            const bool punctuation = position > 0 && position <= m_text.size()
                && std::string_view(",:[]{}").find(m_text[position - 1]) != std::string_view::npos;
            if (message.find("unexpected end of input") != std::string_view::npos)
                m_lines.locate(m_text.size(), problem.line, problem.column);
            else if (unexpected && punctuation)
                m_lines.locate(position - 1, problem.line, problem.column);
            else
                locateToken(problem.line, problem.column);
            // The library's text starts with its own code and place ("[json.exception...] parse error at line 1, column
            // 2: ") and quotes what it read last.
            const auto prefix = message.find(message.find("parse error at") != std::string_view::npos ? ": " : "] ");
            if (prefix != std::string_view::npos)
                message.remove_prefix(prefix + 2);
            problem.message = message.substr(0, message.find("; last read:"));
            return false;
        }

    private:
        static bool isNumberCharacter(char c)
        {
            return (c >= '0' && c <= '9') || c == '+' || c == '-' || c == '.' || c == 'e' || c == 'E';
        }

        // Finds the first byte of the token that was just read: the first one after the previous token that is
        // neither white space, a comment, a byte order mark nor punctuation between tokens.
        void locateToken(int& line, int& column)
        {
            std::size_t at = m_previousEnd;
            while (at < m_text.size()) {
                const std::string_view rest = m_text.substr(at);
                if (rest.starts_with("//")) {
                    at = std::min(m_text.find('\n', at), m_text.size());
                } else if (rest.starts_with("/*")) {
                    const auto end = m_text.find("*/", at + 2);
                    if (end == std::string_view::npos)
                        break;
                    at = end + 2;
                } else if (rest.starts_with("\xEF\xBB\xBF")) {
                    at += 3;
                } else if (std::string_view(" \t\r\n,:]}").find(m_text[at]) != std::string_view::npos) {
                    ++at;
                } else {
                    break;
                }
            }
            m_lines.locate(at, line, column);
            m_previousEnd = std::min(m_consumed, m_text.size());
            // The parser reads one byte past the end of a number, unless the text ends there.
            if (at < m_previousEnd && isNumberCharacter(m_text[at])
                && (m_previousEnd < m_text.size() || !isNumberCharacter(m_text[m_previousEnd - 1])))
                --m_previousEnd;
        }

        JsonNode& add(JsonType type)
        {
            JsonNode* node = &root;
            if (!m_open.empty()) {
                JsonNode& parent = *m_open.back();
                node = parent.type == JsonType::Array ? &parent.items.emplace_back() : &parent.members.back().value;
            }
            node->type = type;
            locateToken(node->line, node->column);
            return *node;
        }

        bool open(JsonType type)
        {
            JsonNode& node = add(type);
            if (m_open.size() == maximumDepth) {
                m_problems.push_back({ node.line, node.column, path(), "nested more than 64 levels deep" });
                return false;
            }
            m_open.push_back(&node);
            return true;
        }

        bool close()
        {
            m_open.pop_back();
            return true;
        }

        [[nodiscard]] std::string path() const
        {
            std::string result;
            for (const JsonNode* node : m_open) {
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
                [](const JsonMember* a, const JsonMember* b) { return a->name < b->name; });
            std::string parent;
            for (std::size_t i = 1; i < sorted.size(); ++i) {
                if (sorted[i]->name != sorted[i - 1]->name)
                    continue;
                if (parent.empty() && m_open.size() > 1) {
                    JsonNode* self = m_open.back();
                    m_open.pop_back();
                    parent = path();
                    m_open.push_back(self);
                }
                m_problems.push_back({ sorted[i]->line, sorted[i]->column, joinPath(parent, sorted[i]->name),
                    "duplicate name; the first is in line " + std::to_string(sorted[i - 1]->line) });
            }
        }

        std::string_view m_text;
        const std::size_t& m_consumed;
        LineCounter m_lines;
        JsonProblems& m_problems;
        std::size_t m_previousEnd { 0 };
        std::vector<JsonNode*> m_open;
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

std::string formatProblems(JsonProblems problems, std::string_view file)
{
    std::stable_sort(problems.begin(), problems.end(), [](const JsonProblem& a, const JsonProblem& b) {
        return std::pair { a.line, a.column } < std::pair { b.line, b.column };
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
