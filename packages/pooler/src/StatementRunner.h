#pragma once

#include "TransactionRunner.h"

namespace kumquatbank {

/// Runs the statements of one session: finds the route, determines the minimum position, acquires a connection,
/// restores the session state on it, retries, and reports the outcome, including writes in doubt. Runs one statement at
/// a time.
class StatementRunner {
public:
    /// @p tracker must outlive this object.
    StatementRunner(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics, const SessionTracker& tracker);

    void setMemoryHolder(MemoryHolder& holder) { m_context.setMemoryHolder(holder); }
    std::size_t stateBytes() const { return m_context.state().bytes; }
    void setKey(std::optional<KeyDigest> key) { m_context.setKey(std::move(key)); }
    /// Sets the watch of the client's connection, which must outlive this object.
    void setClientWatch(DisconnectWatch& watch) { m_context.setClientWatch(watch); }

    StatementRunner(const StatementRunner&) = delete;
    StatementRunner& operator=(const StatementRunner&) = delete;

    Task<StatementAnswer> run(const std::string& database, const std::string& id, const Statement& statement);

    TransactionState transactionState() const { return m_transaction.state(); }
    bool isInTransaction() const { return m_transaction.isOpen(); }
    /// Aborts an open transaction between two statements; the next one reports the reason. Returns false if there is none.
    bool abortTransaction(std::string_view reason) { return m_transaction.abort(reason); }
    /// Aborts the open transaction if its client's access was withdrawn and the grace period is over. Returns false if it goes
    /// on, or if there is none.
    bool abortIfWithdrawn() { return m_transaction.abortIfWithdrawn(); }
    /// Aborts the open transaction if none of its statements could be run any more before the process stops. Returns false
    /// if it goes on, or if there is none.
    bool abortIfStopping();
    /// Returns the answer to a statement that has no result at the end of the session: what is known of its outcome.
    /// @p reason: why the session ends.
    StatementAnswer describeUnfinished(const ClientMessage& message, std::string_view reason) const;
    /// Returns the answer to a request that arrived behind an unfinished one and is not run either. @p state: of the session
    /// after the answer before.
    static StatementAnswer refuseBehindUnfinished(const ClientMessage& message, TransactionState state, std::string_view reason);
    /// Returns the refusal of a statement outside a transaction because the process stops.
    static StatementAnswer refuseAsStopping();
    /// Returns the idle limit inside a transaction; empty if there is none.
    std::optional<std::chrono::milliseconds> idleLimit() const;

private:
    /// Sets @p answer to a refusal that ends the session if the client is not allowed any more. To be called outside of a
    /// transaction.
    bool refuseIfWithdrawn(const std::string& database, StatementAnswer& answer);
    Task<StatementAnswer> runSingle(const Route& route, const std::string& account, const std::string& id, const Statement& statement);
    Task<AttemptResult> attempt(const Route& route, const std::string& account, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    Task<AttemptResult> attemptOn(ConnectionLease& lease, const Route& route, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    Task<AttemptResult> beginPrimaryRead(ConnectionLease& lease, const std::string& id, const Statement& statement, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    AttemptResult handleFailure(ConnectionLease& lease, bool writes, std::set<std::string>& excluded, StatementAnswer& answer);

    ServiceRegistry& m_registry;
    SessionContext m_context;
    TransactionRunner m_transaction;
    std::string m_lastAccount; ///< Of the last operation: names the account in the log after its key was withdrawn.
};

} // namespace kumquatbank
