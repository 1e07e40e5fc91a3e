#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatbank {

/// Smoothed durations that are forgotten while no new ones come, so that whatever was slow is tried again.
template <typename Clock>
class FadingAverage {
public:
    using TimePoint = typename Clock::time_point;
    using Duration = std::chrono::duration<double, std::micro>;

    void add(Duration sample, TimePoint now)
    {
        const auto faded = at(now);
        // The first sample after a long pause counts in full.
        const double weight = std::max(newSampleWeight, 1.0 - fadingSince(now));
        m_value = faded + (sample - faded) * weight;
        m_changedAt = now;
    }

    Duration at(TimePoint now) const { return m_value * fadingSince(now); }

private:
    static constexpr double newSampleWeight = 1.0 / 8;
    static constexpr std::chrono::milliseconds halfLife { 1000 };

    double fadingSince(TimePoint now) const { return std::exp2(-Duration(now - m_changedAt) / Duration(halfLife)); }

    Duration m_value { 0 };
    TimePoint m_changedAt {};
};

} // namespace kumquatbank
