#include "kumquatbank/causes/CauseLedger.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace kumquatbank {

namespace {

    // An object on the platform holds at most 1 MB; a row takes about 250 bytes there.
    constexpr std::size_t maxRowsPerHour = 3500;

    // A day of quiet hours and a long platform outage fit; about 10 MB.
    constexpr std::size_t maxRows = 40'000;

    // Stands for the keys of an hour that has too many of them.
    constexpr const char* overflowName = "(others)";

    std::chrono::sys_seconds minuteOf(WallTime time) { return std::chrono::floor<std::chrono::minutes>(time); }

    CauseHour hourOf(std::chrono::sys_seconds minute) { return std::chrono::floor<std::chrono::hours>(minute); }

} // namespace

class CauseLedger::Impl {
public:
    void add(CauseKey key, bool isRefusal, Milliseconds lost);

    struct HourRecord {
        std::uint64_t changeCount = 0;
        std::uint64_t savedCount = 0;
        std::map<std::pair<std::chrono::sys_seconds, CauseKey>, CauseRow> rows;
    };

    mutable std::mutex mutex;
    std::map<CauseHour, HourRecord> hours;

private:
    void makeRoom();

    std::size_t m_rowCount = 0;
};

void CauseLedger::Impl::add(CauseKey key, bool isRefusal, Milliseconds lost)
{
    const auto minute = minuteOf(WallClock::now());
    const std::lock_guard lock(mutex);
    auto& hour = hours[hourOf(minute)];
    if (hour.rows.size() >= maxRowsPerHour && !hour.rows.contains({ minute, key })) {
        // Rank and cause are kept; entry, owner, database and place are merged under one name.
        key.entry = key.owner = key.database = key.place = overflowName;
    }
    const auto [it, isNew] = hour.rows.try_emplace({ minute, key });
    if (isNew) {
        it->second.key = std::move(key);
        it->second.minute = minute;
        ++m_rowCount;
    }
    ++(isRefusal ? it->second.refused : it->second.delayed);
    it->second.lost += lost;
    ++hour.changeCount;
    makeRoom();
}

void CauseLedger::Impl::makeRoom()
{
    while (m_rowCount > maxRows && hours.size() > 1) {
        const auto saved = std::ranges::find_if(
            hours, [](const auto& it) { return it.second.savedCount == it.second.changeCount; });
        const auto victim = saved == hours.end() || std::next(saved) == hours.end() ? hours.begin() : saved;
        m_rowCount -= victim->second.rows.size();
        hours.erase(victim);
    }
}

CauseLedger::CauseLedger()
    : m_impl(std::make_unique<Impl>())
{
}

CauseLedger::~CauseLedger() = default;

void CauseLedger::recordRefusal(const CauseKey& key, Milliseconds lost) { m_impl->add(key, true, lost); }

void CauseLedger::recordDelay(const CauseKey& key, Milliseconds lost) { m_impl->add(key, false, lost); }

std::vector<CauseRow> CauseLedger::rows(WallTime from, WallTime to) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<CauseRow> rows;
    for (const auto& [start, hour] : m_impl->hours) {
        for (const auto& [key, row] : hour.rows) {
            if (row.minute >= from && row.minute < to)
                rows.push_back(row);
        }
    }
    return rows;
}

std::vector<CauseLedger::Hour> CauseLedger::unsavedHours() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<Hour> unsaved;
    for (const auto& [start, hour] : m_impl->hours) {
        if (hour.changeCount == hour.savedCount)
            continue;
        Hour copy { start, hour.changeCount, {} };
        std::ranges::transform(
            hour.rows, std::back_inserter(copy.rows), [](const auto& it) { return it.second; });
        unsaved.push_back(std::move(copy));
    }
    return unsaved;
}

void CauseLedger::markSaved(const Hour& hour)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto it = m_impl->hours.find(hour.start);
    if (it != m_impl->hours.end())
        it->second.savedCount = std::max(it->second.savedCount, hour.changeCount);
}

} // namespace kumquatbank
