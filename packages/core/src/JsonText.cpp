#include "kumquatbank/core/JsonText.h"

#include <algorithm>

namespace kumquatbank {

using Json = nlohmann::json;

namespace {

    constexpr std::string_view whitespace = " \t\r\n";

    /// Reads a text from the front to the back. Recursion-free, so that the nesting of the text is not limited by the stack.
    class Scanner {
    public:
        explicit Scanner(std::string_view text)
            : m_text(text)
        {
        }

        bool isAtEnd()
        {
            skipSpace();
            return m_at == m_text.size();
        }

        /// Skips whitespace and then @p symbol; false if another one follows.
        bool consume(char symbol)
        {
            skipSpace();
            if (m_at == m_text.size() || m_text[m_at] != symbol)
                return false;
            ++m_at;
            return true;
        }

        /// Returns the next string with its quotes; empty if there is none.
        std::string_view takeString()
        {
            skipSpace();
            const auto begin = m_at;
            return m_at < m_text.size() && m_text[m_at] == '"' && skipString() ? m_text.substr(begin, m_at - begin) : std::string_view();
        }

        /// Returns the text of the next value; empty if there is none or it does not end.
        std::string_view takeValue()
        {
            skipSpace();
            const auto begin = m_at;
            int depth = 0;
            while (m_at < m_text.size()) {
                const char symbol = m_text[m_at];
                if (symbol == '"') {
                    if (!skipString())
                        return {};
                    if (depth == 0)
                        return m_text.substr(begin, m_at - begin);
                    continue;
                }
                const bool closes = symbol == '}' || symbol == ']';
                if (depth == 0 && (closes || symbol == ','))
                    break;
                ++m_at;
                if (symbol == '{' || symbol == '[')
                    m_deepest = std::max(m_deepest, ++depth);
                else if (closes && --depth == 0)
                    return m_text.substr(begin, m_at - begin);
            }
            if (depth > 0)
                return {};
            const auto value = m_text.substr(begin, m_at - begin);
            return value.substr(0, value.find_last_not_of(whitespace) + 1);
        }

        /// Greatest nesting of the values taken so far.
        int deepest() const { return m_deepest; }

    private:
        void skipSpace() { m_at = std::min(m_text.find_first_not_of(whitespace, m_at), m_text.size()); }

        bool skipString()
        {
            for (++m_at; m_at < m_text.size(); ++m_at) {
                if (m_text[m_at] == '\\')
                    ++m_at;
                else if (m_text[m_at] == '"') {
                    ++m_at;
                    return true;
                }
            }
            m_at = m_text.size();
            return false;
        }

        std::string_view m_text;
        std::size_t m_at = 0;
        int m_deepest = 0;
    };

} // namespace

tl::expected<Json, std::string> JsonText::parse(std::string_view text, Comments comments)
{
    Scanner scanner(text);
    scanner.takeValue();
    if (scanner.deepest() > maxDepth)
        return tl::unexpected("nested deeper than " + std::to_string(maxDepth) + " levels");
    try {
        return Json::parse(text, nullptr, true, comments == Comments::Ignored);
    } catch (const Json::exception& e) {
        return tl::unexpected(std::string(e.what()));
    }
}

Json JsonText::parseOrDiscard(std::string_view text)
{
    auto parsed = parse(text);
    return parsed ? std::move(*parsed) : Json(Json::value_t::discarded);
}

std::optional<JsonText::Members> JsonText::members(std::string_view text)
{
    Scanner scanner(text);
    Members found;
    if (!scanner.consume('{'))
        return std::nullopt;
    if (scanner.consume('}'))
        return scanner.isAtEnd() ? std::optional(found) : std::nullopt;
    do {
        const auto key = scanner.takeString();
        if (key.empty() || !scanner.consume(':'))
            return std::nullopt;
        const auto value = scanner.takeValue();
        if (value.empty())
            return std::nullopt;
        found.emplace_back(key.substr(1, key.size() - 2), value);
    } while (scanner.consume(','));
    return scanner.consume('}') && scanner.isAtEnd() ? std::optional(std::move(found)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> JsonText::elements(std::string_view text)
{
    Scanner scanner(text);
    std::vector<std::string_view> found;
    if (!scanner.consume('['))
        return std::nullopt;
    if (scanner.consume(']'))
        return scanner.isAtEnd() ? std::optional(found) : std::nullopt;
    do {
        const auto value = scanner.takeValue();
        if (value.empty())
            return std::nullopt;
        found.push_back(value);
    } while (scanner.consume(','));
    return scanner.consume(']') && scanner.isAtEnd() ? std::optional(std::move(found)) : std::nullopt;
}

std::string_view JsonText::find(const Members& members, std::string_view key)
{
    const auto it = std::ranges::find(members.rbegin(), members.rend(), key, &std::pair<std::string_view, std::string_view>::first);
    return it == members.rend() ? std::string_view() : it->second;
}

} // namespace kumquatbank
