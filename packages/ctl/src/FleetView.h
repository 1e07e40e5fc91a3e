#pragma once

#include "ProxyReader.h"

#include <ostream>

namespace kumquatbank {

/// Prints host, place, members, catalogue revision and held groups of each state dump, one proxy per line.
void printStates(const std::vector<ProxyAnswer>& states, std::ostream& out);

/// Merges the groups of many state dumps: per database the holder's view with the greatest claim, or any view
/// when no proxy holds it.
std::vector<nlohmann::json> mergeGroups(const std::vector<ProxyAnswer>& states);

/// Prints per group holder, primary, term and who may promote, and per endpoint position and lag.
void printGroups(const std::vector<nlohmann::json>& groups, std::ostream& out);

} // namespace kumquatbank
