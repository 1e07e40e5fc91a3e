#pragma once

#include "MovingAverage.h"
#include "kumquatbank/core/core.h"

#include <algorithm>

namespace kumquatbank {

/// Pace at which a queue hands requests to connections while it is not empty.
class DepartureRate {
public:
    /// Called when the queue stops being empty: what was measured before may no longer hold.
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

    /// Seconds per request; @p fallback until a departure was seen. A gap in progress counts once it is
    /// longer than the average.
    double secondsPerDeparture(TimePoint now, double fallback) const
    {
        return std::max(m_intervalSeconds.value().value_or(fallback), std::chrono::duration<double>(now - m_lastDepartureAt).count());
    }

private:
    MovingAverage m_intervalSeconds;
    TimePoint m_lastDepartureAt;
};

} // namespace kumquatbank
