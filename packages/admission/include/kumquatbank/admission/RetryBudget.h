#pragma once

#include "kumquatbank/core/core.h"

#include <memory>

namespace kumquatbank {

/// Allows retries up to a share of the first tries of the last seconds. Thread-safe.
class RetryBudget {
public:
    /// @param share retries per first try, for example 0.1. @param window span over which tries are counted.
    explicit RetryBudget(double share = 0.1, Milliseconds window = Milliseconds(10'000));
    ~RetryBudget();
    RetryBudget(const RetryBudget&) = delete;
    RetryBudget& operator=(const RetryBudget&) = delete;

    void recordFirstTry();

    /// True, and counted, when one more retry fits the budget.
    bool tryRetry();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
