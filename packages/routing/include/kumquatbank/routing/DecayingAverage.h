#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatbank {

/// Exponentially smoothed duration that decays towards zero while no samples arrive, so that an endpoint that was slow
/// is tried again.
template <typename Clock>
class DecayingAverage {
public:
    using TimePoint = typename Clock::time_point;
    using Duration = std::chrono::duration<double, std::micro>;

    void add(Duration sample, TimePoint now)
    {
        const auto decayed = at(now);
        // The first sample after a long pause has full weight.
        const double sampleWeight = std::max(minSampleWeight, 1.0 - decayFactor(now));
        m_value = decayed + (sample - decayed) * sampleWeight;
        m_updatedAt = now;
    }

    Duration at(TimePoint now) const { return m_value * decayFactor(now); }

private:
    static constexpr double minSampleWeight = 1.0 / 8;
    static constexpr std::chrono::milliseconds halfLife { 1000 };

    double decayFactor(TimePoint now) const { return std::exp2(-Duration(now - m_updatedAt) / Duration(halfLife)); }

    Duration m_value { 0 };
    TimePoint m_updatedAt {};
};

} // namespace kumquatbank
