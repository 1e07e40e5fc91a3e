#pragma once

#include "ServiceRegistry.h"

namespace kumquatbank {

/// Final answer of one statement.
struct StatementAnswer {
    std::string body; ///< Result lines for the client.
    TransactionState state = TransactionState::None;
    std::optional<ErrorCode> code; ///< Set if it failed.
    std::string reason; ///< For logs: what decided it.
    std::string endpoint; ///< That answered, or was tried last.
    std::optional<LogPosition> floor; ///< Position that a read had to find.
    std::chrono::nanoseconds queued { 0 };
    int attempts = 0;
};

/// An open transaction of a session. Its database connection is taken with the first statement.
struct Transaction {
    Route route;
    bool readOnly = false;
    std::optional<ConnectionLease> lease;
    bool wrote = false;
    bool failed = false;
    std::string failure; ///< Why the proxy ended it while no statement was running; the next statement is told.
};

/// Takes a statement from its session to an endpoint and back: route, floor, connection, session state, retries, and
/// the answer that is true in each case. One object a session, which runs one statement at a time.
class StatementRunner {
public:
    StatementRunner(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics);

    Task<StatementAnswer> run(const std::string& database, const std::string& id, const Statement& statement);

    TransactionState transactionState() const;
    bool isInTransaction() const { return m_transaction.has_value(); }
    /// Ends an open transaction whose client rests for too long; the next statement is told.
    void abortIdleTransaction();
    /// Longest pause inside a transaction that is allowed now.
    std::optional<std::chrono::milliseconds> idleLimit() const;

private:
    enum class Phase {
        Done, ///< `answer` is final.
        Retry, ///< Nothing that counts ran; try again, if time is left.
    };

    StatementAnswer local(const Statement& statement);
    Task<StatementAnswer> runSingle(const Route& route, const std::string& id, const Statement& statement);
    Task<StatementAnswer> runInTransaction(const std::string& id, const Statement& statement);
    Task<StatementAnswer> commit(const std::string& id, const Statement& statement);
    Task<Phase> attempt(const Route& route, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    Task<Phase> attemptOn(ConnectionLease& lease, const Route& route, const std::string& id, const Statement& statement, bool writes, std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    Task<Phase> openTransaction(std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    Task<bool> pin(BootTime until, StatementAnswer& answer);
    Task<std::optional<ConnectionLease>> acquire(const Route& route, Eligibility eligibility, const std::set<std::string>& excluded, BootTime until, StatementAnswer& answer);
    Task<ExchangeStatus> replaySession(ConnectionLease& lease, BootTime until);
    Task<std::optional<LogPosition>> readFloor(DatabaseService& service, const Route& route, BootTime until);
    std::optional<LogPosition> currentFloor(DatabaseService& service, const Route& route) const;

    /// Text for the database, and the commands that have to go before it.
    struct Prepared {
        std::string preamble;
        int preambleReplies = 0;
        std::string connectionName;
        std::string text;
    };
    Prepared prepare(ConnectionLease& lease, const Statement& statement) const;
    std::optional<bool> writes(const Statement& statement) const;
    void noteCommit(const DatabaseReply& reply);

    void refuse(StatementAnswer& answer, ErrorCode code, std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt) const;
    void failTransaction(StatementAnswer& answer, std::string_view reason);

    asio::io_context& m_io;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    SessionState m_session;
    BootTime m_lastCommitAt {};
    std::optional<Transaction> m_transaction;
};

} // namespace kumquatbank
