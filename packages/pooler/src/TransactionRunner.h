#pragma once

#include "SessionContext.h"

namespace kumquatbank {

/// State of an open transaction.
struct Transaction {
    Route route;
    bool isReadOnly = false;
    std::optional<ConnectionLease> lease;
    bool hasWritten = false;
    bool hasFailed = false;
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

    void begin(const Route& route, bool isReadOnly);
    /// Runs a read or write in the open transaction.
    Task<StatementAnswer> run(const std::string& id, const Statement& statement);
    Task<StatementAnswer> commit(const std::string& id, const Statement& statement);
    StatementAnswer rollBack();

    /// Aborts a transaction whose client exceeded the idle limit; the next statement reports it.
    void abortIdle();
    /// Returns the error for a statement that follows the failure of its transaction.
    StatementAnswer refuseAfterFailure();

private:
    Task<bool> pinConnection(BootTime until, StatementAnswer& answer);
    Task<AttemptResult> openOnEndpoint(std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    void fail(StatementAnswer& answer, std::string_view reason);
    BootTime deadline() const;

    SessionContext& m_context;
    std::optional<Transaction> m_transaction;
};

} // namespace kumquatbank
