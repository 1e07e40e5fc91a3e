#pragma once

#include <compare>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace kumquatbank {

/// Number of a primary's reign in a database group; grows with every promotion.
using Term = std::uint64_t;

/// A place in a group's replicated log. Ordered by term first, then by position: of two members of a
/// fenced majority the greater one holds every confirmed change.
struct LogPosition {
    Term term = 0; ///< Term of the last log record.
    std::uint64_t position = 0; ///< Number of records.

    auto operator<=>(const LogPosition&) const = default;

    /// True if a log that ends here contains the confirmed record @p required. Both parts must be at
    /// least as great: a greater term alone can still lag behind in records.
    bool covers(const LogPosition& required) const
    {
        return term >= required.term && position >= required.position;
    }
};

void to_json(nlohmann::json& json, const LogPosition& position); ///< As [term, position].
void from_json(const nlohmann::json& json, LogPosition& position);

} // namespace kumquatbank
