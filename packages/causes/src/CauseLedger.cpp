#include "kumquatbank/causes/CauseLedger.h"

#include <map>
#include <mutex>

namespace kumquatbank {

class CauseLedger::Impl {
public:
    explicit Impl(std::size_t maxRows)
        : m_maxRows(maxRows)
    {
    }

    void record(const CauseKey& key, WallTime at, std::uint64_t refused, std::uint64_t delayed, Milliseconds lost)
    {
        const auto minute = std::chrono::floor<std::chrono::minutes>(at);
        const std::scoped_lock lock(m_mutex);
        ++m_changes;
        Minute& rows = m_minutes[minute];
        auto it = rows.find(key);
        if (it == rows.end()) {
            if (!makeRoom(minute)) {
                ++m_lost;
                return;
            }
            it = rows.emplace(key, CauseRow { key, minute, 0, 0, Milliseconds(0) }).first;
            ++m_rows;
        }
        it->second.refused += refused;
        it->second.delayed += delayed;
        it->second.lost += lost;
    }

    std::vector<CauseRow> rows(WallTime from, WallTime to) const
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<CauseRow> result;
        for (auto it = m_minutes.lower_bound(std::chrono::ceil<std::chrono::minutes>(from));
             it != m_minutes.end() && it->first < to; ++it) {
            for (const auto& [key, row] : it->second)
                result.push_back(row);
        }
        return result;
    }

    void markSaved(WallTime before)
    {
        const std::scoped_lock lock(m_mutex);
        m_savedBefore = std::max(m_savedBefore, before);
    }

    WallTime keptSince() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_keptSince;
    }

    std::uint64_t changeCount() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_changes;
    }

    std::uint64_t lostCount() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_lost;
    }

private:
    using Minute = std::map<CauseKey, CauseRow>;

    /// Drops the oldest minutes until one more row fits; false when only @p current is left. The oldest are
    /// also those that were saved, if any were.
    bool makeRoom(std::chrono::sys_seconds current)
    {
        while (m_rows >= m_maxRows) {
            const auto oldest = m_minutes.begin();
            if (oldest->first == current)
                return false;
            if (oldest->first >= m_savedBefore) {
                for (const auto& [key, row] : oldest->second)
                    m_lost += row.refused + row.delayed;
            }
            m_rows -= oldest->second.size();
            m_keptSince = oldest->first + std::chrono::minutes(1);
            m_minutes.erase(oldest);
        }
        return true;
    }

    mutable std::mutex m_mutex;
    std::size_t m_maxRows;
    std::map<std::chrono::sys_seconds, Minute> m_minutes;
    std::size_t m_rows = 0;
    WallTime m_savedBefore;
    WallTime m_keptSince;
    std::uint64_t m_changes = 0;
    std::uint64_t m_lost = 0;
};

CauseLedger::CauseLedger(std::size_t maxRows)
    : m_impl(std::make_unique<Impl>(maxRows))
{
}

CauseLedger::~CauseLedger() = default;

void CauseLedger::recordRefusal(const CauseKey& key, Milliseconds lost, WallTime at)
{
    m_impl->record(key, at, 1, 0, lost);
}

void CauseLedger::recordDelay(const CauseKey& key, Milliseconds lost, WallTime at)
{
    m_impl->record(key, at, 0, 1, lost);
}

std::vector<CauseRow> CauseLedger::rows(WallTime from, WallTime to) const { return m_impl->rows(from, to); }
void CauseLedger::markSaved(WallTime before) { m_impl->markSaved(before); }
WallTime CauseLedger::keptSince() const { return m_impl->keptSince(); }
std::uint64_t CauseLedger::changeCount() const { return m_impl->changeCount(); }
std::uint64_t CauseLedger::lostCount() const { return m_impl->lostCount(); }

} // namespace kumquatbank
