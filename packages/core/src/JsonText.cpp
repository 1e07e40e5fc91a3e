#include "kumquatbank/core/JsonText.h"

#include <algorithm>
#include <bitset>

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
                    const auto stringBegin = m_at;
                    if (!skipString())
                        return {};
                    countString(m_at - stringBegin);
                    if (depth == 0)
                        return m_text.substr(begin, m_at - begin);
                    continue;
                }
                const bool closes = symbol == '}' || symbol == ']';
                if (depth == 0 && (closes || symbol == ','))
                    break;
                ++m_at;
                countSymbol(symbol, depth);
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

        /// Upper bound of the heap memory that the values taken so far need once they are parsed.
        std::size_t parsedBytes() const { return m_parsedBytes; }

        /// Greatest nesting of the values taken so far.
        int deepest() const { return m_deepest; }

    private:
        void skipSpace() { m_at = std::min(m_text.find_first_not_of(whitespace, m_at), m_text.size()); }

        // The parsed form is made of 16-byte values, maps with nodes of 80 bytes, vectors that double, and strings; each
        // allocation has an overhead and is rounded up.
        void countString(std::size_t length)
        {
            constexpr std::size_t stringObject = 48;
            constexpr std::size_t inlineLength = 17; // With the quotes.
            m_parsedBytes += stringObject + (length > inlineLength ? length + 16 : 0);
        }

        void countSymbol(char symbol, int depth)
        {
            constexpr std::size_t container = 64;
            constexpr std::size_t arrayElement = 3 * 16; // While a vector grows, both copies exist.
            constexpr std::size_t node = 112;
            constexpr std::size_t countedKey = 48; // A key is part of its node and was counted as a string.
            const auto level = static_cast<std::size_t>(depth);
            if (symbol == '{' || symbol == '[') {
                m_parsedBytes += container + (isInArray(level) ? arrayElement : 0);
                if (level < m_arrays.size())
                    m_arrays.set(level, symbol == '[');
            } else if (symbol == ':') {
                m_parsedBytes += node - countedKey;
            } else if (symbol == ',' && isInArray(level)) {
                m_parsedBytes += arrayElement;
            }
        }

        /// @p level: number of containers that are open.
        bool isInArray(std::size_t level) const { return level > m_arrays.size() || (level > 0 && m_arrays.test(level - 1)); }

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
        std::size_t m_parsedBytes = 0;
        std::bitset<JsonText::maxDepth> m_arrays; ///< Which of the open containers are arrays, from the outermost.
    };

    tl::unexpected<std::string> tooDeep() { return tl::unexpected("nested deeper than " + std::to_string(JsonText::maxDepth) + " levels"); }

    /// The text of a parse error contains what was read last, which may be as long as the whole text.
    tl::unexpected<std::string> unreadable(const Json::exception& e)
    {
        constexpr std::size_t maxErrorBytes = 160;
        return tl::unexpected(std::string(e.what()).substr(0, maxErrorBytes));
    }

} // namespace

tl::expected<Json, std::string> JsonText::parse(std::string_view text, Comments comments)
{
    Scanner scanner(text);
    scanner.takeValue();
    if (scanner.deepest() > maxDepth)
        return tooDeep();
    try {
        return Json::parse(text, nullptr, true, comments == Comments::Ignored);
    } catch (const Json::exception& e) {
        return unreadable(e);
    }
}

tl::expected<Json, std::string> JsonText::parseSelected(std::string_view text, const Selection& selection)
{
    Scanner scanner(text);
    scanner.takeValue();
    if (scanner.deepest() > maxDepth)
        return tooDeep();
    const auto isKept = [&](int depth, Json::parse_event_t event, Json& value) {
        if (event == Json::parse_event_t::key)
            return depth != 1 || std::ranges::find(selection.keys, value.get_ref<const std::string&>()) != selection.keys.end();
        if (event == Json::parse_event_t::array_start)
            return depth > 0 && !selection.isFlat;
        if (event == Json::parse_event_t::object_start)
            return depth == 0 || !selection.isFlat;
        if (event == Json::parse_event_t::value && value.is_string() && selection.maxStringBytes > 0 && value.get_ref<const std::string&>().size() > selection.maxStringBytes)
            value = Json(Json::value_t::discarded);
        return true;
    };
    try {
        auto parsed = Json::parse(text, isKept);
        if (!parsed.is_object())
            return tl::unexpected(std::string("not an object"));
        // The parser leaves a discarded value in the place of what was skipped.
        for (auto it = parsed.begin(); it != parsed.end();)
            it = it->is_discarded() ? parsed.erase(it) : std::next(it);
        return parsed;
    } catch (const Json::exception& e) {
        return unreadable(e);
    }
}

std::size_t JsonText::parsedBytes(std::string_view text)
{
    Scanner scanner(text);
    scanner.takeValue();
    return scanner.parsedBytes();
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
