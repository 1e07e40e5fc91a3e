#include "CallBudget.h"

#include <algorithm>

namespace kumquatbank {

CallBudget::CallBudget(double callsPerSecond)
    : m_callsPerSecond(callsPerSecond)
    , m_capacity(std::max(1.0, callsPerSecond))
    , m_tokens(m_capacity)
    , m_filledAt(Clock::now())
{
}

bool CallBudget::take(TimePoint now)
{
    const std::chrono::duration<double> elapsed = std::max(now - m_filledAt, Clock::duration(0));
    m_tokens = std::min(m_capacity, m_tokens + elapsed.count() * m_callsPerSecond);
    m_filledAt = std::max(now, m_filledAt);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace kumquatbank
