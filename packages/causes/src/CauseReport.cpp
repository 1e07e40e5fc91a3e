#include "kumquatbank/causes/CauseReport.h"

#include <algorithm>
#include <tuple>

namespace kumquatbank {

void to_json(nlohmann::json& json, const CauseTotal& total)
{
    json = { { "entry", total.key.entry }, { "owner", total.key.owner },
        { "rank", static_cast<int>(total.key.rank) }, { "database", total.key.database },
        { "place", total.key.place }, { "cause", causeName(total.key.cause) }, { "refused", total.refused },
        { "delayed", total.delayed }, { "lostMs", total.lost.count() } };
}

CauseReport::CauseReport(WallTime from, WallTime to)
    : m_from(from)
    , m_to(to)
{
}

void CauseReport::add(const CauseSource& source)
{
    for (const auto& row : source.rows) {
        if (row.minute < m_from || row.minute >= m_to)
            continue;
        auto& known = m_rows[{ source.run, row.minute, row.key }];
        known.refused = std::max(known.refused, row.refused);
        known.delayed = std::max(known.delayed, row.delayed);
        known.lost = std::max(known.lost, row.lost);
    }
}

std::vector<CauseTotal> CauseReport::totals() const
{
    std::map<CauseKey, CauseTotal> sums;
    for (const auto& [rowKey, row] : m_rows) {
        auto& sum = sums[rowKey.key];
        sum.key = rowKey.key;
        sum.refused += row.refused;
        sum.delayed += row.delayed;
        sum.lost += row.lost;
    }
    std::vector<CauseTotal> totals;
    std::ranges::transform(sums, std::back_inserter(totals), [](const auto& it) { return it.second; });
    std::ranges::stable_sort(totals, std::ranges::greater(),
        [](const CauseTotal& it) { return std::tuple(it.lost, it.refused + it.delayed); });
    return totals;
}

} // namespace kumquatbank
