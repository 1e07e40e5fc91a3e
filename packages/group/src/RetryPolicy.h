#pragma once

#include "kumquatbank/admission/admission.h"

#include <deque>
#include <mutex>

namespace kumquatbank {

/// Decides whether a request may be sent to an endpoint again: within the budget of 10% of the first tries.
/// An endpoint with so little traffic that the budget allows no retry at all gets one a second. Thread-safe.
class RetryPolicy {
public:
    void recordFirstTry();

    /// True, and counted, when one more retry is allowed.
    bool tryRetry();

private:
    RetryBudget m_budget;
    std::mutex m_mutex;
    std::deque<TimePoint> m_firstTries; ///< The last ones, as many as earn one retry.
    TimePoint m_lastUnbudgetedRetry {};
};

} // namespace kumquatbank
