#pragma once

#include "LoadRun.h"

#include <ostream>

namespace kumquatbank::load {

/// Prints the table per rank, the replica share, the write gaps and the violations.
void printReport(std::ostream& out, const LoadOptions& options, const LoadResult& result);

/// The same as JSON, and the counts per entry.
nlohmann::json reportJson(const LoadOptions& options, const LoadResult& result);

} // namespace kumquatbank::load
