#pragma once

#include "LoanMessage.h"
#include "ServiceRegistry.h"
#include "kumquatbank/routing/StopSchedule.h"

namespace kumquatbank {

class Loan;

class LimitService;

/// Lends database connections of this host to other hosts. A line channel carries one loan at a time. Requests of other
/// hosts wait in the same queue as requests of this host's own clients. Requests for limits arrive at the same address and
/// are passed on.
class ConnectionLender {
public:
    ConnectionLender(ServiceRegistry& registry, LimitService& limits, PoolerMetrics& metrics);

    /// Serves the channel of one borrower until it closes.
    Task<void> serve(LineChannel channel);

    /// Sets how many channels of borrowers may be open.
    void setChannelLimit(std::size_t channels) { m_channelLimit = channels; }
    /// Refuses new loans from now on; open loans continue.
    void stopLending(const StopSchedule& schedule) { m_stop = schedule; }
    /// Ends the idle loans whose next statement could no longer be run before this host stops.
    void closeUnusableLoans();
    std::size_t openLoans() const { return m_loans.size(); }

private:
    /// Acquires a connection without values of another session. A connection that cannot be reset is closed, and another one
    /// acquired. @p isAnnounced: the borrower has been told that its request may wait.
    Task<tl::expected<ConnectionLease, AcquireFailure>> acquireReset(LineChannel& channel, std::shared_ptr<DatabaseService> service, ConnectionRequest request, bool isAnnounced);
    /// Handles one request. Returns false if the channel can no longer be used.
    Task<bool> lend(LineChannel& channel, LoanRequest loanRequest);

    class BorrowerChannel;
    /// Closes the channel without a loan that has waited longest if there are too many. Returns false if there is none.
    bool makeRoom();

    ServiceRegistry& m_registry;
    LimitService& m_limits;
    PoolerMetrics& m_metrics;
    std::optional<StopSchedule> m_stop;
    std::set<Loan*> m_loans;
    std::set<BorrowerChannel*> m_channels;
    std::size_t m_channelLimit = 4096;
};

} // namespace kumquatbank
