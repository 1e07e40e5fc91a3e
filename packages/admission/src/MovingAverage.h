#pragma once

#include <optional>

namespace kumquatbank {

/// Exponentially weighted moving average; empty until the first sample.
class MovingAverage {
public:
    void add(double sample) { m_value = m_value ? *m_value + sampleWeight * (sample - *m_value) : sample; }
    std::optional<double> value() const { return m_value; }
    void reset() { m_value.reset(); }

private:
    /// Averages over about the last 20 samples: enough to smooth single slow requests, few enough to follow a
    /// change of the workload within a second at 20 requests/s.
    static constexpr double sampleWeight = 0.1;

    std::optional<double> m_value;
};

} // namespace kumquatbank
