#pragma once

#include "ServiceRegistry.h"
#include "StatementAnswer.h"

namespace kumquatbank {

/// Outcome of one step of a statement.
enum class AttemptResult {
    Done, ///< The answer is final.
    Retry, ///< Nothing that counts ran; try again, if time is left.
};

/// Limits on the attempts of one statement.
struct RetryPolicy {
    /// Kept back from a statement's timeout so that its final answer reaches the client in time.
    static constexpr std::chrono::milliseconds answerMargin { 40 };
    /// A statement is sent again only with at least this much time left.
    static constexpr std::chrono::milliseconds minRemainingTime { 60 };
    static constexpr int maxAttempts = 5;
    /// Pause before a statement is sent again to a service whose endpoints all refused it.
    static constexpr std::chrono::milliseconds retryPause { 25 };
    /// Suggested pause where nothing better is known.
    static constexpr std::chrono::milliseconds defaultRetryAfter { 200 };
};

/// What the statements of one session share: its values, prepared statements and newest commit, and the way to a
/// connection that may serve them.
class SessionContext {
public:
    SessionContext(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics);

    asio::io_context& io() { return m_io; }
    ServiceRegistry& registry() { return m_registry; }
    PoolerMetrics& metrics() { return m_metrics; }
    const SessionState& state() const { return m_state; }

    /// Runs a statement that only changes the session: a value, or a prepared statement.
    void applyLocally(const Statement& statement);
    /// Whether the statement writes; empty if it names a prepared statement that the session does not have.
    std::optional<bool> writes(const Statement& statement) const;
    void recordCommit(std::optional<LogPosition> position);

    /// Gets a connection for a statement on @p route. A read that any endpoint may serve first waits until the position
    /// that it must find is known, and avoids endpoints that lag. On failure the answer is a refusal.
    Task<std::optional<ConnectionLease>> acquire(Route route, Eligibility eligibility, std::set<std::string> excluded, BootTime until, StatementAnswer& answer);

    /// Position that a read on @p route must find, if one is known that is young enough.
    std::optional<LogPosition> currentFloor(DatabaseService& service, const Route& route) const;

private:
    DatabaseService::Floor::SessionCommit ownCommit(const Route& route) const;

    asio::io_context& m_io;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    SessionState m_state;
    BootTime m_lastCommitAt {};
};

} // namespace kumquatbank
