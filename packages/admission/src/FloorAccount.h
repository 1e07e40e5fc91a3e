#pragma once

#include "kumquatbank/core/core.h"

#include <algorithm>

namespace kumquatbank {

/// Computes when a rank or an entry is due its next connection under its floor. Works like a token bucket in
/// connection time: every start moves the due time forward by service time / floor connections, so that a
/// backlogged rank or entry receives its floor in connection time regardless of its service times.
class FloorAccount {
public:
    /// Called when the first request starts waiting; no credit accrues while there is no demand.
    void activate(TimePoint now) { m_due = std::max(m_due, now); }

    TimePoint due() const { return m_due; }

    /// Accounts for one start. @param connections the floor as a number of connections, greater than 0.
    void charge(TimePoint now, Clock::duration service, double connections)
    {
        using Seconds = std::chrono::duration<double>;
        const auto cost
            = std::chrono::duration_cast<Clock::duration>(Seconds(Seconds(service).count() / connections));
        // Limits the debt from use of spare capacity to one request, so that it does not reduce a later floor.
        m_due = std::clamp(m_due, now - maxCatchUp, now + cost) + cost;
    }

private:
    /// Maximum credit for time below the floor. A longer burst would delay urgent requests noticeably: 100 ms of
    /// a 20% floor occupy all connections for 20 ms.
    static constexpr Milliseconds maxCatchUp { 100 };

    TimePoint m_due;
};

} // namespace kumquatbank
