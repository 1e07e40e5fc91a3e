#pragma once

#include "MovingAverage.h"
#include "kumquatbank/core/core.h"

#include <algorithm>

namespace kumquatbank {

/// Rate at which requests leave a non-empty queue for a connection.
class DepartureRate {
public:
    /// Called when the queue becomes non-empty; earlier intervals may no longer be representative.
    void restart(TimePoint now)
    {
        m_intervalSeconds.reset();
        m_lastDepartureAt = now;
    }

    void record(TimePoint now)
    {
        m_intervalSeconds.add(std::chrono::duration<double>(now - m_lastDepartureAt).count());
        m_lastDepartureAt = now;
    }

    /// Average interval between departures in seconds; @p fallback until the first departure. The time since the
    /// last departure is used instead once it exceeds the average.
    double secondsPerDeparture(TimePoint now, double fallback) const
    {
        return std::max(
            m_intervalSeconds.value().value_or(fallback),
            std::chrono::duration<double>(now - m_lastDepartureAt).count());
    }

private:
    MovingAverage m_intervalSeconds;
    TimePoint m_lastDepartureAt;
};

} // namespace kumquatbank
