#pragma once

#include "kumquatbank/causes/CauseObject.h"

#include <map>
#include <vector>

namespace kumquatbank {

/// Refusals and delays of a window that share a key.
struct CauseTotal {
    CauseKey key;
    std::uint64_t refused = 0;
    std::uint64_t delayed = 0;
    Milliseconds lost { 0 };
};

void to_json(nlohmann::json& json, const CauseTotal& total);

/// Merges the rows of many processes over a window. Sources may overlap: what a process has saved on the
/// platform and what it reports itself are counted once. Not thread-safe.
class CauseReport {
public:
    /// Window from <= minute < to.
    CauseReport(WallTime from, WallTime to);

    /// Adds one source. Of two rows of the same run, minute and key the greater counts win, because a run's
    /// counters only grow.
    void add(const CauseSource& source);

    /// Totals by key, most time lost first, then most refusals.
    std::vector<CauseTotal> totals() const;

private:
    struct RowKey {
        std::string run;
        std::chrono::sys_seconds minute;
        CauseKey key;

        auto operator<=>(const RowKey&) const = default;
    };

    const WallTime m_from;
    const WallTime m_to;
    std::map<RowKey, CauseRow> m_rows;
};

} // namespace kumquatbank
