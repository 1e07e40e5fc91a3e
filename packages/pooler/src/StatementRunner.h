#pragma once

#include "TransactionRunner.h"

namespace kumquatbank {

/// Runs the statements of one session: finds the route, determines the minimum position, acquires a connection,
/// restores the session state on it, retries, and reports the outcome, including writes in doubt. Runs one statement at
/// a time.
class StatementRunner {
public:
    StatementRunner(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics);

    StatementRunner(const StatementRunner&) = delete;
    StatementRunner& operator=(const StatementRunner&) = delete;

    Task<StatementAnswer> run(const std::string& database, const std::string& id, const Statement& statement);

    TransactionState transactionState() const { return m_transaction.state(); }
    bool isInTransaction() const { return m_transaction.isOpen(); }
    /// Aborts an open transaction whose client exceeded the idle limit; the next statement reports it.
    void abortIdleTransaction() { m_transaction.abortIdle(); }
    /// Returns the idle limit inside a transaction; empty if there is none.
    std::optional<std::chrono::milliseconds> idleLimit() const;

private:
    Task<StatementAnswer> runSingle(const Route& route, const std::string& id, const Statement& statement);
    Task<AttemptResult> attempt(const Route& route, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    Task<AttemptResult> attemptOn(ConnectionLease& lease, const Route& route, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    Task<AttemptResult> beginPrimaryRead(ConnectionLease& lease, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    AttemptResult handleFailure(ConnectionLease& lease, bool writes, std::set<std::string>& excluded, StatementAnswer& answer);

    ServiceRegistry& m_registry;
    SessionContext m_context;
    TransactionRunner m_transaction;
};

} // namespace kumquatbank
