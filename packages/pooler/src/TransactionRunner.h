#pragma once

#include "SessionContext.h"

namespace kumquatbank {

/// An open transaction of a session.
struct Transaction {
    Route route;
    bool isReadOnly = false;
    std::optional<ConnectionLease> lease;
    bool hasWritten = false;
    bool hasFailed = false;
    std::string abortReason; ///< Why the proxy ended it while no statement was running; the next statement is told.
};

/// The open transaction of a session, if there is one. Its database connection is taken with the first statement and
/// kept until the end.
class TransactionRunner {
public:
    explicit TransactionRunner(SessionContext& context)
        : m_context(context)
    {
    }

    bool isOpen() const { return m_transaction.has_value(); }
    TransactionState state() const;

    void begin(const Route& route, bool isReadOnly);
    /// Runs a read or write inside the transaction.
    Task<StatementAnswer> run(const std::string& id, const Statement& statement);
    Task<StatementAnswer> commit(const std::string& id, const Statement& statement);
    StatementAnswer rollBack();

    /// Ends a transaction whose client rests for too long; the next statement is told.
    void abortIdle();
    /// Answers a statement that comes after the transaction has failed.
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
