#pragma once

#include "LoanMessage.h"
#include "ServiceRegistry.h"

namespace kumquatbank {

/// Lends database connections of this host to other hosts. A line channel carries one loan at a time. Requests of other
/// hosts wait in the same queue as requests of this host's own clients.
class ConnectionLender {
public:
    ConnectionLender(ServiceRegistry& registry, PoolerMetrics& metrics);

    /// Serves the channel of one borrower until it closes.
    Task<void> serve(LineChannel channel);

    /// Refuses new loans from now on; open loans continue.
    void stopLending() { m_isStopping = true; }
    int openLoans() const { return m_openLoans; }

private:
    /// Handles one request. Returns false if the channel can no longer be used.
    Task<bool> lend(LineChannel& channel, LoanRequest loanRequest);

    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    bool m_isStopping = false;
    int m_openLoans = 0;
};

} // namespace kumquatbank
