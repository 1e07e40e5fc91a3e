#pragma once

#include "kumquatbank/core/core.h"

#include <cmath>
#include <cstddef>

namespace kumquatbank {

/// Connections that less urgent ranks leave free for rank 1, so that a rank 1 request is rarely blocked by long
/// requests of lower ranks. The reserve follows the recent use by rank 1 and is limited so that the expected idle
/// fraction of the capacity stays within a budget. Without rank 1 traffic nothing is reserved.
class UrgentReserve {
public:
    /// @param idleBudget fraction of the capacity that may be idle on average, for example 0.04.
    explicit UrgentReserve(double idleBudget)
        : m_idleBudget(idleBudget)
    {
    }

    /// Called before the number of running rank 1 requests changes from @p running.
    void observe(TimePoint now, std::size_t running)
    {
        m_average = averageAt(now, running);
        m_observedAt = now;
    }

    /// Number of connections to keep free now, given @p running rank 1 requests.
    std::size_t connectionsToKeepFree(TimePoint now, std::size_t running, std::size_t capacity) const
    {
        // With few connections, a reserve above a quarter of the capacity would leave lower ranks too little.
        const std::size_t limit = capacity / 4;
        if (running >= limit || m_idleBudget <= 0)
            return 0;
        const double average = averageAt(now, running);
        // With Poisson arrivals, the number n of connections in use is Poisson distributed, and the expected idle
        // part of a reserve of r connections is E[max(0, r - n)] = sum of P(n <= k) for k < r.
        double probability = std::exp(-average); // P(n = k)
        double cumulative = probability; // P(n <= k)
        double expectedIdle = cumulative;
        std::size_t reserve = 0;
        while (reserve < limit && expectedIdle <= m_idleBudget * static_cast<double>(capacity)) {
            ++reserve;
            probability *= average / static_cast<double>(reserve);
            cumulative += probability;
            expectedIdle += cumulative;
        }
        return reserve > running ? reserve - running : 0;
    }

private:
    /// Time constant in seconds: smooths arrivals, but releases the reserve soon after the traffic ends.
    static constexpr std::chrono::duration<double> averagingWindow { 2.0 };

    double averageAt(TimePoint now, std::size_t running) const
    {
        const std::chrono::duration<double> elapsed = now - m_observedAt;
        const auto current = static_cast<double>(running);
        return current + (m_average - current) * std::exp(-elapsed / averagingWindow);
    }

    double m_idleBudget;
    double m_average = 0;
    TimePoint m_observedAt;
};

} // namespace kumquatbank
