#pragma once

#include "kumquatbank/causes/CauseBatch.h"

#include <map>
#include <string>
#include <vector>

namespace kumquatbank {

/// All refusals and delays of one rank, entry, owner, database, place and cause.
struct CauseTotal {
    CauseKey key;
    std::uint64_t refused = 0;
    std::uint64_t delayed = 0;
    Milliseconds lost { 0 };
    std::chrono::sys_seconds firstMinute;
    std::chrono::sys_seconds lastMinute;
};

void to_json(nlohmann::json& json, const CauseTotal& total);

/// Adds up the rows of many process runs. Copies of the same run's rows (its platform objects and the live
/// process) count once. Not thread-safe.
class CauseReport {
public:
    /// Adds one copy of a process run's rows with from <= minute < to.
    void add(const CauseBatch& batch, WallTime from, WallTime to);

    /// Totals, the greatest lost time first.
    std::vector<CauseTotal> totals() const;

    std::size_t processCount() const { return m_rowsByRun.size(); }
    std::size_t omittedCount() const; ///< Rows that the sources themselves left out.

private:
    struct Run {
        std::vector<CauseRow> rows;
        std::size_t omitted = 0;
    };

    std::map<std::string, Run> m_rowsByRun;
};

} // namespace kumquatbank
