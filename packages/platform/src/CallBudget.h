#pragma once

#include "kumquatbank/core/core.h"

namespace kumquatbank {

/// Token bucket that admits at most a number of calls a second. Not thread-safe.
class CallBudget {
public:
    /// Starts full; holds the tokens of one second, at least one.
    explicit CallBudget(double callsPerSecond);

    /// Takes one token at time @p now; false when none is left.
    bool take(TimePoint now);

private:
    double m_callsPerSecond;
    double m_capacity;
    double m_tokens;
    TimePoint m_filledAt;
};

} // namespace kumquatbank
