#pragma once

#include "kumquatbank/core/BootClock.h"

#include <algorithm>

namespace kumquatbank {

/// Dates what a process receives. What it handles may have waited in the kernel for as long as the process was suspended or
/// busy, so that the time of handling says nothing about when it was true. While the event loop runs, it looks for input
/// often; what it handles has arrived after the last time that it found none.
class ArrivalBound {
public:
    /// Records that the event loop runs. To be called at short intervals.
    void recordTick(BootTime now)
    {
        m_previousTick = m_lastTick;
        m_lastTick = now;
    }

    /// Latest time at which what is handled now is known not to have arrived yet. The tick before the last one counts, because
    /// the last one may have run in the same turn of the loop, after a suspension.
    /// @param requestedAt  when the request was sent that is answered.
    BootTime at(BootTime requestedAt) const { return std::max(requestedAt, m_previousTick); }

private:
    BootTime m_lastTick {};
    BootTime m_previousTick {};
};

} // namespace kumquatbank
