#pragma once

#include "kumquatbank/core/core.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace kumquatbank {

/// What a group of equal refusals and delays have in common.
struct CauseKey {
    std::string entry;
    std::string owner;
    Rank rank = Rank::Background;
    std::string database;
    std::string place;
    Cause cause = Cause::None;

    auto operator<=>(const CauseKey&) const = default;
};

/// Counts for one key in one minute.
struct CauseRow {
    CauseKey key;
    std::chrono::sys_seconds minute; ///< Start of the minute, wall clock.
    std::uint64_t refused = 0;
    std::uint64_t delayed = 0;
    Milliseconds lost { 0 }; ///< Sum of the time lost by these requests.
};

void to_json(nlohmann::json& json, const CauseRow& row);
void from_json(const nlohmann::json& json, CauseRow& row); ///< Throws std::exception on bad input.

} // namespace kumquatbank
