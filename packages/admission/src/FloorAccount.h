#pragma once

#include "kumquatbank/core/core.h"

#include <algorithm>

namespace kumquatbank {

/// Tells when a rank or an entry has the right to its next connection under its floor. Works like a token
/// bucket in connection time: every start moves the due time forward by service time / floor connections, so
/// a backlogged holder of the account receives its floor in connection time, whatever its service times are.
class FloorAccount {
public:
    /// Called when the first request starts waiting; time without work earns nothing.
    void activate(TimePoint now) { m_due = std::max(m_due, now); }

    TimePoint due() const { return m_due; }

    /// Accounts for one start. @param connections the floor as a number of connections, greater than 0.
    void charge(TimePoint now, Clock::duration service, double connections)
    {
        using Seconds = std::chrono::duration<double>;
        const auto cost
            = std::chrono::duration_cast<Clock::duration>(Seconds(Seconds(service).count() / connections));
        // Use of spare capacity is not held against a later floor for more than one request.
        m_due = std::clamp(m_due, now - maxCatchUp, now + cost) + cost;
    }

private:
    /// Longest arrears that are made up for. A longer burst would delay urgent work noticeably: 100 ms of a
    /// 20% floor take all connections for 20 ms.
    static constexpr Milliseconds maxCatchUp { 100 };

    TimePoint m_due;
};

} // namespace kumquatbank
