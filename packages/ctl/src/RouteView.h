#pragma once

#include <nlohmann/json.hpp>
#include <ostream>

namespace kumquatbank {

/// Prints where a statement would go, as a proxy explained it.
void printRoute(const nlohmann::json& explained, std::ostream& out);

} // namespace kumquatbank
