#pragma once

#include "kumquatbank/core/core.h"

#include <mutex>

namespace kumquatbank {

/// Measures the interruption of writes by a failover: the time between the last confirmed write of one term and the
/// first one of a greater term. Thread-safe.
class FailoverGap {
public:
    void recordConfirmedWrite(Term term)
    {
        const auto now = Clock::now();
        const std::scoped_lock lock(m_mutex);
        if (term < m_term)
            return;
        if (m_term != 0 && term > m_term)
            m_last = std::chrono::duration_cast<Milliseconds>(now - m_lastWriteAt);
        m_term = term;
        m_lastWriteAt = now;
    }

    /// The latest gap; zero before the first failover.
    Milliseconds last() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_last;
    }

private:
    mutable std::mutex m_mutex;
    Term m_term = 0;
    TimePoint m_lastWriteAt {};
    Milliseconds m_last { 0 };
};

} // namespace kumquatbank
