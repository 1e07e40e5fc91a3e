#include "RetryPolicy.h"

namespace kumquatbank {

namespace {

    // Number of first tries per budgeted retry, and the time over which RetryBudget counts them.
    constexpr std::size_t triesPerRetry = 10;
    constexpr Milliseconds window { 10'000 };

    constexpr Milliseconds unbudgetedRetryInterval { 1000 };

} // namespace

void RetryPolicy::recordFirstTry()
{
    m_budget.recordFirstTry();
    const std::scoped_lock lock(m_mutex);
    m_firstTries.push_back(Clock::now());
    if (m_firstTries.size() > triesPerRetry)
        m_firstTries.pop_front();
}

bool RetryPolicy::tryRetry()
{
    if (m_budget.tryRetry())
        return true;
    const std::scoped_lock lock(m_mutex);
    const auto now = Clock::now();
    const bool hasLowTraffic = m_firstTries.size() < triesPerRetry || now - m_firstTries.front() > window;
    if (!hasLowTraffic || now - m_lastUnbudgetedRetry < unbudgetedRetryInterval)
        return false;
    m_lastUnbudgetedRetry = now;
    return true;
}

} // namespace kumquatbank
