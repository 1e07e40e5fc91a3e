#pragma once

#include "MovingAverage.h"
#include "kumquatbank/core/core.h"

#include <algorithm>

namespace kumquatbank {

/// Pace at which a queue hands requests to connections while it is not empty.
class Departures {
public:
    /// Called when the queue stops being empty: what was measured before may no longer hold.
    void restart(TimePoint now)
    {
        m_gap.reset();
        m_last = now;
    }

    void record(TimePoint now)
    {
        m_gap.add(std::chrono::duration<double>(now - m_last).count());
        m_last = now;
    }

    /// Seconds per request; @p fallback until a departure was seen. A gap in progress counts once it is
    /// longer than the average.
    double secondsEach(TimePoint now, double fallback) const
    {
        return std::max(m_gap.value().value_or(fallback), std::chrono::duration<double>(now - m_last).count());
    }

private:
    MovingAverage m_gap;
    TimePoint m_last;
};

} // namespace kumquatbank
