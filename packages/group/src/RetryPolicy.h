#pragma once

#include "kumquatbank/admission/admission.h"

#include <deque>
#include <mutex>

namespace kumquatbank {

/// Decides whether a request may be sent to an endpoint again, within a retry budget of 10% of the first tries. An
/// endpoint whose traffic is too low for the budget to allow any retry is allowed one per second. Thread-safe.
class RetryPolicy {
public:
    void recordFirstTry();

    /// Returns true and counts the retry when one more retry is allowed.
    bool tryRetry();

private:
    RetryBudget m_budget;
    std::mutex m_mutex;
    std::deque<TimePoint> m_firstTries; ///< The last first tries, up to the number per budgeted retry.
    TimePoint m_lastUnbudgetedRetry {};
};

} // namespace kumquatbank
