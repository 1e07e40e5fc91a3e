#pragma once

#include "SessionContext.h"

namespace kumquatbank {

/// State of an open transaction.
struct Transaction {
    Route route;
    ClientGrant grant; ///< The transaction runs for this account to its end.
    bool isReadOnly = false;
    std::optional<ConnectionLease> lease;
    bool hasWritten = false;
    bool hasFailed = false;
    bool isOutcomeUnknown = false; ///< The database has ended it without being asked, and may have kept its writes.
    std::string abortReason; ///< Why the proxy aborted the transaction between statements; reported by the next statement.
};

/// Runs the transactions of a session, one at a time. A transaction acquires its database connection with its first
/// statement and keeps it until it ends.
class TransactionRunner {
public:
    explicit TransactionRunner(SessionContext& context)
        : m_context(context)
    {
    }

    bool isOpen() const { return m_transaction.has_value(); }
    TransactionState state() const;

    void begin(const Route& route, std::string account, bool isReadOnly);
    /// Runs a read or write in the open transaction.
    Task<StatementAnswer> run(const std::string& id, const Statement& statement);
    Task<StatementAnswer> commit(const std::string& id, const Statement& statement);
    StatementAnswer rollBack();

    /// Aborts the transaction between two statements; the next one reports the reason. Returns false if none is open, or if
    /// it has failed before.
    bool abort(std::string_view reason);
    /// Aborts the transaction if its client's access was withdrawn and the grace period is over. Returns false if it goes on,
    /// if none is open, or if it has failed before.
    bool abortIfWithdrawn();
    /// Time limit of a statement of the open transaction; 0 if none is open.
    std::chrono::milliseconds statementTimeout() const { return m_transaction ? m_transaction->route.statementTimeout : std::chrono::milliseconds(0); }
    /// True from the moment at which the last COMMIT may have been sent, if its transaction has written.
    bool isCommittingWrites() const { return m_isCommittingWrites; }
    /// Returns the error for a statement that follows the failure of its transaction.
    StatementAnswer refuseAfterFailure();

private:
    /// Opens the transaction on a connection if it has none. @p first: the statement that needs it; null for COMMIT.
    Task<bool> pinConnection(const std::string& id, const Statement* first, BootTime until, StatementAnswer& answer);
    Task<AttemptResult> openOnEndpoint(const std::string& id, const Statement* first, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    void fail(StatementAnswer& answer, std::string_view reason);
    /// Ends a transaction that the database has left after a successful statement.
    void failInDoubt(StatementAnswer& answer);
    BootTime deadline() const;

    SessionContext& m_context;
    std::optional<Transaction> m_transaction;
    bool m_isCommittingWrites = false;
};

} // namespace kumquatbank
