#pragma once

namespace kumquatbank {

/// Bounds the attempts that the proxy adds to the load of a service by sending statements again: at most a tenth of the
/// statements, and a few more at once. Without it, endpoints that fail because they are overloaded get several times the
/// load.
class ServiceRetryBudget {
public:
    /// Records a statement, before its first attempt.
    void recordStatement();
    /// Takes one further attempt; false if the budget is used up.
    bool takeRetry();

private:
    /// Retries that one statement pays for.
    static constexpr double retriesPerStatement = 0.1;
    /// Largest number of retries in a row: a broken endpoint fails all statements that it has at the moment, and they must
    /// find another one. Not more, so that a quiet hour does not pay for a storm.
    static constexpr double maxRetries = 10.0;
    /// Retries that a process may make before its first statements have paid for any.
    static constexpr double initialRetries = 3.0;

    double m_retries = initialRetries;
};

} // namespace kumquatbank
