#pragma once

#include "History.h"
#include "Violations.h"

namespace kumquatbank::load {

/// Compares the operations of one database with the dump of its primary's log (section 5.2's stand-in).
/// @param runName only records whose values start with it are looked at.
Violations checkHistory(const std::vector<Operation>& operations, std::size_t database, const nlohmann::json& dump,
    const std::string& runName);

} // namespace kumquatbank::load
