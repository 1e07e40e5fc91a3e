#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace kumquatbank {

/// Reads JSON text that comes from outside of this process.
///
/// A text that holds the data of several writers is split first and each part is parsed on its own, so that a part that
/// cannot be read leaves the others readable. Splitting looks at strings and brackets only. The nesting of what is parsed
/// is bounded, because copying and writing a JSON value take stack for each level.
class JsonText {
public:
    /// Far above the nesting of every message in use.
    static constexpr int maxDepth = 64;

    enum class Comments {
        Refused,
        Ignored,
    };

    /// Parses a whole text. The error says why it cannot be read.
    static tl::expected<nlohmann::json, std::string> parse(std::string_view text, Comments comments = Comments::Refused);

    /// As parse(), with a discarded value in place of the error.
    static nlohmann::json parseOrDiscard(std::string_view text);

    /// The part of an object that its reader uses.
    struct Selection {
        std::span<const std::string_view> keys; ///< Of the members that are read; the others are skipped.
        bool isFlat = true; ///< Arrays and objects are skipped as well, because the reader uses plain values only.
        std::size_t maxStringBytes = 0; ///< Longer strings are skipped as well; 0 for no limit.
    };

    /// Parses the selected members of an object. The whole text has to be readable, but what is skipped takes no memory. A
    /// selected member whose value was skipped is missing from the result.
    static tl::expected<nlohmann::json, std::string> parseSelected(std::string_view text, const Selection& selection);

    /// Upper bound of the heap memory, in bytes, that the result of parse() takes. Does not check the text.
    static std::size_t parsedBytes(std::string_view text);

    /// The members of an object: their keys as written between the quotes, and their values as text.
    using Members = std::vector<std::pair<std::string_view, std::string_view>>;

    /// Splits an object; empty if @p text is not one that ends with its last byte.
    static std::optional<Members> members(std::string_view text);

    /// Splits an array into the texts of its elements; empty if @p text is not one that ends with its last byte.
    static std::optional<std::vector<std::string_view>> elements(std::string_view text);

    /// The value of a key, or an empty text. If the object names the key more than once, the last value counts.
    static std::string_view find(const Members& members, std::string_view key);
};

} // namespace kumquatbank
