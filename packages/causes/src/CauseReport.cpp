#include "kumquatbank/causes/CauseReport.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace kumquatbank {

void to_json(nlohmann::json& json, const CauseTotal& total)
{
    json = { { "entry", total.key.entry }, { "owner", total.key.owner }, { "rank", static_cast<int>(total.key.rank) },
        { "database", total.key.database }, { "place", total.key.place }, { "cause", causeName(total.key.cause) },
        { "refused", total.refused }, { "delayed", total.delayed }, { "lostMs", total.lost.count() },
        { "firstMinute", total.firstMinute.time_since_epoch().count() },
        { "lastMinute", total.lastMinute.time_since_epoch().count() } };
}

void CauseReport::add(const CauseBatch& batch, WallTime from, WallTime to)
{
    std::vector<CauseRow> rows;
    std::ranges::copy_if(batch.rows, std::back_inserter(rows),
        [&](const auto& row) { return row.minute >= from && row.minute < to; });
    Run& run = m_rowsByRun[batch.process.address.toString() + "-" + std::to_string(batch.process.incarnation)];
    run.rows = mergeCopies(run.rows, rows);
    run.omitted += batch.omitted;
}

std::vector<CauseTotal> CauseReport::totals() const
{
    std::map<CauseKey, CauseTotal> byKey;
    for (const auto& [name, run] : m_rowsByRun) {
        for (const auto& row : run.rows) {
            const auto [it, isNew] = byKey.try_emplace(row.key);
            CauseTotal& total = it->second;
            if (isNew)
                total = { row.key, 0, 0, Milliseconds(0), row.minute, row.minute };
            total.refused += row.refused;
            total.delayed += row.delayed;
            total.lost += row.lost;
            total.firstMinute = std::min(total.firstMinute, row.minute);
            total.lastMinute = std::max(total.lastMinute, row.minute);
        }
    }
    std::vector<CauseTotal> result;
    for (auto& [key, total] : byKey)
        result.push_back(std::move(total));
    std::ranges::stable_sort(result, std::greater {}, &CauseTotal::lost);
    return result;
}

std::size_t CauseReport::omittedCount() const
{
    return std::accumulate(m_rowsByRun.begin(), m_rowsByRun.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& it) { return sum + it.second.omitted; });
}

} // namespace kumquatbank
