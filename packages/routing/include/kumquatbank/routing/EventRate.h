#pragma once

#include "kumquatbank/core/BootClock.h"

#include <cmath>

namespace kumquatbank {

/// Rate of events, smoothed exponentially.
class EventRate {
public:
    void add(double events, BootTime now)
    {
        m_count = decayedCount(now) + events;
        m_updatedAt = now;
    }

    double perSecond(BootTime now) const { return decayedCount(now) / timeConstant.count(); }

private:
    static constexpr std::chrono::duration<double> timeConstant { 0.5 };

    double decayedCount(BootTime now) const { return m_count == 0 ? 0 : m_count * std::exp(-std::chrono::duration<double>(now - m_updatedAt) / timeConstant); }

    double m_count = 0;
    BootTime m_updatedAt {};
};

} // namespace kumquatbank
