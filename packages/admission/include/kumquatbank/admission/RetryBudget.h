#pragma once

#include "kumquatbank/core/core.h"

#include <memory>

namespace kumquatbank {

/// Limits retries to a fraction of the first tries within a sliding window. Thread-safe.
class RetryBudget {
public:
    /// @param share retries per first try, for example 0.1. @param window period over which tries are counted.
    explicit RetryBudget(double share = 0.1, Milliseconds window = Milliseconds(10'000));
    ~RetryBudget();
    RetryBudget(const RetryBudget&) = delete;
    RetryBudget& operator=(const RetryBudget&) = delete;

    void recordFirstTry();

    /// Counts one more retry and returns true if the budget allows it.
    bool tryRetry();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
