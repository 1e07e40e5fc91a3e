#pragma once

#include <nlohmann/json.hpp>
#include <optional>
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
