#include "RetryPolicy.h"

namespace kumquatbank {

namespace {

    // First tries that earn one retry, and the span over which RetryBudget counts them.
    constexpr std::size_t triesPerRetry = 10;
    constexpr Milliseconds window { 10'000 };

    constexpr Milliseconds freeRetrySpacing { 1000 };

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
    const bool isQuiet = m_firstTries.size() < triesPerRetry || now - m_firstTries.front() > window;
    if (!isQuiet || now - m_lastFreeRetry < freeRetrySpacing)
        return false;
    m_lastFreeRetry = now;
    return true;
}

} // namespace kumquatbank
