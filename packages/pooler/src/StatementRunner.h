#pragma once

#include "TransactionRunner.h"

namespace kumquatbank {

/// Takes a statement from its session to an endpoint and back: route, floor, connection, session state, retries, and
/// the answer that is true in each case. One object a session, which runs one statement at a time.
class StatementRunner {
public:
    StatementRunner(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics);

    StatementRunner(const StatementRunner&) = delete;
    StatementRunner& operator=(const StatementRunner&) = delete;

    Task<StatementAnswer> run(const std::string& database, const std::string& id, const Statement& statement);

    TransactionState transactionState() const { return m_transaction.state(); }
    bool isInTransaction() const { return m_transaction.isOpen(); }
    /// Ends an open transaction whose client rests for too long; the next statement is told.
    void abortIdleTransaction() { m_transaction.abortIdle(); }
    /// Longest pause inside a transaction that is allowed now.
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
