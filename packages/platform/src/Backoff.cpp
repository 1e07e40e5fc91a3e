#include "Backoff.h"

#include <algorithm>

namespace kumquatbank {

Backoff::Backoff(Milliseconds minimum, Milliseconds maximum, std::uint64_t seed)
    : m_minimum(minimum)
    , m_maximum(maximum)
    , m_random(seed)
{
}

void Backoff::recordSuccess()
{
    m_failures = 0;
    m_retryAt = {};
}

void Backoff::recordFailure(TimePoint startedAt, TimePoint now)
{
    if (m_failures > 0 && startedAt < m_retryAt)
        return;
    constexpr unsigned maxDoublings = 30; // Keeps the shift within range; the maximum applies long before.
    ++m_failures;
    const auto factor = Milliseconds::rep(1) << std::min(m_failures, maxDoublings);
    const auto limit = std::min(m_maximum, m_minimum * factor);
    std::uniform_int_distribution<Milliseconds::rep> distribution(0, limit.count());
    m_retryAt = now + Milliseconds(distribution(m_random));
}

} // namespace kumquatbank
