#pragma once

#include "History.h"
#include "LoadOptions.h"
#include "Statistics.h"

namespace kumquatbank::load {

/// Results of a run.
struct LoadResult {
    std::unique_ptr<Statistics> statistics;
    Violations violations; ///< Seen by callers and found in the databases.
    std::uint64_t confirmed = 0; ///< Writes and transactions by outcome.
    std::uint64_t notRun = 0;
    std::uint64_t uncertain = 0;
};

/// Runs every caller for the duration, then compares the history with the databases.
LoadResult runLoad(const LoadOptions& options);

} // namespace kumquatbank::load
