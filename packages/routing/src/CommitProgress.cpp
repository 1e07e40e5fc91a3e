#include "kumquatbank/routing/CommitProgress.h"

#include <algorithm>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Least time that a refused write is told to wait.
    constexpr milliseconds minWait { 100 };

} // namespace

void CommitProgress::recordSent(BootTime now)
{
    if (m_outstanding == 0 && now - m_lastSent > retention)
        m_unconfirmed = 0;
    if (m_unconfirmed++ == 0)
        m_unconfirmedSince = now;
    ++m_outstanding;
    m_lastSent = now;
}

void CommitProgress::recordAnswered(BootTime now)
{
    m_outstanding = std::max(0, m_outstanding - 1);
    m_unconfirmed = m_outstanding;
    m_unconfirmedSince = now;
    m_refused = 0;
}

void CommitProgress::recordUnanswered() { m_outstanding = std::max(0, m_outstanding - 1); }

void CommitProgress::recordRefused(BootTime now, bool wasSent)
{
    if (wasSent) {
        m_outstanding = std::max(0, m_outstanding - 1);
        m_unconfirmed = std::max(m_outstanding, m_unconfirmed - 1);
    }
    if (now - m_lastRefused > retention)
        m_refused = 0;
    if (m_refused++ == 0)
        m_refusedSince = now;
    m_lastRefused = now;
}

bool CommitProgress::lacksConfirmation(BootTime now) const
{
    const bool isRefused = m_refused >= stallThreshold && now - m_refusedSince >= refusalTime && now - m_lastRefused <= retention;
    return isRefused || isStalled(now);
}

std::optional<milliseconds> CommitProgress::wait(BootTime now) const
{
    if (!isStalled(now))
        return std::nullopt;
    const auto passed = std::chrono::duration_cast<milliseconds>(now - m_lastSent);
    if (m_outstanding == 0 && passed >= trialInterval)
        return std::nullopt;
    return std::clamp(trialInterval - passed, minWait, trialInterval);
}

} // namespace kumquatbank
