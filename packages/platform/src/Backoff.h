#pragma once

#include "kumquatbank/core/core.h"

#include <cstdint>
#include <random>

namespace kumquatbank {

/// Exponential backoff with full jitter: after the n-th failure in a row, calls are held back for a time drawn
/// evenly from 0 to minimum * 2^n, at most the maximum. Not thread-safe.
class Backoff {
public:
    Backoff(Milliseconds minimum, Milliseconds maximum, std::uint64_t seed);

    /// True when a call may be made at time @p now.
    bool allows(TimePoint now) const { return now >= m_retryAt; }
    TimePoint retryAt() const { return m_retryAt; }
    bool isFailing() const { return m_failures > 0; }

    void recordSuccess();

    /// A call begun at @p startedAt failed at @p now. Calls begun before the present backoff belong to a failure
    /// already counted and do not lengthen it.
    void recordFailure(TimePoint startedAt, TimePoint now);

private:
    Milliseconds m_minimum;
    Milliseconds m_maximum;
    std::mt19937_64 m_random;
    unsigned m_failures = 0;
    TimePoint m_retryAt {};
};

} // namespace kumquatbank
