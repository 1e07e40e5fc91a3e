#pragma once

#include "LoanMessage.h"
#include "ServiceRegistry.h"

namespace kumquatbank {

/// Lends this host's database connections to other hosts, one line channel for each loan at a time. Requests wait in the
/// same queue as those of this host's own clients.
class ConnectionLender {
public:
    ConnectionLender(ServiceRegistry& registry, PoolerMetrics& metrics);

    /// Serves one borrower's channel until it closes.
    Task<void> serve(LineChannel channel);

    /// Refuses new loans from now on; those in use go on.
    void stopLending() { m_isStopping = true; }
    int openLoans() const { return m_openLoans; }

private:
    /// False if the channel is of no further use.
    Task<bool> lend(LineChannel& channel, LoanRequest loanRequest);

    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    bool m_isStopping = false;
    int m_openLoans = 0;
};

} // namespace kumquatbank
