#pragma once

#include "kumquatbank/core/BootClock.h"

#include <map>

namespace kumquatbank {

/// The greatest of the values that were recorded within a retention time.
class RecentMaximum {
public:
    explicit RecentMaximum(std::chrono::milliseconds retention)
        : m_retention(retention)
    {
    }

    void record(int value, BootTime now)
    {
        m_recordedAt[value] = now;
        std::erase_if(m_recordedAt, [&](const auto& item) { return item.second + m_retention <= now; });
    }

    /// 0 if there is none.
    int at(BootTime now)
    {
        std::erase_if(m_recordedAt, [&](const auto& item) { return item.second + m_retention <= now; });
        return m_recordedAt.empty() ? 0 : m_recordedAt.rbegin()->first;
    }

private:
    std::chrono::milliseconds m_retention;
    std::map<int, BootTime> m_recordedAt; ///< Time of the last record of each value.
};

} // namespace kumquatbank
