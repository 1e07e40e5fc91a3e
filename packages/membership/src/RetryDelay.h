#pragma once

#include "kumquatbank/core/core.h"

#include <algorithm>
#include <random>

namespace kumquatbank {

/// Exponential backoff with full jitter: a random time up to a limit that doubles with each failure, so that
/// processes that failed together do not return together. Not thread-safe.
class RetryDelay {
public:
    RetryDelay(Milliseconds min, Milliseconds max, std::uint64_t seed)
        : m_max(max)
        , m_limit(min)
        , m_random(seed)
    {
    }

    /// Time to wait after one more failure.
    Milliseconds next()
    {
        std::uniform_int_distribution<std::int64_t> wait(0, m_limit.count());
        m_limit = std::min(m_limit * 2, m_max);
        return Milliseconds(wait(m_random));
    }

private:
    Milliseconds m_max;
    Milliseconds m_limit;
    std::mt19937_64 m_random;
};

} // namespace kumquatbank
