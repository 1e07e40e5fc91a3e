#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank {

/// Applies "field=value" settings to @p object; "field=null" removes the field. A value that is valid JSON is
/// taken as such, anything else as text. Throws CommandFailure for a setting without '='.
void applySettings(nlohmann::json& object, const std::vector<std::string>& settings);

/// One line per field that differs: "field: before -> after"; changeId is left out. Empty when equal.
std::string describeDifference(const nlohmann::json& before, const nlohmann::json& after);

} // namespace kumquatbank
