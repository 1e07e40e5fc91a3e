#pragma once

#include "ServiceRegistry.h"
#include "SessionTracker.h"
#include "StatementAnswer.h"
#include "kumquatbank/engine/MemoryBudget.h"

namespace kumquatbank {

/// Result of one attempt to run a statement or one of its steps.
enum class AttemptResult {
    Done, ///< No further attempt follows: the step succeeded or the answer is final.
    Retry, ///< Nothing with an effect has run; try again if time remains.
};

/// Limits on the attempts of one statement.
struct RetryPolicy {
    /// Subtracted from the statement timeout so that the final answer reaches the client in time.
    static constexpr std::chrono::milliseconds answerMargin { 40 };
    /// A statement is retried only if at least this much time remains.
    static constexpr std::chrono::milliseconds minRemainingTime { 60 };
    static constexpr int maxAttempts = 5;
    /// Pause before each retry, for services whose endpoints all refused the statement.
    static constexpr std::chrono::milliseconds retryPause { 25 };
    /// Suggested retry delay where no better estimate is available.
    static constexpr std::chrono::milliseconds defaultRetryAfter { 200 };
};

/// State that the statements of one session share: values, prepared statements and the newest commit. Acquires
/// connections that may serve the statements.
class SessionContext {
public:
    /// @p tracker must outlive this object.
    SessionContext(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics, const SessionTracker& tracker);

    asio::io_context& io() { return m_io; }
    ServiceRegistry& registry() { return m_registry; }
    PoolerMetrics& metrics() { return m_metrics; }
    const SessionState& state() const { return m_state; }

    /// Returns whether a request is run; false only while the process stops.
    bool admits(RequestKind kind, std::chrono::milliseconds statementTimeout) const { return !m_tracker.stop || m_tracker.stop->admits(kind, BootClock::now(), statementTimeout); }
    /// Returns the time by which a statement that begins now must have its result.
    BootTime deadline(const Route& route) const { return std::min<BootTime>(BootClock::now() + route.statementTimeout - RetryPolicy::answerMargin, m_tracker.answersEnd()); }

    /// Sets the watch of the client's connection, which must outlive this object.
    void setClientWatch(DisconnectWatch& watch) { m_clientWatch = &watch; }
    /// Sets the key with which the client opened its session.
    void setKey(std::optional<KeyDigest> key) { m_key = std::move(key); }
    /// Identifies the client by the current configuration, which must be present.
    ClientIdentity identify(const Route& route) const { return m_registry.config()->identify(route, m_key); }

    /// Returns what a transaction that begins now is allowed, for mayContinue().
    ClientGrant grant(const Route& route, std::string account) const { return { route.database, m_key, std::move(account) }; }
    /// Returns whether an open transaction may run another statement. Its client's access may have been withdrawn.
    bool mayContinue(const ClientGrant& grant) const { return m_registry.access().mayContinue(grant, BootClock::now()); }

    /// Counts the session state for @p holder, which must outlive this object.
    void setMemoryHolder(MemoryHolder& holder) { m_stateHold = MemoryHold(&holder); }
    /// Applies a statement that changes only the session state: a value or a prepared statement. Sets an error in @p answer
    /// instead if the session exceeds its bounds or the memory budget has no room.
    void applyLocally(const Statement& statement, StatementAnswer& answer);
    /// Returns whether the statement writes; empty if it names a prepared statement that the session does not have.
    std::optional<bool> writes(const Statement& statement) const;
    void recordCommit(std::optional<LogPosition> position);

    /// Decides whether an operation of @p account may begin: a statement outside a transaction, or BEGIN. Waits for a short
    /// time if the account is near its limit. Sets @p answer to an error if it may not.
    Task<bool> admitOperation(std::string account, StatementAnswer& answer);
    /// Time that the last admitOperation() has waited.
    BootClock::duration admissionWait() const { return m_admissionWait; }

    /// Acquires a connection for a statement on @p route. A read that any endpoint may serve first waits until its
    /// minimum position is known, and avoids lagging endpoints. On failure, @p answer is set to an error.
    Task<std::optional<ConnectionLease>> acquire(Route route, std::string account, Eligibility eligibility, std::set<std::string> excluded, BootTime until, StatementAnswer& answer, bool isRepeatable = false);

    /// Counts a statement for the retry budget of the service, before its first attempt.
    void recordStatement(const std::string& service);
    /// Returns whether a statement may be attempted again. If the budget is used up, that is added to the reason of
    /// @p answer, which stays the final answer.
    bool takeRetry(const std::string& service, StatementAnswer& answer);

    /// Returns the minimum position for a read on @p route; empty if no known position is recent enough.
    std::optional<LogPosition> currentFloor(DatabaseService& service, const Route& route) const;

private:
    /// Decides again on an operation that is sent long after its admission, or for another time.
    Task<bool> confirmAdmission(const std::string& account, StatementAnswer& answer);
    DatabaseService::Floor::SessionCommit ownCommit(const Route& route) const;

    asio::io_context& m_io;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    const SessionTracker& m_tracker;
    SessionState m_state;
    MemoryHold m_stateHold;
    int m_refusedStates = 0; ///< Consecutive statements that the state had no room for.
    std::optional<KeyDigest> m_key;
    DisconnectWatch* m_clientWatch = nullptr;
    BootTime m_lastCommitAt {};
    BootTime m_sendUntil = BootTime::max(); ///< Until when the admitted operation may be sent; past once it was sent.
    BootClock::duration m_admissionWait { 0 };
};

} // namespace kumquatbank
